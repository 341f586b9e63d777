#ifndef FLEET_H
#define FLEET_H

/* A small fleet of real processes: engines and plain services, an agent
   before each, and entries.  */

#include "harness.h"
#include "relay.h"

enum
{
  FLEET_MAX = 64
};

struct fleet_upstream
{
  char name[32];
  char pool[16]; /* "draft" has an engine, "order" a plain service */
  char failure_domain[16];
  uint16_t port;
  uint16_t agent_port;
  uint16_t operator_port;
  uint16_t relay_port; /* where entries reach the agent through the relay */
  struct relay *relay;
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
  const char *engine_options[8]; /* further options of each engine */
  char *entry_config_dir; /* settings folder of entries, where it is another */
  char bootstrap_dir[128]; /* folder that processes start with; "": settings */
  uint16_t config_service_port; /* of the configuration service */
  pid_t config_service_pid;
  uint16_t vm_list_port;          /* of the VM list */
  const char *service_options[4]; /* and of each plain service */
};

/* The bearer header line of the customer "customer-1".  */
extern const char fleet_auth_header[];

/* Makes a fleet of DRAFTS engines, ORDERS plain services and ENTRIES entries,
   spread over the failure domains fd-a, fd-b and fd-c; writes the settings
   but starts nothing.  */
void fleet_init (struct fleet *f, const char *build, uint32_t engines,
                 uint32_t services, uint32_t entries);

/* The same, with a relay between the entries and each agent.  Entries have
   a settings folder of their own, which names the relays.  */
void fleet_init_relayed (struct fleet *f, const char *build, uint32_t engines,
                         uint32_t services, uint32_t entries);

/* Writes the file that says which failure domain is out; "" for none.  */
void fleet_set_out (struct fleet *f, const char *failure_domain);

/* The same, for the folder of the agents alone.  */
void fleet_set_out_at_agents (struct fleet *f, const char *failure_domain);
/* Makes the processes take their settings from a configuration service, which
   publishes the settings folder; the folder that they start with names it.  */
void fleet_use_config_service (struct fleet *f);

/* Starts the configuration service, which numbers from REVISION on.  */
void fleet_start_config_service (struct fleet *f, uint32_t revision);

/* Starts one upstream, one agent or one entry again.  */
void fleet_start_upstream (struct fleet *f, struct fleet_upstream *u);
void fleet_start_agent (struct fleet *f, struct fleet_upstream *u);
void fleet_start_entry (struct fleet *f, struct fleet_entry *e);

/* Starts everything and waits until each entry sees each agent.  */
void fleet_start (struct fleet *f);
void fleet_free (struct fleet *f);

/* Whether BODY is the whole event stream that the engine gives for PROMPT
   and TOKENS.  */
bool fleet_stream_is_complete (const char *body, const char *prompt,
                               uint32_t tokens);

#endif
