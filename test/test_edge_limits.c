/* Tests of bilberry-edge with real processes: how often, how long and for whom
   replicas are made to work.  */

#include "harness/recorder.h"

#include "bilberry/base.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ATTEMPTS_MAX = 3, /* of the route of checks */
  REQUESTS = 12,
  TIMEOUT_MS = 60000,
  /* A retry sent over DEADLINE_SLACK_MS after the first may end that much
     after the caller's deadline.  */
  DEADLINE_SLACK_MS = 500,
  CALLER_DEADLINE_MS = 1500,
  PAUSE_MS = 400,           /* of fake-recorder with the fault "pause" */
  LEFT_MAX_MS = 500,        /* until no replica works for a caller that left */
  STREAM_TIMEOUT_MS = 3000, /* of the route of streams */
  ANSWER_SLACK_MS = 500,    /* after a route's timeout */
  STREAM_EVENTS = 5,
  ROUTES = 200
};

/* All replicas fail: a request runs at no more of them than its route says. */
static void
test_attempts (void)
{
  struct testbed t;

  testbed_init (&t);
  for (uint32_t i = 0; i < 2 * ATTEMPTS_MAX; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%u", i);
      recorder_start (&t, id, "app", "pause");
    }
  testbed_start_edge (&t, 0);
  for (uint32_t i = 0; i < REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("c%u", i);
      struct http_response a
          = testbed_request (&t, 0, "GET", "/check/1", id, "key-1");
      g_assert_cmpint (a.status, >=, 500);
      http_response_free (&a);
      g_assert_cmpuint (testbed_count_runs (&t, id), <=, ATTEMPTS_MAX);
    }
  testbed_free (&t);
}

/* Asserts what deadlines the runs of attempt ID got at replica R: none longer
   than FIRST_MS.  Returns the shortest, or BEST where R did not run it.  */
static int
check_deadlines (struct testbed *t, uint32_t r, const char *id, int first_ms,
                 int best)
{
  struct http_response a
      = harness_http (t->replica_ports[r], "GET", "/ran", "", "");
  g_autofree char *start = g_strdup_printf ("%s by maker within ", id);

  for (const char *at = a.body; at && (at = strstr (at, start));)
    {
      int ms;
      at += strlen (start);
      ms = atoi (at);
      g_assert_cmpint (ms, >, 0);
      g_assert_cmpint (ms, <=, first_ms);
      best = ms < best ? ms : best;
    }
  http_response_free (&a);
  return best;
}

/* A replica is told the time that the caller or the route has left, and a
   retry the time that is left by then.  */
static void
test_deadline (void)
{
  static const char unlimited[]
      = "GET /check/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: u1\r\n"
        "Authorization: Bearer key-1\r\nConnection: close\r\n\r\n";
  struct testbed t;
  int shortest = CALLER_DEADLINE_MS;
  char *got;

  testbed_init (&t);
  for (uint32_t i = 0; i < ATTEMPTS_MAX; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%u", i);
      recorder_start (&t, id, "app", "pause");
    }
  testbed_start_edge (&t, 0);
  testbed_check_status (&t, "GET", "/check/1", "c1", 502);
  g_assert_cmpuint (testbed_count_runs (&t, "c1"), ==, ATTEMPTS_MAX);
  for (uint32_t r = 0; r < ATTEMPTS_MAX; r++)
    shortest = check_deadlines (&t, r, "c1", CALLER_DEADLINE_MS, shortest);
  g_assert_cmpint (shortest, <=,
                   CALLER_DEADLINE_MS - (ATTEMPTS_MAX - 1) * PAUSE_MS
                       + DEADLINE_SLACK_MS);
  got = harness_send_raw (t.edges[0].front_port, unlimited, strlen (unlimited),
                          TIMEOUT_MS);
  free (got);
  g_assert_cmpuint (testbed_count_runs (&t, "u1"), >, 0);
  for (uint32_t r = 0; r < ATTEMPTS_MAX; r++)
    check_deadlines (&t, r, "u1", 2000, 2000);
  testbed_free (&t);
}

/* A caller leaves while its request waits for a replica: the request reaches
   none later.  */
static void
test_leaves_queue (void)
{
  struct testbed t;
  struct caller c;
  struct caller stays;

  testbed_init (&t);
  testbed_start_replica (&t, "i-0", "other", "");
  testbed_start_edge (&t, 0);
  caller_connect (&c, &t, 0);
  caller_connect (&stays, &t, 0);
  caller_send (&c, "GET", "/check/1", "gone", NULL);
  caller_send (&stays, "GET", "/stream/1", "stays", NULL);
  harness_sleep_ms (50);
  caller_free (&c);
  harness_sleep_ms (50);
  testbed_start_replica (&t, "i-1", "app", "");
  g_assert_true (testbed_await_status (&t, 0, "/check/1", "key-1", 200));
  g_assert_true (caller_read (&stays, "HTTP/1.1 200 ", TIMEOUT_MS));
  g_assert_cmpuint (testbed_count_runs (&t, "gone"), ==, 0);
  g_assert_cmpuint (testbed_count_runs (&t, "stays"), ==, 1);
  caller_free (&stays);
  testbed_free (&t);
}

/* Asserts that R does not work on ID any more, in time after its caller has
   left.  */
static void
check_left (struct testbed *t, struct recorder r, const char *id)
{
  g_autofree char *line = g_strdup_printf ("left %s\n", id);
  g_autofree char *arrived = NULL;

  harness_sleep_ms (LEFT_MAX_MS);
  arrived = recorder_arrived (t, r);
  g_assert_nonnull (strstr (arrived, line));
}

/* A caller leaves while a replica works on its request, before and after the
   response has begun: the replica is told, by the end of its connection, and
   no other replica gets the request.  */
static void
test_leaves_work (void)
{
  struct testbed t;
  struct caller c;
  struct recorder silent;
  struct recorder events;

  testbed_init (&t);
  testbed_put_config (
      &t, 2,
      ",{\"name\":\"long\",\"host\":\"127.0.0.1\",\"prefix\":\"/long/\","
      "\"route-kind\":\"non_idempotent\",\"service\":\"other\","
      "\"timeout-ms\":9000,\"slo-ms\":3000,\"max-attempts\":1}",
      "");
  silent = recorder_start (&t, "i-silent", "other", "silent");
  events = recorder_start (&t, "i-events", "app", "events");
  testbed_start_edge (&t, 0);
  caller_connect (&c, &t, 0);
  caller_send (&c, "POST", "/long/1", "w1", "body");
  g_assert_true (recorder_await (&t, silent, "X-Attempt-Id: w1"));
  caller_free (&c);
  check_left (&t, silent, "w1");
  caller_connect (&c, &t, 0);
  caller_send (&c, "GET", "/stream/1", "w2", NULL);
  g_assert_true (caller_read (&c, "id: 2\n", TIMEOUT_MS));
  caller_free (&c);
  check_left (&t, events, "w2");
  recorder_start (&t, "i-2", "other", "");
  recorder_start (&t, "i-3", "app", "");
  harness_sleep_ms (LEFT_MAX_MS);
  g_assert_cmpuint (testbed_count_runs (&t, "w1"), ==, 1);
  g_assert_cmpuint (testbed_count_runs (&t, "w2"), ==, 1);
  testbed_free (&t);
}

/* A stream that goes on and a replica that stays silent: the caller, who would
   wait longer, has its final answer soon after the route's timeout.  The
   stream does not look complete.  */
static void
test_timeout (void)
{
  struct testbed t;
  struct caller stream;
  struct caller order;
  bb_ms began_ms;

  testbed_init (&t);
  recorder_start (&t, "i-1", "app", "events");
  testbed_start_edge (&t, 0);
  caller_connect (&stream, &t, 0);
  began_ms = bb_clock_now ();
  caller_send (&stream, "GET", "/stream/1", "s1", NULL);
  caller_read (&stream, "no such text", STREAM_TIMEOUT_MS + ANSWER_SLACK_MS);
  g_assert_cmpint (stream.state, !=, CALLER_CONNECTED);
  g_assert_cmpint (bb_clock_now () - began_ms, <=,
                   STREAM_TIMEOUT_MS + ANSWER_SLACK_MS);
  g_assert_nonnull (strstr (stream.in->str, "id: 5\n"));
  g_assert_null (strstr (stream.in->str, "\r\n0\r\n\r\n"));
  if (!strstr (stream.in->str, "Transfer-Encoding: chunked"))
    g_assert_cmpint (stream.state, ==, CALLER_RESET);
  caller_connect (&order, &t, 0);
  caller_send (&order, "POST", "/order/1", "o1", "body");
  g_assert_cmpint (caller_read_response (&order), ==, 504);
  caller_free (&stream);
  caller_free (&order);
  testbed_free (&t);
}

/* Many routes are added, and a key: the last are served as the first, from the
   moment at which they are in force.  */
static void
test_later_routes (void)
{
  GString *routes = g_string_new ("");
  struct testbed t;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  for (uint32_t i = 0; i < ROUTES; i++)
    g_string_append_printf (
        routes,
        ",{\"name\":\"r%u\",\"host\":\"127.0.0.1\",\"prefix\":\"/check/r%u/\","
        "\"route-kind\":\"idempotent\",\"service\":\"app\",\"timeout-ms\":900,"
        "\"slo-ms\":100,\"max-attempts\":1}",
        i, i);
  g_string_append (routes,
                   ",{\"name\":\"late\",\"host\":\"127.0.0.1\",\"prefix\":"
                   "\"/late/\",\"route-kind\":\"idempotent\",\"service\":"
                   "\"app\",\"timeout-ms\":900,\"slo-ms\":100,"
                   "\"max-attempts\":1}");
  testbed_put_config (&t, 2, routes->str, ",\"key-2\"");
  g_assert_true (testbed_await_status (&t, 0, "/late/1", "key-2", 200));
  for (uint32_t i = 0; i <= ROUTES; i += ROUTES / 20)
    {
      g_autofree char *path = i < ROUTES ? g_strdup_printf ("/check/r%u/1", i)
                                         : g_strdup ("/late/1");
      testbed_check_status (&t, "GET", path, "l1", 200);
      testbed_check_status (&t, "POST", "/order/1", "l2", 200);
    }
  g_string_free (routes, TRUE);
  testbed_free (&t);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/limits/attempts", test_attempts);
  g_test_add_func ("/limits/deadline", test_deadline);
  g_test_add_func ("/limits/leaves-queue", test_leaves_queue);
  g_test_add_func ("/limits/leaves-work", test_leaves_work);
  g_test_add_func ("/limits/timeout", test_timeout);
  g_test_add_func ("/limits/later-routes", test_later_routes);
  return g_test_run ();
}
