/* The concurrency limit of each engine group, and this edge's quota of it
   (docs/design/0053-concurrency-limit.md, 0054-quotas-and-shares.md).  */

#include "edge.h"

#include <jansson.h>

#include <string.h>
#include <xxhash.h>

enum
{
  LOG_INTERVAL_MS = 500, /* least time between two log lines on a limit */
  ENDED_PASSES_MS = 300, /* some passes: engines drop what an ended edge had */
  DIVIDE_INTERVAL_MS = 10 /* least time between two divisions of a limit */
};

void
capacity_init_group (struct group *g)
{
  g_autofree char *name = g_strconcat (g->queue->pool, "/", g->name, NULL);

  g->hash = XXH64 (name, strlen (name), 0);
  g->limit = g->limit_logged = BB_CAPACITY_NO_LIMIT;
  bb_allot_init (&g->allot);
  memset (g->quota.cumulative, 0xff, sizeof g->quota.cumulative);
}

void
capacity_record_event (struct request *r, bb_ms now)
{
  if (r->group && r->first_event_seen)
    bb_pace_record (&r->group->pace, (double)(now - r->progress_ms), now);
}

void
capacity_record_send (struct request *r, bb_ms now)
{
  if (r->group)
    bb_target_rates_add (&r->group->targets, r->route->itl_target_ms, 1, now);
}

/* Counts the ranks of the groups of Q, their slots, and the requests of all
   edges in flight there.  */
static void
count_ranks (struct pool_queue *q, bb_ms now)
{
  struct edge *e = q->edge;

  for (guint i = 0; i < q->groups->len; i++)
    {
      struct group *g = g_ptr_array_index (q->groups, i);
      g->ranks = 0;
      g->slots = 0;
      g->all_in_flight = 0;
    }
  for (guint k = 0; k < e->target_list->len; k++)
    {
      const struct target *t = g_ptr_array_index (e->target_list, k);
      struct group *g = t->group;
      if (!g || g->queue != q || target_is_gone (t, now))
        continue;
      g->ranks++;
      g->slots += t->record->slots;
      g->all_in_flight += t->in_flight + t->peers_in_flight;
    }
}

/* Returns the quota of this edge for the log, -1 where there is none.  */
static json_int_t
quota_of (const struct group *g)
{
  uint32_t quota = g->quota.cumulative[BB_ALLOT_PRIORITIES - 1];

  return quota == UINT32_MAX ? -1 : (json_int_t)quota;
}

static void
log_limit (struct group *g, double ratio, bb_ms now)
{
  g->limit_logged = g->limit;
  g->limit_logged_ms = now;
  bb_counter ("bilberry_concurrency_limit_changes_total", "")->value++;
  bb_log_event (
      "concurrency_limit",
      "{s:s, s:s, s:I, s:I, s:f, s:i, s:i, s:i, s:I, s:i, s:I}", "pool",
      g->queue->pool, "group", g->name, "limit",
      g->limit == BB_CAPACITY_NO_LIMIT ? (json_int_t)-1 : (json_int_t)g->limit,
      "target_ms", (json_int_t)g->capacity.target_ms, "ratio", ratio, "ranks",
      (int)g->ranks, "slots", (int)g->slots, "in_flight",
      (int)g->all_in_flight, "own_quota", quota_of (g), "edges",
      (int)g->quota.edges, "state_age_ms", (json_int_t)g->quota.age_ms);
}

/* Whether requests of an edge that has just ended may still run, although
   nobody tells them any more: passes would seem too long for those that are
   told.  */
static bool
counts_are_short (const struct edge *e, bb_ms now)
{
  return e->peer_ended_ms > 0 && now - e->peer_ended_ms < ENDED_PASSES_MS;
}

static void
update_group (struct group *g, const struct bb_pass_model *model, bb_ms now)
{
  struct bb_capacity_load load = { .model = *model,
                                   .ranks = g->ranks,
                                   .slots = g->slots,
                                   .targets = g->targets.rates,
                                   .targets_count = g->targets.count };
  double ratio;

  if (g->ranks > 0 && !counts_are_short (g->queue->edge, now))
    bb_pace_update (&g->pace, model, (double)g->all_in_flight / g->ranks, now);
  ratio = bb_pace_ratio (&g->pace, model);
  g->limit = bb_capacity_update (&g->capacity, &load, ratio, now);
  g->pass_ms
      = ratio
        * bb_pass_model_ms (
            model, g->ranks > 0 ? (double)g->all_in_flight / g->ranks : 0);
}

/* Logs the limit of G where it has changed: at once if G has a limit now, or
   none any more.  */
static void
log_change (struct group *g, const struct bb_pass_model *model, bb_ms now)
{
  bool was_limited = g->limit_logged != BB_CAPACITY_NO_LIMIT;

  if (g->limit != g->limit_logged
      && (was_limited != (g->limit != BB_CAPACITY_NO_LIMIT)
          || now - g->limit_logged_ms >= LOG_INTERVAL_MS))
    log_limit (g, bb_pace_ratio (&g->pace, model), now);
}

void
capacity_tick (struct pool_queue *q)
{
  const struct bb_engine *engine = config_engine (q->edge->config, q->pool);
  struct bb_pass_model model = bb_pass_model_of (engine);
  bb_ms now = edge_now (q->edge);

  q->limited
      = q->grouped && engine && bb_capacity_can_limit (&model, engine->slots);
  if (!q->limited)
    return;
  count_ranks (q, now);
  for (guint i = 0; i < q->groups->len; i++)
    update_group (g_ptr_array_index (q->groups, i), &model, now);
  capacity_divide (q);
  for (guint i = 0; i < q->groups->len; i++)
    log_change (g_ptr_array_index (q->groups, i), &model, now);
}

void
capacity_divide (struct pool_queue *q)
{
  struct edge *e = q->edge;
  bb_ms now = edge_now (e);

  if (!q->limited || now - q->divided_ms < DIVIDE_INTERVAL_MS)
    return;
  q->divided_ms = now;
  for (guint i = 0; i < q->groups->len; i++)
    {
      struct group *g = g_ptr_array_index (q->groups, i);
      struct bb_allot_edge edges[BB_ALLOT_EDGES_MAX];
      struct bb_allot_input input
          = { .edges = edges,
              .limit = g->limit == BB_CAPACITY_NO_LIMIT ? BB_ALLOT_LIMIT_MAX
                                                        : g->limit,
              .interval_ms = demand_interval_ms (e),
              .domains = e->settings->failure_domain_count };
      input.count = demand_fill_edges (g, edges, &input.own);
      bb_allot_update (&g->allot, &input, now, &g->quota);
    }
}

bool
capacity_may_start (const struct group *g, const struct request *r)
{
  return !g
         || bb_allot_may_start (&g->quota, g->in_flight_by_priority,
                                request_priority (r));
}

/* Returns how many more requests of PRIORITY may start in G, MAX at most.  */
static uint32_t
free_in_group (const struct group *g, uint32_t priority, uint32_t max)
{
  uint32_t in_flight[BB_ALLOT_PRIORITIES];
  uint32_t n = 0;

  memcpy (in_flight, g->in_flight_by_priority, sizeof in_flight);
  while (n < max && bb_allot_may_start (&g->quota, in_flight, priority))
    {
      in_flight[priority]++;
      n++;
    }
  return n;
}

void
capacity_fill (struct pool_queue *q, struct bb_queue_capacity *c)
{
  bb_ms now = edge_now (q->edge);
  uint32_t max = q->waiting.length + 1;
  bool any_up = false;

  memset (c, 0, sizeof *c);
  for (guint i = 0; i < q->groups->len; i++)
    {
      struct group *g = g_ptr_array_index (q->groups, i);
      uint32_t slots_free
          = g->slots > g->all_in_flight ? g->slots - g->all_in_flight : 0;
      if (g->ranks == 0 || !groups_is_up (g, now))
        continue;
      any_up = true;
      for (uint32_t p = 0; p < BB_QUEUE_PRIORITIES; p++)
        c->free[p] += free_in_group (g, p, MIN (slots_free, max));
    }
  c->is_down = !any_up;
  if (!any_up)
    c->recovery_ms = groups_retry_after_ms (q, 0, now);
}

double
capacity_pass_ms (const struct pool_queue *q)
{
  double least = 0;

  for (guint i = 0; i < q->groups->len; i++)
    {
      const struct group *g = g_ptr_array_index (q->groups, i);
      if (g->ranks > 0 && g->pass_ms > 0 && (least == 0 || g->pass_ms < least))
        least = g->pass_ms;
    }
  return least;
}

bb_ms
capacity_state_age_ms (const struct pool_queue *q)
{
  bb_ms age_ms = 0;

  for (guint i = 0; i < q->groups->len; i++)
    {
      const struct group *g = g_ptr_array_index (q->groups, i);
      age_ms = MAX (age_ms, g->quota.age_ms);
    }
  return age_ms;
}
