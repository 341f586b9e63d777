#include "bilberry/start.h"

bb_ms
bb_pause_detector_check (struct bb_pause_detector *w, bb_ms steady_ms,
                         bb_ms boot_ms, bb_ms longest_ms)
{
  bb_ms skew = boot_ms - steady_ms;
  bb_ms paused = 0;

  if (w->checked_ms > 0)
    paused = (steady_ms - w->checked_ms) + (skew - w->boot_offset_ms);
  w->checked_ms = steady_ms;
  w->boot_offset_ms = skew;
  return paused > longest_ms ? paused : 0;
}
