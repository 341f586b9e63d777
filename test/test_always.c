/* Tests with real processes of invariants that bilberry-agent enforces by
   itself, whatever an entry assumes.  docs/PROOF.md lists the guard that each
   test covers.  */

#include "bilberry/base.h"
#include "harness/fleet.h"
#include "harness/frame.h"

#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>

enum
{
  WAIT_MS = 15000
};

static struct http_response
send_order (struct fleet *f, const char *key)
{
  char *headers
      = g_strdup_printf ("%sIdempotency-Key: %s\r\n", fleet_auth_header, key);
  struct http_response a
      = harness_http (f->entries[0].port, "POST", "/orders", headers, "{}");

  g_free (headers);
  return a;
}

/* Returns how often the order with KEY ran at the plain service of U.  */
static long
count_runs (const struct fleet_upstream *u, const char *key)
{
  char *name = g_strdup_printf ("\"%s\":", key);
  struct http_response a = harness_http (u->port, "GET", "/ran", "", "");
  const char *at = a.body ? strstr (a.body, name) : NULL;
  long count = at ? strtol (at + strlen (name), NULL, 10) : 0;

  http_response_free (&a);
  g_free (name);
  return count;
}

/* The agent's settings say that its failure domain is out of service, the
   entry's do not.  The agent refuses the order as not run, and it has not
   run.  */
static void
test_out_at_agent (void)
{
  struct fleet f;
  struct http_response a;

  fleet_init_relayed (&f, harness_build_dir (), 0, 1, 1);
  fleet_start (&f);
  fleet_set_out_at_agents (&f, f.upstreams[0].failure_domain);
  g_assert_true (harness_await (f.upstreams[0].operator_port, "/status",
                                "\"out\": true", WAIT_MS));
  a = send_order (&f, "after-out");
  g_assert_cmpint (a.status, ==, 503);
  g_assert_nonnull (strstr (a.headers, "bilberry-run: no"));
  g_assert_nonnull (strstr (a.headers, "retry-after: "));
  g_assert_cmpint (count_runs (&f.upstreams[0], "after-out"), ==, 0);
  http_response_free (&a);
  fleet_free (&f);
}

struct order_thread
{
  struct fleet *f;
  const char *key;
  struct http_response answer;
};

static void *
send_order_thread (void *arg)
{
  struct order_thread *t = arg;

  t->answer = send_order (t->f, t->key);
  return NULL;
}

/* The connection to the agent is lost while an order is in flight.  The caller
   gets "maybe", never "no", and the order runs at most once.  */
static void
test_connection_lost (void)
{
  struct fleet f;
  struct order_thread t = { .f = &f, .key = "cut" };
  pthread_t thread;

  fleet_init_relayed (&f, harness_build_dir (), 0, 1, 1);
  fleet_start (&f);
  relay_hold (f.upstreams[0].relay);
  pthread_create (&thread, NULL, send_order_thread, &t);
  g_assert_true (harness_await (f.entries[0].operator_port, "/status",
                                "\"own_in_flight\": 1", WAIT_MS));
  relay_disconnect (f.upstreams[0].relay);
  pthread_join (thread, NULL);
  g_assert_cmpint (t.answer.status, ==, 502);
  g_assert_nonnull (strstr (t.answer.headers, "bilberry-run: maybe"));
  g_assert_cmpint (count_runs (&f.upstreams[0], "cut"), <=, 1);
  http_response_free (&t.answer);
  fleet_free (&f);
}

/* The agent refuses a call that names another incarnation than its own, and
   the call does not run.  */
static void
test_earlier_incarnation (void)
{
  struct fleet f;
  struct frame_peer *p;
  struct bb_message m;
  msgpack_sbuffer buf;
  struct bb_call call = { .id = 9,
                          .customer = bb_bytes_of ("customer-1"),
                          .method = bb_bytes_of ("POST"),
                          .path = bb_bytes_of ("/orders"),
                          .body = bb_bytes_of ("earlier"),
                          .key = bb_bytes_of ("earlier"),
                          .deadline_ms = WAIT_MS };

  msgpack_sbuffer_init (&buf);
  fleet_init (&f, harness_build_dir (), 0, 1, 1);
  fleet_start (&f);
  p = frame_connect (f.upstreams[0].agent_port);
  g_assert_true (frame_await (p, BB_MSG_HELLO, &m, WAIT_MS));
  call.agent_incarnation = m.u.hello.incarnation + 1;
  bb_message_free (&m);
  bb_put_call (&buf, &call);
  frame_send (p, &buf);
  g_assert_true (frame_await (p, BB_MSG_REFUSAL, &m, WAIT_MS));
  g_assert_cmpuint (m.u.refusal.id, ==, 9);
  g_assert_cmpuint (m.u.refusal.run, ==, BB_RUN_NOT_RUN);
  g_assert_cmpuint (m.u.refusal.reason, ==, BB_REASON_STALE_INCARNATION);
  bb_message_free (&m);
  g_assert_cmpint (count_runs (&f.upstreams[0], "earlier"), ==, 0);
  frame_close (p);
  fleet_free (&f);
  msgpack_sbuffer_destroy (&buf);
}

/* A response header that exceeds the protocol's limit fails only its own call.
   If the agent forwarded it, the entry would close the connection and fail all
   calls on it.  */
static void
test_large_answer_header (void)
{
  struct fleet f;
  struct http_response a;

  fleet_init (&f, harness_build_dir (), 0, 1, 1);
  fleet_start (&f);
  a = harness_http (f.entries[0].port, "GET", "/stock/large-header",
                    fleet_auth_header, "");
  g_assert_cmpint (a.status, ==, 502);
  g_assert_nonnull (strstr (a.headers, "bilberry-run: yes"));
  http_response_free (&a);
  a = harness_http (f.entries[0].port, "GET", "/stock/7", fleet_auth_header,
                    "");
  g_assert_cmpint (a.status, ==, 200);
  http_response_free (&a);
  fleet_free (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/always/out-at-agent", test_out_at_agent);
  g_test_add_func ("/always/cut-order", test_connection_lost);
  g_test_add_func ("/always/earlier-incarnation", test_earlier_incarnation);
  g_test_add_func ("/always/large-answer-header", test_large_answer_header);
  return g_test_run ();
}
