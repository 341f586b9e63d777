#include "bilberry/map.h"

enum
{
  MS_PER_S = 1000
};

void
bb_weight_pace_init (struct bb_weight_pace *p, uint64_t bytes_per_s,
                     uint32_t groups, bb_ms spread_ms, bb_ms now, GRand *rand)
{
  p->bytes_per_s = MAX (1, bytes_per_s / MAX (1, groups));
  p->free_at = now;
  if (spread_ms > 0)
    p->free_at += (bb_ms)(g_rand_double (rand) * (double)spread_ms);
}

bb_ms
bb_weight_pace_reserve (struct bb_weight_pace *p, uint64_t bytes, bb_ms now)
{
  bb_ms start_at = MAX (now, p->free_at);

  p->free_at
      = start_at
        + (bb_ms)((bytes * MS_PER_S + p->bytes_per_s - 1) / p->bytes_per_s);
  return start_at;
}

uint32_t
bb_weight_source (const struct bb_map_size *size,
                  const struct bb_map_layer *layer, uint32_t rank,
                  uint32_t expert, uint32_t *served)
{
  uint32_t best = BB_FROM_STORE;

  for (uint32_t i = 0; i < size->ranks * size->slots; i++)
    {
      uint32_t r = i / size->slots;
      if (layer->expert[i] == expert && r != rank
          && (best == BB_FROM_STORE || served[r] < served[best]))
        best = r;
    }
  if (best != BB_FROM_STORE)
    served[best]++;
  return best;
}

bool
bb_fence_accept (struct bb_fence *f, uint64_t id, uint64_t incarnation)
{
#ifndef BB_MUTANT_map_fence
  if (id < f->id || (id == f->id && incarnation != f->incarnation))
    return false;
#endif
  f->id = id;
  f->incarnation = incarnation;
  return true;
}
