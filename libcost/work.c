#include "bilberry/cost.h"

#include <math.h>

enum
{
  US_PER_MS = 1000
};

/* The longest work that one request can count as: an hour.  */
static const double part_max_us = 3.6e9;

static int64_t
us_of (double ms)
{
  double us = ms * US_PER_MS;

  return us > 0 ? (int64_t)fmin (us, part_max_us) : 0;
}

static void
add_part (struct bb_work *w, const struct bb_work_part *p, int sign)
{
  w->prefill_us += sign * p->prefill_us;
  w->decode_us += sign * p->decode_us;
  w->memory_tokens += sign * p->memory_tokens;
}

void
bb_work_remove (struct bb_work *w, struct bb_work_part *p)
{
#ifndef BB_MUTANT_work_twice
  if (!p->counted)
    return;
#endif
  add_part (w, p, -1);
  w->requests--;
#ifndef BB_MUTANT_work_twice
  *p = (struct bb_work_part){ 0 };
#endif
}

void
bb_work_add (struct bb_work *w, struct bb_work_part *p,
             const struct bb_cost_estimate *e)
{
  if (p->counted)
    bb_work_remove (w, p);
  *p = (struct bb_work_part){ .prefill_us = us_of (e->prefill_ms),
                              .decode_us = us_of (e->decode_ms),
                              .memory_tokens = (int64_t)e->memory_tokens,
                              .counted = true };
  add_part (w, p, 1);
  w->requests++;
}

void
bb_work_progress (struct bb_work *w, struct bb_work_part *p,
                  const struct bb_cost_estimate *e, double produced_tokens)
{
  double left = bb_cost_remaining (e, produced_tokens);
  double tokens = fmax (produced_tokens + left, e->output_upper_tokens);

  if (!p->counted)
    return;
  if (e->output_max_tokens > 0)
    tokens = fmin (tokens, e->output_max_tokens);
  add_part (w, p, -1);
  p->prefill_us = 0;
  p->decode_us = us_of (left * e->decode_token_ms);
  p->memory_tokens = (int64_t)(e->prompt_tokens + tokens);
  add_part (w, p, 1);
}

double
bb_work_ms (const struct bb_work *w)
{
  return (double)(w->prefill_us + w->decode_us) / US_PER_MS;
}

double
bb_work_prefill_ms (const struct bb_work *w)
{
  return (double)w->prefill_us / US_PER_MS;
}
