/* Keeps the connection to the agent that leads, as bb_election chooses it.
   Each agent is the member of one leader at a time and takes orders of no
   other.
 */

#include "rank.h"

#include "bilberry/settings.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* A connection to another agent.  */
struct link
{
  struct bb_conn *conn;
  char *host;
};

struct member
{
  struct agent *agent;
  struct link *leader;  /* NULL: none */
  struct link *dialled; /* NULL: none */
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
      char *address = bb_bytes_dup (m->target);
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

static void act (enum bb_election_action what);
static void look (struct agent *a);

static void
on_message (struct bb_conn *c, const struct bb_message *m)
{
  struct link *l = bb_conn_user (c);
  bb_ms now = agent_now (member.agent);
  bool dialled = l == member.dialled;
  char *group;

  if (m->type == BB_MSG_RANK_ORDER && l == member.leader)
    take_order (l, &m->u.rank_order);
  if (m->type != BB_MSG_RANK_HELLO
      || (l != member.leader && l != member.dialled))
    return;
  group = bb_bytes_dup (m->u.rank_hello.group);
  act (bb_election_on_hello (&member.agent->follow, l->host, group, now));
  g_free (group);
  if (dialled)
    look (member.agent);
}

static void
tell (struct link *l, bool counts)
{
  struct bb_rank_state m;

  own_fill (member.agent, &m, counts);
  bb_put_rank_state (bb_conn_out (l->conn), &m);
}

static void
on_open (struct bb_conn *c)
{
  struct link *l = bb_conn_user (c);

  if (l == member.dialled)
    tell (l, false);
}

/* L, which may be the leader's or the dialled one, is not used any more.  */
static void
forget (struct link *l, const char *why)
{
  if (l == member.leader)
    {
      member.leader = NULL;
      bb_event ("leader_lost", "{s:s, s:s}", "host", l->host, "why", why);
    }
  else if (l == member.dialled)
    member.dialled = NULL;
  else
    return;
  bb_election_on_close (&member.agent->follow, l->host);
}

/* The connection's end is told later.  */
static void
drop (struct link *l, const char *why)
{
  forget (l, why);
  bb_conn_close (l->conn, why);
}

static void
on_close (struct bb_conn *c, const char *why)
{
  struct link *l = bb_conn_user (c);

  forget (l, why);
  g_free (l->host);
  g_free (l);
}

static const struct bb_conn_ops ops = { on_message, on_open, on_close };

static void
dial (struct agent *a)
{
  const char *host = member.agent->follow.candidate;
  char *address
      = g_strdup_printf ("%s:%u", host, (unsigned)a->start->port_first);
  struct sockaddr_storage addr;
  struct link *l;

  if (bb_address_parse (address, &addr))
    {
      l = g_new0 (struct link, 1);
      l->host = g_strdup (host);
      member.dialled = l;
      l->conn = bb_conn_connect (a->loop, &addr, &ops, l);
    }
  else
    bb_election_on_close (&member.agent->follow, host);
  g_free (address);
}

/* The agent that was dialled answers, so it is followed.  */
static void
attach (void)
{
  struct link *l = member.dialled;
  struct link *before = member.leader;

  member.leader = l;
  member.dialled = NULL;
  if (before)
    bb_conn_close (before->conn, "another leads");
  leader_stop (member.agent);
  bb_event ("leader", "{s:s}", "host", l->host);
}

static void
act (enum bb_election_action what)
{
  switch (what)
    {
    case BB_ELECTION_CONNECT:
      dial (member.agent);
      break;
    case BB_ELECTION_FOLLOW:
      attach ();
      break;
    case BB_ELECTION_CLOSE_CANDIDATE:
      drop (member.dialled, "no answer of use");
      break;
    case BB_ELECTION_CLOSE_LEADER:
      drop (member.leader, "silent, or of another group");
      break;
    case BB_ELECTION_NONE:
      break;
    }
}

/* Does what is to be done now about who leads.  */
static void
look (struct agent *a)
{
  GPtrArray *hosts = view_hosts (a);
  enum bb_election_action what;

  do
    {
      what = bb_election_tick (&member.agent->follow,
                               (const char *const *)hosts->pdata, hosts->len,
                               agent_now (a));
      act (what);
    }
  while (what != BB_ELECTION_NONE);
  g_ptr_array_unref (hosts);
}

void
member_tick (struct agent *a)
{
  if (a->own.known && bb_election_set_group (&a->follow, a->own.report.group))
    leader_stop (a);
  look (a);
}

void
member_woke (struct agent *a)
{
  leader_stop (a);
  bb_election_reset (&member.agent->follow);
  if (member.leader)
    drop (member.leader, "this process was paused");
}

/* Sends the own state to the leader, which may be this process.  */
static void
tell_own (struct agent *a)
{
  struct bb_rank_state m;

  /* A rank that is not known yet is told with no group, as a heartbeat.  */
  if (member.leader)
    tell (member.leader, true);
  else if (member.agent->follow.is_leader)
    {
      own_fill (a, &m, true);
      leader_take_own (a, &m);
    }
  else
    own_forget_counts (a);
  a->busy = a->own.report.prepared > a->own.report.map
            || a->own.report.held > 0 || a->own.report.armed > 0;
}

bool
member_start (struct agent *a)
{
  member.agent = a;
  a->on_own = tell_own;
  bb_election_init (&member.agent->follow, a->host);
  leader_start (a);
  return true;
}
