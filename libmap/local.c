#include "workspace.h"

#include <math.h>

enum
{
  SEARCH_SWEEPS = 12, /* a split that is only compared */
  TARGETS = 8,        /* ranks that are looked at for a new replica */
  CANDIDATES = 4      /* changes that are tried out in one step */
};

/* Ends the search this close above the bound.  */
static const double good_enough = 1.003;

/* A change: slot SLOT takes EXPERT; where OTHER is not SLOT, slot OTHER takes
   in turn what SLOT held.  */
struct step
{
  uint32_t slot;
  uint32_t other;
  uint32_t expert;
  double promise; /* time that the slowest rank may give away */
};

struct search
{
  struct work *now;
  struct work *next;
  struct work *best;
  double score; /* of now */
  uint32_t budget;
  uint32_t *order;               /* ranks, fastest end first */
  struct step steps[CANDIDATES]; /* most promising first */
  uint32_t steps_count;
  uint32_t best_moves; /* of the best change */
  uint32_t moves;      /* of the changes made */
  uint32_t moves_max;
};

/* A smooth stand-in for the largest time, which also falls when one of
   several equally late ranks gets less.  */
static double
score_of (const struct work *w)
{
  double sum = 0;
  double mean = 0;

  for (uint32_t r = 0; r < w->in->size.ranks; r++)
    mean += work_time (w, r);
  mean /= w->in->size.ranks;
  for (uint32_t r = 0; r < w->in->size.ranks; r++)
    {
      double x = work_time (w, r) / mean;
      double x4 = x * x * x * x;
      sum += x4 * x4;
    }
  return sum * pow (mean, 8);
}

static void
order_ranks (struct search *s)
{
  const struct work *w = s->now;

  for (uint32_t i = 0; i < w->in->size.ranks; i++)
    {
      double t = work_time (w, i);
      uint32_t j = i;
      while (j > 0 && work_time (w, s->order[j - 1]) > t)
        {
          s->order[j] = s->order[j - 1];
          j--;
        }
      s->order[j] = i;
    }
}

/* Whether the expert in slot I can do without it.  */
static bool
is_spare (const struct work *w, uint32_t i)
{
  uint32_t e = w->expert[i];

  return e == BB_NO_EXPERT || w->first[e + 1] - w->first[e] > 1;
}

/* Whether RANK is in a failure domain where no replica of EXPERT stands.  */
static bool
is_new_domain (const struct work *w, uint32_t rank, uint32_t expert)
{
  const uint32_t *domain = w->in->domain;

  if (!domain)
    return false;
  for (uint32_t i = w->first[expert]; i < w->first[expert + 1]; i++)
    if (domain[w->holder[i] / w->in->size.slots] == domain[rank])
      return false;
  return true;
}

static void
apply (struct work *w, const struct step *step)
{
  uint16_t held = w->expert[step->slot];

  w->expert[step->slot] = (uint16_t)step->expert;
  if (step->other != step->slot)
    w->expert[step->other] = held;
  work_index (w);
}

/* Looks at one change and keeps it when it is the best so far.  */
static void
consider (struct search *s, const struct step *step, double *best)
{
  static const double domain_bonus = 1e-9; /* decides between equals */
  uint32_t moves = step->other == step->slot ? 1 : 2;
  struct work *kept;
  double score;

  if (s->budget == 0 || s->moves + moves > s->moves_max)
    return;
  s->budget--;
  work_copy (s->next, s->now);
  apply (s->next, step);
  work_split (s->next, SEARCH_SWEEPS);
  score = score_of (s->next);
  if (is_new_domain (s->now, step->slot / s->now->in->size.slots,
                     step->expert))
    score *= 1 - domain_bonus;
  if (score >= *best)
    return;
  *best = score;
  s->best_moves = moves;
  kept = s->best;
  s->best = s->next;
  s->next = kept;
}

/* Notes a change for trial when it is among the most promising.  */
static void
note (struct search *s, const struct step *step)
{
  uint32_t i = s->steps_count;

  if (i == CANDIDATES && step->promise <= s->steps[i - 1].promise)
    return;
  if (i < CANDIDATES)
    s->steps_count++;
  else
    i--;
  while (i > 0 && s->steps[i - 1].promise < step->promise)
    {
      s->steps[i] = s->steps[i - 1];
      i--;
    }
  s->steps[i] = *step;
}

/* Notes what could be done to give the expert in slot FROM a place on RANK:
   in place of a spare replica, or of an expert that goes the other way.  */
static void
note_rank (struct search *s, uint32_t from, uint32_t rank)
{
  const struct work *w = s->now;
  uint32_t slots = w->in->size.slots;
  double slow = work_time (w, from / slots);
  double gap = slow - work_time (w, rank);

  if (work_holds (w, rank, w->expert[from]))
    return;
  for (uint32_t i = rank * slots; i < (rank + 1) * slots; i++)
    {
      struct step step
          = { .slot = i,
              .other = i,
              .expert = w->expert[from],
              .promise = fmin (gap + w->part[i], w->part[from]) - w->part[i] };
      if (is_spare (w, i))
        note (s, &step);
      step.other = from;
      step.promise = fmin (w->part[from] - w->part[i],
                           gap - w->part[from] + w->part[i]);
      if (w->expert[i] != BB_NO_EXPERT
          && !work_holds (w, from / slots, w->expert[i]))
        note (s, &step);
    }
}

/* Makes the best change that takes load off the slowest rank.  */
static bool
improve (struct search *s)
{
  const struct bb_map_size *size = &s->now->in->size;
  uint32_t slowest;
  double best = s->score * (1 - 1e-6);
  double before = best;
  struct work *kept;

  order_ranks (s);
  slowest = s->order[size->ranks - 1];
  s->steps_count = 0;
  for (uint32_t i = slowest * size->slots; i < (slowest + 1) * size->slots;
       i++)
    if (s->now->expert[i] != BB_NO_EXPERT && s->now->part[i] > 0)
      for (uint32_t n = 0; n < MIN (TARGETS, size->ranks - 1); n++)
        note_rank (s, i, s->order[n]);
  for (uint32_t i = 0; i < s->steps_count; i++)
    consider (s, &s->steps[i], &best);
  if (best >= before)
    return false;
  kept = s->now;
  s->now = s->best;
  s->best = kept;
  s->score = score_of (s->now);
  s->moves += s->best_moves;
  return true;
}

static void
plan_local (const struct bb_layer_input *in,
            const struct bb_map_layer *present, uint32_t budget,
            struct bb_map_layer *out)
{
  struct search s = { .now = work_new (in, present),
                      .next = work_new (in, present),
                      .best = work_new (in, present),
                      .budget = budget,
                      .moves_max = in->moves_max ? in->moves_max : UINT32_MAX,
                      .order = g_new0 (uint32_t, in->size.ranks) };
  double target = bb_layer_bound (in) * good_enough;

  work_split (s.now, SPLIT_SWEEPS);
  s.score = score_of (s.now);
  while (s.budget > 0 && work_largest (s.now) > target && improve (&s))
    ;
  work_split (s.now, SPLIT_SWEEPS);
  work_store (s.now, out);
  work_free (s.now);
  work_free (s.next);
  work_free (s.best);
  g_free (s.order);
}

const struct bb_planner bb_planner_local
    = { .name = "local", .plan = plan_local };

const struct bb_planner *const bb_planners[]
    = { &bb_planner_greedy, &bb_planner_fill, &bb_planner_local, NULL };
