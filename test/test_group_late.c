/* Tests of libgroup's switch of expert maps with orders that are carried out
   late, after their leader was killed, by each leader that can follow: another
   agent, or the same one, which starts again with nothing.  */

#include "harness/group_sim.h"
#include "harness/harness.h"

#include <glib.h>

enum
{
  RUN_MS = 60000,
  IDLE_MAX_MS = 16000, /* longer than an order can be late */
  SEEDS = 250,
  /* Limits on a hold: an agent that is away for as long as it can be, and the
     time to notice and to settle; and two freezes with a kill between them. */
  HOLD_KILLED_MAX_MS = 3000,
  HOLD_FROZEN_MAX_MS = 8000,
  PLAY_MAX_MS = 30000,
  ARM_LATE_MS = 2500
};

/* Runs the first switch up to the orders to arm, which get no answer and are
   carried out ARM_LATE_MS later, and kills the leader.  The group has nothing
   to do until then, and begins its next pass when the first of them has been
   carried out.  DOWN_MS is how long the leader is away: where it is back
   before the others have noticed, it is the next leader itself.  */
static void
play_late_arm (uint32_t seed, bb_ms down_ms)
{
  const struct sim_options o = {
    .seed = seed, .run_ms = PLAY_MAX_MS, .repeat_ok = true, .quiet_idle = true
  };
  struct simulation *sim = simulation_new (&o);
  bb_ms killed_ms = 0;
  bb_ms armed_ms = 0;

  for (sim->now = SIM_TICK_MS; sim->now < PLAY_MAX_MS; sim->now += SIM_TICK_MS)
    {
      const struct sim_agent *leader = &sim->agents[0];
      if (killed_ms == 0 && leader->is_leader
          && leader->group_switch.phase == BB_GROUP_SWITCH_ARMING)
        {
          sim->next_pass_ms = PLAY_MAX_MS;
          sim->clock.step = leader->group_switch.step - 1;
          for (uint32_t i = 0; i < sim->orders_end; i++)
            if (sim->orders[i].used
                && sim->orders[i].command.op == BB_GROUP_SWITCH_ARM)
              {
                sim->orders[i].answered = false;
                sim->orders[i].due_ms
                    = sim->now + (bb_ms)(i + 1) * ARM_LATE_MS;
                if (armed_ms == 0 || sim->orders[i].due_ms < armed_ms)
                  armed_ms = sim->orders[i].due_ms;
              }
          if (armed_ms > 0)
            {
              simulation_kill (sim, 0, down_ms);
              killed_ms = sim->now;
            }
        }
      if (killed_ms > 0 && sim->now == armed_ms + SIM_TICK_MS)
        sim->next_pass_ms = sim->now;
      simulation_tick (sim);
    }
  g_assert_cmpint (killed_ms, >, 0);
  g_assert_cmpuint (sim->clock.step, >, 100);
  simulation_free (sim);
}

/* An order to arm of a killed leader is carried out after the next leader has
   let an idle group go on: the next pass begins with two maps (review/2).  */
static void
test_late_arm (void)
{
  for (uint32_t seed = 1; seed <= 40; seed++)
    play_late_arm (seed, 50 + (bb_ms)(seed % 4) * 400);
}

/* Has the orders OP to RANK that are under way get no answer, to be carried
   out when the test says so.  Returns one of them, or NULL where there is
   none. */
static struct sim_order *
delay_orders (struct simulation *sim, enum bb_group_switch_op op,
              uint32_t rank)
{
  struct sim_order *found = NULL;

  for (uint32_t i = 0; i < sim->orders_end; i++)
    if (sim->orders[i].used && sim->orders[i].command.op == op
        && sim->orders[i].rank == rank)
      {
        found = &sim->orders[i];
        found->answered = false;
        found->due_ms = INT64_MAX;
      }
  return found;
}

/* The first order to go on after a hold that a killed leader left is carried
   out late, in an idle group: when the next switch has armed a part of the
   ranks, if that holds the same pass again.  The group then gets work.  */
static void
play_late_go (uint32_t seed)
{
  const struct sim_options o
      = { .seed = seed, .run_ms = PLAY_MAX_MS, .repeat_ok = true };
  struct simulation *sim = simulation_new (&o);
  const struct bb_group_switch *sw = &sim->agents[0].group_switch;
  struct sim_order *go = NULL;
  bb_ms work_ms = 0;

  sim->clock.step = 20;
  sim->next_pass_ms = INT64_MAX;
  for (uint32_t r = 0; r < SIM_RANKS; r++)
    sim->ranks[r].prepared_version = sim->ranks[r].highest_version = 1;
  sim->ranks[1].held_step = sim->clock.step + 2;
  for (sim->now = SIM_TICK_MS; sim->now < PLAY_MAX_MS; sim->now += SIM_TICK_MS)
    {
      simulation_tick (sim);
      if (!go)
        go = delay_orders (sim, BB_GROUP_SWITCH_GO, 1);
      if (sw->phase == BB_GROUP_SWITCH_ARMING
          && (work_ms == 0 || sim->now - work_ms < (bb_ms)3 * SIM_PASS_MS))
        delay_orders (sim, BB_GROUP_SWITCH_ARM, 3);
      if (work_ms == 0
          && (sw->phase == BB_GROUP_SWITCH_ARMING
              || sim->now > PLAY_MAX_MS / 2))
        {
          go->due_ms = sim->now + SIM_TICK_MS;
          sim->next_pass_ms = work_ms = sim->now + SIM_TICK_MS;
        }
    }
  g_assert_cmpint (work_ms, >, 0);
  g_assert_cmpuint (sim->clock.step, >, 100);
  simulation_free (sim);
}

static void
test_late_go (void)
{
  for (uint32_t seed = 1; seed <= 40; seed++)
    play_late_go (seed);
}

/* The leader is killed behind its first orders to prepare, of which one alone
   is carried out, and leads again with nothing while that rank copies: its
   next map must not have the version of the first.  */
static void
play_version (uint32_t seed)
{
  const struct sim_options o
      = { .seed = seed, .run_ms = PLAY_MAX_MS, .repeat_ok = true };
  struct simulation *sim = simulation_new (&o);
  bool killed = false;

  for (sim->now = SIM_TICK_MS; sim->now < PLAY_MAX_MS; sim->now += SIM_TICK_MS)
    {
      const struct bb_group_switch *sw = &sim->agents[0].group_switch;
      simulation_tick (sim);
      if (killed || !sim->agents[0].is_leader
          || sw->phase != BB_GROUP_SWITCH_PREPARING)
        continue;
      for (uint32_t r = 0; r < SIM_RANKS; r++)
        if (r != 1)
          delay_orders (sim, BB_GROUP_SWITCH_PREPARE, r);
      if (sim->ranks[1].copying_version == 0)
        continue;
      simulation_kill (sim, 0, SIM_TICK_MS);
      killed = true;
    }
  g_assert_true (killed);
  g_assert_cmpuint (sim->clock.step, >, 100);
  simulation_free (sim);
}

static void
test_version (void)
{
  for (uint32_t seed = 1; seed <= 40; seed++)
    play_version (seed);
}

/* Runs a group with late orders and agents that are killed, and frozen where
   FREEZES.  Fails where ranks use different maps in one pass, where no switch
   completes, or where a hold is too long.  */
static void
run_killed (uint32_t seed, bool freezes, bb_ms idle_max_ms)
{
  const struct sim_options o = { .seed = seed,
                                 .late_share = seed % 3 == 0 ? 0.5 : 0.3,
                                 .freezes = freezes,
                                 .kills = true,
                                 .repeat_ok = seed % 2 == 0,
                                 .idle_max_ms = idle_max_ms,
                                 .run_ms = RUN_MS };
  struct simulation *sim = simulation_new (&o);
  uint32_t switches;

  g_test_message ("seed %u", seed);
  switches = simulation_run (sim);
  if (idle_max_ms == 0)
    g_assert_cmpuint (switches, >, 0);
  g_assert_cmpint (sim->longest_hold_ms, <,
                   freezes ? HOLD_FROZEN_MAX_MS : HOLD_KILLED_MAX_MS);
  simulation_free (sim);
}

/* BILBERRY_SOAK_SEED and BILBERRY_SOAK_SEEDS choose other seeds.  */
static uint32_t
first_seed (void)
{
  return harness_number ("BILBERRY_SOAK_SEED", 1);
}

static uint32_t
last_seed (void)
{
  return first_seed () + harness_number ("BILBERRY_SOAK_SEEDS", SEEDS) - 1;
}

/* Agents are killed while the group is busy.  */
static void
test_killed_busy (void)
{
  for (uint32_t seed = first_seed (); seed <= last_seed (); seed++)
    run_killed (seed, false, 0);
}

/* Agents are killed, and the group has nothing to do at times for longer than
   an order can be late.  */
static void
test_killed_idle (void)
{
  for (uint32_t seed = first_seed (); seed <= last_seed (); seed++)
    run_killed (seed, false, seed % 2 ? IDLE_MAX_MS : IDLE_MAX_MS / 4);
}

/* Agents are killed or freeze.  */
static void
test_killed_frozen (void)
{
  for (uint32_t seed = first_seed (); seed <= last_seed (); seed++)
    run_killed (seed, true, seed % 2 ? 0 : IDLE_MAX_MS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/group/late/arm", test_late_arm);
  g_test_add_func ("/group/late/go", test_late_go);
  g_test_add_func ("/group/late/version", test_version);
  g_test_add_func ("/group/late/killed-busy", test_killed_busy);
  g_test_add_func ("/group/late/killed-idle", test_killed_idle);
  g_test_add_func ("/group/late/killed-frozen", test_killed_frozen);
  return g_test_run ();
}
