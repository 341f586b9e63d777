/* What upstreams ask for in their answers.  The decisions are those of
   libload.  */

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
