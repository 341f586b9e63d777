/* Queues the requests of each pool and chooses the next one to send and its
   upstream.  */

#include "edge.h"

#include <jansson.h>

#include <math.h>
#include <string.h>

enum
{
  QUEUE_WAIT_SLOS = 3, /* longest wait, as a multiple of the route's SLO */
  BUSY_RETRY_MS = 500  /* Retry-After when the retry budget is spent */
};

static struct request *
request_of (struct bb_queue_entry *entry)
{
  return (struct request *)(void *)((char *)entry
                                    - offsetof (struct request, entry));
}

static void
fill_queued_request (const struct request *r, struct bb_queued_request *queued)
{
  queued->arrived_ms = r->received_ms;
  queued->slo_deadline_ms = r->slo_deadline_ms;
  queued->priority = (uint32_t)r->priority;
  queued->customer_in_flight
      = r->customer ? (uint32_t)GPOINTER_TO_INT (
            g_hash_table_lookup (r->edge->customer_in_flight, r->customer))
                    : 0;
}

static bool
is_passed_over (const struct request *r)
{
  return r->round == r->queue->round || crash_is_checked (r);
}

/* Like pick_request, but in the order of admission.  */
static struct request *
pick_admitted (struct pool_queue *q)
{
  bb_ms now = edge_now (q->edge);
  struct bb_queue_capacity capacity;
  struct bb_queue_entry *entry;

  capacity_fill (q, &capacity);
  entry = bb_queue_next (q->admission, &capacity, now);
  while (entry && is_passed_over (request_of (entry)))
    entry = bb_queue_next_after (q->admission, entry, &capacity, now);
  return entry ? request_of (entry) : NULL;
}

/* Returns the waiting request that is sent next, NULL if there is none. Passes
   over those whose upstream is being checked for a crash, and those that had
   to wait in this round.  */
static struct request *
pick_request (struct pool_queue *q)
{
  bb_ms now = edge_now (q->edge);
  struct bb_queued_request best = { 0 };
  struct request *chosen = NULL;

  for (GList *i = q->waiting.head; i; i = i->next)
    {
      struct request *r = i->data;
      struct bb_queued_request queued = { 0 };
      if (is_passed_over (r))
        continue;
      fill_queued_request (r, &queued);
      if (chosen
          && !bb_queued_request_before (&queued, &best, now,
                                        (bb_ms)q->first_event_ms))
        continue;
      chosen = r;
      best = queued;
    }
  return chosen;
}

/* Returns until when R, which waits, may wait.  Admission control rejects what
   cannot be served in time sooner than that.  */
static bb_ms
give_up_ms (const struct request *r)
{
  bb_ms give_up = r->queued_ms + r->route->slo_ms * QUEUE_WAIT_SLOS;

  if (r->queue->limited)
    return r->deadline_ms;
  return give_up < r->deadline_ms ? give_up : r->deadline_ms;
}

/* Returns how many slots of all upstreams of Q can still be used, or are asked
   for.  */
static uint32_t
slots_expected (const struct pool_queue *q, bb_ms now)
{
  const struct edge *e = q->edge;
  uint32_t n = 0;

  for (guint k = 0; k < e->target_list->len; k++)
    {
      const struct target *t = g_ptr_array_index (e->target_list, k);
      if (t->limit.milli > 0 && strcmp (t->record->pool, q->pool) == 0)
        n += bb_limit_expected (&t->limit, now);
    }
  return n;
}

/* Returns the upstream that R can be sent to now, NULL if there is none.  If
   the best one takes no more without a slot, asks for one; a slot comes for
   each request that waits, not more.  */
static struct target *
find_target (struct pool_queue *q, const struct request *r)
{
  bb_ms now = edge_now (q->edge);
  bb_ms patience_ms = MAX (give_up_ms (r) - now, 0);
  struct target *t = choose_target (q, r, true);

  while (t && !choose_is_within_limit (t, false, now)
         && slots_expected (q, now) < q->waiting.length)
    {
      limit_ask (q->edge, t, patience_ms);
      t = choose_target (q, r, true);
    }
  if (t && !choose_is_within_limit (t, false, now))
    t = choose_target (q, r, false);
  return t;
}

/* Charges R to the retry budget if it was sent before.  If the budget is
   spent, refuses R and returns false.  */
static bool
charge_retry (struct request *r)
{
  struct edge *e = r->edge;

  if (r->tries == 0
      || bb_retry_window_take_retry (
          &r->queue->retry_window, edge_now (e), e->settings->retry_ratio,
          e->settings->retry_extra, fleet_edge_count (e)))
    return true;
  waiting_remove (r);
  refuse (r, BB_REASON_OVERLOAD, BUSY_RETRY_MS);
  return false;
}

/* Moves R to its queue under the configuration in force, or refuses it.  */
static void
route_again (struct request *r)
{
  waiting_remove (r);
  if (input_route (r))
    waiting_add (r);
}

/* Refuses R, for which there is no upstream, if all upstreams of its pool rest
   or leave: holding it would be of no use.  One that may have run cannot be
   refused as not run, and waits as long as any other.  */
static bool
refuse_at_rest (struct pool_queue *q, struct request *r)
{
  bb_ms wait_ms = rest_wait_ms (q, r->route->slo_ms, edge_now (q->edge));

#ifdef BB_MUTANT_edge_rest_hold
  return false;
#endif
  if (wait_ms == 0 || r->executions > 0 || r->response_started)
    return false;
  waiting_remove (r);
  refuse (r, BB_REASON_UPSTREAMS_REST, wait_ms);
  return true;
}

/* R, the next one, finds no upstream.  Where priorities have quotas of their
   own, others may.  Returns whether to go on.  */
static bool
pass_over (struct request *r)
{
  r->round = r->queue->round;
  return r->queue->limited;
}

/* Takes the next request from the queue: sends it, refuses it, or moves it to
   its queue under a new configuration.  An isolated request, which only few
   upstreams may get, is passed over in this round if it has to wait.  Returns
   false if there is none, or no upstream for it.  */
static bool
send_next (struct pool_queue *q)
{
  struct request *r = q->limited ? pick_admitted (q) : pick_request (q);
  struct target *t;

  if (!r)
    return false;
  if (r->config != q->edge->config)
    {
      route_again (r);
      return true;
    }
  t = find_target (q, r);
  if (!t && refuse_at_rest (q, r))
    return true;
  if (suspect_is_suspect (r) && (!t || !isolate_claim (r, t)))
    {
      r->round = q->round;
      return true;
    }
  if (!t)
    return pass_over (r);
  if (!charge_retry (r))
    return true;
  /* Before the removal, from which the queue cannot tell whose turn it was. */
  if (q->limited)
    bb_queue_note_start (q->admission, &r->entry, edge_now (q->edge));
  waiting_remove (r);
  choose_record_send (r);
  send_request (r, t);
  return true;
}

void
queue_dispatch (struct pool_queue *q)
{
  q->round++;
  capacity_divide (q);
  while (q->waiting.length > 0 && send_next (q))
    ;
}

/* FN may add queues: a request that it moves may be the first of its pool.  */
static void
for_each_queue (struct edge *e, void (*fn) (struct pool_queue *q))
{
  for (guint i = 0; i < e->queue_list->len; i++)
    fn (g_ptr_array_index (e->queue_list, i));
}

void
queue_dispatch_all (struct edge *e)
{
  for_each_queue (e, queue_dispatch);
}

static void
reject (struct request *r, const struct bb_queue_decision *d)
{
  bb_log_event (
      "reject", "{s:s%, s:s, s:i, s:I, s:I, s:i, s:i, s:f, s:f, s:I}", "id",
      r->info.attempt_id.ptr, (size_t)r->info.attempt_id.size, "why",
      bb_queue_reason_name (d->reason), "priority", (int)request_priority (r),
      "wait_ms", (json_int_t)d->wait_ms, "left_ms",
      (json_int_t)(r->deadline_ms - edge_now (r->edge)), "ahead",
      (int)d->outlook.ahead, "waiting", (int)r->queue->waiting.length,
      "drain_per_s", d->outlook.drain_per_s, "use_ratio",
      isfinite (r->entry.use_ratio) ? r->entry.use_ratio : -1, "state_age_ms",
      (json_int_t)capacity_state_age_ms (r->queue));
  waiting_remove (r);
  refuse (r, BB_REASON_OVERLOAD, d->expected_ms);
}

/* Decides on R, which has just begun to wait.  Returns false if it was
   rejected.  */
static bool
decide_arrival (struct request *r)
{
  struct pool_queue *q = r->queue;
  struct bb_queue_capacity capacity;
  struct bb_queue_decision d;

  capacity_fill (q, &capacity);
  bb_queue_decide (q->admission, &r->entry, &capacity, &d, edge_now (r->edge));
  if (d.verdict != BB_QUEUE_REJECT)
    return true;
  reject (r, &d);
  return false;
}

void
queue_add (struct request *r)
{
  struct edge *e = r->edge;
  struct pool_queue *q = r->queue;

  if (suspect_is_quarantined (r))
    {
      refuse (r, BB_REASON_QUARANTINED, 0);
      return;
    }
  r->state = REQUEST_WAITING;
  r->queued_ms = edge_now (e);
  request_set_timer (r, give_up_ms (r));
  waiting_add (r);
  if (q->limited && r->tries == 0)
    bb_queue_note_arrival (q->admission, &r->entry, r->queued_ms);
  if (q->limited && !decide_arrival (r))
    return;
  queue_dispatch (q);
}

/* Rejects the waiting requests of Q that cannot be served in time.  */
static void
reject_hopeless (struct pool_queue *q)
{
  bb_ms now = edge_now (q->edge);
  struct bb_queue_capacity capacity;
  struct bb_queue_decision d;
  struct bb_queue_entry *entry;

  capacity_fill (q, &capacity);
  bb_queue_tick (q->admission, &capacity, now);
  while ((entry = bb_queue_take_rejected (q->admission, &d, now)))
    reject (request_of (entry), &d);
}

/* Adds the waiting requests of Q anew, since Q has a limit now, or none any
   more: they wait in another order, and have another priority.  */
static void
requeue_all (struct pool_queue *q)
{
  for (guint n = q->waiting.length; n > 0 && q->waiting.length > 0; n--)
    route_again (g_queue_peek_head (&q->waiting));
}

static void
tick_queue (struct pool_queue *q)
{
  bool was_limited = q->limited;

  groups_tick (q);
  capacity_tick (q);
  if (q->limited != was_limited)
    requeue_all (q);
  queue_dispatch (q);
  if (q->limited)
    reject_hopeless (q);
}

void
queue_tick (struct edge *e)
{
  for_each_queue (e, tick_queue);
}

static struct request *
find_quarantined (const struct pool_queue *q)
{
  for (GList *i = q->waiting.head; i; i = i->next)
    if (suspect_is_quarantined (i->data))
      return i->data;
  return NULL;
}

/* Searches again after each one: the end of a response may start the next
   request of its connection, which changes the queue.  */
static void
refuse_quarantined_of (struct pool_queue *q)
{
  struct request *r;

  while ((r = find_quarantined (q)))
    {
      waiting_remove (r);
      refuse (r, BB_REASON_QUARANTINED, 0);
    }
}

void
queue_refuse_quarantined (struct edge *e)
{
  for_each_queue (e, refuse_quarantined_of);
}

const struct queue_ops queue_functions
    = { queue_add, queue_dispatch, queue_dispatch_all,
        queue_refuse_quarantined, send_on_timer };
