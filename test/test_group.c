/* Tests of libgroup's expert maps: the search for a map and the counts of
   demand.  */

#include "harness/group_map.h"

#include <glib.h>
#include <string.h>

enum
{
  RANKS = 4,
  SETS = 2,
  EXPERTS = 12,
  PLACES = 4,
  SPARE = 2
};

static const struct bb_group_size size
    = { SETS, EXPERTS, RANKS, PLACES, SPARE };

static void
check_valid (const struct bb_group_size *s, const uint16_t *old,
             const uint16_t *map)
{
  for (uint32_t set = 0; set < s->sets; set++)
    {
      uint32_t holders[128] = { 0 };
      for (uint32_t r = 0; r < s->ranks; r++)
        {
          size_t at = ((size_t)set * s->ranks + r) * s->places;
          uint32_t fresh = 0;
          for (uint32_t p = 0; p < s->places; p++)
            {
              bool had = false;
              g_assert_cmpuint (map[at + p], <, s->experts);
              holders[map[at + p]]++;
              for (uint32_t q = 0; q < s->places; q++)
                {
                  had |= old[at + q] == map[at + p];
                  g_assert_true (q == p || map[at + q] != map[at + p]);
                }
              fresh += !had;
            }
          g_assert_cmpuint (fresh, <=, s->spare);
        }
      for (uint32_t e = 0; e < s->experts; e++)
        g_assert_cmpuint (holders[e], >, 0);
    }
}

/* A few experts take most of the tokens.  The search must lower the skew of
   each set below 1.25 within three changes, each of them a valid map.  */
static void
test_rebalance_lowers_skew (void)
{
  const struct bb_group_size s = { 3, 96, 12, 11, 4 };
  const struct bb_rebalance_cost cost = { .copy_ms = 142,
                                          .horizon_ms = 2500,
                                          .slowdown = 0.15,
                                          .expert_share = 0.85,
                                          .copy_price_ms = 10,
                                          .skew_min = 1.25 };
  size_t places = bb_group_places (&s);
  g_autofree uint16_t *map = g_new (uint16_t, places);
  g_autofree uint16_t *next = g_new (uint16_t, places);
  double loads[3 * 96];
  GRand *rand = g_rand_new_with_seed (1);

  group_map_fill (map, &s);
  for (uint32_t i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      double x = g_rand_double_range (rand, 0.02, 1);
      loads[i] = 1 / (x * x);
    }
  for (uint32_t round = 0; round < 3; round++)
    {
      struct bb_rebalance_plan p = bb_rebalance (&s, map, loads, &cost, next);
      check_valid (&s, map, next);
      if (round == 0)
        {
          g_assert_true (p.worthwhile);
          g_assert_cmpfloat (p.skew_before, >, 2);
        }
      g_assert_cmpuint (p.rank_copies_max, <=, (size_t)s.spare * s.sets);
      memcpy (map, next, places * sizeof *map);
    }
  for (uint32_t set = 0; set < s.sets; set++)
    g_assert_cmpfloat (
        bb_group_skew (&s, map, set, loads + (size_t)set * s.experts), <,
        1.25);
  g_rand_free (rand);
}

/* With an even demand, or none at all, the search must keep the map.  */
static void
test_rebalance_keeps_map (void)
{
  const struct bb_rebalance_cost cost = { .copy_ms = 142,
                                          .horizon_ms = 2500,
                                          .slowdown = 0.15,
                                          .expert_share = 0.85,
                                          .copy_price_ms = 10,
                                          .skew_min = 1.25 };
  uint16_t map[SETS * RANKS * PLACES];
  uint16_t next[SETS * RANKS * PLACES];
  double loads[SETS * EXPERTS];

  group_map_fill (map, &size);
  for (uint32_t i = 0; i < SETS * EXPERTS; i++)
    loads[i] = 1;
  g_assert_false (bb_rebalance (&size, map, loads, &cost, next).worthwhile);
  g_assert_cmpmem (map, sizeof map, next, sizeof next);
  memset (loads, 0, sizeof loads);
  g_assert_false (bb_rebalance (&size, map, loads, &cost, next).worthwhile);
}

enum
{
  PLAN_SETS = 16,
  PLAN_EXPERTS = 96,
  PLAN_COUNTS = PLAN_SETS * PLAN_EXPERTS,
  COUNT_INTERVAL_MS = 100
};

/* Fills the counts of one interval.  The demand for the experts of a set falls
   off in a fixed order; FIRST shifts this order.  */
static void
fill_demand (uint16_t *counts, uint32_t first)
{
  for (uint32_t i = 0; i < PLAN_COUNTS; i++)
    {
      uint32_t order = (i % PLAN_EXPERTS * 37 + first) % PLAN_EXPERTS;
      counts[i] = (uint16_t)(3000 / (order + 1));
    }
}

/* The demand for small experts shifts.  No map may be planned from counts of
   before and after a shift, and the maps planned later must have a low
   skew.  */
static void
test_demand_shift (void)
{
  static const struct bb_group_size s = { PLAN_SETS, PLAN_EXPERTS, 24, 5, 2 };
  static const struct bb_demand_engine e
      = { .expert_mb = 150, .link_mbps = 44000, .expert_share = 0.85 };
  size_t places = bb_group_places (&s);
  g_autofree uint16_t *map = g_new (uint16_t, places);
  g_autofree uint16_t *next = g_new (uint16_t, places);
  uint16_t counts[PLAN_COUNTS];
  struct bb_rebalance_plan c;
  struct bb_demand p;
  bb_ms now = 1000;
  uint32_t first;

  bb_demand_init (&p, PLAN_COUNTS);
  group_map_fill (map, &s);
  for (uint32_t shift = 0; shift < 3; shift++)
    {
      first = shift * 31;
      fill_demand (counts, first);
      /* The decayed counts still hold those of before the shift.  */
      now += COUNT_INTERVAL_MS;
      bb_demand_add (&p, counts, PLAN_COUNTS, now);
      if (shift > 0)
        g_assert_false (bb_demand_plan (&p, &s, &e, map, next, now, &c));
      for (uint32_t i = 0; i < 20; i++)
        {
          now += COUNT_INTERVAL_MS;
          bb_demand_add (&p, counts, PLAN_COUNTS, now);
          if (!bb_demand_plan (&p, &s, &e, map, next, now, &c))
            continue;
          check_valid (&s, map, next);
          memcpy (map, next, places * sizeof *map);
        }
      for (uint32_t set = 0; set < s.sets; set++)
        {
          double loads[PLAN_EXPERTS];
          for (uint32_t k = 0; k < PLAN_EXPERTS; k++)
            loads[k] = counts[set * PLAN_EXPERTS + k];
          g_assert_cmpfloat (bb_group_skew (&s, map, set, loads), <, 1.25);
        }
    }
  bb_demand_free (&p);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/group/rebalance/lowers-skew", test_rebalance_lowers_skew);
  g_test_add_func ("/group/rebalance/keeps-map", test_rebalance_keeps_map);
  g_test_add_func ("/group/plan/shift", test_demand_shift);
  return g_test_run ();
}
