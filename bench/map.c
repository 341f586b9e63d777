/* map - step-time skew, weights moved and throughput of several strategies to
   update an expert map, on the same synthetic traces; and the processor time
   of the planners.

   Usage: map [LAYERS [INTERVALS]]  */

#include "bilberry/map.h"
#include "report.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  INTERVAL_MS = 10000,
  DRIFT_MS = 300000, /* time constant of both drift and trend estimates */
  INTERVALS = 240,
  LAYERS = 3,
  MODEL_LAYERS = 60, /* moves and costs are scaled from LAYERS to this */
  TOKENS_PER_LAYER = 1600000, /* tokens per layer in each interval */
  PLAN_INTERVALS = 1,         /* intervals between two calls of bb_plan */
  FULL_PLAN_INTERVALS = 30, /* intervals between two plans that ignore costs */
  WARMUP_INTERVALS = 12,    /* intervals that are not measured; each strategy
                               plans its first map from their counts */
  MISSING_SAMPLES_PERMILLE = 100, /* layer counts that are lost */
  EXPERT_KB = 44000,
  STORAGE_KB_PER_MS = 1000,
  PAUSE_MS = 50,
  HORIZON_MS = 600000,
  REFRESH_MS = 60000,
  SWITCH_MOVES_MAX = 240, /* moves whose transfer takes about one interval */
  PLAN_BUDGET = 400       /* candidate changes evaluated in each layer */
};

/* A tenth of the time to transfer an expert.  */
static const double move_ms = 4.4;
static const double zipf_exponents[] = { 0.6, 1.0, 1.4 };

/* Returns the processor time that this process has used so far.  */
static gint64
process_cpu_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &ts);
  return (gint64)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/* A strategy to update the map.  */
struct strategy
{
  const char *name;
  enum bb_split split;
  const struct bb_planner *planner; /* NULL: bb_plan, which weighs costs */
  uint32_t plan_interval; /* intervals between plans; 0: first plan only */
  bool instant_transfer;  /* moving weights takes no time */
};

static const struct strategy strategies[] = {
  { "static", BB_SPLIT_EVEN, &bb_planner_greedy, 0, false },
  { "full-greedy", BB_SPLIT_EVEN, &bb_planner_greedy, FULL_PLAN_INTERVALS,
    false },
  { "full-fill", BB_SPLIT_WEIGHTED, &bb_planner_fill, FULL_PLAN_INTERVALS,
    false },
  { "full-ideal", BB_SPLIT_WEIGHTED, &bb_planner_fill, 1, true },
  { "plan-even", BB_SPLIT_EVEN, NULL, PLAN_INTERVALS, false },
  { "plan", BB_SPLIT_WEIGHTED, NULL, PLAN_INTERVALS, false },
};

enum
{
  STRATEGY_COUNT = sizeof strategies / sizeof *strategies
};

/* A run of one strategy on one trace.  */
struct run
{
  const struct strategy *strategy;
  const struct bb_trace *trace;
  struct bb_load_estimate *estimate;
  struct bb_map *map;     /* map in force */
  struct bb_map *next;    /* map being loaded; NULL: no map is */
  uint32_t next_interval; /* interval in which NEXT replaces MAP */
  uint64_t move_count;
  uint32_t switch_count;
  gint64 plan_cpu_us;  /* processor time of all calls of bb_plan */
  uint32_t plan_count; /* calls of bb_plan */
  double *skew;     /* largest over mean rank time of each measured interval */
  double bound_sum; /* sum of the lower bounds of the skew */
  uint32_t measured_intervals;
};

static struct bb_layer_input
layer_input (const struct run *r)
{
  struct bb_layer_input in
      = { .size = r->trace->size, .split = r->strategy->split };

  return in;
}

static void
add_samples (struct run *r, uint32_t interval, GRand *rand)
{
  for (uint32_t l = 0; l < r->trace->size.layers; l++)
    if (g_rand_int_range (rand, 0, 1000) >= MISSING_SAMPLES_PERMILLE)
      bb_load_estimate_add (r->estimate, l,
                            bb_trace_at (r->trace, interval, l),
                            (bb_ms)(interval + 1) * INTERVAL_MS);
}

static void
plan_layers (const struct run *r, const struct bb_planner *p,
             const double *load, struct bb_map *next)
{
  struct bb_layer_input in = layer_input (r);

  for (uint32_t l = 0; l < in.size.layers; l++)
    {
      in.load = load + (size_t)l * in.size.experts;
      p->plan (&in, &r->map->layers[l], PLAN_BUDGET, &next->layers[l]);
    }
}

/* Plans NEXT.  Returns whether to switch to it.  */
static bool
plan_map (struct run *r, uint32_t interval, struct bb_map *next)
{
  struct bb_layer_input in = layer_input (r);
  struct bb_plan_cost cost
      = { .horizon_ms = HORIZON_MS,
          .refresh_ms = REFRESH_MS,
          .moves_max
          = MAX (1, SWITCH_MOVES_MAX * in.size.layers / MODEL_LAYERS),
          .pause_ms = PAUSE_MS,
          .move_ms = move_ms * MODEL_LAYERS / in.size.layers,
          .budget = PLAN_BUDGET };
  double *load = g_new (double, (size_t)in.size.layers *in.size.experts);
  bool change = true;

  bb_load_estimate_at (r->estimate, (bb_ms)(interval + 1) * INTERVAL_MS, load);
  if (interval <= WARMUP_INTERVALS)
    plan_layers (r,
                 r->strategy->split == BB_SPLIT_EVEN ? &bb_planner_greedy
                                                     : &bb_planner_fill,
                 load, next);
  else if (r->strategy->planner)
    plan_layers (r, r->strategy->planner, load, next);
  else
    {
      gint64 start_us = process_cpu_us ();
      change = bb_plan (&in, load, &cost, r->map, next).worthwhile;
      r->plan_cpu_us += process_cpu_us () - start_us;
      r->plan_count++;
    }
  g_free (load);
  return change;
}

/* Plans a map if the strategy plans one in this interval and none is being
   loaded, and starts to load it if it is to replace the present map.  */
static void
start_switch_if_due (struct run *r, uint32_t interval)
{
  struct bb_map *next;
  uint32_t moves;
  bb_ms load_ms;

  if (r->next || interval < WARMUP_INTERVALS
      || (interval > WARMUP_INTERVALS
          && (r->strategy->plan_interval == 0
              || interval % r->strategy->plan_interval != 0)))
    return;
  next = bb_map_copy (r->map);
  if (!plan_map (r, interval, next))
    {
      bb_map_free (next);
      return;
    }
  g_assert_true (bb_map_is_valid (next));
  moves = bb_map_moves (r->map, next);
  load_ms = (bb_ms)moves * MODEL_LAYERS / r->trace->size.layers * EXPERT_KB
            / STORAGE_KB_PER_MS;
  r->next = next;
  r->next_interval = interval + 1;
  if (interval == WARMUP_INTERVALS)
    return;
  if (!r->strategy->instant_transfer)
    r->next_interval += (uint32_t)(load_ms / INTERVAL_MS);
  r->move_count += moves;
  r->switch_count++;
}

static void
measure_interval (struct run *r, uint32_t interval)
{
  struct bb_layer_input in = layer_input (r);
  double *load = g_new (double, in.size.experts);
  double largest = 0;
  double mean = 0;
  double bound = 0;

  in.load = load;
  for (uint32_t l = 0; l < in.size.layers; l++)
    {
      const uint32_t *tokens = bb_trace_at (r->trace, interval, l);
      struct bb_layer_time t;
      for (uint32_t e = 0; e < in.size.experts; e++)
        load[e] = tokens[e];
      t = bb_layer_time (&in, &r->map->layers[l]);
      largest += t.largest;
      mean += t.mean;
      bound += bb_layer_bound (&in);
    }
  r->skew[r->measured_intervals++] = largest / mean;
  r->bound_sum += bound / mean;
  g_free (load);
}

static void
run_strategy (struct run *r, const struct strategy *strategy,
              const struct bb_trace *trace)
{
  struct bb_load_options o = { .drift_ms = DRIFT_MS, .trend_ms = DRIFT_MS };
  GRand *rand = g_rand_new_with_seed (7);

  memset (r, 0, sizeof *r);
  r->strategy = strategy;
  r->trace = trace;
  r->estimate = bb_load_estimate_new (&trace->size, &o);
  r->map = bb_map_new (&trace->size);
  r->skew = g_new0 (double, trace->intervals);
  for (uint32_t i = 0; i < trace->intervals; i++)
    {
      if (r->next && i >= r->next_interval)
        {
          bb_map_free (r->map);
          r->map = r->next;
          r->next = NULL;
        }
      if (i > WARMUP_INTERVALS)
        measure_interval (r, i);
      add_samples (r, i, rand);
      start_switch_if_due (r, i);
    }
  g_rand_free (rand);
}

static void
run_free (struct run *r)
{
  bb_load_estimate_free (r->estimate);
  bb_map_free (r->map);
  bb_map_free (r->next);
  g_free (r->skew);
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

static void
print_run (const struct run *r, const char *kind, double exponent, FILE *csv)
{
  double *sorted
      = g_memdup2 (r->skew, r->measured_intervals * sizeof *r->skew);
  double bound = r->bound_sum / r->measured_intervals;
  double mean = 0;
  double p99;
  double span_ms = (double)r->measured_intervals * INTERVAL_MS;
  double paused_share = r->switch_count * (double)PAUSE_MS / span_ms;
  double moved_gb = (double)r->move_count * MODEL_LAYERS
                    / r->trace->size.layers * EXPERT_KB / 1e6;

  for (uint32_t i = 0; i < r->measured_intervals; i++)
    mean += r->skew[i] / r->measured_intervals;
  qsort (sorted, r->measured_intervals, sizeof *sorted, compare_doubles);
  p99 = sorted[(r->measured_intervals - 1) * 99 / 100];
  printf ("%-8s %4.1f %-12s %7.3f %7.3f %7.3f %8.1f%% %9.0f %7u %8.3f%% "
          "%7.3f %8.2f\n",
          kind, exponent, r->strategy->name, mean, p99, bound,
          (mean / bound - 1) * 100, moved_gb, r->switch_count,
          paused_share * 100, (1 - paused_share) / mean,
          r->plan_count ? (double)r->plan_cpu_us / 1e3 / r->plan_count
                              / r->trace->size.layers
                        : 0);
  fprintf (csv, "%s,%.1f,%s,%.4f,%.4f,%.4f,%.1f,%u,%.6f,%.4f\n", kind,
           exponent, r->strategy->name, mean, p99, bound, moved_gb,
           r->switch_count, paused_share, (1 - paused_share) / mean);
  fflush (stdout);
  g_free (sorted);
}

/* Writes a CSV file of the skew over time, with a column for each strategy,
   and a gnuplot script that plots it.  */
static void
write_plot (const struct run *runs, const char *kind, double exponent)
{
  char *name = g_strdup_printf ("map-%s-%.1f.csv", kind, exponent);
  char *script = g_strdup_printf ("map-%s-%.1f.gnuplot", kind, exponent);
  FILE *out = report_open (name);

  fprintf (out, "minutes");
  for (uint32_t w = 0; w < STRATEGY_COUNT; w++)
    fprintf (out, ",%s", runs[w].strategy->name);
  fprintf (out, "\n");
  for (uint32_t i = 0; i < runs[0].measured_intervals; i++)
    {
      fprintf (out, "%.2f",
               (i + WARMUP_INTERVALS + 1) * (double)INTERVAL_MS / 60000);
      for (uint32_t w = 0; w < STRATEGY_COUNT; w++)
        fprintf (out, ",%.4f", runs[w].skew[i]);
      fprintf (out, "\n");
    }
  fclose (out);
  out = report_open (script);
  fprintf (out,
           "set terminal svg size 900,420\nset output 'map-%s-%.1f.svg'\n"
           "set datafile separator ','\nset key outside\n"
           "set title 'Step-time skew, %s, Zipf %.1f'\n"
           "set xlabel 'minutes'\nset ylabel 'largest over mean rank time'\n"
           "plot for [i=2:%d] '%s' using 1:i with lines "
           "title columnheader(i)\n",
           kind, exponent, kind, exponent, STRATEGY_COUNT + 1, name);
  fclose (out);
  g_free (name);
  g_free (script);
}

static void
compare_strategies (uint32_t layers, uint32_t intervals)
{
  struct bb_map_size size
      = { .layers = layers, .experts = 128, .ranks = 128, .slots = 2 };
  FILE *csv = report_open ("map.csv");

  printf ("%-8s %4s %-12s %7s %7s %7s %9s %9s %7s %9s %7s %8s\n", "trace",
          "zipf", "way", "mean", "p99", "bound", "over", "moved-GB", "changes",
          "paused", "thrput", "plan-ms");
  fprintf (csv, "trace,zipf,way,skew_mean,skew_p99,bound,moved_gb,switches,"
                "paused,throughput\n");
  for (uint32_t k = 0; k < BB_TRACE_KINDS; k++)
    for (size_t x = 0; x < sizeof zipf_exponents / sizeof *zipf_exponents; x++)
      {
        GRand *rand = g_rand_new_with_seed (1000 + k);
        struct bb_trace *t
            = bb_trace_make (k, zipf_exponents[x], &size, INTERVAL_MS,
                             intervals, TOKENS_PER_LAYER, rand);
        struct run runs[STRATEGY_COUNT];
        for (uint32_t w = 0; w < STRATEGY_COUNT; w++)
          {
            run_strategy (&runs[w], &strategies[w], t);
            print_run (&runs[w], bb_trace_kind_name (k), zipf_exponents[x],
                       csv);
          }
        write_plot (runs, bb_trace_kind_name (k), zipf_exponents[x]);
        for (uint32_t w = 0; w < STRATEGY_COUNT; w++)
          run_free (&runs[w]);
        bb_trace_free (t);
        g_rand_free (rand);
      }
  fclose (csv);
}

/* Prints the processor time and the result of planner P.  It starts from a map
   that fits the loads of the first interval and plans for those of the last
   one, by when half of the experts have swapped popularity.  */
static void
time_planner (const struct bb_planner *p, enum bb_split split,
              const struct bb_map_size *size, double exponent, FILE *csv)
{
  GRand *rand = g_rand_new_with_seed (5);
  struct bb_trace *t = bb_trace_make (BB_TRACE_EVENING, exponent, size,
                                      INTERVAL_MS, 40, TOKENS_PER_LAYER, rand);
  struct bb_layer_input in = { .size = *size, .split = split };
  struct bb_map *map = bb_map_new (size);
  struct bb_map *next = bb_map_copy (map);
  double *load = g_new (double, size->experts);
  double time_ratio = 0;
  gint64 worst_us = 0;
  gint64 total_us = 0;

  in.load = load;
  for (uint32_t l = 0; l < size->layers; l++)
    {
      gint64 cpu_us;
      for (uint32_t e = 0; e < size->experts; e++)
        load[e] = bb_trace_at (t, 0, l)[e];
      bb_planner_fill.plan (&in, &map->layers[l], PLAN_BUDGET,
                            &map->layers[l]);
      for (uint32_t e = 0; e < size->experts; e++)
        load[e] = bb_trace_at (t, 39, l)[e];
      cpu_us = process_cpu_us ();
      p->plan (&in, &map->layers[l], PLAN_BUDGET, &next->layers[l]);
      cpu_us = process_cpu_us () - cpu_us;
      total_us += cpu_us;
      worst_us = MAX (worst_us, cpu_us);
      time_ratio += bb_layer_time (&in, &next->layers[l]).largest
                    / bb_layer_bound (&in) / size->layers;
    }
  printf ("%-8s %-8s %4.1f %6u %8u %5u %9.2f %9.2f %8.1f%% %8.1f\n", p->name,
          split == BB_SPLIT_EVEN ? "even" : "weighted", exponent, size->ranks,
          size->experts, size->slots, (double)total_us / 1000 / size->layers,
          (double)worst_us / 1000, (time_ratio - 1) * 100,
          (double)bb_map_moves (map, next) / size->layers);
  fprintf (csv, "%s,%s,%.1f,%u,%u,%u,%.3f,%.3f,%.4f\n", p->name,
           split == BB_SPLIT_EVEN ? "even" : "weighted", exponent, size->ranks,
           size->experts, size->slots, (double)total_us / 1000 / size->layers,
           (double)worst_us / 1000, time_ratio);
  bb_map_free (map);
  bb_map_free (next);
  g_free (load);
  bb_trace_free (t);
  g_rand_free (rand);
}

static void
time_planners (void)
{
  static const uint32_t ranks[] = { 32, 64, 128 };
  FILE *csv = report_open ("map-planner.csv");

  printf ("\n%-8s %-8s %4s %6s %8s %5s %9s %9s %9s %8s\n", "planner", "split",
          "zipf", "ranks", "experts", "slots", "mean-ms", "worst-ms", "over",
          "moves");
  for (uint32_t n = 0; bb_planners[n]; n++)
    for (uint32_t split = 0; split < 2; split++)
      for (size_t x = 0; x < sizeof zipf_exponents / sizeof *zipf_exponents;
           x++)
        {
          struct bb_map_size size
              = { .layers = 60, .experts = 128, .ranks = 128, .slots = 2 };
          time_planner (bb_planners[n], split, &size, zipf_exponents[x], csv);
        }
  for (size_t i = 0; i < sizeof ranks / sizeof *ranks; i++)
    for (uint32_t experts = ranks[i]; experts <= 256; experts *= 2)
      {
        struct bb_map_size size = { .layers = 10,
                                    .experts = experts,
                                    .ranks = ranks[i],
                                    .slots = experts / ranks[i] + 1 };
        time_planner (&bb_planner_local, BB_SPLIT_WEIGHTED, &size, 1.0, csv);
      }
  fclose (csv);
}

int
main (int argc, char **argv)
{
  uint32_t layers = argc > 1 ? (uint32_t)atoi (argv[1]) : LAYERS;
  uint32_t intervals = argc > 2 ? (uint32_t)atoi (argv[2]) : INTERVALS;

  time_planners ();
  printf ("\n");
  compare_strategies (layers, intervals);
  return 0;
}
