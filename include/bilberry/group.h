#ifndef BILBERRY_GROUP_H
#define BILBERRY_GROUP_H

/* libgroup - expert maps of a group of ranks that the leader commands: the
   search for the next map, the switch of all ranks to it at the same pass, and
   the election of the leader.  The functions use no socket, no clock and no
   global state; the caller passes the time.  Link with -lgroup -lglib-2.0.

   NOW and all points in time are in milliseconds of one monotonic clock.

   A pass is one forward pass of the group, in which all ranks take part.  A
   set is a number of experts that are spread over the ranks; a model has
   several.  A map has a row of places for each set and rank; a place holds an
   expert or BB_PLACE_EMPTY.  The ranks that hold an expert share its tokens
   evenly.

   An array that covers all sets lists the first set, then the second, and so
   on: a map as uint16_t[sets][ranks][places], loads as
   double[sets][experts].  */

#include "bilberry/base.h"

#include <glib.h>

enum
{
  BB_PLACE_EMPTY = UINT16_MAX /* a place that holds no expert */
};

/* Dimensions of a group and its maps.  */
struct bb_group_size
{
  uint32_t sets;
  uint32_t experts; /* experts in a set */
  uint32_t ranks;
  uint32_t places; /* places of each rank in each set */
  uint32_t spare;  /* most experts of a set that a new map may add at a rank */
};

/* Returns the number of places of a map for a group of size S.  */
size_t bb_group_places (const struct bb_group_size *s);

/* Returns the load of the most loaded rank over the mean load of a rank, for
   SET of MAP.  LOADS holds the load of each expert of the set.  Returns 1
   where there is no load.  */
double bb_group_skew (const struct bb_group_size *s, const uint16_t *map,
                      uint32_t set, const double *loads);

/* What a change of map costs, and what its gain depends on.  */
struct bb_rebalance_cost
{
  double copy_ms;    /* time to copy one expert to a rank */
  double horizon_ms; /* how long the loads are expected to last */
  double slowdown;   /* fraction by which a copy under way lengthens passes */
  double expert_share;  /* fraction of a pass spent in the experts */
  double copy_price_ms; /* cost of one copy, in ms of the group's time */
  double skew_min;      /* a map whose mean skew is lower is kept */
};

/* The outcome of a search for a map.  */
struct bb_rebalance_plan
{
  bool worthwhile;          /* the gain exceeds the cost */
  uint32_t copies;          /* copies of experts to make, over all ranks */
  uint32_t rank_copies_max; /* copies to the rank that takes most */
  double skew_before;       /* mean of bb_group_skew over the sets */
  double skew_after;        /* mean skew over the sets, with the map found */
};

/* Searches from MAP for a map that balances LOADS, by copying experts of the
   most loaded ranks over ones that other ranks hold too, or by exchanging
   experts between ranks.  It suits demand that shifts within seconds: it
   weighs the time that the copies take against the time for which they will
   serve.  Writes the map to switch to into NEXT, or MAP where no change is
   worthwhile.  */
struct bb_rebalance_plan bb_rebalance (const struct bb_group_size *s,
                                       const uint16_t *map,
                                       const double *loads,
                                       const struct bb_rebalance_cost *cost,
                                       uint16_t *next);

/* The same search in steps, as it takes long for a large group.  */
struct bb_rebalance_search;

/* Starts the search of bb_rebalance.  The arguments are copied.  */
struct bb_rebalance_search *
bb_rebalance_search_new (const struct bb_group_size *s, const uint16_t *map,
                         const double *loads,
                         const struct bb_rebalance_cost *cost);

/* Tries up to CHANGES further changes of the map; each takes some tens of
   microseconds for 128 ranks.  Returns whether the search is done.  */
bool bb_rebalance_search_step (struct bb_rebalance_search *k,
                               uint32_t changes);

/* Frees K and returns its outcome so far as bb_rebalance does; NEXT may be
   NULL.  */
struct bb_rebalance_plan
bb_rebalance_search_end (struct bb_rebalance_search *k, uint16_t *next);

/* Recent counts of how often each expert was chosen, from which the next map
   is planned.  Both kinds of counts decay exponentially.  The fast ones reveal
   a shift of demand.  Maps are planned from the slow ones.  At a shift all are
   discarded, since they are of the demand before it.  */
struct bb_demand
{
  uint32_t count; /* length of each array: sets times experts */
  double *fast_counts;
  double *slow_counts;
  bb_ms decayed_ms; /* time up to which the counts have decayed */
  bb_ms delay_ms;   /* how long counts wait on their way; set by the owner */
  bb_ms shifted_ms; /* time of the last shift of demand */
  double moved;     /* fraction of the demand that had moved then */
  double noise;     /* by how much fast and slow counts differ without one */
  bb_ms noise_ms;   /* time up to which noise is learned */
  bb_ms steady_since_ms; /* of the first counts, or of the last shift */
};

/* What the cost of a map depends on.  */
struct bb_demand_engine
{
  double expert_mb; /* size of an expert, in megabytes */
  double link_mbps; /* bandwidth for copies to a rank, in megabits per second;
                       0: a copy is taken to need no time */
  double expert_share; /* fraction of a pass spent in the experts */
};

/* Initializes D for COUNT counts, all 0.  */
void bb_demand_init (struct bb_demand *d, uint32_t count);

/* Frees what D owns.  */
void bb_demand_free (struct bb_demand *d);

/* Adds COUNT counts of one rank, DELTAS, taken since its previous ones.  Does
   nothing where COUNT is not that of D.  */
void bb_demand_add (struct bb_demand *d, const uint16_t *deltas,
                    uint32_t count, bb_ms now);

/* Starts to search for the map to replace MAP.  Returns NULL where there are
   too few counts, or too soon after a shift of demand for counts to be of the
   new demand alone.  */
struct bb_rebalance_search *bb_demand_search (struct bb_demand *d,
                                              const struct bb_group_size *s,
                                              const struct bb_demand_engine *e,
                                              const uint16_t *map, bb_ms now);

/* Searches for the map to replace MAP, in one step.  Returns true and writes
   it into NEXT where one is worthwhile, and its figures into PLAN.  Returns
   false where none is, where there are too few counts, or too soon after a
   shift of demand for counts to be of the new demand alone.  */
bool bb_demand_plan (struct bb_demand *d, const struct bb_group_size *s,
                     const struct bb_demand_engine *e, const uint16_t *map,
                     uint16_t *next, bb_ms now,
                     struct bb_rebalance_plan *plan);

/* The switch of all ranks to a new map.

   All ranks must use the new map from the same pass on.  Ranks take these
   orders: PREPARE copies the experts of a new version of the map to the rank;
   ARM makes it use a prepared version from a given pass on; HOLD keeps the
   group from beginning a given pass, until GO; DISARM revokes an ARM.

   The leader, which is the agent of one of the ranks, has all ranks prepare
   the map.  It then holds a pass to come at another rank, the held rank; arms
   all ranks but its own for that pass; has the agent of the held rank arm the
   leader's own rank; and has the held rank go on.

   The leader's own rank is armed by another agent so that, if the leader fails
   and its rank cannot be asked, the others know that it is not armed unless
   the agent of the held rank reports that it sent the ARM.

   The next leader completes the switch where all ranks are armed or can be.
   Where one rank is silent, the next leader
   - disarms the others if the agent of the silent rank sent the last order of
     each of them, and no agent sent an ARM to the silent rank;
   - completes the switch without it if it has confirmed an ARM;
   - waits for it otherwise.

   Each leader has a generation number, the fence, which is higher than all
   that it knows of; all its orders carry it.  A rank, and the agent that
   passes an order on to it, refuses an order whose fence is lower than one
   that it has seen.  Before a leader ends the switch of another one, all ranks
   but a silent one accept its fence, and it decides by states that were read
   after that.  So a leader that was left, and does not know it, can change
   nothing by then, and learns by the refusal of an order, or by the state of a
   rank, that what it knows of the switch does not hold any more.

   Orders without an answer are sent again.  A rank refuses an ARM or a HOLD
   for a pass that has begun.  A rank that restarts puts the group in a new
   epoch, in which no version, order or state of an earlier epoch is valid.  */

enum bb_group_switch_op
{
  BB_GROUP_SWITCH_PREPARE,
  BB_GROUP_SWITCH_ARM,
  BB_GROUP_SWITCH_HOLD,
  BB_GROUP_SWITCH_GO,
  BB_GROUP_SWITCH_DISARM,
  BB_GROUP_SWITCH_FENCE /* changes nothing: the rank sees the fence, and its
                           agent that a version is revoked */
};

/* What a rank answers to an order.  */
enum bb_group_order_status
{
  BB_GROUP_ORDER_DONE = 200, /* done, or holds already */
  BB_GROUP_ORDER_BEGUN = 202,
  BB_GROUP_ORDER_CONFLICT = 409, /* does not fit the state of the rank */
  BB_GROUP_ORDER_FENCED = 412    /* a higher fence was seen */
};

/* Whether STATUS means that the rank has taken the order.  */
bool bb_group_order_is_accepted (uint16_t status);

/* An order to a rank.  */
struct bb_group_switch_order
{
  enum bb_group_switch_op op;
  uint64_t version;    /* version of the map; of a FENCE, the version that is
                          revoked, or 0 */
  uint64_t step;       /* number of the pass that is held */
  uint64_t epoch;      /* epoch of the group */
  uint64_t fence;      /* generation number of the leader */
  const uint16_t *map; /* the map of a PREPARE; NULL for other orders */
  uint32_t via_rank;   /* rank whose agent sends the order */
  bool own_armed; /* the leader's rank may be armed with VERSION; the agent
                     that sends the order reports that like an ARM that it
                     relayed and that got no answer */
};

enum
{
  BB_GROUP_NO_RANK = UINT32_MAX
};

/* The state of one rank, as last reported, and of the orders sent to it.  0
   stands for no version and no step.  */
struct bb_group_switch_rank
{
  bool known;                /* a state was reported */
  bool attached;             /* its agent takes orders of this leader, and
                                reported what is known of the agent */
  bool open;                 /* its group takes work */
  bb_ms reported_ms;         /* time of the last report */
  uint64_t epoch;            /* epoch of its group */
  uint64_t step;             /* number of the last pass that it began */
  uint64_t map_version;      /* version of the map in use */
  uint64_t prepared_version; /* version that is ready to be armed */
  uint64_t armed_version;    /* version that it was armed with */
  uint64_t armed_step;       /* pass from which it uses armed_version */
  uint64_t held_step;        /* pass that it holds */
  uint32_t last_leader;      /* rank of the leader that sent the last order
                                which its agent passed on to it;
                                BB_GROUP_NO_RANK: none, or not known */
  uint64_t disarmed_version; /* version that its agent last had it disarm, or
                                was told is revoked */
  uint64_t disarmed_epoch;   /* epoch of disarmed_version */
  uint64_t relayed_epoch;    /* epoch of the last ARM that its agent relayed,
                                which means sent to another rank; or of the
                                last order with own_armed */
  uint64_t relayed_version;  /* version of the last ARM relayed */
  uint32_t relayed_rank;     /* rank that the last ARM was relayed to */
  bool relayed_accepted;     /* the rank accepted the last ARM relayed */
  uint64_t fence_seen;       /* highest fence of the orders that its agent
                                passed on; 0: none */
  uint64_t fence_accepted;   /* highest fence of the orders that it accepted
                                before this state was read; 0: none */
  uint64_t row_epoch;        /* epoch of its rows in the leader's map */
  uint64_t row_version;      /* version of its rows in the leader's map */
  bool done;                 /* it has carried out the order of this phase */
  bb_ms order_sent_ms;  /* when the order of this phase was last sent; 0: not
                           yet */
  uint32_t orders_sent; /* how often the order of this phase was sent */
};

/* The phases of a switch.  SETTLING, FORWARDING, REVOKING, DISARMING and
   CLEARING deal with a switch that another leader left unfinished.  */
enum bb_group_switch_phase
{
  BB_GROUP_SWITCH_IDLE,
  BB_GROUP_SWITCH_PREPARING,
  BB_GROUP_SWITCH_HOLDING,
  BB_GROUP_SWITCH_ARMING,     /* arms all ranks but the leader's */
  BB_GROUP_SWITCH_ARMING_OWN, /* the held rank arms the leader's rank */
  BB_GROUP_SWITCH_GOING,      /* has the held rank go on */
  BB_GROUP_SWITCH_SETTLING,   /* decides on a switch that another leader
                                 left */
  BB_GROUP_SWITCH_FORWARDING, /* arms the remaining ranks for a switch that
                                 another leader left */
  BB_GROUP_SWITCH_REVOKING,   /* tells the agents that the version of another
                                 leader's switch is revoked */
  BB_GROUP_SWITCH_DISARMING,  /* disarms all ranks that are armed */
  BB_GROUP_SWITCH_CLEARING    /* has the ranks prepare the map in use, so that
                                 a late ARM of the revoked version is
                                 refused */
};

/* Returns the name of P, "unknown" where P is not a phase.  */
const char *bb_group_switch_phase_name (enum bb_group_switch_phase p);

/* Largest number of ranks of a group.  */
enum
{
  BB_GROUP_RANKS_MAX = 128
};

/* The state of the switch at the leader.  */
struct bb_group_switch
{
  struct bb_group_size size;
  struct bb_group_switch_rank ranks[BB_GROUP_RANKS_MAX];
  enum bb_group_switch_phase phase;
  uint32_t self_rank;   /* the leader's rank */
  uint16_t incarnation; /* random, other each time that an agent begins to
                           lead; set by the owner */
  uint64_t epoch;
  uint64_t version;         /* map version of the present switch */
  uint64_t highest_version; /* highest version seen or used in this epoch */
  uint64_t fence;           /* generation number of this leader; 0: it takes
                               one before it sends an order */
  uint64_t highest_fence;   /* highest fence seen or used */
  bb_ms fence_taken_ms;
  uint32_t fences_refused;   /* in a row, by a rank that has seen a higher one
                                which no agent reports */
  uint64_t step;             /* number of the pass that is held */
  uint64_t closed_step;      /* last pass that this leader or one before it may
                                have held in this epoch */
  uint32_t missing_rank;     /* rank that cannot be asked; size.ranks: none */
  uint32_t held_rank;        /* rank at which the pass is held */
  uint16_t *current_map;     /* map in use, from the rows of the ranks */
  uint16_t *next_map;        /* map to switch to */
  bb_ms phase_since_ms;      /* when the present phase began */
  bb_ms refused_ms;          /* when a rank first refused the map of CLEARING,
                                sent again; 0: none has */
  double order_link_ms;      /* time that the share of the link for orders
                                takes for one; 0: none, set by the owner */
  uint32_t switches;         /* number of completed switches */
  uint32_t abandoned;        /* number of abandoned switches */
  const char *abandoned_why; /* phrase for the log, of the last one */
  void (*send_order) (uint32_t rank, const struct bb_group_switch_order *o,
                      void *user);
  void *user;
};

/* Initializes SW for a group of SIZE, led by the agent of rank SELF.  SW calls
   ORDER, with USER, to send order O to RANK through the agent of
   O->via_rank; O and its map are valid during the call.  The answer comes back
   by bb_group_switch_order_result.  */
void bb_group_switch_init (
    struct bb_group_switch *sw, const struct bb_group_size *size,
    uint32_t self,
    void (*order) (uint32_t rank, const struct bb_group_switch_order *o,
                   void *user),
    void *user);
/* Frees what SW owns.  */
void bb_group_switch_free (struct bb_group_switch *sw);

/* Takes the STATE that RANK reported.  ROWS holds its row of each set in the
   map of version STATE->row_version; NULL: not reported.  Ignores the fields
   of STATE that SW keeps itself: known, reported_ms, row_epoch, done,
   order_sent_ms and orders_sent; where the agent of RANK is not attached, also
   what it alone can report: last_leader, the fields of disarmed and relayed
   orders, and fence_seen.  */
void bb_group_switch_update_rank (struct bb_group_switch *sw, uint32_t rank,
                                  const struct bb_group_switch_rank *state,
                                  const uint16_t *rows, bb_ms now);

/* Takes the result of order O, sent to RANK: STATUS is an HTTP status, or 0
   where no answer came.  Results of earlier phases, epochs and fences are
   ignored.  */
void bb_group_switch_order_result (struct bb_group_switch *sw, uint32_t rank,
                                   const struct bb_group_switch_order *o,
                                   uint16_t status, bb_ms now);

/* Does what is due at NOW: sends orders again that had no answer, moves to the
   next phase, abandons a switch that cannot be prepared, or begins to settle
   one that another leader left.  */
void bb_group_switch_tick (struct bb_group_switch *sw, bb_ms now);

/* Whether the switch is in a phase whose orders go to a rank directly where
   its agent is not attached: one that ends a switch, and must not wait for the
   agent.  */
bool bb_group_switch_sends_directly (const struct bb_group_switch *sw);

/* Whether a switch can begin: none is under way, there are at least two ranks,
   all ranks have reported of late in one epoch, are open and attached and use
   the same map, and the rows of that map are known.  */
bool bb_group_switch_is_ready (const struct bb_group_switch *sw, bb_ms now);

/* Begins a switch to the map NEXT; orders have its rows sorted.
   bb_group_switch_is_ready must be true.  */
void bb_group_switch_begin (struct bb_group_switch *sw, const uint16_t *next,
                            bb_ms now);

/* Puts the experts of each row of MAP in ascending order, and empty places
   last.  */
void bb_group_sort_rows (const struct bb_group_size *s, uint16_t *map);

/* Writes the map that a group begins with, its experts dealt in turn, into
   MAP, with sorted rows.  */
void bb_group_initial_map (const struct bb_group_size *s, uint16_t *map);

/* The ways of counts and maps.

   A leader's link does not carry the counts of many ranks, nor a map to each
   of them.  So in a large group an agent sends its counts to the head of its
   block, which adds them to its own, and takes maps from there.  Where a head
   is lost, the next agent of the block takes its place.  States and orders,
   which are small, pass between the leader and each agent.  */

/* Returns how many agents send their counts to one: all others, or about the
   square root of that where their counts, BYTES each, exceed
   ROUND_BYTES_MAX.  */
uint32_t bb_group_fan_out (uint32_t ranks, double bytes,
                           double round_bytes_max);

/* Returns the rank whose agent takes the counts of RANK's and passes maps on
   to it, in a group led by SW->self_rank.  */
uint32_t bb_group_head_of (const struct bb_group_switch *sw, uint32_t fan_out,
                           uint32_t rank);

/* Returns the time between two sendings of counts, BYTES each, of which
   FAN_OUT arrive over a link of which BYTES_PER_MS are for them; MIN_MS at
   least, and where BYTES_PER_MS is 0, which means that the link is not known.
 */
bb_ms bb_group_counts_interval_ms (uint32_t fan_out, double bytes,
                                   double bytes_per_ms, bb_ms min_ms);

/* The sending of a map to the agents, within a share of the leader's link.  */
struct bb_group_spread
{
  double bytes_per_ms; /* the share; 0: no limit */
  double credit_bytes; /* may be sent now; below 0 after a large map */
  bb_ms refilled_ms;
  bool due[BB_GROUP_RANKS_MAX];   /* the agent is to get the map */
  bool whole[BB_GROUP_RANKS_MAX]; /* it lacks the base of a difference */
};

void bb_group_spread_init (struct bb_group_spread *s, double bytes_per_ms);
/* Begins to send a map: to the agents whose head is the leader.  */
void bb_group_spread_begin (struct bb_group_spread *s,
                            const struct bb_group_switch *sw,
                            uint32_t fan_out);
/* Has the whole map sent to RANK, whose agent lacks it.  */
void bb_group_spread_request (struct bb_group_spread *s, uint32_t rank);
/* Returns the rank to whose agent the map is to be sent now, which is due no
   more; RANKS where none is or the share is used up.  */
uint32_t bb_group_spread_next (struct bb_group_spread *s, uint32_t ranks,
                               bb_ms now);
/* Reports that BYTES were sent.  */
void bb_group_spread_sent (struct bb_group_spread *s, size_t bytes);

/* The election of the leader of a group.

   Each agent follows the first agent of its group that answers, in the order
   of hosts, whether or not that one leads already.  An agent that reaches none
   before itself leads.  An agent learns of another's group only by asking, so
   it does not ask a host of another group again for some time.  The caller
   makes and closes connections as instructed, and reports what it receives. */

/* What the caller has to do next.  */
enum bb_election_action
{
  BB_ELECTION_NONE,
  BB_ELECTION_CONNECT,         /* connect to the candidate */
  BB_ELECTION_FOLLOW,          /* the candidate has become the leader: close
                                  the connection to the previous one */
  BB_ELECTION_CLOSE_CANDIDATE, /* the candidate did not answer in time, or
                                  cannot lead this agent */
  BB_ELECTION_CLOSE_LEADER /* the leader is silent, of another group, or not to
                              be followed any more */
};

/* What an agent knows of the election.  */
struct bb_election
{
  char *self;      /* own host */
  char *group;     /* own group; empty: not known */
  char *leader;    /* host that is followed; NULL: none */
  char *candidate; /* host that was asked and has not answered yet;
                      NULL: none */
  bb_ms leader_last_message_ms; /* when the leader last sent anything */
  bb_ms candidate_since_ms;     /* when the candidate was chosen */
  bool is_leader;               /* this agent leads */
  GHashTable *hosts;            /* what is known of other hosts, by name */
};

/* Initializes E for the agent on the host SELF, with no group known.  */
void bb_election_init (struct bb_election *e, const char *self);
/* Frees what E owns.  */
void bb_election_free (struct bb_election *e);

/* Sets the own group to GROUP.  Returns whether it has changed; in that case
   the agent leads no more, and all that is known of other hosts is
   discarded.  */
bool bb_election_set_group (struct bb_election *e, const char *group);

/* Returns what to do at NOW.  HOSTS are the COUNT known hosts in ascending
   order.  Call it again, after the action is done, until it returns
   BB_ELECTION_NONE.  An action that closes a connection is done once
   bb_election_on_close was called for the host.  */
enum bb_election_action bb_election_tick (struct bb_election *e,
                                          const char *const *hosts,
                                          uint32_t count, bb_ms now);

/* Takes the GROUP that HOST, the leader or the candidate, has reported; empty
   where HOST does not know its group yet.  Returns what to do.  */
enum bb_election_action bb_election_on_hello (struct bb_election *e,
                                              const char *host,
                                              const char *group, bb_ms now);

/* Reports that the leader sent anything at RECEIVED_MS, be it part of a
   message.  */
void bb_election_on_received (struct bb_election *e, bb_ms received_ms);

/* Reports that the connection to HOST has ended or was given up.  */
void bb_election_on_close (struct bb_election *e, const char *host);

/* Notes that HOST is of another group, so that it is not asked again for 30 to
   60 s.  */
void bb_election_set_other_group (struct bb_election *e, const char *host,
                                  bb_ms now);
/* Whether HOST was found to be of another group, and is not to be asked again
   yet.  */
bool bb_election_is_other_group (const struct bb_election *e, const char *host,
                                 bb_ms now);

/* Discards all that is known of other hosts, after the process was paused: the
   agent leads no more until the next bb_election_tick finds that it does.  */
void bb_election_reset (struct bb_election *e);

#endif
