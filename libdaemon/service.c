/* The platform's configuration service as the source of settings: watch, then
   list, then read what has changed.  Only processes that the membership
   chooses ask it.  */

#include "internal.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  POLL_MS = 100,
  IO_TIMEOUT_MS = 20000,
  RETRY_MS = 1000, /* after a fault or an old answer, and as much again */
  EARLY_MS = 200,
  NAME_MAX_BYTES = 256
};

enum state
{
  IDLE,
  WATCH,
  LIST,
  READ
};

/* One file of the revision that is being read.  */
struct item
{
  char *name;
  uint64_t hash;
  GString *data; /* NULL: to be read */
};

struct service
{
  struct bb_daemon *d;
  struct bb_http_client *client;
  uv_timer_t timer;
  enum state state;
  bb_ms again_at;
  uint64_t revision; /* being read */
  uint64_t seen;     /* highest one that was judged */
  GArray *items;     /* struct item of the revision being read */
  GArray *last;      /* of the one read before */
  guint reading;     /* index into items */
  uint16_t status;
  GString *body;
};

static struct service service;

static void next_read (struct service *s);

static void
again (struct service *s, bb_ms wait_ms)
{
  s->state = IDLE;
  s->again_at = bb_clock_now () + wait_ms;
}

static void
failed (struct service *s, const char *why)
{
  bb_counter ("bilberry_service_failed_total", "")->value++;
  bb_log (BB_LOG_DEBUG, s->d->ops->part, "Configuration service: %s.", why);
  again (s, RETRY_MS + g_random_int_range (0, RETRY_MS));
}

static void
clear_items (GArray *items)
{
  for (guint i = 0; i < items->len; i++)
    {
      struct item *t = &g_array_index (items, struct item, i);
      g_free (t->name);
      if (t->data)
        g_string_free (t->data, TRUE);
    }
  g_array_set_size (items, 0);
}

static void
on_head (struct bb_http_call *c, uint16_t status,
         const struct bb_header *headers, uint32_t headers_count)
{
  struct service *s = bb_http_call_user (c);

  (void)headers;
  (void)headers_count;
  s->status = status;
}

static void
on_data (struct bb_http_call *c, struct bb_bytes piece)
{
  struct service *s = bb_http_call_user (c);

  g_string_append_len (s->body, piece.ptr, piece.size);
}

static uint64_t
held (const struct service *s)
{
  return MAX (s->d->revision, s->seen);
}

/* An answer that is behind what is in force.  */
static void
stale (struct service *s)
{
  bb_counter ("bilberry_service_stale_total", "")->value++;
  again (s, RETRY_MS + g_random_int_range (0, RETRY_MS));
}

static void
on_watched (struct service *s, json_t *json)
{
  uint64_t revision
      = (uint64_t)json_integer_value (json_object_get (json, "revision"));

  if (revision > held (s))
    {
      s->state = IDLE;
      s->revision = revision;
    }
  else if (revision < s->d->revision)
    stale (s);
  else
    again (s, 0);
}

/* Takes what was read before where the hash is the same.  */
static GString *
reuse (const struct service *s, const char *name, uint64_t hash)
{
  for (guint i = 0; i < s->last->len; i++)
    {
      const struct item *t = &g_array_index (s->last, struct item, i);
      if (t->hash == hash && t->data && strcmp (t->name, name) == 0)
        return g_string_new_len (t->data->str, (gssize)t->data->len);
    }
  return NULL;
}

static bool
take_list (struct service *s, json_t *json)
{
  json_t *files = json_object_get (json, "files");
  size_t i;
  json_t *f;

  s->revision
      = (uint64_t)json_integer_value (json_object_get (json, "revision"));
  clear_items (s->items);
  json_array_foreach (files, i, f)
  {
    const char *name = json_string_value (json_object_get (f, "name"));
    const char *hash = json_string_value (json_object_get (f, "hash"));
    struct item t = { 0 };
    if (!name || !hash || strlen (name) > NAME_MAX_BYTES)
      return false;
    t.name = g_strdup (name);
    t.hash = g_ascii_strtoull (hash, NULL, 16);
    t.data = reuse (s, name, t.hash);
    g_array_append_val (s->items, t);
  }
  return s->items->len > 0;
}

static void
on_listed (struct service *s, json_t *json)
{
  if (!take_list (s, json))
    failed (s, "the list is malformed");
  else if (s->revision < s->d->revision)
    stale (s);
  else if (s->revision <= held (s))
    again (s, RETRY_MS);
  else
    {
      s->reading = 0;
      next_read (s);
    }
}

static int
by_name (const void *a, const void *b)
{
  return strcmp (((const struct bb_settings_file *)a)->name,
                 ((const struct bb_settings_file *)b)->name);
}

static void
offer (struct service *s)
{
  struct bb_settings_files files = { .count = s->items->len };
  enum bb_member_refusal r;
  size_t size;
  char *data;
  GArray *swap = s->last;

  files.files = g_new0 (struct bb_settings_file, files.count);
  for (guint i = 0; i < s->items->len; i++)
    {
      const struct item *t = &g_array_index (s->items, struct item, i);
      files.files[i].name = t->name;
      files.files[i].data = t->data->str;
      files.files[i].size = t->data->len;
    }
  qsort (files.files, files.count, sizeof *files.files, by_name);
  data = fileset_pack (&files, &size);
  r = bb_members_offer_config (s->d->members, bb_clock_now (), s->revision,
                               data, size);
  free (data);
  g_free (files.files);
  s->last = s->items;
  s->items = swap;
  if (r == BB_MEMBER_REJECTED)
    s->seen = s->revision;
  again (s, r == BB_MEMBER_OK || r == BB_MEMBER_REJECTED ? 0 : EARLY_MS);
}

static void
on_read (struct service *s)
{
  struct item *t = &g_array_index (s->items, struct item, s->reading);

  if (XXH64 (s->body->str, s->body->len, 0) != t->hash)
    {
      failed (s, "a value changed while it was read");
      return;
    }
  t->data = g_string_new_len (s->body->str, (gssize)s->body->len);
  next_read (s);
}

static void
on_json (struct service *s)
{
  json_error_t e;
  json_t *json = json_loadb (s->body->str, s->body->len, 0, &e);

  if (!json)
    failed (s, "the answer is not JSON");
  else if (s->state == WATCH)
    on_watched (s, json);
  else
    on_listed (s, json);
  json_decref (json);
}

static void
on_end (struct bb_http_call *c, const char *error, enum bb_run run)
{
  struct service *s = bb_http_call_user (c);

  (void)run;
  if (error || s->status != 200)
    failed (s, error ? error : "it refuses");
  else if (s->state == READ)
    on_read (s);
  else
    on_json (s);
}

static void
call (struct service *s, enum state state, const char *path)
{
  static const struct bb_http_call_ops ops
      = { .on_head = on_head, .on_data = on_data, .on_end = on_end };
  struct bb_bytes none = { 0 };

  s->state = state;
  s->status = 0;
  g_string_truncate (s->body, 0);
  bb_counter ("bilberry_service_calls_total", "")->value++;
  bb_http_client_send (s->client, bb_bytes_of ("GET"), bb_bytes_of (path),
                       NULL, 0, none, &ops, s);
}

static void
next_read (struct service *s)
{
  char path[NAME_MAX_BYTES + 32];

  while (s->reading < s->items->len)
    {
      const struct item *t
          = &g_array_index (s->items, struct item, s->reading);
      if (!t->data)
        {
          g_snprintf (path, sizeof path, "/v1/read?name=%s", t->name);
          call (s, READ, path);
          return;
        }
      s->reading++;
    }
  offer (s);
}

static void
on_poll (uv_timer_t *t)
{
  struct service *s = t->data;
  bb_ms now = bb_clock_now ();
  char path[64];

  if (s->state != IDLE || now < s->again_at
      || !bb_members_should_query_service (s->d->members, now))
    return;
  if (s->revision > held (s) || held (s) == 0)
    {
      call (s, LIST, "/v1/list");
      return;
    }
  g_snprintf (path, sizeof path, "/v1/watch?after=%" G_GUINT64_FORMAT,
              held (s));
  call (s, WATCH, path);
}

bool
service_is_configured (const struct bb_daemon *d)
{
  return config_platform (d->settings, "configuration") != NULL;
}

static bool
service_open (struct bb_daemon *d)
{
  const char *address = config_platform (d->settings, "configuration");
  struct sockaddr_storage addr;
  struct service *s = &service;

  if (!d->members)
    {
      bb_log (BB_LOG_ERROR, d->ops->part,
              "With a configuration service the folder needs a peer key and "
              "the own address for peers.");
      return false;
    }
  if (!bb_address_parse (address, &addr))
    return false;
  s->d = d;
  s->items = g_array_new (FALSE, FALSE, sizeof (struct item));
  s->last = g_array_new (FALSE, FALSE, sizeof (struct item));
  s->body = g_string_new ("");
  s->client = bb_http_client_new (d->loop, &addr, address, IO_TIMEOUT_MS);
  uv_timer_init (d->loop, &s->timer);
  s->timer.data = s;
  uv_timer_start (&s->timer, on_poll, 0, POLL_MS);
  return true;
}

const struct source_ops service_source
    = { .name = "service", .open = service_open };
