#include "group_sim.h"

#include <string.h>

enum
{
  STATE_INTERVAL_MS = 20,
  POLL_INTERVAL_MS = 100, /* of engines whose agent is dead */
  WAKE_MS = 50,           /* until an agent that wakes or starts may lead */
  DOWN_MAX_MS = 1500,
  FREEZE_MAX_MS = 3000,
  LATE_MIN_MS = 2000,
  LATE_MAX_MS = 12000
};

const struct bb_group_size sim_size
    = { SIM_SETS, SIM_EXPERTS, SIM_RANKS, SIM_PLACES, SIM_SPARE };

static bool
is_frozen (const struct simulation *sim, uint32_t r)
{
  return sim->now < sim->agents[r].frozen_until_ms;
}

static bool
is_dead (const struct simulation *sim, uint32_t r)
{
  return sim->now < sim->agents[r].dead_until_ms;
}

/* Whether the agent of rank R can neither lead nor follow.  */
static bool
is_away (const struct simulation *sim, uint32_t r)
{
  return is_frozen (sim, r) || is_dead (sim, r);
}

/* Returns the time for which an order is under way.  Every tenth order is
   slow, as on a link that loses packets, so that it is sent again before its
   answer arrives.  */
static bb_ms
order_delay (struct simulation *sim)
{
  return g_rand_int_range (sim->rand, 0, 10) == 0
             ? g_rand_int_range (sim->rand, 60, 200)
             : g_rand_int_range (sim->rand, 1, 10);
}

static struct sim_order *
add_order (struct simulation *sim)
{
  for (uint32_t i = 0; i < SIM_ORDERS_MAX; i++)
    if (!sim->orders[i].used)
      {
        if (i >= sim->orders_end)
          sim->orders_end = i + 1;
        return &sim->orders[i];
      }
  g_assert_not_reached ();
}

void
simulation_send_order (uint32_t rank, const struct bb_group_switch_order *o,
                       void *user)
{
  struct simulation *sim = user;
  uint32_t leader = sim->sending_leader;
  bool own = o->via_rank == leader;
  bool direct = !own && is_dead (sim, o->via_rank);
  uint32_t active = 0;
  struct sim_order *sent;
  bool refused = false;
  bool late;

  while (active < SIM_RANKS && !sim->agents[active].is_leader)
    active++;
  /* Other agents take orders of one leader only, and none while frozen.  */
  if (!own && (leader != active || is_frozen (sim, o->via_rank)))
    return;
  if (rank != o->via_rank && is_frozen (sim, rank))
    return;
  if (direct
      && !bb_group_switch_sends_directly (&sim->agents[leader].group_switch))
    return;
  if (!direct)
    refused
        = !group_agent_note (&sim->agents[o->via_rank].notes, rank, leader, o);
  late = g_rand_double (sim->rand) < sim->options.late_share && !refused;
  sent = add_order (sim);
  *sent = (struct sim_order){
    .used = true,
    .answered = !late,
    .refused = refused,
    .direct = direct,
    .rank = rank,
    .leader = leader,
    .life = sim->agents[leader].life,
    .command = *o,
    .due_ms = sim->now
              + (late ? g_rand_int_range (sim->rand, LATE_MIN_MS, LATE_MAX_MS)
                      : order_delay (sim)),
  };
  if (o->map)
    memcpy (sent->map, o->map, sizeof sent->map);
}

/* Records that the rank of ORDER has accepted it.  */
static void
note_accepted (struct simulation *sim, const struct sim_order *order)
{
  const struct bb_group_switch_order *o = &order->command;
  struct sim_agent *leader = &sim->agents[order->leader];

  if (!order->direct)
    group_agent_note_accepted (&sim->agents[o->via_rank].notes, order->rank,
                               o);
  else if (leader->life == order->life)
    leader->fences_accepted[order->rank] = o->fence;
}

/* Carries out ORDER and returns the status.  */
static uint16_t
handle_order (struct simulation *sim, const struct sim_order *order)
{
  struct group_rank *k = &sim->ranks[order->rank];
  uint16_t status = group_rank_order (
      k, &sim->clock, &order->command, order->map, SIM_MAP_PLACES,
      sim->options.repeat_ok, !order->answered);

  if (order->command.op == BB_GROUP_SWITCH_PREPARE
      && status == BB_GROUP_ORDER_BEGUN)
    k->copy_end_ms = sim->now + g_rand_int_range (sim->rand, 50, 400);
  return status;
}

static void
deliver_orders (struct simulation *sim)
{
  for (uint32_t i = 0; i < sim->orders_end; i++)
    {
      struct sim_order *o = &sim->orders[i];
      struct sim_agent *leader = &sim->agents[o->leader];
      uint16_t status;
      if (!o->used || o->due_ms > sim->now)
        continue;
      o->used = false;
      status = o->refused ? BB_GROUP_ORDER_FENCED : handle_order (sim, o);
      sim->sending_leader = o->leader;
      if (o->answered && bb_group_order_is_accepted (status))
        note_accepted (sim, o);
      if (o->answered && leader->is_leader && leader->life == o->life
          && !is_frozen (sim, o->leader))
        bb_group_switch_order_result (&leader->group_switch, o->rank,
                                      &o->command, status, sim->now);
    }
}

static bool
is_held (const struct simulation *sim)
{
  for (uint32_t r = 0; r < SIM_RANKS; r++)
    if (sim->ranks[r].held_step == sim->clock.step + 1)
      return true;
  return false;
}

/* Records the longest time for which a pass that was due is held.  */
static void
record_hold (struct simulation *sim)
{
  if (!is_held (sim))
    sim->held_since_ms = 0;
  else if (sim->held_since_ms == 0)
    sim->held_since_ms = sim->now;
  else if (sim->now - sim->held_since_ms > sim->longest_hold_ms)
    sim->longest_hold_ms = sim->now - sim->held_since_ms;
}

/* Begins the next pass, if it is due and no rank holds it.  All ranks must use
   the same map in it.  */
static void
run_pass (struct simulation *sim)
{
  bb_ms idle_ms = sim->options.idle_max_ms;

  if (sim->now < sim->next_pass_ms)
    return;
  record_hold (sim);
  if (is_held (sim))
    return;
  sim->next_pass_ms = sim->now + SIM_PASS_MS;
  if (idle_ms > 0 && g_rand_int_range (sim->rand, 0, 10) == 0)
    sim->next_pass_ms
        += g_rand_int_range (sim->rand, (gint32)idle_ms / 2, (gint32)idle_ms);
  sim->clock.step++;
  for (uint32_t r = 0; r < SIM_RANKS; r++)
    group_rank_begin_pass (&sim->ranks[r], &sim->clock);
  for (uint32_t r = 1; r < SIM_RANKS; r++)
    {
      g_assert_cmpuint (sim->ranks[r].map_version, ==,
                        sim->ranks[0].map_version);
      g_assert_cmpmem (sim->ranks[r].map, sizeof sim->ranks[r].map,
                       sim->ranks[0].map, sizeof sim->ranks[0].map);
    }
}

static void
finish_copies (struct simulation *sim)
{
  for (uint32_t r = 0; r < SIM_RANKS; r++)
    {
      struct group_rank *k = &sim->ranks[r];
      if (sim->now >= k->copy_end_ms)
        group_rank_copied (k);
    }
}

static void
report (struct simulation *sim, uint32_t leader, uint32_t r, bool attached)
{
  const struct group_rank *k = &sim->ranks[r];
  uint16_t rows[SIM_SETS * SIM_PLACES];
  struct bb_group_switch_rank s
      = group_rank_state (k, &sim->agents[r].notes, &sim->clock);

  s.attached = attached;
  if (!attached)
    s.fence_accepted = sim->agents[leader].fences_accepted[r];
  for (uint32_t set = 0; set < SIM_SETS; set++)
    memcpy (rows + (size_t)set * SIM_PLACES,
            k->map + ((size_t)set * SIM_RANKS + r) * SIM_PLACES,
            SIM_PLACES * sizeof *rows);
  sim->sending_leader = leader;
  bb_group_switch_update_rank (&sim->agents[leader].group_switch, r, &s,
                               attached ? rows : NULL, sim->now);
}

void
simulation_report (struct simulation *sim, uint32_t leader, uint32_t r)
{
  report (sim, leader, r, true);
}

/* Passes the states to LEADER that are due.  */
static void
report_due (struct simulation *sim, uint32_t leader, bool active)
{
  for (uint32_t r = 0; r < SIM_RANKS; r++)
    if (r == leader || (active && !is_away (sim, r)))
      {
        if (sim->now % STATE_INTERVAL_MS == 0)
          report (sim, leader, r, true);
      }
    else if (active && is_dead (sim, r) && sim->now % POLL_INTERVAL_MS == 0)
      report (sim, leader, r, false);
}

static void
run_leader (struct simulation *sim, uint32_t leader, bool active)
{
  struct bb_group_switch *sw = &sim->agents[leader].group_switch;
  uint16_t next[SIM_MAP_PLACES];

  report_due (sim, leader, active);
  sim->sending_leader = leader;
  bb_group_switch_tick (sw, sim->now);
  if (sim->options.quiet_idle && sim->next_pass_ms > sim->now + SIM_PASS_MS)
    return;
  if (!active || !bb_group_switch_is_ready (sw, sim->now)
      || g_rand_int_range (sim->rand, 0, 20) != 0)
    return;
  group_map_fill (next, &sim_size);
  /* Another map each time.  */
  for (uint32_t set = 0; set < SIM_SETS; set++)
    {
      uint16_t *row = next + (size_t)set * SIM_RANKS * SIM_PLACES;
      int a = g_rand_int_range (sim->rand, 0, SIM_RANKS * SIM_PLACES);
      int b = g_rand_int_range (sim->rand, 0, SIM_RANKS * SIM_PLACES);
      uint16_t expert = row[a];
      row[a] = row[b];
      row[b] = expert;
    }
  bb_group_switch_begin (sw, next, sim->now);
}

static void
stop_leader (struct simulation *sim, uint32_t r)
{
  struct sim_agent *a = &sim->agents[r];

  if (!a->is_leader)
    return;
  sim->switches += a->group_switch.switches;
  bb_group_switch_free (&a->group_switch);
  a->is_leader = false;
}

void
simulation_start_leader (struct simulation *sim, uint32_t r)
{
  struct sim_agent *a = &sim->agents[r];

  bb_group_switch_init (&a->group_switch, &sim_size, r, simulation_send_order,
                        sim);
  a->group_switch.incarnation = (uint16_t)++a->leads;
  a->is_leader = true;
}

/* The first agent that is there leads.  One that was away is considered only
   WAKE_MS after it is back, and then starts as a new leader.  */
static void
run_leaders (struct simulation *sim)
{
  uint32_t active = SIM_RANKS;

  for (uint32_t r = 0; r < SIM_RANKS; r++)
    {
      const struct sim_agent *a = &sim->agents[r];
      if (active == SIM_RANKS && !is_away (sim, r)
          && sim->now >= a->frozen_until_ms + WAKE_MS
          && sim->now >= a->dead_until_ms + WAKE_MS)
        active = r;
    }
  for (uint32_t r = 0; r < SIM_RANKS; r++)
    {
      if (is_away (sim, r))
        continue;
      if (r != active)
        stop_leader (sim, r);
      else if (!sim->agents[r].is_leader)
        simulation_start_leader (sim, r);
      if (sim->agents[r].is_leader)
        run_leader (sim, r, r == active);
    }
}

void
simulation_kill (struct simulation *sim, uint32_t r, bb_ms down_ms)
{
  struct sim_agent *a = &sim->agents[r];
  uint32_t life = a->life + 1;
  uint32_t leads = a->leads;

  stop_leader (sim, r);
  *a = (struct sim_agent){ .life = life,
                           .leads = leads,
                           .notes = { .last_leader = BB_GROUP_NO_RANK },
                           .dead_until_ms = sim->now + down_ms };
}

/* Has an agent freeze, or be killed, where none is away.  */
static void
disturb (struct simulation *sim)
{
  bool kills = sim->options.kills;
  uint32_t r;

  if (!(sim->options.freezes || kills)
      || g_rand_int_range (sim->rand, 0, 300) != 0)
    return;
  r = (uint32_t)g_rand_int_range (sim->rand, 0, SIM_RANKS);
  for (uint32_t i = 0; i < SIM_RANKS; i++)
    if (is_away (sim, i))
      return;
  if (kills && (!sim->options.freezes || g_rand_boolean (sim->rand)))
    simulation_kill (sim, g_rand_boolean (sim->rand) ? r : 0,
                     g_rand_int_range (sim->rand, 50, DOWN_MAX_MS));
  else
    sim->agents[r].frozen_until_ms
        = sim->now + g_rand_int_range (sim->rand, 300, FREEZE_MAX_MS);
}

struct simulation *
simulation_new (const struct sim_options *o)
{
  struct simulation *sim = g_new0 (struct simulation, 1);

  sim->options = *o;
  sim->rand = g_rand_new_with_seed (o->seed);
  sim->clock.epoch = 1;
  sim->now = 1000;
  for (uint32_t r = 0; r < SIM_RANKS; r++)
    {
      group_map_fill (sim->ranks[r].map, &sim_size);
      bb_group_sort_rows (&sim_size, sim->ranks[r].map);
    }
  return sim;
}

void
simulation_free (struct simulation *sim)
{
  for (uint32_t r = 0; r < SIM_RANKS; r++)
    stop_leader (sim, r);
  g_rand_free (sim->rand);
  g_free (sim);
}

void
simulation_tick (struct simulation *sim)
{
  finish_copies (sim);
  deliver_orders (sim);
  run_pass (sim);
  run_leaders (sim);
  disturb (sim);
}

uint32_t
simulation_run (struct simulation *sim)
{
  for (sim->now = SIM_TICK_MS; sim->now < sim->options.run_ms;
       sim->now += SIM_TICK_MS)
    simulation_tick (sim);
  for (uint32_t r = 0; r < SIM_RANKS; r++)
    stop_leader (sim, r);
  return sim->switches;
}
