/* Which ranks the leader sends the content of a map to, and when.  */

#include "bilberry/group.h"

#include <string.h>

enum
{
  /* Time whose share of the link may be used at once.  */
  BURST_MS = 50
};

void
bb_group_spread_init (struct bb_group_spread *s, double bytes_per_ms)
{
  memset (s, 0, sizeof *s);
  s->bytes_per_ms = bytes_per_ms;
  s->credit_bytes = bytes_per_ms * BURST_MS;
}

void
bb_group_spread_begin (struct bb_group_spread *s,
                       const struct bb_group_switch *sw, uint32_t fan_out)
{
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    {
      s->due[r] = r != sw->self_rank
                  && bb_group_head_of (sw, fan_out, r) == sw->self_rank;
      s->whole[r] = false;
    }
}

void
bb_group_spread_request (struct bb_group_spread *s, uint32_t rank)
{
  s->due[rank] = true;
  s->whole[rank] = true;
}

static void
refill (struct bb_group_spread *s, bb_ms now)
{
  double most = s->bytes_per_ms * BURST_MS;

  s->credit_bytes += s->bytes_per_ms * (double)(now - s->refilled_ms);
  if (s->credit_bytes > most)
    s->credit_bytes = most;
  s->refilled_ms = now;
}

uint32_t
bb_group_spread_next (struct bb_group_spread *s, uint32_t ranks, bb_ms now)
{
  refill (s, now);
#ifndef BB_MUTANT_spread_share
  if (s->bytes_per_ms > 0 && s->credit_bytes <= 0)
    return ranks;
#endif
  for (uint32_t r = 0; r < ranks; r++)
    if (s->due[r])
      {
        s->due[r] = false;
        return r;
      }
  return ranks;
}

void
bb_group_spread_sent (struct bb_group_spread *s, size_t bytes)
{
  s->credit_bytes -= (double)bytes;
}
