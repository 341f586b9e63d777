/* The attempts of a request: sending, retrying, refusing.  */

#include "entry.h"

#include <stdlib.h>
#include <strings.h>

enum
{
  RETRY_AFTER_MS = 1000
};

void
attempt_cancel (struct request *q)
{
  struct bb_cancel m = { .id = q->id };

  if (q->link && q->link->conn)
    bb_put_cancel (bb_conn_out (q->link->conn), &m);
}

/* Whether header NAME is forwarded to the upstream.  The client's key for
   this entry and hop-by-hop headers are not.  */
static bool
is_forwarded (struct bb_bytes name)
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
                       .customer = bb_bytes_of (q->customer_name),
                       .method = r->method,
                       .path = r->path,
                       .body = body,
                       .idempotent = q->idempotent,
                       .attempt = (uint8_t)q->attempts,
                       .revision = q->entry->daemon->revision };
  bb_ms remaining_ms = q->deadline_ms - entry_now ();

  m.deadline_ms = remaining_ms > 0 ? (uint32_t)remaining_ms : 1;
  m.key = bb_header_find (r->headers, r->headers_count, "idempotency-key");
  m.minted = m.key.size == 0;
  m.fingerprint = q->fingerprint;
  m.suspect = suspect_is_suspect (q->entry, q->fingerprint);
  for (uint32_t i = 0; i < r->headers_count; i++)
    if (is_forwarded (r->headers[i].name))
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

/* Returns the link for the next attempt; NULL if no upstream can take it
   now.  */
static struct link *
choose_next_link (struct request *q)
{
  struct link *l;

  watch_check_pause (q->entry);
  l = q->idempotent ? choose_link (q) : choose_link_by_key (q);
#ifndef BB_MUTANT_pause_refresh
  if (l && !l->reported_since_pause)
    return NULL;
#endif
  return l;
}

/* Sends Q over L, under a new id so that late messages for earlier attempts
   are recognized.  */
static void
start_attempt (struct request *q, struct link *l)
{
  struct entry *e = q->entry;

  HASH_DEL (e->requests, q);
  q->id = ++e->last_attempt_id;
  HASH_ADD (hh, e->requests, id, sizeof q->id, q);
  q->link = l;
  q->attempts++;
  if (l->in_flight++ == 0)
    l->silent_since_ms = entry_now ();
  bb_health_sent (&l->health, entry_now ());
  send_call (q);
}

/* Handles a request that no upstream can take: refuses it at once, or holds it
   if agents have yet to report after a pause of this process.  */
static void
wait_or_refuse (struct request *q)
{
  struct bb_request_result v = { .run = BB_RUN_NOT_RUN,
                                 .reason = BB_REASON_NO_UPSTREAM,
                                 .retry_after_ms = RETRY_AFTER_MS };

  q->awaiting_report = watch_awaiting_reports (q->entry);
  if (q->awaiting_report)
    return;
  if (q->tried_count == 0)
    bb_request_result_merge (&q->result, &v);
  request_refuse (q, &q->result);
}

void
attempt_send (struct request *q)
{
  struct link *l = choose_next_link (q);

  if (entry_now () >= q->deadline_ms)
    request_refuse_expired (q);
  else if (!l)
    wait_or_refuse (q);
  else if (q->streaming && !resume_possible (q, l))
    request_refuse (q, &q->result);
  else
    start_attempt (q, l);
}

/* Records the upstream of the current attempt as tried and detaches Q from
   it.  */
static void
end_attempt (struct request *q)
{
  struct link *l = q->link;

  if (q->tried_count < TRIED_MAX)
    {
      q->tried_upstreams[q->tried_count] = l->name_hash;
      q->tried_domains[q->tried_count++] = l->domain_hash;
    }
  q->link = NULL;
  l->in_flight--;
  link_close_if_unused (l);
}

void
attempt_failed (struct request *q, const struct bb_request_result *v)
{
  struct bb_retry_attempt t = { .result = *v,
                                .idempotent = q->idempotent,
                                .answer_started = q->streaming,
                                .attempts = q->attempts };
  struct bb_request_result quarantine;
  enum bb_retry_action action;
  struct link *next;

  if (q->stream.done)
    {
      response_finish (q);
      return;
    }
  end_attempt (q);
  request_free_buffer (q);
  bb_request_result_merge (&q->result, v);
  if (suspect_is_quarantined (q->entry, q->fingerprint, &quarantine))
    {
      quarantine.run = q->result.run;
      request_refuse (q, &quarantine);
      return;
    }
  q->crashes += v->reason == BB_REASON_UPSTREAM_FAILED ? 1 : 0;
  t.crashes = q->crashes;
  next = choose_next_link (q);
  t.upstream_available = next != NULL;
  t.reports_pending = watch_awaiting_reports (q->entry);
  t.remaining_ms = q->deadline_ms - entry_now ();
  t.resumable = next ? resume_possible (q, next) : q->idempotent;
  t.upstream_tried = next && choose_was_tried (q, next);
  action = bb_retry_decide (&q->entry->retry_budget, &t);
  if (action == BB_RETRY_REFUSE)
    {
      request_refuse (q, &q->result);
      return;
    }
  bb_count_retry (v->reason);
  if (q->streaming)
    bb_counter ("bilberry_streams_resumed_total", "")->value++;
  q->awaiting_report = action == BB_RETRY_WAIT;
  if (!q->awaiting_report)
    start_attempt (q, next);
}

void
attempt_send_waiting (struct entry *e)
{
  struct request *q;
  struct request *next;

  HASH_ITER (hh, e->requests, q, next)
  {
    if (!q->awaiting_report)
      continue;
    q->awaiting_report = false;
    attempt_send (q);
  }
}

void
attempt_link_lost (struct link *l)
{
  struct request *q;
  struct request *next;
  struct bb_request_result v
      = { .run = BB_RUN_MAYBE_RUN, .reason = BB_REASON_AGENT_LOST };

  HASH_ITER (hh, l->entry->requests, q, next)
  {
    if (q->link == l)
      attempt_failed (q, &v);
  }
}

void
attempt_link_unresponsive (struct link *l)
{
  struct request *q;
  struct request *next;
  struct bb_request_result v
      = { .run = BB_RUN_MAYBE_RUN, .reason = BB_REASON_AGENT_LOST };

  if (l->in_flight == 0)
    return;
  HASH_ITER (hh, l->entry->requests, q, next)
  {
    if (q->link != l || !q->idempotent)
      continue;
    attempt_cancel (q);
    attempt_failed (q, &v);
  }
}
