/* Tests with entries of another writer in the store, over whole processes:
   edges and agents go on, and go on following the list.  */

#include "harness/testbed.h"

#include <glib.h>
#include <signal.h>
#include <string.h>

enum
{
  NESTING = 100000,
  LONG_BYTES = 300000,
  LIVE_MS = 300 /* for processes to read what was written */
};

/* Fields of an entry of pool app.  */
#define FIELDS(address, slots, more)                                          \
  "{\"service\":\"app\",\"address\":\"" address                               \
  "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":" slots                    \
  ",\"state\":\"ready\",\"cold-left-ms\":0" more "}"

static const char *const odd_entries[]
    = { "",
        "null",
        "7",
        "[]",
        "{",
        "\xff\xfe\x00",
        "{\"service\":\"app\"}",
        FIELDS ("127.0.0.1:99999", "8", ""),
        FIELDS ("127.0.0.1:65536", "8", ""),
        FIELDS ("127.0.0.1:0", "8", ""),
        FIELDS ("127.0.0.1:-1", "8", ""),
        FIELDS ("127.0.0.1:99999999999999999999", "8", ""),
        FIELDS ("127.0.0.1", "8", ""),
        FIELDS (":", "8", ""),
        FIELDS ("[::1]:80", "8", ""),
        FIELDS ("[:80", "8", ""),
        FIELDS ("host.example:80", "8", ""),
        FIELDS ("127.0.0.1:1", "0", ""),
        FIELDS ("127.0.0.1:1", "-8", ""),
        FIELDS ("127.0.0.1:1", "1.5", ""),
        FIELDS ("127.0.0.1:1", "\"8\"", ""),
        FIELDS ("127.0.0.1:1", "1e400", ""),
        FIELDS ("127.0.0.1:1", "4294967296", ""),
        FIELDS ("127.0.0.1:1", "9223372036854775807", ""),
        FIELDS ("127.0.0.1:1", "99999999999999999999999999", ""),
        FIELDS ("127.0.0.1:1", "8", ",\"born\":9223372036854775807"),
        FIELDS ("127.0.0.1:1", "8", ",\"born\":-9223372036854775808"),
        FIELDS ("127.0.0.1:1", "8", ",\"born\":1e300"),
        FIELDS ("127.0.0.1:1", "8", ",\"seq\":18446744073709551615"),
        FIELDS ("127.0.0.1:1", "8", ",\"cold-left-ms\":1e18"),
        FIELDS ("127.0.0.1:1", "8", ",\"service\":\"\\u0000\"") };

static char *
nested (void)
{
  GString *s = g_string_new ("{\"service\":");

  for (int i = 0; i < NESTING; i++)
    g_string_append_c (s, '[');
  for (int i = 0; i < NESTING; i++)
    g_string_append_c (s, ']');
  g_string_append_c (s, '}');
  return g_string_free (s, FALSE);
}

static char *
long_field (void)
{
  g_autofree char *filler = g_strnfill (LONG_BYTES, 'x');

  return g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:1\",\"zone\":\"z1\","
      "\"slots\":8,\"state\":\"ready\"}",
      filler);
}

static void
check_process (struct testbed *t, pid_t pid, const char *name)
{
  int status = 0;

  if (!harness_has_ended (t->harness, pid, &status))
    return;
  g_test_message ("%s ended with %d", name, status);
  g_assert_not_reached ();
}

/* Writes VALUE under KEY and checks that edge and agent live on, and that a
   replica that registers after it is used.  */
static void
play_entry (struct testbed *t, pid_t agent, const char *key, const char *value,
            uint32_t n)
{
  g_autofree char *id = g_strdup_printf ("i-after-%u", n);
  g_autofree char *attempt = g_strdup_printf ("c%u", n);
  uint32_t replica;

  g_test_message ("%s: %.80s", key, value);
  testbed_put_item (t, key, value);
  replica = testbed_start_replica (t, id, "other", "");
  g_assert_true (testbed_await_status (t, 0, "/other/1", "key-1", 200));
  check_process (t, t->edges[0].pid, "edge");
  check_process (t, agent, "agent");
  testbed_unregister (t, id);
  g_assert_true (testbed_await_status (t, 0, "/other/1", "key-1", 503));
  harness_signal (t->harness, t->replica_pids[replica], SIGKILL);
  t->replicas_count--;
  testbed_check_status (t, "GET", "/check/1", attempt, 200);
}

static void
test_entries (void)
{
  g_autofree char *deep = nested ();
  g_autofree char *large = long_field ();
  struct testbed t;
  uint32_t n = 0;
  pid_t agent;

  testbed_init (&t);
  testbed_start_replica_on (&t, "127.0.0.2", "i-1", "app", "");
  testbed_start_edge (&t, 0);
  agent = testbed_start_rank (&t, 0);
  harness_sleep_ms (LIVE_MS);
  for (size_t i = 0; i < G_N_ELEMENTS (odd_entries); i++)
    play_entry (&t, agent, i % 2 ? "servers/i-odd" : "servers/i-odd2",
                odd_entries[i], n++);
  play_entry (&t, agent, "servers/i-deep", deep, n++);
  play_entry (&t, agent, "servers/i-long", large, n++);
  play_entry (&t, agent, "op/evacuate/z9", deep, n++);
  play_entry (&t, agent, "op/config", deep, n++);
  play_entry (&t, agent, "op/config", "{\"version\":1e400}", n++);
  play_entry (&t, agent, "servers/", odd_entries[0], n++);
  /* A start among all of these goes well too.  */
  testbed_kill_edge (&t, 0);
  testbed_put_config (&t, 9, "", "");
  testbed_restart_edge (&t, 0);
  testbed_check_status (&t, "GET", "/check/1", "last", 200);
  testbed_free (&t);
}

/* An entry of a service that no configuration names, with the address of a
   live replica and a later start, takes that replica out of no use.  */
static void
test_unknown_service (void)
{
  struct testbed t;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_register (&t, 0, "i-1", 1000);
  testbed_start_edge (&t, 0);
  testbed_check_status (&t, "GET", "/check/1", "before", 200);
  g_strlcpy (t.replica_pools[0], "nobody", TESTBED_TEXT_SIZE);
  testbed_register (&t, 0, "i-odd", 2000);
  harness_sleep_ms (LIVE_MS);
  for (uint32_t i = 0; i < 5; i++)
    testbed_check_status (&t, "GET", "/check/1", "after", 200);
  testbed_free (&t);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/odd-items/entries", test_entries);
  g_test_add_func ("/odd-items/unknown-service", test_unknown_service);
  return g_test_run ();
}
