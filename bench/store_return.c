/* store_return - time until all edges hold a change that was made as the store
   comes back, and the calls that it took: after a plain outage, and after a
   return from an older copy.  Real processes on one machine.

   Usage: store_return [EDGES]  */

#include "../test/harness/testbed.h"

#include "bilberry/base.h"

#include <glib.h>
#include <stdlib.h>

enum
{
  EDGES = 30,
  OUTAGE_MS = 5000,
  OBSERVE_MS = 8000, /* longer than edges list the store again and again */
  TIMEOUT_MS = 20000
};

static uint64_t
count_calls (struct testbed *t)
{
  struct http_response a
      = harness_http (t->store_port, "GET", "/calls", "", "");
  uint64_t n = strtoull (a.body, NULL, 10);

  http_response_free (&a);
  return n;
}

static void
post (struct testbed *t, const char *path)
{
  struct http_response a = harness_http (t->store_port, "POST", path, "", "");

  http_response_free (&a);
}

/* Plays an outage, from a copy where RETURNS, and prints a row.  */
static void
play (uint32_t edges, bool returns)
{
  struct testbed t;
  uint64_t calls;
  uint64_t outage_calls;
  bb_ms back;
  bb_ms took;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  for (uint32_t e = 0; e < edges; e++)
    testbed_start_edge (&t, 0);
  testbed_await_key (&t, "key-1", TIMEOUT_MS);
  post (&t, "/save");
  testbed_put_config (&t, 2, "", ",\"key-2\"");
  testbed_await_key (&t, "key-2", TIMEOUT_MS);
  calls = count_calls (&t);
  testbed_set_store_mode (&t, "silent");
  harness_sleep_ms (OUTAGE_MS);
  outage_calls = count_calls (&t) - calls;
  if (returns)
    post (&t, "/restore");
  testbed_set_store_mode (&t, "ok");
  testbed_put_config (&t, 3, "", ",\"key-3\"");
  back = bb_clock_now ();
  took = testbed_await_key (&t, "key-3", TIMEOUT_MS);
  harness_sleep_ms (OBSERVE_MS - (bb_clock_now () - back));
  printf ("%-18s %5u %12" G_GINT64_FORMAT " %14.1f %14" G_GUINT64_FORMAT "\n",
          returns ? "return from a copy" : "outage", edges, (gint64)took,
          (double)outage_calls * 1000 / OUTAGE_MS,
          count_calls (&t) - calls - outage_calls);
  testbed_free (&t);
}

int
main (int argc, char **argv)
{
  uint32_t edges = argc > 1 ? (uint32_t)atoi (argv[1]) : EDGES;

  printf ("%-18s %5s %12s %14s %14s\n", "", "edges", "in force ms",
          "calls/s away", "calls in 8 s");
  play (edges, false);
  play (edges, true);
  return 0;
}
