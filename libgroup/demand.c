/* Keeps counts of the recent demand for experts, and plans maps from them.  */

#include "bilberry/group.h"

#include <math.h>
#include <string.h>

enum
{
  FAST_HALF_LIFE_MS = 90,  /* reveals a shift of demand */
  SLOW_HALF_LIFE_MS = 700, /* averages over the mix of requests */
  /* After a shift, counts of this time are collected before a map is
     planned.  */
  SETTLE_MS = 100,
  SHIFT_GAP_MS = 320, /* shifts closer together count as one */
  /* After the first counts, and after a shift, the slow counts need this time
     to differ from the fast ones as they do without a shift.  */
  NOISE_DELAY_MS = 1000,
  /* A shift that was not detected must not pass for noise.  */
  NOISE_RISE_HALF_LIFE_MS = 8000,
  NOISE_FALL_HALF_LIFE_MS = 1000,
  HORIZON_MS = 2500, /* how long the loads are expected to last */
  MEGABITS_PER_MB = 8,
  MB_PER_GB = 1000
};

/* Fraction by which passes are longer while experts are copied.  */
static const double copy_slowdown = 0.15;

/* Cost of copying a gigabyte, in ms of the group's time.  */
static const double copy_price_ms_per_gb = 12.8;

/* A map with a lower skew is kept: it is even enough for the token streams to
   be on time.  */
static const double skew_min = 1.25;

/* Without a shift, too, fast and slow counts differ: by the more, the fewer
   requests are in flight.  A shift is a difference of so many times that, and
   of a fraction of the demand within these bounds.  */
static const double shift_noise_multiple = 4;
static const double shift_min = 0.06;
static const double shift_max = 0.16;

/* Sum of counts below which no map is planned.  */
static const double counts_min = 2000;

void
bb_demand_init (struct bb_demand *d, uint32_t count)
{
  memset (d, 0, sizeof *d);
  d->count = count;
  d->fast_counts = g_new0 (double, count);
  d->slow_counts = g_new0 (double, count);
  d->noise = shift_max / shift_noise_multiple;
}

void
bb_demand_free (struct bb_demand *d)
{
  g_free (d->fast_counts);
  g_free (d->slow_counts);
  memset (d, 0, sizeof *d);
}

static void
decay (struct bb_demand *d, bb_ms now)
{
  double age = (double)(now - d->decayed_ms);
  double fast_factor = pow (0.5, age / FAST_HALF_LIFE_MS);
  double slow_factor = pow (0.5, age / SLOW_HALF_LIFE_MS);

  if (now == d->decayed_ms)
    return;
  d->decayed_ms = now;
  for (uint32_t i = 0; i < d->count; i++)
    {
      d->fast_counts[i] *= fast_factor;
      d->slow_counts[i] *= slow_factor;
    }
}

static double
sum_loads (const double *loads, uint32_t count)
{
  double total = 0;

  for (uint32_t i = 0; i < count; i++)
    total += loads[i];
  return total;
}

/* Returns the fraction of the demand that has moved to other experts.  */
static double
demand_shift (const struct bb_demand *d, double fast_total, double slow_total)
{
  double moved = 0;

  for (uint32_t i = 0; i < d->count; i++)
    moved += fabs (d->fast_counts[i] / fast_total
                   - d->slow_counts[i] / slow_total);
  return moved / 2;
}

/* Whether there are enough counts to plan from.  */
static bool
has_counts (double fast_total, double slow_total)
{
  return fast_total >= counts_min && slow_total >= counts_min;
}

/* Learns from MOVED, the present difference of fast and slow counts, how much
   they differ without a shift.  */
static void
learn_noise (struct bb_demand *d, double moved, bb_ms now)
{
  double half_life
      = moved > d->noise ? NOISE_RISE_HALF_LIFE_MS : NOISE_FALL_HALF_LIFE_MS;
  double age = (double)(now - d->noise_ms);

  if (now - d->steady_since_ms >= NOISE_DELAY_MS)
    d->noise += (moved - d->noise) * (1 - pow (0.5, age / half_life));
  d->noise_ms = now;
}

static bool
is_shift (const struct bb_demand *d, double moved)
{
  double least = CLAMP (d->noise * shift_noise_multiple, shift_min, shift_max);

#ifdef BB_MUTANT_shift_noise
  least = shift_max;
#endif
  return moved > least;
}

static void
discard (struct bb_demand *d)
{
  memset (d->fast_counts, 0, d->count * sizeof *d->fast_counts);
  memset (d->slow_counts, 0, d->count * sizeof *d->slow_counts);
}

/* Detects a shift of demand, and discards the counts from before it.  */
static void
detect_shift (struct bb_demand *d, bb_ms now)
{
  double fast_total = sum_loads (d->fast_counts, d->count);
  double slow_total = sum_loads (d->slow_counts, d->count);
  double moved;

  if (!has_counts (fast_total, slow_total))
    {
      d->steady_since_ms = now;
      return;
    }
  moved = demand_shift (d, fast_total, slow_total);
  if (is_shift (d, moved) && now - d->shifted_ms > SHIFT_GAP_MS)
    {
      d->shifted_ms = now;
      d->steady_since_ms = now;
      d->moved = moved;
      discard (d);
    }
  else if (now - d->shifted_ms < d->delay_ms)
    discard (d);
  learn_noise (d, moved, now);
}

void
bb_demand_add (struct bb_demand *d, const uint16_t *deltas, uint32_t count,
               bb_ms now)
{
  if (count != d->count)
    return;
  decay (d, now);
  for (uint32_t i = 0; i < count; i++)
    {
      d->fast_counts[i] += deltas[i];
      d->slow_counts[i] += deltas[i];
    }
  detect_shift (d, now);
}

struct bb_rebalance_search *
bb_demand_search (struct bb_demand *d, const struct bb_group_size *s,
                  const struct bb_demand_engine *e, const uint16_t *map,
                  bb_ms now)
{
  struct bb_rebalance_cost cost
      = { .copy_ms = e->link_mbps > 0
                         ? e->expert_mb * MEGABITS_PER_MB * 1000 / e->link_mbps
                         : 0,
          .horizon_ms = HORIZON_MS,
          .slowdown = copy_slowdown,
          .expert_share = e->expert_share,
          .copy_price_ms = copy_price_ms_per_gb * e->expert_mb / MB_PER_GB,
          .skew_min = skew_min };

  decay (d, now);
  if (d->count != s->sets * s->experts
      || now - d->shifted_ms < d->delay_ms + SETTLE_MS
      || !has_counts (sum_loads (d->fast_counts, d->count),
                      sum_loads (d->slow_counts, d->count)))
    return NULL;
  return bb_rebalance_search_new (s, map, d->slow_counts, &cost);
}

bool
bb_demand_plan (struct bb_demand *d, const struct bb_group_size *s,
                const struct bb_demand_engine *e, const uint16_t *map,
                uint16_t *next, bb_ms now, struct bb_rebalance_plan *plan)
{
  struct bb_rebalance_search *k = bb_demand_search (d, s, e, map, now);

  if (!k)
    return false;
  bb_rebalance_search_step (k, UINT32_MAX);
  *plan = bb_rebalance_search_end (k, next);
  return plan->worthwhile;
}
