/* Puts the configurations of the operator in force.  A large one is decoded in
   steps, between which the edge serves requests.  */

#include "edge.h"

#include <jansson.h>

enum
{
  STEP_BYTES = 16384, /* parsed in a step */
  /* Share of the descriptors; upstreams need the rest.  */
  CALLER_CONNECTIONS_PERCENT = 60,

  /* Limits until there is a configuration.  */
  HEAD_TIMEOUT_MS = 3000,
  IDLE_TIMEOUT_MS = 15000,
  HEAD_MAX_BYTES = 16384,
  BODY_MAX_BYTES = 4194304
};

/* A configuration that has arrived.  */
struct arrival
{
  GBytes *value; /* NULL: none */
  bb_revision revision;
  const char *source;
};

static struct edge *edge;
static struct arrival current; /* is being decoded */
static struct arrival next;    /* the last of those that came meanwhile */
static struct bb_config_decoder *decoder;
static uv_idle_t idle;
static bb_ms started_ms;
static bb_ms longest_step_ms;

/* Updates the queues from the pools of the configuration.  */
static void
update_queues (struct edge *e)
{
  GHashTableIter it;
  void *value;

  g_hash_table_iter_init (&it, e->config->pools);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct bb_pool *p = value;
      struct pool_queue *q = pool_queue_of (e, p->name);
      q->grouped = p->has_engine && p->engine.sets > 0;
    }
}

struct bb_h1_limits
config_front_limits (struct edge *e)
{
  const struct bb_config *c = e->config;

  return (struct bb_h1_limits){
    .head_max_bytes = c ? c->head_max_bytes : HEAD_MAX_BYTES,
    .body_max_bytes = c ? c->body_max_bytes : BODY_MAX_BYTES,
    .read_timeout_ms = c ? c->head_timeout_ms : HEAD_TIMEOUT_MS,
    .idle_timeout_ms = c ? c->idle_timeout_ms : IDLE_TIMEOUT_MS,
    .connections_max
    = e->settings->descriptors_max * CALLER_CONNECTIONS_PERCENT / 100,
    .memory = &e->memory
  };
}

static void
update_limits (struct edge *e)
{
  struct bb_h1_limits limits = config_front_limits (e);

  if (e->front_server)
    bb_h1_server_set_limits (e->front_server, &limits);
}

static void
log_unusable (const struct arrival *a, const char *why)
{
  bb_counter ("bilberry_items_unusable_total", "kind=\"config\"")->value++;
  bb_log_event ("config_unusable", "{s:s, s:I, s:I, s:s}", "source", a->source,
                BB_LOG_REVISION (a->revision), "why", why);
}

/* Puts C, which was decoded from A, in force, unless an older one.  */
static void
put_in_force (struct edge *e, struct bb_config *c, const struct arrival *a)
{
  if (!bb_config_may_replace (c, e->config))
    {
      bb_log_event ("config_older", "{s:s, s:I, s:I}", "source", a->source,
                    "version", (json_int_t)c->version, "in_force",
                    (json_int_t)e->config->version);
      bb_config_unref (c);
      return;
    }
  bb_log_event ("config", "{s:s, s:I, s:I, s:I, s:i, s:i, s:I, s:I, s:I}",
                "source", a->source, "version", (json_int_t)c->version,
                BB_LOG_REVISION (a->revision), "routes", (int)c->routes->len,
                "customers", (int)c->customers->len, "bytes",
                (json_int_t)g_bytes_get_size (a->value), "decode_ms",
                (json_int_t)(bb_clock_now () - started_ms), "step_ms",
                (json_int_t)longest_step_ms);
  bb_config_unref (e->config);
  e->config = c;
  targets_apply_config (e);
  update_queues (e);
  update_limits (e);
  e->queue_ops->dispatch_all (e);
}

static void
start_decoding (struct arrival a)
{
  current = a;
  started_ms = bb_clock_now ();
  longest_step_ms = 0;
  decoder = bb_config_decoder_new (a.value, a.revision, edge->config);
}

static void
finish_decoding (void)
{
  const char *why = NULL;
  struct bb_config *c = bb_config_decoder_end (decoder, &why);

  decoder = NULL;
  if (c)
    put_in_force (edge, c, &current);
  else
    log_unusable (&current, why);
  g_bytes_unref (current.value);
  current.value = NULL;
}

/* Decodes a part.  Returns whether there is nothing more to decode.  */
static bool
decode_part (void)
{
  bb_ms start_ms = bb_clock_now ();
  bool done = bb_config_decoder_step (decoder, STEP_BYTES);
  bb_ms took_ms = bb_clock_now () - start_ms;

  if (took_ms > longest_step_ms)
    longest_step_ms = took_ms;
  if (!done)
    return false;
  finish_decoding ();
  if (!next.value)
    return true;
  start_decoding (next);
  next.value = NULL;
  return false;
}

static void
on_idle (uv_idle_t *i)
{
  if (decode_part ())
    uv_idle_stop (i);
}

void
config_apply (GBytes *value, bb_revision revision, const char *source)
{
  struct arrival a = { .revision = revision, .source = source };

  if (!value)
    {
      log_unusable (&a, "it was removed");
      return;
    }
  a.value = g_bytes_ref (value);
  if (decoder)
    {
      if (next.value)
        g_bytes_unref (next.value);
      next = a;
      return;
    }
  start_decoding (a);
  /* A small one is in force at once.  */
  if (!decode_part ())
    uv_idle_start (&idle, on_idle);
}

void
config_init (struct edge *e)
{
  edge = e;
  uv_idle_init (e->loop, &idle);
}
