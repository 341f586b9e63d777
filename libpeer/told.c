/* Takes the items that peers tell, and tells a peer of those that it should no
   longer have.  */

#include "internal.h"

/* Counts the bytes received of the item M, and those of them that came for
   nothing, as VERDICT says.  */
static void
count_bytes (const struct bb_peer_item *m, enum bb_verdict verdict)
{
  bb_counter ("bilberry_peer_item_bytes_total", "kind=\"received\"")->value
      += m->value.size;
  if (verdict == BB_VERDICT_KNOWN || verdict == BB_VERDICT_GONE)
    bb_counter ("bilberry_peer_item_bytes_total", "kind=\"known\"")->value
        += m->value.size;
}

/* PEER told a value that is known.  Where that is since a removal came later,
   PEER is told of it.  */
static void
tell_known_removal (struct peer *peer, const char *key)
{
  const struct bb_item *known
      = g_hash_table_lookup (peer->owner->view->items, key);

  if (known && !known->value)
    peer_tell_removal (peer, key, known->revision);
}

static void
take (struct peer *peer, const struct bb_item *told,
      const struct bb_peer_item *m)
{
  struct bb_peers *p = peer->owner;
  enum bb_verdict verdict = bb_view_judge (p->view, told, BB_SOURCE_PEER);

  count_bytes (m, verdict);
  if (told->held)
    p->ops->on_held_item (told->key, told->value, told->revision, p->user);
  else
    p->ops->on_item (told->key, told->value, told->revision, p->user);
  if (verdict == BB_VERDICT_NEWS)
    peer_late_note (peer, told);
  if (verdict == BB_VERDICT_GONE)
    peer_tell_gone (peer, told->key, told->revision);
  if (verdict == BB_VERDICT_KNOWN && told->value)
    tell_known_removal (peer, told->key);
}

void
peer_on_item (struct peer *peer, const struct bb_peer_item *m)
{
  g_autofree char *key = bb_bytes_strdup (m->key);
  g_autoptr (GBytes) value = m->removed ? NULL
                             : m->packed
                                 ? peer_unpack_item (peer, key, m)
                                 : g_bytes_new (m->value.ptr, m->value.size);
  struct bb_item told = { .key = key,
                          .value = value,
                          .revision = m->revision,
                          .held = m->held && peer->owner->ops->on_held_item };

  if (value || m->removed)
    take (peer, &told, m);
  peer_on_asked_item (peer, key);
}
