/* How long requests wait that find all upstreams of their pool at rest or at
   the end of what they take.  */

#include "edge.h"

#include <string.h>

bb_ms
rest_wait_ms (const struct pool_queue *q, bb_ms unknown_ms, bb_ms now)
{
  const struct edge *e = q->edge;
  struct bb_pool_opening o = { 0 };
  bb_ms wait_ms;
  bb_ms group_ms;

  for (guint i = 0; i < e->target_list->len && !o.is_open; i++)
    {
      const struct target *t = g_ptr_array_index (e->target_list, i);
      struct bb_rest closed = t->rest;
      if (strcmp (t->record->pool, q->pool) != 0 || target_is_gone (t, now))
        continue;
      bb_rest_ask (&closed, bb_limit_closed_until_ms (&t->limit, now) - now,
                   now);
      bb_pool_opening_add (&o, target_is_leaving (e, t), &closed, now);
    }
  wait_ms = bb_pool_opening_wait_ms (&o, unknown_ms, now);
  if (wait_ms == 0)
    return 0;
  /* After its rest an upstream may still have to wait for its group.  */
  group_ms = groups_retry_after_ms (q, wait_ms, now);
  return group_ms > wait_ms ? group_ms : wait_ms;
}
