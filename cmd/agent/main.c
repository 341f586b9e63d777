/* bilberry-agent - the gate before one upstream.  */

#include "agent.h"
#include "rank.h"

enum
{
  HEARTBEAT_MS = 500,             /* to entries with calls here */
  IDLE_HEARTBEAT_COUNT = 5,       /* other entries hear each of so many */
  UPSTREAM_IO_TIMEOUT_MS = 600000 /* the deadline of a call comes first */
};

static uv_timer_t heartbeat;
static uint32_t heartbeat_count;

struct bb_load
agent_load (const struct agent *a)
{
  struct bb_load l = { .in_flight = a->admit.in_flight,
                       .limit = a->admit.limit,
                       .cold = a->admit.limit < a->admit.limits.limit,
                       .draining = a->daemon->draining || a->out };

  return l;
}

static void
on_heartbeat (uv_timer_t *t)
{
  heartbeat_count++;
  peer_send_heartbeats (t->data, heartbeat_count % IDLE_HEARTBEAT_COUNT == 0);
}

static struct bb_admit_limits
limits_of (const struct bb_upstream_settings *u)
{
  struct bb_admit_limits l
      = { .limit = u->limit, .cold_limit = u->cold_limit };

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
  a->out = !bb_settings_upstream_in (d->settings, u);
  limits = limits_of (u);
  bb_admit_init (&a->admit, &limits);
  a->client = bb_http_client_new (d->loop, &addr, u->address,
                                  UPSTREAM_IO_TIMEOUT_MS);
  uv_timer_init (d->loop, &heartbeat);
  heartbeat.data = a;
  uv_timer_start (&heartbeat, on_heartbeat, HEARTBEAT_MS, HEARTBEAT_MS);
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

  (void)old;
  a->out = !u || !bb_settings_upstream_in (d->settings, u);
  if (u)
    {
      limits = limits_of (u);
      bb_admit_set_limits (&a->admit, &limits);
    }
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
  uint32_t count = a->admit.in_flight;

  for (const struct peer *p = a->peers; p; p = p->next)
    if (bb_conn_backlog_bytes (p->conn) > 0)
      count++;
  return count;
}

static void
status (struct bb_daemon *d, json_t *out)
{
  const struct agent *a = d->user;

  json_object_set_new (out, "limit", json_integer (a->admit.limit));
  json_object_set_new (out, "out", json_boolean (a->out));
  if (a->rank)
    rank_status (a->rank, out);
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
