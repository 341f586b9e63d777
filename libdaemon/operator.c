/* The operator listener: health, readiness, metrics and status over HTTP.  */

#include "internal.h"

#include <stdlib.h>
#include <string.h>

static void
respond_text (struct bb_http_request *r, uint16_t status,
              const char *content_type, const char *text)
{
  struct bb_header h = { .name = bb_bytes_of ("content-type"),
                         .value = bb_bytes_of (content_type) };

  bb_http_respond (r, status, &h, 1, bb_bytes_of (text));
}

void
bb_http_respond_json (struct bb_http_request *r, uint16_t status,
                      const char *content_type, json_t *json)
{
  char *text = json_dumps (json, JSON_INDENT (2) | JSON_PRESERVE_ORDER);

  respond_text (r, status, content_type, text ? text : "{}");
  free (text);
  json_decref (json);
}

static json_t *
failure_domains_to_json (const struct bb_settings *s)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < s->failure_domains_count; i++)
    {
      const struct bb_failure_domain_settings *d = &s->failure_domains[i];
      bool in = d->state == BB_FAILURE_DOMAIN_STATE_IN;
      json_array_append_new (list, json_pack ("{s:s, s:s}", "name", d->name,
                                              "state", in ? "in" : "out"));
    }
  return list;
}

static void
respond_status (struct bb_daemon *d, struct bb_http_request *r)
{
  json_t *out = json_object ();

  json_object_set_new (out, "program", json_string (d->ops->program));
  json_object_set_new (out, "name", json_string (d->name));
  json_object_set_new (
      out, "incarnation",
      json_sprintf ("%016llx", (unsigned long long)d->incarnation));
  json_object_set_new (out, "draining", json_boolean (d->draining));
  json_object_set_new (out, "revision",
                       json_integer ((json_int_t)d->revision));
  json_object_set_new (out, "in_force_unix_ms",
                       json_integer (d->in_force_unix_ms));
  json_object_set_new (out, "settings_schema",
                       json_integer (BB_SCHEMA_VERSION));
  json_object_set_new (out, "settings_source",
                       json_string (config_source_name ()));
  json_object_set_new (
      out, "settings_hash",
      json_sprintf ("%016llx", (unsigned long long)d->settings_hash));
  json_object_set_new (out, "settings_rejected",
                       json_integer ((json_int_t)d->rejected_count));
  if (*d->rejected_reason)
    json_object_set_new (out, "settings_fault",
                         json_string (d->rejected_reason));
  json_object_set_new (out, "in_flight", json_integer (d->ops->in_flight (d)));
  gossip_add_status (d, out);
  json_object_set_new (out, "failure_domains",
                       failure_domains_to_json (d->settings));
  d->ops->status (d, out);
  bb_http_respond_json (r, 200, "application/json", out);
}

static void
on_request (struct bb_http_request *r, void *arg)
{
  struct bb_daemon *d = arg;
  char *metrics;

  if (!bb_bytes_equal (r->method, "GET"))
    respond_text (r, 405, "text/plain", "use GET\n");
  else if (bb_bytes_equal (r->path, "/healthz"))
    respond_text (r, 200, "text/plain", "ok\n");
  else if (bb_bytes_equal (r->path, "/readyz"))
    respond_text (r, d->draining ? 503 : 200, "text/plain",
                  d->draining ? "draining\n" : "ready\n");
  else if (bb_bytes_equal (r->path, "/metrics"))
    {
      metrics = bb_metrics_format ();
      respond_text (r, 200, "text/plain; version=0.0.4", metrics);
      free (metrics);
    }
  else if (bb_bytes_equal (r->path, "/status"))
    respond_status (d, r);
  else
    respond_text (r, 404, "text/plain",
                  "known paths: /healthz /readyz /metrics /status\n");
}

bool
operator_open (struct bb_daemon *d, const char *address)
{
  struct bb_http_options o
      = { .body_max_bytes = 1024, .read_timeout_ms = 10000 };
  struct sockaddr_storage addr;
  int error = 0;

  if (!bb_address_parse (address, &addr))
    return false;
  if (bb_http_server_open (d->loop, &addr, &o, on_request, d, &error))
    return true;
  bb_log (BB_LOG_ERROR, d->ops->part, "Cannot listen on %s: %s.", address,
          uv_strerror (error));
  return false;
}
