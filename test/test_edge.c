/* Tests of bilberry-edge with real processes: a fake store, fake replicas that
   can return faulty responses, and callers.  */

#include "harness/testbed.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static void
test_path (void)
{
  struct testbed t;
  struct http_response a;
  char *text;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  a = testbed_request (&t, 0, "POST", "/order/7", "o1", "key-1");
  g_assert_cmpint (a.status, ==, 200);
  g_assert_cmpstr (a.body, ==, "answer of i-1");
  g_assert_nonnull (strstr (a.headers, "X-Replica-Signature: i-1"));
  g_assert_nonnull (strstr (a.headers, "X-Attempt-Id: o1"));
  http_response_free (&a);
  a = testbed_request (&t, 0, "GET", "/stream/7", "s1", "key-1");
  g_assert_cmpint (a.status, ==, 200);
  g_assert_true (a.complete);
  g_assert_nonnull (strstr (a.body, "id: 1\ndata: piece 1\n\n"));
  g_assert_nonnull (strstr (a.body, "id: 6\ndata: piece 6\n\n"));
  http_response_free (&a);
  /* The replica gets the customer of the key, not the X-Tenant header that the
     caller sent, and it does not get the key.  */
  a = harness_http (t.replica_ports[0], "GET", "/ran", "", "");
  g_assert_nonnull (strstr (a.body, "o1 by maker within "));
  g_assert_nonnull (strstr (a.body, " key \n"));
  g_assert_null (strstr (a.body, "forged"));
  http_response_free (&a);
  text = testbed_read_log (&t, "edge-0");
  g_assert_nonnull (strstr (text, "\"event\":\"send\",\"id\":\"o1\""));
  g_free (text);
  /* The histograms count one order and one stream.  */
  a = harness_http (t.edges[0].metrics_port, "GET", "/metrics", "", "");
  g_assert_nonnull (strstr (a.body, "bilberry_wait_ms_count{} 2\n"));
  g_assert_nonnull (strstr (a.body, "bilberry_first_event_ms_count{} 1\n"));
  g_assert_nonnull (strstr (a.body, "bilberry_answer_ms_count{} 2\n"));
  http_response_free (&a);
  testbed_free (&t);
}

static void
test_refusals (void)
{
  struct testbed t;
  struct http_response a;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  a = testbed_request (&t, 0, "GET", "/check/1", "k1", "key-9");
  g_assert_cmpint (a.status, ==, 401);
  http_response_free (&a);
  a = testbed_request (&t, 0, "GET", "/check/1", "k2", NULL);
  g_assert_cmpint (a.status, ==, 401);
  http_response_free (&a);
  testbed_check_status (&t, "GET", "/nowhere/1", "k3", 404);
  /* A pool without replicas: refused with a Retry-After header.  */
  a = testbed_request (&t, 0, "GET", "/other/1", "k4", "key-1");
  g_assert_cmpint (a.status, ==, 503);
  g_assert_nonnull (strstr (a.headers, "Retry-After: "));
  http_response_free (&a);
  g_assert_cmpuint (
      testbed_count_runs (&t, "k1") + testbed_count_runs (&t, "k2")
          + testbed_count_runs (&t, "k3") + testbed_count_runs (&t, "k4"),
      ==, 0);
  testbed_free (&t);
}

struct fault_case
{
  const char *fault;
  int order_status;    /* status of an order when there is no other replica */
  uint32_t order_runs; /* how often the replica runs the order */
  bool check_succeeds; /* a check succeeds at another replica */
};

/* An order, which must not run twice, is retried, and refused as not run, only
   if it did not run.  A check, which is idempotent, is retried at another
   replica.  */
static void
test_faults (void)
{
  static const struct fault_case cases[] = {
    { "reset", 502, 1, true },
    { "cut", 502, 1, true },
    { "garbage", 502, 1, true },
    { "other-id", 502, 1, true },
    { "unsigned", 502, 1, true },
    { "not-run", 503, 0, true },
    { "fail", 500, 1, true },
    { "silent", 504, 1, true },
    { "unframed", 200, 1, true },
    { "extra", 200, 1, true },
    { "status:000 None", 502, 1, true },
    { "status:600 Odd", 502, 1, true },
    { "status:999 Odd", 502, 1, true },
    { "status:0200 Odd", 502, 1, true },
    { "header:X Odd: 1", 502, 1, true },
    { "header:X-Odd : 1", 502, 1, true },
    { "header:X-Odd\x01: 1", 502, 1, true },
    { "header:Content-Length\x0b: 3", 502, 1, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct fault_case *c = &cases[i];
      struct testbed t;
      g_test_message ("%s", c->fault);
      testbed_init (&t);
      testbed_start_replica (&t, "i-bad", "app", c->fault);
      testbed_start_edge (&t, 0);
      testbed_check_status (&t, "POST", "/order/1", "o1", c->order_status);
      g_assert_cmpuint (testbed_count_runs (&t, "o1"), ==, c->order_runs);
      testbed_start_replica (&t, "i-good", "app", "");
      g_assert_true (testbed_await_status (&t, 0, "/check/1", "key-1", 200));
      for (uint32_t k = 0; k < 6; k++)
        {
          char id[16];
          g_snprintf (id, sizeof id, "c%u", k);
          testbed_check_status (&t, "GET", "/check/1", id, 200);
        }
      testbed_free (&t);
    }
}

/* A response that ends when the replica closes the connection in order,
   without length or chunks, is forwarded with a length: its end is marked,
   whatever happens to the connection of the caller (review/3, review/4).  */
static void
test_unframed (void)
{
  static const char body[] = "up to the end";
  g_autofree char *length
      = g_strdup_printf ("Content-Length: %zu\r\n", strlen (body));
  struct testbed t;
  struct http_response a;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "unframed");
  testbed_start_edge (&t, 0);
  a = testbed_request (&t, 0, "GET", "/check/1", "c1", "key-1");
  g_assert_cmpint (a.status, ==, 200);
  g_assert_true (a.complete);
  g_assert_cmpstr (a.body, ==, body);
  g_assert_nonnull (strstr (a.headers, length));
  g_assert_null (strstr (a.headers, "Transfer-Encoding"));
  http_response_free (&a);
  testbed_free (&t);
}

/* A stream that breaks off in the middle of an event is resumed at another
   replica.  The caller gets each event once and nothing of the incomplete
   one.  */
static void
test_resume (void)
{
  struct testbed t;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "break");
  testbed_start_replica (&t, "i-2", "app", "break");
  testbed_start_edge (&t, 0);
  for (uint32_t k = 0; k < 4; k++)
    {
      struct http_response a
          = testbed_request (&t, 0, "GET", "/stream/1", "s1", "key-1");
      const char *at = a.body;
      g_assert_cmpint (a.status, ==, 200);
      g_assert_true (a.complete);
      for (int i = 1; i <= 6; i++)
        {
          char event[64];
          g_snprintf (event, sizeof event, "id: %d\ndata: piece %d\n\n", i, i);
          g_assert_true (g_str_has_prefix (at, event));
          at += strlen (event);
        }
      g_assert_cmpstr (at, ==, "");
      http_response_free (&a);
    }
  testbed_free (&t);
}

/* The address of a replica that no longer exists belongs to a replica of
   another pool now, which must not run the request.  */
static void
test_address_used_again (void)
{
  struct testbed t;
  char *value;

  testbed_init (&t);
  testbed_start_replica (&t, "i-new", "other", "");
  value = g_strdup_printf (
      "{\"service\":\"app\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z1\","
      "\"slots\":8,\"state\":\"ready\"}",
      t.replica_ports[0]);
  testbed_put_item (&t, "servers/i-old", value);
  g_free (value);
  testbed_start_edge (&t, 0);
  testbed_check_status (&t, "POST", "/order/1", "o1", 503);
  g_assert_cmpuint (testbed_count_runs (&t, "o1"), ==, 0);
  testbed_check_status (&t, "GET", "/other/1", "c1", 200);
  testbed_free (&t);
}

static void
test_drain (void)
{
  struct testbed t;
  struct http_response a;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  harness_signal (t.harness, t.edges[0].pid, SIGTERM);
  harness_sleep_ms (200);
  a = harness_http (t.edges[0].ready_port, "GET", "/v1/readyz", "", "");
  g_assert_cmpint (a.status, ==, 503);
  http_response_free (&a);
  /* New requests are still served, with Connection: close.  */
  a = testbed_request (&t, 0, "POST", "/order/1", "o1", "key-1");
  g_assert_cmpint (a.status, ==, 200);
  g_assert_nonnull (strstr (a.headers, "Connection: close"));
  http_response_free (&a);
  g_assert_cmpint (harness_wait (t.harness, t.edges[0].pid), ==, 0);
  testbed_free (&t);
}

/* A SIGHUP while the settings file is invalid changes nothing.  */
static void
test_reload (void)
{
  struct testbed t;
  char *text;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  harness_write_file (harness_config_dir (t.harness), "edge-0.yaml",
                      "node: [");
  harness_signal (t.harness, t.edges[0].pid, SIGHUP);
  harness_sleep_ms (200);
  testbed_check_status (&t, "POST", "/order/1", "o1", 200);
  text = testbed_read_log (&t, "edge-0");
  g_assert_nonnull (strstr (text, "\"event\":\"reload_refused\""));
  g_free (text);
  testbed_free (&t);
}

struct raw_case
{
  const char *text;
  const char *expected_start; /* expected start of the response */
};

/* Malformed and too large requests are refused, as are ambiguous body lengths
   and duplicate Host headers, which allow request smuggling.  */
static void
test_bad_input (void)
{
  static const struct raw_case cases[] = {
    { "nonsense\r\n\r\n", "HTTP/1.1 400 " },
    { "GET /check/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 5\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "HTTP/1.1 400 " },
    { "POST /order/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 5\r\n"
      "Content-Length: 6\r\n\r\nhello",
      "HTTP/1.1 400 " },
    { "POST /order/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: "
      "99999\r\n\r\n",
      "HTTP/1.1 413 " },
    { "GET /check/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nHost: b\r\n\r\n",
      "HTTP/1.1 400 " },
    { "POST /order/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n", "HTTP/1.1 408 " },
  };
  struct testbed t;
  char *large = g_strnfill (5000, 'x');
  char *text;
  char *got;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      got = harness_send_raw (t.edges[0].front_port, cases[i].text,
                              strlen (cases[i].text), 3000);
      g_test_message ("%s", cases[i].text);
      g_assert_true (g_str_has_prefix (got, cases[i].expected_start));
      free (got);
    }
  text = g_strdup_printf ("GET /check/1 HTTP/1.1\r\nX-Large: %s\r\n\r\n",
                          large);
  got = harness_send_raw (t.edges[0].front_port, text, strlen (text), 3000);
  g_assert_true (g_str_has_prefix (got, "HTTP/1.1 431 "));
  free (got);
  g_free (text);
  g_free (large);
  testbed_check_status (&t, "POST", "/order/1", "o1", 200);
  testbed_free (&t);
}

/* A request with a chunked body is served, and two pipelined requests on one
   connection get their own responses in order.  */
static void
test_channel (void)
{
  static const char text[]
      = "POST /order/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: a1\r\n"
        "Authorization: Bearer key-1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        "GET /check/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: a2\r\n"
        "Authorization: Bearer key-1\r\nConnection: close\r\n\r\n";
  struct testbed t;
  char *got;
  const char *first;
  const char *second;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  got = harness_send_raw (t.edges[0].front_port, text, strlen (text), 3000);
  first = strstr (got, "X-Attempt-Id: a1");
  second = strstr (got, "X-Attempt-Id: a2");
  g_assert_nonnull (first);
  g_assert_nonnull (second);
  g_assert_true (first < second);
  free (got);
  testbed_free (&t);
}

/* Sends a POST in chunks that ends with a trailer of SIZE bytes, as attempt
   ID. Returns the response, which the caller frees.  */
static char *
send_trailer (struct testbed *t, const char *id, gsize size)
{
  g_autofree char *trailer = g_strnfill (size, 'x');
  g_autofree char *text = g_strdup_printf (
      "POST /check/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: %s\r\n"
      "Authorization: Bearer key-1\r\nTransfer-Encoding: chunked\r\n"
      "Connection: close\r\n\r\n"
      "3\r\nabc\r\n0\r\nX-Trailer: %s\r\n\r\n",
      id, trailer);

  return harness_send_raw (t->edges[0].front_port, text, strlen (text), 3000);
}

/* The trailer of a request in chunks is left out, whatever its size; it counts
   for the limit on the head.  */
static void
test_request_trailers (void)
{
  struct testbed t;
  char *got;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  for (gsize size = 1; size < 1800; size = size * 3 / 2 + 1)
    {
      g_autofree char *id = g_strdup_printf ("a%zu", size);
      got = send_trailer (&t, id, size);
      g_assert_true (g_str_has_prefix (got, "HTTP/1.1 200 "));
      g_assert_cmpuint (testbed_count_runs (&t, id), ==, 1);
      free (got);
    }
  got = send_trailer (&t, "large", 3000);
  g_assert_true (g_str_has_prefix (got, "HTTP/1.1 431 "));
  g_assert_cmpuint (testbed_count_runs (&t, "large"), ==, 0);
  free (got);
  testbed_free (&t);
}

/* So is that of a response.  */
static void
test_response_trailers (void)
{
  struct testbed t;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "trailers");
  testbed_start_edge (&t, 0);
  for (int i = 0; i < 3; i++)
    {
      struct http_response a
          = testbed_request (&t, 0, "GET", "/check/1", "c1", "key-1");
      g_assert_cmpint (a.status, ==, 200);
      g_assert_cmpstr (a.body, ==, "answer of i-1");
      g_assert_null (strstr (a.headers, "X-Trailer"));
      http_response_free (&a);
    }
  testbed_free (&t);
}

/* More callers connect than there are descriptors for: idle connections are
   closed to make room, and the process stays small.  */
static void
test_many_callers (void)
{
  enum
  {
    CALLERS = 400, /* more than 60 % of the 500 descriptors in the settings */
    MEMORY_MAX_KB = 160 * 1024 /* memory of the smallest VM */
  };
  int fds[CALLERS];
  struct testbed t;
  struct http_response a;
  g_autofree char *path = NULL;
  g_autofree char *status = NULL;
  const char *peak;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  for (uint32_t i = 0; i < CALLERS; i++)
    fds[i] = harness_connect (t.edges[0].front_port);
  for (uint32_t i = 0; i < 5; i++)
    testbed_check_status (&t, "GET", "/check/1", "m1", 200);
  a = harness_http (t.edges[0].metrics_port, "GET", "/metrics", "", "");
  g_assert_nonnull (strstr (a.body, "bilberry_channels_made_room_total 1"));
  http_response_free (&a);
  path = g_strdup_printf ("/proc/%d/status", (int)t.edges[0].pid);
  g_assert_true (g_file_get_contents (path, &status, NULL, NULL));
  peak = strstr (status, "VmHWM:");
  g_assert_nonnull (peak);
  g_assert_cmpint (atoi (peak + strlen ("VmHWM:")), <, MEMORY_MAX_KB);
  for (uint32_t i = 0; i < CALLERS; i++)
    close (fds[i]);
  testbed_free (&t);
}

/* An edge notices that a caller has closed its connection while the request is
   still running.  */
static void
test_caller_leaves (void)
{
  static const char text[]
      = "GET /check/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: g1\r\n"
        "Authorization: Bearer key-1\r\nX-Deadline-Ms: 1900\r\n\r\n";
  struct testbed t;
  char *log = NULL;
  int fd;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "silent");
  testbed_start_edge (&t, 0);
  fd = harness_send_unread (t.edges[0].front_port, text, strlen (text));
  harness_sleep_ms (100);
  close (fd);
  for (uint32_t i = 0; i < 40; i++)
    {
      g_free (log);
      log = testbed_read_log (&t, "edge-0");
      if (strstr (log, "\"event\":\"caller_gone\",\"id\":\"g1\""))
        break;
      harness_sleep_ms (50);
    }
  g_assert_nonnull (strstr (log, "\"event\":\"caller_gone\",\"id\":\"g1\""));
  g_free (log);
  testbed_free (&t);
}

/* One group of a pool is broken: the other one serves all requests, and the
   broken one gets none once its report is known.  */
static void
test_broken_group (void)
{
  struct testbed t;
  char *text;
  char *group_event;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "draft", "broken");
  testbed_start_replica (&t, "i-2", "draft", "");
  testbed_start_edge (&t, 0);
  for (uint32_t i = 0; i < 12; i++)
    {
      g_autofree char *id = g_strdup_printf ("d%u", i);
      testbed_check_status (&t, "GET", "/draft/1", id, 200);
      harness_sleep_ms (50);
    }
  text = testbed_read_log (&t, "edge-0");
  group_event = strstr (
      text, "\"event\":\"group\",\"pool\":\"draft\",\"group\":\"b\"");
  g_assert_nonnull (group_event);
  g_assert_nonnull (strstr (group_event, "\"upstream\":\"i-2\""));
  g_assert_null (strstr (group_event, "\"upstream\":\"i-1\""));
  g_free (text);
  testbed_free (&t);
}

/* The log lines with the id of a failed order show why it failed.  */
static void
test_explains (void)
{
  struct testbed t;
  char **lines;
  char *log;
  GString *matches = g_string_new ("");

  testbed_init (&t);
  testbed_start_replica (&t, "i-bad", "app", "reset");
  testbed_start_edge (&t, 0);
  testbed_check_status (&t, "POST", "/order/1", "lost-1", 502);
  harness_sleep_ms (100);
  log = testbed_read_log (&t, "edge-0");
  lines = g_strsplit (log, "\n", -1);
  for (uint32_t i = 0; lines[i]; i++)
    if (strstr (lines[i], "\"id\":\"lost-1\""))
      g_string_append_printf (matches, "%s\n", lines[i]);
  g_assert_nonnull (strstr (matches->str, "\"event\":\"send\""));
  g_assert_nonnull (strstr (matches->str, "\"upstream\":\"i-bad\""));
  g_assert_nonnull (strstr (matches->str, "\"event\":\"try_failed\""));
  g_assert_nonnull (strstr (matches->str, "\"outcome\":\"lost\""));
  g_assert_nonnull (strstr (matches->str, "\"how\":\"unanswered\""));
  g_assert_nonnull (strstr (matches->str, "\"event\":\"refuse\""));
  g_assert_nonnull (strstr (matches->str, "\"status\":502"));
  g_string_free (matches, TRUE);
  g_strfreev (lines);
  g_free (log);
  testbed_free (&t);
}

static void
test_command (void)
{
  struct harness *h = harness_new (harness_build_dir ());
  char *path = g_strdup_printf ("%s/s.yaml", harness_config_dir (h));

  g_assert_cmpint (harness_wait (h, harness_spawn (h, "a", "bilberry-edge",
                                                   "--help", NULL)),
                   ==, 0);
  g_assert_cmpint (harness_wait (h, harness_spawn (h, "b", "bilberry-rank",
                                                   "--nonsense", NULL)),
                   ==, 2);
  g_assert_cmpint (
      harness_wait (h, harness_spawn (h, "e", "bilberry-rank", "--metrics",
                                      "70000", NULL)),
      ==, 2);
  harness_write_file (harness_config_dir (h), "s.yaml",
                      "node: a\nip: 127.0.0.1\nzone: z\n");
  g_assert_cmpint (
      harness_wait (h, harness_spawn (h, "c", "bilberry-edge", "--check", "-s",
                                      path, NULL)),
      ==, 1);
  harness_write_file (harness_config_dir (h), "s.yaml",
                      "node: a\nip: 127.0.0.1\nzone: z\n"
                      "app: '127.0.0.1:9'\nservice: s\n");
  g_assert_cmpint (
      harness_wait (h, harness_spawn (h, "d", "bilberry-rank", "--check", "-s",
                                      path, NULL)),
      ==, 0);
  g_free (path);
  harness_free (h);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edge/path", test_path);
  g_test_add_func ("/edge/refusals", test_refusals);
  g_test_add_func ("/edge/faults", test_faults);
  g_test_add_func ("/edge/unframed", test_unframed);
  g_test_add_func ("/edge/resume", test_resume);
  g_test_add_func ("/edge/address-used-again", test_address_used_again);
  g_test_add_func ("/edge/drain", test_drain);
  g_test_add_func ("/edge/reload", test_reload);
  g_test_add_func ("/edge/bad-input", test_bad_input);
  g_test_add_func ("/edge/channel", test_channel);
  g_test_add_func ("/edge/request-trailers", test_request_trailers);
  g_test_add_func ("/edge/response-trailers", test_response_trailers);
  g_test_add_func ("/edge/many-callers", test_many_callers);
  g_test_add_func ("/edge/caller-leaves", test_caller_leaves);
  g_test_add_func ("/edge/broken-group", test_broken_group);
  g_test_add_func ("/edge/explains", test_explains);
  g_test_add_func ("/edge/command", test_command);
  return g_test_run ();
}
