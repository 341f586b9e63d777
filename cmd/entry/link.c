#include "entry.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

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
  try_link_lost (l);
  if (!l->closed)
    uv_timer_start (&l->again, on_again, RECONNECT_MS, 0);
  else if (!uv_is_closing ((uv_handle_t *)&l->again))
    uv_close ((uv_handle_t *)&l->again, on_timer_closed);
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
  l->ready = true;
  l->refreshed = true;
  if (l->known)
    bb_health_recovered (&l->health, entry_now ());
  l->known = true;
  link_report (l, &m->load, l->in_flight);
  try_waiting (l->entry);
  suspect_greet (l);
}

/* A report counts as fresh when it answers the last probe.  */
static void
on_report (struct link *l, const struct bb_report *m)
{
  link_report (l, &m->load, l->in_flight);
  if (m->nonce != l->probe || m->incarnation != l->agent_incarnation)
    return;
  l->refreshed = true;
  try_waiting (l->entry);
}

/* A request has ended at the agent, so it is no longer part of its load.  */
static void
report_after_end (struct link *l, const struct bb_load *load)
{
  link_report (l, load, l->in_flight > 0 ? l->in_flight - 1 : 0);
}

static void
on_message (struct bb_conn *c, const struct bb_message *m)
{
  struct link *l = bb_conn_user (c);

  l->heard_ms = entry_now ();
  l->silent = false;
  switch (m->type)
    {
    case BB_MSG_HELLO:
      on_hello (l, &m->u.hello);
      break;
    case BB_MSG_HEARTBEAT:
      link_report (l, &m->u.heartbeat.load, l->in_flight);
      break;
    case BB_MSG_REPORT:
      on_report (l, &m->u.report);
      break;
    case BB_MSG_SUSPECT:
      suspect_learn (l, &m->u.suspect);
      break;
    case BB_MSG_HEAD:
      answer_on_head (l, &m->u.head);
      break;
    case BB_MSG_DATA:
      answer_on_data (l, &m->u.data);
      break;
    case BB_MSG_END:
      report_after_end (l, &m->u.end.load);
      answer_on_end (l, &m->u.end);
      break;
    case BB_MSG_REFUSAL:
      report_after_end (l, &m->u.refusal.load);
      answer_on_refusal (l, &m->u.refusal);
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

static enum bb_resume
resume_of (const struct bb_upstream_settings *u)
{
  static const enum bb_resume how[] = {
    [BB_UPSTREAM_RESUME_NONE] = BB_RESUME_NONE,
    [BB_UPSTREAM_RESUME_RESTART] = BB_RESUME_RESTART,
    [BB_UPSTREAM_RESUME_CONTINUE] = BB_RESUME_CONTINUE,
  };

  return how[u->resume];
}

void
link_set (struct link *l, const struct bb_upstream_settings *u)
{
  const struct bb_daemon *d = l->entry->daemon;
  const struct bb_entry_settings *own
      = bb_settings_entry (d->settings, d->name);

  l->in = bb_settings_upstream_in (d->settings, u);
  l->near = own && strcmp (own->failure_domain, u->failure_domain) == 0;
  l->resume = resume_of (u);
  l->pool_links = pool_find (l->entry, u->pool);
  l->domain_hash = XXH64 (u->failure_domain, strlen (u->failure_domain), 0);
  set_text (&l->pool, u->pool);
  set_text (&l->failure_domain, u->failure_domain);
}

static void
unlist (struct link *l)
{
  struct link **at = &l->entry->links;

  while (*at != l)
    at = &(*at)->next;
  *at = l->next;
}

void
link_release (struct link *l)
{
  if (!l->gone || l->closed)
    return;
#ifndef BB_MUTANT_link_release
  if (l->in_flight > 0)
    return;
#endif
  l->closed = true;
  unlist (l);
  if (l->conn)
    bb_conn_close (l->conn, "the upstream left the settings");
  else
    uv_close ((uv_handle_t *)&l->again, on_timer_closed);
}

void
links_drop_gone (struct entry *e)
{
  struct link *next;

  for (struct link *l = e->links; l; l = next)
    {
      next = l->next;
      link_release (l);
    }
}

bool
link_usable (const struct link *l)
{
  return l->in && l->ready && l->refreshed && !l->silent && !l->load.draining;
}

void
link_report (struct link *l, const struct bb_load *load, uint32_t own)
{
  uint32_t all = load->in_flight + load->queued;

  l->load = *load;
  l->others = all > own ? all - own : 0;
  l->report_ms = entry_now ();
}
