/* Decides again on the requests that wait.  */

#include "internal.h"

#include <string.h>
#include <utlist.h>

enum
{
  REVIEW_INTERVAL_MS = 50
};

/* Returns whether requests wait because capacity is lacking, not for reasons
   of their own.  */
static bool
lacks_capacity (const struct bb_queue *q,
                const struct bb_queue_capacity *capacity)
{
#ifndef BB_MUTANT_queue_outage
  if (capacity->is_down)
    return false;
#endif
  for (uint32_t p = 0; p < BB_QUEUE_PRIORITIES; p++)
    if (capacity->free[p] == 0 && bb_queue_count_of (q, p) > 0)
      return true;
  return false;
}

static void
reject (struct bb_queue *q, struct bb_queue_entry *e,
        const struct bb_queue_decision *d, bb_ms now)
{
  queue_note_rejection (q, e, d, now);
  queue_unlink (q, e, now);
  e->queue_state = STATE_REJECTED;
  e->reject_reason = (uint8_t)d->reason;
  e->reject_wait_ms = d->wait_ms;
  DL_APPEND2 (q->rejected, e, prev_rejected, next_rejected);
}

/* Visits the entries by arrival, so that those seen before are the older ones
   and, as each class stands by arrival, those before it in its class.  What is
   rejected counts for none of those after it.  */
static void
review (struct bb_queue *q, const struct bb_queue_capacity *capacity,
        bb_ms now)
{
  uint32_t seen[CLASSES] = { 0 };
  uint32_t older = 0;
  struct snapshot s;
  GSequenceIter *next;

  snapshot_take (&s, q, capacity, now);
  for (GSequenceIter *i = g_sequence_get_begin_iter (q->by_arrival);
       !g_sequence_iter_is_end (i); i = next)
    {
      struct bb_queue_entry *e = g_sequence_get (i);
      struct position p = { e->class_index, seen[e->class_index], older };
      struct bb_queue_decision d;
      next = g_sequence_iter_next (i);
      queue_judge (&s, e, &p, &d);
      if (d.verdict == BB_QUEUE_REJECT)
        {
          reject (q, e, &d, now);
          snapshot_remove (&s, p.class_index);
          continue;
        }
      seen[p.class_index]++;
      older++;
    }
}

void
bb_queue_tick (struct bb_queue *q, const struct bb_queue_capacity *capacity,
               bb_ms now)
{
  queue_advance (q, now);
  q->capacity = *capacity;
  bb_drain_rate_update (&q->drain, lacks_capacity (q, capacity), now);
  if (now - q->reviewed_ms < REVIEW_INTERVAL_MS)
    return;
  q->reviewed_ms = now;
  review (q, capacity, now);
}

struct bb_queue_entry *
bb_queue_take_rejected (struct bb_queue *q, struct bb_queue_decision *decision,
                        bb_ms now)
{
  struct bb_queue_entry *e = q->rejected;
  struct bb_queue_capacity capacity = q->capacity;
  struct snapshot s;
  struct position p;

  if (!e)
    return NULL;
  DL_DELETE2 (q->rejected, e, prev_rejected, next_rejected);
  e->queue_state = STATE_NONE;
  memset (decision, 0, sizeof *decision);
  snapshot_take (&s, q, &capacity, now);
  queue_find_position (q, e, &p, now);
  queue_fill_outlook (&s, e, &p, &decision->outlook);
  decision->verdict = BB_QUEUE_REJECT;
  decision->reason = e->reject_reason;
  decision->wait_ms = e->reject_wait_ms;
  decision->expected_ms = queue_expected_ms (&s, e);
  return e;
}
