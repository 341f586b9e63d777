/* Sends requests that may crash upstreams only where no other one is in
   flight, of any edge.  The decisions are those of libload.  */

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

bool
isolate_claim (struct request *r, const struct target *t)
{
  struct edge *e = r->edge;

  r->claimed_hash = t->id_hash;
  switch (
      bb_isolation_claim (e->isolation, t->id_hash, r->number, edge_now (e)))
    {
    case BB_ISOLATION_SEND:
      r->isolated = true;
      tell_use (e, t->id_hash, BB_ISOLATION_USE_IN_FLIGHT);
      return true;
    case BB_ISOLATION_CLAIMED:
      tell_use (e, t->id_hash, BB_ISOLATION_USE_CLAIM);
      return false;
    case BB_ISOLATION_WAIT:
      return false;
    }
  return false;
}

void
isolate_release (struct request *r)
{
  struct edge *e = r->edge;

  if (!r->isolated)
    return;
  r->isolated = false;
  bb_isolation_end (e->isolation, r->claimed_hash);
  tell_use (e, r->claimed_hash, BB_ISOLATION_USE_FREE);
  r->claimed_hash = 0;
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
    queue_dispatch_all (e);
}

void
isolate_init (struct edge *e)
{
  e->isolation = bb_isolation_new (name_hash (e->settings->name));
}
