#ifndef RANK_H
#define RANK_H

/* The agent of a rank's VM: takes part in switches of its group's expert map
   and gives its engine the orders.  */

#include "bilberry/daemon.h"
#include "bilberry/map.h"

enum
{
  RANK_MAP_CACHE_SIZE = 8 /* maps that are kept at hand */
};

/* Something that the switch has to take.  */
struct rank_event
{
  enum
  {
    RANK_EVENT_MESSAGE,
    RANK_EVENT_TICK,
    RANK_EVENT_LOADED,
    RANK_EVENT_PROPOSE
  } kind;
  struct bb_map_switch message; /* without its map */
  uint64_t hash;
  struct rank_event *next;
};

/* The agent of another rank.  */
struct rank_link
{
  struct rank *rank;
  struct sockaddr_storage addr;
  struct bb_conn *conn; /* NULL: to be opened again */
  bool open;
  uint64_t peer_map_hash;  /* of the map that it held when it led last */
  uint64_t last_sent_hash; /* of the map that it was sent last */
  bb_ms last_sent_ms;
};

struct rank
{
  struct bb_daemon *daemon;
  char *group;
  struct bb_map_size size;
  uint32_t self;
  struct bb_switch map_switch;
  struct bb_switch switch_before; /* SW before the event under way */
  bool saved_state_known;         /* the engine has told its memory */
  bool engine_busy; /* an event or a question to the engine is open */
  struct rank_event *event_queue;
  struct rank_event *current_event; /* under way */
  struct bb_switch_out output;      /* of the event under way */
  uint64_t loading_hash;
  struct bb_map *maps[RANK_MAP_CACHE_SIZE];
  uint32_t next_map_slot;
  struct bb_load_estimate *estimate;
  struct bb_planning *planning; /* NULL: no plan is under way */
  double *planning_load;
  struct bb_map *planning_base;
  struct bb_plan last_plan; /* the last plan that ended here */
  uint64_t refused_orders;  /* the engine's fence held */
  /* rank_link.c */
  struct bb_listener *listener;
  struct rank_link *links; /* by rank */
  /* rank_engine.c */
  struct bb_http_client *engine_client;
  uv_timer_t tick_timer;
  uv_timer_t save_retry_timer;
  uv_timer_t plan_timer;
};

/* rank.c */

/* Joins the group that the settings name for this VM; *OUT is NULL where there
   is none.  Returns false with a log line on a fault.  */
bool rank_start (struct bb_daemon *d, struct rank **out);
void rank_status (const struct rank *r, json_t *out);
const struct bb_group_settings *rank_group_settings (const struct rank *r);
void rank_post_event (struct rank *r, const struct rank_event *e);
/* The engine has answered orders: taken, or refused with its memory.  */
void rank_on_state_saved (struct rank *r, bool taken,
                          const struct bb_switch_saved_state *m);
/* The engine has told its memory.  */
void rank_on_saved_state (struct rank *r,
                          const struct bb_switch_saved_state *m);
struct bb_map *rank_find_map (const struct rank *r, uint64_t hash);
void rank_keep_map (struct rank *r, struct bb_map *map);

/* rank_link.c */
bool rank_listen (struct rank *r, const char *address);
void rank_connect (struct rank *r);
void rank_send (struct rank *r, struct bb_map_switch *m);
/* Whether no rank with a lower number can be reached.  */
bool rank_is_lowest_reachable (const struct rank *r);

/* rank_engine.c */
void engine_read_state (struct rank *r);
void engine_save_state (struct rank *r);
void engine_load_weights (struct rank *r, uint64_t hash);
void engine_read_counts (struct rank *r);

/* rank_turn.c */

/* Whether the group may move weights at the time of day WALL_MS: the groups
   of a pool take turns.  */
bool rank_may_move_weights (const struct rank *r, bb_ms wall_ms);

/* rank_plan.c */
void rank_on_counts (struct rank *r, const char *text);
/* Goes on with a plan that is under way.  */
void rank_plan_step (struct rank *r);

#endif
