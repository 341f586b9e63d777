/* Tests of bilberry-agent with real processes.  An order with an idempotency
   key must run at most once and its repeats must get its outcome, also when
   agents are killed, stopped or shut down.  Calls that the agent must refuse
   must not reach the upstream.  */

#include "bilberry/base.h"
#include "bilberry/wire.h"
#include "harness/fleet.h"

#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static struct http_response
send_order (struct fleet *f, uint32_t entry, const char *key, const char *body)
{
  char *headers
      = g_strdup_printf ("%sIdempotency-Key: %s\r\n", fleet_auth_header, key);
  struct http_response a = harness_http (f->entries[entry].port, "POST",
                                         "/orders", headers, body);

  g_free (headers);
  return a;
}

/* Returns how often the order with KEY ran, summed over all upstreams.  */
static uint32_t
count_runs (struct fleet *f, const char *key)
{
  char *name = g_strdup_printf ("\"%s\":", key);
  uint32_t runs = 0;

  for (uint32_t i = 0; i < f->upstreams_count; i++)
    {
      struct http_response a
          = harness_http (f->upstreams[i].port, "GET", "/ran", "", "");
      const char *at = a.body ? strstr (a.body, name) : NULL;
      if (at)
        runs += (uint32_t)strtoul (at + strlen (name), NULL, 10);
      http_response_free (&a);
    }
  g_free (name);
  return runs;
}

/* Returns the upstream that ran the order with KEY; NULL if none did.  */
static struct fleet_upstream *
find_upstream_that_ran (struct fleet *f, const char *key)
{
  char *name = g_strdup_printf ("\"%s\":", key);
  struct fleet_upstream *found = NULL;

  for (uint32_t i = 0; i < f->upstreams_count && !found; i++)
    {
      struct http_response a
          = harness_http (f->upstreams[i].port, "GET", "/ran", "", "");
      if (a.body && strstr (a.body, name))
        found = &f->upstreams[i];
      http_response_free (&a);
    }
  g_free (name);
  return found;
}

/* Waits until all agents know all grants of their keys.  */
static void
await_settled (struct fleet *f)
{
  for (uint32_t i = 0; i < f->upstreams_count; i++)
    g_assert_true (harness_await (f->upstreams[i].operator_port, "/status",
                                  "\"settled\": true", 10000));
}

/* Starts three plain services with agents, and ENTRIES entries.  */
static void
start_orders (struct fleet *f, uint32_t entries)
{
  fleet_init (f, harness_build_dir (), 0, 3, entries);
  fleet_start (f);
  await_settled (f);
}

static void
kill_agent (struct fleet *f, struct fleet_upstream *u)
{
  harness_signal (f->h, u->agent_pid, SIGKILL);
  harness_wait (f->h, u->agent_pid);
}

static void
assert_answer (struct http_response a, int status, const char *text)
{
  g_assert_cmpint (a.status, ==, status);
  g_assert_nonnull (strstr (a.body, text));
  http_response_free (&a);
}

/* A repeat of a key through another entry gets the stored outcome; a reuse of
   the key with another body is refused.  */
static void
test_repeats (void)
{
  struct fleet f;

  start_orders (&f, 2);
  assert_answer (send_order (&f, 0, "k1", "crate"), 201,
                 "{\"order\":\"k1\",\"ran\":1}");
  assert_answer (send_order (&f, 1, "k1", "crate"), 201,
                 "{\"order\":\"k1\",\"ran\":1}");
  assert_answer (send_order (&f, 1, "k1", "another"), 422, "key_reused");
  g_assert_cmpuint (count_runs (&f, "k1"), ==, 1);
  fleet_free (&f);
}

/* The agent that ran an order is killed after the answer.  A repeat still gets
   the outcome, and so do repeats after the agent has restarted.  */
static void
test_kill_after_answer (void)
{
  struct fleet f;
  struct fleet_upstream *u;

  start_orders (&f, 2);
  assert_answer (send_order (&f, 0, "k2", "crate"), 201, "\"ran\":1");
  u = find_upstream_that_ran (&f, "k2");
  kill_agent (&f, u);
  assert_answer (send_order (&f, 1, "k2", "crate"), 201, "\"ran\":1");
  fleet_start_agent (&f, u);
  await_settled (&f);
  for (int i = 0; i < 6; i++)
    assert_answer (send_order (&f, (uint32_t)i % 2, "k2", "crate"), 201,
                   "\"ran\":1");
  g_assert_cmpuint (count_runs (&f, "k2"), ==, 1);
  fleet_free (&f);
}

struct order_thread
{
  struct fleet *f;
  uint32_t entry;
  const char *key;
  struct http_response answer;
};

static void *
send_order_thread (void *arg)
{
  struct order_thread *t = arg;

  t->answer = send_order (t->f, t->entry, t->key, "crate");
  return NULL;
}

/* Starts a fleet whose services take DELAY_MS, and an order T to it in THREAD.
   Returns the upstream that runs the order.  */
static struct fleet_upstream *
start_slow_order (struct fleet *f, const char *delay_ms,
                  struct order_thread *t, pthread_t *thread)
{
  fleet_init (f, harness_build_dir (), 0, 3, 2);
  f->service_options[0] = "--delay-ms";
  f->service_options[1] = delay_ms;
  fleet_start (f);
  await_settled (f);
  pthread_create (thread, NULL, send_order_thread, t);
  while (count_runs (f, t->key) == 0)
    harness_sleep_ms (10);
  return find_upstream_that_ran (f, t->key);
}

/* The agent is killed while its upstream runs an order.  The outcome is lost:
   the caller gets "maybe", repeats are refused, and the order is not run
   again.  */
static void
test_kill_during_run (void)
{
  struct fleet f;
  struct fleet_upstream *u;
  struct order_thread t = { .f = &f, .key = "k3" };
  pthread_t thread;

  u = start_slow_order (&f, "1500", &t, &thread);
  kill_agent (&f, u);
  pthread_join (thread, NULL);
  assert_answer (t.answer, 502, "\"run\":\"maybe\"");
  for (int i = 0; i < 3; i++)
    {
      struct http_response a = send_order (&f, 1, "k3", "crate");
      g_assert_cmpint (a.status, ==, 409);
      g_assert_nonnull (strstr (a.headers, "bilberry-run: maybe"));
      http_response_free (&a);
    }
  fleet_start_agent (&f, u);
  await_settled (&f);
  assert_answer (send_order (&f, 0, "k3", "crate"), 409, "in_doubt");
  g_assert_cmpuint (count_runs (&f, "k3"), ==, 1);
  fleet_free (&f);
}

/* A repeat that arrives while the order is running waits for its outcome.  */
static void
test_repeat_waits (void)
{
  struct fleet f;
  struct order_thread t = { .f = &f, .key = "k4" };
  pthread_t thread;

  start_slow_order (&f, "700", &t, &thread);
  assert_answer (send_order (&f, 1, "k4", "crate"), 201, "\"ran\":1");
  pthread_join (thread, NULL);
  assert_answer (t.answer, 201, "\"ran\":1");
  g_assert_cmpuint (count_runs (&f, "k4"), ==, 1);
  fleet_free (&f);
}

/* All agents are killed at once and lose their records.  A repeat must be
   refused as possibly run, not run again.  */
static void
test_kill_all (void)
{
  struct fleet f;
  struct http_response a;

  start_orders (&f, 2);
  assert_answer (send_order (&f, 0, "k5", "crate"), 201, "\"ran\":1");
  for (uint32_t i = 0; i < f.upstreams_count; i++)
    kill_agent (&f, &f.upstreams[i]);
  for (uint32_t i = 0; i < f.upstreams_count; i++)
    fleet_start_agent (&f, &f.upstreams[i]);
  for (uint32_t i = 0; i < f.entries_count; i++)
    while (harness_await (f.entries[i].operator_port, "/status",
                          "\"connected\": false", 1))
      harness_sleep_ms (10);
  a = send_order (&f, 1, "k5", "crate");
  g_assert_cmpint (a.status, ==, 409);
  g_assert_nonnull (strstr (a.headers, "bilberry-run: maybe"));
  http_response_free (&a);
  g_assert_cmpuint (count_runs (&f, "k5"), ==, 1);
  fleet_free (&f);
}

/* An agent that gets SIGTERM completes the running order before it exits, and
   the other agents still answer repeats with the outcome.  */
static void
test_graceful_shutdown (void)
{
  struct fleet f;
  struct fleet_upstream *u;
  struct order_thread t = { .f = &f, .key = "k6" };
  pthread_t thread;

  u = start_slow_order (&f, "700", &t, &thread);
  harness_signal (f.h, u->agent_pid, SIGTERM);
  g_assert_cmpint (harness_wait (f.h, u->agent_pid), ==, 0);
  pthread_join (thread, NULL);
  assert_answer (t.answer, 201, "\"ran\":1");
  assert_answer (send_order (&f, 1, "k6", "crate"), 201, "\"ran\":1");
  g_assert_cmpuint (count_runs (&f, "k6"), ==, 1);
  fleet_free (&f);
}

/* The agent of a running order is stopped for 3 s.  After it continues, it
   counts one pause, the order is answered, and a repeat gets the outcome
   without a second run.  */
static void
test_pause (void)
{
  struct fleet f;
  struct fleet_upstream *u;
  struct order_thread t = { .f = &f, .key = "k7" };
  pthread_t thread;

  u = start_slow_order (&f, "500", &t, &thread);
  harness_signal (f.h, u->agent_pid, SIGSTOP);
  harness_sleep_ms (3000);
  harness_signal (f.h, u->agent_pid, SIGCONT);
  pthread_join (thread, NULL);
  assert_answer (t.answer, 201, "\"ran\":1");
  assert_answer (send_order (&f, 1, "k7", "crate"), 201, "\"ran\":1");
  g_assert_cmpuint (count_runs (&f, "k7"), ==, 1);
  g_assert_cmpuint (
      harness_counter (u->operator_port, "bilberry_pauses_total", ""), ==, 1);
  fleet_free (&f);
}

/* Sends one call of CUSTOMER directly to the agent of U, as an entry with
   outdated information would.  Returns the socket.  */
static int
send_call_of (const struct fleet_upstream *u, uint64_t incarnation,
              struct bb_bytes customer)
{
  struct bb_hello hello
      = { .name = { "entry-9", 7 }, .incarnation = 1, .role = BB_ROLE_ENTRY };
  struct bb_call call = { .id = 1,
                          .agent_incarnation = incarnation,
                          .customer = customer,
                          .method = { "POST", 4 },
                          .path = { "/orders", 7 },
                          .body = { "stale", 5 },
                          .deadline_ms = 5000 };
  msgpack_sbuffer out;
  int fd;

  msgpack_sbuffer_init (&out);
  bb_put_hello (&out, &hello);
  bb_put_call (&out, &call);
  fd = harness_connect (u->agent_port);
  g_assert_cmpint (write (fd, out.data, out.size), ==, (gssize)out.size);
  msgpack_sbuffer_destroy (&out);
  return fd;
}

static int
send_call (const struct fleet_upstream *u, uint64_t incarnation)
{
  return send_call_of (u, incarnation, bb_bytes_of ("customer-1"));
}

/* Waits until the agent of U has refused a call for REASON or the call of
   send_call has run; returns how often it ran.  */
static uint32_t
await_refusal_or_run (struct fleet *f, const struct fleet_upstream *u,
                      const char *reason)
{
  char *labels = g_strdup_printf ("reason=\"%s\"", reason);
  uint32_t runs = 0;

  while (
      runs == 0
      && harness_counter (u->operator_port, "bilberry_refusals_total", labels)
             == 0)
    {
      harness_sleep_ms (20);
      runs = count_runs (f, "stale");
    }
  g_free (labels);
  return runs;
}

static uint64_t
read_incarnation (const struct fleet_upstream *u)
{
  static const char name[] = "\"incarnation\": \"";
  struct http_response a
      = harness_http (u->operator_port, "GET", "/status", "", "");
  uint64_t incarnation
      = strtoull (strstr (a.body, name) + strlen (name), NULL, 16);

  http_response_free (&a);
  return incarnation;
}

/* The agent refuses a call that names another incarnation than its own, and
   accepts one that names its own.  */
static void
test_stale_incarnation (void)
{
  struct fleet f;
  struct fleet_upstream *u;

  start_orders (&f, 1);
  u = &f.upstreams[0];
  close (send_call (u, read_incarnation (u) + 1));
  g_assert_cmpuint (await_refusal_or_run (&f, u, "stale_incarnation"), ==, 0);
  close (send_call (u, read_incarnation (u)));
  g_assert_cmpuint (await_refusal_or_run (&f, u, "none"), ==, 1);
  fleet_free (&f);
}

/* The agent refuses a call of a customer whose name has a null byte, which no
   settings allow.  */
static void
test_null_byte (void)
{
  static const char name[] = { 'a', '\0', 'b' };
  struct fleet f;
  struct fleet_upstream *u;

  start_orders (&f, 1);
  u = &f.upstreams[0];
  close (send_call_of (u, read_incarnation (u),
                       (struct bb_bytes){ name, sizeof name }));
  g_assert_cmpuint (await_refusal_or_run (&f, u, "bad_request"), ==, 0);
  fleet_free (&f);
}

/* The agent refuses a call while its failure domain is out of service.  */
static void
test_out_of_service (void)
{
  struct fleet f;
  struct fleet_upstream *u;

  start_orders (&f, 1);
  u = &f.upstreams[0];
  fleet_set_out (&f, u->failure_domain);
  g_assert_true (
      harness_await (u->operator_port, "/status", "\"out\": true", 10000));
  close (send_call (u, read_incarnation (u)));
  g_assert_cmpuint (await_refusal_or_run (&f, u, "draining"), ==, 0);
  fleet_free (&f);
}

enum
{
  BURST_REQUESTS = 24,
  LONG_REQUEST_TOKENS = 600 /* tokens that take longer than the cold start */
};

struct chat_burst
{
  struct fleet *f;
  uint32_t tokens;
};

static void *
send_chat_thread (void *arg)
{
  const struct chat_burst *d = arg;
  char body[128];
  struct http_response a;

  g_snprintf (body, sizeof body,
              "{\"max_tokens\":%u,\"messages\":[{\"content\":\"hello\"}]}",
              d->tokens);
  a = harness_http (d->f->entries[0].port, "POST", "/v1/chat/completions",
                    fleet_auth_header, body);
  http_response_free (&a);
  return NULL;
}

static void
send_chat_burst (struct fleet *f, uint32_t tokens)
{
  struct chat_burst d = { .f = f, .tokens = tokens };
  pthread_t threads[BURST_REQUESTS];

  for (int i = 0; i < BURST_REQUESTS; i++)
    pthread_create (&threads[i], NULL, send_chat_thread, &d);
  for (int i = 0; i < BURST_REQUESTS; i++)
    pthread_join (threads[i], NULL);
}

/* An engine restarts while it is idle.  The agent must detect that by its
   probe and limit the next burst: the engine crashes if it gets more than its
   cold batch before it is warm.  */
static void
test_cold_restart (void)
{
  struct fleet f;
  struct fleet_upstream *u;

  fleet_init (&f, harness_build_dir (), 1, 0, 1);
  f.engine_options[0] = "--cold-ms";
  f.engine_options[1] = "0";
  f.engine_options[2] = "--cold-batch";
  f.engine_options[3] = "9";
  u = &f.upstreams[0];
  fleet_start (&f);
  while (!harness_await (u->operator_port, "/status", "\"cold\": false", 1))
    send_chat_burst (&f, 1);
  f.engine_options[1] = "2000";
  harness_signal (f.h, u->upstream_pid, SIGKILL);
  harness_wait (f.h, u->upstream_pid);
  fleet_start_upstream (&f, u);
  while (
      harness_counter (u->operator_port, "bilberry_upstream_starts_total", "")
      < 2)
    harness_sleep_ms (20);
  send_chat_burst (&f, LONG_REQUEST_TOKENS);
  g_assert_true (
      harness_await (u->port, "/metrics", "engine_sequences 0", 10000));
  fleet_free (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/agent/repeats", test_repeats);
  g_test_add_func ("/agent/kill-after", test_kill_after_answer);
  g_test_add_func ("/agent/kill-during", test_kill_during_run);
  g_test_add_func ("/agent/repeat-waits", test_repeat_waits);
  g_test_add_func ("/agent/kill-all", test_kill_all);
  g_test_add_func ("/agent/term", test_graceful_shutdown);
  g_test_add_func ("/agent/pause", test_pause);
  g_test_add_func ("/agent/null-byte", test_null_byte);
  g_test_add_func ("/agent/stale", test_stale_incarnation);
  g_test_add_func ("/agent/out", test_out_of_service);
  g_test_add_func ("/agent/cold", test_cold_restart);
  return g_test_run ();
}
