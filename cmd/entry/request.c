/* Start and end of a client's request.  */

#include "entry.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static void
on_timer_closed (uv_handle_t *h)
{
  struct request *q = h->data;

  free (q->customer_name);
  bb_stream_free (&q->stream);
  free (q);
}

void
request_free_buffer (struct request *q)
{
  bb_memory_give (&q->entry->memory, q->buffer_size_bytes);
  free (q->buffer);
  q->buffer = NULL;
  q->buffer_size_bytes = 0;
}

void
request_end (struct request *q)
{
  struct entry *e = q->entry;
  struct link *l = q->link;

  request_free_buffer (q);
  q->link = NULL;
  if (l)
    {
      l->in_flight--;
      link_close_if_unused (l);
    }
  if (q->http)
    q->http->user = NULL;
  q->http = NULL;
  customer_release (e, q->customer);
  HASH_DEL (e->requests, q);
  uv_close ((uv_handle_t *)&q->deadline_timer, on_timer_closed);
}

void
request_refuse (struct request *q, const struct bb_request_result *v)
{
  struct bb_request_result reported = *v;

  /* The last attempt did not run, but an earlier request with the same
     idempotency key may have.  */
  if (v->reason == BB_REASON_IN_DOUBT || v->reason == BB_REASON_OTHER_SETTINGS)
    reported.run = v->run == BB_RUN_RAN ? BB_RUN_RAN : BB_RUN_MAYBE_RUN;
  if (q->streaming)
    problem_end_stream (q->http, &reported);
  else
    problem_respond (q->http, &reported);
  request_end (q);
}

/* Called when the response has been sent, or when the client disconnected
   before that; a request that has not ended is then cancelled.  */
static void
on_gone (struct bb_http_request *r)
{
  struct request *q = r->user;

  ((struct entry *)r->owner)->open_responses--;
  if (!q)
    return;
  q->http = NULL;
  attempt_cancel (q);
  bb_count_refusal (BB_REASON_CANCELLED);
  request_end (q);
}

void
request_refuse_expired (struct request *q)
{
  struct bb_request_result v
      = { .run = q->result.run, .reason = BB_REASON_DEADLINE };

  if (q->link && v.run == BB_RUN_NOT_RUN)
    v.run = BB_RUN_MAYBE_RUN;
  attempt_cancel (q);
  request_refuse (q, &v);
}

static void
on_deadline (uv_timer_t *t)
{
  request_refuse_expired (t->data);
}

/* Returns the hash of the customer and the idempotency key; a random number
   if the request has no key.  */
static uint64_t
hash_key (const char *customer, const struct bb_http_request *r)
{
  struct bb_bytes key
      = bb_header_find (r->headers, r->headers_count, "idempotency-key");

  if (key.size == 0)
    return bb_random_id ();
  return XXH64 (key.ptr, key.size, XXH64 (customer, strlen (customer), 0));
}

/* Hashes the prompt: the body from the name of the prompt's field on.  */
static void
hash_prompt (struct request *q)
{
  static const char *const fields[] = { "\"messages\"", "\"prompt\"" };
  struct bb_bytes body = q->http->body;

  for (uint32_t i = 0; i < sizeof fields / sizeof *fields; i++)
    {
      const char *field
          = memmem (body.ptr, body.size, fields[i], strlen (fields[i]));
      struct bb_bytes text = { .ptr = field };
      if (!field)
        continue;
      text.size = body.size - (uint32_t)(field - body.ptr);
      bb_prefix_hash (&q->prefix, text);
      return;
    }
}

static struct request *
request_new (struct entry *e, struct bb_http_request *r,
             struct customer *customer, const struct bb_route_settings *route,
             uint64_t fingerprint)
{
  struct request *q = calloc (1, sizeof *q);

  q->id = ++e->last_attempt_id;
  q->entry = e;
  q->http = r;
  q->customer = customer;
  q->customer_name = strdup (customer->name);
  q->pool = pool_find (e, route->pool);
  q->idempotent = route->idempotent;
  q->key_hash = hash_key (q->customer_name, r);
  q->fingerprint = fingerprint;
  if (q->idempotent && r->body.size > 0)
    hash_prompt (q);
  q->started_ms = entry_now ();
  q->deadline_ms = q->started_ms + route->timeout_ms;
  HASH_ADD (hh, e->requests, id, sizeof q->id, q);
  uv_timer_init (e->daemon->loop, &q->deadline_timer);
  q->deadline_timer.data = q;
  uv_timer_start (&q->deadline_timer, on_deadline, route->timeout_ms, 0);
  return q;
}

void
request_begin (struct bb_http_request *r, void *arg)
{
  struct entry *e = arg;
  struct bb_request_result v = { .run = BB_RUN_NOT_RUN };
  const struct bb_customer_settings *settings;
  const struct bb_route_settings *route = NULL;
  struct customer *customer = NULL;
  uint64_t fingerprint = 0;

  watch_check_pause (e);
  settings = input_authenticate (e->daemon->settings, r, &v);
  if (settings)
    route = input_find_route (e->daemon->settings, r, &v);
  if (route)
    fingerprint = suspect_fingerprint (settings->name, route, r);
  if (route && !suspect_is_quarantined (e, fingerprint, &v))
    customer = customer_acquire (e, settings, &v);
  if (!customer)
    {
      problem_respond (r, &v);
      return;
    }
  r->user = request_new (e, r, customer, route, fingerprint);
  r->owner = e;
  r->on_done = on_gone;
  e->open_responses++;
  bb_retry_budget_deposit (&e->retry_budget, entry_now ());
  attempt_send (r->user);
}
