#include "workspace.h"

#include <math.h>
#include <string.h>

double
speed_of (const struct bb_layer_input *in, uint32_t rank)
{
  return in->speed ? in->speed[rank] : 1.0;
}

struct work *
work_new (const struct bb_layer_input *in, const struct bb_map_layer *layer)
{
  struct work *w = g_new0 (struct work, 1);

  w->in = in;
  w->slots_count = in->size.ranks * in->size.slots;
  w->expert = g_new (uint16_t, w->slots_count);
  w->part = g_new0 (double, w->slots_count);
  w->rank = g_new0 (double, in->size.ranks);
  w->first = g_new0 (uint32_t, in->size.experts + 1);
  w->holder = g_new0 (uint32_t, w->slots_count);
  if (layer)
    memcpy (w->expert, layer->expert, w->slots_count * sizeof *w->expert);
  else
    memset (w->expert, 0xff, w->slots_count * sizeof *w->expert);
  work_index (w);
  return w;
}

void
work_free (struct work *w)
{
  g_free (w->expert);
  g_free (w->part);
  g_free (w->rank);
  g_free (w->first);
  g_free (w->holder);
  g_free (w);
}

void
work_copy (struct work *to, const struct work *from)
{
  const struct bb_map_size *size = &from->in->size;

  memcpy (to->expert, from->expert, from->slots_count * sizeof *to->expert);
  memcpy (to->part, from->part, from->slots_count * sizeof *to->part);
  memcpy (to->rank, from->rank, size->ranks * sizeof *to->rank);
  memcpy (to->first, from->first, (size->experts + 1) * sizeof *to->first);
  memcpy (to->holder, from->holder, from->slots_count * sizeof *to->holder);
}

void
work_index (struct work *w)
{
  uint32_t experts = w->in->size.experts;

  memset (w->first, 0, (experts + 1) * sizeof *w->first);
  for (uint32_t i = 0; i < w->slots_count; i++)
    if (w->expert[i] != BB_NO_EXPERT)
      w->first[w->expert[i] + 1]++;
  for (uint32_t e = 0; e < experts; e++)
    w->first[e + 1] += w->first[e];
  for (uint32_t i = w->slots_count; i-- > 0;)
    if (w->expert[i] != BB_NO_EXPERT)
      w->holder[--w->first[w->expert[i] + 1]] = i;
  /* Each start has moved one place up; bring them back.  */
  for (uint32_t e = 0; e < experts; e++)
    w->first[e] = w->first[e + 1];
  w->first[experts] = 0;
  for (uint32_t i = 0; i < w->slots_count; i++)
    w->first[experts] += w->expert[i] != BB_NO_EXPERT;
}

double
work_time (const struct work *w, uint32_t rank)
{
  return w->rank[rank] / speed_of (w->in, rank);
}

double
work_largest (const struct work *w)
{
  double largest = 0;

  for (uint32_t r = 0; r < w->in->size.ranks; r++)
    largest = fmax (largest, work_time (w, r));
  return largest;
}

bool
work_holds (const struct work *w, uint32_t rank, uint32_t expert)
{
  uint32_t slots = w->in->size.slots;

  for (uint32_t i = rank * slots; i < (rank + 1) * slots; i++)
    if (w->expert[i] == expert)
      return true;
  return false;
}

static void
add_ranks (struct work *w)
{
  memset (w->rank, 0, w->in->size.ranks * sizeof *w->rank);
  for (uint32_t i = 0; i < w->slots_count; i++)
    w->rank[i / w->in->size.slots] += w->part[i];
}

static void
split_evenly (struct work *w)
{
  for (uint32_t i = 0; i < w->slots_count; i++)
    {
      uint32_t e = w->expert[i];
      w->part[i] = e == BB_NO_EXPERT
                       ? 0
                       : w->in->load[e] / (w->first[e + 1] - w->first[e]);
    }
  add_ranks (w);
}

/* Orders the holders of an expert by the time of their ranks without it.  */
static void
sort_holders (const struct work *w, uint32_t *holder, uint32_t count)
{
  for (uint32_t i = 1; i < count; i++)
    {
      uint32_t h = holder[i];
      double t = work_time (w, h / w->in->size.slots);
      uint32_t j = i;
      while (j > 0 && work_time (w, holder[j - 1] / w->in->size.slots) > t)
        {
          holder[j] = holder[j - 1];
          j--;
        }
      holder[j] = h;
    }
}

/* Pours the load of expert E over its replicas so that their ranks end at
   one time, as far as its load reaches.  Returns the largest change.  */
static double
pour (struct work *w, uint32_t e)
{
  uint32_t slots = w->in->size.slots;
  uint32_t *holder = w->holder + w->first[e];
  uint32_t count = w->first[e + 1] - w->first[e];
  double load = w->in->load[e];
  double speed = 0;
  double below = 0;
  double level = 0;
  double change = 0;

  for (uint32_t i = 0; i < count; i++)
    w->rank[holder[i] / slots] -= w->part[holder[i]];
  sort_holders (w, holder, count);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t r = holder[i] / slots;
      if (i > 0 && work_time (w, r) >= level)
        break;
      speed += speed_of (w->in, r);
      below += w->rank[r];
      level = (load + below) / speed;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t r = holder[i] / slots;
      double part = fmax (0, level * speed_of (w->in, r) - w->rank[r]);
      change = fmax (change, fabs (part - w->part[holder[i]]));
      w->part[holder[i]] = part;
      w->rank[r] += part;
    }
  return change;
}

static void
split_by_weight (struct work *w, uint32_t sweeps)
{
  uint32_t experts = w->in->size.experts;
  double change = 1;
  double enough = 0;

  split_evenly (w);
  for (uint32_t e = 0; e < experts; e++)
    enough += w->in->load[e] * 1e-5 / w->in->size.ranks;
  for (uint32_t n = 0; n < sweeps && change > enough; n++)
    {
      change = 0;
      for (uint32_t e = 0; e < experts; e++)
        if (w->first[e + 1] - w->first[e] > 1)
          change = fmax (change, pour (w, e));
    }
  add_ranks (w);
}

void
work_split (struct work *w, uint32_t sweeps)
{
  if (w->in->split == BB_SPLIT_EVEN)
    split_evenly (w);
  else
    split_by_weight (w, sweeps);
}

/* Rounds the shares of expert E so that they add up to the whole.  */
static void
store_shares (const struct work *w, uint32_t e, struct bb_map_layer *out)
{
  const uint32_t *holder = w->holder + w->first[e];
  uint32_t count = w->first[e + 1] - w->first[e];
  double load = w->in->load[e];
  double done = 0;
  uint32_t given = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t upto;
      done += load > 0 ? w->part[holder[i]] / load : 1.0 / count;
      upto = i + 1 == count
                 ? BB_SHARE_TOTAL
                 : (uint32_t)lround (fmin (done, 1) * BB_SHARE_TOTAL);
      out->share[holder[i]] = (uint16_t)(upto - given);
      given = upto;
    }
}

void
work_store (const struct work *w, struct bb_map_layer *out)
{
  memcpy (out->expert, w->expert, w->slots_count * sizeof *out->expert);
  memset (out->share, 0, w->slots_count * sizeof *out->share);
  for (uint32_t e = 0; e < w->in->size.experts; e++)
    store_shares (w, e, out);
}
