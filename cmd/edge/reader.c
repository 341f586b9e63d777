/* Keeps the view up to date from the store: lists once, then watches, unless
   enough peers do.  Peers also tell the news while the store turns this
   process away.  */

#include "edge.h"

#include <jansson.h>

enum
{
  LIST_TIMEOUT_MS = 1500,
  WATCH_WAIT_MS = 1500,    /* short, since a watch may go silent */
  WATCH_TIMEOUT_MS = 2300, /* of the whole call */
  AGAIN_MS = 200,          /* after a failure, doubled */
  AGAIN_MAX_MS = 1600,
  LOOK_MS = 100 /* whether to watch again */
};

struct reader
{
  struct edge *edge;
  uv_timer_t timer;
  GHashTable *keys;  /* of the listing under way */
  char *after;       /* last key of the listing so far */
  uint64_t revision; /* of its first page, then the one to watch from */
  bool listed;
  bool rests; /* peers watch */
  bb_ms again_ms;
};

static struct reader reader;

static void step (struct reader *r);

static void
on_timer (uv_timer_t *t)
{
  step (t->data);
}

static void
failed (struct reader *r, enum bb_store_result why, const char *call)
{
  struct edge *e = r->edge;

  bb_counter ("bilberry_store_failures_total", "")->value++;
  if (e->store_ok || r->again_ms == 0)
    bb_event ("store_lost", "{s:s, s:s, s:I}", "call", call, "why",
              bb_store_result_name (why), "revision",
              (json_int_t)e->view->revision);
  e->store_ok = false;
  r->again_ms = r->again_ms == 0 ? AGAIN_MS : r->again_ms * 2;
  if (r->again_ms > AGAIN_MAX_MS)
    r->again_ms = AGAIN_MAX_MS;
  uv_timer_start (
      &r->timer, on_timer,
      (uint64_t)(r->again_ms + g_rand_int_range (e->rand, 0, AGAIN_MS)), 0);
}

static void
answered (struct reader *r)
{
  struct edge *e = r->edge;

  if (!e->store_ok)
    {
      bb_event ("store_back", "{s:I}", "revision",
                (json_int_t)e->view->revision);
      e->store_back_ms = edge_now (e);
    }
  e->store_ok = true;
  r->again_ms = 0;
}

static void
take_items (struct reader *r, const struct bb_store_page *page)
{
  if (page->unusable > 0)
    bb_event ("items_unreadable", "{s:i}", "count", (int)page->unusable);
  for (guint i = 0; i < page->items->len; i++)
    {
      const struct bb_item *item = g_ptr_array_index (page->items, i);
      fleet_item (r->edge, item->key, item->value, item->revision, "store");
    }
}

/* What is held but not listed is gone.  */
static void
end_listing (struct reader *r)
{
  GPtrArray *missing = bb_view_missing (r->edge->view, r->keys, r->revision);

  for (guint i = 0; i < missing->len; i++)
    fleet_item (r->edge, g_ptr_array_index (missing, i), NULL, r->revision,
                "store");
  g_ptr_array_unref (missing);
  r->listed = true;
  if (r->revision > r->edge->view->revision)
    r->edge->view->revision = r->revision;
}

static void
on_listed (enum bb_store_result result, const struct bb_store_page *page,
           void *user)
{
  struct reader *r = user;

  if (result != BB_STORE_OK)
    {
      failed (r, result, "list");
      return;
    }
  answered (r);
  if (*r->after == '\0')
    r->revision = page->revision;
  for (guint i = 0; i < page->items->len; i++)
    {
      const struct bb_item *item = g_ptr_array_index (page->items, i);
      g_hash_table_add (r->keys, g_strdup (item->key));
      g_free (r->after);
      r->after = g_strdup (item->key);
    }
  take_items (r, page);
  if (!page->more || page->items->len == 0)
    end_listing (r);
  line_run_all (r->edge);
  step (r);
}

static void
on_watched (enum bb_store_result result, const struct bb_store_page *page,
            void *user)
{
  struct reader *r = user;
  uint64_t before = r->revision;

  if (result == BB_STORE_GONE)
    {
      r->listed = false;
      reader_look_again (r->edge);
      return;
    }
  if (result != BB_STORE_OK)
    {
      failed (r, result, "watch");
      return;
    }
  answered (r);
  take_items (r, page);
  if (page->revision > r->revision)
    r->revision = page->revision;
  if (r->revision > r->edge->view->revision)
    r->edge->view->revision = r->revision;
  if (page->items->len > 0)
    {
      if (fleet_tells (r->edge))
        bb_peers_told_all (r->edge->peers, before);
      bb_peers_send_state (r->edge->peers);
      line_run_all (r->edge);
    }
  step (r);
}

/* Peers that watch have all news, and know of the store's return.  */
static void
rest (struct reader *r)
{
  struct edge *e = r->edge;

  if (!r->rests)
    bb_event ("store_rests", "{s:I}", "revision",
              (json_int_t)e->view->revision);
  r->rests = true;
  if (!e->store_ok)
    e->store_back_ms = edge_now (e);
  e->store_ok = true;
  r->again_ms = 0;
  uv_timer_start (&r->timer, on_timer, LOOK_MS, 0);
}

/* All up to the view's revision is known, from here or from peers.  */
static void
resume (struct reader *r)
{
  bb_event ("store_watched", "{s:I}", "revision",
            (json_int_t)r->edge->view->revision);
  r->rests = false;
  r->revision = r->edge->view->revision;
}

static void
step (struct reader *r)
{
  struct bb_store *s = r->edge->store;

  if (r->listed
      && !bb_should_watch_store (bb_peers_reading_before (r->edge->peers)))
    {
      rest (r);
      return;
    }
  if (r->rests)
    resume (r);
  if (r->listed)
    bb_store_watch (s, "", r->revision, WATCH_WAIT_MS, WATCH_TIMEOUT_MS,
                    on_watched, r);
  else
    bb_store_list (s, "", r->after, LIST_TIMEOUT_MS, on_listed, r);
}

bool
reader_reads (const struct edge *e)
{
  return e->store_ok && reader.listed && !reader.rests;
}

void
reader_look_again (struct edge *e)
{
  struct reader *r = &reader;

  bb_store_cancel (e->store);
  uv_timer_stop (&r->timer);
  r->listed = false;
  r->rests = false;
  g_hash_table_remove_all (r->keys);
  g_free (r->after);
  r->after = g_strdup ("");
  step (r);
}

void
reader_start (struct edge *e)
{
  struct reader *r = &reader;

  r->edge = e;
  r->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  uv_timer_init (e->loop, &r->timer);
  r->timer.data = r;
  reader_look_again (e);
}
