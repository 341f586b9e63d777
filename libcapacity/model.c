/* Modelled duration of a pass.  */

#include "bilberry/capacity.h"

/* The skew of the experts' load ranges from 1.2 to 2.5; this is the geometric
   mean.  */
static const double skew_expected = 1.7;

struct bb_pass_model
bb_pass_model_of (const struct bb_engine *e)
{
  struct bb_pass_model m = { .prior_ratio = 1 };

  if (!e || e->steps_per_pass == 0 || !(e->step_ms > 0)
      || !(e->sequence_ms >= 0))
    return m;
  m.fixed_ms = e->steps_per_pass * e->step_ms;
  m.request_ms = e->steps_per_pass * e->sequence_ms;
  if (e->expert_time_share > 0)
    m.prior_ratio += MIN (e->expert_time_share, 1) * (skew_expected - 1);
  return m;
}

bool
bb_pass_model_is_known (const struct bb_pass_model *m)
{
  return m->fixed_ms > 0;
}

double
bb_pass_model_ms (const struct bb_pass_model *m, double requests_per_rank)
{
  return m->fixed_ms + m->request_ms * requests_per_rank;
}
