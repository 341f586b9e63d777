/* Randomised runs of whole processes: large configurations on slow links,
   while edges are frozen, killed and started again, and the store is silent or
   drops its watches.

   BILBERRY_SOAK_SEEDS=n runs n seeds, BILBERRY_SOAK_SEED=s begins with seed
   s.  */

#include "harness/testbed.h"

#include "bilberry/base.h"

#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum
{
  EDGES = 6,
  LINK_RATE = 2 * 1000 * 1000, /* bytes a second */
  STEPS = 8,
  ROUTES_MAX = 4450,

  /* Bounds of the platform: an edge has a configuration this long after it was
     written, if nothing disturbed it for the stability window.  */
  CONFIG_DEADLINE_MS = 3000,
  STABILITY_MS = 3000,
  LAST_DEADLINE_MS = 6000, /* for all edges, once nothing disturbs any */
  POLL_MS = 20,

  SEEDS = 2
};

struct run
{
  struct testbed bed;
  GRand *rand;
  int version;
  bb_ms put_ms; /* of the last version */
  bb_ms store_disturbed_ms;
  bb_ms disturbed_ms[EDGES];
};

static void
put_version (struct run *r)
{
  g_autofree char *routes
      = testbed_routes ((uint32_t)g_rand_int_range (r->rand, 1, ROUTES_MAX));
  g_autofree char *keys = NULL;

  r->version++;
  keys = g_strdup_printf (",\"key-v%d\"", r->version);
  testbed_put_config (&r->bed, r->version, routes, keys);
  r->put_ms = bb_clock_now ();
}

static bool
has_version (struct run *r, uint32_t e)
{
  g_autofree char *key = g_strdup_printf ("key-v%d", r->version);
  struct http_response a
      = testbed_request (&r->bed, e, "GET", "/check/1", "c1", key);
  bool has = a.status == 200;

  http_response_free (&a);
  return has;
}

/* Waits until the edges that nothing disturbed since CALM_SINCE_MS have the
   last version.  Asserts that they have it within DEADLINE_MS from START.  */
static void
check_calm_edges (struct run *r, bb_ms calm_since_ms, bb_ms start,
                  bb_ms deadline_ms)
{

  for (uint32_t e = 0; e < EDGES; e++)
    {
      if (r->disturbed_ms[e] > calm_since_ms)
        continue;
      while (!has_version (r, e))
        {
          g_assert_cmpint (bb_clock_now () - start, <, deadline_ms);
          harness_sleep_ms (POLL_MS);
        }
    }
  g_test_message ("version %d in force after %d ms", r->version,
                  (int)(bb_clock_now () - start));
}

static void
freeze_one (struct run *r)
{
  uint32_t e = (uint32_t)g_rand_int_range (r->rand, 0, EDGES);
  pid_t pid = r->bed.edges[e].pid;

  g_test_message ("edge %u is frozen", e);
  harness_signal (r->bed.harness, pid, SIGSTOP);
  put_version (r);
  harness_sleep_ms (g_rand_int_range (r->rand, 100, 2500));
  harness_signal (r->bed.harness, pid, SIGCONT);
  r->disturbed_ms[e] = bb_clock_now ();
}

static void
kill_one (struct run *r)
{
  uint32_t e = (uint32_t)g_rand_int_range (r->rand, 0, EDGES);

  g_test_message ("edge %u is killed", e);
  put_version (r);
  harness_sleep_ms (g_rand_int_range (r->rand, 0, 500));
  testbed_kill_edge (&r->bed, e);
  testbed_restart_edge (&r->bed, e);
  r->disturbed_ms[e] = bb_clock_now ();
}

static void
silence_store (struct run *r)
{
  g_test_message ("the store is silent");
  testbed_set_store_mode (&r->bed, "silent");
  put_version (r);
  harness_sleep_ms (g_rand_int_range (r->rand, 100, 2500));
  testbed_set_store_mode (&r->bed, "ok");
  r->store_disturbed_ms = bb_clock_now ();
}

static void
drop_watches (struct run *r)
{
  struct http_response a
      = harness_http (r->bed.store_port, "POST", "/drop-watches", "", "");

  g_test_message ("the watches are dropped");
  http_response_free (&a);
  put_version (r);
  r->store_disturbed_ms = bb_clock_now ();
}

static void
put_series (struct run *r)
{
  uint32_t n = (uint32_t)g_rand_int_range (r->rand, 2, 8);

  g_test_message ("%u versions in a row", n);
  for (uint32_t i = 0; i < n; i++)
    {
      put_version (r);
      harness_sleep_ms (g_rand_int_range (r->rand, 0, 400));
    }
}

static void
put_one (struct run *r)
{
  put_version (r);
}

/* Asserts that no edge ever put an older version in force than it had in the
   same process; a process begins with version 0.  */
static void
check_logs (struct run *r)
{
  for (uint32_t e = 0; e < EDGES; e++)
    {
      g_autofree char *name = g_strdup_printf ("edge-%u", e);
      g_autofree char *log = testbed_read_log (&r->bed, name);
      g_auto (GStrv) lines = g_strsplit (log, "\n", -1);
      long in_force = 0;
      for (uint32_t i = 0; lines[i]; i++)
        {
          const char *at = strstr (lines[i], "\"version\":");
          if (strstr (lines[i], "\"event\":\"start\""))
            in_force = 0;
          if (!at || !strstr (lines[i], "\"event\":\"config\""))
            continue;
          g_assert_cmpint (strtol (at + strlen ("\"version\":"), NULL, 10), >=,
                           in_force);
          in_force = strtol (at + strlen ("\"version\":"), NULL, 10);
        }
    }
}

static void
play (uint32_t seed)
{
  static void (*const steps[]) (struct run * r)
      = { freeze_one,   kill_one,   silence_store,
          drop_watches, put_series, put_one };
  struct run r = { .rand = g_rand_new_with_seed (seed), .version = 1 };

  g_test_message ("seed %u", seed);
  testbed_init (&r.bed);
  testbed_start_replica (&r.bed, "i-1", "app", "");
  testbed_start_links (&r.bed, EDGES, LINK_RATE);
  for (uint32_t e = 0; e < EDGES; e++)
    testbed_start_edge (&r.bed, 0);
  harness_sleep_ms (STABILITY_MS / 2);
  for (uint32_t i = 0; i < STEPS; i++)
    {
      bb_ms calm_since_ms;
      steps[g_rand_int_range (r.rand, 0, G_N_ELEMENTS (steps))](&r);
      calm_since_ms = bb_clock_now () - STABILITY_MS;
      if (r.store_disturbed_ms > calm_since_ms)
        check_calm_edges (&r, calm_since_ms, bb_clock_now (),
                          LAST_DEADLINE_MS);
      else
        check_calm_edges (&r, calm_since_ms, r.put_ms, CONFIG_DEADLINE_MS);
    }
  for (uint32_t e = 0; e < EDGES; e++)
    r.disturbed_ms[e] = 0;
  check_calm_edges (&r, 0, bb_clock_now (), LAST_DEADLINE_MS);
  check_logs (&r);
  testbed_free (&r.bed);
  g_rand_free (r.rand);
}

static void
test_runs (void)
{
  uint32_t first = harness_number ("BILBERRY_SOAK_SEED", 1);
  uint32_t seeds = harness_number ("BILBERRY_SOAK_SEEDS", SEEDS);

  for (uint32_t i = 0; i < seeds; i++)
    play (first + i);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/growth-runs", test_runs);
  return g_test_run ();
}
