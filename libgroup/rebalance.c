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

struct bb_rebalance_search
{
  struct bb_group_size size;
  struct bb_rebalance_cost cost;
  uint16_t *map;
  double *loads;
  uint16_t *rows; /* map being built */
  struct best_map best;
  struct map_search sets; /* not set where done */
  bool done;
  /* Where the search is: in which stage and set, and after how many changes of
     that set in that stage.  */
  uint32_t stage;
  uint32_t set;
  uint32_t changes;
};

/* Starts to search for maps with at most NEW_EXPERTS_MAX new experts at a
   rank.  */
static void
begin_sets (struct bb_rebalance_search *k, uint32_t new_experts_max)
{
  k->done = new_experts_max > k->size.spare;
  if (k->done)
    return;
  k->sets.size = &k->size;
  k->sets.new_experts_max = new_experts_max;
  k->stage = 0;
  map_search_init (&k->sets, k->map, k->loads, k->rows);
}

struct bb_rebalance_search *
bb_rebalance_search_new (const struct bb_group_size *s, const uint16_t *map,
                         const double *loads,
                         const struct bb_rebalance_cost *cost)
{
  struct bb_rebalance_search *k = g_new0 (struct bb_rebalance_search, 1);
  size_t places = bb_group_places (s);

  k->size = *s;
  k->cost = *cost;
  k->map = g_memdup2 (map, places * sizeof *map);
  k->loads = g_memdup2 (loads, (size_t)s->sets * s->experts * sizeof *loads);
  k->rows = g_new0 (uint16_t, places);
  k->best.map = g_memdup2 (map, places * sizeof *map);
  k->best.plan.skew_before = mean_skew (s, map, loads);
  k->best.plan.skew_after = k->best.plan.skew_before;
  k->done = true;
  if (k->best.plan.skew_before >= cost->skew_min)
    begin_sets (k, 1);
  return k;
}

/* Stores the map after a stage in BEST if it is better.  */
static void
weigh_stage (struct bb_rebalance_search *k)
{
  struct best_map *best = &k->best;
  struct bb_rebalance_plan p = summarize (&k->sets, best->plan.skew_before);
  double gain_ms = plan_gain_ms (&p, &k->cost);

  if (gain_ms <= best->gain_ms)
    return;
  best->gain_ms = gain_ms;
  best->plan = p;
  best->plan.worthwhile = true;
  memcpy (best->map, k->rows, bb_group_places (&k->size) * sizeof *k->rows);
}

/* Changes the present set, which ends in a stage when its skew is low enough,
   no change helps or SET_CHANGES_MAX changes were made.  Returns whether it
   has ended.  */
static bool
change_set (struct bb_rebalance_search *k)
{
  struct set_search *set = &k->sets.sets[k->set];
  bool *finished = &k->sets.finished[k->set];

  if (*finished || k->changes == SET_CHANGES_MAX
      || set_search_skew (set) <= stage_skews[k->stage])
    return true;
  *finished = !set_search_improve (set, k->sets.new_experts_max);
  k->changes++;
  return false;
}

static void
end_stage (struct bb_rebalance_search *k)
{
  weigh_stage (k);
  k->set = 0;
  if (++k->stage < STAGES)
    return;
  map_search_free (&k->sets);
  begin_sets (k, k->sets.new_experts_max * 2);
}

bool
bb_rebalance_search_step (struct bb_rebalance_search *k, uint32_t changes)
{
  while (!k->done && changes > 0)
    if (!change_set (k))
      changes--;
    else
      {
        k->changes = 0;
        if (++k->set == k->size.sets)
          end_stage (k);
      }
  return k->done;
}

struct bb_rebalance_plan
bb_rebalance_search_end (struct bb_rebalance_search *k, uint16_t *next)
{
  struct bb_rebalance_plan plan = k->best.plan;

  if (next)
    memcpy (next, k->best.map, bb_group_places (&k->size) * sizeof *next);
  if (!k->done)
    map_search_free (&k->sets);
  g_free (k->map);
  g_free (k->loads);
  g_free (k->rows);
  g_free (k->best.map);
  g_free (k);
  return plan;
}

struct bb_rebalance_plan
bb_rebalance (const struct bb_group_size *s, const uint16_t *map,
              const double *loads, const struct bb_rebalance_cost *cost,
              uint16_t *next)
{
  struct bb_rebalance_search *k
      = bb_rebalance_search_new (s, map, loads, cost);

  bb_rebalance_search_step (k, UINT32_MAX);
  return bb_rebalance_search_end (k, next);
}
