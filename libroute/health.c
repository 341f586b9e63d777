/* Outlier ejection and slow start of upstreams.  */

#include "bilberry/route.h"

enum
{
  /* Consecutive failures that eject an upstream.  More than one, since the
     request may be the cause of a failure.  */
  FAILURES_TO_EJECT = 3,
  /* Length of an ejection; doubles with each consecutive one.  */
  EJECT_MS = 500,
  EJECT_DOUBLINGS_MAX = 4,
  /* Share of the upstreams of a pool that may be ejected.  */
  EJECT_MAX_PERCENT = 50,
  /* Another trial is allowed after this without a result.  */
  TRIAL_TIMEOUT_MS = 5000,
  SLOW_START_MS = 5000,
  SLOW_START_MIN_PERCENT = 10
};

static void
end_ejection (struct bb_health *h, struct bb_health_pool *p, bb_ms now_ms)
{
  if (h->state == BB_HEALTH_ACTIVE)
    return;
  p->ejected--;
  h->state = BB_HEALTH_ACTIVE;
  h->recovered_ms = now_ms;
}

void
bb_health_ok (struct bb_health *h, struct bb_health_pool *p, bb_ms now_ms)
{
  h->consecutive_failures = 0;
  if (h->state == BB_HEALTH_EJECTED)
    return; /* the answer is to a request sent before the ejection */
  end_ejection (h, p, now_ms);
  h->consecutive_ejections = 0;
}

static bool
may_eject (const struct bb_health_pool *p)
{
#ifndef BB_MUTANT_eject_share
  return (p->ejected + 1) * 100 <= p->count * EJECT_MAX_PERCENT;
#else
  return p->count > 0;
#endif
}

/* Returns whether the failures of an upstream, the last one for REASON, are
   enough to eject it.  Only BB_REASON_UPSTREAM_REFUSED cannot be caused by the
   request and ejects at once.  */
static bool
reached_failure_limit (const struct bb_health *h, uint32_t reason)
{
  return reason == BB_REASON_UPSTREAM_REFUSED
         || h->consecutive_failures >= FAILURES_TO_EJECT;
}

static bool
is_capacity_refusal (uint32_t reason)
{
  return reason == BB_REASON_COLD_START || reason == BB_REASON_OVERLOAD
         || reason == BB_REASON_QUEUE_FULL;
}

bool
bb_health_failed (struct bb_health *h, struct bb_health_pool *p,
                  uint32_t reason, bb_ms now_ms)
{
  uint32_t doublings = h->consecutive_ejections < EJECT_DOUBLINGS_MAX
                           ? h->consecutive_ejections
                           : EJECT_DOUBLINGS_MAX;

  if (is_capacity_refusal (reason))
    bb_health_ok (h, p, now_ms);
  if (reason != BB_REASON_UPSTREAM_REFUSED
      && reason != BB_REASON_UPSTREAM_FAILED)
    return false;
  h->consecutive_failures++;
  if (h->state == BB_HEALTH_EJECTED)
    return false;
  if (h->state == BB_HEALTH_ACTIVE)
    {
      if (!reached_failure_limit (h, reason) || !may_eject (p))
        return false;
      p->ejected++;
    }
  h->state = BB_HEALTH_EJECTED;
  h->until_ms = now_ms + ((bb_ms)EJECT_MS << doublings);
  h->consecutive_ejections++;
  return true;
}

void
bb_health_sent (struct bb_health *h, bb_ms now_ms)
{
  if (h->state == BB_HEALTH_ACTIVE)
    return;
  h->state = BB_HEALTH_TRIAL;
  h->until_ms = now_ms + TRIAL_TIMEOUT_MS;
}

void
bb_health_recovered (struct bb_health *h, bb_ms now_ms)
{
  h->recovered_ms = now_ms;
}

bool
bb_health_usable (const struct bb_health *h, bb_ms now_ms)
{
#ifndef BB_MUTANT_eject
  return h->state == BB_HEALTH_ACTIVE || now_ms >= h->until_ms;
#else
  return h->state <= BB_HEALTH_TRIAL || now_ms >= h->until_ms;
#endif
}

uint32_t
bb_health_ramp_percent (const struct bb_health *h, bb_ms now_ms)
{
  bb_ms elapsed_ms = now_ms - h->recovered_ms;

  if (h->recovered_ms == 0 || elapsed_ms >= SLOW_START_MS)
    return 100;
  return SLOW_START_MIN_PERCENT
         + (uint32_t)(elapsed_ms * (100 - SLOW_START_MIN_PERCENT)
                      / SLOW_START_MS);
}
