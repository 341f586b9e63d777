/* Tests of bilberry-edge with a store that comes back from an older copy: what
   was acknowledged after the copy is lost there, and revisions are given out
   again.  Nothing that an edge knows may go back by that.  */

#include "harness/testbed.h"

#include "bilberry/base.h"

#include <glib.h>
#include <signal.h>
#include <string.h>

enum
{
  EDGES = 3,
  /* Time from a change in the store until it is in force at every edge.  */
  CONFIG_DEADLINE_MS = 2000,
  /* Time within which what the store lacks after its return comes again.  */
  REWRITE_MS = 2000,
  OBSERVE_MS = 1500, /* shorter than REWRITE_MS */
  SETTLED_MS = 6000, /* until the store's word counts for all items */
  POLL_MS = 20
};

static void
post (struct testbed *t, const char *path)
{
  struct http_response a = harness_http (t->store_port, "POST", path, "", "");

  g_assert_cmpint (a.status, ==, 200);
  http_response_free (&a);
}

static int
get_status (struct testbed *t, uint32_t e, const char *key)
{
  struct http_response a
      = testbed_request (t, e, "GET", "/check/1", "c1", key);
  int status = a.status;

  http_response_free (&a);
  return status;
}

/* Starts edges; key-2 is valid, and the copy is taken with it.  */
static void
start (struct testbed *t)
{
  testbed_init (t);
  testbed_start_replica (t, "i-1", "app", "");
  testbed_start_replica (t, "i-2", "app", "");
  for (uint32_t e = 0; e < EDGES; e++)
    testbed_start_edge (t, 0);
  testbed_put_config (t, 2, "", ",\"key-2\"");
  for (uint32_t e = 0; e < EDGES; e++)
    g_assert_true (testbed_await_status (t, e, "/check/1", "key-2", 200));
  post (t, "/save");
}

/* Asserts that KEY gets STATUS at all edges for FOR_MS.  */
static void
check_stays (struct testbed *t, const char *key, int status, bb_ms for_ms)
{
  bb_ms end = bb_clock_now () + for_ms;

  while (bb_clock_now () < end)
    {
      for (uint32_t e = 0; e < t->edges_count; e++)
        if (t->edges[e].pid != 0)
          g_assert_cmpint (get_status (t, e, key), ==, status);
      harness_sleep_ms (POLL_MS);
    }
}

/* Asserts that KEY gets STATUS at all edges in time.  */
static void
check_in_time (struct testbed *t, const char *key, int status)
{
  bb_ms end = bb_clock_now () + CONFIG_DEADLINE_MS;

  for (uint32_t e = 0; e < t->edges_count; e++)
    while (get_status (t, e, key) != status)
      {
        g_assert_cmpint (bb_clock_now (), <=, end);
        harness_sleep_ms (POLL_MS);
      }
}

/* A key that was taken away after the copy does not work again, and the next
   configuration is in force in time, though its revision was given out
   before.  */
static void
test_config (void)
{
  struct testbed t;

  start (&t);
  testbed_put_config (&t, 3, "", "");
  testbed_put_config (&t, 4, "", "");
  check_in_time (&t, "key-2", 401);
  post (&t, "/restore");
  check_stays (&t, "key-2", 401, OBSERVE_MS);
  testbed_put_config (&t, 5, "", ",\"key-5\"");
  check_in_time (&t, "key-5", 200);
  check_stays (&t, "key-2", 401, SETTLED_MS);
  testbed_free (&t);
}

/* The next configuration is written as the store returns, before any edge has
   looked, at a revision that was given out before.  */
static void
test_config_at_return (void)
{
  struct testbed t;

  start (&t);
  testbed_put_config (&t, 3, "", "");
  check_in_time (&t, "key-2", 401);
  testbed_set_store_mode (&t, "silent");
  harness_sleep_ms (REWRITE_MS);
  post (&t, "/restore");
  testbed_put_config (&t, 4, "", ",\"key-4\"");
  testbed_set_store_mode (&t, "ok");
  check_in_time (&t, "key-4", 200);
  check_stays (&t, "key-2", 401, SETTLED_MS);
  testbed_free (&t);
}

static void
put_upstream (struct testbed *t, uint32_t r, const char *id, const char *state)
{
  g_autofree char *key = g_strdup_printf ("servers/%s", id);
  g_autofree char *value = g_strdup_printf (
      "{\"service\":\"app\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z1\","
      "\"slots\":8,\"state\":\"%s\"}",
      t->replica_ports[r], state);

  testbed_put_item (t, key, value);
}

/* Returns how many requests replica R ran.  */
static uint32_t
count_runs_at (struct testbed *t, uint32_t r)
{
  struct http_response a
      = harness_http (t->replica_ports[r], "GET", "/ran", "", "");
  uint32_t n = 0;

  for (const char *at = a.body; (at = strstr (at, " by ")); at++)
    n++;
  http_response_free (&a);
  return n;
}

/* An upstream that was leaving, and one that had left, get no requests because
   the copy has them as ready.  */
static void
test_leaving (void)
{
  struct testbed t;
  uint32_t runs[2];

  start (&t);
  testbed_start_replica (&t, "i-3", "app", "");
  harness_sleep_ms (100);
  put_upstream (&t, 0, "i-1", "draining");
  testbed_put_item (&t, "servers/i-2", NULL);
  /* Until the one that has left is used no more, however it is taken.  */
  harness_sleep_ms (REWRITE_MS);
  for (uint32_t r = 0; r < 2; r++)
    runs[r] = count_runs_at (&t, r);
  post (&t, "/restore");
  put_upstream (&t, 2, "i-3", "ready");
  put_upstream (&t, 0, "i-1", "draining");
  check_stays (&t, "key-2", 200, OBSERVE_MS);
  /* Its registration in the copy expires, since it is silent.  */
  testbed_put_item (&t, "servers/i-2", NULL);
  check_stays (&t, "key-2", 200, SETTLED_MS);
  for (uint32_t r = 0; r < 2; r++)
    g_assert_cmpuint (count_runs_at (&t, r), ==, runs[r]);
  testbed_free (&t);
}

/* An upstream that begins to leave as the store returns gets no more
   requests.  */
static void
test_leaving_at_return (void)
{
  struct testbed t;
  uint32_t runs;

  start (&t);
  put_upstream (&t, 0, "i-1", "ready");
  harness_sleep_ms (REWRITE_MS / 2);
  testbed_set_store_mode (&t, "silent");
  post (&t, "/restore");
  put_upstream (&t, 0, "i-1", "draining");
  testbed_set_store_mode (&t, "ok");
  harness_sleep_ms (CONFIG_DEADLINE_MS);
  runs = count_runs_at (&t, 0);
  check_stays (&t, "key-2", 200, OBSERVE_MS);
  g_assert_cmpuint (count_runs_at (&t, 0), ==, runs);
  testbed_free (&t);
}

/* What the copy lacks is no removal: the only upstreams registered after it,
   and stay in use until they have registered again.  One that does not is gone
   after that time.  */
static void
test_missing (void)
{
  struct testbed t;

  testbed_init (&t);
  testbed_start_replica (&t, "i-0", "other", "");
  testbed_start_edge (&t, 0);
  post (&t, "/save");
  testbed_start_replica (&t, "i-1", "app", "");
  g_assert_true (testbed_await_status (&t, 0, "/check/1", "key-1", 200));
  post (&t, "/restore");
  check_stays (&t, "key-1", 200, OBSERVE_MS);
  put_upstream (&t, 1, "i-1", "ready");
  check_stays (&t, "key-1", 200, SETTLED_MS);
  post (&t, "/restore");
  check_stays (&t, "key-1", 200, OBSERVE_MS);
  g_assert_true (testbed_await_status (&t, 0, "/check/1", "key-1", 503));
  testbed_free (&t);
}

/* A failure domain that was taken out after the copy stays out.  */
static void
test_evacuated (void)
{
  struct testbed t;

  start (&t);
  testbed_put_item (&t, "op/evacuate/z1", "{}");
  check_in_time (&t, "key-2", 503);
  post (&t, "/restore");
  check_stays (&t, "key-2", 503, OBSERVE_MS);
  testbed_put_item (&t, "op/evacuate/z1", "{}");
  check_stays (&t, "key-2", 503, SETTLED_MS);
  testbed_put_item (&t, "op/evacuate/z1", NULL);
  check_in_time (&t, "key-2", 200);
  testbed_free (&t);
}

/* Two returns from the same copy shortly after each other, of which a frozen
   edge sees neither.  */
static void
test_twice (void)
{
  struct testbed t;

  start (&t);
  testbed_put_config (&t, 3, "", "");
  check_in_time (&t, "key-2", 401);
  harness_signal (t.harness, t.edges[2].pid, SIGSTOP);
  post (&t, "/restore");
  harness_sleep_ms (300);
  post (&t, "/restore");
  harness_sleep_ms (1000);
  harness_signal (t.harness, t.edges[2].pid, SIGCONT);
  check_stays (&t, "key-2", 401, OBSERVE_MS / 2);
  testbed_put_config (&t, 4, "", ",\"key-4\"");
  check_in_time (&t, "key-4", 200);
  check_stays (&t, "key-2", 401, SETTLED_MS);
  testbed_free (&t);
}

/* An edge that starts just after the return believes its peers before the
   copy.  */
static void
test_starting_edge (void)
{
  struct testbed t;

  start (&t);
  testbed_put_config (&t, 3, "", "");
  check_in_time (&t, "key-2", 401);
  testbed_kill_edge (&t, 1);
  post (&t, "/restore");
  harness_sleep_ms (200);
  testbed_restart_edge (&t, 1);
  check_stays (&t, "key-2", 401, OBSERVE_MS / 2);
  testbed_put_config (&t, 4, "", ",\"key-4\"");
  check_in_time (&t, "key-4", 200);
  testbed_free (&t);
}

/* The return is logged once at each edge, with both revisions, and counted. */
static void
test_logged (void)
{
  struct testbed t;

  start (&t);
  testbed_put_config (&t, 3, "", "");
  check_in_time (&t, "key-2", 401);
  post (&t, "/restore");
  harness_sleep_ms (CONFIG_DEADLINE_MS);
  for (uint32_t e = 0; e < EDGES; e++)
    {
      g_autofree char *process = g_strdup_printf ("edge-%u", e);
      g_autofree char *log = testbed_read_log (&t, process);
      g_auto (GStrv) parts
          = g_strsplit (log, "\"event\":\"store_returned\"", -1);
      g_assert_cmpuint (g_strv_length (parts), ==, 2);
      g_assert_nonnull (strstr (parts[1], "\"era\":2,"));
      g_assert_cmpuint (harness_counter (t.edges[e].metrics_port,
                                         "bilberry_store_returns_total", ""),
                        ==, 1);
    }
  testbed_free (&t);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/return/config", test_config);
  g_test_add_func ("/return/config-at-return", test_config_at_return);
  g_test_add_func ("/return/leaving", test_leaving);
  g_test_add_func ("/return/leaving-at-return", test_leaving_at_return);
  g_test_add_func ("/return/missing", test_missing);
  g_test_add_func ("/return/evacuated", test_evacuated);
  g_test_add_func ("/return/twice", test_twice);
  g_test_add_func ("/return/starting-edge", test_starting_edge);
  g_test_add_func ("/return/logged", test_logged);
  return g_test_run ();
}
