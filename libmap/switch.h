#ifndef SWITCH_H
#define SWITCH_H

/* Shared by the two halves of an agent: switch.c answers coordinators,
   lead.c is one.  */

#include "bilberry/map.h"

/* Adds a message from S to rank TO; a message to itself is taken at once.  */
void switch_send (struct bb_switch *s, uint32_t to, struct bb_map_switch *m,
                  bb_ms now, struct bb_switch_out *out);

/* lead.c */
void coordinator_start (struct bb_switch *s, bb_ms now,
                        struct bb_switch_out *out);
void coordinator_on_answer (struct bb_switch *s, const struct bb_map_switch *m,
                            bb_ms now, struct bb_switch_out *out);
/* A peer refused the ballot or has restarted.  */
void coordinator_on_refused (struct bb_switch *s,
                             const struct bb_map_switch *m, bb_ms now,
                             struct bb_switch_out *out);
void coordinator_tick (struct bb_switch *s, bb_ms now,
                       struct bb_switch_out *out);
void coordinator_stop (struct bb_switch *s);

enum
{
  BALLOT_ROUND_SHIFT = 40,
  BALLOT_RANK_SHIFT = 24
};

#endif
