#include "bilberry/load.h"

#include <stdlib.h>

enum
{
  SILENCE_MAX_MS = 500 /* several passes of a loaded engine */
};

bool
bb_balance_is_unresponsive (uint32_t in_flight, bb_ms last_received_ms,
                            bb_ms now)
{
  return in_flight > 0 && now - last_received_ms > SILENCE_MAX_MS;
}

static bool
any_responsive (const struct bb_balance_candidate *candidates, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (candidates[i].usable && !candidates[i].unresponsive)
      return true;
  return false;
}

static bool
is_eligible (const struct bb_balance_candidate *c, bool some_respond)
{
  return c->usable && !c->tried && c->in_flight < c->in_flight_max
         && !(c->unresponsive && some_respond);
}

static double
cost_of (const struct bb_balance_candidate *c,
         const struct bb_balance_cost *cost)
{
  double load = (c->in_flight + 1) * cost->per_request
                + c->pending_prompt_tokens * cost->per_prompt_token;

  return load * (c->relative_latency > 1 ? c->relative_latency : 1);
}

uint32_t
bb_balance_choose (const struct bb_balance_candidate *candidates,
                   uint32_t count, const struct bb_balance_cost *cost,
                   double draw)
{
  /* Costs that differ by less than one percent count as equal; the upstream in
     the entry's own failure domain is then preferred.  */
  static const double tie_ratio = 1.01;
  uint32_t best = BB_BALANCE_NONE;
  uint32_t first = count > 0 ? (uint32_t)(draw * count) % count : 0;
  double lowest_cost = 0;
  bool some_respond = any_responsive (candidates, count);

  for (uint32_t k = 0; k < count; k++)
    {
      uint32_t i = (first + k) % count;
      double new_cost;
      if (!is_eligible (&candidates[i], some_respond))
        continue;
      new_cost = cost_of (&candidates[i], cost);
      if (best == BB_BALANCE_NONE || new_cost * tie_ratio < lowest_cost
          || (new_cost < lowest_cost * tie_ratio && candidates[i].same_domain
              && !candidates[best].same_domain))
        {
          best = i;
          lowest_cost = new_cost;
        }
    }
  return best;
}

static int
compare_costs (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* Whether candidate C is to be considered, of the own failure domain only
   where OWN.  */
static bool
is_considered (const struct bb_balance_candidate *c, bool own,
               bool some_respond)
{
  return is_eligible (c, some_respond) && (c->same_domain || !own);
}

/* Returns the level up to which AMOUNT, in the unit of the costs, raises all
   candidates that cost less (water-filling); 0 where there is none.  */
static double
fill_level (const struct bb_balance_candidate *candidates, uint32_t count,
            const struct bb_balance_cost *cost, bool own, double amount)
{
  bool some_respond = any_responsive (candidates, count);
  double *costs = calloc (count + 1, sizeof *costs);
  double sum = 0;
  double level = 0;
  uint32_t n = 0;

  if (!costs)
    abort ();
  for (uint32_t i = 0; i < count; i++)
    if (is_considered (&candidates[i], own, some_respond))
      costs[n++] = cost_of (&candidates[i], cost);
  qsort (costs, n, sizeof *costs, compare_costs);
  for (uint32_t k = 0; k < n && (k == 0 || costs[k] < level); k++)
    {
      sum += costs[k];
      level = (amount + sum) / (k + 1);
    }
  free (costs);
  return level;
}

static uint32_t
count_considered (const struct bb_balance_candidate *candidates,
                  uint32_t count, bool own)
{
  bool some_respond = any_responsive (candidates, count);
  uint32_t n = 0;

  for (uint32_t i = 0; i < count; i++)
    n += is_considered (&candidates[i], own, some_respond);
  return n;
}

/* Returns a candidate that costs less than LEVEL, each with a chance in
   proportion to what it is below it.  */
static uint32_t
draw_below (const struct bb_balance_candidate *candidates, uint32_t count,
            const struct bb_balance_cost *cost, bool own, double level,
            double amount, double draw)
{
  bool some_respond = any_responsive (candidates, count);
  double left = draw * amount;
  uint32_t last = BB_BALANCE_NONE;

  for (uint32_t i = 0; i < count; i++)
    {
      double room;
      if (!is_considered (&candidates[i], own, some_respond))
        continue;
      room = level - cost_of (&candidates[i], cost);
      if (room <= 0)
        continue;
      last = i;
      left -= room;
      if (left < 0)
        break;
    }
  return last;
}

uint32_t
bb_balance_spread (const struct bb_balance_candidate *candidates,
                   uint32_t count, const struct bb_balance_cost *cost,
                   double unseen, double draw)
{
  /* Part of a request's weight by which the own failure domain may be fuller
     than all upstreams together.  */
  static const double domain_slack = 0.5;
  double amount = (unseen + 1) * cost->per_request;
  uint32_t all = count_considered (candidates, count, false);
  uint32_t own = count_considered (candidates, count, true);
  double level;
  double own_amount;
  double own_level;

#ifndef BB_MUTANT_balance_unseen
  if (unseen < 1)
#endif
    return bb_balance_choose (candidates, count, cost, draw);
  level = fill_level (candidates, count, cost, false, amount);
  own_amount = all > 0 ? amount * own / all : 0;
  own_level = fill_level (candidates, count, cost, true, own_amount);
  if (own > 0 && own_level <= level + domain_slack * cost->per_request)
    return draw_below (candidates, count, cost, true, own_level, own_amount,
                       draw);
  return draw_below (candidates, count, cost, false, level, amount, draw);
}
