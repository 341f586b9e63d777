#include "workspace.h"

#include <string.h>

/* Times summed over all layers.  All ranks wait for the slowest one in each
   layer, so the largest times add up.  */
struct layer_time_sums
{
  double largest;
  double mean;
  double bound;
};

static uint32_t
layer_moves (const struct bb_map_size *size, const struct bb_map_layer *old,
             const struct bb_map_layer *next)
{
  struct bb_map a = { .size = *size, .layers = (struct bb_map_layer *)old };
  struct bb_map b = { .size = *size, .layers = (struct bb_map_layer *)next };

  a.size.layers = 1;
  b.size.layers = 1;
  return bb_map_moves (&a, &b);
}

static void
copy_layer (const struct bb_map_size *size, struct bb_map_layer *to,
            const struct bb_map_layer *from)
{
  size_t bytes = (size_t)size->ranks * size->slots * sizeof (uint16_t);

  memcpy (to->expert, from->expert, bytes);
  memcpy (to->share, from->share, bytes);
}

/* Returns the time in ms gained over the horizon by the layer CANDIDATE
   compared with CURRENT, minus the cost of its moves.  LAYER_FRACTION is the
   fraction of the time of a step spent in this layer.  */
static double
net_gain (const struct bb_layer_input *in, const struct bb_plan_cost *cost,
          double layer_fraction, const struct bb_map_layer *current,
          const struct bb_map_layer *candidate)
{
  double before = bb_layer_time (in, current).largest;
  double after = bb_layer_time (in, candidate).largest;

  return (double)cost->horizon_ms * layer_fraction * (before - after) / before
         - cost->move_ms * layer_moves (&in->size, current, candidate);
}

/* The plan of one layer.  */
struct layer_plan
{
  const struct bb_layer_input *in;
  const struct bb_plan_cost *cost;
  /* Fraction of the time of a step spent in this layer.  */
  double layer_fraction;
  const struct bb_map_layer *current;
  struct bb_map_layer *next; /* the best layer so far */
  struct bb_map_layer *candidate;
  double best_gain_ms;
};

static void
keep_better (struct layer_plan *t)
{
  double net
      = net_gain (t->in, t->cost, t->layer_fraction, t->current, t->candidate);

  if (net <= t->best_gain_ms)
    return;
  t->best_gain_ms = net;
  copy_layer (&t->in->size, t->next, t->candidate);
}

/* Tries a layer that PLANNER builds regardless of the current one, its ranks
   permuted to move few weights.  */
static void
try_rebuilt (struct layer_plan *t, const struct bb_planner *planner,
             struct bb_map_layer *rebuilt)
{
  if (t->cost->shares_only || t->in->speed || t->in->moves_max > 0)
    return;
  planner->plan (t->in, t->current, 0, rebuilt);
  relabel_ranks (&t->in->size, t->current, rebuilt, t->candidate);
  keep_better (t);
}

/* Plans one layer: tries new shares alone, a short search, a long search and a
   rebuilt layer, and keeps the one with the largest net gain.  */
static void
plan_layer (struct layer_plan *t, struct bb_map_layer *scratch)
{
  const uint32_t budgets[] = { 0, t->cost->budget / 8, t->cost->budget };

  t->best_gain_ms = 0;
  copy_layer (&t->in->size, t->next, t->current);
  for (size_t i = 0; i < sizeof budgets / sizeof *budgets; i++)
    {
      if (t->cost->shares_only && budgets[i] > 0)
        break;
      bb_planner_local.plan (t->in, t->current, budgets[i], t->candidate);
      keep_better (t);
    }
  try_rebuilt (
      t, t->in->split == BB_SPLIT_EVEN ? &bb_planner_greedy : &bb_planner_fill,
      scratch);
}

static struct layer_time_sums
sum_layers (const struct bb_layer_input *in, const double *load,
            const struct bb_map *map)
{
  struct bb_layer_input layer = *in;
  struct layer_time_sums s = { 0 };

  for (uint32_t l = 0; l < in->size.layers; l++)
    {
      struct bb_layer_time t;
      layer.load = load + (size_t)l * in->size.experts;
      t = bb_layer_time (&layer, &map->layers[l]);
      s.largest += t.largest;
      s.mean += t.mean;
      s.bound += bb_layer_bound (&layer);
    }
  return s;
}

struct bb_planning
{
  struct bb_layer_input in;
  struct bb_plan_cost cost;
  const double *load;
  const struct bb_map *current;
  struct bb_map *next;
  struct bb_map *candidate;
  struct bb_map *scratch;
  struct layer_time_sums before;
  uint32_t next_layer; /* layer that the next step plans */
  /* Limit on the moves of each layer in the second pass; NULL in the first
     one.  */
  uint32_t *layer_moves_max;
};

struct bb_planning *
bb_planning_new (const struct bb_layer_input *in, const double *load,
                 const struct bb_plan_cost *cost, const struct bb_map *current)
{
  struct bb_planning *p = g_new0 (struct bb_planning, 1);

  p->in = *in;
  p->cost = *cost;
  p->load = load;
  p->current = current;
  p->next = bb_map_copy (current);
  p->candidate = bb_map_copy (current);
  p->scratch = bb_map_copy (current);
  p->before = sum_layers (in, load, current);
  return p;
}

void
bb_planning_free (struct bb_planning *p)
{
  if (!p)
    return;
  bb_map_free (p->next);
  bb_map_free (p->candidate);
  bb_map_free (p->scratch);
  g_free (p->layer_moves_max);
  g_free (p);
}

/* Divides the moves of one switch among the layers in proportion to the time
   that each gains in the first pass; each gets at least one.  */
static void
set_layer_limits (struct bb_planning *p)
{
  struct bb_layer_input layer = p->in;
  uint32_t layers = p->in.size.layers;
  double *gain = g_new0 (double, layers);
  double total = 1e-300;

  p->layer_moves_max = g_new0 (uint32_t, layers);
  for (uint32_t l = 0; l < layers; l++)
    {
      layer.load = p->load + (size_t)l * p->in.size.experts;
      gain[l] = bb_layer_time (&layer, &p->current->layers[l]).largest
                - bb_layer_time (&layer, &p->next->layers[l]).largest;
      total += gain[l];
    }
  for (uint32_t l = 0; l < layers; l++)
    p->layer_moves_max[l]
        = MAX (1, (uint32_t)(p->cost.moves_max * gain[l] / total));
  g_free (gain);
}

/* Returns whether the plan of the first pass exceeds the limit on moves.  The
   second pass then plans the most useful moves; later switches make the
   others.  */
static bool
needs_second_pass (const struct bb_planning *p)
{
  return !p->layer_moves_max && p->cost.moves_max > 0
         && bb_map_moves (p->current, p->next) > p->cost.moves_max;
}

bool
bb_planning_step (struct bb_planning *p)
{
  uint32_t l = p->next_layer;
  struct bb_layer_input layer = p->in;
  struct layer_plan t = { .in = &layer, .cost = &p->cost };

  if (l == p->in.size.layers)
    {
      if (!needs_second_pass (p))
        return false;
      set_layer_limits (p);
      l = 0;
    }
  layer.load = p->load + (size_t)l * p->in.size.experts;
  layer.moves_max = p->layer_moves_max ? p->layer_moves_max[l] : 0;
  t.current = &p->current->layers[l];
  t.next = &p->next->layers[l];
  t.candidate = &p->candidate->layers[l];
  t.layer_fraction
      = bb_layer_time (&layer, t.current).largest / p->before.largest;
  plan_layer (&t, &p->scratch->layers[l]);
  p->next_layer = l + 1;
  return true;
}

struct bb_plan
bb_planning_result (const struct bb_planning *p, struct bb_map *next)
{
  const struct bb_plan_cost *cost = &p->cost;
  struct layer_time_sums after = sum_layers (&p->in, p->load, p->next);
  double saving = (p->before.largest - after.largest) / p->before.largest;
  struct bb_plan plan = { 0 };

  plan.moves = bb_map_moves (p->current, p->next);
  plan.gain_ms = (double)cost->horizon_ms * saving;
  plan.cost_ms = (double)cost->pause_ms + cost->move_ms * plan.moves;
  plan.worthwhile
      = plan.gain_ms > plan.cost_ms
        && (double)cost->refresh_ms * saving > (double)cost->pause_ms;
  for (uint32_t l = 0; l < p->in.size.layers; l++)
    copy_layer (&p->in.size, &next->layers[l],
                plan.worthwhile ? &p->next->layers[l]
                                : &p->current->layers[l]);
  plan.skew_before = p->before.largest / p->before.mean;
  plan.skew_after
      = plan.worthwhile ? after.largest / after.mean : plan.skew_before;
  plan.skew_bound = p->before.bound / p->before.mean;
  return plan;
}

struct bb_plan
bb_plan (const struct bb_layer_input *in, const double *load,
         const struct bb_plan_cost *cost, const struct bb_map *current,
         struct bb_map *next)
{
  struct bb_planning *p = bb_planning_new (in, load, cost, current);
  struct bb_plan plan;

  while (bb_planning_step (p))
    ;
  plan = bb_planning_result (p, next);
  bb_planning_free (p);
  return plan;
}
