/* Tests of bilberry-edge with real processes: kills, freezes and planned work
   in the middle of requests.  */

#include "harness/recorder.h"

#include "bilberry/base.h"

#include <glib.h>
#include <signal.h>
#include <string.h>

enum
{
  ORDERS = 6,
  EDGES = 3,
  ORDER_TIMEOUT_MS = 700, /* of the route of orders */
  SLOW_MS = 400,          /* of fake-recorder */
  SETTLE_MS = 500,
  DRAIN_MS = 2000, /* after which nothing may reach a replica that leaves */
  OBSERVE_MS = 2000,
  RECOVER_MS = 12000, /* until an edge serves again after its end */
  READ_MAX_MS = 5000,
  KEPT = 60, /* connections, on which orders are sent from KEPT_FIRST_MS after
                a SIGTERM until all that is idle is closed */
  KEPT_FIRST_MS = 2000,
  KEPT_INTERVAL_MS = 20,
  COLD_PER_S = 30, /* what a cold replica bears, for half of it more and
                     COLD_SLACK */
  COLD_SLACK = 5,
  COLD_CALLERS = 30,
  COLD_ROUNDS = 4,
  COLD_ROUND_MS = 1500
};

/* Asserts that order ID ran at most once, and not at all where STATUS promises
   that.  */
static void
check_order (struct testbed *t, const char *id, int status)
{
  uint32_t runs = testbed_count_runs (t, id);

  g_test_message ("%s: status %d, %u runs", id, status, runs);
  g_assert_cmpuint (runs, <=, 1);
  if (status == 503 || status == 429 || status == 408 || status == 421)
    g_assert_cmpuint (runs, ==, 0);
  if (status == 200)
    g_assert_cmpuint (runs, ==, 1);
}

/* A replica is frozen when it gets orders, and runs them when it wakes, after
   their callers have got their answers.  */
static void
test_frozen_replica (void)
{
  struct testbed t;
  struct recorder frozen;
  int statuses[ORDERS];

  testbed_init (&t);
  frozen = recorder_start (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  testbed_check_status (&t, "POST", "/order/1", "first", 200);
  harness_signal (t.harness, frozen.pid, SIGSTOP);
  for (uint32_t i = 0; i < ORDERS; i++)
    {
      g_autofree char *id = g_strdup_printf ("o%u", i);
      struct http_response a;
      if (i == ORDERS / 2)
        recorder_start (&t, "i-2", "app", "");
      a = testbed_request (&t, 0, "POST", "/order/1", id, "key-1");
      statuses[i] = a.status;
      http_response_free (&a);
    }
  harness_signal (t.harness, frozen.pid, SIGCONT);
  harness_sleep_ms (SETTLE_MS);
  for (uint32_t i = 0; i < ORDERS; i++)
    {
      g_autofree char *id = g_strdup_printf ("o%u", i);
      check_order (&t, id, statuses[i]);
    }
  testbed_free (&t);
}

/* A replica is killed while it works on an order and a check, and another one
   is ready: the order does not run again and is not refused as not run; the
   check is answered.  */
static void
test_killed_replica (void)
{
  struct testbed t;
  struct recorder killed;
  struct recorder other;
  struct caller order;
  struct caller check;

  testbed_init (&t);
  killed = recorder_start (&t, "i-1", "app", "silent");
  testbed_start_edge (&t, 0);
  caller_connect (&order, &t, 0);
  caller_connect (&check, &t, 0);
  caller_send (&order, "POST", "/order/1", "o1", "body");
  caller_send (&check, "GET", "/check/1", "c1", NULL);
  g_assert_true (recorder_await (&t, killed, "X-Attempt-Id: o1"));
  g_assert_true (recorder_await (&t, killed, "X-Attempt-Id: c1"));
  other = recorder_start (&t, "i-2", "app", "");
  harness_signal (t.harness, killed.pid, SIGKILL);
  g_assert_cmpint (caller_read_response (&order), ==, 502);
  g_assert_cmpint (caller_read_response (&check), ==, 200);
  t.replica_ports[killed.replica] = t.replica_ports[other.replica];
  harness_sleep_ms (SETTLE_MS);
  g_assert_cmpuint (testbed_count_runs (&t, "o1"), ==, 0);
  caller_free (&order);
  caller_free (&check);
  testbed_free (&t);
}

/* An edge is killed while an order runs: it runs no second time, neither by
   another edge nor by the same one when it is back, and the caller's
   connection ends without an answer that looks complete.  */
static void
test_killed_edge (void)
{
  struct testbed t;
  struct caller c;

  testbed_init (&t);
  recorder_start (&t, "i-1", "app", "");
  recorder_start (&t, "i-2", "app", "");
  testbed_start_edge (&t, 0);
  testbed_start_edge (&t, 0);
  for (uint32_t i = 0; i < ORDERS; i++)
    {
      g_autofree char *id = g_strdup_printf ("o%u", i);
      g_autofree char *again = g_strdup_printf ("r%u", i);
      struct http_response a;
      caller_connect (&c, &t, 0);
      caller_send (&c, "POST", "/order/slow", id, "body");
      harness_sleep_ms ((int)i * SLOW_MS / 4);
      testbed_kill_edge (&t, 0);
      g_assert_true (caller_read (&c, "no such text", READ_MAX_MS));
      g_assert_true (!strstr (c.in->str, "HTTP/1.1 ")
                     || caller_read_response (&c) == 200);
      caller_free (&c);
      a = testbed_request (&t, 1, "POST", "/order/1", again, "key-1");
      g_assert_cmpint (a.status, ==, 200);
      http_response_free (&a);
      testbed_restart_edge (&t, 0);
      harness_sleep_ms (SLOW_MS);
      g_assert_cmpuint (testbed_count_runs (&t, id), <=, 1);
      g_assert_cmpuint (testbed_count_runs (&t, again), ==, 1);
    }
  testbed_free (&t);
}

/* An edge is frozen while an order runs and another one waits to be read, past
   their timeouts.  What it says when it wakes is true.  */
static void
test_frozen_edge (void)
{
  struct testbed t;
  struct recorder r;
  struct caller runs;
  struct caller unread;

  testbed_init (&t);
  r = recorder_start (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  caller_connect (&runs, &t, 0);
  caller_connect (&unread, &t, 0);
  caller_send (&runs, "POST", "/order/slow", "o1", "body");
  g_assert_true (recorder_await (&t, r, "X-Attempt-Id: o1"));
  harness_signal (t.harness, t.edges[0].pid, SIGSTOP);
  caller_send (&unread, "POST", "/order/1", "o2", "body");
  harness_sleep_ms (2 * ORDER_TIMEOUT_MS);
  harness_signal (t.harness, t.edges[0].pid, SIGCONT);
  check_order (&t, "o1", caller_read_response (&runs));
  check_order (&t, "o2", caller_read_response (&unread));
  harness_sleep_ms (SETTLE_MS);
  g_assert_cmpuint (testbed_count_runs (&t, "o1"), ==, 1);
  g_assert_cmpuint (testbed_count_runs (&t, "o2"), <=, 1);
  caller_free (&runs);
  caller_free (&unread);
  testbed_free (&t);
}

/* What is planned while requests are under way.  */
enum work
{
  WORK_STOP,
  WORK_RELOAD,
  WORK_CONFIG, /* the route of one is removed */
  WORK_DRAIN   /* their replica leaves */
};

static void
start_work (struct testbed *t, struct recorder r, enum work w)
{
  switch (w)
    {
    case WORK_STOP:
      harness_signal (t->harness, t->edges[0].pid, SIGTERM);
      break;
    case WORK_RELOAD:
      harness_signal (t->harness, t->edges[0].pid, SIGHUP);
      break;
    case WORK_CONFIG:
      testbed_put_config (t, 3, "", "");
      break;
    case WORK_DRAIN:
      recorder_register (t, r, "i-1", "app", RECORDER_LEAVES);
      break;
    }
}

/* The request "half" got STATUS.  It is served, but where all replicas of its
   pool leave it may be refused at once: then it has not run, and its caller is
   served when it comes again and there is another replica.  */
static void
check_sent (struct testbed *t, enum work w, int status)
{
  if (w != WORK_DRAIN || status == 200)
    {
      g_assert_cmpint (status, ==, 200);
      g_assert_cmpuint (testbed_count_runs (t, "half"), ==, 1);
      return;
    }
  g_assert_cmpint (status, ==, 503);
  g_assert_cmpuint (testbed_count_runs (t, "half"), ==, 0);
  g_assert_true (testbed_await_status (t, 0, "/check/1", "key-1", 200));
}

/* Requests under way around planned work are answered completely: one that
   runs, one that waits for an upstream, and one of which half is sent.  */
static void
check_work (enum work w)
{
  static const char half[]
      = "POST /check/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: half\r\n"
        "Authorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nbo";
  struct testbed t;
  struct recorder r;
  struct caller runs;
  struct caller waits;
  struct caller sends;

  testbed_init (&t);
  testbed_put_config (
      &t, 2,
      ",{\"name\":\"new\",\"host\":\"127.0.0.1\",\"prefix\":\"/new/\","
      "\"route-kind\":\"non_idempotent\",\"service\":\"app\",\"timeout-ms\":"
      "2000,\"slo-ms\":500,\"max-attempts\":1}",
      "");
  r = recorder_start (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  g_assert_true (testbed_await_status (&t, 0, "/new/1", "key-1", 200));
  caller_connect (&runs, &t, 0);
  caller_connect (&waits, &t, 0);
  caller_connect (&sends, &t, 0);
  caller_send (&runs, "POST", "/new/slow", "o1", "body");
  caller_send (&waits, "GET", "/other/1", "c1", NULL);
  caller_write (&sends, half, strlen (half));
  g_assert_true (recorder_await (&t, r, "X-Attempt-Id: o1"));
  start_work (&t, r, w);
  harness_sleep_ms (SLOW_MS / 4);
  caller_write (&sends, "dy", 2);
  recorder_start (&t, "i-2", "other", "");
  recorder_start (&t, "i-3", "app", "");
  g_assert_cmpint (caller_read_response (&runs), ==, 200);
  g_assert_cmpint (caller_read_response (&waits), ==, 200);
  check_sent (&t, w, caller_read_response (&sends));
  g_assert_cmpuint (testbed_count_runs (&t, "o1"), ==, 1);
  caller_free (&runs);
  caller_free (&waits);
  caller_free (&sends);
  testbed_free (&t);
}

static void
test_stop (void)
{
  check_work (WORK_STOP);
}

static void
test_reload (void)
{
  check_work (WORK_RELOAD);
}

static void
test_config (void)
{
  check_work (WORK_CONFIG);
}

static void
test_drain (void)
{
  check_work (WORK_DRAIN);
}

/* Callers send orders on kept connections, one after the other, while their
   edge is stopped and closes what is idle: each is answered, or has reached no
   replica and never will.  */
static void
test_kept_connections (void)
{
  struct testbed t;
  struct caller c[KEPT];

  testbed_init (&t);
  recorder_start (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  for (uint32_t i = 0; i < KEPT; i++)
    {
      caller_connect (&c[i], &t, 0);
      caller_send (&c[i], "POST", "/order/1", "first", "body");
      g_assert_cmpint (caller_read_response (&c[i]), ==, 200);
    }
  harness_signal (t.harness, t.edges[0].pid, SIGTERM);
  harness_sleep_ms (KEPT_FIRST_MS);
  for (uint32_t i = 0; i < KEPT; i++)
    {
      g_autofree char *id = g_strdup_printf ("k%u", i);
      caller_send (&c[i], "POST", i % 4 == 0 ? "/order/slow" : "/order/1", id,
                   "body");
      harness_sleep_ms (KEPT_INTERVAL_MS);
    }
  for (uint32_t i = 0; i < KEPT; i++)
    {
      g_autofree char *id = g_strdup_printf ("k%u", i);
      int status = caller_read_response (&c[i]);
      check_order (&t, id, status);
      if (status == 0)
        g_assert_cmpuint (testbed_count_runs (&t, id), ==, 0);
      caller_free (&c[i]);
    }
  testbed_free (&t);
}

/* Asserts that nothing reaches LEAVING from any edge, while the store fails
   and one edge is killed and started again: it learns from the others what it
   may not use.  */
static void
check_unused (struct testbed *t, struct recorder leaving)
{
  g_autofree char *before = recorder_arrived (t, leaving);
  g_autofree char *after = NULL;
  bb_ms end;

  testbed_set_store_mode (t, "silent");
  testbed_kill_edge (t, 0);
  testbed_restart_edge (t, 0);
  end = bb_clock_now () + OBSERVE_MS;
  for (uint32_t i = 0; bb_clock_now () < end; i++)
    {
      struct http_response a
          = testbed_request (t, i % EDGES, "GET", "/check/1", "d1", "key-1");
      g_assert_cmpint (a.status, ==, 200);
      http_response_free (&a);
    }
  after = recorder_arrived (t, leaving);
  g_assert_cmpstr (after, ==, before);
}

static struct recorder
start_two_zones (struct testbed *t)
{
  struct recorder r;

  testbed_init (t);
  r = recorder_start (t, "i-1", "app", "");
  recorder_register (t, r, "i-1", "app",
                     "\"zone\":\"z2\",\"state\":\"ready\","
                     "\"cold-left-ms\":0");
  testbed_start_replica (t, "i-2", "app", "");
  for (uint32_t e = 0; e < EDGES; e++)
    testbed_start_edge (t, 0);
  return r;
}

static void
test_leaving_known (void)
{
  struct testbed t;
  struct recorder leaving = start_two_zones (&t);

  recorder_register (&t, leaving, "i-1", "app", RECORDER_LEAVES);
  harness_sleep_ms (DRAIN_MS);
  check_unused (&t, leaving);
  testbed_free (&t);
}

/* The same, for a zone that is evacuated.  */
static void
test_evacuated_known (void)
{
  struct testbed t;
  struct recorder out = start_two_zones (&t);

  testbed_put_item (&t, "op/evacuate/z2", "{}");
  harness_sleep_ms (DRAIN_MS);
  check_unused (&t, out);
  testbed_free (&t);
}

/* All edges are killed at once, again and again, while orders run: they serve
   again, and no order has run twice.  */
static void
test_all_killed (void)
{
  struct testbed t;
  struct caller c[EDGES];

  testbed_init (&t);
  recorder_start (&t, "i-1", "app", "");
  recorder_start (&t, "i-2", "app", "");
  for (uint32_t e = 0; e < EDGES; e++)
    testbed_start_edge (&t, 0);
  for (uint32_t round = 0; round < 3; round++)
    {
      bb_ms end;
      for (uint32_t e = 0; e < EDGES; e++)
        {
          g_autofree char *id = g_strdup_printf ("o%u-%u", round, e);
          caller_connect (&c[e], &t, e);
          caller_send (&c[e], "POST", "/order/slow", id, "body");
        }
      harness_sleep_ms (SLOW_MS / 4);
      for (uint32_t e = 0; e < EDGES; e++)
        harness_signal (t.harness, t.edges[e].pid, SIGKILL);
      for (uint32_t e = 0; e < EDGES; e++)
        {
          harness_wait (t.harness, t.edges[e].pid);
          caller_free (&c[e]);
        }
      end = bb_clock_now () + RECOVER_MS;
      for (uint32_t e = 0; e < EDGES; e++)
        testbed_restart_edge (&t, e);
      for (uint32_t e = 0; e < EDGES; e++)
        g_assert_true (testbed_await_status (&t, e, "/check/1", "key-1", 200));
      g_assert_cmpint (bb_clock_now (), <=, end);
      for (uint32_t e = 0; e < EDGES; e++)
        {
          g_autofree char *id = g_strdup_printf ("o%u-%u", round, e);
          g_assert_cmpuint (testbed_count_runs (&t, id), <=, 1);
        }
    }
  testbed_free (&t);
}

/* An edge starts while the store fails and no other edge is there: it knows no
   configuration, and says so by a 503, not that routes or keys are unknown.
   It serves once the store is back.  */
static void
test_knows_nothing (void)
{
  struct testbed t;
  g_autofree char *settings = NULL;
  uint32_t refused = 0;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  testbed_kill_edge (&t, 0);
  testbed_set_store_mode (&t, "silent");
  settings
      = g_strdup_printf ("%s/edge-0.yaml", harness_config_dir (t.harness));
  t.edges[0].pid = harness_spawn (t.harness, "edge-0", "bilberry-edge",
                                  "--settings", settings, NULL);
  for (uint32_t i = 0; i < 20; i++)
    {
      struct http_response a
          = testbed_request (&t, 0, "GET", "/check/1", "n1", "key-1");
      refused += a.status == 503;
      g_assert_true (a.status == 503 || a.status == 0);
      http_response_free (&a);
      harness_sleep_ms (50);
    }
  g_assert_cmpuint (refused, >, 0);
  testbed_set_store_mode (&t, "ok");
  g_assert_true (testbed_await_status (&t, 0, "/check/1", "key-1", 200));
  testbed_free (&t);
}

/* Returns the largest number of requests that R got in a second.  */
static uint32_t
most_in_a_second (struct testbed *t, struct recorder r)
{
  struct http_response a
      = harness_http (t->replica_ports[r.replica], "GET", "/ran", "", "");
  g_auto (GStrv) lines = g_strsplit (a.body, "\n", -1);
  uint32_t n = g_strv_length (lines) - 1;
  g_autoptr (GArray) at_ms = g_array_new (FALSE, FALSE, sizeof (gint64));
  uint32_t most = 0;
  uint32_t first = 0;

  for (uint32_t i = 0; i < n; i++)
    {
      gint64 ms = g_ascii_strtoll (strstr (lines[i], " at ") + 4, NULL, 10);
      g_array_append_val (at_ms, ms);
      while (g_array_index (at_ms, gint64, first) <= ms - 1000)
        first++;
      most = MAX (most, i + 1 - first);
    }
  g_test_message ("%u requests, %u in a second", n, most);
  g_assert_cmpuint (n, >, 0);
  http_response_free (&a);
  return most;
}

static void
put_cold_limit (struct testbed *t)
{
  g_autofree char *text = testbed_config (2, "", "");
  g_auto (GStrv) parts
      = g_strsplit (text, "\"cold-start-s\":0,\"cold-per-s\":0", 2);
  g_autofree char *limited
      = g_strdup_printf ("%s\"cold-start-s\":10,\"cold-per-s\":%d%s", parts[0],
                         COLD_PER_S, parts[1]);

  testbed_put_item (t, "op/config", limited);
}

/* A round of callers, who give up soon.  */
static void
press (struct testbed *t, uint32_t round, uint32_t n)
{
  struct caller c[COLD_CALLERS];

  for (uint32_t i = 0; i < COLD_CALLERS; i++)
    {
      g_autofree char *id = g_strdup_printf ("f%u-%u-%u", round, n, i);
      caller_connect (&c[i], t, i % EDGES);
      caller_send (&c[i], "GET", "/check/1", id, NULL);
    }
  harness_sleep_ms (SLOW_MS / 2);
  for (uint32_t i = 0; i < COLD_CALLERS; i++)
    caller_free (&c[i]);
}

/* Callers press on a cold replica while all edges are killed at once and
   started again: it gets no more in any second than it bears, from all of them
   together.  */
static void
test_cold_killed (void)
{
  struct testbed t;
  struct recorder cold;

  testbed_init (&t);
  put_cold_limit (&t);
  cold = recorder_start (&t, "i-1", "app", "");
  recorder_register (&t, cold, "i-1", "app",
                     "\"zone\":\"z1\",\"state\":\"ready\","
                     "\"cold-left-ms\":60000");
  for (uint32_t e = 0; e < EDGES; e++)
    testbed_start_edge (&t, 0);
  for (uint32_t round = 0; round < COLD_ROUNDS; round++)
    {
      bb_ms end = bb_clock_now () + COLD_ROUND_MS;
      for (uint32_t n = 0; bb_clock_now () < end; n++)
        press (&t, round, n);
      for (uint32_t e = 0; e < EDGES; e++)
        harness_signal (t.harness, t.edges[e].pid, SIGKILL);
      for (uint32_t e = 0; e < EDGES; e++)
        harness_wait (t.harness, t.edges[e].pid);
      for (uint32_t e = 0; e < EDGES; e++)
        testbed_restart_edge (&t, e);
    }
  g_assert_cmpuint (most_in_a_second (&t, cold), <=,
                    COLD_PER_S * 3 / 2 + COLD_SLACK);
  testbed_free (&t);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/middle/frozen-replica", test_frozen_replica);
  g_test_add_func ("/middle/killed-replica", test_killed_replica);
  g_test_add_func ("/middle/killed-edge", test_killed_edge);
  g_test_add_func ("/middle/frozen-edge", test_frozen_edge);
  g_test_add_func ("/middle/stop", test_stop);
  g_test_add_func ("/middle/reload", test_reload);
  g_test_add_func ("/middle/config", test_config);
  g_test_add_func ("/middle/drain", test_drain);
  g_test_add_func ("/middle/kept-connections", test_kept_connections);
  g_test_add_func ("/middle/leaving-known", test_leaving_known);
  g_test_add_func ("/middle/evacuated-known", test_evacuated_known);
  g_test_add_func ("/middle/all-killed", test_all_killed);
  g_test_add_func ("/middle/knows-nothing", test_knows_nothing);
  g_test_add_func ("/middle/cold-killed", test_cold_killed);
  return g_test_run ();
}
