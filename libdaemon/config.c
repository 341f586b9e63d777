/* Starts the source of settings: the configuration service where the settings
   name one, otherwise the settings folder.  */

#include "internal.h"

#include <string.h>

static const struct source_ops *source;

const char *
config_platform_address (const struct bb_settings *s, const char *name)
{
  for (uint32_t i = 0; i < s->platform_count; i++)
    if (strcmp (s->platform[i].name, name) == 0)
      return s->platform[i].address;
  return NULL;
}

bool
config_open (struct bb_daemon *d)
{
  if (!folder_load_initial (d) || !gossip_open (d))
    return false;
  source = service_is_configured (d) ? &service_source : &folder_source;
  if (!source->open (d) || !vms_open (d))
    return false;
  if (d->revision == 0)
    bb_log (BB_LOG_INFO, d->ops->part,
            "Waiting for settings from peers or the configuration service.");
  while (d->revision == 0)
    uv_run (d->loop, UV_RUN_ONCE);
  return true;
}

const char *
config_source_name (void)
{
  return source ? source->name : "none";
}

void
bb_daemon_reload_settings (struct bb_daemon *d)
{
  if (source->reload)
    source->reload (d);
}
