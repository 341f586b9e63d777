/* Handles tries that ended without a usable response.  */

#include "edge.h"

#include <jansson.h>

enum
{
  FULL_RETRY_MS = 400 /* time until a full upstream probably has room again */
};

/* Fills A, the input of the decision on R.  */
static void
fill_attempt (const struct request *r, struct bb_attempt *a)
{
  *a = (struct bb_attempt){
    .outcome = r->outcome,
    .idempotent = request_is_idempotent (r),
    .may_have_run = r->executions > 0,
    .answer_started = r->response_started,
    .resumable = r->route->resumable && !r->out_of_order
                 && (r->event_sent || !r->response_started),
    .executions = r->executions,
    .attempts = r->tries,
    .executions_max = r->route->attempts_max,
    .remaining_ms = r->deadline_ms - edge_now (r->edge),
  };
}

static bool
may_have_run (enum bb_outcome o)
{
  return o == BB_OUTCOME_FAILED || o == BB_OUTCOME_LOST
         || o == BB_OUTCOME_SILENT;
}

/* Updates the health of the target and its group from how the try ended.  A
   group that loses a try, with no event for 200 ms, becomes suspect, so that
   its report is requested.  While the group is not up, the failure is not
   counted against the target, since all ranks of the group fail together.  */
static void
update_target (struct request *r)
{
  struct edge *e = r->edge;
  struct target *t = r->target;
  struct bb_group_health *g = r->group ? &r->group->health : NULL;
  bb_ms now = edge_now (e);
  bool group_fault
      = g
        && (r->outcome == BB_OUTCOME_LOST || r->outcome == BB_OUTCOME_SILENT
            || (r->outcome == BB_OUTCOME_NOT_RUN
                && r->reply.failed_upstream.size > 0));

  if (g && r->outcome == BB_OUTCOME_NOT_RUN
      && r->reply.failed_upstream.size > 0)
    bb_group_record_down (g, now);
  else if (group_fault && g->state == BB_GROUP_UP
           && now - g->last_progress_ms > 200)
    g->state = BB_GROUP_SUSPECT;
  /* Another upstream has the address now: eject at the first failure.  */
  if (r->outcome == BB_OUTCOME_ELSEWHERE)
    {
      t->ejection.consecutive_failures = 99;
      address_note_gone (t->address, t->record);
    }
  if (r->outcome != BB_OUTCOME_NOT_RUN && r->outcome != BB_OUTCOME_FAILED
      && !(group_fault && g->state != BB_GROUP_UP)
      && bb_ejection_failed (&t->ejection, now))
    bb_log_event ("eject", "{s:s, s:s, s:I}", "upstream", t->record->id,
                  "outcome", bb_outcome_name (r->outcome), "for_ms",
                  (json_int_t)(t->ejection.until_ms - now));
}

/* Forwards the upstream's own error response.  Statuses by which a caller may
   take it that the request did not run become a 502: the upstream did not
   state that it did not run.  */
static void
forward_failure (struct request *r)
{
  GBytes *body;

  if (r->status == 503 || r->status == 429 || r->status == 408
      || r->status == 421)
    {
      refuse_failed (r, BB_REASON_UPSTREAM_FAILED);
      return;
    }
  body = request_take_body (r);
  bb_h1_respond_bytes (r->exchange, r->status, r->headers, r->headers_count,
                       body);
  g_bytes_unref (body);
  request_free (r);
}

void
failure_handle (struct request *r, enum bb_outcome outcome, const char *detail)
{
  struct edge *e = r->edge;
  bb_ms retry_after_ms;
  struct bb_attempt a;
  enum bb_attempt_action next;

  r->outcome = outcome;
  if (may_have_run (outcome))
    r->executions++;
  fill_attempt (r, &a);
  next = bb_attempt_next_action (&a);
  bb_log_event ("try_failed",
                "{s:s%, s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:I, s:I, "
                "s:b}",
                "id", r->info.attempt_id.ptr, (size_t)r->info.attempt_id.size,
                "fingerprint", r->fingerprint_text, "parts", r->parts_text,
                "upstream", r->target->record->id, "outcome",
                bb_outcome_name (outcome), "how", detail, "status",
                (int)r->status, "next", (int)next, "runs", (int)r->executions,
                "left_ms", (json_int_t)a.remaining_ms, "rest_ms",
                (json_int_t)r->reply.rest_ms, "leaving", r->reply.leaving);
  update_target (r);
  retry_after_ms
      = groups_retry_after_ms (r->queue, FULL_RETRY_MS, edge_now (e));
  request_release (r);
  switch (next)
    {
    case BB_ATTEMPT_RETRY:
      e->queue_ops->add (r);
      break;
    case BB_ATTEMPT_FORWARD:
      forward_failure (r);
      break;
    case BB_ATTEMPT_REFUSE:
      refuse_not_run (r, BB_REASON_UPSTREAM_REFUSED, retry_after_ms);
      break;
    case BB_ATTEMPT_FAIL:
      refuse_failed (r, a.remaining_ms < 50 ? BB_REASON_DEADLINE
                                            : BB_REASON_UPSTREAM_FAILED);
      break;
    case BB_ATTEMPT_ABORT:
      refuse_abort (r, BB_REASON_UPSTREAM_FAILED);
      break;
    }
}
