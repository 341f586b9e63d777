#include "testbed.h"

#include "bilberry/base.h"

#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum
{
  AWAIT_TIMEOUT_MS = 5000,
  POLL_INTERVAL_MS = 25,
  KEY_POLL_INTERVAL_MS = 5,
  DRAIN_DEFAULT_MS = 2000,
  GRACE_DEFAULT_S = 8
};

static const char config_text[]
    = "{\"version\":%d,\"routes\":["
      "{\"name\":\"order\",\"host\":\"127.0.0.1\",\"prefix\":\"/order/\","
      "\"route-kind\":\"non_idempotent\",\"service\":\"app\",\"timeout-ms\":"
      "700,\"slo-ms\":150,\"max-attempts\":1,\"priority\":2},"
      "{\"name\":\"check\",\"host\":\"127.0.0.1\",\"prefix\":\"/check/\","
      "\"route-kind\":\"idempotent\",\"service\":\"app\",\"timeout-ms\":2000,"
      "\"slo-ms\":150,\"max-attempts\":3,\"priority\":2},"
      "{\"name\":\"stream\",\"host\":\"127.0.0.1\",\"prefix\":\"/stream/\","
      "\"route-kind\":\"streaming\",\"service\":\"app\",\"timeout-ms\":3000,"
      "\"slo-ms\":400,\"max-attempts\":2,\"priority\":1,\"resumable\":true,"
      "\"itl-target-ms\":120},"
      "{\"name\":\"other\",\"host\":\"127.0.0.1\",\"prefix\":\"/other/\","
      "\"route-kind\":\"idempotent\",\"service\":\"other\",\"timeout-ms\":"
      "2000,\"slo-ms\":150,\"max-attempts\":2,\"priority\":2},"
      "{\"name\":\"draft\",\"host\":\"127.0.0.1\",\"prefix\":\"/draft/\","
      "\"route-kind\":\"idempotent\",\"service\":\"draft\",\"timeout-ms\":"
      "2000,\"slo-ms\":400,\"max-attempts\":2,\"priority\":1}%s],"
      "\"services\":[{\"name\":\"app\",\"health-path\":\"/healthz\","
      "\"max-conns\":50,\"cold-start-s\":0,\"cold-per-s\":0},"
      "{\"name\":\"other\",\"health-path\":\"/healthz\",\"max-conns\":50},"
      "{\"name\":\"draft\",\"health-path\":\"/healthz\",\"max-conns\":50,"
      "\"engine\":{\"sets\":1,\"experts\":2,\"placements\":2,\"spare\":1}}],"
      "\"limits\":{\"max-header-bytes\":2048,\"max-body-bytes\":4096,"
      "\"header-timeout-ms\":500,\"idle-timeout-ms\":5000},"
      "\"tenants\":[{\"name\":\"maker\",\"api-keys\":[\"key-1\"%s]}]}";

static const char settings_text[]
    = "node: \"edge-%u\"\nip: \"127.0.%u.%u\"\nzone: \"z1\"\n"
      "zones:\n  z1: \"r\"\nlisten:\n  front: \"127.0.0.1:%u\"\n"
      "  ready: \"127.0.0.1:%u\"\n  control: \"127.0.0.1:%u\"\n"
      "internal-ports:\n  - 1\n  - 2\nseeds:\n%s"
      "bootstrap: %s\nlimits:\n  max-fds: 500\n  memory-mb: 160\nbounds:\n  "
      "budget-extra: "
      "100\n  drain-ms: %u\n  grace-s: %u\nplatform:\n  "
      "address: \"127.0.0.1:%u\"\n"
      "later: {unknown: [1, 2]}\n";

void
testbed_put_item (struct testbed *t, const char *key, const char *value)
{
  char *path = g_strdup_printf ("/%s?key=%s", value ? "put" : "remove", key);
  struct http_response a
      = harness_http (t->store_port, "POST", path, "", value ? value : "");

  g_assert_cmpint (a.status, ==, 200);
  http_response_free (&a);
  g_free (path);
}

void
testbed_set_store_mode (struct testbed *t, const char *mode)
{
  char *path = g_strdup_printf ("/mode?is=%s", mode);
  struct http_response a = harness_http (t->store_port, "POST", path, "", "");

  http_response_free (&a);
  g_free (path);
}

char *
testbed_config (int version, const char *routes, const char *keys)
{
  G_GNUC_BEGIN_IGNORE_DEPRECATIONS
  return g_strdup_printf (config_text, version, routes, keys);
  G_GNUC_END_IGNORE_DEPRECATIONS
}

char *
testbed_routes (uint32_t n)
{
  GString *s = g_string_new ("");

  for (uint32_t i = 0; i < n; i++)
    g_string_append_printf (
        s,
        ",{\"name\":\"r-%08x\",\"host\":\"127.0.0.1\",\"prefix\":\"/%08x/\","
        "\"route-kind\":\"idempotent\",\"service\":\"app\",\"timeout-ms\":"
        "2000,\"slo-ms\":150,\"max-attempts\":3,\"priority\":2,"
        "\"split\":[{\"service\":\"app\",\"weight\":1}]}",
        i * 2654435761U, i * 2246822519U);
  return g_string_free (s, FALSE);
}

void
testbed_put_config (struct testbed *t, int version, const char *routes,
                    const char *keys)
{
  char *text = testbed_config (version, routes, keys);

  testbed_put_item (t, "op/config", text);
  g_free (text);
}

void
testbed_init (struct testbed *t)
{
  char address[32];

  memset (t, 0, sizeof *t);
  t->drain_ms = DRAIN_DEFAULT_MS;
  t->grace_s = GRACE_DEFAULT_S;
  t->harness = harness_new (harness_build_dir ());
  t->store_port = harness_port (t->harness);
  g_snprintf (address, sizeof address, "127.0.0.1:%u", t->store_port);
  t->store_pid = harness_start (t->harness, "store", "fake-store", "--address",
                                address, NULL);
  testbed_put_config (t, 1, "", "");
}

void
testbed_free (struct testbed *t)
{
  harness_free (t->harness);
}

uint32_t
testbed_start_replica (struct testbed *t, const char *id, const char *pool,
                       const char *fault)
{
  return testbed_start_replica_on (t, "127.0.0.1", id, pool, fault);
}

uint32_t
testbed_start_replica_on (struct testbed *t, const char *ip, const char *id,
                          const char *pool, const char *fault)
{
  uint16_t port = harness_port (t->harness);
  char *key = g_strdup_printf ("servers/%s", id);
  char *value = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"z1\","
      "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold-left-ms\":0,"
      "\"seq\":1}",
      pool, ip, port);
  char address[32];

  g_snprintf (address, sizeof address, "%s:%u", ip, port);
  t->replica_pids[t->replicas_count] = harness_start (
      t->harness, id, "fake-replica", address, id, fault, NULL);
  testbed_put_item (t, key, value);
  g_snprintf (t->replica_ips[t->replicas_count], TESTBED_TEXT_SIZE, "%s", ip);
  g_snprintf (t->replica_pools[t->replicas_count], TESTBED_TEXT_SIZE, "%s",
              pool);
  t->replica_ports[t->replicas_count++] = port;
  g_free (key);
  g_free (value);
  return t->replicas_count - 1;
}

void
testbed_register (struct testbed *t, uint32_t r, const char *id,
                  uint64_t born_unix_ms)
{
  g_autofree char *key = g_strdup_printf ("servers/%s", id);
  g_autofree char *value = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"z1\","
      "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold-left-ms\":0,"
      "\"born\":%" G_GUINT64_FORMAT ",\"seq\":%" G_GUINT64_FORMAT "}",
      t->replica_pools[r], t->replica_ips[r], t->replica_ports[r],
      born_unix_ms, ++t->seq);

  testbed_put_item (t, key, value);
}

void
testbed_unregister (struct testbed *t, const char *id)
{
  g_autofree char *key = g_strdup_printf ("servers/%s", id);

  testbed_put_item (t, key, NULL);
}

static void
await_ready (struct testbed_edge *e)
{
  for (int spent = 0; spent < AWAIT_TIMEOUT_MS; spent += POLL_INTERVAL_MS)
    {
      struct http_response a
          = harness_http (e->ready_port, "GET", "/v1/readyz", "", "");
      int status = a.status;
      http_response_free (&a);
      if (status == 200)
        return;
      harness_sleep_ms (POLL_INTERVAL_MS);
    }
  g_error ("edge did not become ready in time");
}

/* Starts edge N with the settings file that it has.  */
static void
spawn_edge (struct testbed *t, uint32_t n)
{
  struct testbed_edge *e = &t->edges[n];
  char *path = g_strdup_printf ("%s/edge-%u.yaml",
                                harness_config_dir (t->harness), n);
  char *metrics = g_strdup_printf ("%u", e->metrics_port);
  char name[32];

  g_snprintf (name, sizeof name, "edge-%u", n);
  e->pid = harness_spawn (t->harness, name, "bilberry-edge", "--settings",
                          path, "--metrics", metrics, NULL);
  g_free (metrics);
  g_free (path);
}

/* Writes the settings of edge N.  FIRST says that the system starts for the
   first time.  */
static void
write_edge_settings (struct testbed *t, uint32_t n, bool first)
{
  const struct testbed_edge *e = &t->edges[n];
  GString *seeds = g_string_new ("");
  char name[32];
  char *text;

  for (uint32_t i = 0; i <= n; i++)
    g_string_append_printf (seeds, "  - \"127.0.%u.%u:%u\"\n",
                            i < t->links.edges, i < t->links.edges ? i + 1 : 1,
                            t->edges[i].control_port);
  text = g_strdup_printf (
      settings_text, n, n < t->links.edges, n < t->links.edges ? n + 1 : 1,
      e->front_port, e->ready_port, e->control_port, seeds->str,
      first ? "true" : "false", t->drain_ms, t->grace_s, e->store_port);
  g_snprintf (name, sizeof name, "edge-%u.yaml", n);
  harness_write_file (harness_config_dir (t->harness), name, text);
  g_string_free (seeds, TRUE);
  g_free (text);
}

void
testbed_start_links (struct testbed *t, uint32_t edges, uint32_t rate)
{
  g_autoptr (GString) routes = g_string_new ("");
  g_autofree char *rate_text = g_strdup_printf ("%u", rate);
  g_autofree char *path
      = g_build_filename (harness_config_dir (t->harness), "links", NULL);

  t->links.edges = edges;
  for (uint32_t n = 0; n < edges; n++)
    {
      t->edges[n].control_port = harness_port (t->harness);
      t->links.store_ports[n] = harness_port (t->harness);
      g_string_append_printf (routes, "127.0.0.1 %u %u %u 0\n",
                              t->links.store_ports[n], t->store_port, n + 1);
      g_string_append_printf (routes, "127.0.1.%u %u %u edge %u\n", n + 1,
                              t->edges[n].control_port,
                              t->edges[n].control_port, n + 1);
    }
  harness_write_file (harness_config_dir (t->harness), "links", routes->str);
  harness_start (t->harness, "links", "fake-link", "--rate", rate_text,
                 "--routes", path, NULL);
}

uint32_t
testbed_start_edge (struct testbed *t, uint16_t store)
{
  uint32_t n = t->edges_count++;
  struct testbed_edge *e = &t->edges[n];

  e->front_port = harness_port (t->harness);
  e->ready_port = harness_port (t->harness);
  if (n >= t->links.edges)
    e->control_port = harness_port (t->harness);
  e->metrics_port = harness_port (t->harness);
  e->store_port = store ? store : t->store_port;
  if (!store && n < t->links.edges)
    e->store_port = t->links.store_ports[n];
  write_edge_settings (t, n, true);
  spawn_edge (t, n);
  await_ready (e);
  return n;
}

void
testbed_kill_edge (struct testbed *t, uint32_t e)
{
  harness_signal (t->harness, t->edges[e].pid, SIGKILL);
  harness_wait (t->harness, t->edges[e].pid);
}

void
testbed_spawn_edge (struct testbed *t, uint32_t e)
{
  write_edge_settings (t, e, false);
  spawn_edge (t, e);
}

void
testbed_restart_edge (struct testbed *t, uint32_t e)
{
  testbed_spawn_edge (t, e);
  await_ready (&t->edges[e]);
}

pid_t
testbed_start_rank (struct testbed *t, uint32_t r)
{
  const char *ip = t->replica_ips[r];
  char *text;
  char *path = g_strdup_printf ("%s/side-%u.yaml",
                                harness_config_dir (t->harness), r);
  char name[32];
  char metrics[8];
  pid_t pid;

  if (t->agent_port == 0)
    t->agent_port = harness_port (t->harness);
  text = g_strdup_printf (
      "node: \"side-%u\"\nip: \"%s\"\nzone: \"z1\"\n"
      "internal-ports:\n  - %u\n  - %u\nseeds:\n  - \"127.0.0.1:%u\"\n"
      "app: \"%s:%u\"\nservice: \"%s\"\n",
      r, ip, t->agent_port, t->agent_port, t->edges[0].control_port, ip,
      t->replica_ports[r], t->replica_pools[r]);

  g_snprintf (name, sizeof name, "side-%u.yaml", r);
  harness_write_file (harness_config_dir (t->harness), name, text);
  g_snprintf (name, sizeof name, "side-%u", r);
  t->agent_metrics_ports[r] = harness_port (t->harness);
  g_snprintf (metrics, sizeof metrics, "%u", t->agent_metrics_ports[r]);
  pid = harness_spawn (t->harness, name, "bilberry-rank", "-s", path,
                       "--metrics", metrics, NULL);
  g_free (text);
  g_free (path);
  return pid;
}

struct http_response
testbed_request (struct testbed *t, uint32_t e, const char *method,
                 const char *path, const char *id, const char *key)
{
  char *headers
      = g_strdup_printf ("X-Attempt-Id: %s\r\nX-Deadline-Ms: 1500\r\n"
                         "X-Tenant: forged\r\n%s%s%s",
                         id, key ? "Authorization: Bearer " : "",
                         key ? key : "", key ? "\r\n" : "");
  struct http_response a
      = harness_http (t->edges[e].front_port, method, path, headers,
                      strcmp (method, "GET") == 0 ? "" : "body");

  g_free (headers);
  return a;
}

void
testbed_check_status (struct testbed *t, const char *method, const char *path,
                      const char *id, int status)
{
  struct http_response a = testbed_request (t, 0, method, path, id, "key-1");

  g_test_message ("%s %s %s", method, path, id);
  g_assert_cmpint (a.status, ==, status);
  g_assert_true (a.complete);
  http_response_free (&a);
}

/* Returns what replica R answers to GET /ran, after it is up again if it
   crashed.  */
static struct http_response
get_ran (struct testbed *t, uint32_t r)
{
  struct http_response a = { 0 };

  for (int spent = 0; spent < AWAIT_TIMEOUT_MS; spent += POLL_INTERVAL_MS)
    {
      a = harness_http (t->replica_ports[r], "GET", "/ran", "", "");
      if (a.status == 200)
        return a;
      http_response_free (&a);
      harness_sleep_ms (POLL_INTERVAL_MS);
    }
  g_error ("replica %u does not answer", r);
}

static uint32_t
count_lines (struct testbed *t, const char *start)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < t->replicas_count; i++)
    {
      struct http_response a = get_ran (t, i);
      const char *at = a.body;
      while ((at = strstr (at, start)))
        {
          at += strlen (start);
          n++;
        }
      http_response_free (&a);
    }
  return n;
}

uint32_t
testbed_count_runs (struct testbed *t, const char *id)
{
  char *start = g_strdup_printf ("%s by ", id);
  uint32_t n = count_lines (t, start);

  g_free (start);
  return n;
}

uint32_t
testbed_count_runs_at (struct testbed *t, uint32_t r)
{
  struct http_response a = get_ran (t, r);
  uint32_t n = 0;

  for (const char *at = a.body; (at = strstr (at, " by ")); at++)
    n++;
  http_response_free (&a);
  return n;
}

uint32_t
testbed_count_ended (struct testbed *t)
{
  return count_lines (t, "ended\n");
}

bool
testbed_await_status (struct testbed *t, uint32_t e, const char *path,
                      const char *key, int status)
{
  for (int spent = 0; spent < AWAIT_TIMEOUT_MS; spent += POLL_INTERVAL_MS)
    {
      struct http_response a
          = testbed_request (t, e, "GET", path, "await", key);
      bool same = a.status == status;
      http_response_free (&a);
      if (same)
        return true;
      harness_sleep_ms (POLL_INTERVAL_MS);
    }
  return false;
}

char *
testbed_read_log (struct testbed *t, const char *process)
{
  char *path = harness_log_path (t->harness, process);
  char *text = NULL;

  g_file_get_contents (path, &text, NULL, NULL);
  free (path);
  return text ? text : g_strdup ("");
}

uint32_t
testbed_count_log (struct testbed *t, const char *process, const char *text)
{
  g_autofree char *log = testbed_read_log (t, process);
  uint32_t n = 0;

  for (const char *at = log; (at = strstr (at, text)); at++)
    n++;
  return n;
}

void
testbed_await_log (struct testbed *t, const char *process, const char *text,
                   uint32_t n)
{
  for (int spent = 0; spent < AWAIT_TIMEOUT_MS; spent += POLL_INTERVAL_MS)
    {
      if (testbed_count_log (t, process, text) > n)
        return;
      harness_sleep_ms (POLL_INTERVAL_MS);
    }
  g_error ("%s does not log %s", process, text);
}

int64_t
testbed_await_key (struct testbed *t, const char *key, int64_t timeout_ms)
{
  bb_ms start = bb_clock_now ();
  uint32_t e = 0;

  while (e < t->edges_count && bb_clock_now () - start < timeout_ms)
    {
      struct http_response a
          = testbed_request (t, e, "GET", "/check/1", "c1", key);
      if (a.status == 200)
        e++;
      else
        harness_sleep_ms (KEY_POLL_INTERVAL_MS);
      http_response_free (&a);
    }
  return bb_clock_now () - start;
}

uint64_t
testbed_received_bytes (struct testbed *t, uint32_t e)
{
  return harness_counter (t->edges[e].ready_port,
                          "bilberry_peer_item_bytes_total",
                          "kind=\"received\"");
}
