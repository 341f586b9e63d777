/* Finds the agent that leads: the first in the order of hosts that can be
   reached.  Each agent is the member of one leader at a time and takes orders
   of no other.  */

#include "rank.h"

#include "bilberry/settings.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum
{
  RETRY_MS = 1000,   /* between tries to reach an agent that comes before */
  DIAL_MAX_MS = 150, /* for an answer: a frozen VM accepts connections */
  SILENT_MS = 350    /* of a leader, which answers each state */
};

/* The connection to a leader or to one that may be.  */
struct link
{
  struct bb_conn *conn;
  char *host;
  bb_ms since_ms;
  bb_ms heard_ms;
};

struct member
{
  struct agent *agent;
  struct link *leader;  /* attached to; NULL: none */
  struct link *dialled; /* has not answered yet */
  bool leads;           /* no agent that comes before answers */
  GHashTable *tried;    /* host to time of the last try */
};

static struct member member;

/* An order on its way to the own rank.  */
struct order
{
  struct link *link;
  uint64_t id;
  bool far; /* to another rank */
  uint64_t version;
};

bool
member_leads (void)
{
  return member.leads;
}

static void
on_result (uint16_t status, void *user)
{
  struct order *o = user;
  struct bb_rank_result m = { .id = o->id, .status = status };
  struct own *own = &member.agent->own;

  if (o->far && o->version == own->gave_version
      && (status == 200 || status == 202))
    own->gave_taken = true;

  if (member.leader == o->link && o->link)
    bb_put_rank_result (bb_conn_out (o->link->conn), &m);
  g_free (o);
}

static void
take_order (struct link *l, const struct bb_rank_order *m)
{
  struct bb_order o = { .op = (enum bb_order_op)m->op,
                        .version = m->version,
                        .step = m->step,
                        .epoch = m->epoch,
                        .fence = m->fence,
                        .sets = m->sets,
                        .ranks = m->ranks,
                        .places = m->places };
  size_t places = (size_t)m->sets * m->ranks * m->places;
  uint16_t *map = NULL;
  struct order *order;

  if (m->op >= BB_ORDERS
      || (o.op == BB_ORDER_PREPARE && m->map.size != places * sizeof *map))
    {
      bb_event ("order_malformed", "{s:i}", "op", (int)m->op);
      return;
    }
  if (o.op == BB_ORDER_PREPARE)
    {
      map = g_memdup2 (m->map.ptr, m->map.size);
      o.map = map;
    }
  order = g_new0 (struct order, 1);
  order->link = l;
  order->id = m->id;
  if (m->target.size > 0)
    {
      char *address = g_strndup (m->target.ptr, m->target.size);
      /* Told before it is given: who leads next must know of it.  */
      member.agent->own.gave_epoch = m->epoch;
      member.agent->own.gave_version = m->version;
      member.agent->own.gave_rank = m->target_rank;
      member.agent->own.gave_taken = false;
      order->far = true;
      order->version = m->version;
      remote_order (member.agent, address, &o, on_result, order);
      g_free (address);
    }
  else
    {
      own_led_by (member.agent, m->from_rank, o.op, m->version, m->epoch);
      own_order (member.agent, &o, on_result, order);
    }
  g_free (map);
}

/* The agent that was dialled answers, so it leads.  */
static void
attach (struct link *l)
{
  if (member.leader)
    bb_conn_close (member.leader->conn, "another leads");
  if (member.leads)
    leader_stop (member.agent);
  member.leads = false;
  member.leader = l;
  member.dialled = NULL;
  bb_event ("leader", "{s:s}", "host", l->host);
}

static void
on_message (struct bb_conn *c, const struct bb_message *m)
{
  struct link *l = bb_conn_user (c);

  l->heard_ms = agent_now (member.agent);
  if (l == member.dialled)
    attach (l);
  if (m->type == BB_MSG_RANK_ORDER && l == member.leader)
    take_order (l, &m->u.rank_order);
}

static void
tell (struct link *l)
{
  struct bb_rank_state m;

  own_fill (member.agent, &m);
  bb_put_rank_state (bb_conn_out (l->conn), &m);
}

static void
on_open (struct bb_conn *c)
{
  struct link *l = bb_conn_user (c);

  if (l == member.dialled)
    tell (l);
}

static void
on_close (struct bb_conn *c, const char *why)
{
  struct link *l = bb_conn_user (c);

  if (l == member.leader)
    {
      member.leader = NULL;
      bb_event ("leader_lost", "{s:s, s:s}", "host", l->host, "why", why);
    }
  if (l == member.dialled)
    member.dialled = NULL;
  g_free (l->host);
  g_free (l);
}

static const struct bb_conn_ops ops = { on_message, on_open, on_close };

static void
dial (struct agent *a, const char *host)
{
  char *address
      = g_strdup_printf ("%s:%u", host, (unsigned)a->start->port_first);
  struct sockaddr_storage addr;
  struct link *l;
  int64_t *at = g_new (int64_t, 1);

  *at = agent_now (a);
  g_hash_table_replace (member.tried, g_strdup (host), at);
  if (bb_address_parse (address, &addr))
    {
      l = g_new0 (struct link, 1);
      l->host = g_strdup (host);
      l->since_ms = agent_now (a);
      member.dialled = l;
      l->conn = bb_conn_connect (a->loop, &addr, &ops, l);
    }
  g_free (address);
}

static bool
was_tried_lately (const struct agent *a, const char *host)
{
  const int64_t *at = g_hash_table_lookup (member.tried, host);

  return at && agent_now (a) - *at < RETRY_MS;
}

/* Tries the agents that come before the present leader, or before this one.
   Where none of them answers, this one leads.  */
static void
look_for_leader (struct agent *a)
{
  GPtrArray *hosts = view_hosts (a);
  bool known = false;

  for (guint i = 0; i < hosts->len && !member.dialled; i++)
    {
      const char *host = g_ptr_array_index (hosts, i);
      if (member.leader && strcmp (host, member.leader->host) == 0)
        break;
      if (strcmp (host, a->host) == 0)
        {
          known = true;
          break;
        }
      if (!was_tried_lately (a, host))
        dial (a, host);
    }
  if (known && !member.leader && !member.dialled)
    member.leads = true;
  g_ptr_array_unref (hosts);
}

void
member_tick (struct agent *a)
{
  bb_ms now = agent_now (a);

  if (member.leader && now - member.leader->heard_ms > SILENT_MS)
    bb_conn_close (member.leader->conn, "silent");
  if (member.dialled && now - member.dialled->since_ms > DIAL_MAX_MS)
    bb_conn_close (member.dialled->conn, "no answer");
  if (!member.dialled)
    look_for_leader (a);
}

void
member_woke (struct agent *a)
{
  if (member.leads)
    leader_stop (a);
  member.leads = false;
  if (member.leader)
    bb_conn_close (member.leader->conn, "this process was paused");
  g_hash_table_remove_all (member.tried);
}

void
member_tell (struct agent *a)
{
  struct bb_rank_state m;

  /* A rank that is not known yet is told with no group, as a heartbeat.  */
  if (member.leader)
    tell (member.leader);
  if (member.leads)
    {
      own_fill (a, &m);
      leader_take_own (a, &m);
    }
  memset (a->own.deltas, 0, sizeof a->own.deltas);
  a->busy = a->own.report.prepared > a->own.report.map
            || a->own.report.held > 0 || a->own.report.armed > 0;
}

bool
member_start (struct agent *a)
{
  member.agent = a;
  member.tried
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  leader_start (a);
  return true;
}
