/* Leader of a group: start, stop and regular work.  */

#include "leader.h"

#include <jansson.h>
#include <utlist.h>

static struct leader leader;

void
leader_handle_engine_state (struct agent *a, const struct bb_rank_state *m)
{
  struct leader *l = &leader;
  const uint16_t *deltas;
  uint32_t count;

  if (!a->election.is_leader || !leader_init_group (l, m->size, m->rank))
    return;
  l->map_switch.self_rank = m->rank;
  leader_update_rank (l, m, true);
  deltas = engine_take_counts (a, &count);
  if (deltas)
    leader_add_counts (l, deltas, count);
}

void
leader_take_map (const struct bb_rank_map *m)
{
  struct leader *l = &leader;
  struct follower_conn *f;

  if (maps_find (m->epoch, m->version, m->hash))
    return;
  /* Passed on once, also where it is of no use here, so that agents which for
     a moment are each other's head do not send it to and fro.  */
  if (m->hash != l->passed_on_hash)
    DL_FOREACH (l->followers, f)
  if (f->is_member)
    bb_put_rank_map (bb_conn_out (f->conn), m);
  l->passed_on_hash = m->hash;
  if (maps_receive (m))
    orders_on_map ();
}

void
leader_tick (struct agent *a)
{
  struct leader *l = &leader;

  leader_close_silent (l);
  if (!l->active || !a->election.is_leader)
    return;
  leader_poll_remotes (l);
  leader_advance_switch (l, agent_now (a));
  leader_plan_switch (l);
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
  leader_plan_stop (l);
  leader_drop_map (l);
  bb_group_switch_free (&l->map_switch);
  bb_demand_free (&l->demand);
  leader_drop_orders (l);
}

void
leader_start (struct agent *a)
{
  struct leader *l = &leader;

  l->agent = a;
  leader_orders_init (l);
  leader_plan_init (l);
  l->remote_addresses = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  l->remote_fences
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  leader_listen (l);
}
