#include "workspace.h"

#include <math.h>
#include <stdlib.h>

/* Experts with the load that has no place yet.  Those from LOW up to HIGH
   remain, lightest first.  */
struct rest
{
  uint32_t *expert;
  double *load; /* by expert */
  uint32_t low;
  uint32_t high;
};

static void
put (struct work *w, uint32_t rank, uint32_t expert, double load)
{
  uint32_t slots = w->in->size.slots;

  for (uint32_t i = rank * slots; i < (rank + 1) * slots; i++)
    if (w->expert[i] == BB_NO_EXPERT)
      {
        w->expert[i] = (uint16_t)expert;
        w->part[i] = load;
        w->rank[rank] += load;
        return;
      }
}

/* Moves the heaviest expert, which has shrunk, back to its place.  */
static void
sink (struct rest *rest)
{
  uint32_t e = rest->expert[rest->high - 1];
  uint32_t i = rest->high - 1;

  while (i > rest->low && rest->load[rest->expert[i - 1]] > rest->load[e])
    {
      rest->expert[i] = rest->expert[i - 1];
      i--;
    }
  rest->expert[i] = e;
}

/* Fills RANK up to ROOM: the lightest experts whole, so many that the others
   will fit the ranks to come, then a piece of the heaviest.  */
static void
fill_rank (struct work *w, struct rest *rest, uint32_t rank, double room)
{
  uint32_t left = w->in->size.ranks - rank;
  uint32_t whole = (rest->high - rest->low + left - 1) / left;
  uint32_t e;

  whole = MIN (whole, w->in->size.slots - 1);
  for (uint32_t n = 0; n < whole && rest->low < rest->high; n++)
    {
      e = rest->expert[rest->low];
      if (rest->load[e] > room)
        break;
      put (w, rank, e, rest->load[e]);
      room -= rest->load[e];
      rest->low++;
    }
  if (rest->low == rest->high || room <= 0)
    return;
  e = rest->expert[rest->high - 1];
  if (rest->load[e] <= room)
    {
      put (w, rank, e, rest->load[e]);
      rest->high--;
      return;
    }
  put (w, rank, e, room);
  rest->load[e] -= room;
  sink (rest);
}

/* Places what remains on the ranks that end first and have a free slot.  */
static void
place_rest (struct work *w, struct rest *rest)
{
  const struct bb_map_size *size = &w->in->size;

  for (; rest->low < rest->high; rest->high--)
    {
      uint32_t e = rest->expert[rest->high - 1];
      uint32_t best = UINT32_MAX;
      for (uint32_t r = 0; r < size->ranks; r++)
        if (work_holds (w, r, BB_NO_EXPERT) && !work_holds (w, r, e)
            && (best == UINT32_MAX || work_time (w, r) < work_time (w, best)))
          best = r;
      if (best != UINT32_MAX)
        put (w, best, e, rest->load[e]);
    }
}

static int
by_load (const void *a, const void *b, void *arg)
{
  const double *load = arg;
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  if (load[x] != load[y])
    return load[x] < load[y] ? -1 : 1;
  return x < y ? -1 : x > y;
}

static void
plan_fill (const struct bb_layer_input *in, const struct bb_map_layer *present,
           uint32_t budget, struct bb_map_layer *out)
{
  struct work *w = work_new (in, NULL);
  struct rest rest
      = { .expert = g_new (uint32_t, in->size.experts),
          .load = g_memdup2 (in->load, in->size.experts * sizeof *in->load),
          .high = in->size.experts };
  double total = 0;
  double speed = 0;

  (void)present;
  (void)budget;
  for (uint32_t e = 0; e < in->size.experts; e++)
    {
      rest.expert[e] = e;
      total += in->load[e];
    }
  for (uint32_t r = 0; r < in->size.ranks; r++)
    speed += speed_of (in, r);
  qsort_r (rest.expert, in->size.experts, sizeof *rest.expert, by_load,
           rest.load);
  for (uint32_t r = 0; r < in->size.ranks; r++)
    fill_rank (w, &rest, r, total / speed * speed_of (in, r));
  place_rest (w, &rest);
  work_index (w);
  work_split (w, SPLIT_SWEEPS);
  work_store (w, out);
  g_free (rest.expert);
  g_free (rest.load);
  work_free (w);
}

const struct bb_planner bb_planner_fill
    = { .name = "fill", .plan = plan_fill };
