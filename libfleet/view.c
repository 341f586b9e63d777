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

const char *
bb_source_name (enum bb_source s)
{
  static const char *const names[BB_SOURCES]
      = { [BB_SOURCE_STORE] = "store", [BB_SOURCE_PEER] = "peer" };

  return names[s];
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

/* Whether TOLD, of a later era than KNOWN, is that of an older copy.  */
static bool
is_older_copy (const struct bb_view *v, const struct bb_item *known,
               const struct bb_item *told)
{
#ifdef BB_MUTANT_view_era
  return false;
#endif
  if (bb_revision_era (known->revision) >= bb_revision_era (told->revision)
      || bb_revision_number (told->revision)
             > bb_revision_number (known->revision))
    return false;
  return !v->is_newer_value || !known->value || !told->value
         || !v->is_newer_value (known->key, known->value, told->value);
}

/* Whether KNOWN, which may be NULL, is as new as TOLD.  A removal that a
   listing shows has the revision of the listing, which an item may have that
   is held since an earlier one.  */
static bool
is_as_new (const struct bb_item *known, const struct bb_item *told)
{
#ifdef BB_MUTANT_view_revision
  return false;
#endif
  if (!known || known->revision < told->revision)
    return false;
#ifndef BB_MUTANT_view_missing
  if (known->revision == told->revision && known->value && !told->value)
    return false;
#endif
  return true;
}

/* Whether the store has told V all changes up to REVISION, of its era.  */
static bool
is_settled (const struct bb_view *v, bb_revision revision)
{
#ifdef BB_MUTANT_view_settled
  return false;
#endif
  return revision <= v->settled
         && bb_revision_era (revision) == bb_revision_era (v->settled);
}

/* Whether REVISION is of an era before that of which the store has told.  */
static bool
is_of_earlier_era (const struct bb_view *v, bb_revision revision)
{
  return bb_revision_era (revision) < bb_revision_era (v->settled);
}

/* Whether the peer that told TOLD holds it, and the store has not written the
   key since.  */
static bool
is_held_news (const struct bb_item *known, const struct bb_item *told)
{
  if (!told->held || !told->value)
    return false;
  return !known
         || (known->value && !known->held && known->revision <= told->revision
             && !values_equal (known->value, told->value));
}

enum bb_verdict
bb_view_judge (const struct bb_view *v, const struct bb_item *told,
               enum bb_source source)
{
  const struct bb_item *known = g_hash_table_lookup (v->items, told->key);
  bool from_peer = source == BB_SOURCE_PEER;

#ifndef BB_MUTANT_view_held
  if (from_peer && is_held_news (known, told))
    return BB_VERDICT_UNSETTLED;
#endif
  if (is_as_new (known, told))
    return BB_VERDICT_KNOWN;
  if (from_peer && is_settled (v, told->revision))
    return told->value ? BB_VERDICT_GONE : BB_VERDICT_KNOWN;
#ifndef BB_MUTANT_view_unsettled
  if (from_peer && told->value && is_of_earlier_era (v, told->revision))
    return BB_VERDICT_UNSETTLED;
#endif
  if (known && is_older_copy (v, known, told))
    return BB_VERDICT_OLDER;
  return BB_VERDICT_NEWS;
}

bool
bb_view_is_gone (const struct bb_view *v, const char *key,
                 bb_revision revision)
{
  const struct bb_item *known = g_hash_table_lookup (v->items, key);

  return is_settled (v, revision) && (!known || known->revision < revision);
}

/* Returns the item of KEY, which is added where V has none.  */
static struct bb_item *
item_of (struct bb_view *v, const char *key)
{
  struct bb_item *i = g_hash_table_lookup (v->items, key);

  if (!i)
    {
      i = g_new0 (struct bb_item, 1);
      i->key = g_strdup (key);
      g_hash_table_insert (v->items, i->key, i);
    }
  return i;
}

static void
store (struct bb_view *v, const struct bb_item *told, bool held)
{
  struct bb_item *i = item_of (v, told->key);
  GBytes *value = told->value ? g_bytes_ref (told->value) : NULL;

  if (i->value)
    g_bytes_unref (i->value);
  i->value = value;
  i->revision = told->revision;
  i->held = held;
  /* As bb_view_hold_missing does with what was there before the return.  */
  if (held && is_of_earlier_era (v, i->revision))
    i->revision = v->settled;
}

/* Notes that the store has TOLD something older than V.  */
static void
keep_own (struct bb_view *v, const struct bb_item *told)
{
  struct bb_item *i = g_hash_table_lookup (v->items, told->key);

  i->held = !values_equal (i->value, told->value);
  i->revision = told->revision;
}

enum bb_verdict
bb_view_take (struct bb_view *v, const struct bb_item *told,
              enum bb_source source)
{
  enum bb_verdict verdict = bb_view_judge (v, told, source);

  switch (verdict)
    {
    case BB_VERDICT_NEWS:
      store (v, told, false);
      break;
    case BB_VERDICT_UNSETTLED:
      store (v, told, true);
      break;
    case BB_VERDICT_OLDER:
      keep_own (v, told);
      break;
    case BB_VERDICT_KNOWN:
    case BB_VERDICT_GONE:
      break;
    }
  return verdict;
}

bool
bb_view_put (struct bb_view *v, const char *key, GBytes *value,
             bb_revision revision)
{
  struct bb_item told
      = { .key = (char *)key, .value = value, .revision = revision };

  return bb_view_take (v, &told, BB_SOURCE_STORE) == BB_VERDICT_NEWS;
}

void
bb_view_settle (struct bb_view *v, bb_revision since, bb_revision revision)
{
  if (since <= v->settled && revision > v->settled)
    v->settled = revision;
}

uint32_t
bb_view_hold_missing (struct bb_view *v, GHashTable *keys,
                      bb_revision revision)
{
  uint32_t held = 0;
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
      held += i->held;
    }
  return held;
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
