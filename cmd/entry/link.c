/* Connections to agents: handshake, message dispatch, reconnection.  */

#include "entry.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  RECONNECT_DELAY_MS = 200
};

static void link_connect (struct link *l);

static void
on_reconnect_timer (uv_timer_t *t)
{
  link_connect (t->data);
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct link *l = h->data;

  free (l->name);
  free (l->address);
  free (l->pool_name);
  free (l->failure_domain);
  free (l);
}

static void
on_close (struct bb_conn *c, const char *why)
{
  struct link *l = bb_conn_user (c);

  if (l->ready)
    bb_log (BB_LOG_WARN, "entry", "Connection to the agent of %s lost: %s.",
            l->name, why);
  l->conn = NULL;
  l->ready = false;
  attempt_link_lost (l);
  if (!l->closing)
    uv_timer_start (&l->reconnect_timer, on_reconnect_timer,
                    RECONNECT_DELAY_MS, 0);
  else if (!uv_is_closing ((uv_handle_t *)&l->reconnect_timer))
    uv_close ((uv_handle_t *)&l->reconnect_timer, on_timer_closed);
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
      bb_conn_close (l->conn, "the agent belongs to another upstream");
      return;
    }
  l->agent_incarnation = m->incarnation;
  l->ready = true;
  l->reported_since_pause = true;
  if (l->connected_before)
    bb_health_recovered (&l->health, entry_now ());
  l->connected_before = true;
  link_update_load (l, &m->load, l->in_flight);
  attempt_send_waiting (l->entry);
  suspect_send_all (l);
}

/* Handles the report M of the agent.  One that answers an earlier probe, or
   comes from another incarnation of the agent, may predate the pause of this
   process: it updates the load only.  */
static void
on_report (struct link *l, const struct bb_report *m)
{
  link_update_load (l, &m->load, l->in_flight);
  if (m->nonce != l->probe_nonce || m->incarnation != l->agent_incarnation)
    return;
  l->reported_since_pause = true;
  attempt_send_waiting (l->entry);
}

/* Stores LOAD, which the agent sent with the end of a request.  The agent no
   longer counts that request, while L->in_flight still does.  */
static void
update_load_after_end (struct link *l, const struct bb_load *load)
{
  link_update_load (l, load, l->in_flight > 0 ? l->in_flight - 1 : 0);
}

static void
on_message (struct bb_conn *c, const struct bb_message *m)
{
  struct link *l = bb_conn_user (c);

  l->silent_since_ms = entry_now ();
  l->unresponsive = false;
  switch (m->type)
    {
    case BB_MSG_HELLO:
      on_hello (l, &m->u.hello);
      break;
    case BB_MSG_HEARTBEAT:
      link_update_load (l, &m->u.heartbeat.load, l->in_flight);
      break;
    case BB_MSG_REPORT:
      on_report (l, &m->u.report);
      break;
    case BB_MSG_SUSPECT:
      suspect_receive (l, &m->u.suspect);
      break;
    case BB_MSG_HEAD:
      response_on_head (l, &m->u.head);
      break;
    case BB_MSG_DATA:
      response_on_data (l, &m->u.data);
      break;
    case BB_MSG_END:
      update_load_after_end (l, &m->u.end.load);
      response_on_end (l, &m->u.end);
      break;
    case BB_MSG_REFUSAL:
      update_load_after_end (l, &m->u.refusal.load);
      response_on_refusal (l, &m->u.refusal);
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

struct link *
link_find (struct entry *e, const struct bb_upstream_settings *u)
{
  for (struct link *l = e->links; l; l = l->next)
    if (strcmp (l->name, u->name) == 0 && strcmp (l->address, u->agent) == 0)
      return l;
  return NULL;
}

struct link *
link_add (struct entry *e, const struct bb_upstream_settings *u)
{
  struct link *l = calloc (1, sizeof *l);

  l->entry = e;
  l->name = strdup (u->name);
  l->name_hash = XXH64 (u->name, strlen (u->name), 0);
  l->address = strdup (u->agent);
  uv_timer_init (e->daemon->loop, &l->reconnect_timer);
  l->reconnect_timer.data = l;
  l->next = e->links;
  e->links = l;
  link_connect (l);
  return l;
}

static void
replace_string (char **field, const char *text)
{
  free (*field);
  *field = strdup (text);
}

static enum bb_resume
resume_mode (const struct bb_upstream_settings *u)
{
  static const enum bb_resume modes[] = {
    [BB_UPSTREAM_RESUME_NONE] = BB_RESUME_NONE,
    [BB_UPSTREAM_RESUME_RESTART] = BB_RESUME_RESTART,
    [BB_UPSTREAM_RESUME_CONTINUE] = BB_RESUME_CONTINUE,
  };

  return modes[u->resume];
}

void
link_configure (struct link *l, const struct bb_upstream_settings *u)
{
  const struct bb_daemon *d = l->entry->daemon;
  const struct bb_entry_settings *own
      = bb_settings_entry (d->settings, d->name);

  l->enabled = bb_settings_upstream_enabled (d->settings, u);
  l->same_domain = own && strcmp (own->failure_domain, u->failure_domain) == 0;
  l->resume = resume_mode (u);
  l->pool = pool_find (l->entry, u->pool);
  l->domain_hash = XXH64 (u->failure_domain, strlen (u->failure_domain), 0);
  replace_string (&l->pool_name, u->pool);
  replace_string (&l->failure_domain, u->failure_domain);
}

static void
remove_from_list (struct link *l)
{
  struct link **position = &l->entry->links;

  while (*position != l)
    position = &(*position)->next;
  *position = l->next;
}

void
link_close_if_unused (struct link *l)
{
  if (!l->removed || l->closing)
    return;
#ifndef BB_MUTANT_link_release
  if (l->in_flight > 0)
    return;
#endif
  l->closing = true;
  remove_from_list (l);
  if (l->conn)
    bb_conn_close (l->conn, "this entry no longer uses the upstream");
  else
    uv_close ((uv_handle_t *)&l->reconnect_timer, on_timer_closed);
}

void
links_close_removed (struct entry *e)
{
  struct link *next;

  for (struct link *l = e->links; l; l = next)
    {
      next = l->next;
      link_close_if_unused (l);
    }
}

bool
link_usable (const struct link *l)
{
  return l->enabled && l->ready && l->reported_since_pause && !l->unresponsive
         && !l->load.draining;
}

void
link_update_load (struct link *l, const struct bb_load *load, uint32_t own)
{
  uint32_t all = load->in_flight + load->queued;

  l->load = *load;
  l->other_requests = all > own ? all - own : 0;
  l->load_received_ms = entry_now ();
}
