#include "bilberry/load.h"

#include <string.h>

/* Kept back from the allowance: entries learn late of each other.  */
static const double margin = 0.85;

void
bb_budget_init (struct bb_budget *b, bb_ms window_ms)
{
  memset (b, 0, sizeof *b);
  b->slice_ms = window_ms / (BB_BUDGET_SLICES - 1);
  if (b->slice_ms < 1)
    b->slice_ms = 1;
}

static uint32_t
slice_at (struct bb_budget *b, bb_ms now)
{
  bb_ms at = now / b->slice_ms;

  if (at - b->at >= BB_BUDGET_SLICES)
    b->at = at - BB_BUDGET_SLICES;
  while (b->at < at)
    {
      b->at++;
      b->requests[b->at % BB_BUDGET_SLICES] = 0;
      b->repeats[b->at % BB_BUDGET_SLICES] = 0;
    }
  return (uint32_t)(b->at % BB_BUDGET_SLICES);
}

void
bb_budget_request (struct bb_budget *b, bb_ms now)
{
  b->requests[slice_at (b, now)]++;
}

bool
bb_budget_repeat (struct bb_budget *b, bb_ms now, double ratio, uint32_t extra,
                  uint32_t members)
{
  uint32_t at = slice_at (b, now);
  double requests = 0;
  double repeats = 0;

  for (uint32_t i = 0; i < BB_BUDGET_SLICES; i++)
    {
      requests += b->requests[i];
      repeats += b->repeats[i];
    }
  if (repeats + 1
      > margin * (ratio * requests + (double)extra / (members ? members : 1)))
    return false;
  b->repeats[at]++;
  return true;
}
