/* A connection to a peer: hello, messages and end.  */

#include "internal.h"

#include "bilberry/wire.h"

#include <utlist.h>

enum
{
  IDLE_TIMEOUT_MS = 1200, /* time without a byte after which a connection is
                             closed */
  BATCH_UNPACKED_MAX_BYTES = 1 << 20
};

struct peer *
peer_add (struct bb_peers *p)
{
  struct peer *peer = g_new0 (struct peer, 1);

  peer->owner = p;
  peer_exchanges_init (peer);
  DL_APPEND (p->peers, peer);
  return peer;
}

static void
send_hello (struct peer *peer)
{
  struct bb_peers *p = peer->owner;
  struct bb_peer_hello m = { .incarnation = p->incarnation,
                             .name = bb_bytes_of (p->name),
                             .address = bb_bytes_of (p->address) };
  msgpack_sbuffer *out = bb_conn_out (peer->conn);

  bb_put_peer_hello (out, &m);
  peer_send_all_items (peer);
#ifndef BB_MUTANT_peer_crashes
  bb_put_crashes (out, p->poison, peer_now_ms (p));
  bb_put_part_crashes (out, p->parts, peer_now_ms (p));
#endif
}

static void
on_open (struct bb_conn *c)
{
  struct peer *peer = bb_conn_user (c);

  peer->open = true;
  peer_note_connected (peer, true);
  send_hello (peer);
  peer_send_state (peer);
}

/* Returns another connection to the process of PEER, or NULL.  */
static struct peer *
find_duplicate (const struct peer *peer)
{
  struct peer *other;

  DL_FOREACH (peer->owner->peers, other)
  if (other != peer && other->hello_received
      && other->incarnation == peer->incarnation)
    return other;
  return NULL;
}

/* Where two processes have connected to each other, both close the connection
   that the higher incarnation opened.  */
static void
close_duplicate (struct peer *peer, struct peer *other)
{
  bool keep_own = peer->owner->incarnation < peer->incarnation;
  struct peer *duplicate
      = (peer->connect_address != NULL) == keep_own ? other : peer;

  bb_conn_close (duplicate->conn, "doubled");
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
  peer_add_endpoint (p, m->address);
  other = find_duplicate (peer);
  if (other)
    close_duplicate (peer, other);
  else
    p->ops->on_connection_change (peer->name, NULL, p->user);
}

static void on_batch (struct bb_conn *c, const struct bb_peer_batch *m);

static void
on_message (struct bb_conn *c, const struct bb_message *m)
{
  struct peer *peer = bb_conn_user (c);

  switch (m->type)
    {
    case BB_MSG_PEER_HELLO:
      on_hello (peer, &m->u.peer_hello);
      break;
    case BB_MSG_PEER_ITEM:
      peer_on_item (peer, &m->u.peer_item);
      break;
    case BB_MSG_PEER_BATCH:
      on_batch (c, &m->u.peer_batch);
      break;
    case BB_MSG_PEER_OFFER:
      peer_on_offer (peer, &m->u.peer_offer);
      break;
    case BB_MSG_PEER_WANT:
      peer_on_want (peer, &m->u.peer_want);
      break;
    case BB_MSG_PEER_BUSY:
      peer_on_busy (peer, &m->u.peer_busy);
      break;
    case BB_MSG_PEER_STATE:
      peer_on_state (peer, &m->u.peer_state);
      break;
    case BB_MSG_PEER_SLOT_ASK:
      peer_on_slot_ask (peer, &m->u.peer_slot_ask);
      break;
    case BB_MSG_PEER_SLOT:
      peer_on_slot (peer, &m->u.peer_slot);
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

/* Handles the frames of DATA, of SIZE bytes.  Returns false where they are
   malformed.  */
static bool
handle_frames (struct bb_conn *c, const char *data, size_t size)
{
  size_t body_bytes;

  while (size > 0)
    {
      struct bb_message m;
      struct bb_decode_error e;
      bool is_batch;
      if (bb_frame_peek (data, size, &body_bytes) != BB_FRAME_COMPLETE
          || !bb_message_decode (data + BB_FRAME_HEADER_BYTES, body_bytes, &m,
                                 &e))
        return false;
      is_batch = m.type == BB_MSG_PEER_BATCH;
      if (!is_batch)
        on_message (c, &m);
      bb_message_free (&m);
      if (is_batch)
        return false;
      data += BB_FRAME_HEADER_BYTES + body_bytes;
      size -= BB_FRAME_HEADER_BYTES + body_bytes;
    }
  return true;
}

static void
on_batch (struct bb_conn *c, const struct bb_peer_batch *m)
{
  GBytes *frames = NULL;
  const char *data;
  gsize size;

  if (m->size <= BATCH_UNPACKED_MAX_BYTES)
    frames = bb_unpack (m->packed, m->size, NULL);
  data = frames ? g_bytes_get_data (frames, &size) : NULL;
  if (!data || !handle_frames (c, data, size))
    bb_conn_close (c, "malformed batch");
  if (frames)
    g_bytes_unref (frames);
}

static void
on_close (struct bb_conn *c, const char *why)
{
  struct peer *peer = bb_conn_user (c);
  struct bb_peers *p = peer->owner;
  struct bb_peer_end end
      = { why, bb_conn_partial_bytes (c), bb_conn_backlog_bytes (c) };

  DL_DELETE (p->peers, peer);
  if (!peer->open)
    peer_note_connected (peer, false);
  if (peer->hello_received && !find_duplicate (peer))
    p->ops->on_connection_change (peer->name, &end, p->user);
  g_hash_table_unref (peer->exchanges);
  g_free (peer->connect_address);
  g_free (peer->listen_address);
  g_free (peer->name);
  g_free (peer);
}

static void on_accept (struct bb_conn *c);

const struct bb_conn_ops peer_connect_ops = { on_message, on_open, on_close };
const struct bb_conn_ops peer_accept_ops = { on_message, on_accept, on_close };

static void
on_accept (struct bb_conn *c)
{
  struct peer *peer = peer_add (bb_conn_user (c));

  peer->conn = c;
  bb_conn_set_user (c, peer);
  on_open (c);
}

void
peer_close_idle (struct bb_peers *p)
{
  struct peer *peer;
  struct peer *next;

  DL_FOREACH_SAFE (p->peers, peer, next)
  {
    bb_ms max = peer->open ? IDLE_TIMEOUT_MS : peer_connect_max_ms (peer);
    if (peer_now_ms (p) - bb_conn_received_ms (peer->conn) > max)
      bb_conn_close (peer->conn, BB_PEER_SILENT);
  }
}
