/* Ends a switch that another leader left: completes it where all ranks are
   armed or can be, revokes it where one cannot have been armed, and waits
   otherwise.  */

#include "switch.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Time for states to show that the switch has ended.  */
  SETTLE_DELAY_MS = 150,
  DETACHED_RANKS_MAX = 1,   /* ranks without an agent, or with a frozen one */
  MISSING_TIMEOUT_MS = 300, /* a rank that is silent for longer is missing */
  /* A rank that has refused the map of CLEARING and does not have it by then
     has a higher version.  */
  REFUSED_MAX_MS = 450
};

/* What is known of an ARM that another agent sent to the missing rank.  */
enum relayed_arm
{
  ARM_NOT_SENT,
  ARM_UNANSWERED, /* sent, but no answer is known */
  ARM_ACCEPTED
};

static enum relayed_arm
relayed_arm_to_missing (const struct bb_group_switch *sw, uint64_t version)
{
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    {
      const struct bb_group_switch_rank *k = &sw->ranks[r];
      if (k->relayed_epoch == sw->epoch && k->relayed_version == version
          && k->relayed_rank == sw->missing_rank)
        return k->relayed_accepted ? ARM_ACCEPTED : ARM_UNANSWERED;
    }
  return ARM_NOT_SENT;
}

/* Whether the last order of all other ranks came from the agent of the missing
   rank.  If so, no other leader can have had the missing rank armed.  */
static bool
only_missing_rank_led (const struct bb_group_switch *sw)
{
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    if (r != sw->missing_rank && sw->ranks[r].last_leader != sw->missing_rank)
      return false;
  return true;
}

/* Returns whether the agent of some rank was ordered to disarm VERSION.  */
static bool
is_disarmed (const struct bb_group_switch *sw, uint64_t version)
{
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    if (sw->ranks[r].disarmed_epoch == sw->epoch
        && sw->ranks[r].disarmed_version == version)
      return true;
  return false;
}

/* After MISSING_TIMEOUT_MS in this phase, sets the missing rank: the one
   without a recent state, or none where all have one.  Leaves it as it is
   where several have none.  */
static void
find_missing_rank (struct bb_group_switch *sw, bb_ms now)
{
  uint32_t silent = sw->size.ranks;

  if (now - sw->phase_since_ms < MISSING_TIMEOUT_MS)
    return;
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    {
      if (switch_is_fresh (sw, r, SETTLE_STATE_MAX_AGE_MS, now))
        continue;
      if (silent != sw->size.ranks)
        return;
      silent = r;
    }
  sw->missing_rank = silent;
}

/* Whether all ranks but the leader's have carried out the order of this
   phase.  */
static bool
others_are_done (const struct bb_group_switch *sw)
{
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    if (r != sw->self_rank && !sw->ranks[r].done)
      return false;
  return true;
}

/* Whether the agent of RANK has told that the leader's rank may be armed with
   the version of this switch.  */
static bool
knows_own_armed (const struct bb_group_switch *sw, uint32_t rank)
{
  const struct bb_group_switch_rank *k = &sw->ranks[rank];

  return k->attached && k->relayed_epoch == sw->epoch
         && k->relayed_version == sw->version
         && k->relayed_rank == sw->self_rank;
}

/* Whether the leader's rank may be armed: all others have carried out the ARM,
   and whichever leader comes next finds an agent that tells of it.  In a group
   of two that can be the other agent alone.  */
static bool
may_arm_own (const struct bb_group_switch *sw)
{
  uint32_t unaware_max = sw->size.ranks > 2 ? DETACHED_RANKS_MAX : 0;
  uint32_t unaware = 0;

  for (uint32_t r = 0; r < sw->size.ranks; r++)
    unaware += r != sw->self_rank && !knows_own_armed (sw, r);
#ifdef BB_MUTANT_switch_own_known
  unaware = 0;
#endif
  return others_are_done (sw) && unaware <= unaware_max;
}

/* Whether the agent of RANK knows that the version of this switch is
   revoked.  */
static bool
knows_revoked (const struct bb_group_switch *sw, uint32_t rank)
{
  const struct bb_group_switch_rank *k = &sw->ranks[rank];

  return k->done
         || (k->disarmed_epoch == sw->epoch
             && k->disarmed_version == sw->version);
}

/* Whether a DISARM may be sent: whichever leader comes next learns that the
   version is revoked, and does not complete it, although the DISARM may be
   carried out late.  */
static bool
may_disarm (const struct bb_group_switch *sw)
{
  uint32_t unaware = 0;

  for (uint32_t r = 0; r < sw->size.ranks; r++)
    unaware += !knows_revoked (sw, r);
#ifdef BB_MUTANT_switch_revoked_known
  unaware = 0;
#endif
  return unaware <= DETACHED_RANKS_MAX;
}

static void
begin_disarm (struct bb_group_switch *sw, bb_ms now)
{
  switch_enter_phase (sw, BB_GROUP_SWITCH_DISARMING, now);
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    sw->ranks[r].done = r == sw->missing_rank || !switch_is_armed (sw, r);
  switch_send_due_orders (sw, BB_GROUP_SWITCH_DISARM,
                          switch_round_retry_ms (sw), now);
}

void
switch_continue_revoking (struct bb_group_switch *sw, bb_ms now)
{
  bb_ms retry_ms = switch_round_retry_ms (sw);

  if (may_disarm (sw))
    {
      begin_disarm (sw, now);
      return;
    }
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    if (sw->ranks[r].attached && !knows_revoked (sw, r)
        && switch_order_is_due (sw, r, retry_ms, now))
      switch_send_order (sw, r, BB_GROUP_SWITCH_FENCE, r, now);
}

/* Begins to disarm all ranks that are armed with the version of this
   switch.  */
static void
begin_revoke (struct bb_group_switch *sw, bb_ms now)
{
  switch_enter_phase (sw, BB_GROUP_SWITCH_REVOKING, now);
  switch_continue_revoking (sw, now);
}

/* Whether all ranks can still use the version of this switch.  One that
   another leader has given another map since refuses the ARM for good.  */
static bool
can_complete (const struct bb_group_switch *sw)
{
#ifdef BB_MUTANT_switch_can_complete
  return true;
#endif
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    {
      const struct bb_group_switch_rank *k = &sw->ranks[r];
      if (r != sw->missing_rank && k->prepared_version != sw->version
          && k->armed_version != sw->version && k->map_version != sw->version)
        return false;
    }
  return true;
}

/* Whether RANK, not the leader's, is to get the ARM: it has not carried it
   out, or was ordered without its agent, which does not know of the leader's
   rank.  */
static bool
is_arm_needed (const struct bb_group_switch *sw, uint32_t rank)
{
  return !sw->ranks[rank].done
         || (sw->ranks[rank].attached && !knows_own_armed (sw, rank));
}

/* Sends the ARM to the ranks that are armed already, to the others once those
   have answered, and to the leader's own once all others have and their agents
   tell that it may be armed.  */
void
switch_continue_forwarding (struct bb_group_switch *sw, bb_ms now)
{
  bb_ms retry_ms = switch_round_retry_ms (sw);
  bool armed_pending = false;

  if (!can_complete (sw))
    {
      begin_revoke (sw, now);
      return;
    }
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    if (switch_is_armed (sw, r) && !sw->ranks[r].done)
      {
        armed_pending = true;
        if (switch_order_is_due (sw, r, ORDER_RETRY_MS, now))
          switch_send_order (sw, r, BB_GROUP_SWITCH_ARM, r, now);
      }
  for (uint32_t r = 0; r < sw->size.ranks && !armed_pending; r++)
    if ((r == sw->self_rank ? may_arm_own (sw) : is_arm_needed (sw, r))
        && switch_was_sent_before (sw, r, retry_ms, now))
      switch_send_order (sw, r, BB_GROUP_SWITCH_ARM, r, now);
}

/* Whether the rows of RANK in the map in use are known.  */
static bool
is_row_known (const struct bb_group_switch *sw, uint32_t rank)
{
  const struct bb_group_switch_rank *k = &sw->ranks[rank];

  return rank != sw->missing_rank && k->row_epoch == sw->epoch
         && k->row_version == k->map_version;
}

/* Returns the first rank from FIRST on whose rows are not known, or the number
   of ranks.  */
static uint32_t
find_unknown_row (const struct bb_group_switch *sw, uint32_t first)
{
  while (first < sw->size.ranks && is_row_known (sw, first))
    first++;
  return first;
}

/* Whether the rows of the map in use are known for all ranks but one: that one
   holds the experts that no other rank holds.  */
static bool
current_map_is_known (const struct bb_group_switch *sw)
{
  uint32_t unknown = find_unknown_row (sw, 0);

  return unknown == sw->size.ranks
         || find_unknown_row (sw, unknown + 1) == sw->size.ranks;
}

/* Fills the rows of rank UNKNOWN with the experts that no other rank holds, as
   a map must hold all experts.  This one is only prepared, never armed.  */
static void
fill_unknown_rows (const struct bb_group_switch *sw, uint32_t unknown,
                   uint16_t *map)
{
  const struct bb_group_size *s = &sw->size;
  bool *held = calloc (s->experts, sizeof *held);

  if (!held)
    abort ();
  for (uint32_t set = 0; set < s->sets; set++)
    {
      uint16_t *rows = map + (size_t)set * s->ranks * s->places;
      uint16_t *row = rows + (size_t)unknown * s->places;
      uint32_t n = 0;
      memset (held, 0, s->experts * sizeof *held);
      for (uint32_t r = 0; r < s->ranks; r++)
        for (uint32_t p = 0; p < s->places && r != unknown; p++)
          {
            uint16_t e = rows[(size_t)r * s->places + p];
            if (e < s->experts)
              held[e] = true;
          }
      memset (row, 0xff, s->places * sizeof *row);
      for (uint32_t e = 0; e < s->experts && n < s->places; e++)
        if (!held[e])
          row[n++] = (uint16_t)e;
    }
  free (held);
}

void
switch_begin_clearing (struct bb_group_switch *sw, bb_ms now)
{
  uint32_t unknown = find_unknown_row (sw, 0);

  memcpy (sw->next_map, sw->current_map,
          bb_group_places (&sw->size) * sizeof *sw->next_map);
  if (unknown < sw->size.ranks)
    fill_unknown_rows (sw, unknown, sw->next_map);
  bb_group_sort_rows (&sw->size, sw->next_map);
  sw->version = switch_next_number (sw);
  switch_enter_phase (sw, BB_GROUP_SWITCH_CLEARING, now);
  if (sw->missing_rank < sw->size.ranks)
    sw->ranks[sw->missing_rank].done = true;
  switch_send_due_orders (sw, BB_GROUP_SWITCH_PREPARE,
                          switch_round_retry_ms (sw), now);
}

/* Whether a rank would carry out a late ARM: it has a version prepared that it
   does not use.  */
static bool
may_be_armed_late (const struct bb_group_switch *sw)
{
#ifdef BB_MUTANT_switch_late_arm
  return false;
#endif
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    if (sw->ranks[r].prepared_version > sw->ranks[r].map_version)
      return true;
  return false;
}

/* Ends a hold for which no rank is armed.  The leader before may have sent
   orders to arm that are yet to be carried out.  */
static void
end_hold (struct bb_group_switch *sw, bb_ms now)
{
  if (!may_be_armed_late (sw))
    switch_begin_going (sw, now);
  else if (current_map_is_known (sw))
    switch_begin_clearing (sw, now);
}

/* Whether a decision is due: another leader may have left a switch, or a rank
   has refused the fence of this one.  */
static bool
is_unsettled (const struct bb_group_switch *sw)
{
  return !switch_none_pending (sw) || sw->fences_refused > 0;
}

/* Has the ranks accept the fence of this leader.  A leader without one is new,
   and what is pending is not its own, so it does not wait for that to end.
   Returns whether all have accepted it.  */
static bool
fence_ranks (struct bb_group_switch *sw, bool waited, bb_ms now)
{
  if (sw->fence == 0)
    switch_take_fence (sw, now);
  if (switch_all_fenced (sw))
    return true;
  if (waited || sw->fence_taken_ms >= sw->phase_since_ms)
    switch_send_fences (sw, now);
  return false;
}

/* Whether all that a decision rests on is known: recent states of all ranks
   but one, read after they had accepted the fence of this leader.  */
static bool
is_informed (struct bb_group_switch *sw, bb_ms now)
{
  bool waited = now - sw->phase_since_ms >= SETTLE_DELAY_MS;

  if (waited)
    find_missing_rank (sw, now);
#ifndef BB_MUTANT_lead_strangers
  if (is_unsettled (sw) && switch_count_detached (sw) > DETACHED_RANKS_MAX)
    return false;
#endif
  if (is_unsettled (sw) && !fence_ranks (sw, waited, now))
    return false;
  return waited && switch_all_fresh (sw, SETTLE_STATE_MAX_AGE_MS, now);
}

/* Decides on the switch of which ranks are armed, ARMED being the first one,
   or hold a pass.  */
static void
decide (struct bb_group_switch *sw, uint32_t armed, bb_ms now)
{
  uint32_t held = switch_find_held (sw);

  sw->held_rank = held < sw->size.ranks ? held : sw->self_rank;
  sw->step = held < sw->size.ranks ? sw->ranks[held].held_step : 0;
  if (armed < sw->size.ranks)
    {
      sw->step = sw->ranks[armed].armed_step;
      sw->version = sw->ranks[armed].armed_version;
    }
  if (sw->missing_rank < sw->size.ranks)
    {
      enum relayed_arm arm = relayed_arm_to_missing (sw, sw->version);
      if (arm == ARM_NOT_SENT && only_missing_rank_led (sw))
        {
          if (armed < sw->size.ranks)
            begin_revoke (sw, now);
          else
            begin_disarm (sw, now);
        }
      if (arm != ARM_ACCEPTED || armed == sw->size.ranks)
        return;
    }
  if (armed == sw->size.ranks)
    {
      end_hold (sw, now);
      return;
    }
  if (is_disarmed (sw, sw->version) || !can_complete (sw))
    {
      begin_revoke (sw, now);
      return;
    }
  switch_enter_phase (sw, BB_GROUP_SWITCH_FORWARDING, now);
  if (sw->missing_rank < sw->size.ranks)
    sw->ranks[sw->missing_rank].done = true;
  switch_continue_forwarding (sw, now);
}

void
switch_settle (struct bb_group_switch *sw, bb_ms now)
{
  if (!is_informed (sw, now))
    return;
  sw->fences_refused = 0;
  if (!switch_none_pending (sw))
    {
      decide (sw, switch_find_armed (sw), now);
      return;
    }
  sw->missing_rank = sw->size.ranks;
  switch_enter_phase (sw, BB_GROUP_SWITCH_IDLE, now);
}

/* Whether a rank cannot prepare the version of CLEARING: it has a higher one,
   which another leader gave it.  */
static bool
is_cleared_otherwise (const struct bb_group_switch *sw, bb_ms now)
{
#ifdef BB_MUTANT_switch_cleared_otherwise
  return false;
#endif
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    if (r != sw->missing_rank && sw->ranks[r].prepared_version > sw->version)
      return true;
  return sw->refused_ms != 0 && now - sw->refused_ms > REFUSED_MAX_MS;
}

void
switch_continue_clearing (struct bb_group_switch *sw, bb_ms now)
{
  uint32_t armed = switch_find_armed (sw);

  if (armed < sw->size.ranks)
    {
      sw->version = sw->ranks[armed].armed_version;
      begin_revoke (sw, now);
    }
  else if (switch_all_done (sw))
    switch_begin_going (sw, now);
  else if (is_cleared_otherwise (sw, now))
    switch_begin_clearing (sw, now);
  else
    switch_send_due_orders (sw, BB_GROUP_SWITCH_PREPARE,
                            switch_round_retry_ms (sw), now);
}

void
switch_continue_disarming (struct bb_group_switch *sw, bb_ms now)
{
  if (switch_all_done (sw) && current_map_is_known (sw))
    switch_begin_clearing (sw, now);
  else
    switch_send_due_orders (sw, BB_GROUP_SWITCH_DISARM,
                            switch_round_retry_ms (sw), now);
}
