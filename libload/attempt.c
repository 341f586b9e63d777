#include "bilberry/load.h"

enum
{
  /* Less is too short for another upstream to answer.  */
  RETRY_TIME_MIN_MS = 40,
  NOT_RUN_ATTEMPTS_MAX = 6 /* attempts of a request that has not run */
};

const char *
bb_outcome_name (enum bb_outcome o)
{
  static const char *const names[]
      = { "answered",  "failed", "unsent", "not_run",
          "elsewhere", "lost",   "silent" };

  return o < BB_OUTCOME_COUNT ? names[o] : "unknown";
}

static bool
may_have_run (const struct bb_attempt *a)
{
  return a->may_have_run || a->executions > 0;
}

enum bb_attempt_action
bb_attempt_final_action (const struct bb_attempt *a)
{
  if (a->answer_started)
    return BB_ATTEMPT_ABORT;
  if (a->outcome == BB_OUTCOME_FAILED)
    return BB_ATTEMPT_FORWARD;
  return may_have_run (a) ? BB_ATTEMPT_FAIL : BB_ATTEMPT_REFUSE;
}

enum bb_attempt_action
bb_attempt_next_action (const struct bb_attempt *a)
{
  bool retry;

  if (a->remaining_ms < RETRY_TIME_MIN_MS)
    return bb_attempt_final_action (a);
#ifndef BB_MUTANT_after_runs
  if (may_have_run (a))
    retry = a->idempotent && a->executions < a->executions_max;
  else
#endif
    retry = a->attempts < NOT_RUN_ATTEMPTS_MAX;
  if (a->answer_started && !a->resumable)
    retry = false;
  return retry ? BB_ATTEMPT_RETRY : bb_attempt_final_action (a);
}
