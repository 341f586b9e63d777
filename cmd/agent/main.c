/* bilberry-agent - queues and admits the requests for one upstream.  */

#include "agent.h"
#include "rank.h"

#include <string.h>

enum
{
  CANDIDATES = BB_ONCE_CANDIDATES,
  GRANT_TIMEOUT_MS = 500,
  PAUSE_MIN_MS = 2000, /* gap between ticks that counts as a pause */
  /* Time between heartbeats to peers with calls in progress.  */
  HEARTBEAT_MS = 500,
  IDLE_HEARTBEAT_EVERY = 5, /* every Nth heartbeat goes to all peers */
  /* Long, so that a call's deadline usually comes first.  */
  UPSTREAM_IO_TIMEOUT_MS = 600000
};

static uv_timer_t heartbeat;
static uint32_t heartbeat_count;

struct bb_load
agent_load (const struct agent *a)
{
  struct bb_admit_stats s = bb_admit_stats (a->admit);
  struct bb_load l = { .in_flight = s.in_flight,
                       .queued = s.queued,
                       .limit = s.limit,
                       .cold = s.cold,
                       .draining = a->daemon->draining || a->out_of_service,
                       .wait_ms = s.wait_ms };

  return l;
}

static void
on_heartbeat (uv_timer_t *t)
{
  heartbeat_count++;
  peer_send_heartbeats (t->data, heartbeat_count % IDLE_HEARTBEAT_EVERY == 0);
}

bb_ms
agent_now (struct agent *a, bb_ms *paused_ms)
{
  bb_ms now = bb_clock_now ();
  bb_ms gap = now - a->last_tick_ms;

  *paused_ms = 0;
  if (gap < PAUSE_MIN_MS)
    return now;
  a->last_tick_ms = now;
  *paused_ms = gap;
  bb_counter ("bilberry_pauses_total", "")->value++;
  bb_log (BB_LOG_WARN, "agent", "The process was paused for %lld ms.",
          (long long)gap);
  bb_daemon_reload_settings (a->daemon);
  return now;
}

static void
on_tick (uv_timer_t *t)
{
  struct agent *a = t->data;
  bb_ms paused;
  bb_ms now = agent_now (a, &paused);

  a->last_tick_ms = now;
  bb_once_tick (a->once, now);
  call_run_ready (a);
}

static void
set_once_limits (struct agent *a, const struct bb_upstream_settings *u)
{
  struct bb_once_limits l = { .candidates = CANDIDATES,
                              .keys_max = u->keys_max,
                              .bytes_max = u->keys_max_bytes,
                              .retention_ms = u->key_retention_ms,
                              .skew_ms = u->key_skew_ms,
                              .grant_timeout_ms = GRANT_TIMEOUT_MS };

  a->skew_ms = u->key_skew_ms;
  bb_once_set_limits (a->once, &l);
}

static void
start_once (struct agent *a, const struct bb_upstream_settings *u)
{
  struct bb_daemon *d = a->daemon;

  a->last_tick_ms = bb_clock_now ();
  a->once = bb_once_new (d->name, d->incarnation, &call_once_ops, a,
                         a->last_tick_ms);
  a->pool = strdup (u->pool);
  set_once_limits (a, u);
  agent_links_update (a);
  uv_timer_init (d->loop, &a->tick_timer);
  a->tick_timer.data = a;
  uv_timer_start (&a->tick_timer, on_tick, BB_ONCE_TICK_MS, BB_ONCE_TICK_MS);
}

static struct bb_admit_limits
admit_limits (const struct bb_upstream_settings *u)
{
  struct bb_admit_limits l = { .limit = u->limit,
                               .cold_limit = u->cold_limit,
                               .queue_max = u->queue };

  return l;
}

static bool
start (struct bb_daemon *d, const char **operator_address)
{
  struct agent *a = d->user;
  const struct bb_upstream_settings *u
      = bb_settings_upstream (d->settings, d->name);
  struct bb_admit_limits limits;
  struct sockaddr_storage addr;

  if (!u || !bb_address_parse (u->address, &addr))
    {
      bb_log (BB_LOG_ERROR, "agent", "The settings name no upstream '%s'.",
              d->name);
      return false;
    }
  a->daemon = d;
  a->poison = bb_poison_new ();
  a->out_of_service = !bb_settings_upstream_enabled (d->settings, u);
  limits = admit_limits (u);
  a->admit = bb_admit_new (&limits);
  a->client = bb_http_client_new (d->loop, &addr, u->address,
                                  UPSTREAM_IO_TIMEOUT_MS);
  uv_timer_init (d->loop, &heartbeat);
  heartbeat.data = a;
  uv_timer_start (&heartbeat, on_heartbeat, HEARTBEAT_MS, HEARTBEAT_MS);
  start_once (a, u);
  probe_start (a);
  *operator_address = u->operator;
  return rank_start (d, &a->rank) && peer_listen (a, u->agent);
}

static void
on_settings (struct bb_daemon *d, const struct bb_settings *old)
{
  struct agent *a = d->user;
  const struct bb_upstream_settings *u
      = bb_settings_upstream (d->settings, d->name);
  struct bb_admit_limits limits;
  bool was_out = a->out_of_service;

  (void)old;
  a->out_of_service = !u || !bb_settings_upstream_enabled (d->settings, u);
  if (a->out_of_service)
    call_refuse_queued (a);
  /* An upstream put back in service starts with the cold limit.  */
  if (was_out && !a->out_of_service)
    bb_admit_upstream_restarted (a->admit);
  if (u)
    {
      set_once_limits (a, u);
      limits = admit_limits (u);
      bb_admit_set_limits (a->admit, &limits);
    }
  agent_links_update (a);
  peer_send_heartbeats (a, true);
}

static void
on_drain (struct bb_daemon *d)
{
  struct agent *a = d->user;

  bb_listener_close (a->listener);
  peer_send_heartbeats (a, true);
}

static uint32_t
in_flight (struct bb_daemon *d)
{
  const struct agent *a = d->user;
  struct bb_admit_stats s = bb_admit_stats (a->admit);
  uint32_t count = s.in_flight + s.queued + call_count_keyed (a);

  if (agent_links_backlog_bytes (a) > 0)
    count++;
  for (const struct peer *p = a->peers; p; p = p->next)
    if (bb_conn_backlog_bytes (p->conn) > 0)
      count++;
  return count;
}

static void
status (struct bb_daemon *d, json_t *out)
{
  const struct agent *a = d->user;
  struct bb_admit_stats admit = bb_admit_stats (a->admit);
  struct bb_once_stats keys = bb_once_stats (a->once);

  json_object_set_new (out, "limit", json_integer (admit.limit));
  json_object_set_new (out, "out", json_boolean (a->out_of_service));
  if (a->rank)
    rank_status (a->rank, out);
  json_object_set_new (out, "cold", json_boolean (admit.cold));
  json_object_set_new (
      out, "quarantined",
      json_integer (bb_poison_quarantined (a->poison, bb_clock_now ())));
  json_object_set_new (out, "queued", json_integer (admit.queued));
  json_object_set_new (out, "wait_ms", json_integer (admit.wait_ms));
  json_object_set_new (
      out, "keys",
      json_pack ("{s:i, s:i, s:b, s:b, s:i, s:i}", "count", (int)keys.keys,
                 "bytes", (int)keys.bytes, "whole", (int)keys.grants_complete,
                 "settled", (int)keys.settled, "refused_full",
                 (int)keys.refused_full, "conflicts", (int)keys.conflicts));
}

int
main (int argc, char **argv)
{
  static const struct bb_daemon_ops ops = { .program = "bilberry-agent",
                                            .part = "agent",
                                            .role = BB_ROLE_AGENT,
                                            .start = start,
                                            .on_settings = on_settings,
                                            .on_drain = on_drain,
                                            .in_flight = in_flight,
                                            .status = status };
  static struct agent agent;

  return bb_daemon_main (argc, argv, &ops, &agent);
}
