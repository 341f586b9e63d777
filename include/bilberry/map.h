#ifndef BILBERRY_MAP_H
#define BILBERRY_MAP_H

/* libmap - expert maps, which place the experts of a model on the ranks of a
   group: load estimate, planners, traces, and the protocol by which all ranks
   of a group switch from one map to the next.  Link with
   -lmap -lglib-2.0 -lm.

   The functions use no socket, no clock and no global state; the caller passes
   the time.  The same input gives the same output.  NOW, AT_MS and all points
   in time are in milliseconds of one monotonic clock, unless stated
   otherwise.  */

#include "bilberry/base.h"

#include <glib.h>
#include <stdio.h>

enum
{
  BB_NO_EXPERT = UINT16_MAX,
  BB_SHARE_TOTAL = 60000 /* sum of the shares of the replicas of an expert */
};

/* Dimensions of a map.  */
struct bb_map_size
{
  uint32_t layers;
  uint32_t experts; /* experts in each layer */
  uint32_t ranks;
  uint32_t slots; /* slots for experts, of each rank in each layer */
};

/* One layer of an expert map.  Both arrays have ranks * slots entries; slot I
   belongs to rank I / slots.  The tokens of an expert are split over its
   replicas in proportion to their shares, which add up to BB_SHARE_TOTAL.  */
struct bb_map_layer
{
  uint16_t *expert; /* BB_NO_EXPERT: an empty slot */
  uint16_t *share;
};

struct bb_map
{
  struct bb_map_size size;
  struct bb_map_layer *layers;
};

/* Returns a map in which expert E is on rank E modulo the number of ranks,
   without replicas.  The experts must fit the slots.  The caller frees the map
   with bb_map_free.  */
struct bb_map *bb_map_new (const struct bb_map_size *size);
struct bb_map *bb_map_copy (const struct bb_map *map);
void bb_map_free (struct bb_map *map);

/* bb_map_pack returns the experts and shares of MAP as *BYTES bytes in host
   byte order, which the caller frees with g_free.  bb_map_unpack returns the
   map packed into the BYTES bytes at DATA; NULL where their number does not
   fit SIZE or the map is not valid.  */
void *bb_map_pack (const struct bb_map *map, size_t *bytes);
struct bb_map *bb_map_unpack (const struct bb_map_size *size, const void *data,
                              size_t bytes);

/* Returns a hash of the size, the experts and the shares of MAP.  */
uint64_t bb_map_hash (const struct bb_map *map);

/* Returns whether each expert of each layer has a replica, no rank has two
   replicas of an expert in one layer, and the shares of each expert add up to
   BB_SHARE_TOTAL.  */
bool bb_map_is_valid (const struct bb_map *map);

/* Returns the number of expert weights, over all layers, that the ranks must
   load to change from the map OLD to the map NEXT.  */
uint32_t bb_map_moves (const struct bb_map *old, const struct bb_map *next);

/* How the tokens of an expert are split over its replicas.  */
enum bb_split
{
  BB_SPLIT_EVEN,    /* equally */
  BB_SPLIT_WEIGHTED /* in proportion to the shares of the map */
};

/* The input of a planner for one layer.  */
struct bb_layer_input
{
  struct bb_map_size size;
  enum bb_split split;
  const double *load;  /* load of each expert, in any unit, not negative */
  const double *speed; /* speed of each rank, 1 is normal; NULL: all equal */
  const uint32_t *domain; /* failure domain of each rank; NULL: only one */
  uint32_t moves_max;     /* weights that bb_planner_local may move; 0: no
                             limit */
};

/* Times of the ranks in one layer, in units of load divided by speed.  */
struct bb_layer_time
{
  double largest; /* time of the slowest rank */
  double mean;    /* total load divided by total speed */
};

/* Returns the times of the ranks with the placement LAYER.  */
struct bb_layer_time bb_layer_time (const struct bb_layer_input *in,
                                    const struct bb_map_layer *layer);

/* Returns a lower bound on the time of the slowest rank, for any placement:
   the larger of the mean time and the time that the fastest rank needs for the
   heaviest part of an expert that remains on one rank however the spare slots
   are used.  */
double bb_layer_bound (const struct bb_layer_input *in);

/* An algorithm that plans a layer.  PLAN writes the new layer to OUT, which
   has room for all slots.  CURRENT is the layer in force.  BUDGET limits how
   many candidate changes a search evaluates; the best layer found within it is
   the result.  */
struct bb_planner
{
  const char *name;
  void (*plan) (const struct bb_layer_input *in,
                const struct bb_map_layer *current, uint32_t budget,
                struct bb_map_layer *out);
};

/* Gives each spare slot to the expert with the largest load per replica, then
   places the replicas, heaviest first, on the rank that finishes first with
   it.  Ignores CURRENT and BUDGET.  */
extern const struct bb_planner bb_planner_greedy;

/* Fills one rank after another up to the mean time, with the lightest
   remaining experts and a part of the heaviest one.  Ignores CURRENT and
   BUDGET.  */
extern const struct bb_planner bb_planner_fill;

/* Local search from CURRENT.  Each change takes load off the slowest rank: it
   adds a replica elsewhere, in an empty slot or in the place of a replica of
   an expert that has several, or swaps two experts.  */
extern const struct bb_planner bb_planner_local;

/* All planners, terminated by NULL.  */
extern const struct bb_planner *const bb_planners[];

/* Cost of a change of the map, how long its gain lasts, and limits of a
   plan.  */
struct bb_plan_cost
{
  bb_ms horizon_ms;   /* expected time for which a moved weight is of use */
  bb_ms refresh_ms;   /* expected time until the shares are planned again */
  bb_ms pause_ms;     /* serving time lost to one switch */
  double move_ms;     /* serving time lost to each weight moved */
  uint32_t moves_max; /* weights that one switch may move, exceeded by at most
                         one for each layer; 0: no limit */
  bool shares_only;   /* move no weight, change only the shares */
  uint32_t budget;    /* candidate changes evaluated in each layer */
};

/* The result of a plan.  A skew is the time of the slowest rank divided by the
   mean time, each summed over all layers.  */
struct bb_plan
{
  bool worthwhile; /* the gain over the horizon exceeds the cost, and the gain
                      until the next refresh exceeds the pause */
  uint32_t moves;  /* weights that the planned map moves */
  double gain_ms;  /* serving time gained over the horizon */
  double cost_ms;  /* serving time lost to the switch and the moves */
  double skew_before;
  double skew_after; /* skew_before where the plan is not worthwhile */
  double skew_bound; /* lower bound for any map */
};

/* Plans all layers.  LOAD holds layers * experts loads; IN->load and
   IN->moves_max are ignored.  NEXT, a map of the same size, is set to the
   planned map where the plan is worthwhile, else to CURRENT.  */
struct bb_plan bb_plan (const struct bb_layer_input *in, const double *load,
                        const struct bb_plan_cost *cost,
                        const struct bb_map *current, struct bb_map *next);

/* A plan computed in steps, for an event loop that must not block for long. */
struct bb_planning;

/* Starts a plan; the arguments are those of bb_plan.  LOAD, CURRENT and the
   arrays of IN must stay until bb_planning_free; IN and COST are copied.  */
struct bb_planning *bb_planning_new (const struct bb_layer_input *in,
                                     const double *load,
                                     const struct bb_plan_cost *cost,
                                     const struct bb_map *current);

/* Plans one layer.  Returns false where none is left.  A plan that exceeds the
   limit on moves takes a second pass over all layers.  */
bool bb_planning_step (struct bb_planning *p);

/* Returns the result of the plan and sets NEXT, as bb_plan does.  To be called
   once bb_planning_step has returned false.  */
struct bb_plan bb_planning_result (const struct bb_planning *p,
                                   struct bb_map *next);
void bb_planning_free (struct bb_planning *p);

/* Estimates the load of each expert from token counts that arrive late and
   with gaps: a Kalman-filtered level, smoothed more the less popularity
   drifts, and a damped trend.  */
struct bb_load_estimate;

struct bb_load_options
{
  bb_ms drift_ms; /* time constant of the estimate of the drift rate */
  bb_ms trend_ms; /* time constant of the trend, also of its damping */
};

/* Returns an estimate without counts.  The caller frees it with
   bb_load_estimate_free.  */
struct bb_load_estimate *
bb_load_estimate_new (const struct bb_map_size *size,
                      const struct bb_load_options *o);
void bb_load_estimate_free (struct bb_load_estimate *l);

/* Adds the token counts of LAYER, one for each expert, gathered up to AT_MS.
   Returns false and ignores them where they are not newer than the last counts
   of the layer, or all 0.  */
bool bb_load_estimate_add (struct bb_load_estimate *l, uint32_t layer,
                           const uint32_t *tokens, bb_ms at_ms);

/* Writes the load expected at AT_MS to OUT, for layers * experts: each is a
   share of the tokens of its layer.  In a layer without counts all experts
   have the same load.  */
void bb_load_estimate_at (const struct bb_load_estimate *l, bb_ms at_ms,
                          double *out);

enum
{
  BB_SPEED_SAMPLES = 9
};

/* Speed of one rank relative to the others: the median of the last samples, so
   that a short stall of the rank does not change it.  Starts zeroed.  */
struct bb_speed
{
  double samples[BB_SPEED_SAMPLES];
  uint32_t count;
  uint32_t next; /* index of the next sample to replace */
};

/* Adds a sample: the rank took TIME_US for LOAD in a step, and a typical rank
   of the group takes REFERENCE_US for one unit of load.  Ignores a sample in
   which one of them is not positive.  */
void bb_speed_add (struct bb_speed *s, double load, double time_us,
                   double reference_us);

/* Returns the relative speed, from 0.25 to 4; 1 until there are
   BB_SPEED_SAMPLES samples.  */
double bb_speed_get (const struct bb_speed *s);

enum
{
  BB_TRACE_SIZE_MAX = 4096 /* layers, experts, ranks or slots of a trace */
};

/* Recorded popularity: token counts of each expert in each interval.
   bilberry-trace(5) describes the file format.  */
struct bb_trace
{
  struct bb_map_size size;
  bb_ms interval_ms;
  uint32_t intervals;
  uint32_t *tokens; /* [interval][layer][expert] */
};

/* Returns a trace whose counts are 0.  The caller frees it with
   bb_trace_free.  */
struct bb_trace *bb_trace_new (const struct bb_map_size *size,
                               bb_ms interval_ms, uint32_t intervals);
void bb_trace_free (struct bb_trace *t);

/* Returns the counts of the experts of LAYER in INTERVAL, both counted from
   0.  They belong to the trace.  */
uint32_t *bb_trace_at (const struct bb_trace *t, uint32_t interval,
                       uint32_t layer);

/* Writes T to OUT in the format of bilberry-trace(5).  */
void bb_trace_write (const struct bb_trace *t, FILE *out);

/* Reads a trace, which the caller frees with bb_trace_free.  On a syntax error
   it returns NULL and sets *ERROR to a constant message and *LINE to the
   number of the line; else *ERROR is NULL.  */
struct bb_trace *bb_trace_read (FILE *in, const char **error, uint32_t *line);

/* How popularity changes in a synthetic trace.  */
enum bb_trace_kind
{
  BB_TRACE_STEADY,  /* popularity does not change */
  BB_TRACE_DRIFT,   /* each expert follows a slow random walk */
  BB_TRACE_EVENING, /* half of the experts swap popularity with each other
                       within a tenth of the trace */
  BB_TRACE_SUDDEN,  /* the least popular expert becomes as popular as the most
                       popular one from one interval to the next */
  BB_TRACE_KINDS
};

/* Returns the name of KIND, "unknown" where there is no such kind.  */
const char *bb_trace_kind_name (uint32_t kind);

/* Generates a trace whose popularity follows Zipf's law with EXPONENT.  About
   TOKENS tokens fall on each layer in each interval, with random noise.  All
   random numbers come from RAND.  The caller frees the trace with
   bb_trace_free.  */
struct bb_trace *bb_trace_make (enum bb_trace_kind kind, double exponent,
                                const struct bb_map_size *size,
                                bb_ms interval_ms, uint32_t intervals,
                                uint32_t tokens, GRand *rand);

/* The switch of all ranks of a group from one map to the next: a protocol in
   the manner of Paxos in which every phase needs an answer from every rank.

   Each rank has an agent, which holds a struct bb_switch, beside the engine
   that runs the model in lock-step with the other ranks.  A value, struct
   bb_map_value, says which map is used from which step on, and which map
   before it.  Any agent may become the coordinator.  It takes a new ballot and
   goes through four phases, in which it asks all agents to

     lead     promise the ballot and report their state
     prepare  load the weights of the map
     accept   accept the value; until it is decided, the engine does not start
              the step from which it holds
     decide   mark the value as decided, so that the engine goes on

   docs/design/0031-map-switch.md says why this is safe.

   The messages are struct bb_map_switch.  VALUE is the proposed value; in a
   state message, the accepted one.  BALLOT is that of the coordinator; in a
   refusal, the highest one that the sender has promised.  MAP and GROUP are
   set and read by the caller.

   Messages may be lost, delayed, duplicated or reordered.  An agent that
   restarts takes a new incarnation; messages to an earlier one are refused. */

enum bb_switch_type
{
  BB_SWITCH_HELLO, /* tells the sender's incarnation and asks for the
                      receiver's */
  BB_SWITCH_LEAD,
  BB_SWITCH_STATE, /* the answer to BB_SWITCH_LEAD */
  BB_SWITCH_PREPARE,
  BB_SWITCH_PREPARED,
  BB_SWITCH_ACCEPT,
  BB_SWITCH_ACCEPTED,
  BB_SWITCH_DECIDE,
  BB_SWITCH_DECIDED,
  BB_SWITCH_REFUSED,
  BB_SWITCH_TYPES
};

/* Output of an event: messages to send, in order, and a map whose weights to
   load.  Zeroed before the event.  */
struct bb_switch_out
{
  struct bb_map_switch *messages;
  uint32_t count;
  uint32_t capacity;
  uint64_t load_hash; /* map whose weights to load; 0: nothing to load */
};

/* Frees the messages and zeroes OUT.  */
void bb_switch_out_clear (struct bb_switch_out *out);

/* Phase of a coordinator.  */
enum bb_switch_phase
{
  BB_SWITCH_IDLE, /* the agent is no coordinator */
  BB_SWITCH_LEADING,
  BB_SWITCH_PREPARING,
  BB_SWITCH_ACCEPTING,
  BB_SWITCH_DECIDING
};

/* State of one agent as known to the coordinator.  */
struct bb_switch_peer
{
  uint64_t incarnation; /* incarnation of the agent; 0: unknown */
  uint64_t accepted_ballot;
  struct bb_map_value accepted;
  struct bb_map_value in_force;
  uint64_t started;
  bool decided;
  bool answered; /* it has answered in the current phase */
};

/* State of an agent, kept by the engine beside it.  From it the engine derives
   which map a step uses and where to wait, and an agent that restarts while
   its engine runs on restores it.  Before each event, the caller copies
   STARTED from the engine; after it, the caller stores the other fields in the
   engine before it sends any message.  */
struct bb_switch_saved_state
{
  /* Ballot of the accepted value; 0: no value accepted.  */
  uint64_t accepted_ballot;
  struct bb_map_value accepted;
  struct bb_map_value in_force; /* the last value decided */
  uint64_t started;             /* last step that the engine has started */
  bool decided;                 /* ACCEPTED is decided */
};

/* An agent.  */
struct bb_switch
{
  uint32_t ranks;
  uint32_t self; /* rank of the agent */
  uint64_t incarnation;
  uint64_t promised_ballot; /* highest ballot promised */
  struct bb_switch_saved_state saved;
  uint64_t loaded_hash;    /* map whose weights are loaded */
  uint64_t prepare_ballot; /* ballot of the prepare message to answer once the
                              weights are loaded; 0: none */
  uint64_t prepare_hash;
  /* As coordinator.  */
  enum bb_switch_phase phase;
  uint64_t ballot;
  struct bb_map_value proposal;
  /* Value that was in force when the ballot began.  */
  struct bb_map_value fallback;
  uint64_t wanted_hash;   /* map to propose; 0: none */
  uint64_t first_hash;    /* map of a group where no rank has one */
  uint32_t margin_steps;  /* steps from the last one started to the one from
                             which a proposed map is used */
  uint64_t highest_round; /* highest round of all ballots seen */
  bb_ms resend_at;
  bb_ms prepare_deadline_at; /* when the prepare phase is given up */
  bb_ms takeover_at; /* when the agent becomes the coordinator; 0: not set */
  bb_ms takeover_delay_ms;      /* doubled at each takeover */
  struct bb_switch_peer *peers; /* states of the agents, by rank */
};

/* Starts the agent of rank SELF of RANKS without a saved state.  INCARNATION
   is new at each start and not 0.  FIRST_HASH is the map with which a group
   starts when no rank has one.  */
void bb_switch_init (struct bb_switch *s, uint32_t ranks, uint32_t self,
                     uint64_t incarnation, uint64_t first_hash);
void bb_switch_free (struct bb_switch *s);

/* Gives an agent just started the state M that its engine has kept.  */
void bb_switch_restore (struct bb_switch *s,
                        const struct bb_switch_saved_state *m);

/* Starts a switch to the map of HASH as coordinator.  Ignored where the agent
   is a coordinator already or has a value that is not decided.  */
void bb_switch_propose (struct bb_switch *s, uint64_t hash, bb_ms now,
                        struct bb_switch_out *out);

/* Handles the message M.  */
void bb_switch_receive (struct bb_switch *s, const struct bb_map_switch *m,
                        bb_ms now, struct bb_switch_out *out);

/* Reports that the weights of the map of HASH are loaded.  */
void bb_switch_loaded (struct bb_switch *s, uint64_t hash, bb_ms now,
                       struct bb_switch_out *out);

/* Sends hello to peers whose incarnation is unknown and resends what is
   unanswered.  An agent without a decided value that has waited for another
   coordinator for the takeover delay becomes the coordinator.  To be called
   every BB_SWITCH_TICK_MS.  */
void bb_switch_tick (struct bb_switch *s, bb_ms now,
                     struct bb_switch_out *out);

/* Returns whether a rank whose engine keeps M may start STEP.  If so, sets *ID
   to the value and *HASH to the map that the step uses.  */
bool bb_switch_may_start (const struct bb_switch_saved_state *m, uint64_t step,
                          uint64_t *id, uint64_t *hash);

enum
{
  BB_SWITCH_SAVED_STATE_TEXT_SIZE = 384
};

/* bb_switch_saved_state_print writes M to TEXT as one line of decimal numbers.
   bb_switch_saved_state_parse reads it back; it returns false where numbers
   are missing.  */
void bb_switch_saved_state_print (const struct bb_switch_saved_state *m,
                                  char text[BB_SWITCH_SAVED_STATE_TEXT_SIZE]);
bool bb_switch_saved_state_parse (const char *text,
                                  struct bb_switch_saved_state *m);

/* Returns whether the agent has a decided value and is no coordinator.  */
bool bb_switch_is_settled (const struct bb_switch *s);

enum
{
  BB_SWITCH_TICK_MS = 50,
  BB_SWITCH_RESEND_MS = 200,
  BB_SWITCH_PREPARE_TIMEOUT_MS = 600000, /* longest load of weights */
  BB_SWITCH_TAKEOVER_DELAY_MS = 1000,
  BB_SWITCH_TAKEOVER_DELAY_MAX_MS = 8000,
  /* Added to the takeover delay for each lower rank.  */
  BB_SWITCH_STAGGER_MS = 20,
  BB_SWITCH_MARGIN_STEPS = 16, /* margin, doubled if a rank is past the step */
  BB_SWITCH_MARGIN_MAX_STEPS = 1024
};

/* Rate limit on the loads of one group from the weight store.  Each group has
   a fixed part of the rate of the store, so groups need no coordination.  */
struct bb_weight_pace
{
  uint64_t bytes_per_s; /* rate that this group may load at */
  bb_ms free_at;        /* when the next load may start */
};

/* Starts the rate limit of one of GROUPS groups on a store that delivers
   BYTES_PER_S to all of them together.  The first load is delayed by a random
   time of less than SPREAD_MS, drawn from RAND, so that groups that plan at
   the same time do not load at the same time.  */
void bb_weight_pace_init (struct bb_weight_pace *p, uint64_t bytes_per_s,
                          uint32_t groups, bb_ms spread_ms, bb_ms now,
                          GRand *rand);

/* Reserves a load of BYTES bytes.  Returns when it may start.  */
bb_ms bb_weight_pace_reserve (struct bb_weight_pace *p, uint64_t bytes,
                              bb_ms now);

enum
{
  BB_FROM_STORE = UINT32_MAX /* no rank: load from the weight store */
};

/* Returns the rank from which RANK copies EXPERT: the one that has it in LAYER
   and has served the fewest copies so far; BB_FROM_STORE where no other rank
   has it.  SERVED holds the number of copies by rank; that of the returned one
   is incremented.  */
uint32_t bb_weight_source (const struct bb_map_size *size,
                           const struct bb_map_layer *layer, uint32_t rank,
                           uint32_t expert, uint32_t *served);

/* Fencing of the orders to an engine: stale ones are rejected.  Starts
   zeroed.  */
struct bb_fence
{
  uint64_t id; /* fencing token of the newest order accepted */
  uint64_t incarnation;
};

/* Returns whether to accept an order with the fencing token ID from the agent
   of INCARNATION.  Rejects it where a higher ID was accepted before, or the
   same ID from another incarnation.  */
bool bb_fence_accept (struct bb_fence *f, uint64_t id, uint64_t incarnation);

/* The groups of a pool take turns at moving weights: time is divided into
   slots of equal length, each owned by one group.

   Returns the index of the one of COUNT groups that owns SLOT, chosen by
   rendezvous hashing: the group whose hash with the slot is highest.  All that
   know the same groups agree, and a group that is added or removed changes
   only the slots that it owns.  */
uint32_t bb_turn_owner (const char *const *groups, uint32_t count,
                        uint64_t slot);

/* Returns whether GROUPS[SELF] may start a change now that takes NEED_MS: it
   owns the current slot, of SLOT_MS, at least GUARD_MS of the slot have
   passed, and at least GUARD_MS will be left at the end of the change.
   WALL_MS is the time of day; the clocks of the vms must agree within
   GUARD_MS.  */
bool bb_turn_is_open (const char *const *groups, uint32_t count, uint32_t self,
                      bb_ms wall_ms, bb_ms slot_ms, bb_ms guard_ms,
                      bb_ms need_ms);

#endif
