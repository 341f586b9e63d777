#include "workspace.h"

#include <stdlib.h>

/* A replica that waits for a place.  */
struct replica
{
  double load;
  uint32_t expert;
};

static int
heavier_first (const void *a, const void *b)
{
  const struct replica *x = a;
  const struct replica *y = b;

  if (x->load != y->load)
    return x->load < y->load ? 1 : -1;
  return x->expert < y->expert ? -1 : x->expert > y->expert;
}

static void
count_copies (const struct work *w, uint32_t *copies)
{
  const struct bb_map_size *size = &w->in->size;
  const double *load = w->in->load;

  for (uint32_t e = 0; e < size->experts; e++)
    copies[e] = 1;
  for (uint32_t spare = w->slots_count - size->experts; spare > 0; spare--)
    {
      uint32_t top = UINT32_MAX;
      for (uint32_t e = 0; e < size->experts; e++)
        if (copies[e] < size->ranks
            && (top == UINT32_MAX
                || load[e] / copies[e] > load[top] / copies[top]))
          top = e;
      if (top == UINT32_MAX)
        return;
      copies[top]++;
    }
}

/* Returns a free slot of the rank that ends first with the replica, among
   ranks that do not hold the expert; UINT32_MAX where there is none.  */
static uint32_t
find_slot (const struct work *w, uint32_t expert, double load)
{
  const struct bb_map_size *size = &w->in->size;
  uint32_t best = UINT32_MAX;
  double best_time = 0;

  for (uint32_t r = 0; r < size->ranks; r++)
    {
      double t = (w->rank[r] + load) / speed_of (w->in, r);
      if ((best != UINT32_MAX && t >= best_time) || work_holds (w, r, expert))
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
place (struct work *w, const struct replica *r)
{
  uint32_t i = find_slot (w, r->expert, r->load);

  /* An expert with one replica always finds a free slot; a further replica
     that finds none is left out.  */
  if (i == UINT32_MAX)
    return;
  w->expert[i] = (uint16_t)r->expert;
  w->rank[i / w->in->size.slots] += r->load;
}

static void
plan_greedy (const struct bb_layer_input *in,
             const struct bb_map_layer *present, uint32_t budget,
             struct bb_map_layer *out)
{
  struct work *w = work_new (in, NULL);
  uint32_t *copies = g_new0 (uint32_t, in->size.experts);
  struct replica *replicas = g_new0 (struct replica, w->slots_count);
  uint32_t count = 0;

  (void)present;
  (void)budget;
  count_copies (w, copies);
  for (uint32_t e = 0; e < in->size.experts; e++)
    for (uint32_t n = 0; n < copies[e]; n++)
      {
        replicas[count].load = in->load[e] / copies[e];
        replicas[count++].expert = e;
      }
  qsort (replicas, count, sizeof *replicas, heavier_first);
  for (uint32_t i = 0; i < count; i++)
    place (w, &replicas[i]);
  work_index (w);
  work_split (w, SPLIT_SWEEPS);
  work_store (w, out);
  g_free (replicas);
  g_free (copies);
  work_free (w);
}

const struct bb_planner bb_planner_greedy
    = { .name = "greedy", .plan = plan_greedy };
