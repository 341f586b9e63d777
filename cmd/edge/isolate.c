/* Sends requests that may crash upstreams only where no other one is in
   flight, of any edge, and one at a time of those that share a suspect part.
   The decisions are those of libload.  */

#include "edge.h"

#include <string.h>
#include <xxhash.h>

static uint64_t
name_hash (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}

static void
tell_use (struct edge *e, uint64_t upstream, enum bb_isolation_use use)
{
  struct bb_peer_isolated m = { .upstream = upstream, .use = (uint8_t)use };

  bb_peers_broadcast_isolated (e->peers, &m);
}

bool
isolate_may_use (const struct request *r, const struct target *t)
{
  return bb_isolation_may_use (r->edge->isolation, t->id_hash, r->number,
                               edge_now (r->edge));
}

bool
isolate_owns (const struct edge *e, const struct target *t)
{
  return bb_isolation_is_own (e->isolation, t->id_hash);
}

uint64_t
isolate_owner (const struct edge *e, const struct target *t)
{
  return bb_isolation_owner (e->isolation, t->id_hash);
}

static void
release_claim (struct edge *e, struct isolation_claim *c)
{
  if (!c->granted)
    return;
  bb_isolation_end (e->isolation, c->key);
  tell_use (e, c->key, BB_ISOLATION_USE_FREE);
  *c = (struct isolation_claim){ 0 };
}

/* Claims KEY for R as C.  Returns whether the claim is granted.  */
static bool
claim_key (const struct request *r, struct isolation_claim *c, uint64_t key)
{
  struct edge *e = r->edge;
  bb_ms now = edge_now (e);

  if (c->granted && c->key == key)
    return true;
  release_claim (e, c);
  if (!bb_isolation_may_use (e->isolation, key, r->number, now))
    return false;
  c->key = key;
  switch (bb_isolation_claim (e->isolation, key, r->number, now))
    {
    case BB_ISOLATION_SEND:
      c->granted = true;
      tell_use (e, key, BB_ISOLATION_USE_IN_FLIGHT);
      return true;
    case BB_ISOLATION_CLAIMED:
      tell_use (e, key, BB_ISOLATION_USE_CLAIM);
      return false;
    case BB_ISOLATION_WAIT:
      return false;
    }
  return false;
}

bool
isolate_claim (struct request *r, const struct target *t)
{
  uint64_t part
      = bb_parts_most_suspect (r->edge->parts, r->identity.parts,
                               r->identity.parts_count, edge_now (r->edge));

  if (part != 0 && !claim_key (r, &r->part_claim, part))
    return false;
  return claim_key (r, &r->upstream_claim, t->id_hash);
}

void
isolate_release (struct request *r)
{
  release_claim (r->edge, &r->upstream_claim);
  release_claim (r->edge, &r->part_claim);
}

static void
tell_in_flight (void *arg, uint64_t upstream)
{
  tell_use (arg, upstream, BB_ISOLATION_USE_IN_FLIGHT);
}

void
isolate_add_edge (struct edge *e, const char *name)
{
  if (bb_isolation_add_member (e->isolation, name_hash (name)))
    bb_isolation_each (e->isolation, tell_in_flight, e);
}

void
isolate_remove_edge (struct edge *e, const char *name)
{
  bb_isolation_remove_member (e->isolation, name_hash (name));
}

void
isolate_apply (struct edge *e, const char *name,
               const struct bb_peer_isolated *m)
{
  if (m->use < BB_ISOLATION_USE_COUNT)
    bb_isolation_apply (e->isolation, name_hash (name), m->upstream, m->use,
                        edge_now (e));
  /* An isolated request may wait for this upstream.  */
  if (m->use == BB_ISOLATION_USE_FREE)
    e->queue_ops->dispatch_all (e);
}

void
isolate_init (struct edge *e)
{
  e->isolation = bb_isolation_new (name_hash (e->settings->name));
}
