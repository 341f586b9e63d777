/* Calls that may run: they are queued for admission, sent to the upstream, and
   answered or refused.  */

#include "agent.h"

#include <assert.h>
#include <stdlib.h>
#include <utlist.h>

void
call_send_refusal (struct peer *p, uint64_t id,
                   const struct bb_request_result *v)
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
  struct call *c = h->data;

  outcome_free (&c->outcome);
  free (c->request_data);
  free (c);
}

void
call_detach_peer (struct call *c)
{
  if (c->peer)
    HASH_DEL (c->peer->calls, c);
  c->peer = NULL;
}

void
call_free (struct call *c)
{
  struct agent *a = c->agent;

  call_detach_peer (c);
  if (c->keyed)
    HASH_DELETE (hh_once, a->keyed_calls, c);
  if (c->state == CALL_READY)
    LL_DELETE2 (a->ready_calls, c, ready_next);
  if (c->state == CALL_QUEUED)
    {
      HASH_DELETE (hh_queued, a->queued_calls, c);
      bb_admit_cancel (a->admit, c->queue_id);
    }
  uv_close ((uv_handle_t *)&c->deadline_timer, on_timer_closed);
}

void
call_refuse (struct call *c, const struct bb_request_result *v)
{
  if (c->peer)
    call_send_refusal (c->peer, c->id, v);
}

void
call_complete_once (struct call *c, bool whole, enum bb_run run)
{
  struct bb_once_note n = { 0 };

  if (!c->keyed)
    return;
  if (whole)
    {
      n.customer = c->request.customer;
      n.key = c->request.key;
      outcome_fill_note (&c->outcome, &n);
    }
  bb_once_complete (c->agent->once, c->once_id, whole ? &n : NULL, run,
                    bb_clock_now ());
}

/* Returns whether all headers are within the limits of the wire protocol.  An
   entry closes the connection on a larger one, which would fail all calls on
   it.  */
static bool
headers_fit (const struct bb_header *headers, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (headers[i].name.size > BB_HEADER_NAME_MAX_BYTES
        || headers[i].value.size > BB_HEADER_VALUE_MAX_BYTES)
      return false;
  return true;
}

static void
on_head (struct bb_http_call *h, uint16_t status,
         const struct bb_header *headers, uint32_t headers_count)
{
  struct call *c = bb_http_call_user (h);
  struct bb_head m = { .id = c->id, .status = status };

  c->agent->responded_since_crash = true;
  if (bb_headers_are_of_events (headers, headers_count))
    bb_http_call_limit_body (h, BB_HTTP_BODY_ANY);
#ifndef BB_MUTANT_headers_fit
  c->headers_too_large = !headers_fit (headers, headers_count);
#endif
  if (c->headers_too_large)
    return;
  if (c->keyed)
    outcome_set_head (&c->outcome, status, headers, headers_count);
  if (!c->peer)
    return;
  for (uint32_t i = 0; i < headers_count; i++)
    if (!bb_header_is_hop_by_hop (headers[i].name))
      m.headers[m.headers_count++] = headers[i];
  bb_put_head (bb_conn_out (c->peer->conn), &m);
}

static void
on_data (struct bb_http_call *h, struct bb_bytes piece)
{
  struct call *c = bb_http_call_user (h);
  struct bb_data m = { .id = c->id, .body = piece };

  if (c->headers_too_large)
    return;
  if (c->keyed)
    outcome_append_body (&c->outcome, piece);
  if (c->peer)
    bb_put_data (bb_conn_out (c->peer->conn), &m);
}

/* Ends a call whose response headers are too large to forward.  */
static void
fail_headers_too_large (struct call *c)
{
  struct agent *a = c->agent;
  struct bb_request_result v
      = { .run = BB_RUN_RAN, .reason = BB_REASON_UPSTREAM_FAILED };

  bb_log (BB_LOG_WARN, "agent",
          "The response headers of the upstream are too large.");
  bb_admit_end (a->admit, true, bb_clock_now () - c->started_ms);
  call_complete_once (c, false, BB_RUN_RAN);
  call_refuse (c, &v);
  call_free (c);
  call_run_ready (a);
}

static void
on_end (struct bb_http_call *h, const char *error, enum bb_run run)
{
  struct call *c = bb_http_call_user (h);
  struct bb_request_result v = { .run = (uint8_t)run };
  struct bb_end m = { .id = c->id };
  struct agent *a = c->agent;

  if (c->headers_too_large && !error)
    {
      fail_headers_too_large (c);
      return;
    }
  if (error)
    {
      v.reason = run == BB_RUN_NOT_RUN || c->sent_to_dying
                     ? BB_REASON_UPSTREAM_REFUSED
                     : BB_REASON_UPSTREAM_FAILED;
      v.retry_after_ms = RETRY_AFTER_MS;
      bb_log (BB_LOG_WARN, "agent",
              "The upstream failed: %s, request %016llx%s.", error,
              (unsigned long long)c->request.fingerprint,
              c->sent_to_dying ? ", sent after a crash"
              : c->prior_crash ? ", suspect"
                               : "");
      bb_admit_upstream_restarted (a->admit);
      if (run != BB_RUN_NOT_RUN)
        suspect_record_crash (c);
    }
  else
    suspect_answered (c);
  bb_admit_end (a->admit, !error, bb_clock_now () - c->started_ms);
  call_complete_once (c, !error, run);
  if (error)
    call_refuse (c, &v);
  else if (c->peer)
    {
      m.load = agent_load (a);
      bb_put_end (bb_conn_out (c->peer->conn), &m);
    }
  call_free (c);
  call_run_ready (a);
}

static const struct bb_http_call_ops http_ops
    = { .on_head = on_head, .on_data = on_data, .on_end = on_end };

void
call_refuse_not_run (struct call *c, const struct bb_request_result *v)
{
  call_complete_once (c, false, BB_RUN_NOT_RUN);
  call_refuse (c, v);
  call_free (c);
}

void
call_on_deadline (uv_timer_t *t)
{
  struct call *c = t->data;
  struct agent *a = c->agent;
  struct bb_request_result v
      = { .run = BB_RUN_MAYBE_RUN, .reason = BB_REASON_DEADLINE };

  if (c->state == CALL_AWAITING_GRANT)
    {
      bb_once_cancel (a->once, c->once_id);
      call_refuse (c, &v);
      call_free (c);
      return;
    }
  if (c->state == CALL_QUEUED)
    {
      v.run = BB_RUN_NOT_RUN;
      v.retry_after_ms = RETRY_AFTER_MS;
      call_refuse_not_run (c, &v);
      call_run_ready (a);
      return;
    }
  call_refuse (c, &v);
  if (c->idempotent)
    {
      bb_http_call_cancel (c->http);
      bb_admit_end (a->admit, false, 0);
      call_free (c);
      return;
    }
  call_detach_peer (c);
}

static void
start_http_call (struct call *c)
{
  struct agent *a = c->agent;
  const struct bb_call *m = &c->request;

  HASH_DELETE (hh_queued, a->queued_calls, c);
  c->state = CALL_RUNNING;
  c->started_ms = bb_clock_now ();
  suspect_start_call (c);
  c->http = bb_http_client_send (a->client, m->method, m->path, m->headers,
                                 m->headers_count, m->body, &http_ops, c);
}

static uint32_t
customer_weight (const struct agent *a, struct bb_bytes customer)
{
  const struct bb_customer_settings *c;
  char name[BB_CALL_CUSTOMER_MAX_BYTES + 1];

  snprintf (name, sizeof name, "%.*s", (int)customer.size, customer.ptr);
  c = bb_settings_customer_by_name (a->daemon->settings, name);
  return c ? c->weight : 1;
}

/* Returns the tokens of the call, estimated from the size of its body if the
   entry did not give them.  */
static uint32_t
estimate_tokens (const struct bb_call *m)
{
  enum
  {
    BYTES_PER_TOKEN = 4
  };

  return m->tokens > 0 ? m->tokens : 1 + m->body.size / BYTES_PER_TOKEN;
}

static bool
is_suspect (const struct call *c)
{
  return c->request.suspect
         || bb_poison_state (c->agent->poison, c->request.fingerprint,
                             bb_clock_now ())
                != BB_POISON_CLEAN;
}

/* Offers C to the admission queue and refuses the call that is evicted for it,
   if any.  Returns false with *V set if C is rejected.  */
static bool
request_admission (struct call *c, struct bb_request_result *v)
{
  struct agent *a = c->agent;
  bb_ms now = bb_clock_now ();
  struct bb_admit_request o
      = { .id = c->queue_id,
          .customer = c->request.customer,
          .weight = customer_weight (a, c->request.customer),
          .tokens = estimate_tokens (&c->request),
          .priority = c->request.priority,
          .exclusive = is_suspect (c),
          .deadline_ms = c->arrived_ms + c->request.deadline_ms };
  uint64_t evicted_id;
  struct call *evicted;

  if (!bb_admit_enqueue (a->admit, &o, now, &evicted_id, v))
    return false;
  HASH_FIND (hh_queued, a->queued_calls, &evicted_id, sizeof evicted_id,
             evicted);
  if (evicted)
    call_refuse_not_run (evicted, v);
  return true;
}

void
call_enqueue (struct call *c)
{
  struct agent *a = c->agent;
  struct bb_request_result v
      = { .run = BB_RUN_NOT_RUN, .retry_after_ms = RETRY_AFTER_MS };

#ifndef BB_MUTANT_agent_out
  if (a->daemon->draining || a->out_of_service)
    {
      v.reason = BB_REASON_DRAINING;
      call_refuse_not_run (c, &v);
      return;
    }
#endif
  c->queue_id = ++a->last_queue_id;
  if (!request_admission (c, &v))
    {
      call_refuse_not_run (c, &v);
      return;
    }
  c->state = CALL_QUEUED;
  HASH_ADD (hh_queued, a->queued_calls, queue_id, sizeof c->queue_id, c);
}

void
call_run_ready (struct agent *a)
{
  uint64_t id;
  struct call *c;

  while (a->ready_calls)
    {
      c = a->ready_calls;
      LL_DELETE2 (a->ready_calls, c, ready_next);
      /* C is no longer in a list, so that call_free must not remove it from
         one if enqueue refuses it.  */
      c->state = CALL_RUNNING;
      call_enqueue (c);
    }
  while ((id = bb_admit_next (a->admit)) != 0)
    {
      HASH_FIND (hh_queued, a->queued_calls, &id, sizeof id, c);
      assert (c);
      start_http_call (c);
    }
}

void
call_refuse_queued (struct agent *a)
{
  struct bb_request_result v = { .run = BB_RUN_NOT_RUN,
                                 .reason = BB_REASON_DRAINING,
                                 .retry_after_ms = RETRY_AFTER_MS };
  struct call *c;
  struct call *next;

  HASH_ITER (hh_queued, a->queued_calls, c, next)
  {
    call_refuse_not_run (c, &v);
  }
}
