/* Keeps the view up to date with the store: lists it once, then watches it
   unless enough peers do.  Peers also send changes, so the view stays up to
   date while the store refuses this process.  */

#include "edge.h"

#include <jansson.h>

enum
{
  WATCH_WAIT_MS = 1000,   /* short, since a watch may stop responding */
  PROBE_WAIT_MS = 1,      /* a response is all that is wanted */
  ADVANCE_CHECK_MS = 100, /* time between looks at a response that comes */
  STANDBY_CHECK_MS = 100, /* time between checks whether a watch is needed */

  /* Longest time that the first call waits for a peer, which knows what a
     store that came back from a copy lacks.  */
  PEER_WAIT_MS = 200,
  /* After a return of the store: time until what the copy lacks has been
     written again, and heartbeats after which registrations of the copy have
     expired unless their upstreams live.  */
  REWRITE_MS = 2000,
  LEASE_HEARTBEATS = 3
};

static const struct bb_store_limits list_limits = { 1500, 1000 };
static const struct bb_store_limits watch_limits = { 2300, 1000 };

struct reader
{
  struct edge *edge;
  uv_timer_t timer; /* start of the next call, or the next check in standby */
  GHashTable *listed_keys; /* keys of the current listing */
  char *last_key;          /* last key of the current listing; "": none yet */
  bb_revision revision;    /* of the first page listed, then the one to watch
                              from */
  bool listed;
  bool holds_missing;      /* what a listing lacks stays in the view, as the
                              store has just come back from a copy */
  uv_timer_t settle_timer; /* end of that, then of all held items */
  bool standby;            /* enough peers watch, so this process does not */
  bool takes_over;         /* it is in standby, but will watch soon */
  bool waits_for_peer;     /* the first call has not started */
  bb_ms response_ms;       /* time of the last valid response */
  uint32_t failed_calls;   /* failed calls since the last valid response */
};

static struct reader reader;

static void start_next_call (struct reader *r);

static void
on_timer (uv_timer_t *t)
{
  start_next_call (t->data);
}

/* Starts the next call in time, unless the current one gets a response
   earlier.  */
static void
schedule_next_call (struct reader *r, bb_ms wait_ms)
{
  struct edge *e = r->edge;
  struct bb_store_call_state s
      = { .responding = e->store_ok,
          .wait_ms = wait_ms,
          .members = fleet_edge_count (e),
          .peers_watching = bb_peers_count_readers (e->peers) };

  uv_timer_start (
      &r->timer, on_timer,
      (uint64_t)bb_store_next_call_ms (&s, g_rand_double (e->rand)), 0);
}

static void
record_failure (struct store_call *c, enum bb_store_result result,
                const char *name)
{
  struct reader *r = &reader;
  struct edge *e = r->edge;
  bool was_ok = e->store_ok;
  bb_ms took_ms = store_call_end (c);

  bb_counter ("bilberry_store_failures_total", "")->value++;
  if (r->failed_calls == 0)
    bb_log_event ("store_lost", "{s:s, s:s, s:I, s:I}", "call", name, "why",
                  bb_store_result_name (result),
                  BB_LOG_REVISION (e->view->revision));
  r->failed_calls++;
  e->store_ok = false;
  bb_log_event ("store_call_failed", "{s:s, s:s, s:I, s:i}", "call", name,
                "why", bb_store_result_name (result), "took_ms",
                (json_int_t)took_ms, "peers_watching",
                (int)bb_peers_count_readers (e->peers));
  if (was_ok || !uv_is_active ((uv_handle_t *)&r->timer))
    schedule_next_call (r, 0);
}

/* The other calls are cancelled, as they may never get a response.  */
static void
record_success (struct store_call *c)
{
  struct reader *r = &reader;
  struct edge *e = r->edge;
  bool was_ok = e->store_ok;

  store_call_end (c);
  store_calls_cancel ();
  if (!was_ok)
    {
      bb_log_event ("store_back", "{s:I, s:I, s:I, s:i}",
                    BB_LOG_REVISION (e->view->revision), "away_ms",
                    (json_int_t)(edge_now (e) - r->response_ms),
                    "failed_calls", (int)r->failed_calls);
      e->store_recovered_ms = edge_now (e);
    }
  e->store_ok = true;
  r->response_ms = edge_now (e);
  r->failed_calls = 0;
  if (!was_ok)
    bb_peers_send_state (e->peers);
}

/* Returns the newest item of each key in PAGE, whose keys and items it
   borrows.  */
static GHashTable *
newest_items (const struct bb_store_page *page)
{
  GHashTable *newest = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < page->items->len; i++)
    {
      struct bb_item *item = g_ptr_array_index (page->items, i);
      const struct bb_item *other = g_hash_table_lookup (newest, item->key);
      if (!other || other->revision < item->revision)
        g_hash_table_replace (newest, item->key, item);
    }
  return newest;
}

/* Applies the items of PAGE in order, but no version that another one in PAGE
   replaces: an edge that was without the store would decode many
   configurations for nothing.  Returns whether all applied items are new.  */
static bool
apply_items (struct reader *r, const struct bb_store_page *page)
{
  GHashTable *newest = newest_items (page);
  bool all_new = true;

  if (page->unusable > 0)
    bb_log_event ("items_unreadable", "{s:i}", "count", (int)page->unusable);
  for (guint i = 0; i < page->items->len; i++)
    {
      const struct bb_item *item = g_ptr_array_index (page->items, i);
      bool is_new;
      if (g_hash_table_lookup (newest, item->key) != item)
        continue;
      is_new = fleet_apply_item (r->edge, item, BB_SOURCE_STORE);
#ifdef BB_MUTANT_items_known
      is_new = true;
#endif
      all_new &= is_new;
    }
  g_hash_table_unref (newest);
  return all_new;
}

static void
remove_missing (struct reader *r)
{
  GPtrArray *missing
      = bb_view_missing (r->edge->view, r->listed_keys, r->revision);

  for (guint i = 0; i < missing->len; i++)
    fleet_remove_item (r->edge, g_ptr_array_index (missing, i), r->revision);
  g_ptr_array_unref (missing);
}

/* Removes the items that the complete listing lacks, unless they are held:
   what was told in an earlier era may have been lost with the copy.  */
static void
finish_listing (struct reader *r)
{
  struct bb_view *v = r->edge->view;

  r->listed = true;
  if (bb_view_hold_missing (v, r->listed_keys, r->revision) > 0)
    reader_settle ();
  if (!r->holds_missing)
    remove_missing (r);
  bb_view_settle (v, 0, r->revision);
  if (r->revision > v->revision)
    v->revision = r->revision;
}

static bool
is_of_past_era (const struct reader *r, const struct bb_store_page *page)
{
  return bb_revision_era (page->revision) < r->edge->store_era;
}

static void
on_listed (enum bb_store_result result, const struct bb_store_page *page,
           void *user)
{
  struct store_call *c = user;
  struct reader *r = &reader;

  if (result == BB_STORE_OK && is_of_past_era (r, page))
    result = BB_STORE_OUTDATED;
  if (result != BB_STORE_OK)
    {
      record_failure (c, result, "list");
      return;
    }
  record_success (c);
  if (fleet_note_era (r->edge, page->revision, BB_SOURCE_STORE))
    return;
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
  r->edge->queue_ops->dispatch_all (r->edge);
  start_next_call (r);
}

static void
on_watched (enum bb_store_result result, const struct bb_store_page *page,
            void *user)
{
  struct store_call *c = user;
  struct reader *r = &reader;
  bb_revision since = r->revision;
  bool all_new;

  if (result == BB_STORE_GONE)
    {
      r->listed = false;
      reader_restart ();
      return;
    }
  if (result == BB_STORE_OK && is_of_past_era (r, page))
    result = BB_STORE_OUTDATED;
  if (result != BB_STORE_OK)
    {
      record_failure (c, result, "watch");
      return;
    }
  record_success (c);
  if (fleet_note_era (r->edge, page->revision, BB_SOURCE_STORE))
    return;
  all_new = apply_items (r, page);
  if (page->revision > r->revision)
    r->revision = page->revision;
  bb_view_settle (r->edge->view, since, r->revision);
  if (r->revision > r->edge->view->revision)
    r->edge->view->revision = r->revision;
  if (page->items->len > 0)
    {
      /* An item that a peer told before was not sent to the others.  */
      if (all_new && fleet_forwards_items (r->edge))
        bb_peers_mark_sent (r->edge->peers, since);
      bb_peers_send_state (r->edge->peers);
      r->edge->queue_ops->dispatch_all (r->edge);
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
    bb_log_event ("store_rests", "{s:I, s:I}",
                  BB_LOG_REVISION (e->view->revision));
  r->standby = true;
  r->takes_over = false;
  if (!e->store_ok)
    e->store_recovered_ms = edge_now (e);
  e->store_ok = true;
  uv_timer_start (&r->timer, on_timer, STANDBY_CHECK_MS, 0);
}

/* Watches the store again, from the revision up to which the view is complete
   through this process or its peers.  */
static void
leave_standby (struct reader *r)
{
  bb_log_event ("store_watched", "{s:I, s:I}",
                BB_LOG_REVISION (r->edge->view->revision));
  r->standby = false;
  r->revision = r->edge->view->revision;
}

/* Starts a list or watch call, beside those that are in flight.  */
static void
start_call (struct reader *r)
{
  bool probes = !r->edge->store_ok || store_calls_in_flight ();
  struct store_call *c = store_call_begin ();
  struct bb_store *s = store_call_client (c);
  bb_ms wait_ms = 0;

  if (r->listed)
    {
      wait_ms = probes ? PROBE_WAIT_MS : WATCH_WAIT_MS;
      bb_store_watch (s, "", r->revision, wait_ms, &watch_limits, on_watched,
                      c);
    }
  else
    bb_store_list (s, "", r->last_key, &list_limits, on_listed, c);
#ifndef BB_MUTANT_store_overlap
  schedule_next_call (r, wait_ms);
#endif
}

static void
start_next_call (struct reader *r)
{
  r->waits_for_peer = false;
#ifndef BB_MUTANT_store_advance
  if (store_calls_advance ())
    {
      uv_timer_start (&r->timer, on_timer, ADVANCE_CHECK_MS, 0);
      return;
    }
#endif
  if (r->listed
      && !bb_should_watch_store (
          bb_peers_count_readers_before (r->edge->peers)))
    {
      store_calls_cancel ();
      enter_standby (r);
      return;
    }
  if (r->standby && !r->takes_over)
    {
      r->takes_over = true;
      uv_timer_start (
          &r->timer, on_timer,
          (uint64_t)bb_store_takeover_ms (fleet_edge_count (r->edge),
                                          g_rand_double (r->edge->rand)),
          0);
      return;
    }
  if (r->standby)
    leave_standby (r);
  start_call (r);
}

bool
reader_is_watching (const struct edge *e)
{
  return e->store_ok && reader.listed && !reader.standby;
}

void
reader_restart (void)
{
  struct reader *r = &reader;

  store_calls_cancel ();
  uv_timer_stop (&r->timer);
  r->listed = false;
  r->standby = false;
  g_hash_table_remove_all (r->listed_keys);
  g_free (r->last_key);
  r->last_key = g_strdup ("");
  start_next_call (r);
}

static void
on_settle_timer (uv_timer_t *t)
{
  struct reader *r = t->data;

  if (r->holds_missing)
    uv_timer_start (
        t, on_settle_timer,
        (uint64_t)(LEASE_HEARTBEATS * r->edge->settings->heartbeat_ms), 0);
  else
    bb_view_release_held (r->edge->view);
  r->holds_missing = false;
  reader_restart ();
}

/* Starts the time in which what the store lost is written again.  */
static void
await_rewrite (struct reader *r)
{
  r->holds_missing = true;
  uv_timer_start (&r->settle_timer, on_settle_timer, REWRITE_MS, 0);
}

void
reader_store_returned (void)
{
  await_rewrite (&reader);
  reader_restart ();
}

void
reader_settle (void)
{
  if (!uv_is_active ((uv_handle_t *)&reader.settle_timer))
    await_rewrite (&reader);
}

void
reader_peer_told (void)
{
  if (reader.waits_for_peer)
    {
      reader.waits_for_peer = false;
      reader_restart ();
    }
}

void
reader_start (struct edge *e)
{
  struct reader *r = &reader;

  r->edge = e;
  store_calls_start (e);
  r->response_ms = edge_now (e);
  r->listed_keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  uv_timer_init (e->loop, &r->timer);
  r->timer.data = r;
  uv_timer_init (e->loop, &r->settle_timer);
  r->settle_timer.data = r;
  r->last_key = g_strdup ("");
  r->waits_for_peer = !e->settings->first_start;
  uv_timer_start (&r->timer, on_timer, r->waits_for_peer ? PEER_WAIT_MS : 0,
                  0);
}
