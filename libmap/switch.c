#include "switch.h"

#include <string.h>

void
bb_switch_out_clear (struct bb_switch_out *out)
{
  g_free (out->messages);
  memset (out, 0, sizeof *out);
}

void
bb_switch_init (struct bb_switch *s, uint32_t ranks, uint32_t self,
                uint64_t incarnation, uint64_t first_hash)
{
  memset (s, 0, sizeof *s);
  s->ranks = ranks;
  s->self = self;
  s->incarnation = incarnation;
  s->first_hash = first_hash;
  s->margin_steps = BB_SWITCH_MARGIN_STEPS;
  s->takeover_delay_ms = BB_SWITCH_TAKEOVER_DELAY_MS;
  s->peers = g_new0 (struct bb_switch_peer, ranks);
  s->peers[self].incarnation = incarnation;
}

void
bb_switch_free (struct bb_switch *s)
{
  g_free (s->peers);
  s->peers = NULL;
}

void
bb_switch_restore (struct bb_switch *s, const struct bb_switch_saved_state *m)
{
  s->saved = *m;
  s->highest_round = m->accepted_ballot >> BALLOT_ROUND_SHIFT;
  s->loaded_hash = m->accepted.hash;
}

void
switch_send (struct bb_switch *s, uint32_t to, struct bb_map_switch *m,
             bb_ms now, struct bb_switch_out *out)
{
  m->from = (uint16_t)s->self;
  m->to = (uint16_t)to;
  m->from_incarnation = s->incarnation;
  m->to_incarnation = s->peers[to].incarnation;
  if (to == s->self)
    {
      struct bb_map_switch own = *m;
      bb_switch_receive (s, &own, now, out);
      return;
    }
  if (out->count == out->capacity)
    {
      out->capacity = out->capacity ? out->capacity * 2 : 16;
      out->messages
          = g_renew (struct bb_map_switch, out->messages, out->capacity);
    }
  out->messages[out->count++] = *m;
}

static void
reply (struct bb_switch *s, const struct bb_map_switch *to, uint32_t type,
       bb_ms now, struct bb_switch_out *out)
{
  struct bb_map_switch m = { .type = type, .ballot = to->ballot };

  if (type == BB_SWITCH_REFUSED)
    m.ballot = s->promised_ballot;
  if (type == BB_SWITCH_STATE)
    {
      m.value = s->saved.accepted;
      m.in_force = s->saved.in_force;
      m.accepted_ballot = s->saved.accepted_ballot;
      m.started = s->saved.started;
      m.decided = s->saved.decided;
    }
  switch_send (s, to->from, &m, now, out);
}

static void
on_lead (struct bb_switch *s, const struct bb_map_switch *m, bb_ms now,
         struct bb_switch_out *out)
{
  if (m->ballot < s->promised_ballot)
    {
      reply (s, m, BB_SWITCH_REFUSED, now, out);
      return;
    }
  if (m->ballot > s->promised_ballot)
    {
      s->promised_ballot = m->ballot;
      s->prepare_ballot = 0;
      if (s->phase != BB_SWITCH_IDLE && s->ballot < m->ballot)
        coordinator_stop (s);
    }
  reply (s, m, BB_SWITCH_STATE, now, out);
}

static void
on_prepare (struct bb_switch *s, const struct bb_map_switch *m, bb_ms now,
            struct bb_switch_out *out)
{
  if (s->loaded_hash == m->value.hash)
    {
      reply (s, m, BB_SWITCH_PREPARED, now, out);
      return;
    }
  s->prepare_ballot = m->ballot;
  s->prepare_hash = m->value.hash;
  out->load_hash = m->value.hash;
}

void
bb_switch_loaded (struct bb_switch *s, uint64_t hash, bb_ms now,
                  struct bb_switch_out *out)
{
  struct bb_map_switch m
      = { .type = BB_SWITCH_PREPARED, .ballot = s->prepare_ballot };

  s->loaded_hash = hash;
  if (s->prepare_ballot == 0 || s->prepare_hash != hash)
    return;
  s->prepare_ballot = 0;
  switch_send (s, (uint32_t)(m.ballot >> BALLOT_RANK_SHIFT & UINT16_MAX), &m,
               now, out);
}

/* Returns whether the rank can accept VALUE: it has none, has accepted VALUE
   already, VALUE is the one in force, or VALUE may follow the accepted one. */
static bool
can_accept (const struct bb_switch *s, const struct bb_map_value *value)
{
  const struct bb_switch_saved_state *m = &s->saved;

  if (m->accepted_ballot == 0 || value->id == m->accepted.id)
    return true;
  if (value->id == m->in_force.id)
    return true;
#ifndef BB_MUTANT_switch_settled
  /* A new value may only follow one that is decided and whose step this rank
     has reached.  */
  if (!m->decided || value->id < m->accepted.id
      || m->started + 1 < m->accepted.from_step)
    return false;
#endif
#ifndef BB_MUTANT_switch_step_ahead
  if (value->from_step <= m->started)
    return false;
#endif
  return true;
}

static void
on_accept (struct bb_switch *s, const struct bb_map_switch *m, bb_ms now,
           struct bb_switch_out *out)
{
  struct bb_switch_saved_state *mem = &s->saved;

  if (!can_accept (s, &m->value))
    {
      reply (s, m, BB_SWITCH_REFUSED, now, out);
      return;
    }
  /* A duplicate accept request must not undo the decision that followed it. */
  if (mem->accepted_ballot != m->ballot)
    {
      if (mem->accepted_ballot == 0)
        mem->in_force = m->in_force;
      mem->accepted_ballot = m->ballot;
      mem->accepted = m->value;
      mem->decided = false;
    }
  reply (s, m, BB_SWITCH_ACCEPTED, now, out);
}

static void
on_decide (struct bb_switch *s, const struct bb_map_switch *m, bb_ms now,
           struct bb_switch_out *out)
{
  if (s->saved.accepted_ballot != m->ballot)
    return;
  s->saved.decided = true;
  s->saved.in_force = s->saved.accepted;
  reply (s, m, BB_SWITCH_DECIDED, now, out);
}

static void
on_hello (struct bb_switch *s, const struct bb_map_switch *m, bb_ms now,
          struct bb_switch_out *out)
{
  struct bb_map_switch answer = { .type = BB_SWITCH_HELLO };

  if (m->to_incarnation != s->incarnation)
    switch_send (s, m->from, &answer, now, out);
}

/* Records the incarnation of the sender of M.  Where the peer has restarted, a
   coordinator starts a new ballot, since its ballot relies on the promises of
   the earlier incarnation.  */
static void
update_peer (struct bb_switch *s, const struct bb_map_switch *m, bb_ms now,
             struct bb_switch_out *out)
{
  struct bb_switch_peer *p = &s->peers[m->from];
  bool restarts_ballot = false;

  if (p->incarnation == m->from_incarnation)
    return;
  p->incarnation = m->from_incarnation;
#ifndef BB_MUTANT_switch_incarnation
  restarts_ballot = s->phase != BB_SWITCH_IDLE;
#endif
  if (restarts_ballot)
    coordinator_start (s, now, out);
}

/* Returns whether the request M is to this incarnation and, unless it opens a
   ballot, belongs to the ballot promised.  */
static bool
is_current (const struct bb_switch *s, const struct bb_map_switch *m)
{
#ifndef BB_MUTANT_switch_incarnation
  if (m->to_incarnation != s->incarnation)
    return false;
#endif
#ifndef BB_MUTANT_switch_promise
  if (m->type != BB_SWITCH_LEAD && m->ballot != s->promised_ballot)
    return false;
#endif
  return true;
}

static void
on_request (struct bb_switch *s, const struct bb_map_switch *m, bb_ms now,
            struct bb_switch_out *out)
{
  if (!is_current (s, m))
    {
      reply (s, m, BB_SWITCH_REFUSED, now, out);
      return;
    }
  switch (m->type)
    {
    case BB_SWITCH_LEAD:
      on_lead (s, m, now, out);
      break;
    case BB_SWITCH_PREPARE:
      on_prepare (s, m, now, out);
      break;
    case BB_SWITCH_ACCEPT:
      on_accept (s, m, now, out);
      break;
    default:
      on_decide (s, m, now, out);
      break;
    }
}

void
bb_switch_receive (struct bb_switch *s, const struct bb_map_switch *m,
                   bb_ms now, struct bb_switch_out *out)
{
  if (m->from >= s->ranks || m->to != s->self)
    return;
  update_peer (s, m, now, out);
  s->highest_round = MAX (s->highest_round, m->ballot >> BALLOT_ROUND_SHIFT);
  switch (m->type)
    {
    case BB_SWITCH_HELLO:
      on_hello (s, m, now, out);
      break;
    case BB_SWITCH_LEAD:
    case BB_SWITCH_PREPARE:
    case BB_SWITCH_ACCEPT:
    case BB_SWITCH_DECIDE:
      on_request (s, m, now, out);
      break;
    case BB_SWITCH_REFUSED:
      coordinator_on_refused (s, m, now, out);
      break;
    default:
      coordinator_on_answer (s, m, now, out);
      break;
    }
}

bool
bb_switch_may_start (const struct bb_switch_saved_state *m, uint64_t step,
                     uint64_t *id, uint64_t *hash)
{
  const struct bb_map_value *v = &m->accepted;

  if (m->accepted_ballot == 0)
    return false;
  if (step < v->from_step)
    {
      *id = v->base_id;
      *hash = v->base_hash;
      return true;
    }
#ifndef BB_MUTANT_switch_hold
  if (!m->decided)
    return false;
#endif
  *id = v->id;
  *hash = v->hash;
  return true;
}

bool
bb_switch_is_settled (const struct bb_switch *s)
{
  return s->saved.decided && s->phase == BB_SWITCH_IDLE;
}

void
bb_switch_propose (struct bb_switch *s, uint64_t hash, bb_ms now,
                   struct bb_switch_out *out)
{
  if (s->phase != BB_SWITCH_IDLE || !s->saved.decided)
    return;
  s->wanted_hash = hash;
  coordinator_start (s, now, out);
}

/* Sends hello to the peers whose incarnation is unknown.  */
static void
send_hellos (struct bb_switch *s, bb_ms now, struct bb_switch_out *out)
{
  struct bb_map_switch m = { .type = BB_SWITCH_HELLO };

  for (uint32_t r = 0; r < s->ranks; r++)
    if (s->peers[r].incarnation == 0)
      switch_send (s, r, &m, now, out);
}

/* Becomes the coordinator where an undecided value, or no value, has waited
   too long for another coordinator.  */
static void
check_takeover (struct bb_switch *s, bb_ms now, struct bb_switch_out *out)
{
  if (s->saved.decided || s->phase != BB_SWITCH_IDLE)
    {
      s->takeover_at = 0;
      if (s->saved.decided)
        s->takeover_delay_ms = BB_SWITCH_TAKEOVER_DELAY_MS;
      return;
    }
  if (s->takeover_at == 0)
    s->takeover_at
        = now + s->takeover_delay_ms + (bb_ms)s->self * BB_SWITCH_STAGGER_MS;
  if (now < s->takeover_at)
    return;
  s->takeover_at = 0;
  s->takeover_delay_ms
      = MIN (s->takeover_delay_ms * 2, BB_SWITCH_TAKEOVER_DELAY_MAX_MS);
  coordinator_start (s, now, out);
}

void
bb_switch_tick (struct bb_switch *s, bb_ms now, struct bb_switch_out *out)
{
  send_hellos (s, now, out);
  coordinator_tick (s, now, out);
  check_takeover (s, now, out);
}
