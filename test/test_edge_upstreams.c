/* Tests of bilberry-edge with upstreams whose registrations end and come
   again.  */

#include "harness/testbed.h"

#include "bilberry/base.h"

#include <glib.h>
#include <string.h>

enum
{
  DRAIN_MS = 100, /* short, so that removed upstreams are soon forgotten */
  /* Longer than an edge keeps a removed upstream: five times DRAIN_MS after it
     was last used.  */
  FORGOTTEN_MS = 900,
  RETURNS = 3
};

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

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/upstreams/forgotten-returns", test_forgotten_returns);
  return g_test_run ();
}
