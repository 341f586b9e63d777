/* Exchanges the items of the store and the states of the processes with
   peers.  */

#include "internal.h"

#include "bilberry/settings.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

enum
{
  STATE_INTERVAL_MS = 100, /* length of a tick */

  /* Ticks between state messages to an agent.  Agents use no load figures, so
     that these messages only serve as heartbeats.  */
  AGENT_STATE_INTERVAL_TICKS = 4,

  /* Ticks between state messages that carry the list of addresses.  The others
     omit it, because it seldom changes.  */
  MEMBERS_INTERVAL_TICKS = 10,

  IDLE_TIMEOUT_MS = 1200, /* time without a message after which a connection
                             is closed */
  /* Time between attempts to connect to the same address.  */
  RECONNECT_INTERVAL_MS = 400,
  CONNECT_TIMEOUT_MS = 800
};

bb_ms
peer_now_ms (const struct bb_peers *p)
{
  return (bb_ms)uv_now (p->loop);
}

static void
add_endpoint (struct bb_peers *p, struct bb_bytes address)
{
  if (address.size == 0 || p->endpoints_count == ADDRESSES_MAX
      || (p->address && bb_bytes_equal (address, p->address)))
    return;
  for (uint32_t i = 0; i < p->endpoints_count; i++)
    if (bb_bytes_equal (address, p->endpoints[i].address))
      return;
  p->endpoints[p->endpoints_count].address
      = g_strndup (address.ptr, address.size);
  p->endpoints[p->endpoints_count].attempted_ms = INT64_MIN / 2;
  p->endpoints_count++;
}

static void
put_item (msgpack_sbuffer *out, const struct bb_item *i)
{
  struct bb_peer_item m = { .key = bb_bytes_of (i->key),
                            .revision = i->revision,
                            .removed = !i->value };

  if (i->value)
    {
      gsize size;
      m.value.ptr = g_bytes_get_data (i->value, &size);
      m.value.size = (uint32_t)size;
    }
  bb_put_peer_item (out, &m);
}

static void
send_hello (struct peer *peer)
{
  struct bb_peers *p = peer->owner;
  struct bb_peer_hello m = { .incarnation = p->incarnation,
                             .name = bb_bytes_of (p->name),
                             .address = bb_bytes_of (p->address) };
  msgpack_sbuffer *out = bb_conn_out (peer->conn);
  GHashTableIter it;
  void *item;

  bb_put_peer_hello (out, &m);
  g_hash_table_iter_init (&it, p->view->items);
  while (g_hash_table_iter_next (&it, NULL, &item))
    put_item (out, item);
  peer->sent_revision = p->view->revision;
#ifndef BB_MUTANT_peer_crashes
  bb_put_crashes (out, p->poison, peer_now_ms (p));
  bb_put_part_crashes (out, p->parts, peer_now_ms (p));
#endif
}

/* Sends PEER the items with a revision above its sent_revision, and advances
   sent_revision to that of the view.  */
static void
send_missing (struct peer *peer)
{
  const struct bb_view *v = peer->owner->view;
  GHashTableIter it;
  void *value;

  g_hash_table_iter_init (&it, v->items);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct bb_item *i = value;
      if (i->revision > peer->sent_revision)
        put_item (bb_conn_out (peer->conn), i);
    }
  peer->sent_revision = v->revision;
}

/* Returns whether PEER is an agent: only agents have no address to listen
   on.  */
static bool
is_agent (const struct peer *peer)
{
  return peer->hello_received && !peer->listen_address;
}

static void
send_state (struct peer *peer)
{
  struct bb_peers *p = peer->owner;
  struct bb_peer_state *m = g_new0 (struct bb_peer_state, 1);

  m->revision = p->view->revision;
  m->sent = peer->sent_revision;
  for (uint32_t i = 0;
       i < p->endpoints_count && p->ticks % MEMBERS_INTERVAL_TICKS == 0; i++)
    m->members[m->members_count++].address
        = bb_bytes_of (p->endpoints[i].address);
  if (!is_agent (peer) && p->ops->fill_state)
    p->ops->fill_state (m, p->user);
  bb_put_peer_state (bb_conn_out (peer->conn), m);
  g_free (m);
}

static void
on_open (struct bb_conn *c)
{
  struct peer *peer = bb_conn_user (c);

  peer->open = true;
  peer->received_ms = peer_now_ms (peer->owner);
  send_hello (peer);
  send_state (peer);
}

static void
on_hello (struct peer *peer, const struct bb_peer_hello *m)
{
  struct bb_peers *p = peer->owner;
  struct peer *other;

  if (m->incarnation == p->incarnation)
    {
      bb_conn_close (peer->conn, "connected to itself");
      return;
    }
  peer->hello_received = true;
  peer->incarnation = m->incarnation;
  g_free (peer->name);
  peer->name = bb_bytes_strdup (m->name);
  g_free (peer->listen_address);
  peer->listen_address
      = m->address.size > 0 ? bb_bytes_strdup (m->address) : NULL;
  add_endpoint (p, m->address);
  /* Where two processes have connected to each other, both close the
     connection that the higher incarnation opened.  */
  DL_FOREACH (p->peers, other)
  if (other != peer && other->hello_received
      && other->incarnation == peer->incarnation)
    {
      bool keep_own = p->incarnation < peer->incarnation;
      struct peer *duplicate
          = (peer->connect_address != NULL) == keep_own ? other : peer;
      bb_conn_close (duplicate->conn, "doubled");
      return;
    }
  p->ops->on_connection_change (peer->name, true, p->user);
}

static void
on_item (struct peer *peer, const struct bb_peer_item *m)
{
  struct bb_peers *p = peer->owner;
  char *key = bb_bytes_strdup (m->key);
  GBytes *value
      = m->removed ? NULL : g_bytes_new (m->value.ptr, m->value.size);

  p->ops->on_item (key, value, m->revision, p->user);
  if (value)
    g_bytes_unref (value);
  g_free (key);
}

static void
on_state (struct peer *peer, const struct bb_peer_state *m)
{
  struct bb_peers *p = peer->owner;

  peer->accepting = m->taking;
  peer->reads_store = m->reads;
  if (m->revision > peer->sent_revision)
    peer->sent_revision = m->revision;
  for (uint32_t i = 0; i < m->members_count; i++)
    add_endpoint (p, m->members[i].address);
  if (p->ops->on_state)
    p->ops->on_state (peer->name ? peer->name : "", m, p->user);
}

static void
on_message (struct bb_conn *c, const struct bb_message *m)
{
  struct peer *peer = bb_conn_user (c);

  peer->received_ms = peer_now_ms (peer->owner);
  switch (m->type)
    {
    case BB_MSG_PEER_HELLO:
      on_hello (peer, &m->u.peer_hello);
      break;
    case BB_MSG_PEER_ITEM:
      on_item (peer, &m->u.peer_item);
      break;
    case BB_MSG_PEER_STATE:
      on_state (peer, &m->u.peer_state);
      break;
    case BB_MSG_PEER_ISOLATED:
      peer_on_isolated (peer, &m->u.peer_isolated);
      break;
    case BB_MSG_SUSPECT:
      peer_on_suspect (peer, &m->u.suspect);
      break;
    case BB_MSG_SUSPECT_PARTS:
      peer_on_suspect_parts (peer, &m->u.suspect_parts);
      break;
    case BB_MSG_SOUND_PART:
      peer_on_sound_part (peer, &m->u.sound_part);
      break;
    default:
      bb_conn_close (c, "unexpected type of message");
    }
}

static void
on_close (struct bb_conn *c, const char *why)
{
  struct peer *peer = bb_conn_user (c);
  struct bb_peers *p = peer->owner;

  (void)why;
  DL_DELETE (p->peers, peer);
  if (peer->hello_received)
    p->ops->on_connection_change (peer->name, false, p->user);
  g_free (peer->connect_address);
  g_free (peer->listen_address);
  g_free (peer->name);
  g_free (peer);
}

static void on_accept (struct bb_conn *c);

static const struct bb_conn_ops connect_ops
    = { on_message, on_open, on_close };
static const struct bb_conn_ops accept_ops
    = { on_message, on_accept, on_close };

static void
on_accept (struct bb_conn *c)
{
  struct peer *peer = g_new0 (struct peer, 1);

  peer->owner = bb_conn_user (c);
  peer->conn = c;
  DL_APPEND (peer->owner->peers, peer);
  bb_conn_set_user (c, peer);
  on_open (c);
}

static void
connect_to (struct bb_peers *p, struct endpoint *endpoint)
{
  struct sockaddr_storage addr;
  struct peer *peer;

  endpoint->attempted_ms = peer_now_ms (p);
  if (!bb_address_parse (endpoint->address, &addr))
    return;
  peer = g_new0 (struct peer, 1);
  peer->owner = p;
  peer->connect_address = g_strdup (endpoint->address);
  peer->received_ms = peer_now_ms (p);
  DL_APPEND (p->peers, peer);
  peer->conn = bb_conn_connect (p->loop, &addr, &connect_ops, peer);
}

static bool
has_connection (const struct bb_peers *p, const char *address)
{
  const struct peer *peer;

  DL_FOREACH (p->peers, peer)
  if ((peer->connect_address && strcmp (peer->connect_address, address) == 0)
      || (peer->listen_address && strcmp (peer->listen_address, address) == 0))
    return true;
  return false;
}

static void
connect_to_all (struct bb_peers *p)
{
  for (uint32_t i = 0; i < p->endpoints_count; i++)
    if (peer_now_ms (p) - p->endpoints[i].attempted_ms >= RECONNECT_INTERVAL_MS
        && !has_connection (p, p->endpoints[i].address))
      connect_to (p, &p->endpoints[i]);
}

static void
connect_to_one (struct bb_peers *p)
{
  struct endpoint *endpoint;

  if (p->peers || p->endpoints_count == 0)
    return;
  endpoint = &p->endpoints[p->next_endpoint % p->endpoints_count];
  if (peer_now_ms (p) - endpoint->attempted_ms < RECONNECT_INTERVAL_MS)
    return;
  p->next_endpoint++;
  connect_to (p, endpoint);
}

static void
close_idle (struct bb_peers *p)
{
  struct peer *peer;
  struct peer *next;

  DL_FOREACH_SAFE (p->peers, peer, next)
  {
    bb_ms max = peer->open ? IDLE_TIMEOUT_MS : CONNECT_TIMEOUT_MS;
    if (peer_now_ms (p) - peer->received_ms > max)
      bb_conn_close (peer->conn, "silent");
  }
}

void
bb_peers_send_state (struct bb_peers *p)
{
  struct peer *peer;

  DL_FOREACH (p->peers, peer)
  if (peer->open)
    send_state (peer);
}

/* Sends the missing items to peers that lack any that this process had
   RESEND_DELAY_TICKS ago.  */
static void
resend_missing (struct bb_peers *p)
{
  uint64_t *past_revision = &p->past_revisions[p->ticks % RESEND_DELAY_TICKS];
  struct peer *peer;

  DL_FOREACH (p->peers, peer)
  if (peer->open && peer->sent_revision < *past_revision)
    send_missing (peer);
  *past_revision = p->view->revision;
}

static void
on_timer (uv_timer_t *t)
{
  struct bb_peers *p = t->data;
  struct peer *peer;

  close_idle (p);
  if (p->connect_all)
    connect_to_all (p);
  else
    connect_to_one (p);
  resend_missing (p);
  DL_FOREACH (p->peers, peer)
  if (peer->open
      && (!is_agent (peer) || p->ticks % AGENT_STATE_INTERVAL_TICKS == 0))
    send_state (peer);
  p->ticks++;
}

void
bb_peers_broadcast_item (struct bb_peers *p, const struct bb_item *i)
{
  msgpack_sbuffer frame;

  msgpack_sbuffer_init (&frame);
  put_item (&frame, i);
  peer_send_to_all (p, NULL, &frame);
}

void
bb_peers_mark_sent (struct bb_peers *p, uint64_t since)
{
  struct peer *peer;

  DL_FOREACH (p->peers, peer)
  if (peer->open && peer->sent_revision >= since
      && peer->sent_revision < p->view->revision)
    peer->sent_revision = p->view->revision;
}

uint32_t
bb_peers_count_accepting (const struct bb_peers *p)
{
  const struct peer *peer;
  uint32_t n = 0;

  DL_FOREACH (p->peers, peer)
  if (peer->hello_received && peer->accepting)
    n++;
  return n;
}

uint32_t
bb_peers_count_readers (const struct bb_peers *p)
{
  const struct peer *peer;
  uint32_t n = 0;

  DL_FOREACH (p->peers, peer)
  if (peer->hello_received && peer->reads_store)
    n++;
  return n;
}

uint32_t
bb_peers_count_readers_before (const struct bb_peers *p)
{
  const struct peer *peer;
  uint32_t n = 0;

  DL_FOREACH (p->peers, peer)
  if (peer->hello_received && peer->reads_store
      && peer->incarnation < p->incarnation)
    n++;
  return n;
}

struct bb_peers *
bb_peers_new (uv_loop_t *loop, const struct bb_peers_options *o,
              struct bb_view *view, const struct bb_peers_ops *ops, void *user,
              int *error)
{
  struct bb_peers *p = g_new0 (struct bb_peers, 1);
  struct sockaddr_storage addr;

  p->loop = loop;
  p->name = g_strdup (o->name);
  p->address = g_strdup (o->address);
  p->connect_all = o->connect_all;
  p->incarnation = o->incarnation;
  p->next_endpoint = (uint32_t)o->incarnation;
  p->view = view;
  p->poison = o->poison;
  p->parts = o->parts;
  p->ops = ops;
  p->user = user;
  *error = 0;
  for (uint32_t i = 0; i < o->seeds_count; i++)
    add_endpoint (p, bb_bytes_of (o->seeds[i]));
  if (p->address)
    {
      *error = UV_EINVAL;
      if (bb_address_parse (p->address, &addr))
        p->listener = bb_listener_open (loop, &addr, &accept_ops, p, error);
      if (!p->listener)
        {
          g_free (p);
          return NULL;
        }
    }
  uv_timer_init (loop, &p->timer);
  p->timer.data = p;
  uv_timer_start (&p->timer, on_timer, 0, STATE_INTERVAL_MS);
  return p;
}
