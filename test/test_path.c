/* Tests of the whole request path with real processes: an entry, agents and
   fake upstreams.  */

#include "harness/fleet.h"

#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>

static struct http_response
send_completion (struct fleet *f, const char *prompt, uint32_t tokens)
{
  char *body = g_strdup_printf (
      "{\"stream\":true,\"max_tokens\":%u,\"messages\":[{\"role\":\"user\","
      "\"content\":\"%s\"}]}",
      tokens, prompt);
  struct http_response a
      = harness_http (f->entries[0].port, "POST", "/v1/chat/completions",
                      fleet_auth_header, body);

  g_free (body);
  return a;
}

static void
test_whole_path (void)
{
  struct fleet f;
  struct http_response a;

  fleet_init (&f, harness_build_dir (), 1, 1, 1);
  fleet_start (&f);
  a = send_completion (&f, "hello", 8);
  g_assert_cmpint (a.status, ==, 200);
  g_assert_true (a.complete);
  g_assert_true (fleet_stream_is_complete (a.body, "hello", 8));
  http_response_free (&a);
  a = harness_http (f.entries[0].port, "GET", "/stock/7?depot=north",
                    fleet_auth_header, "");
  g_assert_cmpint (a.status, ==, 200);
  g_assert_cmpstr (
      a.body, ==,
      "{\"method\":\"GET\",\"path\":\"/stock/7?depot=north\",\"body\":\"\"}");
  http_response_free (&a);
  a = harness_http (f.entries[0].port, "POST", "/orders", fleet_auth_header,
                    "crate");
  g_assert_cmpint (a.status, ==, 201);
  g_assert_cmpstr (a.body, ==, "{\"order\":\"crate\",\"ran\":1}");
  http_response_free (&a);
  fleet_free (&f);
}

struct refusal_case
{
  const char *method;
  const char *path;
  const char *headers;
  int status;
  const char *reason;
};

static void
test_refusals (void)
{
  static const struct refusal_case cases[] = {
    { "POST", "/orders", "", 401, "no_key" },
    { "POST", "/orders", "Authorization: Bearer nobody\r\n", 401,
      "unknown_key" },
    { "POST", "/nowhere", "Authorization: Bearer key-1\r\n", 404, "no_route" },
    { "DELETE", "/orders", "Authorization: Bearer key-1\r\n", 405,
      "bad_method" },
  };
  struct fleet f;

  fleet_init (&f, harness_build_dir (), 1, 1, 1);
  fleet_start (&f);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct refusal_case *c = &cases[i];
      char *labels = g_strdup_printf ("reason=\"%s\"", c->reason);
      struct http_response a = harness_http (f.entries[0].port, c->method,
                                             c->path, c->headers, "");
      g_assert_cmpint (a.status, ==, c->status);
      g_assert_nonnull (strstr (a.body, c->reason));
      g_assert_nonnull (strstr (a.headers, "bilberry-run: no"));
      g_assert_cmpuint (harness_counter (f.entries[0].operator_port,
                                         "bilberry_refusals_total", labels),
                        ==, 1);
      http_response_free (&a);
      g_free (labels);
    }
  fleet_free (&f);
}

static void *
kill_engine_mid_stream (void *arg)
{
  struct fleet *f = arg;

  harness_await (f->upstreams[0].port, "/metrics", "engine_sequences 1",
                 10000);
  harness_sleep_ms (100);
  harness_signal (f->h, f->upstreams[0].upstream_pid, SIGKILL);
  return NULL;
}

/* A stream whose engine is killed must end with an error event and without the
   closing event, so that the client does not take it for complete.  */
static void
test_cut_stream (void)
{
  struct fleet f;
  struct http_response a;
  pthread_t thread;

  fleet_init (&f, harness_build_dir (), 1, 1, 1);
  fleet_start (&f);
  pthread_create (&thread, NULL, kill_engine_mid_stream, &f);
  a = send_completion (&f, "long", 100000);
  pthread_join (thread, NULL);
  g_assert_cmpint (a.status, ==, 200);
  g_assert_nonnull (strstr (a.body, "event: error"));
  g_assert_nonnull (strstr (a.body, "\"run\":\"maybe\""));
  g_assert_null (strstr (a.body, "[DONE]"));
  http_response_free (&a);
  fleet_free (&f);
}

static void
test_failure_domain_out (void)
{
  struct fleet f;
  struct http_response a;

  fleet_init (&f, harness_build_dir (), 1, 1, 1);
  fleet_start (&f);
  fleet_set_out (&f, "fd-b");
  g_assert_true (harness_await (f.entries[0].operator_port, "/status",
                                "\"in\": false", 10000));
  a = harness_http (f.entries[0].port, "POST", "/orders", fleet_auth_header,
                    "x");
  g_assert_cmpint (a.status, ==, 503);
  g_assert_nonnull (strstr (a.headers, "retry-after: "));
  http_response_free (&a);
  fleet_set_out (&f, "");
  g_assert_true (harness_await (f.entries[0].operator_port, "/status",
                                "\"revision\": 3", 10000));
  a = harness_http (f.entries[0].port, "POST", "/orders", fleet_auth_header,
                    "x");
  g_assert_cmpint (a.status, ==, 201);
  http_response_free (&a);
  fleet_free (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/path/whole", test_whole_path);
  g_test_add_func ("/path/refusals", test_refusals);
  g_test_add_func ("/path/cut-stream", test_cut_stream);
  g_test_add_func ("/path/failure-domain-out", test_failure_domain_out);
  return g_test_run ();
}
