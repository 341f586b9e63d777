#include "switch.h"

static void
send_phase (struct bb_switch *s, bb_ms now, struct bb_switch_out *out)
{
  static const uint32_t types[] = { [BB_SWITCH_LEADING] = BB_SWITCH_LEAD,
                                    [BB_SWITCH_PREPARING] = BB_SWITCH_PREPARE,
                                    [BB_SWITCH_ACCEPTING] = BB_SWITCH_ACCEPT,
                                    [BB_SWITCH_DECIDING] = BB_SWITCH_DECIDE };
  struct bb_map_switch m = { .type = types[s->phase], .ballot = s->ballot };
  enum bb_switch_phase phase = s->phase;
  uint64_t ballot = s->ballot;

  if (phase != BB_SWITCH_LEADING)
    {
      m.value = s->proposal;
      m.in_force = s->fallback;
    }
  s->resend_at = now + BB_SWITCH_RESEND_MS;
  /* The own rank comes last, since its answer is handled at once and may end
     the phase.  */
  for (uint32_t n = 1; n <= s->ranks; n++)
    {
      uint32_t r = (s->self + n) % s->ranks;
      if (s->phase == phase && s->ballot == ballot && !s->peers[r].answered)
        switch_send (s, r, &m, now, out);
    }
}

static void
enter_phase (struct bb_switch *s, enum bb_switch_phase phase, bb_ms now,
             struct bb_switch_out *out)
{
  s->phase = phase;
  for (uint32_t r = 0; r < s->ranks; r++)
    s->peers[r].answered = false;
  send_phase (s, now, out);
}

void
coordinator_stop (struct bb_switch *s)
{
  s->phase = BB_SWITCH_IDLE;
  s->wanted_hash = 0;
}

void
coordinator_start (struct bb_switch *s, bb_ms now, struct bb_switch_out *out)
{
  s->highest_round
      = MAX (s->highest_round, s->promised_ballot >> BALLOT_ROUND_SHIFT) + 1;
  s->ballot = s->highest_round << BALLOT_ROUND_SHIFT
              | (uint64_t)s->self << BALLOT_RANK_SHIFT
              | (s->incarnation & ((1u << BALLOT_RANK_SHIFT) - 1));
  s->prepare_deadline_at = now + BB_SWITCH_PREPARE_TIMEOUT_MS;
  enter_phase (s, BB_SWITCH_LEADING, now, out);
}

/* Summary of the states that all agents have reported.  */
struct group_state
{
  uint64_t ballot; /* highest ballot with an accepted value; 0: no agent has a
                      map */
  struct bb_map_value value;
  struct bb_map_value in_force;
  uint64_t started;
  bool any_without_map;
  bool same_value;  /* all agents that have a value have the same one */
  bool all_decided; /* all agents have their value decided */
  bool all_in_use;  /* all ranks have reached the step of the value */
};

static struct group_state
collect_group_state (const struct bb_switch *s)
{
  struct group_state v
      = { .same_value = true, .all_decided = true, .all_in_use = true };

  for (uint32_t r = 0; r < s->ranks; r++)
    {
      const struct bb_switch_peer *p = &s->peers[r];
      v.any_without_map = v.any_without_map || p->accepted_ballot == 0;
      v.started = MAX (v.started, p->started);
      v.all_decided = v.all_decided && p->decided;
      if (p->accepted_ballot > v.ballot)
        {
          v.ballot = p->accepted_ballot;
          v.value = p->accepted;
        }
      if (p->in_force.id > v.in_force.id)
        v.in_force = p->in_force;
    }
  for (uint32_t r = 0; r < s->ranks; r++)
    {
      const struct bb_switch_peer *p = &s->peers[r];
      if (p->accepted_ballot != 0 && p->accepted.id != v.value.id)
        v.same_value = false;
      if (p->started + 1 < v.value.from_step)
        v.all_in_use = false;
    }
  return v;
}

/* Returns whether all ranks have the same decided value.  */
static bool
is_settled (const struct group_state *v)
{
#ifndef BB_MUTANT_switch_settled
  if (!v->same_value || !v->all_decided || v->any_without_map)
    return false;
#endif
  return v->ballot != 0;
}

/* Proposes the wanted map to a settled group.  Returns false where none is
   wanted, the group has it already, or not all ranks use its current map.  */
static bool
choose_wanted (struct bb_switch *s, const struct group_state *v)
{
  if (s->wanted_hash == 0 || !v->all_in_use || s->wanted_hash == v->value.hash)
    return false;
  s->proposal
      = (struct bb_map_value){ .id = s->ballot,
                               .hash = s->wanted_hash,
                               .base_id = v->value.id,
                               .base_hash = v->value.hash,
                               .from_step = v->started + s->margin_steps };
  return true;
}

/* Sets the proposal of the ballot.  Returns false where there is nothing to
   propose.

   A settled group gets the wanted map, and a group in which no rank has a map
   the first one.  Otherwise, where all ranks that have a value have the same,
   that one is completed.  Where they differ, an undecided value cannot have
   been decided anywhere, since that takes the acceptance of every rank: the
   value in force is proposed again or, where none was ever in force, the value
   of the highest ballot.  */
static bool
choose_value (struct bb_switch *s)
{
  struct group_state v = collect_group_state (s);

  s->fallback = v.in_force;
  if (is_settled (&v))
    return choose_wanted (s, &v);
  if (v.ballot == 0)
    s->proposal = (struct bb_map_value){ .id = s->ballot,
                                         .hash = s->first_hash,
                                         .from_step = 1 };
  else
    s->proposal = v.same_value || v.in_force.id == 0 ? v.value : v.in_force;
  return true;
}

static void
next_phase (struct bb_switch *s, bb_ms now, struct bb_switch_out *out)
{
  switch (s->phase)
    {
    case BB_SWITCH_LEADING:
      if (choose_value (s))
        enter_phase (s, BB_SWITCH_PREPARING, now, out);
      else
        coordinator_stop (s);
      break;
    case BB_SWITCH_PREPARING:
      enter_phase (s, BB_SWITCH_ACCEPTING, now, out);
      break;
    case BB_SWITCH_ACCEPTING:
      enter_phase (s, BB_SWITCH_DECIDING, now, out);
      break;
    default:
      if (s->proposal.hash == s->wanted_hash)
        s->margin_steps = BB_SWITCH_MARGIN_STEPS;
      coordinator_stop (s);
      break;
    }
}

/* Returns whether M is an answer to a request of the current phase.  */
static bool
matches_phase (const struct bb_switch *s, const struct bb_map_switch *m)
{
  static const uint32_t types[] = { [BB_SWITCH_LEADING] = BB_SWITCH_STATE,
                                    [BB_SWITCH_PREPARING] = BB_SWITCH_PREPARED,
                                    [BB_SWITCH_ACCEPTING] = BB_SWITCH_ACCEPTED,
                                    [BB_SWITCH_DECIDING] = BB_SWITCH_DECIDED };

  return s->phase != BB_SWITCH_IDLE && m->ballot == s->ballot
         && m->type == types[s->phase] && m->to_incarnation == s->incarnation;
}

void
coordinator_on_answer (struct bb_switch *s, const struct bb_map_switch *m,
                       bb_ms now, struct bb_switch_out *out)
{
  struct bb_switch_peer *p = &s->peers[m->from];

  if (!matches_phase (s, m) || p->answered)
    return;
  p->answered = true;
  if (m->type == BB_SWITCH_STATE)
    {
      p->accepted_ballot = m->accepted_ballot;
      p->accepted = m->value;
      p->in_force = m->in_force;
      p->started = m->started;
      p->decided = m->decided;
    }
#ifndef BB_MUTANT_switch_all_ranks
  for (uint32_t r = 0; r < s->ranks; r++)
    if (!s->peers[r].answered)
      return;
#endif
  next_phase (s, now, out);
}

void
coordinator_on_refused (struct bb_switch *s, const struct bb_map_switch *m,
                        bb_ms now, struct bb_switch_out *out)
{
  if (s->phase == BB_SWITCH_IDLE || m->to_incarnation != s->incarnation)
    return;
  /* Another coordinator has a higher ballot.  */
  if (m->ballot > s->ballot)
    coordinator_stop (s);
  else if (m->ballot == s->ballot && s->phase == BB_SWITCH_ACCEPTING)
    {
      /* The rank has passed the step of the value.  A new ballot releases the
         ranks that have accepted it and proposes a later step.  */
      s->margin_steps = MIN (s->margin_steps * 2, BB_SWITCH_MARGIN_MAX_STEPS);
      coordinator_start (s, now, out);
    }
}

void
coordinator_tick (struct bb_switch *s, bb_ms now, struct bb_switch_out *out)
{
  if (s->phase == BB_SWITCH_IDLE)
    return;
  if (s->phase == BB_SWITCH_PREPARING && now >= s->prepare_deadline_at)
    coordinator_stop (s);
  else if (now >= s->resend_at)
    send_phase (s, now, out);
}
