#ifndef BILBERRY_QUEUE_H
#define BILBERRY_QUEUE_H

/* libqueue - admission control of an entry: the order in which queued requests
   of a pool start while concurrency is limited, the time that each is expected
   to wait, and whether a request starts, waits or is rejected.  The functions
   use no socket, no clock and no global state.  Link with -lqueue -lload
   -lglib-2.0 -lm.

   NOW and all points in time are in milliseconds of one monotonic clock.  NOW
   does not decrease between calls for one queue.

   Use: a struct bb_queue for each pool.  For each request that arrives, or
   returns to the queue after an attempt:

     bb_queue_note_arrival       (for new requests only)
     bb_queue_decide             START:  bb_queue_note_start, and send it
                                 WAIT:   bb_queue_add
                                 REJECT: refuse it

   Whenever capacity may have become free: bb_queue_next while the capacity
   lasts, each time bb_queue_note_start for the entry that is sent.  On each
   tick, after these starts: bb_queue_tick, then bb_queue_take_rejected until
   it returns NULL.  */

#include "bilberry/base.h"

enum
{
  BB_QUEUE_PRIORITIES = 10, /* 0 is the most urgent */

  /* With as many in the queue, decisions reject further ones.  */
  BB_QUEUE_MAX = 16384,

  /* The longest wait that is estimated; also stands for endless ones.  */
  BB_QUEUE_WAIT_MAX_MS = 600 * 1000,

  /* One of so many starts goes to the request that has waited longest, if it
     has waited for half of its time.  */
  BB_QUEUE_TURN_STARTS = 8
};

struct bb_queue;

/* A request as the queue sees it.  The caller owns it and sets the fields of
   the first part; while it is in the queue they are changed by bb_queue_update
   only.  The other fields belong to the library and start as zeros.  */
struct bb_queue_entry
{
  bb_ms arrived_ms;      /* when the request was first received */
  bb_ms slo_deadline_ms; /* time by which the first event or the answer must
                            come to meet the SLO; INT64_MAX: no SLO */
  bb_ms deadline_ms;     /* time by which the response must be complete */
  bb_ms run_ms;          /* expected time from the start to the end */
  bb_ms first_event_ms;  /* time from the start to the first event that few
                            exceed: under overload requests start when they
                            are only just in time */
  double use_ratio;  /* use of its customer, divided by the customer's share;
                        below 1: below its share */
  uint32_t priority; /* 0 to 9; larger ones count as 9 */
  bool returns;      /* the caller was rejected before and returns as told */
  bool may_have_run; /* an upstream may have run it, or its response has begun:
                        it is never rejected as not run */

  bb_ms unfit_since_ms; /* since when the estimates say that it cannot end in
                           time; valid if is_unfit */
  bb_ms change_ms;      /* when its class changes next */
  uint64_t number;      /* order of insertion */
  void *links[3];
  struct bb_queue_entry *next_rejected;
  struct bb_queue_entry *prev_rejected;
  bb_ms reject_wait_ms;
  uint8_t reject_reason;
  uint8_t queue_state;
  uint8_t class_index;
  bool is_unfit;
  bool is_arrival; /* bb_queue_note_arrival counted it just now */
};

/* How a request stands with its deadlines at one time, in the order in which
   they start.  */
enum bb_queue_standing
{
  BB_QUEUE_IN_TIME, /* can still meet its SLO, or was promoted: it is too late
                       for its SLO, and its time is only just enough to run */
  BB_QUEUE_LATE,    /* too late for its SLO, can still end in time */
  BB_QUEUE_HOPELESS /* its remaining time is less than its expected run */
};

enum bb_queue_standing bb_queue_standing_of (const struct bb_queue_entry *e,
                                             bb_ms now);

/* Returns the deadline to set for a request with the expected RUN_MS that must
   not start after LAST_START_MS, such as one whose caller leaves without a
   first event.  A run may take two thirds longer than expected.  */
bb_ms bb_queue_deadline_of_start (bb_ms last_start_ms, bb_ms run_ms);

/* Returns whether A starts before B.  Compares, in this order: the standing;
   the priority; whether the customer is below its share; whether the caller
   returns; the time of arrival.  A strict weak order for each NOW.  */
bool bb_queue_before (const struct bb_queue_entry *a,
                      const struct bb_queue_entry *b, bb_ms now);

/* Share of the starts that goes to the request that has waited longest, so
   that nothing starves.  Only starts that leave others waiting count.  Starts
   as zeros.  */
struct bb_queue_turn
{
  uint32_t starts; /* since the longest-waiting request was started */
};

/* Returns whether the next start goes to the request that has waited
   longest.  */
bool bb_queue_turn_is_due (const struct bb_queue_turn *t);

/* Records a start.  OLDEST is whether it was the request that had waited
   longest, OTHERS_WAIT whether others still wait.  */
void bb_queue_turn_note (struct bb_queue_turn *t, bool oldest,
                         bool others_wait);

/* Measured rate at which capacity becomes available: starts while requests
   wait, divided by the time for which requests waited.  Time in which nothing
   waits for capacity says nothing and is left out.  Old starts decay, but the
   last few always count, so that the rate is also known where starts are rare.
   Starts as zeros: unknown.  */
struct bb_drain_rate
{
  double starts;    /* decayed count */
  double waited_ms; /* decayed time in which they happened */
  bb_ms updated_ms;
  bool waiting; /* requests wait for capacity since updated_ms */
};

/* Records that from NOW on requests wait for capacity, or not.  Where all
   upstreams are down they do not wait for capacity.  */
void bb_drain_rate_update (struct bb_drain_rate *d, bool waiting, bb_ms now);

/* Records a start; it counts if requests wait.  */
void bb_drain_rate_note_start (struct bb_drain_rate *d, bb_ms now);

/* Returns the rate in starts a second, or a negative number while it is not
   known: before a few starts were seen, and long after the last time that
   requests waited.  */
double bb_drain_rate_per_s (const struct bb_drain_rate *d, bb_ms now);

/* What the wait of one request depends on.  */
struct bb_queue_outlook
{
  uint32_t ahead;              /* requests that start before it by the order */
  uint32_t ahead_if_late;      /* the same once it is too late for its SLO */
  uint32_t older;              /* requests that have waited longer */
  double arrivals_ahead_per_s; /* arrivals that will start before it */
  double arrivals_per_s; /* arrivals that will start before it once it is too
                            late for its SLO */
  double drain_per_s;    /* see bb_drain_rate_per_s */
  bb_ms until_late_ms;   /* time until it is too late; 0 if it is */
};

/* Returns the expected time until the start: the requests ahead, and those
   that will arrive ahead meanwhile, at the drain rate.  It is never longer
   than until its turn among the starts that go to the longest-waiting; it does
   not count on a promotion.  Returns 0 while the drain rate is unknown.  */
bb_ms bb_queue_wait_ms (const struct bb_queue_outlook *o);

/* Capacity of a pool at one time, as the caller knows it.  */
struct bb_queue_capacity
{
  uint32_t free[BB_QUEUE_PRIORITIES]; /* requests of the priority that may
                                         start now */
  bool is_down;      /* all upstreams are down: no capacity becomes free */
  bb_ms recovery_ms; /* expected time until one is up again; used if is_down */
};

enum bb_queue_verdict
{
  BB_QUEUE_START,
  BB_QUEUE_WAIT,
  BB_QUEUE_REJECT
};

enum bb_queue_reason
{
  BB_QUEUE_CAPACITY_FREE,     /* start: there is capacity for it */
  BB_QUEUE_WAIT_FITS,         /* wait: it can end in time */
  BB_QUEUE_RATE_UNKNOWN,      /* wait: no rate is known yet */
  BB_QUEUE_UNCONFIRMED,       /* wait: it seems that it cannot end in time, but
                                 not clearly or not for long enough */
  BB_QUEUE_MAY_HAVE_RUN,      /* wait: it cannot end in time, but cannot be
                                 rejected as not run */
  BB_QUEUE_WAIT_TOO_LONG,     /* reject: wait and run exceed its time */
  BB_QUEUE_RECOVERY_TOO_LONG, /* reject: the same while all upstreams are
                                 down */
  BB_QUEUE_EXPIRED,           /* reject: its deadline has passed */
  BB_QUEUE_FULL,              /* reject: BB_QUEUE_MAX requests wait */
  BB_QUEUE_REASON_COUNT
};

/* Returns the name of R for the log, "unknown" where R is out of range.  */
const char *bb_queue_reason_name (enum bb_queue_reason r);

struct bb_queue_decision
{
  enum bb_queue_verdict verdict;
  enum bb_queue_reason reason;
  bb_ms wait_ms;     /* expected time until this request starts */
  bb_ms expected_ms; /* time after which a new request of its priority is
                        expected to start: for bb_retry_delay_ms */
  struct bb_queue_outlook outlook; /* the inputs, for the log */
};

/* Returns an empty queue, which the caller frees with bb_queue_free.  The
   entries in it are not touched by that.  */
struct bb_queue *bb_queue_new (void);
void bb_queue_free (struct bb_queue *q);

/* Returns the number of requests in the queue, and of PRIORITY, and of those
   of PRIORITY that are BB_QUEUE_IN_TIME.  */
uint32_t bb_queue_count (const struct bb_queue *q);
uint32_t bb_queue_count_of (const struct bb_queue *q, uint32_t priority);
uint32_t bb_queue_count_in_time (const struct bb_queue *q, uint32_t priority);

/* Returns the measured drain rate and the rate of arrivals of PRIORITY, both a
   second.  The drain rate is negative while it is unknown.  */
double bb_queue_drain_per_s (const struct bb_queue *q, bb_ms now);
double bb_queue_arrivals_per_s (const struct bb_queue *q, uint32_t priority,
                                bb_ms now);

/* Records that the new request E arrived, before it is decided on.  One that
   is then rejected goes ahead of nothing and no longer counts: callers that
   are rejected and return at once do not lengthen the waits of others.  */
void bb_queue_note_arrival (struct bb_queue *q, struct bb_queue_entry *e,
                            bb_ms now);

/* Decides on E, which is in the queue or about to be added.

   It starts if the capacity that is free for its priority exceeds the requests
   of the queue that are ahead of it; a request with less time than its run is
   not started in place of others that wait, but is if capacity remains.  It is
   rejected if wait and run clearly exceed its remaining time, or exceed it for
   some 200 ms, or exceed it on arrival while others of its priority are
   rejected; never while capacity remains, while the drain rate is unknown,
   or if it may have run.  While all upstreams are down, the time until the
   recovery adds to its wait and limits it also where no rate is known.

   Costs the time of O(log n) for n requests in the queue.  */
void bb_queue_decide (struct bb_queue *q, struct bb_queue_entry *e,
                      const struct bb_queue_capacity *capacity,
                      struct bb_queue_decision *decision, bb_ms now);

/* Adds E, which must stay valid until it is removed.  O(log n).  */
void bb_queue_add (struct bb_queue *q, struct bb_queue_entry *e, bb_ms now);

/* Removes E, whose caller is gone or which is moved to another queue.  Does
   nothing if E is not in the queue.  O(log n).  */
void bb_queue_remove (struct bb_queue *q, struct bb_queue_entry *e, bb_ms now);

/* Records that E is sent, and removes it if it is in the queue.  Every start
   of the pool is recorded, also that of a request that did not wait.  */
void bb_queue_note_start (struct bb_queue *q, struct bb_queue_entry *e,
                          bb_ms now);

/* Sets the use_ratio of E to RATIO, in the queue or not.  O(log n) if that
   changes its class, otherwise O(1).  */
void bb_queue_update (struct bb_queue *q, struct bb_queue_entry *e,
                      double ratio, bb_ms now);

/* Returns the entry that starts next among the priorities for which CAPACITY
   has room, or NULL.  It stays in the queue.  One of BB_QUEUE_TURN_STARTS is
   the one that has waited longest.  */
struct bb_queue_entry *bb_queue_next (struct bb_queue *q,
                                      const struct bb_queue_capacity *capacity,
                                      bb_ms now);

/* Returns the entry that follows E in the order, with the same rule, or NULL:
   where E, a result of bb_queue_next or of this function, cannot start for a
   reason of its own.  With E NULL, returns the first.  */
struct bb_queue_entry *
bb_queue_next_after (struct bb_queue *q, const struct bb_queue_entry *e,
                     const struct bb_queue_capacity *capacity, bb_ms now);

/* Lets the time pass: entries that have become late or are promoted change
   their class.  Every 50 ms, whatever the number of calls, decides on each
   request that waits; those to be rejected leave the queue, see
   bb_queue_take_rejected.  Deciding costs O(n) once, not for each request.  */
void bb_queue_tick (struct bb_queue *q,
                    const struct bb_queue_capacity *capacity, bb_ms now);

/* Returns an entry that the last ticks rejected, NULL if there is none, and
   sets DECISION.  The entry no longer belongs to the queue.  */
struct bb_queue_entry *
bb_queue_take_rejected (struct bb_queue *q, struct bb_queue_decision *decision,
                        bb_ms now);

/* Returns after how many milliseconds the caller of E, on which D was decided,
   should retry, see bb_retry_delay_ms.  */
bb_ms bb_queue_retry_delay_ms (const struct bb_queue_entry *e,
                               const struct bb_queue_decision *d, double draw,
                               bb_ms now);

#endif
