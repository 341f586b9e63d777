/* Connects to the other edges, and accepts connections of agents.  */

#include "edge.h"

#include <string.h>

static void
on_item (const char *key, GBytes *value, bb_revision revision, void *user)
{
  struct bb_item told
      = { .key = (char *)key, .value = value, .revision = revision };

  fleet_apply_item (user, &told, BB_SOURCE_PEER);
}

static void
on_held_item (const char *key, GBytes *value, bb_revision revision, void *user)
{
  struct bb_item told = {
    .key = (char *)key, .value = value, .revision = revision, .held = true
  };

  fleet_apply_item (user, &told, BB_SOURCE_PEER);
}

static void
on_state (const char *name, const struct bb_peer_state *m, void *user)
{
  struct edge *e = user;

  fleet_apply_peer_state (e, name, m);
  reader_peer_told ();
  if (m->taking)
    isolate_add_edge (e, name);
  queue_dispatch_all (e);
}

static void
fill_state (struct bb_peer_state *m, void *user)
{
  fleet_fill_peer_state (user, m);
  m->reads = reader_is_watching (user);
}

static bool
is_reading (void *user)
{
  return reader_is_watching (user);
}

static void
on_change (const char *name, const struct bb_peer_end *end, void *user)
{
  fleet_apply_peer_change (user, name, end);
  if (end)
    isolate_remove_edge (user, name);
}

static void
on_isolated (const char *name, const struct bb_peer_isolated *m, void *user)
{
  isolate_apply (user, name, m);
}

static void
on_slot_ask (const struct bb_peer_slot_ask *m, struct bb_peer_slot *reply,
             void *user)
{
  limit_on_ask (user, m, reply);
}

static void
on_slot (const struct bb_peer_slot *m, void *user)
{
  limit_on_slot (user, m);
}

static void
on_suspect (const struct bb_suspect *m, void *user)
{
  suspect_apply_message (user, m);
}

static void
on_part_crash (const struct bb_part_crash *c, void *user)
{
  suspect_apply_part_crash (user, c, "peer");
}

static void
on_sound_part (uint64_t part, void *user)
{
  suspect_apply_sound_part (user, part, "peer");
}

static const struct bb_peers_ops ops = { .on_item = on_item,
                                         .on_held_item = on_held_item,
                                         .on_state = on_state,
                                         .fill_state = fill_state,
                                         .is_reading = is_reading,
                                         .on_connection_change = on_change,
                                         .on_isolated = on_isolated,
                                         .on_slot_ask = on_slot_ask,
                                         .on_slot = on_slot,
                                         .on_suspect = on_suspect,
                                         .on_part_crash = on_part_crash,
                                         .on_sound_part = on_sound_part };

/* Returns the address that peers connect to: the VM's own with the port that
   is listened on.  NULL: this process accepts no peers.  */
static char *
told_address (const struct bb_process_settings *s)
{
  const char *port
      = s->control_address ? strrchr (s->control_address, ':') : NULL;

  return port ? g_strconcat (s->ip, port, NULL) : NULL;
}

bool
peers_start (struct edge *e)
{
  g_autofree char *address = told_address (e->settings);
  struct bb_peers_options o
      = { .name = e->settings->name,
          .address = address,
          .listen_address = e->settings->control_address,
          .seeds = e->settings->seeds,
          .seeds_count = e->settings->seeds_count,
          .connect_all = true,
          .incarnation
          = ((uint64_t)g_random_int () << 32 | g_random_int ()) | 1,
          .poison = e->poison,
          .parts = e->parts };
  int error;

  e->peers = bb_peers_new (e->loop, &o, e->view, &ops, e, &error);
  if (!e->peers)
    bb_log_event ("cannot_listen", "{s:s, s:s}", "address",
                  e->settings->control_address ? e->settings->control_address
                                               : "",
                  "why", uv_strerror (error));
  return e->peers != NULL;
}
