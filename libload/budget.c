#include "bilberry/load.h"

#include <string.h>

/* Kept back from the allowance: entries learn late of each other.  */
static const double safety_margin = 0.85;

void
bb_retry_window_init (struct bb_retry_window *b, bb_ms window_ms)
{
  memset (b, 0, sizeof *b);
  b->bucket_ms = window_ms / (BB_RETRY_WINDOW_BUCKETS - 1);
  if (b->bucket_ms < 1)
    b->bucket_ms = 1;
}

static uint32_t
advance_to (struct bb_retry_window *b, bb_ms now)
{
  bb_ms bucket = now / b->bucket_ms;

  if (bucket - b->newest_bucket >= BB_RETRY_WINDOW_BUCKETS)
    b->newest_bucket = bucket - BB_RETRY_WINDOW_BUCKETS;
  while (b->newest_bucket < bucket)
    {
      b->newest_bucket++;
      b->requests[b->newest_bucket % BB_RETRY_WINDOW_BUCKETS] = 0;
      b->retries[b->newest_bucket % BB_RETRY_WINDOW_BUCKETS] = 0;
    }
  return (uint32_t)(b->newest_bucket % BB_RETRY_WINDOW_BUCKETS);
}

void
bb_retry_window_add_request (struct bb_retry_window *b, bb_ms now)
{
  b->requests[advance_to (b, now)]++;
}

bool
bb_retry_window_take_retry (struct bb_retry_window *b, bb_ms now, double ratio,
                            uint32_t extra, uint32_t members)
{
  uint32_t bucket = advance_to (b, now);
  double requests = 0;
  double retries = 0;

  for (uint32_t i = 0; i < BB_RETRY_WINDOW_BUCKETS; i++)
    {
      requests += b->requests[i];
      retries += b->retries[i];
    }
  if (retries + 1
      > safety_margin
            * (ratio * requests + (double)extra / (members ? members : 1)))
    return false;
  b->retries[bucket]++;
  return true;
}
