/* Activates settings, and reports the faults of rejected ones.  */

#include "internal.h"

#include <stdio.h>

static int64_t
unix_ms (void)
{
  uv_timeval64_t tv = { 0 };

  uv_gettimeofday (&tv);
  return tv.tv_sec * 1000 + tv.tv_usec / 1000;
}

void
settings_activate (struct bb_daemon *d, struct bb_settings *s, uint64_t hash,
                   uint64_t revision)
{
  struct bb_settings *old = d->settings;

  d->settings = s;
  d->settings_hash = hash;
  d->revision = revision;
  d->in_force_unix_ms = unix_ms ();
  d->rejected_reason[0] = '\0';
  bb_log (BB_LOG_INFO, d->ops->part, "Activated settings revision %llu.",
          (unsigned long long)revision);
  gossip_reconfigure (d);
  if (d->started)
    d->ops->on_settings (d, old);
  bb_settings_free (old);
}

void
settings_reject (struct bb_daemon *d, const struct bb_settings_faults *faults)
{
  d->rejected_count++;
  snprintf (d->rejected_reason, sizeof d->rejected_reason, "%s",
            faults->lines[0]);
  bb_counter ("bilberry_settings_rejected_total", "")->value++;
  settings_log_faults (d, faults);
  bb_log (BB_LOG_ERROR, d->ops->part,
          "Rejected new settings; revision %llu stays active.",
          (unsigned long long)d->revision);
}

void
settings_log_faults (const struct bb_daemon *d,
                     const struct bb_settings_faults *faults)
{
  for (size_t i = 0; i < faults->count; i++)
    bb_log (BB_LOG_ERROR, d->ops->part, "Settings: %s.", faults->lines[i]);
}
