/* Searches for the map to switch to, by hill climbing in each set.  */

#include "bilberry/group.h"

#include <stdlib.h>
#include <string.h>

enum
{
  SET_CHANGES_MAX = 120, /* limit on the changes of one set in one stage */
  RANKS_MAX = BB_GROUP_RANKS_MAX,
  STAGES = 5
};

/* Skew at which each stage of the search ends.  A lower skew takes more
   copies, so the map after each stage is a candidate.  */
static const double stage_skews[STAGES] = { 1.6, 1.35, 1.2, 1.1, 1.0 };

/* A change must lower the sum of load powers by at least this fraction.  */
static const double improvement_min = 1e-4;

/* The search of one set.  */
struct set_search
{
  const struct bb_group_size *size;
  const uint16_t *old_rows; /* rows of the set in the map in use */
  uint16_t *rows; /* rows of the set in the map being built, rank by rank */
  const double *loads; /* load of each expert of the set */
  uint32_t *holders;   /* number of ranks that hold each expert */
  bool *held;          /* [rank][expert]: whether the rank holds it */
  bool *was_held; /* [rank][expert]: whether the rank holds it in the map in
                     use */
  double rank_load[RANKS_MAX];
  uint32_t new_experts[RANKS_MAX]; /* number of experts new at each rank */
  double rank_load_mean;
};

size_t
bb_group_places (const struct bb_group_size *s)
{
  return (size_t)s->sets * s->ranks * s->places;
}

static const uint16_t *
row_of (const struct set_search *c, uint32_t rank)
{
  return c->rows + (size_t)rank * c->size->places;
}

static bool
holds (const struct set_search *c, uint32_t rank, uint16_t expert)
{
  return c->held[(size_t)rank * c->size->experts + expert];
}

static bool
is_new (const struct set_search *c, uint32_t rank, uint16_t expert)
{
  return !c->was_held[(size_t)rank * c->size->experts + expert];
}

static void
mark_held (const struct set_search *c, const uint16_t *rows, bool *held)
{
  const struct bb_group_size *s = c->size;

  for (uint32_t i = 0; i < s->ranks * s->places; i++)
    if (rows[i] < s->experts)
      held[(size_t)(i / s->places) * s->experts + rows[i]] = true;
}

static void
sum_rank_loads (struct set_search *c)
{
  const struct bb_group_size *s = c->size;

  memset (c->rank_load, 0, sizeof c->rank_load);
  for (uint32_t i = 0; i < s->ranks * s->places; i++)
    if (c->rows[i] < s->experts)
      c->rank_load[i / s->places]
          += c->loads[c->rows[i]] / c->holders[c->rows[i]];
}

static void
set_search_init (struct set_search *c)
{
  const struct bb_group_size *s = c->size;
  double total = 0;

  c->holders = calloc (s->experts, sizeof *c->holders);
  c->held = calloc ((size_t)s->ranks * s->experts, sizeof *c->held);
  c->was_held = calloc ((size_t)s->ranks * s->experts, sizeof *c->was_held);
  if (!c->holders || !c->held || !c->was_held)
    abort ();
  for (uint32_t i = 0; i < s->ranks * s->places; i++)
    if (c->rows[i] < s->experts)
      c->holders[c->rows[i]]++;
  mark_held (c, c->rows, c->held);
  mark_held (c, c->old_rows, c->was_held);
  for (uint32_t e = 0; e < s->experts; e++)
    total += c->loads[e];
  c->rank_load_mean = total / s->ranks;
  sum_rank_loads (c);
}

static void
set_search_free (struct set_search *c)
{
  free (c->holders);
  free (c->held);
  free (c->was_held);
}

static uint32_t
most_loaded (const struct set_search *c)
{
  uint32_t most = 0;

  for (uint32_t r = 1; r < c->size->ranks; r++)
    if (c->rank_load[r] > c->rank_load[most])
      most = r;
  return most;
}

static double
search_skew (const struct set_search *c)
{
  return c->rank_load_mean > 0
             ? c->rank_load[most_loaded (c)] / c->rank_load_mean
             : 1;
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
  skew = search_skew (&c);
  set_search_free (&c);
  return skew;
}

/* A change of the map: EXPERT is put into PLACE of RANK.  In an exchange, the
   expert that was there is put into FROM_PLACE of the most loaded rank.  */
struct change
{
  uint32_t rank;
  uint32_t place;
  uint16_t expert;
  bool is_exchange;
  uint32_t from_place;
  double power_sum; /* sum of load powers of all ranks after the change; an
                       exchange counts with half of its gain */
};

/* Returns the 8th power of LOAD over the mean.  The sum of these powers over
   all ranks, which the search minimizes, depends mostly on the most loaded
   rank and falls as the loads even out.  */
static double
load_power (const struct set_search *c, double load)
{
  double x = load / c->rank_load_mean;

  x *= x;
  x *= x;
  return x * x;
}

static double
load_power_change (const struct set_search *c, uint32_t rank, double change)
{
  return load_power (c, c->rank_load[rank] + change)
         - load_power (c, c->rank_load[rank]);
}

static double
power_sum (const struct set_search *c)
{
  double sum = 0;

  for (uint32_t r = 0; r < c->size->ranks; r++)
    sum += load_power (c, c->rank_load[r]);
  return sum;
}

/* Returns the sum of load powers after RANK takes expert ADD in place of DROP,
   which may be BB_PLACE_EMPTY.  SUM is the present sum.  */
static double
power_sum_after_copy (const struct set_search *c, uint32_t rank, uint16_t drop,
                      uint16_t add, double sum)
{
  bool drops = drop < c->size->experts;
  double added = c->loads[add] / (c->holders[add] + 1);
  double lost_share = c->loads[add] / c->holders[add] - added;
  double dropped = drops ? c->loads[drop] / c->holders[drop] : 0;
  double gained_share
      = drops ? c->loads[drop] / (c->holders[drop] - 1) - dropped : 0;

  for (uint32_t r = 0; r < c->size->ranks; r++)
    {
      double change = 0;
      if (r == rank)
        change = added - dropped;
      else
        {
          if (holds (c, r, add))
            change -= lost_share;
          if (drops && holds (c, r, drop))
            change += gained_share;
        }
      if (change != 0)
        sum += load_power_change (c, r, change);
    }
  return sum;
}

/* Tries to copy EXPERT into each place of RANK whose expert another rank holds
   too, or that is empty.  Stores the best change in BEST if it is better.  */
static void
try_copies (const struct set_search *c, uint32_t rank, uint16_t expert,
            double sum, struct change *best)
{
  const uint16_t *row = row_of (c, rank);

  for (uint32_t p = 0; p < c->size->places; p++)
    {
      uint16_t drop = row[p];
      double after;
      if (drop < c->size->experts && c->holders[drop] < 2)
        continue;
      after = power_sum_after_copy (c, rank, drop, expert, sum);
      if (after < best->power_sum)
        *best = (struct change){
          .rank = rank, .place = p, .expert = expert, .power_sum = after
        };
    }
}

/* Tries to exchange the expert in FROM_PLACE of rank FROM for each expert of
   RANK.  An exchange takes two copies, so its gain counts half.  Stores the
   best change in BEST if it is better.  */
static void
try_exchanges (const struct set_search *c, uint32_t from, uint32_t from_place,
               uint32_t rank, double sum, uint32_t new_experts_max,
               struct change *best)
{
  uint16_t expert = row_of (c, from)[from_place];
  double expert_load = c->loads[expert] / c->holders[expert];

  for (uint32_t p = 0; p < c->size->places; p++)
    {
      uint16_t back_expert = row_of (c, rank)[p];
      double back_load;
      double gain;
      if (back_expert >= c->size->experts || holds (c, from, back_expert)
          || c->new_experts[from] + is_new (c, from, back_expert)
                 > new_experts_max)
        continue;
      back_load = c->loads[back_expert] / c->holders[back_expert];
      gain = -(load_power_change (c, from, back_load - expert_load)
               + load_power_change (c, rank, expert_load - back_load));
      if (sum - gain / 2 < best->power_sum)
        *best = (struct change){ .rank = rank,
                                 .place = p,
                                 .expert = expert,
                                 .is_exchange = true,
                                 .from_place = from_place,
                                 .power_sum = sum - gain / 2 };
    }
}

static void
set_place (struct set_search *c, uint32_t rank, uint32_t place,
           uint16_t expert)
{
  size_t at = (size_t)rank * c->size->experts;
  uint16_t *row = c->rows + (size_t)rank * c->size->places;
  uint16_t before = row[place];

  if (before < c->size->experts)
    {
      c->held[at + before] = false;
      c->holders[before]--;
      if (is_new (c, rank, before))
        c->new_experts[rank]--;
    }
  if (expert < c->size->experts)
    {
      c->held[at + expert] = true;
      c->holders[expert]++;
      if (is_new (c, rank, expert))
        c->new_experts[rank]++;
    }
  row[place] = expert;
}

static void
apply_change (struct set_search *c, uint32_t from, const struct change *x)
{
  uint16_t back_expert = row_of (c, x->rank)[x->place];

  if (x->is_exchange)
    set_place (c, from, x->from_place, back_expert);
  set_place (c, x->rank, x->place, x->expert);
  sum_rank_loads (c);
}

/* Makes the best single change that moves load off the most loaded rank.
   Returns false where none lowers the sum of load powers enough.  */
static bool
make_best_change (struct set_search *c, uint32_t new_experts_max)
{
  const struct bb_group_size *s = c->size;
  uint32_t from = most_loaded (c);
  double sum = power_sum (c);
  double bound = sum * (1 - improvement_min);
  struct change best = { .power_sum = bound };

  for (uint32_t i = 0; i < s->places; i++)
    {
      uint16_t expert = row_of (c, from)[i];
      if (expert >= s->experts || c->loads[expert] <= 0)
        continue;
      for (uint32_t r = 0; r < s->ranks; r++)
        {
          if (holds (c, r, expert)
              || c->new_experts[r] + is_new (c, r, expert) > new_experts_max)
            continue;
          try_copies (c, r, expert, sum, &best);
          try_exchanges (c, from, i, r, sum, new_experts_max, &best);
        }
    }
  if (best.power_sum >= bound)
    return false;
  apply_change (c, from, &best);
  return true;
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
                         && search_skew (&k->sets[i]) > skew;
         n++)
      k->finished[i] = !make_best_change (&k->sets[i], k->new_experts_max);
}

static struct bb_rebalance_plan
summarize (const struct map_search *k, double before)
{
  struct bb_rebalance_plan p = { .skew_before = before };

  for (uint32_t i = 0; i < k->size->sets; i++)
    p.skew_after += search_skew (&k->sets[i]) / k->size->sets;
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

struct bb_rebalance_plan
bb_rebalance (const struct bb_group_size *s, const uint16_t *map,
              const double *loads, const struct bb_rebalance_cost *cost,
              uint16_t *next)
{
  struct bb_rebalance_plan best = { 0 };
  size_t places = bb_group_places (s);
  uint16_t *rows = calloc (places, sizeof *rows);
  double best_gain = 0;

  if (!rows)
    abort ();
  memcpy (next, map, places * sizeof *next);
  for (uint32_t i = 0; i < s->sets; i++)
    best.skew_before
        += bb_group_skew (s, map, i, loads + (size_t)i * s->experts) / s->sets;
  best.skew_after = best.skew_before;
  if (best.skew_before < cost->skew_min)
    {
      free (rows);
      return best;
    }
  for (uint32_t new_experts_max = 1; new_experts_max <= s->spare;
       new_experts_max *= 2)
    {
      struct map_search k = { .size = s, .new_experts_max = new_experts_max };
      map_search_init (&k, map, loads, rows);
      for (uint32_t i = 0; i < STAGES; i++)
        {
          struct bb_rebalance_plan p;
          double gain;
          search_until (&k, stage_skews[i]);
          p = summarize (&k, best.skew_before);
          gain = plan_gain_ms (&p, cost);
          if (gain <= best_gain)
            continue;
          best_gain = gain;
          best = p;
          best.worthwhile = true;
          memcpy (next, rows, places * sizeof *next);
        }
      map_search_free (&k);
    }
  free (rows);
  return best;
}
