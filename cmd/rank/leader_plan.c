/* Plans the next expert map of the group.  */

#include "leader.h"

#include <jansson.h>

enum
{
  PLAN_INTERVAL_MS = 100
};

/* Begins the switch to NEXT, which plan P describes.  */
static void
begin_switch (struct leader *l, const uint16_t *next,
              const struct bb_rebalance_plan *p, bb_ms now)
{
  bb_log_event ("plan", "{s:f, s:f, s:i, s:i}", "before", p->skew_before,
                "after", p->skew_after, "copies", (int)p->copies,
                "copies_most", (int)p->rank_copies_max);
  bb_group_switch_begin (&l->map_switch, next, now);
  leader_log_phase (l);
}

void
leader_plan_switch (struct leader *l)
{
  bb_ms now = agent_now (l->agent);
  const struct bb_pool *pool = l->agent->pool;
  struct bb_group_switch *s = &l->map_switch;
  struct bb_demand_engine e;
  struct bb_rebalance_plan p;
  uint16_t *next;

  if (!pool || now - l->last_plan_ms < PLAN_INTERVAL_MS
      || !bb_group_switch_is_ready (s, now))
    return;
  l->last_plan_ms = now;
  next = g_new (uint16_t, bb_group_places (&s->size));
  e = (struct bb_demand_engine){ .expert_mb = pool->engine.expert_mb,
                                 .link_mbps = pool->engine.link_mbps,
                                 .expert_share
                                 = pool->engine.expert_time_share };
  if (bb_demand_plan (&l->demand, &s->size, &e, s->current_map, next, now, &p))
    begin_switch (l, next, &p, now);
  g_free (next);
}
