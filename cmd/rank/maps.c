/* The last maps that the leader has sent, against which it sends the next.  */

#include "rank.h"

#include "bilberry/wire.h"

#include <jansson.h>
#include <xxhash.h>

enum
{
  /* The map in use, one that is being prepared and one that was abandoned.  */
  MAPS_KEPT = 3,
  MAP_MAX_BYTES = 1 << 20
};

static struct known_map maps[MAPS_KEPT]; /* the newest first */

/* Keeps BYTES, which it takes over, in place of the oldest map.  */
static void
keep (uint64_t epoch, uint64_t version, const struct bb_group_size *size,
      GBytes *bytes)
{
  gsize data_bytes;
  const void *data = g_bytes_get_data (bytes, &data_bytes);

  g_bytes_unref (maps[MAPS_KEPT - 1].bytes);
  for (uint32_t i = MAPS_KEPT - 1; i > 0; i--)
    maps[i] = maps[i - 1];
  maps[0] = (struct known_map){ .epoch = epoch,
                                .version = version,
                                .hash = XXH64 (data, data_bytes, 0),
                                .size = *size,
                                .bytes = bytes };
}

void
maps_keep (uint64_t epoch, uint64_t version, const struct bb_group_size *size,
           const uint16_t *map)
{
  keep (epoch, version, size,
        g_bytes_new (map, bb_group_places (size) * sizeof *map));
}

const struct known_map *
maps_find (uint64_t epoch, uint64_t version, uint64_t hash)
{
  for (uint32_t i = 0; i < MAPS_KEPT; i++)
    if (maps[i].bytes && maps[i].epoch == epoch && maps[i].version == version
#ifndef BB_MUTANT_map_hash
        && maps[i].hash == hash
#endif
    )
      return &maps[i];
  return NULL;
}

GBytes *
maps_initial (const struct bb_group_size *size)
{
  size_t bytes = bb_group_places (size) * sizeof (uint16_t);
  uint16_t *map = g_malloc (bytes);

  bb_group_initial_map (size, map);
  return g_bytes_new_take (map, bytes);
}

/* Returns the map against which M is packed, or NULL where it is not known.
   The caller frees it.  */
static GBytes *
find_base (const struct bb_rank_map *m, const struct bb_group_size *size)
{
  const struct known_map *known
      = maps_find (m->epoch, m->base_version, m->base_hash);
  GBytes *base;
  gsize bytes;
  const void *data;

  if (known)
    return g_bytes_ref (known->bytes);
  if (m->base_version != 0)
    return NULL;
  base = maps_initial (size);
  data = g_bytes_get_data (base, &bytes);
  if (XXH64 (data, bytes, 0) == m->base_hash)
    return base;
  g_bytes_unref (base);
  return NULL;
}

static GBytes *
unpack (const struct bb_rank_map *m, const struct bb_group_size *size)
{
  size_t bytes = bb_group_places (size) * sizeof (uint16_t);
  GBytes *base = m->whole ? NULL : find_base (m, size);
  GBytes *map = NULL;

  if (m->whole || base)
    map = bb_unpack (m->packed, bytes, base);
  if (base)
    g_bytes_unref (base);
  if (map && XXH64 (g_bytes_get_data (map, NULL), bytes, 0) != m->hash)
    {
      g_bytes_unref (map);
      return NULL;
    }
  return map;
}

bool
maps_receive (const struct bb_rank_map *m)
{
  struct bb_group_size size = { .sets = m->sets,
                                .experts = m->experts,
                                .ranks = m->ranks,
                                .places = m->places };
  GBytes *map;

  if (maps_find (m->epoch, m->version, m->hash) || m->ranks > RANKS_MAX
      || m->ranks == 0 || m->experts == 0 || m->sets == 0 || m->places == 0
      || m->sets > COUNTS_MAX || m->places > COUNTS_MAX
      || (uint64_t)m->sets * m->ranks * m->places
             > MAP_MAX_BYTES / sizeof (uint16_t))
    return false;
  map = unpack (m, &size);
  if (!map)
    {
      bb_log_event ("map_unusable", "{s:I, s:I, s:b, s:I}", "version",
                    (json_int_t)m->version, "base",
                    (json_int_t)m->base_version, "whole", m->whole, "bytes",
                    (json_int_t)m->packed.size);
      return false;
    }
  bb_log_event ("map", "{s:I, s:I, s:b, s:I}", "version",
                (json_int_t)m->version, "base", (json_int_t)m->base_version,
                "whole", m->whole, "bytes", (json_int_t)m->packed.size);
  keep (m->epoch, m->version, &size, map);
  return true;
}
