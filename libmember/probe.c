/* Probes: one member a period, by others where it does not answer.  */

#include "internal.h"

enum
{
  PERIOD_MS = 1000,
  DIRECT_MS = 350,
  INDIRECT = 3,     /* members asked to ping in one's place */
  FAILURES_MAX = 2, /* failed periods before a suspicion is raised */
  DEAD_ONE_IN = 8,  /* periods that go to a dead member */
  PICK_TRIES = 12
};

static bool
is_live (const struct member *p)
{
  return p->status == BB_MEMBER_STATUS_ALIVE
         || p->status == BB_MEMBER_STATUS_SUSPECT;
}

static uint32_t
pick (struct bb_members *m, bool live, bool known)
{
  uint32_t count = m->directory->count;

  for (uint32_t n = 0; n < PICK_TRIES; n++)
    {
      uint32_t i = (uint32_t)g_rand_int_range (m->rand, 0, (gint32)count);
      const struct member *p = &m->members[i];
      if (i != m->self && is_live (p) == live
          && (!known || p->incarnation != 0))
        return i;
    }
  return BB_MEMBER_NONE;
}

/* A young process knows few incarnations: it falls back on who spoke lately.
 */
static uint32_t
pick_recent (struct bb_members *m)
{
  uint32_t held = MIN (m->recent_count, (uint32_t)RECENT_MAX);
  uint32_t i;

  if (held == 0)
    return BB_MEMBER_NONE;
  i = m->recent[g_rand_int_range (m->rand, 0, (gint32)held)];
  if (i == BB_MEMBER_NONE || !is_live (&m->members[i]))
    return BB_MEMBER_NONE;
  return i;
}

uint32_t
pick_live (struct bb_members *m, bool known)
{
  uint32_t i = pick (m, true, known);

  return i == BB_MEMBER_NONE && known ? pick_recent (m) : i;
}

static uint32_t
choose_target (struct bb_members *m)
{
  uint32_t i = m->probe.hint;

  m->probe.hint = BB_MEMBER_NONE;
  if (i != BB_MEMBER_NONE && i != m->self)
    return i;
#ifndef BB_MUTANT_member_heal
  if (g_rand_int_range (m->rand, 0, DEAD_ONE_IN) == 0)
    i = pick (m, false, false);
  if (i != BB_MEMBER_NONE && i != m->self)
    return i;
#endif
  return pick (m, true, false);
}

static void
suspect (struct bb_members *m, bb_ms now, uint32_t i)
{
  if (m->members[i].status != BB_MEMBER_STATUS_ALIVE)
    return;
  m->stats.suspected++;
  set_status (m, now, i, BB_MEMBER_STATUS_SUSPECT);
  queue_update (m, i);
}

/* The period is over without an answer.  */
static void
probe_failed (struct bb_members *m, bb_ms now)
{
  struct probe *p = &m->probe;
  struct member *t = &m->members[p->target];

  if (!is_live (t))
    return;
  if (++t->failures < FAILURES_MAX)
    p->hint = p->target;
  else
    suspect (m, now, p->target);
}

static void
probe_start (struct bb_members *m, bb_ms now)
{
  struct probe *p = &m->probe;

  p->stage = PROBE_IDLE;
  p->next_at = now + PERIOD_MS;
  p->target = choose_target (m);
  if (p->target == BB_MEMBER_NONE)
    return;
  p->stage = PROBE_DIRECT;
  p->step_at = now + DIRECT_MS;
  p->nonce = ++m->nonce;
  send_ping (m, now, p->target, p->nonce);
}

static void
probe_indirectly (struct bb_members *m, bb_ms now)
{
  struct probe *p = &m->probe;

  p->stage = PROBE_INDIRECT;
  if (!is_live (&m->members[p->target]))
    return;
  send_ping (m, now, p->target, p->nonce);
  for (uint32_t n = 0; n < INDIRECT; n++)
    {
      uint32_t by = pick_live (m, true);
      struct bb_ping_request r
          = { .nonce = p->nonce, .target = m->directory->peers[p->target].id };
      if (by == BB_MEMBER_NONE || by == p->target)
        continue;
      fill_gossip (m, now, &r.gossip, by);
      bb_put_ping_request (&m->body, &r);
      send_body (m, by);
    }
}

static void
end_suspicions (struct bb_members *m, bb_ms now)
{
  for (uint32_t i = 0; i < m->directory->count; i++)
    {
      struct member *p = &m->members[i];
      if (p->status != BB_MEMBER_STATUS_SUSPECT || now < p->suspect_until)
        continue;
      m->stats.declared_dead++;
      set_status (m, now, i, BB_MEMBER_STATUS_DEAD);
      queue_update (m, i);
    }
}

void
probe_tick (struct bb_members *m, bb_ms now)
{
  struct probe *p = &m->probe;

  if (p->stage == PROBE_DIRECT && now >= p->step_at)
    probe_indirectly (m, now);
  if (now < p->next_at)
    return;
  end_suspicions (m, now);
  if (p->stage != PROBE_IDLE)
    probe_failed (m, now);
  probe_start (m, now);
}

void
probe_acked (struct bb_members *m, bb_ms now, uint64_t nonce)
{
  if (m->probe.stage != PROBE_IDLE && nonce == m->probe.nonce)
    {
      m->probe.stage = PROBE_IDLE;
      m->members[m->probe.target].failures = 0;
      return;
    }
  for (uint32_t i = 0; i < RELAYS_MAX; i++)
    {
      struct relay *r = &m->relays[i];
      if (r->nonce == 0 || r->nonce != nonce)
        continue;
      r->nonce = 0;
      send_ack (m, now, r->requester, r->their_nonce);
    }
}

void
probe_relay (struct bb_members *m, bb_ms now, uint32_t requester,
             const struct bb_ping_request *q)
{
  uint32_t target = bb_directory_find (m->directory, q->target);
  struct relay *r = &m->relays[m->next_relay];

  if (target == BB_MEMBER_NONE || target == m->self)
    return;
  m->next_relay = (m->next_relay + 1) % RELAYS_MAX;
  r->nonce = ++m->nonce;
  r->their_nonce = q->nonce;
  r->requester = requester;
  send_ping (m, now, target, r->nonce);
}
