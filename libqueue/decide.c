/* Whether a request starts, waits or is rejected.  */

#include "internal.h"

#include "bilberry/load.h"

enum
{
  /* A request that arrives is rejected at once where the expected time exceeds
     its remaining time by a half; the rate, taken of 16 starts or more, has a
     standard deviation of a quarter.  */
  CLEAR_PERCENT = 150,

  /* Others are rejected when it was exceeded for so long, or when they arrive
     while others of the priority are rejected for that.  */
  CONFIRM_MS = 200
};

const char *
bb_queue_reason_name (enum bb_queue_reason r)
{
  static const char *const names[BB_QUEUE_REASON_COUNT]
      = { "capacity-free",     "wait-fits",    "rate-unknown",
          "unconfirmed",       "may-have-run", "wait-too-long",
          "recovery-too-long", "expired",      "full" };

  return (unsigned)r < BB_QUEUE_REASON_COUNT ? names[r] : "unknown";
}

/* Returns whether there is capacity for E at P.  REST is whether capacity is
   left when all that wait and could use it have started.  */
static bool
has_capacity (const struct snapshot *s, const struct bb_queue_entry *e,
              const struct position *p, bool *rest)
{
  uint32_t free = s->capacity->free[queue_priority (e)];
  uint32_t self = e->queue_state == STATE_QUEUED ? 1 : 0;

  *rest = false;
  if (s->capacity->is_down || free == 0)
    return false;
  *rest = s->able_before[CLASSES] - self < free;
  return s->able_before[p->class_index] + p->class_before < free;
}

/* Returns whether E, whose time is exceeded by the estimates, is to be
   rejected, and remembers since when it is exceeded.  */
static bool
is_confirmed (const struct snapshot *s, struct bb_queue_entry *e,
              bb_ms needed_ms, bb_ms remaining_ms)
{
  bb_ms now = s->now;

#ifdef BB_MUTANT_queue_confirm
  return true;
#endif
  if (e->queue_state != STATE_QUEUED
      && (needed_ms * 100 > remaining_ms * CLEAR_PERCENT
          || now - s->rejected_ms[queue_priority (e)] < CONFIRM_MS))
    return true;
  if (!e->is_unfit)
    e->unfit_since_ms = now;
  e->is_unfit = true;
  return now - e->unfit_since_ms >= CONFIRM_MS;
}

static void
set (struct bb_queue_decision *d, enum bb_queue_verdict verdict,
     enum bb_queue_reason reason)
{
  d->verdict = verdict;
  d->reason = reason;
}

/* Sets that E, whose time does not suffice, is rejected for REASON, unless it
   may have run.  */
static void
set_rejected (struct bb_queue_decision *d, const struct bb_queue_entry *e,
              enum bb_queue_reason reason)
{
  set (d, BB_QUEUE_REJECT, reason);
#ifndef BB_MUTANT_queue_may_have_run
  if (e->may_have_run)
    set (d, BB_QUEUE_WAIT, BB_QUEUE_MAY_HAVE_RUN);
#endif
}

/* Sets what follows where E would have to wait.  */
static void
judge_wait (const struct snapshot *s, struct bb_queue_entry *e,
            struct bb_queue_decision *d)
{
  const struct bb_queue_capacity *capacity = s->capacity;
  bb_ms remaining_ms = queue_remaining_ms (e, s->now);
  bb_ms needed_ms = d->wait_ms + queue_longest_run_ms (e);

  if (d->outlook.drain_per_s < 0 && !capacity->is_down)
    set (d, BB_QUEUE_WAIT, BB_QUEUE_RATE_UNKNOWN);
  else if (needed_ms <= remaining_ms)
    {
      e->is_unfit = false;
      set (d, BB_QUEUE_WAIT, BB_QUEUE_WAIT_FITS);
    }
  else if (is_confirmed (s, e, needed_ms, remaining_ms))
    set_rejected (d, e,
                  capacity->is_down ? BB_QUEUE_RECOVERY_TOO_LONG
                                    : BB_QUEUE_WAIT_TOO_LONG);
  else
    set (d, BB_QUEUE_WAIT, BB_QUEUE_UNCONFIRMED);
}

void
queue_judge (const struct snapshot *s, struct bb_queue_entry *e,
             const struct position *p, struct bb_queue_decision *d)
{
  const struct bb_queue_capacity *capacity = s->capacity;
  bb_ms remaining_ms = queue_remaining_ms (e, s->now);
  bool rest = false;
  bool has = has_capacity (s, e, p, &rest);

  d->wait_ms = 0;
  d->expected_ms = 0;
  queue_fill_outlook (s, e, p, &d->outlook);
  if (remaining_ms <= 0)
    {
      set_rejected (d, e, BB_QUEUE_EXPIRED);
      return;
    }
#ifndef BB_MUTANT_queue_free_capacity
  if (rest || (has && queue_run_ms (e) <= remaining_ms))
    {
      set (d, BB_QUEUE_START, BB_QUEUE_CAPACITY_FREE);
      return;
    }
#endif
  d->wait_ms = has ? 0 : bb_queue_wait_ms (&d->outlook);
  if (capacity->is_down)
    d->wait_ms += CLAMP (capacity->recovery_ms, 0, BB_QUEUE_WAIT_MAX_MS);
  judge_wait (s, e, d);
}

void
queue_note_rejection (struct bb_queue *q, const struct bb_queue_entry *e,
                      const struct bb_queue_decision *d, bb_ms now)
{
  if (d->reason == BB_QUEUE_WAIT_TOO_LONG)
    q->rejected_ms[queue_priority (e)] = now;
}

void
bb_queue_decide (struct bb_queue *q, struct bb_queue_entry *e,
                 const struct bb_queue_capacity *capacity,
                 struct bb_queue_decision *decision, bb_ms now)
{
  struct snapshot s;
  struct position p;

  queue_advance (q, now);
  q->capacity = *capacity;
  snapshot_take (&s, q, capacity, now);
  queue_find_position (q, e, &p, now);
  queue_judge (&s, e, &p, decision);
  if (decision->verdict == BB_QUEUE_WAIT && e->queue_state != STATE_QUEUED
      && q->count >= BB_QUEUE_MAX)
    set_rejected (decision, e, BB_QUEUE_FULL);
  if (decision->verdict == BB_QUEUE_REJECT)
    {
      queue_note_rejection (q, e, decision, now);
#ifndef BB_MUTANT_queue_rejected_arrivals
      if (e->is_arrival)
        arrivals_forget (&q->arrivals, e);
#endif
    }
  e->is_arrival = false;
  decision->expected_ms = queue_expected_ms (&s, e);
}

bb_ms
bb_queue_retry_delay_ms (const struct bb_queue_entry *e,
                         const struct bb_queue_decision *d, double draw,
                         bb_ms now)
{
  return bb_retry_delay_ms (d->expected_ms,
                            MAX (queue_remaining_ms (e, now), 0), draw);
}
