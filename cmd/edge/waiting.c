/* The waiting requests of a pool: in the order of their arrival, and in the
   order in which they start.  */

#include "edge.h"

enum
{
  /* Mean deviations above the mean by which most first events come.  */
  FIRST_EVENT_DEVIATIONS = 2,

  RETURN_MIN_MS = 50 /* more than a request takes to arrive */
};

/* Returns the time from sending to the first event that is rarely exceeded. */
static bb_ms
first_event_upper_ms (const struct pool_queue *q)
{
  return (bb_ms)(q->first_event_ms
                 + FIRST_EVENT_DEVIATIONS * q->first_event_dev_ms);
}

/* Returns the time by which R, which takes RUN_MS, has to end; sooner than its
   own deadline where its caller leaves without a first event.  */
static bb_ms
queue_deadline_ms (const struct request *r, bb_ms run_ms)
{
  bb_ms last_start_ms = r->received_ms + request_gap_max_ms (r)
                        - (bb_ms)r->queue->first_event_ms;

  if (r->route->kind != BB_CALL_STREAM)
    return r->deadline_ms;
  return MIN (r->deadline_ms,
              bb_queue_deadline_of_start (last_start_ms, run_ms));
}

/* Whether the caller of R was refused before and returns: it has used a part
   of its time elsewhere.  */
static bool
is_returning (const struct request *r)
{
  return r->info.timeout_ms > 0
         && r->info.timeout_ms + RETURN_MIN_MS < r->route->timeout_ms;
}

static void
fill_entry (struct request *r)
{
  struct bb_queue_entry *entry = &r->entry;
  bb_ms run_ms = estimate_run_ms (r);
  bb_ms deadline_ms = queue_deadline_ms (r, run_ms);
  bool returns = is_returning (r);

  /* One that returns is late for its SLO, and its caller may not come again:
     it counts as in time as long as it can be served.  */
  *entry = (struct bb_queue_entry){
    .arrived_ms = r->received_ms,
    .slo_deadline_ms = returns ? deadline_ms : r->slo_deadline_ms,
    .deadline_ms = deadline_ms,
    .returns = returns,
    .run_ms = run_ms,
    .first_event_ms = first_event_upper_ms (r->queue),
    .use_ratio = demand_use_ratio (r),
    .priority = request_priority (r),
    .may_have_run = r->executions > 0 || r->response_started,
  };
}

void
waiting_add (struct request *r)
{
  struct pool_queue *q = r->queue;

  r->is_waiting = true;
  g_queue_push_tail (&q->waiting, r);
  if (!q->limited)
    return;
  fill_entry (r);
  bb_queue_add (q->admission, &r->entry, edge_now (r->edge));
  demand_set_queued (r, true);
}

void
waiting_remove (struct request *r)
{
  if (!r->is_waiting)
    return;
  r->is_waiting = false;
  g_queue_remove (&r->queue->waiting, r);
  bb_queue_remove (r->queue->admission, &r->entry, edge_now (r->edge));
  demand_set_queued (r, false);
}
