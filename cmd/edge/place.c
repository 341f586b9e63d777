/* Chooses the upstream of a pool with a limit by the work that it has still to
   do (docs/design/0056-cost-of-requests.md).  */

#include "edge.h"

_Static_assert((uint32_t)BB_PLACE_NONE == (uint32_t)BB_BALANCE_NONE,
               "both choices say by the same value that there is none");

static uint32_t
index_of_group (const struct pool_queue *q, const struct group *g)
{
  for (guint i = 0; i < q->groups->len; i++)
    if (g_ptr_array_index (q->groups, i) == g)
      return i;
  return 0;
}

static void
fill_candidate (struct bb_place_candidate *p,
                const struct bb_balance_candidate *c, const struct target *t,
                const struct pool_queue *q)
{
  *p = (struct bb_place_candidate){
    .usable = c->usable,
    .tried = c->tried,
    .same_domain = c->same_domain,
    .unresponsive = c->unresponsive,
    .group = index_of_group (q, t->group),
    .in_flight = c->in_flight,
    .in_flight_max = c->in_flight_max,
    .slots = t->record->slots,
    .work_ms = bb_work_ms (&t->work) + t->peers_work_ms,
    .prefill_ms = bb_work_prefill_ms (&t->work),
    .memory_tokens = (double)t->work.memory_tokens,
  };
}

/* Fills GROUPS with the groups of Q.  Returns their number.  */
static uint32_t
fill_groups (const struct pool_queue *q, struct bb_place_group *groups)
{
  double fastest = capacity_pass_ms (q);
  uint32_t n = MIN (q->groups->len, BB_PLACE_GROUPS_MAX);

  for (uint32_t i = 0; i < n; i++)
    {
      const struct group *g = g_ptr_array_index (q->groups, i);
      groups[i] = (struct bb_place_group){
        .in_flight = g->all_in_flight,
        .in_flight_max = UINT32_MAX, /* quotas have decided that already */
        .relative_pass = fastest > 0 ? g->pass_ms / fastest : 1,
      };
    }
  return n;
}

uint32_t
place_choose (struct pool_queue *q, const struct request *r,
              const struct bb_balance_candidate *candidates,
              struct target *const *targets, uint32_t count)
{
  static struct bb_place_candidate placed[UPSTREAMS_MAX];
  struct bb_place_group groups[BB_PLACE_GROUPS_MAX];
  struct edge *e = q->edge;
  const struct bb_engine *engine = config_engine (e->config, q->pool);
  struct bb_place_sends *s = &q->place_sends;
  struct bb_place_pool pool = { .candidates = placed,
                                .count = count,
                                .groups = groups,
                                .groups_count = fill_groups (q, groups) };

  for (uint32_t i = 0; i < count; i++)
    fill_candidate (&placed[i], &candidates[i], targets[i], q);
  pool.rank_share = 1 - (engine ? engine->expert_time_share : 0);
  pool.unseen = bb_place_sends_unseen (s, fleet_edge_count (e) - 1,
                                       PEER_STATE_INTERVAL_MS, edge_now (e));
  pool.mean_prefill_ms = s->requests > 0 ? s->prefill_ms / s->requests : 0;
  pool.mean_decode_ms = s->requests > 0 ? s->decode_ms / s->requests : 0;
  return bb_place_choose (&pool, &r->cost, true, g_rand_double (e->rand));
}
