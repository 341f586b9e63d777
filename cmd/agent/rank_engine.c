/* Requests of a rank's agent to its local engine.  */

#include "rank.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SAVE_RETRY_MS = 50,
  RESPONSE_MAX_BYTES = 16 * 1024 * 1024
};

enum engine_request_kind
{
  REQUEST_READ_STATE,
  REQUEST_SAVE_STATE,
  REQUEST_LOAD_WEIGHTS,
  REQUEST_READ_COUNTS
};

/* A request to the engine that is in progress.  */
struct engine_request
{
  struct rank *rank;
  enum engine_request_kind kind;
  uint64_t hash; /* hash of the map, for REQUEST_LOAD_WEIGHTS */
};

static void
on_retry (uv_timer_t *t)
{
  engine_save_state (t->data);
}

static void
on_save_response (struct rank *r, uint16_t status, bool good,
                  const struct bb_switch_saved_state *m)
{
  enum
  {
    STEP_STARTED = 409,
    FENCED = 412
  };

  if (good && (status == 200 || status == STEP_STARTED))
    {
      rank_on_state_saved (r, status == 200, m);
      return;
    }
  if (good && status == FENCED)
    {
      r->refused_orders++;
      bb_log (BB_LOG_WARN, "rank",
              "The engine refused to save a stale switch state.");
    }
  uv_timer_start (&r->save_retry_timer, on_retry, SAVE_RETRY_MS, 0);
}

static void
on_response (const char *error, uint16_t status, struct bb_bytes body,
             void *user)
{
  static const struct bb_switch_saved_state none;
  struct engine_request *q = user;
  struct rank *r = q->rank;
  struct bb_switch_saved_state m = none;
  bool good = !error;

  if (q->kind == REQUEST_READ_STATE || q->kind == REQUEST_SAVE_STATE)
    good = good && bb_switch_saved_state_parse (body.ptr, &m);
  if (q->kind == REQUEST_SAVE_STATE)
    on_save_response (r, status, good, &m);
  else if (q->kind == REQUEST_READ_STATE && good)
    rank_on_state_read (r, &m);
  else if (q->kind == REQUEST_READ_STATE)
    r->engine_busy = false;
  else if (q->kind == REQUEST_READ_COUNTS && good)
    rank_on_counts (r, body.ptr);
  else if (q->kind == REQUEST_LOAD_WEIGHTS)
    {
      struct rank_event e = { .kind = RANK_EVENT_LOADED, .hash = q->hash };
      r->loading_hash = 0;
      if (good)
        rank_post_event (r, &e);
    }
  free (q);
}

static void
send_request (struct rank *r, enum engine_request_kind kind, uint64_t hash,
              const char *method, const char *path, const char *body)
{
  struct engine_request *q = calloc (1, sizeof *q);

  q->rank = r;
  q->kind = kind;
  q->hash = hash;
  bb_http_fetch (r->engine_client, method, path,
                 bb_bytes_of (body ? body : ""), RESPONSE_MAX_BYTES,
                 on_response, q);
}

void
engine_read_state (struct rank *r)
{
  send_request (r, REQUEST_READ_STATE, 0, "GET", "/memory", NULL);
}

void
engine_save_state (struct rank *r)
{
  const struct bb_switch_saved_state *m = &r->map_switch.saved;
  const struct bb_switch_saved_state *old = &r->switch_before.saved;
  char text[BB_SWITCH_SAVED_STATE_TEXT_SIZE];
  uint64_t below = 0;
  char *path;

  /* A newly accepted value applies from its step on, so the engine must not
     have started that step.  With BELOW set, it refuses the save if it has. */
  if (old->accepted_ballot != 0 && m->accepted.id != old->accepted.id
      && m->accepted.id != old->in_force.id)
    below = m->accepted.from_step;
  path = g_strdup_printf ("/memory?below=%" PRIu64 "&incarnation=%" PRIu64,
                          below, r->map_switch.incarnation);
  bb_switch_saved_state_print (m, text);
  send_request (r, REQUEST_SAVE_STATE, 0, "PUT", path, text);
  g_free (path);
}

/* Returns how many experts of the map of HASH, over all layers, this rank does
   not hold under the map in force.  */
static uint32_t
count_missing_weights (const struct rank *r, uint64_t hash)
{
  const struct bb_map *next = rank_find_map (r, hash);
  const struct bb_map *now
      = rank_find_map (r, r->map_switch.saved.in_force.hash);
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
engine_load_weights (struct rank *r, uint64_t hash)
{
  char *path
      = g_strdup_printf ("/load?experts=%u", count_missing_weights (r, hash));

  send_request (r, REQUEST_LOAD_WEIGHTS, hash, "POST", path, NULL);
  g_free (path);
}

void
engine_read_counts (struct rank *r)
{
  char *path = g_strdup_printf ("/counts?layers=%u&experts=%u", r->size.layers,
                                r->size.experts);

  send_request (r, REQUEST_READ_COUNTS, 0, "GET", path, NULL);
  g_free (path);
}
