/* Runs a switch that this leader began, and handles states, results and
   ticks.  */

#include "switch.h"

#include <stdlib.h>
#include <string.h>

enum
{
  PREPARE_TIMEOUT_MS = 8000, /* the switch is abandoned after this */
  PREPARE_RETRY_MS = 120,
  HOLD_AHEAD_STEPS = 2 /* passes from the last one seen to the held one */
};

const char *
bb_group_switch_phase_name (enum bb_group_switch_phase p)
{
  static const char *const names[]
      = { "idle",       "preparing", "holding",  "arming",
          "arming_own", "going",     "settling", "forwarding",
          "revoking",   "disarming", "clearing" };

  return p <= BB_GROUP_SWITCH_CLEARING ? names[p] : "unknown";
}

void
bb_group_switch_init (struct bb_group_switch *sw,
                      const struct bb_group_size *size, uint32_t self,
                      void (*order) (uint32_t rank,
                                     const struct bb_group_switch_order *o,
                                     void *user),
                      void *user)
{
  memset (sw, 0, sizeof *sw);
  sw->size = *size;
  sw->self_rank = self;
  sw->missing_rank = size->ranks;
  sw->send_order = order;
  sw->user = user;
  sw->current_map = malloc (bb_group_places (size) * sizeof *sw->current_map);
  sw->next_map = malloc (bb_group_places (size) * sizeof *sw->next_map);
  if (!sw->current_map || !sw->next_map)
    abort ();
  memset (sw->current_map, 0xff,
          bb_group_places (size) * sizeof *sw->current_map);
  memset (sw->next_map, 0xff, bb_group_places (size) * sizeof *sw->next_map);
  for (uint32_t r = 0; r < size->ranks; r++)
    sw->ranks[r].last_leader = BB_GROUP_NO_RANK;
}

void
bb_group_switch_free (struct bb_group_switch *sw)
{
  free (sw->current_map);
  free (sw->next_map);
  sw->current_map = NULL;
  sw->next_map = NULL;
}

bool
bb_group_switch_sends_directly (const struct bb_group_switch *sw)
{
  return sw->phase == BB_GROUP_SWITCH_GOING
         || sw->phase == BB_GROUP_SWITCH_SETTLING
         || sw->phase == BB_GROUP_SWITCH_FORWARDING
         || sw->phase == BB_GROUP_SWITCH_DISARMING
         || sw->phase == BB_GROUP_SWITCH_CLEARING;
}

/* Whether all passes have begun that were held before.  An order to go on that
   is carried out late would end a hold of the same pass.  */
static bool
is_past_closed_step (const struct bb_group_switch *sw)
{
#ifdef BB_MUTANT_switch_closed_step
  return true;
#endif
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    if (sw->ranks[r].step >= sw->closed_step)
      return true;
  return false;
}

bool
bb_group_switch_is_ready (const struct bb_group_switch *sw, bb_ms now)
{
  if (sw->phase != BB_GROUP_SWITCH_IDLE || sw->size.ranks < 2
      || sw->fences_refused > 0 || sw->missing_rank != sw->size.ranks
      || !switch_all_fresh (sw, STATE_MAX_AGE_MS, now)
      || !switch_none_pending (sw) || !is_past_closed_step (sw))
    return false;
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    {
      const struct bb_group_switch_rank *k = &sw->ranks[r];
      if (!k->attached || k->map_version != sw->ranks[0].map_version
          || k->row_version != k->map_version || k->row_epoch != sw->epoch)
        return false;
    }
  return true;
}

static void
begin_hold (struct bb_group_switch *sw, bb_ms now)
{
  switch_enter_phase (sw, BB_GROUP_SWITCH_HOLDING, now);
  sw->held_rank = sw->self_rank + 1 < sw->size.ranks ? sw->self_rank + 1 : 0;
  sw->step = 0;
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    if (sw->ranks[r].step > sw->step)
      sw->step = sw->ranks[r].step;
  sw->step += HOLD_AHEAD_STEPS;
  sw->closed_step = MAX (sw->closed_step, sw->step);
  switch_send_order (sw, sw->held_rank, BB_GROUP_SWITCH_HOLD, sw->self_rank,
                     now);
}

static void
begin_arm (struct bb_group_switch *sw, bb_ms now)
{
  switch_enter_phase (sw, BB_GROUP_SWITCH_ARMING, now);
  sw->ranks[sw->self_rank].done = true;
  switch_send_due_orders (sw, BB_GROUP_SWITCH_ARM, switch_round_retry_ms (sw),
                          now);
}

static void
begin_arm_own (struct bb_group_switch *sw, bb_ms now)
{
  switch_enter_phase (sw, BB_GROUP_SWITCH_ARMING_OWN, now);
  switch_send_order (sw, sw->self_rank, BB_GROUP_SWITCH_ARM, sw->held_rank,
                     now);
}

void
bb_group_switch_begin (struct bb_group_switch *sw, const uint16_t *next,
                       bb_ms now)
{
  memcpy (sw->next_map, next,
          bb_group_places (&sw->size) * sizeof *sw->next_map);
  bb_group_sort_rows (&sw->size, sw->next_map);
  if (sw->fence == 0)
    switch_take_fence (sw, now);
  sw->version = switch_next_number (sw);
  switch_enter_phase (sw, BB_GROUP_SWITCH_PREPARING, now);
  switch_send_due_orders (sw, BB_GROUP_SWITCH_PREPARE, PREPARE_RETRY_MS, now);
}

static void
copy_rows (struct bb_group_switch *sw, uint32_t rank, const uint16_t *rows)
{
  size_t row = sw->size.places;

  for (uint32_t s = 0; s < sw->size.sets; s++)
    memcpy (sw->current_map + ((size_t)s * sw->size.ranks + rank) * row,
            rows + s * row, row * sizeof *rows);
}

/* Enters EPOCH where it is newer.  Nothing known from an earlier epoch is
   valid in it, so the switch under way is abandoned.  */
static void
update_epoch (struct bb_group_switch *sw, uint64_t epoch, bb_ms now)
{
  if (epoch <= sw->epoch)
    return;
  sw->epoch = epoch;
  sw->version = 0;
  sw->highest_version = 0;
  sw->closed_step = 0;
  sw->missing_rank = sw->size.ranks;
  if (sw->phase != BB_GROUP_SWITCH_IDLE)
    switch_abandon (sw, "the group formed anew", now);
}

static void
update_highest_version (struct bb_group_switch *sw,
                        const struct bb_group_switch_rank *k)
{
  if (k->epoch != sw->epoch)
    return;
  if (k->prepared_version > sw->highest_version)
    sw->highest_version = k->prepared_version;
  if (k->map_version > sw->highest_version)
    sw->highest_version = k->map_version;
  if (k->armed_version > sw->highest_version)
    sw->highest_version = k->armed_version;
}

/* Takes the passes that were or may be held, as K tells, the FIRST state of
   its rank or a later one.  A leader before this one held no pass further
   ahead than this one would.  */
static void
update_closed_step (struct bb_group_switch *sw,
                    const struct bb_group_switch_rank *k, bool first)
{
  if (k->epoch != sw->epoch)
    return;
  if (first)
    sw->closed_step = MAX (sw->closed_step, k->step + HOLD_AHEAD_STEPS);
  sw->closed_step = MAX (sw->closed_step, k->held_step);
  sw->closed_step = MAX (sw->closed_step, k->armed_step);
}

/* Keeps in K what only the agent of a rank can report.  */
static void
keep_agent_report (struct bb_group_switch_rank *k,
                   const struct bb_group_switch_rank *before)
{
  k->last_leader = before->last_leader;
  k->disarmed_version = before->disarmed_version;
  k->disarmed_epoch = before->disarmed_epoch;
  k->relayed_epoch = before->relayed_epoch;
  k->relayed_version = before->relayed_version;
  k->relayed_rank = before->relayed_rank;
  k->relayed_accepted = before->relayed_accepted;
  k->fence_seen = before->fence_seen;
}

void
bb_group_switch_update_rank (struct bb_group_switch *sw, uint32_t rank,
                             const struct bb_group_switch_rank *state,
                             const uint16_t *rows, bb_ms now)
{
  struct bb_group_switch_rank *k;
  struct bb_group_switch_rank before;

  if (rank >= sw->size.ranks)
    return;
  k = &sw->ranks[rank];
  before = *k;
  *k = *state;
  if (!state->attached)
    keep_agent_report (k, &before);
  k->known = true;
  k->reported_ms = now;
  k->done = before.done;
  k->order_sent_ms = before.order_sent_ms;
  k->orders_sent = before.orders_sent;
  k->row_epoch = before.row_epoch;
  k->row_version = before.row_version;
  if (rows)
    {
      copy_rows (sw, rank, rows);
      k->row_epoch = state->epoch;
      k->row_version = state->row_version;
    }
  if (sw->missing_rank == rank)
    sw->missing_rank = sw->size.ranks;
  update_epoch (sw, k->epoch, now);
  update_highest_version (sw, k);
  update_closed_step (sw, k, !before.known);
  switch_update_fence (sw, k, now);
  if (sw->phase == BB_GROUP_SWITCH_PREPARING
      || sw->phase == BB_GROUP_SWITCH_CLEARING)
    k->done = k->prepared_version == sw->version;
}

bool
bb_group_order_is_accepted (uint16_t status)
{
  return status == BB_GROUP_ORDER_DONE || status == BB_GROUP_ORDER_BEGUN;
}

/* Takes the result of an ARM, and goes on to the next phase where all are
   done.  */
static void
handle_arm_result (struct bb_group_switch *sw, uint32_t rank,
                   const struct bb_group_switch_order *o, uint16_t status,
                   bb_ms now)
{
  struct bb_group_switch_rank *k = &sw->ranks[rank];

  if (o->step != sw->step || o->version != sw->version
      || !(bb_group_order_is_accepted (status)
           || k->map_version == sw->version))
    return;
  k->done = true;
  if (sw->phase == BB_GROUP_SWITCH_ARMING && switch_all_done (sw))
    begin_arm_own (sw, now);
  /* In ARMING_OWN, answers to an ARM that was sent twice in ARMING may still
     arrive from other ranks.  */
  else if ((sw->phase == BB_GROUP_SWITCH_ARMING_OWN && rank == sw->self_rank)
           || (sw->phase == BB_GROUP_SWITCH_FORWARDING
               && switch_all_done (sw)))
    switch_begin_going (sw, now);
}

void
bb_group_switch_order_result (struct bb_group_switch *sw, uint32_t rank,
                              const struct bb_group_switch_order *o,
                              uint16_t status, bb_ms now)
{
  bool refused = status == BB_GROUP_ORDER_CONFLICT;

  if (rank >= sw->size.ranks || o->epoch != sw->epoch || o->fence != sw->fence)
    return;
  if (status == BB_GROUP_ORDER_FENCED)
    {
      switch_handle_fenced (sw, now);
      return;
    }
  switch (o->op)
    {
    case BB_GROUP_SWITCH_PREPARE:
      /* A refusal counts only where the order was sent once: a rank may refuse
         a repetition because it is carrying out the first one.  */
      if (o->version != sw->version || !refused)
        break;
      if (sw->ranks[rank].orders_sent != 1)
        {
          if (sw->refused_ms == 0)
            sw->refused_ms = now;
          break;
        }
      if (sw->phase == BB_GROUP_SWITCH_PREPARING)
        switch_abandon (sw, "a rank refused the map", now);
      else if (sw->phase == BB_GROUP_SWITCH_CLEARING
               && !switch_is_armed (sw, rank))
        switch_begin_clearing (sw, now);
      break;
    case BB_GROUP_SWITCH_HOLD:
      if (sw->phase != BB_GROUP_SWITCH_HOLDING || o->step != sw->step)
        break;
      if (bb_group_order_is_accepted (status))
        begin_arm (sw, now);
      else if (refused)
        begin_hold (sw, now);
      break;
    case BB_GROUP_SWITCH_ARM:
      if (sw->phase == BB_GROUP_SWITCH_ARMING
          || sw->phase == BB_GROUP_SWITCH_ARMING_OWN
          || sw->phase == BB_GROUP_SWITCH_FORWARDING)
        handle_arm_result (sw, rank, o, status, now);
      break;
    case BB_GROUP_SWITCH_GO:
      if (sw->phase != BB_GROUP_SWITCH_GOING || o->step != sw->step
          || !(bb_group_order_is_accepted (status) || refused))
        break;
      sw->switches++;
      switch_enter_phase (sw, BB_GROUP_SWITCH_IDLE, now);
      break;
    case BB_GROUP_SWITCH_DISARM:
      if (sw->phase == BB_GROUP_SWITCH_DISARMING && o->version == sw->version
          && bb_group_order_is_accepted (status))
        sw->ranks[rank].done = true;
      break;
    case BB_GROUP_SWITCH_FENCE:
      if (bb_group_order_is_accepted (status)
          && (sw->phase == BB_GROUP_SWITCH_SETTLING
              || (sw->phase == BB_GROUP_SWITCH_REVOKING
                  && o->version == sw->version)))
        sw->ranks[rank].done = true;
      break;
    }
}

/* Whether all ranks use map VERSION.  */
static bool
all_use (const struct bb_group_switch *sw, uint64_t version)
{
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    if (sw->ranks[r].map_version != version)
      return false;
  return true;
}

static void
continue_preparing (struct bb_group_switch *sw, bb_ms now)
{
  if (switch_all_done (sw) && switch_count_detached (sw) == 0)
    begin_hold (sw, now);
  else if (now - sw->phase_since_ms > PREPARE_TIMEOUT_MS)
    switch_abandon (sw, "a rank did not prepare the map in time", now);
  else if (!switch_all_fresh (sw, STATE_MAX_AGE_MS, now))
    switch_abandon (sw, "a rank is silent", now);
  else
    switch_send_due_orders (sw, BB_GROUP_SWITCH_PREPARE, PREPARE_RETRY_MS,
                            now);
}

/* Whether the held pass has begun, in a phase in which that ends the
   switch.  */
static bool
held_pass_has_begun (const struct bb_group_switch *sw)
{
  if (sw->phase != BB_GROUP_SWITCH_ARMING
      && sw->phase != BB_GROUP_SWITCH_ARMING_OWN
      && sw->phase != BB_GROUP_SWITCH_FORWARDING
      && sw->phase != BB_GROUP_SWITCH_REVOKING
      && sw->phase != BB_GROUP_SWITCH_DISARMING
      && sw->phase != BB_GROUP_SWITCH_CLEARING)
    return false;
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    if (sw->ranks[r].epoch == sw->epoch && sw->ranks[r].step >= sw->step)
      return true;
  return false;
}

void
bb_group_switch_tick (struct bb_group_switch *sw, bb_ms now)
{
  if (held_pass_has_begun (sw))
    switch_enter_phase (sw, BB_GROUP_SWITCH_IDLE, now);
  switch (sw->phase)
    {
    case BB_GROUP_SWITCH_IDLE:
      if (!switch_none_pending (sw) || sw->fences_refused > 0)
        switch_enter_phase (sw, BB_GROUP_SWITCH_SETTLING, now);
      break;
    case BB_GROUP_SWITCH_PREPARING:
      continue_preparing (sw, now);
      break;
    case BB_GROUP_SWITCH_HOLDING:
      if (switch_count_detached (sw) == 0
          && switch_order_is_due (sw, sw->held_rank, ORDER_RETRY_MS, now))
        switch_send_order (sw, sw->held_rank, BB_GROUP_SWITCH_HOLD,
                           sw->self_rank, now);
      break;
    case BB_GROUP_SWITCH_FORWARDING:
      if (all_use (sw, sw->version))
        switch_enter_phase (sw, BB_GROUP_SWITCH_IDLE, now);
      else
        switch_continue_forwarding (sw, now);
      break;
    case BB_GROUP_SWITCH_ARMING:
      if (all_use (sw, sw->version))
        switch_enter_phase (sw, BB_GROUP_SWITCH_IDLE, now);
      else
        switch_send_due_orders (sw, BB_GROUP_SWITCH_ARM,
                                switch_round_retry_ms (sw), now);
      break;
    case BB_GROUP_SWITCH_ARMING_OWN:
      if (switch_order_is_due (sw, sw->self_rank, ORDER_RETRY_MS, now))
        switch_send_order (sw, sw->self_rank, BB_GROUP_SWITCH_ARM,
                           sw->held_rank, now);
      break;
    case BB_GROUP_SWITCH_GOING:
      if (switch_order_is_due (sw, sw->held_rank, ORDER_RETRY_MS, now))
        switch_send_order (sw, sw->held_rank, BB_GROUP_SWITCH_GO,
                           sw->held_rank, now);
      break;
    case BB_GROUP_SWITCH_SETTLING:
      switch_settle (sw, now);
      break;
    case BB_GROUP_SWITCH_REVOKING:
      switch_continue_revoking (sw, now);
      break;
    case BB_GROUP_SWITCH_DISARMING:
      switch_continue_disarming (sw, now);
      break;
    case BB_GROUP_SWITCH_CLEARING:
      switch_continue_clearing (sw, now);
      break;
    }
}
