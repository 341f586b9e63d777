/* Randomised simulations of libonce with injected faults.  No key may run
   twice, no repeat may get another outcome, and no call that was refused as
   not run may have run.

   BILBERRY_SOAK_SECONDS=n adds seeds until n seconds have passed.  */

#include "harness/once_sim.h"

#include <stdlib.h>

enum
{
  SEEDS = 240,
  MEMBER_SEEDS = 120,
  KEYS = 60
};

static struct once_sim_options
options_for_seed (uint64_t seed)
{
  struct once_sim_options o = { .seed = seed,
                                .faults = ONCE_FAULTS_ALL,
                                .fault_interval_ms = 300,
                                .replicas = 3 + (uint32_t)(seed % 2),
                                .entries = 3,
                                .keys = KEYS,
                                .candidates = BB_ONCE_CANDIDATES };

  /* One third of the seeds has rare faults, another third only some kinds.  */
  if (seed % 3 == 1)
    o.fault_interval_ms = 3000;
  if (seed % 3 == 2)
    o.faults = (uint32_t)(seed * 2654435761U) & ONCE_FAULTS_ALL;
  if (seed % 5 == 0)
    {
      o.key_timestamps = true;
      o.skew_ms = 100;
    }
  return o;
}

static void
run_and_check (const struct once_sim_options *o)
{
  struct once_sim_result r = once_sim_run (o);

  if (r.ran_twice + r.false_not_run + r.outcome_changed + r.conflicts == 0)
    return;
  g_test_message ("seed %" G_GUINT64_FORMAT
                  ": %u ran twice, %u wrongly refused as not run, "
                  "%u outcomes changed, %u conflicts",
                  (guint64)o->seed, r.ran_twice, r.false_not_run,
                  r.outcome_changed, r.conflicts);
  g_test_fail ();
}

static void
run_seed (uint64_t seed)
{
  struct once_sim_options o = options_for_seed (seed);

  run_and_check (&o);
}

static void
test_faults (void)
{
  const char *soak = g_getenv ("BILBERRY_SOAK_SECONDS");
  gint64 end
      = soak ? g_get_monotonic_time () + atoi (soak) * (gint64)G_USEC_PER_SEC
             : 0;
  uint64_t seed;

  for (seed = 1; seed <= SEEDS && !g_test_failed (); seed++)
    run_seed (seed);
  while (g_get_monotonic_time () < end && !g_test_failed ())
    run_seed (seed++);
  g_test_message ("%u seeds", (unsigned)(seed - 1));
}

/* Replicas are added and removed while the network is partitioned and loses
   messages, and processes are paused.  */
static void
test_members (void)
{
  struct once_sim_options o
      = { .faults = ONCE_FAULT_MEMBERS | ONCE_FAULT_PARTITION
                    | ONCE_FAULT_NETWORK | ONCE_FAULT_PAUSE,
          .fault_interval_ms = 250,
          .replicas = 4,
          .entries = 3,
          .keys = 100,
          .candidates = BB_ONCE_CANDIDATES };

  for (o.seed = 1; o.seed <= MEMBER_SEEDS && !g_test_failed (); o.seed++)
    run_and_check (&o);
}

/* Without faults every key is answered.  If agents are killed one at a time, a
   key stays in doubt only if it ran at an agent when that died: none is
   refused as not run, and fewer than a tenth stay in doubt.  */
static void
test_no_faults (void)
{
  struct once_sim_options o = { .seed = 1,
                                .replicas = 3,
                                .entries = 3,
                                .keys = 400,
                                .candidates = BB_ONCE_CANDIDATES };
  struct once_sim_result r = once_sim_run (&o);

  g_assert_cmpuint (r.answered, ==, o.keys);
  g_assert_cmpuint (r.ran, ==, o.keys);
  o.faults = ONCE_FAULT_KILL;
  o.fault_interval_ms = 5000;
  r = once_sim_run (&o);
  g_assert_cmpuint (r.ran_twice, ==, 0);
  g_assert_cmpuint (r.answered + r.in_doubt, ==, o.keys);
  g_assert_cmpuint (r.in_doubt, <, o.keys / 10);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/once-runs/no-faults", test_no_faults);
  g_test_add_func ("/once-runs/faults", test_faults);
  g_test_add_func ("/once-runs/members", test_members);
  return g_test_run ();
}
