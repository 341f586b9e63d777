#ifndef BILBERRY_MAP_H
#define BILBERRY_MAP_H

/* libmap - expert maps: load estimate, planner, traces and the switch of all
   ranks of a group from one map to the next.  Link with -lmap -lglib-2.0 -lm.

   A pure library: no socket, no clock, no global.  The same input gives the
   same output.  */

#include "bilberry/base.h"

#include <glib.h>
#include <stdio.h>

enum
{
  BB_NO_EXPERT = UINT16_MAX,
  BB_SHARE_TOTAL = 60000 /* all tokens of an expert */
};

/* Sizes of a group and its model.  */
struct bb_map_size
{
  uint32_t layers;
  uint32_t experts; /* of a layer */
  uint32_t ranks;
  uint32_t slots; /* of a rank and layer */
};

/* One layer of an expert map.  Slot i belongs to rank i / slots.  Tokens of
   an expert are split over its replicas by their shares, which add up to
   BB_SHARE_WHOLE.  */
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

/* Makes a map in which expert e stands on rank e modulo the ranks, without
   replicas.  The experts must fit the slots.  */
struct bb_map *bb_map_new (const struct bb_map_size *size);
struct bb_map *bb_map_copy (const struct bb_map *map);
void bb_map_free (struct bb_map *map);

/* Packs the experts and shares of MAP into bytes, which the caller frees, and
   makes a map of them; NULL where they do not fit SIZE.  */
void *bb_map_pack (const struct bb_map *map, size_t *bytes);
struct bb_map *bb_map_unpack (const struct bb_map_size *size, const void *data,
                              size_t bytes);

/* Returns a hash of the sizes, experts and shares of MAP.  */
uint64_t bb_map_hash (const struct bb_map *map);

/* Whether each expert of each layer has a replica, no rank holds an expert
   twice and the shares add up.  */
bool bb_map_is_valid (const struct bb_map *map);

/* Returns how many weights the ranks must load to come from OLD to NEXT.  */
uint32_t bb_map_moves (const struct bb_map *old, const struct bb_map *next);

/* How the tokens of an expert are split over its replicas.  */
enum bb_split
{
  BB_SPLIT_EVEN,    /* each replica takes the same */
  BB_SPLIT_WEIGHTED /* each replica takes its share of the map */
};

/* What one layer is planned for.  Planners that search from the present layer
   keep to MOVES_MAX weights; 0 sets no limit.  */
struct bb_layer_input
{
  struct bb_map_size size;
  enum bb_split split;
  const double *load;     /* of each expert, any unit, not negative */
  const double *speed;    /* of each rank, 1 is usual; NULL: all alike */
  const uint32_t *domain; /* failure domain of each rank; NULL: one */
  uint32_t moves_max;
};

/* Time of the slowest and of the mean rank, in units of load by speed.  */
struct bb_layer_time
{
  double largest;
  double mean;
};

/* Returns the times of the ranks on LAYER.  */
struct bb_layer_time bb_layer_time (const struct bb_layer_input *in,
                                    const struct bb_map_layer *layer);

/* Returns a time below which no map brings the slowest rank: the larger of
   the mean and the heaviest share that replication cannot split further.  */
double bb_layer_bound (const struct bb_layer_input *in);

/* One way to plan a layer.  PRESENT is the layer in force; OUT has room for
   all slots.  BUDGET bounds the candidates that are looked at; the best layer
   found until then is given.  */
struct bb_planner
{
  const char *name;
  void (*plan) (const struct bb_layer_input *in,
                const struct bb_map_layer *current, uint32_t budget,
                struct bb_map_layer *out);
};

/* Replicates the expert with the largest share until the slots are used and
   places the replicas longest first.  Pays no heed to the present map.  */
extern const struct bb_planner bb_planner_greedy;

/* Fills each rank up to the bound with its smallest experts and a piece of
   the largest.  Pays no heed to the present map.  */
extern const struct bb_planner bb_planner_fill;

/* Searches from the present map: adds a replica where it helps most, in place
   of one that is not needed.  */
extern const struct bb_planner bb_planner_local;

/* All planners, ended by NULL.  */
extern const struct bb_planner *const bb_planners[];

/* What a change costs, and how long its gain lasts.  */
struct bb_plan_cost
{
  bb_ms horizon_ms;   /* how long a moved weight is expected to serve */
  bb_ms refresh_ms;   /* how long shares are expected to serve */
  bb_ms pause_ms;     /* time lost by a switch */
  double move_ms;     /* time lost for each weight moved */
  uint32_t moves_max; /* weights of one switch; 0: no limit */
  bool shares_only;   /* no weight may move */
  uint32_t budget;    /* candidates for each layer */
};

/* A plan and what it is expected to bring.  */
struct bb_plan
{
  bool worthwhile; /* the gain exceeds the cost */
  uint32_t moves;
  double gain_ms; /* over the horizon */
  double cost_ms;
  double skew_before; /* largest over mean rank time, over all layers */
  double skew_after;
  double skew_bound;
};

/* Plans all layers.  LOAD holds layers * experts loads.  NEXT becomes the map
   to switch to; it is PRESENT where no change pays.  */
struct bb_plan bb_plan (const struct bb_layer_input *in, const double *load,
                        const struct bb_plan_cost *cost,
                        const struct bb_map *current, struct bb_map *next);

/* The same in steps, for a loop that has other work: each step plans a layer
   and returns false once there is none left.  LOAD and PRESENT must stay until
   the end.  */
struct bb_planning;

struct bb_planning *bb_planning_new (const struct bb_layer_input *in,
                                     const double *load,
                                     const struct bb_plan_cost *cost,
                                     const struct bb_map *current);
bool bb_planning_step (struct bb_planning *p);
struct bb_plan bb_planning_result (const struct bb_planning *p,
                                   struct bb_map *next);
void bb_planning_free (struct bb_planning *p);

/* Estimates the load of each expert from counts that come late and with
   gaps: a level, smoothed the more the less popularity drifts, and a damped
   trend.  */
struct bb_load_estimate;

struct bb_load_options
{
  bb_ms drift_ms; /* time constant of the speed of drift */
  bb_ms trend_ms; /* time constant of the trend */
};

struct bb_load_estimate *
bb_load_estimate_new (const struct bb_map_size *size,
                      const struct bb_load_options *o);
void bb_load_estimate_free (struct bb_load_estimate *l);

/* Takes the token counts of one layer that were gathered up to AT_MS.
   Returns false for counts older than those already taken.  */
bool bb_load_estimate_add (struct bb_load_estimate *l, uint32_t layer,
                           const uint32_t *tokens, bb_ms at_ms);

/* Writes the load expected at AT_MS for all layers, as a share of the layer's
   tokens, to OUT.  A layer without counts is taken as even.  */
void bb_load_estimate_at (const struct bb_load_estimate *l, bb_ms at_ms,
                          double *out);

enum
{
  BB_SPEED_SAMPLES = 9
};

/* Speed of one rank against the others.  The median of the last samples: a
   short stall of the rank changes nothing.  */
struct bb_speed
{
  double samples[BB_SPEED_SAMPLES];
  uint32_t count;
  uint32_t next;
};

/* Takes the time that a rank spent on LOAD in a step, where the group's usual
   rank spends USUAL_US for one unit of load.  */
void bb_speed_add (struct bb_speed *s, double load, double time_us,
                   double reference_us);
double bb_speed_get (const struct bb_speed *s);

enum
{
  BB_TRACE_SIZE_MAX = 4096 /* layers, experts, ranks or slots of a trace */
};

/* A recorded popularity: token counts of each expert, interval by interval.
   bilberry-trace(5) describes the file.  */
struct bb_trace
{
  struct bb_map_size size;
  bb_ms interval_ms;
  uint32_t intervals;
  uint32_t *tokens; /* [interval][layer][expert] */
};

struct bb_trace *bb_trace_new (const struct bb_map_size *size,
                               bb_ms interval_ms, uint32_t intervals);
void bb_trace_free (struct bb_trace *t);
uint32_t *bb_trace_at (const struct bb_trace *t, uint32_t interval,
                       uint32_t layer);
void bb_trace_write (const struct bb_trace *t, FILE *out);

/* Reads a trace.  NULL on a fault, told by *WHY and *LINE.  */
struct bb_trace *bb_trace_read (FILE *in, const char **error, uint32_t *line);

/* How popularity moves in a made trace.  */
enum bb_trace_kind
{
  BB_TRACE_STEADY,
  BB_TRACE_DRIFT,   /* each expert wanders slowly */
  BB_TRACE_EVENING, /* half of the experts change places within minutes */
  BB_TRACE_SUDDEN,  /* a cold expert becomes the hottest at once */
  BB_TRACE_KINDS
};

const char *bb_trace_kind_name (uint32_t kind);

/* Makes a trace whose popularity follows a Zipf law of EXPONENT; TOKENS fall
   on each layer and interval.  */
struct bb_trace *bb_trace_make (enum bb_trace_kind kind, double exponent,
                                const struct bb_map_size *size,
                                bb_ms interval_ms, uint32_t intervals,
                                uint32_t tokens, GRand *rand);

/* The switch of all ranks of a group from one map to the next.

   Each rank's agent holds a struct bb_switch.  A value says which map is used
   from which step on.  A coordinator, which any agent may become, asks all
   agents to promise its ballot (lead), to load the weights (prepare), to hold
   at the step of the value (accept) and to go on (decide).  Every phase needs
   every rank.  docs/design/0031-map-switch.md says why this is safe.

   The messages are struct bb_map_switch: VALUE is the one proposed, or in a
   state the one accepted, and BALLOT in a refusal the highest one promised.
   Their MAP and GROUP are the owner's to fill and read.

   Messages may be lost, late, doubled or out of order.  An agent that restarts
   draws a new incarnation; messages to an earlier one are refused.  */

enum bb_switch_type
{
  BB_SWITCH_HELLO, /* tells an incarnation and asks for the other's */
  BB_SWITCH_LEAD,
  BB_SWITCH_STATE,
  BB_SWITCH_PREPARE,
  BB_SWITCH_PREPARED,
  BB_SWITCH_ACCEPT,
  BB_SWITCH_ACCEPTED,
  BB_SWITCH_DECIDE,
  BB_SWITCH_DECIDED,
  BB_SWITCH_REFUSED,
  BB_SWITCH_TYPES
};

/* What to do after an event: messages to send, in order, and a map whose
   weights to load.  */
struct bb_switch_out
{
  struct bb_map_switch *messages;
  uint32_t count;
  uint32_t capacity;
  uint64_t load_hash; /* 0: nothing to load */
};

void bb_switch_out_clear (struct bb_switch_out *out);

enum bb_switch_phase
{
  BB_SWITCH_IDLE,
  BB_SWITCH_LEADING,
  BB_SWITCH_PREPARING,
  BB_SWITCH_ACCEPTING,
  BB_SWITCH_DECIDING
};

/* What a coordinator knows of one agent.  */
struct bb_switch_peer
{
  uint64_t incarnation; /* 0: not known */
  uint64_t accepted_ballot;
  struct bb_map_value accepted;
  struct bb_map_value in_force;
  uint64_t started;
  bool decided;
  bool answered; /* in the present phase */
};

/* What the engine beside the agent keeps.  It holds and changes maps by it,
   and an agent that restarts alone goes on from it.  The owner copies STARTED
   in before each event and gives the rest to the engine after it, before
   messages leave.  */
struct bb_switch_saved_state
{
  uint64_t accepted_ballot; /* 0: nothing */
  struct bb_map_value accepted;
  struct bb_map_value in_force; /* the last value decided */
  uint64_t started;
  bool decided; /* ACCEPTED is decided */
};

struct bb_switch
{
  uint32_t ranks;
  uint32_t self;
  uint64_t incarnation;
  uint64_t promised_ballot;
  struct bb_switch_saved_state saved;
  uint64_t loaded_hash;
  uint64_t prepare_ballot; /* answered once the weights are there */
  uint64_t prepare_hash;
  /* As coordinator.  */
  enum bb_switch_phase phase;
  uint64_t ballot;
  struct bb_map_value proposal;
  struct bb_map_value fallback; /* in force when the ballot began */
  uint64_t wanted_hash;         /* map to propose; 0: none */
  uint64_t first_hash;          /* map of a group that has none */
  uint32_t margin_steps;
  uint64_t highest_round; /* highest ballot count seen */
  bb_ms resend_at;
  bb_ms prepare_deadline_at;
  bb_ms takeover_at; /* when it leads itself; 0: nothing is amiss */
  bb_ms takeover_delay_ms;
  struct bb_switch_peer *peers; /* by rank */
};

/* Starts the agent of rank SELF of RANKS without memory.  FIRST_HASH is the
   map that a group starts with when no rank holds one.  */
void bb_switch_init (struct bb_switch *s, uint32_t ranks, uint32_t self,
                     uint64_t incarnation, uint64_t first_hash);
void bb_switch_free (struct bb_switch *s);

/* Gives a started agent the memory that its engine kept.  */
void bb_switch_restore (struct bb_switch *s,
                        const struct bb_switch_saved_state *m);

/* Asks for a switch to the map of HASH.  It is dropped when another switch is
   on its way.  */
void bb_switch_propose (struct bb_switch *s, uint64_t hash, bb_ms now,
                        struct bb_switch_out *out);
void bb_switch_receive (struct bb_switch *s, const struct bb_map_switch *m,
                        bb_ms now, struct bb_switch_out *out);

/* The weights of the map of HASH are loaded.  */
void bb_switch_loaded (struct bb_switch *s, uint64_t hash, bb_ms now,
                       struct bb_switch_out *out);

/* To be called every BB_SWITCH_TICK_MS.  */
void bb_switch_tick (struct bb_switch *s, bb_ms now,
                     struct bb_switch_out *out);

/* Whether a rank whose engine keeps M may start STEP, and on which value and
   map.  */
bool bb_switch_may_start (const struct bb_switch_saved_state *m, uint64_t step,
                          uint64_t *id, uint64_t *hash);

/* Prints M as one line of numbers; reads it back.  */
enum
{
  BB_SWITCH_SAVED_STATE_TEXT_SIZE = 384
};

void bb_switch_saved_state_print (const struct bb_switch_saved_state *m,
                                  char text[BB_SWITCH_SAVED_STATE_TEXT_SIZE]);
bool bb_switch_saved_state_parse (const char *text,
                                  struct bb_switch_saved_state *m);

/* Whether no switch is open here.  */
bool bb_switch_is_settled (const struct bb_switch *s);

enum
{
  BB_SWITCH_TICK_MS = 50,
  BB_SWITCH_RESEND_MS = 200,
  BB_SWITCH_PREPARE_TIMEOUT_MS = 600000, /* longest load of weights */
  BB_SWITCH_TAKEOVER_DELAY_MS = 1000,
  BB_SWITCH_TAKEOVER_DELAY_MAX_MS = 8000,
  BB_SWITCH_STAGGER_MS = 20, /* further patience for each rank */
  BB_SWITCH_MARGIN_STEPS = 16,
  BB_SWITCH_MARGIN_MAX_STEPS = 1024
};

/* Weights and turns.  */

/* Paces the loads of one group from the weight store.  Each group keeps to its
   share of the store's rate, so that groups need not agree.  */
struct bb_weight_pace
{
  uint64_t bytes_per_s; /* the group's share */
  bb_ms free_at;        /* when the next load may start */
};

/* Starts the pace of one of GROUPS groups on a store that gives BYTES_PER_S to
   all of them.  The first load waits up to SPREAD_MS, drawn from RAND, so that
   groups that plan at one time do not load at one time.  */
void bb_weight_pace_init (struct bb_weight_pace *p, uint64_t bytes_per_s,
                          uint32_t groups, bb_ms spread_ms, bb_ms now,
                          GRand *rand);

/* Books a load of BYTES.  Returns when it may start.  */
bb_ms bb_weight_pace_reserve (struct bb_weight_pace *p, uint64_t bytes,
                              bb_ms now);

enum
{
  BB_FROM_STORE = UINT32_MAX
};

/* Returns the rank from which RANK copies EXPERT: the holder on LAYER that has
   given away the fewest so far, counted in GIVEN by rank; BB_FROM_STORE where
   no other rank holds it.  */
uint32_t bb_weight_source (const struct bb_map_size *size,
                           const struct bb_map_layer *layer, uint32_t rank,
                           uint32_t expert, uint32_t *served);

/* Refuses orders to an engine that come late.  */
struct bb_fence
{
  uint64_t id; /* of the newest order taken */
  uint64_t incarnation;
};

/* Takes an order that carries ID and the INCARNATION of the agent that gave
   it; false when it is older than one taken before, or of the same id but
   from another agent.  */
bool bb_fence_accept (struct bb_fence *f, uint64_t id, uint64_t incarnation);

/* Returns which of COUNT groups of a pool may move weights in SLOT: the one
   whose hash with the slot is highest.  All who know the same groups agree,
   and a group more or less changes only the slots that it wins.  */
uint32_t bb_turn_owner (const char *const *groups, uint32_t count,
                        uint64_t slot);

/* Whether GROUPS[SELF] may start a change that takes NEED_MS: the slot of
   SLOT_MS is its own, and the change ends GUARD_MS before the next one and
   starts GUARD_MS after the last.  WALL_MS is the time of day, which VMs agree
   on within GUARD_MS.  */
bool bb_turn_is_open (const char *const *groups, uint32_t count, uint32_t self,
                      bb_ms wall_ms, bb_ms slot_ms, bb_ms guard_ms,
                      bb_ms need_ms);

#endif
