#ifndef GROUP_WORLD_H
#define GROUP_WORLD_H

/* A group of three ranks with two agents that may lead at the same time, as a
   state from which a search goes on.

   Agent 0 leads throughout; agent 1 leads while it does not follow agent 0;
   agent 2 follows either.  Time passes in rounds.  In each, the orders that
   were sent are carried out, a pass begins unless it is held, the agents
   report and the leaders act.  */

#include "group_rank.h"

enum
{
  WORLD_RANKS = 3,
  WORLD_LEADERS = 2,
  WORLD_SETS = 1,
  WORLD_EXPERTS = 3,
  WORLD_PLACES = 2,
  WORLD_MAP_PLACES = WORLD_SETS * WORLD_RANKS * WORLD_PLACES,
  WORLD_ORDERS_MAX = 48
};

/* What a world is like.  */
struct world_options
{
  bool unlisted; /* agent 1 does not know the address of rank 0 */
  bool unfenced; /* the platform does not fence, the agents alone do */
};

/* An order on its way.  */
struct world_order
{
  bool used;
  bool late; /* gets no answer, and is carried out when the search says so */
  bool refused; /* by the agent that was to pass it on */
  uint32_t rank;
  uint32_t leader;
  uint16_t incarnation; /* of the leader */
  uint32_t connection;  /* of the agent that passes it on */
  struct bb_group_switch_order command;
  uint16_t map[WORLD_MAP_PLACES];
};

struct world_agent
{
  struct group_agent notes;
  uint32_t follows;    /* the leader; the agent itself: it leads */
  uint32_t connection; /* number of its connection to the leader */
};

/* An agent that may lead.  */
struct world_leader
{
  bool leads;
  uint32_t begun; /* how often it began to lead */
  /* Rounds until it notices that the agent of a rank has left; 0: it knows.
   */
  uint32_t unnoticed[WORLD_RANKS];
  /* The fences that ranks accepted which it ordered itself.  */
  uint64_t fences_accepted[WORLD_RANKS];
  struct bb_group_switch group_switch; /* its maps are those below */
  uint16_t current_map[WORLD_MAP_PLACES];
  uint16_t next_map[WORLD_MAP_PLACES];
};

struct world
{
  struct group_clock clock;
  bb_ms now;
  uint32_t round;
  uint32_t moves; /* events of each kind so far */
  uint32_t late_orders;
  struct group_rank ranks[WORLD_RANKS];
  struct world_agent agents[WORLD_RANKS];
  struct world_leader leaders[WORLD_LEADERS];
  struct world_order orders[WORLD_ORDERS_MAX];
  uint32_t acting; /* leader that is acting now */
  struct world_options options;
};

/* What happened on the way to a state.  */
struct world_event
{
  enum
  {
    WORLD_ROUND,
    WORLD_MOVE,
    WORLD_MOVE_UNNOTICED,
    WORLD_DELAY,
    WORLD_CARRY_OUT
  } kind;
  uint32_t subject; /* rank of the agent, or index of the order */
};

/* Returns a world in which the agent of rank 0 leads and has begun to switch
   maps.  The caller frees it with g_free.  */
struct world *world_new (const struct world_options *o);

/* Makes TO a copy of W.  */
void world_copy (struct world *to, const struct world *w);

/* Carries out event E.  Returns false where a pass begins with two maps, by
   version or content.  */
bool world_apply (struct world *w, const struct world_event *e);

/* Whether the next pass is held.  */
bool world_is_held (const struct world *w);

/* Returns a hash of W.  States are the same that differ only in the time of
   day, the numbers of connections, and times long ago.  */
uint64_t world_hash (const struct world *w);

/* Print to the standard error stream.  */
void world_print (const struct world *w);
void world_print_event (const struct world *w, const struct world_event *e);

#endif
