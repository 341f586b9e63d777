#include "fleet.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

const char fleet_key[] = "Authorization: Bearer key-1\r\n";

static const char *const failure_domains[] = { "fd-a", "fd-b", "fd-c" };

enum
{
  FAILURE_DOMAINS = 3,
  CONNECT_MS = 20000
};

static void
add_upstreams (struct fleet *f, const char *pool, uint32_t count)
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

static void
write_upstreams (struct fleet *f)
{
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);

  fputs ("upstreams:\n", out);
  for (uint32_t i = 0; i < f->upstreams_count; i++)
    {
      const struct fleet_upstream *u = &f->upstreams[i];
      fprintf (out,
               "  %s: {address: '127.0.0.1:%u', agent: '127.0.0.1:%u', "
               "operator: '127.0.0.1:%u', failure_domain: %s, pool: %s, "
               "limit: 32, cold_limit: 8%s}\n",
               u->name, u->port, u->agent_port, u->operator_port,
               u->failure_domain, u->pool,
               strcmp (u->pool, "draft") == 0 ? engine_probe : "");
    }
  fputs ("entries:\n", out);
  for (uint32_t i = 0; i < f->entries_count; i++)
    fprintf (out,
             "  %s: {address: '127.0.0.1:%u', operator: '127.0.0.1:%u', "
             "failure_domain: %s}\n",
             f->entries[i].name, f->entries[i].port,
             f->entries[i].operator_port,
             failure_domains[i % FAILURE_DOMAINS]);
  fclose (out);
  harness_write (f->h, "20-fleet.yaml", "%s", text);
  free (text);
}

static void
write_rules (struct fleet *f)
{
  char sha[65];

  harness_sha256 ("key-1", sha);
  harness_write (f->h, "30-customers.yaml",
                 "customers:\n  customer-1: {key_sha256: '%s'}\n", sha);
  harness_write (
      f->h, "40-routes.yaml",
      "routes:\n"
      "  chat: {path: /v1/chat/completions, pool: draft, idempotent: true}\n"
      "  completions: {path: /v1/completions, pool: draft, idempotent: true}\n"
      "  order: {path: /orders, pool: order}\n"
      "  stock: {method: GET, path: '/stock/*', pool: order, "
      "idempotent: true}\n");
}

void
fleet_set_out (struct fleet *f, const char *failure_domain)
{
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);

  fputs ("failure_domains:\n", out);
  for (uint32_t i = 0; i < FAILURE_DOMAINS; i++)
    fprintf (out, "  %s: {state: %s}\n", failure_domains[i],
             strcmp (failure_domain, failure_domains[i]) == 0 ? "out" : "in");
  fclose (out);
  harness_write (f->h, "10-failure-domains.yaml", "%s", text);
  free (text);
}

void
fleet_init (struct fleet *f, const char *build, uint32_t drafts,
            uint32_t orders, uint32_t entries)
{
  memset (f, 0, sizeof *f);
  f->h = harness_new (build);
  add_upstreams (f, "draft", drafts);
  add_upstreams (f, "order", orders);
  for (uint32_t i = 0; i < entries; i++)
    {
      struct fleet_entry *e = &f->entries[f->entries_count++];
      snprintf (e->name, sizeof e->name, "entry-%u", i + 1);
      e->port = harness_port (f->h);
      e->operator_port = harness_port (f->h);
    }
  fleet_set_out (f, "");
  write_upstreams (f);
  write_rules (f);
}

void
fleet_start_upstream (struct fleet *f, struct fleet_upstream *u)
{
  const char *const *o = f->engine_options;
  char address[32];

  snprintf (address, sizeof address, "127.0.0.1:%u", u->port);
  if (strcmp (u->pool, "draft") == 0)
    u->upstream = harness_start (f->h, u->name, "fake-engine", "--address",
                                 address, o[0], o[1], o[2], o[3], o[4], o[5],
                                 o[6], o[7], (char *)NULL);
  else
    u->upstream = harness_start (f->h, u->name, "fake-plain", "--address",
                                 address, f->plain_options[0],
                                 f->plain_options[1], f->plain_options[2],
                                 f->plain_options[3], (char *)NULL);
}

void
fleet_start_agent (struct fleet *f, struct fleet_upstream *u)
{
  char log[64];

  snprintf (log, sizeof log, "agent-%s", u->name);
  u->agent = harness_start (f->h, log, "bilberry-agent", "--config",
                            harness_config_dir (f->h), "--name", u->name,
                            (char *)NULL);
}

void
fleet_start_entry (struct fleet *f, struct fleet_entry *e)
{
  char ready[64];

  e->pid = harness_start (f->h, e->name, "bilberry-entry", "--config",
                          harness_config_dir (f->h), "--name", e->name,
                          (char *)NULL);
  /* An entry is of use once no agent is unconnected.  */
  snprintf (ready, sizeof ready, "\"connected\": false");
  for (int spent = 0; spent < CONNECT_MS; spent += 20)
    {
      struct answer a
          = harness_http (e->operator_port, "GET", "/status", "", "");
      bool all = a.body && !strstr (a.body, ready);
      answer_free (&a);
      if (all)
        return;
      harness_sleep_ms (20);
    }
  fprintf (stderr, "fleet: %s does not reach its agents\n", e->name);
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
  harness_free (f->h);
}

bool
fleet_stream_is_whole (const char *body, const char *prompt, uint32_t tokens)
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
