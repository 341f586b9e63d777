#include "bilberry/load.h"

enum
{
  MUTE_MS = 500 /* several passes of a loaded engine */
};

bool
bb_balance_is_unresponsive (uint32_t in_flight, bb_ms heard_ms, bb_ms now)
{
  return in_flight > 0 && now - heard_ms > MUTE_MS;
}

static bool
any_speaks (const struct bb_balance_candidate *places, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (places[i].usable && !places[i].unresponsive)
      return true;
  return false;
}

static bool
can_take (const struct bb_balance_candidate *p)
{
  return p->usable && !p->tried && p->in_flight < p->in_flight_max;
}

static double
score (const struct bb_balance_candidate *p,
       const struct bb_balance_cost *cost)
{
  double load = (p->in_flight + 1) * cost->per_request
                + p->pending_prompt_tokens * cost->per_prompt_token;

  return load * (p->relative_latency > 1 ? p->relative_latency : 1);
}

uint32_t
bb_balance_choose (const struct bb_balance_candidate *places, uint32_t count,
                   const struct bb_balance_cost *cost, double draw)
{
  /* A tie within a hundredth goes to the nearer one.  */
  static const double tie = 1.01;
  uint32_t best = BB_BALANCE_NONE;
  uint32_t first = count > 0 ? (uint32_t)(draw * count) % count : 0;
  double least = 0;
  bool speaks = any_speaks (places, count);

  for (uint32_t k = 0; k < count; k++)
    {
      uint32_t i = (first + k) % count;
      double s;
      if (!can_take (&places[i]) || (places[i].unresponsive && speaks))
        continue;
      s = score (&places[i], cost);
      if (best == BB_BALANCE_NONE || s * tie < least
          || (s < least * tie && places[i].same_domain
              && !places[best].same_domain))
        {
          best = i;
          least = s;
        }
    }
  return best;
}
