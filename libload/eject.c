#include "bilberry/load.h"

enum
{
  FAILURES_MAX = 3,  /* in a row */
  OUT_MS = 1000,     /* the first time */
  OUT_MAX_MS = 4000, /* doubled up to this */
  TRIAL_MS = 1500    /* for a trial to end before another */
};

void
bb_eject_ok (struct bb_eject *e)
{
  e->failures = 0;
  e->times = 0;
  e->until_ms = 0;
  e->trial = false;
}

bool
bb_eject_failed (struct bb_eject *e, bb_ms now)
{
  bb_ms out = OUT_MS;

  e->failures++;
  if (!e->trial && e->failures < FAILURES_MAX)
    return false;
  for (uint32_t i = 0; i < e->times && out < OUT_MAX_MS; i++)
    out *= 2;
  e->times++;
  e->trial = false;
  e->failures = FAILURES_MAX;
  e->until_ms = now + out;
  return true;
}

void
bb_eject_sent (struct bb_eject *e, bb_ms now)
{
  if (e->until_ms == 0)
    return;
  e->trial = true;
  e->until_ms = now + TRIAL_MS;
}

bool
bb_eject_is_in (const struct bb_eject *e, bb_ms now)
{
  return e->until_ms == 0 || now >= e->until_ms;
}
