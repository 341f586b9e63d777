#include "bilberry/group.h"

#include <stdlib.h>
#include <string.h>

enum
{
  FRESH_MS = 600,        /* an older state says nothing of now */
  AGAIN_MS = 60,         /* an order without result is sent again */
  PREPARE_MAX_MS = 8000, /* then the switch is given up */
  PREPARE_AGAIN_MS = 250,
  MARGIN_STEPS = 2,      /* passes from the last one seen to the held one */
  SETTLE_AFTER_MS = 150, /* leftovers of another leader are waited for */
  STATUS_OK = 200,
  STATUS_BEGUN = 202,
  STATUS_MISFIT = 409,
  STATUS_FENCED = 412
};

const char *
bb_lead_phase_name (enum bb_lead_phase p)
{
  static const char *const names[]
      = { "idle", "preparing", "holding", "arming", "going", "settling" };

  return p <= BB_LEAD_SETTLING ? names[p] : "unknown";
}

void
bb_lead_init (struct bb_lead *l, const struct bb_group_size *size,
              uint32_t self,
              void (*order) (uint32_t rank, const struct bb_lead_order *o,
                             void *user),
              void *user)
{
  memset (l, 0, sizeof *l);
  l->size = *size;
  l->self = self;
  l->order = order;
  l->user = user;
  l->map = malloc (bb_group_places (size) * sizeof *l->map);
  l->next = malloc (bb_group_places (size) * sizeof *l->next);
  if (!l->map || !l->next)
    abort ();
  memset (l->map, 0xff, bb_group_places (size) * sizeof *l->map);
  memset (l->next, 0xff, bb_group_places (size) * sizeof *l->next);
}

void
bb_lead_free (struct bb_lead *l)
{
  free (l->map);
  free (l->next);
  l->map = NULL;
  l->next = NULL;
}

static void
enter (struct bb_lead *l, enum bb_lead_phase phase, bb_ms now)
{
  l->phase = phase;
  l->since_ms = now;
  for (uint32_t r = 0; r < l->size.ranks; r++)
    {
      l->ranks[r].done = false;
      l->ranks[r].ordered_ms = 0;
    }
}

/* Whether all ranks are heard of lately, in one epoch of an open group.  */
static bool
is_whole (const struct bb_lead *l, bb_ms now)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    {
      const struct bb_lead_rank *k = &l->ranks[r];
      if (!k->known || now - k->heard_ms > FRESH_MS || !k->open
          || k->epoch != l->epoch)
        return false;
    }
  return true;
}

/* Returns the version that is armed at some rank for a pass that has not
   begun, or 0.  */
static uint64_t
armed_version (const struct bb_lead *l)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (l->ranks[r].armed > l->ranks[r].map)
      return l->ranks[r].armed;
  return 0;
}

/* Returns the rank that is held, or none (the number of ranks).  */
static uint32_t
held_rank (const struct bb_lead *l)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (l->ranks[r].held > 0)
      return r;
  return l->size.ranks;
}

static bool
is_clean (const struct bb_lead *l)
{
  return armed_version (l) == 0 && held_rank (l) == l->size.ranks;
}

bool
bb_lead_is_ready (const struct bb_lead *l, bb_ms now)
{
  if (l->phase != BB_LEAD_IDLE || !is_whole (l, now) || !is_clean (l))
    return false;
  for (uint32_t r = 0; r < l->size.ranks; r++)
    {
      const struct bb_lead_rank *k = &l->ranks[r];
      if (!k->attached || k->map != l->ranks[0].map
          || k->lists_version != k->map || k->lists_epoch != l->epoch)
        return false;
    }
  return true;
}

static void
give (struct bb_lead *l, uint32_t rank, enum bb_lead_op op, bb_ms now)
{
  struct bb_lead_order o = { .op = op,
                             .version = l->version,
                             .step = l->step,
                             .epoch = l->epoch,
                             .map = op == BB_LEAD_PREPARE ? l->next : NULL };

  l->ranks[rank].ordered_ms = now;
  l->order (rank, &o, l->user);
}

/* Sends the order to each rank that has not carried it out, again after a
   while.  */
static void
give_all (struct bb_lead *l, enum bb_lead_op op, bb_ms again_ms, bb_ms now)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    {
      const struct bb_lead_rank *k = &l->ranks[r];
      if (!k->done && (k->ordered_ms == 0 || now - k->ordered_ms >= again_ms))
        give (l, r, op, now);
    }
}

static bool
all_done (const struct bb_lead *l)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (!l->ranks[r].done)
      return false;
  return true;
}

static void
begin_hold (struct bb_lead *l, bb_ms now)
{
  enter (l, BB_LEAD_HOLDING, now);
  l->holder = l->self;
  l->step = 0;
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (l->ranks[r].step > l->step)
      l->step = l->ranks[r].step;
  l->step += MARGIN_STEPS;
  give (l, l->holder, BB_LEAD_HOLD, now);
}

static void
begin_arm (struct bb_lead *l, bb_ms now)
{
  enter (l, BB_LEAD_ARMING, now);
  give_all (l, BB_LEAD_ARM, AGAIN_MS, now);
}

static void
begin_go (struct bb_lead *l, bb_ms now)
{
  enter (l, BB_LEAD_GOING, now);
  give (l, l->holder, BB_LEAD_GO, now);
}

void
bb_lead_begin (struct bb_lead *l, const uint16_t *next, bb_ms now)
{
  memcpy (l->next, next, bb_group_places (&l->size) * sizeof *l->next);
  l->version++;
  enter (l, BB_LEAD_PREPARING, now);
  give_all (l, BB_LEAD_PREPARE, PREPARE_AGAIN_MS, now);
}

static void
abandon (struct bb_lead *l, bb_ms now)
{
  l->abandoned++;
  enter (l, BB_LEAD_IDLE, now);
}

static void
copy_lists (struct bb_lead *l, uint32_t rank, const uint16_t *lists)
{
  size_t row = l->size.places;

  for (uint32_t s = 0; s < l->size.sets; s++)
    memcpy (l->map + ((size_t)s * l->size.ranks + rank) * row, lists + s * row,
            row * sizeof *lists);
}

void
bb_lead_state (struct bb_lead *l, uint32_t rank,
               const struct bb_lead_rank *state, const uint16_t *lists,
               bb_ms now)
{
  struct bb_lead_rank *k;
  struct bb_lead_rank before;

  if (rank >= l->size.ranks)
    return;
  k = &l->ranks[rank];
  before = *k;
  *k = *state;
  k->known = true;
  k->heard_ms = now;
  k->done = before.done;
  k->ordered_ms = before.ordered_ms;
  k->lists_epoch = before.lists_epoch;
  k->lists_version = before.lists_version;
  if (lists)
    {
      copy_lists (l, rank, lists);
      k->lists_epoch = state->epoch;
      k->lists_version = state->lists_version;
    }
  if (k->epoch > l->epoch)
    {
      l->epoch = k->epoch;
      l->version = 0;
      if (l->phase != BB_LEAD_IDLE)
        abandon (l, now);
    }
  if (k->epoch == l->epoch)
    {
      if (k->prepared > l->version)
        l->version = k->prepared;
      if (k->map > l->version)
        l->version = k->map;
    }
  if (l->phase == BB_LEAD_PREPARING && k->prepared == l->version)
    k->done = true;
}

static bool
is_ok (uint16_t status)
{
  return status == STATUS_OK || status == STATUS_BEGUN;
}

void
bb_lead_result (struct bb_lead *l, uint32_t rank,
                const struct bb_lead_order *o, uint16_t status, bb_ms now)
{
  struct bb_lead_rank *k = &l->ranks[rank];
  bool hold_ended = status == STATUS_MISFIT || status == STATUS_FENCED;

  if (rank >= l->size.ranks || o->epoch != l->epoch)
    return;
  if (l->phase == BB_LEAD_PREPARING && o->op == BB_LEAD_PREPARE
      && o->version == l->version && hold_ended && k->prepared != l->version)
    abandon (l, now);
  else if (l->phase == BB_LEAD_HOLDING && o->op == BB_LEAD_HOLD
           && o->step == l->step)
    {
      if (is_ok (status))
        begin_arm (l, now);
      else if (hold_ended)
        begin_hold (l, now);
    }
  else if (l->phase == BB_LEAD_ARMING && o->op == BB_LEAD_ARM
           && o->step == l->step && o->version == l->version
           && (is_ok (status) || k->map == l->version))
    {
      k->done = true;
      if (all_done (l))
        begin_go (l, now);
    }
  else if (l->phase == BB_LEAD_GOING && o->op == BB_LEAD_GO
           && o->step == l->step && (is_ok (status) || hold_ended))
    {
      l->switches++;
      enter (l, BB_LEAD_IDLE, now);
    }
}

/* Whether all ranks use the map of VERSION.  */
static bool
all_use (const struct bb_lead *l, uint64_t version)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (l->ranks[r].map != version)
      return false;
  return true;
}

/* Goes on with a switch that another leader left: arms what is not armed and
   lets go.  Where no rank is armed the pass is only let go.  */
static void
settle (struct bb_lead *l, bb_ms now)
{
  uint64_t version = armed_version (l);
  uint32_t held = held_rank (l);

  if (!is_whole (l, now) || now - l->since_ms < SETTLE_AFTER_MS)
    return;
  if (is_clean (l))
    {
      enter (l, BB_LEAD_IDLE, now);
      return;
    }
  l->holder = held < l->size.ranks ? held : l->self;
  l->step = held < l->size.ranks ? l->ranks[held].held : 0;
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (l->ranks[r].armed == version && version > 0)
      l->step = l->ranks[r].armed_step;
  if (version == 0)
    {
      begin_go (l, now);
      return;
    }
  l->version = version;
  begin_arm (l, now);
}

void
bb_lead_tick (struct bb_lead *l, bb_ms now)
{
  switch (l->phase)
    {
    case BB_LEAD_IDLE:
      if (!is_clean (l))
        enter (l, BB_LEAD_SETTLING, now);
      break;
    case BB_LEAD_PREPARING:
      if (all_done (l))
        begin_hold (l, now);
      else if (now - l->since_ms > PREPARE_MAX_MS || !is_whole (l, now))
        abandon (l, now);
      else
        give_all (l, BB_LEAD_PREPARE, PREPARE_AGAIN_MS, now);
      break;
    case BB_LEAD_HOLDING:
      if (now - l->ranks[l->holder].ordered_ms >= AGAIN_MS)
        give (l, l->holder, BB_LEAD_HOLD, now);
      break;
    case BB_LEAD_ARMING:
      if (all_use (l, l->version))
        enter (l, BB_LEAD_IDLE, now);
      else
        give_all (l, BB_LEAD_ARM, AGAIN_MS, now);
      break;
    case BB_LEAD_GOING:
      if (now - l->ranks[l->holder].ordered_ms >= AGAIN_MS)
        give (l, l->holder, BB_LEAD_GO, now);
      break;
    case BB_LEAD_SETTLING:
      settle (l, now);
      break;
    }
}
