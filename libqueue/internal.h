#ifndef LIBQUEUE_INTERNAL_H
#define LIBQUEUE_INTERNAL_H

/* What the files of libqueue share.  order.c says which request starts before
   which, drain.c measures rates, queue.c keeps the entries in order, wait.c
   estimates how long one waits, decide.c decides, review.c decides on those in
   the queue.  */

#include "bilberry/queue.h"

#include <glib.h>

enum
{
  /* Classes of one standing: by priority, then below the share of the
     customer or above it, then returning callers or others.  */
  CLASSES_OF_PRIORITY = 4,
  CLASSES_OF_STANDING = BB_QUEUE_PRIORITIES * CLASSES_OF_PRIORITY,
  CLASSES = 3 * CLASSES_OF_STANDING,

  RATE_DECAY_MS = 1000 /* the same for starts and arrivals, whose difference
                          is taken */
};

/* Indices in bb_queue_entry.links.  */
enum
{
  LINK_CLASS,
  LINK_ARRIVAL,
  LINK_CHANGE
};

enum
{
  STATE_NONE,
  STATE_QUEUED,
  STATE_REJECTED
};

/* Decaying counts of the arrivals by priority, of customers below their share
   and above it.  */
struct arrivals
{
  double counts[BB_QUEUE_PRIORITIES][2];
  bb_ms updated_ms;
};

struct bb_queue
{
  GSequence *classes[CLASSES]; /* each by arrival */
  uint32_t counts[CLASSES];
  uint32_t count;
  GSequence *by_arrival;
  GSequence *by_change; /* by change_ms; entries that change no more are not in
                           it */
  uint64_t next_number;
  struct bb_queue_turn turn;
  const struct bb_queue_entry *turn_entry; /* last result of bb_queue_next that
                                              was its turn; NULL: none */
  struct bb_drain_rate drain;
  struct arrivals arrivals;
  struct bb_queue_capacity capacity; /* as last passed */
  bb_ms reviewed_ms;
  /* When a request of each priority was last rejected for its wait.  */
  bb_ms rejected_ms[BB_QUEUE_PRIORITIES];
  struct bb_queue_entry *rejected; /* list of utlist.h */
};

/* order.c */
uint32_t queue_priority (const struct bb_queue_entry *e);
bool queue_is_above_share (const struct bb_queue_entry *e);
bb_ms queue_run_ms (const struct bb_queue_entry *e);
/* Returns the most urgent priority of the entries of Q, BB_QUEUE_PRIORITIES
   where it is empty.  */
uint32_t queue_most_urgent (const struct bb_queue *q);
/* Returns the longest time that a run of E may take.  */
bb_ms queue_longest_run_ms (const struct bb_queue_entry *e);
/* Returns the time left to the deadline of E.  */
bb_ms queue_remaining_ms (const struct bb_queue_entry *e, bb_ms now);
/* Returns the time left until E is too late for its SLO; 0 if it is.  */
bb_ms queue_until_late_ms (const struct bb_queue_entry *e, bb_ms now);
uint32_t queue_priority_of_class (uint32_t class_index);
uint32_t queue_class (const struct bb_queue_entry *e,
                      enum bb_queue_standing standing);
/* Returns the time at which the standing of E changes next, INT64_MAX if it
   does not.  */
bb_ms queue_change_ms (const struct bb_queue_entry *e, bb_ms now);

/* drain.c */
void arrivals_note (struct arrivals *a, const struct bb_queue_entry *e,
                    bb_ms now);
/* What arrivals_note has counted at NOW is taken back.  */
void arrivals_forget (struct arrivals *a, const struct bb_queue_entry *e);
/* Returns the rate of the arrivals that go ahead of requests of PRIORITY with
   this share; with BB_QUEUE_PRIORITIES, of all.  */
double arrivals_ahead_per_s (const struct arrivals *a, uint32_t priority,
                             bool above_share, bb_ms now);

/* queue.c */
int queue_compare_arrivals (gconstpointer a, gconstpointer b, gpointer arg);
/* Moves the entries whose standing has changed to their classes.  */
void queue_advance (struct bb_queue *q, bb_ms now);
/* Takes E out of the queue; its state is then STATE_NONE.  */
void queue_unlink (struct bb_queue *q, struct bb_queue_entry *e, bb_ms now);

/* wait.c */
/* What all decisions of one time have in common.  */
struct snapshot
{
  uint32_t most_urgent; /* priority that waits; BB_QUEUE_PRIORITIES: none */
  uint32_t below;       /* entries that are less urgent */
  const struct bb_queue_capacity *capacity;
  uint32_t before[CLASSES + 1]; /* entries of the classes before each */
  /* The same of the priorities for which there is capacity.  */
  uint32_t able_before[CLASSES + 1];
  /* Arrivals a second that go ahead of each priority, below the share of the
     customer and above it; the last is of all.  */
  double arrivals_per_s[BB_QUEUE_PRIORITIES + 1][2];
  double drain_per_s;
  const bb_ms *rejected_ms; /* as in the queue */
  bb_ms now;
};
void snapshot_take (struct snapshot *s, const struct bb_queue *q,
                    const struct bb_queue_capacity *capacity, bb_ms now);
/* An entry of a class has left the queue.  */
void snapshot_remove (struct snapshot *s, uint32_t class_index);

/* Where an entry stands in its queue.  */
struct position
{
  uint32_t class_index;
  uint32_t class_before; /* entries of its class that arrived before it */
  uint32_t older;        /* all entries that arrived before it */
};
void queue_find_position (struct bb_queue *q, struct bb_queue_entry *e,
                          struct position *p, bb_ms now);
void queue_fill_outlook (const struct snapshot *s,
                         const struct bb_queue_entry *e,
                         const struct position *p, struct bb_queue_outlook *o);
/* Returns after how long a new request like E is expected to start.  */
bb_ms queue_expected_ms (const struct snapshot *s,
                         const struct bb_queue_entry *e);

/* decide.c */
/* Records that a request of E's priority was rejected as D says.  */
void queue_note_rejection (struct bb_queue *q, const struct bb_queue_entry *e,
                           const struct bb_queue_decision *d, bb_ms now);
/* Decides on E at P; expected_ms is not set.  */
void queue_judge (const struct snapshot *s, struct bb_queue_entry *e,
                  const struct position *p, struct bb_queue_decision *d);

#endif
