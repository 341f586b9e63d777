/* fake-store - a stand-in for the platform's metadata store.

   GET /v1/kv-range and GET /v1/kv-watch as the platform has them, with
   PAGE_ITEMS items in a page of kv-range.

   For tests:
     POST /put?key=K     sets K to the body
     POST /remove?key=K  removes K
     POST /forget        compacts the history, so that a watch from an earlier
                         revision gets 410
     POST /mode?is=M     sets how the service responds to reads
     POST /save          takes a copy of all items
     POST /restore       returns from that copy: what came after it is lost,
                         its revisions are given out again, and the era, which
                         each response has as Store-Era, rises by one
     GET /calls          returns how many reads came so far
     POST /drop-watches  never responds to the watches that wait now

   The modes are ok, busy (429), unavailable (503), garbage (malformed JSON),
   silent (no response, not even to a watch that waits already; calls that fall
   into it get none afterwards either) and slow (responds SLOW_MS later).  */

#include "../lib/fake.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  PAGE_ITEMS = 4,
  WATCH_INTERVAL_MS = 10,
  SLOW_MS = 600
};

struct item
{
  char *key;
  GBytes *value;     /* NULL: the item is removed */
  uint64_t revision; /* revision of the last change of the item */
};

/* A long poll that waits for a revision above AFTER.  */
struct watch
{
  struct bb_http_request *r;
  uint64_t number;
  uint64_t after;
  int64_t deadline_ms;
  uv_timer_t timer;
};

static GPtrArray *items;   /* sorted by key */
static GPtrArray *history; /* all items as they were written, by revision */
static uint64_t revision = 1;
static uint64_t compacted_revision; /* changes before this revision are gone */
static char mode[16] = "ok";
static GPtrArray *saved_items;
static uint64_t saved_revision;
static uint32_t era = 1;
static uint64_t read_calls;
static uint64_t watches_started;
static uint64_t dropped_watches; /* the first watches, up to this many, get no
                                    response */

static int
compare_keys (const void *a, const void *b)
{
  return strcmp ((*(struct item *const *)a)->key,
                 (*(struct item *const *)b)->key);
}

static struct item *
find_item (const char *key)
{
  for (guint i = 0; i < items->len; i++)
    if (strcmp (((struct item *)g_ptr_array_index (items, i))->key, key) == 0)
      return g_ptr_array_index (items, i);
  return NULL;
}

static struct item *
copy_item (const struct item *i)
{
  struct item *copy = g_new0 (struct item, 1);

  copy->key = g_strdup (i->key);
  copy->value = i->value ? g_bytes_ref (i->value) : NULL;
  copy->revision = i->revision;
  return copy;
}

/* Sets KEY to VALUE, or removes it if VALUE is NULL, as a new revision.  */
static void
put_item (const char *key, struct bb_bytes *value)
{
  struct item *i = find_item (key);

  if (!i)
    {
      i = g_new0 (struct item, 1);
      i->key = g_strdup (key);
      g_ptr_array_add (items, i);
      g_ptr_array_sort (items, compare_keys);
    }
  if (i->value)
    g_bytes_unref (i->value);
  i->value = value ? g_bytes_new (value->ptr, value->size) : NULL;
  i->revision = ++revision;
  g_ptr_array_add (history, copy_item (i));
}

static GPtrArray *
copy_items (const GPtrArray *from)
{
  GPtrArray *copy = g_ptr_array_new ();

  for (guint i = 0; i < from->len; i++)
    g_ptr_array_add (copy, copy_item (g_ptr_array_index (from, i)));
  return copy;
}

static void
set_era_header (void)
{
  char text[16];

  g_snprintf (text, sizeof text, "%u", era);
  fake_set_header ("store-era", text);
}

static void
save (void)
{
  saved_items = copy_items (items);
  saved_revision = revision;
}

/* Returns from the saved items; all waiting watches end with 410.  */
static void
restore (void)
{
  items = copy_items (saved_items);
  revision = saved_revision;
  g_ptr_array_set_size (history, 0);
  compacted_revision = revision;
  era++;
  set_era_header ();
}

static json_t *
item_to_json (const struct item *i)
{
  gsize size;
  const void *data;
  char *text;
  json_t *o;

  if (!i->value)
    return json_pack ("{s:s, s:I, s:b}", "key", i->key, "revision",
                      (json_int_t)i->revision, "removed", 1);
  data = g_bytes_get_data (i->value, &size);
  text = g_base64_encode (data, size);
  o = json_pack ("{s:s, s:s, s:I, s:I, s:i}", "key", i->key, "value", text,
                 "revision", (json_int_t)i->revision, "created",
                 (json_int_t)i->revision, "lease", 0);
  g_free (text);
  return o;
}

/* Returns the unescaped value of NAME in the query of TARGET, "" if there is
   none.  The caller frees it.  */
static char *
query_value (struct bb_bytes target, const char *name)
{
  char *text = g_strndup (target.ptr, target.size);
  char *at = strchr (text, '?');
  char **parts = g_strsplit (at ? at + 1 : "", "&", -1);
  char *value = NULL;
  size_t n = strlen (name);

  for (uint32_t i = 0; parts[i]; i++)
    if (strncmp (parts[i], name, n) == 0 && parts[i][n] == '=')
      value = g_uri_unescape_string (parts[i] + n + 1, NULL);
  g_strfreev (parts);
  g_free (text);
  return value ? value : g_strdup ("");
}

static void
on_range (struct bb_http_request *r)
{
  char *prefix = query_value (r->path, "prefix");
  char *after = query_value (r->path, "after");
  json_t *list = json_array ();
  bool more = false;

  for (guint i = 0; i < items->len; i++)
    {
      const struct item *it = g_ptr_array_index (items, i);
      if (!it->value || !g_str_has_prefix (it->key, prefix)
          || strcmp (it->key, after) <= 0)
        continue;
      more = json_array_size (list) == PAGE_ITEMS;
      if (more)
        break;
      json_array_append_new (list, item_to_json (it));
    }
  fake_respond_json (r, 200,
                     json_pack ("{s:o, s:I, s:b}", "items", list,
                                "current-rev", (json_int_t)revision,
                                "more-pages", more));
  g_free (prefix);
  g_free (after);
}

static void
on_watch_closed (uv_handle_t *h)
{
  g_free (h->data);
}

/* Responds with the changes after the revision of W, or with 410 if the
   history does not reach back to it, and frees W.  */
static void
respond_watch (struct watch *w)
{
  json_t *list = json_array ();

  for (guint i = 0; i < history->len; i++)
    {
      const struct item *it = g_ptr_array_index (history, i);
      if (it->revision > w->after)
        json_array_append_new (list, item_to_json (it));
    }
  w->r->on_done = NULL;
  if (w->after < compacted_revision || w->after > revision)
    {
      json_decref (list);
      fake_respond_text (w->r, 410, "gone");
    }
  else
    fake_respond_json (w->r, 200,
                       json_pack ("{s:o, s:I}", "events", list, "current-rev",
                                  (json_int_t)revision));
  uv_close ((uv_handle_t *)&w->timer, on_watch_closed);
}

static void
on_watch_timer (uv_timer_t *t)
{
  struct watch *w = t->data;

  if (strcmp (mode, "silent") == 0 || w->number <= dropped_watches)
    {
      uv_timer_stop (t);
      return;
    }
  if (revision != w->after || w->after < compacted_revision
      || bb_clock_now () >= w->deadline_ms)
    respond_watch (w);
}

static void
on_watch_done (struct bb_http_request *r)
{
  struct watch *w = r->user;

  uv_close ((uv_handle_t *)&w->timer, on_watch_closed);
}

static void
on_watch (struct bb_http_request *r)
{
  struct watch *w = g_new0 (struct watch, 1);
  char *after = query_value (r->path, "after");
  char *wait = query_value (r->path, "wait-ms");

  w->r = r;
  r->user = w;
  r->on_done = on_watch_done;
  w->number = ++watches_started;
  w->after = strtoull (after, NULL, 10);
  w->deadline_ms = bb_clock_now () + strtol (wait, NULL, 10);
  uv_timer_init (uv_default_loop (), &w->timer);
  w->timer.data = w;
  uv_timer_start (&w->timer, on_watch_timer, 0, WATCH_INTERVAL_MS);
  g_free (after);
  g_free (wait);
}

static void
respond_read (struct bb_http_request *r)
{
  if (g_str_has_prefix (r->path.ptr, "/v1/kv-watch"))
    on_watch (r);
  else
    on_range (r);
}

/* A read that is answered late.  */
struct late_read
{
  struct bb_http_request *r;
  uv_timer_t timer;
};

static void
on_late_timer (uv_timer_t *t)
{
  struct late_read *l = t->data;

  l->r->on_done = NULL;
  respond_read (l->r);
  uv_close ((uv_handle_t *)t, on_watch_closed);
}

static void
on_late_done (struct bb_http_request *r)
{
  struct late_read *l = r->user;

  uv_close ((uv_handle_t *)&l->timer, on_watch_closed);
}

static void
respond_late (struct bb_http_request *r)
{
  struct late_read *l = g_new0 (struct late_read, 1);

  l->r = r;
  r->user = l;
  r->on_done = on_late_done;
  uv_timer_init (uv_default_loop (), &l->timer);
  l->timer.data = l;
  uv_timer_start (&l->timer, on_late_timer, SLOW_MS, 0);
}

static void
on_read (struct bb_http_request *r)
{
  read_calls++;
  if (strcmp (mode, "busy") == 0)
    fake_respond_text (r, 429, "busy");
  else if (strcmp (mode, "unavailable") == 0)
    fake_respond_text (r, 503, "unavailable");
  else if (strcmp (mode, "garbage") == 0)
    fake_respond_text (r, 200, "{\"items\":[{\"key\":7}], nonsense");
  else if (strcmp (mode, "silent") == 0)
    return;
  else if (strcmp (mode, "slow") == 0)
    respond_late (r);
  else
    respond_read (r);
}

static void
on_request (struct bb_http_request *r, void *arg)
{
  char *key = query_value (r->path, "key");
  char *new_mode = query_value (r->path, "is");

  (void)arg;
  if (g_str_has_prefix (r->path.ptr, "/calls"))
    {
      char text[32];
      g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, read_calls);
      fake_respond_text (r, 200, text);
    }
  else if (bb_bytes_equal (r->method, "GET"))
    on_read (r);
  else if (g_str_has_prefix (r->path.ptr, "/put"))
    put_item (key, &r->body);
  else if (g_str_has_prefix (r->path.ptr, "/remove"))
    put_item (key, NULL);
  else if (g_str_has_prefix (r->path.ptr, "/forget"))
    compacted_revision = ++revision;
  else if (g_str_has_prefix (r->path.ptr, "/save"))
    save ();
  else if (g_str_has_prefix (r->path.ptr, "/restore"))
    restore ();
  else if (g_str_has_prefix (r->path.ptr, "/drop-watches"))
    dropped_watches = watches_started;
  else
    g_strlcpy (mode, new_mode, sizeof mode);
  if (!bb_bytes_equal (r->method, "GET"))
    fake_respond_text (r, 200, "done");
  g_free (key);
  g_free (new_mode);
}

int
main (int argc, char **argv)
{
  struct fake_option options[] = { { NULL, NULL, 0 } };

  items = g_ptr_array_new ();
  history = g_ptr_array_new ();
  set_era_header ();
  return fake_main (argc, argv, options, on_request, NULL);
}
