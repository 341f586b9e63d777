#ifndef BILBERRY_ROUTE_H
#define BILBERRY_ROUTE_H

/* libroute - decisions of an entry: which upstream, and whether to try again.
   Pure: no socket, no clock, no global.  Link with -lroute.  */

#include "bilberry/base.h"

#include <glib.h>

/* What an entry knows of one upstream that could serve a request.  */
struct bb_candidate
{
  uint32_t own_in_flight; /* sent by this entry and not ended */
  uint32_t reported;      /* in flight and queued, as the agent last said */
  uint32_t limit;         /* as the agent last said; 0 where it has not */
  bool tried;             /* this request was refused or failed there */
};

enum
{
  BB_ROUTE_NONE = UINT32_MAX
};

/* Chooses one of the candidates by power of two choices on load over limit.
   Candidates already tried come last.  Returns its index, or BB_ROUTE_NONE
   when COUNT is 0.  */
uint32_t bb_route_choose (const struct bb_candidate *c, uint32_t count,
                          GRand *rand);

/* Retries are paid from a budget that first tries fill.  */
struct bb_retry_budget
{
  uint32_t tokens; /* hundredths of a retry */
};

/* Adds what one first try earns.  */
void bb_retry_earn (struct bb_retry_budget *b);

/* What is known of a try that did not end well.  */
struct bb_try
{
  struct bb_verdict verdict;
  bool idempotent;
  bool answer_started; /* the caller has seen a part of the answer */
  uint32_t attempts;   /* made so far */
  bb_ms left_ms;       /* to the deadline */
};

/* Decides whether to try again; takes the price from the budget.  */
bool bb_retry_allow (struct bb_retry_budget *b, const struct bb_try *t);

#endif
