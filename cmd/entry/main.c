/* bilberry-entry - HTTP proxy that forwards clients' requests to agents.  */

#include "entry.h"

enum
{
  BODY_MAX_BYTES = 16 * 1024 * 1024,
  READ_TIMEOUT_MS = 10000,
  WRITE_TIMEOUT_MS = 20000
};

static bool
start (struct bb_daemon *d, const char **operator_address)
{
  struct entry *e = d->user;
  const struct bb_entry_settings *s = bb_settings_entry (d->settings, d->name);
  struct bb_http_options o = { .body_max_bytes = BODY_MAX_BYTES,
                               .read_timeout_ms = READ_TIMEOUT_MS,
                               .write_timeout_ms = WRITE_TIMEOUT_MS,
                               .on_error = problem_for_status };
  struct sockaddr_storage addr;
  int error = 0;

  if (!s || !bb_address_parse (s->address, &addr))
    {
      bb_log (BB_LOG_ERROR, "entry",
              "The settings have no entry '%s' with a valid address.",
              d->name);
      return false;
    }
  e->daemon = d;
  e->rand = g_rand_new_with_seed ((guint32)d->incarnation);
  bb_retry_budget_init (&e->retry_budget, entry_now ());
  e->poison = bb_poison_new ();
  watch_start (e);
  measure_init ();
  links_update (e);
  e->server
      = bb_http_server_open (d->loop, &addr, &o, request_begin, e, &error);
  if (!e->server)
    bb_log (BB_LOG_ERROR, "entry", "Cannot listen on %s: %s.", s->address,
            uv_strerror (error));
  *operator_address = s->operator;
  return e->server != NULL;
}

static void
on_settings (struct bb_daemon *d, const struct bb_settings *old)
{
  (void)old;
  links_update (d->user);
}

static void
on_drain (struct bb_daemon *d)
{
  struct entry *e = d->user;

  bb_http_server_drain (e->server);
}

static uint32_t
in_flight (struct bb_daemon *d)
{
  return ((struct entry *)d->user)->open_responses;
}

static void
status (struct bb_daemon *d, json_t *out)
{
  const struct entry *e = d->user;
  json_t *upstreams = json_array ();

  for (const struct link *l = e->links; l; l = l->next)
    json_array_append_new (
        upstreams,
        json_pack ("{s:s, s:s, s:s, s:b, s:b, s:b, s:b, s:i, s:i, s:i}",
                   "name", l->name, "pool", l->pool_name, "failure_domain",
                   l->failure_domain, "in", l->enabled, "connected", l->ready,
                   "ejected", l->health.state != BB_HEALTH_ACTIVE, "cold",
                   l->load.cold, "limit", (int)l->load.limit,
                   "reported_in_flight", (int)l->load.in_flight,
                   "own_in_flight", (int)l->in_flight));
  json_object_set_new (
      out, "quarantined",
      json_integer (bb_poison_quarantined (e->poison, entry_now ())));
  json_object_set_new (out, "upstreams", upstreams);
}

int
main (int argc, char **argv)
{
  static const struct bb_daemon_ops ops = { .program = "bilberry-entry",
                                            .part = "entry",
                                            .start = start,
                                            .on_settings = on_settings,
                                            .on_drain = on_drain,
                                            .in_flight = in_flight,
                                            .status = status };
  static struct entry entry;

  return bb_daemon_main (argc, argv, &ops, &entry);
}
