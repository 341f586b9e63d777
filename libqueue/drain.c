/* Rates of starts and of arrivals.  */

#include "internal.h"

#include <math.h>

enum
{
  STARTS_KEPT = 16, /* starts that do not decay */
  STARTS_KNOWN = 4, /* fewer say nothing */
  FORGET_MS = 10000 /* without a wait: quotas and groups may have changed */
};

static double
decay_factor (bb_ms elapsed_ms)
{
  return exp (-(double)MAX (elapsed_ms, 0) / RATE_DECAY_MS);
}

/* Returns by what STARTS decay so that some are kept.  */
static double
starts_factor (double starts, bb_ms elapsed_ms)
{
  double factor = decay_factor (elapsed_ms);

  if (starts <= STARTS_KEPT)
    return 1;
  return MAX (factor, STARTS_KEPT / starts);
}

static bool
is_forgotten (const struct bb_drain_rate *d, bb_ms now)
{
  return !d->waiting && now - d->updated_ms > FORGET_MS;
}

/* Lets the time pass.  While nothing waits, updated_ms remains the time of the
   last wait.  */
static void
advance (struct bb_drain_rate *d, bb_ms now)
{
  double factor;

  if (is_forgotten (d, now))
    d->starts = d->waited_ms = 0;
  if (!d->waiting)
    return;
  factor = starts_factor (d->starts, now - d->updated_ms);
  d->starts *= factor;
  d->waited_ms = d->waited_ms * factor + (double)(now - d->updated_ms);
  d->updated_ms = now;
}

void
bb_drain_rate_update (struct bb_drain_rate *d, bool waiting, bb_ms now)
{
  advance (d, now);
  if (waiting)
    d->updated_ms = now;
  d->waiting = waiting;
}

void
bb_drain_rate_note_start (struct bb_drain_rate *d, bb_ms now)
{
  advance (d, now);
#ifndef BB_MUTANT_queue_drain_idle
  if (!d->waiting)
    return;
#endif
  d->starts++;
}

double
bb_drain_rate_per_s (const struct bb_drain_rate *d, bb_ms now)
{
  struct bb_drain_rate at_now = *d;

  advance (&at_now, now);
  if (at_now.starts < STARTS_KNOWN || at_now.waited_ms <= 0)
    return -1;
  return at_now.starts / at_now.waited_ms * 1000;
}

void
arrivals_note (struct arrivals *a, const struct bb_queue_entry *e, bb_ms now)
{
  double factor = decay_factor (now - a->updated_ms);

  for (uint32_t p = 0; p < BB_QUEUE_PRIORITIES; p++)
    for (uint32_t k = 0; k < 2; k++)
      a->counts[p][k] *= factor;
  a->updated_ms = now;
  a->counts[queue_priority (e)][queue_is_above_share (e)]++;
}

void
arrivals_forget (struct arrivals *a, const struct bb_queue_entry *e)
{
  double *count = &a->counts[queue_priority (e)][queue_is_above_share (e)];

  *count = MAX (*count - 1, 0);
}

double
arrivals_ahead_per_s (const struct arrivals *a, uint32_t priority,
                      bool above_share, bb_ms now)
{
  double sum = 0;

#ifdef BB_MUTANT_queue_arrivals
  return 0;
#endif
  for (uint32_t p = 0; p < priority && p < BB_QUEUE_PRIORITIES; p++)
    sum += a->counts[p][0] + a->counts[p][1];
  if (priority < BB_QUEUE_PRIORITIES && above_share)
    sum += a->counts[priority][0];
  return sum * decay_factor (now - a->updated_ms) * 1000 / RATE_DECAY_MS;
}

void
bb_queue_note_arrival (struct bb_queue *q, struct bb_queue_entry *e, bb_ms now)
{
  e->is_arrival = true;
  arrivals_note (&q->arrivals, e, now);
}

double
bb_queue_arrivals_per_s (const struct bb_queue *q, uint32_t priority,
                         bb_ms now)
{
  if (priority >= BB_QUEUE_PRIORITIES)
    return 0;
  return arrivals_ahead_per_s (&q->arrivals, priority + 1, false, now)
         - arrivals_ahead_per_s (&q->arrivals, priority, false, now);
}

double
bb_queue_drain_per_s (const struct bb_queue *q, bb_ms now)
{
  return bb_drain_rate_per_s (&q->drain, now);
}
