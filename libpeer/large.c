/* Items that are too large to be sent to all peers unasked: each process
   offers them to its peers, and asks one peer at a time for those that it
   lacks.  */

#include "internal.h"

#include "bilberry/load.h"

#include <string.h>
#include <utlist.h>

enum
{
  LARGE_MIN_BYTES = 16384,
  INTERVAL_MS = 20,    /* between looks at what is lacking */
  ASK_SPREAD_MS = 60,  /* offers of the first few that have an item come within
                          it */
  EXCHANGES_MAX = 256, /* keys of a peer */
  NEEDS_MAX = 256,
  VALUE_MAX_BYTES = 16 * 1024 * 1024 /* as a message may have unpacked */
};

/* An item that this process lacks.  */
struct need
{
  bb_revision revision;
  bb_ms start_ms; /* when to ask for it at the earliest */
};

/* What this process and one peer told each other of an item.  */
struct exchange
{
  bb_revision offered; /* the peer has the item as of it; 0: it offered none */

  bool asked;        /* this process asked the peer for it */
  bool refuses_base; /* what the peer sent could not be unpacked */
  bb_ms progress_ms;
  size_t partial_bytes; /* of the message that was incomplete at PROGRESS_MS */

  bool sending; /* it was sent as of SENT, and the peer did not offer it yet */
  bb_revision sent;
  bb_ms sent_ms;
  uint32_t sent_bytes;
};

bool
peer_is_large (const struct bb_item *i)
{
  return i->value && g_bytes_get_size (i->value) >= LARGE_MIN_BYTES;
}

void
peer_put_offer (struct bb_peers *p, msgpack_sbuffer *out,
                const struct bb_item *i)
{
  struct bb_peer_offer m = { .key = bb_bytes_of (i->key),
                             .revision = i->revision,
                             .size = (uint32_t)g_bytes_get_size (i->value),
                             .hash = peer_past_note (p, i) };

  bb_put_peer_offer (out, &m);
}

void
bb_peers_offer_item (struct bb_peers *p, const struct bb_item *i)
{
  msgpack_sbuffer frame;

  if (!peer_is_large (i))
    return;
  msgpack_sbuffer_init (&frame);
  peer_put_offer (p, &frame, i);
  peer_send_to_all (p, NULL, &frame);
}

/* Returns what PEER and this process told each other of KEY, or NULL where
   there is no room for it.  */
static struct exchange *
exchange_of (struct peer *peer, const char *key)
{
  struct exchange *x = g_hash_table_lookup (peer->exchanges, key);

  if (!x && g_hash_table_size (peer->exchanges) < EXCHANGES_MAX)
    {
      x = g_new0 (struct exchange, 1);
      g_hash_table_insert (peer->exchanges, g_strdup (key), x);
    }
  return x;
}

/* Whether the view has KEY as of REVISION or later, or the item is gone.  */
static bool
is_known (const struct bb_peers *p, const char *key, bb_revision revision)
{
  const struct bb_item *known = g_hash_table_lookup (p->view->items, key);

  return (known && known->revision >= revision)
         || bb_view_is_gone (p->view, key, revision);
}

static bool
is_met (const struct bb_peers *p, const char *key, const struct need *need)
{
  return is_known (p, key, need->revision);
}

/* Returns what PEER is as a source of the item that NEED tells, of which X
   tells.  */
static struct bb_item_source
source_of (const struct peer *peer, struct exchange *x,
           const struct need *need)
{
  size_t partial_bytes = bb_conn_partial_bytes (peer->conn);
  struct bb_item_source s = { .offers = x->offered >= need->revision,
                              .is_agent = peer_is_agent (peer),
                              .asked = x->asked };

  if (x->partial_bytes != partial_bytes)
    x->progress_ms = peer_now_ms (peer->owner);
  x->partial_bytes = partial_bytes;
  s.progress_ms = x->progress_ms;
  return s;
}

/* Returns the peer to ask for KEY, which NEED tells, or NULL.  */
static struct peer *
choose_peer (struct bb_peers *p, const char *key, const struct need *need)
{
  GPtrArray *peers = g_ptr_array_new ();
  GArray *sources = g_array_new (FALSE, FALSE, sizeof (struct bb_item_source));
  struct bb_item_need n
      = { need->start_ms, p->ops->is_reading && p->ops->is_reading (p->user) };
  struct peer *peer;
  uint32_t chosen;

  DL_FOREACH (p->peers, peer)
  {
    struct exchange *x = g_hash_table_lookup (peer->exchanges, key);
    if (x && peer->open)
      {
        struct bb_item_source s = source_of (peer, x, need);
        g_array_append_val (sources, s);
        g_ptr_array_add (peers, peer);
      }
  }
  chosen = bb_item_choose_source (
      (struct bb_item_source *)(void *)sources->data, sources->len, &n,
      peer_now_ms (p), g_random_double ());
  peer = chosen == BB_BALANCE_NONE ? NULL : g_ptr_array_index (peers, chosen);
  g_ptr_array_unref (peers);
  g_array_unref (sources);
  return peer;
}

static void
ask_peer (struct peer *peer, const char *key)
{
  struct bb_peers *p = peer->owner;
  struct exchange *x = g_hash_table_lookup (peer->exchanges, key);
  const struct bb_item *known = g_hash_table_lookup (p->view->items, key);
  struct bb_peer_want m = { .key = bb_bytes_of (key) };

  if (known && known->value && !x->refuses_base)
    m.base = peer_past_note (p, known);
  x->asked = true;
  x->progress_ms = peer_now_ms (p);
  bb_put_peer_want (bb_conn_out (peer->conn), &m);
}

static void
ask_for_needs (struct bb_peers *p)
{
  GHashTableIter it;
  void *key;
  void *need;

  g_hash_table_iter_init (&it, p->needs);
  while (g_hash_table_iter_next (&it, &key, &need))
    if (is_met (p, key, need))
      g_hash_table_iter_remove (&it);
    else
      {
        struct peer *peer = choose_peer (p, key, need);
        if (peer)
          ask_peer (peer, key);
      }
}

static void
on_timer (uv_timer_t *t)
{
  struct bb_peers *p = t->data;

  ask_for_needs (p);
  if (g_hash_table_size (p->needs) == 0)
    uv_timer_stop (t);
}

static void
add_need (struct bb_peers *p, const char *key, bb_revision revision)
{
  struct need *need = g_hash_table_lookup (p->needs, key);

  if (!need && g_hash_table_size (p->needs) == NEEDS_MAX)
    return;
  if (!need)
    {
      need = g_new0 (struct need, 1);
      need->start_ms = peer_now_ms (p) + g_random_int_range (0, ASK_SPREAD_MS);
      g_hash_table_insert (p->needs, g_strdup (key), need);
    }
  if (revision > need->revision)
    need->revision = revision;
  if (!uv_is_active ((uv_handle_t *)&p->large_timer))
    uv_timer_start (&p->large_timer, on_timer, INTERVAL_MS, INTERVAL_MS);
}

void
peer_on_offer (struct peer *peer, const struct bb_peer_offer *m)
{
  struct bb_peers *p = peer->owner;
  g_autofree char *key = bb_bytes_strdup (m->key);
  struct exchange *x = exchange_of (peer, key);
  const struct bb_item *known = g_hash_table_lookup (p->view->items, key);

  if (!x)
    return;
  x->offered = m->revision;
  if (x->sending && m->revision >= x->sent)
    x->sending = false;
  if (bb_view_is_gone (p->view, key, m->revision))
    peer_tell_gone (peer, key, m->revision);
  if (is_known (p, key, m->revision))
    return;
  if (known && known->value && g_bytes_get_size (known->value) == m->size
      && peer_past_note (p, known) == m->hash)
    {
      g_autoptr (GBytes) value = g_bytes_ref (known->value);
      p->ops->on_item (key, value, m->revision, p->user);
      peer_note_item (p, key);
      return;
    }
  add_need (p, key, m->revision);
}

/* Returns whether a further copy of BYTES may be sent to TO now.  */
static bool
may_send (const struct bb_peers *p, const struct peer *to, size_t bytes)
{
  struct bb_item_send next
      = { peer_is_agent (to), peer_now_ms (p), (uint32_t)bytes };
  g_autoptr (GArray) sends
      = g_array_new (FALSE, FALSE, sizeof (struct bb_item_send));
  struct peer *peer;

  DL_FOREACH (p->peers, peer)
  {
    GHashTableIter it;
    void *value;
    g_hash_table_iter_init (&it, peer->exchanges);
    while (g_hash_table_iter_next (&it, NULL, &value))
      {
        const struct exchange *x = value;
        struct bb_item_send send
            = { peer_is_agent (peer), x->sent_ms, x->sent_bytes };
        if (x->sending)
          g_array_append_val (sends, send);
      }
  }
  return bb_item_may_send ((struct bb_item_send *)(void *)sends->data,
                           sends->len, &next, peer_now_ms (p));
}

/* Sends I to PEER as PACKED, the difference against its value with the hash
   BASE; whole where PACKED is NULL.  */
static void
put_packed_item (struct peer *peer, const struct bb_item *i, GBytes *packed,
                 uint64_t base)
{
  struct bb_peers *p = peer->owner;
  struct bb_peer_item m = { .key = bb_bytes_of (i->key),
                            .revision = i->revision,
                            .packed = true,
                            .held = peer_tells_held (p, i),
                            .base = base };
  gsize size;

  if (!packed)
    {
      peer_put_item (p, bb_conn_out (peer->conn), i, 1);
      return;
    }
  m.value.ptr = g_bytes_get_data (packed, &size);
  m.value.size = (uint32_t)size;
  m.size = (uint32_t)g_bytes_get_size (i->value);
  m.hash = peer_past_note (p, i);
  bb_counter ("bilberry_peer_item_bytes_total", "kind=\"sent\"")->value
      += size;
  bb_put_peer_item (bb_conn_out (peer->conn), &m);
}

GBytes *
peer_unpack_item (struct peer *peer, const char *key,
                  const struct bb_peer_item *m)
{
  struct bb_peers *p = peer->owner;
  const struct bb_item *known = g_hash_table_lookup (p->view->items, key);
  struct exchange *x = exchange_of (peer, key);
  GBytes *base = m->base != 0 && known ? known->value : NULL;
  GBytes *value = NULL;

  if (m->size <= VALUE_MAX_BYTES
      && (m->base == 0 || (base && peer_past_note (p, known) == m->base)))
    value = bb_unpack (m->value, m->size, base);
  if (value && peer_hash (value) != m->hash)
    {
      g_bytes_unref (value);
      value = NULL;
    }
  if (x)
    x->refuses_base = !value;
  if (!value)
    bb_counter ("bilberry_peer_items_damaged_total", "")->value++;
  return value;
}

void
peer_on_want (struct peer *peer, const struct bb_peer_want *m)
{
  struct bb_peers *p = peer->owner;
  g_autofree char *key = bb_bytes_strdup (m->key);
  struct exchange *x = exchange_of (peer, key);
  const struct bb_item *i = g_hash_table_lookup (p->view->items, key);
  struct bb_peer_busy busy = { .key = m->key };
  g_autoptr (GBytes) packed = NULL;
  uint64_t base = m->base;
  size_t bytes;

  if (!x || !i)
    return;
  if (i->value)
    packed = peer_past_pack (p, i, &base);
  bytes = packed     ? g_bytes_get_size (packed)
          : i->value ? g_bytes_get_size (i->value)
                     : 0;
  if (!may_send (p, peer, bytes))
    {
      bb_put_peer_busy (bb_conn_out (peer->conn), &busy);
      return;
    }
  put_packed_item (peer, i, packed, base);
  x->sending = true;
  x->sent = i->revision;
  x->sent_ms = peer_now_ms (p);
  x->sent_bytes = (uint32_t)bytes;
}

void
peer_on_busy (struct peer *peer, const struct bb_peer_busy *m)
{
  struct bb_peers *p = peer->owner;
  g_autofree char *key = bb_bytes_strdup (m->key);
  struct exchange *x = g_hash_table_lookup (peer->exchanges, key);
  struct need *need = g_hash_table_lookup (p->needs, key);

  if (x)
    x->asked = false;
  if (need)
    need->start_ms = peer_now_ms (p) + bb_item_retry_ms (g_random_double ());
}

void
peer_on_asked_item (struct peer *peer, const char *key)
{
  struct exchange *x = g_hash_table_lookup (peer->exchanges, key);

  if (x)
    x->asked = false;
  peer_note_item (peer->owner, key);
}

void
peer_note_item (struct bb_peers *p, const char *key)
{
  const struct bb_item *i = g_hash_table_lookup (p->view->items, key);
  const struct need *need = g_hash_table_lookup (p->needs, key);

  if (i)
    bb_peers_offer_item (p, i);
  if (need && is_met (p, key, need))
    g_hash_table_remove (p->needs, key);
}

bb_revision
bb_peers_complete_revision (const struct bb_peers *p, bb_revision revision)
{
  GHashTableIter it;
  void *key;
  void *value;

  g_hash_table_iter_init (&it, p->needs);
  while (g_hash_table_iter_next (&it, &key, &value))
    {
      const struct need *need = value;
      if (!is_met (p, key, need) && need->revision <= revision)
        revision = need->revision - 1;
    }
  return revision;
}

void
peer_large_init (struct bb_peers *p)
{
  p->past = peer_past_new ();
  p->needs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  uv_timer_init (p->loop, &p->large_timer);
  p->large_timer.data = p;
}

void
peer_exchanges_init (struct peer *peer)
{
  peer->exchanges
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}
