#ifndef ONCE_SIM_H
#define ONCE_SIM_H

/* Simulates the agents, entries, upstreams and callers of one pool in virtual
   time and injects faults, for tests and benchmarks of libonce.  */

#include "bilberry/once.h"
#include "bilberry/sim.h"

enum once_fault
{
  ONCE_FAULT_KILL = 1,       /* an agent dies and restarts after 50 ms */
  ONCE_FAULT_REPLACE = 2,    /* an agent dies and restarts after 0.5 to 6 s */
  ONCE_FAULT_PARTITION = 4,  /* nodes are split in two for 0.5 to 8 s */
  ONCE_FAULT_PAUSE = 8,      /* a process stops for 0.5 to 12 s and goes on */
  ONCE_FAULT_MEMBERS = 16,   /* a replica is added or removed */
  ONCE_FAULT_OUT = 32,       /* an agent is marked out of service, or back */
  ONCE_FAULT_NETWORK = 64,   /* messages are lost, duplicated, reordered */
  ONCE_FAULT_UPSTREAM = 128, /* an upstream refuses calls or fails in them */
  ONCE_FAULT_KILL_ALL = 256, /* all agents die at one time, entries do not */
  ONCE_FAULT_ENTRY = 512,    /* an entry dies and restarts after 200 ms */
  ONCE_FAULTS_ALL = 1023
};

struct once_sim_options
{
  uint64_t seed;
  uint32_t faults;         /* sum of enum once_fault */
  bb_ms fault_interval_ms; /* mean time between faults */
  uint32_t replicas;
  uint32_t entries;
  uint32_t keys;
  uint32_t candidates; /* candidate agents for each key */
  bool key_timestamps; /* calls carry the age of their key */
  bb_ms skew_ms; /* largest clock skew libonce allows for; 0: it ignores the
                    ages of keys */
};

/* Results over all keys.  The fields up to ran_twice count keys, each one
   once; the others count events.  */
struct once_sim_result
{
  uint32_t keys;
  uint32_t answered;        /* keys answered in any try */
  uint32_t in_doubt;        /* unanswered keys; a try may have run */
  uint32_t refused;         /* unanswered keys; all tries refused as not run */
  uint32_t ran;             /* keys that ran once or more */
  uint32_t ran_twice;       /* keys that ran more than once */
  uint32_t false_not_run;   /* refusals as not run of a call or key that ran */
  uint32_t outcome_changed; /* answers that differ from the one before */
  uint32_t conflicts;       /* sum of bb_once_stats.conflicts */
  uint64_t messages;        /* messages sent over the simulated network */
};

/* Runs the simulation that O describes and returns its result.  */
struct once_sim_result once_sim_run (const struct once_sim_options *o);

#endif
