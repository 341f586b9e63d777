/* Sends the items of the view to peers.  */

#include "internal.h"

#include <utlist.h>

void
peer_put_item (msgpack_sbuffer *out, const struct bb_item *i, uint32_t copies)
{
  struct bb_peer_item m = { .key = bb_bytes_of (i->key),
                            .revision = i->revision,
                            .removed = !i->value };

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
  peer_put_item (out, i, copies);
}

void
peer_send_all_items (struct peer *peer)
{
  const struct bb_view *v = peer->owner->view;
  GHashTableIter it;
  void *item;

  g_hash_table_iter_init (&it, v->items);
  while (g_hash_table_iter_next (&it, NULL, &item))
    put_or_offer (peer->owner, bb_conn_out (peer->conn), item, 1);
  peer->sent_revision = v->revision;
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
        put_or_offer (peer->owner, bb_conn_out (peer->conn), i, 1);
    }
  peer->sent_revision = v->revision;
}

void
peer_resend_missing (struct bb_peers *p)
{
  uint64_t *past_revision = &p->past_revisions[p->ticks % RESEND_DELAY_TICKS];
  struct peer *peer;

  DL_FOREACH (p->peers, peer)
  if (peer->open && peer->sent_revision < *past_revision)
    send_missing (peer);
  *past_revision = p->view->revision;
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
