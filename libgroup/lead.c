#include "bilberry/group.h"

#include <stdlib.h>
#include <string.h>

enum
{
  FRESH_MS = 600,        /* an older state says nothing of now */
  SETTLE_FRESH_MS = 250, /* the same, for a switch that is left over */
  AGAIN_MS = 20,         /* an order without result is sent again; the
                            group stands still meanwhile */
  PREPARE_MAX_MS = 8000, /* then the switch is given up */
  PREPARE_AGAIN_MS = 120,
  MARGIN_STEPS = 2,       /* passes from the last one seen to the held one */
  SETTLE_AFTER_MS = 150,  /* for states to show the end of a switch */
  STRANGERS_MAX = 1,      /* ranks whose agent is gone, or frozen */
  MISSING_AFTER_MS = 300, /* a rank that cannot be asked for so long */
  STATUS_OK = 200,
  STATUS_BEGUN = 202,
  STATUS_MISFIT = 409,
  STATUS_FENCED = 412
};

const char *
bb_lead_phase_name (enum bb_lead_phase p)
{
  static const char *const names[]
      = { "idle",  "preparing", "holding",    "arming",    "arming_own",
          "going", "settling",  "forwarding", "disarming", "clearing" };

  return p <= BB_LEAD_CLEARING ? names[p] : "unknown";
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
  l->missing = size->ranks;
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
      l->ranks[r].orders = 0;
    }
}

static bool
is_fresh (const struct bb_lead *l, uint32_t rank, bb_ms age_ms, bb_ms now)
{
  const struct bb_lead_rank *k = &l->ranks[rank];

  return k->known && now - k->heard_ms <= age_ms && k->open
         && k->epoch == l->epoch;
}

/* Whether all ranks, but for the missing one, are heard of lately in one
   epoch of an open group.  */
static bool
is_whole (const struct bb_lead *l, bb_ms age_ms, bb_ms now)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (r != l->missing && !is_fresh (l, r, age_ms, now))
      return false;
  return true;
}

static bool
is_armed (const struct bb_lead *l, uint32_t rank)
{
  return l->ranks[rank].armed > l->ranks[rank].map;
}

/* Returns a rank that is armed for a pass that has not begun, or the number
   of ranks.  What the missing rank said before counts for nothing.  */
static uint32_t
armed_rank (const struct bb_lead *l)
{
  uint32_t r = 0;

  while (r < l->size.ranks && (r == l->missing || !is_armed (l, r)))
    r++;
  return r;
}

/* Returns a rank that is held, or the number of ranks.  */
static uint32_t
held_rank (const struct bb_lead *l)
{
  uint32_t r = 0;

  while (r < l->size.ranks && (r == l->missing || l->ranks[r].held == 0))
    r++;
  return r;
}

static bool
is_clean (const struct bb_lead *l)
{
  return armed_rank (l) == l->size.ranks && held_rank (l) == l->size.ranks;
}

bool
bb_lead_is_ready (const struct bb_lead *l, bb_ms now)
{
  if (l->phase != BB_LEAD_IDLE || l->size.ranks < 2
      || l->missing != l->size.ranks || !is_whole (l, FRESH_MS, now)
      || !is_clean (l))
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
give (struct bb_lead *l, uint32_t rank, enum bb_lead_op op, uint32_t via,
      bb_ms now)
{
  struct bb_lead_order o = { .op = op,
                             .version = l->version,
                             .step = l->step,
                             .epoch = l->epoch,
                             .map = op == BB_LEAD_PREPARE ? l->next : NULL,
                             .via = via };

  l->ranks[rank].ordered_ms = now;
  l->ranks[rank].orders++;
  l->order (rank, &o, l->user);
}

static bool
is_due (const struct bb_lead *l, uint32_t rank, bb_ms again_ms, bb_ms now)
{
  const struct bb_lead_rank *k = &l->ranks[rank];

  return !k->done && (k->ordered_ms == 0 || now - k->ordered_ms >= again_ms);
}

/* Gives the order to each rank that has not carried it out, again after a
   while, by its own agent.  */
static void
give_all (struct bb_lead *l, enum bb_lead_op op, bb_ms again_ms, bb_ms now)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (is_due (l, r, again_ms, now))
      give (l, r, op, r, now);
}

static bool
all_done (const struct bb_lead *l)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (!l->ranks[r].done)
      return false;
  return true;
}

/* Returns a version above all that are known.  It tells its leader: two that
   lead at one time must not use one version for two maps.  */
static uint64_t
next_version (struct bb_lead *l)
{
  l->highest
      = (l->highest / BB_LEAD_RANKS_MAX + 1) * BB_LEAD_RANKS_MAX + l->self;
  return l->highest;
}

static void
begin_hold (struct bb_lead *l, bb_ms now)
{
  enter (l, BB_LEAD_HOLDING, now);
  l->holder = l->self + 1 < l->size.ranks ? l->self + 1 : 0;
  l->step = 0;
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (l->ranks[r].step > l->step)
      l->step = l->ranks[r].step;
  l->step += MARGIN_STEPS;
  give (l, l->holder, BB_LEAD_HOLD, l->self, now);
}

static void
begin_arm (struct bb_lead *l, bb_ms now)
{
  enter (l, BB_LEAD_ARMING, now);
  l->ranks[l->self].done = true;
  give_all (l, BB_LEAD_ARM, AGAIN_MS, now);
}

static void
begin_arm_own (struct bb_lead *l, bb_ms now)
{
  enter (l, BB_LEAD_ARMING_OWN, now);
  give (l, l->self, BB_LEAD_ARM, l->holder, now);
}

static void
begin_go (struct bb_lead *l, bb_ms now)
{
  enter (l, BB_LEAD_GOING, now);
  give (l, l->holder, BB_LEAD_GO, l->holder, now);
}

void
bb_lead_begin (struct bb_lead *l, const uint16_t *next, bb_ms now)
{
  memcpy (l->next, next, bb_group_places (&l->size) * sizeof *l->next);
  l->version = next_version (l);
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

/* A new epoch: nothing of before holds.  */
static void
note_epoch (struct bb_lead *l, uint64_t epoch, bb_ms now)
{
  if (epoch <= l->epoch)
    return;
  l->epoch = epoch;
  l->version = 0;
  l->highest = 0;
  l->missing = l->size.ranks;
  if (l->phase != BB_LEAD_IDLE)
    abandon (l, now);
}

static void
note_versions (struct bb_lead *l, const struct bb_lead_rank *k)
{
  if (k->epoch != l->epoch)
    return;
  if (k->prepared > l->highest)
    l->highest = k->prepared;
  if (k->map > l->highest)
    l->highest = k->map;
  if (k->armed > l->highest)
    l->highest = k->armed;
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
  k->orders = before.orders;
  k->lists_epoch = before.lists_epoch;
  k->lists_version = before.lists_version;
  if (lists)
    {
      copy_lists (l, rank, lists);
      k->lists_epoch = state->epoch;
      k->lists_version = state->lists_version;
    }
  if (l->missing == rank)
    l->missing = l->size.ranks;
  note_epoch (l, k->epoch, now);
  note_versions (l, k);
  if ((l->phase == BB_LEAD_PREPARING || l->phase == BB_LEAD_CLEARING)
      && k->prepared == l->version)
    k->done = true;
}

static void begin_clear (struct bb_lead *l, bb_ms now);

static bool
is_ok (uint16_t status)
{
  return status == STATUS_OK || status == STATUS_BEGUN;
}

/* Takes the result of the hold or of an arm.  */
static void
take_arm_result (struct bb_lead *l, uint32_t rank,
                 const struct bb_lead_order *o, uint16_t status, bb_ms now)
{
  struct bb_lead_rank *k = &l->ranks[rank];

  if (o->step != l->step || o->version != l->version
      || !(is_ok (status) || k->map == l->version))
    return;
  k->done = true;
  if (l->phase == BB_LEAD_ARMING && all_done (l))
    begin_arm_own (l, now);
  /* Answers to arms that were sent again still come in.  */
  else if ((l->phase == BB_LEAD_ARMING_OWN && rank == l->self)
           || (l->phase == BB_LEAD_FORWARDING && all_done (l)))
    begin_go (l, now);
}

void
bb_lead_result (struct bb_lead *l, uint32_t rank,
                const struct bb_lead_order *o, uint16_t status, bb_ms now)
{
  bool misfits = status == STATUS_MISFIT || status == STATUS_FENCED;

  if (rank >= l->size.ranks || o->epoch != l->epoch)
    return;
  switch (o->op)
    {
    case BB_LEAD_PREPARE:
      /* A rank that refuses an order that was sent again may be carrying the
         first one out.  */
      if (o->version != l->version || !misfits || l->ranks[rank].orders != 1)
        break;
      if (l->phase == BB_LEAD_PREPARING)
        abandon (l, now);
      else if (l->phase == BB_LEAD_CLEARING && !is_armed (l, rank))
        begin_clear (l, now);
      break;
    case BB_LEAD_HOLD:
      if (l->phase != BB_LEAD_HOLDING || o->step != l->step)
        break;
      if (is_ok (status))
        begin_arm (l, now);
      else if (misfits)
        begin_hold (l, now);
      break;
    case BB_LEAD_ARM:
      if (l->phase == BB_LEAD_ARMING || l->phase == BB_LEAD_ARMING_OWN
          || l->phase == BB_LEAD_FORWARDING)
        take_arm_result (l, rank, o, status, now);
      break;
    case BB_LEAD_GO:
      if (l->phase != BB_LEAD_GOING || o->step != l->step
          || !(is_ok (status) || misfits))
        break;
      l->switches++;
      enter (l, BB_LEAD_IDLE, now);
      break;
    case BB_LEAD_DISARM:
      if (l->phase == BB_LEAD_DISARMING && o->version == l->version
          && is_ok (status))
        l->ranks[rank].done = true;
      break;
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

/* What is known of an arm that an agent gave the missing rank.  */
enum given
{
  GIVEN_NOT,
  GIVEN_PERHAPS, /* without answer so far */
  GIVEN_TAKEN
};

static enum given
was_given (const struct bb_lead *l, uint64_t version)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    {
      const struct bb_lead_rank *k = &l->ranks[r];
      if (k->gave_epoch == l->epoch && k->gave_version == version
          && k->gave_rank == l->missing)
        return k->gave_taken ? GIVEN_TAKEN : GIVEN_PERHAPS;
    }
  return GIVEN_NOT;
}

/* Whether no other leader than the missing rank's agent has given any order,
   so that none can have had the missing rank armed.  */
static bool
only_missing_led (const struct bb_lead *l)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (r != l->missing && l->ranks[r].led_by != l->missing)
      return false;
  return true;
}

/* Whether some rank was told to disarm VERSION.  */
static bool
is_given_up (const struct bb_lead *l, uint64_t version)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (l->ranks[r].given_up_epoch == l->epoch
        && l->ranks[r].given_up == version)
      return true;
  return false;
}

/* Counts one rank that cannot be asked as missing.  */
static void
look_for_missing (struct bb_lead *l, bb_ms now)
{
  uint32_t silent = l->size.ranks;

  if (now - l->since_ms < MISSING_AFTER_MS)
    return;
  for (uint32_t r = 0; r < l->size.ranks; r++)
    {
      if (is_fresh (l, r, SETTLE_FRESH_MS, now))
        continue;
      if (silent != l->size.ranks)
        return;
      silent = r;
    }
  l->missing = silent;
}

/* Has the armed ranks armed again first, so that they know who does it before
   any other rank is armed.  */
static void
go_on_forwarding (struct bb_lead *l, bb_ms now)
{
  bool first = false;

  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (is_armed (l, r) && !l->ranks[r].done)
      {
        first = true;
        if (is_due (l, r, AGAIN_MS, now))
          give (l, r, BB_LEAD_ARM, r, now);
      }
  if (!first)
    give_all (l, BB_LEAD_ARM, AGAIN_MS, now);
}

static void
begin_disarm (struct bb_lead *l, bb_ms now)
{
  enter (l, BB_LEAD_DISARMING, now);
  for (uint32_t r = 0; r < l->size.ranks; r++)
    l->ranks[r].done = r == l->missing || !is_armed (l, r);
  give_all (l, BB_LEAD_DISARM, AGAIN_MS, now);
}

/* Returns how many ranks have an agent that does not follow this leader: it
   may follow another, which may be ending the same switch in its own way.  */
static uint32_t
count_strangers (const struct bb_lead *l)
{
  uint32_t n = 0;

  for (uint32_t r = 0; r < l->size.ranks; r++)
    n += !l->ranks[r].attached;
  return n;
}

/* Ends a switch that another leader left.  */
static void
settle (struct bb_lead *l, bb_ms now)
{
  uint32_t armed = armed_rank (l);
  uint32_t held = held_rank (l);

  if (now - l->since_ms < SETTLE_AFTER_MS)
    return;
  look_for_missing (l, now);
  if (!is_whole (l, SETTLE_FRESH_MS, now))
    return;
#ifndef BB_MUTANT_lead_strangers
  if (!is_clean (l) && count_strangers (l) > STRANGERS_MAX)
    return;
#endif
  if (is_clean (l))
    {
      l->missing = l->size.ranks;
      enter (l, BB_LEAD_IDLE, now);
      return;
    }
  l->holder = held < l->size.ranks ? held : l->self;
  l->step = held < l->size.ranks ? l->ranks[held].held : 0;
  if (armed < l->size.ranks)
    {
      l->step = l->ranks[armed].armed_step;
      l->version = l->ranks[armed].armed;
    }
  if (l->missing < l->size.ranks)
    {
      enum given given = was_given (l, l->version);
      if (given == GIVEN_NOT && only_missing_led (l))
        begin_disarm (l, now);
      if (given != GIVEN_TAKEN || armed == l->size.ranks)
        return;
    }
  if (armed == l->size.ranks)
    {
      begin_go (l, now);
      return;
    }
  if (is_given_up (l, l->version))
    {
      begin_disarm (l, now);
      return;
    }
  enter (l, BB_LEAD_FORWARDING, now);
  if (l->missing < l->size.ranks)
    l->ranks[l->missing].done = true;
  go_on_forwarding (l, now);
}

/* Fills the rows of the missing rank with what no other rank holds: the map is
   only prepared, never armed, but it must be whole.  */
static void
fill_missing_rows (const struct bb_lead *l, uint16_t *map)
{
  const struct bb_group_size *s = &l->size;
  bool *held = calloc (s->experts, sizeof *held);

  if (!held)
    abort ();
  for (uint32_t set = 0; set < s->sets; set++)
    {
      uint16_t *rows = map + (size_t)set * s->ranks * s->places;
      uint16_t *row = rows + (size_t)l->missing * s->places;
      uint32_t n = 0;
      memset (held, 0, s->experts * sizeof *held);
      for (uint32_t i = 0; i < s->ranks * s->places; i++)
        if (i / s->places != l->missing && rows[i] < s->experts)
          held[rows[i]] = true;
      memset (row, 0xff, s->places * sizeof *row);
      for (uint32_t e = 0; e < s->experts && n < s->places; e++)
        if (!held[e])
          row[n++] = (uint16_t)e;
    }
  free (held);
}

/* Has the ranks prepare the map in force under a newer version.  */
static void
begin_clear (struct bb_lead *l, bb_ms now)
{
  memcpy (l->next, l->map, bb_group_places (&l->size) * sizeof *l->next);
  if (l->missing < l->size.ranks)
    fill_missing_rows (l, l->next);
  l->version = next_version (l);
  enter (l, BB_LEAD_CLEARING, now);
  if (l->missing < l->size.ranks)
    l->ranks[l->missing].done = true;
  give_all (l, BB_LEAD_PREPARE, AGAIN_MS, now);
}

static void
go_on_clearing (struct bb_lead *l, bb_ms now)
{
  uint32_t armed = armed_rank (l);

  if (armed < l->size.ranks)
    {
      l->version = l->ranks[armed].armed;
      begin_disarm (l, now);
    }
  else if (all_done (l))
    begin_go (l, now);
  else
    give_all (l, BB_LEAD_PREPARE, AGAIN_MS, now);
}

/* Whether the map in force is known, but for the missing rank's rows.  */
static bool
has_lists (const struct bb_lead *l)
{
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (r != l->missing
        && (l->ranks[r].lists_epoch != l->epoch
            || l->ranks[r].lists_version != l->ranks[r].map))
      return false;
  return true;
}

static void
go_on_disarming (struct bb_lead *l, bb_ms now)
{
  if (all_done (l) && has_lists (l))
    begin_clear (l, now);
  else
    give_all (l, BB_LEAD_DISARM, AGAIN_MS, now);
}

static void
go_on_preparing (struct bb_lead *l, bb_ms now)
{
  if (all_done (l))
    begin_hold (l, now);
  else if (now - l->since_ms > PREPARE_MAX_MS || !is_whole (l, FRESH_MS, now))
    abandon (l, now);
  else
    give_all (l, BB_LEAD_PREPARE, PREPARE_AGAIN_MS, now);
}

/* Whether the held pass has begun, so that nothing is left to do for it.  */
static bool
has_begun (const struct bb_lead *l)
{
  if (l->phase != BB_LEAD_ARMING && l->phase != BB_LEAD_ARMING_OWN
      && l->phase != BB_LEAD_FORWARDING && l->phase != BB_LEAD_DISARMING
      && l->phase != BB_LEAD_CLEARING)
    return false;
  for (uint32_t r = 0; r < l->size.ranks; r++)
    if (l->ranks[r].epoch == l->epoch && l->ranks[r].step >= l->step)
      return true;
  return false;
}

void
bb_lead_tick (struct bb_lead *l, bb_ms now)
{
  if (has_begun (l))
    enter (l, BB_LEAD_IDLE, now);
  switch (l->phase)
    {
    case BB_LEAD_IDLE:
      if (!is_clean (l))
        enter (l, BB_LEAD_SETTLING, now);
      break;
    case BB_LEAD_PREPARING:
      go_on_preparing (l, now);
      break;
    case BB_LEAD_HOLDING:
      if (is_due (l, l->holder, AGAIN_MS, now))
        give (l, l->holder, BB_LEAD_HOLD, l->self, now);
      break;
    case BB_LEAD_FORWARDING:
      if (all_use (l, l->version))
        enter (l, BB_LEAD_IDLE, now);
      else
        go_on_forwarding (l, now);
      break;
    case BB_LEAD_ARMING:
      if (all_use (l, l->version))
        enter (l, BB_LEAD_IDLE, now);
      else
        give_all (l, BB_LEAD_ARM, AGAIN_MS, now);
      break;
    case BB_LEAD_ARMING_OWN:
      if (is_due (l, l->self, AGAIN_MS, now))
        give (l, l->self, BB_LEAD_ARM, l->holder, now);
      break;
    case BB_LEAD_GOING:
      if (is_due (l, l->holder, AGAIN_MS, now))
        give (l, l->holder, BB_LEAD_GO, l->holder, now);
      break;
    case BB_LEAD_SETTLING:
      settle (l, now);
      break;
    case BB_LEAD_DISARMING:
      go_on_disarming (l, now);
      break;
    case BB_LEAD_CLEARING:
      go_on_clearing (l, now);
      break;
    }
}
