#include "bilberry/group.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  STEPS_MAX = 200, /* copies looked at in a set */
  RANKS_MAX = 128
};

/* Gains below this part of the mean load are noise of the counts.  */
static const double least_gain = 0.002;

/* One set while it is being searched.  */
struct search
{
  const struct bb_group_size *size;
  const uint16_t *old; /* rows before */
  uint16_t *rows;      /* rank by rank */
  const double *loads; /* of the experts */
  uint32_t *holders;   /* ranks that hold each expert */
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
row_of (const struct bb_group_size *s, const uint16_t *rows, uint32_t rank)
{
  return rows + (size_t)rank * s->places;
}

static bool
holds (const struct bb_group_size *s, const uint16_t *row, uint16_t expert)
{
  for (uint32_t i = 0; i < s->places; i++)
    if (row[i] == expert)
      return true;
  return false;
}

static void
count (struct search *c)
{
  const struct bb_group_size *s = c->size;
  double total = 0;

  memset (c->holders, 0, s->experts * sizeof *c->holders);
  for (uint32_t i = 0; i < s->ranks * s->places; i++)
    if (c->rows[i] < s->experts)
      c->holders[c->rows[i]]++;
  for (uint32_t r = 0; r < s->ranks; r++)
    {
      const uint16_t *row = row_of (s, c->rows, r);
      c->rank_load[r] = 0;
      for (uint32_t i = 0; i < s->places; i++)
        if (row[i] < s->experts)
          c->rank_load[r] += c->loads[row[i]] / c->holders[row[i]];
    }
  for (uint32_t e = 0; e < s->experts; e++)
    total += c->loads[e];
  c->mean = total / s->ranks;
}

static double
largest (const struct search *c)
{
  double most = 0;

  for (uint32_t r = 0; r < c->size->ranks; r++)
    if (c->rank_load[r] > most)
      most = c->rank_load[r];
  return most;
}

double
bb_group_skew (const struct bb_group_size *s, const uint16_t *map,
               uint32_t set, const double *loads)
{
  struct search c = { .size = s, .loads = loads };
  double skew;

  c.rows = (uint16_t *)map + (size_t)set * s->ranks * s->places;
  c.holders = calloc (s->experts, sizeof *c.holders);
  if (!c.holders)
    abort ();
  count (&c);
  skew = c.mean > 0 ? largest (&c) / c.mean : 1;
  free (c.holders);
  return skew;
}

/* A copy of expert ADD to RANK in place PLACE.  */
struct copy
{
  uint32_t rank;
  uint32_t place;
  uint16_t add;
  double cost; /* what the loads come to */
};

/* A sum that falls as loads even out, ruled by the largest.  */
static double
power (double load)
{
  double x = load * load;

  x *= x;
  return x * x;
}

/* Returns the sum of powers after the copy.  */
static double
try_copy (const struct search *c, uint32_t rank, uint16_t drop, uint16_t add,
          double sum)
{
  const struct bb_group_size *s = c->size;
  double less = c->loads[add] / c->holders[add]
                - c->loads[add] / (c->holders[add] + 1);
  double more = 0;

  if (drop < s->experts)
    more = c->loads[drop] / (c->holders[drop] - 1)
           - c->loads[drop] / c->holders[drop];
  for (uint32_t r = 0; r < s->ranks; r++)
    {
      const uint16_t *row = row_of (s, c->rows, r);
      double change = 0;
      if (r == rank)
        {
          change = c->loads[add] / (c->holders[add] + 1);
          if (drop < s->experts)
            change -= c->loads[drop] / c->holders[drop];
        }
      else
        {
          if (holds (s, row, add))
            change -= less;
          if (drop < s->experts && holds (s, row, drop))
            change += more;
        }
      if (change != 0)
        sum += power ((c->rank_load[r] + change) / c->mean)
               - power (c->rank_load[r] / c->mean);
    }
  return sum;
}

static double
sum_of (const struct search *c)
{
  double sum = 0;

  for (uint32_t r = 0; r < c->size->ranks; r++)
    sum += power (c->rank_load[r] / c->mean);
  return sum;
}

static bool
is_new (const struct search *c, uint32_t rank, uint16_t expert)
{
  return !holds (c->size, row_of (c->size, c->old, rank), expert);
}

/* Looks at each copy of an expert of rank FROM to RANK.  */
static void
look_at_rank (const struct search *c, uint32_t from, uint32_t rank, double sum,
              uint32_t fresh_max, struct copy *best)
{
  const struct bb_group_size *s = c->size;
  const uint16_t *source = row_of (s, c->rows, from);
  const uint16_t *row = row_of (s, c->rows, rank);

  for (uint32_t i = 0; i < s->places; i++)
    {
      uint16_t add = source[i];
      if (add >= s->experts || c->loads[add] <= 0 || holds (s, row, add))
        continue;
      if (is_new (c, rank, add) && c->fresh[rank] >= fresh_max)
        continue;
      for (uint32_t p = 0; p < s->places; p++)
        {
          uint16_t drop = row[p];
          double cost;
          if (drop < s->experts && c->holders[drop] < 2)
            continue;
          cost = try_copy (c, rank, drop, add, sum);
          if (cost < best->cost)
            *best = (struct copy){ rank, p, add, cost };
        }
    }
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

/* Exchanges experts A of rank FROM and B of rank RANK.  Returns the sum.  */
static double
try_exchange (const struct search *c, uint32_t from, uint16_t a, uint32_t rank,
              uint16_t b, double sum)
{
  double la = c->loads[a] / c->holders[a];
  double lb = c->loads[b] / c->holders[b];

  sum += power ((c->rank_load[from] - la + lb) / c->mean)
         - power (c->rank_load[from] / c->mean);
  sum += power ((c->rank_load[rank] + la - lb) / c->mean)
         - power (c->rank_load[rank] / c->mean);
  return sum;
}

struct exchange
{
  uint32_t from_place;
  uint32_t rank;
  uint32_t place;
  double cost;
};

static void
look_at_exchanges (const struct search *c, uint32_t from, double sum,
                   uint32_t fresh_max, struct exchange *best)
{
  const struct bb_group_size *s = c->size;
  const uint16_t *source = row_of (s, c->rows, from);

  for (uint32_t i = 0; i < s->places; i++)
    for (uint32_t r = 0; r < s->ranks; r++)
      {
        const uint16_t *row = row_of (s, c->rows, r);
        uint16_t a = source[i];
        if (r == from || a >= s->experts || holds (s, row, a)
            || c->fresh[r] + is_new (c, r, a) > fresh_max)
          continue;
        for (uint32_t p = 0; p < s->places; p++)
          {
            uint16_t b = row[p];
            double cost;
            if (b >= s->experts || holds (s, source, b)
                || c->fresh[from] + is_new (c, from, b) > fresh_max)
              continue;
            cost = try_exchange (c, from, a, r, b, sum);
            if (cost < best->cost)
              *best = (struct exchange){ i, r, p, cost };
          }
      }
}

static void
set_place (struct search *c, uint32_t rank, uint32_t place, uint16_t expert)
{
  uint16_t *row = c->rows + (size_t)rank * c->size->places;
  uint16_t before = row[place];

  if (before < c->size->experts && is_new (c, rank, before))
    c->fresh[rank]--;
  if (expert < c->size->experts && is_new (c, rank, expert))
    c->fresh[rank]++;
  row[place] = expert;
}

/* Makes the best single change.  Returns false where none helps.  */
static bool
improve (struct search *c, uint32_t fresh_max)
{
  uint32_t from = most_loaded (c);
  double sum = sum_of (c);
  double before = largest (c);
  struct copy copy = { .cost = sum * 0.9999 };
  struct exchange x = { .cost = sum * 0.9999 };

  for (uint32_t r = 0; r < c->size->ranks; r++)
    if (r != from)
      look_at_rank (c, from, r, sum, fresh_max, &copy);
  look_at_exchanges (c, from, sum, fresh_max, &x);
  if (copy.cost >= sum * 0.9999 && x.cost >= sum * 0.9999)
    return false;
  /* An exchange copies twice.  */
  if (copy.cost <= sum * 0.9999 && sum - copy.cost >= (sum - x.cost) / 2)
    set_place (c, copy.rank, copy.place, copy.add);
  else
    {
      uint16_t a = row_of (c->size, c->rows, from)[x.from_place];
      uint16_t b = row_of (c->size, c->rows, x.rank)[x.place];
      set_place (c, from, x.from_place, b);
      set_place (c, x.rank, x.place, a);
    }
  count (c);
  (void)before;
  return true;
}

/* Searches one set with at most FRESH_MAX new experts at a rank.  Returns the
   skew that it comes to.  */
static double
climb_set (const struct bb_group_size *s, const uint16_t *old, uint16_t *rows,
           const double *loads, uint32_t fresh_max, uint32_t *fresh)
{
  struct search c = { .size = s, .old = old, .rows = rows, .loads = loads };
  double skew;

  c.holders = calloc (s->experts, sizeof *c.holders);
  if (!c.holders)
    abort ();
  memcpy (rows, old, (size_t)s->ranks * s->places * sizeof *rows);
  count (&c);
  for (uint32_t i = 0; c.mean > 0 && i < STEPS_MAX; i++)
    if (!improve (&c, fresh_max))
      break;
  memcpy (fresh, c.fresh, s->ranks * sizeof *fresh);
  skew = c.mean > 0 ? largest (&c) / c.mean : 1;
  free (c.holders);
  return skew;
}

/* Searches all sets.  */
static struct bb_climb_plan
climb_all (const struct bb_group_size *s, const uint16_t *map,
           const double *loads, uint32_t fresh_max, uint16_t *next)
{
  struct bb_climb_plan plan = { 0 };
  uint32_t all[RANKS_MAX] = { 0 };
  uint32_t fresh[RANKS_MAX];
  size_t rows = (size_t)s->ranks * s->places;

  for (uint32_t i = 0; i < s->sets; i++)
    {
      const double *of_set = loads + (size_t)i * s->experts;
      plan.before += bb_group_skew (s, map, i, of_set) / s->sets;
      plan.after += climb_set (s, map + i * rows, next + i * rows, of_set,
                               fresh_max, fresh)
                    / s->sets;
      for (uint32_t r = 0; r < s->ranks; r++)
        all[r] += fresh[r];
    }
  for (uint32_t r = 0; r < s->ranks; r++)
    {
      plan.copies += all[r];
      if (all[r] > plan.copies_most)
        plan.copies_most = all[r];
    }
  return plan;
}

/* Returns what the plan gains over the horizon, in ms of the group.  */
static double
gain_of (const struct bb_climb_plan *p, const struct bb_climb_cost *cost)
{
  double copying = p->copies_most * cost->copy_ms;
  double pass_before = 1 - cost->share + cost->share * p->before;
  double pass_after = 1 - cost->share + cost->share * p->after;
  double serves = cost->horizon_ms - copying;

  if (serves < 0)
    serves = 0;
  return serves * (pass_before / pass_after - 1) - copying * cost->slow
         - p->copies * cost->copy_price_ms;
}

struct bb_climb_plan
bb_climb (const struct bb_group_size *s, const uint16_t *map,
          const double *loads, const struct bb_climb_cost *cost,
          uint16_t *next)
{
  struct bb_climb_plan best = { 0 };
  size_t places = bb_group_places (s);
  uint16_t *tried = calloc (places, sizeof *tried);
  double most = 0;

  if (!tried)
    abort ();
  memcpy (next, map, places * sizeof *next);
  for (uint32_t fresh = 1; fresh <= s->spare; fresh++)
    {
      struct bb_climb_plan p = climb_all (s, map, loads, fresh, tried);
      double gain = gain_of (&p, cost);
      if (fresh == 1)
        best.before = best.after = p.before;
      if (gain <= most || p.before - p.after < least_gain)
        continue;
      most = gain;
      best = p;
      best.worthwhile = true;
      memcpy (next, tried, places * sizeof *next);
    }
  free (tried);
  return best;
}
