/* Plans the next expert map of the group.  */

#include "leader.h"

#include <jansson.h>

enum
{
  PLAN_INTERVAL_MS = 100,
  /* After a search none begins for three times as long, so that searches take
     at most a quarter of the process's time.  */
  SEARCH_SHARE = 4,
  STEP_CHANGES = 32 /* of one iteration of the loop, which stays responsive */
};

/* Begins the switch to NEXT, which plan P describes.  */
static void
begin_switch (struct leader *l, const uint16_t *next,
              const struct bb_rebalance_plan *p, bb_ms now)
{
  bb_log_event ("plan", "{s:f, s:f, s:i, s:i, s:I}", "before", p->skew_before,
                "after", p->skew_after, "copies", (int)p->copies,
                "copies_most", (int)p->rank_copies_max, "search_ms",
                (json_int_t)(now - l->last_plan_ms));
  bb_group_switch_begin (&l->map_switch, next, now);
  leader_log_phase (l);
}

void
leader_plan_stop (struct leader *l)
{
  uv_idle_stop (&l->search_idle);
  if (l->search)
    bb_rebalance_search_end (l->search, NULL);
  l->search = NULL;
}

/* Ends the search, and begins a switch where that pays off and the map from
   which it searched is still in use.  */
static void
end_search (struct leader *l)
{
  struct bb_group_switch *s = &l->map_switch;
  bb_ms now = agent_now (l->agent);
  uint16_t *next = g_new (uint16_t, bb_group_places (&s->size));
  struct bb_rebalance_plan p = bb_rebalance_search_end (l->search, next);

  l->search = NULL;
  uv_idle_stop (&l->search_idle);
  if (p.worthwhile && bb_group_switch_is_ready (s, now)
      && s->epoch == l->search_epoch
      && s->ranks[s->self_rank].map_version == l->search_version)
    begin_switch (l, next, &p, now);
  g_free (next);
  l->next_plan_ms = now + (now - l->last_plan_ms) * (SEARCH_SHARE - 1);
}

static void
on_idle (uv_idle_t *h)
{
  struct leader *l = h->data;

  if (bb_rebalance_search_step (l->search, STEP_CHANGES))
    end_search (l);
}

void
leader_plan_switch (struct leader *l)
{
  bb_ms now = agent_now (l->agent);
  const struct bb_pool *pool = l->agent->pool;
  struct bb_group_switch *s = &l->map_switch;
  struct bb_demand_engine e;

  if (!pool || l->search || now - l->last_plan_ms < PLAN_INTERVAL_MS
      || now < l->next_plan_ms || !bb_group_switch_is_ready (s, now))
    return;
  e = (struct bb_demand_engine){ .expert_mb = pool->engine.expert_mb,
                                 .link_mbps = pool->engine.link_mbps,
                                 .expert_share
                                 = pool->engine.expert_time_share };
  l->search = bb_demand_search (&l->demand, &s->size, &e, s->current_map, now);
  if (!l->search)
    return;
  l->last_plan_ms = now;
  l->search_epoch = s->epoch;
  l->search_version = s->ranks[s->self_rank].map_version;
  uv_idle_start (&l->search_idle, on_idle);
}

void
leader_plan_init (struct leader *l)
{
  uv_idle_init (l->agent->loop, &l->search_idle);
  l->search_idle.data = l;
}
