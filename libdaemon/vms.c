/* Polls the platform's list of VMs.  The list lags behind, so it changes no
   member's status: where it contradicts gossip, the member is probed next.
   Only the readers that libmember selects in each failure domain poll it.  */

#include "internal.h"

#include <string.h>

enum
{
  POLL_MS = 5000,
  IO_TIMEOUT_MS = 4000,
  RESPONSE_MAX_BYTES = 64 * 1024 * 1024
};

struct vms
{
  struct bb_daemon *d;
  struct bb_http_client *client;
  uv_timer_t timer;
  bool request_pending;
};

static struct vms vms;

/* Compares the members of the settings with the VM list, the object "vms" of
   JSON, which has a member for each VM.  */
static void
check_members (struct vms *v, json_t *json)
{
  json_t *list = json_object_get (json, "vms");
  const struct bb_settings *s = v->d->settings;

  if (!json_is_object (list))
    return;
  for (uint32_t i = 0; i < s->entries_count; i++)
    gossip_check_listed (v->d, BB_ROLE_ENTRY, s->entries[i].name,
                         json_object_get (list, s->entries[i].name) != NULL);
  for (uint32_t i = 0; i < s->upstreams_count; i++)
    gossip_check_listed (v->d, BB_ROLE_AGENT, s->upstreams[i].name,
                         json_object_get (list, s->upstreams[i].name) != NULL);
}

static void
on_response (const char *error, uint16_t status, struct bb_bytes body,
             void *user)
{
  struct vms *v = user;
  json_error_t e;
  json_t *json = NULL;

  v->request_pending = false;
  if (!error && status == 200)
    json = json_loadb (body.ptr, body.size, 0, &e);
  if (json)
    check_members (v, json);
  else
    bb_counter ("bilberry_vms_failed_total", "")->value++;
  json_decref (json);
}

static void
on_poll (uv_timer_t *t)
{
  struct vms *v = t->data;
  struct bb_bytes no_body = { 0 };

  if (v->request_pending || !bb_members_stats (v->d->members)->reader)
    return;
  v->request_pending = true;
  bb_counter ("bilberry_vms_calls_total", "")->value++;
  bb_http_fetch (v->client, "GET", "/v1/vms", no_body, RESPONSE_MAX_BYTES,
                 on_response, v);
}

bool
vms_open (struct bb_daemon *d)
{
  const char *address = config_platform_address (d->settings, "vms");
  struct sockaddr_storage addr;
  struct vms *v = &vms;

  if (!address || !d->members)
    return true;
  if (!bb_address_parse (address, &addr))
    return false;
  v->d = d;
  v->client = bb_http_client_new (d->loop, &addr, address, IO_TIMEOUT_MS);
  uv_timer_init (d->loop, &v->timer);
  v->timer.data = v;
  uv_timer_start (&v->timer, on_poll, POLL_MS, POLL_MS);
  return true;
}
