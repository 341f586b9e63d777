#include "bilberry/load.h"

enum
{
  LEFT_LEAST_MS = 40, /* less is no use to another upstream */
  UNRUN_TRIES_MAX = 6 /* of a request that has not run */
};

const char *
bb_outcome_name (enum bb_outcome o)
{
  static const char *const names[]
      = { "answered",  "failed", "unsent", "not_run",
          "elsewhere", "lost",   "silent" };

  return o < BB_OUTCOMES ? names[o] : "unknown";
}

static bool
has_run (const struct bb_after *a)
{
  return a->may_have_run || a->runs > 0;
}

enum bb_next
bb_after_without_retry (const struct bb_after *a)
{
  if (a->answer_started)
    return BB_NEXT_ABORT;
  if (a->outcome == BB_OUTCOME_FAILED)
    return BB_NEXT_PASS_ON;
  return has_run (a) ? BB_NEXT_FAIL : BB_NEXT_REFUSE;
}

enum bb_next
bb_after_decide (const struct bb_after *a)
{
  bool again;

  if (a->left_ms < LEFT_LEAST_MS)
    return bb_after_without_retry (a);
#ifndef BB_MUTANT_after_runs
  if (has_run (a))
    again = a->repeatable && a->runs < a->attempts;
  else
#endif
    again = a->tries < UNRUN_TRIES_MAX;
  if (a->answer_started && !a->resumable)
    again = false;
  return again ? BB_NEXT_RETRY : bb_after_without_retry (a);
}
