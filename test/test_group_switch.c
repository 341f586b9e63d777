/* Tests of libgroup's switch of expert maps, with orders that are lost, sent
   twice or late, and with leaders that freeze.  */

#include "harness/group_sim.h"

#include <glib.h>
#include <string.h>

enum
{
  RUN_MS = 20000,
  IDLE_MAX_MS = 2000,
  HOLD_MAX_MS = 500, /* limit on a hold: a caller that leaves must be noticed
                        within that time */
  SEEDS = 250
};

/* Runs a group for RUN_MS with random faults, drawn from SEED.  Fails where
   ranks use different maps in one pass, where no switch completes, where the
   group stalls, or where a hold is too long although no agent freezes.  */
static void
run_simulation (uint32_t seed, double late_share, bool freezes,
                bool has_idle_periods)
{
  struct sim_options o = { .seed = seed,
                           .late_share = late_share,
                           .freezes = freezes,
                           .idle_max_ms = has_idle_periods ? IDLE_MAX_MS : 0,
                           .run_ms = RUN_MS };
  struct simulation *sim = simulation_new (&o);
  uint32_t switches = simulation_run (sim);

  if (!freezes)
    g_assert_cmpint (sim->longest_hold_ms, <, HOLD_MAX_MS);
  g_assert_cmpuint (switches, >, 0);
  /* The group must not stall.  */
  g_assert_cmpuint (sim->clock.step, >, has_idle_periods ? 20 : 50);
  simulation_free (sim);
}

static const struct sim_options undisturbed = { .seed = 1, .run_ms = RUN_MS };

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

/* Reports the states of all ranks to LEADER, once more after two passes: by
   then no pass is to come that a leader before it may have held.  */
static void
make_ready (struct simulation *sim, uint32_t leader)
{
  for (uint64_t passes = 0; passes < 2; passes++)
    {
      sim->clock.step += 2 * passes;
      for (uint32_t r = 0; r < SIM_RANKS; r++)
        simulation_report (sim, leader, r);
    }
}

/* A new epoch ends the switch under way: the ranks have nothing prepared in
   it.  */
static void
test_epoch_ends_switch (void)
{
  struct simulation *sim = simulation_new (&undisturbed);
  uint16_t next[SIM_MAP_PLACES];

  simulation_start_leader (sim, 0);
  make_ready (sim, 0);
  g_assert_true (
      bb_group_switch_is_ready (&sim->agents[0].group_switch, sim->now));
  group_map_fill (next, &sim_size);
  bb_group_switch_begin (&sim->agents[0].group_switch, next, sim->now);
  g_assert_cmpint (sim->agents[0].group_switch.phase, ==,
                   BB_GROUP_SWITCH_PREPARING);
  sim->clock.epoch = 2;
  simulation_report (sim, 0, 1);
  g_assert_cmpint (sim->agents[0].group_switch.phase, ==,
                   BB_GROUP_SWITCH_IDLE);
  g_assert_false (
      bb_group_switch_is_ready (&sim->agents[0].group_switch, sim->now));
  simulation_free (sim);
}

/* A leader that wakes while the other agents follow another leader still gets
   the states of their ranks, without their agents.  It must not end the
   switch, which the other leader may be ending in a different way, unless all
   agents but one are its own followers, and all ranks have accepted its
   fence.  */
static void
test_detached_ranks (void)
{
  struct simulation *sim = simulation_new (&undisturbed);
  struct bb_group_switch *sw = &sim->agents[0].group_switch;

  simulation_start_leader (sim, 0);
  for (uint32_t r = 0; r < SIM_RANKS; r++)
    sim->ranks[r].prepared_version = 1;
  sim->ranks[1].held_step = 9;
  sim->ranks[1].armed_version = 1;
  sim->ranks[1].armed_step = 9;
  sim->clock.step = 8;
  for (sim->now = 1000; sim->now < 4000; sim->now += SIM_TICK_MS)
    {
      for (uint32_t r = 0; r < SIM_RANKS; r++)
        {
          simulation_report (sim, 0, r);
          sw->ranks[r].attached = r < 2;
        }
      bb_group_switch_tick (sw, sim->now);
    }
  g_assert_cmpint (sw->phase, ==, BB_GROUP_SWITCH_SETTLING);
  g_assert_cmpuint (sim->ranks[1].armed_version, ==, 1);
  g_assert_cmpuint (sw->fence, ==, 0);
  for (uint32_t accepted = 0; accepted <= SIM_RANKS; accepted++)
    {
      if (accepted > 0)
        sim->agents[accepted - 1].notes.fence_accepted = sw->fence;
      for (uint32_t r = 0; r < SIM_RANKS; r++)
        {
          simulation_report (sim, 0, r);
          sw->ranks[r].attached = r < SIM_RANKS - 1;
        }
      bb_group_switch_tick (sw, sim->now);
      g_assert_cmpint (sw->phase, ==,
                       accepted < SIM_RANKS ? BB_GROUP_SWITCH_SETTLING
                                            : BB_GROUP_SWITCH_FORWARDING);
    }
  simulation_free (sim);
}

/* Two agents that lead at the same time, with the same knowledge, must not use
   one version for two maps.  */
static void
test_two_leaders (void)
{
  struct simulation *sim = simulation_new (&undisturbed);
  uint16_t next[SIM_MAP_PLACES];

  group_map_fill (next, &sim_size);
  for (uint32_t leader = 0; leader < 2; leader++)
    {
      simulation_start_leader (sim, leader);
      make_ready (sim, leader);
      g_assert_true (bb_group_switch_is_ready (
          &sim->agents[leader].group_switch, sim->now));
    }
  for (uint32_t leader = 0; leader < 2; leader++)
    bb_group_switch_begin (&sim->agents[leader].group_switch, next, sim->now);
  g_assert_cmpuint (sim->agents[0].group_switch.version, !=,
                    sim->agents[1].group_switch.version);
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

  bb_group_switch_init (&sw, &sim_size, 0, ignore_order, NULL);
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
