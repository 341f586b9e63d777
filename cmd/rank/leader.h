#ifndef LEADER_H
#define LEADER_H

/* The leader of a group.  Each file calls only functions of the files listed
   after it.

   leader.c              start, stop and regular work
   leader_connections.c  connections from other agents
   leader_poll.c         polls engines whose agent is not connected
   leader_plan.c         plans maps
   leader_maps.c         sends maps to the agents
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
  char *host;     /* host of its engine; NULL before its first state */
  bool in_group;  /* its last state is of the group that this agent leads */
  bool is_member; /* it sends its counts to this agent */
  uint32_t rank;
  struct follower_conn *prev;
  struct follower_conn *next;
};

/* The map that is being prepared, as it is sent to the agents.  */
struct sent_map
{
  uint64_t epoch;
  uint64_t version;
  GBytes *map;   /* rows sorted; NULL: none */
  uint64_t hash; /* XXH64 of map */
  uint64_t base_version;
  uint64_t base_hash;
  GBytes *difference; /* packed against the map of base_version */
  GBytes *whole;      /* packed; NULL: not yet */
  struct bb_group_spread spread;
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
  bb_ms last_plan_ms;                 /* when the last search began */
  bb_ms next_plan_ms;                 /* no search begins earlier */
  struct bb_rebalance_search *search; /* NULL: none is in progress */
  uint64_t search_version;            /* of the map from which it searches */
  uint64_t search_epoch;
  uv_idle_t search_idle; /* runs the search in steps */
  bb_ms last_poll_ms;
  uint32_t next_poll;        /* position in the table of upstreams */
  uint32_t logged_abandoned; /* abandoned switches that were logged */
  struct sent_map sent_map;
  uint64_t passed_on_hash; /* of the last map that was passed on */
  uint64_t last_order_id;
  GHashTable *pending_orders; /* struct pending_order by id */
  enum bb_group_switch_phase logged_phase;
  /* Addresses of engines polled by HTTP, by rank.  */
  GHashTable *remote_addresses;
  /* What engines accepted that this agent ordered by HTTP: struct
     accepted_fence by address.  */
  GHashTable *remote_fences;
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
void leader_plan_init (struct leader *l);
/* Begins to search for a better map, if one is due and all ranks are ready.
   The search runs in steps and ends in a switch where that pays off.  */
void leader_plan_switch (struct leader *l);
/* Ends a search that is in progress.  */
void leader_plan_stop (struct leader *l);

/* leader_maps.c */
/* Begins to send the map of ORDER, a PREPARE, unless it is being sent.  */
void leader_begin_map (struct leader *l,
                       const struct bb_group_switch_order *order);
/* Ends the sending of a map.  */
void leader_drop_map (struct leader *l);
/* Has the whole map sent to the agent of RANK, which lacks it.  */
void leader_request_map (struct leader *l, uint32_t rank);
/* Sends the map to the agents that are due.  */
void leader_spread_map (struct leader *l, bb_ms now);

/* leader_group.c */
/* Initializes the switch for RANKS ranks, of which this agent's is SELF, if
   the sizes of the maps are known and within bounds.  Returns whether the
   switch is initialized.  */
bool leader_init_group (struct leader *l, uint32_t ranks, uint32_t self);
/* Passes state M of a rank to the switch and advances it.  ATTACHED tells
   whether the agent of the rank is connected and takes orders from this
   leader.  */
void leader_update_rank (struct leader *l, const struct bb_rank_state *m,
                         bool attached);
/* Adds COUNT counts of one or more ranks, DELTAS, to the demand.  */
void leader_add_counts (struct leader *l, const uint16_t *deltas,
                        uint32_t count);
/* Returns what to tell the agent F of its head, and whether the rows of its
   rank are wanted.  */
struct bb_rank_hello leader_hello_to (const struct leader *l,
                                      const struct follower_conn *f);
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
/* Returns the highest fence that the engine at ADDRESS has accepted of the
   orders that this agent sent to it by HTTP.  */
struct accepted_fence leader_remote_fence (const struct leader *l,
                                           const char *address);
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
