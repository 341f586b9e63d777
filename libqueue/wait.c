/* How long a request is expected to wait.  */

#include "internal.h"

enum
{
  /* How long measured arrivals are taken to go on.  Bursts last seconds; taken
     as endless, one that exceeds the drain rate would reject requests that it
     only delays.  */
  ARRIVALS_HORIZON_MS = 1000
};

static bb_ms
quotient_ms (double count, double per_s)
{
  double ms = per_s > 0 ? count / per_s * 1000 : BB_QUEUE_WAIT_MAX_MS;

  return (bb_ms)CLAMP (ms, 0, BB_QUEUE_WAIT_MAX_MS);
}

/* Returns the time in which COUNT requests start at DRAIN_PER_S, of which
   those that arrive, ARRIVALS_PER_S, take a part.  */
static bb_ms
drained_ms (double count, double drain_per_s, double arrivals_per_s)
{
  bb_ms ms = quotient_ms (count, drain_per_s - arrivals_per_s);
  double left;

#ifdef BB_MUTANT_queue_horizon
  return ms;
#endif
  if (ms <= ARRIVALS_HORIZON_MS)
    return ms;
  left = count - (drain_per_s - arrivals_per_s) * ARRIVALS_HORIZON_MS / 1000;
  return MIN (ARRIVALS_HORIZON_MS + quotient_ms (left, drain_per_s),
              BB_QUEUE_WAIT_MAX_MS);
}

bb_ms
bb_queue_wait_ms (const struct bb_queue_outlook *o)
{
  bb_ms turn_ms;
  bb_ms order_ms;

  if (o->drain_per_s < 0)
    return 0;
  turn_ms = quotient_ms (((double)o->older + 1) * BB_QUEUE_TURN_STARTS,
                         o->drain_per_s);
  order_ms = drained_ms ((double)o->ahead + 1, o->drain_per_s,
                         o->arrivals_ahead_per_s);
  if (order_ms > o->until_late_ms)
    {
      bb_ms late_ms = drained_ms ((double)o->ahead_if_late + 1, o->drain_per_s,
                                  o->arrivals_per_s);
      order_ms = MAX (late_ms, o->until_late_ms);
    }
  return MIN (order_ms, turn_ms);
}

/* Returns the wait if arrivals go on as they do: a caller who returns sooner
   may be rejected once more.  */
static bb_ms
endless_ms (const struct bb_queue_outlook *o)
{
  if (o->drain_per_s < 0)
    return 0;
  return quotient_ms ((double)o->ahead + 1,
                      o->drain_per_s - o->arrivals_ahead_per_s);
}

/* Returns how many entries of S arrived before E, which is at ITER or not in
   S.  */
static uint32_t
count_earlier (GSequence *s, struct bb_queue_entry *e, GSequenceIter *iter)
{
  if (!iter)
    iter = g_sequence_search (s, e, queue_compare_arrivals, NULL);
  return (uint32_t)g_sequence_iter_get_position (iter);
}

void
queue_find_position (struct bb_queue *q, struct bb_queue_entry *e,
                     struct position *p, bb_ms now)
{
  if (e->queue_state != STATE_QUEUED)
    e->number = q->next_number;
  p->class_index = queue_class (e, bb_queue_standing_of (e, now));
  p->class_before
      = count_earlier (q->classes[p->class_index], e, e->links[LINK_CLASS]);
  p->older = count_earlier (q->by_arrival, e, e->links[LINK_ARRIVAL]);
}

void
snapshot_take (struct snapshot *s, const struct bb_queue *q,
               const struct bb_queue_capacity *capacity, bb_ms now)
{
  s->capacity = capacity;
  s->rejected_ms = q->rejected_ms;
  s->now = now;
  s->before[0] = s->able_before[0] = 0;
  for (uint32_t c = 0; c < CLASSES; c++)
    {
      bool able = capacity->free[queue_priority_of_class (c)] > 0;
      s->before[c + 1] = s->before[c] + q->counts[c];
      s->able_before[c + 1] = s->able_before[c] + (able ? q->counts[c] : 0);
    }
  for (uint32_t p = 0; p <= BB_QUEUE_PRIORITIES; p++)
    for (uint32_t above = 0; above < 2; above++)
      s->arrivals_per_s[p][above]
          = arrivals_ahead_per_s (&q->arrivals, p, above, now);
  s->drain_per_s = bb_drain_rate_per_s (&q->drain, now);
  s->most_urgent = queue_most_urgent (q);
  s->below = q->count - bb_queue_count_of (q, s->most_urgent);
}

void
snapshot_remove (struct snapshot *s, uint32_t class_index)
{
  bool able = s->capacity->free[queue_priority_of_class (class_index)] > 0;

  for (uint32_t c = class_index + 1; c <= CLASSES; c++)
    {
      s->before[c]--;
      s->able_before[c] -= able;
    }
}

void
queue_fill_outlook (const struct snapshot *s, const struct bb_queue_entry *e,
                    const struct position *p, struct bb_queue_outlook *o)
{
  bool late = p->class_index >= CLASSES_OF_STANDING;
  uint32_t late_class = queue_class (e, BB_QUEUE_LATE);
  uint32_t self = e->queue_state == STATE_QUEUED ? 1 : 0;

  o->ahead = s->before[p->class_index] + p->class_before;
  o->ahead_if_late = late ? o->ahead : s->before[late_class] - self;
  o->older = p->older;
  /* Turns go to less urgent priorities first.  */
  if (queue_priority (e) > s->most_urgent)
    o->older = MIN (o->older, s->below);
  o->arrivals_per_s = s->arrivals_per_s[BB_QUEUE_PRIORITIES][0];
  o->arrivals_ahead_per_s
      = late ? o->arrivals_per_s
             : s->arrivals_per_s[queue_priority (e)][queue_is_above_share (e)];
  o->drain_per_s = s->drain_per_s;
  o->until_late_ms = late ? 0 : queue_until_late_ms (e, s->now);
}

bb_ms
queue_expected_ms (const struct snapshot *s, const struct bb_queue_entry *e)
{
  /* The last class of its priority and share: that of new callers.  */
  uint32_t last = queue_class (e, BB_QUEUE_IN_TIME) | 1;
  struct bb_queue_outlook o = { .older = s->before[CLASSES] };
  bb_ms recovery_ms = s->capacity->is_down ? s->capacity->recovery_ms : 0;

  o.ahead = s->before[last + 1];
  o.arrivals_ahead_per_s
      = s->arrivals_per_s[queue_priority (e)][queue_is_above_share (e)];
  o.drain_per_s = s->drain_per_s;
  o.until_late_ms = BB_QUEUE_WAIT_MAX_MS;
  return MIN (CLAMP (recovery_ms, 0, BB_QUEUE_WAIT_MAX_MS) + endless_ms (&o),
              BB_QUEUE_WAIT_MAX_MS);
}
