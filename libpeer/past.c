/* The values that large items had before, against which the next one is told
   to peers that still have them.  */

#include "internal.h"

#include <xxhash.h>

enum
{
  /* Versions may come faster than a peer can take them.  */
  PAST_MAX = 2,
  KEYS_MAX = 64
};

struct value
{
  GBytes *bytes;
  uint64_t hash;
};

struct past
{
  struct value values[PAST_MAX + 1]; /* the present one first */
  /* The last one that was packed, as several peers ask for the same.  */
  uint64_t packed_hash;
  uint64_t packed_base;
  GBytes *packed;
};

uint64_t
peer_hash (GBytes *value)
{
  gsize size;
  const void *data = g_bytes_get_data (value, &size);

  return XXH64 (data, size, 0);
}

static void
free_past (void *user)
{
  struct past *x = user;

  for (uint32_t i = 0; i <= PAST_MAX; i++)
    if (x->values[i].bytes)
      g_bytes_unref (x->values[i].bytes);
  if (x->packed)
    g_bytes_unref (x->packed);
  g_free (x);
}

GHashTable *
peer_past_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_past);
}

static struct past *
past_of (struct bb_peers *p, const char *key)
{
  struct past *x = g_hash_table_lookup (p->past, key);

  if (!x && g_hash_table_size (p->past) < KEYS_MAX)
    {
      x = g_new0 (struct past, 1);
      g_hash_table_insert (p->past, g_strdup (key), x);
    }
  return x;
}

uint64_t
peer_past_note (struct bb_peers *p, const struct bb_item *i)
{
  struct past *x = past_of (p, i->key);
  uint64_t hash;

  if (!x)
    return peer_hash (i->value);
  if (x->values[0].bytes == i->value)
    return x->values[0].hash;
  hash = peer_hash (i->value);
  if (x->values[PAST_MAX].bytes)
    g_bytes_unref (x->values[PAST_MAX].bytes);
  for (uint32_t k = PAST_MAX; k > 0; k--)
    x->values[k] = x->values[k - 1];
  x->values[0].bytes = g_bytes_ref (i->value);
  x->values[0].hash = hash;
  return hash;
}

static GBytes *
find_value (const struct past *x, uint64_t hash)
{
  for (uint32_t i = 1; i <= PAST_MAX; i++)
    if (x->values[i].bytes && x->values[i].hash == hash)
      return x->values[i].bytes;
  return NULL;
}

GBytes *
peer_past_pack (struct bb_peers *p, const struct bb_item *i, uint64_t *base)
{
  struct past *x = past_of (p, i->key);
  uint64_t hash = peer_past_note (p, i);
  GBytes *from = x && *base != 0 ? find_value (x, *base) : NULL;

  if (!from)
    *base = 0;
  if (!x)
    return bb_pack (i->value, NULL);
  if (!x->packed || x->packed_hash != hash || x->packed_base != *base)
    {
      if (x->packed)
        g_bytes_unref (x->packed);
      x->packed = bb_pack (i->value, from);
      x->packed_hash = hash;
      x->packed_base = *base;
    }
  return x->packed ? g_bytes_ref (x->packed) : NULL;
}
