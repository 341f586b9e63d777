#include "bilberry/peer.h"

#include "bilberry/settings.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

enum
{
  STATE_EVERY_MS = 100,
  AGENT_TICKS = 4,    /* an agent needs no loads: a sign of life is enough */
  MEMBERS_TICKS = 10, /* addresses change seldom */
  SETTLED_TICKS = 2,  /* a peer that lacks what was known so long ago has it
                         from nobody else */
  SILENT_MS = 1200,   /* without any message: the connection is dead */
  REDIAL_MS = 400,    /* between tries to reach an address */
  DIAL_MAX_MS = 800,  /* for a connection to be made */
  ADDRESSES_MAX = 64
};

/* A connection to a peer.  */
struct peer
{
  struct bb_peers *owner;
  struct bb_conn *conn;
  char *dialled; /* address; NULL where the peer connected */
  char *address; /* that the peer named; NULL: none */
  char *name;
  uint64_t incarnation;
  bool open;
  bool greeted;
  bool taking;
  bool reads;
  uint64_t sent; /* all items up to this revision are sent, or known there */
  bb_ms heard_ms;
  struct peer *prev;
  struct peer *next;
};

/* An address that a member listens on.  */
struct place
{
  char *address;
  bb_ms tried_ms;
};

struct bb_peers
{
  uv_loop_t *loop;
  uv_timer_t timer;
  struct bb_listener *listener;
  char *name;
  char *address;
  bool all;
  uint64_t incarnation;
  struct bb_view *view;
  const struct bb_peers_ops *ops;
  void *user;
  struct place places[ADDRESSES_MAX];
  uint32_t places_count;
  uint32_t next_place; /* of one that connects to one entry alone */
  uint64_t ticks;
  uint64_t settled[SETTLED_TICKS]; /* revision of the view some ticks ago */
  struct peer *peers;
};

static bb_ms
now_ms (const struct bb_peers *p)
{
  return (bb_ms)uv_now (p->loop);
}

static void
add_place (struct bb_peers *p, struct bb_bytes address)
{
  if (address.size == 0 || p->places_count == ADDRESSES_MAX
      || (p->address && bb_bytes_equal (address, p->address)))
    return;
  for (uint32_t i = 0; i < p->places_count; i++)
    if (bb_bytes_equal (address, p->places[i].address))
      return;
  p->places[p->places_count].address = g_strndup (address.ptr, address.size);
  p->places[p->places_count].tried_ms = INT64_MIN / 2;
  p->places_count++;
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
greet (struct peer *peer)
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
  peer->sent = p->view->revision;
}

/* Sends the items that PEER lacks.  */
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
      if (i->revision > peer->sent)
        put_item (bb_conn_out (peer->conn), i);
    }
  peer->sent = v->revision;
}

/* Whether PEER is an agent, which nobody connects to.  */
static bool
is_agent (const struct peer *peer)
{
  return peer->greeted && !peer->address;
}

static void
send_state (struct peer *peer)
{
  struct bb_peers *p = peer->owner;
  struct bb_peer_state *m = g_new0 (struct bb_peer_state, 1);

  m->revision = p->view->revision;
  m->sent = peer->sent;
  for (uint32_t i = 0; i < p->places_count && p->ticks % MEMBERS_TICKS == 0;
       i++)
    m->members[m->members_count++].address
        = bb_bytes_of (p->places[i].address);
  if (!is_agent (peer))
    p->ops->fill_state (m, p->user);
  bb_put_peer_state (bb_conn_out (peer->conn), m);
  g_free (m);
}

static void
on_open (struct bb_conn *c)
{
  struct peer *peer = bb_conn_user (c);

  peer->open = true;
  peer->heard_ms = now_ms (peer->owner);
  greet (peer);
  send_state (peer);
}

static void
on_hello (struct peer *peer, const struct bb_peer_hello *m)
{
  struct bb_peers *p = peer->owner;
  struct peer *other;

  if (m->incarnation == p->incarnation)
    {
      bb_conn_close (peer->conn, "it is this process");
      return;
    }
  peer->greeted = true;
  peer->incarnation = m->incarnation;
  g_free (peer->name);
  peer->name = bb_bytes_strdup (m->name);
  g_free (peer->address);
  peer->address = m->address.size > 0 ? bb_bytes_strdup (m->address) : NULL;
  add_place (p, m->address);
  /* Two processes that dial each other keep one connection: the one dialled
     by the lower incarnation.  */
  DL_FOREACH (p->peers, other)
  if (other != peer && other->greeted
      && other->incarnation == peer->incarnation)
    {
      bool keep_dialled = p->incarnation < peer->incarnation;
      struct peer *drop
          = (peer->dialled != NULL) == keep_dialled ? other : peer;
      bb_conn_close (drop->conn, "doubled");
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

  peer->taking = m->taking;
  peer->reads = m->reads;
  if (m->revision > peer->sent)
    peer->sent = m->revision;
  for (uint32_t i = 0; i < m->members_count; i++)
    add_place (p, m->members[i].address);
  p->ops->on_state (peer->name ? peer->name : "", m, p->user);
}

static void
on_message (struct bb_conn *c, const struct bb_message *m)
{
  struct peer *peer = bb_conn_user (c);

  peer->heard_ms = now_ms (peer->owner);
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
    default:
      bb_conn_close (c, "a message that has no place here");
    }
}

static void
on_close (struct bb_conn *c, const char *why)
{
  struct peer *peer = bb_conn_user (c);
  struct bb_peers *p = peer->owner;

  (void)why;
  DL_DELETE (p->peers, peer);
  if (peer->greeted)
    p->ops->on_connection_change (peer->name, false, p->user);
  g_free (peer->dialled);
  g_free (peer->address);
  g_free (peer->name);
  g_free (peer);
}

static void on_accept (struct bb_conn *c);

static const struct bb_conn_ops dialled_ops
    = { on_message, on_open, on_close };
static const struct bb_conn_ops accepted_ops
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
dial (struct bb_peers *p, struct place *place)
{
  struct sockaddr_storage addr;
  struct peer *peer;

  place->tried_ms = now_ms (p);
  if (!bb_address_parse (place->address, &addr))
    return;
  peer = g_new0 (struct peer, 1);
  peer->owner = p;
  peer->dialled = g_strdup (place->address);
  peer->heard_ms = now_ms (p);
  DL_APPEND (p->peers, peer);
  peer->conn = bb_conn_connect (p->loop, &addr, &dialled_ops, peer);
}

static bool
is_reached (const struct bb_peers *p, const char *address)
{
  const struct peer *peer;

  DL_FOREACH (p->peers, peer)
  if ((peer->dialled && strcmp (peer->dialled, address) == 0)
      || (peer->address && strcmp (peer->address, address) == 0))
    return true;
  return false;
}

static void
dial_all (struct bb_peers *p)
{
  for (uint32_t i = 0; i < p->places_count; i++)
    if (now_ms (p) - p->places[i].tried_ms >= REDIAL_MS
        && !is_reached (p, p->places[i].address))
      dial (p, &p->places[i]);
}

static void
dial_one (struct bb_peers *p)
{
  struct place *place;

  if (p->peers || p->places_count == 0)
    return;
  place = &p->places[p->next_place % p->places_count];
  if (now_ms (p) - place->tried_ms < REDIAL_MS)
    return;
  p->next_place++;
  dial (p, place);
}

static void
close_silent (struct bb_peers *p)
{
  struct peer *peer;
  struct peer *next;

  DL_FOREACH_SAFE (p->peers, peer, next)
  {
    bb_ms max = peer->open ? SILENT_MS : DIAL_MAX_MS;
    if (now_ms (p) - peer->heard_ms > max)
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

/* Sends peers what they lack though it was known here some ticks ago.  */
static void
tell_missing (struct bb_peers *p)
{
  uint64_t *settled = &p->settled[p->ticks % SETTLED_TICKS];
  struct peer *peer;

  DL_FOREACH (p->peers, peer)
  if (peer->open && peer->sent < *settled)
    send_missing (peer);
  *settled = p->view->revision;
}

static void
on_timer (uv_timer_t *t)
{
  struct bb_peers *p = t->data;
  struct peer *peer;

  close_silent (p);
  if (p->all)
    dial_all (p);
  else
    dial_one (p);
  tell_missing (p);
  DL_FOREACH (p->peers, peer)
  if (peer->open && (!is_agent (peer) || p->ticks % AGENT_TICKS == 0))
    send_state (peer);
  p->ticks++;
}

void
bb_peers_broadcast_item (struct bb_peers *p, const struct bb_item *i)
{
  struct peer *peer;

  DL_FOREACH (p->peers, peer)
  if (peer->open)
    put_item (bb_conn_out (peer->conn), i);
}

void
bb_peers_mark_sent (struct bb_peers *p, uint64_t since)
{
  struct peer *peer;

  DL_FOREACH (p->peers, peer)
  if (peer->open && peer->sent >= since && peer->sent < p->view->revision)
    peer->sent = p->view->revision;
}

uint32_t
bb_peers_count_accepting (const struct bb_peers *p)
{
  const struct peer *peer;
  uint32_t n = 0;

  DL_FOREACH (p->peers, peer)
  if (peer->greeted && peer->taking)
    n++;
  return n;
}

uint32_t
bb_peers_count_readers_before (const struct bb_peers *p)
{
  const struct peer *peer;
  uint32_t n = 0;

  DL_FOREACH (p->peers, peer)
  if (peer->greeted && peer->reads && peer->incarnation < p->incarnation)
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
  p->all = o->connect_all;
  p->incarnation = o->incarnation;
  p->next_place = (uint32_t)o->incarnation;
  p->view = view;
  p->ops = ops;
  p->user = user;
  *error = 0;
  for (uint32_t i = 0; i < o->seeds_count; i++)
    add_place (p, bb_bytes_of (o->seeds[i]));
  if (p->address)
    {
      *error = UV_EINVAL;
      if (bb_address_parse (p->address, &addr))
        p->listener = bb_listener_open (loop, &addr, &accepted_ops, p, error);
      if (!p->listener)
        {
          g_free (p);
          return NULL;
        }
    }
  uv_timer_init (loop, &p->timer);
  p->timer.data = p;
  uv_timer_start (&p->timer, on_timer, 0, STATE_EVERY_MS);
  return p;
}
