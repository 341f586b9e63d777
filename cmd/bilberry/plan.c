/* bilberry plan - plans an expert map for the end of a popularity trace.  */

#include "commands.h"

#include "bilberry/map.h"

#include <argtable2.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HORIZON_MS = 600000,
  REFRESH_MS = 60000,
  PAUSE_MS = 50,
  SEARCH_BUDGET = 400,
  DRIFT_INTERVALS = 30 /* time constant of the drift and the trend */
};

struct plan_options
{
  const char *path;
  enum bb_split split;
  bool print_map;
  double move_ms;
  uint32_t moves_max;
};

static struct bb_trace *
read_trace (const char *path)
{
  FILE *in = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");
  struct bb_trace *t;
  const char *why = NULL;
  uint32_t line = 0;

  if (!in)
    {
      fprintf (stderr, "bilberry: %s: %s\n", path, strerror (errno));
      return NULL;
    }
  t = bb_trace_read (in, &why, &line);
  if (!t)
    fprintf (stderr, "%s:%u: %s\n", path, line, why);
  if (in != stdin)
    fclose (in);
  return t;
}

/* Plans a map for the load of the first interval of T.  */
static struct bb_map *
build_initial_map (const struct bb_trace *t, enum bb_split split)
{
  struct bb_layer_input in = { .size = t->size, .split = split };
  struct bb_map *map = bb_map_new (&t->size);
  double *load = g_new (double, t->size.experts);
  const struct bb_planner *p
      = split == BB_SPLIT_EVEN ? &bb_planner_greedy : &bb_planner_fill;

  in.load = load;
  for (uint32_t l = 0; l < t->size.layers; l++)
    {
      for (uint32_t e = 0; e < t->size.experts; e++)
        load[e] = bb_trace_at (t, 0, l)[e];
      p->plan (&in, &map->layers[l], SEARCH_BUDGET, &map->layers[l]);
    }
  g_free (load);
  return map;
}

/* Estimates the load of each layer and expert at the end of T, from all of its
   intervals.  The caller frees the array.  */
static double *
estimate_final_load (const struct bb_trace *t)
{
  struct bb_load_options o = { .drift_ms = DRIFT_INTERVALS * t->interval_ms,
                               .trend_ms = DRIFT_INTERVALS * t->interval_ms };
  struct bb_load_estimate *l = bb_load_estimate_new (&t->size, &o);
  double *load = g_new (double, (size_t)t->size.layers * t->size.experts);

  for (uint32_t i = 0; i < t->intervals; i++)
    for (uint32_t n = 0; n < t->size.layers; n++)
      bb_load_estimate_add (l, n, bb_trace_at (t, i, n),
                            (i + 1) * t->interval_ms);
  bb_load_estimate_at (l, t->intervals * t->interval_ms, load);
  bb_load_estimate_free (l);
  return load;
}

/* Returns whether RANK holds a replica of EXPERT in LAYER.  */
static bool
rank_has_expert (const struct bb_map *map, uint32_t layer, uint32_t rank,
                 uint16_t expert)
{
  const uint16_t *slots
      = map->layers[layer].expert + (size_t)rank * map->size.slots;

  for (uint32_t s = 0; s < map->size.slots; s++)
    if (slots[s] == expert)
      return true;
  return false;
}

/* Prints each weight that a switch from OLD to NEXT loads on a rank.  */
static void
print_moves (const struct bb_map *old, const struct bb_map *next)
{
  for (uint32_t l = 0; l < next->size.layers; l++)
    for (uint32_t i = 0; i < next->size.ranks * next->size.slots; i++)
      {
        uint16_t e = next->layers[l].expert[i];
        uint32_t r = i / next->size.slots;
        if (e != BB_NO_EXPERT && !rank_has_expert (old, l, r, e))
          printf ("move layer %u expert %u to rank %u\n", l, e, r);
      }
}

/* Prints the experts of each rank, each with its share of the tokens.  */
static void
print_map (const struct bb_map *map)
{
  for (uint32_t l = 0; l < map->size.layers; l++)
    for (uint32_t r = 0; r < map->size.ranks; r++)
      {
        printf ("map layer %u rank %u", l, r);
        for (uint32_t s = 0; s < map->size.slots; s++)
          {
            uint32_t i = r * map->size.slots + s;
            if (map->layers[l].expert[i] != BB_NO_EXPERT)
              printf (" %u:%.4f", map->layers[l].expert[i],
                      (double)map->layers[l].share[i] / BB_SHARE_TOTAL);
          }
        putchar ('\n');
      }
}

static int
print_plan (const struct plan_options *o)
{
  struct bb_trace *t = read_trace (o->path);
  struct bb_layer_input in = { .split = o->split };
  struct bb_plan_cost cost = { .horizon_ms = HORIZON_MS,
                               .refresh_ms = REFRESH_MS,
                               .pause_ms = PAUSE_MS,
                               .move_ms = o->move_ms,
                               .moves_max = o->moves_max,
                               .budget = SEARCH_BUDGET };
  struct bb_map *current;
  struct bb_map *next;
  struct bb_plan p;
  double *load;

  if (!t)
    return 1;
  in.size = t->size;
  current = build_initial_map (t, o->split);
  next = bb_map_copy (current);
  load = estimate_final_load (t);
  p = bb_plan (&in, load, &cost, current, next);
  printf ("skew now %.3f, planned %.3f, bound %.3f\n", p.skew_before,
          p.skew_after, p.skew_bound);
  printf ("gain %.0f ms, cost %.0f ms, moves %u: %s\n", p.gain_ms, p.cost_ms,
          p.moves, p.worthwhile ? "switch" : "keep the map");
  print_moves (current, next);
  if (o->print_map)
    print_map (next);
  g_free (load);
  bb_map_free (current);
  bb_map_free (next);
  bb_trace_free (t);
  return 0;
}

int
command_plan (int argc, char **argv)
{
  struct arg_lit *even
      = arg_lit0 (NULL, "even", "split tokens evenly over replicas");
  struct arg_lit *map = arg_lit0 (NULL, "map", "print the whole map");
  struct arg_dbl *move_ms
      = arg_dbl0 (NULL, "move-ms", "MS", "cost of moving one weight");
  struct arg_int *moves_max = arg_int0 (
      NULL, "moves-max", "N", "maximum weights to move, 0 for no limit");
  struct arg_str *path
      = arg_str1 (NULL, NULL, "TRACE", "trace file, - for standard input");
  struct arg_end *end = arg_end (4);
  void *table[] = { even, map, move_ms, moves_max, path, end };
  struct plan_options o = { 0 };
  int rc = 2;

  move_ms->dval[0] = 4.4;
  moves_max->ival[0] = 0;
  if (arg_parse (argc, argv, table) == 0 && moves_max->ival[0] >= 0)
    {
      o.path = path->sval[0];
      o.split = even->count ? BB_SPLIT_EVEN : BB_SPLIT_WEIGHTED;
      o.print_map = map->count > 0;
      o.move_ms = move_ms->dval[0];
      o.moves_max = (uint32_t)moves_max->ival[0];
      rc = print_plan (&o);
    }
  else
    {
      arg_print_errors (stderr, end, "bilberry plan");
      fputs ("Usage: bilberry plan", stderr);
      arg_print_syntax (stderr, table, "\n");
    }
  arg_freetable (table, sizeof table / sizeof *table);
  return rc;
}
