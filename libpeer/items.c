/* Sends the items of the view to peers.  */

#include "internal.h"

#include <jansson.h>
#include <utlist.h>

enum
{
  /* Less is sent as it is.  */
  BATCH_MIN_BYTES = 2048,
  /* More is sent as several batches, so that each may advance.  */
  BATCH_MAX_BYTES = 256 * 1024
};

/* Appends the frames in FRAMES to OUT, packed where they are many: the items
   of hundreds of upstreams are alike.  Empties FRAMES.  */
static void
put_batch (msgpack_sbuffer *out, msgpack_sbuffer *frames)
{
  GBytes *value = g_bytes_new_static (frames->data, frames->size);
  GBytes *packed = NULL;

#ifndef BB_MUTANT_peer_batch
  if (frames->size >= BATCH_MIN_BYTES)
    packed = bb_pack (value, NULL);
#endif
  if (packed)
    {
      struct bb_peer_batch m = { .size = (uint32_t)frames->size };
      gsize size;
      m.packed.ptr = g_bytes_get_data (packed, &size);
      m.packed.size = (uint32_t)size;
      bb_put_peer_batch (out, &m);
      g_bytes_unref (packed);
    }
  else if (frames->size > 0)
    msgpack_sbuffer_write (out, frames->data, frames->size);
  g_bytes_unref (value);
  msgpack_sbuffer_clear (frames);
}

bool
peer_tells_held (const struct bb_peers *p, const struct bb_item *i)
{
  return i->held && p->view->tells_held;
}

void
peer_put_item (const struct bb_peers *p, msgpack_sbuffer *out,
               const struct bb_item *i, uint32_t copies)
{
  struct bb_peer_item m = { .key = bb_bytes_of (i->key),
                            .revision = i->revision,
                            .removed = !i->value,
                            .held = peer_tells_held (p, i) };

  if (i->value)
    {
      gsize size;
      m.value.ptr = g_bytes_get_data (i->value, &size);
      m.value.size = (uint32_t)size;
      bb_counter ("bilberry_peer_item_bytes_total", "kind=\"sent\"")->value
          += size * copies;
    }
  bb_put_peer_item (out, &m);
}

void
peer_tell_removal (struct peer *peer, const char *key, bb_revision revision)
{
  struct bb_item removal = { .key = (char *)key, .revision = revision };

  peer_put_item (peer->owner, bb_conn_out (peer->conn), &removal, 1);
}

void
peer_tell_gone (struct peer *peer, const char *key, bb_revision revision)
{
  const struct bb_view *v = peer->owner->view;

  bb_counter ("bilberry_peer_items_gone_total", "")->value++;
  bb_log_event ("item_gone", "{s:s, s:s, s:I, s:I, s:I}", "peer",
                peer->name ? peer->name : "", "key", key,
                BB_LOG_REVISION (revision), "settled",
                (json_int_t)bb_revision_number (v->settled));
#ifndef BB_MUTANT_gone_told
  peer_tell_removal (peer, key, v->settled);
#endif
}

/* Appends I to OUT, which is sent to COPIES peers, or an offer of it where it
   is large.  */
static void
put_or_offer (struct bb_peers *p, msgpack_sbuffer *out,
              const struct bb_item *i, uint32_t copies)
{
#ifndef BB_MUTANT_item_offers
  if (peer_is_large (i))
    {
      peer_put_offer (p, out, i);
      return;
    }
#endif
  peer_put_item (p, out, i, copies);
}

/* Sends PEER the items with a revision above REVISION, and advances its
   sent_revision to that of the view.  */
static void
send_items_after (struct peer *peer, uint64_t revision, bool all)
{
  const struct bb_view *v = peer->owner->view;
  msgpack_sbuffer frames;
  GHashTableIter it;
  void *value;

  msgpack_sbuffer_init (&frames);
  g_hash_table_iter_init (&it, v->items);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct bb_item *i = value;
      if (all || i->revision > revision)
        put_or_offer (peer->owner, &frames, i, 1);
      if (frames.size >= BATCH_MAX_BYTES)
        put_batch (bb_conn_out (peer->conn), &frames);
    }
  put_batch (bb_conn_out (peer->conn), &frames);
  msgpack_sbuffer_destroy (&frames);
  peer->sent_revision = v->revision;
}

void
peer_send_all_items (struct peer *peer)
{
  send_items_after (peer, 0, true);
}

void
peer_resend_missing (struct bb_peers *p)
{
  uint64_t *past_revision = &p->past_revisions[p->ticks % RESEND_DELAY_TICKS];
  struct peer *peer;

  DL_FOREACH (p->peers, peer)
  if (peer->open && peer->sent_revision < *past_revision)
    send_items_after (peer, peer->sent_revision, false);
  *past_revision = p->view->revision;
}

void
peer_send_items (struct bb_peers *p, const GPtrArray *items)
{
  uint32_t copies = peer_count_open (p);
  msgpack_sbuffer frames;
  msgpack_sbuffer out;

  msgpack_sbuffer_init (&frames);
  msgpack_sbuffer_init (&out);
  for (guint i = 0; i < items->len; i++)
    {
      put_or_offer (p, &frames, g_ptr_array_index (items, i), copies);
      if (frames.size >= BATCH_MAX_BYTES)
        put_batch (&out, &frames);
    }
  put_batch (&out, &frames);
  msgpack_sbuffer_destroy (&frames);
  peer_send_to_all (p, NULL, &out);
}

void
bb_peers_broadcast_item (struct bb_peers *p, const struct bb_item *i)
{
  msgpack_sbuffer frame;

  msgpack_sbuffer_init (&frame);
  put_or_offer (p, &frame, i, peer_count_open (p));
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
