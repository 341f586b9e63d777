/* Retry budget of an entry and the rules for retries.  */

#include "bilberry/route.h"

enum
{
  /* Amounts of the budget are in hundredths of a retry.  */
  DEPOSIT = 20, /* added for each first attempt */
  /* Cost where the last attempt may have used an upstream's time.  */
  COST_MAYBE_RUN = 100,
  /* Cost where the last attempt used no more than a message.  */
  COST_NOT_RUN = 20,
  TOKENS_MAX = 10000,
  RESERVE_MAX = 1000, /* limit up to which the budget refills with time */
  RESERVE_PER_S = 200,
  ATTEMPTS_MAX = 4,
  /* Number of upstreams that failed with the request in flight at which it is
     no longer retried, since it may be the cause.  */
  CRASHES_MAX = 2,
  REMAINING_MIN_MS = 10
};

/* Refills the reserve by the time since the last refill.  Without it, an entry
   with few requests could not retry.  */
static void
refill_reserve (struct bb_retry_budget *b, bb_ms now_ms)
{
  bb_ms refill = (now_ms - b->refilled_ms) * RESERVE_PER_S / 1000;

  if (refill <= 0)
    return;
  b->refilled_ms = now_ms;
  if (b->tokens >= RESERVE_MAX)
    return;
  b->tokens = refill >= RESERVE_MAX - (bb_ms)b->tokens
                  ? RESERVE_MAX
                  : b->tokens + (uint32_t)refill;
}

void
bb_retry_budget_init (struct bb_retry_budget *b, bb_ms now_ms)
{
  b->tokens = RESERVE_MAX;
  b->refilled_ms = now_ms;
}

void
bb_retry_budget_deposit (struct bb_retry_budget *b, bb_ms now_ms)
{
  refill_reserve (b, now_ms);
  b->tokens += DEPOSIT;
  if (b->tokens > TOKENS_MAX)
    b->tokens = TOKENS_MAX;
}

/* Returns whether an immediate retry at the upstream that gave V may succeed.
 */
static bool
may_retry_at_same (const struct bb_request_result *v)
{
  return v->reason == BB_REASON_UPSTREAM_FAILED
         || v->reason == BB_REASON_AGENT_LOST
         || v->reason == BB_REASON_STALE_INCARNATION;
}

uint32_t
bb_retry_cost (const struct bb_request_result *v)
{
  return v->run == BB_RUN_NOT_RUN ? COST_NOT_RUN : COST_MAYBE_RUN;
}

bool
bb_retry_allow (struct bb_retry_budget *b, const struct bb_retry_attempt *a)
{
  uint32_t cost = bb_retry_cost (&a->result);

  if (a->attempts >= ATTEMPTS_MAX || a->remaining_ms < REMAINING_MIN_MS)
    return false;
#ifndef BB_MUTANT_retry_crashes
  if (a->crashes >= CRASHES_MAX)
    return false;
#endif
  if (a->answer_started && !a->resumable)
    return false;
#ifndef BB_MUTANT_retry_not_run
  if (a->result.run != BB_RUN_NOT_RUN && !a->idempotent)
    return false;
#endif
  if (a->upstream_tried && !may_retry_at_same (&a->result))
    return false;
#ifndef BB_MUTANT_retry_budget
  if (b->tokens < cost)
    return false;
#endif
  b->tokens -= b->tokens < cost ? b->tokens : cost;
  return true;
}

enum bb_retry_action
bb_retry_decide (struct bb_retry_budget *b, const struct bb_retry_attempt *a)
{
  if (!a->upstream_available && !a->reports_pending)
    return BB_RETRY_REFUSE;
#ifndef BB_MUTANT_retry_wait
  if (!bb_retry_allow (b, a))
    return BB_RETRY_REFUSE;
#else
  if (a->upstream_available && !bb_retry_allow (b, a))
    return BB_RETRY_REFUSE;
#endif
  return a->upstream_available ? BB_RETRY_SEND : BB_RETRY_WAIT;
}

void
bb_request_result_merge (struct bb_request_result *all,
                         const struct bb_request_result *v)
{
#ifndef BB_MUTANT_verdict_join
  if (v->run > all->run)
    all->run = v->run;
#else
  all->run = v->run;
#endif
  all->reason = v->reason;
  if (v->retry_after_ms > 0
      && (all->retry_after_ms == 0 || v->retry_after_ms < all->retry_after_ms))
    all->retry_after_ms = v->retry_after_ms;
}
