/* Sends the map that is being prepared to the agents: to those whose head is
   the leader, which pass it on, and to those that lack it later.  */

#include "leader.h"

#include "bilberry/wire.h"

#include <jansson.h>
#include <xxhash.h>

void
leader_drop_map (struct leader *l)
{
  struct sent_map *m = &l->sent_map;

  g_bytes_unref (m->map);
  g_bytes_unref (m->difference);
  g_bytes_unref (m->whole);
  m->map = NULL;
  m->difference = NULL;
  m->whole = NULL;
}

static uint64_t
hash_of (GBytes *map)
{
  gsize bytes;
  const void *data = g_bytes_get_data (map, &bytes);

  return XXH64 (data, bytes, 0);
}

/* Returns the map that the agents are expected to have: the one in use, of
   VERSION.  */
static GBytes *
base_map (const struct bb_group_switch *sw, uint64_t version)
{
  size_t bytes = bb_group_places (&sw->size) * sizeof *sw->current_map;
  uint16_t *map;

  if (version == 0)
    return maps_initial (&sw->size);
  map = g_memdup2 (sw->current_map, bytes);
  bb_group_sort_rows (&sw->size, map);
  return g_bytes_new_take (map, bytes);
}

void
leader_begin_map (struct leader *l, const struct bb_group_switch_order *order)
{
  const struct bb_group_switch *sw = &l->map_switch;
  struct sent_map *m = &l->sent_map;
  GBytes *base;

  if (m->map && m->epoch == order->epoch && m->version == order->version)
    return;
  leader_drop_map (l);
  m->epoch = order->epoch;
  m->version = order->version;
  m->map = g_bytes_new (order->map,
                        bb_group_places (&sw->size) * sizeof *order->map);
  m->base_version = sw->ranks[sw->self_rank].map_version;
  m->hash = hash_of (m->map);
  base = base_map (sw, m->base_version);
  m->base_hash = hash_of (base);
  m->difference = bb_pack (m->map, base);
  g_bytes_unref (base);
  maps_keep (m->epoch, m->version, &sw->size, g_bytes_get_data (m->map, NULL));
  bb_group_spread_begin (&m->spread, sw, share_fan_out (l->agent));
}

void
leader_request_map (struct leader *l, uint32_t rank)
{
  bb_counter ("bilberry_maps_missed_total", "")->value++;
  bb_group_spread_request (&l->sent_map.spread, rank);
}

/* Sends the map to F.  Returns the size of its packed form.  */
static size_t
send_map (struct leader *l, struct follower_conn *f, bool whole)
{
  const struct bb_group_size *s = &l->map_switch.size;
  struct sent_map *sent = &l->sent_map;
  struct bb_rank_map m = { .epoch = sent->epoch,
                           .version = sent->version,
                           .sets = s->sets,
                           .experts = s->experts,
                           .ranks = s->ranks,
                           .places = s->places,
                           .whole = whole,
                           .base_version = sent->base_version,
                           .base_hash = sent->base_hash,
                           .hash = sent->hash };
  GBytes *packed;
  gsize size;

  if (whole && !sent->whole)
    sent->whole = bb_pack (sent->map, NULL);
  packed = whole ? sent->whole : sent->difference;
  if (!packed)
    return 0;
  m.packed.ptr = g_bytes_get_data (packed, &size);
  m.packed.size = (uint32_t)size;
  bb_put_rank_map (bb_conn_out (f->conn), &m);
  bb_counter ("bilberry_map_bytes_sent_total", "")->value += size;
  return size;
}

void
leader_spread_map (struct leader *l, bb_ms now)
{
  struct bb_group_spread *spread = &l->sent_map.spread;
  enum bb_group_switch_phase phase = l->map_switch.phase;
  uint32_t ranks = l->map_switch.size.ranks;
  uint32_t r;

  if (!l->sent_map.map
      || (phase != BB_GROUP_SWITCH_PREPARING
          && phase != BB_GROUP_SWITCH_CLEARING))
    return;
  while ((r = bb_group_spread_next (spread, ranks, now)) < ranks)
    {
      struct follower_conn *f = leader_find_follower (l, r);
      if (f)
        bb_group_spread_sent (spread, send_map (l, f, spread->whole[r]));
    }
}
