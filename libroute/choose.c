#include "bilberry/route.h"

static bool
less_loaded (const struct bb_candidate *a, const struct bb_candidate *b)
{
  uint64_t la = (uint64_t)a->own_in_flight + a->reported;
  uint64_t lb = (uint64_t)b->own_in_flight + b->reported;
  uint64_t wa = a->limit ? a->limit : 1;
  uint64_t wb = b->limit ? b->limit : 1;

  if (a->tried != b->tried)
    return !a->tried;
  return la * wb < lb * wa;
}

uint32_t
bb_route_choose (const struct bb_candidate *c, uint32_t count, GRand *rand)
{
  uint32_t first;
  uint32_t second;

  if (count == 0)
    return BB_ROUTE_NONE;
  if (count == 1)
    return 0;
  first = (uint32_t)g_rand_int_range (rand, 0, (gint32)count);
  second = (uint32_t)g_rand_int_range (rand, 0, (gint32)count - 1);
  if (second >= first)
    second++;
  return less_loaded (&c[second], &c[first]) ? second : first;
}
