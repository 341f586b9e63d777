#include "switch.h"

#include <stdlib.h>
#include <string.h>

enum
{
  PREPARE_TIMEOUT_MS = 8000, /* then the switch is given up */
  PREPARE_RETRY_MS = 120,
  HOLD_AHEAD_STEPS = 2, /* passes from the last one seen to the held one */
  STATUS_OK = 200,
  STATUS_ACCEPTED = 202,
  STATUS_CONFLICT = 409,
  STATUS_FENCED = 412
};

const char *
bb_group_switch_phase_name (enum bb_group_switch_phase p)
{
  static const char *const names[]
      = { "idle",  "preparing", "holding",    "arming",    "arming_own",
          "going", "settling",  "forwarding", "disarming", "clearing" };

  return p <= BB_GROUP_SWITCH_CLEARING ? names[p] : "unknown";
}

void
bb_group_switch_init (struct bb_group_switch *l,
                      const struct bb_group_size *size, uint32_t self,
                      void (*order) (uint32_t rank,
                                     const struct bb_group_switch_order *o,
                                     void *user),
                      void *user)
{
  memset (l, 0, sizeof *l);
  l->size = *size;
  l->self_rank = self;
  l->missing_rank = size->ranks;
  l->send_order = order;
  l->user = user;
  l->current_map = malloc (bb_group_places (size) * sizeof *l->current_map);
  l->next_map = malloc (bb_group_places (size) * sizeof *l->next_map);
  if (!l->current_map || !l->next_map)
    abort ();
  memset (l->current_map, 0xff,
          bb_group_places (size) * sizeof *l->current_map);
  memset (l->next_map, 0xff, bb_group_places (size) * sizeof *l->next_map);
}

void
bb_group_switch_free (struct bb_group_switch *l)
{
  free (l->current_map);
  free (l->next_map);
  l->current_map = NULL;
  l->next_map = NULL;
}

bool
bb_group_switch_is_ready (const struct bb_group_switch *l, bb_ms now)
{
  if (l->phase != BB_GROUP_SWITCH_IDLE || l->size.ranks < 2
      || l->missing_rank != l->size.ranks
      || !switch_all_fresh (l, STATE_MAX_AGE_MS, now)
      || !switch_none_pending (l))
    return false;
  for (uint32_t r = 0; r < l->size.ranks; r++)
    {
      const struct bb_group_switch_rank *k = &l->ranks[r];
      if (!k->attached || k->map_version != l->ranks[0].map_version
          || k->row_version != k->map_version || k->row_epoch != l->epoch)
        return false;
    }
  return true;
}

static void
begin_hold (struct bb_group_switch *l, bb_ms now)
{
  switch_enter_phase (l, BB_GROUP_SWITCH_HOLDING, now);
  l->held_rank = l->self_rank + 1 < l->size.ranks ? l->self_rank + 1 : 0;
  l->step = 0;
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (l->ranks[r].step > l->step)
      l->step = l->ranks[r].step;
  l->step += HOLD_AHEAD_STEPS;
  switch_send_order (l, l->held_rank, BB_GROUP_SWITCH_HOLD, l->self_rank, now);
}

static void
begin_arm (struct bb_group_switch *l, bb_ms now)
{
  switch_enter_phase (l, BB_GROUP_SWITCH_ARMING, now);
  l->ranks[l->self_rank].done = true;
  switch_send_due_orders (l, BB_GROUP_SWITCH_ARM, ORDER_RETRY_MS, now);
}

static void
begin_arm_own (struct bb_group_switch *l, bb_ms now)
{
  switch_enter_phase (l, BB_GROUP_SWITCH_ARMING_OWN, now);
  switch_send_order (l, l->self_rank, BB_GROUP_SWITCH_ARM, l->held_rank, now);
}

void
bb_group_switch_begin (struct bb_group_switch *l, const uint16_t *next,
                       bb_ms now)
{
  memcpy (l->next_map, next, bb_group_places (&l->size) * sizeof *l->next_map);
  l->version = switch_next_version (l);
  switch_enter_phase (l, BB_GROUP_SWITCH_PREPARING, now);
  switch_send_due_orders (l, BB_GROUP_SWITCH_PREPARE, PREPARE_RETRY_MS, now);
}

static void
abandon (struct bb_group_switch *l, bb_ms now)
{
  l->abandoned++;
  switch_enter_phase (l, BB_GROUP_SWITCH_IDLE, now);
}

static void
copy_rows (struct bb_group_switch *l, uint32_t rank, const uint16_t *rows)
{
  size_t row = l->size.places;

  for (uint32_t s = 0; s < l->size.sets; s++)
    memcpy (l->current_map + ((size_t)s * l->size.ranks + rank) * row,
            rows + s * row, row * sizeof *rows);
}

/* A new epoch: nothing of before holds.  */
static void
update_epoch (struct bb_group_switch *l, uint64_t epoch, bb_ms now)
{
  if (epoch <= l->epoch)
    return;
  l->epoch = epoch;
  l->version = 0;
  l->highest_version = 0;
  l->missing_rank = l->size.ranks;
  if (l->phase != BB_GROUP_SWITCH_IDLE)
    abandon (l, now);
}

static void
update_highest_version (struct bb_group_switch *l,
                        const struct bb_group_switch_rank *k)
{
  if (k->epoch != l->epoch)
    return;
  if (k->prepared_version > l->highest_version)
    l->highest_version = k->prepared_version;
  if (k->map_version > l->highest_version)
    l->highest_version = k->map_version;
  if (k->armed_version > l->highest_version)
    l->highest_version = k->armed_version;
}

void
bb_group_switch_update_rank (struct bb_group_switch *l, uint32_t rank,
                             const struct bb_group_switch_rank *state,
                             const uint16_t *rows, bb_ms now)
{
  struct bb_group_switch_rank *k;
  struct bb_group_switch_rank before;

  if (rank >= l->size.ranks)
    return;
  k = &l->ranks[rank];
  before = *k;
  *k = *state;
  k->known = true;
  k->heard_ms = now;
  k->done = before.done;
  k->order_sent_ms = before.order_sent_ms;
  k->orders_sent = before.orders_sent;
  k->row_epoch = before.row_epoch;
  k->row_version = before.row_version;
  if (rows)
    {
      copy_rows (l, rank, rows);
      k->row_epoch = state->epoch;
      k->row_version = state->row_version;
    }
  if (l->missing_rank == rank)
    l->missing_rank = l->size.ranks;
  update_epoch (l, k->epoch, now);
  update_highest_version (l, k);
  if ((l->phase == BB_GROUP_SWITCH_PREPARING
       || l->phase == BB_GROUP_SWITCH_CLEARING)
      && k->prepared_version == l->version)
    k->done = true;
}

static bool
is_ok (uint16_t status)
{
  return status == STATUS_OK || status == STATUS_ACCEPTED;
}

/* Takes the result of the hold or of an arm.  */
static void
handle_arm_result (struct bb_group_switch *l, uint32_t rank,
                   const struct bb_group_switch_order *o, uint16_t status,
                   bb_ms now)
{
  struct bb_group_switch_rank *k = &l->ranks[rank];

  if (o->step != l->step || o->version != l->version
      || !(is_ok (status) || k->map_version == l->version))
    return;
  k->done = true;
  if (l->phase == BB_GROUP_SWITCH_ARMING && switch_all_done (l))
    begin_arm_own (l, now);
  /* Answers to arms that were sent again still come in.  */
  else if ((l->phase == BB_GROUP_SWITCH_ARMING_OWN && rank == l->self_rank)
           || (l->phase == BB_GROUP_SWITCH_FORWARDING && switch_all_done (l)))
    switch_begin_going (l, now);
}

void
bb_group_switch_order_result (struct bb_group_switch *l, uint32_t rank,
                              const struct bb_group_switch_order *o,
                              uint16_t status, bb_ms now)
{
  bool refused = status == STATUS_CONFLICT || status == STATUS_FENCED;

  if (rank >= l->size.ranks || o->epoch != l->epoch)
    return;
  switch (o->op)
    {
    case BB_GROUP_SWITCH_PREPARE:
      /* A rank that refuses an order that was sent again may be carrying the
         first one out.  */
      if (o->version != l->version || !refused
          || l->ranks[rank].orders_sent != 1)
        break;
      if (l->phase == BB_GROUP_SWITCH_PREPARING)
        abandon (l, now);
      else if (l->phase == BB_GROUP_SWITCH_CLEARING
               && !switch_is_armed (l, rank))
        switch_begin_clearing (l, now);
      break;
    case BB_GROUP_SWITCH_HOLD:
      if (l->phase != BB_GROUP_SWITCH_HOLDING || o->step != l->step)
        break;
      if (is_ok (status))
        begin_arm (l, now);
      else if (refused)
        begin_hold (l, now);
      break;
    case BB_GROUP_SWITCH_ARM:
      if (l->phase == BB_GROUP_SWITCH_ARMING
          || l->phase == BB_GROUP_SWITCH_ARMING_OWN
          || l->phase == BB_GROUP_SWITCH_FORWARDING)
        handle_arm_result (l, rank, o, status, now);
      break;
    case BB_GROUP_SWITCH_GO:
      if (l->phase != BB_GROUP_SWITCH_GOING || o->step != l->step
          || !(is_ok (status) || refused))
        break;
      l->switches++;
      switch_enter_phase (l, BB_GROUP_SWITCH_IDLE, now);
      break;
    case BB_GROUP_SWITCH_DISARM:
      if (l->phase == BB_GROUP_SWITCH_DISARMING && o->version == l->version
          && is_ok (status))
        l->ranks[rank].done = true;
      break;
    }
}

/* Whether all ranks use the map of VERSION.  */
static bool
all_use (const struct bb_group_switch *l, uint64_t version)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (l->ranks[r].map_version != version)
      return false;
  return true;
}

static void
continue_preparing (struct bb_group_switch *l, bb_ms now)
{
  if (switch_all_done (l))
    begin_hold (l, now);
  else if (now - l->phase_since_ms > PREPARE_TIMEOUT_MS
           || !switch_all_fresh (l, STATE_MAX_AGE_MS, now))
    abandon (l, now);
  else
    switch_send_due_orders (l, BB_GROUP_SWITCH_PREPARE, PREPARE_RETRY_MS, now);
}

/* Whether the held pass has begun, so that nothing is left to do for it.  */
static bool
held_pass_has_begun (const struct bb_group_switch *l)
{
  if (l->phase != BB_GROUP_SWITCH_ARMING
      && l->phase != BB_GROUP_SWITCH_ARMING_OWN
      && l->phase != BB_GROUP_SWITCH_FORWARDING
      && l->phase != BB_GROUP_SWITCH_DISARMING
      && l->phase != BB_GROUP_SWITCH_CLEARING)
    return false;
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (l->ranks[r].epoch == l->epoch && l->ranks[r].step >= l->step)
      return true;
  return false;
}

void
bb_group_switch_tick (struct bb_group_switch *l, bb_ms now)
{
  if (held_pass_has_begun (l))
    switch_enter_phase (l, BB_GROUP_SWITCH_IDLE, now);
  switch (l->phase)
    {
    case BB_GROUP_SWITCH_IDLE:
      if (!switch_none_pending (l))
        switch_enter_phase (l, BB_GROUP_SWITCH_SETTLING, now);
      break;
    case BB_GROUP_SWITCH_PREPARING:
      continue_preparing (l, now);
      break;
    case BB_GROUP_SWITCH_HOLDING:
      if (switch_order_is_due (l, l->held_rank, ORDER_RETRY_MS, now))
        switch_send_order (l, l->held_rank, BB_GROUP_SWITCH_HOLD, l->self_rank,
                           now);
      break;
    case BB_GROUP_SWITCH_FORWARDING:
      if (all_use (l, l->version))
        switch_enter_phase (l, BB_GROUP_SWITCH_IDLE, now);
      else
        switch_continue_forwarding (l, now);
      break;
    case BB_GROUP_SWITCH_ARMING:
      if (all_use (l, l->version))
        switch_enter_phase (l, BB_GROUP_SWITCH_IDLE, now);
      else
        switch_send_due_orders (l, BB_GROUP_SWITCH_ARM, ORDER_RETRY_MS, now);
      break;
    case BB_GROUP_SWITCH_ARMING_OWN:
      if (switch_order_is_due (l, l->self_rank, ORDER_RETRY_MS, now))
        switch_send_order (l, l->self_rank, BB_GROUP_SWITCH_ARM, l->held_rank,
                           now);
      break;
    case BB_GROUP_SWITCH_GOING:
      if (switch_order_is_due (l, l->held_rank, ORDER_RETRY_MS, now))
        switch_send_order (l, l->held_rank, BB_GROUP_SWITCH_GO, l->held_rank,
                           now);
      break;
    case BB_GROUP_SWITCH_SETTLING:
      switch_settle (l, now);
      break;
    case BB_GROUP_SWITCH_DISARMING:
      switch_continue_disarming (l, now);
      break;
    case BB_GROUP_SWITCH_CLEARING:
      switch_continue_clearing (l, now);
      break;
    }
}
