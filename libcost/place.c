/* Chooses the group and the upstream by what a request costs there until it is
   complete, to itself and to the requests that it meets.  */

#include "internal.h"

#include <math.h>
#include <stdlib.h>

/* A request and the usual ones, as the choice needs them.  */
struct need
{
  double prefill_ms;
  double decode_ms;
  double alone_ms;
  double neighbor_ms;
  double memory_tokens;
  double mean_prefill_ms;
  double mean_decode_ms;
  double rank_share;
};

static struct need
need_of (const struct bb_place_pool *p, const struct bb_cost_estimate *e)
{
  struct need q = { .prefill_ms = e->prefill_ms,
                    .decode_ms = e->decode_ms,
                    .alone_ms = e->alone_ms,
                    .neighbor_ms = e->neighbor_ms,
                    .memory_tokens = e->memory_tokens,
                    .mean_prefill_ms = p->mean_prefill_ms,
                    .mean_decode_ms = p->mean_decode_ms,
                    .rank_share = p->rank_share };

  if (p->mean_prefill_ms + p->mean_decode_ms <= 0)
    {
      q.mean_prefill_ms = e->prefill_ms;
      q.mean_decode_ms = e->decode_ms;
    }
  return q;
}

/* What a request meets at an upstream, or on the average in a group.  */
struct load
{
  double requests;
  double slots;
  double prefill_ms;
  double decode_ms;
  double close_streams;
  double relative; /* time of a pass, relative to the fastest */
};

/* Returns the part of a request's time in which one runs with DECODE_MS left
   beside one of Q: the mean of the shorter of two times that are distributed
   exponentially.  */
static double
overlap (const struct need *q, double decode_ms)
{
  return decode_ms > 0 ? decode_ms / (decode_ms + q->decode_ms) : 0;
}

/* Returns the weight of pending prompts for Q: higher for a large prompt.  */
static double
prompt_weight (const struct need *q)
{
#ifdef BB_MUTANT_place_prompts
  return 1;
#endif
  return q->mean_prefill_ms > 0 ? fmax (q->prefill_ms / q->mean_prefill_ms, 1)
                                : 1;
}

/* Returns the time that Q takes and causes beside L.  SHARE is the part of a
   pass that depends on L.  */
static double
cost_at (const struct need *q, const struct load *l, double share)
{
  double left = l->requests > 0 ? l->decode_ms / l->requests : 0;
  double cost = q->alone_ms;

  if (q->alone_ms <= 0)
    return (l->requests + 1) * l->relative;
  cost += l->prefill_ms * prompt_weight (q);
  cost += l->requests * 2 * q->neighbor_ms * overlap (q, left) * share;
  /* One in SLOTS of the requests that run ends in the time that remains of
     one, which is SLOTS times its engine time.  */
  if (l->slots > 0 && l->requests + 1 > l->slots)
    cost += (l->requests + 1 - l->slots) * left;
#ifndef BB_MUTANT_place_close
  cost += q->prefill_ms * l->close_streams;
#endif
  return cost * l->relative;
}

/* Returns by how much a usual request raises the cost of Q.  */
static double
cost_unit (const struct need *q, double share)
{
  if (q->alone_ms <= 0)
    return 1;
  return q->mean_prefill_ms * prompt_weight (q)
         + 2 * q->neighbor_ms * overlap (q, q->mean_decode_ms) * share;
}

/* A choice being made.  */
struct choice
{
  const struct bb_place_pool *pool;
  struct need need;
  bool some_respond;
  bool overcommit;
};

static bool
any_responsive (const struct bb_place_pool *p)
{
  for (uint32_t i = 0; i < p->count; i++)
    if (p->candidates[i].usable && !p->candidates[i].unresponsive)
      return true;
  return false;
}

static bool
has_memory (const struct choice *h, const struct bb_place_candidate *c)
{
#ifdef BB_MUTANT_place_memory
  return true;
#endif
  return h->overcommit || c->memory_max_tokens <= 0 || c->in_flight == 0
         || c->memory_tokens + h->need.memory_tokens <= c->memory_max_tokens;
}

/* Whether C, in GROUP, may get the request.  BB_PLACE_NONE is any group.  */
static bool
is_eligible (const struct choice *h, const struct bb_place_candidate *c,
             uint32_t group)
{
  return c->usable && !c->tried && c->in_flight < c->in_flight_max
         && !(c->unresponsive && h->some_respond)
         && (group == BB_PLACE_NONE || c->group == group) && has_memory (h, c);
}

static struct load
load_of (const struct bb_place_candidate *c)
{
  double prefill_ms = fmax (c->prefill_ms, 0);

  return (struct load){ .requests = c->in_flight,
                        .slots = c->slots,
                        .prefill_ms = prefill_ms,
                        .decode_ms = fmax (c->work_ms - prefill_ms, 0),
                        .close_streams = c->close_streams,
                        .relative = fmax (c->relative_latency, 1) };
}

/* Sets *L to the mean load of the usable upstreams of GROUP.  Returns how many
   they are, and 0 if none may get the request.  */
static uint32_t
load_of_group (const struct choice *h, uint32_t group, struct load *l)
{
  const struct bb_place_group *g = &h->pool->groups[group];
  uint32_t usable = 0;
  bool eligible = false;

  *l = (struct load){ .relative = fmax (g->relative_pass, 1) };
  for (uint32_t i = 0; i < h->pool->count; i++)
    {
      const struct bb_place_candidate *c = &h->pool->candidates[i];
      struct load one = load_of (c);
      if (!c->usable || c->group != group)
        continue;
      usable++;
      eligible = eligible || is_eligible (h, c, group);
      l->slots += one.slots;
      l->prefill_ms += one.prefill_ms;
      l->decode_ms += one.decode_ms;
      l->close_streams += one.close_streams;
    }
  if (!eligible)
    return 0;
  l->requests = (double)g->in_flight / usable;
  l->slots /= usable;
  l->prefill_ms /= usable;
  l->decode_ms /= usable;
  l->close_streams /= usable;
  return usable;
}

/* Returns the group for the request, BB_PLACE_NONE if there is none.  *UNSEEN
   is reduced to the requests that others have sent there.  */
static uint32_t
choose_group (const struct choice *h, double *unseen, double *draw)
{
  struct level_item items[BB_PLACE_GROUPS_MAX];
  uint32_t count = 0;
  uint32_t chosen;
  double share;

  for (uint32_t g = 0; g < h->pool->groups_count && g < BB_PLACE_GROUPS_MAX;
       g++)
    {
      const struct bb_place_group *group = &h->pool->groups[g];
      struct load l;
      uint32_t usable = load_of_group (h, g, &l);
      if (usable == 0 || group->in_flight >= group->in_flight_max)
        continue;
      items[count++] = (struct level_item){ .level = cost_at (&h->need, &l, 1),
                                            .width = usable / l.relative,
                                            .index = g };
    }
  if (count == 0)
    return BB_PLACE_NONE;
  chosen = level_choose (items, count, cost_unit (&h->need, 1), *unseen, draw,
                         &share)
               ->index;
  *unseen *= share;
  return chosen;
}

static uint32_t
choose_rank (const struct choice *h, uint32_t group, double unseen,
             double draw)
{
  const struct bb_place_pool *p = h->pool;
  struct level_item *items = calloc (p->count + 1, sizeof *items);
  double unit = cost_unit (&h->need, h->need.rank_share);
  uint32_t chosen = BB_PLACE_NONE;
  uint32_t count = 0;
  double share;

  if (!items)
    abort ();
  for (uint32_t i = 0; i < p->count; i++)
    {
      const struct bb_place_candidate *c = &p->candidates[i];
      struct load l = load_of (c);
      if (!is_eligible (h, c, group))
        continue;
      items[count++] = (struct level_item){
        .level = cost_at (&h->need, &l, h->need.rank_share),
        .width = 1 / l.relative,
        .own = c->same_domain,
        .index = i,
      };
    }
  if (count > 0)
    chosen = level_choose (items, count, unit, unseen, &draw, &share)->index;
  free (items);
  return chosen;
}

uint32_t
bb_place_choose (const struct bb_place_pool *p,
                 const struct bb_cost_estimate *e, bool overcommit,
                 double draw)
{
  struct choice h = { .pool = p,
                      .need = need_of (p, e),
                      .some_respond = any_responsive (p),
                      .overcommit = overcommit };
  double unseen = p->unseen;
  uint32_t group = BB_PLACE_NONE;

  if (p->groups)
    {
      group = choose_group (&h, &unseen, &draw);
      if (group == BB_PLACE_NONE)
        return BB_PLACE_NONE;
    }
  return choose_rank (&h, group, unseen, draw);
}
