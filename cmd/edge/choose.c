/* Chooses the upstream for a request.  */

#include "edge.h"

#include <math.h>
#include <string.h>

enum
{
  COLD_LEAST = 1,        /* requests a second of all edges that start */
  COLD_WINDOW_MS = 1000, /* in which a cold upstream's requests count */
  SENDS_DECAY_MS = 1000, /* over which the rate of sends is taken */
  LOAD_AGE_MS = 100,     /* mean age of what other edges have told */
  PREFILL_TOKENS_PER_DECODE = 700 /* prompt tokens whose prefill loads a rank
                                     like one decoding request */
};

static bool
was_tried (const struct request *r, const struct target *t)
{
  for (uint32_t i = 0; i < r->tried_count; i++)
    if (r->tried_hashes[i] == t->id_hash)
      return true;
  return false;
}

bool
choose_is_within_limit (const struct target *t, bool asks, bb_ms now)
{
#ifdef BB_MUTANT_limit_read
  return true;
#endif
  return bb_limit_allows (&t->limit, now)
         || (asks && bb_limit_may_ask (&t->limit, now));
}

static void
fill_candidate (struct bb_balance_candidate *c, const struct request *r,
                struct target *t, uint32_t cold_share, bool asks)
{
  struct edge *e = r->edge;
  bb_ms now = edge_now (e);

  c->usable = target_may_get_requests (e, t, now)
              && choose_is_within_limit (t, asks, now)
              && groups_is_up (groups_find (e, t), now)
              && (!r->queue->limited || capacity_may_start (t->group, r))
              && bb_rate_limiter_allows (&t->rate_limiter, now, cold_share);
  c->unresponsive
      = bb_balance_is_unresponsive (t->in_flight, t->last_activity_ms, now);
  c->same_domain
      = strcmp (t->record->failure_domain, e->settings->failure_domain) == 0;
  c->in_flight = t->in_flight + t->peers_in_flight;
  c->in_flight_max = t->record->slots;
  c->pending_prompt_tokens = t->prompt_tokens;
  c->relative_latency = 1;
}

/* Sets how slow each upstream is, relative to the fastest.  For pools without
   an engine: ranks of a group run in lockstep, so their times say nothing.  */
static void
fill_relative_latency (struct bb_balance_candidate *candidates,
                       struct target **targets, uint32_t n)
{
  double least = 0;

  for (uint32_t i = 0; i < n; i++)
    if (targets[i]->latency_ms > 0
        && (least == 0 || targets[i]->latency_ms < least))
      least = targets[i]->latency_ms;
  for (uint32_t i = 0; i < n && least > 0; i++)
    if (targets[i]->latency_ms > 2 * least)
      candidates[i].relative_latency = targets[i]->latency_ms / least;
}

/* Which upstreams a request may be sent to, in the order in which they are
   considered.  */
enum choice
{
  CHOICE_CLAIMED, /* that which an isolated request has claimed */
  CHOICE_OWN,     /* not tried, and needs no claim; for isolated requests */
  CHOICE_UNTRIED, /* not tried */
  CHOICE_ANY      /* for requests that were tried before */
};

static bool
is_excluded (enum choice c, const struct request *r, const struct target *t)
{
  switch (c)
    {
    case CHOICE_CLAIMED:
      return t->id_hash != r->upstream_claim.key;
    case CHOICE_OWN:
      return was_tried (r, t) || !isolate_owns (r->edge, t);
    case CHOICE_UNTRIED:
      return was_tried (r, t);
    case CHOICE_ANY:
      return false;
    }
  return false;
}

/* Returns how many requests a second this edge may send to an upstream of
   POOL, which may be cold.  */
static uint32_t
cold_share (const struct edge *e, const struct bb_pool *pool)
{
  double requests_per_s = pool ? pool->cold_requests_per_s : 0;
  bool starts = edge_now (e) - e->started_ms < COLD_WINDOW_MS;

  /* What the processes before may have sent in this second is not known: only
     what is allowed beyond the limit is left.  */
#ifndef BB_MUTANT_cold_start
  if (starts && requests_per_s > 0)
    requests_per_s
        = MAX (requests_per_s * (e->settings->cold_overage - 1), COLD_LEAST);
#endif
  return bb_cold_start_share (requests_per_s, fleet_edge_count (e));
}

/* Lets the sends of Q decay.  */
static void
decay_sends (struct pool_queue *q)
{
  bb_ms now = edge_now (q->edge);

  q->sends *= exp (-(double)(now - q->sends_decayed_ms) / SENDS_DECAY_MS);
  q->sends_decayed_ms = now;
}

/* Returns how many requests the other edges, which are taken to send as much
   as this one, have sent to the pool of Q since they told their loads.  */
static double
unseen_sends (struct pool_queue *q)
{
  decay_sends (q);
  return q->sends * (fleet_edge_count (q->edge) - 1) * LOAD_AGE_MS
         / SENDS_DECAY_MS;
}

void
choose_record_send (const struct request *r)
{
  struct pool_queue *q = r->queue;

  decay_sends (q);
  q->sends++;
  if (q->limited)
    bb_place_sends_add (&q->place_sends, &r->cost, edge_now (q->edge));
}

struct target *
choose_target (struct pool_queue *q, const struct request *r, bool asks)
{
  struct edge *e = q->edge;
  const struct bb_pool *pool = bb_config_find_pool (e->config, q->pool);
  uint32_t share = cold_share (e, pool);
  bool isolated = suspect_is_suspect (r);
  struct bb_balance_candidate candidates[UPSTREAMS_MAX] = { 0 };
  struct target *targets[UPSTREAMS_MAX];
  struct bb_balance_cost cost = { .per_request = 1, .per_prompt_token = 0 };
  enum choice last = r->tried_count > 0 ? CHOICE_ANY : CHOICE_UNTRIED;
  uint32_t n = 0;
  uint32_t chosen = BB_BALANCE_NONE;
  double unseen = unseen_sends (q);

  for (guint k = 0; k < e->target_list->len && n < UPSTREAMS_MAX; k++)
    {
      struct target *t = g_ptr_array_index (e->target_list, k);
      if (strcmp (t->record->pool, q->pool) != 0)
        continue;
      fill_candidate (&candidates[n], r, t, share, asks);
#ifndef BB_MUTANT_edge_isolate
      if (isolated && !isolate_may_use (r, t))
        candidates[n].usable = false;
#endif
      targets[n++] = t;
    }
  if (pool && pool->has_engine)
    cost.per_prompt_token = 1.0 / PREFILL_TOKENS_PER_DECODE;
  else
    fill_relative_latency (candidates, targets, n);
  for (enum choice c = isolated ? CHOICE_CLAIMED : CHOICE_UNTRIED;
       c <= last && chosen == BB_BALANCE_NONE; c++)
    {
      for (uint32_t k = 0; k < n; k++)
        candidates[k].tried = is_excluded (c, r, targets[k]);
      chosen = q->limited ? place_choose (q, r, candidates, targets, n)
                          : bb_balance_spread (candidates, n, &cost, unseen,
                                               g_rand_double (e->rand));
    }
  return chosen == BB_BALANCE_NONE ? NULL : targets[chosen];
}
