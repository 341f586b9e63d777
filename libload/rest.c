/* An upstream that has too much to do turns requests away at once and says for
   how long it wants none.  Meanwhile it is idle, so that by its load it would
   be the first choice for each request, and the tries that it turns away use
   up the retry budget of requests that others could serve.  */

#include "bilberry/load.h"

void
bb_rest_ask (struct bb_rest *r, bb_ms for_ms, bb_ms now)
{
#ifdef BB_MUTANT_rest_longest
  r->until_ms = now + for_ms;
#endif
  if (for_ms > 0 && now + for_ms > r->until_ms)
    r->until_ms = now + for_ms;
}

bool
bb_rest_is_over (const struct bb_rest *r, bb_ms now)
{
#ifdef BB_MUTANT_rest_over
  return true;
#endif
  return now >= r->until_ms;
}

void
bb_pool_opening_add (struct bb_pool_opening *o, bool leaves,
                     const struct bb_rest *r, bb_ms now)
{
  o->upstreams++;
  if (leaves)
    return;
  if (bb_rest_is_over (r, now))
    o->is_open = true;
  if (o->at_ms == 0 || r->until_ms < o->at_ms)
    o->at_ms = r->until_ms;
}

bb_ms
bb_pool_opening_wait_ms (const struct bb_pool_opening *o, bb_ms unknown_ms,
                         bb_ms now)
{
  if (o->is_open || o->upstreams == 0)
    return 0;
  return o->at_ms > 0 ? o->at_ms - now : unknown_ms;
}
