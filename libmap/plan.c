#include "workspace.h"

#include <string.h>

/* Time of all layers: each is a barrier, so the slowest ranks add up.  */
struct sums
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

/* What the layer TRIED brings over PRESENT, in ms over the horizon, less what
   its moves cost.  */
static double
net_gain (const struct bb_layer_input *in, const struct bb_plan_cost *cost,
          double step_share, const struct bb_map_layer *present,
          const struct bb_map_layer *tried)
{
  double before = bb_layer_time (in, present).largest;
  double after = bb_layer_time (in, tried).largest;

  return (double)cost->horizon_ms * step_share * (before - after) / before
         - cost->move_ms * layer_moves (&in->size, present, tried);
}

/* What a layer is planned with.  */
struct trial
{
  const struct bb_layer_input *in;
  const struct bb_plan_cost *cost;
  double step_share; /* of the layer in the time of a step */
  const struct bb_map_layer *present;
  struct bb_map_layer *next; /* the best so far */
  struct bb_map_layer *tried;
  double best;
};

static void
keep_better (struct trial *t)
{
  double net = net_gain (t->in, t->cost, t->step_share, t->present, t->tried);

  if (net <= t->best)
    return;
  t->best = net;
  copy_layer (&t->in->size, t->next, t->tried);
}

/* Builds the layer anew and gives each rank what is most like its own.  */
static void
try_fresh (struct trial *t, const struct bb_planner *planner,
           struct bb_map_layer *fresh)
{
  if (t->cost->shares_only || t->in->speed || t->in->moves_max > 0)
    return;
  planner->plan (t->in, t->present, 0, fresh);
  relabel (&t->in->size, t->present, fresh, t->tried);
  keep_better (t);
}

/* Plans one layer: new shares alone, a short search, a long one and a layer
   built anew; the best net gain wins.  */
static void
plan_layer (struct trial *t, struct bb_map_layer *spare)
{
  const uint32_t budgets[] = { 0, t->cost->budget / 8, t->cost->budget };

  t->best = 0;
  copy_layer (&t->in->size, t->next, t->present);
  for (size_t i = 0; i < sizeof budgets / sizeof *budgets; i++)
    {
      if (t->cost->shares_only && budgets[i] > 0)
        break;
      bb_planner_local.plan (t->in, t->present, budgets[i], t->tried);
      keep_better (t);
    }
  try_fresh (
      t, t->in->split == BB_SPLIT_EVEN ? &bb_planner_greedy : &bb_planner_fill,
      spare);
}

static struct sums
sum_layers (const struct bb_layer_input *in, const double *load,
            const struct bb_map *map)
{
  struct bb_layer_input layer = *in;
  struct sums s = { 0 };

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
  const struct bb_map *present;
  struct bb_map *next;
  struct bb_map *tried;
  struct bb_map *spare;
  struct sums before;
  uint32_t layer;   /* to plan next */
  uint32_t *limits; /* moves of each layer in the second pass; NULL: first */
};

struct bb_planning *
bb_planning_new (const struct bb_layer_input *in, const double *load,
                 const struct bb_plan_cost *cost, const struct bb_map *present)
{
  struct bb_planning *p = g_new0 (struct bb_planning, 1);

  p->in = *in;
  p->cost = *cost;
  p->load = load;
  p->present = present;
  p->next = bb_map_copy (present);
  p->tried = bb_map_copy (present);
  p->spare = bb_map_copy (present);
  p->before = sum_layers (in, load, present);
  return p;
}

void
bb_planning_free (struct bb_planning *p)
{
  if (!p)
    return;
  bb_map_free (p->next);
  bb_map_free (p->tried);
  bb_map_free (p->spare);
  g_free (p->limits);
  g_free (p);
}

/* Shares the moves of one switch out over the layers by the time that each
   would gain.  */
static void
limit_moves (struct bb_planning *p)
{
  struct bb_layer_input layer = p->in;
  uint32_t layers = p->in.size.layers;
  double *gain = g_new0 (double, layers);
  double total = 1e-300;

  p->limits = g_new0 (uint32_t, layers);
  for (uint32_t l = 0; l < layers; l++)
    {
      layer.load = p->load + (size_t)l * p->in.size.experts;
      gain[l] = bb_layer_time (&layer, &p->present->layers[l]).largest
                - bb_layer_time (&layer, &p->next->layers[l]).largest;
      total += gain[l];
    }
  for (uint32_t l = 0; l < layers; l++)
    p->limits[l] = MAX (1, (uint32_t)(p->cost.moves_max * gain[l] / total));
  g_free (gain);
}

/* Whether a second pass must cut a plan that would move too much down to its
   best part; the rest follows with later switches.  */
static bool
needs_limits (const struct bb_planning *p)
{
  return !p->limits && p->cost.moves_max > 0
         && bb_map_moves (p->present, p->next) > p->cost.moves_max;
}

bool
bb_planning_step (struct bb_planning *p)
{
  uint32_t l = p->layer;
  struct bb_layer_input layer = p->in;
  struct trial t = { .in = &layer, .cost = &p->cost };

  if (l == p->in.size.layers)
    {
      if (!needs_limits (p))
        return false;
      limit_moves (p);
      l = 0;
    }
  layer.load = p->load + (size_t)l * p->in.size.experts;
  layer.moves_max = p->limits ? p->limits[l] : 0;
  t.present = &p->present->layers[l];
  t.next = &p->next->layers[l];
  t.tried = &p->tried->layers[l];
  t.step_share = bb_layer_time (&layer, t.present).largest / p->before.largest;
  plan_layer (&t, &p->spare->layers[l]);
  p->layer = l + 1;
  return true;
}

struct bb_plan
bb_planning_result (const struct bb_planning *p, struct bb_map *next)
{
  const struct bb_plan_cost *cost = &p->cost;
  struct sums after = sum_layers (&p->in, p->load, p->next);
  double rate = (p->before.largest - after.largest) / p->before.largest;
  struct bb_plan plan = { 0 };

  plan.moves = bb_map_moves (p->present, p->next);
  plan.gain_ms = (double)cost->horizon_ms * rate;
  plan.cost_ms = (double)cost->pause_ms + cost->move_ms * plan.moves;
  plan.worthwhile
      = plan.gain_ms > plan.cost_ms
        && (double)cost->refresh_ms * rate > (double)cost->pause_ms;
  for (uint32_t l = 0; l < p->in.size.layers; l++)
    copy_layer (&p->in.size, &next->layers[l],
                plan.worthwhile ? &p->next->layers[l]
                                : &p->present->layers[l]);
  plan.skew_before = p->before.largest / p->before.mean;
  plan.skew_after
      = plan.worthwhile ? after.largest / after.mean : plan.skew_before;
  plan.skew_bound = p->before.bound / p->before.mean;
  return plan;
}

struct bb_plan
bb_plan (const struct bb_layer_input *in, const double *load,
         const struct bb_plan_cost *cost, const struct bb_map *present,
         struct bb_map *next)
{
  struct bb_planning *p = bb_planning_new (in, load, cost, present);
  struct bb_plan plan;

  while (bb_planning_step (p))
    ;
  plan = bb_planning_result (p, next);
  bb_planning_free (p);
  return plan;
}
