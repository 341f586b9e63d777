#include "internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SETTLE_MS = 100, /* an editor's burst of changes is read once */
  REREAD_MS = 1000 /* finds changes that gave no event */
};

static uv_fs_event_t watcher;
static uv_timer_t settle;
static uv_timer_t reread;
static uint64_t refused_hash;

static void
log_faults (const struct bb_daemon *d, const struct bb_faults *faults)
{
  for (size_t i = 0; i < faults->count; i++)
    bb_log (BB_LOG_ERROR, d->ops->part, "Settings: %s.", faults->lines[i]);
}

static struct bb_settings *
read_settings (const struct bb_daemon *d, uint64_t *hash,
               struct bb_faults *faults)
{
  struct bb_files files = { 0 };
  struct bb_settings *s = NULL;

  *hash = 0;
  if (bb_files_read (d->config_dir, &files, faults))
    {
      *hash = bb_files_hash (&files);
      if (*hash != d->settings_hash && *hash != refused_hash)
        s = bb_settings_make (&files, faults);
    }
  bb_files_free (&files);
  return s;
}

bool
config_load_first (struct bb_daemon *d)
{
  struct bb_faults faults = { 0 };
  uint64_t hash;
  bool good;

  d->settings = read_settings (d, &hash, &faults);
  d->settings_hash = hash;
  good = d->settings != NULL;
  log_faults (d, &faults);
  bb_faults_free (&faults);
  d->revision = 1;
  return good;
}

static void
refuse_change (struct bb_daemon *d, uint64_t hash,
               const struct bb_faults *faults)
{
  refused_hash = hash;
  d->rejected++;
  snprintf (d->rejected_why, sizeof d->rejected_why, "%s", faults->lines[0]);
  bb_counter ("bilberry_settings_rejected_total", "")->value++;
  log_faults (d, faults);
  bb_log (BB_LOG_ERROR, d->ops->part,
          "Settings were not accepted; revision %llu stays in force.",
          (unsigned long long)d->revision);
}

static void
read_again (struct bb_daemon *d)
{
  struct bb_faults faults = { 0 };
  struct bb_settings *old = d->settings;
  uint64_t hash;
  struct bb_settings *s = read_settings (d, &hash, &faults);

  if (faults.count > 0 && (hash == 0 || hash != refused_hash))
    refuse_change (d, hash, &faults);
  bb_faults_free (&faults);
  if (!s)
    return;
  d->settings = s;
  d->settings_hash = hash;
  d->revision++;
  refused_hash = 0;
  d->rejected_why[0] = '\0';
  bb_log (BB_LOG_INFO, d->ops->part, "Settings revision %llu is in force.",
          (unsigned long long)d->revision);
  d->ops->on_settings (d, old);
  bb_settings_free (old);
}

void
bb_daemon_refresh (struct bb_daemon *d)
{
  read_again (d);
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

void
config_watch (struct bb_daemon *d)
{
  uv_timer_init (d->loop, &settle);
  uv_timer_init (d->loop, &reread);
  settle.data = d;
  reread.data = d;
  uv_timer_start (&reread, on_settled, REREAD_MS, REREAD_MS);
  uv_fs_event_init (d->loop, &watcher);
  if (uv_fs_event_start (&watcher, on_event, d->config_dir, 0) < 0)
    bb_log (BB_LOG_WARN, d->ops->part,
            "The settings folder gives no events; it is read every second.");
}
