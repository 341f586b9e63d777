/* Tests of configuration distribution with real processes: agents, entries and
   fakes of the configuration service and the VM list.  */

#include "harness/fleet.h"

#include <glib.h>
#include <signal.h>
#include <string.h>

enum
{
  /* Longest wait for a state to show.  Not a bound on how long it may take. */
  WAIT_TIMEOUT_MS = 20000,
  STABLE_MS = 2500 /* time for which a state must not change */
};

static void
start_fleet (struct fleet *f)
{
  fleet_init (f, harness_build_dir (), 3, 1, 2);
  fleet_use_config_service (f);
  fleet_start_config_service (f, 1);
  for (uint32_t i = 0; i < f->upstreams_count; i++)
    fleet_start_agent (f, &f->upstreams[i]);
  for (uint32_t i = 0; i < f->entries_count; i++)
    fleet_start_entry (f, &f->entries[i]);
}

static uint32_t
operator_ports (const struct fleet *f, uint16_t *out)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < f->upstreams_count; i++)
    out[count++] = f->upstreams[i].operator_port;
  for (uint32_t i = 0; i < f->entries_count; i++)
    out[count++] = f->entries[i].operator_port;
  return count;
}

/* Waits until /status of every process contains TEXT.  */
static void
await_status (const struct fleet *f, const char *text)
{
  uint16_t port[2 * FLEET_MAX];
  uint32_t count = operator_ports (f, port);

  for (uint32_t i = 0; i < count; i++)
    g_assert_true (harness_await (port[i], "/status", text, WAIT_TIMEOUT_MS));
}

/* Checks for STABLE_MS that /status of every process contains TEXT.  */
static void
assert_status_stays (const struct fleet *f, const char *text)
{
  for (int elapsed_ms = 0; elapsed_ms < STABLE_MS; elapsed_ms += STABLE_MS / 5)
    {
      uint16_t port[2 * FLEET_MAX];
      uint32_t count = operator_ports (f, port);
      for (uint32_t i = 0; i < count; i++)
        {
          struct http_response a
              = harness_http (port[i], "GET", "/status", "", "");
          g_assert_nonnull (a.body);
          g_assert_nonnull (strstr (a.body, text));
          http_response_free (&a);
        }
      harness_sleep_ms (STABLE_MS / 5);
    }
}

static uint64_t
sum_counter (const struct fleet *f, const char *name, const char *labels)
{
  uint16_t port[2 * FLEET_MAX];
  uint32_t count = operator_ports (f, port);
  uint64_t sum = 0;

  for (uint32_t i = 0; i < count; i++)
    sum += harness_counter (port[i], name, labels);
  return sum;
}

static void
stop_service (struct fleet *f)
{
  harness_signal (f->h, f->config_service_pid, SIGKILL);
  harness_wait (f->h, f->config_service_pid);
}

/* An edit of the published folder becomes active in all processes.  An edit
   with a fault does not; /status and a counter show the rejection.  */
static void
test_edit_and_reject (void)
{
  struct fleet f;

  start_fleet (&f);
  await_status (&f, "\"revision\": 1,");
  fleet_set_out (&f, "fd-b");
  await_status (&f, "\"revision\": 2,");
  harness_write (f.h, "50-bad.yaml", "upstreams:\n  x: {adress: y}\n");
  await_status (&f, "\"revision_rejected\": 3");
  assert_status_stays (&f, "\"revision\": 2,");
  g_assert_cmpuint (sum_counter (&f, "bilberry_settings_rejected_total", ""),
                    >, 0);
  harness_write (f.h, "50-bad.yaml", "failure_domains: {}\n");
  await_status (&f, "\"revision\": 4,");
  fleet_free (&f);
}

/* While the configuration service is down, the active revision stays, and a
   process that starts gets it from its peers.  */
static void
test_service_gone (void)
{
  struct fleet f;
  struct fleet_upstream *u;

  start_fleet (&f);
  fleet_set_out (&f, "fd-b");
  await_status (&f, "\"revision\": 2,");
  stop_service (&f);
  fleet_set_out (&f, "fd-c");
  u = &f.upstreams[0];
  harness_signal (f.h, u->agent_pid, SIGKILL);
  harness_wait (f.h, u->agent_pid);
  fleet_start_agent (&f, u);
  assert_status_stays (&f, "\"revision\": 2,");
  fleet_start_config_service (&f, 3);
  await_status (&f, "\"revision\": 3,");
  fleet_free (&f);
}

/* The configuration service returns with an old revision number.  No process
   goes back to a lower revision, not even one that starts at that time.  */
static void
test_stale_service (void)
{
  struct fleet f;
  struct fleet_upstream *u;

  start_fleet (&f);
  fleet_set_out (&f, "fd-b");
  await_status (&f, "\"revision\": 2,");
  fleet_set_out (&f, "fd-c");
  await_status (&f, "\"revision\": 3,");
  stop_service (&f);
  fleet_set_out (&f, "");
  fleet_start_config_service (&f, 1);
  u = &f.upstreams[1];
  harness_signal (f.h, u->agent_pid, SIGKILL);
  harness_wait (f.h, u->agent_pid);
  fleet_start_agent (&f, u);
  assert_status_stays (&f, "\"revision\": 3,");
  stop_service (&f);
  fleet_start_config_service (&f, 4);
  await_status (&f, "\"revision\": 4,");
  fleet_free (&f);
}

/* Processes that are stopped by SIGSTOP during a change activate it after
   SIGCONT.  */
static void
test_frozen (void)
{
  struct fleet f;

  start_fleet (&f);
  await_status (&f, "\"revision\": 1,");
  harness_signal (f.h, f.upstreams[0].agent_pid, SIGSTOP);
  harness_signal (f.h, f.entries[0].pid, SIGSTOP);
  fleet_set_out (&f, "fd-b");
  g_assert_true (harness_await (f.entries[1].operator_port, "/status",
                                "\"revision\": 2,", WAIT_TIMEOUT_MS));
  harness_sleep_ms (STABLE_MS);
  harness_signal (f.h, f.upstreams[0].agent_pid, SIGCONT);
  harness_signal (f.h, f.entries[0].pid, SIGCONT);
  await_status (&f, "\"revision\": 2,");
  g_assert_true (harness_await (f.entries[0].operator_port, "/metrics",
                                "bilberry_gossip_pauses_total 1",
                                WAIT_TIMEOUT_MS));
  fleet_free (&f);
}

/* Edits of the folder replace the peer key in steps: a second key is accepted,
   then it signs, then the first is removed.  Each revision, and one after the
   last step, still reaches all processes.  */
static void
test_key_rotation (void)
{
  struct fleet f;

  start_fleet (&f);
  harness_write (f.h, "05-peer-keys.yaml",
                 "peer_keys:\n"
                 "  key-1: {secret: '%064d', state: signs}\n"
                 "  key-2: {secret: '%064d'}\n",
                 1, 2);
  await_status (&f, "\"revision\": 2,");
  harness_write (f.h, "05-peer-keys.yaml",
                 "peer_keys:\n"
                 "  key-1: {secret: '%064d'}\n"
                 "  key-2: {secret: '%064d', state: signs}\n",
                 1, 2);
  await_status (&f, "\"revision\": 3,");
  harness_write (f.h, "05-peer-keys.yaml",
                 "peer_keys:\n  key-2: {secret: '%064d', state: signs}\n", 2);
  await_status (&f, "\"revision\": 4,");
  fleet_set_out (&f, "fd-b");
  await_status (&f, "\"revision\": 5,");
  fleet_free (&f);
}

/* Asks the fake VM list to set the state of VM NAME to CHANGE, such as live or
   leaving.  */
static void
change_vm_list (const struct fleet *f, const char *change, const char *name)
{
  char *path = g_strdup_printf ("/control?%s=%s", change, name);
  struct http_response a
      = harness_http (f->vm_list_port, "POST", path, "", "");

  g_assert_cmpint (a.status, ==, 200);
  http_response_free (&a);
  g_free (path);
}

/* The VM list lags behind and lacks a VM that is alive.  Its member is probed,
   replies and stays live.  A member that is killed is no longer counted as
   live until it starts again.  */
static void
test_vm_list (void)
{
  struct fleet f;
  char address[32];
  char live[64];

  start_fleet (&f);
  g_snprintf (address, sizeof address, "127.0.0.1:%u", f.vm_list_port);
  harness_start (f.h, "vmlist", "fake-vmlist", "--address", address,
                 "--lag-ms", "50", (char *)NULL);
  for (uint32_t i = 1; i < f.upstreams_count; i++)
    change_vm_list (&f, "live", f.upstreams[i].name);
  for (uint32_t i = 0; i < f.entries_count; i++)
    change_vm_list (&f, "leaving", f.entries[i].name);
  for (int elapsed_ms = 0; elapsed_ms < WAIT_TIMEOUT_MS; elapsed_ms += 100)
    {
      if (sum_counter (&f, "bilberry_vms_hints_total", "") > 0)
        break;
      harness_sleep_ms (100);
    }
  g_assert_cmpuint (sum_counter (&f, "bilberry_vms_hints_total", ""), >, 0);
  g_snprintf (live, sizeof live, "\"members_live\": %u",
              f.upstreams_count + f.entries_count);
  assert_status_stays (&f, live);
  harness_signal (f.h, f.upstreams[0].agent_pid, SIGKILL);
  harness_wait (f.h, f.upstreams[0].agent_pid);
  g_snprintf (live, sizeof live, "\"members_live\": %u",
              f.upstreams_count + f.entries_count - 1);
  g_assert_true (harness_await (f.entries[0].operator_port, "/status", live,
                                WAIT_TIMEOUT_MS));
  fleet_start_agent (&f, &f.upstreams[0]);
  g_snprintf (live, sizeof live, "\"members_live\": %u",
              f.upstreams_count + f.entries_count);
  await_status (&f, live);
  fleet_free (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/config/edit-and-reject", test_edit_and_reject);
  g_test_add_func ("/config/service-gone", test_service_gone);
  g_test_add_func ("/config/stale-service", test_stale_service);
  g_test_add_func ("/config/frozen", test_frozen);
  g_test_add_func ("/config/key-rotation", test_key_rotation);
  g_test_add_func ("/config/vm-list", test_vm_list);
  return g_test_run ();
}
