#include "workspace.h"

#include <math.h>

struct bb_layer_time
bb_layer_time (const struct bb_layer_input *in,
               const struct bb_map_layer *layer)
{
  struct bb_layer_time t = { 0 };
  double speed = 0;
  double total = 0;

  for (uint32_t r = 0; r < in->size.ranks; r++)
    {
      double load = 0;
      for (uint32_t i = r * in->size.slots; i < (r + 1) * in->size.slots; i++)
        if (layer->expert[i] != BB_NO_EXPERT)
          load
              += in->load[layer->expert[i]] * layer->share[i] / BB_SHARE_TOTAL;
      t.largest = fmax (t.largest, load / rank_speed (in, r));
      total += load;
      speed += rank_speed (in, r);
    }
  t.mean = total / speed;
  return t;
}

/* Returns the heaviest load of one replica after each spare slot has been
   given to the expert with the heaviest load per replica.  */
static double
heaviest_even_share (const struct bb_layer_input *in)
{
  uint32_t spare = in->size.ranks * in->size.slots - in->size.experts;
  uint32_t *counts = g_new (uint32_t, in->size.experts);
  double heaviest = 0;

  for (uint32_t e = 0; e < in->size.experts; e++)
    counts[e] = 1;
  for (;; spare--)
    {
      uint32_t heaviest_expert = 0;
      for (uint32_t e = 1; e < in->size.experts; e++)
        if (in->load[e] / counts[e]
            > in->load[heaviest_expert] / counts[heaviest_expert])
          heaviest_expert = e;
      heaviest = in->load[heaviest_expert] / counts[heaviest_expert];
      if (spare == 0 || counts[heaviest_expert] == in->size.ranks)
        break;
      counts[heaviest_expert]++;
    }
  g_free (counts);
  return heaviest;
}

/* Returns the load of the heaviest expert on each of its ranks, where it is
   spread over as many ranks as the spare slots allow.  */
static double
heaviest_weighted_share (const struct bb_layer_input *in)
{
  uint32_t replicas_max
      = in->size.ranks * in->size.slots - in->size.experts + 1;
  double heaviest = 0;

  replicas_max = MIN (replicas_max, in->size.ranks);
  for (uint32_t e = 0; e < in->size.experts; e++)
    heaviest = fmax (heaviest, in->load[e] / replicas_max);
  return heaviest;
}

double
bb_layer_bound (const struct bb_layer_input *in)
{
  double total = 0;
  double speed = 0;
  double fastest = 0;
  double share = in->split == BB_SPLIT_EVEN ? heaviest_even_share (in)
                                            : heaviest_weighted_share (in);

  for (uint32_t e = 0; e < in->size.experts; e++)
    total += in->load[e];
  for (uint32_t r = 0; r < in->size.ranks; r++)
    {
      speed += rank_speed (in, r);
      fastest = fmax (fastest, rank_speed (in, r));
    }
  return fmax (total / speed, share / fastest);
}
