#ifndef BILBERRY_ROUTE_H
#define BILBERRY_ROUTE_H

/* libroute - routing decisions of an entry: which upstream gets a request,
   whether to retry it, how another upstream continues an event stream, and
   which upstreams to eject.  The functions use no socket, no clock and no
   global state; the caller passes the time.  Link with -lroute -ljansson.

   NOW_MS and all points in time are in milliseconds of one monotonic clock.
   An attempt is one sending of a request to an upstream.  */

#include "bilberry/base.h"

#include <glib.h>

/* An upstream that a request could be sent to, as one entry sees it.  Its
   agent reports other_requests and limit from time to time.  */
struct bb_candidate
{
  uint32_t own_in_flight;  /* requests that this entry sent there and that have
                              not ended */
  uint32_t other_requests; /* requests of other entries, in flight and queued
                              there, as last reported */
  bb_ms report_age_ms;     /* time since the last report of the agent */
  uint32_t limit; /* limit on requests in flight there, as last reported; 0
                     where there was no report, counts as 1 */
  uint32_t ramp_percent; /* share of the limit to use; see
                            bb_health_ramp_percent */
  bool same_domain;      /* it is in the entry's own failure domain */
  bool holds_prefix;     /* it probably has the prompt's prefix in its cache */
  bool tried;            /* an attempt of this request failed or was refused
                            there */
  bool domain_tried; /* an attempt of this request failed or was refused in its
                        failure domain */
};

enum
{
  BB_ROUTE_NONE = UINT32_MAX
};

/* Returns the index in C, an array of COUNT, of the upstream for the next
   attempt, or BB_ROUTE_NONE where COUNT is 0.  RAND is the source of random
   numbers.

   Only the best of three tiers is considered: candidates in a failure domain
   that has not been tried, then other candidates that have not been tried
   themselves, then the rest.  Within the tier, power of two choices takes the
   less loaded of two random candidates, by requests relative to the limit.
   Candidates in the entry's own failure domain come first, as long as the one
   chosen among them is lightly loaded.  A candidate that holds the prompt's
   prefix is preferred to that choice unless its load is much higher.

   As a report ages, its other_requests are gradually replaced by the mean of
   all candidates.  */
uint32_t bb_route_choose (const struct bb_candidate *c, uint32_t count,
                          GRand *rand);

enum
{
  BB_PREFIX_BLOCKS_MAX = 8,
  BB_PREFIX_SLOTS = 4096
};

/* Hashes of the blocks at the start of a prompt.  Each hash covers its block
   and all blocks before it.  */
struct bb_prefix
{
  uint64_t hashes[BB_PREFIX_BLOCKS_MAX];
  uint32_t count;
};

/* Sets P to the hashes of the whole blocks at the start of TEXT, at most
   BB_PREFIX_BLOCKS_MAX.  A text shorter than one block has none.  */
void bb_prefix_hash (struct bb_prefix *p, struct bb_bytes text);

/* Hash table of the upstreams that prefixes were last sent to.  It has a fixed
   size: a new entry overwrites one in the same slot.  The upstream may have
   dropped the prefix from its cache since.  */
struct bb_prefix_table
{
  uint64_t hashes[BB_PREFIX_SLOTS];
  uint64_t holders[BB_PREFIX_SLOTS];
};

/* Returns the upstream that the longest prefix in the table was last sent to,
   as passed to bb_prefix_put; 0 where no prefix of P of two blocks or more is
   in the table.  */
uint64_t bb_prefix_find (const struct bb_prefix_table *t,
                         const struct bb_prefix *p);

/* Returns the rendezvous hash of the first block of P and the upstream HOLDER;
   0 where P has no block.  Entries that choose the upstream with the highest
   value choose the same one for a prefix without sharing state.  */
uint64_t bb_prefix_score (const struct bb_prefix *p, uint64_t holder);

/* Records that the upstream HOLDER, not 0, will have P in its cache.  A P of
   less than two blocks is not recorded.  */
void bb_prefix_put (struct bb_prefix_table *t, const struct bb_prefix *p,
                    uint64_t holder);

/* An upstream that an entry could connect to.  */
struct bb_subset_item
{
  const char *name;
  const char *failure_domain;
  bool chosen; /* result of bb_subset_choose */
};

/* Sets `chosen' in MAX of the COUNT items, or in all where MAX is not below
   COUNT.  The choice is spread evenly: each failure domain gets the same
   number, plus or minus one, where it has enough items.  Within a failure
   domain it takes those with the highest rendezvous hashes of ENTRY, the name
   of the entry, and the item's name.  Adding or removing an item changes at
   most one other choice.  ITEMS keep their order.  */
void bb_subset_choose (struct bb_subset_item *items, uint32_t count,
                       uint32_t max, const char *entry);

/* State of an upstream in outlier ejection.  */
enum bb_health_state
{
  BB_HEALTH_ACTIVE,
  BB_HEALTH_EJECTED, /* gets no requests */
  BB_HEALTH_TRIAL    /* ejected, with one trial request in flight */
};

/* Outlier ejection and slow start of one upstream.  All zero: active.  */
struct bb_health
{
  uint8_t state; /* enum bb_health_state */
  uint32_t consecutive_failures;
  uint32_t consecutive_ejections;
  bb_ms until_ms;     /* an ejected upstream, or one on trial, gets no request
                         before this time */
  bb_ms recovered_ms; /* start of the latest slow start; 0: none */
};

/* Ejections in one pool.  */
struct bb_health_pool
{
  uint32_t count;   /* upstreams of the pool */
  uint32_t ejected; /* upstreams that are ejected or on trial */
};

/* Records an answer of the upstream H of pool P.  It resets the count of
   failures, and on trial it ends the ejection and begins a slow start.  An
   upstream that is ejected and not on trial stays so: the answer is to a
   request sent before.  */
void bb_health_ok (struct bb_health *h, struct bb_health_pool *p,
                   bb_ms now_ms);

/* Records that an attempt at the upstream H of pool P failed or was refused
   for REASON, an enum bb_reason.  A refusal for lack of capacity counts as an
   answer, since it shows that the upstream works.  Only
   BB_REASON_UPSTREAM_REFUSED, which ejects at once, and
   BB_REASON_UPSTREAM_FAILED, which ejects after several in a row, count as
   failures.  Returns whether this failure ejects the upstream, which a failed
   trial always does; false where it was ejected already, or where too many of
   the pool are.  Each consecutive ejection lasts twice as long as the one
   before, up to a maximum.  */
bool bb_health_failed (struct bb_health *h, struct bb_health_pool *p,
                       uint32_t reason, bb_ms now_ms);

/* Records that a request is sent to the upstream.  Where it is ejected, this
   is the trial request.  */
void bb_health_sent (struct bb_health *h, bb_ms now_ms);

/* Records that the upstream or its agent is back after an interruption, which
   begins a slow start.  An ejection is not changed.  */
void bb_health_recovered (struct bb_health *h, bb_ms now_ms);

/* Returns whether the upstream may get a request at NOW_MS.  */
bool bb_health_usable (const struct bb_health *h, bb_ms now_ms);

/* Returns the percentage of its limit that the upstream may use at NOW_MS,
   which is below 100 during slow start.  */
uint32_t bb_health_ramp_percent (const struct bb_health *h, bb_ms now_ms);

/* Detects that this process was suspended, by a gap between two checks.  */
struct bb_pause
{
  bb_ms last_check_ms; /* time of the last check; 0: none yet */
};

/* Records a check at NOW_MS.  Returns whether the process was suspended since
   the last check; false at the first one.  */
bool bb_pause_check (struct bb_pause *p, bb_ms now_ms);

/* Returns how many requests of a customer may be in flight at one of ENTRIES
   entries: ENTRY_LIMIT or, where FLEET_LIMIT is not 0 and this is less, its
   equal share of FLEET_LIMIT, rounded up.  All entries together then stay
   below FLEET_LIMIT + ENTRIES.  Where ENTRIES is 0, returns ENTRY_LIMIT.  */
uint32_t bb_customer_share (uint32_t entry_limit, uint32_t fleet_limit,
                            uint32_t entries);

/* Retry budget of an entry, a token bucket.  Each first attempt of a request
   adds to it and each retry takes from it: five first attempts pay for one
   retry after an attempt that may have run, and one pays for a retry after an
   attempt that did not.  A small reserve also refills with time, so that an
   entry with few requests can retry too.  */
struct bb_retry_budget
{
  uint32_t tokens;   /* what is left, in hundredths of a retry */
  bb_ms refilled_ms; /* when the reserve was last refilled */
};

/* Sets B to a full reserve.  */
void bb_retry_budget_init (struct bb_retry_budget *b, bb_ms now_ms);

/* Adds to B for one first attempt of a request, and refills the reserve.  */
void bb_retry_budget_deposit (struct bb_retry_budget *b, bb_ms now_ms);

/* A request after an attempt that failed or was refused.  */
struct bb_retry_attempt
{
  struct bb_request_result result; /* result of the attempt */
  bool idempotent;                 /* the request may run more than once */
  bool answer_started; /* a part of the answer has been sent to the caller */
  bool resumable;      /* another upstream can continue the answer */
  bool upstream_available; /* some upstream can take the next attempt */
  bool upstream_tried;  /* that available upstream was tried by this request */
  bool reports_pending; /* this process was suspended, and agents have
                           yet to report their state */
  uint32_t attempts;    /* attempts so far */
  uint32_t crashes; /* attempts so far that a failure of the upstream ended */
  bb_ms remaining_ms; /* time left to the deadline */
};

/* Returns the cost of a retry after V, in hundredths of a retry.  */
uint32_t bb_retry_cost (const struct bb_request_result *v);

/* Returns whether the request of A may be retried.  If so, takes the cost from
   B.  Returns false where B has too little; where too many attempts were made,
   or ended by crashes; where the deadline is too near; where the answer has
   started and is not resumable; where the attempt may have run and the request
   is not idempotent; and where only an upstream that was tried is available
   and the result is not one of those that an immediate retry there can
   overcome.  */
bool bb_retry_allow (struct bb_retry_budget *b,
                     const struct bb_retry_attempt *a);

enum bb_retry_action
{
  BB_RETRY_REFUSE,
  BB_RETRY_SEND,
  BB_RETRY_WAIT /* wait until an agent reports its state */
};

/* Decides what follows the attempt A.  Takes the cost of a retry from B unless
   it returns BB_RETRY_REFUSE.  */
enum bb_retry_action bb_retry_decide (struct bb_retry_budget *b,
                                      const struct bb_retry_attempt *a);

/* Merges V, the result of one more attempt, into ALL, that of all attempts of
   a request: it may have run if it may have run in any attempt, the reason is
   that of V, and the shortest retry_after_ms other than 0 counts.  */
void bb_request_result_merge (struct bb_request_result *all,
                              const struct bb_request_result *v);

/* How an upstream can continue a stream that another upstream began.  */
enum bb_resume
{
  BB_RESUME_NONE,    /* it cannot continue the stream */
  BB_RESUME_RESTART, /* it generates the same tokens again from the first */
  BB_RESUME_CONTINUE /* it starts after a given number of tokens */
};

/* An event stream on its way to the caller.  Only complete events are passed
   on, and each token once, so that another upstream can continue the stream.
   An event whose first choice has text counts as one token.  All zero: a new
   stream.  */
struct bb_stream
{
  uint32_t tokens_sent; /* tokens passed on to the caller */
  uint32_t skip_tokens; /* tokens of the present upstream still to be dropped,
                           since the caller has them already */
  bool resumed;         /* bb_stream_resume was called */
  bool role_sent;       /* the event with the role of the answer was
                           passed on */
  bool done;            /* the closing event was passed on */
  bool broken;          /* an event is too long, or a repeated stream
                           ended before the tokens already sent */
  char *partial_event;  /* the start of an incomplete event */
  size_t partial_size_bytes;     /* used bytes of partial_event */
  size_t partial_capacity_bytes; /* allocated bytes of partial_event */
};

/* Passes on EVENT, a complete event or the next part of one, which is valid
   during the call.  */
typedef void bb_stream_write_fn (void *arg, struct bb_bytes event);

/* Takes PIECE, the next bytes from the upstream, and calls WRITE with ARG for
   the complete events that the caller has not got.  One event may take several
   calls.  Bytes after the closing event are dropped.  In a resumed stream, the
   token counts in an event with usage are replaced by those of the whole
   stream.  */
void bb_stream_feed (struct bb_stream *s, struct bb_bytes piece,
                     bb_stream_write_fn *write, void *arg);

/* Prepares S for another upstream, which continues it as HOW says: the
   incomplete event is dropped.  Unless HOW is BB_RESUME_CONTINUE, the events
   up to the tokens already sent will be dropped too.  */
void bb_stream_resume (struct bb_stream *s, enum bb_resume how);

/* Frees the buffer of S.  */
void bb_stream_free (struct bb_stream *s);

#endif
