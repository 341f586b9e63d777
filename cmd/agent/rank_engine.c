#include "rank.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum
{
  RETRY_MS = 50,
  ANSWER_MAX_BYTES = 16 * 1024 * 1024
};

enum question_kind
{
  ASK,
  ORDER,
  LOAD,
  COUNT
};

/* A request to the engine.  */
struct question
{
  struct rank *rank;
  enum question_kind kind;
  uint64_t hash;
  uint16_t status;
  GString *body;
};

static void
on_head (struct bb_http_call *c, uint16_t status,
         const struct bb_header *headers, uint32_t count)
{
  struct question *q = bb_http_call_user (c);

  (void)headers;
  (void)count;
  q->status = status;
}

static void
on_data (struct bb_http_call *c, struct bb_bytes piece)
{
  struct question *q = bb_http_call_user (c);

  if (q->body->len + piece.size <= ANSWER_MAX_BYTES)
    g_string_append_len (q->body, piece.ptr, piece.size);
}

static void
on_retry (uv_timer_t *t)
{
  engine_order (t->data);
}

static void
on_order_answer (struct rank *r, const struct question *q, bool good,
                 const struct bb_switch_saved_state *m)
{
  enum
  {
    STEP_STARTED = 409,
    FENCED = 412
  };

  if (good && (q->status == 200 || q->status == STEP_STARTED))
    {
      rank_ordered (r, q->status == 200, m);
      return;
    }
  if (good && q->status == FENCED)
    {
      r->refused_orders++;
      bb_log (BB_LOG_WARN, "rank", "The engine refused an old order.");
    }
  uv_timer_start (&r->retry, on_retry, RETRY_MS, 0);
}

static void
on_end (struct bb_http_call *c, const char *error, enum bb_run run)
{
  static const struct bb_switch_saved_state none;
  struct question *q = bb_http_call_user (c);
  struct rank *r = q->rank;
  struct bb_switch_saved_state m = none;
  bool good = !error;

  (void)run;
  if (q->kind == ASK || q->kind == ORDER)
    good = good && bb_switch_saved_state_parse (q->body->str, &m);
  if (q->kind == ORDER)
    on_order_answer (r, q, good, &m);
  else if (q->kind == ASK && good)
    rank_refresh (r, &m);
  else if (q->kind == ASK)
    r->busy = false;
  else if (q->kind == COUNT && good)
    rank_counted (r, q->body->str);
  else if (q->kind == LOAD)
    {
      struct rank_event e = { .kind = RANK_LOADED, .hash = q->hash };
      r->loading_hash = 0;
      if (good)
        rank_take (r, &e);
    }
  g_string_free (q->body, TRUE);
  free (q);
}

static void
ask (struct rank *r, enum question_kind kind, uint64_t hash,
     const char *method, const char *path, const char *body)
{
  static const struct bb_http_call_ops ops
      = { .on_head = on_head, .on_data = on_data, .on_end = on_end };
  struct question *q = calloc (1, sizeof *q);

  q->rank = r;
  q->kind = kind;
  q->hash = hash;
  q->body = g_string_new ("");
  bb_http_client_send (r->engine, bb_bytes_of (method), bb_bytes_of (path),
                       NULL, 0, bb_bytes_of (body ? body : ""), &ops, q);
}

void
engine_ask (struct rank *r)
{
  ask (r, ASK, 0, "GET", "/memory", NULL);
}

void
engine_order (struct rank *r)
{
  const struct bb_switch_saved_state *m = &r->sw.saved;
  const struct bb_switch_saved_state *old = &r->before.saved;
  char text[BB_SWITCH_SAVED_STATE_TEXT_SIZE];
  uint64_t below = 0;
  char *path;

  /* A new value holds only where its step is still ahead.  */
  if (old->accepted_ballot != 0 && m->accepted.id != old->accepted.id
      && m->accepted.id != old->in_force.id)
    below = m->accepted.from_step;
  path = g_strdup_printf ("/memory?below=%" PRIu64 "&incarnation=%" PRIu64,
                          below, r->sw.incarnation);
  bb_switch_saved_state_print (m, text);
  ask (r, ORDER, 0, "PUT", path, text);
  g_free (path);
}

/* Returns how many weights the rank lacks for the map of HASH.  */
static uint32_t
count_missing (const struct rank *r, uint64_t hash)
{
  const struct bb_map *next = rank_map (r, hash);
  const struct bb_map *now = rank_map (r, r->sw.saved.in_force.hash);
  struct bb_map_size one = r->size;
  uint32_t missing = 0;
  size_t first = (size_t)r->self * r->size.slots;

  one.layers = 1;
  one.ranks = 1;
  for (uint32_t l = 0; next && l < r->size.layers; l++)
    {
      uint16_t none[BB_TRACE_SIZE_MAX];
      struct bb_map_layer a = { .expert = none };
      struct bb_map_layer b = { .expert = next->layers[l].expert + first };
      struct bb_map old_part = { .size = one, .layers = &a };
      struct bb_map next_part = { .size = one, .layers = &b };
      memset (none, 0xff, sizeof none);
      if (now)
        a.expert = now->layers[l].expert + first;
      missing += bb_map_moves (&old_part, &next_part);
    }
  return missing;
}

void
engine_load (struct rank *r, uint64_t hash)
{
  char *path = g_strdup_printf ("/load?experts=%u", count_missing (r, hash));

  ask (r, LOAD, hash, "POST", path, NULL);
  g_free (path);
}

void
engine_count (struct rank *r)
{
  char *path = g_strdup_printf ("/counts?layers=%u&experts=%u", r->size.layers,
                                r->size.experts);

  ask (r, COUNT, 0, "GET", path, NULL);
  g_free (path);
}
