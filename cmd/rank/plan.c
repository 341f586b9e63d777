/* Decides on a map from the counts of all ranks.  */

#include "rank.h"

#include <math.h>
#include <string.h>

enum
{
  HALF_LIFE_MS = 250, /* of counts: demand shifts within seconds */
  HORIZON_MS = 2500,  /* for which the loads are expected to last */
  MEGABITS_OF_BYTE = 8
};

/* Part by which passes are longer while experts are copied.  */
static const double copying_slow = 0.15;

/* Worth of a copy against the group's time.  */
static const double copy_price_ms = 1.0;

/* Counts that are worth planning from.  */
static const double counts_least = 2000;

static double loads[COUNTS_MAX];
static uint32_t loads_count;
static bb_ms decayed_ms;

void
plan_reset (void)
{
  memset (loads, 0, sizeof loads);
}

static void
decay (bb_ms now)
{
  double part = pow (0.5, (double)(now - decayed_ms) / HALF_LIFE_MS);

  decayed_ms = now;
  for (uint32_t i = 0; i < loads_count; i++)
    loads[i] *= part;
}

void
plan_counts (const uint32_t *deltas, uint32_t count, bb_ms now)
{
  if (count > COUNTS_MAX)
    return;
  loads_count = count;
  decay (now);
  for (uint32_t i = 0; i < count; i++)
    loads[i] += deltas[i];
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
          .copy_price_ms = copy_price_ms };
  double total = 0;

  decay (now);
  for (uint32_t i = 0; i < loads_count; i++)
    total += loads[i];
  if (loads_count != l->size.sets * l->size.experts || total < counts_least)
    return false;
  *plan = bb_climb (&l->size, l->map, loads, &cost, next);
  return plan->worthwhile;
}
