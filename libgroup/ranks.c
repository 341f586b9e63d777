/* Queries the states of the ranks, and sends orders to them.  */

#include "switch.h"

void
switch_forget_orders (struct bb_group_switch *sw)
{
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    {
      sw->ranks[r].done = false;
      sw->ranks[r].order_sent_ms = 0;
      sw->ranks[r].orders_sent = 0;
    }
}

void
switch_enter_phase (struct bb_group_switch *sw,
                    enum bb_group_switch_phase phase, bb_ms now)
{
  sw->phase = phase;
  sw->phase_since_ms = now;
  sw->refused_ms = 0;
  switch_forget_orders (sw);
}

void
switch_abandon (struct bb_group_switch *sw, const char *why, bb_ms now)
{
  sw->abandoned++;
  sw->abandoned_why = why;
  switch_enter_phase (sw, BB_GROUP_SWITCH_IDLE, now);
}

uint32_t
switch_count_detached (const struct bb_group_switch *sw)
{
  uint32_t n = 0;

  for (uint32_t r = 0; r < sw->size.ranks; r++)
    n += !sw->ranks[r].attached;
  return n;
}

bool
switch_is_fresh (const struct bb_group_switch *sw, uint32_t rank,
                 bb_ms max_age_ms, bb_ms now)
{
  const struct bb_group_switch_rank *k = &sw->ranks[rank];

  return k->known && now - k->reported_ms <= max_age_ms && k->open
         && k->epoch == sw->epoch;
}

bool
switch_all_fresh (const struct bb_group_switch *sw, bb_ms max_age_ms,
                  bb_ms now)
{
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    if (r != sw->missing_rank && !switch_is_fresh (sw, r, max_age_ms, now))
      return false;
  return true;
}

bool
switch_is_armed (const struct bb_group_switch *sw, uint32_t rank)
{
  return sw->ranks[rank].armed_version > sw->ranks[rank].map_version;
}

uint32_t
switch_find_armed (const struct bb_group_switch *sw)
{
  uint32_t r = 0;

  while (r < sw->size.ranks
         && (r == sw->missing_rank || !switch_is_armed (sw, r)))
    r++;
  return r;
}

uint32_t
switch_find_held (const struct bb_group_switch *sw)
{
  uint32_t r = 0;

  while (r < sw->size.ranks
         && (r == sw->missing_rank || sw->ranks[r].held_step == 0))
    r++;
  return r;
}

bool
switch_none_pending (const struct bb_group_switch *sw)
{
  return switch_find_armed (sw) == sw->size.ranks
         && switch_find_held (sw) == sw->size.ranks;
}

void
switch_send_order (struct bb_group_switch *sw, uint32_t rank,
                   enum bb_group_switch_op op, uint32_t via, bb_ms now)
{
  bool revokes = sw->phase == BB_GROUP_SWITCH_REVOKING;
  struct bb_group_switch_order o
      = { .op = op,
          .version = op == BB_GROUP_SWITCH_FENCE && !revokes ? 0 : sw->version,
          .step = sw->step,
          .epoch = sw->epoch,
          .fence = sw->fence,
          .map = op == BB_GROUP_SWITCH_PREPARE ? sw->next_map : NULL,
          .via_rank = via,
          .own_armed = sw->phase == BB_GROUP_SWITCH_FORWARDING
                       || sw->phase == BB_GROUP_SWITCH_GOING };

#ifdef BB_MUTANT_switch_own_armed
  o.own_armed = false;
#endif
  sw->ranks[rank].order_sent_ms = now;
  sw->ranks[rank].orders_sent++;
  sw->send_order (rank, &o, sw->user);
}

bb_ms
switch_round_retry_ms (const struct bb_group_switch *sw)
{
  uint32_t left = 0;
  bb_ms ms;

  for (uint32_t r = 0; r < sw->size.ranks; r++)
    left += !sw->ranks[r].done;
  ms = (bb_ms)(left * sw->order_link_ms);
  return ms > ORDER_RETRY_MS ? ms : ORDER_RETRY_MS;
}

bool
switch_was_sent_before (const struct bb_group_switch *sw, uint32_t rank,
                        bb_ms retry_ms, bb_ms now)
{
  const struct bb_group_switch_rank *k = &sw->ranks[rank];

  return k->order_sent_ms == 0 || now - k->order_sent_ms >= retry_ms;
}

bool
switch_order_is_due (const struct bb_group_switch *sw, uint32_t rank,
                     bb_ms retry_ms, bb_ms now)
{
  return !sw->ranks[rank].done
         && switch_was_sent_before (sw, rank, retry_ms, now);
}

void
switch_send_due_orders (struct bb_group_switch *sw, enum bb_group_switch_op op,
                        bb_ms retry_ms, bb_ms now)
{
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    if (switch_order_is_due (sw, r, retry_ms, now))
      switch_send_order (sw, r, op, r, now);
}

bool
switch_all_done (const struct bb_group_switch *sw)
{
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    if (!sw->ranks[r].done)
      return false;
  return true;
}

uint64_t
switch_next_number (struct bb_group_switch *sw)
{
  uint64_t highest = MAX (sw->highest_version, sw->highest_fence);
  uint64_t giver = (uint64_t)sw->incarnation * BB_GROUP_RANKS_MAX;

#ifdef BB_MUTANT_switch_giver
  giver = 0;
#endif
  sw->highest_version
      = (highest / NUMBER_STRIDE + 1) * NUMBER_STRIDE + giver + sw->self_rank;
  return sw->highest_version;
}

void
switch_begin_going (struct bb_group_switch *sw, bb_ms now)
{
  switch_enter_phase (sw, BB_GROUP_SWITCH_GOING, now);
  switch_send_order (sw, sw->held_rank, BB_GROUP_SWITCH_GO, sw->held_rank,
                     now);
}
