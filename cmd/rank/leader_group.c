/* What the leader knows of the ranks of its group.  */

#include "leader.h"

#include <jansson.h>
#include <stdio.h>

enum
{
  ORDER_BYTES = 150 /* of an order and its result, with headers of packets */
};

/* Returns the time that the share of the link takes for one order.  */
static double
order_link_ms (const struct leader *l)
{
  double share = share_bytes_per_ms (l->agent);

  return share > 0 ? ORDER_BYTES / share : 0;
}

bool
leader_init_group (struct leader *l, uint32_t ranks, uint32_t self)
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
  bb_group_switch_init (&l->map_switch, &size, self, leader_send_order, l);
  l->map_switch.incarnation = (uint16_t)g_random_int ();
  l->logged_abandoned = 0;
  l->map_switch.order_link_ms = order_link_ms (l);
  bb_demand_init (&l->demand, size.sets * size.experts);
  bb_group_spread_init (&l->sent_map.spread, share_bytes_per_ms (l->agent));
  l->active = true;
  snprintf (l->group, sizeof l->group, "%s", l->agent->engine.report.group);
  bb_log_event ("leads", "{s:s, s:i, s:i}", "group", l->group, "ranks",
                (int)ranks, "self", (int)self);
  return true;
}

static struct bb_group_switch_rank
convert_state (const struct bb_rank_state *m, bool attached)
{
  return (struct bb_group_switch_rank){ .attached = attached,
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
                                        .fence_seen = m->fence_seen,
                                        .fence_accepted = m->fence_accepted,
                                        .row_version = m->lists_version };
}

/* Returns the rows of state M, or NULL where it has none for a group of size
   S.  */
static const uint16_t *
rows_of (const struct bb_rank_state *m, const struct bb_group_size *s)
{
  size_t size_bytes = (size_t)s->sets * s->places * sizeof (uint16_t);

  return m->lists.size == size_bytes ? (const uint16_t *)m->lists.ptr : NULL;
}

void
leader_add_counts (struct leader *l, const uint16_t *deltas, uint32_t count)
{
  bb_ms shifted_ms = l->demand.shifted_ms;

  l->demand.delay_ms = share_counts_delay_ms (l->agent);
  bb_demand_add (&l->demand, deltas, count, agent_now (l->agent));
  if (l->demand.shifted_ms != shifted_ms)
    bb_log_event ("demand_shift", "{s:s, s:f}", "group", l->group, "moved",
                  l->demand.moved);
}

struct bb_rank_hello
leader_hello_to (const struct leader *l, const struct follower_conn *f)
{
  const struct bb_group_switch *sw = &l->map_switch;
  struct bb_rank_hello m = { 0 };
  const struct bb_group_switch_rank *k;
  uint32_t head;

  if (!l->active || !f->in_group || f->rank >= sw->size.ranks)
    return m;
  k = &sw->ranks[f->rank];
  m.wants_lists
      = k->row_epoch != sw->epoch || k->row_version != k->map_version;
  head = bb_group_head_of (sw, share_fan_out (l->agent), f->rank);
  if (head == sw->self_rank)
    m.head = bb_bytes_of (l->agent->host);
  else
    {
      const struct follower_conn *h = leader_find_follower (l, head);
      if (h && h->host)
        m.head = bb_bytes_of (h->host);
    }
  return m;
}

void
leader_advance_switch (struct leader *l, bb_ms now)
{
  bb_group_switch_tick (&l->map_switch, now);
  leader_spread_map (l, now);
  leader_log_phase (l);
}

void
leader_update_rank (struct leader *l, const struct bb_rank_state *m,
                    bool attached)
{
  const struct bb_group_size *s = &l->map_switch.size;
  struct bb_group_switch_rank state = convert_state (m, attached);
  bb_ms now = agent_now (l->agent);

  if (!l->active || m->size != s->ranks || m->rank >= s->ranks)
    return;
  bb_group_switch_update_rank (&l->map_switch, m->rank, &state, rows_of (m, s),
                               now);
  leader_advance_switch (l, now);
}
