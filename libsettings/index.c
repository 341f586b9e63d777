/* Hash tables that find items of the settings by name or key.  */

#include "table.h"

#include <stdlib.h>

struct bb_settings_index *
bb_index_new (const struct bb_settings *s)
{
  struct bb_settings_index *x = calloc (1, sizeof *x);

  if (!x)
    abort ();
  x->failure_domains = g_hash_table_new (g_str_hash, g_str_equal);
  for (uint32_t i = 0; i < s->failure_domains_count; i++)
    g_hash_table_insert (x->failure_domains, s->failure_domains[i].name,
                         &s->failure_domains[i]);
  x->upstreams = g_hash_table_new (g_str_hash, g_str_equal);
  for (uint32_t i = 0; i < s->upstreams_count; i++)
    g_hash_table_insert (x->upstreams, s->upstreams[i].name, &s->upstreams[i]);
  x->entries = g_hash_table_new (g_str_hash, g_str_equal);
  for (uint32_t i = 0; i < s->entries_count; i++)
    g_hash_table_insert (x->entries, s->entries[i].name, &s->entries[i]);
  x->customers = g_hash_table_new (g_str_hash, g_str_equal);
  x->customers_by_key = g_hash_table_new (g_str_hash, g_str_equal);
  for (uint32_t i = 0; i < s->customers_count; i++)
    {
      g_hash_table_insert (x->customers, s->customers[i].name,
                           &s->customers[i]);
      g_hash_table_insert (x->customers_by_key, s->customers[i].key_sha256,
                           &s->customers[i]);
    }
  return x;
}

void
bb_index_free (struct bb_settings_index *x)
{
  if (!x)
    return;
  g_hash_table_destroy (x->failure_domains);
  g_hash_table_destroy (x->upstreams);
  g_hash_table_destroy (x->entries);
  g_hash_table_destroy (x->customers);
  g_hash_table_destroy (x->customers_by_key);
  free (x);
}
