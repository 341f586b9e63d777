#ifndef ONCE_SIM_H
#define ONCE_SIM_H

/* Agents, entries, upstreams and callers of one pool in virtual time, for
   randomised runs and experiments with libonce.  */

#include "bilberry/once.h"
#include "bilberry/sim.h"

enum once_fault
{
  ONCE_FAULT_KILL = 1,       /* an agent dies and starts again at once */
  ONCE_FAULT_REPLACE = 2,    /* an agent's VM is replaced, down for a while */
  ONCE_FAULT_PARTITION = 4,  /* nodes are cut off from each other */
  ONCE_FAULT_PAUSE = 8,      /* a process is frozen and wakes */
  ONCE_FAULT_MEMBERS = 16,   /* a replica is added or removed */
  ONCE_FAULT_OUT = 32,       /* a failure domain is taken out and back */
  ONCE_FAULT_NETWORK = 64,   /* messages are lost, doubled, reordered */
  ONCE_FAULT_UPSTREAM = 128, /* an upstream refuses, or runs and fails */
  ONCE_FAULT_KILL_ALL = 256, /* all agents die at once; entries live on */
  ONCE_FAULT_ENTRY = 512,    /* an entry dies */
  ONCE_FAULTS_ALL = 1023
};

struct once_sim_options
{
  uint64_t seed;
  uint32_t faults;
  bb_ms fault_interval_ms;
  uint32_t replicas;
  uint32_t entries;
  uint32_t keys;
  uint32_t candidates; /* of a key */
  bool key_timestamps; /* keys carry their birth time */
  bb_ms skew_ms;       /* 0: birth times are not used */
};

/* How callers fared; a key counts once.  */
struct once_sim_result
{
  uint32_t keys;
  uint32_t answered; /* at the first or a later try */
  uint32_t in_doubt; /* the last try was refused in doubt or lost */
  uint32_t refused;  /* the last try was refused as not run */
  uint32_t ran;
  uint32_t ran_twice;       /* ran more than once */
  uint32_t false_not_run;   /* refused as not run, though it ran */
  uint32_t outcome_changed; /* a repeat got another outcome */
  uint32_t conflicts;
  uint64_t messages;
};

struct once_sim_result once_sim_run (const struct once_sim_options *o);

#endif
