/* Connections from the agents of other ranks to the leader.  */

#include "leader.h"

#include "bilberry/settings.h"
#include "bilberry/wire.h"

#include <jansson.h>
#include <utlist.h>

enum
{
  FOLLOWER_TIMEOUT_MS = 450, /* a connection silent for longer is closed */
  /* Likewise, of an agent that sends only counts on it.  */
  MEMBER_TIMEOUT_MS = 3000
};

static void
send_hello (struct follower_conn *f)
{
  const struct engine *e = &f->leader->agent->engine;
  struct bb_rank_hello m = leader_hello_to (f->leader, f);

  m.group = bb_bytes_of (e->in_group ? e->report.group : "");
  bb_put_rank_hello (bb_conn_out (f->conn), &m);
}

/* Answers each state, also while this agent is not the leader, to show that it
   is alive.  */
static void
on_state (struct follower_conn *f, const struct bb_rank_state *m)
{
  f->in_group = m->size > 0 && bb_bytes_equal (m->group, f->leader->group);
  f->rank = m->rank;
  g_free (f->host);
  f->host = bb_bytes_strdup (m->upstream);
  if (f->in_group)
    leader_update_rank (f->leader, m, true);
  send_hello (f);
}

/* Adds the counts M to the demand where this agent leads, and otherwise to
   those that it will send itself.  */
static void
on_counts (struct follower_conn *f, const struct bb_rank_counts *m)
{
  struct leader *l = f->leader;
  struct agent *a = l->agent;
  GBytes *bytes = NULL;
  const uint16_t *deltas;

  f->is_member = true;
  if (m->count <= COUNTS_MAX)
    bytes = bb_unpack (m->packed, m->count * sizeof *deltas, NULL);
  if (!bytes)
    {
      bb_log_event ("counts_malformed", "{s:i, s:I}", "rank", (int)f->rank,
                    "bytes", (json_int_t)m->packed.size);
      return;
    }
  deltas = g_bytes_get_data (bytes, NULL);
  if (l->active && a->election.is_leader && m->epoch == l->map_switch.epoch)
    {
      /* The leader sends none, from which it would know their size.  */
      a->engine.packed_counts_bytes = m->packed.size;
      leader_add_counts (l, deltas, m->count);
    }
  else
    engine_add_counts (a, m->epoch, deltas, m->count);
  g_bytes_unref (bytes);
}

static void
on_message (struct bb_conn *c, const struct bb_message *m)
{
  struct follower_conn *f = bb_conn_user (c);

  if (m->type == BB_MSG_RANK_STATE)
    on_state (f, &m->u.rank_state);
  else if (m->type == BB_MSG_RANK_PING)
    send_hello (f);
  else if (m->type == BB_MSG_RANK_RESULT)
    leader_handle_result (f->leader, m->u.rank_result.id,
                          m->u.rank_result.status);
  else if (m->type == BB_MSG_RANK_COUNTS)
    on_counts (f, &m->u.rank_counts);
}

static void
on_open (struct bb_conn *c)
{
  struct leader *l = bb_conn_user (c);
  struct follower_conn *f = g_new0 (struct follower_conn, 1);

  f->leader = l;
  f->conn = c;
  DL_APPEND (l->followers, f);
  bb_conn_set_user (c, f);
}

static void
on_close (struct bb_conn *c, const char *why)
{
  struct follower_conn *f = bb_conn_user (c);
  struct leader *l = f->leader;

  leader_drop_orders_of (l, f);

  /* Agents of other groups connect only to learn the group; the end of such a
     connection is not logged.  */
  if (f->in_group)
    bb_log_event ("follower_lost", "{s:i, s:s}", "rank", (int)f->rank, "why",
                  why);
  if (l->active && f->in_group && f->rank < l->map_switch.size.ranks)
    l->map_switch.ranks[f->rank].attached = false;
  DL_DELETE (l->followers, f);
  g_free (f->host);
  g_free (f);
}

static const struct bb_conn_ops conn_ops = { on_message, on_open, on_close };

void
leader_close_silent (struct leader *l)
{
  bb_ms now = agent_now (l->agent);
  struct follower_conn *f;
  struct follower_conn *tmp;

  DL_FOREACH_SAFE (l->followers, f, tmp)
  if (now - bb_conn_received_ms (f->conn) > (f->is_member && !f->in_group
                                                 ? MEMBER_TIMEOUT_MS
                                                 : FOLLOWER_TIMEOUT_MS))
    bb_conn_close (f->conn, "silent");
}

void
leader_listen (struct leader *l)
{
  const struct bb_process_settings *s = l->agent->settings;
  char *address = g_strdup_printf ("%s:%u", s->ip, (unsigned)s->port_first);
  struct sockaddr_storage addr;
  int error = UV_EINVAL;

  if (bb_address_parse (address, &addr))
    l->listener
        = bb_listener_open (l->agent->loop, &addr, &conn_ops, l, &error);
  if (!l->listener)
    bb_log_event ("cannot_listen", "{s:s, s:s}", "address", address, "why",
                  uv_strerror (error));
  g_free (address);
}
