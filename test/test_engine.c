/* Tests of fake-engine, the stand-in for a model engine.  */

#include "harness/harness.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>

struct engine
{
  struct harness *h;
  uint16_t port;
};

/* Starts an engine that runs one sequence at a time.  */
static struct engine
start_engine (void)
{
  const char *build = g_getenv ("BILBERRY_BUILD");
  struct engine e = { .h = harness_new (build ? build : "build") };
  char address[32];

  e.port = harness_port (e.h);
  g_snprintf (address, sizeof address, "127.0.0.1:%u", e.port);
  harness_start (e.h, "engine", "fake-engine", "--address", address, "--batch",
                 "1", "--step-ms", "2", "--prefill-ms", "0", (char *)NULL);
  return e;
}

static void
test_health (void)
{
  struct engine e = start_engine ();
  struct http_response a = harness_http (e.port, "GET", "/health", "", "");

  g_assert_cmpint (a.status, ==, 200);
  http_response_free (&a);
  harness_free (e.h);
}

/* A resumed response must be the end of the complete one.  */
static void
test_resume (void)
{
  static const char *const path = "/v1/completions";
  struct engine e = start_engine ();
  struct http_response complete
      = harness_http (e.port, "POST", path, "",
                      "{\"stream\":true,\"prompt\":\"a\",\"max_tokens\":6}");
  struct http_response remainder
      = harness_http (e.port, "POST", path, "",
                      "{\"stream\":true,\"prompt\":\"a\",\"max_tokens\":6,"
                      "\"resume_tokens\":4}");

  g_assert_cmpuint (remainder.body_size, <, complete.body_size);
  g_assert_true (g_str_has_suffix (complete.body, remainder.body));
  g_assert_nonnull (strstr (remainder.body, "-4 "));
  http_response_free (&complete);
  http_response_free (&remainder);
  harness_free (e.h);
}

/* A request and when its response was complete.  */
struct request
{
  struct engine *e;
  const char *body;
  gint64 end_us;
};

static void *
send_body (void *arg)
{
  struct request *s = arg;
  struct http_response a
      = harness_http (s->e->port, "POST", "/v1/completions", "", s->body);

  s->end_us = g_get_monotonic_time ();
  g_assert_cmpint (a.status, ==, 200);
  http_response_free (&a);
  return NULL;
}

/* Of two waiting sequences, the one with the higher priority must run first,
   although it came later.  */
static void
test_priority (void)
{
  static const char *const queue_metrics[]
      = { "engine_sequences 1", "engine_sequences 2", "engine_sequences 3" };
  struct engine e = start_engine ();
  struct request requests[] = {
    { .e = &e, .body = "{\"prompt\":\"first\",\"max_tokens\":1000}" },
    { .e = &e, .body = "{\"prompt\":\"low\",\"max_tokens\":50}" },
    { .e = &e,
      .body = "{\"prompt\":\"high\",\"max_tokens\":50,\"priority\":5}" },
  };
  pthread_t threads[G_N_ELEMENTS (requests)];

  for (size_t i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      pthread_create (&threads[i], NULL, send_body, &requests[i]);
      g_assert_true (
          harness_await (e.port, "/metrics", queue_metrics[i], 10000));
    }
  for (size_t i = 0; i < G_N_ELEMENTS (requests); i++)
    pthread_join (threads[i], NULL);
  g_assert_cmpint (requests[0].end_us, <, requests[2].end_us);
  g_assert_cmpint (requests[2].end_us, <, requests[1].end_us);
  harness_free (e.h);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/engine/health", test_health);
  g_test_add_func ("/engine/resume", test_resume);
  g_test_add_func ("/engine/priority", test_priority);
  return g_test_run ();
}
