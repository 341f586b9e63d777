/* Limit on the requests of a group, and the target that decides it.  */

#include "bilberry/capacity.h"

enum
{
  /* How long a limit stays after its last reason.  One slow pass can raise the
     ratio so far that the limit seems too costly, and the ratio takes longer
     than a second to decay.  */
  KEEP_MS = 2000
};

/* The events of one pass arrive within some milliseconds of each other.  */
static const double target_margin = 1.04;

/* What a late request counts, in requests that are on time.  */
static const double late_value = 0.5;

/* By how much another target must be better to replace the one that binds.  */
static const double replace_factor = 1.1;

/* The part of a pass that the requests take, with all slots in use, below
   which a limit gains nothing.  At a half, passes can be shortened by the
   factor 1.5 before half of the throughput is lost; shifts of skew alone
   change them by as much.  */
static const double requests_part_min = 0.5;

/* Throughput with N requests per rank, in requests per ms of a pass.  */
static double
throughput (const struct bb_pass_model *m, double n)
{
  return n / bb_pass_model_ms (m, n);
}

/* Whether passes get shorter with fewer requests than FULL per rank.  */
static bool
is_elastic (const struct bb_pass_model *m, double full)
{
#ifdef BB_MUTANT_capacity_part
  return true;
#endif
  return m->request_ms * full
         >= bb_pass_model_ms (m, full) * requests_part_min;
}

static bool
is_worth (const struct bb_pass_model *m, double n, double full)
{
#ifdef BB_MUTANT_capacity_half
  return true;
#endif
  return throughput (m, n) >= throughput (m, full) * late_value;
}

bool
bb_capacity_can_limit (const struct bb_pass_model *m, double slots_per_rank)
{
  return bb_pass_model_is_known (m) && is_elastic (m, slots_per_rank);
}

uint32_t
bb_capacity_limit (const struct bb_pass_model *m, double ratio,
                   bb_ms target_ms, uint32_t ranks, uint32_t slots)
{
  double budget_ms = (double)target_ms / target_margin / ratio;
  double full;
  double n;

  if (!bb_pass_model_is_known (m) || target_ms <= 0 || !(ratio > 0)
      || ranks == 0 || slots <= ranks)
    return BB_CAPACITY_NO_LIMIT;
  full = (double)slots / ranks;
  if (bb_pass_model_ms (m, full) <= budget_ms)
    return BB_CAPACITY_NO_LIMIT;
  if (bb_pass_model_ms (m, 1) > budget_ms || !is_elastic (m, full))
    return BB_CAPACITY_NO_LIMIT;
  n = (budget_ms - m->fixed_ms) / m->request_ms;
  if (!is_worth (m, n, full))
    return BB_CAPACITY_NO_LIMIT;
  return MAX ((uint32_t)(n * ranks), ranks);
}

static uint32_t
limit_for (const struct bb_capacity_load *l, double ratio, bb_ms target_ms)
{
  return bb_capacity_limit (&l->model, ratio, target_ms, l->ranks, l->slots);
}

/* Returns the sum of the rates under LIMIT, a late request counting less,
   times the throughput.  */
static double
value_of (const struct bb_capacity_load *l, double ratio, uint32_t limit)
{
  double n = (double)MIN (limit, l->slots) / l->ranks;
  double pass_ms = bb_pass_model_ms (&l->model, n) * ratio * target_margin;
  double sum = 0;

  for (uint32_t i = 0; i < l->targets_count; i++)
    {
      const struct bb_target_rate *t = &l->targets[i];
      /* Targets are whole milliseconds.  */
      bool on_time = t->target_ms <= 0 || pass_ms < (double)t->target_ms + 1;
      sum += t->requests_per_s * (on_time ? 1 : late_value);
    }
  return sum * throughput (&l->model, n);
}

/* Returns the target that binds, BEFORE having been the one so far.  */
static bb_ms
choose_target (const struct bb_capacity_load *l, double ratio, bb_ms before)
{
  bool stays = limit_for (l, ratio, before) != BB_CAPACITY_NO_LIMIT;
  bb_ms best = stays ? before : 0;
  double most = value_of (l, ratio, limit_for (l, ratio, best));
  bb_ms held = best;
  double least = most;

#ifndef BB_MUTANT_capacity_hysteresis
  least *= replace_factor;
#endif
  for (uint32_t i = 0; i <= l->targets_count; i++)
    {
      bb_ms target = i < l->targets_count ? l->targets[i].target_ms : 0;
      uint32_t limit = limit_for (l, ratio, target);
      double value = value_of (l, ratio, limit);
      if (limit == BB_CAPACITY_NO_LIMIT)
        target = 0;
      if (target == held || value <= most || value <= least)
        continue;
      best = target;
      most = value;
    }
  return best;
}

/* Whether the limit before stays although there is no reason any more.  */
static bool
is_kept (const struct bb_capacity *c, bb_ms now)
{
#ifdef BB_MUTANT_capacity_keep
  return false;
#endif
  return c->limit != 0 && c->limit != BB_CAPACITY_NO_LIMIT
         && now - c->limited_ms < KEEP_MS;
}

uint32_t
bb_capacity_update (struct bb_capacity *c, const struct bb_capacity_load *load,
                    double ratio, bb_ms now)
{
  uint32_t limit = BB_CAPACITY_NO_LIMIT;

  if (load->ranks > 0 && bb_pass_model_is_known (&load->model))
    {
      c->target_ms = choose_target (load, ratio, c->target_ms);
      limit = limit_for (load, ratio, c->target_ms);
    }
  if (limit != BB_CAPACITY_NO_LIMIT)
    c->limited_ms = now;
  else if (is_kept (c, now))
    return c->limit;
  c->limit = limit;
  return limit;
}
