/* config_growth - time until all edges have a large configuration, and then
   one with a small change, on links of 40 Mbit/s, and what that costs between
   them.  Real processes on one machine.

   Usage: config_growth [ROUTES EDGES]  */

#include "../test/harness/testbed.h"

#include "bilberry/base.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  LINK_RATE = 5 * 1000 * 1000, /* bytes a second */
  STANDBY_MS = 1500,           /* until few edges watch the store */
  TIMEOUT_MS = 20000
};

/* Returns the highest value of FIELD in the logs of the edges.  */
static uint32_t
highest (struct testbed *t, const char *field)
{
  uint32_t longest = 0;

  for (uint32_t e = 0; e < t->edges_count; e++)
    {
      g_autofree char *name = g_strdup_printf ("edge-%u", e);
      g_autofree char *log = testbed_read_log (t, name);
      for (const char *at = log; (at = strstr (at, field)); at++)
        longest
            = MAX (longest, (uint32_t)strtoul (at + strlen (field), NULL, 10));
    }
  return longest;
}

/* Writes a configuration with ROUTES routes and KEY as VERSION, and prints the
   rest of a row about it.  */
static void
put_and_measure (struct testbed *t, int version, uint32_t routes,
                 const char *key)
{
  g_autofree char *text = testbed_routes (routes);
  g_autofree char *keys = g_strdup_printf (",\"%s\"", key);
  uint64_t before[TESTBED_MAX] = { 0 };
  uint64_t most = 0;
  uint64_t sum = 0;
  bb_ms took;

  for (uint32_t e = 0; e < t->edges_count; e++)
    before[e] = testbed_received_bytes (t, e);
  testbed_put_config (t, version, text, keys);
  took = testbed_await_key (t, key, TIMEOUT_MS);
  harness_sleep_ms (STANDBY_MS);
  for (uint32_t e = 0; e < t->edges_count; e++)
    {
      uint64_t n = testbed_received_bytes (t, e) - before[e];
      most = MAX (most, n);
      sum += n;
    }
  printf (" %9" G_GINT64_FORMAT " %9.1f %9.1f", (gint64)took,
          (double)most / 1000, (double)sum / 1000);
}

static void
play (uint32_t routes, uint32_t edges)
{
  struct testbed t;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_links (&t, edges, LINK_RATE);
  for (uint32_t e = 0; e < edges; e++)
    testbed_start_edge (&t, 0);
  testbed_await_key (&t, "key-1", TIMEOUT_MS);
  harness_sleep_ms (STANDBY_MS);
  printf ("%6u %5u", routes, edges);
  put_and_measure (&t, 2, routes, "key-2");
  put_and_measure (&t, 3, routes + 1, "key-3");
  printf (" %9u %9u\n", highest (&t, "\"decode_ms\":"),
          highest (&t, "\"step_ms\":"));
  fflush (stdout);
  testbed_free (&t);
}

int
main (int argc, char **argv)
{
  static const uint32_t routes[] = { 250, 1650, 4450, 20000 };
  static const uint32_t edges[] = { 3, 15, 30 };

  printf ("%12s %29s %29s\n", "", "new: in force ms, most KB,",
          "one route more: the same;");
  printf ("%6s %5s %9s %9s %9s %9s %9s %9s %9s %9s\n", "routes", "edges", "ms",
          "most KB", "all KB", "ms", "most KB", "all KB", "decode ms",
          "step ms");
  if (argc == 3)
    {
      play ((uint32_t)atoi (argv[1]), (uint32_t)atoi (argv[2]));
      return 0;
    }
  for (uint32_t i = 0; i < G_N_ELEMENTS (routes); i++)
    for (uint32_t k = 0; k < G_N_ELEMENTS (edges); k++)
      play (routes[i], edges[k]);
  return 0;
}
