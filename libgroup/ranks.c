/* What is known of the ranks of a switch, and orders to them.  */

#include "switch.h"

void
switch_enter_phase (struct bb_group_switch *l,
                    enum bb_group_switch_phase phase, bb_ms now)
{
  l->phase = phase;
  l->phase_since_ms = now;
  for (uint32_t r = 0; r < l->size.ranks; r++)
    {
      l->ranks[r].done = false;
      l->ranks[r].order_sent_ms = 0;
      l->ranks[r].orders_sent = 0;
    }
}

bool
switch_is_fresh (const struct bb_group_switch *l, uint32_t rank,
                 bb_ms max_age_ms, bb_ms now)
{
  const struct bb_group_switch_rank *k = &l->ranks[rank];

  return k->known && now - k->heard_ms <= max_age_ms && k->open
         && k->epoch == l->epoch;
}

bool
switch_all_fresh (const struct bb_group_switch *l, bb_ms max_age_ms, bb_ms now)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (r != l->missing_rank && !switch_is_fresh (l, r, max_age_ms, now))
      return false;
  return true;
}

bool
switch_is_armed (const struct bb_group_switch *l, uint32_t rank)
{
  return l->ranks[rank].armed_version > l->ranks[rank].map_version;
}

uint32_t
switch_find_armed (const struct bb_group_switch *l)
{
  uint32_t r = 0;

  while (r < l->size.ranks
         && (r == l->missing_rank || !switch_is_armed (l, r)))
    r++;
  return r;
}

uint32_t
switch_find_held (const struct bb_group_switch *l)
{
  uint32_t r = 0;

  while (r < l->size.ranks
         && (r == l->missing_rank || l->ranks[r].held_step == 0))
    r++;
  return r;
}

bool
switch_none_pending (const struct bb_group_switch *l)
{
  return switch_find_armed (l) == l->size.ranks
         && switch_find_held (l) == l->size.ranks;
}

void
switch_send_order (struct bb_group_switch *l, uint32_t rank,
                   enum bb_group_switch_op op, uint32_t via, bb_ms now)
{
  struct bb_group_switch_order o
      = { .op = op,
          .version = l->version,
          .step = l->step,
          .epoch = l->epoch,
          .map = op == BB_GROUP_SWITCH_PREPARE ? l->next_map : NULL,
          .via_rank = via };

  l->ranks[rank].order_sent_ms = now;
  l->ranks[rank].orders_sent++;
  l->send_order (rank, &o, l->user);
}

bool
switch_order_is_due (const struct bb_group_switch *l, uint32_t rank,
                     bb_ms retry_ms, bb_ms now)
{
  const struct bb_group_switch_rank *k = &l->ranks[rank];

  return !k->done
         && (k->order_sent_ms == 0 || now - k->order_sent_ms >= retry_ms);
}

void
switch_send_due_orders (struct bb_group_switch *l, enum bb_group_switch_op op,
                        bb_ms retry_ms, bb_ms now)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (switch_order_is_due (l, r, retry_ms, now))
      switch_send_order (l, r, op, r, now);
}

bool
switch_all_done (const struct bb_group_switch *l)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (!l->ranks[r].done)
      return false;
  return true;
}

uint64_t
switch_next_version (struct bb_group_switch *l)
{
  l->highest_version
      = (l->highest_version / BB_GROUP_RANKS_MAX + 1) * BB_GROUP_RANKS_MAX
        + l->self_rank;
  return l->highest_version;
}

void
switch_begin_going (struct bb_group_switch *l, bb_ms now)
{
  switch_enter_phase (l, BB_GROUP_SWITCH_GOING, now);
  switch_send_order (l, l->held_rank, BB_GROUP_SWITCH_GO, l->held_rank, now);
}
