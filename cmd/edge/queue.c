/* Lets requests wait for a pool and chooses who is sent where next.  */

#include "edge.h"

#include <jansson.h>

#include <string.h>

enum
{
  HOLD_AIMS = 3,      /* a request waits for so many times its aim */
  BUSY_BACK_MS = 500, /* when room is expected where all is taken */
  WRITER_TOKENS = 700 /* prompt tokens that load a rank like a writer */
};

static bool
was_tried (const struct request *r, const struct target *t)
{
  for (uint32_t i = 0; i < r->tried_count; i++)
    if (r->tried[i] == t->hash)
      return true;
  return false;
}

static void
fill_place (struct bb_balance_candidate *p, struct line *l,
            const struct request *r, struct target *t, uint32_t cold_share)
{
  bb_ms now = edge_now (l->edge);

  p->usable = fleet_may_send (l->edge, t, now)
              && groups_is_open (groups_of (l->edge, t), now)
              && bb_rate_limiter_allows (&t->meter, now, cold_share);
  p->tried = was_tried (r, t);
  p->unresponsive
      = bb_balance_is_unresponsive (t->in_flight, t->heard_ms, now);
  p->same_domain
      = strcmp (t->told->failure_domain, l->edge->start->failure_domain) == 0;
  p->in_flight = t->in_flight + t->others;
  p->in_flight_max = t->told->slots;
  p->pending_prompt_tokens = t->prompt;
  p->relative_latency = 1;
}

/* Relative slowness matters where upstreams do not step together.  */
static void
fill_slow (struct bb_balance_candidate *places, struct target **targets,
           uint32_t n)
{
  double least = 0;

  for (uint32_t i = 0; i < n; i++)
    if (targets[i]->latency_ms > 0
        && (least == 0 || targets[i]->latency_ms < least))
      least = targets[i]->latency_ms;
  for (uint32_t i = 0; i < n && least > 0; i++)
    if (targets[i]->latency_ms > 2 * least)
      places[i].relative_latency = targets[i]->latency_ms / least;
}

static struct target *
choose (struct line *l, const struct request *r)
{
  struct edge *e = l->edge;
  const struct bb_pool *pool = bb_config_find_pool (e->config, l->pool);
  uint32_t cold = bb_cold_start_share (pool ? pool->cold_requests_per_s : 0,
                                       fleet_members (e));
  struct bb_balance_candidate places[UPSTREAMS_MAX] = { 0 };
  struct target *targets[UPSTREAMS_MAX];
  struct bb_balance_cost cost = { .per_request = 1, .per_prompt_token = 0 };
  uint32_t n = 0;
  uint32_t i;

  for (guint k = 0; k < e->target_list->len && n < UPSTREAMS_MAX; k++)
    {
      struct target *t = g_ptr_array_index (e->target_list, k);
      if (strcmp (t->told->pool, l->pool) != 0)
        continue;
      fill_place (&places[n], l, r, t, cold);
      targets[n++] = t;
    }
  if (pool && pool->has_engine)
    cost.per_prompt_token = 1.0 / WRITER_TOKENS;
  else
    fill_slow (places, targets, n);
  i = bb_balance_choose (places, n, &cost, g_rand_double (e->rand));
  /* All that are left were tried: better one of them than none.  */
  if (i == BB_BALANCE_NONE && r->tried_count > 0)
    {
      for (uint32_t k = 0; k < n; k++)
        places[k].tried = false;
      i = bb_balance_choose (places, n, &cost, g_rand_double (e->rand));
    }
  return i == BB_BALANCE_NONE ? NULL : targets[i];
}

static void
fill_waiter (const struct request *r, struct bb_queued_request *w)
{
  w->arrived_ms = r->read_ms;
  w->slo_deadline_ms = r->aim_ms;
  w->priority = (uint32_t)r->priority;
  w->customer_in_flight
      = r->customer ? (uint32_t)GPOINTER_TO_INT (
            g_hash_table_lookup (r->edge->in_flight_of, r->customer))
                    : 0;
}

static struct request *
pick (struct line *l)
{
  bb_ms now = edge_now (l->edge);
  struct bb_queued_request best = { 0 };
  struct request *chosen = NULL;

  for (GList *i = l->waiting.head; i; i = i->next)
    {
      struct bb_queued_request w = { 0 };
      fill_waiter (i->data, &w);
      if (chosen
          && !bb_queued_request_before (&w, &best, now, (bb_ms)l->first_ms))
        continue;
      chosen = i->data;
      best = w;
    }
  return chosen;
}

/* A repeat is paid from the budget.  Returns whether R is still there.  */
static bool
pay (struct request *r)
{
  struct edge *e = r->edge;

  if (r->tries == 0
      || bb_retry_window_take_retry (&r->line->budget, edge_now (e),
                                     e->start->retry_ratio,
                                     e->start->retry_extra, fleet_members (e)))
    return true;
  g_queue_remove (&r->line->waiting, r);
  refuse (r, BB_REASON_OVERLOAD, BUSY_BACK_MS);
  return false;
}

/* Sends the next waiting request.  Returns whether it got away, or ended, so
   that another may be looked at.  */
static bool
send_next (struct line *l)
{
  struct request *r = pick (l);
  struct target *t;

  if (!r)
    return false;
  if (r->config != l->edge->config)
    {
      g_queue_remove (&l->waiting, r);
      if (input_route (r))
        g_queue_push_tail (&r->line->waiting, r);
      return true;
    }
  t = choose (l, r);
  if (!t)
    return false;
  if (!pay (r))
    return true;
  g_queue_remove (&l->waiting, r);
  send_request (r, t);
  return true;
}

void
line_run (struct line *l)
{
  while (l->waiting.length > 0 && send_next (l))
    ;
}

void
line_run_all (struct edge *e)
{
  GHashTableIter it;
  void *l;

  g_hash_table_iter_init (&it, e->lines);
  while (g_hash_table_iter_next (&it, NULL, &l))
    line_run (l);
}

void
line_join (struct request *r)
{
  struct edge *e = r->edge;
  struct line *l = r->line;
  bb_ms now = edge_now (e);
  bb_ms hold = r->route->slo_ms * HOLD_AIMS;
  bb_ms give_up = now + hold;

  r->state = REQUEST_WAITING;
  r->joined_ms = now;
  request_set_timer (r, give_up < r->deadline_ms ? give_up : r->deadline_ms);
  g_queue_push_tail (&l->waiting, r);
  line_run (l);
}

void
line_tick (struct edge *e)
{
  GHashTableIter it;
  void *value;

  g_hash_table_iter_init (&it, e->lines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct line *l = value;
      groups_tick (l);
      line_run (l);
    }
}
