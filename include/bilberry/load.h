#ifndef BILBERRY_LOAD_H
#define BILBERRY_LOAD_H

/* libload - load-balancing decisions of an entry: which upstream gets a
   request, which queued request is served next, what follows a failed
   attempt, and when a refused caller should retry.  The functions use no
   socket, no clock and no global state; the caller passes the time.
   Link with -lload.

   NOW and all points in time are in milliseconds of one monotonic clock.  */

#include "bilberry/base.h"

enum
{
  BB_BALANCE_NONE = UINT32_MAX
};

/* An upstream that a request could be sent to.  */
struct bb_balance_candidate
{
  bool usable;
  bool tried;             /* this request was already sent there */
  bool same_domain;       /* it is in the entry's own failure domain */
  bool unresponsive;      /* see bb_balance_is_unresponsive */
  uint32_t in_flight;     /* requests of all entries in flight there, as last
                             reported */
  uint32_t in_flight_max; /* limit on requests in flight there, of all entries
                             together */
  double pending_prompt_tokens; /* prompt tokens that this entry sent there and
                                   that are not yet processed */
  double relative_latency;      /* relative to the fastest upstream of the
                                   pool; values below 1 count as 1 */
};

/* Weights of the load on an upstream, in any one unit.  */
struct bb_balance_cost
{
  double per_request;      /* weight of each request in flight */
  double per_prompt_token; /* weight of each pending prompt token */
};

/* Returns the index in CANDIDATES, an array of COUNT, of the upstream with the
   lowest cost for one more request, or BB_BALANCE_NONE where none is eligible.
   The cost is the weighted sum of requests in flight and pending prompt
   tokens, times the relative latency.  All ranks of an expert-parallel group
   run each pass in lockstep, so the most loaded rank delays all of them: an
   even load is the fastest.

   An upstream is eligible if it is usable, was not tried and has fewer
   requests in flight than its maximum.  An unresponsive one is skipped while
   any usable one responds: a frozen VM accepts requests and processes them
   only after it resumes, long after their callers have left.  Where costs
   differ by less than one percent, an upstream in the entry's own failure
   domain is preferred.  DRAW, a uniform random number from 0 to 1, selects
   where the search starts, which decides between the remaining equals.  */
uint32_t bb_balance_choose (const struct bb_balance_candidate *candidates,
                            uint32_t count, const struct bb_balance_cost *cost,
                            double draw);

/* Returns an upstream as bb_balance_choose does, where several processes
   choose at the same time and each knows only later what the others have sent.
   UNSEEN is how many requests the others have sent, as expected, that are not
   in the candidates yet.  If all of them chose the upstream that seems to be
   the least loaded, all would send to the same one.  So the unseen requests
   are thought to fill the least loaded upstreams to one level, and the
   upstream is drawn among those below it, each with a chance in proportion to
   its room.  Where the own failure domain is hardly fuller than the others,
   the upstream is drawn there.  */
uint32_t bb_balance_spread (const struct bb_balance_candidate *candidates,
                            uint32_t count, const struct bb_balance_cost *cost,
                            double unseen, double draw);

/* Returns whether an upstream with IN_FLIGHT requests of this entry has sent
   nothing for too long.  LAST_RECEIVED_MS is the time of its last byte.  A
   working upstream sends an event in every pass.  */
bool bb_balance_is_unresponsive (uint32_t in_flight, bb_ms last_received_ms,
                                 bb_ms now);

/* Isolation of requests that may crash upstreams: at most one of them is in
   flight at an upstream, over all entries.

   Each upstream is owned by one entry, by a hash that all entries that know
   the same members compute alike.  The owner may send at once, unless it knows
   of a claim.  Another entry first claims the upstream at all others, waits,
   and sends unless one of them has sent there meanwhile, or has claimed it
   earlier or precedes.  So isolated requests of several entries are only in
   flight together where a claim takes longer than the wait, or the entries do
   not know of each other.  An upstream is identified by a hash, a member by a
   hash or a random number.  A part of prompts is claimed like an upstream, so
   that one request with it is in flight at a time.  */
struct bb_isolation;

enum
{
  BB_ISOLATION_MEMBERS_MAX = 64 /* further ones are ignored */
};

/* Returns the isolation of the entry OWN, which the caller frees with
   bb_isolation_free.  */
struct bb_isolation *bb_isolation_new (uint64_t own);
void bb_isolation_free (struct bb_isolation *s);

/* MEMBER, another entry, was found or is gone.  The first returns whether it
   is new.  */
bool bb_isolation_add_member (struct bb_isolation *s, uint64_t member);
void bb_isolation_remove_member (struct bb_isolation *s, uint64_t member);

/* Returns the entry that owns UPSTREAM: of all, the own one included.  Entries
   that know the same entries agree on it.  */
uint64_t bb_isolation_owner (const struct bb_isolation *s, uint64_t upstream);

/* Returns whether this entry owns UPSTREAM.  */
bool bb_isolation_is_own (const struct bb_isolation *s, uint64_t upstream);

/* Returns whether the isolated request REQUEST, a number that is unique at
   this entry, may be sent to UPSTREAM or claim it.  */
bool bb_isolation_may_use (const struct bb_isolation *s, uint64_t upstream,
                           uint64_t request, bb_ms now);

enum bb_isolation_step
{
  BB_ISOLATION_SEND, /* send, and tell all members BB_ISOLATION_USE_IN_FLIGHT
                      */
  BB_ISOLATION_CLAIMED, /* tell all members BB_ISOLATION_USE_CLAIM, ask again
                           later */
  BB_ISOLATION_WAIT     /* ask again later */
};

/* Asks to send REQUEST to UPSTREAM, which it may use.  */
enum bb_isolation_step bb_isolation_claim (struct bb_isolation *s,
                                           uint64_t upstream, uint64_t request,
                                           bb_ms now);

/* The isolated request that this entry has sent to UPSTREAM ended there; tell
   all members BB_ISOLATION_USE_FREE.  */
void bb_isolation_end (struct bb_isolation *s, uint64_t upstream);

/* MEMBER told how it uses UPSTREAM.  */
void bb_isolation_apply (struct bb_isolation *s, uint64_t member,
                         uint64_t upstream, enum bb_isolation_use use,
                         bb_ms now);

typedef void bb_isolation_fn (void *arg, uint64_t upstream);

/* Calls FN for each upstream at which this entry has an isolated request in
   flight, to tell a member that was just found.  */
void bb_isolation_each (const struct bb_isolation *s, bb_isolation_fn *fn,
                        void *arg);

enum
{
  BB_RETRY_WINDOW_BUCKETS = 20
};

/* Retry budget of a pool: counts of requests and of retries over a sliding
   window, kept in a ring of time buckets.  It keeps callers that retry at once
   from multiplying the load while upstreams fail.

   The retries of an entry still count after its end, although nobody knows of
   them: for the length of the window an entry that has started takes little of
   the budget, and a part is not larger than by the most members of that
   time.  */
struct bb_retry_window
{
  bb_ms started_ms;    /* when the entry started */
  uint32_t members;    /* the most members in the last window, or before it */
  bb_ms members_at_ms; /* when there were so many last */
  bb_ms bucket_ms;     /* length of a bucket */
  bb_ms newest_bucket; /* start of the newest bucket, divided by bucket_ms */
  uint32_t requests[BB_RETRY_WINDOW_BUCKETS];
  uint32_t retries[BB_RETRY_WINDOW_BUCKETS];
};

/* Clears W and sets the length of its window to WINDOW_MS.  STARTED_MS is when
   the entry started, or long ago if no entry ran before.  */
void bb_retry_window_init (struct bb_retry_window *w, bb_ms window_ms,
                           bb_ms started_ms);

/* Counts a new request; its retries are not counted here.  */
void bb_retry_window_add_request (struct bb_retry_window *w, bb_ms now);

/* Counts one more retry and returns true if the retries of the window then
   stay within RATIO times its requests plus this entry's share of EXTRA, less
   a safety margin.  Returns false and counts nothing otherwise.  EXTRA is an
   allowance of retries per window that MEMBERS entries share equally.  */
bool bb_retry_window_take_retry (struct bb_retry_window *w, bb_ms now,
                                 double ratio, uint32_t extra,
                                 uint32_t members);

enum
{
  BB_RATE_LIMITER_MAX = 64
};

/* Send times of one upstream, to limit how many requests it gets in any
   second: more would overload one that has just started or has gone cold.  */
struct bb_rate_limiter
{
  bb_ms sent_ms[BB_RATE_LIMITER_MAX]; /* ring of send times; 0: unused */
  uint32_t next_slot; /* index in the ring of the slot to be written next */
};

/* Returns whether fewer than MAX requests were sent in the second before NOW.
   A MAX above BB_RATE_LIMITER_MAX is no limit.  */
bool bb_rate_limiter_allows (const struct bb_rate_limiter *m, bb_ms now,
                             uint32_t max);

/* Records that a request is sent at NOW.  */
void bb_rate_limiter_record (struct bb_rate_limiter *m, bb_ms now);

/* Returns how many requests a second this entry, one of MEMBERS, may send to a
   cold upstream that accepts REQUESTS_PER_S from all of them: at least 1, and
   UINT32_MAX where REQUESTS_PER_S is 0, which means no limit.  */
uint32_t bb_cold_start_share (double requests_per_s, uint32_t members);

/* Outlier ejection of one upstream: after several consecutive failures it gets
   no requests for a while, then a single trial request at a time.  */
struct bb_ejection
{
  uint32_t consecutive_failures;
  uint32_t consecutive_ejections;
  bb_ms until_ms; /* no requests before this time; 0: not ejected */
  bool trial;     /* a trial request is in flight */
};

/* Records a success, which ends the ejection.  */
void bb_ejection_ok (struct bb_ejection *e);

/* Records a failure.  Returns whether it causes an ejection, which any further
   failure after an ejection does until a success is recorded.  Each
   consecutive ejection lasts twice as long as the one before, up to a
   maximum.  */
bool bb_ejection_failed (struct bb_ejection *e, bb_ms now);

/* Records that a request is sent.  To an ejected upstream this is the trial
   request; no other is allowed until it ends or times out.  */
void bb_ejection_sent (struct bb_ejection *e, bb_ms now);

/* Returns whether the upstream may get a request at NOW.  */
bool bb_ejection_is_usable (const struct bb_ejection *e, bb_ms now);

/* Rest of one upstream: it has turned a request of this entry away and wants
   no further ones of this entry for a time.  */
struct bb_rest
{
  bb_ms until_ms; /* no requests before this time; 0: never asked */
};

/* Records that the upstream asks for a rest of FOR_MS; 0 asks for none.  What
   it asked for before holds too.  */
void bb_rest_ask (struct bb_rest *r, bb_ms for_ms, bb_ms now);

/* Returns whether the upstream may get a request at NOW.  */
bool bb_rest_is_over (const struct bb_rest *r, bb_ms now);

/* When a pool takes requests, as far as its upstreams rest or leave.  Starts
   as zeros.  */
struct bb_pool_opening
{
  uint32_t upstreams;
  bool is_open; /* some upstream neither rests nor leaves */
  bb_ms at_ms;  /* earliest end of a rest; 0: all leave */
};

/* Adds an upstream that rests as R says.  LEAVES is whether it takes no
   requests for a time that is not known.  */
void bb_pool_opening_add (struct bb_pool_opening *o, bool leaves,
                          const struct bb_rest *r, bb_ms now);

/* Returns in how many milliseconds from NOW the first upstream takes requests
   again, UNKNOWN_MS where all leave; 0 where one neither rests nor leaves, or
   no upstream is known: then a request waits in the queue.  */
bb_ms bb_pool_opening_wait_ms (const struct bb_pool_opening *o,
                               bb_ms unknown_ms, bb_ms now);

/* State of a group: upstreams that run each pass in lockstep.  */
enum bb_group_health_state
{
  BB_GROUP_UP,
  BB_GROUP_SUSPECT, /* no progress although requests are in flight */
  BB_GROUP_DOWN
};

/* Failure detection for a group.  All ranks stall while one is gone.  */
struct bb_group_health
{
  enum bb_group_health_state state;
  bb_ms last_progress_ms;   /* time of the last event or answer */
  bb_ms state_since_ms;     /* when the present state began */
  uint64_t reported_step;   /* last pass that the group reported */
  bool reported;            /* a report came in the present state */
  bb_ms expected_outage_ms; /* moving average of past outages */
  bool outage_observed;     /* expected_outage_ms is set */
};

/* Records an event or an answer from any upstream of the group; a suspect
   group is up again.  */
void bb_group_record_progress (struct bb_group_health *g, bb_ms now);

/* Records that the group is down: an upstream refused a request, or closed the
   connection, because another one is gone.  */
void bb_group_record_down (struct bb_group_health *g, bb_ms now);

/* Records a report of the group.  OPEN is whether the group says that it takes
   work, STEP the last pass that it began, IN_FLIGHT the number of requests of
   this entry there.  Where OPEN is false the group is down.  A stalled group
   keeps reporting OPEN until it fails, so a suspect group counts as up only
   once STEP changes between two reports, or where IN_FLIGHT is 0.  A group
   that was down and reports OPEN is up at once; the length of its outage goes
   into the expected length of the next.  */
void bb_group_record_report (struct bb_group_health *g, bool open,
                             uint64_t step, uint32_t in_flight, bb_ms now);

/* Checks the time: a group that is up becomes suspect if it made no progress
   for too long while it had requests.  IN_FLIGHT is the number of requests of
   this entry there.  Returns the state.  */
enum bb_group_health_state bb_group_update_state (struct bb_group_health *g,
                                                  uint32_t in_flight,
                                                  bb_ms now);

/* Returns in how many milliseconds from NOW a group that is down is expected
   to be up.  Never less than a minimum, also where the outage lasts longer
   than expected.  */
bb_ms bb_group_recovery_ms (const struct bb_group_health *g, bb_ms now);

/* Returns whether an entry should watch the store, where WATCHERS_BEFORE peers
   that precede it already do.  Every watch is a billed call and every change
   ends all of them, so in a large fleet only a few entries watch and pass the
   changes on to the others.  */
bool bb_should_watch_store (uint32_t watchers_before);

/* Returns how long an entry that does not watch waits before it does, where
   too few of its peers watch by now: another entry may do so first.  MEMBERS
   and DRAW are as for bb_store_next_call_ms.  */
bb_ms bb_store_takeover_ms (uint32_t members, double draw);

/* What an entry knows of the store when it starts a call.  */
struct bb_store_call_state
{
  bool responding;  /* the last call that ended got a response */
  bb_ms wait_ms;    /* how long the store may hold this call back; 0: not */
  uint32_t members; /* entries that are connected, this one included */
  uint32_t peers_watching; /* peers that watch the store */
};

/* Returns the time from the start of a call to the start of the next one,
   where the call has not ended by then.  A call that was sent while the store
   did not respond may never get a response, also once the store is back, so
   the next call does not wait for it.  While the store does not respond, all
   entries together call it at a bounded rate, and one that gets its changes
   from a peer calls seldom.  DRAW is a uniform random number from 0 to 1 that
   keeps entries from calling at the same time.  */
bb_ms bb_store_next_call_ms (const struct bb_store_call_state *s, double draw);

/* A peer that a large item could be asked of.  */
struct bb_item_source
{
  bool offers;       /* it is connected and has the item */
  bool is_agent;     /* its link is slow; entries are asked before it */
  bool asked;        /* it was asked since it connected */
  bb_ms progress_ms; /* when it was asked, or its last byte came */
};

/* A large item that this process lacks.  */
struct bb_item_need
{
  bb_ms start_ms;   /* when to ask for it at the earliest; spread a little, so
                       that not all processes ask the first that has it */
  bool store_sends; /* this process watches the store, which should send it */
};

/* Returns the index in SOURCES, an array of COUNT, of the peer to ask now, or
   BB_BALANCE_NONE.  A copy that advances is waited for, however long it takes;
   while one stalls, a further peer is asked.  DRAW is a uniform random number
   from 0 to 1.  */
uint32_t bb_item_choose_source (const struct bb_item_source *sources,
                                uint32_t count,
                                const struct bb_item_need *need, bb_ms now,
                                double draw);

/* A copy of a large item on its way to a peer, which has not told yet that it
   has it.  */
struct bb_item_send
{
  bool to_agent;
  bb_ms start_ms;
  uint32_t bytes; /* as packed */
};

/* Returns whether the copy NEXT may be sent now, beside SENDS, an array of
   COUNT: few large ones at a time, so that each arrives soon and its receiver
   sends it on.  Agents, whose links are slow, do not hold up entries.  */
bool bb_item_may_send (const struct bb_item_send *sends, uint32_t count,
                       const struct bb_item_send *next, bb_ms now);

/* Returns how long a process waits that was turned away, before it asks again.
   DRAW is a uniform random number from 0 to 1.  */
bb_ms bb_item_retry_ms (double draw);

/* Returns whether a call that was made at STARTED_MS, and of whose response a
   part was last found to have arrived at ADVANCED_MS, is waited for before
   another one is made beside it: a second copy would only make the first one
   slower.  One that takes very long is not given up either, but has another
   beside it.  */
bool bb_store_should_await (bb_ms started_ms, bb_ms advanced_ms, bb_ms now);

enum
{
  BB_LIMIT_NONE = -1,       /* an answer names no limit */
  BB_LIMIT_UNREADABLE = -2, /* it names something that is no limit */
  BB_LIMIT_SLOTS_MAX = 16
};

/* What an entry knows of the limit of an upstream: the requests a second that
   it takes from all entries.  A request is sent in a slot, a time that the
   entry has asked of the one that gives them out for this upstream.  Zeroed:
   no limit.  */
struct bb_limit
{
  int64_t milli; /* in thousandths; 0: no limit */
  bb_ms named_ms;
  bb_ms slots_ms[BB_LIMIT_SLOTS_MAX]; /* from when on each may be used */
  uint32_t slots_count;
  uint32_t asked;         /* slots asked for, without a reply yet */
  bb_ms asked_ms;         /* time of the last such question */
  bb_ms refused_until_ms; /* no slot is to be had before */
};

/* Records what an answer to a request that was sent at SENT_MS says: a limit
   in thousandths of a request a second, BB_LIMIT_NONE or BB_LIMIT_UNREADABLE.
   A limit holds as long as answers name it.  Returns whether it changed.  */
bool bb_limit_note_answer (struct bb_limit *l, int64_t milli, bb_ms sent_ms,
                           bb_ms now);

/* Returns whether a request may be sent now.  */
bool bb_limit_allows (const struct bb_limit *l, bb_ms now);

/* Records that a request is sent now.  */
void bb_limit_use (struct bb_limit *l, bb_ms now);

/* Returns how many slots can still be used, or are asked for.  */
uint32_t bb_limit_expected (const struct bb_limit *l, bb_ms now);

/* Returns whether a further slot may be had.  */
bool bb_limit_may_ask (const struct bb_limit *l, bb_ms now);

/* Records that a slot was asked for, and the reply: a slot in WAIT_MS, or none
   before.  */
void bb_limit_asked (struct bb_limit *l, bb_ms now);
void bb_limit_answered (struct bb_limit *l, bool granted, bb_ms wait_ms,
                        bb_ms now);

/* Returns until when no request can be sent, as far as is known; 0: that is
   not known.  */
bb_ms bb_limit_closed_until_ms (const struct bb_limit *l, bb_ms now);

/* How many entries there are, and were a short time ago.  */
struct bb_limit_members
{
  uint32_t count;
  uint32_t most; /* since MOST_MS */
  bb_ms most_ms;
};

/* Records that COUNT entries are connected, the own one included.  */
void bb_limit_note_members (struct bb_limit_members *m, uint32_t count,
                            bb_ms now);

/* The slots of an upstream, of the entry that gives them out.  Zeroed: none
   given out yet.  */
struct bb_limit_schedule
{
  double next_ms; /* time of the next one */
};

/* Gives out the next slot of an upstream that takes MILLI thousandths of a
   request a second, if it is not later than WAIT_MAX_MS from now.  Returns the
   time until it in either case.  Where entries have gone lately, only a part
   of the limit is given out: they may be on the other side of a partition.  */
bb_ms bb_limit_reserve (struct bb_limit_schedule *s, int64_t milli,
                        const struct bb_limit_members *m, bb_ms wait_max_ms,
                        bb_ms now);

/* How an attempt ended.  */
enum bb_outcome
{
  BB_OUTCOME_ANSWERED, /* the upstream answered with success */
  BB_OUTCOME_FAILED, /* the request ran; the upstream answered with an error */
  BB_OUTCOME_UNSENT,
  BB_OUTCOME_NOT_RUN,   /* the upstream says that it did not run the request */
  BB_OUTCOME_ELSEWHERE, /* the address now belongs to another upstream */
  BB_OUTCOME_LOST,      /* no usable answer came; the request may have run */
  BB_OUTCOME_SILENT,    /* nothing came before a timeout; the request may still
                           run */
  BB_OUTCOME_COUNT
};

/* Returns the name of O for the log, "unknown" where O is out of range.  */
const char *bb_outcome_name (enum bb_outcome o);

/* A request after an attempt that did not succeed.  */
struct bb_attempt
{
  enum bb_outcome outcome; /* how the last attempt ended */
  bool idempotent;         /* the request may run more than once */
  bool may_have_run;       /* the request may have run in some attempt */
  bool answer_started; /* a part of the answer has been sent to the caller */
  bool resumable;      /* another upstream can continue the answer */
  uint32_t executions; /* attempts so far that may have run */
  uint32_t attempts;   /* attempts so far, whether they ran or not */
  uint32_t executions_max; /* limit on executions */
  bb_ms remaining_ms;      /* time left to the deadline */
};

enum bb_attempt_action
{
  BB_ATTEMPT_RETRY,   /* queue the request again */
  BB_ATTEMPT_FORWARD, /* send the upstream's error response to the caller */
  BB_ATTEMPT_REFUSE,  /* tell the caller that the request did not run, and when
                         to retry */
  BB_ATTEMPT_FAIL, /* report an error without a promise, since the request may
                      have run */
  BB_ATTEMPT_ABORT /* cut off the answer that has started */
};

/* Decides what follows an attempt.  BB_ATTEMPT_RETRY still depends on the
   retry budget; the caller checks it with bb_retry_window_take_retry.  */
enum bb_attempt_action bb_attempt_next_action (const struct bb_attempt *a);

/* Decides what follows where no retry is possible.  */
enum bb_attempt_action bb_attempt_final_action (const struct bb_attempt *a);

/* Returns after how many milliseconds a refused caller should retry.
   EXPECTED_MS is the time until capacity is expected, REMAINING_MS the time to
   the caller's deadline, and DRAW a uniform random number from 0 to 1 that
   adds jitter, so that callers refused together do not return together.  The
   delay stays below a third of REMAINING_MS, since callers ignore a longer
   one, but is never less than a minimum.  */
bb_ms bb_retry_delay_ms (bb_ms expected_ms, bb_ms remaining_ms, double draw);

/* A request in the queue of a pool.  */
struct bb_queued_request
{
  bb_ms arrived_ms;
  bb_ms slo_deadline_ms; /* time by which the first event or the answer must
                            come to meet the latency objective */
  bb_ms timeout_at_ms;   /* time at which it leaves the queue */
  uint32_t priority;     /* 0 is the most urgent */
  uint32_t customer_in_flight; /* requests of its customer in flight at this
                                  entry */
  uint32_t expected_tokens;
};

/* Returns whether A is served before B.  Compares, in this order: the
   priority; whether a first event after FIRST_EVENT_MS from NOW still meets
   the latency objective; the customer's requests in flight, fewest first; the
   time of arrival.  */
bool bb_queued_request_before (const struct bb_queued_request *a,
                               const struct bb_queued_request *b, bb_ms now,
                               bb_ms first_event_ms);

#endif
