#ifndef LIBGROUP_SWITCH_H
#define LIBGROUP_SWITCH_H

/* The parts of the map switch.  switch.c runs a switch that this leader began,
   and handles states, results and ticks; settle.c completes or revokes one
   that another leader left; fence.c keeps the generation number of the leader;
   ranks.c queries the states of the ranks and sends orders to them.  Each file
   calls only those named after it.  */

#include "bilberry/group.h"

enum
{
  STATE_MAX_AGE_MS = 600, /* an older state of a rank is not used */
  /* An older state is not used while settling.  */
  SETTLE_STATE_MAX_AGE_MS = 250,
  /* From one version or fence to the next one of the same leader.  */
  NUMBER_STRIDE = BB_GROUP_RANKS_MAX << 16,
  ORDER_RETRY_MS = 20 /* wait before an order without an answer is sent again;
                         short, as the group may stand still */
};

/* settle.c */
/* Decides how to end a switch that another leader left, and begins to.  Does
   nothing while too little is known.  */
void switch_settle (struct bb_group_switch *sw, bb_ms now);
/* Has the ranks prepare the map in use under a newer version, so that they
   refuse a late ARM of the revoked version.  */
void switch_begin_clearing (struct bb_group_switch *sw, bb_ms now);
/* Do what is due in the phases FORWARDING, REVOKING, CLEARING and
   DISARMING.  */
void switch_continue_forwarding (struct bb_group_switch *sw, bb_ms now);
void switch_continue_revoking (struct bb_group_switch *sw, bb_ms now);
void switch_continue_clearing (struct bb_group_switch *sw, bb_ms now);
void switch_continue_disarming (struct bb_group_switch *sw, bb_ms now);

/* fence.c */
/* Takes a fence above all known ones.  */
void switch_take_fence (struct bb_group_switch *sw, bb_ms now);
/* Whether all ranks but the missing one have accepted the fence of this leader
   before their state was read: no leader before it can change them since.  */
bool switch_all_fenced (const struct bb_group_switch *sw);
/* Sends the fence to the ranks that have not accepted it.  */
void switch_send_fences (struct bb_group_switch *sw, bb_ms now);
/* Takes the fences that the state K tells of.  */
void switch_update_fence (struct bb_group_switch *sw,
                          const struct bb_group_switch_rank *k, bb_ms now);
/* Takes the refusal of an order because of its fence.  */
void switch_handle_fenced (struct bb_group_switch *sw, bb_ms now);

/* ranks.c */
/* Gives the switch up for the reason WHY, a phrase for the log.  */
void switch_abandon (struct bb_group_switch *sw, const char *why, bb_ms now);
/* Marks the order of this phase as neither sent to any rank nor carried
   out.  */
void switch_forget_orders (struct bb_group_switch *sw);
/* Returns how many ranks have no agent that follows this leader.  Such an
   agent may follow another leader.  */
uint32_t switch_count_detached (const struct bb_group_switch *sw);
/* Enters PHASE at NOW, and marks its order as not sent to any rank.  */
void switch_enter_phase (struct bb_group_switch *sw,
                         enum bb_group_switch_phase phase, bb_ms now);
/* Whether the state of RANK is at most MAX_AGE_MS old, and says that the group
   is open and in the present epoch.  */
bool switch_is_fresh (const struct bb_group_switch *sw, uint32_t rank,
                      bb_ms max_age_ms, bb_ms now);
/* Whether switch_is_fresh is true of all ranks but the missing one.  */
bool switch_all_fresh (const struct bb_group_switch *sw, bb_ms max_age_ms,
                       bb_ms now);
/* Whether RANK is armed with a version that it does not use yet.  */
bool switch_is_armed (const struct bb_group_switch *sw, uint32_t rank);
/* Returns the first rank that is armed, or the number of ranks where none is.
   Skips the missing rank, whose state is out of date.  */
uint32_t switch_find_armed (const struct bb_group_switch *sw);
/* Returns the first rank that holds a pass, or the number of ranks where none
   does.  Skips the missing rank.  */
uint32_t switch_find_held (const struct bb_group_switch *sw);
/* Whether no rank is armed and none holds a pass.  */
bool switch_none_pending (const struct bb_group_switch *sw);
/* Sends order OP for the present switch to RANK, through the agent of rank
   VIA.  */
void switch_send_order (struct bb_group_switch *sw, uint32_t rank,
                        enum bb_group_switch_op op, uint32_t via, bb_ms now);
/* Returns the wait before the order of this phase is sent again to the ranks
   that have not carried it out, so that these orders stay within their share
   of the link.  */
bb_ms switch_round_retry_ms (const struct bb_group_switch *sw);
/* Whether the order of this phase was not sent to RANK in the last
   RETRY_MS.  */
bool switch_was_sent_before (const struct bb_group_switch *sw, uint32_t rank,
                             bb_ms retry_ms, bb_ms now);
/* Whether RANK has not carried out the order of this phase, and it was not
   sent in the last RETRY_MS.  */
bool switch_order_is_due (const struct bb_group_switch *sw, uint32_t rank,
                          bb_ms retry_ms, bb_ms now);
/* Sends order OP to each rank for which switch_order_is_due is true, through
   the agent of that rank.  */
void switch_send_due_orders (struct bb_group_switch *sw,
                             enum bb_group_switch_op op, bb_ms retry_ms,
                             bb_ms now);
/* Whether all ranks have carried out the order of this phase.  */
bool switch_all_done (const struct bb_group_switch *sw);
/* Returns a number above all known versions and fences, for either.  It
   carries the leader's rank and incarnation: two agents that lead at the same
   time, or one that leads again and has forgotten its versions, must not use
   one version for two maps.  */
uint64_t switch_next_number (struct bb_group_switch *sw);
/* Has the held rank go on.  */
void switch_begin_going (struct bb_group_switch *sw, bb_ms now);

#endif
