/* Keeps the entries of a queue in the order in which they start.  Entries of
   one class stand by arrival, so only a change of class, which a timer finds,
   moves one.  */

#include "internal.h"

#include <utlist.h>

static int
compare (int64_t a, int64_t b)
{
  return (a > b) - (a < b);
}

int
queue_compare_arrivals (gconstpointer a, gconstpointer b, gpointer arg)
{
  const struct bb_queue_entry *x = a;
  const struct bb_queue_entry *y = b;
  int order = compare (x->arrived_ms, y->arrived_ms);

  (void)arg;
  return order != 0 ? order : compare ((int64_t)x->number, (int64_t)y->number);
}

static int
compare_changes (gconstpointer a, gconstpointer b, gpointer arg)
{
  const struct bb_queue_entry *x = a;
  const struct bb_queue_entry *y = b;
  int order = compare (x->change_ms, y->change_ms);

  (void)arg;
  return order != 0 ? order : compare ((int64_t)x->number, (int64_t)y->number);
}

struct bb_queue *
bb_queue_new (void)
{
  struct bb_queue *q = g_new0 (struct bb_queue, 1);

  for (uint32_t c = 0; c < CLASSES; c++)
    q->classes[c] = g_sequence_new (NULL);
  q->by_arrival = g_sequence_new (NULL);
  q->by_change = g_sequence_new (NULL);
  q->next_number = 1;
  for (uint32_t p = 0; p < BB_QUEUE_PRIORITIES; p++)
    q->rejected_ms[p] = INT64_MIN / 4;
  return q;
}

void
bb_queue_free (struct bb_queue *q)
{
  if (!q)
    return;
  for (uint32_t c = 0; c < CLASSES; c++)
    g_sequence_free (q->classes[c]);
  g_sequence_free (q->by_arrival);
  g_sequence_free (q->by_change);
  g_free (q);
}

uint32_t
bb_queue_count (const struct bb_queue *q)
{
  return q->count;
}

static uint32_t
count_of (const struct bb_queue *q, enum bb_queue_standing standing,
          uint32_t priority)
{
  uint32_t first = (uint32_t)standing * CLASSES_OF_STANDING
                   + priority * CLASSES_OF_PRIORITY;
  uint32_t n = 0;

  for (uint32_t c = first; c < first + CLASSES_OF_PRIORITY; c++)
    n += q->counts[c];
  return n;
}

uint32_t
bb_queue_count_of (const struct bb_queue *q, uint32_t priority)
{
  if (priority >= BB_QUEUE_PRIORITIES)
    return 0;
  return count_of (q, BB_QUEUE_IN_TIME, priority)
         + count_of (q, BB_QUEUE_LATE, priority)
         + count_of (q, BB_QUEUE_HOPELESS, priority);
}

uint32_t
bb_queue_count_in_time (const struct bb_queue *q, uint32_t priority)
{
  if (priority >= BB_QUEUE_PRIORITIES)
    return 0;
  return count_of (q, BB_QUEUE_IN_TIME, priority);
}

static void
link_class (struct bb_queue *q, struct bb_queue_entry *e, bb_ms now)
{
  e->class_index = (uint8_t)queue_class (e, bb_queue_standing_of (e, now));
  e->links[LINK_CLASS] = g_sequence_insert_sorted (
      q->classes[e->class_index], e, queue_compare_arrivals, NULL);
  q->counts[e->class_index]++;
  e->change_ms = queue_change_ms (e, now);
  if (e->change_ms != INT64_MAX)
    e->links[LINK_CHANGE]
        = g_sequence_insert_sorted (q->by_change, e, compare_changes, NULL);
}

static void
unlink_class (struct bb_queue *q, struct bb_queue_entry *e)
{
  g_sequence_remove (e->links[LINK_CLASS]);
  q->counts[e->class_index]--;
  if (e->links[LINK_CHANGE])
    g_sequence_remove (e->links[LINK_CHANGE]);
  e->links[LINK_CLASS] = e->links[LINK_CHANGE] = NULL;
}

void
queue_advance (struct bb_queue *q, bb_ms now)
{
  GSequenceIter *first;

  while (!g_sequence_iter_is_end (first
                                  = g_sequence_get_begin_iter (q->by_change)))
    {
      struct bb_queue_entry *e = g_sequence_get (first);
      if (e->change_ms > now)
        break;
      unlink_class (q, e);
      link_class (q, e, now);
    }
}

void
bb_queue_add (struct bb_queue *q, struct bb_queue_entry *e, bb_ms now)
{
  if (e->queue_state != STATE_NONE)
    return;
  queue_advance (q, now);
  e->number = q->next_number++;
  link_class (q, e, now);
  e->links[LINK_ARRIVAL] = g_sequence_insert_sorted (
      q->by_arrival, e, queue_compare_arrivals, NULL);
  e->queue_state = STATE_QUEUED;
  q->count++;
  bb_drain_rate_update (&q->drain, !q->capacity.is_down, now);
}

void
queue_unlink (struct bb_queue *q, struct bb_queue_entry *e, bb_ms now)
{
  unlink_class (q, e);
  g_sequence_remove (e->links[LINK_ARRIVAL]);
  e->links[LINK_ARRIVAL] = NULL;
  e->queue_state = STATE_NONE;
  e->is_unfit = false;
  q->count--;
  if (q->turn_entry == e)
    q->turn_entry = NULL;
  if (q->count == 0)
    bb_drain_rate_update (&q->drain, false, now);
}

void
bb_queue_remove (struct bb_queue *q, struct bb_queue_entry *e, bb_ms now)
{
  if (e->queue_state == STATE_QUEUED)
    queue_unlink (q, e, now);
  else if (e->queue_state == STATE_REJECTED)
    DL_DELETE2 (q->rejected, e, prev_rejected, next_rejected);
  e->queue_state = STATE_NONE;
}

void
bb_queue_note_start (struct bb_queue *q, struct bb_queue_entry *e, bb_ms now)
{
  bool was_queued = e->queue_state == STATE_QUEUED;
  bool oldest = was_queued
                && (e == q->turn_entry
                    || g_sequence_iter_is_begin (e->links[LINK_ARRIVAL]));

  bb_drain_rate_note_start (&q->drain, now);
  bb_queue_remove (q, e, now);
  bb_queue_turn_note (&q->turn, oldest, q->count > 0);
}

void
bb_queue_update (struct bb_queue *q, struct bb_queue_entry *e, double ratio,
                 bb_ms now)
{
  bool was_above = queue_is_above_share (e);

  e->use_ratio = ratio;
  if (e->queue_state != STATE_QUEUED || queue_is_above_share (e) == was_above)
    return;
  unlink_class (q, e);
  link_class (q, e, now);
}

static bool
has_room (const struct bb_queue_capacity *capacity, uint32_t class_index)
{
  return !capacity->is_down
         && capacity->free[queue_priority_of_class (class_index)] > 0;
}

/* Returns the first entry of the classes from CLASS_INDEX on that have room,
   NULL if there is none.  */
static struct bb_queue_entry *
first_from (struct bb_queue *q, uint32_t class_index,
            const struct bb_queue_capacity *capacity)
{
  for (uint32_t c = class_index; c < CLASSES; c++)
    if (q->counts[c] > 0 && has_room (capacity, c))
      return g_sequence_get (g_sequence_get_begin_iter (q->classes[c]));
  return NULL;
}

uint32_t
queue_most_urgent (const struct bb_queue *q)
{
  uint32_t priority = 0;

  while (priority < BB_QUEUE_PRIORITIES
         && bb_queue_count_of (q, priority) == 0)
    priority++;
  return priority;
}

/* Whether E has waited for half of the time that it had.  Before that, its
   turn would only take capacity from those that can still be on time.  */
static bool
has_waited_long (const struct bb_queue_entry *e, bb_ms now)
{
#ifdef BB_MUTANT_queue_long
  return true;
#endif
  return now - e->arrived_ms >= queue_remaining_ms (e, now);
}

/* Returns the entry that has waited longest of those that have room, can still
   end in time, have waited long and are less urgent than MOST_URGENT; NULL if
   there is none.  */
static struct bb_queue_entry *
find_oldest_below (struct bb_queue *q,
                   const struct bb_queue_capacity *capacity,
                   int32_t most_urgent, bb_ms now)
{
  struct bb_queue_entry *oldest = NULL;

  for (uint32_t c = 0; c < BB_QUEUE_HOPELESS * CLASSES_OF_STANDING; c++)
    {
      struct bb_queue_entry *e;
      if (q->counts[c] == 0 || !has_room (capacity, c)
          || (int32_t)queue_priority_of_class (c) <= most_urgent)
        continue;
      e = g_sequence_get (g_sequence_get_begin_iter (q->classes[c]));
      if (!has_waited_long (e, now))
        continue;
      if (!oldest || queue_compare_arrivals (e, oldest, NULL) < 0)
        oldest = e;
    }
  return oldest;
}

/* Returns the entry whose turn it is as the one that has waited longest, NULL
   if there is none.  Those of the most urgent priority that waits come last:
   where that alone exceeds the capacity, its backlog would take all turns.  */
static struct bb_queue_entry *
find_oldest (struct bb_queue *q, const struct bb_queue_capacity *capacity,
             bb_ms now)
{
  struct bb_queue_entry *e = NULL;

#ifndef BB_MUTANT_queue_turn_priority
  e = find_oldest_below (q, capacity, (int32_t)queue_most_urgent (q), now);
#endif
  return e ? e : find_oldest_below (q, capacity, -1, now);
}

struct bb_queue_entry *
bb_queue_next (struct bb_queue *q, const struct bb_queue_capacity *capacity,
               bb_ms now)
{
  struct bb_queue_entry *e = NULL;

  queue_advance (q, now);
  q->turn_entry = NULL;
  if (bb_queue_turn_is_due (&q->turn))
    q->turn_entry = e = find_oldest (q, capacity, now);
  return e ? e : first_from (q, 0, capacity);
}

struct bb_queue_entry *
bb_queue_next_after (struct bb_queue *q, const struct bb_queue_entry *e,
                     const struct bb_queue_capacity *capacity, bb_ms now)
{
  GSequenceIter *next;

  queue_advance (q, now);
  if (!e || e->queue_state != STATE_QUEUED || e == q->turn_entry)
    {
      q->turn_entry = NULL;
      return first_from (q, 0, capacity);
    }
  next = g_sequence_iter_next (e->links[LINK_CLASS]);
  if (has_room (capacity, e->class_index) && !g_sequence_iter_is_end (next))
    return g_sequence_get (next);
  return first_from (q, e->class_index + 1U, capacity);
}
