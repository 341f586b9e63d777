#ifndef LEADER_H
#define LEADER_H

/* The leader of a group.  Each file calls only functions of the files listed
   after it.

   leader.c              start, stop and regular work
   leader_connections.c  connections from other agents
   leader_poll.c         polls engines whose agent is not connected
   leader_plan.c         plans maps
   leader_group.c        state of the ranks
   leader_orders.c       orders and their results
   leader_address.c      connections and addresses of the ranks
   leader_log.c          log of the switch  */

#include "rank.h"

/* Connection from another agent.  */
struct follower_conn
{
  struct leader *leader;
  struct bb_conn *conn;
  char *host;    /* host of its engine; NULL before its first state */
  bool in_group; /* its last state is of the group that this agent leads */
  uint32_t rank;
  bb_ms last_message_ms;
  struct follower_conn *prev;
  struct follower_conn *next;
};

struct leader
{
  struct agent *agent;
  struct bb_listener *listener;
  struct follower_conn *followers;
  struct bb_group_switch map_switch;
  struct bb_demand demand;
  bool active; /* map_switch and demand are initialized */
  char group[64];
  bb_ms last_plan_ms;
  bb_ms last_poll_ms;
  uint64_t last_order_id;
  GHashTable *pending_orders; /* struct pending_order by id */
  uint64_t fence;
  enum bb_group_switch_phase logged_phase;
  /* Addresses of engines polled by HTTP, by rank.  */
  GHashTable *remote_addresses;
};

/* leader_connections.c */
/* Listens for connections of other agents.  A failure is logged.  */
void leader_listen (struct leader *l);
/* Closes connections that are silent for too long.  */
void leader_close_silent (struct leader *l);

/* leader_poll.c */
/* Requests the reports of the engines whose agent is not connected, when they
   are due.  */
void leader_poll_remotes (struct leader *l);

/* leader_plan.c */
/* Begins a switch if all ranks are ready and a better map pays off.  */
void leader_plan_switch (struct leader *l);

/* leader_group.c */
/* Initializes the switch for RANKS ranks, of which this agent's is SELF, if
   the sizes of the maps are known and within bounds.  Returns whether the
   switch is initialized.  */
bool leader_init_group (struct leader *l, uint32_t ranks, uint32_t self);
/* Passes state M of a rank to the switch and its counts to the demand, then
   advances the switch.  ATTACHED tells whether the agent of the rank is
   connected and takes orders from this leader.  */
void leader_update_rank (struct leader *l, const struct bb_rank_state *m,
                         bool attached);
/* Advances the switch at NOW and logs a change of its phase.  */
void leader_advance_switch (struct leader *l, bb_ms now);

/* leader_orders.c */
void leader_orders_init (struct leader *l);
/* Sends ORDER to the engine of RANK: directly by HTTP if ORDER->via_rank is
   this agent's rank, otherwise through the agent of that rank.  If that agent
   is not connected, an order that ends a switch is sent directly, and any
   other is not sent.  USER is the leader.  */
void leader_send_order (uint32_t rank,
                        const struct bb_group_switch_order *order, void *user);
/* Takes the result of the order ID: an HTTP status, or 0 where there was no
   response.  */
void leader_handle_result (struct leader *l, uint64_t id, uint16_t status);
/* Drops the orders sent to F, whose results cannot come any more.  */
void leader_drop_orders_of (struct leader *l, const struct follower_conn *f);
/* Drops all orders that have no result yet.  */
void leader_drop_orders (struct leader *l);

/* leader_address.c */
/* Returns the connection from the agent of RANK, or NULL.  */
struct follower_conn *leader_find_follower (const struct leader *l,
                                            uint32_t rank);
/* Whether an agent on HOST is connected, or is this one.  */
bool leader_has_agent (const struct leader *l, const char *host);
/* Returns the address of the engine of RANK, or NULL: its agent's host with
   the port of the local engine, or else the address at which it was polled.
   Freed by the caller.  */
char *leader_find_address (const struct leader *l, uint32_t rank);
/* leader_log.c */
/* Logs the phase of the switch if it has changed.  */
void leader_log_phase (struct leader *l);

#endif
