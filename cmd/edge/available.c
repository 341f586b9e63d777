/* Which upstreams may get requests.  */

#include "edge.h"

bool
target_is_gone (const struct target *t, bb_ms now)
{
  return (t->retire_at_ms != 0 && now >= t->retire_at_ms)
         || address_is_taken_over (t->address, t->record);
}

bool
target_is_leaving (const struct edge *e, const struct target *t)
{
  return t->leaving
         || g_hash_table_contains (e->evacuated_domains,
                                   t->record->failure_domain);
}

bool
target_may_get_requests (const struct edge *e, const struct target *t,
                         bb_ms now)
{
  if (target_is_gone (t, now) || target_is_leaving (e, t) || crash_holds (t))
    return false;
#ifndef BB_MUTANT_edge_rest
  if (!bb_rest_is_over (&t->rest, now))
    return false;
#endif
  return bb_ejection_is_usable (&t->ejection, now);
}
