/* Chooses the upstream of an idempotent request among the links of its
   pool.  */

#include "entry.h"

enum
{
  CANDIDATES_MAX = 128 /* more than a subset has; further links of a pool that
                          connects to all its agents are ignored */
};

bool
choose_was_tried (const struct request *q, const struct link *l)
{
  for (uint32_t i = 0; i < q->tried_count; i++)
    if (q->tried_upstreams[i] == l->name_hash)
      return true;
  return false;
}

static bool
domain_was_tried (const struct request *q, const struct link *l)
{
  for (uint32_t i = 0; i < q->tried_count; i++)
    if (q->tried_domains[i] == l->domain_hash)
      return true;
  return false;
}

static struct bb_candidate
candidate_of (const struct request *q, const struct link *l, bb_ms now)
{
  struct bb_candidate c
      = { .own_in_flight = l->in_flight,
          .other_requests = l->other_requests,
          .report_age_ms = now - l->load_received_ms,
          .limit = l->load.limit,
          .ramp_percent = bb_health_ramp_percent (&l->health, now),
          .same_domain = l->same_domain,
          .tried = choose_was_tried (q, l),
          .domain_tried = domain_was_tried (q, l) };

  return c;
}

/* Marks the candidate that likely has the prefix of the prompt in its cache:
   the one that a long part of it was last sent to, else the one with the
   highest rendezvous hash, on which all entries agree.  */
static void
mark_prefix_holder (const struct request *q, struct bb_candidate *c,
                    struct link *const *links, uint32_t count)
{
  uint64_t holder = bb_prefix_find (&q->entry->prefixes, &q->prefix);
  uint64_t best_score = 0;
  uint32_t best_index = BB_ROUTE_NONE;

  for (uint32_t i = 0; i < count && q->prefix.count > 0; i++)
    {
      uint64_t score = links[i]->name_hash == holder
                           ? UINT64_MAX
                           : bb_prefix_score (&q->prefix, links[i]->name_hash);
      if (best_index != BB_ROUTE_NONE && score <= best_score)
        continue;
      best_score = score;
      best_index = i;
    }
  if (best_index != BB_ROUTE_NONE)
    c[best_index].holds_prefix = true;
}

struct link *
choose_link (struct request *q)
{
  const struct pool *p = q->pool;
  struct bb_candidate c[CANDIDATES_MAX];
  struct link *links[CANDIDATES_MAX];
  bb_ms now = entry_now ();
  uint32_t count = 0;
  uint32_t i;

  for (i = 0; i < p->links_count && count < CANDIDATES_MAX; i++)
    {
      struct link *l = p->links[i];
      if (!link_usable (l) || !bb_health_usable (&l->health, now))
        continue;
      c[count] = candidate_of (q, l, now);
      links[count++] = l;
    }
  mark_prefix_holder (q, c, links, count);
  i = bb_route_choose (c, count, q->entry->rand);
  if (i == BB_ROUTE_NONE)
    return NULL;
  bb_prefix_put (&q->entry->prefixes, &q->prefix, links[i]->name_hash);
  return links[i];
}
