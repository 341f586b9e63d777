#ifndef RANK_H
#define RANK_H

/* The agent of a rank's VM: takes part in switches of its group's expert map
   and gives its engine the orders.  */

#include "bilberry/daemon.h"
#include "bilberry/map.h"

enum
{
  RANK_MAPS = 8 /* maps that are kept at hand */
};

/* Something that the switch has to take.  */
struct rank_event
{
  enum
  {
    RANK_MESSAGE,
    RANK_TICK,
    RANK_LOADED,
    RANK_PROPOSE
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
  uint64_t lead_hash; /* of the map that it held when it led last */
  uint64_t sent_hash; /* of the map that it was sent last */
  bb_ms sent_at;
};

struct rank
{
  struct bb_daemon *daemon;
  char *group;
  struct bb_map_size size;
  uint32_t self;
  struct bb_switch sw;
  struct bb_switch before; /* SW before the event under way */
  bool ready;              /* the engine has told its memory */
  bool busy;               /* an event or a question to the engine is open */
  struct rank_event *events;
  struct rank_event *event; /* under way */
  struct bb_switch_out out; /* of the event under way */
  uint64_t loading_hash;
  struct bb_map *maps[RANK_MAPS];
  uint32_t maps_next;
  struct bb_load_estimate *estimate;
  struct bb_planning *planning; /* NULL: no plan is under way */
  double *planning_load;
  struct bb_map *planning_present;
  struct bb_plan planned;  /* the last plan that ended here */
  uint64_t refused_orders; /* the engine's fence held */
  /* rank_link.c */
  struct bb_listener *listener;
  struct rank_link *links; /* by rank */
  /* rank_engine.c */
  struct bb_http_client *engine;
  uv_timer_t tick;
  uv_timer_t retry;
  uv_timer_t plan;
};

/* rank.c */

/* Joins the group that the settings name for this VM; *OUT is NULL where there
   is none.  Returns false with a log line on a fault.  */
bool rank_start (struct bb_daemon *d, struct rank **out);
void rank_status (const struct rank *r, json_t *out);
const struct bb_group_settings *rank_group (const struct rank *r);
void rank_take (struct rank *r, const struct rank_event *e);
/* The engine has answered orders: taken, or refused with its memory.  */
void rank_ordered (struct rank *r, bool taken,
                   const struct bb_switch_saved_state *m);
/* The engine has told its memory.  */
void rank_refresh (struct rank *r, const struct bb_switch_saved_state *m);
struct bb_map *rank_map (const struct rank *r, uint64_t hash);
void rank_keep_map (struct rank *r, struct bb_map *map);

/* rank_link.c */
bool rank_listen (struct rank *r, const char *address);
void rank_connect (struct rank *r);
void rank_send (struct rank *r, struct bb_map_switch *m);
/* Whether no rank with a lower number can be reached.  */
bool rank_is_lowest (const struct rank *r);

/* rank_engine.c */
void engine_ask (struct rank *r);
void engine_order (struct rank *r);
void engine_load (struct rank *r, uint64_t hash);
void engine_count (struct rank *r);

/* rank_turn.c */

/* Whether the group may move weights at the time of day WALL_MS: the groups
   of a pool take turns.  */
bool rank_has_turn (const struct rank *r, bb_ms wall_ms);

/* rank_plan.c */
void rank_counted (struct rank *r, const char *text);
/* Goes on with a plan that is under way.  */
void rank_plan_step (struct rank *r);

#endif
