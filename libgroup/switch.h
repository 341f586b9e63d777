#ifndef LIBGROUP_SWITCH_H
#define LIBGROUP_SWITCH_H

/* The parts of a switch: switch.c goes through the one that this leader began,
   settle.c ends one that another left, ranks.c looks at the ranks and gives
   them orders.  Each calls only those after it.  */

#include "bilberry/group.h"

enum
{
  LEAD_FRESH_MS = 600,        /* an older state says nothing of now */
  LEAD_SETTLE_FRESH_MS = 250, /* the same, for a switch that is left over */
  LEAD_AGAIN_MS = 20,         /* an order without result is sent again; the
                                 group stands still meanwhile */
};

/* settle.c */
/* Ends a switch that another leader left.  */
void lead_settle (struct bb_group_switch *l, bb_ms now);
/* Has the ranks prepare the map in force under a newer version.  */
void lead_begin_clear (struct bb_group_switch *l, bb_ms now);
void lead_go_on_forwarding (struct bb_group_switch *l, bb_ms now);
void lead_go_on_clearing (struct bb_group_switch *l, bb_ms now);
void lead_go_on_disarming (struct bb_group_switch *l, bb_ms now);

/* ranks.c */
void lead_enter (struct bb_group_switch *l, enum bb_group_switch_phase phase,
                 bb_ms now);
bool lead_is_fresh (const struct bb_group_switch *l, uint32_t rank,
                    bb_ms age_ms, bb_ms now);
/* Whether all ranks, but for the missing one, are heard of lately in one
   epoch of an open group.  */
bool lead_is_whole (const struct bb_group_switch *l, bb_ms age_ms, bb_ms now);
bool lead_is_armed (const struct bb_group_switch *l, uint32_t rank);
/* Returns a rank that is armed for a pass that has not begun, or the number
   of ranks.  What the missing rank said before counts for nothing.  */
uint32_t lead_armed_rank (const struct bb_group_switch *l);
/* Returns a rank that is held, or the number of ranks.  */
uint32_t lead_held_rank (const struct bb_group_switch *l);
bool lead_is_clean (const struct bb_group_switch *l);
void lead_give (struct bb_group_switch *l, uint32_t rank,
                enum bb_group_switch_op op, uint32_t via, bb_ms now);
bool lead_is_due (const struct bb_group_switch *l, uint32_t rank,
                  bb_ms again_ms, bb_ms now);
/* Gives the order to each rank that has not carried it out, again after a
   while, by its own agent.  */
void lead_give_all (struct bb_group_switch *l, enum bb_group_switch_op op,
                    bb_ms again_ms, bb_ms now);
bool lead_all_done (const struct bb_group_switch *l);
/* Returns a version above all that are known.  It tells its leader: two that
   lead at one time must not use one version for two maps.  */
uint64_t lead_next_version (struct bb_group_switch *l);
void lead_begin_go (struct bb_group_switch *l, bb_ms now);

#endif
