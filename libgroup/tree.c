/* The ways of counts and maps between the agents of a group.  */

#include "bilberry/group.h"

#include <math.h>

/* The agents other than the leader, in the order of their ranks, form blocks
   of as many agents as there are blocks.  */

uint32_t
bb_group_fan_out (uint32_t ranks, double bytes, double round_bytes_max)
{
  uint32_t others = ranks > 1 ? ranks - 1 : 1;

#ifndef BB_MUTANT_group_tree
  if (others * bytes <= round_bytes_max)
#endif
    return others;
  return (uint32_t)ceil (sqrt (others));
}

/* Returns the position of RANK among the ranks other than LEADER.  */
static uint32_t
position_of (uint32_t rank, uint32_t leader)
{
  return rank > leader ? rank - 1 : rank;
}

static uint32_t
rank_at (uint32_t position, uint32_t leader)
{
  return position >= leader ? position + 1 : position;
}

uint32_t
bb_group_head_of (const struct bb_group_switch *sw, uint32_t fan_out,
                  uint32_t rank)
{
  uint32_t others = sw->size.ranks - 1;
  uint32_t first;

  if (fan_out >= others || rank == sw->self_rank)
    return sw->self_rank;
  first = position_of (rank, sw->self_rank) / fan_out * fan_out;
  for (uint32_t p = first; p < first + fan_out && p < others; p++)
    {
      uint32_t r = rank_at (p, sw->self_rank);
      if (r == rank)
        return sw->self_rank;
      if (sw->ranks[r].attached)
        return r;
    }
  return sw->self_rank;
}

bb_ms
bb_group_counts_interval_ms (uint32_t fan_out, double bytes,
                             double bytes_per_ms, bb_ms min_ms)
{
  double ms = bytes_per_ms > 0 ? fan_out * bytes / bytes_per_ms : 0;

  return ms > (double)min_ms ? (bb_ms)ceil (ms) : min_ms;
}
