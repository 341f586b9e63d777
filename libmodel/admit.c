/* Admission by bb_admit, as a table.  */

#include "bilberry/admit.h"
#include "bilberry/model.h"

static void *
make (uint32_t limit, uint32_t cold_limit)
{
  struct bb_admit_limits limits = { .limit = limit, .cold_limit = cold_limit };
  struct bb_admit *a = g_new0 (struct bb_admit, 1);

  bb_admit_init (a, &limits);
  a->limit = limit; /* engines of the model are warm at first */
  return a;
}

static bool
start (void *a, struct bb_verdict *v)
{
  return bb_admit_start (a, v);
}

static void
end (void *a, bool well)
{
  bb_admit_end (a, well);
}

static void
restarted (void *a)
{
  bb_admit_restarted (a);
}

static uint32_t
limit_of (const void *a)
{
  return ((const struct bb_admit *)a)->limit;
}

const struct bb_model_admit bb_model_admit_limit
    = { make, g_free, start, end, restarted, limit_of };
