#ifndef BILBERRY_CAPACITY_H
#define BILBERRY_CAPACITY_H

/* libcapacity - how many requests a lock-step group can run so that no pass
   takes longer than the inter-token latency target.  The functions use no
   socket, no clock and no global state; the caller passes the time.
   Link with -lcapacity -lm.

   NOW and all points in time are in milliseconds of one monotonic clock.
   Numbers of requests are those of all edges together, as far as known.

   For each group a caller keeps a struct bb_pace and a struct bb_capacity,
   calls bb_pace_record for each event of a stream, and every BB_PACE_TICK_MS

     bb_pace_update (p, &model, in_flight / ranks, now);
     limit = bb_capacity_update (c, &load, bb_pace_ratio (p, &model), now);
 */

#include "bilberry/fleet.h"

enum
{
  BB_CAPACITY_NO_LIMIT = UINT32_MAX,
  BB_PACE_TICK_MS = 50,      /* time between two calls of bb_pace_update */
  BB_PACE_SAMPLES_MAX = 256, /* intervals kept of one window; further ones
                                replace the oldest */
  BB_PACE_TICKS_MAX = 32,    /* numbers of requests that are kept */
  BB_TARGETS_MAX = 8         /* different targets that are counted */
};

/* Duration of a pass by the published figures of an engine.  */
struct bb_pass_model
{
  double fixed_ms;    /* of a pass without requests */
  double request_ms;  /* that each request on the rank adds to a pass */
  double prior_ratio; /* ratio of observed to modelled time that is expected
                         while none was observed */
};

/* Returns the model of E, which may be NULL; one with a FIXED_MS of 0 where E
   does not describe a pass.  */
struct bb_pass_model bb_pass_model_of (const struct bb_engine *e);

/* Returns whether M describes a pass.  */
bool bb_pass_model_is_known (const struct bb_pass_model *m);

/* Returns the modelled duration of a pass, which is the time between two
   events of a stream, in milliseconds, with a mean of REQUESTS_PER_RANK.  */
double bb_pass_model_ms (const struct bb_pass_model *m,
                         double requests_per_rank);

/* Learned ratio of the observed to the modelled duration of the passes of one
   group.  It follows the slow passes of the last seconds, because one pass
   that takes longer than the target makes all streams late: it rises at once,
   and what it exceeds the present passes by decays with a half-life of 5 s.
   The decay is slower while fewer requests run than when it rose.  Starts as
   zeros.  */
struct bb_pace
{
  float intervals_ms[BB_PACE_SAMPLES_MAX]; /* of the open window */
  uint32_t intervals_count;                /* recorded in the open window */
  float requests[BB_PACE_TICKS_MAX]; /* ring: per rank, at the last ticks */
  uint32_t ticks;                    /* ticks so far */
  bb_ms tick_ms;                     /* time of the last tick */
  bb_ms late_ms;         /* when a delay of this process ended; 0: none */
  bb_ms observed_ms;     /* close of the last window with a ratio; 0: none */
  bb_ms slow_since_ms;   /* first of consecutive windows above the usual */
  uint32_t slow_windows; /* number of these */
  bb_ms ratio_ms;        /* when the ratio was last changed */
  double ratio_requests; /* per rank, when it last rose; 0: told by peers */
  bb_ms peak_ms;         /* when it last rose */
  double ratio;          /* 0: nothing observed or told yet */
};

/* Records that a stream of the group had an event INTERVAL_MS after the one
   before it.  The first event of a stream has no interval.  */
void bb_pace_record (struct bb_pace *p, double interval_ms, bb_ms now);

/* Closes the window of intervals since the last call.  REQUESTS_PER_RANK is
   the mean number of requests in flight per rank at NOW; the window is
   compared with the mean of those known for the duration of its passes.

   The ratio of a window is the median of its intervals divided by the modelled
   time.  A window with intervals of fewer than three streams is not used, so
   that one slow caller decides nothing.  These intervals are not used: those
   far above the model (16 times), which are stalls; those below half of it,
   which are events read together; and those of windows in which the calling
   process was itself delayed.  A ratio above 4, which is more than skew,
   prompts and copies of weights explain, is used only after it has lasted for
   a second: a held pass is over by then, a slow rank is not.  The first usual
   window after it shows that the slow rank is gone.  */
void bb_pace_update (struct bb_pace *p, const struct bb_pass_model *m,
                     double requests_per_rank, bb_ms now);

/* Takes the ratio RATIO that a peer has observed.  It is ignored while this
   process observes the group itself.  The first one is taken whole; each
   further one moves the ratio by 5 % at most, which leads to the median of
   the peers, so that one with wrong observations does not decide.  */
void bb_pace_merge (struct bb_pace *p, double ratio, bb_ms now);

/* Returns the ratio, from 0.5 to 16; the prior one of M where nothing was
   observed or told.  It is kept while no stream runs, also over a new
   formation of the group.  */
double bb_pace_ratio (const struct bb_pace *p, const struct bb_pass_model *m);

/* Returns whether this process has observed the ratio itself in the last 2 s.
   Only such a ratio is sent to peers, so that a told one does not circulate
   among them.  */
bool bb_pace_is_observed (const struct bb_pace *p, bb_ms now);

/* Rate of the requests with one target.  */
struct bb_target_rate
{
  bb_ms target_ms;       /* for the time between events; 0: none */
  double requests_per_s; /* any unit that is the same for all */
};

/* Decaying rates of the requests of a group by their target, with a half-life
   of 2 s.  Where there are more than BB_TARGETS_MAX targets, the one with the
   lowest rate is forgotten.  Starts as zeros.  */
struct bb_target_rates
{
  struct bb_target_rate rates[BB_TARGETS_MAX];
  uint32_t count;
  bb_ms decayed_ms; /* up to when the rates are decayed */
};

/* Counts REQUESTS requests of a route with TARGET_MS, 0 for none.  To be
   called where a request is sent to the group, so that a caller whose requests
   are rejected and who retries does not change the rates.  */
void bb_target_rates_add (struct bb_target_rates *r, bb_ms target_ms,
                          double requests, bb_ms now);

/* What decides the limit of a group, besides the ratio.  */
struct bb_capacity_load
{
  struct bb_pass_model model;
  uint32_t ranks;
  uint32_t slots; /* of all ranks together */
  const struct bb_target_rate *targets;
  uint32_t targets_count;
};

/* Limit of one group.  Starts as zeros.  */
struct bb_capacity
{
  bb_ms target_ms;  /* the target that binds; 0: none */
  uint32_t limit;   /* 0: never computed; otherwise as returned last */
  bb_ms limited_ms; /* when there was last a reason for a limit */
};

/* Returns how many requests the group may run, over all edges, or
   BB_CAPACITY_NO_LIMIT: the limit that bb_capacity_limit computes for the
   target that binds.

   Routes with different targets share each pass.  The target that binds is
   the one whose limit gives the highest sum of the rates, where a request that
   is late counts half, times the throughput under that limit relative to that
   of full slots; no target, thus no limit, competes with them.  A target that
   cannot be met with one request per rank, or whose limit is inactive, does
   not compete.  Another one replaces the one that binds only if its sum is
   higher by a tenth.

   A limit in force stays for 2 s after the last reason for it, because a
   group without a limit for one slow pass fills its slots, and all its streams
   are late until they end.  */
uint32_t bb_capacity_update (struct bb_capacity *c,
                             const struct bb_capacity_load *load, double ratio,
                             bb_ms now);

/* Returns whether bb_capacity_limit can return a limit for some ratio and
   target, where each rank has SLOTS_PER_RANK slots.  */
bool bb_capacity_can_limit (const struct bb_pass_model *m,
                            double slots_per_rank);

/* Returns the limit for TARGET_MS alone: the number of requests in a group of
   RANKS with SLOTS slots, of all ranks together, at which passes take the
   target less a margin of 4 %, by which the events of one pass are spread;
   from one per rank to SLOTS.

   Returns BB_CAPACITY_NO_LIMIT where a limit gains nothing:
   - M describes no pass, there is no target, no rank or no slot;
   - the target is met with all slots in use;
   - it cannot be met with one request per rank;
   - the limit costs more than half of the throughput of full slots, because a
     late answer is worth half;
   - with all slots in use the requests take less of a pass than its fixed
     part: then fewer requests shorten passes by less than the factor 1.5, by
     which they vary anyhow, before half of the throughput is lost.  */
uint32_t bb_capacity_limit (const struct bb_pass_model *m, double ratio,
                            bb_ms target_ms, uint32_t ranks, uint32_t slots);

#endif
