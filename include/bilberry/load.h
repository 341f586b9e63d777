#ifndef BILBERRY_LOAD_H
#define BILBERRY_LOAD_H

/* libload - decisions of an entry under load: where a request goes, who waits
   and who is served next, what follows a failed try, and when a refused
   caller should come back.  Pure: no socket, no clock, no global.
   Link with -lload.  */

#include "bilberry/base.h"

enum
{
  BB_BALANCE_NONE = UINT32_MAX
};

/* An upstream that a request could be sent to.  */
struct bb_balance_candidate
{
  bool usable;
  bool tried;             /* by this request */
  bool same_domain;       /* in the entry's own failure domain */
  bool unresponsive;      /* has work and has said nothing for long */
  uint32_t in_flight;     /* of all entries, as far as they have told */
  uint32_t in_flight_max; /* of all entries */
  double
      pending_prompt_tokens; /* tokens sent lately that are still to be read */
  double relative_latency;   /* against its fellows; 1 is usual */
};

/* What work costs at the upstreams of a pool.  */
struct bb_balance_cost
{
  double per_request;      /* of a request under way */
  double per_prompt_token; /* of a prompt token to be read */
};

/* Chooses the upstream on which the request delays its fellows least.  All
   ranks of a group step together, so the most loaded one delays all: load is
   made even, by writers and by prompt tokens to be read.  One that was tried,
   or has no room, is not chosen; nor is a mute one, unless all that are usable
   are: a frozen VM takes requests in and reads them when it wakes, long after
   their callers have left.  Of equals, DRAW (0 to 1) picks.  */
uint32_t bb_balance_choose (const struct bb_balance_candidate *candidates,
                            uint32_t count, const struct bb_balance_cost *cost,
                            double draw);

/* Whether an upstream with IN_FLIGHT requests of this entry, last heard of at
   HEARD_MS, is mute: one that works sends some event in each pass.  */
bool bb_balance_is_unresponsive (uint32_t in_flight, bb_ms last_heard_ms,
                                 bb_ms now);

/* Sends to a pool beyond the first of each request, over a sliding window.
   Answers callers that repeat at once while upstreams fail.  */
enum
{
  BB_RETRY_WINDOW_BUCKETS = 20
};

struct bb_retry_window
{
  bb_ms bucket_ms;     /* window over the slices */
  bb_ms newest_bucket; /* number of the newest slice */
  uint32_t requests[BB_RETRY_WINDOW_BUCKETS];
  uint32_t retries[BB_RETRY_WINDOW_BUCKETS];
};

void bb_retry_window_init (struct bb_retry_window *w, bb_ms window_ms);
void bb_retry_window_add_request (struct bb_retry_window *w, bb_ms now);

/* Whether one more repeat stays below RATIO of the requests and this entry's
   part of EXTRA, one of MEMBERS entries; counts it where it does.  */
bool bb_retry_window_take_retry (struct bb_retry_window *w, bb_ms now,
                                 double ratio, uint32_t extra,
                                 uint32_t members);

/* Sends to one upstream in a sliding second, so that one that has just
   started, or turned cold, is not given more than it bears.  */
enum
{
  BB_RATE_LIMITER_MAX = 64
};

struct bb_rate_limiter
{
  bb_ms sent_ms[BB_RATE_LIMITER_MAX]; /* a ring */
  uint32_t next_slot;
};

/* Whether fewer than MAX were sent in the second before NOW.  */
bool bb_rate_limiter_allows (const struct bb_rate_limiter *m, bb_ms now,
                             uint32_t max);
void bb_rate_limiter_record (struct bb_rate_limiter *m, bb_ms now);

/* Returns this entry's part of what a cold upstream bears in a second.  */
uint32_t bb_cold_start_share (double requests_per_s, uint32_t members);

/* Whether an upstream is left out because it fails.  */
struct bb_ejection
{
  uint32_t consecutive_failures;  /* in a row */
  uint32_t consecutive_ejections; /* ejections in a row */
  bb_ms until_ms;
  bool trial; /* one request is under way to see whether it is back */
};

void bb_ejection_ok (struct bb_ejection *e);
/* Returns whether it is left out from now on.  */
bool bb_ejection_failed (struct bb_ejection *e, bb_ms now);
void bb_ejection_sent (struct bb_ejection *e, bb_ms now);
bool bb_ejection_is_usable (const struct bb_ejection *e, bb_ms now);

/* The state of upstreams that step together.  */
enum bb_group_health_state
{
  BB_GROUP_UP,
  BB_GROUP_SUSPECT, /* nothing moves though requests are under way */
  BB_GROUP_DOWN
};

struct bb_group_health
{
  enum bb_group_health_state state;
  bb_ms last_progress_ms;   /* last event or answer */
  bb_ms state_since_ms;     /* of the present state */
  uint64_t reported_step;   /* last reported */
  bool reported;            /* since the present state began */
  bb_ms expected_outage_ms; /* usual length of an outage, learned */
  bool outage_observed;
};

/* An answer or an event came.  */
void bb_group_record_progress (struct bb_group_health *g, bb_ms now);
/* An upstream refused since another one is gone, or broke off.  */
void bb_group_record_down (struct bb_group_health *g, bb_ms now);
/* A fresh report says whether the group takes work, and the last pass that it
   began.  A group that stalls says that it is open up to the end.  */
void bb_group_record_report (struct bb_group_health *g, bool open,
                             uint64_t step, uint32_t in_flight, bb_ms now);
/* Looks at the time; IN_FLIGHT requests are under way.  Returns the state.  */
enum bb_group_health_state bb_group_update_state (struct bb_group_health *g,
                                                  uint32_t in_flight,
                                                  bb_ms now);
/* Returns when a broken group is expected back, from NOW.  */
bb_ms bb_group_recovery_ms (const struct bb_group_health *g, bb_ms now);

/* Whether an entry is to watch the store, where READING_BEFORE peers that come
   before it do.  Each watch is a priced call, and each change ends all of
   them: of a large fleet only a few watch, and tell the others.  */
bool bb_should_watch_store (uint32_t watchers_before);

/* How a try ended.  */
enum bb_outcome
{
  BB_OUTCOME_ANSWERED, /* with success */
  BB_OUTCOME_FAILED,   /* the upstream ran it and answered with a failure */
  BB_OUTCOME_UNSENT,
  BB_OUTCOME_NOT_RUN,   /* the upstream says that it did not run */
  BB_OUTCOME_ELSEWHERE, /* another upstream has the address */
  BB_OUTCOME_LOST,      /* it may have run; no usable answer */
  BB_OUTCOME_SILENT,    /* it may be running; nothing came for too long */
  BB_OUTCOME_COUNT
};

const char *bb_outcome_name (enum bb_outcome o);

/* What is known of a request after a try.  */
struct bb_attempt
{
  enum bb_outcome outcome;
  bool idempotent;       /* may run more than once */
  bool may_have_run;     /* by any try so far */
  bool answer_started;   /* the caller has seen a part */
  bool resumable;        /* and the rest can be had elsewhere */
  uint32_t executions;   /* tries so far that may have run */
  uint32_t tries;        /* all tries so far */
  uint32_t attempts_max; /* allowed */
  bb_ms remaining_ms;
};

enum bb_attempt_action
{
  BB_ATTEMPT_RETRY,   /* wait for room and send once more */
  BB_ATTEMPT_FORWARD, /* the upstream's own failure is the answer */
  BB_ATTEMPT_REFUSE,  /* it did not run: say so, and when to come back */
  BB_ATTEMPT_FAIL,    /* it may have run: promise nothing */
  BB_ATTEMPT_ABORT    /* break the answer off */
};

/* Decides what follows.  A repeat is still to be paid from the budget; where
   that fails, bb_after_without_retry tells what to do.  */
enum bb_attempt_action bb_attempt_next_action (const struct bb_attempt *a);
enum bb_attempt_action bb_attempt_final_action (const struct bb_attempt *a);

/* Returns when a refused caller should come back: after EXPECTED_MS, when
   there is room, spread by DRAW (0 to 1) so that they do not come at once,
   and within a third of LEFT_MS, past which callers do not return.  */
bb_ms bb_retry_delay_ms (bb_ms expected_ms, bb_ms remaining_ms, double draw);

/* A request that waits.  */
struct bb_queued_request
{
  bb_ms arrived_ms;
  bb_ms slo_deadline_ms; /* point in time up to which an answer is in time */
  bb_ms timeout_at_ms;   /* point in time */
  uint32_t priority;     /* 0 first */
  uint32_t customer_in_flight; /* requests of its customer under way here */
  uint32_t expected_tokens;    /* expected tokens */
};

/* Returns whether A is served before B: the more urgent kind first, then one
   that can still be in time, then the customer with least under way, then
   the one that came first.  */
bool bb_queued_request_before (const struct bb_queued_request *a,
                               const struct bb_queued_request *b, bb_ms now,
                               bb_ms first_event_ms);

#endif
