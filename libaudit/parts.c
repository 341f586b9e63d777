/* Checks of pools, customers and limits.  */

#include "internal.h"

#include <string.h>

static gint
compare_strings (const void *a, const void *b)
{
  return strcmp (a, b);
}

GList *
sorted_pool_names (const struct bb_config *c)
{
  return g_list_sort (g_hash_table_get_keys (c->pools), compare_strings);
}

void
check_pools (struct audit *a)
{
  GHashTable *used = g_hash_table_new (g_str_hash, g_str_equal);
  GList *names = sorted_pool_names (a->config);

  for (guint i = 0; i < a->config->routes->len; i++)
    {
      const struct bb_route *r = g_ptr_array_index (a->config->routes, i);
      for (uint32_t k = 0; k < r->split_count; k++)
        g_hash_table_add (used, r->split[k].pool);
    }
  for (GList *n = names; n; n = n->next)
    if (!g_hash_table_contains (used, n->data))
      bb_findings_add (a->out, BB_FINDING_UNUSED_POOL, BB_PLACE_POOL, n->data,
                       "no route uses it");
  g_list_free (names);
  g_hash_table_unref (used);
}

/* Returns the set of customers of C that have a key.  The caller unrefs it. */
static GHashTable *
key_owners (const struct bb_config *c)
{
  GHashTable *owners = g_hash_table_new (NULL, NULL);
  GHashTableIter iter;
  void *owner;

  g_hash_table_iter_init (&iter, c->keys);
  while (g_hash_table_iter_next (&iter, NULL, &owner))
    g_hash_table_add (owners, owner);
  return owners;
}

void
check_customers (struct audit *a)
{
  GHashTable *owners = key_owners (a->config);
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);

  if (a->config->has_customers && a->config->customers->len == 0)
    bb_findings_add (a->out, BB_FINDING_NO_CUSTOMERS, BB_PLACE_FILE, NULL,
                     "the list of customers is empty: only public routes "
                     "accept requests");
  for (guint i = 0; i < a->config->customers->len; i++)
    {
      struct bb_fleet_customer *c
          = g_ptr_array_index (a->config->customers, i);
      if (!g_hash_table_add (names, c->name))
        bb_findings_add (a->out, BB_FINDING_DUPLICATE_CUSTOMER,
                         BB_PLACE_CUSTOMER, c->name,
                         "another customer has the same name");
      if (!g_hash_table_contains (owners, c))
        bb_findings_add (a->out, BB_FINDING_NO_KEYS, BB_PLACE_CUSTOMER,
                         c->name, "has no key of its own");
      if (c->priority > PRIORITY_MAX)
        bb_findings_add (a->out, BB_FINDING_PRIORITY_RANGE, BB_PLACE_CUSTOMER,
                         c->name,
                         "engines get priority %d as %d, the last one",
                         c->priority, PRIORITY_MAX);
    }
  g_hash_table_unref (names);
  g_hash_table_unref (owners);
}

static void
check_zero (struct audit *a, int64_t value, const char *text)
{
  if (value == 0)
    bb_findings_add (a->out, BB_FINDING_ZERO_LIMIT, BB_PLACE_LIMITS, NULL,
                     "%s", text);
}

void
check_limits (struct audit *a)
{
  const struct bb_config *c = a->config;

  check_zero (a, c->head_max_bytes,
              "max-header-bytes is 0: all requests are refused");
  check_zero (a, c->body_max_bytes,
              "max-body-bytes is 0: all requests with a body are refused");
  check_zero (a, c->head_timeout_ms,
              "header-timeout-ms is 0: requests have no time to arrive");
  check_zero (a, c->idle_timeout_ms,
              "idle-timeout-ms is 0: no connection is kept between requests");
  if (c->head_timeout_ms > c->idle_timeout_ms)
    bb_findings_add (a->out, BB_FINDING_CONTRADICTING_LIMITS, BB_PLACE_LIMITS,
                     NULL,
                     "header-timeout-ms %" G_GINT64_FORMAT
                     " is above idle-timeout-ms %" G_GINT64_FORMAT,
                     c->head_timeout_ms, c->idle_timeout_ms);
}
