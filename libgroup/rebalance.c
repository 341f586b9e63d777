/* Searches for the map to switch to, by hill climbing in each set, and weighs
   its gain against its cost.  */

#include "rebalance.h"

#include <stdlib.h>
#include <string.h>

enum
{
  SET_CHANGES_MAX = 120, /* limit on the changes of one set in one stage */
  STAGES = 5
};

/* Skew at which each stage of the search ends.  A lower skew takes more
   copies, so the map after each stage is a candidate.  */
static const double stage_skews[STAGES] = { 1.6, 1.35, 1.2, 1.1, 1.0 };

size_t
bb_group_places (const struct bb_group_size *s)
{
  return (size_t)s->sets * s->ranks * s->places;
}

double
bb_group_skew (const struct bb_group_size *s, const uint16_t *map,
               uint32_t set, const double *loads)
{
  uint16_t *rows = (uint16_t *)map + (size_t)set * s->ranks * s->places;
  struct set_search c
      = { .size = s, .old_rows = rows, .rows = rows, .loads = loads };
  double skew;

  set_search_init (&c);
  skew = set_search_skew (&c);
  set_search_free (&c);
  return skew;
}

/* The search of all sets.  */
struct map_search
{
  const struct bb_group_size *size;
  uint32_t new_experts_max;
  struct set_search *sets;
  bool *finished;
};

static void
map_search_init (struct map_search *k, const uint16_t *map,
                 const double *loads, uint16_t *rows)
{
  const struct bb_group_size *s = k->size;
  size_t row = (size_t)s->ranks * s->places;

  k->sets = calloc (s->sets, sizeof *k->sets);
  k->finished = calloc (s->sets, sizeof *k->finished);
  if (!k->sets || !k->finished)
    abort ();
  memcpy (rows, map, bb_group_places (s) * sizeof *rows);
  for (uint32_t i = 0; i < s->sets; i++)
    {
      k->sets[i]
          = (struct set_search){ .size = s,
                                 .old_rows = map + i * row,
                                 .rows = rows + i * row,
                                 .loads = loads + (size_t)i * s->experts };
      set_search_init (&k->sets[i]);
      k->finished[i] = k->sets[i].rank_load_mean <= 0;
    }
}

static void
map_search_free (struct map_search *k)
{
  for (uint32_t i = 0; i < k->size->sets; i++)
    set_search_free (&k->sets[i]);
  free (k->sets);
  free (k->finished);
}

/* Changes each set until its skew is at most SKEW, no change helps, or
   SET_CHANGES_MAX changes were made.  */
static void
search_until (struct map_search *k, double skew)
{
  for (uint32_t i = 0; i < k->size->sets; i++)
    for (uint32_t n = 0; n < SET_CHANGES_MAX && !k->finished[i]
                         && set_search_skew (&k->sets[i]) > skew;
         n++)
      k->finished[i] = !set_search_improve (&k->sets[i], k->new_experts_max);
}

static struct bb_rebalance_plan
summarize (const struct map_search *k, double before)
{
  struct bb_rebalance_plan p = { .skew_before = before };

  for (uint32_t i = 0; i < k->size->sets; i++)
    p.skew_after += set_search_skew (&k->sets[i]) / k->size->sets;
  for (uint32_t r = 0; r < k->size->ranks; r++)
    {
      uint32_t new_experts = 0;
      for (uint32_t i = 0; i < k->size->sets; i++)
        new_experts += k->sets[i].new_experts[r];
      p.copies += new_experts;
      if (new_experts > p.rank_copies_max)
        p.rank_copies_max = new_experts;
    }
  return p;
}

/* Returns the time that plan P saves over the horizon, less its cost, in ms of
   the group's time.  */
static double
plan_gain_ms (const struct bb_rebalance_plan *p,
              const struct bb_rebalance_cost *cost)
{
  double copying_ms = p->rank_copies_max * cost->copy_ms;
  double pass_before
      = 1 - cost->expert_share + cost->expert_share * p->skew_before;
  double pass_after
      = 1 - cost->expert_share + cost->expert_share * p->skew_after;
  double served_ms = cost->horizon_ms - copying_ms;

  if (served_ms < 0)
    served_ms = 0;
  return served_ms * (pass_before / pass_after - 1)
         - copying_ms * cost->slowdown - p->copies * cost->copy_price_ms;
}

static double
mean_skew (const struct bb_group_size *s, const uint16_t *map,
           const double *loads)
{
  double sum = 0;

  for (uint32_t i = 0; i < s->sets; i++)
    sum += bb_group_skew (s, map, i, loads + (size_t)i * s->experts) / s->sets;
  return sum;
}

/* The best map found so far.  */
struct best_map
{
  uint16_t *map;
  struct bb_rebalance_plan plan;
  double gain_ms;
};

/* Searches with at most NEW_EXPERTS_MAX new experts at a rank.  Stores the map
   after each stage in BEST if it is better.  ROWS is room for a map.  */
static void
search_map (const struct bb_group_size *s, uint32_t new_experts_max,
            const uint16_t *map, const double *loads,
            const struct bb_rebalance_cost *cost, uint16_t *rows,
            struct best_map *best)
{
  struct map_search k = { .size = s, .new_experts_max = new_experts_max };

  map_search_init (&k, map, loads, rows);
  for (uint32_t i = 0; i < STAGES; i++)
    {
      struct bb_rebalance_plan p;
      double gain_ms;
      search_until (&k, stage_skews[i]);
      p = summarize (&k, best->plan.skew_before);
      gain_ms = plan_gain_ms (&p, cost);
      if (gain_ms <= best->gain_ms)
        continue;
      best->gain_ms = gain_ms;
      best->plan = p;
      best->plan.worthwhile = true;
      memcpy (best->map, rows, bb_group_places (s) * sizeof *rows);
    }
  map_search_free (&k);
}

struct bb_rebalance_plan
bb_rebalance (const struct bb_group_size *s, const uint16_t *map,
              const double *loads, const struct bb_rebalance_cost *cost,
              uint16_t *next)
{
  struct best_map best = { .map = next };
  size_t places = bb_group_places (s);
  uint16_t *rows;

  memcpy (next, map, places * sizeof *next);
  best.plan.skew_before = mean_skew (s, map, loads);
  best.plan.skew_after = best.plan.skew_before;
  if (best.plan.skew_before < cost->skew_min)
    return best.plan;
  rows = calloc (places, sizeof *rows);
  if (!rows)
    abort ();
  for (uint32_t n = 1; n <= s->spare; n *= 2)
    search_map (s, n, map, loads, cost, rows, &best);
  free (rows);
  return best.plan;
}
