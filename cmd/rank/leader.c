/* Leader of a group: collects the state of all ranks, plans maps and drives
   the switch to a new map.  */

#include "rank.h"

#include "bilberry/settings.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

enum
{
  PLAN_INTERVAL_MS = 100,
  FOLLOWER_TIMEOUT_MS = 450, /* a connection silent for longer is closed */
  /* Intervals at which engines without a connected agent are polled by HTTP:
     without a switch, and while one is in progress.  */
  REMOTE_POLL_INTERVAL_MS = 500,
  SWITCH_REMOTE_POLL_INTERVAL_MS = 100
};

/* Connection from another agent.  */
struct follower_conn
{
  struct bb_conn *conn;
  char *host;    /* host of its engine; NULL before its first state */
  bool in_group; /* its last state is of the group that this agent leads */
  uint32_t rank;
  bb_ms last_message_ms;
  struct follower_conn *prev;
  struct follower_conn *next;
};

/* An order that was sent and has no result yet.  */
struct pending_order
{
  uint64_t id;
  uint32_t rank;
  /* Whose agent sends it; NULL: sent by HTTP, which always ends in a result.
   */
  const struct follower_conn *follower;
  struct bb_group_switch_order order;
};

struct leader
{
  struct agent *agent;
  struct bb_listener *listener;
  struct follower_conn *followers;
  struct bb_group_switch map_switch;
  struct bb_demand demand;
  bool active; /* map_switch and demand are initialized */
  char group[64];
  bb_ms last_plan_ms;
  uint64_t last_order_id;
  GHashTable *pending_orders; /* struct pending_order by id */
  uint64_t fence;
  enum bb_group_switch_phase logged_phase;
  /* Addresses of engines polled by HTTP, by rank.  */
  GHashTable *remote_addresses;
};

static struct leader leader;

static void
log_phase (struct leader *l)
{
  const struct bb_group_switch *s = &l->map_switch;

  if (s->phase == l->logged_phase)
    return;
  l->logged_phase = s->phase;
  bb_log_event ("switch", "{s:s, s:I, s:I, s:I, s:i, s:i}", "phase",
                bb_group_switch_phase_name (s->phase), "version",
                (json_int_t)s->version, "step", (json_int_t)s->step, "epoch",
                (json_int_t)s->epoch, "switches", (int)s->switches,
                "abandoned", (int)s->abandoned);
}

/* Updates the metric after a change of the table.  */
static void
count_pending (const struct leader *l)
{
  bb_counter ("bilberry_orders_pending", "")->value
      = g_hash_table_size (l->pending_orders);
}

static void
handle_result (uint64_t id, uint16_t status)
{
  struct leader *l = &leader;
  struct pending_order *o = g_hash_table_lookup (l->pending_orders, &id);

  if (!o)
    return;
  if (status == 0)
    bb_counter ("bilberry_orders_unanswered_total", "")->value++;
  if (l->active)
    {
      if (status != 200 && status != 202)
        bb_log_event ("order_refused", "{s:i, s:i, s:i, s:I, s:I}", "op",
                      (int)o->order.op, "rank", (int)o->rank, "status",
                      (int)status, "version", (json_int_t)o->order.version,
                      "step", (json_int_t)o->order.step);
      bb_group_switch_order_result (&l->map_switch, o->rank, &o->order, status,
                                    agent_now (l->agent));
      log_phase (l);
    }
  g_hash_table_remove (l->pending_orders, &id);
  count_pending (l);
}

static void
on_direct_result (uint16_t status, void *user)
{
  uint64_t *id = user;

  handle_result (*id, status);
  g_free (id);
}

static struct follower_conn *
find_follower (uint32_t rank)
{
  struct follower_conn *f;

  DL_FOREACH (leader.followers, f)
  if (f->in_group && f->rank == rank)
    return f;
  return NULL;
}

static enum bb_order_op
convert_op (enum bb_group_switch_op op)
{
  static const enum bb_order_op ops[]
      = { BB_ORDER_PREPARE, BB_ORDER_ARM, BB_ORDER_HOLD, BB_ORDER_GO,
          BB_ORDER_DISARM };

  return ops[op];
}

/* Sends O to the agent F, which passes it to its own engine, or to the engine
   at ADDRESS unless that is NULL.  */
static void
send_order_to_follower (struct follower_conn *f, const struct pending_order *o,
                        const char *address)
{
  const struct bb_group_size *s = &leader.map_switch.size;
  struct bb_rank_order m = { .id = o->id,
                             .op = (uint8_t)convert_op (o->order.op),
                             .version = o->order.version,
                             .step = o->order.step,
                             .epoch = o->order.epoch,
                             .fence = leader.fence,
                             .target = bb_bytes_of (address),
                             .target_rank = o->rank,
                             .from_rank = leader.map_switch.self_rank,
                             .sets = s->sets,
                             .ranks = s->ranks,
                             .places = s->places };

  if (o->order.map)
    {
      m.map.ptr = (const char *)o->order.map;
      m.map.size = (uint32_t)(bb_group_places (s) * sizeof (uint16_t));
    }
  bb_put_rank_order (bb_conn_out (f->conn), &m);
}

/* Sends O to the engine at ADDRESS by HTTP.  */
static void
send_order_direct (const char *address, const struct pending_order *o)
{
  const struct bb_group_size *s = &leader.map_switch.size;
  struct bb_order d = { .op = convert_op (o->order.op),
                        .version = o->order.version,
                        .step = o->order.step,
                        .epoch = o->order.epoch,
                        .fence = leader.fence,
                        .map = o->order.map,
                        .sets = s->sets,
                        .ranks = s->ranks,
                        .places = s->places };

  remote_send_order (leader.agent, address, &d, on_direct_result,
                     g_memdup2 (&o->id, sizeof o->id));
}

/* Returns the address of the engine of RANK, or NULL: its agent's host with
   the port of the local engine, or else the address at which it was polled. */
static char *
find_address (uint32_t rank)
{
  struct follower_conn *f = find_follower (rank);
  const char *colon = strrchr (leader.agent->settings->upstream_address, ':');

  if (rank == leader.map_switch.self_rank)
    return g_strdup (leader.agent->settings->upstream_address);
  if (f && f->host && colon)
    return g_strconcat (f->host, colon, NULL);
  return g_strdup (
      g_hash_table_lookup (leader.remote_addresses, GUINT_TO_POINTER (rank)));
}

/* Sends ORDER to the engine of RANK: directly by HTTP if ORDER->via_rank is
   this agent's rank, otherwise through the agent of that rank.  If that agent
   is not connected, an order that ends a switch is sent directly, and any
   other is not sent.  */
static void
send_order (uint32_t rank, const struct bb_group_switch_order *order,
            void *user)
{
  struct leader *l = user;
  struct pending_order *o = g_new0 (struct pending_order, 1);
  struct follower_conn *f = find_follower (order->via_rank);
  char *address = find_address (rank);
  bool by_self = order->via_rank == l->map_switch.self_rank;
  /* Not also orders that continue a switch: a leader that was paused may still
     consider a switch in progress although its followers have left; it must
     not continue that switch on its own.  */
  bool finishing = l->map_switch.phase == BB_GROUP_SWITCH_FORWARDING
                   || l->map_switch.phase == BB_GROUP_SWITCH_DISARMING
                   || l->map_switch.phase == BB_GROUP_SWITCH_CLEARING
                   || l->map_switch.phase == BB_GROUP_SWITCH_GOING;

  bb_counter ("bilberry_orders_total", "")->value++;
  o->id = ++l->last_order_id;
  o->rank = rank;
  o->order = *order;
  if (!by_self && f)
    {
      o->follower = f;
      g_hash_table_insert (l->pending_orders, &o->id, o);
      send_order_to_follower (f, o, order->via_rank == rank ? NULL : address);
    }
  else if (address && (by_self || finishing))
    {
      g_hash_table_insert (l->pending_orders, &o->id, o);
      if (rank == l->map_switch.self_rank)
        engine_note_leader (l->agent, l->map_switch.self_rank,
                            convert_op (order->op), order->version,
                            order->epoch);
      send_order_direct (address, o);
    }
  else
    g_free (o);
  g_free (address);
  count_pending (l);
}

/* Initializes the switch for RANKS ranks, of which this agent's is SELF, if
   the sizes of the maps are known and within bounds.  Returns whether the
   switch is initialized.  */
static bool
init_group (struct leader *l, uint32_t ranks, uint32_t self)
{
  const struct bb_pool *p = l->agent->pool;
  struct bb_group_size size;

  if (l->active)
    return true;
  if (!p || ranks == 0 || ranks > RANKS_MAX
      || p->engine.sets * p->engine.experts > COUNTS_MAX)
    return false;
  size = (struct bb_group_size){ .sets = p->engine.sets,
                                 .experts = p->engine.experts,
                                 .ranks = ranks,
                                 .places = p->engine.places,
                                 .spare = p->engine.spare };
  bb_group_switch_init (&l->map_switch, &size, self, send_order, l);
  bb_demand_init (&l->demand, size.sets * size.experts);
  l->active = true;
  snprintf (l->group, sizeof l->group, "%s", l->agent->engine.report.group);
  bb_log_event ("leads", "{s:s, s:i, s:i}", "group", l->group, "ranks",
                (int)ranks, "self", (int)self);
  return true;
}

/* Passes state M of a rank to the switch and its counts to the demand, then
   advances the switch.  ATTACHED tells whether the agent of the rank is
   connected and takes orders from this leader.  */
static void
handle_state (struct leader *l, const struct bb_rank_state *m, bool attached)
{
  struct bb_group_switch_rank state = { .attached = attached,
                                        .open = m->open,
                                        .epoch = m->epoch,
                                        .step = m->step,
                                        .map_version = m->map,
                                        .prepared_version = m->prepared,
                                        .armed_version = m->armed,
                                        .armed_step = m->armed_step,
                                        .held_step = m->held,
                                        .last_leader = m->led_by,
                                        .disarmed_version = m->given_up,
                                        .disarmed_epoch = m->given_up_epoch,
                                        .relayed_epoch = m->gave_epoch,
                                        .relayed_version = m->gave_version,
                                        .relayed_rank = m->gave_rank,
                                        .relayed_accepted = m->gave_taken,
                                        .row_version = m->lists_version };
  const struct bb_group_size *s = &l->map_switch.size;
  size_t rows_size_bytes = (size_t)s->sets * s->places * sizeof (uint16_t);
  bb_ms now = agent_now (l->agent);

  if (!l->active || m->size != s->ranks || m->rank >= s->ranks)
    return;
  bb_group_switch_update_rank (
      &l->map_switch, m->rank, &state,
      m->lists.size == rows_size_bytes ? (const uint16_t *)m->lists.ptr : NULL,
      now);
  if (m->counts.size > 0)
    {
      uint16_t *deltas = g_memdup2 (m->counts.ptr, m->counts.size);
      bb_demand_add (&l->demand, deltas,
                     m->counts.size / (uint32_t)sizeof *deltas, now);
      g_free (deltas);
    }
  bb_group_switch_tick (&l->map_switch, now);
  log_phase (l);
}

void
leader_handle_engine_state (struct agent *a, const struct bb_rank_state *m)
{
  if (!leader.agent->election.is_leader)
    return;
  if (init_group (&leader, m->size, m->rank))
    {
      leader.map_switch.self_rank = m->rank;
      handle_state (&leader, m, true);
    }
  (void)a;
}

/* Connections from other agents.  */

static void
on_message (struct bb_conn *c, const struct bb_message *m)
{
  struct follower_conn *f = bb_conn_user (c);
  struct bb_rank_hello hello
      = { .group = bb_bytes_of (leader.agent->engine.in_group
                                    ? leader.agent->engine.report.group
                                    : "") };

  f->last_message_ms = agent_now (leader.agent);
  if (m->type == BB_MSG_RANK_STATE)
    {
      f->in_group = m->u.rank_state.size > 0
                    && bb_bytes_equal (m->u.rank_state.group, leader.group);
      f->rank = m->u.rank_state.rank;
      g_free (f->host);
      f->host = bb_bytes_strdup (m->u.rank_state.upstream);
      if (f->in_group)
        handle_state (&leader, &m->u.rank_state, true);
      /* Answers each state, also while this agent is not the leader, to show
         that it is alive.  */
      bb_put_rank_hello (bb_conn_out (c), &hello);
    }
  else if (m->type == BB_MSG_RANK_RESULT)
    handle_result (m->u.rank_result.id, m->u.rank_result.status);
}

static void
on_open (struct bb_conn *c)
{
  struct follower_conn *f = g_new0 (struct follower_conn, 1);

  f->conn = c;
  f->last_message_ms = agent_now (leader.agent);
  DL_APPEND (leader.followers, f);
  bb_conn_set_user (c, f);
}

static gboolean
is_order_of (gpointer id, gpointer order, gpointer follower)
{
  (void)id;
  return ((const struct pending_order *)order)->follower == follower;
}

static void
on_close (struct bb_conn *c, const char *why)
{
  struct follower_conn *f = bb_conn_user (c);

  /* Their results cannot come any more.  */
  g_hash_table_foreach_remove (leader.pending_orders, is_order_of, f);
  count_pending (&leader);

  /* Agents of other groups connect only to learn the group; the end of such a
     connection is not logged.  */
  if (f->in_group)
    bb_log_event ("follower_lost", "{s:i, s:s}", "rank", (int)f->rank, "why",
                  why);
  if (leader.active && f->in_group && f->rank < leader.map_switch.size.ranks)
    leader.map_switch.ranks[f->rank].attached = false;
  DL_DELETE (leader.followers, f);
  g_free (f->host);
  g_free (f);
}

const struct bb_conn_ops leader_ops = { on_message, on_open, on_close };

/* Ranks whose agent is not connected.  */

/* A request in progress for the report of an engine.  */
struct remote_poll
{
  char *address;
  char *host; /* host part of address */
};

static void
on_remote_report (const struct bb_rank_report *r, void *user)
{
  struct remote_poll *poll = user;
  struct leader *l = &leader;
  struct bb_rank_state m = { 0 };

  if (!r)
    bb_log_event ("far_silent", "{s:s}", "address", poll->address);
  if (r && r->in_group && l->active && strcmp (r->group, l->group) != 0)
    bb_election_set_other_group (&l->agent->election, poll->host,
                                 agent_now (l->agent));
  else if (r && r->in_group && l->active)
    {
      m.epoch = r->epoch;
      m.rank = r->rank;
      m.size = r->group_size;
      m.open = r->open;
      m.step = r->step;
      m.map = r->map_version;
      m.prepared = r->prepared_version;
      m.armed = r->armed_version;
      m.armed_step = r->armed_step;
      m.held = r->held_step;
      g_hash_table_replace (l->remote_addresses, GUINT_TO_POINTER (r->rank),
                            g_strdup (poll->address));
      handle_state (l, &m, false);
    }
  g_free (poll->address);
  g_free (poll->host);
  g_free (poll);
}

static bool
has_agent (const struct leader *l, const char *host)
{
  const struct follower_conn *f;

  if (strcmp (host, l->agent->host) == 0)
    return true;
  DL_FOREACH (l->followers, f)
  if (g_strcmp0 (f->host, host) == 0)
    return true;
  return false;
}

static void
poll_remotes (struct leader *l)
{
  static bb_ms last_poll_ms;
  bb_ms now = agent_now (l->agent);
  GHashTableIter it;
  void *address;

  if (now - last_poll_ms < (l->map_switch.phase == BB_GROUP_SWITCH_IDLE
                                ? REMOTE_POLL_INTERVAL_MS
                                : SWITCH_REMOTE_POLL_INTERVAL_MS))
    return;
  last_poll_ms = now;
  g_hash_table_iter_init (&it, l->agent->upstreams);
  while (g_hash_table_iter_next (&it, NULL, &address))
    {
      char *host = view_host_of (address);
      struct remote_poll *poll;
      if (has_agent (l, host)
          || bb_election_is_other_group (&l->agent->election, host, now))
        {
          g_free (host);
          continue;
        }
      poll = g_new0 (struct remote_poll, 1);
      poll->address = g_strdup (address);
      poll->host = host;
      remote_get_report (l->agent, address, on_remote_report, poll);
    }
}

/* Planning.  */

/* Begins a switch if all ranks are ready and a better map pays off.  */
static void
plan_switch (struct leader *l)
{
  bb_ms now = agent_now (l->agent);
  const struct bb_pool *pool = l->agent->pool;
  struct bb_demand_engine e;
  struct bb_rebalance_plan p;
  uint16_t *next;

  if (!pool || now - l->last_plan_ms < PLAN_INTERVAL_MS
      || !bb_group_switch_is_ready (&l->map_switch, now))
    return;
  l->last_plan_ms = now;
  next = g_new (uint16_t, bb_group_places (&l->map_switch.size));
  e = (struct bb_demand_engine){ .expert_mb = pool->engine.expert_mb,
                                 .link_mbps = pool->engine.link_mbps,
                                 .expert_share
                                 = pool->engine.expert_time_share };
  if (bb_demand_plan (&l->demand, &l->map_switch.size, &e,
                      l->map_switch.current_map, next, now, &p))
    {
      bb_log_event ("plan", "{s:f, s:f, s:i, s:i}", "before", p.skew_before,
                    "after", p.skew_after, "copies", (int)p.copies,
                    "copies_most", (int)p.rank_copies_max);
      bb_group_switch_begin (&l->map_switch, next, now);
      log_phase (l);
    }
  g_free (next);
}

void
leader_tick (struct agent *a)
{
  struct leader *l = &leader;
  bb_ms now = agent_now (a);
  struct follower_conn *f;
  struct follower_conn *tmp;

  DL_FOREACH_SAFE (l->followers, f, tmp)
  if (now - f->last_message_ms > FOLLOWER_TIMEOUT_MS)
    bb_conn_close (f->conn, "silent");
  if (!l->active || !leader.agent->election.is_leader)
    return;
  poll_remotes (l);
  bb_group_switch_tick (&l->map_switch, now);
  log_phase (l);
  plan_switch (l);
}

void
leader_stop (struct agent *a)
{
  struct leader *l = &leader;

  (void)a;
  l->group[0] = '\0';
  if (!l->active)
    return;
  bb_log_event ("leads_no_more", "{s:s}", "phase",
                bb_group_switch_phase_name (l->map_switch.phase));
  l->active = false;
  bb_group_switch_free (&l->map_switch);
  bb_demand_free (&l->demand);
  g_hash_table_remove_all (l->pending_orders);
  count_pending (l);
}

void
leader_start (struct agent *a)
{
  struct leader *l = &leader;
  char *address = g_strdup_printf ("%s:%u", a->settings->ip,
                                   (unsigned)a->settings->port_first);
  struct sockaddr_storage addr;
  int error = UV_EINVAL;

  l->agent = a;
  l->fence = 1;
  l->pending_orders
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  l->remote_addresses = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  if (bb_address_parse (address, &addr))
    l->listener = bb_listener_open (a->loop, &addr, &leader_ops, l, &error);
  if (!l->listener)
    bb_log_event ("cannot_listen", "{s:s, s:s}", "address", address, "why",
                  uv_strerror (error));
  g_free (address);
}
