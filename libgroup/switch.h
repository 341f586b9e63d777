#ifndef LIBGROUP_SWITCH_H
#define LIBGROUP_SWITCH_H

/* The parts of a switch: switch.c goes through the one that this leader began,
   settle.c ends one that another left, ranks.c looks at the ranks and gives
   them orders.  Each calls only those after it.  */

#include "bilberry/group.h"

enum
{
  STATE_MAX_AGE_MS = 600,        /* an older state says nothing of now */
  SETTLE_STATE_MAX_AGE_MS = 250, /* the same, for a switch that is left over */
  ORDER_RETRY_MS = 20,           /* an order without result is sent again; the
                                   group stands still meanwhile */
};

/* settle.c */
/* Ends a switch that another leader left.  */
void switch_settle (struct bb_group_switch *sw, bb_ms now);
/* Has the ranks prepare the map in force under a newer version.  */
void switch_begin_clearing (struct bb_group_switch *sw, bb_ms now);
void switch_continue_forwarding (struct bb_group_switch *sw, bb_ms now);
void switch_continue_clearing (struct bb_group_switch *sw, bb_ms now);
void switch_continue_disarming (struct bb_group_switch *sw, bb_ms now);

/* ranks.c */
void switch_enter_phase (struct bb_group_switch *sw,
                         enum bb_group_switch_phase phase, bb_ms now);
bool switch_is_fresh (const struct bb_group_switch *sw, uint32_t rank,
                      bb_ms max_age_ms, bb_ms now);
/* Whether all ranks, but for the missing one, are heard of lately in one
   epoch of an open group.  */
bool switch_all_fresh (const struct bb_group_switch *sw, bb_ms max_age_ms,
                       bb_ms now);
bool switch_is_armed (const struct bb_group_switch *sw, uint32_t rank);
/* Returns a rank that is armed for a pass that has not begun, or the number
   of ranks.  What the missing rank said before counts for nothing.  */
uint32_t switch_find_armed (const struct bb_group_switch *sw);
/* Returns a rank that is held, or the number of ranks.  */
uint32_t switch_find_held (const struct bb_group_switch *sw);
bool switch_none_pending (const struct bb_group_switch *sw);
void switch_send_order (struct bb_group_switch *sw, uint32_t rank,
                        enum bb_group_switch_op op, uint32_t via, bb_ms now);
bool switch_order_is_due (const struct bb_group_switch *sw, uint32_t rank,
                          bb_ms retry_ms, bb_ms now);
/* Gives the order to each rank that has not carried it out, again after a
   while, by its own agent.  */
void switch_send_due_orders (struct bb_group_switch *sw,
                             enum bb_group_switch_op op, bb_ms retry_ms,
                             bb_ms now);
bool switch_all_done (const struct bb_group_switch *sw);
/* Returns a version above all that are known.  It tells its leader: two that
   lead at one time must not use one version for two maps.  */
uint64_t switch_next_version (struct bb_group_switch *sw);
void switch_begin_going (struct bb_group_switch *sw, bb_ms now);

#endif
