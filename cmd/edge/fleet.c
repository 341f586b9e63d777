/* The state of the fleet as this edge knows it: the configuration, evacuated
   failure domains, and the loads of the other edges.  */

#include "edge.h"

#include <jansson.h>

#include <string.h>

enum
{
  PEER_LOADS_MAX = 256,
  /* Time between sums of peers' loads, as peers may be many.  */
  SUM_INTERVAL_MS = 20
};

uint32_t
fleet_edge_count (const struct edge *e)
{
  uint32_t n = 1 + (e->peers ? bb_peers_count_accepting (e->peers) : 0);
  uint32_t least = e->settings->failure_domain_count;

  return n > least ? n : least;
}

bool
fleet_forwards_items (const struct edge *e)
{
  return e->peers && bb_peers_count_readers_before (e->peers) == 0;
}

bool
fleet_note_era (struct edge *e, bb_revision revision, enum bb_source source)
{
  uint64_t era = bb_revision_era (revision);
  bool knows_items = g_hash_table_size (e->view->items) > 0;

  if (era <= e->store_era)
    return false;
  if (knows_items)
    {
      bb_counter ("bilberry_store_returns_total", "")->value++;
      bb_log_event ("store_returned", "{s:s, s:I, s:I, s:I, s:I}", "source",
                    bb_source_name (source), "era", (json_int_t)era,
                    "revision", (json_int_t)bb_revision_number (revision),
                    "era_before", (json_int_t)e->store_era, "revision_before",
                    (json_int_t)bb_revision_number (e->view->revision));
    }
  e->store_era = era;
  if (knows_items)
    e->on_store_return ();
  return knows_items;
}

/* Sends I, which came from the store, to the peers.  */
static void
tell_peers (struct edge *e, const struct bb_item *i)
{
  if (fleet_forwards_items (e))
    bb_peers_broadcast_item (e->peers, i);
  else if (e->peers)
    bb_peers_offer_item (e->peers, i);
}

static void
apply_evacuation (struct edge *e, const char *domain,
                  const struct bb_item *told, enum bb_source source)
{
  if (told->value)
    g_hash_table_add (e->evacuated_domains, g_strdup (domain));
  else
    g_hash_table_remove (e->evacuated_domains, domain);
  bb_log_event ("evacuation", "{s:s, s:b, s:s, s:I, s:I}", "failure_domain",
                domain, "out", told->value != NULL, "source",
                bb_source_name (source), BB_LOG_REVISION (told->revision));
}

/* Puts TOLD, which is in the view now, in force.  */
static void
put_in_force (struct edge *e, const struct bb_item *told,
              enum bb_source source)
{
  const char *name;

  switch (bb_item_kind_of (told->key, &name))
    {
    case BB_ITEM_CONFIG:
      config_apply (told->value, told->revision, bb_source_name (source));
      break;
    case BB_ITEM_UPSTREAM:
      targets_apply (e, name, told->value, told->revision,
                     bb_source_name (source));
      break;
    case BB_ITEM_EVACUATION:
      apply_evacuation (e, name, told, source);
      break;
    case BB_ITEM_OTHER:
      break;
    }
}

bool
fleet_apply_item (struct edge *e, const struct bb_item *told,
                  enum bb_source source)
{
  enum bb_verdict verdict;

  fleet_note_era (e, told->revision, source);
  verdict = bb_view_take (e->view, told, source);
  if (verdict == BB_VERDICT_UNSETTLED)
    e->on_unsettled_item ();
  if (verdict != BB_VERDICT_NEWS && verdict != BB_VERDICT_UNSETTLED)
    return false;
  if (source == BB_SOURCE_STORE)
    tell_peers (e, g_hash_table_lookup (e->view->items, told->key));
  put_in_force (e, told, source);
  return true;
}

void
fleet_remove_item (struct edge *e, const char *key, bb_revision revision)
{
  struct bb_item told = { .key = (char *)key, .revision = revision };

  if (!fleet_apply_item (e, &told, BB_SOURCE_STORE))
    return;
#ifndef BB_MUTANT_missing_told
  if (e->peers && !fleet_forwards_items (e))
    bb_peers_broadcast_item (e->peers, &told);
#endif
}

/* Loads of the other edges.  */

void
fleet_sum_peer_loads (struct edge *e)
{
  GHashTableIter it;
  void *value;

  if (!e->peer_loads_changed
      || edge_now (e) - e->peer_loads_summed_ms < SUM_INTERVAL_MS)
    return;
  e->peer_loads_changed = false;
  e->peer_loads_summed_ms = edge_now (e);

  for (guint i = 0; i < e->target_list->len; i++)
    {
      struct target *t = g_ptr_array_index (e->target_list, i);
      t->peers_in_flight = 0;
      t->peers_work_ms = 0;
    }
  g_hash_table_iter_init (&it, e->peer_loads);
  while (g_hash_table_iter_next (&it, NULL, &value))
    for (guint i = 0; i < e->target_list->len; i++)
      {
        struct target *t = g_ptr_array_index (e->target_list, i);
        const struct bb_upstream_load *l
            = g_hash_table_lookup (value, &t->id_hash);
        t->peers_in_flight += l ? l->in_flight : 0;
        t->peers_work_ms += l ? l->work_ms : 0;
      }
}

void
fleet_apply_peer_state (struct edge *e, const char *name,
                        const struct bb_peer_state *m)
{
  GHashTable *loads
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  bb_revision complete;

  for (uint32_t i = 0; i < m->loads_count; i++)
    {
      struct bb_upstream_load *l = g_new (struct bb_upstream_load, 1);
      *l = m->loads[i];
      g_hash_table_replace (loads, &l->upstream, l);
    }
  g_hash_table_replace (e->peer_loads, g_strdup (name), loads);
  e->peer_loads_changed = true;
  fleet_sum_peer_loads (e);
  demand_apply_state (e, name, m);
  fleet_note_era (e, m->revision, BB_SOURCE_PEER);
  complete = bb_peers_complete_revision (e->peers, m->sent);
  if (complete > e->view->revision)
    e->view->revision = complete;
}

void
fleet_apply_peer_change (struct edge *e, const char *name,
                         const struct bb_peer_end *end)
{
  demand_apply_change (e, name, end);
  if (!end)
    {
      bb_log_event ("peer", "{s:s, s:b, s:i}", "name", name, "here", 1,
                    "members", (int)fleet_edge_count (e));
      return;
    }
  bb_log_event ("peer", "{s:s, s:b, s:i, s:s, s:I, s:I}", "name", name, "here",
                0, "members", (int)fleet_edge_count (e), "why", end->why,
                "partial_bytes", (json_int_t)end->partial_bytes,
                "unsent_bytes", (json_int_t)end->unsent_bytes);
  g_hash_table_remove (e->peer_loads, name);
  e->peer_loads_changed = true;
}

void
fleet_fill_peer_state (struct edge *e, struct bb_peer_state *m)
{
  m->taking = true;
  for (guint i = 0; i < e->target_list->len; i++)
    {
      const struct target *t = g_ptr_array_index (e->target_list, i);
      if (t->in_flight == 0 || m->loads_count == PEER_LOADS_MAX)
        continue;
      m->loads[m->loads_count].upstream = t->id_hash;
      m->loads[m->loads_count].in_flight = t->in_flight;
      m->loads[m->loads_count].work_ms = (uint32_t)bb_work_ms (&t->work);
      m->loads_count++;
    }
  demand_fill_state (e, m);
}

void
fleet_init (struct edge *e)
{
  e->view = bb_view_new ();
  e->view->is_newer_value = bb_item_is_newer;
  e->view->tells_held = true;
  e->evacuated_domains
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  e->queues = g_hash_table_new (g_str_hash, g_str_equal);
  e->queue_list = g_ptr_array_new ();
  e->customer_in_flight
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  demand_init (e);
  e->peer_loads = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         (GDestroyNotify)g_hash_table_unref);
}
