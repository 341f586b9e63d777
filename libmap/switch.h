#ifndef SWITCH_H
#define SWITCH_H

/* Shared by the two roles of an agent: switch.c answers coordinators,
   coordinator.c is one.  */

#include "bilberry/map.h"

/* Sends M from S to rank TO: fills in sender and receiver and appends it to
   OUT.  A message to itself is handled at once instead.  */
void switch_send (struct bb_switch *s, uint32_t to, struct bb_map_switch *m,
                  bb_ms now, struct bb_switch_out *out);

/* Starts a new ballot with S as its coordinator, also where S was the
   coordinator of another.  */
void coordinator_start (struct bb_switch *s, bb_ms now,
                        struct bb_switch_out *out);
/* Handles the answer M to a request of the current phase; ignores others.  */
void coordinator_on_answer (struct bb_switch *s, const struct bb_map_switch *m,
                            bb_ms now, struct bb_switch_out *out);

/* Handles the refusal M of a request.  */
void coordinator_on_refused (struct bb_switch *s,
                             const struct bb_map_switch *m, bb_ms now,
                             struct bb_switch_out *out);

/* Resends unanswered requests and gives up a prepare phase that takes too
   long.  */
void coordinator_tick (struct bb_switch *s, bb_ms now,
                       struct bb_switch_out *out);

/* Ends the role of coordinator and drops the map wanted.  */
void coordinator_stop (struct bb_switch *s);

/* A ballot consists of the round, the rank of the coordinator and the low bits
   of its incarnation, from the highest bit down.  */
enum
{
  BALLOT_ROUND_SHIFT = 40,
  BALLOT_RANK_SHIFT = 24
};

#endif
