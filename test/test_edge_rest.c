/* Tests of bilberry-edge with upstreams that ask for rest, or say in their
   answers that they leave.  */

#include "harness/testbed.h"

#include "bilberry/base.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  REST_MS = 2000, /* what a replica with the fault "rest" asks for */
  SHED_MS = 4000, /* how long it turns requests away */
  /* From then on no more than REQUESTS_IN_REST_MAX reach it.  */
  REST_BINDS_MS = 500,
  REQUESTS_IN_REST_MAX = 2,
  DRAIN_MS = 2000, /* until an upstream that leaves must get no requests */
  REOPEN_MS = 500, /* until an edge knows that a group is open again */
  OBSERVE_MS = 1000,
  REQUEST_INTERVAL_MS = 15
};

/* Returns the times at which requests reached replica R, bb_ms.  */
static GArray *
read_reached (struct testbed *t, uint32_t r)
{
  struct http_response a
      = harness_http (t->replica_ports[r], "GET", "/ran", "", "");
  GArray *times = g_array_new (FALSE, FALSE, sizeof (bb_ms));

  for (const char *at = a.body; (at = strstr (at, "reached ")); at++)
    {
      const char *time = strstr (at, " at ");
      bb_ms ms;
      g_assert_nonnull (time);
      ms = strtoll (time + strlen (" at "), NULL, 10);
      g_array_append_val (times, ms);
    }
  http_response_free (&a);
  return times;
}

/* Returns how many requests reached replica R at FROM_MS or later.  */
static uint32_t
count_reached (struct testbed *t, uint32_t r, bb_ms from_ms)
{
  GArray *times = read_reached (t, r);
  uint32_t n = 0;

  for (guint i = 0; i < times->len; i++)
    n += g_array_index (times, bb_ms, i) >= from_ms;
  g_array_unref (times);
  return n;
}

/* Returns when the first request reached replica R.  */
static bb_ms
read_first (struct testbed *t, uint32_t r)
{
  GArray *times = read_reached (t, r);
  bb_ms first_ms;

  g_assert_cmpuint (times->len, >=, 1);
  first_ms = g_array_index (times, bb_ms, 0);
  g_array_unref (times);
  return first_ms;
}

/* Asserts that replica R, which turned all requests away, got no more than the
   allowed ones in the rest that any of its answers asked for.  */
static void
check_rest (struct testbed *t, uint32_t r)
{
  GArray *times = read_reached (t, r);

  g_assert_cmpuint (times->len, >=, 1);
  for (guint i = 0; i < times->len; i++)
    {
      bb_ms asked_ms = g_array_index (times, bb_ms, i);
      uint32_t n = 0;
      for (guint k = i + 1; k < times->len; k++)
        {
          bb_ms ms = g_array_index (times, bb_ms, k);
          n += ms > asked_ms + REST_BINDS_MS && ms < asked_ms + REST_MS;
        }
      g_assert_cmpuint (n, <=, REQUESTS_IN_REST_MAX);
    }
  g_array_unref (times);
}

/* Sends requests for FOR_MS.  Returns how many were not answered with 200.  */
static uint32_t
send_requests (struct testbed *t, const char *path, bb_ms for_ms)
{
  bb_ms end = bb_clock_now () + for_ms;
  uint32_t failed = 0;

  for (uint32_t n = 0; bb_clock_now () < end; n++)
    {
      g_autofree char *id = g_strdup_printf ("c%u", n);
      struct http_response a
          = testbed_request (t, 0, "GET", path, id, "key-1");
      failed += a.status != 200 || !a.complete;
      http_response_free (&a);
      harness_sleep_ms (REQUEST_INTERVAL_MS);
    }
  return failed;
}

/* An upstream that has asked for rest gets next to no requests in that time;
   another serves them.  */
static void
test_one (void)
{
  struct testbed t;
  uint32_t failed;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "rest");
  testbed_start_replica (&t, "i-2", "app", "");
  testbed_start_edge (&t, 0);
  failed = send_requests (&t, "/check/1", REST_MS + OBSERVE_MS);
  check_rest (&t, 0);
  g_assert_cmpuint (failed, ==, 0);
  testbed_free (&t);
}

/* Tries after the first go to no upstream at rest either.  */
static void
test_retries (void)
{
  enum
  {
    AT_REST = 4
  };
  struct testbed t;
  uint32_t failed;

  testbed_init (&t);
  for (uint32_t r = 0; r < AT_REST; r++)
    {
      g_autofree char *id = g_strdup_printf ("i-%u", r);
      testbed_start_replica (&t, id, "app", "rest");
    }
  testbed_start_replica (&t, "i-9", "app", "");
  testbed_start_edge (&t, 0);
  failed = send_requests (&t, "/check/1", REST_MS + OBSERVE_MS);
  for (uint32_t r = 0; r < AT_REST; r++)
    check_rest (&t, r);
  g_assert_cmpuint (failed, ==, 0);
  testbed_free (&t);
}

/* Sends a request that may wait for long.  Returns its response, which the
   caller frees.  */
static struct http_response
send_patient (struct testbed *t, const char *method, const char *path)
{
  return harness_http (t->edges[0].front_port, method, path,
                       "X-Attempt-Id: patient\r\nX-Deadline-Ms: 60000\r\n"
                       "Authorization: Bearer key-1\r\n",
                       strcmp (method, "GET") == 0 ? "" : "body");
}

/* Returns the Retry-After of A.  */
static bb_ms
retry_after_ms (const struct http_response *a)
{
  const char *at = strstr (a->headers, "Retry-After: ");

  g_assert_nonnull (at);
  return (bb_ms)(g_ascii_strtod (at + strlen ("Retry-After: "), NULL) * 1000);
}

/* While all upstreams rest, a request is refused without a try and without a
   wait, and told when the first of them takes requests again.  */
static void
test_all (void)
{
  struct testbed t;
  struct http_response a;
  bb_ms first_ms;
  bb_ms sent_ms;
  g_autofree char *log = NULL;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "rest");
  testbed_start_replica (&t, "i-2", "app", "rest");
  testbed_start_edge (&t, 0);
  a = send_patient (&t, "POST", "/order/1");
  g_assert_cmpint (a.status, ==, 503);
  http_response_free (&a);
  g_assert_cmpuint (count_reached (&t, 0, 0), ==, 1);
  g_assert_cmpuint (count_reached (&t, 1, 0), ==, 1);
  first_ms = MIN (read_first (&t, 0), read_first (&t, 1));
  for (uint32_t i = 0; i < 5; i++)
    {
      harness_sleep_ms (100);
      sent_ms = bb_clock_now ();
      a = send_patient (&t, "POST", "/order/1");
      g_assert_cmpint (a.status, ==, 503);
      /* The caller comes back once an upstream takes requests.  */
      g_assert_cmpint (bb_clock_now () + retry_after_ms (&a), >=,
                       first_ms + REST_MS);
      g_assert_cmpint (retry_after_ms (&a), <=, REST_MS * 3 / 2);
      http_response_free (&a);
      g_assert_cmpuint (count_reached (&t, 0, sent_ms), ==, 0);
      g_assert_cmpuint (count_reached (&t, 1, sent_ms), ==, 0);
    }
  log = testbed_read_log (&t, "edge-0");
  g_assert_nonnull (strstr (log, "\"reason\":\"upstreams_rest\""));
  /* A request that is held until its time in the queue is over.  */
  g_assert_null (strstr (log, "\"reason\":\"overload\""));
  testbed_free (&t);
}

/* The ranks of a group that is broken ask for rest.  Once it is open, none of
   them is left alone for longer than it has asked for.  */
static void
test_group (void)
{
  struct testbed t;
  bb_ms rested_ms = 0; /* end of the last rest that may be asked for */

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "draft", "weary");
  testbed_start_replica (&t, "i-2", "draft", "weary");
  testbed_start_edge (&t, 0);
  send_requests (&t, "/draft/1", SHED_MS / 2);
  for (uint32_t r = 0; r < 2; r++)
    {
      check_rest (&t, r);
      rested_ms = MAX (rested_ms, read_first (&t, r) + SHED_MS + REST_MS);
    }
  while (bb_clock_now () < rested_ms + REOPEN_MS)
    send_requests (&t, "/draft/1", 100);
  g_assert_cmpuint (send_requests (&t, "/draft/1", OBSERVE_MS), ==, 0);
  testbed_free (&t);
}

static void
put_upstream (struct testbed *t, const char *id, uint32_t seq, uint32_t born)
{
  g_autofree char *key = g_strdup_printf ("servers/%s", id);
  g_autofree char *value = g_strdup_printf (
      "{\"service\":\"app\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z1\","
      "\"slots\":8,\"state\":\"ready\",\"seq\":%u,\"born\":%u}",
      t->replica_ports[0], seq, born);

  testbed_put_item (t, key, value);
}

/* Sends requests for PATH until one has reached replica 0, and returns when
   its response came.  */
static bb_ms
reach_first (struct testbed *t, const char *path)
{
  for (uint32_t n = 0; n < 200 && count_reached (t, 0, 0) == 0; n++)
    send_requests (t, path, 1);
  g_assert_cmpuint (count_reached (t, 0, 0), >=, 1);
  return bb_clock_now ();
}

/* An upstream that says in an answer that it leaves gets no request that came
   drain-ms later, whatever the answer is.  */
static void
test_leaving (void)
{
  static const char *const faults[] = { "leaving", "left" };
  static const char *const paths[] = { "/check/1", "/stream/1" };

  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (paths); k++)
      {
        struct testbed t;
        bb_ms told_ms;
        uint32_t failed;
        g_test_message ("%s %s", faults[i], paths[k]);
        testbed_init (&t);
        testbed_start_replica (&t, "i-1", "app", faults[i]);
        testbed_start_replica (&t, "i-2", "app", "");
        testbed_start_edge (&t, 0);
        told_ms = reach_first (&t, paths[k]);
        failed = send_requests (&t, paths[k], DRAIN_MS + OBSERVE_MS);
        g_assert_cmpuint (count_reached (&t, 0, told_ms + DRAIN_MS), ==, 0);
        g_assert_cmpuint (failed, ==, 0);
        testbed_free (&t);
      }
}

/* What an upstream has said in an answer holds until it starts anew: a later
   registration of the same start does not undo it.  */
static void
test_leaving_registers_again (void)
{
  struct testbed t;
  bb_ms told_ms;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "leaving");
  testbed_start_replica (&t, "i-2", "app", "");
  put_upstream (&t, "i-1", 2, 1000);
  testbed_start_edge (&t, 0);
  told_ms = reach_first (&t, "/check/1");
  for (uint32_t seq = 3; seq < 6; seq++)
    {
      put_upstream (&t, "i-1", seq, 1000);
      send_requests (&t, "/check/1", OBSERVE_MS);
    }
  g_assert_cmpuint (count_reached (&t, 0, told_ms + DRAIN_MS), ==, 0);
  told_ms = bb_clock_now ();
  put_upstream (&t, "i-1", 1, 2000);
  send_requests (&t, "/check/1", OBSERVE_MS);
  g_assert_cmpuint (count_reached (&t, 0, told_ms), >=, 1);
  testbed_free (&t);
}

/* While all upstreams leave, a request is refused without a try and without a
   wait.  */
static void
test_all_leaving (void)
{
  struct testbed t;
  struct http_response a;
  g_autofree char *log = NULL;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "leaving");
  testbed_start_edge (&t, 0);
  reach_first (&t, "/check/1");
  for (uint32_t i = 0; i < 3; i++)
    {
      bb_ms sent_ms = bb_clock_now ();
      a = send_patient (&t, "GET", "/check/1");
      g_assert_cmpint (a.status, ==, 503);
      g_assert_cmpint (retry_after_ms (&a), >, 0);
      http_response_free (&a);
      g_assert_cmpuint (count_reached (&t, 0, sent_ms), ==, 0);
    }
  log = testbed_read_log (&t, "edge-0");
  g_assert_null (strstr (log, "\"reason\":\"overload\""));
  testbed_free (&t);
}

/* An upstream that has started anew is not kept away by what it asked for
   before.  */
static void
test_restart (void)
{
  struct testbed t;
  bb_ms sent_ms;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "rest");
  testbed_start_replica (&t, "i-2", "app", "");
  put_upstream (&t, "i-1", 2, 1000);
  testbed_start_edge (&t, 0);
  reach_first (&t, "/check/1");
  put_upstream (&t, "i-1", 1, 2000);
  sent_ms = bb_clock_now ();
  send_requests (&t, "/check/1", OBSERVE_MS);
  g_assert_cmpuint (count_reached (&t, 0, sent_ms), >=, 1);
  testbed_free (&t);
}

/* An upstream that was slow is not passed over once it has started anew.  */
static void
test_restart_slow (void)
{
  enum
  {
    PASSED_OVER = 20 /* requests in a row that go elsewhere */
  };
  struct testbed t;
  uint32_t runs;
  uint32_t elsewhere = 0;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  put_upstream (&t, "i-1", 2, 1000);
  testbed_start_edge (&t, 0);
  testbed_check_status (&t, "POST", "/order/slow", "o1", 200);
  testbed_start_replica (&t, "i-2", "app", "");
  for (uint32_t n = 0; n < 500 && elsewhere < PASSED_OVER; n++)
    {
      runs = testbed_count_runs_at (&t, 0);
      send_requests (&t, "/check/1", 1);
      elsewhere = testbed_count_runs_at (&t, 0) == runs ? elsewhere + 1 : 0;
    }
  g_assert_cmpuint (elsewhere, ==, PASSED_OVER);
  runs = testbed_count_runs_at (&t, 0);
  put_upstream (&t, "i-1", 1, 2000);
  send_requests (&t, "/check/1", OBSERVE_MS);
  g_assert_cmpuint (testbed_count_runs_at (&t, 0), >, runs);
  testbed_free (&t);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rest/ignored", test_one);
  g_test_add_func ("/rest/ignored-by-retries", test_retries);
  g_test_add_func ("/rest/held-while-all-rest", test_all);
  g_test_add_func ("/rest/group", test_group);
  g_test_add_func ("/rest/restarted-kept-away", test_restart);
  g_test_add_func ("/rest/restarted-judged-as-before", test_restart_slow);
  g_test_add_func ("/rest/sent-to-leaving", test_leaving);
  g_test_add_func ("/rest/sent-to-leaving-that-registers",
                   test_leaving_registers_again);
  g_test_add_func ("/rest/held-while-all-leave", test_all_leaving);
  return g_test_run ();
}
