#include "bilberry/start.h"

bb_ms
bb_wake_look (struct bb_wake *w, bb_ms steady_ms, bb_ms boot_ms,
              bb_ms longest_ms)
{
  bb_ms skew = boot_ms - steady_ms;
  bb_ms paused = 0;

  if (w->looked_ms > 0)
    paused = (steady_ms - w->looked_ms) + (skew - w->skew_ms);
  w->looked_ms = steady_ms;
  w->skew_ms = skew;
  return paused > longest_ms ? paused : 0;
}
