/* Detects that this process was suspended.  */

#include "bilberry/route.h"

enum
{
  PAUSE_MIN_MS = 700 /* the gap between two checks is far shorter otherwise */
};

bool
bb_pause_check (struct bb_pause *p, bb_ms now_ms)
{
  bool paused
      = p->last_check_ms > 0 && now_ms - p->last_check_ms >= PAUSE_MIN_MS;

  p->last_check_ms = now_ms;
#ifndef BB_MUTANT_pause_check
  return paused;
#else
  return paused && now_ms < 0;
#endif
}
