#ifndef BILBERRY_ROUTE_H
#define BILBERRY_ROUTE_H

/* libroute - decisions of an entry: which upstream, whether to try again, how
   to continue an event stream, which upstream to leave out for a while.
   Pure: no socket, no clock, no global.  Link with -lroute -ljansson.  */

#include "bilberry/base.h"

#include <glib.h>

/* What an entry knows of one upstream that could serve a request.  */
struct bb_candidate
{
  uint32_t own_in_flight;  /* sent by this entry and not ended */
  uint32_t other_requests; /* in flight and queued for other entries, as the
                      agent last said */
  bb_ms report_age_ms;     /* since the agent last said so */
  uint32_t limit;          /* as the agent last said; 0 where it has not */
  uint32_t ramp_percent;   /* share of the limit to use; see bb_health_ramp */
  bool same_domain;        /* in the entry's own failure domain */
  bool holds_prefix;       /* likely has the prompt's prefix in its cache */
  bool tried;              /* this request was refused or failed there */
  bool domain_tried;       /* or in its failure domain */
};

enum
{
  BB_ROUTE_NONE = UINT32_MAX
};

/* Chooses one of the candidates by power of two choices on load over limit.
   A candidate in a failure domain that has not been tried comes before one in
   a domain that has, and that before one that was tried itself.  The nearest
   failure domain comes first while its choice has room.  A candidate that
   holds the prompt's prefix is taken unless it is much more loaded than the
   choice.  An old report counts less: the mean of all takes its place.
   Returns an index, or BB_ROUTE_NONE
   when COUNT is 0.  */
uint32_t bb_route_choose (const struct bb_candidate *c, uint32_t count,
                          GRand *rand);

enum
{
  BB_PREFIX_BLOCKS_MAX = 8,
  BB_PREFIX_SLOTS = 4096
};

/* Hashes of the blocks that a prompt starts with; each covers all before.  */
struct bb_prefix
{
  uint64_t hashes[BB_PREFIX_BLOCKS_MAX];
  uint32_t count;
};

/* Hashes the whole blocks of TEXT.  A short text has none.  */
void bb_prefix_hash (struct bb_prefix *p, struct bb_bytes text);

/* Where prefixes were last sent: hints of fixed size, which may be wrong.  */
struct bb_prefix_table
{
  uint64_t hashes[BB_PREFIX_SLOTS];
  uint64_t holders[BB_PREFIX_SLOTS];
};

/* Returns the holder of the longest known prefix of two blocks or more; 0
   where none is known.  */
uint64_t bb_prefix_find (const struct bb_prefix_table *t,
                         const struct bb_prefix *p);

/* Returns the rendezvous hash of the first block of P and HOLDER.  Entries
   that share no state agree by it on where a prefix belongs; 0 where P has no
   block.  */
uint64_t bb_prefix_score (const struct bb_prefix *p, uint64_t holder);

/* Notes that HOLDER is going to have P in its cache.  */
void bb_prefix_put (struct bb_prefix_table *t, const struct bb_prefix *p,
                    uint64_t holder);

/* An upstream that an entry could hold a link to.  */
struct bb_subset_item
{
  const char *name;
  const char *failure_domain;
  bool chosen; /* result */
};

/* Marks MAX of the items as chosen: the same number of each failure domain
   where there are enough, and in each the highest rendezvous hashes of ENTRY
   and item.  All are chosen when MAX is not below COUNT.  An item that comes
   or goes changes at most one other choice in its failure domain.  */
void bb_subset_choose (struct bb_subset_item *items, uint32_t count,
                       uint32_t max, const char *entry);

/* Whether an upstream is left out because it fails while others do not.  */
enum bb_health_state
{
  BB_HEALTH_ACTIVE,
  BB_HEALTH_EJECTED,
  BB_HEALTH_TRIAL /* one request is under way to see whether it is back */
};

struct bb_health
{
  uint8_t state;
  uint32_t consecutive_failures;  /* in a row */
  uint32_t consecutive_ejections; /* in a row */
  bb_ms until_ms;     /* next change of an ejected or tried upstream */
  bb_ms recovered_ms; /* start of slow start; 0: never away */
};

/* Ejections of one pool.  */
struct bb_health_pool
{
  uint32_t count;   /* upstreams of the pool */
  uint32_t ejected; /* of them ejected or on trial */
};

/* The upstream answered.  */
void bb_health_ok (struct bb_health *h, struct bb_health_pool *p,
                   bb_ms now_ms);

/* A try was refused there for REASON, or failed.  A refusal for want of
   room shows that the upstream is back.  Returns whether it is ejected.  */
bool bb_health_failed (struct bb_health *h, struct bb_health_pool *p,
                       uint32_t reason, bb_ms now_ms);

/* A request is sent there; starts the trial of an ejected upstream.  */
void bb_health_sent (struct bb_health *h, bb_ms now_ms);

/* The upstream or its agent is back after a break; slow start begins.  */
void bb_health_recovered (struct bb_health *h, bb_ms now_ms);

/* Whether a request may be sent there.  */
bool bb_health_usable (const struct bb_health *h, bb_ms now_ms);

/* Returns the percentage of its limit to use: less than 100 in slow start.  */
uint32_t bb_health_ramp_percent (const struct bb_health *h, bb_ms now_ms);

/* Tells when a process was paused: its clock jumped between two looks.  */
struct bb_pause
{
  bb_ms last_check_ms; /* 0 before the first look */
};

/* Looks at the clock; true when the process was paused since the last look. */
bool bb_pause_check (struct bb_pause *p, bb_ms now_ms);

/* Returns how many requests of a customer may be in flight at one of ENTRIES
   entries: ENTRY_LIMIT, and no more than an equal part, rounded up, of
   FLEET_LIMIT where that is not 0.  All entries together stay below
   FLEET_LIMIT + ENTRIES.  */
uint32_t bb_customer_share (uint32_t entry_limit, uint32_t fleet_limit,
                            uint32_t entries);

/* Retries are paid from a budget that first tries fill.  Five first tries pay
   for one retry of a try that may have run, one for one that did not.  Time
   keeps a small reserve, so that a quiet entry can retry too.  */
struct bb_retry_budget
{
  uint32_t tokens;   /* hundredths of a retry */
  bb_ms refilled_ms; /* when time last added to the reserve */
};

/* Starts with a full reserve.  */
void bb_retry_budget_init (struct bb_retry_budget *b, bb_ms now_ms);

/* Adds what one first try earns.  */
void bb_retry_budget_deposit (struct bb_retry_budget *b, bb_ms now_ms);

/* What is known of a try that did not end well.  */
struct bb_retry_attempt
{
  struct bb_verdict verdict;
  bool idempotent;
  bool answer_started;     /* the caller has seen a part of the answer */
  bool resumable;          /* and the rest can be had from another upstream */
  bool upstream_available; /* an upstream can take the next try */
  bool upstream_tried;     /* but none other than one that was tried */
  bool reports_pending;    /* agents have yet to report after a pause */
  uint32_t attempts;       /* made so far */
  uint32_t crashes;        /* of them, ended by a failure of the upstream */
  bb_ms remaining_ms;      /* to the deadline */
};

/* Returns the price of a retry after V, in hundredths.  */
uint32_t bb_retry_cost (const struct bb_verdict *v);

/* Decides whether to try again; takes the price from the budget.  */
bool bb_retry_allow (struct bb_retry_budget *b,
                     const struct bb_retry_attempt *a);

enum bb_retry_action
{
  BB_RETRY_REFUSE,
  BB_RETRY_SEND,
  BB_RETRY_WAIT /* until an agent reports */
};

/* Decides what follows a try that did not end well.  */
enum bb_retry_action bb_retry_decide (struct bb_retry_budget *b,
                                      const struct bb_retry_attempt *a);

/* Joins the verdict of one more try into that of all tries of a request: it
   may have run when any of them may have, and the shortest wait counts.  */
void bb_verdict_merge (struct bb_verdict *all, const struct bb_verdict *v);

/* How an upstream continues a stream of another that was lost.  */
enum bb_resume
{
  BB_RESUME_NONE,    /* cannot */
  BB_RESUME_RESTART, /* gives the same tokens again from the first */
  BB_RESUME_CONTINUE /* starts after the number of tokens it is told */
};

/* Follows an event stream on its way to the caller.  Only whole events are
   passed on, and each token once, so that another upstream can continue.  An
   event of one token has a choice with text.  */
struct bb_stream
{
  uint32_t tokens_sent;      /* passed on */
  uint32_t skip_tokens;      /* of the present try, still to be left out */
  bool resumed;              /* not the first upstream */
  bool role_sent;            /* the event that names the role was passed on */
  bool done;                 /* the closing event was passed on */
  bool broken;               /* the rest does not fit what was passed on */
  char *partial_event;       /* an event that has not arrived whole */
  size_t partial_size_bytes; /* in bytes */
  size_t partial_capacity_bytes; /* in bytes */
};

typedef void bb_stream_write_fn (void *arg, struct bb_bytes event);

/* Takes the next PIECE of the stream; calls WRITE for each whole event that
   the caller has not seen.  Bytes after the closing event are dropped.  */
void bb_stream_feed (struct bb_stream *s, struct bb_bytes piece,
                     bb_stream_write_fn *write, void *arg);

/* Another upstream is going to give the stream, as HOW says.  */
void bb_stream_resume (struct bb_stream *s, enum bb_resume how);

void bb_stream_free (struct bb_stream *s);

#endif
