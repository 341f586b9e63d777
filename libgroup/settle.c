/* Ends a switch that another leader left: goes forward where all ranks are
   armed or can be, gives it up where one cannot have been, waits otherwise. */

#include "switch.h"

#include <stdlib.h>
#include <string.h>

enum
{
  SETTLE_AFTER_MS = 150, /* for states to show the end of a switch */
  STRANGERS_MAX = 1,     /* ranks whose agent is gone, or frozen */
  MISSING_AFTER_MS = 300 /* a rank that cannot be asked for so long */
};

/* What is known of an arm that an agent gave the missing rank.  */
enum given
{
  GIVEN_NOT,
  GIVEN_PERHAPS, /* without answer so far */
  GIVEN_TAKEN
};

static enum given
was_given (const struct bb_group_switch *l, uint64_t version)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    {
      const struct bb_group_switch_rank *k = &l->ranks[r];
      if (k->relayed_epoch == l->epoch && k->relayed_version == version
          && k->relayed_rank == l->missing_rank)
        return k->relayed_accepted ? GIVEN_TAKEN : GIVEN_PERHAPS;
    }
  return GIVEN_NOT;
}

/* Whether no other leader than the missing rank's agent has given any order,
   so that none can have had the missing rank armed.  */
static bool
only_missing_led (const struct bb_group_switch *l)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (r != l->missing_rank && l->ranks[r].last_leader != l->missing_rank)
      return false;
  return true;
}

/* Whether some rank was told to disarm VERSION.  */
static bool
is_given_up (const struct bb_group_switch *l, uint64_t version)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (l->ranks[r].disarmed_epoch == l->epoch
        && l->ranks[r].disarmed_version == version)
      return true;
  return false;
}

/* Counts one rank that cannot be asked as missing.  */
static void
look_for_missing (struct bb_group_switch *l, bb_ms now)
{
  uint32_t silent = l->size.ranks;

  if (now - l->phase_since_ms < MISSING_AFTER_MS)
    return;
  for (uint32_t r = 0; r < l->size.ranks; r++)
    {
      if (lead_is_fresh (l, r, LEAD_SETTLE_FRESH_MS, now))
        continue;
      if (silent != l->size.ranks)
        return;
      silent = r;
    }
  l->missing_rank = silent;
}

void
lead_go_on_forwarding (struct bb_group_switch *l, bb_ms now)
{
  bool first = false;

  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (lead_is_armed (l, r) && !l->ranks[r].done)
      {
        first = true;
        if (lead_is_due (l, r, LEAD_AGAIN_MS, now))
          lead_give (l, r, BB_GROUP_SWITCH_ARM, r, now);
      }
  if (!first)
    lead_give_all (l, BB_GROUP_SWITCH_ARM, LEAD_AGAIN_MS, now);
}

static void
begin_disarm (struct bb_group_switch *l, bb_ms now)
{
  lead_enter (l, BB_GROUP_SWITCH_DISARMING, now);
  for (uint32_t r = 0; r < l->size.ranks; r++)
    l->ranks[r].done = r == l->missing_rank || !lead_is_armed (l, r);
  lead_give_all (l, BB_GROUP_SWITCH_DISARM, LEAD_AGAIN_MS, now);
}

/* Returns how many ranks have an agent that does not follow this leader: it
   may follow another, which may be ending the same switch in its own way.  */
static uint32_t
count_strangers (const struct bb_group_switch *l)
{
  uint32_t n = 0;

  for (uint32_t r = 0; r < l->size.ranks; r++)
    n += !l->ranks[r].attached;
  return n;
}

void
lead_settle (struct bb_group_switch *l, bb_ms now)
{
  uint32_t armed = lead_armed_rank (l);
  uint32_t held = lead_held_rank (l);

  if (now - l->phase_since_ms < SETTLE_AFTER_MS)
    return;
  look_for_missing (l, now);
  if (!lead_is_whole (l, LEAD_SETTLE_FRESH_MS, now))
    return;
#ifndef BB_MUTANT_lead_strangers
  if (!lead_is_clean (l) && count_strangers (l) > STRANGERS_MAX)
    return;
#endif
  if (lead_is_clean (l))
    {
      l->missing_rank = l->size.ranks;
      lead_enter (l, BB_GROUP_SWITCH_IDLE, now);
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
      enum given given = was_given (l, l->version);
      if (given == GIVEN_NOT && only_missing_led (l))
        begin_disarm (l, now);
      if (given != GIVEN_TAKEN || armed == l->size.ranks)
        return;
    }
  if (armed == l->size.ranks)
    {
      lead_begin_go (l, now);
      return;
    }
  if (is_given_up (l, l->version))
    {
      begin_disarm (l, now);
      return;
    }
  lead_enter (l, BB_GROUP_SWITCH_FORWARDING, now);
  if (l->missing_rank < l->size.ranks)
    l->ranks[l->missing_rank].done = true;
  lead_go_on_forwarding (l, now);
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
lead_begin_clear (struct bb_group_switch *l, bb_ms now)
{
  memcpy (l->next_map, l->current_map,
          bb_group_places (&l->size) * sizeof *l->next_map);
  if (l->missing_rank < l->size.ranks)
    fill_missing_rows (l, l->next_map);
  l->version = lead_next_version (l);
  lead_enter (l, BB_GROUP_SWITCH_CLEARING, now);
  if (l->missing_rank < l->size.ranks)
    l->ranks[l->missing_rank].done = true;
  lead_give_all (l, BB_GROUP_SWITCH_PREPARE, LEAD_AGAIN_MS, now);
}

void
lead_go_on_clearing (struct bb_group_switch *l, bb_ms now)
{
  uint32_t armed = lead_armed_rank (l);

  if (armed < l->size.ranks)
    {
      l->version = l->ranks[armed].armed_version;
      begin_disarm (l, now);
    }
  else if (lead_all_done (l))
    lead_begin_go (l, now);
  else
    lead_give_all (l, BB_GROUP_SWITCH_PREPARE, LEAD_AGAIN_MS, now);
}

/* Whether the map in force is known, but for the missing rank's rows.  */
static bool
has_lists (const struct bb_group_switch *l)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (r != l->missing_rank
        && (l->ranks[r].row_epoch != l->epoch
            || l->ranks[r].row_version != l->ranks[r].map_version))
      return false;
  return true;
}

void
lead_go_on_disarming (struct bb_group_switch *l, bb_ms now)
{
  if (lead_all_done (l) && has_lists (l))
    lead_begin_clear (l, now);
  else
    lead_give_all (l, BB_GROUP_SWITCH_DISARM, LEAD_AGAIN_MS, now);
}
