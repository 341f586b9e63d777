/* Connections to the other agents of the pool, on which libonce exchanges its
   messages.  Each agent sends on the connections that it opened and receives
   on those that it accepted (peer.c).  */

#include "agent.h"

#include <stdlib.h>
#include <string.h>

enum
{
  RECONNECT_MS = 200
};

static void link_connect (struct agent_link *l);

static void
on_reconnect_timer (uv_timer_t *t)
{
  link_connect (t->data);
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct agent_link *l = h->data;

  free (l->name);
  free (l->address);
  free (l);
}

static void
on_close (struct bb_conn *c, const char *why)
{
  struct agent_link *l = bb_conn_user (c);

  (void)why;
  l->conn = NULL;
  l->ready = false;
  if (l->removed)
    uv_close ((uv_handle_t *)&l->reconnect_timer, on_timer_closed);
  else
    uv_timer_start (&l->reconnect_timer, on_reconnect_timer, RECONNECT_MS, 0);
}

static void
on_open (struct bb_conn *c)
{
  struct agent_link *l = bb_conn_user (c);
  const struct bb_daemon *d = l->agent->daemon;
  struct bb_hello hello = { .role = BB_ROLE_AGENT,
                            .incarnation = d->incarnation,
                            .name = bb_bytes_of (d->name),
                            .revision = d->revision,
                            .knew = l->incarnation };

  bb_put_hello (bb_conn_out (c), &hello);
}

static void
on_message (struct bb_conn *c, const struct bb_message *message)
{
  struct agent_link *l = bb_conn_user (c);

  if (message->type != BB_MSG_HELLO)
    return;
  if (!bb_bytes_equal (message->u.hello.name, l->name))
    {
      bb_conn_close (c, "the hello came from another agent");
      return;
    }
  l->incarnation = message->u.hello.incarnation;
  l->ready = true;
}

static const struct bb_conn_ops link_ops
    = { .on_message = on_message, .on_open = on_open, .on_close = on_close };

static void
link_connect (struct agent_link *l)
{
  struct sockaddr_storage addr;

  if (bb_address_parse (l->address, &addr))
    l->conn = bb_conn_connect (l->agent->daemon->loop, &addr, &link_ops, l);
}

bool
agent_link_send (void *agent, const char *member, enum bb_message_type type,
                 const void *message)
{
  struct agent *a = agent;
  struct agent_link *l;
  msgpack_sbuffer *out;

  for (l = a->links; l; l = l->next)
    if (!l->removed && l->ready && strcmp (l->name, member) == 0)
      break;
  if (!l)
    return false;
  out = bb_conn_out (l->conn);
  switch (type)
    {
    case BB_MSG_ONCE_ASK:
      bb_put_once_ask (out, message);
      break;
    case BB_MSG_ONCE_SAY:
      bb_put_once_say (out, message);
      break;
    case BB_MSG_ONCE_NOTE:
      bb_put_once_note (out, message);
      break;
    case BB_MSG_ONCE_RELEASE:
      bb_put_once_release (out, message);
      break;
    case BB_MSG_ONCE_SYNC:
      bb_put_once_sync (out, message);
      break;
    case BB_MSG_ONCE_SYNCED:
      bb_put_once_synced (out, message);
      break;
    default:
      break;
    }
  return true;
}

size_t
agent_links_backlog_bytes (const struct agent *a)
{
  size_t bytes = 0;

  for (const struct agent_link *l = a->links; l; l = l->next)
    if (l->ready)
      bytes += bb_conn_backlog_bytes (l->conn);
  return bytes;
}

static struct agent_link *
find_link (struct agent *a, const struct bb_upstream_settings *u)
{
  for (struct agent_link *l = a->links; l; l = l->next)
    if (strcmp (l->name, u->name) == 0 && strcmp (l->address, u->agent) == 0)
      return l;
  return NULL;
}

static struct agent_link *
add_link (struct agent *a, const struct bb_upstream_settings *u)
{
  struct agent_link *l = calloc (1, sizeof *l);

  l->agent = a;
  l->name = strdup (u->name);
  l->address = strdup (u->agent);
  uv_timer_init (a->daemon->loop, &l->reconnect_timer);
  l->reconnect_timer.data = l;
  l->next = a->links;
  a->links = l;
  link_connect (l);
  return l;
}

static void
drop_removed_links (struct agent *a)
{
  struct agent_link **at = &a->links;

  while (*at)
    {
      struct agent_link *l = *at;
      if (!l->removed)
        {
          at = &l->next;
          continue;
        }
      *at = l->next;
      if (l->conn)
        bb_conn_close (l->conn, "the upstream was removed from the settings");
      else
        uv_close ((uv_handle_t *)&l->reconnect_timer, on_timer_closed);
    }
}

/* Returns whether POOL can receive non-idempotent calls.  Only these use
   idempotency keys.  */
static bool
pool_has_non_idempotent_route (const struct bb_settings *s, const char *pool)
{
  for (uint32_t i = 0; i < s->routes_count; i++)
    if (!s->routes[i].idempotent && strcmp (s->routes[i].pool, pool) == 0)
      return true;
  return false;
}

static void
set_once_members (struct agent *a)
{
  const struct bb_settings *s = a->daemon->settings;
  const char **names = calloc (s->upstreams_count + 1, sizeof *names);
  const char **entries = calloc (s->entries_count + 1, sizeof *entries);
  uint32_t count = 0;

  for (uint32_t i = 0; i < s->upstreams_count; i++)
    if (strcmp (s->upstreams[i].pool, a->pool) == 0)
      names[count++] = s->upstreams[i].name;
  for (uint32_t i = 0; i < s->entries_count; i++)
    entries[i] = s->entries[i].name;
  bb_once_set_members (a->once, names, count, entries, s->entries_count,
                       bb_clock_now ());
  free (names);
  free (entries);
}

void
agent_links_update (struct agent *a)
{
  const struct bb_settings *s = a->daemon->settings;
  bool has_keys = pool_has_non_idempotent_route (s, a->pool);

  for (struct agent_link *l = a->links; l; l = l->next)
    l->removed = true;
  for (uint32_t i = 0; has_keys && i < s->upstreams_count; i++)
    {
      const struct bb_upstream_settings *u = &s->upstreams[i];
      struct agent_link *l;
      if (strcmp (u->pool, a->pool) != 0
          || strcmp (u->name, a->daemon->name) == 0)
        continue;
      l = find_link (a, u);
      if (!l)
        l = add_link (a, u);
      l->removed = false;
    }
  drop_removed_links (a);
  set_once_members (a);
}
