#include "bilberry/fleet.h"

#include <string.h>

bool
bb_upstream_is_same_process (const struct bb_upstream *a,
                             const struct bb_upstream *b)
{
#ifdef BB_MUTANT_upstream_process
  return true;
#endif
  return a->started_unix_ms == b->started_unix_ms
         && strcmp (a->address, b->address) == 0
         && strcmp (a->pool, b->pool) == 0;
}

void
bb_upstream_free (struct bb_upstream *u)
{
  if (!u)
    return;
  g_free (u->id);
  g_free (u->pool);
  g_free (u->address);
  g_free (u->failure_domain);
  g_free (u);
}

void
bb_item_free (void *item)
{
  struct bb_item *i = item;

  if (i->value)
    g_bytes_unref (i->value);
  g_free (i->key);
  g_free (i);
}

struct bb_view *
bb_view_new (void)
{
  struct bb_view *v = g_new0 (struct bb_view, 1);

  v->items
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, bb_item_free);
  return v;
}

void
bb_view_free (struct bb_view *v)
{
  g_hash_table_unref (v->items);
  g_free (v);
}

enum
{
  REVISION_NUMBER_BITS = 48
};

bb_revision
bb_revision_of (uint64_t era, uint64_t number)
{
  return era << REVISION_NUMBER_BITS
         | (number & (((uint64_t)1 << REVISION_NUMBER_BITS) - 1));
}

uint64_t
bb_revision_era (bb_revision r)
{
  return r >> REVISION_NUMBER_BITS;
}

uint64_t
bb_revision_number (bb_revision r)
{
  return r & (((uint64_t)1 << REVISION_NUMBER_BITS) - 1);
}

static bool
values_equal (GBytes *a, GBytes *b)
{
  return a && b ? g_bytes_equal (a, b) : a == b;
}

/* Whether VALUE at REVISION, of a later era than I, is that of an older copy.
 */
static bool
is_older_copy (const struct bb_view *v, const struct bb_item *i, GBytes *value,
               bb_revision revision)
{
  if (bb_revision_era (i->revision) >= bb_revision_era (revision)
      || bb_revision_number (revision) > bb_revision_number (i->revision))
    return false;
  return !v->is_newer_value || !i->value || !value
         || !v->is_newer_value (i->key, i->value, value);
}

bool
bb_view_put (struct bb_view *v, const char *key, GBytes *value,
             bb_revision revision)
{
  struct bb_item *i = g_hash_table_lookup (v->items, key);

#ifndef BB_MUTANT_view_revision
  if (i && i->revision >= revision)
    return false;
#endif
#ifndef BB_MUTANT_view_era
  if (i && is_older_copy (v, i, value, revision))
    {
      i->held = !values_equal (i->value, value);
      i->revision = revision;
      return false;
    }
#endif
  if (!i)
    {
      i = g_new0 (struct bb_item, 1);
      i->key = g_strdup (key);
      g_hash_table_insert (v->items, i->key, i);
    }
  if (i->value)
    g_bytes_unref (i->value);
  i->value = value ? g_bytes_ref (value) : NULL;
  i->revision = revision;
  i->held = false;
  return true;
}

void
bb_view_hold_missing (struct bb_view *v, GHashTable *keys,
                      bb_revision revision)
{
  GHashTableIter it;
  void *value;

  g_hash_table_iter_init (&it, v->items);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct bb_item *i = value;
      if (bb_revision_era (i->revision) == bb_revision_era (revision)
          || g_hash_table_contains (keys, i->key))
        continue;
      i->held = i->value != NULL;
      i->revision = revision;
    }
}

void
bb_view_release_held (struct bb_view *v)
{
  GHashTableIter it;
  void *value;

  g_hash_table_iter_init (&it, v->items);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct bb_item *i = value;
      if (i->held)
        i->revision = bb_revision_of (bb_revision_era (i->revision), 0);
      i->held = false;
    }
}

GPtrArray *
bb_view_missing (const struct bb_view *v, GHashTable *keys,
                 bb_revision revision)
{
  GPtrArray *missing = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter it;
  void *value;

  g_hash_table_iter_init (&it, v->items);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct bb_item *i = value;
      if (i->value && i->revision <= revision
          && !g_hash_table_contains (keys, i->key))
        g_ptr_array_add (missing, g_strdup (i->key));
    }
  return missing;
}
