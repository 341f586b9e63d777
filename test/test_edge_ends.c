/* Tests of bilberry-edge with real processes and replicas whose responses end
   with their connection, inside an event, or after the deadline.  */

#include "harness/testbed.h"

#include <glib.h>
#include <string.h>

static const char stream_text[]
    = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
      "id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"
      "id: 5\ndata: piece 5\n\nid: 6\ndata: piece 6\n\n";

/* A stream that may not be resumed.  */
static const char fixed_route[]
    = ",{\"name\":\"fixed\",\"host\":\"127.0.0.1\",\"prefix\":"
      "\"/stream/fixed/\",\"route-kind\":\"streaming\",\"service\":\"app\","
      "\"timeout-ms\":1000,\"slo-ms\":400,\"max-attempts\":2,\"priority\":1}";

static void
start (struct testbed *t, const char *fault)
{
  testbed_init (t);
  testbed_put_config (t, 2, fixed_route, "");
  testbed_start_replica (t, "i-1", "app", fault);
  testbed_start_edge (t, 0);
}

/* A stream without length and chunks that is closed after its last event is
   complete.  */
static void
test_whole (void)
{
  static const char *const paths[] = { "/stream/1", "/stream/fixed/1" };
  struct testbed t;

  start (&t, "close-whole");
  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      struct http_response a
          = testbed_request (&t, 0, "GET", paths[i], "s1", "key-1");
      g_assert_cmpint (a.status, ==, 200);
      g_assert_true (a.complete);
      g_assert_cmpstr (a.body, ==, stream_text);
      http_response_free (&a);
    }
  g_assert_cmpuint (testbed_count_runs (&t, "s1"), ==, 2);
  testbed_free (&t);
}

/* A stream that ends before its last event with FAULT is continued where it
   may be, and else ended as incomplete.  */
static void
test_broken (gconstpointer fault)
{
  struct testbed t;
  struct http_response a;

  start (&t, fault);
  a = testbed_request (&t, 0, "GET", "/stream/1", "s1", "key-1");
  g_assert_cmpint (a.status, ==, 200);
  g_assert_true (a.complete);
  g_assert_cmpstr (a.body, ==, stream_text);
  http_response_free (&a);
  g_assert_cmpuint (testbed_count_runs (&t, "s1"), ==, 2);
  a = testbed_request (&t, 0, "GET", "/stream/fixed/1", "s2", "key-1");
  g_assert_cmpint (a.status, ==, 200);
  g_assert_false (a.complete);
  g_assert_true (g_str_has_prefix (stream_text, a.body));
  http_response_free (&a);
  g_assert_cmpuint (testbed_count_runs (&t, "s2"), ==, 1);
  testbed_free (&t);
}

/* A stream in chunks that ends inside its first event is no answer.  */
static void
test_broken_first (void)
{
  struct testbed t;

  start (&t, "chunk-first");
  testbed_check_status (&t, "GET", "/stream/fixed/1", "s1", 502);
  g_assert_cmpuint (testbed_count_runs (&t, "s1"), ==, 1);
  testbed_check_status (&t, "GET", "/stream/1", "s2", 502);
  g_assert_cmpuint (testbed_count_runs (&t, "s2"), ==, 2);
  testbed_free (&t);
}

/* A body without length and chunks whose connection is reset is not
   complete.  */
static void
test_reset_body (void)
{
  struct testbed t;

  start (&t, "reset-body");
  testbed_check_status (&t, "POST", "/order/1", "o1", 502);
  g_assert_cmpuint (testbed_count_runs (&t, "o1"), ==, 1);
  testbed_start_replica (&t, "i-2", "app", "");
  g_assert_true (testbed_await_status (&t, 0, "/check/1", "key-1", 200));
  for (uint32_t i = 0; i < 4; i++)
    {
      struct http_response a
          = testbed_request (&t, 0, "GET", "/check/1", "c1", "key-1");
      g_assert_cmpint (a.status, ==, 200);
      g_assert_true (a.complete);
      g_assert_cmpstr (a.body, ==, "answer of i-2");
      http_response_free (&a);
    }
  testbed_free (&t);
}

struct upload_case
{
  const char *path;
  uint32_t runs; /* that the route allows; one where events were passed on */
};

static const struct upload_case upload_order = { "/order/1", 1 };
static const struct upload_case upload_check = { "/check/1", 3 };
static const struct upload_case upload_stream = { "/stream/1", 1 };

/* A body without length that is reset while the request is being written is
   not complete.  */
static void
test_reset_upload (gconstpointer data)
{
  const struct upload_case *c = data;
  enum
  {
    UPLOAD_BYTES = 4 * 1024 * 1024 - 1,
    REQUESTS = 12
  };
  g_autofree char *config = testbed_config (2, "", "");
  g_autoptr (GString) text = g_string_new (config);
  g_autofree char *upload = g_strnfill (UPLOAD_BYTES, 'u');
  struct testbed t;
  uint32_t whole = 0;

  testbed_init (&t);
  g_string_replace (text, "\"max-body-bytes\":4096",
                    "\"max-body-bytes\":4194304", 1);
  testbed_put_item (&t, "op/config", text->str);
  testbed_start_replica (&t, "i-1", "app", "reset-upload");
  testbed_start_edge (&t, 0);
  for (uint32_t i = 0; i < REQUESTS; i++)
    {
      g_autofree char *headers = g_strdup_printf (
          "X-Attempt-Id: u%u\r\nAuthorization: Bearer key-1\r\n", i);
      struct http_response a = harness_http (t.edges[0].front_port, "POST",
                                             c->path, headers, upload);
      g_test_message ("status %d, %zu bytes, %s", a.status, a.body_size,
                      a.complete ? "complete" : "incomplete");
      whole += a.status == 200 && a.complete;
      http_response_free (&a);
    }
  g_assert_cmpuint (whole, ==, 0);
  g_assert_cmpuint (testbed_count_runs (&t, "u0"), ==, c->runs);
  testbed_free (&t);
}

/* A response whose head arrives after the deadline of its request is given to
   no caller.  */
static void
test_late_head (void)
{
  struct testbed t;
  char *log;

  start (&t, "late-head");
  testbed_check_status (&t, "POST", "/order/1", "o1", 504);
  testbed_start_replica (&t, "i-2", "app", "");
  harness_sleep_ms (600);
  for (uint32_t i = 0; i < 4; i++)
    {
      g_autofree char *id = g_strdup_printf ("c%u", i);
      struct http_response a
          = testbed_request (&t, 0, "GET", "/check/1", id, "key-1");
      g_autofree char *echo = g_strdup_printf ("X-Attempt-Id: %s\r\n", id);
      g_assert_cmpint (a.status, ==, 200);
      g_assert_nonnull (strstr (a.headers, echo));
      http_response_free (&a);
    }
  log = testbed_read_log (&t, "edge-0");
  g_assert_null (strstr (log, "\"event\":\"answer\",\"id\":\"o1\""));
  g_free (log);
  g_assert_cmpuint (testbed_count_runs (&t, "o1"), ==, 1);
  testbed_free (&t);
}

/* A caller whose own deadline comes before the timeout of the route gets its
   verdict before that deadline.  */
static void
test_own_deadline (void)
{
  static const char *const faults[]
      = { "silent", "new-slow:value", "new-slow:length" };
  enum
  {
    DEADLINE_MS = 600
  };
  const gint64 deadline_us = (gint64)DEADLINE_MS * 1000;
  g_autofree char *headers
      = g_strdup_printf ("X-Attempt-Id: o1\r\nX-Deadline-Ms: %d\r\n"
                         "Authorization: Bearer key-1\r\n",
                         DEADLINE_MS);

  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      struct testbed t;
      struct http_response a;
      gint64 start_us;
      gint64 took_us;
      start (&t, faults[i]);
      start_us = g_get_monotonic_time ();
      a = harness_http (t.edges[0].front_port, "POST", "/order/1", headers,
                        "body");
      took_us = g_get_monotonic_time () - start_us;
      g_test_message ("%s: status %d after %.1f ms", faults[i], a.status,
                      (double)took_us / 1000);
      g_assert_cmpint (a.status, ==, 504);
      g_assert_cmpint (took_us, <, deadline_us);
      http_response_free (&a);
      testbed_free (&t);
    }
}

/* Returns how many tries in the log of the edge got no head after another try
   of their request, and asserts that none without a head has a status.  */
static uint32_t
count_later_without_head (struct testbed *t)
{
  g_autofree char *log = testbed_read_log (t, "edge-0");
  g_auto (GStrv) lines = g_strsplit (log, "\n", -1);
  uint32_t n = 0;

  for (uint32_t i = 0; lines[i]; i++)
    {
      if (!strstr (lines[i], "\"event\":\"try_failed\"")
          || !strstr (lines[i], "\"how\":\"unanswered\""))
        continue;
      g_test_message ("%s", lines[i]);
      g_assert_nonnull (strstr (lines[i], "\"status\":0,"));
      n += !strstr (lines[i], "\"runs\":1,");
    }
  return n;
}

/* A try that gets no head is logged with no status, not with that of the try
   before it.  */
static void
test_failed_status (void)
{
  enum
  {
    REQUESTS_MAX = 400,
    INTERVAL_MS = 50
  };
  struct testbed t;
  uint32_t n = 0;

  start (&t, "fail");
  testbed_start_replica (&t, "i-2", "app", "reset");
  for (uint32_t i = 0; i < REQUESTS_MAX && n == 0; i++)
    {
      struct http_response a
          = testbed_request (&t, 0, "GET", "/check/1", "c1", "key-1");
      http_response_free (&a);
      harness_sleep_ms (INTERVAL_MS);
      n = count_later_without_head (&t);
    }
  g_assert_cmpuint (n, >, 0);
  testbed_free (&t);
}

/* A stream whose route lets callers wait long pauses for as long: it is not
   given up for another upstream.  */
static void
test_slow_events (void)
{
  struct testbed t;
  struct http_response a;

  testbed_init (&t);
  testbed_put_config (
      &t, 2,
      ",{\"name\":\"calm\",\"host\":\"127.0.0.1\",\"prefix\":"
      "\"/stream/calm/\",\"route-kind\":\"streaming\",\"service\":\"app\","
      "\"timeout-ms\":9000,\"slo-ms\":1200,\"max-attempts\":2,\"priority\":1,"
      "\"resumable\":true}",
      "");
  testbed_start_replica (&t, "i-1", "app", "pause");
  testbed_start_replica (&t, "i-2", "app", "pause");
  testbed_start_edge (&t, 0);
  a = harness_http (t.edges[0].front_port, "GET", "/stream/calm/1",
                    "X-Attempt-Id: s1\r\nX-Deadline-Ms: 9000\r\n"
                    "Authorization: Bearer key-1\r\n",
                    "");
  g_assert_cmpint (a.status, ==, 200);
  g_assert_true (a.complete);
  g_assert_nonnull (strstr (a.body, "piece 6"));
  g_assert_cmpuint (testbed_count_runs (&t, "s1"), ==, 1);
  http_response_free (&a);
  testbed_free (&t);
}

/* The last try that a route allows is not given up as silent, since nothing
   can follow it: sound upstreams that are slower than the limit serve.  */
static void
test_slow_but_sound (void)
{
  struct testbed t;

  testbed_init (&t);
  testbed_put_config (
      &t, 2,
      ",{\"name\":\"calm\",\"host\":\"127.0.0.1\",\"prefix\":"
      "\"/check/calm/\",\"route-kind\":\"idempotent\",\"service\":\"app\","
      "\"timeout-ms\":9000,\"slo-ms\":50,\"max-attempts\":2,\"priority\":1}",
      "");
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_replica (&t, "i-2", "app", "");
  testbed_start_edge (&t, 0);
  for (uint32_t i = 0; i < 4; i++)
    {
      g_autofree char *id = g_strdup_printf ("c%u", i);
      testbed_check_status (&t, "GET", "/check/calm/slow", id, 200);
      g_assert_cmpuint (testbed_count_runs (&t, id), <=, 2);
    }
  testbed_free (&t);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ends/whole", test_whole);
  g_test_add_data_func ("/ends/close-inside", "close-inside", test_broken);
  g_test_add_data_func ("/ends/chunk-inside", "chunk-inside", test_broken);
  g_test_add_data_func ("/ends/reset-inside", "reset-inside", test_broken);
  g_test_add_data_func ("/ends/reset-between", "reset-between", test_broken);
  g_test_add_func ("/ends/chunk-first", test_broken_first);
  g_test_add_func ("/ends/reset-body", test_reset_body);
  g_test_add_data_func ("/ends/reset-upload", &upload_order,
                        test_reset_upload);
  g_test_add_data_func ("/ends/reset-upload-check", &upload_check,
                        test_reset_upload);
  g_test_add_data_func ("/ends/reset-upload-stream", &upload_stream,
                        test_reset_upload);
  g_test_add_func ("/ends/slow-events", test_slow_events);
  g_test_add_func ("/ends/slow-but-sound", test_slow_but_sound);
  g_test_add_func ("/ends/late-head", test_late_head);
  g_test_add_func ("/ends/own-deadline", test_own_deadline);
  g_test_add_func ("/ends/failed-status", test_failed_status);
  return g_test_run ();
}
