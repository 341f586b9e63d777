/* Decides on a map from the counts of all ranks.  */

#include "rank.h"

#include <math.h>
#include <string.h>

enum
{
  FAST_HALF_LIFE_MS = 90,  /* shows a shift of demand */
  SLOW_HALF_LIFE_MS = 700, /* evens out the mix of requests */
  SETTLE_MS = 160,         /* counts from before a shift fade for so long */
  SHIFT_GAP_MS = 320,      /* a shift within it is the same one */
  HORIZON_MS = 2500,       /* for which the loads are expected to last */
  MEGABITS_OF_BYTE = 8
};

/* Part by which passes are longer while experts are copied.  */
static const double copying_slow = 0.15;

/* Worth of a copy against the group's time.  */
static const double copy_price_ms = 10.0;

/* A map this even keeps streams in time.  */
static const double skew_least = 1.25;

/* Part of the demand that must go to other experts to count as a shift.  */
static const double shift_least = 0.35;

/* Counts that are worth planning from.  */
static const double counts_least = 2000;

static double fast[COUNTS_MAX];
static double slow[COUNTS_MAX];
static uint32_t loads_count;
static bb_ms decayed_ms;
static bb_ms shifted_ms;

void
plan_reset (void)
{
  memset (fast, 0, sizeof fast);
  memset (slow, 0, sizeof slow);
}

static void
decay (bb_ms now)
{
  double age = (double)(now - decayed_ms);
  double fast_part = pow (0.5, age / FAST_HALF_LIFE_MS);
  double slow_part = pow (0.5, age / SLOW_HALF_LIFE_MS);

  if (now == decayed_ms)
    return;
  decayed_ms = now;
  for (uint32_t i = 0; i < loads_count; i++)
    {
      fast[i] *= fast_part;
      slow[i] *= slow_part;
    }
}

void
plan_counts (const uint16_t *deltas, uint32_t count, bb_ms now)
{
  if (count > COUNTS_MAX)
    return;
  loads_count = count;
  decay (now);
  for (uint32_t i = 0; i < count; i++)
    {
      fast[i] += deltas[i];
      slow[i] += deltas[i];
    }
}

static double
total_of (const double *loads)
{
  double total = 0;

  for (uint32_t i = 0; i < loads_count; i++)
    total += loads[i];
  return total;
}

/* Returns the part of demand that has gone to other experts.  */
static double
shift_of (double fast_total, double slow_total)
{
  double moved = 0;

  for (uint32_t i = 0; i < loads_count; i++)
    moved += fabs (fast[i] / fast_total - slow[i] / slow_total);
  return moved / 2;
}

/* Forgets what was before a shift.  Returns whether counts are of one
   demand.  */
static bool
look_for_shift (bb_ms now)
{
  double fast_total = total_of (fast);
  double slow_total = total_of (slow);

  if (fast_total < counts_least || slow_total < counts_least)
    return false;
  if (shift_of (fast_total, slow_total) > shift_least)
    {
      memcpy (slow, fast, sizeof slow);
      if (now - shifted_ms > SHIFT_GAP_MS)
        shifted_ms = now;
    }
  return now - shifted_ms >= SETTLE_MS;
}

bool
plan_next (const struct bb_engine *e, struct bb_lead *l, uint16_t *next,
           bb_ms now, struct bb_climb_plan *plan)
{
  struct bb_climb_cost cost
      = { .copy_ms = e->link_mbps > 0 ? e->expert_mb * MEGABITS_OF_BYTE * 1000
                                            / e->link_mbps
                                      : 0,
          .horizon_ms = HORIZON_MS,
          .slow = copying_slow,
          .share = e->expert_share,
          .copy_price_ms = copy_price_ms,
          .skew_least = skew_least };

  decay (now);
  if (loads_count != l->size.sets * l->size.experts || !look_for_shift (now))
    return false;
  *plan = bb_climb (&l->size, l->map, slow, &cost, next);
  return plan->worthwhile;
}
