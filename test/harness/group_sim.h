#ifndef GROUP_SIM_H
#define GROUP_SIM_H

/* A group of ranks, with the agents that lead it, in virtual time.  Orders are
   slow, lost, carried out twice or late; agents freeze with their VMs, or are
   killed and start again with nothing.  */

#include "group_map.h"
#include "group_rank.h"

#include <glib.h>

enum
{
  SIM_RANKS = 4,
  SIM_SETS = 2,
  SIM_EXPERTS = 12,
  SIM_PLACES = 4,
  SIM_SPARE = 2,
  SIM_MAP_PLACES = SIM_SETS * SIM_RANKS * SIM_PLACES,
  SIM_TICK_MS = 5,
  SIM_PASS_MS = 50, /* from one pass to the next, while there is work */
  SIM_ORDERS_MAX = 4096
};

extern const struct bb_group_size sim_size;

/* What disturbs a run.  */
struct sim_options
{
  uint32_t seed;
  double late_share; /* fraction of orders that are carried out 2 to 12 s
                        late, without an answer */
  bool freezes;      /* an agent and its VM freeze, one at a time */
  bool kills;        /* agents are killed, one at a time; their engines run on,
                        and they start again with nothing */
  bool repeat_ok; /* engines answer a PREPARE whose copy is under way with 200,
                     not with 409 */
  bool quiet_idle;   /* no switch is begun while the group has no work */
  bb_ms idle_max_ms; /* longest time for which the group has no work, at times;
                        the shortest is half of it */
  bb_ms run_ms;
};

/* An order on its way, and its result.  */
struct sim_order
{
  bool used;
  bool answered;
  bool refused; /* by the agent that was to pass it on */
  bool direct;  /* its leader sent it without an agent */
  uint32_t rank;
  uint32_t leader;
  uint32_t life; /* of the leader's process */
  struct bb_group_switch_order command;
  uint16_t map[SIM_MAP_PLACES];
  bb_ms due_ms;
};

/* The agent of a rank.  */
struct sim_agent
{
  bool is_leader;
  uint32_t life;         /* how often its process was started */
  uint32_t leads;        /* how often it began to lead */
  bb_ms frozen_until_ms; /* when the agent and its VM wake */
  bb_ms dead_until_ms;   /* when its process is started again */
  struct group_agent notes;
  /* As a leader, the fences that ranks accepted which it ordered itself.  */
  uint64_t fences_accepted[SIM_RANKS];
  struct bb_group_switch group_switch;
};

struct simulation
{
  struct sim_options options;
  GRand *rand;
  bb_ms now;
  struct group_rank ranks[SIM_RANKS];
  struct sim_agent agents[SIM_RANKS];
  struct group_clock clock;
  bb_ms next_pass_ms;
  struct sim_order orders[SIM_ORDERS_MAX];
  uint32_t orders_end; /* index after the last used order */
  uint32_t switches;   /* completed by leaders that lead no more */
  bb_ms held_since_ms; /* time since which a due pass is held; 0: no pass is
                          held */
  bb_ms longest_hold_ms;
  uint32_t sending_leader; /* leader that is sending orders now */
};

/* Makes a group that runs on map 0, at time 1000.  The caller frees it with
   simulation_free.  */
struct simulation *simulation_new (const struct sim_options *o);
void simulation_free (struct simulation *sim);

/* The function of a switch that sends orders; USER is the simulation.  */
void simulation_send_order (uint32_t rank,
                            const struct bb_group_switch_order *o, void *user);

/* Makes the agent of rank R a leader, which knows nothing yet.  */
void simulation_start_leader (struct simulation *sim, uint32_t r);

/* Kills the agent of rank R and starts it again with nothing DOWN_MS
   later.  */
void simulation_kill (struct simulation *sim, uint32_t r, bb_ms down_ms);

/* Passes the present state of rank R to LEADER.  */
void simulation_report (struct simulation *sim, uint32_t leader, uint32_t r);

/* Plays one tick.  Aborts where a pass begins while two ranks use different
   maps, by version or content.  */
void simulation_tick (struct simulation *sim);

/* Plays to the end of the run.  Returns how many switches were completed.  */
uint32_t simulation_run (struct simulation *sim);

#endif
