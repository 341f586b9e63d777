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

static void member_connect (struct member *m);

static void
on_reconnect_timer (uv_timer_t *t)
{
  member_connect (t->data);
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct member *m = h->data;

  free (m->name);
  free (m->address);
  free (m);
}

static void
on_close (struct bb_conn *c, const char *why)
{
  struct member *m = bb_conn_user (c);

  (void)why;
  m->conn = NULL;
  m->ready = false;
  if (m->removed)
    uv_close ((uv_handle_t *)&m->reconnect_timer, on_timer_closed);
  else
    uv_timer_start (&m->reconnect_timer, on_reconnect_timer, RECONNECT_MS, 0);
}

static void
on_open (struct bb_conn *c)
{
  struct member *m = bb_conn_user (c);
  const struct bb_daemon *d = m->agent->daemon;
  struct bb_hello hello = { .role = BB_ROLE_AGENT,
                            .incarnation = d->incarnation,
                            .name = bb_bytes_of (d->name),
                            .revision = d->revision,
                            .knew = m->incarnation };

  bb_put_hello (bb_conn_out (c), &hello);
}

static void
on_message (struct bb_conn *c, const struct bb_message *message)
{
  struct member *m = bb_conn_user (c);

  if (message->type != BB_MSG_HELLO)
    return;
  if (!bb_bytes_equal (message->u.hello.name, m->name))
    {
      bb_conn_close (c, "the hello came from another agent");
      return;
    }
  m->incarnation = message->u.hello.incarnation;
  m->ready = true;
}

static const struct bb_conn_ops member_ops
    = { .on_message = on_message, .on_open = on_open, .on_close = on_close };

static void
member_connect (struct member *m)
{
  struct sockaddr_storage addr;

  if (bb_address_parse (m->address, &addr))
    m->conn = bb_conn_connect (m->agent->daemon->loop, &addr, &member_ops, m);
}

bool
member_send (void *agent, const char *member, enum bb_message_type type,
             const void *message)
{
  struct agent *a = agent;
  struct member *m;
  msgpack_sbuffer *out;

  for (m = a->members; m; m = m->next)
    if (!m->removed && m->ready && strcmp (m->name, member) == 0)
      break;
  if (!m)
    return false;
  out = bb_conn_out (m->conn);
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
members_backlog_bytes (const struct agent *a)
{
  size_t bytes = 0;

  for (const struct member *m = a->members; m; m = m->next)
    if (m->ready)
      bytes += bb_conn_backlog_bytes (m->conn);
  return bytes;
}

static struct member *
find_member (struct agent *a, const struct bb_upstream_settings *u)
{
  for (struct member *m = a->members; m; m = m->next)
    if (strcmp (m->name, u->name) == 0 && strcmp (m->address, u->agent) == 0)
      return m;
  return NULL;
}

static struct member *
add_member (struct agent *a, const struct bb_upstream_settings *u)
{
  struct member *m = calloc (1, sizeof *m);

  m->agent = a;
  m->name = strdup (u->name);
  m->address = strdup (u->agent);
  uv_timer_init (a->daemon->loop, &m->reconnect_timer);
  m->reconnect_timer.data = m;
  m->next = a->members;
  a->members = m;
  member_connect (m);
  return m;
}

static void
drop_removed_members (struct agent *a)
{
  struct member **at = &a->members;

  while (*at)
    {
      struct member *m = *at;
      if (!m->removed)
        {
          at = &m->next;
          continue;
        }
      *at = m->next;
      if (m->conn)
        bb_conn_close (m->conn, "the upstream was removed from the settings");
      else
        uv_close ((uv_handle_t *)&m->reconnect_timer, on_timer_closed);
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
members_update (struct agent *a)
{
  const struct bb_settings *s = a->daemon->settings;
  bool has_keys = pool_has_non_idempotent_route (s, a->pool);

  for (struct member *m = a->members; m; m = m->next)
    m->removed = true;
  for (uint32_t i = 0; has_keys && i < s->upstreams_count; i++)
    {
      const struct bb_upstream_settings *u = &s->upstreams[i];
      struct member *m;
      if (strcmp (u->pool, a->pool) != 0
          || strcmp (u->name, a->daemon->name) == 0)
        continue;
      m = find_member (a, u);
      if (!m)
        m = add_member (a, u);
      m->removed = false;
    }
  drop_removed_members (a);
  set_once_members (a);
}
