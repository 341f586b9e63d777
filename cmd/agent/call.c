#include "agent.h"

#include <stdlib.h>

static void
send_refusal (struct peer *p, uint64_t id, const struct bb_verdict *v)
{
  struct bb_refusal m = { .id = id,
                          .run = v->run,
                          .reason = v->reason,
                          .retry_after_ms = v->retry_after_ms,
                          .load = agent_load (p->agent) };

  bb_count_refusal (v->reason);
  bb_put_refusal (bb_conn_out (p->conn), &m);
}

static void
on_timer_closed (uv_handle_t *h)
{
  free (h->data);
}

/* Ends a call on this side; its answer has been sent or nobody waits.  */
static void
call_end (struct call *c, bool well)
{
  struct agent *a = c->agent;

  if (c->peer)
    HASH_DEL (c->peer->calls, c);
  bb_admit_end (&a->admit, well);
  uv_close ((uv_handle_t *)&c->deadline, on_timer_closed);
}

static void
on_head (struct bb_http_call *h, uint16_t status,
         const struct bb_header *headers, uint32_t headers_count)
{
  struct call *c = bb_http_call_user (h);
  struct bb_head m = { .id = c->id, .status = status };

  if (!c->peer)
    return;
  for (uint32_t i = 0; i < headers_count; i++)
    if (!bb_header_is_hop (headers[i].name))
      m.headers[m.headers_count++] = headers[i];
  bb_put_head (bb_conn_out (c->peer->conn), &m);
}

static void
on_data (struct bb_http_call *h, struct bb_bytes piece)
{
  struct call *c = bb_http_call_user (h);
  struct bb_data m = { .id = c->id, .body = piece };

  if (c->peer)
    bb_put_data (bb_conn_out (c->peer->conn), &m);
}

static void
on_end (struct bb_http_call *h, const char *error, enum bb_run run)
{
  struct call *c = bb_http_call_user (h);
  struct bb_verdict v = { .run = (uint8_t)run };
  struct bb_end m = { .id = c->id };
  struct peer *p = c->peer;
  struct agent *a = c->agent;

  if (error)
    {
      v.reason = run == BB_RUN_NOT_RUN ? BB_REASON_UPSTREAM_REFUSED
                                       : BB_REASON_UPSTREAM_FAILED;
      bb_log (BB_LOG_WARN, "agent", "The upstream failed: %s.", error);
      bb_admit_restarted (&a->admit);
    }
  call_end (c, !error);
  if (!p)
    return;
  m.load = agent_load (a);
  if (error)
    send_refusal (p, m.id, &v);
  else
    bb_put_end (bb_conn_out (p->conn), &m);
}

static const struct bb_http_call_ops http_ops
    = { .on_head = on_head, .on_data = on_data, .on_end = on_end };

static void
on_deadline (uv_timer_t *t)
{
  struct call *c = t->data;
  struct bb_verdict v
      = { .run = BB_RUN_MAYBE_RUN, .reason = BB_REASON_DEADLINE };

  bb_http_call_cancel (c->http);
  if (c->peer)
    send_refusal (c->peer, c->id, &v);
  call_end (c, false);
}

/* Whether the call may start now.  */
static bool
admit (struct agent *a, const struct bb_call *m, struct bb_verdict *v)
{
  enum
  {
    RETRY_AFTER_MS = 1000
  };

  v->run = BB_RUN_NOT_RUN;
  v->retry_after_ms = RETRY_AFTER_MS;
  if (m->agent_incarnation != a->daemon->incarnation)
    v->reason = BB_REASON_STALE_INCARNATION;
  else if (a->daemon->draining || a->out)
    v->reason = BB_REASON_DRAINING;
  else
    return bb_admit_start (&a->admit, v);
  return false;
}

void
call_start (struct peer *p, const struct bb_call *m)
{
  struct agent *a = p->agent;
  struct bb_verdict v = { 0 };
  struct call *c;

  if (!admit (a, m, &v))
    {
      send_refusal (p, m->id, &v);
      return;
    }
  c = calloc (1, sizeof *c);
  c->id = m->id;
  c->peer = p;
  c->agent = a;
  c->idempotent = m->idempotent;
  HASH_ADD (hh, p->calls, id, sizeof c->id, c);
  uv_timer_init (a->daemon->loop, &c->deadline);
  c->deadline.data = c;
  uv_timer_start (&c->deadline, on_deadline, m->deadline_ms, 0);
  c->http = bb_http_client_send (a->client, m->method, m->path, m->headers,
                                 m->headers_count, m->body, &http_ops, c);
}

void
call_cancel (struct peer *p, uint64_t id)
{
  struct call *c;

  HASH_FIND (hh, p->calls, &id, sizeof id, c);
  if (!c || !c->idempotent)
    return;
  bb_http_call_cancel (c->http);
  call_end (c, false);
}

void
call_orphan_all (struct peer *p)
{
  struct call *c;
  struct call *next;

  HASH_ITER (hh, p->calls, c, next)
  {
    if (c->idempotent)
      {
        bb_http_call_cancel (c->http);
        call_end (c, false);
        continue;
      }
    HASH_DEL (p->calls, c);
    c->peer = NULL;
  }
}
