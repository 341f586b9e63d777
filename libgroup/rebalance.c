#include "bilberry/group.h"

#include <stdlib.h>
#include <string.h>

enum
{
  STEPS_MAX = 120, /* changes of one set */
  RANKS_MAX = BB_GROUP_RANKS_MAX,
  STAGES = 5
};

/* Skews at which a search may stop: an even map costs more copies.  */
static const double stages[STAGES] = { 1.6, 1.35, 1.2, 1.1, 1.0 };

/* A change must lower the sum of powers by this part.  */
static const double least_change = 1e-4;

/* One set while it is being searched.  */
struct search
{
  const struct bb_group_size *size;
  const uint16_t *old; /* rows before */
  uint16_t *rows;      /* rank by rank */
  const double *loads; /* of the experts */
  uint32_t *holders;   /* ranks that hold each expert */
  bool *held;          /* by rank and expert */
  bool *was_held;      /* likewise, before */
  double rank_load[RANKS_MAX];
  uint32_t fresh[RANKS_MAX]; /* experts new at each rank */
  double mean;
};

size_t
bb_group_places (const struct bb_group_size *s)
{
  return (size_t)s->sets * s->ranks * s->places;
}

static const uint16_t *
row_of (const struct search *c, uint32_t rank)
{
  return c->rows + (size_t)rank * c->size->places;
}

static bool
holds (const struct search *c, uint32_t rank, uint16_t expert)
{
  return c->held[(size_t)rank * c->size->experts + expert];
}

static bool
is_new (const struct search *c, uint32_t rank, uint16_t expert)
{
  return !c->was_held[(size_t)rank * c->size->experts + expert];
}

static void
note_holders (const struct search *c, const uint16_t *rows, bool *held)
{
  const struct bb_group_size *s = c->size;

  for (uint32_t i = 0; i < s->ranks * s->places; i++)
    if (rows[i] < s->experts)
      held[(size_t)(i / s->places) * s->experts + rows[i]] = true;
}

static void
add_loads (struct search *c)
{
  const struct bb_group_size *s = c->size;

  memset (c->rank_load, 0, sizeof c->rank_load);
  for (uint32_t i = 0; i < s->ranks * s->places; i++)
    if (c->rows[i] < s->experts)
      c->rank_load[i / s->places]
          += c->loads[c->rows[i]] / c->holders[c->rows[i]];
}

static void
open_search (struct search *c)
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
  note_holders (c, c->rows, c->held);
  note_holders (c, c->old, c->was_held);
  for (uint32_t e = 0; e < s->experts; e++)
    total += c->loads[e];
  c->mean = total / s->ranks;
  add_loads (c);
}

static void
close_search (struct search *c)
{
  free (c->holders);
  free (c->held);
  free (c->was_held);
}

/* Returns the most loaded rank.  */
static uint32_t
most_loaded (const struct search *c)
{
  uint32_t most = 0;

  for (uint32_t r = 1; r < c->size->ranks; r++)
    if (c->rank_load[r] > c->rank_load[most])
      most = r;
  return most;
}

static double
skew_of (const struct search *c)
{
  return c->mean > 0 ? c->rank_load[most_loaded (c)] / c->mean : 1;
}

double
bb_group_skew (const struct bb_group_size *s, const uint16_t *map,
               uint32_t set, const double *loads)
{
  uint16_t *rows = (uint16_t *)map + (size_t)set * s->ranks * s->places;
  struct search c = { .size = s, .old = rows, .rows = rows, .loads = loads };
  double skew;

  open_search (&c);
  skew = skew_of (&c);
  close_search (&c);
  return skew;
}

/* One change: expert ADD comes to place PLACE of RANK.  Where it is an
   exchange, what stood there goes to FROM_PLACE of the most loaded rank.  */
struct change
{
  uint32_t rank;
  uint32_t place;
  uint16_t add;
  bool exchanges;
  uint32_t from_place;
  double sum; /* of powers, after the change */
};

/* The sum of powers falls as loads even out, ruled by the largest.  */
static double
power (const struct search *c, double load)
{
  double x = load / c->mean;

  x *= x;
  x *= x;
  return x * x;
}

static double
power_change (const struct search *c, uint32_t rank, double change)
{
  return power (c, c->rank_load[rank] + change)
         - power (c, c->rank_load[rank]);
}

static double
sum_of (const struct search *c)
{
  double sum = 0;

  for (uint32_t r = 0; r < c->size->ranks; r++)
    sum += power (c, c->rank_load[r]);
  return sum;
}

/* Returns the sum after RANK takes ADD in place of DROP.  */
static double
sum_after_copy (const struct search *c, uint32_t rank, uint16_t drop,
                uint16_t add, double sum)
{
  bool drops = drop < c->size->experts;
  double added = c->loads[add] / (c->holders[add] + 1);
  double less = c->loads[add] / c->holders[add] - added;
  double dropped = drops ? c->loads[drop] / c->holders[drop] : 0;
  double more = drops ? c->loads[drop] / (c->holders[drop] - 1) - dropped : 0;

  for (uint32_t r = 0; r < c->size->ranks; r++)
    {
      double change = 0;
      if (r == rank)
        change = added - dropped;
      else
        {
          if (holds (c, r, add))
            change -= less;
          if (drops && holds (c, r, drop))
            change += more;
        }
      if (change != 0)
        sum += power_change (c, r, change);
    }
  return sum;
}

/* Looks at each copy of expert ADD to RANK.  */
static void
look_at_copies (const struct search *c, uint32_t rank, uint16_t add,
                double sum, struct change *best)
{
  const uint16_t *row = row_of (c, rank);

  for (uint32_t p = 0; p < c->size->places; p++)
    {
      uint16_t drop = row[p];
      double after;
      if (drop < c->size->experts && c->holders[drop] < 2)
        continue;
      after = sum_after_copy (c, rank, drop, add, sum);
      if (after < best->sum)
        *best = (struct change){
          .rank = rank, .place = p, .add = add, .sum = after
        };
    }
}

/* Looks at each exchange of expert ADD, in place I of rank FROM, for one of
   RANK.  An exchange copies twice, so its gain counts half.  */
static void
look_at_exchanges (const struct search *c, uint32_t from, uint32_t i,
                   uint32_t rank, double sum, uint32_t fresh_max,
                   struct change *best)
{
  uint16_t add = row_of (c, from)[i];
  double la = c->loads[add] / c->holders[add];

  for (uint32_t p = 0; p < c->size->places; p++)
    {
      uint16_t back = row_of (c, rank)[p];
      double lb;
      double gain;
      if (back >= c->size->experts || holds (c, from, back)
          || c->fresh[from] + is_new (c, from, back) > fresh_max)
        continue;
      lb = c->loads[back] / c->holders[back];
      gain = -(power_change (c, from, lb - la)
               + power_change (c, rank, la - lb));
      if (sum - gain / 2 < best->sum)
        *best = (struct change){ .rank = rank,
                                 .place = p,
                                 .add = add,
                                 .exchanges = true,
                                 .from_place = i,
                                 .sum = sum - gain / 2 };
    }
}

static void
set_place (struct search *c, uint32_t rank, uint32_t place, uint16_t expert)
{
  size_t at = (size_t)rank * c->size->experts;
  uint16_t *row = c->rows + (size_t)rank * c->size->places;
  uint16_t before = row[place];

  if (before < c->size->experts)
    {
      c->held[at + before] = false;
      c->holders[before]--;
      if (is_new (c, rank, before))
        c->fresh[rank]--;
    }
  if (expert < c->size->experts)
    {
      c->held[at + expert] = true;
      c->holders[expert]++;
      if (is_new (c, rank, expert))
        c->fresh[rank]++;
    }
  row[place] = expert;
}

static void
make_change (struct search *c, uint32_t from, const struct change *x)
{
  uint16_t back = row_of (c, x->rank)[x->place];

  if (x->exchanges)
    set_place (c, from, x->from_place, back);
  set_place (c, x->rank, x->place, x->add);
  add_loads (c);
}

/* Makes the best single change.  Returns false where none helps.  */
static bool
improve (struct search *c, uint32_t fresh_max)
{
  const struct bb_group_size *s = c->size;
  uint32_t from = most_loaded (c);
  double sum = sum_of (c);
  double bound = sum * (1 - least_change);
  struct change best = { .sum = bound };

  for (uint32_t i = 0; i < s->places; i++)
    {
      uint16_t add = row_of (c, from)[i];
      if (add >= s->experts || c->loads[add] <= 0)
        continue;
      for (uint32_t r = 0; r < s->ranks; r++)
        {
          if (holds (c, r, add)
              || c->fresh[r] + is_new (c, r, add) > fresh_max)
            continue;
          look_at_copies (c, r, add, sum, &best);
          look_at_exchanges (c, from, i, r, sum, fresh_max, &best);
        }
    }
  if (best.sum >= bound)
    return false;
  make_change (c, from, &best);
  return true;
}

/* A search of all sets, stage by stage.  */
struct climb
{
  const struct bb_group_size *size;
  uint32_t fresh_max;
  struct search *sets;
  bool *ended;
};

static void
open_climb (struct climb *k, const uint16_t *map, const double *loads,
            uint16_t *rows)
{
  const struct bb_group_size *s = k->size;
  size_t row = (size_t)s->ranks * s->places;

  k->sets = calloc (s->sets, sizeof *k->sets);
  k->ended = calloc (s->sets, sizeof *k->ended);
  if (!k->sets || !k->ended)
    abort ();
  memcpy (rows, map, bb_group_places (s) * sizeof *rows);
  for (uint32_t i = 0; i < s->sets; i++)
    {
      k->sets[i] = (struct search){ .size = s,
                                    .old = map + i * row,
                                    .rows = rows + i * row,
                                    .loads = loads + (size_t)i * s->experts };
      open_search (&k->sets[i]);
      k->ended[i] = k->sets[i].mean <= 0;
    }
}

static void
close_climb (struct climb *k)
{
  for (uint32_t i = 0; i < k->size->sets; i++)
    close_search (&k->sets[i]);
  free (k->sets);
  free (k->ended);
}

/* Goes on until each set is at SKEW or ends.  */
static void
climb_to (struct climb *k, double skew)
{
  for (uint32_t i = 0; i < k->size->sets; i++)
    for (uint32_t n = 0;
         n < STEPS_MAX && !k->ended[i] && skew_of (&k->sets[i]) > skew; n++)
      k->ended[i] = !improve (&k->sets[i], k->fresh_max);
}

static struct bb_rebalance_plan
sum_up (const struct climb *k, double before)
{
  struct bb_rebalance_plan p = { .skew_before = before };

  for (uint32_t i = 0; i < k->size->sets; i++)
    p.skew_after += skew_of (&k->sets[i]) / k->size->sets;
  for (uint32_t r = 0; r < k->size->ranks; r++)
    {
      uint32_t fresh = 0;
      for (uint32_t i = 0; i < k->size->sets; i++)
        fresh += k->sets[i].fresh[r];
      p.copies += fresh;
      if (fresh > p.rank_copies_max)
        p.rank_copies_max = fresh;
    }
  return p;
}

/* Returns what the plan gains over the horizon, in ms of the group.  */
static double
gain_of (const struct bb_rebalance_plan *p,
         const struct bb_rebalance_cost *cost)
{
  double copying = p->rank_copies_max * cost->copy_ms;
  double pass_before
      = 1 - cost->expert_share + cost->expert_share * p->skew_before;
  double pass_after
      = 1 - cost->expert_share + cost->expert_share * p->skew_after;
  double serves = cost->horizon_ms - copying;

  if (serves < 0)
    serves = 0;
  return serves * (pass_before / pass_after - 1) - copying * cost->slowdown
         - p->copies * cost->copy_price_ms;
}

struct bb_rebalance_plan
bb_rebalance (const struct bb_group_size *s, const uint16_t *map,
              const double *loads, const struct bb_rebalance_cost *cost,
              uint16_t *next)
{
  struct bb_rebalance_plan best = { 0 };
  size_t places = bb_group_places (s);
  uint16_t *rows = calloc (places, sizeof *rows);
  double most = 0;

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
  for (uint32_t fresh = 1; fresh <= s->spare; fresh *= 2)
    {
      struct climb k = { .size = s, .fresh_max = fresh };
      open_climb (&k, map, loads, rows);
      for (uint32_t i = 0; i < STAGES; i++)
        {
          struct bb_rebalance_plan p;
          double gain;
          climb_to (&k, stages[i]);
          p = sum_up (&k, best.skew_before);
          gain = gain_of (&p, cost);
          if (gain <= most)
            continue;
          most = gain;
          best = p;
          best.worthwhile = true;
          memcpy (next, rows, places * sizeof *next);
        }
      close_climb (&k);
    }
  free (rows);
  return best;
}
