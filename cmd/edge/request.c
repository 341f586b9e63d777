#include "edge.h"

enum
{
  /* Callers give up a stream after a pause of this length, or of so many SLOs
     or targets for the time between events where that is longer.  */
  PATIENCE_MIN_MS = 2000,
  PATIENCE_SLOS = 4,
  PATIENCE_GAPS = 8
};

/* Part of the callers' patience after which a stream is continued elsewhere,
   so that they see the next event in time.  */
static const double patience_part = 0.8;

static void
on_timer (uv_timer_t *t)
{
  struct request *r = t->data;

  r->edge->queue_ops->on_timer (r);
}

struct request *
request_new (struct edge *e, struct bb_h1_exchange *x)
{
  struct request *r = g_new0 (struct request, 1);

  r->edge = e;
  r->exchange = x;
  r->received_ms = x->received_ms;
  r->number = ++e->last_request_number;
  r->split_draw = g_rand_double (e->rand);
  r->body = g_byte_array_new ();
  r->timer = g_new0 (uv_timer_t, 1);
  uv_timer_init (e->loop, r->timer);
  r->timer->data = r;
  x->user = r;
  return r;
}

void
request_append_body (struct request *r, struct bb_bytes data)
{
  g_byte_array_append (r->body, (const guint8 *)data.ptr, data.size);
  bb_memory_add (&r->edge->memory, data.size);
}

void
request_shorten_body (struct request *r, size_t size)
{
  g_byte_array_remove_range (r->body, 0, (guint)size);
  bb_memory_give (&r->edge->memory, size);
}

uint32_t
request_priority (const struct request *r)
{
  return r->priority < BB_ALLOT_PRIORITIES ? (uint32_t)MAX (r->priority, 0)
                                           : BB_ALLOT_PRIORITIES - 1;
}

bb_ms
request_gap_max_ms (const struct request *r)
{
  const struct bb_route *route = r->route;
  bb_ms patience = PATIENCE_MIN_MS;

#ifndef BB_MUTANT_patience
  patience = MAX (patience, route->slo_ms * PATIENCE_SLOS);
  patience = MAX (patience, route->itl_target_ms * PATIENCE_GAPS);
#endif
  return (bb_ms)((double)patience * patience_part);
}

bool
request_is_idempotent (const struct request *r)
{
  enum bb_call_kind kind = r->route->kind;

  return kind == BB_CALL_IDEMPOTENT
         || (kind == BB_CALL_STREAM && r->route->resumable);
}

void
request_clear_body (struct request *r)
{
  bb_memory_give (&r->edge->memory, r->body->len);
  g_byte_array_unref (r->body);
  r->body = g_byte_array_new ();
  r->scanned_bytes = 0;
  r->empty_bytes = 0;
}

GBytes *
request_take_body (struct request *r)
{
  GByteArray *body = r->body;

  bb_memory_give (&r->edge->memory, body->len);
  r->body = g_byte_array_new ();
  r->scanned_bytes = 0;
  return g_byte_array_free_to_bytes (body);
}

static void
on_timer_closed (uv_handle_t *h)
{
  g_free (h);
}

void
request_free (struct request *r)
{
  uv_close ((uv_handle_t *)r->timer, on_timer_closed);
  isolate_release (r);
  if (r->headers_text)
    g_string_chunk_free (r->headers_text);
  bb_memory_give (&r->edge->memory, r->body->len);
  g_byte_array_unref (r->body);
  bb_config_unref (r->config);
  g_free (r->pool);
  g_free (r->customer);
  g_free (r);
}

void
request_set_timer (struct request *r, bb_ms at_ms)
{
  bb_ms now = edge_now (r->edge);

  uv_timer_start (r->timer, on_timer,
                  at_ms > now ? (uint64_t)(at_ms - now) : 0, 0);
}

static void
count_customer (struct request *r, int32_t change)
{
  GHashTable *h = r->edge->customer_in_flight;
  int32_t n;

  if (!r->customer)
    return;
  n = GPOINTER_TO_INT (g_hash_table_lookup (h, r->customer)) + change;
  if (n > 0)
    g_hash_table_replace (h, g_strdup (r->customer), GINT_TO_POINTER (n));
  else
    g_hash_table_remove (h, r->customer);
}

void
request_assign (struct request *r, struct target *t)
{
  r->target = t;
  target_hold (t);
  if (t->in_flight == 0)
    t->last_activity_ms = edge_now (r->edge);
  t->in_flight++;
  r->group = groups_find (r->edge, t);
  if (r->group)
    {
      r->group->in_flight++;
      r->group->all_in_flight++;
      r->group->in_flight_by_priority[request_priority (r)]++;
    }
  r->prompt_tokens = r->info.prompt_tokens;
  t->prompt_tokens += r->prompt_tokens;
  count_customer (r, 1);
  demand_set_in_flight (r, true);
  if (r->queue->limited)
    bb_work_add (&t->work, &r->work_part, &r->cost);
}

void
request_prompt_processed (struct request *r)
{
  if (r->target)
    r->target->prompt_tokens -= r->prompt_tokens;
  r->prompt_tokens = 0;
}

void
request_release (struct request *r)
{
  isolate_release (r);
  if (r->memory_since_ms > 0)
    g_queue_remove (&r->edge->memory_waiting, r);
  r->memory_since_ms = 0;
  if (!r->target)
    return;
  request_prompt_processed (r);
  r->target->in_flight--;
  if (r->group)
    {
      r->group->in_flight--;
      if (r->group->all_in_flight > 0)
        r->group->all_in_flight--;
      r->group->in_flight_by_priority[request_priority (r)]--;
    }
  r->group = NULL;
  count_customer (r, -1);
  demand_set_in_flight (r, false);
  bb_work_remove (&r->target->work, &r->work_part);
  target_release (r->target);
  r->target = NULL;
}
