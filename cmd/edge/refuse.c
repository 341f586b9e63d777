/* Ends requests that get no response from an upstream.  A response that says
   that the request did not run is sent only if none of its tries may have
   run.  */

#include "edge.h"

#include <jansson.h>

static void
respond (struct request *r, enum bb_reason reason, uint16_t status,
         bb_ms retry_after_ms)
{
  char text[BB_HEADER_TEXT_BYTES];
  struct bb_header headers[2];
  uint32_t n = 0;
  bb_ms now = edge_now (r->edge);
  struct bb_bytes body = bb_bytes_of (bb_reason_text (reason));

  bb_count_refusal (reason);
  bb_log_event ("refuse", "{s:s%, s:s, s:i, s:s, s:I, s:I, s:i, s:i}", "id",
                r->info.attempt_id.ptr ? r->info.attempt_id.ptr : "",
                (size_t)r->info.attempt_id.size, "fingerprint",
                r->fingerprint_text, "status", (int)status, "reason",
                bb_reason_name (reason), "took_ms",
                (json_int_t)(now - r->received_ms), "back_in_ms",
                (json_int_t)retry_after_ms, "tries", (int)r->tries, "runs",
                (int)r->executions);
  headers[n++] = (struct bb_header){ bb_bytes_of ("Content-Type"),
                                     bb_bytes_of ("text/plain") };
  if (retry_after_ms > 0)
    headers[n++] = bb_retry_after (retry_after_ms, text);
  bb_h1_respond (r->exchange, status, headers, n, body);
  request_free (r);
}

void
refuse_not_run (struct request *r, enum bb_reason reason, bb_ms retry_after_ms)
{
  bb_ms now = edge_now (r->edge);
  bb_ms total = r->info.timeout_ms > 0 ? (bb_ms)r->info.timeout_ms
                                       : r->deadline_ms - r->received_ms;
  bb_ms left = r->received_ms + total - now;
  bb_ms jittered_ms = bb_retry_delay_ms (retry_after_ms, left > 0 ? left : 0,
                                         g_rand_double (r->edge->rand));

  respond (r, reason, 503, jittered_ms);
}

void
refuse_failed (struct request *r, enum bb_reason reason)
{
  respond (r, reason, reason == BB_REASON_DEADLINE ? 504 : 502, 0);
}

void
refuse_abort (struct request *r, enum bb_reason reason)
{
  bb_count_refusal (reason);
  bb_log_event ("break_off", "{s:s%, s:s, s:I, s:i, s:I}", "id",
                r->info.attempt_id.ptr, (size_t)r->info.attempt_id.size,
                "reason", bb_reason_name (reason), "took_ms",
                (json_int_t)(edge_now (r->edge) - r->received_ms), "tries",
                (int)r->tries, "last_event", (json_int_t)r->last_event_id);
  bb_h1_abort (r->exchange);
  request_free (r);
}

void
refuse (struct request *r, enum bb_reason reason, bb_ms retry_after_ms)
{
  uint16_t status = bb_reason_status (reason);

  if (r->response_started)
    refuse_abort (r, reason);
  else if (r->executions > 0)
    refuse_failed (r, BB_REASON_UPSTREAM_FAILED);
  /* 429, not the 422 of the reason, since it promises that the request did not
     run.  */
  else if (reason == BB_REASON_QUARANTINED)
    respond (r, reason, 429, suspect_remaining_ms (r));
  else if (status == 503 || status == 429)
    refuse_not_run (r, reason, retry_after_ms);
  else
    respond (r, reason, status, 0);
}
