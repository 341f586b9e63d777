#ifndef MEMBER_RUN_H
#define MEMBER_RUN_H

/* Runs of many members in virtual time: membership, spread of configuration
   and a stand-in for the configuration service.  Invariants are asserted
   inside.  */

#include "bilberry/member.h"
#include "bilberry/sim.h"

struct member_run_options
{
  uint64_t seed;
  uint32_t members;
  uint32_t domains;
  uint32_t config_bytes;
  struct bb_sim_net net;
  bool naive; /* every member watches the service; no gossip */
};

struct run_node
{
  struct member_run *run;
  uint32_t index;
  struct bb_members *members; /* NULL: the process is down */
  GRand *rand;
  uint64_t active_revision;
  uint64_t generation; /* counts processes of this member */
  bb_ms up_since_ms;
  bb_ms paused_until_ms;
  bool call_pending; /* a call to the service is out */
  bool watching;     /* that call waits for a change */
  bb_ms next_call_ms;
  uint32_t side;
};

struct member_run
{
  struct member_run_options options;
  struct bb_sim *sim;
  struct bb_directory directory;
  struct run_node *nodes;
  struct bb_peer_keys keys;
  GPtrArray *event_args;     /* arguments of events, freed with the run */
  GPtrArray *published;      /* GBytes by revision - 1 */
  GArray *first_accepted_ms; /* bb_ms by revision - 1; -1: not yet */
  GArray *activation_ms;     /* uint32_t: time to in force of each member */
  bool service_down;
  bool service_stale;
  bool assert_deadline; /* in force within IN_FORCE_MS is asserted */
  bb_ms partition_changed_ms;
  uint64_t service_calls;
  uint64_t service_calls_this_second;   /* in the present second */
  uint64_t service_calls_peak;          /* in any second */
  struct bb_member_stats stopped_stats; /* of processes that are gone */
  uint64_t late_count;             /* members that were not in force in time */
  uint64_t invalid_revisions_mask; /* bit N: revision N + 1 has a fault */
};

enum
{
  ACTIVATION_MAX_MS = 3000
};

struct member_run *member_run_new (const struct member_run_options *o);
void member_run_free (struct member_run *r);

/* Lets MS pass.  */
void member_run_advance (struct member_run *r, bb_ms ms);

/* Publishes a new revision that differs from the last in a few bytes.
   Returns it.  */
uint64_t member_run_publish (struct member_run *r);

void member_run_stop (struct member_run *r, uint32_t i);
void member_run_start (struct member_run *r, uint32_t i);
void member_run_pause (struct member_run *r, uint32_t i, bb_ms ms);

/* Puts members whose failure domain is below DOMAINS on side 1; 0 heals.  */
void member_run_partition (struct member_run *r, uint32_t domains);

/* Whether all members that are up hold REVISION.  */
bool member_run_all_on_revision (const struct member_run *r,
                                 uint64_t revision);

/* Whether all members that are up believe all others that are up to be
   alive and, with GONE, those that are down to be gone.  */
bool member_run_all_agree (const struct member_run *r, bool check_down);

/* The share of pairs that are as above, of members that are up.  */
double member_run_agreement (const struct member_run *r);

/* Sums up what all present processes have counted.  */
struct bb_member_stats member_run_stats (const struct member_run *r);

#endif
