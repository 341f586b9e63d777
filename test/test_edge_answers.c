/* Tests of bilberry-edge with real processes: what callers get is the answer
   of a replica, and what replicas get is the request of a caller.  */

#include "harness/recorder.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SETTLE_MS = 300,
  HIDDEN_WAIT_MS = 50, /* until a hidden request would have arrived */
  STREAM_MAX_MS = 5000,
  LARGE_BODY_BYTES = 700 * 1024 /* more than the buffers of a connection */
};

/* A replica sends a second answer after each: a caller that keeps its
   connection gets one answer to each request, and nothing between them.  */
static void
test_one_each (void)
{
  struct testbed t;
  struct caller c;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "extra");
  testbed_start_edge (&t, 0);
  caller_connect (&c, &t, 0);
  for (uint32_t i = 0; i < 5; i++)
    {
      g_autofree char *id = g_strdup_printf ("one-%u", i);
      caller_send (&c, "GET", "/check/1", id, NULL);
      g_assert_true (caller_read (&c, id, STREAM_MAX_MS));
      g_assert_nonnull (strstr (c.in->str, id));
      g_assert_cmpint (caller_read_response (&c), ==, 200);
      g_assert_false (caller_read (&c, "HTTP", SETTLE_MS));
      g_assert_cmpstr (c.in->str, ==, "");
    }
  caller_free (&c);
  testbed_free (&t);
}

/* An answer with a replica's signature has that replica's status; an answer of
   the edge's own has no signature.  */
static void
test_own_failures (void)
{
  static const struct
  {
    const char *fault;
    int status;
    bool is_signed;
  } cases[] = { { "fail", 500, true },     { "reset", 502, false },
                { "cut", 502, false },     { "garbage", 502, false },
                { "silent", 504, false },  { "not-run", 503, false },
                { "other-id", 502, false } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct testbed t;
      struct http_response a;
      g_test_message ("%s", cases[i].fault);
      testbed_init (&t);
      testbed_start_replica (&t, "i-1", "app", cases[i].fault);
      testbed_start_edge (&t, 0);
      a = testbed_request (&t, 0, "POST", "/order/1", "o1", "key-1");
      g_assert_cmpint (a.status, ==, cases[i].status);
      g_assert_cmpint (strstr (a.headers, "X-Replica-Signature: ") != NULL, ==,
                       cases[i].is_signed);
      http_response_free (&a);
      testbed_free (&t);
    }
}

/* An answer without length whose connection is reset is not complete, however
   much of it arrived.  */
static void
test_reset_end (void)
{
  struct testbed t;

  testbed_init (&t);
  recorder_start (&t, "i-1", "app", "reset");
  testbed_start_edge (&t, 0);
  testbed_check_status (&t, "POST", "/order/1", "o1", 502);
  g_assert_cmpuint (testbed_count_runs (&t, "o1"), ==, 1);
  testbed_free (&t);
}

/* A stream breaks off within an event and cannot be resumed: the caller can
   tell that it is not complete, and gets nothing of a second run.  */
static void
check_broken_stream (const char *fault)
{
  struct testbed t;
  struct caller c;

  testbed_init (&t);
  testbed_put_config (
      &t, 2,
      ",{\"name\":\"live\",\"host\":\"127.0.0.1\",\"prefix\":\"/live/\","
      "\"route-kind\":\"streaming\",\"service\":\"app\",\"timeout-ms\":3000,"
      "\"slo-ms\":400,\"max-attempts\":2,\"priority\":1}",
      "");
  recorder_start (&t, "i-1", "app", fault);
  recorder_start (&t, "i-2", "app", fault);
  testbed_start_edge (&t, 0);
  caller_connect (&c, &t, 0);
  caller_send (&c, "GET", "/live/1", "s1", NULL);
  g_assert_true (caller_read (&c, "no such text", STREAM_MAX_MS));
  g_assert_nonnull (strstr (c.in->str, "piece 3"));
  g_assert_null (strstr (c.in->str, "\r\n0\r\n\r\n"));
  if (!strstr (c.in->str, "Transfer-Encoding: chunked"))
    g_assert_cmpint (c.state, ==, CALLER_RESET);
  g_assert_cmpuint (testbed_count_runs (&t, "s1"), ==, 1);
  caller_free (&c);
  testbed_free (&t);
}

static void
test_broken_stream (void)
{
  check_broken_stream ("halved");
}

/* The same, where the connection is all that ends the stream.  */
static void
test_broken_bare_stream (void)
{
  check_broken_stream ("bare");
}

/* A stream is resumed at a replica that answers with a failure: nothing of
   that failure gets into the stream, which ends as incomplete.  */
static void
test_resumed_fails (void)
{
  struct testbed t;
  struct caller c;
  uint32_t begun = 0;

  testbed_init (&t);
  recorder_start (&t, "i-1", "app", "halved");
  recorder_start (&t, "i-2", "app", "fail");
  testbed_start_edge (&t, 0);
  for (uint32_t i = 0; i < 6; i++)
    {
      g_autofree char *id = g_strdup_printf ("s%u", i);
      caller_connect (&c, &t, 0);
      caller_send (&c, "GET", "/stream/1", id, NULL);
      g_assert_true (caller_read (&c, "Content-Length", STREAM_MAX_MS));
      g_assert_null (strstr (c.in->str, "\r\n0\r\n\r\n"));
      if (strstr (c.in->str, "piece 3"))
        {
          begun++;
          g_assert_null (strstr (c.in->str, "500"));
          g_assert_cmpint (c.state, ==, CALLER_CLOSED);
        }
      caller_free (&c);
    }
  g_assert_cmpuint (begun, >, 0);
  testbed_free (&t);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/answers/one-each", test_one_each);
  g_test_add_func ("/answers/own-failures", test_own_failures);
  g_test_add_func ("/answers/reset-end", test_reset_end);
  g_test_add_func ("/answers/broken-stream", test_broken_stream);
  g_test_add_func ("/answers/broken-bare-stream", test_broken_bare_stream);
  g_test_add_func ("/answers/resumed-fails", test_resumed_fails);
  return g_test_run ();
}
