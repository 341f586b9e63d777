/* The tries of a request: one upstream after the other.  */

#include "entry.h"

#include <stdlib.h>
#include <strings.h>

enum
{
  RETRY_AFTER_MS = 1000
};

void
try_cancel (struct request *q)
{
  struct bb_cancel m = { .id = q->id };

  if (q->link && q->link->conn)
    bb_put_cancel (bb_conn_out (q->link->conn), &m);
}

static bool
is_passed_on (struct bb_bytes name)
{
  static const char authorization[] = "authorization";

  if (name.size == sizeof authorization - 1
      && strncasecmp (name.ptr, authorization, name.size) == 0)
    return false;
  return !bb_header_is_hop_by_hop (name);
}

static void
put_call (struct request *q, struct bb_bytes body)
{
  const struct bb_http_request *r = q->http;
  struct bb_call m = { .id = q->id,
                       .agent_incarnation = q->link->agent_incarnation,
                       .customer = bb_bytes_of (q->customer),
                       .method = r->method,
                       .path = r->path,
                       .body = body,
                       .idempotent = q->idempotent,
                       .attempt = (uint8_t)q->attempts,
                       .revision = q->entry->daemon->revision };
  bb_ms left = q->deadline - entry_now ();

  m.deadline_ms = left > 0 ? (uint32_t)left : 1;
  m.key = bb_header_find (r->headers, r->headers_count, "idempotency-key");
  m.minted = m.key.size == 0;
  m.fingerprint = q->fingerprint;
  m.suspect = suspect_is_suspect (q->entry, q->fingerprint);
  for (uint32_t i = 0; i < r->headers_count; i++)
    if (is_passed_on (r->headers[i].name))
      m.headers[m.headers_count++] = r->headers[i];
  bb_put_call (bb_conn_out (q->link->conn), &m);
}

static void
send_call (struct request *q)
{
  char *body = NULL;

  if (q->streaming)
    {
      if (q->link->resume == BB_RESUME_CONTINUE && q->stream.tokens_sent > 0)
        body = resume_body (q);
      bb_stream_resume (&q->stream,
                        body ? BB_RESUME_CONTINUE : BB_RESUME_RESTART);
    }
  put_call (q, body ? bb_bytes_of (body) : q->http->body);
  free (body);
}

/* Finds where the next try runs; NULL where nothing can take it now.  */
static struct link *
pick (struct request *q)
{
  struct link *l;

  watch_look (q->entry);
  l = q->idempotent ? choose_link (q) : home_link (q);
#ifndef BB_MUTANT_pause_refresh
  if (l && !l->refreshed)
    return NULL;
#endif
  return l;
}

static void
send_to (struct request *q, struct link *l)
{
  struct entry *e = q->entry;

  HASH_DEL (e->requests, q);
  q->id = ++e->last_id;
  HASH_ADD (hh, e->requests, id, sizeof q->id, q);
  q->link = l;
  q->attempts++;
  if (l->in_flight++ == 0)
    l->heard_ms = entry_now ();
  bb_health_sent (&l->health, entry_now ());
  send_call (q);
}

/* Nothing can take Q: it is refused at once, except just after a pause of
   this process, when agents have not reported yet.  */
static void
wait_or_refuse (struct request *q)
{
  struct bb_verdict v = { .run = BB_RUN_NOT_RUN,
                          .reason = BB_REASON_NO_UPSTREAM,
                          .retry_after_ms = RETRY_AFTER_MS };

  q->waiting = watch_refreshing (q->entry);
  if (q->waiting)
    return;
  if (q->tried_count == 0)
    bb_verdict_merge (&q->verdict, &v);
  request_refuse (q, &q->verdict);
}

void
try_once (struct request *q)
{
  struct link *l = pick (q);

  if (entry_now () >= q->deadline)
    request_refuse_late (q);
  else if (!l)
    wait_or_refuse (q);
  else if (q->streaming && !resume_possible (q, l))
    request_refuse (q, &q->verdict);
  else
    send_to (q, l);
}

/* Remembers where the present try failed.  */
static void
leave_link (struct request *q)
{
  struct link *l = q->link;

  if (q->tried_count < TRIES_MAX)
    {
      q->tried[q->tried_count] = l->name_hash;
      q->tried_domains[q->tried_count++] = l->domain_hash;
    }
  q->link = NULL;
  l->in_flight--;
  link_release (l);
}

static void
drop_kept (struct request *q)
{
  free (q->kept);
  q->kept = NULL;
  q->kept_size = 0;
}

void
try_failed (struct request *q, const struct bb_verdict *v)
{
  struct bb_retry_attempt t = { .verdict = *v,
                                .idempotent = q->idempotent,
                                .answer_started = q->streaming,
                                .attempts = q->attempts };
  struct bb_verdict quarantine;
  enum bb_retry_action action;
  struct link *next;

  if (q->stream.done)
    {
      answer_finish (q);
      return;
    }
  leave_link (q);
  drop_kept (q);
  bb_verdict_merge (&q->verdict, v);
  if (suspect_is_quarantined (q->entry, q->fingerprint, &quarantine))
    {
      quarantine.run = q->verdict.run;
      request_refuse (q, &quarantine);
      return;
    }
  q->crashes += v->reason == BB_REASON_UPSTREAM_FAILED ? 1 : 0;
  t.crashes = q->crashes;
  next = pick (q);
  t.upstream_available = next != NULL;
  t.reports_pending = watch_refreshing (q->entry);
  t.remaining_ms = q->deadline - entry_now ();
  t.resumable = next ? resume_possible (q, next) : q->idempotent;
  t.upstream_tried = next && choose_was_tried (q, next);
  action = bb_retry_decide (&q->entry->budget, &t);
  if (action == BB_RETRY_REFUSE)
    {
      request_refuse (q, &q->verdict);
      return;
    }
  bb_count_retry (v->reason);
  if (q->streaming)
    bb_counter ("bilberry_streams_resumed_total", "")->value++;
  q->waiting = action == BB_RETRY_WAIT;
  if (!q->waiting)
    send_to (q, next);
}

void
try_waiting (struct entry *e)
{
  struct request *q;
  struct request *next;

  HASH_ITER (hh, e->requests, q, next)
  {
    if (!q->waiting)
      continue;
    q->waiting = false;
    try_once (q);
  }
}

void
try_link_lost (struct link *l)
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

void
try_link_silent (struct link *l)
{
  struct request *q;
  struct request *next;
  struct bb_verdict v
      = { .run = BB_RUN_MAYBE_RUN, .reason = BB_REASON_AGENT_LOST };

  if (l->in_flight == 0)
    return;
  HASH_ITER (hh, l->entry->requests, q, next)
  {
    if (q->link != l || !q->idempotent)
      continue;
    try_cancel (q);
    try_failed (q, &v);
  }
}
