#ifndef BILBERRY_COST_H
#define BILBERRY_COST_H

/* libcost - what a request will cost an engine, learned from completed
   responses; the outstanding work of each upstream; and the choice of the
   upstream by that work.  See docs/design/0056-cost-of-requests.md.  The
   functions use no socket, no clock and no global state; the caller passes the
   time and random numbers.  Link with -lcost -lglib-2.0 -lm.

   NOW is in milliseconds of one monotonic clock.  Costs are in ms of the
   upstream's engine: the time for which a request would occupy it alone, where
   the fixed time of a step is shared by all slots.  */

#include "bilberry/base.h"
#include "bilberry/fleet.h"

enum
{
  BB_COST_ROUTES_MAX = 64,     /* routes whose lengths are kept */
  BB_COST_CUSTOMERS_MAX = 512, /* customers of a route, over all routes */
  BB_COST_POINTS = 16,         /* see struct bb_cost_estimate */
  BB_COST_OUTPUT_MAX = 1 << 20 /* longest output in tokens; longer ones count
                                  as this */
};

/* What is known of a request before it is sent.  */
struct bb_cost_request
{
  uint64_t route;              /* hash of the route */
  uint64_t customer;           /* hash of the customer; 0: not known, which
                                  counts as one customer */
  uint32_t prompt_tokens;      /* 0: not known */
  uint32_t output_tokens_hint; /* what the caller expects; 0: none */
  uint32_t output_tokens_max;  /* at which the engine stops; 0: none */
};

/* The expected cost of a request.  It does not refer to the model, and may be
   copied.  */
struct bb_cost_estimate
{
  double prompt_tokens;
  double output_tokens;       /* mean */
  double output_upper_tokens; /* exceeded by one in ten */
  double output_max_tokens;   /* at which the engine stops; 0: none */
  double prefill_ms;          /* engine time for the prompt */
  double decode_ms;           /* engine time for the output */
  double decode_token_ms;     /* engine time for one token of it */
  double memory_tokens;       /* most that it holds, for the upper length */
  double alone_ms;    /* time to the last event as the only request of its
                         upstream */
  double neighbor_ms; /* by which each other request in decoding there
                         lengthens it */
  float points[BB_COST_POINTS]; /* distribution of the length: means of its
                                   sixteenths, ascending */
};

/* What was learned of the output lengths of one pool, and of how reliable the
   hints are: per route, and per customer of a route, which counts the more the
   more responses of it were seen.  A value halves its weight within a minute.
   Memory is bounded, below 300 KiB: the key that was learned least recently
   makes room for a new one.  One customer has at most a sixteenth of the
   weight of a route, and a length beyond six times the median of the route
   counts there as six times.  So a customer whose answers are 50 times longer
   than its hints changes the mean and the upper length of another one by a
   factor of 1.5 at most; of 2.5, if it also chooses hints far from those of
   all others to turn the regression.  */
struct bb_cost_model;

/* Returns a model that has learned nothing, which the caller frees with
   bb_cost_model_free.  Aborts when memory runs out.  */
struct bb_cost_model *bb_cost_model_new (void);

/* Frees M, which may be NULL.  */
void bb_cost_model_free (struct bb_cost_model *m);

/* Returns how many routes and customers of routes M holds: at most
   BB_COST_ROUTES_MAX + BB_COST_CUSTOMERS_MAX.  */
uint32_t bb_cost_model_size (const struct bb_cost_model *m);

/* Sets *E to the expected cost of R at the engine ENGINE, which may be NULL:
   then all times are 0.  Where nothing was learned, lengths are those of the
   hint or, without one, typical for ENGINE.  */
void bb_cost_estimate (const struct bb_cost_model *m,
                       const struct bb_cost_request *r,
                       const struct bb_engine *engine, bb_ms now,
                       struct bb_cost_estimate *e);

enum bb_cost_end
{
  BB_COST_COMPLETE, /* the response was complete */
  BB_COST_CUT       /* it ended early: the caller left, or the upstream was
                       lost */
};

/* Learns that the response to R had OUTPUT_TOKENS.  Of one that was cut, or
   that reached the maximum of R, only a lower bound is known: it counts with
   the lengths above the bound, as they are expected.  One that was cut before
   its first token does not count.  */
void bb_cost_learn (struct bb_cost_model *m, const struct bb_cost_request *r,
                    const struct bb_engine *engine, uint32_t output_tokens,
                    enum bb_cost_end end, bb_ms now);

/* Returns how many tokens are expected to follow the PRODUCED_TOKENS of a
   response that goes on: at least 1.  Beyond its estimate a response is
   expected to go on for a part of what it has produced, by the spread of the
   lengths.  */
double bb_cost_remaining (const struct bb_cost_estimate *e,
                          double produced_tokens);

/* Work that this edge has outstanding at one upstream.  Zeroed: none.
   Integers, so that the sums are exactly 0 when nothing is in flight.  */
struct bb_work
{
  int64_t prefill_us;
  int64_t decode_us;
  int64_t memory_tokens;
  uint32_t requests;
};

/* The part of one request in a struct bb_work.  Zeroed: it has none.  */
struct bb_work_part
{
  int64_t prefill_us;
  int64_t decode_us;
  int64_t memory_tokens;
  bool counted;
};

/* Adds a request that is sent, with the cost E.  P must have no part
   anywhere; a part that it still has in W is removed first.  */
void bb_work_add (struct bb_work *w, struct bb_work_part *p,
                  const struct bb_cost_estimate *e);

/* Corrects the part P of a request that has produced PRODUCED_TOKENS: its
   prompt is processed, and what is expected to remain is counted.  Does
   nothing where P has no part.  */
void bb_work_progress (struct bb_work *w, struct bb_work_part *p,
                       const struct bb_cost_estimate *e,
                       double produced_tokens);

/* Removes the part P, if any.  */
void bb_work_remove (struct bb_work *w, struct bb_work_part *p);

/* Returns the work of W in ms: the sum that is reported to peers.  */
double bb_work_ms (const struct bb_work *w);

/* Returns the part of it for prompts that are not processed yet.  */
double bb_work_prefill_ms (const struct bb_work *w);

/* What an edge has sent to a pool lately, with a decay of a second.  Zeroed:
   nothing.  */
struct bb_place_sends
{
  double requests;
  double prefill_ms;
  double decode_ms;
  bb_ms decayed_ms;
};

/* Counts a request with the cost E.  */
void bb_place_sends_add (struct bb_place_sends *s,
                         const struct bb_cost_estimate *e, bb_ms now);

/* Returns how many requests PEERS other edges, which are taken to send as much
   as this one, have sent in AGE_MS.  */
double bb_place_sends_unseen (struct bb_place_sends *s, uint32_t peers,
                              bb_ms age_ms, bb_ms now);

/* An upstream that a request could be sent to.  */
struct bb_place_candidate
{
  bool usable;
  bool tried;             /* this request was already sent there */
  bool same_domain;       /* it is in the edge's own failure domain */
  bool unresponsive;      /* see bb_balance_is_unresponsive */
  uint32_t group;         /* index in the groups; not used without groups */
  uint32_t in_flight;     /* requests of all edges, as last reported */
  uint32_t in_flight_max; /* limit on requests in flight there, of all edges
                             together */
  uint32_t slots;         /* requests that it runs at a time; 0: not known */
  uint32_t close_streams; /* streams there whose time between events is close
                             to their target, as far as known */
  double work_ms;         /* outstanding work of all edges: bb_work_ms and what
                             peers reported */
  double prefill_ms;      /* part of it for prompts that are not processed, as
                             far as known: bb_work_prefill_ms at least */
  double memory_tokens;   /* memory reserved by requests, as far as known */
  double memory_max_tokens; /* memory of the upstream; 0: not known */
  double relative_latency;  /* relative to the fastest upstream; values below 1
                               count as 1.  For upstreams that do not run in
                               lock-step; let it decay towards 1 while nothing
                               is sent there, or it gets no requests.  */
};

/* A group of upstreams that run each pass in lock-step.  */
struct bb_place_group
{
  uint32_t in_flight;     /* requests of all edges in the whole group */
  uint32_t in_flight_max; /* limit on them, of all edges together; UINT32_MAX:
                             none */
  double relative_pass;   /* time of a pass at equal load, relative to the
                             fastest   group; values below 1 count as 1 */
};

enum
{
  BB_PLACE_NONE = UINT32_MAX,
  BB_PLACE_GROUPS_MAX = 64 /* upstreams of further groups get no requests */
};

/* The upstreams of a pool, as an edge sees them.  */
struct bb_place_pool
{
  const struct bb_place_candidate *candidates;
  uint32_t count;
  const struct bb_place_group *groups; /* NULL: there are none */
  uint32_t groups_count;
  double rank_share; /* part of the time of a pass that depends on the requests
                        of the upstream itself: 1 without groups, else 1 -
                        expert_time_share */
  double unseen; /* requests that others have sent, as expected, that are not
                    in the candidates yet; see bb_place_sends_unseen */
  double mean_prefill_ms; /* of the requests sent lately; where both are 0, */
  double mean_decode_ms;  /* the costs of the request itself are used */
};

/* Returns the index of the candidate where a request with the cost E takes and
   causes the least time until it is complete, or BB_PLACE_NONE where none is
   eligible.  It waits for the prompts pending there, and where all slots are
   in use for one of them; it and each request in decoding there lengthen each
   other's passes as long as both run; its prompt holds up streams that are
   close to their target.  A prompt that is larger than usual weighs pending
   prompts higher, so large ones are kept apart.  Without known costs (no
   engine) requests count as equal.

   An upstream is eligible if it is usable, was not tried, has fewer requests
   in flight than its maximum, responds or none does, its group has fewer
   requests than its limit, and the memory for E is free there.  An upstream
   with nothing in flight always has the memory, and so has any if OVERCOMMIT:
   set it for a request that has waited so long that preemption is the lesser
   evil, as otherwise small ones could starve it.

   With several groups the group is chosen first: where a request is complete
   the soonest, by the time of its passes and the work per upstream.  In the
   own failure domain upstreams are preferred while they are behind by less
   than a request.  Where others have sent UNSEEN requests, one or more, the
   group and the upstream are drawn, as by bb_balance_spread.  DRAW is a
   uniform random number from 0 to 1.  */
uint32_t bb_place_choose (const struct bb_place_pool *p,
                          const struct bb_cost_estimate *e, bool overcommit,
                          double draw);

#endif
