/* Exchanges the states of the processes with peers.  */

#include "internal.h"

#include <utlist.h>

enum
{
  /* Ticks between state messages to an agent.  Agents use no load figures, so
     that these messages only serve as heartbeats.  */
  AGENT_STATE_INTERVAL_TICKS = 4,

  /* Ticks between state messages that carry the list of addresses.  The others
     omit it, because it seldom changes.  */
  MEMBERS_INTERVAL_TICKS = 10
};

bool
peer_is_agent (const struct peer *peer)
{
  return peer->hello_received && !peer->listen_address;
}

void
peer_send_state (struct peer *peer)
{
  struct bb_peers *p = peer->owner;
  struct bb_peer_state *m = g_new0 (struct bb_peer_state, 1);

  m->revision = p->view->revision;
  m->sent = peer->sent_revision;
  for (uint32_t i = 0;
       i < p->endpoints_count && p->ticks % MEMBERS_INTERVAL_TICKS == 0; i++)
    m->members[m->members_count++].address
        = bb_bytes_of (p->endpoints[i].address);
  if (!peer_is_agent (peer) && p->ops->fill_state)
    p->ops->fill_state (m, p->user);
  bb_put_peer_state (bb_conn_out (peer->conn), m);
  g_free (m);
}

void
peer_on_state (struct peer *peer, const struct bb_peer_state *m)
{
  struct bb_peers *p = peer->owner;

  peer->accepting = m->taking;
  peer->reads_store = m->reads;
  if (m->revision > peer->sent_revision)
    peer->sent_revision = m->revision;
  for (uint32_t i = 0; i < m->members_count; i++)
    peer_add_endpoint (p, m->members[i].address);
  if (p->ops->on_state)
    p->ops->on_state (peer->name ? peer->name : "", m, p->user);
}

void
bb_peers_send_state (struct bb_peers *p)
{
  struct peer *peer;

  DL_FOREACH (p->peers, peer)
  if (peer->open)
    peer_send_state (peer);
}

void
peer_send_due_states (struct bb_peers *p)
{
  struct peer *peer;

  DL_FOREACH (p->peers, peer)
  if (peer->open
      && (!peer_is_agent (peer) || p->ticks % AGENT_STATE_INTERVAL_TICKS == 0))
    peer_send_state (peer);
}

static bool
is_accepting (const struct peer *peer)
{
  return peer->accepting;
}

static bool
is_reader (const struct peer *peer)
{
  return peer->reads_store;
}

static bool
is_reader_before (const struct peer *peer)
{
  return peer->reads_store && peer->incarnation < peer->owner->incarnation;
}

/* Returns of how many connected peers MATCHES is true.  */
static uint32_t
count_peers (const struct bb_peers *p,
             bool (*matches) (const struct peer *peer))
{
  const struct peer *peer;
  uint32_t n = 0;

  DL_FOREACH (p->peers, peer)
  if (peer->hello_received && matches (peer))
    n++;
  return n;
}

uint32_t
bb_peers_count_accepting (const struct bb_peers *p)
{
  return count_peers (p, is_accepting);
}

uint32_t
bb_peers_count_readers (const struct bb_peers *p)
{
  return count_peers (p, is_reader);
}

uint32_t
bb_peers_count_readers_before (const struct bb_peers *p)
{
  return count_peers (p, is_reader_before);
}
