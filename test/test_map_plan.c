/* Tests of the load estimate, the planners, rank speeds and traces.  */

#include "bilberry/map.h"

#include <math.h>
#include <string.h>

enum
{
  SEEDS = 200,
  BUDGET = 400
};

static const struct bb_map_size small_size
    = { .layers = 1, .experts = 4, .ranks = 3, .slots = 2 };
static const struct bb_map_size large_size
    = { .layers = 1, .experts = 128, .ranks = 128, .slots = 2 };

static void
draw_loads (GRand *rand, double *load, uint32_t experts)
{
  double exponent = g_rand_double_range (rand, 0.4, 1.6);

  for (uint32_t e = 0; e < experts; e++)
    load[e] = pow (g_rand_int_range (rand, 1, (gint32)experts + 1), -exponent);
}

/* Returns the least time of the slowest rank with a weighted split, where SETS
   holds the experts of each rank as bits.  By the max-flow min-cut theorem, it
   is the largest quotient, over all sets of experts, of their load and the
   number of ranks that have one of them.  */
static double
weighted_min_time (const struct bb_layer_input *in, const uint32_t *sets)
{
  double worst = 0;

  for (uint32_t a = 1; a < 1u << in->size.experts; a++)
    {
      double load = 0;
      uint32_t ranks = 0;
      for (uint32_t e = 0; e < in->size.experts; e++)
        load += a >> e & 1 ? in->load[e] : 0;
      for (uint32_t r = 0; r < in->size.ranks; r++)
        ranks += (sets[r] & a) != 0;
      worst = fmax (worst, ranks ? load / ranks : INFINITY);
    }
  return worst;
}

/* Returns the time of the slowest rank with an even split; infinity where an
   expert has no replica.  */
static double
even_max_time (const struct bb_layer_input *in, const uint32_t *sets)
{
  double worst = 0;

  for (uint32_t r = 0; r < in->size.ranks; r++)
    {
      double time = 0;
      for (uint32_t e = 0; e < in->size.experts; e++)
        {
          uint32_t copies = 0;
          for (uint32_t q = 0; q < in->size.ranks; q++)
            copies += sets[q] >> e & 1;
          if (copies == 0)
            return INFINITY;
          time += sets[r] >> e & 1 ? in->load[e] / copies : 0;
        }
      worst = fmax (worst, time);
    }
  return worst;
}

/* Returns the least time of the slowest rank over all placements of the small
   size.  */
static double
brute_force (const struct bb_layer_input *in)
{
  uint32_t sets[3];
  double best = INFINITY;

  for (uint32_t n = 0; n < 1 << 12; n++)
    {
      bool fits = true;
      double time;
      for (uint32_t r = 0; r < 3; r++)
        {
          sets[r] = n >> 4 * r & 15;
          fits = fits && __builtin_popcount (sets[r]) <= 2;
        }
      if (!fits)
        continue;
      time = in->split == BB_SPLIT_EVEN ? even_max_time (in, sets)
                                        : weighted_min_time (in, sets);
      best = fmin (best, time);
    }
  return best;
}

/* Returns the time of the slowest rank in a plan of one layer in which moves
   cost nothing.  */
static double
planned_time (const struct bb_layer_input *in, const struct bb_map *current)
{
  struct bb_plan_cost cost
      = { .horizon_ms = 600000, .refresh_ms = 600000, .budget = BUDGET };
  struct bb_map *next = bb_map_copy (current);
  double time;

  bb_plan (in, in->load, &cost, current, next);
  g_assert_true (bb_map_is_valid (next));
  time = bb_layer_time (in, next->layers).largest;
  bb_map_free (next);
  return time;
}

/* Compares planners with an exhaustive search: the lower bound must not exceed
   the optimum, no planner may beat it, and a plan must come close to it.  */
static void
test_brute_force (void)
{
  double worst[2] = { 1, 1 };

  for (uint32_t seed = 0; seed < SEEDS; seed++)
    for (uint32_t split = 0; split < 2; split++)
      {
        GRand *rand = g_rand_new_with_seed (seed);
        double load[4];
        struct bb_layer_input in
            = { .size = small_size, .split = split, .load = load };
        struct bb_map *current = bb_map_new (&small_size);
        struct bb_map *next = bb_map_copy (current);
        double best;
        draw_loads (rand, load, small_size.experts);
        best = brute_force (&in);
        g_assert_cmpfloat (bb_layer_bound (&in), <=, best * (1 + 1e-9));
        for (uint32_t n = 0; bb_planners[n]; n++)
          {
            double time;
            bb_planners[n]->plan (&in, current->layers, BUDGET, next->layers);
            g_assert_true (bb_map_is_valid (next));
            time = bb_layer_time (&in, next->layers).largest;
            g_assert_cmpfloat (time, >=, best * (1 - 1e-3));
          }
        worst[split] = fmax (worst[split], planned_time (&in, current) / best);
        bb_map_free (current);
        bb_map_free (next);
        g_rand_free (rand);
      }
  g_test_message ("worst over brute force: even %.3f, weighted %.3f", worst[0],
                  worst[1]);
  g_assert_cmpfloat (worst[BB_SPLIT_WEIGHTED], <, 1.005);
  g_assert_cmpfloat (worst[BB_SPLIT_EVEN], <, 1.25);
}

/* At full size, a plan must be as good as the greedy planner.  With a weighted
   split the local search alone must come close to it, starting from a map that
   is unrelated to the loads.  */
static void
test_greedy (void)
{
  for (uint32_t seed = 0; seed < 40; seed++)
    for (uint32_t split = 0; split < 2; split++)
      {
        GRand *rand = g_rand_new_with_seed (seed);
        double load[128];
        struct bb_layer_input in
            = { .size = large_size, .split = split, .load = load };
        struct bb_map *current = bb_map_new (&large_size);
        struct bb_map *next = bb_map_copy (current);
        double greedy_time;
        draw_loads (rand, load, large_size.experts);
        bb_planner_greedy.plan (&in, current->layers, BUDGET, next->layers);
        g_assert_true (bb_map_is_valid (next));
        greedy_time = bb_layer_time (&in, next->layers).largest;
        g_assert_cmpfloat (planned_time (&in, current), <=,
                           greedy_time * 1.001);
        bb_planner_local.plan (&in, current->layers, 2 * BUDGET, next->layers);
        g_assert_true (bb_map_is_valid (next));
        if (split == BB_SPLIT_WEIGHTED)
          g_assert_cmpfloat (bb_layer_time (&in, next->layers).largest, <=,
                             greedy_time * 1.05);
        bb_map_free (current);
        bb_map_free (next);
        g_rand_free (rand);
      }
}

/* Weights must move only where the gain exceeds the cost, within the limit of
   one switch and one more for each layer, and not at all where only shares may
   change.  The same input must give the same plan.  */
static void
test_cost (void)
{
  struct bb_map_size size = large_size;
  GRand *rand = g_rand_new_with_seed (3);
  double load[4 * 128];
  struct bb_plan_cost cost = { .horizon_ms = 600000,
                               .refresh_ms = 60000,
                               .pause_ms = 50,
                               .move_ms = 4,
                               .budget = BUDGET };
  struct bb_layer_input in = { .split = BB_SPLIT_WEIGHTED };
  struct bb_map *current;
  struct bb_map *next;
  struct bb_plan p;
  uint64_t hash;

  size.layers = 4;
  in.size = size;
  draw_loads (rand, load, 4 * 128);
  current = bb_map_new (&size);
  next = bb_map_copy (current);
  p = bb_plan (&in, load, &cost, current, next);
  g_assert_true (p.worthwhile && bb_map_is_valid (next));
  g_assert_cmpfloat (p.skew_after, <, p.skew_before);
  g_assert_cmpfloat (p.skew_bound, <=, p.skew_after);
  hash = bb_map_hash (next);
  bb_plan (&in, load, &cost, current, next);
  g_assert_cmpuint (bb_map_hash (next), ==, hash);
  cost.shares_only = true;
  p = bb_plan (&in, load, &cost, current, next);
  g_assert_cmpuint (p.moves, ==, 0);
  cost.shares_only = false;
  cost.moves_max = 40;
  p = bb_plan (&in, load, &cost, current, next);
  g_assert_true (p.worthwhile);
  g_assert_cmpuint (p.moves, <=, 40 + size.layers);
  cost.move_ms = 1e9;
  p = bb_plan (&in, load, &cost, current, next);
  g_assert_cmpuint (p.moves, ==, 0);
  cost.pause_ms = 1000000;
  p = bb_plan (&in, load, &cost, current, next);
  g_assert_false (p.worthwhile);
  g_assert_cmpuint (bb_map_hash (next), ==, bb_map_hash (current));
  bb_map_free (current);
  bb_map_free (next);
  g_rand_free (rand);
}

/* A map that already fits the load must not change.  */
static void
test_no_change (void)
{
  GRand *rand = g_rand_new_with_seed (4);
  double load[128];
  struct bb_plan_cost cost = { .horizon_ms = 600000,
                               .refresh_ms = 60000,
                               .pause_ms = 50,
                               .move_ms = 4,
                               .budget = BUDGET };
  struct bb_layer_input in
      = { .size = large_size, .split = BB_SPLIT_WEIGHTED, .load = load };
  struct bb_map *map = bb_map_new (&large_size);
  struct bb_map *next = bb_map_copy (map);

  draw_loads (rand, load, 128);
  bb_planner_fill.plan (&in, map->layers, BUDGET, map->layers);
  g_assert_false (bb_plan (&in, load, &cost, map, next).worthwhile);
  bb_map_free (map);
  bb_map_free (next);
  g_rand_free (rand);
}

/* A slow rank must get less load.  Single stalls must not change the speed of
   a rank; lasting slowness must.  */
static void
test_speed (void)
{
  double load[128];
  double speed[128];
  struct bb_layer_input in = { .size = large_size,
                               .split = BB_SPLIT_WEIGHTED,
                               .load = load,
                               .speed = speed };
  struct bb_map *map = bb_map_new (&large_size);
  struct bb_map *next = bb_map_copy (map);
  struct bb_speed s = { 0 };

  for (uint32_t i = 0; i < 128; i++)
    {
      load[i] = 1;
      speed[i] = i == 5 ? 0.5 : 1;
    }
  bb_planner_local.plan (&in, map->layers, BUDGET, next->layers);
  g_assert_cmpfloat (bb_layer_time (&in, next->layers).largest, <, 1.1);
  for (uint32_t i = 0; i < 20; i++)
    bb_speed_add (&s, 10, i % 5 == 0 ? 1000 : 10, 1);
  g_assert_cmpfloat (bb_speed_get (&s), ==, 1);
  for (uint32_t i = 0; i < 20; i++)
    bb_speed_add (&s, 10, 20, 1);
  g_assert_cmpfloat (bb_speed_get (&s), ==, 0.5);
  bb_map_free (map);
  bb_map_free (next);
}

/* The load estimate must refuse late counts, smooth noise across gaps and
   follow a jump.  */
static void
test_load (void)
{
  struct bb_map_size size
      = { .layers = 2, .experts = 2, .ranks = 2, .slots = 1 };
  struct bb_load_options o = { .drift_ms = 300000, .trend_ms = 300000 };
  struct bb_load_estimate *l = bb_load_estimate_new (&size, &o);
  uint32_t tokens[2] = { 1000, 3000 };
  double out[4];

  g_assert_true (bb_load_estimate_add (l, 0, tokens, 10000));
  g_assert_false (bb_load_estimate_add (l, 0, tokens, 10000));
  g_assert_false (bb_load_estimate_add (l, 0, tokens, 9000));
  bb_load_estimate_at (l, 10000, out);
  g_assert_cmpfloat_with_epsilon (out[0], 0.25, 1e-9);
  g_assert_cmpfloat_with_epsilon (out[2], 0.5, 1e-9);
  for (bb_ms t = 20000; t < 600000; t += t % 7 == 0 ? 30000 : 10000)
    {
      tokens[0] = t / 10000 % 2 ? 970 : 1030;
      bb_load_estimate_add (l, 0, tokens, t);
    }
  bb_load_estimate_at (l, 600000, out);
  g_assert_cmpfloat_with_epsilon (out[0], 0.25, 0.004);
  tokens[0] = 9000;
  bb_load_estimate_add (l, 0, tokens, 610000);
  bb_load_estimate_add (l, 0, tokens, 620000);
  bb_load_estimate_at (l, 620000, out);
  g_assert_cmpfloat_with_epsilon (out[0], 0.75, 0.05);
  bb_load_estimate_free (l);
}

static struct bb_trace *
read_trace_text (const char *text, const char **why, uint32_t *line)
{
  FILE *in = fmemopen ((void *)text, strlen (text), "r");
  struct bb_trace *t = bb_trace_read (in, why, line);

  fclose (in);
  return t;
}

static void
test_trace (void)
{
  GRand *rand = g_rand_new_with_seed (1);
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);
  struct bb_trace *t
      = bb_trace_make (BB_TRACE_DRIFT, 1, &small_size, 1000, 5, 1000, rand);
  struct bb_trace *back;
  const char *why;
  uint32_t line;

  bb_trace_write (t, out);
  fclose (out);
  back = read_trace_text (text, &why, &line);
  g_assert_null (why);
  g_assert_cmpuint (back->intervals, ==, 5);
  g_assert_cmpmem (back->tokens, sizeof (uint32_t[5][4]), t->tokens,
                   sizeof (uint32_t[5][4]));
  bb_trace_free (back);
  bb_trace_free (t);
  free (text);
  g_rand_free (rand);
}

struct syntax_error
{
  const char *text;
  uint32_t line;
};

static void
test_trace_errors (void)
{
  static const struct syntax_error errors[] = {
    { "bilberry-trace 2\n", 1 },
    { "bilberry-trace 1\nsize 1 4 1 2\n", 2 },
    { "bilberry-trace 1\nsize 1 0 1 2\n", 2 },
    { "bilberry-trace 1\nsize 1 2 1 2\ninterval_ms 0\n", 3 },
    { "bilberry-trace 1\nsize 1 2 1 2\ninterval_ms 9\n", 3 },
    { "bilberry-trace 1\nsize 1 2 1 2\ninterval_ms 9\n0 1 5 5\n", 4 },
    { "bilberry-trace 1\nsize 1 2 1 2\ninterval_ms 9\n0 0 5\n", 4 },
    { "bilberry-trace 1\nsize 1 2 1 2\ninterval_ms 9\n0 0 5 -1\n", 4 },
    { "bilberry-trace 1\nsize 1 2 1 2\ninterval_ms 9\n0 0 5 5 5\n", 4 },
    { "bilberry-trace 1\nsize 1 2 1 2\ninterval_ms 9\n1 0 5 5\n0 0 5 5\n", 5 },
    { "bilberry-trace 1\nsize 1 2 1 2\ninterval_ms 9\n99999999999 0 5 5\n",
      4 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (errors); i++)
    {
      const char *why = NULL;
      uint32_t line = 0;
      g_assert_null (read_trace_text (errors[i].text, &why, &line));
      g_assert_nonnull (why);
      g_assert_cmpuint (line, ==, errors[i].line);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/map/brute-force", test_brute_force);
  g_test_add_func ("/map/naive", test_greedy);
  g_test_add_func ("/map/cost", test_cost);
  g_test_add_func ("/map/settles", test_no_change);
  g_test_add_func ("/map/speed", test_speed);
  g_test_add_func ("/map/load", test_load);
  g_test_add_func ("/map/trace", test_trace);
  g_test_add_func ("/map/trace-faults", test_trace_errors);
  return g_test_run ();
}
