#include "edge.h"

static void
on_timer (uv_timer_t *t)
{
  struct request *r = t->data;

  send_timer (r);
}

struct request *
request_new (struct edge *e, struct bb_h1_exchange *x)
{
  struct request *r = g_new0 (struct request, 1);

  r->edge = e;
  r->x = x;
  r->read_ms = x->read_ms;
  r->number = ++e->numbers;
  r->draw = g_rand_double (e->rand);
  r->body = g_byte_array_new ();
  r->timer = g_new0 (uv_timer_t, 1);
  uv_timer_init (e->loop, r->timer);
  r->timer->data = r;
  x->user = r;
  return r;
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
  if (r->text)
    g_string_chunk_free (r->text);
  g_byte_array_unref (r->body);
  bb_config_unref (r->config);
  g_free (r->pool);
  g_free (r->customer);
  g_free (r);
}

void
request_set_timer (struct request *r, bb_ms at)
{
  bb_ms now = edge_now (r->edge);

  uv_timer_start (r->timer, on_timer, at > now ? (uint64_t)(at - now) : 0, 0);
}

static void
count_customer (struct request *r, int32_t change)
{
  GHashTable *h = r->edge->in_flight_of;
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
request_take (struct request *r, struct target *t)
{
  r->at = t;
  if (t->in_flight == 0)
    t->heard_ms = edge_now (r->edge);
  t->in_flight++;
  r->group = groups_of (r->edge, t);
  if (r->group)
    r->group->in_flight++;
  r->prompt = r->ask.prompt_tokens;
  t->prompt += r->prompt;
  count_customer (r, 1);
}

void
request_prompt_read (struct request *r)
{
  if (r->at)
    r->at->prompt -= r->prompt;
  r->prompt = 0;
}

void
request_release (struct request *r)
{
  if (!r->at)
    return;
  request_prompt_read (r);
  r->at->in_flight--;
  if (r->group)
    r->group->in_flight--;
  r->group = NULL;
  count_customer (r, -1);
  r->at = NULL;
}
