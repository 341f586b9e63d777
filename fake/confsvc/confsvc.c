/* fake-confsvc - a stand-in for the platform's configuration service.

   Publishes the files of the folder --dir.  The first revision is --revision;
   each change of the files increments it.

     GET /v1/list            all names with the hash of each value
     GET /v1/read?name=NAME  one value
     GET /v1/watch?after=N   waits for a revision above N, at most --watch-ms

   For tests, POST /control?mode=up|down|stale sets the mode: "down" responds
   with 503 to all of the above, "stale" ignores later changes of the files.
   GET /control returns the counts of calls and of waiting watches; a watch
   counts as one call, however long it waits.  */

#include "../lib/fake.h"

#include "bilberry/settings.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  REVISION,
  WATCH_MS,
  OPTIONS
};

enum
{
  REREAD_INTERVAL_MS = 20
};

static struct fake_option options[OPTIONS + 1] = {
  [REVISION] = { "revision", "first revision", 1 },
  [WATCH_MS] = { "watch-ms", "maximum wait of a watch, in ms", 10000 },
};

/* A long poll that waits for a revision above AFTER.  */
struct watch
{
  struct bb_http_request *r;
  uint64_t after;
  bb_ms deadline_ms;
};

enum mode
{
  UP,
  DOWN,
  STALE
};

static const char *dir;
static enum mode mode;
static struct bb_settings_files published_files;
static uint64_t files_hash;
static uint64_t revision;
static uint64_t calls;
static uint64_t calls_this_second;
static uint64_t calls_max_per_second;
static bb_ms second_start_ms;
static GPtrArray *watches;

static void
count_call (void)
{
  bb_ms now = bb_clock_now ();

  if (now - second_start_ms >= 1000)
    {
      second_start_ms = now;
      calls_this_second = 0;
    }
  calls++;
  calls_this_second++;
  calls_max_per_second = MAX (calls_max_per_second, calls_this_second);
}

static void
respond_watch (struct watch *w)
{
  w->r->user = NULL;
  fake_respond_json (w->r, 200,
                     json_pack ("{s:I}", "revision", (json_int_t)revision));
  g_ptr_array_remove_fast (watches, w);
  g_free (w);
}

/* Responds to the watches whose revision has come or whose time is over.  */
static void
respond_due_watches (void)
{
  bb_ms now = bb_clock_now ();

  for (guint i = watches->len; i > 0; i--)
    {
      struct watch *w = g_ptr_array_index (watches, i - 1);
      if (w->after < revision || now >= w->deadline_ms)
        respond_watch (w);
    }
}

/* Reads the files and, if they have changed, publishes them as a new
   revision.  */
static void
publish_changes (void)
{
  struct bb_settings_files current = { 0 };
  struct bb_settings_faults faults = { 0 };

  if (mode == UP && bb_settings_files_read (dir, &current, &faults)
      && bb_settings_files_hash (&current) != files_hash)
    {
      struct bb_settings_files old = published_files;
      files_hash = bb_settings_files_hash (&current);
      revision = revision ? revision + 1 : (uint64_t)options[REVISION].value;
      published_files = current;
      current = old;
    }
  bb_settings_files_free (&current);
  bb_settings_faults_free (&faults);
}

static void
on_reread (uv_timer_t *t)
{
  (void)t;
  publish_changes ();
  respond_due_watches ();
}

/* Frees a watch whose caller has disconnected.  The user data of the request
   is NULL if the watch has been responded to.  */
static void
on_watch_done (struct bb_http_request *r)
{
  struct watch *w = r->user;

  if (!w)
    return;
  g_ptr_array_remove_fast (watches, w);
  g_free (w);
}

static void
start_watch (struct bb_http_request *r, const char *after)
{
  struct watch *w = g_new0 (struct watch, 1);

  w->r = r;
  w->after = strtoull (after, NULL, 10);
  w->deadline_ms = bb_clock_now () + options[WATCH_MS].value;
  r->user = w;
  r->on_done = on_watch_done;
  g_ptr_array_add (watches, w);
  respond_due_watches ();
}

static void
respond_list (struct bb_http_request *r)
{
  json_t *out = json_array ();
  char hash[32];

  for (size_t i = 0; i < published_files.count; i++)
    {
      g_snprintf (hash, sizeof hash, "%016llx",
                  (unsigned long long)XXH64 (published_files.files[i].data,
                                             published_files.files[i].size,
                                             0));
      json_array_append_new (out, json_pack ("{s:s, s:s}", "name",
                                             published_files.files[i].name,
                                             "hash", hash));
    }
  fake_respond_json (r, 200,
                     json_pack ("{s:I, s:o}", "revision", (json_int_t)revision,
                                "files", out));
}

static void
respond_value (struct bb_http_request *r, const char *name)
{
  struct bb_bytes body;

  for (size_t i = 0; i < published_files.count; i++)
    if (strcmp (published_files.files[i].name, name) == 0)
      {
        body.ptr = published_files.files[i].data;
        body.size = (uint32_t)published_files.files[i].size;
        bb_http_respond (r, 200, NULL, 0, body);
        return;
      }
  fake_respond_text (r, 404, "no such value\n");
}

static void
respond_control (struct bb_http_request *r, const char *path)
{
  if (g_str_has_suffix (path, "mode=up"))
    mode = UP;
  else if (g_str_has_suffix (path, "mode=down"))
    mode = DOWN;
  else if (g_str_has_suffix (path, "mode=stale"))
    mode = STALE;
  fake_respond_json (r, 200,
                     json_pack ("{s:I, s:I, s:I, s:i}", "revision",
                                (json_int_t)revision, "calls",
                                (json_int_t)calls, "calls_most_in_a_second",
                                (json_int_t)calls_max_per_second, "waiting",
                                (int)watches->len));
}

static void
on_request (struct bb_http_request *r, void *arg)
{
  char *path = g_strndup (r->path.ptr, r->path.size);

  (void)arg;
  if (g_str_has_prefix (path, "/control"))
    respond_control (r, path);
  else
    {
      count_call ();
      if (mode == DOWN)
        fake_respond_text (r, 503, "down\n");
      else if (strcmp (path, "/v1/list") == 0)
        respond_list (r);
      else if (g_str_has_prefix (path, "/v1/read?name="))
        respond_value (r, path + strlen ("/v1/read?name="));
      else if (g_str_has_prefix (path, "/v1/watch?after="))
        start_watch (r, path + strlen ("/v1/watch?after="));
      else
        fake_respond_text (r, 404, "not known\n");
    }
  g_free (path);
}

int
main (int argc, char **argv)
{
  static uv_timer_t reread_timer;

  if (argc < 3 || strcmp (argv[1], "--dir") != 0)
    {
      fprintf (stderr, "Usage: %s --dir DIR --address ADDRESS:PORT\n",
               argv[0]);
      return 2;
    }
  dir = argv[2];
  argv[2] = argv[0];
  watches = g_ptr_array_new ();
  uv_timer_init (uv_default_loop (), &reread_timer);
  uv_timer_start (&reread_timer, on_reread, 0, REREAD_INTERVAL_MS);
  return fake_main (argc - 2, argv + 2, options, on_request, NULL);
}
