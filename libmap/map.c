#include "bilberry/map.h"

#include <assert.h>
#include <string.h>
#include <xxhash.h>

static uint32_t
slot_count (const struct bb_map_size *size)
{
  return size->ranks * size->slots;
}

static struct bb_map *
map_alloc (const struct bb_map_size *size)
{
  struct bb_map *map = g_new0 (struct bb_map, 1);

  map->size = *size;
  map->layers = g_new0 (struct bb_map_layer, size->layers);
  for (uint32_t l = 0; l < size->layers; l++)
    {
      map->layers[l].expert = g_new (uint16_t, slot_count (size));
      map->layers[l].share = g_new0 (uint16_t, slot_count (size));
    }
  return map;
}

struct bb_map *
bb_map_new (const struct bb_map_size *size)
{
  struct bb_map *map = map_alloc (size);

  assert (size->experts <= slot_count (size));
  for (uint32_t l = 0; l < size->layers; l++)
    {
      struct bb_map_layer *layer = &map->layers[l];
      memset (layer->expert, 0xff, slot_count (size) * sizeof *layer->expert);
      for (uint32_t e = 0; e < size->experts; e++)
        {
          uint32_t i = e % size->ranks * size->slots + e / size->ranks;
          layer->expert[i] = (uint16_t)e;
          layer->share[i] = BB_SHARE_TOTAL;
        }
    }
  return map;
}

struct bb_map *
bb_map_copy (const struct bb_map *map)
{
  struct bb_map *copy = map_alloc (&map->size);
  size_t bytes = slot_count (&map->size) * sizeof (uint16_t);

  for (uint32_t l = 0; l < map->size.layers; l++)
    {
      memcpy (copy->layers[l].expert, map->layers[l].expert, bytes);
      memcpy (copy->layers[l].share, map->layers[l].share, bytes);
    }
  return copy;
}

void
bb_map_free (struct bb_map *map)
{
  if (!map)
    return;
  for (uint32_t l = 0; l < map->size.layers; l++)
    {
      g_free (map->layers[l].expert);
      g_free (map->layers[l].share);
    }
  g_free (map->layers);
  g_free (map);
}

void *
bb_map_pack (const struct bb_map *map, size_t *bytes)
{
  size_t array_bytes = slot_count (&map->size) * sizeof (uint16_t);
  char *data;

  *bytes = 2 * array_bytes * map->size.layers;
  data = g_malloc (*bytes);
  for (uint32_t l = 0; l < map->size.layers; l++)
    {
      memcpy (data + 2 * array_bytes * l, map->layers[l].expert, array_bytes);
      memcpy (data + 2 * array_bytes * l + array_bytes, map->layers[l].share,
              array_bytes);
    }
  return data;
}

struct bb_map *
bb_map_unpack (const struct bb_map_size *size, const void *data, size_t bytes)
{
  size_t array_bytes = slot_count (size) * sizeof (uint16_t);
  const char *from = data;
  struct bb_map *map;

  if (bytes != 2 * array_bytes * size->layers)
    return NULL;
  map = map_alloc (size);
  for (uint32_t l = 0; l < size->layers; l++)
    {
      memcpy (map->layers[l].expert, from + 2 * array_bytes * l, array_bytes);
      memcpy (map->layers[l].share, from + 2 * array_bytes * l + array_bytes,
              array_bytes);
    }
  if (bb_map_is_valid (map))
    return map;
  bb_map_free (map);
  return NULL;
}

uint64_t
bb_map_hash (const struct bb_map *map)
{
  size_t bytes = slot_count (&map->size) * sizeof (uint16_t);
  uint64_t hash = XXH3_64bits (&map->size, sizeof map->size);

  for (uint32_t l = 0; l < map->size.layers; l++)
    {
      hash = XXH3_64bits_withSeed (map->layers[l].expert, bytes, hash);
      hash = XXH3_64bits_withSeed (map->layers[l].share, bytes, hash);
    }
  return hash;
}

static bool
rank_has_expert (const struct bb_map_layer *layer, uint32_t slots,
                 uint32_t rank, uint16_t expert)
{
  for (uint32_t s = 0; s < slots; s++)
    if (layer->expert[rank * slots + s] == expert)
      return true;
  return false;
}

static bool
layer_is_valid (const struct bb_map_size *size,
                const struct bb_map_layer *layer)
{
  uint32_t *share = g_new0 (uint32_t, size->experts);
  bool valid = true;

  for (uint32_t i = 0; layer->expert && i < slot_count (size); i++)
    {
      uint32_t e = layer->expert[i];
      if (e == BB_NO_EXPERT)
        continue;
      if (e >= size->experts)
        {
          valid = false;
          continue;
        }
      share[e] += layer->share[i];
      for (uint32_t j = i + 1; j % size->slots != 0; j++)
        valid = valid && layer->expert[j] != e;
    }
  for (uint32_t e = 0; e < size->experts; e++)
    valid = valid && share[e] == BB_SHARE_TOTAL;
  g_free (share);
  return valid;
}

bool
bb_map_is_valid (const struct bb_map *map)
{
  for (uint32_t l = 0; l < map->size.layers; l++)
    if (!layer_is_valid (&map->size, &map->layers[l]))
      return false;
  return true;
}

uint32_t
bb_map_moves (const struct bb_map *old, const struct bb_map *next)
{
  uint32_t slots = next->size.slots;
  uint32_t moves = 0;

  for (uint32_t l = 0; l < next->size.layers; l++)
    for (uint32_t i = 0; i < slot_count (&next->size); i++)
      {
        uint16_t e = next->layers[l].expert[i];
        if (e != BB_NO_EXPERT
            && !rank_has_expert (&old->layers[l], slots, i / slots, e))
          moves++;
      }
  return moves;
}
