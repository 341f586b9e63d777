#include "workspace.h"

#include <math.h>
#include <stdlib.h>

/* Experts with load that is not placed yet: expert[low] up to, but not
   including, expert[high], lightest first.  */
struct remaining
{
  uint32_t *expert;
  double *load; /* part of the load of each expert that is not placed */
  uint32_t low;
  uint32_t high;
};

static void
add_replica (struct workspace *w, uint32_t rank, uint32_t expert, double load)
{
  uint32_t slots = w->in->size.slots;

  for (uint32_t i = rank * slots; i < (rank + 1) * slots; i++)
    if (w->expert[i] == BB_NO_EXPERT)
      {
        w->expert[i] = (uint16_t)expert;
        w->slot_load[i] = load;
        w->rank_load[rank] += load;
        return;
      }
}

/* Restores the order after the load of the last expert was reduced.  */
static void
reinsert_heaviest (struct remaining *remaining)
{
  uint32_t e = remaining->expert[remaining->high - 1];
  uint32_t i = remaining->high - 1;

  while (i > remaining->low
         && remaining->load[remaining->expert[i - 1]] > remaining->load[e])
    {
      remaining->expert[i] = remaining->expert[i - 1];
      i--;
    }
  remaining->expert[i] = e;
}

/* Fills RANK with load up to CAPACITY: first whole experts, lightest first, as
   many as needed for the others to fit the slots of the later ranks, then the
   heaviest expert or a part of it.  */
static void
fill_rank (struct workspace *w, struct remaining *remaining, uint32_t rank,
           double capacity)
{
  uint32_t ranks_left = w->in->size.ranks - rank;
  uint32_t whole_count
      = (remaining->high - remaining->low + ranks_left - 1) / ranks_left;
  uint32_t e;

  whole_count = MIN (whole_count, w->in->size.slots - 1);
  for (uint32_t n = 0; n < whole_count && remaining->low < remaining->high;
       n++)
    {
      e = remaining->expert[remaining->low];
      if (remaining->load[e] > capacity)
        break;
      add_replica (w, rank, e, remaining->load[e]);
      capacity -= remaining->load[e];
      remaining->low++;
    }
  if (remaining->low == remaining->high || capacity <= 0)
    return;
  e = remaining->expert[remaining->high - 1];
  if (remaining->load[e] <= capacity)
    {
      add_replica (w, rank, e, remaining->load[e]);
      remaining->high--;
      return;
    }
  add_replica (w, rank, e, capacity);
  remaining->load[e] -= capacity;
  reinsert_heaviest (remaining);
}

/* Places each remaining expert on the rank with the least time that has a free
   slot and does not have the expert.  */
static void
place_remaining (struct workspace *w, struct remaining *remaining)
{
  const struct bb_map_size *size = &w->in->size;

  for (; remaining->low < remaining->high; remaining->high--)
    {
      uint32_t e = remaining->expert[remaining->high - 1];
      uint32_t best = UINT32_MAX;
      for (uint32_t r = 0; r < size->ranks; r++)
        if (workspace_rank_has (w, r, BB_NO_EXPERT)
            && !workspace_rank_has (w, r, e)
            && (best == UINT32_MAX
                || workspace_rank_time (w, r) < workspace_rank_time (w, best)))
          best = r;
      if (best != UINT32_MAX)
        add_replica (w, best, e, remaining->load[e]);
    }
}

static int
compare_by_load (const void *a, const void *b, void *arg)
{
  const double *load = arg;
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  if (load[x] != load[y])
    return load[x] < load[y] ? -1 : 1;
  return x < y ? -1 : x > y;
}

static void
plan_fill (const struct bb_layer_input *in, const struct bb_map_layer *current,
           uint32_t budget, struct bb_map_layer *out)
{
  struct workspace *w = workspace_new (in, NULL);
  struct remaining remaining
      = { .expert = g_new (uint32_t, in->size.experts),
          .load = g_memdup2 (in->load, in->size.experts * sizeof *in->load),
          .high = in->size.experts };
  double total = 0;
  double speed = 0;

  (void)current;
  (void)budget;
  for (uint32_t e = 0; e < in->size.experts; e++)
    {
      remaining.expert[e] = e;
      total += in->load[e];
    }
  for (uint32_t r = 0; r < in->size.ranks; r++)
    speed += rank_speed (in, r);
  qsort_r (remaining.expert, in->size.experts, sizeof *remaining.expert,
           compare_by_load, remaining.load);
  for (uint32_t r = 0; r < in->size.ranks; r++)
    fill_rank (w, &remaining, r, total / speed * rank_speed (in, r));
  place_remaining (w, &remaining);
  workspace_index (w);
  workspace_split (w, SPLIT_SWEEPS);
  workspace_store (w, out);
  g_free (remaining.expert);
  g_free (remaining.load);
  workspace_free (w);
}

const struct bb_planner bb_planner_fill
    = { .name = "fill", .plan = plan_fill };
