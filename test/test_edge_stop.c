/* Tests of a planned stop of an edge, in calm: each request that it has read
   gets an answer that says the truth, to the end of the grace period and
   beyond what its upstream makes of it.  */

#include "harness/recorder.h"
#include "harness/upstream.h"

#include <glib.h>
#include <signal.h>
#include <string.h>

enum
{
  GRACE_S = 4,
  LATE_MS = 1100, /* after SIGTERM, before the edge takes no more */
  TOO_LATE_MS = 1700,
  EVENT_MS = 600 /* a stream takes longer than the grace period */
};

static const char routes[]
    = ",{\"name\":\"long\",\"host\":\"127.0.0.1\",\"prefix\":\"/order/long/\","
      "\"route-kind\":\"non_idempotent\",\"service\":\"app\",\"timeout-ms\":"
      "9000,\"slo-ms\":4000,\"max-attempts\":1,\"priority\":1},"
      "{\"name\":\"fixed\",\"host\":\"127.0.0.1\",\"prefix\":"
      "\"/stream/fixed/\",\"route-kind\":\"streaming\",\"service\":\"app\","
      "\"timeout-ms\":9000,\"slo-ms\":4000,\"max-attempts\":1,\"priority\":1}";

/* An answer that its upstream never sends, and a stream in chunks.  */
#define SILENT_ORDER "/order/long/0/1/3/10"
#define LONG_STREAM "/stream/fixed/1/4/0/10"

struct bed
{
  struct testbed t;
  struct upstream *upstream;
};

static void
start (struct bed *b)
{
  testbed_init (&b->t);
  b->t.grace_s = GRACE_S;
  testbed_put_config (&b->t, 2, routes, "");
  b->upstream = upstream_start (&b->t, "i-1", EVENT_MS);
  testbed_start_edge (&b->t, 0);
}

static void
stop (struct bed *b)
{
  testbed_free (&b->t);
  upstream_free (b->upstream);
}

static void
send_term (struct bed *b)
{
  harness_signal (b->t.harness, b->t.edges[0].pid, SIGTERM);
}

/* Requests that are under way when SIGTERM comes, and one that comes late in
   the grace period, get 502 or 504 at its end: their upstream may have run
   them.  */
static void
test_in_flight (void)
{
  struct caller early;
  struct caller late;
  struct bed b;

  start (&b);
  caller_connect (&early, &b.t, 0);
  caller_connect (&late, &b.t, 0);
  caller_send (&early, "POST", SILENT_ORDER, "early", "body");
  send_term (&b);
  harness_sleep_ms (LATE_MS);
  caller_send (&late, "POST", SILENT_ORDER, "late", "body");
  g_assert_cmpint (caller_read_response (&early), >=, 502);
  g_assert_cmpint (caller_read_response (&late), >=, 502);
  g_assert_cmpuint (upstream_runs (b.upstream, "early"), ==, 1);
  g_assert_cmpuint (upstream_runs (b.upstream, "late"), ==, 1);
  g_assert_cmpint (harness_wait (b.t.harness, b.t.edges[0].pid), ==, 0);
  caller_free (&early);
  caller_free (&late);
  stop (&b);
}

/* One whose end arrives when the edge takes no more is refused at once, where
   it could be cut.  */
static void
test_too_late (void)
{
  static const char head[]
      = "POST " SILENT_ORDER " HTTP/1.1\r\nHost: 127.0.0.1\r\n"
        "X-Attempt-Id: part\r\nAuthorization: Bearer key-1\r\n"
        "X-Deadline-Ms: 9000\r\nContent-Length: 4\r\n\r\nbo";
  struct caller c;
  struct bed b;

  start (&b);
  caller_connect (&c, &b.t, 0);
  send_term (&b);
  harness_sleep_ms (TOO_LATE_MS - 400);
  caller_write (&c, head, strlen (head));
  harness_sleep_ms (400);
  caller_write (&c, "dy", 2);
  g_assert_cmpint (caller_read_response (&c), ==, 503);
  g_assert_cmpuint (upstream_runs (b.upstream, "part"), ==, 0);
  caller_free (&c);
  stop (&b);
}

/* A stream that has begun is broken off in a way that shows, for callers of
   both versions.  */
static void
test_stream (void)
{
  for (int minor = 0; minor < 2; minor++)
    {
      g_autofree char *request = g_strdup_printf (
          "GET " LONG_STREAM " HTTP/1.%d\r\nHost: 127.0.0.1\r\n"
          "X-Attempt-Id: s1\r\nAuthorization: Bearer key-1\r\n"
          "X-Deadline-Ms: 9000\r\n\r\n",
          minor);
      struct caller c;
      struct bed b;

      start (&b);
      caller_connect (&c, &b.t, 0);
      caller_write (&c, request, strlen (request));
      g_assert_true (caller_read (&c, "id: 1\n", 5000));
      send_term (&b);
      caller_read (&c, "id: 12\n", GRACE_S * 2000);
      g_assert_cmpint (c.state, !=, CALLER_CONNECTED);
      g_assert_nonnull (strstr (c.in->str, "id: 3\n"));
      g_assert_null (strstr (c.in->str, "id: 12\n"));
      g_assert_null (strstr (c.in->str, "\r\n0\r\n\r\n"));
      g_assert_true (minor == 1 || c.state == CALLER_RESET);
      caller_free (&c);
      stop (&b);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edge-stop/in-flight", test_in_flight);
  g_test_add_func ("/edge-stop/too-late", test_too_late);
  g_test_add_func ("/edge-stop/stream", test_stream);
  return g_test_run ();
}
