#include "bilberry/admit.h"

#include <assert.h>

enum
{
  RETRY_AFTER_MS = 1000
};

static uint32_t
cold_limit (const struct bb_admit_limits *l)
{
  return l->cold_limit < l->limit ? l->cold_limit : l->limit;
}

void
bb_admit_init (struct bb_admit *a, const struct bb_admit_limits *limits)
{
  a->limits = *limits;
  a->limit = cold_limit (limits);
  a->in_flight = 0;
}

void
bb_admit_set_limits (struct bb_admit *a, const struct bb_admit_limits *limits)
{
  a->limits = *limits;
  if (a->limit > limits->limit)
    a->limit = limits->limit;
}

bool
bb_admit_start (struct bb_admit *a, struct bb_verdict *v)
{
  if (a->in_flight < a->limit)
    {
      a->in_flight++;
      return true;
    }
  v->run = BB_RUN_NOT_RUN;
  v->reason
      = a->limit < a->limits.limit ? BB_REASON_COLD_START : BB_REASON_OVERLOAD;
  v->retry_after_ms = RETRY_AFTER_MS;
  return false;
}

void
bb_admit_end (struct bb_admit *a, bool well)
{
  assert (a->in_flight > 0);
  a->in_flight--;
  if (well && a->limit < a->limits.limit)
    a->limit++;
}

void
bb_admit_restarted (struct bb_admit *a)
{
  a->limit = cold_limit (&a->limits);
}
