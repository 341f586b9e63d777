/* Connects to the leader that bb_election chooses and carries out its orders.
   An agent follows one leader at a time and accepts orders only from it.  */

#include "rank.h"

#include "bilberry/settings.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* A connection to another agent.  */
struct agent_peer
{
  struct bb_conn *conn;
  char *host;
  uint64_t number; /* of all connections, which one */
};

struct follower
{
  struct agent *agent;
  /* Connection to the leader; NULL: none, or this agent leads.  */
  struct agent_peer *leader;
  /* Connection to the candidate, which has not answered yet; NULL: none.  */
  struct agent_peer *candidate;
  uint64_t last_number;
};

static struct follower follower;

/* An order that was sent to an engine and has no result yet.  */
struct pending_order
{
  uint64_t connection; /* number of the connection that it came on, which may
                          have ended */
  uint64_t id;
  bool relayed;     /* it was sent to another rank's engine */
  uint64_t version; /* map version of a relayed order */
  uint64_t epoch;   /* epoch of a relayed order */
};

static void
on_result (uint16_t status, void *user)
{
  struct pending_order *o = user;
  struct bb_rank_result m = { .id = o->id, .status = status };
  struct engine *engine = &follower.agent->engine;

  if (o->relayed && o->version == engine->relayed_version
      && o->epoch == engine->relayed_epoch && (status == 200 || status == 202))
    engine->relayed_accepted = true;

  if (follower.leader && follower.leader->number == o->connection)
    bb_put_rank_result (bb_conn_out (follower.leader->conn), &m);
  g_free (o);
}

static void
handle_order (struct agent_peer *p, const struct bb_rank_order *m)
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
  struct pending_order *order;

  if (m->op >= BB_ORDER_OPS
      || (o.op == BB_ORDER_PREPARE && m->map.size != places * sizeof *map))
    {
      bb_log_event ("order_malformed", "{s:i}", "op", (int)m->op);
      return;
    }
  if (o.op == BB_ORDER_PREPARE)
    {
      map = g_memdup2 (m->map.ptr, m->map.size);
      o.map = map;
    }
  order = g_new0 (struct pending_order, 1);
  order->connection = p->number;
  order->id = m->id;
  if (m->target.size > 0)
    {
      char *address = bb_bytes_strdup (m->target);
      /* Recorded before it is sent: if the leader fails, the next one must
         know that the other rank may be armed.  */
      follower.agent->engine.relayed_epoch = m->epoch;
      follower.agent->engine.relayed_version = m->version;
      follower.agent->engine.relayed_rank = m->target_rank;
      follower.agent->engine.relayed_accepted = false;
      order->relayed = true;
      order->version = m->version;
      order->epoch = m->epoch;
      remote_send_order (follower.agent, address, &o, on_result, order);
      g_free (address);
    }
  else
    {
      engine_note_leader (follower.agent, m->from_rank, o.op, m->version,
                          m->epoch);
      engine_send_order (follower.agent, &o, on_result, order);
    }
  g_free (map);
}

static void apply_action (enum bb_election_action action);
static void update_leader (struct agent *a);

static void
on_message (struct bb_conn *c, const struct bb_message *m)
{
  struct agent_peer *p = bb_conn_user (c);
  bb_ms now = agent_now (follower.agent);
  bool was_candidate = p == follower.candidate;
  char *group;

  if (m->type == BB_MSG_RANK_ORDER && p == follower.leader)
    handle_order (p, &m->u.rank_order);
  if (m->type != BB_MSG_RANK_HELLO
      || (p != follower.leader && p != follower.candidate))
    return;
  group = bb_bytes_strdup (m->u.rank_hello.group);
  apply_action (
      bb_election_on_hello (&follower.agent->election, p->host, group, now));
  g_free (group);
  if (was_candidate)
    update_leader (follower.agent);
}

static void
send_state (struct agent_peer *p, bool counts)
{
  struct bb_rank_state m;

  engine_fill_state (follower.agent, &m, counts);
  bb_put_rank_state (bb_conn_out (p->conn), &m);
}

static void
on_open (struct bb_conn *c)
{
  struct agent_peer *p = bb_conn_user (c);

  if (p == follower.candidate)
    send_state (p, false);
}

/* Stops using P as the leader or the candidate.  */
static void
detach (struct agent_peer *p, const char *why)
{
  if (p == follower.leader)
    {
      follower.leader = NULL;
      bb_log_event ("leader_lost", "{s:s, s:s}", "host", p->host, "why", why);
    }
  else if (p == follower.candidate)
    follower.candidate = NULL;
  else
    return;
  bb_election_on_close (&follower.agent->election, p->host);
}

/* Detaches P and closes its connection; on_close frees P later.  */
static void
close_peer (struct agent_peer *p, const char *why)
{
  detach (p, why);
  bb_conn_close (p->conn, why);
}

static void
on_close (struct bb_conn *c, const char *why)
{
  struct agent_peer *p = bb_conn_user (c);

  detach (p, why);
  g_free (p->host);
  g_free (p);
}

static const struct bb_conn_ops conn_ops = { on_message, on_open, on_close };

static void
connect_candidate (struct agent *a)
{
  const char *host = follower.agent->election.candidate;
  char *address
      = g_strdup_printf ("%s:%u", host, (unsigned)a->settings->port_first);
  struct sockaddr_storage addr;
  struct agent_peer *p;

  if (bb_address_parse (address, &addr))
    {
      p = g_new0 (struct agent_peer, 1);
      p->host = g_strdup (host);
      p->number = ++follower.last_number;
      follower.candidate = p;
      p->conn = bb_conn_connect (a->loop, &addr, &conn_ops, p);
    }
  else
    bb_election_on_close (&follower.agent->election, host);
  g_free (address);
}

/* Makes the candidate, which has answered, the leader.  */
static void
follow_candidate (void)
{
  struct agent_peer *p = follower.candidate;
  struct agent_peer *previous = follower.leader;

  follower.leader = p;
  follower.candidate = NULL;
  if (previous)
    bb_conn_close (previous->conn, "another leads");
  leader_stop (follower.agent);
  bb_log_event ("leader", "{s:s}", "host", p->host);
}

static void
apply_action (enum bb_election_action action)
{
  switch (action)
    {
    case BB_ELECTION_CONNECT:
      connect_candidate (follower.agent);
      break;
    case BB_ELECTION_FOLLOW:
      follow_candidate ();
      break;
    case BB_ELECTION_CLOSE_CANDIDATE:
      close_peer (follower.candidate, "no answer of use");
      break;
    case BB_ELECTION_CLOSE_LEADER:
      close_peer (follower.leader, "silent, or of another group");
      break;
    case BB_ELECTION_NONE:
      break;
    }
}

/* Carries out the actions of the election until none is left.  */
static void
update_leader (struct agent *a)
{
  GPtrArray *hosts = view_hosts (a);
  enum bb_election_action action;

  do
    {
      action = bb_election_tick (&follower.agent->election,
                                 (const char *const *)hosts->pdata, hosts->len,
                                 agent_now (a));
      apply_action (action);
    }
  while (action != BB_ELECTION_NONE);
  g_ptr_array_unref (hosts);
}

void
follower_tick (struct agent *a)
{
  if (a->engine.in_group
      && bb_election_set_group (&a->election, a->engine.report.group))
    leader_stop (a);
  update_leader (a);
}

void
follower_resume (struct agent *a)
{
  leader_stop (a);
  bb_election_reset (&follower.agent->election);
  if (follower.leader)
    close_peer (follower.leader, "this process was paused");
}

/* Passes the state of the local engine to the leader, which may be this
   agent.  */
static void
on_poll_done (struct agent *a)
{
  struct bb_rank_state m;

  /* Before the engine has reported its group, the state has an empty group and
     serves as a heartbeat.  */
  if (follower.leader)
    send_state (follower.leader, true);
  else if (follower.agent->election.is_leader)
    {
      engine_fill_state (a, &m, true);
      leader_handle_engine_state (a, &m);
    }
  else
    engine_discard_counts (a);
  a->switch_in_progress
      = a->engine.report.prepared_version > a->engine.report.map_version
        || a->engine.report.held_step > 0
        || a->engine.report.armed_version > 0;
}

bool
follower_start (struct agent *a)
{
  follower.agent = a;
  a->on_poll_done = on_poll_done;
  bb_election_init (&follower.agent->election, a->host);
  leader_start (a);
  return true;
}
