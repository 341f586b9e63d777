/* Keeps the view up to date with the store: lists it once, then watches it
   unless enough peers do.  Peers also send changes, so the view stays up to
   date while the store refuses this process.  */

#include "edge.h"

#include <jansson.h>

enum
{
  LIST_TIMEOUT_MS = 1500,
  WATCH_WAIT_MS = 1500,    /* short, since a watch may stop responding */
  WATCH_TIMEOUT_MS = 2300, /* longest time for the whole call */
  RETRY_MIN_MS = 200,      /* first delay after a failure; doubles each time */
  RETRY_MAX_MS = 1600,
  STANDBY_CHECK_MS = 100 /* time between checks whether a watch is needed */
};

struct reader
{
  struct edge *edge;
  uv_timer_t timer;
  GHashTable *listed_keys; /* keys of the current listing */
  char *last_key;          /* last key of the current listing; "": none yet */
  uint64_t revision; /* revision of the first page listed, then the one to
                        watch from */
  bool listed;
  bool standby; /* enough peers watch, so this process does not */
  bb_ms retry_delay_ms;
  bb_ms call_started_ms;
  bb_ms response_ms;     /* time of the last valid response */
  uint32_t failed_calls; /* failed calls since the last valid response */
};

static struct reader reader;

static void start_next_call (struct reader *r);

static void
on_timer (uv_timer_t *t)
{
  start_next_call (t->data);
}

static void
retry_later (struct reader *r, enum bb_store_result result, const char *call)
{
  struct edge *e = r->edge;
  bb_ms delay_ms;

  bb_counter ("bilberry_store_failures_total", "")->value++;
  if (e->store_ok || r->retry_delay_ms == 0)
    bb_log_event ("store_lost", "{s:s, s:s, s:I}", "call", call, "why",
                  bb_store_result_name (result), "revision",
                  (json_int_t)e->view->revision);
  e->store_ok = false;
  r->failed_calls++;
  r->retry_delay_ms
      = r->retry_delay_ms == 0 ? RETRY_MIN_MS : r->retry_delay_ms * 2;
  if (r->retry_delay_ms > RETRY_MAX_MS)
    r->retry_delay_ms = RETRY_MAX_MS;
  delay_ms = r->retry_delay_ms + g_rand_int_range (e->rand, 0, RETRY_MIN_MS);
  bb_log_event ("store_call_failed", "{s:s, s:s, s:I, s:I, s:i}", "call", call,
                "why", bb_store_result_name (result), "took_ms",
                (json_int_t)(edge_now (e) - r->call_started_ms), "next_in_ms",
                (json_int_t)delay_ms, "peers_watching",
                (int)bb_peers_count_readers (e->peers));
  uv_timer_start (&r->timer, on_timer, (uint64_t)delay_ms, 0);
}

static void
record_success (struct reader *r)
{
  struct edge *e = r->edge;

  if (!e->store_ok)
    {
      bb_log_event ("store_back", "{s:I, s:I, s:i}", "revision",
                    (json_int_t)e->view->revision, "away_ms",
                    (json_int_t)(edge_now (e) - r->response_ms),
                    "failed_calls", (int)r->failed_calls);
      e->store_recovered_ms = edge_now (e);
    }
  e->store_ok = true;
  r->retry_delay_ms = 0;
  r->response_ms = edge_now (e);
  r->failed_calls = 0;
}

static void
apply_items (struct reader *r, const struct bb_store_page *page)
{
  if (page->unusable > 0)
    bb_log_event ("items_unreadable", "{s:i}", "count", (int)page->unusable);
  for (guint i = 0; i < page->items->len; i++)
    {
      const struct bb_item *item = g_ptr_array_index (page->items, i);
      fleet_apply_item (r->edge, item->key, item->value, item->revision,
                        "store");
    }
}

/* Removes the items that the complete listing lacks.  */
static void
finish_listing (struct reader *r)
{
  GPtrArray *missing
      = bb_view_missing (r->edge->view, r->listed_keys, r->revision);

  for (guint i = 0; i < missing->len; i++)
    fleet_apply_item (r->edge, g_ptr_array_index (missing, i), NULL,
                      r->revision, "store");
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
      retry_later (r, result, "list");
      return;
    }
  record_success (r);
  if (*r->last_key == '\0')
    r->revision = page->revision;
  for (guint i = 0; i < page->items->len; i++)
    {
      const struct bb_item *item = g_ptr_array_index (page->items, i);
      g_hash_table_add (r->listed_keys, g_strdup (item->key));
      g_free (r->last_key);
      r->last_key = g_strdup (item->key);
    }
  apply_items (r, page);
  if (!page->more || page->items->len == 0)
    finish_listing (r);
  queue_dispatch_all (r->edge);
  start_next_call (r);
}

static void
on_watched (enum bb_store_result result, const struct bb_store_page *page,
            void *user)
{
  struct reader *r = user;
  uint64_t since = r->revision;

  if (result == BB_STORE_GONE)
    {
      r->listed = false;
      reader_restart (r->edge);
      return;
    }
  if (result != BB_STORE_OK)
    {
      retry_later (r, result, "watch");
      return;
    }
  record_success (r);
  apply_items (r, page);
  if (page->revision > r->revision)
    r->revision = page->revision;
  if (r->revision > r->edge->view->revision)
    r->edge->view->revision = r->revision;
  if (page->items->len > 0)
    {
      if (fleet_forwards_items (r->edge))
        bb_peers_mark_sent (r->edge->peers, since);
      bb_peers_send_state (r->edge->peers);
      queue_dispatch_all (r->edge);
    }
  start_next_call (r);
}

/* Leaves the watch to peers, which send all changes; this counts as a store
   that answers.  */
static void
enter_standby (struct reader *r)
{
  struct edge *e = r->edge;

  if (!r->standby)
    bb_log_event ("store_rests", "{s:I}", "revision",
                  (json_int_t)e->view->revision);
  r->standby = true;
  if (!e->store_ok)
    e->store_recovered_ms = edge_now (e);
  e->store_ok = true;
  r->retry_delay_ms = 0;
  uv_timer_start (&r->timer, on_timer, STANDBY_CHECK_MS, 0);
}

/* Watches the store again, from the revision up to which the view is complete
   through this process or its peers.  */
static void
leave_standby (struct reader *r)
{
  bb_log_event ("store_watched", "{s:I}", "revision",
                (json_int_t)r->edge->view->revision);
  r->standby = false;
  r->revision = r->edge->view->revision;
}

static void
start_next_call (struct reader *r)
{
  struct bb_store *s = r->edge->store;

  if (r->listed
      && !bb_should_watch_store (
          bb_peers_count_readers_before (r->edge->peers)))
    {
      enter_standby (r);
      return;
    }
  if (r->standby)
    leave_standby (r);
  r->call_started_ms = edge_now (r->edge);
  if (r->listed)
    bb_store_watch (s, "", r->revision, WATCH_WAIT_MS, WATCH_TIMEOUT_MS,
                    on_watched, r);
  else
    bb_store_list (s, "", r->last_key, LIST_TIMEOUT_MS, on_listed, r);
}

bool
reader_is_watching (const struct edge *e)
{
  return e->store_ok && reader.listed && !reader.standby;
}

void
reader_restart (struct edge *e)
{
  struct reader *r = &reader;

  bb_store_cancel (e->store);
  uv_timer_stop (&r->timer);
  r->listed = false;
  r->standby = false;
  g_hash_table_remove_all (r->listed_keys);
  g_free (r->last_key);
  r->last_key = g_strdup ("");
  start_next_call (r);
}

void
reader_start (struct edge *e)
{
  struct reader *r = &reader;

  r->edge = e;
  r->response_ms = edge_now (e);
  r->listed_keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  uv_timer_init (e->loop, &r->timer);
  r->timer.data = r;
  reader_restart (e);
}
