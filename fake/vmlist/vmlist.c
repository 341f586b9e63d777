/* fake-vmlist - a stand-in for the platform's list of VMs.

   GET /v1/vms lists the VMs, each with its state, "live" or "leaving", as of
   the time --lag-ms ago.

   For tests, POST /control?live=NAME and ?leaving=NAME set the state of a VM,
   and ?gone=NAME removes it.  The name of a VM is that of its process in the
   settings.  GET /control returns the count of calls of GET /v1/vms.  */

#include "../lib/fake.h"

#include <stdlib.h>
#include <string.h>

enum
{
  LAG_MS,
  OPTIONS
};

static struct fake_option options[OPTIONS + 1] = {
  [LAG_MS] = { "lag-ms", "age of the list, in ms", 0 },
};

/* A change that the list does not show yet.  */
struct pending_change
{
  uv_timer_t timer;
  char *name;
  const char *state; /* NULL: remove the VM */
};

static json_t *vms;
static uint64_t calls;

static void
on_closed (uv_handle_t *h)
{
  struct pending_change *c = h->data;

  free (c->name);
  free (c);
}

static void
apply_change (uv_timer_t *t)
{
  struct pending_change *c = t->data;

  if (c->state)
    json_object_set_new (vms, c->name, json_string (c->state));
  else
    json_object_del (vms, c->name);
  uv_close ((uv_handle_t *)t, on_closed);
}

static void
schedule_change (const char *name, const char *state)
{
  struct pending_change *c = calloc (1, sizeof *c);

  c->name = strdup (name);
  c->state = state;
  uv_timer_init (uv_default_loop (), &c->timer);
  c->timer.data = c;
  uv_timer_start (&c->timer, apply_change, (uint64_t)options[LAG_MS].value, 0);
}

static void
respond_control (struct bb_http_request *r, const char *path)
{
  static const char live[] = "/control?live=";
  static const char leaving[] = "/control?leaving=";
  static const char gone[] = "/control?gone=";

  if (strncmp (path, live, strlen (live)) == 0)
    schedule_change (path + strlen (live), "live");
  else if (strncmp (path, leaving, strlen (leaving)) == 0)
    schedule_change (path + strlen (leaving), "leaving");
  else if (strncmp (path, gone, strlen (gone)) == 0)
    schedule_change (path + strlen (gone), NULL);
  fake_respond_json (r, 200, json_pack ("{s:I}", "calls", (json_int_t)calls));
}

static void
on_request (struct bb_http_request *r, void *arg)
{
  char *path = strndup (r->path.ptr, r->path.size);

  (void)arg;
  if (strncmp (path, "/control", strlen ("/control")) == 0)
    respond_control (r, path);
  else if (strcmp (path, "/v1/vms") == 0)
    {
      calls++;
      fake_respond_json (r, 200, json_pack ("{s:O}", "vms", vms));
    }
  else
    fake_respond_text (r, 404, "not known\n");
  free (path);
}

int
main (int argc, char **argv)
{
  vms = json_object ();
  return fake_main (argc, argv, options, on_request, NULL);
}
