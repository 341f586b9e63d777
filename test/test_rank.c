/* Tests of bilberry-rank with real processes.  */

#include "harness/plant.h"

#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

/* Whether replica R was asked for its counts, within five seconds.  */
static bool
is_counted (struct plant *p, uint32_t r)
{
  for (uint32_t i = 0; i < 100; i++)
    {
      struct answer a = harness_http (p->replicas[r], "GET", "/ran", "", "");
      bool found = a.body && strstr (a.body, "counted\n");
      answer_free (&a);
      if (found)
        return true;
      harness_sleep_ms (50);
    }
  return false;
}

/* An agent that starts beside a rank with a map prepared and not in use asks
   for counts all the same: another map may be planned.  */
static void
test_counts_while_prepared (void)
{
  struct plant p;

  plant_init (&p);
  plant_replica (&p, "i-1", "app", "");
  plant_edge (&p, 0);
  plant_rank (&p, 0);
  g_assert_true (is_counted (&p, 0));
  plant_free (&p);
}

/* SIGHUP says that the settings changed; the agent stays up.  */
static void
test_hup (void)
{
  struct plant p;
  pid_t pid;

  plant_init (&p);
  plant_replica (&p, "i-1", "app", "");
  plant_edge (&p, 0);
  pid = plant_rank (&p, 0);
  g_assert_true (is_counted (&p, 0));
  harness_signal (p.h, pid, SIGHUP);
  harness_sleep_ms (200);
  g_assert_cmpint (waitpid (pid, NULL, WNOHANG), ==, 0);
  harness_signal (p.h, pid, SIGTERM);
  g_assert_cmpint (harness_wait (p.h, pid), ==, 0);
  plant_free (&p);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rank/counts-while-prepared", test_counts_while_prepared);
  g_test_add_func ("/rank/hup", test_hup);
  return g_test_run ();
}
