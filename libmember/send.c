/* Builds, signs and sends messages.  */

#include "internal.h"

#include <string.h>

/* Adds the state of member I as known here to G.  */
static void
add_update (const struct bb_members *m, uint32_t i, struct bb_gossip *g)
{
  const struct member *p = &m->members[i];
  struct bb_member_update *u = &g->updates[g->updates_count];

  u->id = m->directory->peers[i].id;
  u->incarnation = p->incarnation;
  u->counter = p->counter;
  u->status = p->status;
  g->updates_count++;
}

/* Returns whether member I should receive its own state as known here, because
   it is wrong if I is running.  */
static bool
needs_status_update (const struct bb_members *m, uint32_t i)
{
  const struct member *p = &m->members[i];

  return p->status != BB_MEMBER_STATUS_ALIVE
         || (i == m->current_sender && p->incarnation != 0
             && p->incarnation != m->current_sender_incarnation);
}

void
fill_gossip (struct bb_members *m, bb_ms now, struct bb_gossip *g,
             uint32_t recipient)
{
  const struct bb_config_blob *b = m->history[0];

  g->revision = b ? b->revision : 0;
  g->hash = b ? b->hash : 0;
  g->rejected = m->stats.rejected_revision;
  if (recipient != BB_MEMBER_NONE && needs_status_update (m, recipient))
    add_update (m, recipient, g);
  fill_updates (m, g);
  fill_pushed (m, now, g);
}

void
send_message (struct bb_members *m, uint32_t to)
{
  struct bb_sealed s = { .from = m->self_id,
                         .incarnation = m->incarnation,
                         .sequence = ++m->sequence,
                         .counter = m->counter };

  if (to == m->current_sender)
    s.to_incarnation = m->current_sender_incarnation;
  else if (to != BB_MEMBER_NONE)
    s.to_incarnation = m->members[to].incarnation;
  s.body.ptr = m->body.data;
  s.body.size = (uint32_t)m->body.size;
  m->datagram.size = 0;
  bb_sign_datagram (&m->datagram, &s, m->signer);
  m->body.size = 0;
  m->stats.sent++;
  m->stats.sent_bytes += m->datagram.size;
  m->ops->send (m->user, to, m->datagram.data, m->datagram.size);
}

void
send_ping (struct bb_members *m, bb_ms now, uint32_t to, uint64_t nonce)
{
  struct bb_ping p = { .nonce = nonce };

  fill_gossip (m, now, &p.gossip, to);
  bb_put_ping (&m->body, &p);
  send_message (m, to);
}

void
send_ack (struct bb_members *m, bb_ms now, uint32_t to, uint64_t nonce)
{
  struct bb_ping_ack a = { .nonce = nonce };

  fill_gossip (m, now, &a.gossip, to);
  bb_put_ping_ack (&m->body, &a);
  send_message (m, to);
}

void
send_notice (struct bb_members *m, bb_ms now, uint32_t to)
{
  struct bb_notice n = { 0 };

  fill_gossip (m, now, &n.gossip, to);
  bb_put_notice (&m->body, &n);
  send_message (m, to);
}
