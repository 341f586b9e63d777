/* Randomised runs of real processes, by seed: while callers keep their
   connections and go on using them, entries of the store leave and return, the
   store fails and comes back, also from an older copy, and edges are reloaded,
   drained, killed and started again, all of it overlapping.

   Checked: each request that was sent completely ends in an answer or a
   refusal unless its edge was killed, orders run at most once, no process ends
   by itself or with a report of a sanitizer, and at the end all edges serve.

   BILBERRY_SOAK_SEEDS=n runs n seeds, BILBERRY_SOAK_SEED=s begins with seed s,
   and BILBERRY_SOAK_MS=t makes each last t ms.  A run that fails prints its
   seed and keeps its folder with all logs; plan.txt there says what was done
   when.  */

#include "harness/caller.h"
#include "harness/testbed.h"

#include "bilberry/base.h"

#include <glib.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SEEDS = 3,
  RUN_MS = 15000,
  EDGES = 3,
  APPS = 4,
  RANKS = 2, /* upstreams with an agent */
  UPSTREAMS = APPS + RANKS,
  CALLERS = 6,
  TICK_MS = 5,
  /* An edge remembers a removed upstream for five times this.  Upstreams are
     away for up to 20 times this, as 40 s of the default.  */
  DRAIN_MS = 50,
  AWAY_MAX_MS = 20 * DRAIN_MS,
  STAY_MAX_MS = 2000,
  DOWN_MAX_MS = 800, /* of an edge, until it starts again */
  UP_MAX_MS = 3000,
  STORE_OK_MAX_MS = 2500,
  STORE_FAULT_MAX_MS = 3500,
  CONFIG_INTERVAL_MAX_MS = 2000,
  RECOVERY_MAX_MS = 30000
};

enum edge_state
{
  EDGE_UP,
  EDGE_ENDING, /* it got SIGTERM or SIGKILL */
  EDGE_DOWN
};

struct edge
{
  enum edge_state state;
  int expected_status; /* when it ends */
  bb_ms due_ms;        /* time of the next event */
  uint32_t starts;
  uint32_t reloads;
};

struct upstream
{
  char id[8];
  uint32_t replica; /* at whose address it registers */
  uint64_t born;
  bool registered;
  bb_ms due_ms;
};

struct soak
{
  struct testbed t;
  uint32_t seed;
  GRand *rand;
  bb_ms start_ms;
  GString *plan;
  struct callers *callers;
  uint16_t ports[EDGES];
  struct edge edges[EDGES];
  struct upstream upstreams[UPSTREAMS];
  pid_t agents[RANKS];
  uint64_t last_born;
  bool store_fails;
  bb_ms store_due_ms;
  bb_ms config_due_ms;
  int config_version;
};

static void note (struct soak *s, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/* Adds a line to the plan.  */
static void
note (struct soak *s, const char *format, ...)
{
  va_list ap;

  g_string_append_printf (s->plan, "%6d ",
                          (int)(bb_clock_now () - s->start_ms));
  va_start (ap, format);
  g_string_append_vprintf (s->plan, format, ap);
  va_end (ap);
  g_string_append_c (s->plan, '\n');
}

static void fail (struct soak *s, const char *format, ...) G_GNUC_NORETURN
    G_GNUC_PRINTF (2, 3);

/* Ends the test with a message and the plan.  */
static void
fail (struct soak *s, const char *format, ...)
{
  g_autofree char *why = NULL;
  va_list ap;

  va_start (ap, format);
  why = g_strdup_vprintf (format, ap);
  va_end (ap);
  note (s, "FAILED: %s", why);
  harness_write_file (harness_config_dir (s->t.harness), "plan.txt",
                      s->plan->str);
  g_error ("seed %u: %s; logs: %s/..", s->seed, why,
           harness_config_dir (s->t.harness));
}

static uint32_t
draw (struct soak *s, uint32_t below)
{
  return (uint32_t)g_rand_int_range (s->rand, 0, (gint32)below);
}

static bb_ms
draw_time (struct soak *s, uint32_t max_ms)
{
  return bb_clock_now () + draw (s, max_ms + 1);
}

/* Upstreams.  */

static void
register_upstream (struct soak *s, struct upstream *u)
{
  testbed_register (&s->t, u->replica, u->id, u->born);
  u->registered = true;
}

static uint32_t
own_replica (const struct soak *s, const struct upstream *u)
{
  return (uint32_t)(u - s->upstreams);
}

/* Chooses how U returns: mostly as the same process, or as a new one, or with
   the address of another upstream of its pool.  */
static void
return_upstream (struct soak *s, struct upstream *u)
{
  uint32_t own = own_replica (s, u);
  uint32_t first = own < APPS ? 0 : APPS;
  uint32_t how = draw (s, 10);

  if (how < 2 || u->replica != own)
    {
      u->born = ++s->last_born;
      u->replica = own;
    }
  else if (how == 2)
    {
      u->born = ++s->last_born;
      u->replica = first + draw (s, own < APPS ? APPS : RANKS);
    }
  register_upstream (s, u);
  note (s, "%s returns, born %d, at replica %u", u->id, (int)u->born,
        u->replica);
}

static void
step_upstream (struct soak *s, struct upstream *u)
{
  if (bb_clock_now () < u->due_ms)
    return;
  if (!u->registered)
    {
      return_upstream (s, u);
      u->due_ms = draw_time (s, STAY_MAX_MS);
    }
  else if (draw (s, 3) == 0)
    {
      register_upstream (s, u);
      note (s, "%s heartbeat", u->id);
      u->due_ms = draw_time (s, STAY_MAX_MS);
    }
  else
    {
      testbed_unregister (&s->t, u->id);
      u->registered = false;
      note (s, "%s leaves", u->id);
      u->due_ms = draw_time (s, AWAY_MAX_MS);
    }
}

/* The store.  */

static void
post (struct soak *s, const char *path)
{
  struct http_response a
      = harness_http (s->t.store_port, "POST", path, "", "");

  note (s, "store %s", path);
  if (a.status != 200)
    fail (s, "the store answers %s with %d", path, a.status);
  http_response_free (&a);
}

static void
step_store (struct soak *s)
{
  static const char *const modes[]
      = { "silent", "unavailable", "busy", "slow", "garbage" };

  if (bb_clock_now () < s->store_due_ms)
    return;
  s->store_fails = !s->store_fails;
  if (s->store_fails)
    {
      const char *mode = modes[draw (s, G_N_ELEMENTS (modes))];
      if (draw (s, 2) == 0)
        post (s, "/save");
      note (s, "store is %s", mode);
      testbed_set_store_mode (&s->t, mode);
      s->store_due_ms = draw_time (s, STORE_FAULT_MAX_MS);
      return;
    }
  if (draw (s, 4) == 0)
    post (s, "/restore");
  else if (draw (s, 4) == 0)
    post (s, "/forget");
  note (s, "store is ok");
  testbed_set_store_mode (&s->t, "ok");
  s->store_due_ms = draw_time (s, STORE_OK_MAX_MS);
}

/* Writes the next configuration, at times with a route to a pool without
   upstreams.  */
static void
step_config (struct soak *s)
{
  if (bb_clock_now () < s->config_due_ms)
    return;
  s->config_due_ms = draw_time (s, CONFIG_INTERVAL_MAX_MS);
  testbed_put_config (
      &s->t, ++s->config_version,
      draw (s, 3) > 0
          ? ""
          : ",{\"name\":\"new\",\"host\":\"127.0.0.1\",\"prefix\":"
            "\"/check/slow/\",\"route-kind\":\"idempotent\",\"service\":"
            "\"none\",\"timeout-ms\":900,\"slo-ms\":100,\"max-attempts\":1}",
      "");
  note (s, "configuration %d", s->config_version);
}

/* Edges.  */

/* Sends SIGHUP, at times after a change of the settings.  */
static void
reload_edge (struct soak *s, uint32_t e)
{
  const char *dir = harness_config_dir (s->t.harness);
  g_autofree char *name = g_strdup_printf ("edge-%u.yaml", e);
  g_autofree char *path = g_strdup_printf ("%s/%s", dir, name);
  g_autofree char *text = NULL;
  g_autofree char *changed = NULL;

  if (draw (s, 3) > 0 && g_file_get_contents (path, &text, NULL, NULL))
    {
      changed = g_strdup_printf ("%s# %u\n", text, ++s->edges[e].reloads);
      harness_write_file (dir, name, changed);
    }
  note (s, "edge %u SIGHUP", e);
  harness_signal (s->t.harness, s->t.edges[e].pid, SIGHUP);
}

static void
drain_edge (struct soak *s, uint32_t e)
{
  note (s, "edge %u SIGTERM", e);
  callers_set_draining (s->callers, e, true);
  s->edges[e].state = EDGE_ENDING;
  s->edges[e].expected_status = 0;
  harness_signal (s->t.harness, s->t.edges[e].pid, SIGTERM);
}

static void
kill_edge (struct soak *s, uint32_t e)
{
  note (s, "edge %u SIGKILL", e);
  callers_note_kill (s->callers, e);
  s->edges[e].state = EDGE_ENDING;
  s->edges[e].expected_status = 128 + SIGKILL;
  harness_signal (s->t.harness, s->t.edges[e].pid, SIGKILL);
}

static void
start_edge (struct soak *s, uint32_t e)
{
  note (s, "edge %u starts", e);
  testbed_spawn_edge (&s->t, e);
  s->edges[e].starts++;
  callers_set_draining (s->callers, e, false);
  s->edges[e].state = EDGE_UP;
  s->edges[e].due_ms = draw_time (s, UP_MAX_MS);
}

/* Fails if edge E has ended by itself, or not as it should.  */
static void
check_edge (struct soak *s, uint32_t e)
{
  struct edge *edge = &s->edges[e];
  int status;

  if (edge->state == EDGE_DOWN
      || !harness_has_ended (s->t.harness, s->t.edges[e].pid, &status))
    return;
  if (edge->state == EDGE_UP)
    fail (s, "edge %u ended by itself with %d", e, status);
  if (status != edge->expected_status)
    fail (s, "edge %u ended with %d, not %d", e, status,
          edge->expected_status);
  callers_note_end (s->callers, e);
  edge->state = EDGE_DOWN;
  edge->due_ms = draw_time (s, DOWN_MAX_MS);
}

/* Whether edge E has logged its start: before that it handles no signals.  */
static bool
has_started (struct soak *s, uint32_t e)
{
  g_autofree char *name = g_strdup_printf ("edge-%u", e);

  return testbed_count_log (&s->t, name, "\"event\":\"start\"")
         >= s->edges[e].starts;
}

static void
step_edge (struct soak *s, uint32_t e)
{
  struct edge *edge = &s->edges[e];

  check_edge (s, e);
  if (edge->state == EDGE_ENDING || bb_clock_now () < edge->due_ms)
    return;
  if (edge->state == EDGE_DOWN)
    {
      start_edge (s, e);
      return;
    }
  if (!has_started (s, e))
    return;
  edge->due_ms = draw_time (s, UP_MAX_MS);
  switch (draw (s, 4))
    {
    case 0:
      drain_edge (s, e);
      break;
    case 1:
      kill_edge (s, e);
      break;
    default:
      reload_edge (s, e);
    }
}

static void
check_others (struct soak *s)
{
  int status;

  for (uint32_t i = 0; i < RANKS; i++)
    if (harness_has_ended (s->t.harness, s->agents[i], &status))
      fail (s, "agent %u ended by itself with %d", i, status);
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    if (harness_has_ended (s->t.harness, s->t.replica_pids[i], &status))
      fail (s, "replica %u ended by itself with %d", i, status);
  if (harness_has_ended (s->t.harness, s->t.store_pid, &status))
    fail (s, "the store ended by itself with %d", status);
}

/* The run.  */

static void
start (struct soak *s)
{
  testbed_init (&s->t);
  s->t.drain_ms = DRAIN_MS;
  s->last_born = 1;
  s->config_version = 1;
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    {
      struct upstream *u = &s->upstreams[i];
      g_autofree char *ip = i < APPS ? g_strdup ("127.0.0.1")
                                     : g_strdup_printf ("127.0.0.%u", i);
      g_snprintf (u->id, sizeof u->id, "i-%u", i);
      testbed_start_replica_on (&s->t, ip, u->id, i < APPS ? "app" : "draft",
                                "");
      u->replica = i;
      u->born = 1;
      register_upstream (s, u);
    }
  post (s, "/save");
  for (uint32_t e = 0; e < EDGES; e++)
    {
      testbed_start_edge (&s->t, 0);
      s->edges[e].starts = 1;
      s->ports[e] = s->t.edges[e].front_port;
    }
  for (uint32_t i = 0; i < RANKS; i++)
    s->agents[i] = testbed_start_rank (&s->t, APPS + i);
  s->callers = callers_start (s->ports, EDGES, CALLERS, s->seed);
}

static void
play (struct soak *s, bb_ms run_ms)
{
  bb_ms end = bb_clock_now () + run_ms;

  while (bb_clock_now () < end)
    {
      for (uint32_t i = 0; i < UPSTREAMS; i++)
        step_upstream (s, &s->upstreams[i]);
      step_store (s);
      step_config (s);
      for (uint32_t e = 0; e < EDGES; e++)
        step_edge (s, e);
      check_others (s);
      harness_sleep_ms (TICK_MS);
    }
}

static bool
edge_serves (struct soak *s, uint32_t e)
{
  struct http_response a
      = testbed_request (&s->t, e, "GET", "/check/1", "last", "key-1");
  bool serves = a.status == 200;

  http_response_free (&a);
  return serves;
}

/* Ends all faults and waits until all edges serve.  */
static void
recover (struct soak *s)
{
  bb_ms deadline = bb_clock_now () + RECOVERY_MAX_MS;
  bool all_serve = false;

  note (s, "all faults end");
  testbed_set_store_mode (&s->t, "ok");
  testbed_put_config (&s->t, ++s->config_version, "", "");
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    {
      s->upstreams[i].replica = i;
      s->upstreams[i].born = ++s->last_born;
      register_upstream (s, &s->upstreams[i]);
    }
  while (!all_serve)
    {
      if (bb_clock_now () > deadline)
        fail (s, "not all edges serve after the faults");
      all_serve = true;
      for (uint32_t e = 0; e < EDGES; e++)
        {
          check_edge (s, e);
          if (s->edges[e].state == EDGE_DOWN)
            start_edge (s, e);
          all_serve &= s->edges[e].state == EDGE_UP && edge_serves (s, e);
        }
      check_others (s);
      harness_sleep_ms (TICK_MS);
    }
}

static void
await_end (struct soak *s, pid_t process, const char *name, uint32_t i)
{
  int status = harness_wait (s->t.harness, process);

  if (status != 0)
    fail (s, "%s %u ended with %d", name, i, status);
}

/* Ends edges and agents, and fails if an exit status tells of a fault.  */
static void
stop (struct soak *s)
{
  for (uint32_t e = 0; e < EDGES; e++)
    harness_signal (s->t.harness, s->t.edges[e].pid, SIGTERM);
  for (uint32_t i = 0; i < RANKS; i++)
    harness_signal (s->t.harness, s->agents[i], SIGTERM);
  for (uint32_t e = 0; e < EDGES; e++)
    await_end (s, s->t.edges[e].pid, "edge", e);
  for (uint32_t i = 0; i < RANKS; i++)
    await_end (s, s->agents[i], "agent", i);
}

/* Returns what the replicas of pool app have run, a line for each request. */
static char *
read_runs (struct soak *s)
{
  GString *all = g_string_new ("\n");

  for (uint32_t i = 0; i < APPS; i++)
    {
      struct http_response a
          = harness_http (s->t.replica_ports[i], "GET", "/ran", "", "");
      if (a.status != 200)
        fail (s, "replica %u does not tell what it ran", i);
      g_string_append (all, a.body);
      http_response_free (&a);
    }
  return g_string_free (all, FALSE);
}

static uint32_t
count (const char *text, const char *what)
{
  uint32_t n = 0;

  for (const char *at = text; (at = strstr (at, what)); at++)
    n++;
  return n;
}

/* Whether the log of an edge has EVENT, or any event where that is "", of the
   request ID.  */
static bool
log_has (const char *log, const char *event, const char *id)
{
  g_autofree char *name = g_strdup_printf ("\"id\":\"%s\"", id);
  g_autofree char *told = g_strdup_printf ("\"event\":\"%s", event);

  for (const char *at = log; (at = strstr (at, name)); at++)
    {
      const char *line = at;
      while (line > log && line[-1] != '\n')
        line--;
      if (g_strstr_len (line, at - line, told))
        return true;
    }
  return false;
}

/* Fails unless R ended as it may.  */
static void
check_result (struct soak *s, const struct caller_result *r, const char *log,
              const char *runs)
{
  g_autofree char *ran = g_strdup_printf ("\n%s by ", r->id);
  uint32_t times = count (runs, ran);
  bool allowed
      = r->end == CALLER_ANSWERED || r->killed
        || (r->end == CALLER_CLOSED && times == 0 && !log_has (log, "", r->id))
        || (r->end == CALLER_CUT && log_has (log, "break_off", r->id));

  if (!allowed)
    fail (s, "request %s at edge %u: %s; it ran %u times", r->id, r->edge,
          caller_end_name (r->end), times);
  if (r->is_order && times > 1)
    fail (s, "order %s ran %u times", r->id, times);
  if (r->is_order && r->status == 200 && times != 1)
    fail (s, "order %s was answered and ran %u times", r->id, times);
  if (r->is_order && (r->status == 503 || r->status == 429) && times != 0)
    fail (s, "order %s was refused as not run, and ran", r->id);
}

static void
check_results (struct soak *s, const GArray *results)
{
  g_autofree char *runs = read_runs (s);
  char *logs[EDGES];
  uint32_t ends[CALLER_ENDS] = { 0 };
  uint32_t ok = 0;
  uint32_t killed = 0;

  for (uint32_t e = 0; e < EDGES; e++)
    {
      g_autofree char *name = g_strdup_printf ("edge-%u", e);
      logs[e] = testbed_read_log (&s->t, name);
    }
  for (guint i = 0; i < results->len; i++)
    {
      const struct caller_result *r
          = &g_array_index (results, struct caller_result, i);
      check_result (s, r, logs[r->edge], runs);
      ends[r->end]++;
      ok += r->status == 200;
      killed += r->killed && r->end != CALLER_ANSWERED;
    }
  g_test_message ("seed %u: %u requests, %u answered, %u with 200, %u closed "
                  "unread, %u ended by a kill",
                  s->seed, results->len, ends[CALLER_ANSWERED], ok,
                  ends[CALLER_CLOSED], killed);
  if (ok == 0)
    fail (s, "no request was answered with 200");
  for (uint32_t e = 0; e < EDGES; e++)
    g_free (logs[e]);
}

static void
run_seed (uint32_t seed, bb_ms run_ms)
{
  struct soak *s = g_new0 (struct soak, 1);
  GArray *results;

  s->seed = seed;
  s->rand = g_rand_new_with_seed (seed);
  s->plan = g_string_new ("");
  s->start_ms = bb_clock_now ();
  start (s);
  play (s, run_ms);
  recover (s);
  results = callers_stop (s->callers);
  stop (s);
  check_results (s, results);
  g_array_unref (results);
  testbed_free (&s->t);
  g_rand_free (s->rand);
  g_string_free (s->plan, TRUE);
  g_free (s);
}

static void
test_seeds (void)
{
  uint32_t first = harness_number ("BILBERRY_SOAK_SEED", 1);
  uint32_t seeds = harness_number ("BILBERRY_SOAK_SEEDS", SEEDS);
  uint32_t run_ms = harness_number ("BILBERRY_SOAK_MS", RUN_MS);

  for (uint32_t i = 0; i < seeds; i++)
    run_seed (first + i, run_ms);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  /* Makes freed memory unusable, so that its use shows in any build.  */
  g_setenv ("MALLOC_PERTURB_", "165", TRUE);
  g_test_add_func ("/soak/seeds", test_seeds);
  return g_test_run ();
}
