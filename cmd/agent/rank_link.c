/* Map switch messages between the agents of a group.  Each agent sends on the
   connections that it opened and receives on those that it accepted.  */

#include "rank.h"

#include <string.h>

enum
{
  /* Above this, messages are dropped; the switch retries.  */
  BACKLOG_MAX_BYTES = 1024 * 1024,
  MAP_RESEND_MS = 5000
};

static void
on_link_open (struct bb_conn *c)
{
  struct rank_link *link = bb_conn_user (c);

  link->open = true;
  link->last_sent_hash = 0;
}

static void
on_link_message (struct bb_conn *c, const struct bb_message *m)
{
  (void)c;
  (void)m;
}

static void
on_link_close (struct bb_conn *c, const char *why)
{
  struct rank_link *link = bb_conn_user (c);

  (void)why;
  link->conn = NULL;
  link->open = false;
}

void
rank_connect (struct rank *r)
{
  static const struct bb_conn_ops ops = { .on_open = on_link_open,
                                          .on_message = on_link_message,
                                          .on_close = on_link_close };

  for (uint32_t i = 0; i < r->size.ranks; i++)
    if (i != r->self && !r->links[i].conn)
      r->links[i].conn = bb_conn_connect (r->daemon->loop, &r->links[i].addr,
                                          &ops, &r->links[i]);
}

bool
rank_is_lowest_reachable (const struct rank *r)
{
  for (uint32_t i = 0; i < r->self; i++)
    if (r->links[i].open)
      return false;
  return true;
}

/* Returns whether M must carry the map that it names: to have its weights
   loaded, or for a coordinator whose accepted map is another one.  */
static bool
carries_map (const struct rank *r, const struct bb_map_switch *m)
{
  return m->type == BB_SWITCH_PREPARE
         || (m->type == BB_SWITCH_STATE
             && r->links[m->to].peer_map_hash != m->value.hash);
}

/* Returns the map to send with M; NULL for none.  A map is not repeated on a
   connection within MAP_RESEND_MS.  */
static const struct bb_map *
map_to_send (struct rank *r, struct rank_link *link,
             const struct bb_map_switch *m)
{
  bb_ms now = bb_clock_now ();
  const struct bb_map *map;

  if (!carries_map (r, m)
      || (link->last_sent_hash == m->value.hash
          && now < link->last_sent_ms + MAP_RESEND_MS))
    return NULL;
  map = rank_find_map (r, m->value.hash);
  if (map)
    {
      link->last_sent_hash = m->value.hash;
      link->last_sent_ms = now;
    }
  return map;
}

void
rank_send (struct rank *r, struct bb_map_switch *m)
{
  struct rank_link *link = &r->links[m->to];
  const struct bb_map *map;
  void *data = NULL;
  size_t size = 0;

  if (!link->open || bb_conn_backlog_bytes (link->conn) > BACKLOG_MAX_BYTES)
    return;
  m->group = bb_bytes_of (r->group);
  /* A lead message tells which map the coordinator has accepted; receivers
     store that in peer_map_hash and clear the field again.  */
  if (m->type == BB_SWITCH_LEAD)
    m->value.hash = r->map_switch.saved.accepted.hash;
  map = map_to_send (r, link, m);
  if (map)
    data = bb_map_pack (map, &size);
  m->map.ptr = data;
  m->map.size = (uint32_t)size;
  bb_put_map_switch (bb_conn_out (link->conn), m);
  g_free (data);
}

static void
on_peer_message (struct bb_conn *c, const struct bb_message *message)
{
  struct rank *r = bb_conn_user (c);
  struct rank_event e = { .kind = RANK_EVENT_MESSAGE };
  struct bb_map *map;

  if (message->type != BB_MSG_MAP_SWITCH
      || !bb_bytes_equal (message->u.map_switch.group, r->group)
      || message->u.map_switch.from >= r->size.ranks)
    return;
  e.message = message->u.map_switch;
  if (e.message.type == BB_SWITCH_LEAD)
    {
      r->links[e.message.from].peer_map_hash = e.message.value.hash;
      memset (&e.message.value, 0, sizeof e.message.value);
    }
  if (e.message.map.size > 0)
    {
      map = bb_map_unpack (&r->size, e.message.map.ptr, e.message.map.size);
      if (map && bb_map_hash (map) == e.message.value.hash)
        rank_keep_map (r, map);
      else
        bb_map_free (map);
    }
  memset (&e.message.map, 0, sizeof e.message.map);
  memset (&e.message.group, 0, sizeof e.message.group);
  rank_post_event (r, &e);
}

static void
on_peer_open (struct bb_conn *c)
{
  (void)c;
}

static void
on_peer_close (struct bb_conn *c, const char *why)
{
  (void)c;
  (void)why;
}

bool
rank_listen (struct rank *r, const char *address)
{
  static const struct bb_conn_ops ops = { .on_open = on_peer_open,
                                          .on_message = on_peer_message,
                                          .on_close = on_peer_close };
  struct sockaddr_storage addr;
  int error = 0;

  if (!bb_address_parse (address, &addr))
    return false;
  r->listener = bb_listener_open (r->daemon->loop, &addr, &ops, r, &error);
  if (!r->listener)
    bb_log (BB_LOG_ERROR, "rank", "Cannot listen on %s: %s.", address,
            uv_strerror (error));
  return r->listener != NULL;
}
