#ifndef RANK_H
#define RANK_H

/* The agent on the VM of a rank: takes part in the switches of its group from
   one expert map to the next (bb_switch in bilberry/map.h) and has the engine
   save the state of each switch.  The engine changes maps by that state.  */

#include "bilberry/daemon.h"
#include "bilberry/map.h"

enum
{
  RANK_MAP_CACHE_SIZE = 8 /* maps held in memory */
};

/* An event for the map switch.  */
struct rank_event
{
  enum
  {
    RANK_EVENT_MESSAGE, /* another agent sent MESSAGE */
    RANK_EVENT_TICK,
    RANK_EVENT_LOADED, /* the weights for the map of HASH are loaded */
    RANK_EVENT_PROPOSE /* the planner proposes the map of HASH */
  } kind;
  struct bb_map_switch message; /* the message, with map and group cleared */
  uint64_t hash;
  struct rank_event *next;
};

/* The outgoing connection to the agent of another rank.  */
struct rank_link
{
  struct rank *rank;
  struct sockaddr_storage addr;
  /* The connection; NULL: to be reopened by rank_connect.  */
  struct bb_conn *conn;
  bool open;
  uint64_t peer_map_hash;  /* accepted map in the peer's last lead message */
  uint64_t last_sent_hash; /* last map sent on this connection; 0: none */
  bb_ms last_sent_ms;
};

struct rank
{
  struct bb_daemon *daemon;
  char *group;
  struct bb_map_size size;
  uint32_t self; /* number of this rank in the group */
  struct bb_switch map_switch;
  /* Copy of map_switch from before current_event.  */
  struct bb_switch switch_before;
  bool saved_state_known; /* the engine's state has been read once */
  /* The state that the engine keeps is being read or saved.  */
  bool engine_busy;
  struct rank_event *event_queue;
  struct rank_event *current_event; /* event being processed; NULL: none */
  /* Messages and load that current_event led to.  */
  struct bb_switch_out output;
  uint64_t loading_hash; /* map whose weights are being loaded; 0: none */
  struct bb_map *maps[RANK_MAP_CACHE_SIZE];
  uint32_t next_map_slot;
  struct bb_load_estimate *estimate;
  struct bb_planning *planning; /* plan being computed; NULL: none */
  double *planning_load;
  struct bb_map *planning_base; /* map in force when planning began */
  struct bb_plan last_plan;     /* the last plan completed here */
  uint64_t refused_orders;      /* saves that the engine refused as stale */
  /* rank_link.c */
  struct bb_listener *listener;
  struct rank_link *links; /* array, by rank */
  /* rank_engine.c */
  struct bb_http_client *engine_client;
  uv_timer_t tick_timer;
  uv_timer_t save_retry_timer;
  uv_timer_t plan_timer;
};

/* rank.c */

/* Joins the group that the settings name for this VM and sets *OUT; sets it to
   NULL if they name none.  Logs and returns false on failure.  */
bool rank_start (struct bb_daemon *d, struct rank **out);
void rank_status (const struct rank *r, json_t *out);

/* Returns the current settings of the group; NULL if it was removed.  */
const struct bb_group_settings *rank_group_settings (const struct rank *r);

/* Queues a copy of E and processes queued events if the engine is not busy. */
void rank_post_event (struct rank *r, const struct rank_event *e);

/* Ends a save begun by engine_save_state.  SAVED says whether the engine saved
   the state; false: it refused because the step from which a new value would
   apply had started.  M is the engine's state.  */
void rank_on_state_saved (struct rank *r, bool saved,
                          const struct bb_switch_saved_state *m);

/* Ends a read begun by engine_read_state.  M is the engine's state.  */
void rank_on_state_read (struct rank *r,
                         const struct bb_switch_saved_state *m);

/* Returns the cached map of HASH; NULL if there is none.  */
struct bb_map *rank_find_map (const struct rank *r, uint64_t hash);

/* Adds MAP to the cache, which then owns it.  */
void rank_keep_map (struct rank *r, struct bb_map *map);

/* rank_link.c */

/* Listens on ADDRESS for the agents of the other ranks.  Returns false on
   failure.  */
bool rank_listen (struct rank *r, const char *address);

/* Opens the connections to other ranks that are closed.  */
void rank_connect (struct rank *r);

/* Sends M to rank M->to, with the map if the rank needs it.  Drops M if the
   connection is closed or has too much unsent; the switch sends it again.  */
void rank_send (struct rank *r, struct bb_map_switch *m);

/* Returns whether no rank with a lower number is connected.  */
bool rank_is_lowest_reachable (const struct rank *r);

/* rank_engine.c */

/* Requests the state that the engine has saved.  rank_on_state_read is called
   on success.  */
void engine_read_state (struct rank *r);

/* Has the engine save the state of the map switch, with retries until it
   answers.  Ends with rank_on_state_saved.  */
void engine_save_state (struct rank *r);

/* Has the engine load the weights it lacks for the map of HASH.  Posts
   RANK_EVENT_LOADED on success.  */
void engine_load_weights (struct rank *r, uint64_t hash);

/* Requests the token counts of all experts.  rank_on_counts is called on
   success.  */
void engine_read_counts (struct rank *r);

/* rank_turn.c */

/* Returns whether the group may move weights at WALL_MS, in ms since 1970.
   The groups of a pool take turns by time slots.  */
bool rank_may_move_weights (const struct rank *r, bb_ms wall_ms);

/* rank_plan.c */

/* Updates the load estimate with the token counts in TEXT.  Then starts a plan
   if rebalancing is on, no lower rank is connected, and no plan or switch is
   in progress.  */
void rank_on_counts (struct rank *r, const char *text);

/* Plans one more layer if a plan is being computed.  Proposes the map of a
   complete plan if it is worthwhile.  */
void rank_plan_step (struct rank *r);

#endif
