/* bb_model_admission by libadmit.  Agents of the model have no queue: a
   request that cannot start at once is refused.  */

#include "bilberry/admit.h"
#include "bilberry/model.h"

enum
{
  RETRY_AFTER_MS = 1000,
  REQUEST_ID = 1
};

/* A new bb_admit starts at its cold limit.  Engines of the model are warm at
   first, so the cold limit is set only after bb_admit_new has taken LIMIT.  */
static void *
create (uint32_t limit, uint32_t cold_limit)
{
  struct bb_admit_limits limits
      = { .limit = limit, .cold_limit = limit, .queue_max = 1 };
  struct bb_admit *a = bb_admit_new (&limits);

  limits.cold_limit = cold_limit;
  bb_admit_set_limits (a, &limits);
  return a;
}

static void
free_admit (void *a)
{
  bb_admit_free (a);
}

static bool
try_start (void *a, struct bb_request_result *v)
{
  struct bb_admit_request o = { .id = REQUEST_ID,
                                .customer = bb_bytes_of ("model"),
                                .weight = 1,
                                .tokens = 1,
                                .deadline_ms = INT64_MAX };
  uint64_t evicted;

  if (bb_admit_enqueue (a, &o, 0, &evicted, v))
    {
      if (bb_admit_next (a) == REQUEST_ID)
        return true;
      bb_admit_cancel (a, REQUEST_ID);
    }
  v->run = BB_RUN_NOT_RUN;
  v->reason
      = bb_admit_stats (a).cold ? BB_REASON_COLD_START : BB_REASON_OVERLOAD;
  v->retry_after_ms = RETRY_AFTER_MS;
  return false;
}

static void
end (void *a, bool succeeded)
{
  bb_admit_end (a, succeeded, 0);
}

static void
upstream_restarted (void *a)
{
  bb_admit_upstream_restarted (a);
}

static uint32_t
current_limit (const void *a)
{
  return bb_admit_stats (a).limit;
}

const struct bb_model_admission bb_model_libadmit = {
  create, free_admit, try_start, end, upstream_restarted, current_limit
};
