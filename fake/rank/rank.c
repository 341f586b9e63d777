/* fake-rank - a stand-in for the engine of one rank of a group whose ranks run
   in lock-step.

   A step starts once every other rank has started the step before it, and if
   the state that the agent has saved here names a map for it.  The rank
   compares the map of each step with those of the other ranks and counts the
   mismatches.

   GET /step      state and recent steps of this rank, polled by the others
   GET /memory    the saved state of the agent, as text in the format of
                  bb_switch_saved_state_print
   PUT /memory    replaces the saved state, except for its last started step;
                  responds with 409 if step ?below=S has started, and with 412
                  if the fencing token is stale.  ?incarnation=N is that of the
                  agent.
   POST /load     responds after the time that ?experts=N weights take to load
   GET /counts    token counts for ?layers=L&experts=E
   GET /state     last started step, current map, and counts of mismatches, map
                  changes and stale orders  */

#include "../lib/fake.h"

#include "bilberry/map.h"
#include "bilberry/settings.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  RANK,
  RANKS,
  STEP_MS,
  IGNORE_FENCE,
  PEER_0,
  PEERS_MAX = 8,
  OPTIONS = PEER_0 + PEERS_MAX
};

static struct fake_option options[OPTIONS + 1] = {
  [RANK] = { "rank", "index of this rank", 0 },
  [RANKS] = { "ranks", "ranks of the group", 1 },
  [STEP_MS] = { "step-ms", "time of one step, in ms", 20 },
  [IGNORE_FENCE]
  = { "ignore-fence", "1: accept orders with stale fencing tokens", 0 },
  [PEER_0] = { "peer-0", "port of rank 0", 0 },
  [PEER_0 + 1] = { "peer-1", "port of rank 1", 0 },
  [PEER_0 + 2] = { "peer-2", "port of rank 2", 0 },
  [PEER_0 + 3] = { "peer-3", "port of rank 3", 0 },
  [PEER_0 + 4] = { "peer-4", "port of rank 4", 0 },
  [PEER_0 + 5] = { "peer-5", "port of rank 5", 0 },
  [PEER_0 + 6] = { "peer-6", "port of rank 6", 0 },
  [PEER_0 + 7] = { "peer-7", "port of rank 7", 0 },
};

enum
{
  HISTORY_STEPS = 64, /* number of recent steps whose map is kept */
  POLL_INTERVAL_MS = 10,
  LOAD_MS_PER_WEIGHT = 5,
  HOTTEST_EXPERT_STEPS = 100, /* steps that an expert stays the most loaded */
  IO_TIMEOUT_MS = 2000,
  BODY_MAX_BYTES = 2048
};

/* The map that a step used.  */
struct step_record
{
  uint64_t step;
  uint64_t map_id;
};

/* The state of another rank at the last poll.  */
struct peer
{
  struct bb_http_client *client;
  bool polling;
  bool polled_once;
  bool joining; /* the rank has started no step yet */
  uint64_t started_step;
  char body[BODY_MAX_BYTES];
  size_t body_size;
};

static struct bb_switch_saved_state saved_state;
static struct bb_fence fence;
static bool joining = true; /* this rank has started no step yet */
static struct step_record history[HISTORY_STEPS];
static struct peer peers[PEERS_MAX];
static uint64_t map_mismatches;
static uint64_t map_changes;
static uint64_t fenced_orders;
static uint64_t last_map_id;
static uv_timer_t poll_timer;
static uv_timer_t step_timer;

/* Returns the highest step that any other rank has started.  */
static uint64_t
highest_step (void)
{
  uint64_t highest = 0;

  for (int i = 0; i < options[RANKS].value; i++)
    if (i != options[RANK].value)
      highest = MAX (highest, peers[i].started_step);
  return highest;
}

/* Returns whether this rank must not start STEP yet: another rank has not been
   polled, or has not started the step before.  A joining rank blocks only
   steps above the highest one that any other rank has started, and never
   step 1.  */
static bool
peers_block_step (uint64_t step)
{
  for (int i = 0; i < options[RANKS].value; i++)
    {
      const struct peer *p = &peers[i];
      if (i == options[RANK].value)
        continue;
      if (!p->polled_once)
        return true;
      if (p->joining ? step > MAX (1, highest_step ())
                     : p->started_step + 1 < step)
        return true;
    }
  return false;
}

static void
on_step (uv_timer_t *t)
{
  uint64_t step = joining ? MAX (1, highest_step ()) : saved_state.started + 1;
  uint64_t id;
  uint64_t hash;

  (void)t;
  if (peers_block_step (step)
      || !bb_switch_may_start (&saved_state, step, &id, &hash))
    return;
  history[step % HISTORY_STEPS]
      = (struct step_record){ .step = step, .map_id = id };
  saved_state.started = step;
  joining = false;
  map_changes += last_map_id != 0 && id != last_map_id;
  last_map_id = id;
}

/* Parses the response of P to /step and compares the maps of the steps that
   both ranks have.  */
static void
compare_with_peer (struct peer *p)
{
  char *at = p->body;
  uint64_t step;
  uint64_t id;

  p->body[p->body_size] = '\0';
  p->started_step = strtoull (at, &at, 10);
  p->joining = strtoull (at, &at, 10) != 0;
  p->polled_once = true;
  while (*at == ' ')
    {
      step = strtoull (at, &at, 10);
      id = strtoull (at, &at, 10);
      if (history[step % HISTORY_STEPS].step == step
          && history[step % HISTORY_STEPS].map_id != id)
        {
          fprintf (stderr,
                   "step %" PRIu64 " used different maps on two ranks\n",
                   step);
          map_mismatches++;
        }
    }
}

static void
on_peer_head (struct bb_http_call *c, uint16_t status,
              const struct bb_header *headers, uint32_t count)
{
  (void)status;
  (void)headers;
  (void)count;
  ((struct peer *)bb_http_call_user (c))->body_size = 0;
}

static void
on_peer_data (struct bb_http_call *c, struct bb_bytes piece)
{
  struct peer *p = bb_http_call_user (c);

  if (p->body_size + piece.size >= BODY_MAX_BYTES)
    return;
  memcpy (p->body + p->body_size, piece.ptr, piece.size);
  p->body_size += piece.size;
}

static void
on_peer_end (struct bb_http_call *c, const char *error, enum bb_run run)
{
  struct peer *p = bb_http_call_user (c);

  (void)run;
  p->polling = false;
  if (!error)
    compare_with_peer (p);
}

static void
on_poll (uv_timer_t *t)
{
  static const struct bb_http_call_ops ops = { .on_head = on_peer_head,
                                               .on_data = on_peer_data,
                                               .on_end = on_peer_end };

  (void)t;
  for (int i = 0; i < options[RANKS].value; i++)
    {
      struct peer *p = &peers[i];
      if (i == options[RANK].value || p->polling)
        continue;
      p->polling = true;
      bb_http_client_send (p->client, bb_bytes_of ("GET"),
                           bb_bytes_of ("/step"), NULL, 0, bb_bytes_of (""),
                           &ops, p);
    }
}

/* Opens the HTTP clients and starts the timers, once.  Called at each request,
   because the options are not parsed before fake_main listens.  */
static void
ensure_started (void)
{
  static bool started;
  uv_loop_t *loop = uv_default_loop ();
  struct sockaddr_storage addr;
  char text[32];

  if (started)
    return;
  started = true;
  for (int i = 0; i < options[RANKS].value; i++)
    {
      snprintf (text, sizeof text, "127.0.0.1:%d", options[PEER_0 + i].value);
      bb_address_parse (text, &addr);
      peers[i].client
          = bb_http_client_new (loop, &addr, "rank", IO_TIMEOUT_MS);
    }
  uv_timer_init (loop, &poll_timer);
  uv_timer_init (loop, &step_timer);
  uv_timer_start (&poll_timer, on_poll, 0, POLL_INTERVAL_MS);
  uv_timer_start (&step_timer, on_step, 0, (uint64_t)options[STEP_MS].value);
}

/* Responds with the last started step, whether this rank is joining, and pairs
   of a recent step and its map.  */
static void
respond_step (struct bb_http_request *r)
{
  char text[BODY_MAX_BYTES];
  size_t at = (size_t)snprintf (text, sizeof text, "%" PRIu64 " %d",
                                saved_state.started, joining);

  for (uint32_t i = 0; i < HISTORY_STEPS / 2 && i < saved_state.started; i++)
    {
      const struct step_record *h
          = &history[(saved_state.started - i) % HISTORY_STEPS];
      if (h->step == saved_state.started - i && h->step != 0)
        at += (size_t)snprintf (text + at, sizeof text - at,
                                " %" PRIu64 " %" PRIu64, h->step, h->map_id);
    }
  fake_respond_text (r, 200, text);
}

static void
respond_saved_state (struct bb_http_request *r, uint16_t status)
{
  char text[BB_SWITCH_SAVED_STATE_TEXT_SIZE];

  bb_switch_saved_state_print (&saved_state, text);
  fake_respond_text (r, status, text);
}

/* Returns the number after NAME, such as "below=", in the query of R; 0 if
   NAME is not there.  */
static uint64_t
query_number (const struct bb_http_request *r, const char *name)
{
  char path[256];
  const char *at;

  snprintf (path, sizeof path, "%.*s", (int)r->path.size, r->path.ptr);
  at = strstr (path, name);
  return at ? strtoull (at + strlen (name), NULL, 10) : 0;
}

static void
put_saved_state (struct bb_http_request *r)
{
  uint64_t below = query_number (r, "below=");
  struct bb_switch_saved_state next;
  char text[BB_SWITCH_SAVED_STATE_TEXT_SIZE];

  snprintf (text, sizeof text, "%.*s", (int)r->body.size, r->body.ptr);
  if (!bb_switch_saved_state_parse (text, &next))
    {
      fake_respond_text (r, 400, "bad orders");
      return;
    }
  if (!options[IGNORE_FENCE].value
      && !bb_fence_accept (&fence, next.accepted_ballot,
                           query_number (r, "incarnation=")))
    {
      fenced_orders++;
      respond_saved_state (r, 412);
      return;
    }
  if (below > 0 && saved_state.started >= below)
    {
      respond_saved_state (r, 409);
      return;
    }
  next.started = saved_state.started;
  saved_state = next;
  respond_saved_state (r, 200);
}

/* A response to /load that is delayed by the loading time.  */
struct load_job
{
  uv_timer_t timer;
  struct bb_http_request *r; /* NULL once the caller has disconnected */
};

static void
on_load_closed (uv_handle_t *h)
{
  free (h->data);
}

static void
on_load_done (uv_timer_t *t)
{
  struct load_job *l = t->data;

  if (l->r)
    {
      l->r->user = NULL;
      fake_respond_text (l->r, 200, "loaded");
    }
  uv_close ((uv_handle_t *)t, on_load_closed);
}

static void
on_request_done (struct bb_http_request *r)
{
  struct load_job *l = r->user;

  if (l)
    l->r = NULL;
}

static void
start_load (struct bb_http_request *r)
{
  struct load_job *l = calloc (1, sizeof *l);

  l->r = r;
  r->user = l;
  r->on_done = on_request_done;
  uv_timer_init (uv_default_loop (), &l->timer);
  l->timer.data = l;
  uv_timer_start (&l->timer, on_load_done,
                  LOAD_MS_PER_WEIGHT * query_number (r, "experts="), 0);
}

/* Responds with token counts in which the most loaded expert changes every
   HOTTEST_EXPERT_STEPS steps.  */
static void
respond_counts (struct bb_http_request *r)
{
  uint64_t layers = query_number (r, "layers=");
  uint64_t experts = query_number (r, "&experts=");
  uint64_t shift = saved_state.started / HOTTEST_EXPERT_STEPS;
  GString *text = g_string_new ("");

  for (uint64_t i = 0; i < layers * experts; i++)
    g_string_append_printf (text, "%" PRIu64 " ",
                            100000 / (1 + (i + shift) % experts));
  fake_respond_text (r, 200, text->str);
  g_string_free (text, TRUE);
}

static void
respond_state (struct bb_http_request *r)
{
  fake_respond_json (r, 200,
                     json_pack ("{s:I, s:I, s:I, s:I, s:I}", "started",
                                (json_int_t)saved_state.started, "violations",
                                (json_int_t)map_mismatches, "changes",
                                (json_int_t)map_changes, "id",
                                (json_int_t)last_map_id, "fenced",
                                (json_int_t)fenced_orders));
}

static bool
path_has_prefix (const struct bb_http_request *r, const char *path)
{
  size_t size = strlen (path);

  return r->path.size >= size && strncmp (r->path.ptr, path, size) == 0;
}

static void
on_request (struct bb_http_request *r, void *arg)
{
  (void)arg;
  ensure_started ();
  if (path_has_prefix (r, "/step"))
    respond_step (r);
  else if (path_has_prefix (r, "/memory") && bb_bytes_equal (r->method, "PUT"))
    put_saved_state (r);
  else if (path_has_prefix (r, "/memory"))
    respond_saved_state (r, 200);
  else if (path_has_prefix (r, "/load"))
    start_load (r);
  else if (path_has_prefix (r, "/counts"))
    respond_counts (r);
  else if (path_has_prefix (r, "/state"))
    respond_state (r);
  else
    fake_respond_text (r, 404, "no such path");
}

int
main (int argc, char **argv)
{
  return fake_main (argc, argv, options, on_request, NULL);
}
