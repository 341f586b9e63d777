/* Tests of map switches with real processes: a group of eight fake ranks
   (fake/rank) and their agents.  No two ranks may run a step with different
   maps, and the group must continue, also when the coordinator is killed in
   any phase of a switch.  */

#include "harness/harness.h"

#include "bilberry/map.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum
{
  RANKS = 8,
  PROGRESS_TIMEOUT_MS = 60000,
  POLL_INTERVAL_MS = 20,
  SETTLE_MS = 300,
  TRIES_MAX = 200,
  PROGRESS_STEPS = 20 /* further steps of a rank that count as progress */
};

struct member
{
  uint16_t engine_port;
  uint16_t agent_port;
  uint16_t operator_port;
  uint16_t peers_port;
  pid_t engine;
  pid_t agent;
};

struct group
{
  struct harness *h;
  struct member members[RANKS];
  const char *ignore_fence; /* "1": engines accept stale states */
};

static void
write_settings (struct group *g)
{
  GString *upstreams = g_string_new ("upstreams:\n");
  GString *ranks = g_string_new ("ranks:\n");

  for (uint32_t i = 0; i < RANKS; i++)
    {
      const struct member *m = &g->members[i];
      g_string_append_printf (
          upstreams,
          "  rank-%u: {address: '127.0.0.1:%u', agent: '127.0.0.1:%u', "
          "operator: '127.0.0.1:%u', failure_domain: fd-a, pool: draft}\n",
          i, m->engine_port, m->agent_port, m->operator_port);
      g_string_append_printf (
          ranks,
          "  rank-%u: {group: group-1, rank: %u, engine: '127.0.0.1:%u', "
          "peers: '127.0.0.1:%u'}\n",
          i, i, m->engine_port, m->peers_port);
    }
  harness_write (g->h, "10-base.yaml",
                 "failure_domains:\n  fd-a: {state: in}\n"
                 "groups:\n  group-1: {layers: 2, experts: 16, slots: 3}\n");
  harness_write (g->h, "20-upstreams.yaml", "%s", upstreams->str);
  harness_write (g->h, "30-ranks.yaml", "%s", ranks->str);
  g_string_free (upstreams, TRUE);
  g_string_free (ranks, TRUE);
}

static void
set_rebalance (struct group *g, bool on)
{
  harness_write (g->h, "40-rebalance.yaml",
                 "groups:\n  group-1: {rebalance: %s, rebalance_ms: 300}\n",
                 on ? "true" : "false");
}

static void
start_engine (struct group *g, uint32_t i)
{
  char numbers[RANKS + 1][16];
  char address[32];
  const struct member *m = g->members;

  snprintf (numbers[RANKS], sizeof numbers[RANKS], "%u", i);
  snprintf (address, sizeof address, "127.0.0.1:%u", m[i].engine_port);
  for (uint32_t n = 0; n < RANKS; n++)
    snprintf (numbers[n], sizeof numbers[n], "%u", m[n].engine_port);
  g->members[i].engine = harness_start (
      g->h, "engine", "fake-rank", "--address", address, "--rank",
      numbers[RANKS], "--ranks", "8", "--ignore-fence", g->ignore_fence,
      "--peer-0", numbers[0], "--peer-1", numbers[1], "--peer-2", numbers[2],
      "--peer-3", numbers[3], "--peer-4", numbers[4], "--peer-5", numbers[5],
      "--peer-6", numbers[6], "--peer-7", numbers[7], (char *)NULL);
}

static void
start_agent (struct group *g, uint32_t i)
{
  char name[16];

  snprintf (name, sizeof name, "rank-%u", i);
  g->members[i].agent = harness_start (g->h, name, "bilberry-agent",
                                       "--config", harness_config_dir (g->h),
                                       "--name", name, (char *)NULL);
}

static void
start_group (struct group *g, const char *ignore_fence)
{
  const char *dir = g_getenv ("BILBERRY_BUILD");

  memset (g, 0, sizeof *g);
  g->h = harness_new (dir ? dir : "build");
  g->ignore_fence = ignore_fence;
  for (uint32_t i = 0; i < RANKS; i++)
    {
      g->members[i].engine_port = harness_port (g->h);
      g->members[i].agent_port = harness_port (g->h);
      g->members[i].operator_port = harness_port (g->h);
      g->members[i].peers_port = harness_port (g->h);
    }
  write_settings (g);
  set_rebalance (g, true);
  for (uint32_t i = 0; i < RANKS; i++)
    start_engine (g, i);
  for (uint32_t i = 0; i < RANKS; i++)
    start_agent (g, i);
}

/* Returns number NAME of the engine's /state; 0 if the engine does not answer
   or gives no such number.  */
static uint64_t
read_engine_number (const struct member *m, const char *name)
{
  struct http_response a
      = harness_http (m->engine_port, "GET", "/state", "", "");
  char *key = g_strdup_printf ("\"%s\":", name);
  const char *at = a.body ? strstr (a.body, key) : NULL;
  uint64_t n = at ? g_ascii_strtoull (at + strlen (key), NULL, 10) : 0;

  g_free (key);
  http_response_free (&a);
  return n;
}

/* Returns the highest value of number NAME over all engines.  */
static uint64_t
max_engine_number (const struct group *g, const char *name)
{
  uint64_t most = 0;

  for (uint32_t i = 0; i < RANKS; i++)
    most = MAX (most, read_engine_number (&g->members[i], name));
  return most;
}

/* Asserts that every rank starts PROGRESS_STEPS further steps and that none
   has seen two maps in one step.  */
static void
assert_progress (const struct group *g)
{
  uint64_t goal = max_engine_number (g, "started") + PROGRESS_STEPS;

  for (uint32_t i = 0; i < RANKS; i++)
    {
      int spent = 0;
      while (read_engine_number (&g->members[i], "started") < goal)
        {
          harness_sleep_ms (POLL_INTERVAL_MS);
          spent += POLL_INTERVAL_MS;
          g_assert_cmpint (spent, <, PROGRESS_TIMEOUT_MS);
        }
    }
  g_assert_cmpuint (max_engine_number (g, "violations"), ==, 0);
}

/* Waits until rank 1 has changed its map COUNT more times.  */
static void
await_map_changes (const struct group *g, uint64_t count)
{
  uint64_t goal = read_engine_number (&g->members[1], "changes") + count;

  for (int spent = 0; read_engine_number (&g->members[1], "changes") < goal;
       spent += POLL_INTERVAL_MS)
    {
      harness_sleep_ms (POLL_INTERVAL_MS);
      g_assert_cmpint (spent, <, PROGRESS_TIMEOUT_MS);
    }
}

/* Returns whether the /status of the agent of RANK contains TEXT.  */
static bool
status_contains (const struct group *g, uint32_t rank, const char *text)
{
  struct http_response a = harness_http (g->members[rank].operator_port, "GET",
                                         "/status", "", "");
  bool is = a.body && strstr (a.body, text);

  if (!is)
    g_test_message ("rank %u: %s", rank, a.body ? a.body : "no status");
  http_response_free (&a);
  return is;
}

/* Waits until the /status of the agent of RANK contains TEXT.  */
static void
await_status (const struct group *g, uint32_t rank, const char *text)
{
  for (int spent = 0; !status_contains (g, rank, text);
       spent += POLL_INTERVAL_MS)
    {
      harness_sleep_ms (POLL_INTERVAL_MS);
      g_assert_cmpint (spent, <, PROGRESS_TIMEOUT_MS);
    }
}

static void
signal_agent (struct group *g, uint32_t i, int number)
{
  harness_signal (g->h, g->members[i].agent, number);
}

static void
signal_engine (struct group *g, uint32_t i, int number)
{
  harness_signal (g->h, g->members[i].engine, number);
}

/* Stops engine 6 once rank 0 is preparing a switch.  Returns true if rank 0 is
   then held in PHASE; otherwise continues the engine and returns false.  */
static bool
stop_engine_in_phase (struct group *g, const char *phase)
{
  for (int spent = 0; !status_contains (g, 0, "\"preparing\""); spent++)
    g_assert_cmpint (spent, <, PROGRESS_TIMEOUT_MS);
  signal_engine (g, 6, SIGSTOP);
  harness_sleep_ms (SETTLE_MS);
  if (status_contains (g, 0, phase))
    return true;
  signal_engine (g, 6, SIGCONT);
  harness_sleep_ms (SETTLE_MS);
  return false;
}

/* The functions hold_in_* stop processes of other ranks so that rank 0 stays
   in one phase of a switch.  Each returns false, with those processes
   continued, if rank 0 did not stay in it.  */
static bool
hold_in_leading (struct group *g)
{
  signal_agent (g, 7, SIGSTOP);
  for (uint32_t n = 0; n < TRIES_MAX; n++)
    {
      if (status_contains (g, 0, "\"leading\""))
        return true;
      harness_sleep_ms (POLL_INTERVAL_MS);
    }
  signal_agent (g, 7, SIGCONT);
  return false;
}

static bool
hold_in_preparing (struct group *g)
{
  return stop_engine_in_phase (g, "\"preparing\"");
}

static bool
hold_in_accepting (struct group *g)
{
  return stop_engine_in_phase (g, "\"accepting\"");
}

static bool
hold_in_deciding (struct group *g)
{
  if (!stop_engine_in_phase (g, "\"accepting\""))
    return false;
  signal_agent (g, 7, SIGSTOP);
  signal_engine (g, 6, SIGCONT);
  harness_sleep_ms (SETTLE_MS);
  if (status_contains (g, 0, "\"deciding\""))
    return true;
  signal_agent (g, 7, SIGCONT);
  harness_sleep_ms (SETTLE_MS);
  return false;
}

/* A phase of a switch, and the function that holds rank 0 in it.  */
struct phase
{
  const char *name;
  bool (*hold) (struct group *g);
};

static const struct phase phases[] = {
  { "leading", hold_in_leading },
  { "preparing", hold_in_preparing },
  { "accepting", hold_in_accepting },
  { "deciding", hold_in_deciding },
};

/* Kills the coordinator in PHASE, continues the stopped processes and restarts
   the coordinator.  The group must make progress.  */
static void
kill_coordinator_in_phase (struct group *g, const struct phase *phase)
{
  uint32_t tries = 0;

  while (!phase->hold (g))
    g_assert_cmpuint (tries++, <, TRIES_MAX);
  signal_agent (g, 0, SIGKILL);
  harness_wait (g->h, g->members[0].agent);
  signal_engine (g, 6, SIGCONT);
  signal_agent (g, 7, SIGCONT);
  harness_sleep_ms (SETTLE_MS);
  start_agent (g, 0);
  assert_progress (g);
  g_test_message ("killed while %s, after %u tries", phase->name, tries);
}

static void
test_coordinator_killed (void)
{
  struct group g;

  start_group (&g, "0");
  assert_progress (&g);
  await_map_changes (&g, 2);
  /* The demand may have shifted before the last plan, so that it found a high
     skew; the next plan must find that its map has removed it.  */
  g_assert_true (status_contains (&g, 0, "\"skew_planned\": 1."));
  await_status (&g, 0, "\"skew\": 1.");
  for (size_t i = 0; i < G_N_ELEMENTS (phases); i++)
    kill_coordinator_in_phase (&g, &phases[i]);
  await_map_changes (&g, 1);
  assert_progress (&g);
  harness_free (g.h);
}

/* The engine and agent of a rank are replaced, as with its VM.  The rank must
   get the map of the group before its first step.  */
static void
test_vm_replaced (void)
{
  struct group g;

  start_group (&g, "0");
  await_map_changes (&g, 1);
  for (uint32_t i = 0; i < RANKS; i += 3)
    {
      signal_agent (&g, i, SIGKILL);
      signal_engine (&g, i, SIGKILL);
      harness_wait (g.h, g.members[i].agent);
      harness_wait (g.h, g.members[i].engine);
      start_engine (&g, i);
      start_agent (&g, i);
      assert_progress (&g);
    }
  harness_free (g.h);
}

/* Returns the switch state that the engine has saved; the caller frees the
   text.  */
static char *
read_engine_state (const struct member *m)
{
  struct http_response a
      = harness_http (m->engine_port, "GET", "/memory", "", "");
  char *text = g_strdup (a.body ? a.body : "");

  http_response_free (&a);
  return text;
}

/* Sends M to the agent of RANK, as if from rank 0.  */
static void
send_switch_message (const struct group *g, uint32_t rank,
                     struct bb_map_switch *m)
{
  msgpack_sbuffer buf;

  msgpack_sbuffer_init (&buf);
  m->to = (uint16_t)rank;
  m->from_incarnation = 1;
  m->group = bb_bytes_of ("group-1");
  bb_put_map_switch (&buf, m);
  free (harness_send_raw (g->members[rank].peers_port, buf.data, buf.size,
                          SETTLE_MS));
  msgpack_sbuffer_destroy (&buf);
}

/* An agent refuses late messages of an earlier coordinator itself.  The
   engines ignore their fence here, so they would save what the agent let
   through.  */
static void
test_late_order (void)
{
  struct group g;
  struct bb_switch_saved_state before;
  struct bb_switch_saved_state after;
  struct bb_map_switch late = { .type = BB_SWITCH_ACCEPT };
  char *text;

  start_group (&g, "1");
  await_map_changes (&g, 1);
  set_rebalance (&g, false);
  harness_sleep_ms (5000);
  text = read_engine_state (&g.members[3]);
  g_assert_true (bb_switch_saved_state_parse (text, &before));
  g_free (text);
  late.ballot = before.accepted.base_id;
  late.value = before.accepted;
  late.value.id = before.accepted.base_id;
  send_switch_message (&g, 3, &late);
  late.type = BB_SWITCH_DECIDE;
  send_switch_message (&g, 3, &late);
  text = read_engine_state (&g.members[3]);
  g_assert_true (bb_switch_saved_state_parse (text, &after));
  g_free (text);
  g_assert_cmpuint (after.accepted_ballot, ==, before.accepted_ballot);
  g_assert_cmpuint (after.accepted.id, ==, before.accepted.id);
  assert_progress (&g);
  harness_free (g.h);
}

/* With the setting rebalance off, the map no longer changes.  */
static void
test_rebalance_off (void)
{
  struct group g;
  uint64_t changes;

  start_group (&g, "0");
  await_map_changes (&g, 1);
  set_rebalance (&g, false);
  harness_sleep_ms (5000);
  changes = max_engine_number (&g, "changes");
  harness_sleep_ms (3000);
  g_assert_cmpuint (max_engine_number (&g, "changes"), ==, changes);
  assert_progress (&g);
  harness_free (g.h);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/group/coordinator-killed", test_coordinator_killed);
  g_test_add_func ("/group/vm-replaced", test_vm_replaced);
  g_test_add_func ("/group/late-order", test_late_order);
  g_test_add_func ("/group/rebalance-off", test_rebalance_off);
  return g_test_run ();
}
