#include "bilberry/route.h"

enum
{
  EARN = 20,          /* hundredths: one retry for five first tries */
  PRICE_RUN = 100,    /* the try before may have cost an upstream work */
  PRICE_NOT_RUN = 20, /* it cost a message */
  TOKENS_MAX = 10000,
  RESERVE_MAX = 1000,  /* hundredths that time alone fills */
  RESERVE_PER_S = 200, /* hundredths */
  ATTEMPTS_MAX = 4,
  CRASHES_MAX = 2, /* upstreams that one request may be in flight at when
                      they fail */
  LEFT_MIN_MS = 10
};

/* A quiet entry has few first tries; time fills a small reserve for it.  */
static void
fill_reserve (struct bb_retry_budget *b, bb_ms now_ms)
{
  bb_ms gain = (now_ms - b->refilled_ms) * RESERVE_PER_S / 1000;

  if (gain <= 0)
    return;
  b->refilled_ms = now_ms;
  if (b->tokens >= RESERVE_MAX)
    return;
  b->tokens = gain >= RESERVE_MAX - (bb_ms)b->tokens
                  ? RESERVE_MAX
                  : b->tokens + (uint32_t)gain;
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
  fill_reserve (b, now_ms);
  b->tokens += EARN;
  if (b->tokens > TOKENS_MAX)
    b->tokens = TOKENS_MAX;
}

/* Whether the upstream that gave V may take the same request at once.  */
static bool
helps_at_same (const struct bb_verdict *v)
{
  return v->reason == BB_REASON_UPSTREAM_FAILED
         || v->reason == BB_REASON_AGENT_LOST
         || v->reason == BB_REASON_STALE_INCARNATION;
}

uint32_t
bb_retry_cost (const struct bb_verdict *v)
{
  return v->run == BB_RUN_NOT_RUN ? PRICE_NOT_RUN : PRICE_RUN;
}

bool
bb_retry_allow (struct bb_retry_budget *b, const struct bb_retry_attempt *t)
{
  uint32_t price = bb_retry_cost (&t->verdict);

  if (t->attempts >= ATTEMPTS_MAX || t->remaining_ms < LEFT_MIN_MS)
    return false;
#ifndef BB_MUTANT_retry_crashes
  if (t->crashes >= CRASHES_MAX)
    return false;
#endif
  if (t->answer_started && !t->resumable)
    return false;
#ifndef BB_MUTANT_retry_not_run
  if (t->verdict.run != BB_RUN_NOT_RUN && !t->idempotent)
    return false;
#endif
  if (t->upstream_tried && !helps_at_same (&t->verdict))
    return false;
#ifndef BB_MUTANT_retry_budget
  if (b->tokens < price)
    return false;
#endif
  b->tokens -= b->tokens < price ? b->tokens : price;
  return true;
}

enum bb_retry_action
bb_retry_decide (struct bb_retry_budget *b, const struct bb_retry_attempt *t)
{
  if (!t->upstream_available && !t->reports_pending)
    return BB_RETRY_REFUSE;
#ifndef BB_MUTANT_retry_wait
  if (!bb_retry_allow (b, t))
    return BB_RETRY_REFUSE;
#else
  if (t->upstream_available && !bb_retry_allow (b, t))
    return BB_RETRY_REFUSE;
#endif
  return t->upstream_available ? BB_RETRY_SEND : BB_RETRY_WAIT;
}

void
bb_verdict_merge (struct bb_verdict *all, const struct bb_verdict *v)
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
