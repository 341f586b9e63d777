/* The settings folder as the source of settings.  The process numbers the
   revisions itself, so they mean nothing to other processes.  */

#include "internal.h"

enum
{
  RELOAD_DELAY_MS = 100, /* delay that merges an editor's burst of changes */
  POLL_MS = 1000 /* period of reading that finds changes without an event */
};

static uv_fs_event_t watcher;
static uv_timer_t delay_timer;
static uv_timer_t poll_timer;
static uint64_t rejected_hash; /* hash of the files rejected last; 0: none */

/* Reads the settings folder.  Returns NULL where its files have faults or are
   those that are active or were rejected last.  Sets *HASH to the hash of the
   files; 0 when they cannot be read.  */
static struct bb_settings *
read_if_changed (const struct bb_daemon *d, uint64_t *hash,
                 struct bb_settings_faults *faults)
{
  struct bb_settings_files files = { 0 };
  struct bb_settings *s = NULL;

  *hash = 0;
  if (bb_settings_files_read (d->config_dir, &files, faults))
    {
      *hash = bb_settings_files_hash (&files);
      if (*hash != d->settings_hash && *hash != rejected_hash)
        s = bb_settings_parse (&files, faults);
    }
  bb_settings_files_free (&files);
  return s;
}

bool
folder_load_initial (struct bb_daemon *d)
{
  struct bb_settings_faults faults = { 0 };
  uint64_t hash;

  d->settings = read_if_changed (d, &hash, &faults);
  d->settings_hash = hash;
  settings_log_faults (d, &faults);
  bb_settings_faults_free (&faults);
  return d->settings != NULL;
}

static void
reload (struct bb_daemon *d)
{
  struct bb_settings_faults faults = { 0 };
  uint64_t hash;
  struct bb_settings *s = read_if_changed (d, &hash, &faults);

  if (faults.count > 0 && (hash == 0 || hash != rejected_hash))
    {
      rejected_hash = hash;
      settings_reject (d, &faults);
    }
  bb_settings_faults_free (&faults);
  if (!s)
    return;
  rejected_hash = 0;
  settings_activate (d, s, hash, d->revision + 1);
}

static void
on_reload_timer (uv_timer_t *t)
{
  reload (t->data);
}

static void
on_fs_event (uv_fs_event_t *w, const char *name, int events, int status)
{
  (void)w;
  (void)name;
  (void)events;
  (void)status;
  if (!uv_is_active ((uv_handle_t *)&delay_timer))
    uv_timer_start (&delay_timer, on_reload_timer, RELOAD_DELAY_MS, 0);
}

static bool
folder_open (struct bb_daemon *d)
{
  d->revision = 1;
  d->revision_is_local = true;
  uv_timer_init (d->loop, &delay_timer);
  uv_timer_init (d->loop, &poll_timer);
  delay_timer.data = d;
  poll_timer.data = d;
  uv_timer_start (&poll_timer, on_reload_timer, POLL_MS, POLL_MS);
  uv_fs_event_init (d->loop, &watcher);
  if (uv_fs_event_start (&watcher, on_fs_event, d->config_dir, 0) < 0)
    bb_log (BB_LOG_WARN, d->ops->part,
            "Cannot watch the settings folder; only polling it every second.");
  return true;
}

const struct source_ops folder_source
    = { .name = "folder", .open = folder_open, .reload = reload };
