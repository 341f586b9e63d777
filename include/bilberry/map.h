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
  BB_SHARE_WHOLE = 60000 /* all tokens of an expert */
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
                const struct bb_map_layer *present, uint32_t budget,
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
                        const struct bb_map *present, struct bb_map *next);

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
                   double usual_us);
double bb_speed_get (const struct bb_speed *s);

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
struct bb_trace *bb_trace_read (FILE *in, const char **why, uint32_t *line);

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

#endif
