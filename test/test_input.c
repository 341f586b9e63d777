/* Tests of invalid requests and slow clients at an entry, with real processes
   and raw bytes.  */

#include "harness/fleet.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>

enum
{
  WAIT_MS = 60000,
  REFUSAL_WAIT_MS = 40000,
  REQUESTS_PER_THREAD = 200
};

#define KEY "Authorization: Bearer key-1\r\n"
#define HOST "Host: 127.0.0.1\r\n"

static void
start_fleet (struct fleet *f)
{
  fleet_init (f, harness_build_dir (), 1, 1, 1);
  f->engine_options[0] = "--step-ms";
  f->engine_options[1] = "1";
  fleet_start (f);
}

static uint64_t
refusal_count (const struct fleet *f, const char *reason)
{
  char *labels = g_strdup_printf ("reason=\"%s\"", reason);
  uint64_t n = harness_counter (f->entries[0].operator_port,
                                "bilberry_refusals_total", labels);

  g_free (labels);
  return n;
}

static void
await_refusals (const struct fleet *f, const char *reason, uint64_t count)
{
  char *text = g_strdup_printf (
      "bilberry_refusals_total{reason=\"%s\"} %" G_GUINT64_FORMAT "\n", reason,
      count);

  g_assert_true (
      harness_await (f->entries[0].operator_port, "/metrics", text, WAIT_MS));
  g_free (text);
}

/* Asserts that requests are served, with one Date header, and that no
   connection to an agent was lost.  */
static void
assert_healthy (struct fleet *f)
{
  struct http_response a
      = harness_http (f->entries[0].port, "GET", "/stock/7", KEY, "");

  const char *date = strcasestr (a.headers, "\r\ndate:");

  g_assert_cmpint (a.status, ==, 200);
  g_assert_null (strcasestr (date + 2, "\r\ndate:"));
  g_assert_cmpuint (refusal_count (f, "agent_lost"), ==, 0);
  g_assert_cmpuint (harness_counter (f->upstreams[0].operator_port,
                                     "bilberry_bad_frames_total", ""),
                    ==, 0);
  http_response_free (&a);
}

struct raw_case
{
  const char *head;    /* bytes to send; %s stands for a run of letters */
  guint letters_count; /* length of that run */
  int status;
  const char *reason;
  bool no_problem_body; /* the HTTP library sends its own error text */
};

static const struct raw_case raw_cases[] = {
  { "GET /stock/7 HTTP/1.1\r\n" HOST KEY "X-Long: %s\r\n\r\n", 20000, 431,
    "head_too_large", false },
  { "GET /stock/%s HTTP/1.1\r\n" HOST KEY "\r\n", 10000, 431, "head_too_large",
    false },
  { "GET /stock/7 HTTP/1.1\r\n" HOST KEY "%s: a\r\n\r\n", 300, 431,
    "head_too_large", false },
  { "%s /stock/7 HTTP/1.1\r\n" HOST KEY "\r\n", 40, 431, "head_too_large",
    false },
  { "POST /orders HTTP/1.1\r\n" HOST KEY
    "Idempotency-Key: %s\r\nContent-Length: 0\r\n\r\n",
    300, 400, "bad_request", false },
  { "POST /orders HTTP/1.1\r\n" HOST KEY
    "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
    0, 400, "bad_request", false },
  { "POST /orders HTTP/1.1\r\n" HOST KEY "Content-Length: minus\r\n\r\nabc", 0,
    400, "bad_request", false },
  { "POST /orders HTTP/1.1\r\n" HOST KEY "Transfer-Encoding: bogus\r\n\r\nabc",
    0, 400, "bad_request", false },
  { "POST /orders HTTP/1.1\r\n" HOST KEY "Content-Length: 99999999\r\n\r\nabc",
    0, 413, "body_too_large", false },
  { "POST /orders HTTP/1.1\r\n" HOST KEY "Content-Length: 1048577\r\n\r\n%s",
    1048577, 413, "body_too_large", false },
  { "GARBAGE\r\n\r\n", 0, 400, "bad_request", true },
  { "GET /stock/7 HTTP/1.1\r\n" HOST KEY "X-Tenant : other\r\n\r\n", 0, 400,
    "bad_request", true },
  { "GET /nowhere HTTP/1.1\r\n" HOST KEY "\r\n", 0, 404, "no_route", false },
  { "DELETE /orders HTTP/1.1\r\n" HOST KEY "\r\n", 0, 405, "bad_method",
    false },
  { "POST /orders HTTP/1.1\r\n" HOST "Content-Length: 0\r\n\r\n", 0, 401,
    "no_key", false },
  { "POST /orders HTTP/1.1\r\n" HOST
    "Authorization: Bearer nobody\r\nContent-Length: 0\r\n\r\n",
    0, 401, "unknown_key", false },
  { "POST /orders HTTP/1.1\r\n" HOST
    "Authorization: Bearer \r\nContent-Length: 0\r\n\r\n",
    0, 401, "no_key", false },
};

static char *
format_case (const struct raw_case *c)
{
  char *letters = g_strnfill (c->letters_count, 'A');
  char **parts = g_strsplit (c->head, "%s", 2);
  char *text = g_strconcat (parts[0], letters, parts[1], NULL);

  g_strfreev (parts);
  g_free (letters);
  return text;
}

static void
check_case (struct fleet *f, const struct raw_case *c)
{
  uint64_t before = refusal_count (f, c->reason);
  char *text = format_case (c);
  char *response
      = harness_send_raw (f->entries[0].port, text, strlen (text), 500);
  int status = 0;

  g_test_message ("%.60s", c->head);
  g_assert_cmpint (sscanf (response, "HTTP/1.1 %d", &status), ==, 1);
  g_assert_cmpint (status, ==, c->status);
  if (!c->no_problem_body)
    {
      g_assert_nonnull (strstr (response, "application/problem+json"));
      g_assert_nonnull (strstr (response, "bilberry-run: no"));
      g_assert_nonnull (strstr (response, c->reason));
    }
  await_refusals (f, c->reason, before + 1);
  free (response);
  g_free (text);
}

static void
test_raw (void)
{
  struct fleet f;

  start_fleet (&f);
  for (size_t i = 0; i < G_N_ELEMENTS (raw_cases); i++)
    check_case (&f, &raw_cases[i]);
  assert_healthy (&f);
  fleet_free (&f);
}

static void
test_many_headers (void)
{
  GString *text = g_string_new ("GET /stock/7 HTTP/1.1\r\n" HOST KEY);
  struct raw_case c = { .status = 431, .reason = "head_too_large" };
  struct fleet f;

  start_fleet (&f);
  for (int i = 0; i < 80; i++)
    g_string_append_printf (text, "X-%d: a\r\n", i);
  g_string_append (text, "\r\n");
  c.head = text->str;
  check_case (&f, &c);
  assert_healthy (&f);
  fleet_free (&f);
  g_string_free (text, TRUE);
}

static void
test_bad_json (void)
{
  static const char *const paths[]
      = { "/v1/chat/completions", "/v1/completions" };
  static const char *const bodies[] = { "",
                                        "{",
                                        "[]",
                                        "7",
                                        "{}",
                                        "{\"messages\":7}",
                                        "{\"prompt\":null}",
                                        "{\"prompt\":\"\xff\"}" };
  struct fleet f;
  uint64_t count = 0;

  start_fleet (&f);
  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (bodies); j++)
      {
        struct http_response a = harness_http (f.entries[0].port, "POST",
                                               paths[i], KEY, bodies[j]);
        g_assert_cmpint (a.status, ==, 400);
        g_assert_nonnull (strstr (a.body, "bad_request"));
        g_assert_cmpuint (refusal_count (&f, "bad_request"), ==, ++count);
        http_response_free (&a);
      }
  assert_healthy (&f);
  fleet_free (&f);
}

/* Formats a request for a streamed completion of TOKENS tokens.  */
static char *
format_stream_request (uint32_t tokens)
{
  char *body = g_strdup_printf (
      "{\"stream\":true,\"max_tokens\":%u,\"prompt\":\"hello\"}", tokens);
  char *text = g_strdup_printf ("POST /v1/completions HTTP/1.1\r\n" HOST KEY
                                "Content-Length: %zu\r\n\r\n%s",
                                strlen (body), body);

  g_free (body);
  return text;
}

static void
test_gone_client (void)
{
  struct fleet f;
  char *text = format_stream_request (1000000);
  char *response;

  start_fleet (&f);
  response = harness_send_raw (f.entries[0].port, text, strlen (text), 1);
  free (response);
  g_assert_true (harness_await (f.upstreams[0].port, "/metrics",
                                "engine_cancelled_total 1", WAIT_MS));
  g_assert_true (harness_await (f.upstreams[0].port, "/metrics",
                                "engine_sequences 0", WAIT_MS));
  await_refusals (&f, "cancelled", 1);
  g_assert_true (harness_await (f.entries[0].operator_port, "/status",
                                "\"in_flight\": 0", WAIT_MS));
  assert_healthy (&f);
  fleet_free (&f);
  g_free (text);
}

/* Two clients read nothing, one of a stream and one of a large response: both
   requests must end as slow_client.  */
static void
test_slow_reader (void)
{
  struct fleet f;
  char *stream = format_stream_request (1000000);
  char *letters = g_strnfill (1000000, 'A');
  char *large = g_strdup_printf ("GET /stock/7 HTTP/1.1\r\n" HOST KEY
                                 "Content-Length: 1000000\r\n\r\n%s",
                                 letters);
  int fds[2];

  start_fleet (&f);
  fds[0] = harness_send_unread (f.entries[0].port, stream, strlen (stream));
  fds[1] = harness_send_unread (f.entries[0].port, large, strlen (large));
  g_assert_true (harness_await (f.upstreams[0].port, "/metrics",
                                "engine_cancelled_total 1", WAIT_MS));
  await_refusals (&f, "slow_client", 2);
  /* The entry aborted the stream itself; the client did not disconnect.  */
  g_assert_cmpuint (refusal_count (&f, "cancelled"), ==, 0);
  g_assert_true (harness_await (f.entries[0].operator_port, "/status",
                                "\"in_flight\": 0", WAIT_MS));
  assert_healthy (&f);
  close (fds[0]);
  close (fds[1]);
  fleet_free (&f);
  g_free (stream);
  g_free (large);
  g_free (letters);
}

static void *
send_incomplete_requests (void *arg)
{
  static const char *const requests[] = { "GET /stock/7 HTTP/1.1\r\n" HOST,
                                          "POST /orders HTTP/1.1\r\n" HOST KEY
                                          "Content-Length: 10\r\n\r\nabc" };
  const struct fleet *f = arg;

  for (size_t i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      char *response
          = harness_send_raw (f->entries[0].port, requests[i],
                              strlen (requests[i]), REFUSAL_WAIT_MS);
      g_assert_true (g_str_has_prefix (response, "HTTP/1.1 408 "));
      g_assert_nonnull (strstr (response, "slow_client"));
      free (response);
    }
  return NULL;
}

/* A client that sends an incomplete request must get 408 while other clients
   are served.  */
static void
test_slow_sender (void)
{
  struct fleet f;
  pthread_t thread;

  start_fleet (&f);
  pthread_create (&thread, NULL, send_incomplete_requests, &f);
  assert_healthy (&f);
  pthread_join (thread, NULL);
  g_assert_cmpuint (refusal_count (&f, "slow_client"), ==, 2);
  assert_healthy (&f);
  fleet_free (&f);
}

static void *
send_invalid_requests (void *arg)
{
  const struct fleet *f = arg;

  for (size_t i = 0; i < REQUESTS_PER_THREAD; i++)
    {
      const struct raw_case *c = &raw_cases[i % G_N_ELEMENTS (raw_cases)];
      char *text = format_case (c);
      /* Some clients disconnect before the response.  */
      free (harness_send_raw (f->entries[0].port, text, strlen (text),
                              i % 3 == 0 ? 0 : 20));
      g_free (text);
    }
  return NULL;
}

static void
test_many_at_once (void)
{
  struct fleet f;
  pthread_t threads[8];

  start_fleet (&f);
  for (size_t i = 0; i < G_N_ELEMENTS (threads); i++)
    pthread_create (&threads[i], NULL, send_invalid_requests, &f);
  for (size_t i = 0; i < G_N_ELEMENTS (threads); i++)
    pthread_join (threads[i], NULL);
  assert_healthy (&f);
  g_assert_true (harness_await (f.entries[0].operator_port, "/status",
                                "\"in_flight\": 0", WAIT_MS));
  fleet_free (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/input/raw", test_raw);
  g_test_add_func ("/input/many-headers", test_many_headers);
  g_test_add_func ("/input/bad-json", test_bad_json);
  g_test_add_func ("/input/gone-client", test_gone_client);
  g_test_add_func ("/input/slow-reader", test_slow_reader);
  g_test_add_func ("/input/slow-sender", test_slow_sender);
  g_test_add_func ("/input/many-at-once", test_many_at_once);
  return g_test_run ();
}
