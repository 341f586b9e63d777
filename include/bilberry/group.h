#ifndef BILBERRY_GROUP_H
#define BILBERRY_GROUP_H

/* libgroup - expert maps of a group whose ranks obey orders: which map to use
   next, and how all ranks come to use it at one pass.  Pure: no socket, no
   clock, no global.  Link with -lgroup -lglib-2.0.

   A map has for each set and rank a row of places; a place holds an expert or
   BB_PLACE_EMPTY.  The ranks that hold an expert share its tokens evenly.  */

#include "bilberry/base.h"

#include <glib.h>

enum
{
  BB_PLACE_EMPTY = UINT16_MAX
};

struct bb_group_size
{
  uint32_t sets;
  uint32_t experts; /* of a set */
  uint32_t ranks;
  uint32_t places; /* of a rank and set */
  uint32_t spare;  /* experts of a set that may be new at a rank */
};

/* Returns the number of places of a map.  */
size_t bb_group_places (const struct bb_group_size *s);

/* Returns the load of the most loaded rank over the mean, for one SET of MAP
   under LOADS, the loads of its experts; 1 where there is no load.  */
double bb_group_skew (const struct bb_group_size *s, const uint16_t *map,
                      uint32_t set, const double *loads);

/* What a change of map costs.  */
struct bb_rebalance_cost
{
  double copy_ms;       /* to copy one expert to a rank */
  double horizon_ms;    /* how long the loads are expected to last */
  double slowdown;      /* part by which passes are longer while copying */
  double expert_share;  /* of a pass's time that goes to experts */
  double copy_price_ms; /* worth of one copy, in ms of the group's time */
  double skew_min;      /* a mean skew below this is left alone */
};

struct bb_rebalance_plan
{
  bool worthwhile;
  uint32_t copies;          /* in all */
  uint32_t rank_copies_max; /* at one rank */
  double skew_before;       /* mean over sets of most loaded over mean rank */
  double skew_after;
};

/* Searches from MAP for one that evens LOADS (set by set) out, by copying
   experts of the most loaded ranks over ones that others hold too.  Answers
   demand that shifts within seconds: it weighs each further copy against the
   time for which it will serve.  NEXT becomes the map to switch to.  */
struct bb_rebalance_plan bb_rebalance (const struct bb_group_size *s,
                                       const uint16_t *map,
                                       const double *loads,
                                       const struct bb_rebalance_cost *cost,
                                       uint16_t *next);

/* What experts were chosen lately, by which the next map is decided.  Answers
   demand that shifts at once: fast counts show the shift, slow ones forget
   what was before it and are planned from.  */
struct bb_demand
{
  uint32_t count; /* sets times experts */
  double *fast_counts;
  double *slow_counts;
  bb_ms decayed_ms;
  bb_ms shifted_ms;
};

struct bb_demand_engine
{
  double expert_mb;
  double link_mbps;
  double expert_share; /* of a pass's time */
};

void bb_demand_init (struct bb_demand *d, uint32_t count);
void bb_demand_free (struct bb_demand *d);

/* Takes the counts of one rank since its last ones.  */
void bb_demand_add (struct bb_demand *d, const uint16_t *deltas,
                    uint32_t count, bb_ms now);

/* Writes the map to switch to from MAP into NEXT; false where none pays, or a
   shift is too young.  */
bool bb_demand_plan (struct bb_demand *d, const struct bb_group_size *s,
                     const struct bb_demand_engine *e, const uint16_t *map,
                     uint16_t *next, bb_ms now,
                     struct bb_rebalance_plan *plan);

/* The switch.

   Ranks take orders: prepare copies a map, arm makes a rank use it from a pass
   on, hold keeps the group from beginning a pass until it is told to go.  The
   leader holds one pass at another rank, the holder; arms all ranks but its
   own for it; has the holder arm the leader's; and lets the holder go on.

   So while a leader that falls silent cannot be asked for its rank, the others
   know it is not armed unless the holder says that it gave it the order.
   Whoever leads next goes forward where all ranks are armed or can be.  Where
   a rank is silent, it disarms the others if they were all armed by that
   rank's agent and it was not given the order, goes on without it if it has
   said that it is armed, and waits for it otherwise.  Orders that are lost,
   doubled or late find the pass begun.  A rank that comes back puts the group
   in a new epoch, in which nothing of before holds.  */

enum bb_group_switch_op
{
  BB_GROUP_SWITCH_PREPARE,
  BB_GROUP_SWITCH_ARM,
  BB_GROUP_SWITCH_HOLD,
  BB_GROUP_SWITCH_GO,
  BB_GROUP_SWITCH_DISARM
};

struct bb_group_switch_order
{
  enum bb_group_switch_op op;
  uint64_t version;
  uint64_t step;
  uint64_t epoch;
  const uint16_t *map; /* of a prepare */
  uint32_t via_rank;   /* rank whose agent gives the order */
};

/* What a rank last said.  */
struct bb_group_switch_rank
{
  bool known;
  bool attached; /* its agent takes orders of this leader */
  bool open;
  bb_ms heard_ms;
  uint64_t epoch;
  uint64_t step;
  uint64_t map_version;
  uint64_t prepared_version;
  uint64_t armed_version;
  uint64_t armed_step;
  uint64_t held_step;
  uint32_t last_leader;      /* rank of the leader of the last order that its
                           agent gave it */
  uint64_t disarmed_version; /* version that its agent was told to disarm */
  uint64_t disarmed_epoch;
  uint64_t relayed_epoch;   /* its agent gave another rank an arm ... */
  uint64_t relayed_version; /* ... of this version */
  uint32_t relayed_rank;
  bool relayed_accepted; /* that rank has said that it is armed */
  uint64_t row_epoch;    /* of the row in the leader's map */
  uint64_t row_version;  /* likewise */
  bool done;             /* has carried the present phase's order out */
  bb_ms order_sent_ms;   /* when the order was last sent; 0: not */
  uint32_t orders_sent;  /* sent in the present phase */
};

enum bb_group_switch_phase
{
  BB_GROUP_SWITCH_IDLE,
  BB_GROUP_SWITCH_PREPARING,
  BB_GROUP_SWITCH_HOLDING,
  BB_GROUP_SWITCH_ARMING,
  BB_GROUP_SWITCH_ARMING_OWN, /* the holder arms the leader's rank */
  BB_GROUP_SWITCH_GOING,
  BB_GROUP_SWITCH_SETTLING,   /* a switch that this leader did not begin */
  BB_GROUP_SWITCH_FORWARDING, /* arms what is left of it */
  BB_GROUP_SWITCH_DISARMING,  /* gives it up */
  BB_GROUP_SWITCH_CLEARING /* so that a late arm of it finds nothing prepared
                            */
};

const char *bb_group_switch_phase_name (enum bb_group_switch_phase p);

enum
{
  BB_GROUP_RANKS_MAX = 128
};

struct bb_group_switch
{
  struct bb_group_size size;
  struct bb_group_switch_rank ranks[BB_GROUP_RANKS_MAX];
  enum bb_group_switch_phase phase;
  uint32_t self_rank; /* own rank */
  uint64_t epoch;
  uint64_t version;         /* of the present switch */
  uint64_t highest_version; /* version seen or used in this epoch */
  uint64_t step;            /* of the hold */
  uint32_t
      missing_rank; /* rank that cannot be asked; the number of ranks: none */
  uint32_t held_rank;    /* rank that is held */
  uint16_t *current_map; /* in force, row by row */
  uint16_t *next_map;    /* being switched to */
  bb_ms phase_since_ms;  /* of the present phase */
  uint32_t switches;
  uint32_t abandoned;
  void (*send_order) (uint32_t rank, const struct bb_group_switch_order *o,
                      void *user);
  void *user;
};

void bb_group_switch_init (
    struct bb_group_switch *sw, const struct bb_group_size *size,
    uint32_t self,
    void (*order) (uint32_t rank, const struct bb_group_switch_order *o,
                   void *user),
    void *user);
void bb_group_switch_free (struct bb_group_switch *sw);

/* A rank told its state.  LISTS is its row of each set in the map in force
   with LISTS_VERSION, or NULL.  */
void bb_group_switch_update_rank (struct bb_group_switch *sw, uint32_t rank,
                                  const struct bb_group_switch_rank *state,
                                  const uint16_t *rows, bb_ms now);

/* The order of the present phase ended with STATUS, of HTTP; 0 where no
   answer came.  */
void bb_group_switch_order_result (struct bb_group_switch *sw, uint32_t rank,
                                   const struct bb_group_switch_order *o,
                                   uint16_t status, bb_ms now);

/* Looks at the time: sends orders again, gives up, or settles.  */
void bb_group_switch_tick (struct bb_group_switch *sw, bb_ms now);

/* Whether all ranks are heard of lately, in one epoch, and nothing is under
   way, so that a switch can begin; and whether the map in force is known.  */
bool bb_group_switch_is_ready (const struct bb_group_switch *sw, bb_ms now);

/* Begins a switch to NEXT.  */
void bb_group_switch_begin (struct bb_group_switch *sw, const uint16_t *next,
                            bb_ms now);

/* Who leads.

   Each agent follows the first of its group, in the order of hosts, that
   answers, whether or not that one leads already; one that reaches none before
   itself leads.  Agents learn of each other's group only by asking, so a host
   of another group is left alone for a while.  The owner makes connections as
   it is told and says what it hears.  */

enum bb_election_action
{
  BB_ELECTION_NONE,
  BB_ELECTION_CONNECT,         /* connect to f->dialled */
  BB_ELECTION_FOLLOW,          /* the dialled host is the leader from now on */
  BB_ELECTION_CLOSE_CANDIDATE, /* it did not answer, or is of no use */
  BB_ELECTION_CLOSE_LEADER     /* it is silent, or of another group */
};

struct bb_election
{
  char *self;            /* own host */
  char *group;           /* own; empty: not known */
  char *leader;          /* host that is followed; NULL: none */
  char *candidate;       /* host that has not answered yet; NULL: none */
  bb_ms leader_heard_ms; /* from the leader */
  bb_ms candidate_since_ms;
  bool is_leader;
  GHashTable *hosts; /* what is known of a host */
};

void bb_election_init (struct bb_election *e, const char *self);
void bb_election_free (struct bb_election *e);

/* The own group is GROUP.  Returns whether it is another one than before: all
   that was known of other hosts is forgotten then.  */
bool bb_election_set_group (struct bb_election *e, const char *group);

/* Looks at the time, and at HOSTS, all known ones in order.  To be called
   again until it returns BB_FOLLOW_NONE.  */
enum bb_election_action bb_election_tick (struct bb_election *e,
                                          const char *const *hosts,
                                          uint32_t count, bb_ms now);

/* HOST, which is dialled or followed, says that it is of GROUP; empty: it does
   not know.  */
enum bb_election_action bb_election_on_hello (struct bb_election *e,
                                              const char *host,
                                              const char *group, bb_ms now);

/* The connection to HOST has ended.  */
void bb_election_on_close (struct bb_election *e, const char *host);

/* HOST is of another group.  */
void bb_election_set_other_group (struct bb_election *e, const char *host,
                                  bb_ms now);
bool bb_election_is_other_group (const struct bb_election *e, const char *host,
                                 bb_ms now);

/* The process was paused: who leads is to be found anew.  */
void bb_election_reset (struct bb_election *e);

#endif
