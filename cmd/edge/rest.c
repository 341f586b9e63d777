/* What upstreams ask for in their answers, and requests that find all
   upstreams of their pool at rest or at the end of what they take.  The
   decisions are those of libload.  */

#include "edge.h"

#include <jansson.h>

#include <string.h>

static void
record_rest (struct target *t, bb_ms rest_ms, bb_ms now)
{
  bb_rest_ask (&t->rest, rest_ms, now);
  bb_counter ("bilberry_upstream_rests_total", "")->value++;
  bb_log_event ("upstream_rests", "{s:s, s:I, s:I}", "upstream", t->id,
                "rest_ms", (json_int_t)rest_ms, "left_ms",
                (json_int_t)(t->rest.until_ms - now));
}

static void
record_leaving (struct target *t)
{
  t->leaving = true;
  bb_log_event ("upstream_leaving", "{s:s, s:I}", "upstream", t->id, "started",
                (json_int_t)t->record->started_unix_ms);
}

void
rest_record_answer (struct request *r)
{
  struct target *t = r->target;

  if (r->reply.rest_ms > 0)
    record_rest (t, r->reply.rest_ms, edge_now (r->edge));
#ifdef BB_MUTANT_edge_leaving
  return;
#endif
  if (r->reply.leaving && !t->leaving)
    record_leaving (t);
}

void
rest_apply_record (struct target *t, bool new_start)
{
#ifdef BB_MUTANT_edge_leaving_start
  t->leaving = false;
#endif
  if (new_start)
    {
      memset (&t->rest, 0, sizeof t->rest);
      memset (&t->limit, 0, sizeof t->limit);
      t->leaving = false;
    }
  t->leaving = t->leaving || t->record->draining;
}

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
      if (strcmp (t->record->pool, q->pool) != 0 || fleet_is_gone (t, now))
        continue;
      bb_rest_ask (&closed, bb_limit_closed_until_ms (&t->limit, now) - now,
                   now);
      bb_pool_opening_add (&o, fleet_is_leaving (e, t), &closed, now);
    }
  wait_ms = bb_pool_opening_wait_ms (&o, unknown_ms, now);
  if (wait_ms == 0)
    return 0;
  /* After its rest an upstream may still have to wait for its group.  */
  group_ms = groups_retry_after_ms (q, wait_ms, now);
  return group_ms > wait_ms ? group_ms : wait_ms;
}
