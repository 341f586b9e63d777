/* Tests of bilberry-rank with real processes.  */

#include "harness/testbed.h"

#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

/* Whether replica R was asked for its counts, within five seconds.  */
static bool
is_counted (struct testbed *p, uint32_t r)
{
  for (uint32_t i = 0; i < 100; i++)
    {
      struct answer a
          = harness_http (p->replica_ports[r], "GET", "/ran", "", "");
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
  struct testbed p;

  testbed_init (&p);
  testbed_start_replica (&p, "i-1", "app", "");
  testbed_start_edge (&p, 0);
  testbed_start_rank (&p, 0);
  g_assert_true (is_counted (&p, 0));
  testbed_free (&p);
}

/* SIGHUP says that the settings changed; the agent stays up.  */
static void
test_hup (void)
{
  struct testbed p;
  pid_t pid;

  testbed_init (&p);
  testbed_start_replica (&p, "i-1", "app", "");
  testbed_start_edge (&p, 0);
  pid = testbed_start_rank (&p, 0);
  g_assert_true (is_counted (&p, 0));
  harness_signal (p.harness, pid, SIGHUP);
  harness_sleep_ms (200);
  g_assert_cmpint (waitpid (pid, NULL, WNOHANG), ==, 0);
  harness_signal (p.harness, pid, SIGTERM);
  g_assert_cmpint (harness_wait (p.harness, pid), ==, 0);
  testbed_free (&p);
}

/* Whether PROCESS logs TEXT, within five seconds.  */
static bool
is_logged (struct testbed *p, const char *process, const char *text)
{
  for (uint32_t i = 0; i < 100; i++)
    {
      g_autofree char *log = testbed_read_log (p, process);
      if (strstr (log, text))
        return true;
      harness_sleep_ms (50);
    }
  return false;
}

/* The agent that comes first knows nothing of its rank yet, and says so: the
   next one stays up and leads.  */
static void
test_first_knows_nothing (void)
{
  struct testbed p;

  testbed_init (&p);
  testbed_start_replica_on (&p, "127.0.0.2", "i-1", "draft", "mute");
  testbed_start_replica_on (&p, "127.0.0.3", "i-2", "draft", "");
  testbed_start_edge (&p, 0);
  testbed_start_rank (&p, 0);
  testbed_start_rank (&p, 1);
  g_assert_true (is_logged (&p, "side-1", "\"event\":\"leads\""));
  g_assert_false (is_logged (&p, "side-0", "\"event\":\"leads\""));
  testbed_free (&p);
}

/* A leader that is stopped is left for the next agent.  */
static void
test_leader_stops (void)
{
  struct testbed p;
  pid_t first;

  testbed_init (&p);
  testbed_start_replica_on (&p, "127.0.0.2", "i-1", "draft", "");
  testbed_start_replica_on (&p, "127.0.0.3", "i-2", "draft", "");
  testbed_start_edge (&p, 0);
  first = testbed_start_rank (&p, 0);
  g_assert_true (is_logged (&p, "side-0", "\"event\":\"leads\""));
  testbed_start_rank (&p, 1);
  g_assert_true (is_logged (&p, "side-1", "\"event\":\"leader\""));
  harness_signal (p.harness, first, SIGSTOP);
  g_assert_true (is_logged (&p, "side-1", "\"event\":\"leader_lost\""));
  g_assert_true (is_logged (&p, "side-1", "\"event\":\"leads\""));
  harness_signal (p.harness, first, SIGCONT);
  g_assert_true (is_logged (&p, "side-1", "\"event\":\"leads_no_more\""));
  testbed_free (&p);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rank/counts-while-prepared", test_counts_while_prepared);
  g_test_add_func ("/rank/hup", test_hup);
  g_test_add_func ("/rank/first-knows-nothing", test_first_knows_nothing);
  g_test_add_func ("/rank/leader-stops", test_leader_stops);
  return g_test_run ();
}
