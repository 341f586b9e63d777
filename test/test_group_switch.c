/* Tests of libgroup's switch of expert maps, with orders that are lost, sent
   twice or late, and with leaders that freeze.  */

#include "harness/group_map.h"

#include <glib.h>
#include <string.h>

enum
{
  RANKS = 4,
  SETS = 2,
  EXPERTS = 12,
  PLACES = 4,
  SPARE = 2,
  TICK_MS = 5,
  STATE_INTERVAL_MS = 20,
  PASS_INTERVAL_MS = 50,
  RUN_MS = 20000,
  HOLD_MAX_MS = 500, /* limit on a hold: a caller that leaves must be noticed
                        within that time */
  ORDERS_MAX = 4096,
  SEEDS = 250
};

static const struct bb_group_size size
    = { SETS, EXPERTS, RANKS, PLACES, SPARE };

/* A simulated rank, which takes orders as the platform defines them.  */
struct rank
{
  uint64_t map_version;
  uint64_t prepared_version;
  uint64_t highest_version; /* highest version that it was ordered to
                               prepare */
  uint64_t armed_version;
  uint64_t armed_step;
  uint64_t held_step;
  bb_ms copy_end_ms; /* when the copy of copying_version ends */
  uint64_t copying_version;
};

/* An order on its way, and its result.  */
struct order
{
  bool used;
  bool answered;
  uint32_t rank;
  uint32_t leader;
  struct bb_group_switch_order command;
  bb_ms due_ms;
};

struct simulation
{
  GRand *rand;
  bb_ms now;
  struct rank ranks[RANKS];
  uint64_t epoch;
  uint64_t step;
  bb_ms next_pass_ms;
  struct order orders[ORDERS_MAX];
  uint32_t orders_end; /* index after the last used order */
  struct bb_group_switch group_switches[RANKS];
  bool is_leader[RANKS];
  bb_ms frozen_until_ms[RANKS]; /* time at which the agent and VM of each rank
                                   wake */
  uint64_t relayed_epoch[RANKS];
  uint64_t relayed_version[RANKS];
  uint32_t relayed_rank[RANKS];
  bool relayed_accepted[RANKS];
  uint32_t last_leader[RANKS];
  uint64_t disarmed_version[RANKS];
  double late_share;     /* fraction of orders that are carried out 2 to 12 s
                            late, without an answer */
  bool has_idle_periods; /* the group has no work at times */
  uint32_t switches;
  bb_ms held_since_ms; /* time since which a due pass is held; 0: no pass is
                          held */
  bb_ms longest_hold_ms;
  uint32_t sending_leader; /* leader that is sending orders now */
};

static bool
is_frozen (const struct simulation *sim, uint32_t r)
{
  return sim->now < sim->frozen_until_ms[r];
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

static void
send_order (uint32_t rank, const struct bb_group_switch_order *o, void *user)
{
  struct simulation *sim = user;
  bool own = o->via_rank == sim->sending_leader;
  uint32_t active = 0;
  bool late;

  while (active < RANKS && !sim->is_leader[active])
    active++;
  /* Other agents take orders of one leader only, and none while frozen.  */
  if (!own && (sim->sending_leader != active || is_frozen (sim, o->via_rank)))
    return;
  if (rank != o->via_rank && is_frozen (sim, rank))
    return;
  if (o->op == BB_GROUP_SWITCH_ARM && o->via_rank != rank && !own)
    {
      sim->relayed_epoch[o->via_rank] = o->epoch;
      sim->relayed_version[o->via_rank] = o->version;
      sim->relayed_rank[o->via_rank] = rank;
      sim->relayed_accepted[o->via_rank] = false;
    }
  if (o->via_rank == rank)
    sim->last_leader[rank] = sim->sending_leader;
  if (o->via_rank == rank && o->op == BB_GROUP_SWITCH_DISARM)
    sim->disarmed_version[rank] = o->version;
  late = g_rand_double (sim->rand) < sim->late_share;
  for (uint32_t i = 0; i < ORDERS_MAX; i++)
    if (!sim->orders[i].used)
      {
        if (i >= sim->orders_end)
          sim->orders_end = i + 1;
        sim->orders[i] = (struct order){
          .used = true,
          .answered = !late,
          .rank = rank,
          .leader = sim->sending_leader,
          .command = *o,
          .due_ms = sim->now
                    + (late ? g_rand_int_range (sim->rand, 2000, 12000)
                            : order_delay (sim)),
        };
        return;
      }
  g_assert_not_reached ();
}

static uint16_t
handle_prepare (struct simulation *sim, struct rank *k,
                const struct bb_group_switch_order *o)
{
  if (o->version == k->prepared_version)
    return 200;
  if (o->version <= k->highest_version || k->armed_version > k->map_version)
    return 409;
  k->highest_version = o->version;
  k->copying_version = o->version;
  k->prepared_version = 0;
  k->copy_end_ms = sim->now + g_rand_int_range (sim->rand, 50, 400);
  return 202;
}

static uint16_t
handle_order (struct simulation *sim, struct rank *k,
              const struct bb_group_switch_order *o)
{
  if (o->epoch != sim->epoch)
    return 409;
  switch (o->op)
    {
    case BB_GROUP_SWITCH_PREPARE:
      return handle_prepare (sim, k, o);
    case BB_GROUP_SWITCH_ARM:
      if (k->armed_version == o->version && k->armed_step == o->step)
        return 200;
      if (k->prepared_version != o->version || o->step <= sim->step)
        return 409;
      k->armed_version = o->version;
      k->armed_step = o->step;
      return 202;
    case BB_GROUP_SWITCH_HOLD:
      if (k->held_step == o->step)
        return 200;
      if (k->held_step != 0 || o->step <= sim->step)
        return 409;
      k->held_step = o->step;
      return 202;
    case BB_GROUP_SWITCH_GO:
      if (k->held_step == o->step)
        k->held_step = 0;
      return 200;
    case BB_GROUP_SWITCH_DISARM:
      if (k->map_version == o->version)
        return 409;
      if (k->armed_version == o->version)
        k->armed_version = 0;
      return 200;
    }
  return 400;
}

static void
deliver_orders (struct simulation *sim)
{
  for (uint32_t i = 0; i < sim->orders_end; i++)
    {
      struct order *o = &sim->orders[i];
      uint16_t status;
      if (!o->used || o->due_ms > sim->now)
        continue;
      o->used = false;
      status = handle_order (sim, &sim->ranks[o->rank], &o->command);
      sim->sending_leader = o->leader;
      if (o->answered && o->command.op == BB_GROUP_SWITCH_ARM && status != 409
          && o->command.version == sim->relayed_version[o->command.via_rank]
          && o->rank == sim->relayed_rank[o->command.via_rank])
        sim->relayed_accepted[o->command.via_rank] = true;
      if (o->answered && sim->is_leader[o->leader]
          && !is_frozen (sim, o->leader))
        bb_group_switch_order_result (&sim->group_switches[o->leader], o->rank,
                                      &o->command, status, sim->now);
    }
}

static bool
is_held (const struct simulation *sim)
{
  for (uint32_t r = 0; r < RANKS; r++)
    if (sim->ranks[r].held_step == sim->step + 1)
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
  if (sim->now < sim->next_pass_ms)
    return;
  record_hold (sim);
  if (is_held (sim))
    return;
  sim->next_pass_ms = sim->now + PASS_INTERVAL_MS;
  if (sim->has_idle_periods && g_rand_int_range (sim->rand, 0, 10) == 0)
    sim->next_pass_ms += 1000;
  sim->step++;
  for (uint32_t r = 0; r < RANKS; r++)
    {
      struct rank *k = &sim->ranks[r];
      if (k->armed_version > k->map_version && k->armed_step == sim->step)
        k->map_version = k->armed_version;
    }
  for (uint32_t r = 1; r < RANKS; r++)
    g_assert_cmpuint (sim->ranks[r].map_version, ==,
                      sim->ranks[0].map_version);
}

static void
finish_copies (struct simulation *sim)
{
  for (uint32_t r = 0; r < RANKS; r++)
    {
      struct rank *k = &sim->ranks[r];
      if (k->copying_version > 0 && sim->now >= k->copy_end_ms)
        {
          k->prepared_version = k->copying_version;
          k->copying_version = 0;
        }
    }
}

static void
report_state (struct simulation *sim, uint32_t leader, uint32_t r)
{
  const struct rank *k = &sim->ranks[r];
  uint16_t rows[SETS * PLACES] = { 0 };
  struct bb_group_switch_rank s
      = { .attached = true,
          .open = true,
          .epoch = sim->epoch,
          .step = sim->step,
          .map_version = k->map_version,
          .prepared_version = k->prepared_version,
          .armed_version
          = k->armed_version > k->map_version ? k->armed_version : 0,
          .armed_step = k->armed_step,
          .held_step = k->held_step,
          .last_leader = sim->last_leader[r],
          .disarmed_version = sim->disarmed_version[r],
          .disarmed_epoch = sim->epoch,
          .relayed_epoch = sim->relayed_epoch[r],
          .relayed_version = sim->relayed_version[r],
          .relayed_rank = sim->relayed_rank[r],
          .relayed_accepted = sim->relayed_accepted[r],
          .row_version = k->map_version };

  sim->sending_leader = leader;
  bb_group_switch_update_rank (&sim->group_switches[leader], r, &s, rows,
                               sim->now);
}

static void
run_leader (struct simulation *sim, uint32_t leader, bool active)
{
  uint16_t next[SETS * RANKS * PLACES];

  sim->sending_leader = leader;
  if (sim->now % STATE_INTERVAL_MS == 0)
    for (uint32_t r = 0; r < RANKS; r++)
      if (r == leader || (active && !is_frozen (sim, r)))
        report_state (sim, leader, r);
  sim->sending_leader = leader;
  bb_group_switch_tick (&sim->group_switches[leader], sim->now);
  if (!active
      || !bb_group_switch_is_ready (&sim->group_switches[leader], sim->now)
      || g_rand_int_range (sim->rand, 0, 20) != 0)
    return;
  group_map_fill (next, &size);
  bb_group_switch_begin (&sim->group_switches[leader], next, sim->now);
}

/* The first agent that is not frozen leads.  One that was frozen is considered
   only 50 ms after it wakes, and then starts as a new leader.  */
static void
run_leaders (struct simulation *sim)
{
  uint32_t active = RANKS;

  for (uint32_t r = 0; r < RANKS; r++)
    {
      if (active == RANKS && !is_frozen (sim, r)
          && sim->now >= sim->frozen_until_ms[r] + 50)
        active = r;
    }
  for (uint32_t r = 0; r < RANKS; r++)
    {
      if (is_frozen (sim, r))
        continue;
      if (sim->is_leader[r] && r != active)
        {
          sim->switches += sim->group_switches[r].switches;
          bb_group_switch_free (&sim->group_switches[r]);
          sim->is_leader[r] = false;
        }
      else if (!sim->is_leader[r] && r == active)
        {
          bb_group_switch_init (&sim->group_switches[r], &size, r, send_order,
                                sim);
          sim->is_leader[r] = true;
        }
      if (sim->is_leader[r])
        run_leader (sim, r, r == active);
    }
}

static struct simulation *
simulation_new (uint32_t seed)
{
  struct simulation *sim = g_new0 (struct simulation, 1);

  sim->rand = g_rand_new_with_seed (seed);
  sim->epoch = 1;
  sim->now = 1000;
  return sim;
}

static void
simulation_free (struct simulation *sim)
{
  g_rand_free (sim->rand);
  g_free (sim);
}

/* Runs a group for RUN_MS with random faults, drawn from SEED.  Fails where
   ranks use different maps in one pass, where no switch completes, where the
   group stalls, or where a hold is too long although no agent freezes.  */
static void
run_simulation (uint32_t seed, double late_share, bool freezes,
                bool has_idle_periods)
{
  struct simulation *sim = simulation_new (seed);
  uint32_t switches = 0;

  sim->late_share = late_share;
  sim->has_idle_periods = has_idle_periods;
  for (sim->now = TICK_MS; sim->now < RUN_MS; sim->now += TICK_MS)
    {
      finish_copies (sim);
      deliver_orders (sim);
      run_pass (sim);
      run_leaders (sim);
      if (freezes && g_rand_int_range (sim->rand, 0, 300) == 0)
        {
          uint32_t r = (uint32_t)g_rand_int_range (sim->rand, 0, RANKS);
          bool any_frozen = false;
          for (uint32_t i = 0; i < RANKS; i++)
            any_frozen |= is_frozen (sim, i);
          if (!any_frozen)
            sim->frozen_until_ms[r]
                = sim->now + g_rand_int_range (sim->rand, 300, 3000);
        }
    }
  switches = sim->switches;
  if (!freezes)
    g_assert_cmpint (sim->longest_hold_ms, <, HOLD_MAX_MS);
  for (uint32_t r = 0; r < RANKS; r++)
    if (sim->is_leader[r])
      {
        switches += sim->group_switches[r].switches;
        bb_group_switch_free (&sim->group_switches[r]);
      }
  g_assert_cmpuint (switches, >, 0);
  /* The group must not stall.  */
  g_assert_cmpuint (sim->step, >, has_idle_periods ? 20 : 50);
  simulation_free (sim);
}

static void
test_switch_no_faults (void)
{
  for (uint32_t seed = 1; seed <= 20; seed++)
    run_simulation (seed, 0, false, false);
}

/* 35 % of the orders get no answer and are carried out late; with every second
   seed, the group has no work at times.  */
static void
test_switch_late_orders (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    run_simulation (seed, 0.35, false, seed % 2 == 0);
}

/* Half of the orders get no answer and are carried out late.  */
static void
test_switch_half_lost (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    run_simulation (seed, 0.5, false, false);
}

/* Agents and their VMs freeze, one at a time.  */
static void
test_switch_frozen (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    run_simulation (seed, 0, true, false);
}

/* Agents freeze, and orders are carried out late.  */
static void
test_switch_frozen_late (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    run_simulation (seed, 0.2, true, false);
}

/* A new epoch ends the switch under way: the ranks have nothing prepared in
   it.  */
static void
test_epoch_ends_switch (void)
{
  struct simulation *sim = simulation_new (1);
  uint16_t next[SETS * RANKS * PLACES];

  sim->is_leader[0] = true;
  bb_group_switch_init (&sim->group_switches[0], &size, 0, send_order, sim);
  for (uint32_t r = 0; r < RANKS; r++)
    report_state (sim, 0, r);
  g_assert_true (bb_group_switch_is_ready (&sim->group_switches[0], sim->now));
  group_map_fill (next, &size);
  bb_group_switch_begin (&sim->group_switches[0], next, sim->now);
  g_assert_cmpint (sim->group_switches[0].phase, ==,
                   BB_GROUP_SWITCH_PREPARING);
  sim->epoch = 2;
  report_state (sim, 0, 1);
  g_assert_cmpint (sim->group_switches[0].phase, ==, BB_GROUP_SWITCH_IDLE);
  g_assert_false (
      bb_group_switch_is_ready (&sim->group_switches[0], sim->now));
  bb_group_switch_free (&sim->group_switches[0]);
  simulation_free (sim);
}

/* A leader that wakes while the other agents follow another leader still gets
   the states of their ranks, without their agents.  It must not end the
   switch, which the other leader may be ending in a different way, unless all
   agents but one are its own followers.  */
static void
test_detached_ranks (void)
{
  struct simulation *sim = simulation_new (1);
  struct bb_group_switch *sw = &sim->group_switches[0];

  sim->is_leader[0] = true;
  bb_group_switch_init (sw, &size, 0, send_order, sim);
  for (uint32_t r = 0; r < RANKS; r++)
    sim->ranks[r].prepared_version = 1;
  sim->ranks[1].held_step = 9;
  sim->ranks[1].armed_version = 1;
  sim->ranks[1].armed_step = 9;
  sim->step = 8;
  for (sim->now = 1000; sim->now < 4000; sim->now += TICK_MS)
    {
      for (uint32_t r = 0; r < RANKS; r++)
        {
          report_state (sim, 0, r);
          sw->ranks[r].attached = r < 2;
        }
      bb_group_switch_tick (sw, sim->now);
    }
  g_assert_cmpint (sw->phase, ==, BB_GROUP_SWITCH_SETTLING);
  g_assert_cmpuint (sim->ranks[1].armed_version, ==, 1);
  for (uint32_t r = 0; r < RANKS; r++)
    {
      report_state (sim, 0, r);
      sw->ranks[r].attached = r < RANKS - 1;
    }
  bb_group_switch_tick (sw, sim->now);
  g_assert_cmpint (sw->phase, ==, BB_GROUP_SWITCH_FORWARDING);
  bb_group_switch_free (sw);
  simulation_free (sim);
}

/* Two agents that lead at the same time, with the same knowledge, must not use
   one version for two maps.  */
static void
test_two_leaders (void)
{
  struct simulation *sim = simulation_new (1);
  uint16_t next[SETS * RANKS * PLACES];

  group_map_fill (next, &size);
  for (uint32_t leader = 0; leader < 2; leader++)
    {
      bb_group_switch_init (&sim->group_switches[leader], &size, leader,
                            send_order, sim);
      for (uint32_t r = 0; r < RANKS; r++)
        report_state (sim, leader, r);
      g_assert_true (
          bb_group_switch_is_ready (&sim->group_switches[leader], sim->now));
    }
  for (uint32_t leader = 0; leader < 2; leader++)
    bb_group_switch_begin (&sim->group_switches[leader], next, sim->now);
  g_assert_cmpuint (sim->group_switches[0].version, !=,
                    sim->group_switches[1].version);
  for (uint32_t leader = 0; leader < 2; leader++)
    bb_group_switch_free (&sim->group_switches[leader]);
  simulation_free (sim);
}

static void
ignore_order (uint32_t rank, const struct bb_group_switch_order *o, void *user)
{
  (void)rank;
  (void)o;
  (void)user;
}

/* The report of an engine whose agent is not connected tells nothing of its
   agent: what the agent reported before stays, and nothing is known of one
   that never did, also not that rank 0 led it.  */
static void
test_polled_rank (void)
{
  struct bb_group_switch_rank by_agent = { .attached = true,
                                           .open = true,
                                           .epoch = 1,
                                           .last_leader = 2,
                                           .disarmed_version = 7,
                                           .disarmed_epoch = 1,
                                           .relayed_epoch = 1,
                                           .relayed_version = 8,
                                           .relayed_rank = 2,
                                           .relayed_accepted = true };
  struct bb_group_switch_rank polled
      = { .open = true, .epoch = 1, .map_version = 3 };
  struct bb_group_switch sw;

  bb_group_switch_init (&sw, &size, 0, ignore_order, NULL);
  bb_group_switch_update_rank (&sw, 1, &by_agent, NULL, 10);
  bb_group_switch_update_rank (&sw, 1, &polled, NULL, 20);
  g_assert_cmpuint (sw.ranks[1].map_version, ==, 3);
  g_assert_false (sw.ranks[1].attached);
  g_assert_cmpuint (sw.ranks[1].last_leader, ==, 2);
  g_assert_cmpuint (sw.ranks[1].disarmed_version, ==, 7);
  g_assert_cmpuint (sw.ranks[1].disarmed_epoch, ==, 1);
  g_assert_cmpuint (sw.ranks[1].relayed_version, ==, 8);
  g_assert_cmpuint (sw.ranks[1].relayed_rank, ==, 2);
  g_assert_true (sw.ranks[1].relayed_accepted);
  bb_group_switch_update_rank (&sw, 2, &polled, NULL, 20);
  g_assert_cmpuint (sw.ranks[2].last_leader, !=, 0);
  bb_group_switch_free (&sw);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/group/switch/no-faults", test_switch_no_faults);
  g_test_add_func ("/group/switch/late-orders", test_switch_late_orders);
  g_test_add_func ("/group/switch/half-lost", test_switch_half_lost);
  g_test_add_func ("/group/switch/frozen", test_switch_frozen);
  g_test_add_func ("/group/switch/frozen-late", test_switch_frozen_late);
  g_test_add_func ("/group/switch/detached-ranks", test_detached_ranks);
  g_test_add_func ("/group/switch/two-leaders", test_two_leaders);
  g_test_add_func ("/group/switch/epoch", test_epoch_ends_switch);
  g_test_add_func ("/group/polled-rank", test_polled_rank);
  return g_test_run ();
}
