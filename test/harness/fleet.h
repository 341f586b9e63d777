#ifndef FLEET_H
#define FLEET_H

/* Runs a fleet of real processes: upstreams, which are engines or plain
   services, with an agent for each, and entries.  */

#include "harness.h"
#include "relay.h"

enum
{
  FLEET_MAX = 64
};

struct fleet_upstream
{
  char name[32];
  char pool[16]; /* "draft": an engine; "order": a plain service */
  char failure_domain[16];
  uint16_t port;
  uint16_t agent_port;
  uint16_t operator_port;
  uint16_t relay_port; /* port of the relay, which entries connect to; 0: no
                          relay */
  struct relay *relay; /* relay between entries and agent; NULL: entries
                          connect directly */
  pid_t upstream_pid;
  pid_t agent_pid;
};

struct fleet_entry
{
  char name[32];
  uint16_t port;
  uint16_t operator_port;
  pid_t pid;
};

struct fleet
{
  struct harness *h;
  struct fleet_upstream upstreams[FLEET_MAX];
  uint32_t upstreams_count;
  struct fleet_entry entries[FLEET_MAX];
  uint32_t entries_count;
  const char *engine_options[8]; /* command-line options of an engine */
  char *entry_config_dir;  /* settings folder of entries; NULL: they use the
                              harness's */
  char bootstrap_dir[128]; /* folder of settings that name the configuration
                              service; "": not used */
  uint16_t config_service_port;
  pid_t config_service_pid;
  uint16_t vm_list_port;          /* port of the service that lists the VMs */
  const char *service_options[4]; /* command-line options of a plain service */
};

/* The HTTP authorization header line of the customer "customer-1".  */
extern const char fleet_auth_header[];

/* Initializes F with ENGINES engines, SERVICES plain services and ENTRIES
   entries, spread over the failure domains fd-a, fd-b and fd-c.  The
   programs are in folder BUILD.  Writes the settings, but starts no process.
   The caller frees the content of F with fleet_free.  */
void fleet_init (struct fleet *f, const char *build, uint32_t engines,
                 uint32_t services, uint32_t entries);

/* Initializes F as fleet_init does, with a running relay between the entries
   and each agent.  Entries have a separate settings folder, which has the
   addresses of the relays in place of those of the agents.  */
void fleet_init_relayed (struct fleet *f, const char *build, uint32_t engines,
                         uint32_t services, uint32_t entries);

/* Writes the settings so that FAILURE_DOMAIN is out of service and all others
   are in service; "" takes none out.  */
void fleet_set_out (struct fleet *f, const char *failure_domain);

/* Writes the settings of the agents, but not of the entries, so that
   FAILURE_DOMAIN is out of service and all others are in service.  For a fleet
   of fleet_init_relayed.  */
void fleet_set_out_at_agents (struct fleet *f, const char *failure_domain);

/* Makes processes started from now on read their settings from a configuration
   service, which publishes the settings folder.  They start with a copy of the
   settings that has the address of the service.  */
void fleet_use_config_service (struct fleet *f);

/* Starts the configuration service, whose first revision is REVISION.  */
void fleet_start_config_service (struct fleet *f, uint32_t revision);

/* Start one upstream, agent or entry, for the first time or again.
   fleet_start_entry waits until the entry is connected to all agents.  */
void fleet_start_upstream (struct fleet *f, struct fleet_upstream *u);
void fleet_start_agent (struct fleet *f, struct fleet_upstream *u);
void fleet_start_entry (struct fleet *f, struct fleet_entry *e);

/* Starts all upstreams, agents and entries, and waits until each entry is
   connected to all agents.  Aborts on failure.  */
void fleet_start (struct fleet *f);

/* Stops all processes and relays and removes the settings.  */
void fleet_free (struct fleet *f);

/* Returns whether BODY is the complete event stream with which fake-engine
   answers PROMPT, of TOKENS tokens in order.  */
bool fleet_stream_is_complete (const char *body, const char *prompt,
                               uint32_t tokens);

#endif
