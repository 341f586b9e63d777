/* Receives the configuration and the upstreams of the pool from a
   bilberry-edge process.  */

#include "rank.h"

#include <jansson.h>
#include <string.h>

static void
update_config (struct agent *a, GBytes *value, bb_revision revision)
{
  const char *why = NULL;
  struct bb_config *c
      = value ? bb_config_decode_next (value, revision, a->config, &why)
              : NULL;

  if (!c)
    {
      bb_log_event ("config_unusable", "{s:I, s:I, s:s}",
                    BB_LOG_REVISION (revision), "why",
                    why ? why : "it was removed");
      return;
    }
  if (!bb_config_may_replace (c, a->config))
    {
      bb_config_unref (c);
      return;
    }
  bb_config_unref (a->config);
  a->config = c;
  a->pool = bb_config_find_pool (c, a->settings->pool);
  if (a->pool && (!a->pool->has_engine || a->pool->engine.sets == 0))
    a->pool = NULL;
  bb_log_event ("config", "{s:I, s:I, s:I, s:I, s:b}", "version",
                (json_int_t)c->version, BB_LOG_REVISION (revision), "bytes",
                (json_int_t)g_bytes_get_size (value), "group",
                a->pool != NULL);
}

static void
update_upstream (struct agent *a, const char *id, GBytes *value,
                 bb_revision revision)
{
  const char *why = NULL;
  struct bb_upstream *u
      = value ? bb_upstream_decode (id, value, revision, &why) : NULL;

  if (u && strcmp (u->pool, a->settings->pool) == 0)
    g_hash_table_replace (a->upstreams, g_strdup (id), g_strdup (u->address));
  else
    g_hash_table_remove (a->upstreams, id);
  bb_upstream_free (u);
}

static void
on_item (const char *key, GBytes *value, bb_revision revision, void *user)
{
  struct agent *a = user;
  struct bb_item told
      = { .key = (char *)key, .value = value, .revision = revision };
  const char *name;

  if (bb_view_take (a->view, &told, BB_SOURCE_PEER) != BB_VERDICT_NEWS)
    return;
  switch (bb_item_kind_of (key, &name))
    {
    case BB_ITEM_CONFIG:
      update_config (a, value, revision);
      break;
    case BB_ITEM_UPSTREAM:
      update_upstream (a, name, value, revision);
      break;
    case BB_ITEM_EVACUATION:
    case BB_ITEM_OTHER:
      break;
    }
}

static void
on_change (const char *name, const struct bb_peer_end *end, void *user)
{
  (void)user;
  if (end)
    bb_log_event ("entry", "{s:s, s:b, s:s, s:I}", "name", name, "here", 0,
                  "why", end->why, "partial_bytes",
                  (json_int_t)end->partial_bytes);
  else
    bb_log_event ("entry", "{s:s, s:b}", "name", name, "here", 1);
}

/* What is told of requests and parts that crash upstreams is only kept, for
   edges that start without any.  */
static const struct bb_peers_ops peer_ops
    = { .on_item = on_item, .on_connection_change = on_change };

static int
compare_strings (const void *a, const void *b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

char *
view_host_of (const char *address)
{
  const char *colon = strrchr (address, ':');

  return colon ? g_strndup (address, (gsize)(colon - address))
               : g_strdup (address);
}

GPtrArray *
view_hosts (const struct agent *a)
{
  GPtrArray *hosts = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter it;
  void *address;

  g_hash_table_iter_init (&it, a->upstreams);
  while (g_hash_table_iter_next (&it, NULL, &address))
    g_ptr_array_add (hosts, view_host_of (address));
  g_ptr_array_sort (hosts, compare_strings);
  return hosts;
}

bool
view_start (struct agent *a)
{
  struct bb_peers_options o
      = { .name = a->settings->name,
          .seeds = a->settings->seeds,
          .seeds_count = a->settings->seeds_count,
          .incarnation
          = ((uint64_t)g_random_int () << 32 | g_random_int ()) | 1,
          .poison = bb_poison_new (),
          .parts = bb_parts_new () };
  int error;

  a->view = bb_view_new ();
  a->view->is_newer_value = bb_item_is_newer;
  a->upstreams
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  a->peers = bb_peers_new (a->loop, &o, a->view, &peer_ops, a, &error);
  return a->peers != NULL;
}
