/* Drives the map switch (bb_switch) of a rank's agent.  Events are processed
   one at a time.  When an event changes the state that the engine must save,
   its messages are sent only after the engine has saved it.  */

#include "rank.h"

#include <stdlib.h>
#include <string.h>

enum
{
  CONNECT_EVERY_TICKS = 4
};

const struct bb_group_settings *
rank_group_settings (const struct rank *r)
{
  const struct bb_settings *s = r->daemon->settings;

  for (uint32_t i = 0; i < s->groups_count; i++)
    if (strcmp (s->groups[i].name, r->group) == 0)
      return &s->groups[i];
  return NULL;
}

struct bb_map *
rank_find_map (const struct rank *r, uint64_t hash)
{
  for (uint32_t i = 0; i < RANK_MAP_CACHE_SIZE; i++)
    if (r->maps[i] && bb_map_hash (r->maps[i]) == hash)
      return r->maps[i];
  return NULL;
}

void
rank_keep_map (struct rank *r, struct bb_map *map)
{
  const struct bb_switch_saved_state *m = &r->map_switch.saved;
  uint32_t i = r->next_map_slot;

  if (rank_find_map (r, bb_map_hash (map)))
    {
      bb_map_free (map);
      return;
    }
  /* Maps that the switch refers to are not evicted.  */
  while (r->maps[i]
         && (bb_map_hash (r->maps[i]) == m->accepted.hash
             || bb_map_hash (r->maps[i]) == m->in_force.hash
             || bb_map_hash (r->maps[i]) == m->accepted.base_hash))
    i = (i + 1) % RANK_MAP_CACHE_SIZE;
  bb_map_free (r->maps[i]);
  r->maps[i] = map;
  r->next_map_slot = (i + 1) % RANK_MAP_CACHE_SIZE;
}

static void
copy_switch (struct bb_switch *to, const struct bb_switch *from)
{
  struct bb_switch_peer *peers = to->peers;

  *to = *from;
  to->peers = peers;
  memcpy (to->peers, from->peers, from->ranks * sizeof *from->peers);
}

static void
apply_event (struct rank *r, const struct rank_event *e)
{
  bb_ms now = bb_clock_now ();

  switch (e->kind)
    {
    case RANK_EVENT_MESSAGE:
      bb_switch_receive (&r->map_switch, &e->message, now, &r->output);
      break;
    case RANK_EVENT_TICK:
      bb_switch_tick (&r->map_switch, now, &r->output);
      break;
    case RANK_EVENT_LOADED:
      bb_switch_loaded (&r->map_switch, e->hash, now, &r->output);
      break;
    case RANK_EVENT_PROPOSE:
      bb_switch_propose (&r->map_switch, e->hash, now, &r->output);
      break;
    }
}

/* Returns whether A and B agree in all that the engine must save.  */
static bool
same_saved_state (const struct bb_switch_saved_state *a,
                  const struct bb_switch_saved_state *b)
{
  return a->accepted_ballot == b->accepted_ballot && a->decided == b->decided
         && a->in_force.id == b->in_force.id
         && a->accepted.id == b->accepted.id;
}

static void
send_output (struct rank *r)
{
  for (uint32_t i = 0; i < r->output.count; i++)
    rank_send (r, &r->output.messages[i]);
  if (r->output.load_hash != 0 && r->output.load_hash != r->loading_hash
      && rank_find_map (r, r->output.load_hash))
    {
      r->loading_hash = r->output.load_hash;
      engine_load_weights (r, r->output.load_hash);
    }
  bb_switch_out_clear (&r->output);
}

static void
process_events (struct rank *r)
{
  while (r->saved_state_known && !r->engine_busy && r->event_queue)
    {
      r->current_event = r->event_queue;
      r->event_queue = r->current_event->next;
      copy_switch (&r->switch_before, &r->map_switch);
      apply_event (r, r->current_event);
      if (!same_saved_state (&r->switch_before.saved, &r->map_switch.saved))
        {
          /* Messages must not be sent before the engine has saved the state;
             rank_on_state_saved sends them.  */
          r->engine_busy = true;
          engine_save_state (r);
          return;
        }
      free (r->current_event);
      r->current_event = NULL;
      send_output (r);
    }
}

void
rank_post_event (struct rank *r, const struct rank_event *e)
{
  struct rank_event *copy = malloc (sizeof *copy);
  struct rank_event **end = &r->event_queue;

  *copy = *e;
  copy->next = NULL;
  while (*end)
    end = &(*end)->next;
  *end = copy;
  process_events (r);
}

void
rank_on_state_saved (struct rank *r, bool saved,
                     const struct bb_switch_saved_state *m)
{
  r->engine_busy = false;
  if (saved)
    {
      r->map_switch.saved.started = m->started;
      free (r->current_event);
      send_output (r);
    }
  else
    {
      /* The engine has started further steps.  Undo the event and process it
         again with the engine's current step.  */
      copy_switch (&r->map_switch, &r->switch_before);
      r->map_switch.saved.started = m->started;
      bb_switch_out_clear (&r->output);
      r->current_event->next = r->event_queue;
      r->event_queue = r->current_event;
    }
  r->current_event = NULL;
  process_events (r);
}

static void
init_switch (struct rank *r, uint64_t incarnation)
{
  struct bb_map *first = bb_map_new (&r->size);

  bb_switch_free (&r->map_switch);
  bb_switch_init (&r->map_switch, r->map_switch.ranks, r->self, incarnation,
                  bb_map_hash (first));
  rank_keep_map (r, first);
  r->loading_hash = 0;
}

void
rank_on_state_read (struct rank *r, const struct bb_switch_saved_state *m)
{
  static const struct rank_event tick = { .kind = RANK_EVENT_TICK };

  r->engine_busy = false;
  if (!r->saved_state_known && m->accepted_ballot != 0)
    bb_switch_restore (&r->map_switch, m);
  /* The engine has lost its saved state, so it has restarted: start the switch
     again under a new incarnation.  */
  if (r->saved_state_known && m->accepted_ballot == 0
      && r->map_switch.saved.accepted_ballot != 0)
    init_switch (r, bb_random_id ());
  r->saved_state_known = true;
  r->map_switch.saved.started = m->started;
  rank_post_event (r, &tick);
}

static void
on_tick (uv_timer_t *t)
{
  static uint32_t ticks;
  struct rank *r = t->data;

  if (ticks++ % CONNECT_EVERY_TICKS == 0)
    rank_connect (r);
  rank_plan_step (r);
  if (r->engine_busy)
    return;
  r->engine_busy = true;
  engine_read_state (r);
}

static void
on_plan_timer (uv_timer_t *t)
{
  struct rank *r = t->data;
  const struct bb_group_settings *g = rank_group_settings (r);

  if (!g)
    return;
  uv_timer_set_repeat (t, g->rebalance_ms);
  if (g->rebalance)
    engine_read_counts (r);
}

static const struct bb_rank_settings *
find_rank_settings (const struct bb_settings *s, const char *name)
{
  for (uint32_t i = 0; i < s->ranks_count; i++)
    if (strcmp (s->ranks[i].name, name) == 0)
      return &s->ranks[i];
  return NULL;
}

/* Counts the ranks of the group and fills in the links to them.  Returns false
   if the rank numbers are not 0 to the count less one.  */
static bool
init_links (struct rank *r)
{
  const struct bb_settings *s = r->daemon->settings;
  uint32_t count = 0;
  uint32_t found = 0;

  for (uint32_t i = 0; i < s->ranks_count; i++)
    count += strcmp (s->ranks[i].group, r->group) == 0;
  r->size.ranks = count;
  r->links = calloc (count + 1, sizeof *r->links);
  for (uint32_t i = 0; i < s->ranks_count; i++)
    {
      const struct bb_rank_settings *q = &s->ranks[i];
      struct rank_link *link;
      if (strcmp (q->group, r->group) != 0 || q->rank >= count)
        continue;
      link = &r->links[q->rank];
      found += link->rank == NULL;
      link->rank = r;
      bb_address_parse (q->peers, &link->addr);
    }
  return found == count;
}

static void
start_timer (struct rank *r, uv_timer_t *t, uv_timer_cb fn, uint64_t every_ms)
{
  uv_timer_init (r->daemon->loop, t);
  t->data = r;
  uv_timer_start (t, fn, every_ms, every_ms);
}

static bool
init_rank (struct rank *r, const struct bb_rank_settings *own)
{
  static const struct bb_load_options load
      = { .drift_ms = 300000, .trend_ms = 300000 };
  const struct bb_group_settings *g = rank_group_settings (r);
  struct sockaddr_storage engine;

  if (!g || !init_links (r) || own->rank >= r->size.ranks
      || g->experts > r->size.ranks * g->slots
      || !bb_address_parse (own->engine, &engine))
    {
      bb_log (BB_LOG_ERROR, "rank",
              "Group '%s': ranks or settings missing, too few slots for the "
              "experts, or invalid engine address.",
              r->group);
      return false;
    }
  r->size.layers = g->layers;
  r->size.experts = g->experts;
  r->size.slots = g->slots;
  r->self = own->rank;
  r->map_switch.ranks = r->size.ranks;
  r->switch_before.peers
      = calloc (r->size.ranks, sizeof *r->switch_before.peers);
  init_switch (r, r->daemon->incarnation);
  r->estimate = bb_load_estimate_new (&r->size, &load);
  r->engine_client
      = bb_http_client_new (r->daemon->loop, &engine, own->engine, 60000);
  uv_timer_init (r->daemon->loop, &r->save_retry_timer);
  r->save_retry_timer.data = r;
  start_timer (r, &r->tick_timer, on_tick, BB_SWITCH_TICK_MS);
  start_timer (r, &r->plan_timer, on_plan_timer, g->rebalance_ms);
  return rank_listen (r, own->peers);
}

bool
rank_start (struct bb_daemon *d, struct rank **out)
{
  const struct bb_rank_settings *own
      = find_rank_settings (d->settings, d->name);
  struct rank *r;

  *out = NULL;
  if (!own)
    return true;
  r = calloc (1, sizeof *r);
  *out = r;
  r->daemon = d;
  r->group = strdup (own->group);
  return init_rank (r, own);
}

void
rank_status (const struct rank *r, json_t *out)
{
  const struct bb_switch_saved_state *m = &r->map_switch.saved;
  static const char *const phases[]
      = { "idle", "leading", "preparing", "accepting", "deciding" };

  json_object_set_new (
      out, "map",
      json_pack ("{s:s, s:i, s:I, s:b, s:I, s:I, s:s, s:I, s:f, s:f, s:f}",
                 "group", r->group, "rank", (int)r->self, "id",
                 (json_int_t)m->accepted.id, "decided", m->decided,
                 "from_step", (json_int_t)m->accepted.from_step, "started",
                 (json_int_t)m->started, "phase", phases[r->map_switch.phase],
                 "refused_orders", (json_int_t)r->refused_orders, "skew",
                 r->last_plan.skew_before, "skew_planned",
                 r->last_plan.skew_after, "skew_bound",
                 r->last_plan.skew_bound));
}
