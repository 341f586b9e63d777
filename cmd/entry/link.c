#include "entry.h"

#include <stdlib.h>
#include <string.h>

enum
{
  RECONNECT_MS = 200
};

static void link_connect (struct link *l);

static void
on_again (uv_timer_t *t)
{
  link_connect (t->data);
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct link *l = h->data;

  free (l->name);
  free (l->address);
  free (l->pool);
  free (l->failure_domain);
  free (l);
}

static void
on_close (struct bb_conn *c, const char *why)
{
  struct link *l = bb_conn_user (c);

  if (l->ready)
    bb_log (BB_LOG_WARN, "entry", "Lost the agent of %s: %s.", l->name, why);
  l->conn = NULL;
  l->ready = false;
  request_on_link_lost (l);
  if (l->gone)
    uv_close ((uv_handle_t *)&l->again, on_timer_closed);
  else
    uv_timer_start (&l->again, on_again, RECONNECT_MS, 0);
}

static void
on_open (struct bb_conn *c)
{
  struct link *l = bb_conn_user (c);
  const struct bb_daemon *d = l->entry->daemon;
  struct bb_hello hello = { .role = BB_ROLE_ENTRY,
                            .incarnation = d->incarnation,
                            .name = bb_bytes_of (d->name),
                            .revision = d->revision,
                            .knew = l->agent_incarnation };

  bb_put_hello (bb_conn_out (c), &hello);
}

static void
on_hello (struct link *l, const struct bb_hello *m)
{
  if (!bb_bytes_equal (m->name, l->name))
    {
      bb_conn_close (l->conn, "another upstream's agent answered");
      return;
    }
  l->agent_incarnation = m->incarnation;
  l->load = m->load;
  l->ready = true;
}

static void
on_message (struct bb_conn *c, const struct bb_message *m)
{
  struct link *l = bb_conn_user (c);

  switch (m->type)
    {
    case BB_MSG_HELLO:
      on_hello (l, &m->u.hello);
      break;
    case BB_MSG_HEARTBEAT:
      l->load = m->u.heartbeat.load;
      break;
    case BB_MSG_HEAD:
      request_on_head (l->entry, &m->u.head);
      break;
    case BB_MSG_DATA:
      request_on_data (l->entry, &m->u.data);
      break;
    case BB_MSG_END:
      l->load = m->u.end.load;
      request_on_end (l->entry, &m->u.end);
      break;
    case BB_MSG_REFUSAL:
      l->load = m->u.refusal.load;
      request_on_refusal (l->entry, &m->u.refusal);
      break;
    default:
      break;
    }
}

static const struct bb_conn_ops link_ops
    = { .on_message = on_message, .on_open = on_open, .on_close = on_close };

static void
link_connect (struct link *l)
{
  struct sockaddr_storage addr;

  if (bb_address_parse (l->address, &addr))
    l->conn = bb_conn_connect (l->entry->daemon->loop, &addr, &link_ops, l);
}

static struct link *
find (struct entry *e, const struct bb_upstream_settings *u)
{
  for (struct link *l = e->links; l; l = l->next)
    if (strcmp (l->name, u->name) == 0 && strcmp (l->address, u->agent) == 0)
      return l;
  return NULL;
}

static struct link *
add (struct entry *e, const struct bb_upstream_settings *u)
{
  struct link *l = calloc (1, sizeof *l);

  l->entry = e;
  l->name = strdup (u->name);
  l->address = strdup (u->agent);
  uv_timer_init (e->daemon->loop, &l->again);
  l->again.data = l;
  l->next = e->links;
  e->links = l;
  link_connect (l);
  return l;
}

static void
set_text (char **field, const char *text)
{
  free (*field);
  *field = strdup (text);
}

/* Forgets links that the settings no longer name, once they are idle.  */
static void
drop_gone (struct entry *e)
{
  struct link **at = &e->links;

  while (*at)
    {
      struct link *l = *at;
      if (!l->gone)
        {
          at = &l->next;
          continue;
        }
      *at = l->next;
      if (l->conn)
        bb_conn_close (l->conn, "the upstream left the settings");
      else
        uv_close ((uv_handle_t *)&l->again, on_timer_closed);
    }
}

void
links_update (struct entry *e)
{
  const struct bb_settings *s = e->daemon->settings;

  for (struct link *l = e->links; l; l = l->next)
    l->gone = true;
  for (uint32_t i = 0; i < s->upstreams_count; i++)
    {
      const struct bb_upstream_settings *u = &s->upstreams[i];
      struct link *l = find (e, u);
      if (!l)
        l = add (e, u);
      l->gone = false;
      l->in = bb_settings_upstream_in (s, u);
      set_text (&l->pool, u->pool);
      set_text (&l->failure_domain, u->failure_domain);
    }
  drop_gone (e);
}
