#ifndef GROUP_RANK_H
#define GROUP_RANK_H

/* A rank that takes orders as the platform defines them, and what its agent
   records of them, for tests that play a group without processes.  */

#include "bilberry/group.h"

enum
{
  /* Places of the largest map that a rank of a test holds.  */
  GROUP_RANK_PLACES_MAX = 64
};

/* The engine of a rank.  */
struct group_rank
{
  uint64_t map_version;
  uint64_t prepared_version;
  uint64_t highest_version; /* highest version that it was ordered to
                               prepare */
  uint64_t armed_version;
  uint64_t armed_step;
  uint64_t held_step;
  uint64_t copying_version; /* 0: no copy is under way */
  bb_ms copy_end_ms;        /* when that copy ends, set by the caller */
  uint64_t fence;           /* highest fence seen */
  bool ignores_fences;      /* the platform does not fence */
  uint16_t map[GROUP_RANK_PLACES_MAX];  /* in use */
  uint16_t next[GROUP_RANK_PLACES_MAX]; /* prepared, or being copied */
};

/* What the agent of a rank records of the orders that it passes on.  */
struct group_agent
{
  uint64_t relayed_epoch;
  uint64_t relayed_version;
  uint32_t relayed_rank;
  bool relayed_accepted;
  uint32_t last_leader; /* BB_GROUP_NO_RANK: none */
  uint64_t disarmed_version;
  uint64_t fence_seen;
  uint64_t fence_accepted;
};

/* The group that a rank is part of.  */
struct group_clock
{
  uint64_t epoch;
  uint64_t step; /* the last pass that was begun */
};

/* Carries out O, with the PLACES of its MAP where it is a PREPARE, and returns
   the status.  A PREPARE that is begun has its copy end when group_rank_copied
   is called.  REPEAT_OK: a repeated PREPARE whose copy is under way gets 200,
   not 409.  LATE: O is carried out long after it came, without a check of its
   fence, as the platform does not say that it is checked again.  */
uint16_t group_rank_order (struct group_rank *k, const struct group_clock *c,
                           const struct bb_group_switch_order *o,
                           const uint16_t *map, uint32_t places,
                           bool repeat_ok, bool late);

/* Ends the copy that is under way.  */
void group_rank_copied (struct group_rank *k);

/* Begins pass C->step: uses the map that K is armed with for it.  */
void group_rank_begin_pass (struct group_rank *k, const struct group_clock *c);

/* Returns the state of K, reported by its agent A, with the EPOCH of C.  */
struct bb_group_switch_rank group_rank_state (const struct group_rank *k,
                                              const struct group_agent *a,
                                              const struct group_clock *c);

/* Records at A, the agent through which LEADER sends O to RANK, what it knows
   of O.  Returns false where it refuses O because of its fence.  */
bool group_agent_note (struct group_agent *a, uint32_t rank, uint32_t leader,
                       const struct bb_group_switch_order *o);

/* Records at A that RANK has accepted O, which A passed on to it.  */
void group_agent_note_accepted (struct group_agent *a, uint32_t rank,
                                const struct bb_group_switch_order *o);

#endif
