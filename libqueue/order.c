/* Which request starts before which.  */

#include "internal.h"

enum
{
  /* A late request is promoted when its last start is no further away than the
     larger of these.  */
  PROMOTE_RUN_PERCENT = 25,
  PROMOTE_MIN_MS = 100,

  /* By how much a run may exceed its estimate.  One that its deadline cuts off
     has used capacity for nothing.  */
  RUN_MARGIN_PERCENT = 67
};

/* Returns MS, a point in time, within bounds that leave room for sums.  */
static bb_ms
bounded (bb_ms ms)
{
  return CLAMP (ms, INT64_MIN / 4, INT64_MAX / 4);
}

uint32_t
queue_priority (const struct bb_queue_entry *e)
{
  return MIN (e->priority, BB_QUEUE_PRIORITIES - 1);
}

bool
queue_is_above_share (const struct bb_queue_entry *e)
{
  return e->use_ratio >= 1;
}

bb_ms
queue_run_ms (const struct bb_queue_entry *e)
{
  return CLAMP (e->run_ms, 0, BB_QUEUE_WAIT_MAX_MS);
}

/* Returns the last time at which E meets its SLO if it starts.  */
static bb_ms
last_in_time_ms (const struct bb_queue_entry *e)
{
  return bounded (e->slo_deadline_ms)
         - CLAMP (e->first_event_ms, 0, BB_QUEUE_WAIT_MAX_MS);
}

static bb_ms
longest_run_ms (bb_ms run_ms)
{
  return run_ms + run_ms * RUN_MARGIN_PERCENT / 100;
}

bb_ms
queue_longest_run_ms (const struct bb_queue_entry *e)
{
  return longest_run_ms (queue_run_ms (e));
}

bb_ms
bb_queue_deadline_of_start (bb_ms last_start_ms, bb_ms run_ms)
{
  return last_start_ms + longest_run_ms (run_ms);
}

/* Returns the last time at which E ends by its deadline if it starts.  */
static bb_ms
last_start_ms (const struct bb_queue_entry *e)
{
  return bounded (e->deadline_ms) - longest_run_ms (queue_run_ms (e));
}

static bb_ms
promotion_ms (const struct bb_queue_entry *e)
{
  bb_ms margin_ms = queue_run_ms (e) * PROMOTE_RUN_PERCENT / 100;

  return last_start_ms (e) - MAX (margin_ms, PROMOTE_MIN_MS);
}

bb_ms
queue_remaining_ms (const struct bb_queue_entry *e, bb_ms now)
{
  return bounded (e->deadline_ms) - now;
}

bb_ms
queue_until_late_ms (const struct bb_queue_entry *e, bb_ms now)
{
  return MAX (last_in_time_ms (e) - now, 0);
}

enum bb_queue_standing
bb_queue_standing_of (const struct bb_queue_entry *e, bb_ms now)
{
  if (now > last_start_ms (e))
    return BB_QUEUE_HOPELESS;
  if (now <= last_in_time_ms (e))
    return BB_QUEUE_IN_TIME;
#ifndef BB_MUTANT_queue_promotion
  if (now >= promotion_ms (e))
    return BB_QUEUE_IN_TIME;
#endif
#ifdef BB_MUTANT_queue_late
  return BB_QUEUE_IN_TIME;
#endif
  return BB_QUEUE_LATE;
}

bb_ms
queue_change_ms (const struct bb_queue_entry *e, bb_ms now)
{
  bb_ms times[]
      = { last_in_time_ms (e) + 1, promotion_ms (e), last_start_ms (e) + 1 };
  bb_ms next = INT64_MAX;

  for (size_t i = 0; i < G_N_ELEMENTS (times); i++)
    if (times[i] > now && times[i] < next)
      next = times[i];
  return next;
}

uint32_t
queue_priority_of_class (uint32_t class_index)
{
  return class_index % CLASSES_OF_STANDING / CLASSES_OF_PRIORITY;
}

uint32_t
queue_class (const struct bb_queue_entry *e, enum bb_queue_standing standing)
{
  return (uint32_t)standing * CLASSES_OF_STANDING
         + queue_priority (e) * CLASSES_OF_PRIORITY
         + (queue_is_above_share (e) ? 2 : 0) + (e->returns ? 0 : 1);
}

bool
bb_queue_before (const struct bb_queue_entry *a,
                 const struct bb_queue_entry *b, bb_ms now)
{
  uint32_t a_class = queue_class (a, bb_queue_standing_of (a, now));
  uint32_t b_class = queue_class (b, bb_queue_standing_of (b, now));

  if (a_class != b_class)
    return a_class < b_class;
  return a->arrived_ms < b->arrived_ms;
}

bool
bb_queue_turn_is_due (const struct bb_queue_turn *t)
{
#ifdef BB_MUTANT_queue_turn
  return false;
#endif
  return t->starts + 1 >= BB_QUEUE_TURN_STARTS;
}

void
bb_queue_turn_note (struct bb_queue_turn *t, bool oldest, bool others_wait)
{
  if (oldest)
    t->starts = 0;
  else if (others_wait && t->starts < BB_QUEUE_TURN_STARTS)
    t->starts++;
}
