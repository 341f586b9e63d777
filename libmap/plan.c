#include "work.h"

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
  if (t->in->speed || t->in->moves_max > 0)
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

/* Plans each layer; where LIMITS is given, layer l moves limits[l] weights at
   the most.  */
static void
plan_layers (const struct bb_layer_input *in, const double *load,
             const struct bb_plan_cost *cost, const struct bb_map *present,
             const uint32_t *limits, struct bb_map *next)
{
  struct sums before = sum_layers (in, load, present);
  struct bb_map *tried = bb_map_copy (present);
  struct bb_map *spare = bb_map_copy (present);
  struct bb_layer_input layer = *in;

  for (uint32_t l = 0; l < in->size.layers; l++)
    {
      struct trial t = { .in = &layer,
                         .cost = cost,
                         .present = &present->layers[l],
                         .next = &next->layers[l],
                         .tried = &tried->layers[l] };
      layer.load = load + (size_t)l * in->size.experts;
      layer.moves_max = limits ? limits[l] : 0;
      t.step_share = bb_layer_time (&layer, &present->layers[l]).largest
                     / before.largest;
      plan_layer (&t, &spare->layers[l]);
    }
  bb_map_free (tried);
  bb_map_free (spare);
}

/* Shares MOVES_MAX out over the layers by the time that each would gain.  */
static void
limit_moves (const struct bb_layer_input *in, const double *load,
             uint32_t moves_max, const struct bb_map *present,
             const struct bb_map *next, uint32_t *limits)
{
  struct bb_layer_input layer = *in;
  double *gain = g_new (double, in->size.layers);
  double total = 0;

  for (uint32_t l = 0; l < in->size.layers; l++)
    {
      layer.load = load + (size_t)l * in->size.experts;
      gain[l] = bb_layer_time (&layer, &present->layers[l]).largest
                - bb_layer_time (&layer, &next->layers[l]).largest;
      total += gain[l];
    }
  for (uint32_t l = 0; l < in->size.layers; l++)
    limits[l] = MAX (1, (uint32_t)(moves_max * gain[l] / MAX (total, 1e-300)));
  g_free (gain);
}

/* A switch that would move too much is cut down to its best part; the rest
   follows with later switches.  */
static void
plan_limited (const struct bb_layer_input *in, const double *load,
              const struct bb_plan_cost *cost, const struct bb_map *present,
              struct bb_map *next)
{
  uint32_t *limits;

  plan_layers (in, load, cost, present, NULL, next);
  if (cost->moves_max == 0 || bb_map_moves (present, next) <= cost->moves_max)
    return;
  limits = g_new (uint32_t, in->size.layers);
  limit_moves (in, load, cost->moves_max, present, next, limits);
  plan_layers (in, load, cost, present, limits, next);
  g_free (limits);
}

struct bb_plan
bb_plan (const struct bb_layer_input *in, const double *load,
         const struct bb_plan_cost *cost, const struct bb_map *present,
         struct bb_map *next)
{
  struct sums before = sum_layers (in, load, present);
  struct sums after;
  struct bb_plan p = { 0 };
  double rate;

  plan_limited (in, load, cost, present, next);
  after = sum_layers (in, load, next);
  rate = (before.largest - after.largest) / before.largest;
  p.moves = bb_map_moves (present, next);
  p.gain_ms = (double)cost->horizon_ms * rate;
  p.cost_ms = (double)cost->pause_ms + cost->move_ms * p.moves;
  p.worthwhile = p.gain_ms > p.cost_ms
                 && (double)cost->refresh_ms * rate > (double)cost->pause_ms;
  if (!p.worthwhile)
    for (uint32_t l = 0; l < in->size.layers; l++)
      copy_layer (&in->size, &next->layers[l], &present->layers[l]);
  p.skew_before = before.largest / before.mean;
  p.skew_after = p.worthwhile ? after.largest / after.mean : p.skew_before;
  p.skew_bound = before.bound / before.mean;
  return p;
}
