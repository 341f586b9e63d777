/* Ends a switch that another leader left: goes forward where all ranks are
   armed or can be, gives it up where one cannot have been, waits otherwise. */

#include "switch.h"

#include <stdlib.h>
#include <string.h>

enum
{
  SETTLE_DELAY_MS = 150,   /* for states to show the end of a switch */
  DETACHED_RANKS_MAX = 1,  /* ranks whose agent is gone, or frozen */
  MISSING_TIMEOUT_MS = 300 /* a rank that cannot be asked for so long */
};

/* What is known of an arm that an agent gave the missing rank.  */
enum relayed_arm
{
  ARM_NOT_SENT,
  ARM_UNANSWERED, /* without answer so far */
  ARM_ACCEPTED
};

static enum relayed_arm
relayed_arm_to_missing (const struct bb_group_switch *l, uint64_t version)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    {
      const struct bb_group_switch_rank *k = &l->ranks[r];
      if (k->relayed_epoch == l->epoch && k->relayed_version == version
          && k->relayed_rank == l->missing_rank)
        return k->relayed_accepted ? ARM_ACCEPTED : ARM_UNANSWERED;
    }
  return ARM_NOT_SENT;
}

/* Whether no other leader than the missing rank's agent has given any order,
   so that none can have had the missing rank armed.  */
static bool
only_missing_rank_led (const struct bb_group_switch *l)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (r != l->missing_rank && l->ranks[r].last_leader != l->missing_rank)
      return false;
  return true;
}

/* Whether some rank was told to disarm VERSION.  */
static bool
is_disarmed (const struct bb_group_switch *l, uint64_t version)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (l->ranks[r].disarmed_epoch == l->epoch
        && l->ranks[r].disarmed_version == version)
      return true;
  return false;
}

/* Counts one rank that cannot be asked as missing.  */
static void
find_missing_rank (struct bb_group_switch *l, bb_ms now)
{
  uint32_t silent = l->size.ranks;

  if (now - l->phase_since_ms < MISSING_TIMEOUT_MS)
    return;
  for (uint32_t r = 0; r < l->size.ranks; r++)
    {
      if (switch_is_fresh (l, r, SETTLE_STATE_MAX_AGE_MS, now))
        continue;
      if (silent != l->size.ranks)
        return;
      silent = r;
    }
  l->missing_rank = silent;
}

void
switch_continue_forwarding (struct bb_group_switch *l, bb_ms now)
{
  bool armed_pending = false;

  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (switch_is_armed (l, r) && !l->ranks[r].done)
      {
        armed_pending = true;
        if (switch_order_is_due (l, r, ORDER_RETRY_MS, now))
          switch_send_order (l, r, BB_GROUP_SWITCH_ARM, r, now);
      }
  if (!armed_pending)
    switch_send_due_orders (l, BB_GROUP_SWITCH_ARM, ORDER_RETRY_MS, now);
}

static void
begin_disarm (struct bb_group_switch *l, bb_ms now)
{
  switch_enter_phase (l, BB_GROUP_SWITCH_DISARMING, now);
  for (uint32_t r = 0; r < l->size.ranks; r++)
    l->ranks[r].done = r == l->missing_rank || !switch_is_armed (l, r);
  switch_send_due_orders (l, BB_GROUP_SWITCH_DISARM, ORDER_RETRY_MS, now);
}

/* Returns how many ranks have an agent that does not follow this leader: it
   may follow another, which may be ending the same switch in its own way.  */
static uint32_t
count_detached (const struct bb_group_switch *l)
{
  uint32_t n = 0;

  for (uint32_t r = 0; r < l->size.ranks; r++)
    n += !l->ranks[r].attached;
  return n;
}

void
switch_settle (struct bb_group_switch *l, bb_ms now)
{
  uint32_t armed = switch_find_armed (l);
  uint32_t held = switch_find_held (l);

  if (now - l->phase_since_ms < SETTLE_DELAY_MS)
    return;
  find_missing_rank (l, now);
  if (!switch_all_fresh (l, SETTLE_STATE_MAX_AGE_MS, now))
    return;
#ifndef BB_MUTANT_lead_strangers
  if (!switch_none_pending (l) && count_detached (l) > DETACHED_RANKS_MAX)
    return;
#endif
  if (switch_none_pending (l))
    {
      l->missing_rank = l->size.ranks;
      switch_enter_phase (l, BB_GROUP_SWITCH_IDLE, now);
      return;
    }
  l->held_rank = held < l->size.ranks ? held : l->self_rank;
  l->step = held < l->size.ranks ? l->ranks[held].held_step : 0;
  if (armed < l->size.ranks)
    {
      l->step = l->ranks[armed].armed_step;
      l->version = l->ranks[armed].armed_version;
    }
  if (l->missing_rank < l->size.ranks)
    {
      enum relayed_arm arm = relayed_arm_to_missing (l, l->version);
      if (arm == ARM_NOT_SENT && only_missing_rank_led (l))
        begin_disarm (l, now);
      if (arm != ARM_ACCEPTED || armed == l->size.ranks)
        return;
    }
  if (armed == l->size.ranks)
    {
      switch_begin_going (l, now);
      return;
    }
  if (is_disarmed (l, l->version))
    {
      begin_disarm (l, now);
      return;
    }
  switch_enter_phase (l, BB_GROUP_SWITCH_FORWARDING, now);
  if (l->missing_rank < l->size.ranks)
    l->ranks[l->missing_rank].done = true;
  switch_continue_forwarding (l, now);
}

/* Fills the rows of the missing rank with what no other rank holds: the map is
   only prepared, never armed, but it must be whole.  */
static void
fill_missing_rows (const struct bb_group_switch *l, uint16_t *map)
{
  const struct bb_group_size *s = &l->size;
  bool *held = calloc (s->experts, sizeof *held);

  if (!held)
    abort ();
  for (uint32_t set = 0; set < s->sets; set++)
    {
      uint16_t *rows = map + (size_t)set * s->ranks * s->places;
      uint16_t *row = rows + (size_t)l->missing_rank * s->places;
      uint32_t n = 0;
      memset (held, 0, s->experts * sizeof *held);
      for (uint32_t r = 0; r < s->ranks; r++)
        for (uint32_t p = 0; p < s->places && r != l->missing_rank; p++)
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
switch_begin_clearing (struct bb_group_switch *l, bb_ms now)
{
  memcpy (l->next_map, l->current_map,
          bb_group_places (&l->size) * sizeof *l->next_map);
  if (l->missing_rank < l->size.ranks)
    fill_missing_rows (l, l->next_map);
  l->version = switch_next_version (l);
  switch_enter_phase (l, BB_GROUP_SWITCH_CLEARING, now);
  if (l->missing_rank < l->size.ranks)
    l->ranks[l->missing_rank].done = true;
  switch_send_due_orders (l, BB_GROUP_SWITCH_PREPARE, ORDER_RETRY_MS, now);
}

void
switch_continue_clearing (struct bb_group_switch *l, bb_ms now)
{
  uint32_t armed = switch_find_armed (l);

  if (armed < l->size.ranks)
    {
      l->version = l->ranks[armed].armed_version;
      begin_disarm (l, now);
    }
  else if (switch_all_done (l))
    switch_begin_going (l, now);
  else
    switch_send_due_orders (l, BB_GROUP_SWITCH_PREPARE, ORDER_RETRY_MS, now);
}

/* Whether the map in force is known, but for the missing rank's rows.  */
static bool
current_map_is_known (const struct bb_group_switch *l)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (r != l->missing_rank
        && (l->ranks[r].row_epoch != l->epoch
            || l->ranks[r].row_version != l->ranks[r].map_version))
      return false;
  return true;
}

void
switch_continue_disarming (struct bb_group_switch *l, bb_ms now)
{
  if (switch_all_done (l) && current_map_is_known (l))
    switch_begin_clearing (l, now);
  else
    switch_send_due_orders (l, BB_GROUP_SWITCH_DISARM, ORDER_RETRY_MS, now);
}
