/* Connects to the leader that bb_election chooses, and reports to it.  An
   agent follows one leader at a time and accepts orders only from it.  */

#include "rank.h"

#include "bilberry/settings.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  PING_AFTER_MS = 2 * POLL_INTERVAL_MS /* without a state */
};

/* A connection to another agent.  */
struct agent_peer
{
  struct bb_conn *conn;
  char *host;
  uint64_t number; /* of all connections, which one */
};

/* The last state that was sent to the leader.  */
struct sent_state
{
  uint64_t hash;          /* see hash_lasting */
  uint64_t lists_version; /* version of the last rows that were sent */
  uint64_t lists_epoch;
  bool lists_wanted; /* the leader lacks the rows */
  bb_ms sent_ms;
};

struct follower
{
  struct agent *agent;
  /* Connection to the leader; NULL: none, or this agent leads.  */
  struct agent_peer *leader;
  /* Connection to the candidate, which has not answered yet; NULL: none.  */
  struct agent_peer *candidate;
  uint64_t last_number;
  struct sent_state sent;
};

static struct follower follower;

static void
on_order_result (uint64_t connection, uint64_t id, uint16_t status)
{
  struct bb_rank_result m = { .id = id, .status = status };

  if (follower.leader && follower.leader->number == connection)
    bb_put_rank_result (bb_conn_out (follower.leader->conn), &m);
}

static void apply_action (enum bb_election_action action);
static void update_leader (struct agent *a);

/* Follows what the hello M of the leader says of counts and rows.  */
static void
follow_hello (const struct bb_rank_hello *m)
{
  char *host = bb_bytes_strdup (m->head);

  head_set (host, follower.leader->host);
  follower.sent.lists_wanted |= m->wants_lists;
  g_free (host);
}

static void
on_message (struct bb_conn *c, const struct bb_message *m)
{
  struct agent_peer *p = bb_conn_user (c);
  bb_ms now = agent_now (follower.agent);
  bool was_candidate = p == follower.candidate;
  char *group;

  if (m->type == BB_MSG_RANK_ORDER && p == follower.leader)
    orders_handle (&m->u.rank_order, p->number);
  if (m->type == BB_MSG_RANK_MAP && p == follower.leader)
    leader_take_map (&m->u.rank_map);
  if (m->type != BB_MSG_RANK_HELLO
      || (p != follower.leader && p != follower.candidate))
    return;
  group = bb_bytes_strdup (m->u.rank_hello.group);
  apply_action (
      bb_election_on_hello (&follower.agent->election, p->host, group, now));
  g_free (group);
  if (was_candidate)
    update_leader (follower.agent);
  if (p == follower.leader)
    follow_hello (&m->u.rank_hello);
}

static void
send_state (struct agent_peer *p)
{
  struct bb_rank_state m;

  engine_fill_state (follower.agent, &m);
  bb_put_rank_state (bb_conn_out (p->conn), &m);
}

/* Returns a hash of M without what changes all the time.  */
static uint64_t
hash_lasting (const struct bb_rank_state *m)
{
  struct bb_rank_state lasting = *m;
  msgpack_sbuffer encoded;
  uint64_t hash;

  lasting.lists.size = 0;
  lasting.step = 0;
  lasting.queued = 0;
  lasting.running = 0;
  msgpack_sbuffer_init (&encoded);
  bb_put_rank_state (&encoded, &lasting);
  hash = XXH64 (encoded.data, encoded.size, 0);
  msgpack_sbuffer_destroy (&encoded);
  return hash;
}

/* Sends the state to the leader if it has changed or is due as a sign of life;
   its rows only where the leader may not have them.  */
static void
report_state (struct agent *a)
{
  struct sent_state *sent = &follower.sent;
  struct bb_rank_state m;
  uint64_t hash;
  bool rows_are_new;

  engine_fill_state (a, &m);
  hash = hash_lasting (&m);
  rows_are_new = m.lists_version != sent->lists_version
                 || m.epoch != sent->lists_epoch || sent->lists_wanted;
  if (hash == sent->hash && !rows_are_new
      && agent_now (a) - sent->sent_ms < POLL_INTERVAL_MS)
    return;
  if (!rows_are_new)
    m.lists.size = 0;
  if (m.lists.size > 0)
    {
      sent->lists_version = m.lists_version;
      sent->lists_epoch = m.epoch;
      sent->lists_wanted = false;
    }
  sent->hash = hash;
  sent->sent_ms = agent_now (a);
  bb_put_rank_state (bb_conn_out (follower.leader->conn), &m);
}

static void
on_open (struct bb_conn *c)
{
  struct agent_peer *p = bb_conn_user (c);

  if (p == follower.candidate)
    send_state (p);
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
  memset (&follower.sent, 0, sizeof follower.sent);
  follower.sent.lists_wanted = true;
  if (previous)
    bb_conn_close (previous->conn, "another leads");
  leader_stop (follower.agent);
  head_set ("", p->host);
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

  if (follower.leader)
    bb_election_on_received (&a->election,
                             bb_conn_received_ms (follower.leader->conn));
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

/* Shows the leader that this agent lives while its engine is slow to answer: a
   state would pass for a new one.  */
static void
ping_leader (struct agent *a)
{
  struct bb_rank_ping m;
  bb_ms now = agent_now (a);

#ifdef BB_MUTANT_rank_ping
  return;
#endif
  if (!follower.leader || now - follower.sent.sent_ms < PING_AFTER_MS)
    return;
  m.age_ms = (uint32_t)(now - a->engine.reported_ms);
  bb_put_rank_ping (bb_conn_out (follower.leader->conn), &m);
}

void
follower_tick (struct agent *a)
{
  ping_leader (a);
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

static void
report_counts (struct agent *a)
{
  uint32_t count;
  const uint16_t *deltas
      = head_takes_counts () ? engine_take_counts (a, &count) : NULL;

  if (deltas)
    head_send_counts (follower.leader->conn, deltas, count);
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
    {
      report_state (a);
      report_counts (a);
    }
  else if (follower.agent->election.is_leader)
    {
      head_set ("", NULL);
      engine_fill_state (a, &m);
      leader_handle_engine_state (a, &m);
    }
  else
    engine_discard_counts (a);
  a->switch_in_progress = engine_is_switching (a);
}

bool
follower_start (struct agent *a)
{
  follower.agent = a;
  a->on_poll_done = on_poll_done;
  bb_election_init (&follower.agent->election, a->host);
  orders_init (a, on_order_result);
  head_init (a);
  leader_start (a);
  return true;
}
