#include "workspace.h"

#include <stdlib.h>

/* A replica that is not placed yet.  */
struct replica
{
  double load;
  uint32_t expert;
};

static int
compare_heaviest_first (const void *a, const void *b)
{
  const struct replica *x = a;
  const struct replica *y = b;

  if (x->load != y->load)
    return x->load < y->load ? 1 : -1;
  return x->expert < y->expert ? -1 : x->expert > y->expert;
}

/* Sets COUNTS to the number of replicas of each expert: each spare slot goes
   to the expert with the heaviest load per replica.  */
static void
count_replicas (const struct workspace *w, uint32_t *counts)
{
  const struct bb_map_size *size = &w->in->size;
  const double *load = w->in->load;

  for (uint32_t e = 0; e < size->experts; e++)
    counts[e] = 1;
  for (uint32_t spare = w->slot_count - size->experts; spare > 0; spare--)
    {
      uint32_t heaviest = UINT32_MAX;
      for (uint32_t e = 0; e < size->experts; e++)
        if (counts[e] < size->ranks
            && (heaviest == UINT32_MAX
                || load[e] / counts[e] > load[heaviest] / counts[heaviest]))
          heaviest = e;
      if (heaviest == UINT32_MAX)
        return;
      counts[heaviest]++;
    }
}

/* Returns a free slot of the rank that finishes first if it gets a replica of
   EXPERT with LOAD, among the ranks that do not have the expert; UINT32_MAX
   where there is none.  */
static uint32_t
find_slot (const struct workspace *w, uint32_t expert, double load)
{
  const struct bb_map_size *size = &w->in->size;
  uint32_t best = UINT32_MAX;
  double best_time = 0;

  for (uint32_t r = 0; r < size->ranks; r++)
    {
      double t = (w->rank_load[r] + load) / rank_speed (w->in, r);
      if ((best != UINT32_MAX && t >= best_time)
          || workspace_rank_has (w, r, expert))
        continue;
      for (uint32_t i = r * size->slots; i < (r + 1) * size->slots; i++)
        if (w->expert[i] == BB_NO_EXPERT)
          {
            best = i;
            best_time = t;
            break;
          }
    }
  return best;
}

static void
place_replica (struct workspace *w, const struct replica *r)
{
  uint32_t i = find_slot (w, r->expert, r->load);

  /* An expert with one replica always finds a free slot.  A further replica
     that finds none is dropped.  */
  if (i == UINT32_MAX)
    return;
  w->expert[i] = (uint16_t)r->expert;
  w->rank_load[i / w->in->size.slots] += r->load;
}

static void
plan_greedy (const struct bb_layer_input *in,
             const struct bb_map_layer *current, uint32_t budget,
             struct bb_map_layer *out)
{
  struct workspace *w = workspace_new (in, NULL);
  uint32_t *counts = g_new0 (uint32_t, in->size.experts);
  struct replica *replicas = g_new0 (struct replica, w->slot_count);
  uint32_t count = 0;

  (void)current;
  (void)budget;
  count_replicas (w, counts);
  for (uint32_t e = 0; e < in->size.experts; e++)
    for (uint32_t n = 0; n < counts[e]; n++)
      {
        replicas[count].load = in->load[e] / counts[e];
        replicas[count++].expert = e;
      }
  qsort (replicas, count, sizeof *replicas, compare_heaviest_first);
  for (uint32_t i = 0; i < count; i++)
    place_replica (w, &replicas[i]);
  workspace_index (w);
  workspace_split (w, SPLIT_SWEEPS);
  workspace_store (w, out);
  g_free (replicas);
  g_free (counts);
  workspace_free (w);
}

const struct bb_planner bb_planner_greedy
    = { .name = "greedy", .plan = plan_greedy };
