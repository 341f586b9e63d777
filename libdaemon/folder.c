/* A local folder as the source of settings.  Its revisions are numbered by
   the process itself and mean nothing to others.  */

#include "internal.h"

enum
{
  SETTLE_MS = 100, /* an editor's burst of changes is read once */
  REREAD_MS = 1000 /* finds changes that gave no event */
};

static uv_fs_event_t watcher;
static uv_timer_t settle;
static uv_timer_t reread;
static uint64_t refused_hash;

static struct bb_settings *
read_settings (const struct bb_daemon *d, uint64_t *hash,
               struct bb_settings_faults *faults)
{
  struct bb_settings_files files = { 0 };
  struct bb_settings *s = NULL;

  *hash = 0;
  if (bb_settings_files_read (d->config_dir, &files, faults))
    {
      *hash = bb_settings_files_hash (&files);
      if (*hash != d->settings_hash && *hash != refused_hash)
        s = bb_settings_parse (&files, faults);
    }
  bb_settings_files_free (&files);
  return s;
}

bool
folder_load_first (struct bb_daemon *d)
{
  struct bb_settings_faults faults = { 0 };
  uint64_t hash;

  d->settings = read_settings (d, &hash, &faults);
  d->settings_hash = hash;
  force_log_faults (d, &faults);
  bb_settings_faults_free (&faults);
  return d->settings != NULL;
}

static void
read_again (struct bb_daemon *d)
{
  struct bb_settings_faults faults = { 0 };
  uint64_t hash;
  struct bb_settings *s = read_settings (d, &hash, &faults);

  if (faults.count > 0 && (hash == 0 || hash != refused_hash))
    {
      refused_hash = hash;
      force_refused (d, &faults);
    }
  bb_settings_faults_free (&faults);
  if (!s)
    return;
  refused_hash = 0;
  force_settings (d, s, hash, d->revision + 1);
}

static void
on_settled (uv_timer_t *t)
{
  read_again (t->data);
}

static void
on_event (uv_fs_event_t *w, const char *name, int events, int status)
{
  (void)w;
  (void)name;
  (void)events;
  (void)status;
  if (!uv_is_active ((uv_handle_t *)&settle))
    uv_timer_start (&settle, on_settled, SETTLE_MS, 0);
}

static bool
folder_open (struct bb_daemon *d)
{
  d->revision = 1;
  d->revision_is_local = true;
  uv_timer_init (d->loop, &settle);
  uv_timer_init (d->loop, &reread);
  settle.data = d;
  reread.data = d;
  uv_timer_start (&reread, on_settled, REREAD_MS, REREAD_MS);
  uv_fs_event_init (d->loop, &watcher);
  if (uv_fs_event_start (&watcher, on_event, d->config_dir, 0) < 0)
    bb_log (BB_LOG_WARN, d->ops->part,
            "The settings folder gives no events; it is read every second.");
  return true;
}

const struct source_ops folder_source
    = { .name = "folder", .open = folder_open, .refresh = read_again };
