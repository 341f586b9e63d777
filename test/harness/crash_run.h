#ifndef CRASH_RUN_H
#define CRASH_RUN_H

/* Randomised runs of the quarantine at edges: libadmit's detection and
   libload's isolation, in several edges and agents that exchange messages with
   random delays, before upstreams that some requests, or all requests with
   some part, crash.

   crash_run_edges.c   edges, agents and upstreams
   crash_run.c         callers, faults and the run  */

#include "bilberry/admit.h"
#include "bilberry/load.h"
#include "bilberry/sim.h"

enum
{
  EDGES_MAX = 11,
  AGENTS = 3,
  NODES_MAX = EDGES_MAX + AGENTS,
  UPSTREAMS_MAX = 24,
  RUN_MS = 40000,
  TICK_MS = 10,
  DETECT_MS = 2,      /* time until an edge knows that an upstream has ended */
  DOWN_MS = 2000,     /* how long an upstream is down */
  START_MS = 500,     /* time from the kill of an edge to its connections */
  IN_TOUCH_MS = 3000, /* an edge is in touch if it ran for so long */
  ATTEMPTS_MAX = 3,
  COMMON = 1, /* fingerprint that many callers send */
  POISON = 2,
  FIRST_UNIQUE = 3,
  FIRST_PART = 1000, /* of those that many requests share */
  SHARED_PARTS = 40,
  POISON_PART = 2000,
  FIRST_RARE_PART = 3000,
  FREE_CRASHES = 5, /* crashes of a part after which sends count as late */
  LATE_SENDS_MAX = 3
};

/* What happens in a run beside the request that crashes upstreams.  */
struct scenario
{
  bool kills;    /* of one edge, and of all at once */
  bool pauses;   /* of one edge */
  bool crashes;  /* of several upstreams at once, by another cause */
  bool all_gone; /* all edges and agents are killed at the same time, once */
  bool part; /* a part crashes upstreams, under requests no two alike, and not
                one request that is repeated */
};

struct run;

struct request
{
  struct run *run;
  uint32_t edge;
  uint64_t incarnation; /* of the edge */
  uint64_t number;
  uint64_t fingerprint;
  uint64_t prior_crash;
  uint64_t claimed; /* upstream; 0: none */
  uint64_t parts[2];
  uint64_t part_claimed; /* 0: none */
  uint32_t upstream;
  uint32_t tries;
  bool isolated;
  bool part_granted;  /* PART_CLAIMED is granted */
  bool sent_isolated; /* the last try was isolated */
  bool running;
};

struct edge
{
  struct bb_poison *poison;
  struct bb_parts *parts;
  struct bb_isolation *isolation;
  GPtrArray *waiting; /* struct request */
  uint64_t incarnation;
  bool up;
  bb_ms in_touch_at_ms;
};

struct upstream
{
  bb_ms up_at_ms;
  uint64_t boots;
  GPtrArray *running; /* struct request */
};

/* An edge of a run, and a node that tells it something.  */
struct told
{
  struct run *run;
  uint32_t from;
  uint32_t to;
};

struct run
{
  struct bb_sim *sim;
  struct scenario scenario;
  uint32_t edges_count;
  uint32_t upstreams_count;
  struct edge edges[NODES_MAX]; /* the last AGENTS ones only keep crashes */
  struct upstream upstreams[UPSTREAMS_MAX];
  uint64_t last_number;
  uint64_t last_fingerprint;
  uint32_t poison_crashes;
  bb_ms bound_ms; /* time of the third crash, with a part the fifth; 0: not yet
                   */
  uint32_t late_sends; /* of what crashes upstreams, by edges in touch, later
                          than IN_TOUCH_MS after the bound */
  uint32_t innocents_refused;
  uint32_t common_refused;
  uint32_t answered;
  GPtrArray *requests; /* all of the run, which owns them */
  GPtrArray *tries;    /* likewise, struct try */
  struct told ticks[EDGES_MAX];
};

/* A try of a request, for the event that ends it.  */
struct
try
  {
    struct request *request;
    uint32_t number;
  };

enum message_kind
{
  MESSAGE_CRASH,
  MESSAGE_USE,
  MESSAGE_PART_CRASH,
  MESSAGE_SOUND_PART
};

struct message
{
  enum message_kind kind;
  struct bb_crash crash;
  struct bb_part_crash part_crash;
  uint64_t key; /* of an isolation, or a sound part */
  enum bb_isolation_use use;
};

/* Plays a run of S with SEED in R, which the caller frees with crash_run_free.
   Prints the seed and what came out.  */
void crash_run_play (struct run *r, const struct scenario *s, uint64_t seed);
void crash_run_free (struct run *r);

/* For crash_run.c.  */

/* Returns how many edges and agents there are.  */
uint32_t crash_run_nodes (const struct run *r);
/* Returns the id of NODE as a member of libload's isolation.  */
uint64_t crash_run_member (uint32_t node);
/* Returns a random number below BELOW.  */
uint32_t crash_run_draw (struct run *r, uint32_t below);
/* Ends UPSTREAM, with all that runs there.  */
void crash_run_end_upstream (struct run *r, uint32_t upstream);
/* Event: the edge of ARG, a struct told, looks at its requests again.  */
void crash_run_on_tick (struct bb_sim *sim, void *arg);
/* Event: a message arrives.  ARG is the run.  */
void crash_run_receive (struct bb_sim *sim, uint32_t from, uint32_t to,
                        const void *data, size_t size, void *arg);

#endif
