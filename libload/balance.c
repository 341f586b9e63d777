#include "bilberry/load.h"

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
is_eligible (const struct bb_balance_candidate *c)
{
  return c->usable && !c->tried && c->in_flight < c->in_flight_max;
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
      if (!is_eligible (&candidates[i])
          || (candidates[i].unresponsive && some_respond))
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
