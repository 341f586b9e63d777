/* Receives requests from callers and finds their route and customer.  */

#include "edge.h"

#include <jansson.h>

#include "bilberry/net.h"

enum
{
  /* Time until there is likely to be a configuration.  */
  NO_CONFIG_RETRY_MS = 300,
  FULL_RETRY_MS = 400, /* time until a connection has probably become idle */
  TIMEOUT_DEFAULT_MS = 30000,
  /* The request and its answer travel within the time of the caller.  */
  ANSWER_MARGIN_MS = 10
};

/* Takes R from where it waits, or ends its try.  */
static void
withdraw (struct request *r)
{
  waiting_remove (r);
  if (r->call)
    bb_h1_call_cancel (r->call);
  r->call = NULL;
  request_release (r);
}

void
input_stop (struct bb_h1_exchange *x)
{
  struct request *r = x->user;

  /* The upstream may run it.  */
  if (r->call)
    r->executions++;
  withdraw (r);
  refuse (r, BB_REASON_DRAINING, FULL_RETRY_MS);
}

static void
on_caller_gone (struct bb_h1_exchange *x)
{
  struct request *r = x->user;

  bb_count_refusal (BB_REASON_CANCELLED);
  bb_log_event ("caller_gone", "{s:s%, s:I, s:b}", "id",
                r->info.attempt_id.ptr, (size_t)r->info.attempt_id.size,
                "waited_ms", (json_int_t)(edge_now (r->edge) - r->received_ms),
                "started", r->response_started);
  if (r->queue)
    estimate_learn (r, false);
  withdraw (r);
  request_free (r);
}

/* Finds the customer and priority of R.  Returns the reason to refuse it, or
   BB_REASON_NONE.  */
static enum bb_reason
find_customer (struct request *r)
{
  const struct bb_fleet_customer *c
      = r->info.bearer_key.size > 0
            ? bb_config_find_customer (r->config, r->info.bearer_key)
            : NULL;

  g_free (r->customer);
  r->customer = c ? g_strdup (c->name) : NULL;
  r->priority
      = c && c->priority >= 0 ? c->priority : (int32_t)r->route->priority;
  if (c || r->route->is_public || !r->config->has_customers)
    return BB_REASON_NONE;
  return r->info.has_authorization ? BB_REASON_UNKNOWN_KEY : BB_REASON_NO_KEY;
}

bool
input_route (struct request *r)
{
  struct edge *e = r->edge;
  enum bb_reason reason;

  bb_config_unref (r->config);
  r->config = bb_config_ref (e->config);
  r->route = bb_config_find_route (r->config, r->info.host,
                                   r->exchange->request.target);
  if (!r->route)
    {
      refuse (r, BB_REASON_NO_ROUTE, 0);
      return false;
    }
  reason = find_customer (r);
  if (reason != BB_REASON_NONE)
    {
      refuse (r, reason, 0);
      return false;
    }
  g_free (r->pool);
  r->pool = g_strdup (bb_route_pick_pool (r->route, r->split_draw));
  suspect_set_fingerprints (r);
  r->queue = pool_queue_of (e, r->pool);
  if (r->queue->limited)
    r->priority = (int32_t)bb_config_priority_class (
        r->config, (uint32_t)r->priority, r->route->priority);
  estimate_request (r);
  return true;
}

static void
set_deadlines (struct request *r)
{
  bb_ms timeout
      = r->route->timeout_ms > 0 ? r->route->timeout_ms : TIMEOUT_DEFAULT_MS;
  bb_ms left = r->info.timeout_ms > 0 ? (bb_ms)r->info.timeout_ms : timeout;

  if (left > 2 * (bb_ms)ANSWER_MARGIN_MS)
    left -= ANSWER_MARGIN_MS;
  r->deadline_ms = r->received_ms + (left < timeout ? left : timeout);
  if (r->edge->draining)
    r->deadline_ms = MIN (r->deadline_ms, r->edge->stop_ms);
  r->slo_deadline_ms = r->received_ms + r->route->slo_ms;
}

void
input_request (struct bb_h1_exchange *x, void *arg)
{
  struct edge *e = arg;
  struct request *r = request_new (e, x);

  x->on_disconnect = on_caller_gone;
  bb_request_info_decode (&x->request, &r->info);
  r->last_event_id = r->info.last_event_id;
  bb_counter ("bilberry_requests_total", "")->value++;
  r->deadline_ms
      = r->received_ms
        + (r->info.timeout_ms > 0 ? (bb_ms)r->info.timeout_ms : 1000);
  if (!e->config)
    {
      refuse_not_run (r, BB_REASON_NO_UPSTREAM, NO_CONFIG_RETRY_MS);
      return;
    }
  if (x->over_limit)
    {
      refuse_not_run (r, BB_REASON_CONNECTION_LIMIT, FULL_RETRY_MS);
      return;
    }
  if (!bb_memory_has_room (&e->memory, BB_MEMORY_SMALL_BYTES, 0))
    {
      refuse_not_run (r, BB_REASON_OVERLOAD, FULL_RETRY_MS);
      return;
    }
  if (!input_route (r))
    return;
  set_deadlines (r);
  /* It could be cut at the end of the grace period; another edge has the time
     for it.  */
#ifndef BB_MUTANT_stop_takes
  if (e->stops_taking && r->deadline_ms >= e->stop_ms)
#else
  if (false)
#endif
    {
      refuse_not_run (r, BB_REASON_DRAINING, FULL_RETRY_MS);
      return;
    }
  bb_retry_window_add_request (&r->queue->retry_window, edge_now (e));
  demand_count_arrival (r);
  e->queue_ops->add (r);
}

void
input_fault (uint16_t status, void *arg)
{
  (void)arg;
  bb_count_refusal (status == 503   ? BB_REASON_OVERLOAD
                    : status == 413 ? BB_REASON_BODY_TOO_LARGE
                    : status == 431 ? BB_REASON_HEAD_TOO_LARGE
                    : status == 408 ? BB_REASON_SLOW_CLIENT
                                    : BB_REASON_BAD_REQUEST);
  bb_log_event ("unreadable_request", "{s:i}", "status", (int)status);
}
