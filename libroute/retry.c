#include "bilberry/route.h"

enum
{
  EARN = 20, /* hundredths: one retry for five first tries */
  PRICE = 100,
  TOKENS_MAX = 10000,
  ATTEMPTS_MAX = 4,
  LEFT_MIN_MS = 10
};

void
bb_retry_earn (struct bb_retry_budget *b)
{
  b->tokens += EARN;
  if (b->tokens > TOKENS_MAX)
    b->tokens = TOKENS_MAX;
}

bool
bb_retry_allow (struct bb_retry_budget *b, const struct bb_try *t)
{
  if (t->answer_started || t->attempts >= ATTEMPTS_MAX
      || t->left_ms < LEFT_MIN_MS)
    return false;
  if (t->verdict.run != BB_RUN_NOT_RUN && !t->idempotent)
    return false;
  if (b->tokens < PRICE)
    return false;
  b->tokens -= PRICE;
  return true;
}
