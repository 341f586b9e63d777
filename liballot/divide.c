/* The division of a limit: by priority, then by edge, then rounded.  */

#include "divide.h"

#include <math.h>
#include <string.h>

enum
{
  LAST = BB_ALLOT_PRIORITIES - 1,
  QUEUED_MAX = 100000,        /* of one edge and priority; more is absurd */
  ARRIVALS_MAX_PER_S = 100000 /* likewise */
};

/* Part of the limit for priorities below the most urgent one.  */
static const double lower_part = 1.0 / 8;

/* Keeps sums of fractions that make a whole number from rounding down.  */
static const double round_slack = 1e-6;

/* What each priority gets, over all rows that are not settled.  */
struct grant
{
  double demand[BB_ALLOT_PRIORITIES];
  double granted[BB_ALLOT_PRIORITIES];
  double kept[BB_ALLOT_PRIORITIES]; /* part of it that more urgent ones may not
                                       use */
  double expected;                  /* sum of the weights */
  double left;
};

static double
clip (double value, double max)
{
  if (!isfinite (value) || value < 0)
    return 0;
  return fmin (value, max);
}

void
bb_divide_add (struct bb_divide_row *row, const struct bb_allot_edge *e,
               bb_ms interval_ms)
{
  for (uint32_t p = 0; p < BB_ALLOT_PRIORITIES; p++)
    {
      double queued = clip (e->queued[p], QUEUED_MAX);
      uint32_t in_flight
          = e->in_flight[p] < QUEUED_MAX ? e->in_flight[p] : QUEUED_MAX;
      row->demand[p] += in_flight + queued - clip (e->surplus[p], in_flight);
      row->waits[p] |= queued > 0;
      row->in_flight += in_flight;
    }
  row->edges++;
  /* One more, for an edge that nothing has reached of late.  */
  row->expected += 1
                   + clip (e->arrivals_per_s, ARRIVALS_MAX_PER_S)
                         * clip ((double)interval_ms, 10000) / 1000;
}

static void
sum_rows (const struct bb_divide_row *rows, uint32_t count, struct grant *g,
          bool *waits)
{
  for (uint32_t i = 0; i < count; i++)
    {
      if (rows[i].settled)
        continue;
      g->expected += rows[i].expected;
      for (uint32_t p = 0; p < BB_ALLOT_PRIORITIES; p++)
        {
          g->demand[p] += rows[i].demand[p];
          waits[p] |= rows[i].waits[p];
        }
    }
}

/* Sets what priorities below the most urgent one with demand keep of
   LIMIT.  */
static void
keep_lower (struct grant *g, const bool *waits, double limit)
{
  double lower = 0;
  double part;
  uint32_t top = 0;

  while (top < LAST && g->demand[top] <= 0)
    top++;
  for (uint32_t p = top + 1; p < BB_ALLOT_PRIORITIES; p++)
    if (waits[p])
      lower += g->demand[p];
  if (lower <= 0)
    return;
  part = fmin (lower, limit * lower_part) / lower;
#ifdef BB_MUTANT_allot_lower
  part = 0;
#endif
  for (uint32_t p = top + 1; p < BB_ALLOT_PRIORITIES; p++)
    if (waits[p])
      g->kept[p] = g->demand[p] * part;
}

static struct grant
grant_priorities (const struct bb_divide_row *rows, uint32_t count,
                  double limit)
{
  struct grant g = { .left = limit };
  bool waits[BB_ALLOT_PRIORITIES] = { false };
  double total = 0;

  sum_rows (rows, count, &g, waits);
  for (uint32_t p = 0; p < BB_ALLOT_PRIORITIES; p++)
    total += g.demand[p];
  if (total > limit)
    keep_lower (&g, waits, limit);
  for (uint32_t p = 0; p < BB_ALLOT_PRIORITIES; p++)
    g.left -= g.kept[p];
  for (uint32_t p = 0; p < BB_ALLOT_PRIORITIES; p++)
    {
      double more = fmin (g.demand[p] - g.kept[p], g.left);
      g.granted[p] = g.kept[p] + more;
      g.left -= more;
    }
  return g;
}

/* Returns the part of ROW in AMOUNT, an amount of priority P.  */
static double
part_of (const struct bb_divide_row *row, const struct grant *g, uint32_t p,
         double amount)
{
  return g->demand[p] > 0 ? amount * row->demand[p] / g->demand[p] : 0;
}

/* Returns the whole number that raises the rounded sum to that of *SUM and
   MORE, and adds MORE: so the numbers of all rows add up.  */
static uint32_t
round_next (double *sum, double more)
{
  double before = floor (*sum + round_slack);

  *sum += more;
  return (uint32_t)(floor (*sum + round_slack) - before);
}

/* Sets the quotas of all rows that are not settled.  */
static void
set_quotas (struct bb_divide_row *rows, uint32_t count, const struct grant *g)
{
  double sums[BB_ALLOT_PRIORITIES] = { 0 };

  for (uint32_t i = 0; i < count; i++)
    {
      struct bb_divide_row *row = &rows[i];
      double quota;
      double kept = 0;
      uint32_t whole;
      if (row->settled)
        continue;
      quota = g->expected > 0 ? g->left * row->expected / g->expected : 0;
      for (uint32_t p = 0; p < BB_ALLOT_PRIORITIES; p++)
        quota += part_of (row, g, p, g->granted[p]);
      whole = round_next (&sums[LAST], quota);
      row->cumulative[LAST] = whole;
      for (uint32_t p = LAST; p-- > 0;)
        {
          uint32_t reserved;
          kept += part_of (row, g, p + 1, g->kept[p + 1]);
          reserved = round_next (&sums[p], kept);
          /* One remains where the quota is very small.  */
          row->cumulative[p]
              = reserved < whole ? whole - reserved : (whole > 0 ? 1 : 0);
          if (row->cumulative[p] > row->cumulative[p + 1])
            row->cumulative[p] = row->cumulative[p + 1];
        }
    }
}

static uint32_t
min_quota (const struct bb_divide_row *row)
{
  double demand = 0;

#ifdef BB_MUTANT_allot_min
  return 0;
#endif
  for (uint32_t p = 0; p < BB_ALLOT_PRIORITIES; p++)
    demand += row->demand[p];
  return (uint32_t)fmin (row->edges, ceil (demand));
}

/* Settles rows whose quota is below its minimum and, if HELD, rows that hold
   more than their quota.  Returns whether there were any.  */
static bool
settle (struct bb_divide_row *rows, uint32_t count, bool held)
{
  bool found = false;

  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t min = min_quota (&rows[i]);
      if (rows[i].settled)
        continue;
      if (rows[i].cumulative[LAST] < min)
        for (uint32_t p = 0; p < BB_ALLOT_PRIORITIES; p++)
          rows[i].cumulative[p] = min;
      else if (!held || rows[i].in_flight <= rows[i].cumulative[LAST])
        continue;
      rows[i].settled = true;
      found = true;
    }
  return found;
}

/* Returns how many requests settled rows take.  */
static double
taken (const struct bb_divide_row *rows, uint32_t count, bool held)
{
  double sum = 0;

  for (uint32_t i = 0; i < count; i++)
    if (rows[i].settled)
      sum += held && rows[i].in_flight > rows[i].cumulative[LAST]
                 ? rows[i].in_flight
                 : rows[i].cumulative[LAST];
  return sum;
}

static void
divide_rest (struct bb_divide_row *rows, uint32_t count, double limit,
             bool held)
{
  do
    {
      double rest = fmax (0, limit - taken (rows, count, held));
      struct grant g = grant_priorities (rows, count, rest);
      set_quotas (rows, count, &g);
    }
  while (settle (rows, count, held));
}

void
bb_divide (struct bb_divide_row *rows, uint32_t count, double limit)
{
  for (uint32_t i = 0; i < count; i++)
    rows[i].settled = false;
  /* The minimums first: a row that holds too much is settled at its quota
     beside them, so that the sum of all stays below the limit.  */
  divide_rest (rows, count, limit, false);
#ifndef BB_MUTANT_allot_held
  divide_rest (rows, count, limit, true);
#endif
}
