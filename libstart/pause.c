/* Detection of pauses of the process.  */

#include "bilberry/start.h"

bb_ms
bb_pause_detector_check (struct bb_pause_detector *d, bb_ms steady_ms,
                         bb_ms boot_ms, bb_ms threshold_ms)
{
  bb_ms boot_offset_ms = boot_ms - steady_ms;
  bb_ms paused_ms = 0;

  if (d->checked_ms > 0)
    paused_ms
        = (steady_ms - d->checked_ms) + (boot_offset_ms - d->boot_offset_ms);
  d->checked_ms = steady_ms;
  d->boot_offset_ms = boot_offset_ms;
  return paused_ms > threshold_ms ? paused_ms : 0;
}
