/* Failure detection: probes one member in each period, through other members
   when it does not answer directly.  */

#include "internal.h"

enum
{
  PROBE_PERIOD_MS = 1000,
  DIRECT_TIMEOUT_MS = 350,
  INDIRECT_PROBES = 3,   /* members asked to ping the target */
  FAILED_PROBES_MAX = 2, /* failed probes in a row that raise a suspicion */
  DEAD_PROBE_ONE_IN = 8, /* one in so many probes goes to a gone member */
  PICK_TRIES = 12
};

static bool
is_live (const struct member *p)
{
  return p->status == BB_MEMBER_STATUS_ALIVE
         || p->status == BB_MEMBER_STATUS_SUSPECT;
}

static uint32_t
pick_random (struct bb_members *m, bool live, bool known_incarnation)
{
  uint32_t count = m->directory->count;

  for (uint32_t n = 0; n < PICK_TRIES; n++)
    {
      uint32_t i = (uint32_t)g_rand_int_range (m->rand, 0, (gint32)count);
      const struct member *p = &m->members[i];
      if (i != m->self && is_live (p) == live
          && (!known_incarnation || p->incarnation != 0))
        return i;
    }
  return BB_MEMBER_NONE;
}

/* Returns a random one of the last senders, or BB_MEMBER_NONE.  Serves a
   process that started lately and knows few incarnations.  */
static uint32_t
pick_recent_sender (struct bb_members *m)
{
  uint32_t count = MIN (m->recent_senders_count, (uint32_t)RECENT_SENDERS_MAX);
  uint32_t i;

  if (count == 0)
    return BB_MEMBER_NONE;
  i = m->recent_senders[g_rand_int_range (m->rand, 0, (gint32)count)];
  if (i == BB_MEMBER_NONE || !is_live (&m->members[i]))
    return BB_MEMBER_NONE;
  return i;
}

uint32_t
pick_random_live (struct bb_members *m, bool known_incarnation)
{
  uint32_t i = pick_random (m, true, known_incarnation);

  return i == BB_MEMBER_NONE && known_incarnation ? pick_recent_sender (m) : i;
}

/* Returns the member to probe: the one set for this probe, now and then one
   that is dead or has left, else a live one.  Without probes of dead members
   the two sides of a healed partition would not find each other again.  */
static uint32_t
choose_target (struct bb_members *m)
{
  uint32_t i = m->probe.next_target;

  m->probe.next_target = BB_MEMBER_NONE;
  if (i != BB_MEMBER_NONE && i != m->self)
    return i;
#ifndef BB_MUTANT_member_heal
  if (g_rand_int_range (m->rand, 0, DEAD_PROBE_ONE_IN) == 0)
    i = pick_random (m, false, false);
  if (i != BB_MEMBER_NONE && i != m->self)
    return i;
#endif
  return pick_random (m, true, false);
}

static void
mark_suspect (struct bb_members *m, bb_ms now, uint32_t i)
{
  if (m->members[i].status != BB_MEMBER_STATUS_ALIVE)
    return;
  m->stats.suspected++;
  set_status (m, now, i, BB_MEMBER_STATUS_SUSPECT);
  queue_update (m, i);
}

/* Handles a probe that got no answer in its period: has the target probed
   again in the next period, or suspects it after FAILED_PROBES_MAX.  */
static void
probe_failed (struct bb_members *m, bb_ms now)
{
  struct probe *p = &m->probe;
  struct member *t = &m->members[p->target];

  if (!is_live (t))
    return;
  if (++t->failed_probes < FAILED_PROBES_MAX)
    p->next_target = p->target;
  else
    mark_suspect (m, now, p->target);
}

static void
probe_start (struct bb_members *m, bb_ms now)
{
  struct probe *p = &m->probe;

  p->stage = PROBE_IDLE;
  p->next_at_ms = now + PROBE_PERIOD_MS;
  p->target = choose_target (m);
  if (p->target == BB_MEMBER_NONE)
    return;
  p->stage = PROBE_DIRECT;
  p->indirect_at_ms = now + DIRECT_TIMEOUT_MS;
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
  for (uint32_t n = 0; n < INDIRECT_PROBES; n++)
    {
      uint32_t relay = pick_random_live (m, true);
      struct bb_ping_request r
          = { .nonce = p->nonce, .target = m->directory->peers[p->target].id };
      if (relay == BB_MEMBER_NONE || relay == p->target)
        continue;
      fill_gossip (m, now, &r.gossip, relay);
      bb_put_ping_request (&m->body, &r);
      send_message (m, relay);
    }
}

static void
expire_suspicions (struct bb_members *m, bb_ms now)
{
  for (uint32_t i = 0; i < m->directory->count; i++)
    {
      struct member *p = &m->members[i];
      if (p->status != BB_MEMBER_STATUS_SUSPECT || now < p->suspect_until_ms)
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

  if (p->stage == PROBE_DIRECT && now >= p->indirect_at_ms)
    probe_indirectly (m, now);
  if (now < p->next_at_ms)
    return;
  expire_suspicions (m, now);
  if (p->stage != PROBE_IDLE)
    probe_failed (m, now);
  probe_start (m, now);
}

void
probe_handle_ack (struct bb_members *m, bb_ms now, uint64_t nonce)
{
  if (m->probe.stage != PROBE_IDLE && nonce == m->probe.nonce)
    {
      m->probe.stage = PROBE_IDLE;
      m->members[m->probe.target].failed_probes = 0;
      return;
    }
  for (uint32_t i = 0; i < RELAYED_PINGS_MAX; i++)
    {
      struct relayed_ping *r = &m->relays[i];
      if (r->nonce == 0 || r->nonce != nonce)
        continue;
      r->nonce = 0;
      send_ack (m, now, r->requester, r->requester_nonce);
    }
}

void
probe_handle_request (struct bb_members *m, bb_ms now, uint32_t requester,
                      const struct bb_ping_request *q)
{
  uint32_t target = bb_directory_find (m->directory, q->target);
  struct relayed_ping *r = &m->relays[m->relays_next];

  if (target == BB_MEMBER_NONE || target == m->self)
    return;
  m->relays_next = (m->relays_next + 1) % RELAYED_PINGS_MAX;
  r->nonce = ++m->nonce;
  r->requester_nonce = q->nonce;
  r->requester = requester;
  send_ping (m, now, target, r->nonce);
}
