/* What this entry believes of the fleet: configuration, upstreams, failure
   domains that are out, and what other entries have under way.  */

#include "edge.h"

#include <jansson.h>

#include "bilberry/settings.h"

#include <string.h>
#include <xxhash.h>

enum
{
  LAPSE_KEEP_MS = 2000, /* an upstream that lapsed while the store was away is
                           used for so long after its return */
  PEER_LOADS_MAX = 256,
  SUM_EVERY_MS = 20, /* of what others have under way: peers may be many */
  FORGET_AFTER_MS = 10000, /* an upstream that is gone */
  CALLERS_PERCENT = 60     /* of the descriptors; upstreams need the rest */
};

bb_ms
edge_now (const struct edge *e)
{
  return (bb_ms)uv_now (e->loop);
}

uint32_t
fleet_members (const struct edge *e)
{
  uint32_t n = 1 + (e->peers ? bb_peers_count (e->peers) : 0);
  uint32_t least = e->start->failure_domains;

  return n > least ? n : least;
}

struct line *
fleet_line (struct edge *e, const char *pool)
{
  struct line *l = g_hash_table_lookup (e->lines, pool);

  if (l)
    return l;
  l = g_new0 (struct line, 1);
  l->edge = e;
  l->pool = g_strdup (pool);
  g_queue_init (&l->waiting);
  bb_retry_window_init (&l->budget, e->start->retry_window_ms);
  l->groups = g_ptr_array_new ();
  g_hash_table_insert (e->lines, l->pool, l);
  return l;
}

/* Takes what the configuration says of pools over to their lines.  */
static void
set_lines (struct edge *e)
{
  GHashTableIter it;
  void *value;

  g_hash_table_iter_init (&it, e->config->pools);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct bb_pool *p = value;
      struct line *l = fleet_line (e, p->name);
      l->grouped = p->has_engine && p->engine.sets > 0;
    }
}

uint32_t
fleet_channels_max (const struct edge *e)
{
  return e->start->descriptors_max * CALLERS_PERCENT / 100;
}

static void
set_limits (struct edge *e)
{
  const struct bb_config *c = e->config;
  struct bb_h1_limits limits = { .head_max_bytes = c->head_max_bytes,
                                 .body_max_bytes = c->body_max_bytes,
                                 .head_timeout_ms = c->head_timeout_ms,
                                 .idle_timeout_ms = c->idle_timeout_ms,
                                 .channels_max = fleet_channels_max (e) };

  if (e->front)
    bb_h1_server_set_limits (e->front, &limits);
}

static void
take_config (struct edge *e, GBytes *value, uint64_t revision,
             const char *source)
{
  const char *why = NULL;
  struct bb_config *c
      = value ? bb_config_decode (value, revision, &why) : NULL;

  if (!c)
    {
      bb_counter ("bilberry_items_unusable_total", "kind=\"config\"")->value++;
      bb_event ("config_unusable", "{s:s, s:I, s:s}", "source", source,
                "revision", (json_int_t)revision, "why",
                why ? why : "it was removed");
      return;
    }
  bb_event ("config", "{s:s, s:I, s:I, s:i, s:i}", "source", source, "version",
            (json_int_t)c->version, "revision", (json_int_t)revision, "routes",
            (int)c->routes->len, "customers", (int)c->customers->len);
  bb_config_unref (e->config);
  e->config = c;
  set_lines (e);
  set_limits (e);
}

static void
free_target (struct target *t)
{
  bb_h1_pool_free (t->channels);
  bb_upstream_free (t->told);
  g_free (t);
}

static struct target *
add_target (struct edge *e, struct bb_upstream *u)
{
  struct sockaddr_storage addr;
  struct target *t;

  if (!bb_address_parse (u->address, &addr))
    return NULL;
  t = g_new0 (struct target, 1);
  t->told = u;
  t->hash = XXH64 (u->id, strlen (u->id), 0);
  t->channels = bb_h1_pool_new (e->loop, &addr, CONNECT_TIMEOUT_MS);
  g_hash_table_insert (e->targets, t->told->id, t);
  g_ptr_array_add (e->target_list, t);
  return t;
}

/* Frees targets that are gone and have nothing under way.  */
static void
sweep_targets (struct edge *e)
{
  bb_ms now = edge_now (e);

  for (guint i = 0; i < e->target_list->len; i++)
    {
      struct target *t = g_ptr_array_index (e->target_list, i);
      if (t->gone_ms == 0 || now < t->gone_ms + FORGET_AFTER_MS
          || t->in_flight > 0)
        continue;
      g_hash_table_remove (e->targets, t->told->id);
      g_ptr_array_remove_index_fast (e->target_list, i);
      free_target (t);
      i--;
    }
}

static void
take_upstream (struct edge *e, const char *id, GBytes *value,
               uint64_t revision, const char *source)
{
  struct target *t = g_hash_table_lookup (e->targets, id);
  const char *why = NULL;
  struct bb_upstream *u;
  struct bb_upstream *old;

  sweep_targets (e);
  u = bb_upstream_decode (id, value, revision, &why);
  if (!u)
    {
      bb_counter ("bilberry_items_unusable_total", "kind=\"upstream\"")
          ->value++;
      bb_event ("upstream_unusable", "{s:s, s:s, s:I, s:s}", "upstream", id,
                "source", source, "revision", (json_int_t)revision, "why",
                why);
      if (t)
        t->gone_ms = edge_now (e);
      return;
    }
  bb_event ("upstream", "{s:s, s:s, s:s, s:s, s:b, s:i, s:I}", "upstream", id,
            "source", source, "pool", u->pool, "address", u->address,
            "draining", u->draining, "cold_left_ms", (int)u->cold_left_ms,
            "revision", (json_int_t)revision);
  if (!t)
    {
      if (!add_target (e, u))
        bb_upstream_free (u);
      return;
    }
  /* The table's key is the id of the record: the old one stays.  */
  old = t->told;
  g_hash_table_steal (e->targets, old->id);
  if (old->started_unix_ms != u->started_unix_ms || t->gone_ms != 0)
    {
      bb_h1_pool_drop_idle (t->channels);
      memset (&t->eject, 0, sizeof t->eject);
    }
  t->told = u;
  t->gone_ms = 0;
  g_hash_table_insert (e->targets, u->id, t);
  bb_upstream_free (old);
}

static void
lose_upstream (struct edge *e, const char *id, uint64_t revision,
               const char *source)
{
  struct target *t = g_hash_table_lookup (e->targets, id);
  bb_ms now = edge_now (e);
  bool lapsed;

  if (!t || t->gone_ms != 0)
    return;
  lapsed = !t->told->draining && e->store_back_ms > 0
           && now - e->store_back_ms < LAPSE_KEEP_MS;
  t->gone_ms = lapsed ? e->store_back_ms + LAPSE_KEEP_MS : now;
  /* It may also have left: the bound of leaving counts from now.  */
  if (t->gone_ms > now + e->start->drain_ms / 2)
    t->gone_ms = now + e->start->drain_ms / 2;
  if (t->gone_ms < 1)
    t->gone_ms = 1;
  bb_event ("upstream_gone", "{s:s, s:s, s:I, s:b}", "upstream", id, "source",
            source, "revision", (json_int_t)revision, "lapsed", lapsed);
}

bool
fleet_tells (const struct edge *e)
{
  return e->peers && bb_peers_reading_before (e->peers) == 0;
}

void
fleet_item (struct edge *e, const char *key, GBytes *value, uint64_t revision,
            const char *source)
{
  const char *name;

  if (!bb_view_put (e->view, key, value, revision))
    return;
  if (strcmp (source, "store") == 0 && fleet_tells (e))
    bb_peers_tell (e->peers, g_hash_table_lookup (e->view->items, key));
  switch (bb_item_kind_of (key, &name))
    {
    case BB_ITEM_CONFIG:
      take_config (e, value, revision, source);
      break;
    case BB_ITEM_UPSTREAM:
      if (value)
        take_upstream (e, name, value, revision, source);
      else
        lose_upstream (e, name, revision, source);
      break;
    case BB_ITEM_EVACUATION:
      if (value)
        g_hash_table_add (e->evacuated, g_strdup (name));
      else
        g_hash_table_remove (e->evacuated, name);
      bb_event ("evacuation", "{s:s, s:b, s:s, s:I}", "failure_domain", name,
                "out", value != NULL, "source", source, "revision",
                (json_int_t)revision);
      break;
    case BB_ITEM_OTHER:
      break;
    }
}

bool
fleet_may_send (const struct edge *e, const struct target *t, bb_ms now)
{
  if (t->gone_ms != 0 && now >= t->gone_ms)
    return false;
  if (t->told->draining)
    return false;
  if (g_hash_table_contains (e->evacuated, t->told->failure_domain))
    return false;
  return bb_ejection_is_usable (&t->eject, now);
}

/* What other entries have under way.  */

void
fleet_sum_others (struct edge *e)
{
  GHashTableIter it;
  void *value;

  if (!e->loads_changed || edge_now (e) - e->loads_summed_ms < SUM_EVERY_MS)
    return;
  e->loads_changed = false;
  e->loads_summed_ms = edge_now (e);

  for (guint i = 0; i < e->target_list->len; i++)
    ((struct target *)g_ptr_array_index (e->target_list, i))->others = 0;
  g_hash_table_iter_init (&it, e->peer_loads);
  while (g_hash_table_iter_next (&it, NULL, &value))
    for (guint i = 0; i < e->target_list->len; i++)
      {
        struct target *t = g_ptr_array_index (e->target_list, i);
        t->others += GPOINTER_TO_UINT (g_hash_table_lookup (value, &t->hash));
      }
}

void
fleet_peer_state (struct edge *e, const char *name,
                  const struct bb_peer_state *m)
{
  GHashTable *loads
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);

  for (uint32_t i = 0; i < m->loads_count; i++)
    {
      uint64_t *key = g_new (uint64_t, 1);
      *key = m->loads[i].upstream;
      g_hash_table_replace (loads, key,
                            GUINT_TO_POINTER (m->loads[i].in_flight));
    }
  g_hash_table_replace (e->peer_loads, g_strdup (name), loads);
  e->loads_changed = true;
  fleet_sum_others (e);
  if (m->sent > e->view->revision)
    e->view->revision = m->sent;
}

void
fleet_peer_change (struct edge *e, const char *name, bool here)
{
  bb_event ("peer", "{s:s, s:b, s:i}", "name", name, "here", here, "members",
            (int)fleet_members (e));
  if (here)
    return;
  g_hash_table_remove (e->peer_loads, name);
  e->loads_changed = true;
}

void
fleet_fill_state (struct edge *e, struct bb_peer_state *m)
{
  m->taking = true;
  for (guint i = 0; i < e->target_list->len; i++)
    {
      const struct target *t = g_ptr_array_index (e->target_list, i);
      if (t->in_flight == 0 || m->loads_count == PEER_LOADS_MAX)
        continue;
      m->loads[m->loads_count].upstream = t->hash;
      m->loads[m->loads_count].in_flight = t->in_flight;
      m->loads_count++;
    }
}

void
fleet_init (struct edge *e)
{
  e->view = bb_view_new ();
  e->targets = g_hash_table_new (g_str_hash, g_str_equal);
  e->target_list = g_ptr_array_new ();
  e->evacuated = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  e->lines = g_hash_table_new (g_str_hash, g_str_equal);
  e->in_flight_of
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  e->peer_loads = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         (GDestroyNotify)g_hash_table_unref);
}
