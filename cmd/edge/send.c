/* Sends requests to their upstreams, and bounds how long a try may take.  */

#include "edge.h"

#include <jansson.h>

#include <string.h>

enum
{
  VERDICT_DIVISOR = 16, /* part of a caller's time that its verdict may take */
  SILENT_SLOS = 3, /* longest wait for a response that may be tried again, in
                      SLOs of the route */
  STALLED_RECHECK_MS = 100,
  KEEPALIVE_IDLE_MAX_MS = 60000,
  PRIORITY_MAX = 9
};

/* Whether another try may follow the current one.  */
static bool
may_be_tried_again (const struct request *r)
{
#ifdef BB_MUTANT_last_try
  return r->executions < r->route->attempts_max;
#endif
  return r->executions + 1 < r->route->attempts_max;
}

/* Returns when the current try is given up as silent; INT64_MAX: never.  The
   last one may take nearly all of the caller's time; the rest is for the
   verdict to reach the caller.  A stream that has begun and stands still is
   given up sooner, also where nothing can follow: its caller can resume it. */
static bb_ms
silence_deadline_ms (const struct request *r)
{
  if (!request_is_idempotent (r))
    return INT64_MAX;
  if (r->route->kind == BB_CALL_STREAM && r->first_event_seen)
    return r->progress_ms + request_gap_max_ms (r);
  if (!may_be_tried_again (r))
    return r->deadline_ms
           - (r->deadline_ms - r->received_ms) / VERDICT_DIVISOR;
  return r->sent_ms + r->route->slo_ms * SILENT_SLOS;
}

static void
set_timer (struct request *r)
{
  bb_ms silent = silence_deadline_ms (r);

  request_set_timer (r, silent < r->deadline_ms ? silent : r->deadline_ms);
}

void
send_request (struct request *r, struct target *t)
{
  struct edge *e = r->edge;
  bb_ms now = edge_now (e);
  struct bb_header headers[BB_FORWARD_HEADERS_MAX];
  char text[BB_HEADER_TEXT_BYTES];
  struct bb_forward_options s
      = { .upstream_id = t->record->id,
          .customer = r->customer,
          .remaining_ms = r->deadline_ms - now,
          .last_event_id = r->event_sent ? r->last_event_id : 0,
          .priority
          = r->priority <= PRIORITY_MAX ? r->priority : PRIORITY_MAX };
  struct bb_h1_request out = { .method = r->exchange->request.method,
                               .target = r->exchange->request.target,
                               .host = r->info.host,
                               .headers = headers,
                               .body = r->exchange->request.body,
                               .idle_max_ms = KEEPALIVE_IDLE_MAX_MS };

  /* If a reused connection closes, it is unknown whether the request ran, and
     an answer to an earlier try may arrive on it.  A request that must not run
     twice gets a new connection.  */
#ifdef BB_MUTANT_once_connection
  if (r->route->kind == BB_CALL_AT_MOST_ONCE)
#else
  if (!request_is_idempotent (r))
#endif
    out.idle_max_ms = 0;
  if (s.remaining_ms < 1)
    s.remaining_ms = 1;
  out.headers_count
      = bb_forward_headers (&r->exchange->request, &s, headers, text);
  latency_record (LATENCY_WAIT, r->queued_ms, now);
  request_assign (r, t);
  capacity_record_send (r, now);
  r->prior_crash = bb_poison_event (e->poison, r->identity.fingerprint, now);
  bb_rate_limiter_record (&t->rate_limiter, now);
  bb_limit_use (&t->limit, now);
  bb_ejection_sent (&t->ejection, now);
  r->state = REQUEST_SENT;
  r->tries++;
  if (r->tried_count < G_N_ELEMENTS (r->tried_hashes))
    r->tried_hashes[r->tried_count++] = t->id_hash;
  r->sent_ms = now;
  r->progress_ms = now;
  r->first_event_seen = false;
  r->ends_by_close = false;
  r->memory_waited_ms = 0;
  r->reply = (struct bb_response_info){ 0 };
  r->status = 0;
  r->headers_count = 0;
  request_clear_body (r);
  r->call = bb_h1_call (t->connections, &out, &response_ops, r);
  if (r->tries > 1)
    bb_count_retry (BB_REASON_UPSTREAM_FAILED);
  bb_log_event ("send",
                "{s:s%, s:s, s:s, s:s, s:s, s:i, s:I, s:I, s:i, s:i, s:i, "
                "s:I, s:I, s:I}",
                "id", r->info.attempt_id.ptr, (size_t)r->info.attempt_id.size,
                "fingerprint", r->fingerprint_text, "parts", r->parts_text,
                "route", r->route->name, "upstream", t->record->id, "try",
                (int)r->tries, "waited_ms", (json_int_t)(now - r->queued_ms),
                "left_ms", (json_int_t)s.remaining_ms, "own",
                (int)t->in_flight, "others", (int)t->peers_in_flight,
                "waiting", (int)r->queue->waiting.length, "version",
                (json_int_t)r->config->version,
                BB_LOG_REVISION (t->record->revision));
  set_timer (r);
}

void
send_on_timer (struct request *r)
{
  bb_ms now = edge_now (r->edge);

  if (r->state == REQUEST_WAITING)
    {
      bb_ms retry_after_ms
          = groups_retry_after_ms (r->queue, r->route->slo_ms, now);
      waiting_remove (r);
      refuse (r, BB_REASON_OVERLOAD, retry_after_ms);
      return;
    }
  if (now < r->deadline_ms && now < silence_deadline_ms (r))
    {
      set_timer (r);
      return;
    }
  /* The whole group has stalled, so another rank of it would not be
     faster.  */
  if (now < r->deadline_ms && !groups_is_up (r->group, now))
    {
      bb_ms again = now + STALLED_RECHECK_MS;
      request_set_timer (r, again < r->deadline_ms ? again : r->deadline_ms);
      return;
    }
  bb_h1_call_cancel (r->call);
  r->call = NULL;
  failure_handle (r, BB_OUTCOME_SILENT,
                  now >= r->deadline_ms ? "deadline" : "silent");
}
