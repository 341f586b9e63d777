#include "group_rank.h"

#include <string.h>

static uint16_t
prepare (struct group_rank *k, const struct bb_group_switch_order *o,
         const uint16_t *map, uint32_t places, bool repeat_ok)
{
  if (o->version == k->prepared_version
      || (repeat_ok && o->version == k->copying_version))
    return BB_GROUP_ORDER_DONE;
  if (o->version <= k->highest_version || k->armed_version > k->map_version)
    return BB_GROUP_ORDER_CONFLICT;
  k->highest_version = o->version;
  k->copying_version = o->version;
  k->prepared_version = 0;
  memcpy (k->next, map, places * sizeof *map);
  return BB_GROUP_ORDER_BEGUN;
}

static uint16_t
arm (struct group_rank *k, const struct group_clock *c,
     const struct bb_group_switch_order *o)
{
  if (k->armed_version == o->version && k->armed_step == o->step)
    return BB_GROUP_ORDER_DONE;
  if (k->prepared_version != o->version || o->step <= c->step)
    return BB_GROUP_ORDER_CONFLICT;
  k->armed_version = o->version;
  k->armed_step = o->step;
  return BB_GROUP_ORDER_BEGUN;
}

static uint16_t
hold (struct group_rank *k, const struct group_clock *c, uint64_t step)
{
  if (k->held_step == step)
    return BB_GROUP_ORDER_DONE;
  if (k->held_step != 0 || step <= c->step)
    return BB_GROUP_ORDER_CONFLICT;
  k->held_step = step;
  return BB_GROUP_ORDER_BEGUN;
}

static uint16_t
disarm (struct group_rank *k, uint64_t version)
{
  if (k->map_version == version)
    return BB_GROUP_ORDER_CONFLICT;
  if (k->armed_version == version)
    k->armed_version = 0;
  return BB_GROUP_ORDER_DONE;
}

uint16_t
group_rank_order (struct group_rank *k, const struct group_clock *c,
                  const struct bb_group_switch_order *o, const uint16_t *map,
                  uint32_t places, bool repeat_ok, bool late)
{
  if (o->epoch != c->epoch)
    return BB_GROUP_ORDER_CONFLICT;
  if (o->fence < k->fence && !k->ignores_fences && !late)
    return BB_GROUP_ORDER_FENCED;
  if (!late)
    k->fence = MAX (k->fence, o->fence);
  switch (o->op)
    {
    case BB_GROUP_SWITCH_PREPARE:
      return prepare (k, o, map, places, repeat_ok);
    case BB_GROUP_SWITCH_ARM:
      return arm (k, c, o);
    case BB_GROUP_SWITCH_HOLD:
      return hold (k, c, o->step);
    case BB_GROUP_SWITCH_GO:
      if (k->held_step == o->step)
        k->held_step = 0;
      return BB_GROUP_ORDER_DONE;
    case BB_GROUP_SWITCH_DISARM:
      return disarm (k, o->version);
    case BB_GROUP_SWITCH_FENCE:
      return BB_GROUP_ORDER_DONE;
    }
  return BB_GROUP_ORDER_CONFLICT;
}

void
group_rank_copied (struct group_rank *k)
{
  if (k->copying_version == 0)
    return;
  k->prepared_version = k->copying_version;
  k->copying_version = 0;
}

void
group_rank_begin_pass (struct group_rank *k, const struct group_clock *c)
{
  if (k->armed_version <= k->map_version || k->armed_step != c->step)
    return;
  k->map_version = k->armed_version;
  memcpy (k->map, k->next, sizeof k->map);
}

struct bb_group_switch_rank
group_rank_state (const struct group_rank *k, const struct group_agent *a,
                  const struct group_clock *c)
{
  return (struct bb_group_switch_rank){
    .open = true,
    .epoch = c->epoch,
    .step = c->step,
    .map_version = k->map_version,
    .prepared_version = k->prepared_version,
    .armed_version = k->armed_version > k->map_version ? k->armed_version : 0,
    .armed_step = k->armed_step,
    .held_step = k->held_step,
    .last_leader = a->last_leader,
    .disarmed_version = a->disarmed_version,
    .disarmed_epoch = c->epoch,
    .relayed_epoch = a->relayed_epoch,
    .relayed_version = a->relayed_version,
    .relayed_rank = a->relayed_rank,
    .relayed_accepted = a->relayed_accepted,
    .fence_seen = a->fence_seen,
    .fence_accepted = a->fence_accepted,
    .row_version = k->map_version
  };
}

/* Records that RANK may be armed as O says.  */
static void
note_arm (struct group_agent *a, uint32_t rank,
          const struct bb_group_switch_order *o)
{
  a->relayed_epoch = o->epoch;
  a->relayed_version = o->version;
  a->relayed_rank = rank;
  a->relayed_accepted = false;
}

bool
group_agent_note (struct group_agent *a, uint32_t rank, uint32_t leader,
                  const struct bb_group_switch_order *o)
{
  bool noted = a->relayed_epoch == o->epoch && a->relayed_version == o->version
               && a->relayed_rank == leader;

  if (o->fence < a->fence_seen)
    return false;
  if (o->via_rank == rank)
    a->fence_seen = o->fence;
  if (o->op == BB_GROUP_SWITCH_ARM && o->via_rank != rank
      && o->via_rank != leader)
    note_arm (a, rank, o);
  else if (o->own_armed && o->via_rank != leader && !noted)
    note_arm (a, leader, o);
  if (o->via_rank != rank)
    return true;
  if (o->op != BB_GROUP_SWITCH_FENCE)
    a->last_leader = leader;
  if (o->op == BB_GROUP_SWITCH_DISARM
      || (o->op == BB_GROUP_SWITCH_FENCE && o->version != 0))
    a->disarmed_version = o->version;
  return true;
}

void
group_agent_note_accepted (struct group_agent *a, uint32_t rank,
                           const struct bb_group_switch_order *o)
{
  if (o->via_rank == rank)
    a->fence_accepted = MAX (a->fence_accepted, o->fence);
  if (o->op == BB_GROUP_SWITCH_ARM && o->version == a->relayed_version
      && rank == a->relayed_rank)
    a->relayed_accepted = true;
}
