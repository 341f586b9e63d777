#include "bilberry/load.h"

enum
{
  WINDOW_MS = 1000
};

bool
bb_rate_limiter_allows (const struct bb_rate_limiter *m, bb_ms now,
                        uint32_t max)
{
  uint32_t oldest;

  if (max == 0)
    return false;
  if (max > BB_RATE_LIMITER_MAX)
    return true;
  oldest = (m->next_slot + BB_RATE_LIMITER_MAX - max) % BB_RATE_LIMITER_MAX;
  return m->sent_ms[oldest] == 0 || now - m->sent_ms[oldest] > WINDOW_MS;
}

void
bb_rate_limiter_record (struct bb_rate_limiter *m, bb_ms now)
{
  m->sent_ms[m->next_slot] = now;
  m->next_slot = (m->next_slot + 1) % BB_RATE_LIMITER_MAX;
}

uint32_t
bb_cold_start_share (double requests_per_s, uint32_t members)
{
  uint32_t share;

  if (requests_per_s <= 0)
    return UINT32_MAX;
  share = (uint32_t)(requests_per_s / (members ? members : 1));
  return share > 0 ? share : 1;
}
