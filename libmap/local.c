#include "workspace.h"

#include <math.h>

enum
{
  /* Limit on the sweeps of a split that only ranks candidates.  */
  SEARCH_SWEEPS = 12,
  TARGET_RANKS_MAX = 8, /* number of fastest ranks considered for a replica */
  CANDIDATES_MAX = 4    /* number of changes evaluated in one iteration */
};

/* The search ends at this multiple of the lower bound.  */
static const double target_ratio = 1.003;

/* A change of the layer: slot SLOT gets EXPERT; where OTHER differs from SLOT,
   slot OTHER gets the expert that SLOT had.  */
struct change
{
  uint32_t slot;
  uint32_t other;
  uint32_t expert;
  double max_gain; /* estimate of what the slowest rank can give away */
};

struct search
{
  struct workspace *current;
  struct workspace *trial;
  struct workspace *best;
  double score; /* score of current, lower is better */
  uint32_t budget;
  uint32_t *rank_order; /* ranks, least time first */
  /* Changes to evaluate, largest gain first.  */
  struct change candidates[CANDIDATES_MAX];
  uint32_t candidate_count;
  /* Weights moved by the change that led to best.  */
  uint32_t best_change_moves;
  uint32_t moves; /* weights moved by all changes applied */
  uint32_t moves_max;
};

/* Returns a smooth substitute for the largest time, the sum of the eighth
   powers of the times.  Unlike the maximum, it also falls when only one of
   several equally slow ranks gets less load.  */
static double
smooth_max_time (const struct workspace *w)
{
  double sum = 0;
  double mean = 0;

  for (uint32_t r = 0; r < w->in->size.ranks; r++)
    mean += workspace_rank_time (w, r);
  mean /= w->in->size.ranks;
  for (uint32_t r = 0; r < w->in->size.ranks; r++)
    {
      double x = workspace_rank_time (w, r) / mean;
      double x4 = x * x * x * x;
      sum += x4 * x4;
    }
  return sum * pow (mean, 8);
}

static void
order_ranks (struct search *s)
{
  const struct workspace *w = s->current;

  for (uint32_t i = 0; i < w->in->size.ranks; i++)
    {
      double t = workspace_rank_time (w, i);
      uint32_t j = i;
      while (j > 0 && workspace_rank_time (w, s->rank_order[j - 1]) > t)
        {
          s->rank_order[j] = s->rank_order[j - 1];
          j--;
        }
      s->rank_order[j] = i;
    }
}

/* Returns whether slot I is empty or its expert has another replica.  */
static bool
is_removable (const struct workspace *w, uint32_t i)
{
  uint32_t e = w->expert[i];

  return e == BB_NO_EXPERT || w->first_holder[e + 1] - w->first_holder[e] > 1;
}

/* Returns whether RANK is in a failure domain without a replica of EXPERT.  */
static bool
is_new_domain (const struct workspace *w, uint32_t rank, uint32_t expert)
{
  const uint32_t *domain = w->in->domain;

  if (!domain)
    return false;
  for (uint32_t i = w->first_holder[expert]; i < w->first_holder[expert + 1];
       i++)
    if (domain[w->holders[i] / w->in->size.slots] == domain[rank])
      return false;
  return true;
}

static void
apply_change (struct workspace *w, const struct change *change)
{
  uint16_t held = w->expert[change->slot];

  w->expert[change->slot] = (uint16_t)change->expert;
  if (change->other != change->slot)
    w->expert[change->other] = held;
  workspace_index (w);
}

/* Evaluates CHANGE on a copy of the layer and keeps that as the best where its
   score is below *BEST.  */
static void
evaluate_change (struct search *s, const struct change *change, double *best)
{
  static const double domain_bonus = 1e-9; /* only breaks ties */
  uint32_t moves = change->other == change->slot ? 1 : 2;
  struct workspace *previous_best;
  double score;

  if (s->budget == 0 || s->moves + moves > s->moves_max)
    return;
  s->budget--;
  workspace_copy (s->trial, s->current);
  apply_change (s->trial, change);
  workspace_split (s->trial, SEARCH_SWEEPS);
  score = smooth_max_time (s->trial);
  if (is_new_domain (s->current, change->slot / s->current->in->size.slots,
                     change->expert))
    score *= 1 - domain_bonus;
  if (score >= *best)
    return;
  *best = score;
  s->best_change_moves = moves;
  previous_best = s->best;
  s->best = s->trial;
  s->trial = previous_best;
}

/* Adds CHANGE to the candidates where its estimated gain is among the largest
   CANDIDATES_MAX.  */
static void
add_candidate (struct search *s, const struct change *change)
{
  uint32_t i = s->candidate_count;

  if (i == CANDIDATES_MAX && change->max_gain <= s->candidates[i - 1].max_gain)
    return;
  if (i < CANDIDATES_MAX)
    s->candidate_count++;
  else
    i--;
  while (i > 0 && s->candidates[i - 1].max_gain < change->max_gain)
    {
      s->candidates[i] = s->candidates[i - 1];
      i--;
    }
  s->candidates[i] = *change;
}

/* Adds the candidates that put the expert of slot FROM on RANK: as a further
   replica in a removable slot, or swapped with another expert.  */
static void
add_rank_candidates (struct search *s, uint32_t from, uint32_t rank)
{
  const struct workspace *w = s->current;
  uint32_t slots = w->in->size.slots;
  double slowest_time = workspace_rank_time (w, from / slots);
  double gap = slowest_time - workspace_rank_time (w, rank);

  if (workspace_rank_has (w, rank, w->expert[from]))
    return;
  for (uint32_t i = rank * slots; i < (rank + 1) * slots; i++)
    {
      struct change change
          = { .slot = i,
              .other = i,
              .expert = w->expert[from],
              .max_gain = fmin (gap + w->slot_load[i], w->slot_load[from])
                          - w->slot_load[i] };
      if (is_removable (w, i))
        add_candidate (s, &change);
      change.other = from;
      change.max_gain = fmin (w->slot_load[from] - w->slot_load[i],
                              gap - w->slot_load[from] + w->slot_load[i]);
      if (w->expert[i] != BB_NO_EXPERT
          && !workspace_rank_has (w, from / slots, w->expert[i]))
        add_candidate (s, &change);
    }
}

/* Applies the best change that takes load off the slowest rank.  Returns false
   where none improves the score.  */
static bool
apply_best_change (struct search *s)
{
  const struct bb_map_size *size = &s->current->in->size;
  uint32_t slowest;
  double best = s->score * (1 - 1e-6);
  double before = best;
  struct workspace *previous;

  order_ranks (s);
  slowest = s->rank_order[size->ranks - 1];
  s->candidate_count = 0;
  for (uint32_t i = slowest * size->slots; i < (slowest + 1) * size->slots;
       i++)
    if (s->current->expert[i] != BB_NO_EXPERT && s->current->slot_load[i] > 0)
      for (uint32_t n = 0; n < MIN (TARGET_RANKS_MAX, size->ranks - 1); n++)
        add_rank_candidates (s, i, s->rank_order[n]);
  for (uint32_t i = 0; i < s->candidate_count; i++)
    evaluate_change (s, &s->candidates[i], &best);
  if (best >= before)
    return false;
  previous = s->current;
  s->current = s->best;
  s->best = previous;
  s->score = smooth_max_time (s->current);
  s->moves += s->best_change_moves;
  return true;
}

static void
plan_local (const struct bb_layer_input *in,
            const struct bb_map_layer *current, uint32_t budget,
            struct bb_map_layer *out)
{
  struct search s = { .current = workspace_new (in, current),
                      .trial = workspace_new (in, current),
                      .best = workspace_new (in, current),
                      .budget = budget,
                      .moves_max = in->moves_max ? in->moves_max : UINT32_MAX,
                      .rank_order = g_new0 (uint32_t, in->size.ranks) };
  double target = bb_layer_bound (in) * target_ratio;

  workspace_split (s.current, SPLIT_SWEEPS);
  s.score = smooth_max_time (s.current);
  while (s.budget > 0 && workspace_max_time (s.current) > target
         && apply_best_change (&s))
    ;
  workspace_split (s.current, SPLIT_SWEEPS);
  workspace_store (s.current, out);
  workspace_free (s.current);
  workspace_free (s.trial);
  workspace_free (s.best);
  g_free (s.rank_order);
}

const struct bb_planner bb_planner_local
    = { .name = "local", .plan = plan_local };

const struct bb_planner *const bb_planners[]
    = { &bb_planner_greedy, &bb_planner_fill, &bb_planner_local, NULL };
