/* Polls the upstream's metrics for its start time, so that a restart is
   detected before a request is sent to the restarted upstream.  */

#include "agent.h"

#include <stdlib.h>
#include <string.h>

enum
{
  PROBE_INTERVAL_MS = 200,
  RESPONSE_MAX_BYTES = 1024 * 1024,
  VALUE_MAX_BYTES = 63
};

struct probe
{
  struct agent *agent;
  uv_timer_t timer;
  bool running;
  char *response;
  size_t size;
  char start_value[VALUE_MAX_BYTES + 1]; /* value of the start metric as last
                                            read; empty: none yet */
};

static struct probe probe;

static void
on_head (struct bb_http_call *c, uint16_t status,
         const struct bb_header *headers, uint32_t headers_count)
{
  const struct probe *p = bb_http_call_user (c);

  (void)status;
  (void)headers;
  (void)headers_count;
  p->agent->responded_since_crash = true;
  bb_http_call_limit_body (c, RESPONSE_MAX_BYTES);
}

static void
on_data (struct bb_http_call *c, struct bb_bytes piece)
{
  struct probe *p = bb_http_call_user (c);

  p->response = realloc (p->response, p->size + piece.size + 1);
  if (!p->response)
    abort ();
  memcpy (p->response + p->size, piece.ptr, piece.size);
  p->size += piece.size;
  p->response[p->size] = '\0';
}

/* Stores the value of the start metric.  Each new value, also the first one,
   counts as a start of the upstream and resets admission to the cold limit. */
static void
update_start_value (struct probe *p, const char *value)
{
  size_t size = strcspn (value, " \n");

  if (size > VALUE_MAX_BYTES)
    size = VALUE_MAX_BYTES;
  if (strlen (p->start_value) == size
      && strncmp (p->start_value, value, size) == 0)
    return;
#ifndef BB_MUTANT_agent_probe
  bb_admit_upstream_restarted (p->agent->admit);
#endif
  bb_counter ("bilberry_upstream_starts_total", "")->value++;
  bb_log (BB_LOG_INFO, "agent", "Detected a start of the upstream.");
  memcpy (p->start_value, value, size);
  p->start_value[size] = '\0';
}

static void
on_end (struct bb_http_call *c, const char *error, enum bb_run run)
{
  struct probe *p = bb_http_call_user (c);
  const struct bb_daemon *d = p->agent->daemon;
  const struct bb_upstream_settings *u
      = bb_settings_upstream (d->settings, d->name);
  const char *value = NULL;

  p->running = false;
  if (!error && p->response && u)
    value = bb_metric_find (p->response, u->probe_start);
  if (value)
    update_start_value (p, value);
  else if (error && run == BB_RUN_NOT_RUN)
    bb_admit_upstream_restarted (p->agent->admit);
  free (p->response);
  p->response = NULL;
  p->size = 0;
}

static const struct bb_http_call_ops probe_ops
    = { .on_head = on_head, .on_data = on_data, .on_end = on_end };

static void
on_probe_timer (uv_timer_t *t)
{
  struct probe *p = t->data;
  const struct bb_daemon *d = p->agent->daemon;
  const struct bb_upstream_settings *u
      = bb_settings_upstream (d->settings, d->name);

  if (p->running || !u || !u->probe || !*u->probe)
    return;
  p->running = true;
  bb_http_client_send (p->agent->client, bb_bytes_of ("GET"),
                       bb_bytes_of (u->probe), NULL, 0, bb_bytes_of (NULL),
                       &probe_ops, p);
}

void
probe_start (struct agent *a)
{
  probe.agent = a;
  uv_timer_init (a->daemon->loop, &probe.timer);
  probe.timer.data = &probe;
  uv_timer_start (&probe.timer, on_probe_timer, 0, PROBE_INTERVAL_MS);
}
