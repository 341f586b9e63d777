/* Tests of libsim, the event queue and the network of randomised tests.  */

#include "bilberry/sim.h"

#include <string.h>

static void
log_time (struct bb_sim *sim, void *arg)
{
  GString **log = arg;

  g_string_append_printf (*log, "%lld ", (long long)bb_sim_now (sim));
}

static void
on_deliver (struct bb_sim *sim, uint32_t from, uint32_t to, const void *data,
            size_t size, void *arg)
{
  GString **log = arg;

  g_string_append_printf (*log, "%lld:%u>%u:%.*s ",
                          (long long)bb_sim_now (sim), from, to, (int)size,
                          (const char *)data);
}

static void
test_order (void)
{
  struct bb_sim *sim = bb_sim_new (1, 1);
  GString *text = g_string_new ("");

  bb_sim_schedule (sim, 30, log_time, &text);
  bb_sim_schedule (sim, 10, log_time, &text);
  bb_sim_schedule (sim, 20, log_time, &text);
  g_assert_cmpuint (bb_sim_run (sim, 20), ==, 2);
  g_assert_cmpstr (text->str, ==, "10 20 ");
  g_assert_cmpuint (bb_sim_run (sim, 100), ==, 1);
  g_assert_cmpint (bb_sim_now (sim), ==, 100);
  bb_sim_free (sim);
  g_string_free (text, TRUE);
}

static void
test_crash_and_pause (void)
{
  struct bb_sim *sim = bb_sim_new (1, 3);
  GString *text = g_string_new ("");

  bb_sim_on_deliver (sim, on_deliver, &text);
  bb_sim_send (sim, 0, 1, "a", 1);
  bb_sim_crash (sim, 1);
  bb_sim_pause (sim, 2, 50);
  bb_sim_send (sim, 0, 2, "b", 1);
  bb_sim_schedule_on_node (sim, 2, 5, log_time, &text);
  bb_sim_run (sim, 100);
  g_assert_cmpstr (text->str, ==, "50:0>2:b 50 ");
  bb_sim_set_partition (sim, 1, 1);
  bb_sim_send (sim, 0, 1, "c", 1);
  bb_sim_run (sim, 200);
  g_assert_cmpuint (bb_sim_counts (sim).dropped, ==, 2);
  bb_sim_free (sim);
  g_string_free (text, TRUE);
}

static char *
run_seed (uint64_t seed)
{
  struct bb_sim *sim = bb_sim_new (seed, 2);
  struct bb_sim_net net = { .delay_min_ms = 1,
                            .delay_max_ms = 50,
                            .loss_permille = 100,
                            .duplicate_permille = 100 };
  GString *text = g_string_new ("");

  bb_sim_set_net (sim, &net);
  bb_sim_on_deliver (sim, on_deliver, &text);
  for (int i = 0; i < 100; i++)
    bb_sim_send (sim, 0, 1, "m", 1);
  bb_sim_run (sim, 1000);
  bb_sim_free (sim);
  return g_string_free (text, FALSE);
}

/* Two runs with the same seed are equal; another seed gives another run.  */
static void
test_seeds (void)
{
  char *a = run_seed (5);
  char *b = run_seed (5);
  char *c = run_seed (6);

  g_assert_cmpstr (a, ==, b);
  g_assert_cmpstr (a, !=, c);
  g_free (a);
  g_free (b);
  g_free (c);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/sim/order", test_order);
  g_test_add_func ("/sim/crash-and-pause", test_crash_and_pause);
  g_test_add_func ("/sim/seeds", test_seeds);
  return g_test_run ();
}
