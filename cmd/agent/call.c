/* Calls from entries: a call is accepted or refused, and allowed by libonce if
   it has an idempotency key.  call_run.c does the rest.  */

#include "agent.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <utlist.h>
#include <xxhash.h>

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

  call_refuse (c, v);
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
  uv_timer_start (&c->deadline_timer, call_on_deadline, m->deadline_ms, 0);
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
      call_send_refusal (p, m->id, &v);
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
      call_enqueue (c);
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
    call_complete_once (c, false, BB_RUN_NOT_RUN);
  else if (c->idempotent)
    {
      bb_http_call_cancel (c->http);
      bb_admit_end (a->admit, false, 0);
    }
  else
    {
      call_detach_peer (c);
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
