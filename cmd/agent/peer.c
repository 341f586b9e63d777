/* Accepted connections, from entries and from the other agents of the pool. */

#include "agent.h"

#include <stdio.h>
#include <stdlib.h>
#include <utlist.h>

static void
on_open (struct bb_conn *c)
{
  struct agent *a = bb_conn_user (c);
  struct peer *p = calloc (1, sizeof *p);
  struct bb_hello hello = { .role = BB_ROLE_AGENT,
                            .incarnation = a->daemon->incarnation,
                            .name = bb_bytes_of (a->daemon->name),
                            .revision = a->daemon->revision,
                            .load = agent_load (a) };

  p->agent = a;
  p->conn = c;
  DL_APPEND (a->peers, p);
  bb_conn_set_user (c, p);
  bb_put_hello (bb_conn_out (c), &hello);
  suspect_send_known (p);
}

static void
send_report (struct peer *p, const struct bb_probe *probe)
{
  const struct agent *a = p->agent;
  struct bb_report m = { .nonce = probe->nonce,
                         .incarnation = a->daemon->incarnation,
                         .load = agent_load (a),
                         .revision = a->daemon->revision };

  bb_put_report (bb_conn_out (p->conn), &m);
}

static void
on_hello (struct agent *a, const struct bb_hello *m)
{
  char name[129];

  snprintf (name, sizeof name, "%.*s", (int)m->name.size, m->name.ptr);
  bb_once_on_hello (a->once, name, m->knew);
}

void
peer_on_once_message (struct agent *a, const struct bb_message *m)
{
  bb_ms paused;
  bb_ms now = agent_now (a, &paused);

  switch (m->type)
    {
    case BB_MSG_ONCE_ASK:
      bb_once_on_ask (a->once, &m->u.once_ask, now);
      break;
    case BB_MSG_ONCE_SAY:
      bb_once_on_say (a->once, &m->u.once_say, now);
      break;
    case BB_MSG_ONCE_NOTE:
      bb_once_on_note (a->once, &m->u.once_note, now);
      break;
    case BB_MSG_ONCE_RELEASE:
      bb_once_on_release (a->once, &m->u.once_release);
      break;
    case BB_MSG_ONCE_SYNC:
      bb_once_on_sync (a->once, &m->u.once_sync, now);
      break;
    case BB_MSG_ONCE_SYNCED:
      bb_once_on_synced (a->once, &m->u.once_synced, now);
      break;
    default:
      break;
    }
  call_run_ready (a);
}

static void
on_message (struct bb_conn *c, const struct bb_message *m)
{
  struct peer *p = bb_conn_user (c);

  switch (m->type)
    {
    case BB_MSG_HELLO:
      on_hello (p->agent, &m->u.hello);
      break;
    case BB_MSG_CALL:
      call_start (p, &m->u.call);
      break;
    case BB_MSG_CANCEL:
      call_cancel (p, m->u.cancel.id);
      break;
    case BB_MSG_SUSPECT:
      suspect_on_message (p->agent, &m->u.suspect);
      break;
    case BB_MSG_PROBE:
      send_report (p, &m->u.probe);
      break;
    default:
      peer_on_once_message (p->agent, m);
      break;
    }
}

static void
on_close (struct bb_conn *c, const char *why)
{
  struct peer *p = bb_conn_user (c);

  (void)why;
  call_cancel_all (p);
  DL_DELETE (p->agent->peers, p);
  free (p);
}

static const struct bb_conn_ops peer_ops
    = { .on_message = on_message, .on_open = on_open, .on_close = on_close };

bool
peer_listen (struct agent *a, const char *address)
{
  struct sockaddr_storage addr;
  int error = 0;

  if (!bb_address_parse (address, &addr))
    return false;
  a->listener
      = bb_listener_open (a->daemon->loop, &addr, &peer_ops, a, &error);
  if (!a->listener)
    bb_log (BB_LOG_ERROR, "agent", "Cannot listen on %s: %s.", address,
            uv_strerror (error));
  return a->listener != NULL;
}

void
peer_send_heartbeats (struct agent *a, bool idle_too)
{
  struct bb_heartbeat h = { .incarnation = a->daemon->incarnation,
                            .load = agent_load (a),
                            .revision = a->daemon->revision };

  for (struct peer *p = a->peers; p; p = p->next)
    if (idle_too || p->calls)
      bb_put_heartbeat (bb_conn_out (p->conn), &h);
}
