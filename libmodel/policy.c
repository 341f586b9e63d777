/* Load balancing policies: that of libroute and others to compare with.  */

#include "bilberry/model.h"

/* Writes to OUT the indexes of the candidates that were not tried yet, or of
   all COUNT candidates where all were tried.  Returns how many.  */
static uint32_t
select_untried (const struct bb_candidate *c, uint32_t count, uint32_t *out)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < count; i++)
    if (!c[i].tried)
      out[n++] = i;
  for (uint32_t i = 0; n == 0 && i < count; i++)
    out[i] = i;
  return n > 0 ? n : count;
}

static uint32_t
choose_round_robin (const struct bb_candidate *c, uint32_t count,
                    uint32_t *state, GRand *rand)
{
  uint32_t indexes[128];
  uint32_t n = select_untried (c, count, indexes);

  (void)rand;
  return n == 0 ? BB_ROUTE_NONE : indexes[(*state)++ % n];
}

static uint32_t
choose_random (const struct bb_candidate *c, uint32_t count, uint32_t *state,
               GRand *rand)
{
  uint32_t indexes[128];
  uint32_t n = select_untried (c, count, indexes);

  (void)state;
  return n == 0 ? BB_ROUTE_NONE
                : indexes[g_rand_int_range (rand, 0, (gint32)n)];
}

static uint32_t
choose_least_in_flight (const struct bb_candidate *c, uint32_t count,
                        uint32_t *state, GRand *rand)
{
  uint32_t indexes[128];
  uint32_t n = select_untried (c, count, indexes);
  uint32_t best = BB_ROUTE_NONE;

  (void)rand;
  (*state)++;
  for (uint32_t i = 0; i < n; i++)
    {
      uint32_t k = indexes[(i + *state) % n];
      if (best == BB_ROUTE_NONE || c[k].own_in_flight < c[best].own_in_flight)
        best = k;
    }
  return best;
}

static uint32_t
choose_bilberry (const struct bb_candidate *c, uint32_t count, uint32_t *state,
                 GRand *rand)
{
  (void)state;
  return bb_route_choose (c, count, rand);
}

const struct bb_model_policy bb_model_round_robin
    = { "round_robin", choose_round_robin, false, false };
const struct bb_model_policy bb_model_random
    = { "random", choose_random, false, false };
const struct bb_model_policy bb_model_least_in_flight
    = { "least_in_flight", choose_least_in_flight, false, false };
const struct bb_model_policy bb_model_bilberry
    = { "bilberry", choose_bilberry, true, true };
const struct bb_model_policy bb_model_bilberry_no_prefix
    = { "no_prefix", choose_bilberry, true, false };
