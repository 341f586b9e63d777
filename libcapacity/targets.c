/* Rates of the requests of a group by their target.  */

#include "bilberry/capacity.h"

#include <math.h>

enum
{
  HALF_LIFE_MS = 2000, /* bursts of one request class last 3 to 6 s */
  MS_PER_S = 1000
};

static void
decay (struct bb_target_rates *r, bb_ms now)
{
  double factor = pow (0.5, (double)(now - r->decayed_ms) / HALF_LIFE_MS);

  if (now <= r->decayed_ms)
    return;
  r->decayed_ms = now;
  for (uint32_t i = 0; i < r->count; i++)
    r->rates[i].requests_per_s *= factor;
}

/* Returns the rate of TARGET_MS, which is new where it was not counted.  */
static struct bb_target_rate *
find_rate (struct bb_target_rates *r, bb_ms target_ms)
{
  struct bb_target_rate *lowest = &r->rates[0];

  for (uint32_t i = 0; i < r->count; i++)
    {
      if (r->rates[i].target_ms == target_ms)
        return &r->rates[i];
      if (r->rates[i].requests_per_s < lowest->requests_per_s)
        lowest = &r->rates[i];
    }
  if (r->count < BB_TARGETS_MAX)
    lowest = &r->rates[r->count++];
  *lowest = (struct bb_target_rate){ .target_ms = target_ms };
  return lowest;
}

void
bb_target_rates_add (struct bb_target_rates *r, bb_ms target_ms,
                     double requests, bb_ms now)
{
  decay (r, now);
  find_rate (r, target_ms)->requests_per_s
      += requests * G_LN2 * MS_PER_S / HALF_LIFE_MS;
}
