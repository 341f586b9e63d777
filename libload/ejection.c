#include "bilberry/load.h"

enum
{
  CONSECUTIVE_FAILURES_MAX = 3, /* failures in a row that cause an ejection */
  EJECTION_MS = 1000,           /* length of the first ejection */
  /* The length doubles with each further consecutive ejection up to this.  */
  EJECTION_MAX_MS = 4000,
  TRIAL_TIMEOUT_MS = 1500 /* another trial request is allowed after this */
};

void
bb_ejection_ok (struct bb_ejection *e)
{
  e->consecutive_failures = 0;
  e->consecutive_ejections = 0;
  e->until_ms = 0;
  e->trial = false;
}

bool
bb_ejection_failed (struct bb_ejection *e, bb_ms now)
{
  bb_ms duration_ms = EJECTION_MS;

  e->consecutive_failures++;
  if (!e->trial && e->consecutive_failures < CONSECUTIVE_FAILURES_MAX)
    return false;
  for (uint32_t i = 0;
       i < e->consecutive_ejections && duration_ms < EJECTION_MAX_MS; i++)
    duration_ms *= 2;
  e->consecutive_ejections++;
  e->trial = false;
  e->consecutive_failures = CONSECUTIVE_FAILURES_MAX;
  e->until_ms = now + duration_ms;
  return true;
}

void
bb_ejection_sent (struct bb_ejection *e, bb_ms now)
{
  if (e->until_ms == 0)
    return;
  e->trial = true;
  e->until_ms = now + TRIAL_TIMEOUT_MS;
}

bool
bb_ejection_is_usable (const struct bb_ejection *e, bb_ms now)
{
  return e->until_ms == 0 || now >= e->until_ms;
}
