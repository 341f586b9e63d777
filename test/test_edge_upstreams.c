/* Tests of bilberry-edge with upstreams whose registrations end and come
   again.  */

#include "harness/testbed.h"

#include "bilberry/base.h"

#include <glib.h>
#include <signal.h>

enum
{
  DRAIN_MS = 20, /* short, so that removed upstreams are soon forgotten */
  /* Longer than an edge remembers a removed upstream, which is five times
     DRAIN_MS.  */
  FORGOTTEN_MS = 250,
  RETURNS = 3
};

/* Makes freed memory unusable, so that its use shows in any build.  */
static void
spoil_freed_memory (void)
{
  g_setenv ("MALLOC_PERTURB_", "165", TRUE);
}

/* Starts replica i-1, registered as started at 1, and an edge.  */
static void
start (struct testbed *t)
{
  testbed_init (t);
  t->drain_ms = DRAIN_MS;
  testbed_start_replica (t, "i-1", "app", "");
  testbed_register (t, 0, "i-1", 1);
  testbed_start_edge (t, 0);
  g_assert_true (testbed_await_status (t, 0, "/check/1", "key-1", 200));
}

/* An upstream that registers again under its id when the edge would forget it
   is used again, and the edge goes on.  */
static void
test_forgotten_returns (void)
{
  struct testbed t;

  start (&t);
  for (uint32_t k = 0; k < RETURNS; k++)
    {
      testbed_unregister (&t, "i-1");
      harness_sleep_ms (FORGOTTEN_MS);
      testbed_register (&t, 0, "i-1", 1);
      g_assert_true (testbed_await_status (&t, 0, "/check/1", "key-1", 200));
    }
  testbed_free (&t);
}

static gpointer
request_slow (gpointer user)
{
  struct http_response a
      = testbed_request (user, 0, "GET", "/check/slow", "slow", "key-1");
  int status = a.status;

  http_response_free (&a);
  return GINT_TO_POINTER (status);
}

/* An upstream that is removed while a request is in flight there, and crashes
   later than other removed ones are forgotten: the request gets an answer or a
   refusal.  */
static void
test_forgotten_in_flight (void)
{
  struct testbed t;
  GThread *caller;

  start (&t);
  caller = g_thread_new ("caller", request_slow, &t);
  while (testbed_count_runs (&t, "slow") == 0)
    harness_sleep_ms (1);
  testbed_start_replica (&t, "i-2", "app", "");
  testbed_unregister (&t, "i-1");
  harness_sleep_ms (FORGOTTEN_MS);
  harness_signal (t.harness, t.replica_pids[0], SIGKILL);
  g_assert_cmpint (GPOINTER_TO_INT (g_thread_join (caller)), !=, 0);
  g_assert_true (testbed_await_status (&t, 0, "/check/1", "key-1", 200));
  testbed_free (&t);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  spoil_freed_memory ();
  g_test_add_func ("/upstreams/forgotten-returns", test_forgotten_returns);
  g_test_add_func ("/upstreams/forgotten-in-flight", test_forgotten_in_flight);
  return g_test_run ();
}
