/* Randomised runs of the quarantine at edges; see harness/crash_run.h.  A
   failed run prints its seed.  */

#include "harness/crash_run.h"

enum
{
  SEEDS = 60
};

/* Nothing else fails: the request ends two upstreams, and no other request is
   refused.  */
static void
test_calm (void)
{
  static const struct scenario s = { 0 };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct run r;
      crash_run_play (&r, &s, seed);
      g_assert_cmpuint (r.poison_crashes, ==, 2);
      g_assert_cmpuint (r.innocents_refused, ==, 0);
      g_assert_cmpuint (r.common_refused, ==, 0);
      crash_run_free (&r);
    }
}

/* Upstreams also end by another cause, several at once.  */
static void
test_crashes (void)
{
  static const struct scenario s = { .crashes = true };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct run r;
      crash_run_play (&r, &s, seed);
      g_assert_cmpuint (r.poison_crashes, <=, 2);
      g_assert_cmpuint (r.common_refused, ==, 0);
      crash_run_free (&r);
    }
}

/* Edges are killed, also all at once, and are paused.  Those that have run for
   a while do not send the request once it has ended three upstreams.  */
static void
test_edges_fail (void)
{
  static const struct scenario s = { .kills = true, .pauses = true };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct run r;
      crash_run_play (&r, &s, seed);
      g_assert_cmpuint (r.late_sends, ==, 0);
      crash_run_free (&r);
    }
}

/* All edges and agents are killed at once, so that nobody knows the
   quarantine: it is found again by two crashes.  */
static void
test_all_gone (void)
{
  static const struct scenario s = { .all_gone = true };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct run r;
      crash_run_play (&r, &s, seed);
      g_assert_cmpuint (r.poison_crashes, <=, 4);
      g_assert_cmpuint (r.innocents_refused, ==, 0);
      crash_run_free (&r);
    }
}

/* A part crashes upstreams under requests no two alike.  Few are sent once it
   has ended five upstreams, and no other request is refused.  */
static void
test_part (void)
{
  static const struct scenario s = { .part = true };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct run r;
      crash_run_play (&r, &s, seed);
      g_assert_cmpuint (r.late_sends, <=, LATE_SENDS_MAX);
      g_assert_cmpuint (r.poison_crashes, <=, FREE_CRASHES + LATE_SENDS_MAX);
      g_assert_cmpuint (r.innocents_refused, ==, 0);
      crash_run_free (&r);
    }
}

/* The same, while upstreams also end by another cause, and edges are killed,
   also all at once, and paused.  */
static void
test_part_with_faults (void)
{
  static const struct scenario s
      = { .part = true, .kills = true, .pauses = true, .crashes = true };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct run r;
      crash_run_play (&r, &s, seed);
      g_assert_cmpuint (r.late_sends, <=, LATE_SENDS_MAX);
      crash_run_free (&r);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/crash-runs/calm", test_calm);
  g_test_add_func ("/crash-runs/upstreams-end", test_crashes);
  g_test_add_func ("/crash-runs/edges-fail", test_edges_fail);
  g_test_add_func ("/crash-runs/all-gone", test_all_gone);
  g_test_add_func ("/crash-runs/part", test_part);
  g_test_add_func ("/crash-runs/part-with-faults", test_part_with_faults);
  return g_test_run ();
}
