#include "workspace.h"

#include <math.h>
#include <string.h>

double
rank_speed (const struct bb_layer_input *in, uint32_t rank)
{
  return in->speed ? in->speed[rank] : 1.0;
}

struct workspace *
workspace_new (const struct bb_layer_input *in,
               const struct bb_map_layer *layer)
{
  struct workspace *w = g_new0 (struct workspace, 1);

  w->in = in;
  w->slot_count = in->size.ranks * in->size.slots;
  w->expert = g_new (uint16_t, w->slot_count);
  w->slot_load = g_new0 (double, w->slot_count);
  w->rank_load = g_new0 (double, in->size.ranks);
  w->first_holder = g_new0 (uint32_t, in->size.experts + 1);
  w->holders = g_new0 (uint32_t, w->slot_count);
  if (layer)
    memcpy (w->expert, layer->expert, w->slot_count * sizeof *w->expert);
  else
    memset (w->expert, 0xff, w->slot_count * sizeof *w->expert);
  workspace_index (w);
  return w;
}

void
workspace_free (struct workspace *w)
{
  g_free (w->expert);
  g_free (w->slot_load);
  g_free (w->rank_load);
  g_free (w->first_holder);
  g_free (w->holders);
  g_free (w);
}

void
workspace_copy (struct workspace *to, const struct workspace *from)
{
  const struct bb_map_size *size = &from->in->size;

  memcpy (to->expert, from->expert, from->slot_count * sizeof *to->expert);
  memcpy (to->slot_load, from->slot_load,
          from->slot_count * sizeof *to->slot_load);
  memcpy (to->rank_load, from->rank_load, size->ranks * sizeof *to->rank_load);
  memcpy (to->first_holder, from->first_holder,
          (size->experts + 1) * sizeof *to->first_holder);
  memcpy (to->holders, from->holders, from->slot_count * sizeof *to->holders);
}

void
workspace_index (struct workspace *w)
{
  uint32_t experts = w->in->size.experts;

  memset (w->first_holder, 0, (experts + 1) * sizeof *w->first_holder);
  for (uint32_t i = 0; i < w->slot_count; i++)
    if (w->expert[i] != BB_NO_EXPERT)
      w->first_holder[w->expert[i] + 1]++;
  for (uint32_t e = 0; e < experts; e++)
    w->first_holder[e + 1] += w->first_holder[e];
  for (uint32_t i = w->slot_count; i-- > 0;)
    if (w->expert[i] != BB_NO_EXPERT)
      w->holders[--w->first_holder[w->expert[i] + 1]] = i;
  /* The start of expert E is at index E + 1 now; shift all down by one.  */
  for (uint32_t e = 0; e < experts; e++)
    w->first_holder[e] = w->first_holder[e + 1];
  w->first_holder[experts] = 0;
  for (uint32_t i = 0; i < w->slot_count; i++)
    w->first_holder[experts] += w->expert[i] != BB_NO_EXPERT;
}

double
workspace_rank_time (const struct workspace *w, uint32_t rank)
{
  return w->rank_load[rank] / rank_speed (w->in, rank);
}

double
workspace_max_time (const struct workspace *w)
{
  double largest = 0;

  for (uint32_t r = 0; r < w->in->size.ranks; r++)
    largest = fmax (largest, workspace_rank_time (w, r));
  return largest;
}

bool
workspace_rank_has (const struct workspace *w, uint32_t rank, uint32_t expert)
{
  uint32_t slots = w->in->size.slots;

  for (uint32_t i = rank * slots; i < (rank + 1) * slots; i++)
    if (w->expert[i] == expert)
      return true;
  return false;
}

static void
sum_rank_loads (struct workspace *w)
{
  memset (w->rank_load, 0, w->in->size.ranks * sizeof *w->rank_load);
  for (uint32_t i = 0; i < w->slot_count; i++)
    w->rank_load[i / w->in->size.slots] += w->slot_load[i];
}

static void
split_evenly (struct workspace *w)
{
  for (uint32_t i = 0; i < w->slot_count; i++)
    {
      uint32_t e = w->expert[i];
      w->slot_load[i]
          = e == BB_NO_EXPERT
                ? 0
                : w->in->load[e]
                      / (w->first_holder[e + 1] - w->first_holder[e]);
    }
  sum_rank_loads (w);
}

/* Sorts the slots HOLDERS of an expert by the time of their ranks, which must
   not include the load of the expert.  */
static void
sort_holders (const struct workspace *w, uint32_t *holders, uint32_t count)
{
  for (uint32_t i = 1; i < count; i++)
    {
      uint32_t h = holders[i];
      double t = workspace_rank_time (w, h / w->in->size.slots);
      uint32_t j = i;
      while (j > 0
             && workspace_rank_time (w, holders[j - 1] / w->in->size.slots)
                    > t)
        {
          holders[j] = holders[j - 1];
          j--;
        }
      holders[j] = h;
    }
}

/* Splits the load of expert E over its replicas by water-filling: the ranks
   with the least other load are filled up to one common time.  Returns the
   largest change of the load of a slot.  */
static double
water_fill (struct workspace *w, uint32_t e)
{
  uint32_t slots = w->in->size.slots;
  uint32_t *holders = w->holders + w->first_holder[e];
  uint32_t count = w->first_holder[e + 1] - w->first_holder[e];
  double load = w->in->load[e];
  double speed = 0;
  double base_load = 0;
  double level = 0;
  double change = 0;

  for (uint32_t i = 0; i < count; i++)
    w->rank_load[holders[i] / slots] -= w->slot_load[holders[i]];
  sort_holders (w, holders, count);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t r = holders[i] / slots;
      if (i > 0 && workspace_rank_time (w, r) >= level)
        break;
      speed += rank_speed (w->in, r);
      base_load += w->rank_load[r];
      level = (load + base_load) / speed;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t r = holders[i] / slots;
      double part = fmax (0, level * rank_speed (w->in, r) - w->rank_load[r]);
      change = fmax (change, fabs (part - w->slot_load[holders[i]]));
      w->slot_load[holders[i]] = part;
      w->rank_load[r] += part;
    }
  return change;
}

/* Water-fills one expert after another until the loads converge or SWEEPS
   passes are done.  */
static void
split_by_weight (struct workspace *w, uint32_t sweeps)
{
  uint32_t experts = w->in->size.experts;
  double change = 1;
  double tolerance = 0;

  split_evenly (w);
  for (uint32_t e = 0; e < experts; e++)
    tolerance += w->in->load[e] * 1e-5 / w->in->size.ranks;
  for (uint32_t n = 0; n < sweeps && change > tolerance; n++)
    {
      change = 0;
      for (uint32_t e = 0; e < experts; e++)
        if (w->first_holder[e + 1] - w->first_holder[e] > 1)
          change = fmax (change, water_fill (w, e));
    }
  sum_rank_loads (w);
}

void
workspace_split (struct workspace *w, uint32_t sweeps)
{
  if (w->in->split == BB_SPLIT_EVEN)
    split_evenly (w);
  else
    split_by_weight (w, sweeps);
}

/* Stores the shares of expert E, rounded so that they add up to
   BB_SHARE_TOTAL.  */
static void
store_shares (const struct workspace *w, uint32_t e, struct bb_map_layer *out)
{
  const uint32_t *holders = w->holders + w->first_holder[e];
  uint32_t count = w->first_holder[e + 1] - w->first_holder[e];
  double load = w->in->load[e];
  double fraction = 0;
  uint32_t assigned = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t share_end;
      fraction += load > 0 ? w->slot_load[holders[i]] / load : 1.0 / count;
      share_end = i + 1 == count
                      ? BB_SHARE_TOTAL
                      : (uint32_t)lround (fmin (fraction, 1) * BB_SHARE_TOTAL);
      out->share[holders[i]] = (uint16_t)(share_end - assigned);
      assigned = share_end;
    }
}

void
workspace_store (const struct workspace *w, struct bb_map_layer *out)
{
  memcpy (out->expert, w->expert, w->slot_count * sizeof *out->expert);
  memset (out->share, 0, w->slot_count * sizeof *out->share);
  for (uint32_t e = 0; e < w->in->size.experts; e++)
    store_shares (w, e, out);
}
