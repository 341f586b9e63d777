/* Tests of items that the store no longer has, and that agents and other edges
   still remember: what a listing lacks does not come back by them, while what
   the store cannot tell yet is believed.  */

#include "harness/frame.h"
#include "harness/testbed.h"

#include "bilberry/base.h"
#include "bilberry/fleet.h"

#include <glib.h>
#include <signal.h>
#include <string.h>

enum
{
  EDGES = 2,
  /* Indexes of replicas.  */
  AGENT = 0, /* the agent's */
  LEAVER = 1,
  STARTED_MS = 50, /* until an edge listens; it waits longer for a peer */
  TOLD_MS = 2000,
  NO_STORE = 1,          /* port at which nothing listens */
  LISTED_MS = 700,       /* until edges that start have listed the store */
  AGENT_KNOWS_MS = 1000, /* until the agent has what edges have, and edges what
                            it has */
  OBSERVE_MS = 2000,
  BELIEVED_MS = 600, /* shorter than what was lost has time to come again */
  /* Within which what the store lost is written again or gone: it is listed
     again two seconds later.  */
  SETTLED_MS = 3500,
  POLL_MS = 20
};

static const char refused[] = "\"event\":\"item_gone\"";

static pid_t agent;

static void
post (struct testbed *t, const char *path)
{
  struct http_response a = harness_http (t->store_port, "POST", path, "", "");

  g_assert_cmpint (a.status, ==, 200);
  http_response_free (&a);
}

/* Starts the edges and the agent, and waits until each edge serves and the
   agent has its items.  */
static void
start_processes (struct testbed *t)
{
  for (uint32_t e = 0; e < EDGES; e++)
    testbed_start_edge (t, 0);
  agent = testbed_start_rank (t, AGENT);
  for (uint32_t e = 0; e < EDGES; e++)
    g_assert_true (testbed_await_status (t, e, "/check/1", "key-1", 200));
  harness_sleep_ms (AGENT_KNOWS_MS);
}

/* Starts a fleet with replicas i-1 and i-2 of pool app, and an agent beside
   one of another pool.  */
static void
start (struct testbed *t)
{
  testbed_init (t);
  testbed_start_replica_on (t, "127.0.0.11", "i-0", "other", "");
  testbed_start_replica (t, "i-1", "app", "");
  testbed_start_replica (t, "i-2", "app", "");
  start_processes (t);
}

/* Kills the edges while the agent is frozen, so that it learns of no change
   until start_edges.  */
static void
kill_edges (struct testbed *t)
{
  harness_signal (t->harness, agent, SIGSTOP);
  for (uint32_t e = 0; e < EDGES; e++)
    testbed_kill_edge (t, e);
}

/* Starts the edges; the agent connects once they have listed the store, unless
   it is away.  */
static void
start_edges (struct testbed *t)
{
  for (uint32_t e = 0; e < EDGES; e++)
    testbed_spawn_edge (t, e);
  harness_sleep_ms (LISTED_MS);
  harness_signal (t->harness, agent, SIGCONT);
  harness_sleep_ms (AGENT_KNOWS_MS);
}

static int
get_status (struct testbed *t, uint32_t e)
{
  struct http_response a
      = testbed_request (t, e, "GET", "/check/1", "c1", "key-1");
  int status = a.status;

  http_response_free (&a);
  return status;
}

/* Asserts that all edges answer STATUS for FOR_MS.  */
static void
check_stays (struct testbed *t, int status, bb_ms for_ms)
{
  bb_ms end = bb_clock_now () + for_ms;

  while (bb_clock_now () < end)
    {
      for (uint32_t e = 0; e < EDGES; e++)
        g_assert_cmpint (get_status (t, e), ==, status);
      harness_sleep_ms (POLL_MS);
    }
}

/* Waits until all edges answer STATUS.  */
static void
await_status (struct testbed *t, int status)
{
  for (uint32_t e = 0; e < EDGES; e++)
    g_assert_true (testbed_await_status (t, e, "/check/1", "key-1", status));
}

/* Asserts that the edges serve while i-1 gets nothing.  */
static void
check_unused (struct testbed *t)
{
  uint32_t runs = testbed_count_runs_at (t, LEAVER);

  check_stays (t, 200, OBSERVE_MS);
  g_assert_cmpuint (testbed_count_runs_at (t, LEAVER), ==, runs);
}

/* Guards against requests to an upstream that left while all edges were down,
   and that an agent remembers; also after a further start of the edges.  */
static void
test_upstream (void)
{
  struct testbed t;

  start (&t);
  kill_edges (&t);
  testbed_unregister (&t, "i-1");
  start_edges (&t);
  await_status (&t, 200);
  check_unused (&t);
  kill_edges (&t);
  start_edges (&t);
  await_status (&t, 200);
  check_unused (&t);
  testbed_free (&t);
}

/* Guards against an evacuation that ended while all edges were down, and that
   an agent remembers: the failure domain gets requests again.  */
static void
test_evacuation (void)
{
  struct testbed t;
  uint32_t runs;

  start (&t);
  testbed_put_item (&t, "op/evacuate/z1", "{}");
  await_status (&t, 503);
  harness_sleep_ms (AGENT_KNOWS_MS);
  kill_edges (&t);
  testbed_put_item (&t, "op/evacuate/z1", NULL);
  start_edges (&t);
  await_status (&t, 200);
  runs = testbed_count_runs_at (&t, LEAVER);
  check_stays (&t, 200, OBSERVE_MS);
  g_assert_cmpuint (testbed_count_runs_at (&t, LEAVER), >, runs);
  testbed_free (&t);
}

/* Guards against an older configuration, with a key that was withdrawn while
   all edges were down, by an agent that remembers it.  */
static void
test_config (void)
{
  struct testbed t;

  start (&t);
  testbed_put_config (&t, 2, "", ",\"key-2\"");
  for (uint32_t e = 0; e < EDGES; e++)
    g_assert_true (testbed_await_status (&t, e, "/check/1", "key-2", 200));
  harness_sleep_ms (AGENT_KNOWS_MS);
  kill_edges (&t);
  testbed_put_config (&t, 3, "", "");
  start_edges (&t);
  for (uint32_t e = 0; e < EDGES; e++)
    g_assert_true (testbed_await_status (&t, e, "/check/1", "key-2", 401));
  check_stays (&t, 200, OBSERVE_MS);
  for (uint32_t e = 0; e < EDGES; e++)
    {
      struct http_response a
          = testbed_request (&t, e, "GET", "/check/1", "c2", "key-2");
      g_assert_cmpint (a.status, ==, 401);
      http_response_free (&a);
    }
  testbed_free (&t);
}

/* Returns how often edges learned of i-1 from peers.  */
static uint32_t
count_told (struct testbed *t)
{
  static const char told[] = "\"upstream\":\"i-1\",\"source\":\"peer\"";

  return testbed_count_log (t, "edge-0", told)
         + testbed_count_log (t, "edge-1", told);
}

/* Guards against an upstream that left and whose address another one has: its
   registration would come back beside that of the other.  */
static void
test_address (void)
{
  struct testbed t;
  uint32_t n;

  start (&t);
  n = count_told (&t);
  kill_edges (&t);
  testbed_unregister (&t, "i-1");
  testbed_register (&t, LEAVER, "i-3", 2);
  start_edges (&t);
  await_status (&t, 200);
  check_stays (&t, 200, OBSERVE_MS);
  g_assert_cmpuint (count_told (&t), ==, n);
  testbed_free (&t);
}

/* Returns how often edges refused what was gone.  */
static uint32_t
count_refused (struct testbed *t)
{
  return testbed_count_log (t, "edge-0", refused)
         + testbed_count_log (t, "edge-1", refused);
}

/* Guards against agents that keep what their edge refused: they are told that
   it is gone, so that the edges that start next need not refuse it.  */
static void
test_agent_told (void)
{
  struct testbed t;
  uint32_t n;

  start (&t);
  kill_edges (&t);
  testbed_unregister (&t, "i-1");
  start_edges (&t);
  n = count_refused (&t);
  g_assert_cmpuint (n, >, 0);
  kill_edges (&t);
  start_edges (&t);
  await_status (&t, 200);
  g_assert_cmpuint (count_refused (&t), ==, n);
  testbed_free (&t);
}

/* Guards against an edge that keeps what left while it was frozen: the other
   one, which started meanwhile, has no record of the removal.  */
static void
test_frozen_edge (void)
{
  struct testbed t;

  start (&t);
  harness_signal (t.harness, t.edges[0].pid, SIGSTOP);
  harness_signal (t.harness, agent, SIGSTOP);
  testbed_kill_edge (&t, 1);
  testbed_unregister (&t, "i-1");
  testbed_restart_edge (&t, 1);
  testbed_set_store_mode (&t, "unavailable");
  harness_signal (t.harness, agent, SIGCONT);
  harness_sleep_ms (AGENT_KNOWS_MS);
  harness_signal (t.harness, t.edges[0].pid, SIGCONT);
  await_status (&t, 200);
  harness_sleep_ms (AGENT_KNOWS_MS);
  check_unused (&t);
  testbed_free (&t);
}

/* Returns whether PEER is told within TOLD_MS that KEY was removed.  */
static bool
await_removal (struct frame_peer *peer, const char *key)
{
  struct bb_message m;
  bool found = false;

  while (!found && frame_await (peer, BB_MSG_PEER_ITEM, &m, TOLD_MS))
    {
      found = m.u.peer_item.removed && bb_bytes_equal (m.u.peer_item.key, key);
      bb_message_free (&m);
    }
  return found;
}

/* Guards against peers that keep what only a listing shows to be gone: they
   told it to an edge before its listing, and another edge is taken to send
   what the store tells.  */
static void
test_listing_tells (void)
{
  static const char key[] = "servers/i-9";
  struct bb_peer_hello hello = { .incarnation = 1,
                                 .name = bb_bytes_of ("reader"),
                                 .address = bb_bytes_of ("127.0.0.1:1") };
  /* It has all items, so that none is sent to it again.  */
  struct bb_peer_state state
      = { .revision = bb_revision_of (1, 1000), .reads = true };
  struct bb_peer_item item = { .key = bb_bytes_of (key),
                               .value = bb_bytes_of ("{}"),
                               .revision = bb_revision_of (1, 2) };
  struct testbed t;
  struct frame_peer *peer;
  msgpack_sbuffer out;

  start (&t);
  kill_edges (&t);
  testbed_set_store_mode (&t, "slow");
  testbed_spawn_edge (&t, 0);
  harness_sleep_ms (STARTED_MS);
  peer = frame_connect (t.edges[0].control_port);
  msgpack_sbuffer_init (&out);
  bb_put_peer_hello (&out, &hello);
  bb_put_peer_item (&out, &item);
  bb_put_peer_state (&out, &state);
  frame_send (peer, &out);
  msgpack_sbuffer_destroy (&out);
  g_assert_true (await_removal (peer, key));
  g_assert_cmpuint (testbed_count_log (&t, "edge-0", refused), ==, 0);
  frame_close (peer);
  testbed_free (&t);
}

/* Guards against an edge that the store refuses and that believes an agent,
   although another edge knows better: both learn of the removal.  */
static void
test_edge_without_store (void)
{
  static const char key[] = "servers/i-9";
  struct bb_peer_hello hello
      = { .incarnation = 1, .name = bb_bytes_of ("agent") };
  struct bb_peer_item item
      = { .key = bb_bytes_of (key),
          .value = bb_bytes_of (
              "{\"service\":\"app\",\"address\":\"127.0.0.1:1\",\"zone\":"
              "\"z1\",\"slots\":8,\"state\":\"ready\"}"),
          .revision = bb_revision_of (1, 2) };
  struct testbed t;
  struct frame_peer *peer;
  msgpack_sbuffer out;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  testbed_start_edge (&t, NO_STORE);
  harness_sleep_ms (AGENT_KNOWS_MS);
  peer = frame_connect (t.edges[1].control_port);
  msgpack_sbuffer_init (&out);
  bb_put_peer_hello (&out, &hello);
  bb_put_peer_item (&out, &item);
  frame_send (peer, &out);
  msgpack_sbuffer_destroy (&out);
  testbed_await_log (&t, "edge-1", "\"event\":\"upstream_gone\"", 0);
  g_assert_true (await_removal (peer, key));
  frame_close (peer);
  testbed_free (&t);
}

/* Guards against refusing what an agent knows while the store is away: edges
   that start then serve by it, also one that it does not tell, until the first
   listing settles it.  */
static void
test_store_away (void)
{
  struct testbed t;

  start (&t);
  kill_edges (&t);
  testbed_unregister (&t, "i-1");
  testbed_set_store_mode (&t, "unavailable");
  start_edges (&t);
  await_status (&t, 200);
  check_stays (&t, 200, OBSERVE_MS);
  testbed_set_store_mode (&t, "ok");
  harness_sleep_ms (OBSERVE_MS);
  check_unused (&t);
  testbed_free (&t);
}

/* Guards against refusing what is newer than a listing: an upstream that
   registers again after the edges have started is used.  */
static void
test_newer (void)
{
  struct testbed t;
  uint32_t runs;

  start (&t);
  kill_edges (&t);
  testbed_unregister (&t, "i-1");
  start_edges (&t);
  testbed_register (&t, LEAVER, "i-1", 1);
  await_status (&t, 200);
  runs = testbed_count_runs_at (&t, LEAVER);
  check_stays (&t, 200, OBSERVE_MS);
  g_assert_cmpuint (testbed_count_runs_at (&t, LEAVER), >, runs);
  testbed_free (&t);
}

/* Starts a store whose copy lacks i-1, the only upstream of pool app, one edge
   and the agent.  */
static void
start_before_return (struct testbed *t)
{
  testbed_init (t);
  testbed_start_replica_on (t, "127.0.0.11", "i-0", "other", "");
  post (t, "/save");
  testbed_start_replica (t, "i-1", "app", "");
  testbed_start_edge (t, 0);
  agent = testbed_start_rank (t, AGENT);
  g_assert_true (testbed_await_status (t, 0, "/check/1", "key-1", 200));
  harness_sleep_ms (AGENT_KNOWS_MS);
}

/* Asserts that edge E uses i-1 for some time, and not for good: it has had
   time to register again.  */
static void
check_settles (struct testbed *t, uint32_t e)
{
  bb_ms end = bb_clock_now () + BELIEVED_MS;

  while (bb_clock_now () < end)
    {
      g_assert_cmpint (get_status (t, e), ==, 200);
      harness_sleep_ms (POLL_MS);
    }
  harness_sleep_ms (SETTLED_MS);
  g_assert_true (testbed_await_status (t, e, "/check/1", "key-1", 503));
}

/* Guards against refusing what an agent knows and the store lost, as it came
   back from an older copy while all edges were down.  */
static void
test_older_copy (void)
{
  struct testbed t;

  start_before_return (&t);
  harness_signal (t.harness, agent, SIGSTOP);
  testbed_kill_edge (&t, 0);
  post (&t, "/restore");
  testbed_restart_edge (&t, 0);
  harness_sleep_ms (LISTED_MS);
  harness_signal (t.harness, agent, SIGCONT);
  g_assert_true (testbed_await_status (&t, 0, "/check/1", "key-1", 200));
  check_settles (&t, 0);
  testbed_free (&t);
}

/* Guards against refusing what an edge holds since the store came back from an
   older copy: one that starts just then lists the store and believes it.  */
static void
test_held_elsewhere (void)
{
  struct testbed t;

  start_before_return (&t);
  post (&t, "/restore");
  harness_sleep_ms (STARTED_MS);
  testbed_start_edge (&t, 0);
  g_assert_true (testbed_await_status (&t, 1, "/check/1", "key-1", 200));
  check_settles (&t, 1);
  testbed_free (&t);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gone/upstream", test_upstream);
  g_test_add_func ("/gone/evacuation", test_evacuation);
  g_test_add_func ("/gone/config", test_config);
  g_test_add_func ("/gone/address", test_address);
  g_test_add_func ("/gone/agent-told", test_agent_told);
  g_test_add_func ("/gone/frozen-edge", test_frozen_edge);
  g_test_add_func ("/gone/listing-tells", test_listing_tells);
  g_test_add_func ("/gone/edge-without-store", test_edge_without_store);
  g_test_add_func ("/gone/store-away", test_store_away);
  g_test_add_func ("/gone/newer", test_newer);
  g_test_add_func ("/gone/older-copy", test_older_copy);
  g_test_add_func ("/gone/held-elsewhere", test_held_elsewhere);
  return g_test_run ();
}
