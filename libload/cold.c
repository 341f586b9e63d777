#include "bilberry/load.h"

enum
{
  SECOND_MS = 1000
};

bool
bb_meter_has_room (const struct bb_meter *m, bb_ms now, uint32_t max)
{
  uint32_t oldest;

  if (max == 0)
    return false;
  if (max > BB_METER_MAX)
    return true;
  oldest = (m->next + BB_METER_MAX - max) % BB_METER_MAX;
  return m->sent[oldest] == 0 || now - m->sent[oldest] > SECOND_MS;
}

void
bb_meter_add (struct bb_meter *m, bb_ms now)
{
  m->sent[m->next] = now;
  m->next = (m->next + 1) % BB_METER_MAX;
}

uint32_t
bb_cold_share (double per_s, uint32_t members)
{
  uint32_t share;

  if (per_s <= 0)
    return UINT32_MAX;
  share = (uint32_t)(per_s / (members ? members : 1));
  return share > 0 ? share : 1;
}
