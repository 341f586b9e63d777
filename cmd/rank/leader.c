/* Takes the states of all ranks, and drives the switch of maps.  */

#include "rank.h"

#include "bilberry/settings.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

enum
{
  PLAN_EVERY_MS = 100,
  SILENT_MS = 450,    /* of a member */
  FAR_EVERY_MS = 500, /* ranks without agent are asked from afar */
  FAR_SETTLE_MS = 100 /* the same, while a switch is left over */
};

/* A member's connection.  */
struct follower
{
  struct bb_conn *conn;
  char *host;
  bool named;
  uint32_t rank;
  bb_ms heard_ms;
  struct follower *prev;
  struct follower *next;
};

/* An order that waits for its result.  */
struct order
{
  uint64_t id;
  uint32_t rank;
  struct bb_group_switch_order what;
};

struct leader
{
  struct agent *agent;
  struct bb_listener *listener;
  struct follower *followers;
  struct bb_group_switch lead;
  struct bb_demand plan;
  bool leading; /* the state of the switch is set up */
  char group[64];
  bb_ms planned_ms;
  uint64_t orders;     /* given */
  GHashTable *waiting; /* orders by id */
  uint64_t fence;
  enum bb_group_switch_phase told; /* phase last logged */
  GHashTable *remotes;             /* rank to address of those without agent */
};

static struct leader leader;

static void
note_phase (struct leader *l)
{
  const struct bb_group_switch *d = &l->lead;

  if (d->phase == l->told)
    return;
  l->told = d->phase;
  bb_event ("switch", "{s:s, s:I, s:I, s:I, s:i, s:i}", "phase",
            bb_group_switch_phase_name (d->phase), "version",
            (json_int_t)d->version, "step", (json_int_t)d->step, "epoch",
            (json_int_t)d->epoch, "switches", (int)d->switches, "abandoned",
            (int)d->abandoned);
}

static void
take_result (uint64_t id, uint16_t status)
{
  struct leader *l = &leader;
  struct order *o = g_hash_table_lookup (l->waiting, &id);

  if (!o)
    return;
  if (status == 0)
    bb_counter ("bilberry_orders_unanswered_total", "")->value++;
  if (l->leading)
    {
      if (status != 200 && status != 202)
        bb_event ("order_refused", "{s:i, s:i, s:i, s:I, s:I}", "op",
                  (int)o->what.op, "rank", (int)o->rank, "status", (int)status,
                  "version", (json_int_t)o->what.version, "step",
                  (json_int_t)o->what.step);
      bb_group_switch_order_result (&l->lead, o->rank, &o->what, status,
                                    agent_now (l->agent));
      note_phase (l);
    }
  g_hash_table_remove (l->waiting, &id);
}

static void
on_direct_result (uint16_t status, void *user)
{
  uint64_t *id = user;

  take_result (*id, status);
  g_free (id);
}

static struct follower *
follower_of (uint32_t rank)
{
  struct follower *f;

  DL_FOREACH (leader.followers, f)
  if (f->named && f->rank == rank)
    return f;
  return NULL;
}

static enum bb_order_op
op_of (enum bb_group_switch_op op)
{
  static const enum bb_order_op ops[]
      = { BB_ORDER_PREPARE, BB_ORDER_ARM, BB_ORDER_HOLD, BB_ORDER_GO,
          BB_ORDER_DISARM };

  return ops[op];
}

/* Asks the agent F to give the order: to its own rank, or to the rank at
   ADDRESS.  */
static void
order_follower (struct follower *f, const struct order *o, const char *address)
{
  const struct bb_group_size *s = &leader.lead.size;
  struct bb_rank_order m = { .id = o->id,
                             .op = (uint8_t)op_of (o->what.op),
                             .version = o->what.version,
                             .step = o->what.step,
                             .epoch = o->what.epoch,
                             .fence = leader.fence,
                             .target = bb_bytes_of (address),
                             .target_rank = o->rank,
                             .from_rank = leader.lead.self_rank,
                             .sets = s->sets,
                             .ranks = s->ranks,
                             .places = s->places };

  if (o->what.map)
    {
      m.map.ptr = (const char *)o->what.map;
      m.map.size = (uint32_t)(bb_group_places (s) * sizeof (uint16_t));
    }
  bb_put_rank_order (bb_conn_out (f->conn), &m);
}

static void
order_direct (const char *address, const struct order *o)
{
  const struct bb_group_size *s = &leader.lead.size;
  struct bb_order d = { .op = op_of (o->what.op),
                        .version = o->what.version,
                        .step = o->what.step,
                        .epoch = o->what.epoch,
                        .fence = leader.fence,
                        .map = o->what.map,
                        .sets = s->sets,
                        .ranks = s->ranks,
                        .places = s->places };

  remote_order (leader.agent, address, &d, on_direct_result,
                g_memdup2 (&o->id, sizeof o->id));
}

/* Returns the address of a rank: by its agent's host, or as it was found.  */
static char *
address_of (uint32_t rank)
{
  struct follower *f = follower_of (rank);
  const char *colon = strrchr (leader.agent->start->upstream, ':');

  if (rank == leader.lead.self_rank)
    return g_strdup (leader.agent->start->upstream);
  if (f && f->host && colon)
    return g_strconcat (f->host, colon, NULL);
  return g_strdup (
      g_hash_table_lookup (leader.remotes, GUINT_TO_POINTER (rank)));
}

static void
give_order (uint32_t rank, const struct bb_group_switch_order *what,
            void *user)
{
  struct leader *l = user;
  struct order *o = g_new0 (struct order, 1);
  struct follower *f = follower_of (what->via_rank);
  char *address = address_of (rank);
  bool own = what->via_rank == l->lead.self_rank;
  /* A leader that was paused may still believe in a switch whose members have
     left: it must not go on with it by itself.  */
  bool left_over = l->lead.phase == BB_GROUP_SWITCH_FORWARDING
                   || l->lead.phase == BB_GROUP_SWITCH_DISARMING
                   || l->lead.phase == BB_GROUP_SWITCH_CLEARING
                   || l->lead.phase == BB_GROUP_SWITCH_GOING;

  bb_counter ("bilberry_orders_total", "")->value++;
  o->id = ++l->orders;
  o->rank = rank;
  o->what = *what;
  g_hash_table_insert (l->waiting, &o->id, o);
  if (!own && f)
    order_follower (f, o, what->via_rank == rank ? NULL : address);
  else if (address && (own || left_over))
    {
      if (rank == l->lead.self_rank)
        own_led_by (l->agent, l->lead.self_rank, op_of (what->op),
                    what->version, what->epoch);
      order_direct (address, o);
    }
  g_free (address);
}

/* Sets the switch up once the sizes are known.  */
static bool
set_up (struct leader *l, uint32_t ranks, uint32_t self)
{
  const struct bb_pool *p = l->agent->pool;
  struct bb_group_size size;

  if (l->leading)
    return true;
  if (!p || ranks == 0 || ranks > RANKS_MAX
      || p->engine.sets * p->engine.experts > COUNTS_MAX)
    return false;
  size = (struct bb_group_size){ .sets = p->engine.sets,
                                 .experts = p->engine.experts,
                                 .ranks = ranks,
                                 .places = p->engine.places,
                                 .spare = p->engine.spare };
  bb_group_switch_init (&l->lead, &size, self, give_order, l);
  bb_demand_init (&l->plan, size.sets * size.experts);
  l->leading = true;
  snprintf (l->group, sizeof l->group, "%s", l->agent->own.report.group);
  bb_event ("leads", "{s:s, s:i, s:i}", "group", l->group, "ranks", (int)ranks,
            "self", (int)self);
  return true;
}

static void
take_state (struct leader *l, const struct bb_rank_state *m, bool attached)
{
  struct bb_group_switch_rank k = { .attached = attached,
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
  const struct bb_group_size *s = &l->lead.size;
  size_t row = (size_t)s->sets * s->places * sizeof (uint16_t);
  bb_ms now = agent_now (l->agent);

  if (!l->leading || m->size != s->ranks || m->rank >= s->ranks)
    return;
  bb_group_switch_update_rank (
      &l->lead, m->rank, &k,
      m->lists.size == row ? (const uint16_t *)m->lists.ptr : NULL, now);
  if (m->counts.size > 0)
    {
      uint16_t *deltas = g_memdup2 (m->counts.ptr, m->counts.size);
      bb_demand_add (&l->plan, deltas,
                     m->counts.size / (uint32_t)sizeof *deltas, now);
      g_free (deltas);
    }
  bb_group_switch_tick (&l->lead, now);
  note_phase (l);
}

void
leader_take_own (struct agent *a, const struct bb_rank_state *m)
{
  if (!leader.agent->follow.is_leader)
    return;
  if (set_up (&leader, m->size, m->rank))
    {
      leader.lead.self_rank = m->rank;
      take_state (&leader, m, true);
    }
  (void)a;
}

/* Members.  */

static void
on_message (struct bb_conn *c, const struct bb_message *m)
{
  struct follower *f = bb_conn_user (c);
  struct bb_rank_hello hello
      = { .group = bb_bytes_of (
              leader.agent->own.known ? leader.agent->own.report.group : "") };

  f->heard_ms = agent_now (leader.agent);
  if (m->type == BB_MSG_RANK_STATE)
    {
      f->named = m->u.rank_state.size > 0
                 && bb_bytes_equal (m->u.rank_state.group, leader.group);
      f->rank = m->u.rank_state.rank;
      g_free (f->host);
      f->host = bb_bytes_dup (m->u.rank_state.upstream);
      if (f->named)
        take_state (&leader, &m->u.rank_state, true);
      /* Shows that this process lives, also before it leads.  */
      bb_put_rank_hello (bb_conn_out (c), &hello);
    }
  else if (m->type == BB_MSG_RANK_RESULT)
    take_result (m->u.rank_result.id, m->u.rank_result.status);
}

static void
on_open (struct bb_conn *c)
{
  struct follower *f = g_new0 (struct follower, 1);

  f->conn = c;
  f->heard_ms = agent_now (leader.agent);
  DL_APPEND (leader.followers, f);
  bb_conn_set_user (c, f);
}

static void
on_close (struct bb_conn *c, const char *why)
{
  struct follower *f = bb_conn_user (c);

  /* An agent of another group only asked.  */
  if (f->named)
    bb_event ("follower_lost", "{s:i, s:s}", "rank", (int)f->rank, "why", why);
  if (leader.leading && f->named && f->rank < leader.lead.size.ranks)
    leader.lead.ranks[f->rank].attached = false;
  DL_DELETE (leader.followers, f);
  g_free (f->host);
  g_free (f);
}

const struct bb_conn_ops leader_ops = { on_message, on_open, on_close };

/* Ranks without agent.  */

struct far
{
  char *address;
  char *host; /* of the address */
};

static void
on_far_report (const struct bb_rank_report *r, void *user)
{
  struct far *far = user;
  struct leader *l = &leader;
  struct bb_rank_state m = { 0 };

  if (!r)
    bb_event ("far_silent", "{s:s}", "address", far->address);
  if (r && r->grouped && l->leading && strcmp (r->group, l->group) != 0)
    bb_election_set_other_group (&l->agent->follow, far->host,
                                 agent_now (l->agent));
  else if (r && r->grouped && l->leading)
    {
      m.epoch = r->epoch;
      m.rank = r->rank;
      m.size = r->size;
      m.open = r->open;
      m.step = r->step;
      m.map = r->map;
      m.prepared = r->prepared;
      m.armed = r->armed;
      m.armed_step = r->armed_step;
      m.held = r->held;
      g_hash_table_replace (l->remotes, GUINT_TO_POINTER (r->rank),
                            g_strdup (far->address));
      take_state (l, &m, false);
    }
  g_free (far->address);
  g_free (far->host);
  g_free (far);
}

static bool
has_agent (const struct leader *l, const char *host)
{
  const struct follower *f;

  if (strcmp (host, l->agent->host) == 0)
    return true;
  DL_FOREACH (l->followers, f)
  if (g_strcmp0 (f->host, host) == 0)
    return true;
  return false;
}

static void
ask_far (struct leader *l)
{
  static bb_ms asked_ms;
  bb_ms now = agent_now (l->agent);
  GHashTableIter it;
  void *address;

  if (now - asked_ms
      < (l->lead.phase == BB_GROUP_SWITCH_IDLE ? FAR_EVERY_MS : FAR_SETTLE_MS))
    return;
  asked_ms = now;
  g_hash_table_iter_init (&it, l->agent->fellows);
  while (g_hash_table_iter_next (&it, NULL, &address))
    {
      char *host = view_host_of (address);
      struct far *far;
      if (has_agent (l, host)
          || bb_election_is_other_group (&l->agent->follow, host, now))
        {
          g_free (host);
          continue;
        }
      far = g_new0 (struct far, 1);
      far->address = g_strdup (address);
      far->host = host;
      remote_ask (l->agent, address, on_far_report, far);
    }
}

/* Planning.  */

static void
plan (struct leader *l)
{
  bb_ms now = agent_now (l->agent);
  const struct bb_pool *pool = l->agent->pool;
  struct bb_demand_engine e;
  struct bb_rebalance_plan p;
  uint16_t *next;

  if (!pool || now - l->planned_ms < PLAN_EVERY_MS
      || !bb_group_switch_is_ready (&l->lead, now))
    return;
  l->planned_ms = now;
  next = g_new (uint16_t, bb_group_places (&l->lead.size));
  e = (struct bb_demand_engine){ .expert_mb = pool->engine.expert_mb,
                                 .link_mbps = pool->engine.link_mbps,
                                 .expert_share
                                 = pool->engine.expert_time_share };
  if (bb_demand_plan (&l->plan, &l->lead.size, &e, l->lead.current_map, next,
                      now, &p))
    {
      bb_event ("plan", "{s:f, s:f, s:i, s:i}", "before", p.skew_before,
                "after", p.skew_after, "copies", (int)p.copies, "copies_most",
                (int)p.rank_copies_max);
      bb_group_switch_begin (&l->lead, next, now);
      note_phase (l);
    }
  g_free (next);
}

void
leader_tick (struct agent *a)
{
  struct leader *l = &leader;
  bb_ms now = agent_now (a);
  struct follower *f;
  struct follower *tmp;

  DL_FOREACH_SAFE (l->followers, f, tmp)
  if (now - f->heard_ms > SILENT_MS)
    bb_conn_close (f->conn, "silent");
  if (!l->leading || !leader.agent->follow.is_leader)
    return;
  ask_far (l);
  bb_group_switch_tick (&l->lead, now);
  note_phase (l);
  plan (l);
}

void
leader_stop (struct agent *a)
{
  struct leader *l = &leader;

  (void)a;
  l->group[0] = '\0';
  if (!l->leading)
    return;
  bb_event ("leads_no_more", "{s:s}", "phase",
            bb_group_switch_phase_name (l->lead.phase));
  l->leading = false;
  bb_group_switch_free (&l->lead);
  bb_demand_free (&l->plan);
  g_hash_table_remove_all (l->waiting);
}

void
leader_start (struct agent *a)
{
  struct leader *l = &leader;
  char *address = g_strdup_printf ("%s:%u", a->start->ip,
                                   (unsigned)a->start->port_first);
  struct sockaddr_storage addr;
  int error = UV_EINVAL;

  l->agent = a;
  l->fence = 1;
  l->waiting
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  l->remotes = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  if (bb_address_parse (address, &addr))
    l->listener = bb_listener_open (a->loop, &addr, &leader_ops, l, &error);
  if (!l->listener)
    bb_event ("cannot_listen", "{s:s, s:s}", "address", address, "why",
              uv_strerror (error));
  g_free (address);
}
