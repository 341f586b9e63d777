/* Polls the platform's list of VMs.  The list lags behind, so it changes no
   member's status: where it contradicts gossip, the member is probed next.
   Only the readers that libmember selects in each failure domain poll it.  */

#include "internal.h"

#include <string.h>

enum
{
  POLL_MS = 5000,
  IO_TIMEOUT_MS = 4000
};

struct vms
{
  struct bb_daemon *d;
  struct bb_http_client *client;
  uv_timer_t timer;
  bool request_pending;
  uint16_t status;
  GString *body;
};

static struct vms vms;

static void
on_head (struct bb_http_call *c, uint16_t status,
         const struct bb_header *headers, uint32_t headers_count)
{
  struct vms *v = bb_http_call_user (c);

  (void)headers;
  (void)headers_count;
  v->status = status;
}

static void
on_data (struct bb_http_call *c, struct bb_bytes piece)
{
  struct vms *v = bb_http_call_user (c);

  g_string_append_len (v->body, piece.ptr, piece.size);
}

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
on_end (struct bb_http_call *c, const char *error, enum bb_run run)
{
  struct vms *v = bb_http_call_user (c);
  json_error_t e;
  json_t *json = NULL;

  (void)run;
  v->request_pending = false;
  if (!error && v->status == 200)
    json = json_loadb (v->body->str, v->body->len, 0, &e);
  if (json)
    check_members (v, json);
  else
    bb_counter ("bilberry_vms_failed_total", "")->value++;
  json_decref (json);
}

static void
on_poll (uv_timer_t *t)
{
  static const struct bb_http_call_ops ops
      = { .on_head = on_head, .on_data = on_data, .on_end = on_end };
  struct vms *v = t->data;
  struct bb_bytes no_body = { 0 };

  if (v->request_pending || !bb_members_stats (v->d->members)->reader)
    return;
  v->request_pending = true;
  v->status = 0;
  g_string_truncate (v->body, 0);
  bb_counter ("bilberry_vms_calls_total", "")->value++;
  bb_http_client_send (v->client, bb_bytes_of ("GET"), bb_bytes_of ("/v1/vms"),
                       NULL, 0, no_body, &ops, v);
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
  v->body = g_string_new ("");
  v->client = bb_http_client_new (d->loop, &addr, address, IO_TIMEOUT_MS);
  uv_timer_init (d->loop, &v->timer);
  v->timer.data = v;
  uv_timer_start (&v->timer, on_poll, POLL_MS, POLL_MS);
  return true;
}
