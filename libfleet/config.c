#include "index.h"

enum
{
  HEAD_MAX_BYTES = 16384,
  BODY_MAX_BYTES = 4194304,
  HEAD_TIMEOUT_MS = 3000,
  IDLE_TIMEOUT_MS = 15000
};

static void
free_route (void *p)
{
  struct bb_route *r = p;

  if (r->other_owners > 0)
    {
      r->other_owners--;
      return;
    }
  for (uint32_t i = 0; i < r->split_count; i++)
    g_free (r->split[i].pool);
  g_free (r->name);
  g_free (r->host);
  g_free (r->prefix);
  g_free (r);
}

static void
free_pool (void *p)
{
  struct bb_pool *pool = p;

  g_free (pool->name);
  g_free (pool->health_path);
  g_free (pool);
}

static void
free_customer (void *p)
{
  struct bb_fleet_customer *c = p;

  g_free (c->name);
  g_free (c);
}

struct bb_config *
bb_config_new (void)
{
  struct bb_config *c = g_new0 (struct bb_config, 1);

  c->reference_count = 1;
  c->routes = g_ptr_array_new_with_free_func (free_route);
  c->index = route_index_new ();
  c->routes_by_text = g_hash_table_new (g_int64_hash, g_int64_equal);
  c->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_pool);
  c->customers = g_ptr_array_new_with_free_func (free_customer);
  c->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  c->head_max_bytes = HEAD_MAX_BYTES;
  c->body_max_bytes = BODY_MAX_BYTES;
  c->head_timeout_ms = HEAD_TIMEOUT_MS;
  c->idle_timeout_ms = IDLE_TIMEOUT_MS;
  return c;
}

struct bb_config *
bb_config_ref (struct bb_config *c)
{
  c->reference_count++;
  return c;
}

void
bb_config_unref (struct bb_config *c)
{
  if (!c || --c->reference_count > 0)
    return;
  route_index_free (c->index);
  g_hash_table_unref (c->routes_by_text);
  g_ptr_array_unref (c->routes);
  g_hash_table_unref (c->pools);
  g_hash_table_unref (c->keys);
  g_ptr_array_unref (c->customers);
  g_free (c);
}

bool
bb_config_may_replace (const struct bb_config *c,
                       const struct bb_config *in_force)
{
#ifndef BB_MUTANT_config_back
  if (in_force && c->version < in_force->version)
    return false;
#endif
  return true;
}

void
bb_config_add_route (struct bb_config *c, struct bb_route *r)
{
  g_ptr_array_add (c->routes, r);
  route_index_add (c->index, r);
  if (r->text_hash != 0)
    g_hash_table_insert (c->routes_by_text, &r->text_hash, r);
}

void
bb_config_clear_routes (struct bb_config *c)
{
  route_index_free (c->index);
  c->index = route_index_new ();
  g_hash_table_remove_all (c->routes_by_text);
  g_ptr_array_set_size (c->routes, 0);
}

struct bb_route *
bb_config_reuse_route (struct bb_config *c, uint64_t text_hash)
{
  struct bb_route *r = g_hash_table_lookup (c->routes_by_text, &text_hash);

  if (r)
    r->other_owners++;
  return r;
}

void
bb_config_add_pool (struct bb_config *c, struct bb_pool *p)
{
  g_hash_table_replace (c->pools, p->name, p);
}

void
bb_config_add_key (struct bb_config *c, const char *key,
                   struct bb_fleet_customer *owner)
{
  g_hash_table_replace (c->keys, g_strdup (key), owner);
}

struct bb_fleet_customer *
bb_config_add_customer (struct bb_config *c, const char *name,
                        int32_t priority)
{
  struct bb_fleet_customer *customer = g_new0 (struct bb_fleet_customer, 1);

  customer->name = g_strdup (name);
  customer->priority = priority;
  c->has_customers = true;
  g_ptr_array_add (c->customers, customer);
  return customer;
}

const struct bb_pool *
bb_config_find_pool (const struct bb_config *c, const char *name)
{
  return g_hash_table_lookup (c->pools, name);
}

const struct bb_fleet_customer *
bb_config_find_customer (const struct bb_config *c, struct bb_bytes key)
{
  char *key_text = g_strndup (key.ptr, key.size);
  const struct bb_fleet_customer *owner
      = g_hash_table_lookup (c->keys, key_text);

  g_free (key_text);
  return owner;
}

const char *
bb_route_pick_pool (const struct bb_route *r, double draw)
{
  double total = 0;
  double cumulative = 0;

  for (uint32_t i = 0; i < r->split_count; i++)
    total += r->split[i].weight;
  for (uint32_t i = 0; i < r->split_count; i++)
    {
      cumulative += r->split[i].weight;
      if (r->split[i].weight > 0 && draw * total < cumulative)
        return r->split[i].pool;
    }
  return r->split_count > 0 ? r->split[r->split_count - 1].pool : "";
}
