/* Finds the best change of one set.  */

#include "rebalance.h"

/* A change must lower the sum of load powers by at least this fraction.  */
static const double improvement_min = 1e-4;

/* A change of the map: EXPERT is put into PLACE of RANK.  In an exchange, the
   expert that was there is put into FROM_PLACE of the most loaded rank.  */
struct change
{
  uint32_t rank;
  uint32_t place;
  uint16_t expert;
  bool is_exchange;
  uint32_t from_place;
  double power_sum; /* sum of load powers of all ranks after the change; an
                       exchange counts with half of its gain */
};

static double
load_power_change (const struct set_search *c, uint32_t rank, double change)
{
  return load_power (c, c->rank_load[rank] + change) - c->rank_power[rank];
}

static double
power_sum (const struct set_search *c)
{
  double sum = 0;

  for (uint32_t r = 0; r < c->size->ranks; r++)
    sum += c->rank_power[r];
  return sum;
}

/* Returns the sum of load powers after RANK takes expert ADD in place of DROP,
   which may be BB_PLACE_EMPTY.  SUM is the present sum.  */
static double
power_sum_after_copy (const struct set_search *c, uint32_t rank, uint16_t drop,
                      uint16_t add, double sum)
{
  bool drops = drop < c->size->experts;
  double added = c->loads[add] / (c->holders[add] + 1);
  double lost_share = c->loads[add] / c->holders[add] - added;
  double dropped = drops ? c->loads[drop] / c->holders[drop] : 0;
  double gained_share
      = drops ? c->loads[drop] / (c->holders[drop] - 1) - dropped : 0;
  const uint16_t *ranks = set_search_holders (c, add);

  sum += load_power_change (c, rank, added - dropped);
  for (uint32_t i = 0; i < c->holders[add]; i++)
    {
      bool gains = drops && set_search_holds (c, ranks[i], drop);
      sum += load_power_change (c, ranks[i],
                                (gains ? gained_share : 0) - lost_share);
    }
  if (!drops)
    return sum;
  ranks = set_search_holders (c, drop);
  for (uint32_t i = 0; i < c->holders[drop]; i++)
    if (ranks[i] != rank && !set_search_holds (c, ranks[i], add))
      sum += load_power_change (c, ranks[i], gained_share);
  return sum;
}

/* Tries to copy EXPERT into each place of RANK whose expert another rank holds
   too, or that is empty.  Stores the best change in BEST if it is better.  */
static void
try_copies (const struct set_search *c, uint32_t rank, uint16_t expert,
            double sum, struct change *best)
{
  const uint16_t *row = set_search_row (c, rank);

  for (uint32_t p = 0; p < c->size->places; p++)
    {
      uint16_t drop = row[p];
      double after;
      if (drop < c->size->experts && c->holders[drop] < 2)
        continue;
      after = power_sum_after_copy (c, rank, drop, expert, sum);
      if (after < best->power_sum)
        *best = (struct change){
          .rank = rank, .place = p, .expert = expert, .power_sum = after
        };
    }
}

/* Tries to exchange the expert in FROM_PLACE of rank FROM for each expert of
   RANK.  An exchange takes two copies, so its gain counts half.  Stores the
   best change in BEST if it is better.  */
static void
try_exchanges (const struct set_search *c, uint32_t from, uint32_t from_place,
               uint32_t rank, double sum, uint32_t new_experts_max,
               struct change *best)
{
  uint16_t expert = set_search_row (c, from)[from_place];
  double expert_load = c->loads[expert] / c->holders[expert];

  for (uint32_t p = 0; p < c->size->places; p++)
    {
      uint16_t back_expert = set_search_row (c, rank)[p];
      double back_load;
      double gain;
      if (back_expert >= c->size->experts
          || set_search_holds (c, from, back_expert)
          || c->new_experts[from] + set_search_is_new (c, from, back_expert)
                 > new_experts_max)
        continue;
      back_load = c->loads[back_expert] / c->holders[back_expert];
      gain = -(load_power_change (c, from, back_load - expert_load)
               + load_power_change (c, rank, expert_load - back_load));
      if (sum - gain / 2 < best->power_sum)
        *best = (struct change){ .rank = rank,
                                 .place = p,
                                 .expert = expert,
                                 .is_exchange = true,
                                 .from_place = from_place,
                                 .power_sum = sum - gain / 2 };
    }
}

static void
apply_change (struct set_search *c, uint32_t from, const struct change *x)
{
  uint16_t back_expert = set_search_row (c, x->rank)[x->place];

  if (x->is_exchange)
    set_search_put (c, from, x->from_place, back_expert);
  set_search_put (c, x->rank, x->place, x->expert);
  set_search_sum_loads (c);
}

/* Tries the changes that move load off the rank FROM.  Stores the best one in
   BEST if it is better.  */
static void
try_changes (const struct set_search *c, uint32_t from, double sum,
             uint32_t new_experts_max, struct change *best)
{
  const struct bb_group_size *s = c->size;

  for (uint32_t i = 0; i < s->places; i++)
    {
      uint16_t expert = set_search_row (c, from)[i];
      if (expert >= s->experts || c->loads[expert] <= 0)
        continue;
      for (uint32_t r = 0; r < s->ranks; r++)
        {
          if (set_search_holds (c, r, expert)
              || c->new_experts[r] + set_search_is_new (c, r, expert)
                     > new_experts_max)
            continue;
          try_copies (c, r, expert, sum, best);
          try_exchanges (c, from, i, r, sum, new_experts_max, best);
        }
    }
}

bool
set_search_improve (struct set_search *c, uint32_t new_experts_max)
{
  uint32_t from = set_search_most_loaded (c);
  double sum = power_sum (c);
  double bound = sum * (1 - improvement_min);
  struct change best = { .power_sum = bound };

  try_changes (c, from, sum, new_experts_max, &best);
  if (best.power_sum >= bound)
    return false;
  apply_change (c, from, &best);
  return true;
}
