#include "fleet.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

const char fleet_auth_header[] = "Authorization: Bearer key-1\r\n";

static const char *const failure_domains[] = { "fd-a", "fd-b", "fd-c" };

enum
{
  FAILURE_DOMAINS = 3,
  CONNECT_TIMEOUT_MS = 20000
};

static void
add_upstreams_of_pool (struct fleet *f, const char *pool, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t n = f->upstreams_count++;
      struct fleet_upstream *u = &f->upstreams[n];
      snprintf (u->name, sizeof u->name, "%s-%u", pool, i + 1);
      snprintf (u->pool, sizeof u->pool, "%s", pool);
      snprintf (u->failure_domain, sizeof u->failure_domain, "%s",
                failure_domains[n % FAILURE_DOMAINS]);
      u->port = harness_port (f->h);
      u->agent_port = harness_port (f->h);
      u->operator_port = harness_port (f->h);
    }
}

static const char engine_probe[]
    = ", probe: /metrics, probe_start: engine_start_time_ms";

/* Writes file NAME of the settings folder, and of that of the entries where
   they have another one.  */
static void
write_settings_file (struct fleet *f, const char *name, const char *text)
{
  harness_write_file (harness_config_dir (f->h), name, text);
  if (f->entry_config_dir)
    harness_write_file (f->entry_config_dir, name, text);
}

static char *
format_upstreams (const struct fleet *f, bool relayed)
{
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);

  fputs ("schema: 2\nupstreams:\n", out);
  for (uint32_t i = 0; i < f->upstreams_count; i++)
    {
      const struct fleet_upstream *u = &f->upstreams[i];
      fprintf (out,
               "  %s: {address: '127.0.0.1:%u', agent: '127.0.0.1:%u', "
               "operator: '127.0.0.1:%u', failure_domain: %s, pool: %s, "
               "limit: 32, cold_limit: 8%s}\n",
               u->name, u->port, relayed ? u->relay_port : u->agent_port,
               u->operator_port, u->failure_domain, u->pool,
               strcmp (u->pool, "draft") == 0 ? engine_probe : "");
    }
  fclose (out);
  return text;
}

static void
write_upstreams (struct fleet *f)
{
  char *text = format_upstreams (f, false);

  harness_write_file (harness_config_dir (f->h), "20-upstreams.yaml", text);
  free (text);
  if (!f->entry_config_dir)
    return;
  text = format_upstreams (f, true);
  harness_write_file (f->entry_config_dir, "20-upstreams.yaml", text);
  free (text);
}

static void
write_entries (struct fleet *f)
{
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);

  fputs ("entries:\n", out);
  for (uint32_t i = 0; i < f->entries_count; i++)
    fprintf (out,
             "  %s: {address: '127.0.0.1:%u', operator: '127.0.0.1:%u', "
             "peer: '127.0.0.1:%u', failure_domain: %s}\n",
             f->entries[i].name, f->entries[i].port,
             f->entries[i].operator_port, f->entries[i].operator_port,
             failure_domains[i % FAILURE_DOMAINS]);
  fclose (out);
  write_settings_file (f, "25-entries.yaml", text);
  free (text);
}

static const char engine_routes[]
    = "\n  chat: {path: /v1/chat/completions, pool: draft, idempotent: true}"
      "\n  completions: {path: /v1/completions, pool: draft, "
      "idempotent: true}\n";
static const char service_routes[]
    = "\n  order: {path: /orders, pool: order}"
      "\n  stock: {method: GET, path: '/stock/*', pool: order, "
      "idempotent: true}\n";

/* Whether F has an upstream in POOL.  Settings with a route to a pool without
   upstreams are rejected.  */
static bool
has_pool (const struct fleet *f, const char *pool)
{
  for (uint32_t i = 0; i < f->upstreams_count; i++)
    if (strcmp (f->upstreams[i].pool, pool) == 0)
      return true;
  return false;
}

static void
write_customers_and_routes (struct fleet *f)
{
  char sha[65];
  char text[256];
  char routes[1024];

  harness_sha256 ("key-1", sha);
  snprintf (text, sizeof text,
            "customers:\n  customer-1: {key_sha256: '%s'}\n", sha);
  write_settings_file (f, "30-customers.yaml", text);
  snprintf (routes, sizeof routes, "routes:%s%s%s",
            has_pool (f, "draft") || has_pool (f, "order") ? "" : " {}",
            has_pool (f, "draft") ? engine_routes : "",
            has_pool (f, "order") ? service_routes : "");
  write_settings_file (f, "40-routes.yaml", routes);
}

static char *
format_failure_domains (const char *out_name)
{
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);

  fputs ("failure_domains:\n", out);
  for (uint32_t i = 0; i < FAILURE_DOMAINS; i++)
    fprintf (out, "  %s: {state: %s}\n", failure_domains[i],
             strcmp (out_name, failure_domains[i]) == 0 ? "out" : "in");
  fclose (out);
  return text;
}

void
fleet_set_out (struct fleet *f, const char *failure_domain)
{
  char *text = format_failure_domains (failure_domain);

  write_settings_file (f, "10-failure-domains.yaml", text);
  free (text);
}

void
fleet_set_out_at_agents (struct fleet *f, const char *failure_domain)
{
  char *text = format_failure_domains (failure_domain);

  harness_write_file (harness_config_dir (f->h), "10-failure-domains.yaml",
                      text);
  free (text);
}

static void
init_fleet (struct fleet *f, const char *build, uint32_t engines,
            uint32_t services, uint32_t entries, bool relayed)
{
  memset (f, 0, sizeof *f);
  f->h = harness_new (build);
  if (relayed)
    f->entry_config_dir = harness_make_dir (f->h, "config-entry");
  add_upstreams_of_pool (f, "draft", engines);
  add_upstreams_of_pool (f, "order", services);
  for (uint32_t i = 0; i < entries; i++)
    {
      struct fleet_entry *e = &f->entries[f->entries_count++];
      snprintf (e->name, sizeof e->name, "entry-%u", i + 1);
      e->port = harness_port (f->h);
      e->operator_port = harness_port (f->h);
    }
  for (uint32_t i = 0; relayed && i < f->upstreams_count; i++)
    {
      struct fleet_upstream *u = &f->upstreams[i];
      u->relay_port = harness_port (f->h);
      u->relay = relay_start (u->relay_port, u->agent_port);
    }
  fleet_set_out (f, "");
  write_upstreams (f);
  write_entries (f);
  write_customers_and_routes (f);
}

void
fleet_init (struct fleet *f, const char *build, uint32_t engines,
            uint32_t services, uint32_t entries)
{
  init_fleet (f, build, engines, services, entries, false);
}

void
fleet_init_relayed (struct fleet *f, const char *build, uint32_t engines,
                    uint32_t services, uint32_t entries)
{
  init_fleet (f, build, engines, services, entries, true);
}

void
fleet_start_upstream (struct fleet *f, struct fleet_upstream *u)
{
  const char *const *o = f->engine_options;
  char address[32];

  snprintf (address, sizeof address, "127.0.0.1:%u", u->port);
  if (strcmp (u->pool, "draft") == 0)
    u->upstream_pid = harness_start (f->h, u->name, "fake-engine", "--address",
                                     address, o[0], o[1], o[2], o[3], o[4],
                                     o[5], o[6], o[7], (char *)NULL);
  else
    u->upstream_pid = harness_start (
        f->h, u->name, "fake-plain", "--address", address,
        f->service_options[0], f->service_options[1], f->service_options[2],
        f->service_options[3], (char *)NULL);
}

static const char *
process_config_dir (const struct fleet *f)
{
  return *f->bootstrap_dir ? f->bootstrap_dir : harness_config_dir (f->h);
}

void
fleet_start_agent (struct fleet *f, struct fleet_upstream *u)
{
  char log[64];

  snprintf (log, sizeof log, "agent-%s", u->name);
  u->agent_pid = harness_start (f->h, log, "bilberry-agent", "--config",
                                process_config_dir (f), "--name", u->name,
                                (char *)NULL);
}

void
fleet_start_entry (struct fleet *f, struct fleet_entry *e)
{
  char unconnected[64];

  e->pid = harness_start (f->h, e->name, "bilberry-entry", "--config",
                          f->entry_config_dir ? f->entry_config_dir
                                              : process_config_dir (f),
                          "--name", e->name, (char *)NULL);
  /* Requests are refused for lack of upstreams until agents are connected. */
  snprintf (unconnected, sizeof unconnected, "\"connected\": false");
  for (int spent = 0; spent < CONNECT_TIMEOUT_MS; spent += 20)
    {
      struct http_response r
          = harness_http (e->operator_port, "GET", "/status", "", "");
      bool all = r.body && !strstr (r.body, unconnected);
      http_response_free (&r);
      if (all)
        return;
      harness_sleep_ms (20);
    }
  fprintf (stderr, "fleet: %s did not connect to all agents in time\n",
           e->name);
  abort ();
}

void
fleet_start (struct fleet *f)
{
  for (uint32_t i = 0; i < f->upstreams_count; i++)
    {
      fleet_start_upstream (f, &f->upstreams[i]);
      fleet_start_agent (f, &f->upstreams[i]);
    }
  for (uint32_t i = 0; i < f->entries_count; i++)
    fleet_start_entry (f, &f->entries[i]);
}

void
fleet_free (struct fleet *f)
{
  for (uint32_t i = 0; i < f->upstreams_count; i++)
    if (f->upstreams[i].relay)
      relay_stop (f->upstreams[i].relay);
  free (f->entry_config_dir);
  harness_free (f->h);
}

bool
fleet_stream_is_complete (const char *body, const char *prompt,
                          uint32_t tokens)
{
  uint32_t id = XXH32 (prompt, strlen (prompt), 0);
  const char *at = body;
  char token[64];

  for (uint32_t i = 0; i < tokens; i++)
    {
      at = strstr (at, "\"content\":\"");
      if (!at)
        return false;
      at += strlen ("\"content\":\"");
      snprintf (token, sizeof token, "t%08x-%u \"", id, i);
      if (strncmp (at, token, strlen (token)) != 0)
        return false;
    }
  return !strstr (at, "\"content\":\"") && strstr (at, "data: [DONE]");
}

static void
copy_settings (struct fleet *f)
{
  char command[512];

  snprintf (command, sizeof command, "mkdir -p '%s' && cp '%s'/*.yaml '%s'",
            f->bootstrap_dir, harness_config_dir (f->h), f->bootstrap_dir);
  if (system (command) != 0)
    abort ();
}

void
fleet_use_config_service (struct fleet *f)
{
  char path[256];
  FILE *out;

  f->config_service_port = harness_port (f->h);
  snprintf (f->bootstrap_dir, sizeof f->bootstrap_dir, "%s/../start",
            harness_config_dir (f->h));
  harness_write (f->h, "05-peer-keys.yaml",
                 "peer_keys:\n  key-1: {secret: '%064d', state: signs}\n", 1);
  copy_settings (f);
  snprintf (path, sizeof path, "%s/06-platform.yaml", f->bootstrap_dir);
  out = fopen (path, "w");
  f->vm_list_port = harness_port (f->h);
  fprintf (out,
           "platform:\n  configuration: {address: '127.0.0.1:%u'}\n"
           "  vms: {address: '127.0.0.1:%u'}\n",
           f->config_service_port, f->vm_list_port);
  fclose (out);
}

void
fleet_start_config_service (struct fleet *f, uint32_t revision)
{
  char address[32];
  char number[16];

  snprintf (address, sizeof address, "127.0.0.1:%u", f->config_service_port);
  snprintf (number, sizeof number, "%u", revision);
  f->config_service_pid = harness_start (
      f->h, "confsvc", "fake-confsvc", "--dir", harness_config_dir (f->h),
      "--address", address, "--revision", number, (char *)NULL);
}
