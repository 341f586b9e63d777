/* The platform's configuration service as the source of settings.  A watch
   request waits for a new revision, a list request returns the names and
   hashes of its files, and read requests fetch the files that have changed.
   The revision is then offered to the membership, which activates it and
   passes it on to peers.  Only processes for which
   bb_members_should_query_service holds send requests; the others get
   revisions from peers.  */

#include "internal.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  POLL_MS = 100, /* period of the check whether a request is due */
  IO_TIMEOUT_MS = 20000,
  RESPONSE_MAX_BYTES = 64 * 1024 * 1024,
  /* Wait after a failure or a stale response, to which a random time of up to
     the same length is added.  */
  RETRY_MS = 1000,
  OFFER_RETRY_MS = 200, /* wait after an offer was refused for now */
  NAME_MAX_BYTES = 256
};

enum request_state
{
  STATE_IDLE,
  STATE_WATCH,
  STATE_LIST,
  STATE_READ
};

/* One file of the revision that is being read.  */
struct listed_file
{
  char *name;
  uint64_t hash;
  GString *data; /* content; NULL until the file is read */
};

struct service
{
  struct bb_daemon *d;
  struct bb_http_client *client;
  uv_timer_t timer;
  enum request_state state;
  bb_ms next_poll_ms; /* earliest time of the next request */
  uint64_t revision;  /* revision that was announced or is being read */
  uint64_t rejected_revision; /* highest revision with faults in its files */
  GArray *files;              /* files of REVISION, as struct listed_file */
  GArray *previous_files;     /* files of the revision read before, as struct
                                 listed_file */
  guint read_index;           /* index in FILES of the file being read */
};

static struct service service;

static void read_next_file (struct service *s);

static void
schedule_poll (struct service *s, bb_ms wait_ms)
{
  s->state = STATE_IDLE;
  s->next_poll_ms = bb_clock_now () + wait_ms;
}

static void
handle_failure (struct service *s, const char *reason)
{
  bb_counter ("bilberry_service_failed_total", "")->value++;
  bb_log (BB_LOG_DEBUG, s->d->ops->part, "Configuration service: %s.", reason);
  schedule_poll (s, RETRY_MS + g_random_int_range (0, RETRY_MS));
}

static void
clear_files (GArray *files)
{
  for (guint i = 0; i < files->len; i++)
    {
      struct listed_file *file = &g_array_index (files, struct listed_file, i);
      g_free (file->name);
      if (file->data)
        g_string_free (file->data, TRUE);
    }
  g_array_set_size (files, 0);
}

/* Returns the highest revision that was activated or rejected; 0 for none.  */
static uint64_t
known_revision (const struct service *s)
{
  return MAX (s->d->revision, s->rejected_revision);
}

/* Handles a response with a revision below the active one.  */
static void
handle_stale (struct service *s)
{
  bb_counter ("bilberry_service_stale_total", "")->value++;
  schedule_poll (s, RETRY_MS + g_random_int_range (0, RETRY_MS));
}

static void
on_watch_response (struct service *s, json_t *json)
{
  uint64_t revision
      = (uint64_t)json_integer_value (json_object_get (json, "revision"));

  if (revision > known_revision (s))
    {
      s->state = STATE_IDLE;
      s->revision = revision;
    }
  else if (revision < s->d->revision)
    handle_stale (s);
  else
    schedule_poll (s, 0);
}

/* Returns a copy of the data of file NAME from the revision read before; NULL
   where that revision has no such file with the hash HASH.  */
static GString *
copy_unchanged (const struct service *s, const char *name, uint64_t hash)
{
  for (guint i = 0; i < s->previous_files->len; i++)
    {
      const struct listed_file *file
          = &g_array_index (s->previous_files, struct listed_file, i);
      if (file->hash == hash && file->data && strcmp (file->name, name) == 0)
        return g_string_new_len (file->data->str, (gssize)file->data->len);
    }
  return NULL;
}

static bool
parse_list (struct service *s, json_t *json)
{
  json_t *files = json_object_get (json, "files");
  size_t i;
  json_t *f;

  s->revision
      = (uint64_t)json_integer_value (json_object_get (json, "revision"));
  clear_files (s->files);
  json_array_foreach (files, i, f)
  {
    const char *name = json_string_value (json_object_get (f, "name"));
    const char *hash = json_string_value (json_object_get (f, "hash"));
    struct listed_file file = { 0 };
    if (!name || !hash || strlen (name) > NAME_MAX_BYTES)
      return false;
    file.name = g_strdup (name);
    file.hash = g_ascii_strtoull (hash, NULL, 16);
    file.data = copy_unchanged (s, name, file.hash);
    g_array_append_val (s->files, file);
  }
  return s->files->len > 0;
}

static void
on_list_response (struct service *s, json_t *json)
{
  if (!parse_list (s, json))
    handle_failure (s, "the list is malformed");
  else if (s->revision < s->d->revision)
    handle_stale (s);
  else if (s->revision <= known_revision (s))
    schedule_poll (s, RETRY_MS);
  else
    {
      s->read_index = 0;
      read_next_file (s);
    }
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (((const struct bb_settings_file *)a)->name,
                 ((const struct bb_settings_file *)b)->name);
}

static void
offer_revision (struct service *s)
{
  struct bb_settings_files files = { .count = s->files->len };
  enum bb_member_refusal r;
  size_t size;
  char *data;
  GArray *reused = s->previous_files;

  files.files = g_new0 (struct bb_settings_file, files.count);
  for (guint i = 0; i < s->files->len; i++)
    {
      const struct listed_file *file
          = &g_array_index (s->files, struct listed_file, i);
      files.files[i].name = file->name;
      files.files[i].data = file->data->str;
      files.files[i].size = file->data->len;
    }
  qsort (files.files, files.count, sizeof *files.files, compare_names);
  data = fileset_pack (&files, &size);
  r = bb_members_offer_config (s->d->members, bb_clock_now (), s->revision,
                               data, size);
  free (data);
  g_free (files.files);
  s->previous_files = s->files;
  s->files = reused;
  if (r == BB_MEMBER_REJECTED)
    s->rejected_revision = s->revision;
  schedule_poll (
      s, r == BB_MEMBER_OK || r == BB_MEMBER_REJECTED ? 0 : OFFER_RETRY_MS);
}

static void
on_read_response (struct service *s, struct bb_bytes body)
{
  struct listed_file *file
      = &g_array_index (s->files, struct listed_file, s->read_index);

  if (XXH64 (body.ptr, body.size, 0) != file->hash)
    {
      handle_failure (s, "a file changed between the list and its read");
      return;
    }
  file->data = g_string_new_len (body.ptr, (gssize)body.size);
  read_next_file (s);
}

static void
on_json_response (struct service *s, struct bb_bytes body)
{
  json_error_t e;
  json_t *json = json_loadb (body.ptr, body.size, 0, &e);

  if (!json)
    handle_failure (s, "the response is not JSON");
  else if (s->state == STATE_WATCH)
    on_watch_response (s, json);
  else
    on_list_response (s, json);
  json_decref (json);
}

static void
on_response (const char *error, uint16_t status, struct bb_bytes body,
             void *user)
{
  struct service *s = user;

  if (error || status != 200)
    handle_failure (s, error ? error : "the response status is not 200");
  else if (s->state == STATE_READ)
    on_read_response (s, body);
  else
    on_json_response (s, body);
}

static void
send_request (struct service *s, enum request_state state, const char *path)
{
  struct bb_bytes no_body = { 0 };

  s->state = state;
  bb_counter ("bilberry_service_calls_total", "")->value++;
  bb_http_fetch (s->client, "GET", path, no_body, RESPONSE_MAX_BYTES,
                 on_response, s);
}

static void
read_next_file (struct service *s)
{
  char path[NAME_MAX_BYTES + 32];

  while (s->read_index < s->files->len)
    {
      const struct listed_file *file
          = &g_array_index (s->files, struct listed_file, s->read_index);
      if (!file->data)
        {
          g_snprintf (path, sizeof path, "/v1/read?name=%s", file->name);
          send_request (s, STATE_READ, path);
          return;
        }
      s->read_index++;
    }
  offer_revision (s);
}

static void
on_poll (uv_timer_t *t)
{
  struct service *s = t->data;
  bb_ms now = bb_clock_now ();
  char path[64];

  if (s->state != STATE_IDLE || now < s->next_poll_ms
      || !bb_members_should_query_service (s->d->members, now))
    return;
  if (s->revision > known_revision (s) || known_revision (s) == 0)
    {
      send_request (s, STATE_LIST, "/v1/list");
      return;
    }
  g_snprintf (path, sizeof path, "/v1/watch?after=%" G_GUINT64_FORMAT,
              known_revision (s));
  send_request (s, STATE_WATCH, path);
}

bool
service_is_configured (const struct bb_daemon *d)
{
  return config_platform_address (d->settings, "configuration") != NULL;
}

static bool
service_open (struct bb_daemon *d)
{
  const char *address = config_platform_address (d->settings, "configuration");
  struct sockaddr_storage addr;
  struct service *s = &service;

  if (!d->members)
    {
      bb_log (
          BB_LOG_ERROR, d->ops->part,
          "A configuration service requires a peer key and a peer address of "
          "this process in the settings folder.");
      return false;
    }
  if (!bb_address_parse (address, &addr))
    return false;
  s->d = d;
  s->files = g_array_new (FALSE, FALSE, sizeof (struct listed_file));
  s->previous_files = g_array_new (FALSE, FALSE, sizeof (struct listed_file));
  s->client = bb_http_client_new (d->loop, &addr, address, IO_TIMEOUT_MS);
  uv_timer_init (d->loop, &s->timer);
  s->timer.data = s;
  uv_timer_start (&s->timer, on_poll, 0, POLL_MS);
  return true;
}

const struct source_ops service_source
    = { .name = "service", .open = service_open };
