#include "internal.h"

double
engine_shortest_gap_ms (const struct bb_engine *e)
{
  return e->steps_per_pass * (e->step_ms + e->sequence_ms);
}
