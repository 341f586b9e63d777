#include "entry.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

enum
{
  RETRY_AFTER_MS = 1000
};

static void
on_timer_closed (uv_handle_t *h)
{
  struct request *q = h->data;

  free (q->customer);
  free (q->pool);
  free (q->kept);
  free (q);
}

/* Forgets a request whose caller has its answer or is gone.  */
static void
request_end (struct request *q)
{
  struct entry *e = q->entry;

  if (q->link)
    q->link->in_flight--;
  q->link = NULL;
  if (q->http)
    q->http->user = NULL;
  q->http = NULL;
  HASH_DEL (e->requests, q);
  uv_close ((uv_handle_t *)&q->timer, on_timer_closed);
}

static void
refuse (struct request *q, const struct bb_verdict *v)
{
  struct bb_verdict told = *v;

  /* The last try did not run, but an earlier request of its key may have. */
  if (v->reason == BB_REASON_IN_DOUBT || v->reason == BB_REASON_OTHER_SETTINGS)
    told.run = v->run == BB_RUN_RAN ? BB_RUN_RAN : BB_RUN_MAYBE_RUN;
  if (q->streaming)
    problem_end_stream (q->http, &told);
  else
    problem_respond (q->http, &told);
  request_end (q);
}

static void
send_cancel (struct request *q)
{
  struct bb_cancel m = { .id = q->id };

  if (q->link && q->link->conn)
    bb_put_cancel (bb_conn_out (q->link->conn), &m);
}

/* The answer is out, or the caller went away before it.  */
static void
on_gone (struct bb_http_request *r)
{
  struct request *q = r->user;

  ((struct entry *)r->owner)->open_answers--;
  if (!q)
    return;
  q->http = NULL;
  send_cancel (q);
  bb_count_refusal (BB_REASON_CANCELLED);
  request_end (q);
}

static void
on_deadline (uv_timer_t *t)
{
  struct request *q = t->data;
  struct bb_verdict v
      = { .run = BB_RUN_MAYBE_RUN, .reason = BB_REASON_DEADLINE };

  send_cancel (q);
  refuse (q, &v);
}

static bool
is_passed_on (struct bb_bytes name)
{
  static const char authorization[] = "authorization";

  if (name.size == sizeof authorization - 1
      && strncasecmp (name.ptr, authorization, name.size) == 0)
    return false;
  return !bb_header_is_hop (name);
}

static void
send_call (struct request *q)
{
  const struct bb_http_request *r = q->http;
  struct bb_call m = { .id = q->id,
                       .agent_incarnation = q->link->agent_incarnation,
                       .customer = bb_bytes_of (q->customer),
                       .method = r->method,
                       .path = r->path,
                       .body = r->body,
                       .idempotent = q->idempotent,
                       .attempt = (uint8_t)q->attempts,
                       .revision = q->entry->daemon->revision };

  m.deadline_ms = (uint32_t)(q->deadline - (bb_ms)uv_now (q->timer.loop));
  m.key = bb_header_find (r->headers, r->headers_count, "idempotency-key");
  m.minted = m.key.size == 0;
  for (uint32_t i = 0; i < r->headers_count; i++)
    if (is_passed_on (r->headers[i].name))
      m.headers[m.headers_count++] = r->headers[i];
  bb_put_call (bb_conn_out (q->link->conn), &m);
}

static void
try_once (struct request *q)
{
  struct bb_verdict v = { .run = BB_RUN_NOT_RUN,
                          .reason = BB_REASON_NO_UPSTREAM,
                          .retry_after_ms = RETRY_AFTER_MS };

  q->link = q->idempotent ? choose_link (q) : home_link (q);
  if (!q->link)
    {
      refuse (q, &v);
      return;
    }
  HASH_DEL (q->entry->requests, q);
  q->id = ++q->entry->last_id;
  HASH_ADD (hh, q->entry->requests, id, sizeof q->id, q);
  q->link->in_flight++;
  q->attempts++;
  send_call (q);
}

/* The present try ended without an answer: tries again or refuses.  */
static void
try_failed (struct request *q, const struct bb_verdict *v)
{
  struct bb_try t = { .verdict = *v,
                      .idempotent = q->idempotent,
                      .answer_started = q->streaming,
                      .attempts = q->attempts };

  q->link->in_flight--;
  q->tried = q->link;
  q->link = NULL;
  free (q->kept);
  q->kept = NULL;
  q->kept_size = 0;
  t.left_ms = q->deadline - (bb_ms)uv_now (q->timer.loop);
  if (!bb_retry_allow (&q->entry->budget, &t))
    {
      refuse (q, v);
      return;
    }
  bb_count_retry (v->reason);
  try_once (q);
}

/* A call without a key gets a random one.  */
static uint64_t
hash_key (const char *customer, const struct bb_http_request *r)
{
  struct bb_bytes key
      = bb_header_find (r->headers, r->headers_count, "idempotency-key");

  if (key.size == 0)
    return bb_random_id ();
  return XXH64 (key.ptr, key.size, XXH64 (customer, strlen (customer), 0));
}

void
request_begin (struct bb_http_request *r, void *arg)
{
  struct entry *e = arg;
  const struct bb_settings *s = e->daemon->settings;
  struct bb_verdict v = { .run = BB_RUN_NOT_RUN };
  const struct bb_customer_settings *customer = input_customer (s, r, &v);
  const struct bb_route_settings *route;
  struct request *q;

  if (!customer)
    {
      problem_respond (r, &v);
      return;
    }
  route = input_route (s, r, &v);
  if (!route)
    {
      problem_respond (r, &v);
      return;
    }
  q = calloc (1, sizeof *q);
  q->id = ++e->last_id;
  q->entry = e;
  q->http = r;
  q->customer = strdup (customer->name);
  q->pool = strdup (route->pool);
  q->idempotent = route->idempotent;
  q->key_hash = hash_key (q->customer, r);
  q->started = (bb_ms)uv_now (e->daemon->loop);
  q->deadline = q->started + route->timeout_ms;
  r->user = q;
  r->owner = e;
  e->open_answers++;
  r->on_gone = on_gone;
  HASH_ADD (hh, e->requests, id, sizeof q->id, q);
  uv_timer_init (e->daemon->loop, &q->timer);
  q->timer.data = q;
  uv_timer_start (&q->timer, on_deadline, route->timeout_ms, 0);
  bb_retry_earn (&e->budget);
  try_once (q);
}

static struct request *
find_request (struct entry *e, uint64_t id)
{
  struct request *q;

  HASH_FIND (hh, e->requests, &id, sizeof id, q);
  if (!q)
    bb_counter ("bilberry_late_answers_total", "")->value++;
  return q;
}

static void
keep (struct request *q, const char *data, size_t size)
{
  q->kept = realloc (q->kept, q->kept_size + size + 1);
  if (!q->kept)
    abort ();
  memcpy (q->kept + q->kept_size, data, size);
  q->kept_size += size;
}

static bool
is_event_stream (const struct bb_head *m)
{
  static const char type[] = "text/event-stream";
  struct bb_bytes v
      = bb_header_find (m->headers, m->headers_count, "content-type");

  return v.size >= sizeof type - 1
         && strncasecmp (v.ptr, type, sizeof type - 1) == 0;
}

void
request_on_head (struct entry *e, const struct bb_head *m)
{
  struct request *q = find_request (e, m->id);

  if (!q)
    return;
  q->status = m->status;
  if (is_event_stream (m))
    {
      q->streaming = true;
      bb_http_start (q->http, m->status, m->headers, m->headers_count);
      return;
    }
  /* The answer is sent once it is whole; until then its headers are kept
     as sizes, since their bytes may still move.  */
  q->headers_count = m->headers_count;
  for (uint32_t i = 0; i < m->headers_count; i++)
    {
      q->headers[i] = m->headers[i];
      keep (q, m->headers[i].name.ptr, m->headers[i].name.size);
      keep (q, m->headers[i].value.ptr, m->headers[i].value.size);
    }
}

void
request_on_data (struct entry *e, const struct bb_data *m)
{
  struct request *q = find_request (e, m->id);

  if (!q)
    return;
  if (q->streaming)
    bb_http_write (q->http, m->body);
  else
    keep (q, m->body.ptr, m->body.size);
}

/* Points the kept headers into the kept bytes; returns the body.  */
static struct bb_bytes
restore_headers (struct request *q)
{
  struct bb_bytes body;
  const char *p = q->kept;

  for (uint32_t i = 0; i < q->headers_count; i++)
    {
      q->headers[i].name.ptr = p;
      p += q->headers[i].name.size;
      q->headers[i].value.ptr = p;
      p += q->headers[i].value.size;
    }
  body.ptr = p;
  body.size = (uint32_t)(q->kept_size - (size_t)(p - q->kept));
  return body;
}

void
request_on_end (struct entry *e, const struct bb_end *m)
{
  struct request *q = find_request (e, m->id);
  struct bb_bytes body;

  if (!q)
    return;
  if (q->streaming)
    bb_http_end (q->http);
  else
    {
      body = restore_headers (q);
      bb_http_respond (q->http, q->status, q->headers, q->headers_count, body);
    }
  bb_counter ("bilberry_answers_total", "")->value++;
  request_end (q);
}

void
request_on_refusal (struct entry *e, const struct bb_refusal *m)
{
  struct request *q = find_request (e, m->id);
  struct bb_verdict v = { .run = m->run,
                          .reason = m->reason,
                          .retry_after_ms = m->retry_after_ms };

  if (q)
    try_failed (q, &v);
}

void
request_on_link_lost (struct link *l)
{
  struct request *q;
  struct request *next;
  struct bb_verdict v
      = { .run = BB_RUN_MAYBE_RUN, .reason = BB_REASON_AGENT_LOST };

  HASH_ITER (hh, l->entry->requests, q, next)
  {
    if (q->link == l)
      try_failed (q, &v);
  }
}
