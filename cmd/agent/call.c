/* Calls from entries: a call is accepted or refused, allowed by libonce if it
   has an idempotency key, queued for admission, sent to the upstream and
   answered.  */

#include "agent.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <utlist.h>
#include <xxhash.h>

enum
{
  RETRY_AFTER_MS = 1000
};

static void
send_refusal (struct peer *p, uint64_t id, const struct bb_request_result *v)
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

/* Makes C send nothing more to its peer.  */
static void
detach_peer (struct call *c)
{
  if (c->peer)
    HASH_DEL (c->peer->calls, c);
  c->peer = NULL;
}

/* Removes C from all tables and the queue and frees it.  */
static void
call_free (struct call *c)
{
  struct agent *a = c->agent;

  detach_peer (c);
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

static void
refuse (struct call *c, const struct bb_request_result *v)
{
  if (c->peer)
    send_refusal (c->peer, c->id, v);
}

/* Reports to libonce how a call that it allowed has ended: with the stored
   outcome if WHOLE, otherwise with RUN.  */
static void
complete_once (struct call *c, bool whole, enum bb_run run)
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
  complete_once (c, false, BB_RUN_RAN);
  refuse (c, &v);
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
  complete_once (c, !error, run);
  if (error)
    refuse (c, &v);
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

/* Refuses and frees a call that has not been sent to the upstream.  */
static void
refuse_not_run (struct call *c, const struct bb_request_result *v)
{
  complete_once (c, false, BB_RUN_NOT_RUN);
  refuse (c, v);
  call_free (c);
}

/* Refuses a call whose deadline has passed.  A non-idempotent call that is
   running is not cancelled, so that repeats of its key get its outcome.  */
static void
on_deadline (uv_timer_t *t)
{
  struct call *c = t->data;
  struct agent *a = c->agent;
  struct bb_request_result v
      = { .run = BB_RUN_MAYBE_RUN, .reason = BB_REASON_DEADLINE };

  if (c->state == CALL_AWAITING_GRANT)
    {
      bb_once_cancel (a->once, c->once_id);
      refuse (c, &v);
      call_free (c);
      return;
    }
  if (c->state == CALL_QUEUED)
    {
      v.run = BB_RUN_NOT_RUN;
      v.retry_after_ms = RETRY_AFTER_MS;
      refuse_not_run (c, &v);
      call_run_ready (a);
      return;
    }
  refuse (c, &v);
  if (c->idempotent)
    {
      bb_http_call_cancel (c->http);
      bb_admit_end (a->admit, false, 0);
      call_free (c);
      return;
    }
  detach_peer (c);
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
    refuse_not_run (evicted, v);
  return true;
}

/* Queues a call that may run, or refuses and frees it.  */
static void
enqueue (struct call *c)
{
  struct agent *a = c->agent;
  struct bb_request_result v
      = { .run = BB_RUN_NOT_RUN, .retry_after_ms = RETRY_AFTER_MS };

#ifndef BB_MUTANT_agent_out
  if (a->daemon->draining || a->out_of_service)
    {
      v.reason = BB_REASON_DRAINING;
      refuse_not_run (c, &v);
      return;
    }
#endif
  c->queue_id = ++a->last_queue_id;
  if (!request_admission (c, &v))
    {
      refuse_not_run (c, &v);
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
      enqueue (c);
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

  HASH_ITER (hh_queued, a->queued_calls, c, next) { refuse_not_run (c, &v); }
}

static struct call *
find_keyed (struct agent *a, uint64_t once_id)
{
  struct call *c;

  HASH_FIND (hh_once, a->keyed_calls, &once_id, sizeof once_id, c);
  return c;
}

static void
once_run (void *user, uint64_t once_id)
{
  struct agent *a = user;
  struct call *c = find_keyed (a, once_id);

  c->state = CALL_READY;
  LL_APPEND2 (a->ready_calls, c, ready_next);
}

static void
once_answer (void *user, uint64_t once_id, const struct bb_once_note *n)
{
  struct agent *a = user;
  struct call *c = find_keyed (a, once_id);
  struct bb_head head = { .id = c->id,
                          .status = n->status,
                          .headers_count = n->headers_count };
  struct bb_data data = { .id = c->id, .body = n->body };
  struct bb_end end = { .id = c->id };

  bb_counter ("bilberry_once_replays_total", "")->value++;
  if (c->peer)
    {
      memcpy (head.headers, n->headers, sizeof head.headers);
      bb_put_head (bb_conn_out (c->peer->conn), &head);
      bb_put_data (bb_conn_out (c->peer->conn), &data);
      end.load = agent_load (a);
      bb_put_end (bb_conn_out (c->peer->conn), &end);
    }
  call_free (c);
}

static void
once_refuse (void *user, uint64_t once_id, const struct bb_request_result *v)
{
  struct call *c = find_keyed (user, once_id);

  refuse (c, v);
  call_free (c);
}

const struct bb_once_ops call_once_ops = { .send = agent_link_send,
                                           .run = once_run,
                                           .answer = once_answer,
                                           .refuse = once_refuse };

static struct bb_bytes
copy_bytes (char **at, struct bb_bytes b)
{
  struct bb_bytes to = { .ptr = *at, .size = b.size };

  if (b.size > 0)
    memcpy (*at, b.ptr, b.size);
  *at += b.size;
  return to;
}

/* Copies M into C with all bytes it points to, which are valid only while the
   message is handled.  */
static void
copy_request (struct call *c, const struct bb_call *m)
{
  size_t size = m->customer.size + m->method.size + m->path.size + m->body.size
                + m->key.size + 1;
  struct bb_call *r = &c->request;
  char *at;

  for (uint32_t i = 0; i < m->headers_count; i++)
    size += m->headers[i].name.size + m->headers[i].value.size;
  c->request_data = malloc (size);
  if (!c->request_data)
    abort ();
  at = c->request_data;
  *r = *m;
  r->customer = copy_bytes (&at, m->customer);
  r->method = copy_bytes (&at, m->method);
  r->path = copy_bytes (&at, m->path);
  r->body = copy_bytes (&at, m->body);
  r->key = copy_bytes (&at, m->key);
  for (uint32_t i = 0; i < m->headers_count; i++)
    {
      r->headers[i].name = copy_bytes (&at, m->headers[i].name);
      r->headers[i].value = copy_bytes (&at, m->headers[i].value);
    }
}

static uint64_t
hash_request (const struct bb_call *m)
{
  uint64_t h = XXH64 (m->method.ptr, m->method.size, 0);

  h = XXH64 (m->path.ptr, m->path.size, h);
  return XXH64 (m->body.ptr, m->body.size, h);
}

/* Returns the age of KEY from its timestamp, at least 1; 0 if it has none or
   if the timestamp is further in the future than the permitted clock skew.  */
static bb_ms
key_age_ms (const struct agent *a, struct bb_bytes key)
{
  int64_t timestamp_ms = bb_once_key_timestamp_ms (key);
  struct timeval t;
  int64_t age_ms;

  if (timestamp_ms == 0)
    return 0;
  gettimeofday (&t, NULL);
  age_ms = (int64_t)t.tv_sec * 1000 + t.tv_usec / 1000 - timestamp_ms;
  if (age_ms < -a->skew_ms)
    return 0;
  return age_ms > 0 ? age_ms : 1;
}

static struct call *
call_new (struct peer *p, const struct bb_call *m)
{
  struct call *c = calloc (1, sizeof *c);

  c->id = m->id;
  c->peer = p;
  c->agent = p->agent;
  c->idempotent = m->idempotent;
  c->arrived_ms = bb_clock_now ();
  copy_request (c, m);
  HASH_ADD (hh, p->calls, id, sizeof c->id, c);
  uv_timer_init (p->agent->daemon->loop, &c->deadline_timer);
  c->deadline_timer.data = c;
  uv_timer_start (&c->deadline_timer, on_deadline, m->deadline_ms, 0);
  return c;
}

static void
start_keyed (struct call *c, bb_ms now)
{
  struct agent *a = c->agent;
  const struct bb_call *m = &c->request;
  struct bb_once_call once = { .customer = m->customer,
                               .key = m->key,
                               .request_hash = hash_request (m),
                               .age_ms = key_age_ms (a, m->key),
                               .deadline = now + m->deadline_ms };

  c->keyed = true;
  c->once_id = ++a->last_once_id;
  once.id = c->once_id;
  HASH_ADD (hh_once, a->keyed_calls, once_id, sizeof c->once_id, c);
  bb_once_begin (a->once, &once, now);
  call_run_ready (a);
}

static bool
is_keyed (const struct bb_call *m)
{
  return !m->idempotent && !m->minted && m->key.size > 0;
}

/* Returns whether the call M is accepted; otherwise sets *V.  PAUSED_MS is for
   how long this process has just been paused, which counts towards the
   deadline of M.  While the agent is draining or out of service, only repeats
   of known keys are accepted, which are answered without running again.  */
static bool
may_accept (struct agent *a, const struct bb_call *m, bb_ms paused_ms,
            struct bb_request_result *v)
{
  v->run = BB_RUN_NOT_RUN;
  v->retry_after_ms = RETRY_AFTER_MS;
#ifndef BB_MUTANT_agent_stale
  if (m->agent_incarnation != a->daemon->incarnation)
    {
      v->reason = BB_REASON_STALE_INCARNATION;
      return false;
    }
#endif
  /* No customer of the settings has such a name.  */
  if (m->customer.size > 0 && memchr (m->customer.ptr, '\0', m->customer.size))
    v->reason = BB_REASON_BAD_REQUEST;
  else if (m->deadline_ms <= (uint64_t)paused_ms)
    v->reason = BB_REASON_DEADLINE;
  else if (bb_poison_state (a->poison, m->fingerprint, bb_clock_now ())
           == BB_POISON_QUARANTINED)
    {
      v->reason = BB_REASON_QUARANTINED;
      v->retry_after_ms = (uint32_t)bb_poison_remaining_ms (
          a->poison, m->fingerprint, bb_clock_now ());
    }
#ifndef BB_MUTANT_agent_out
  else if ((a->daemon->draining || a->out_of_service)
           && !(is_keyed (m)
                && bb_once_has_record (a->once, m->customer, m->key)))
    v->reason = BB_REASON_DRAINING;
#endif
  else
    return true;
  return false;
}

void
call_start (struct peer *p, const struct bb_call *m)
{
  struct agent *a = p->agent;
  struct bb_request_result v = { 0 };
  struct call *c;
  bb_ms paused;
  bb_ms now = agent_now (a, &paused);

  if (!may_accept (a, m, paused, &v))
    {
      send_refusal (p, m->id, &v);
      return;
    }
  HASH_FIND (hh, p->calls, &m->id, sizeof m->id, c);
  if (c)
    return;
  c = call_new (p, m);
  if (is_keyed (m))
    start_keyed (c, now);
  else
    {
      enqueue (c);
      call_run_ready (a);
    }
}

/* Cancels a call whose entry no longer waits for it.  A non-idempotent call
   that is running, or that libonce has just allowed to run, continues, so that
   its outcome is stored.  */
static void
cancel_call (struct call *c)
{
  struct agent *a = c->agent;

  if (c->state == CALL_AWAITING_GRANT && c->keyed)
    bb_once_cancel (a->once, c->once_id);
  else if (c->state == CALL_QUEUED)
    complete_once (c, false, BB_RUN_NOT_RUN);
  else if (c->idempotent)
    {
      bb_http_call_cancel (c->http);
      bb_admit_end (a->admit, false, 0);
    }
  else
    {
      detach_peer (c);
      return;
    }
  call_free (c);
}

void
call_cancel (struct peer *p, uint64_t id)
{
  struct call *c;

  HASH_FIND (hh, p->calls, &id, sizeof id, c);
  if (c)
    cancel_call (c);
  call_run_ready (p->agent);
}

void
call_cancel_all (struct peer *p)
{
  struct call *c;
  struct call *next;

  HASH_ITER (hh, p->calls, c, next) { cancel_call (c); }
  call_run_ready (p->agent);
}

uint32_t
call_count_keyed (const struct agent *a)
{
  return HASH_CNT (hh_once, a->keyed_calls);
}
