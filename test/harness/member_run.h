#ifndef MEMBER_RUN_H
#define MEMBER_RUN_H

/* Simulation of many members in virtual time, with a simulated network and
   configuration service.  Asserts at each activation that the content is as
   published and that the revision of a process only rises.  */

#include "bilberry/member.h"
#include "bilberry/sim.h"

struct member_run_options
{
  uint64_t seed;
  uint32_t members;
  uint32_t domains; /* failure domains; members are spread evenly */
  uint32_t config_bytes;
  struct bb_sim_net net;
  bool naive; /* no gossip: every member watches the service itself */
};

/* A member and the process that runs it.  */
struct run_node
{
  struct member_run *run;
  uint32_t index;
  struct bb_members *members; /* NULL: the process is down */
  GRand *rand;
  uint64_t active_revision;
  uint64_t generation; /* number of process starts */
  bb_ms up_since_ms;
  bb_ms paused_until_ms;
  bool call_pending;  /* a call to the service is unanswered */
  bool watching;      /* the service answers that call at the next change */
  bb_ms next_call_ms; /* earliest time of the next call */
  uint32_t side;      /* 0 or 1: side of the network partition */
};

struct member_run
{
  struct member_run_options options;
  struct bb_sim *sim;
  struct bb_directory directory;
  struct run_node *nodes;
  struct bb_peer_keys keys;
  GPtrArray *event_args;     /* allocated arguments of events */
  GPtrArray *published;      /* GBytes by revision - 1: the contents */
  GArray *first_accepted_ms; /* bb_ms by revision - 1: time of the first
                                activation at any member; -1: none yet */
  GArray *activation_ms; /* uint32_t: delay of each member after the first one
                            to activate the newest revision */
  bool service_down;     /* calls fail */
  bool service_stale;    /* answers with one of the last four revisions */
  bool assert_deadline;  /* assert that no member exceeds ACTIVATION_MAX_MS,
                            unless the partition changed lately */
  bb_ms partition_changed_ms; /* time of the last member_run_partition */
  uint64_t service_calls;
  uint64_t service_calls_this_second; /* calls in the current second */
  uint64_t service_calls_peak; /* highest number of calls in any second */
  struct bb_member_stats stopped_stats; /* totals of stopped processes */
  uint64_t late_count; /* activations that took over ACTIVATION_MAX_MS */
  uint64_t invalid_revisions_mask; /* bit N: members reject revision N + 1 */
};

enum
{
  ACTIVATION_MAX_MS = 3000 /* time limit for all members, from the first
                              activation of a revision */
};

/* Returns a run with the options O, in which all members are down.  */
struct member_run *member_run_new (const struct member_run_options *o);
void member_run_free (struct member_run *r);

/* Advances the virtual time by MS.  */
void member_run_advance (struct member_run *r, bb_ms ms);

/* Publishes a new revision, which differs from the last one in 96 bytes.
   Returns its number.  */
uint64_t member_run_publish (struct member_run *r);

/* Stops the process of member I; does nothing when it is down.  */
void member_run_stop (struct member_run *r, uint32_t i);

/* Starts a new process of member I, which must be down.  */
void member_run_start (struct member_run *r, uint32_t i);

/* Freezes the process of member I for MS.  */
void member_run_pause (struct member_run *r, uint32_t i, bb_ms ms);

/* Cuts the members in failure domains below DOMAINS off from the others.  0
   ends the partition.  */
void member_run_partition (struct member_run *r, uint32_t domains);

/* Returns whether REVISION is active at all members that are up.  */
bool member_run_all_on_revision (const struct member_run *r,
                                 uint64_t revision);

/* Returns whether each member that is up believes that all members that are up
   are alive or suspect and, with CHECK_DOWN, that all others are dead or have
   left.  */
bool member_run_all_agree (const struct member_run *r, bool check_down);

/* Returns the share, from 0 to 1, of correct beliefs: of all pairs of a member
   that is up and any member, those in which the first is right about the
   second.  */
double member_run_agreement (const struct member_run *r);

/* Returns the sum of the counters of all processes of the run, stopped ones
   included.  */
struct bb_member_stats member_run_stats (const struct member_run *r);

#endif
