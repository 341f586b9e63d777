#ifndef BILBERRY_SIM_H
#define BILBERRY_SIM_H

/* libsim - one timed event queue for all randomised runs in virtual time.
   Link with -lsim -lglib-2.0.

   Events of one time run in the order in which they were added, so a seed
   gives one run.  Nodes are numbered from 0; messages between them may be
   delayed, lost, doubled or cut off, and reorder by their delays.  */

#include "bilberry/base.h"

#include <glib.h>

struct bb_sim;

typedef void bb_sim_fn (struct bb_sim *sim, void *arg);

/* Called at node TO when a message of node FROM arrives.  */
typedef void bb_sim_deliver_fn (struct bb_sim *sim, uint32_t from, uint32_t to,
                                const void *data, size_t size, void *arg);

/* How the network treats messages.  */
struct bb_sim_net
{
  bb_ms delay_min_ms;
  bb_ms delay_max_ms;
  uint32_t loss_permille;
  uint32_t duplicate_permille;
};

struct bb_sim *bb_sim_new (uint64_t seed, uint32_t nodes);
void bb_sim_free (struct bb_sim *sim);

/* Returns the virtual time in ms, from 0.  */
bb_ms bb_sim_now (const struct bb_sim *sim);

/* Returns the generator of all randomness of the run.  */
GRand *bb_sim_rand (struct bb_sim *sim);

/* Runs FN after DELAY_MS.  */
void bb_sim_schedule (struct bb_sim *sim, bb_ms delay_ms, bb_sim_fn *fn,
                      void *arg);

/* Runs FN after DELAY_MS on behalf of NODE: dropped when NODE has crashed
   meanwhile, put off until it wakes when NODE is paused.  */
void bb_sim_schedule_on_node (struct bb_sim *sim, uint32_t node,
                              bb_ms delay_ms, bb_sim_fn *fn, void *arg);

/* Runs events up to and including the time UNTIL_MS.  Returns how many.  */
uint64_t bb_sim_run (struct bb_sim *sim, bb_ms until_ms);

void bb_sim_set_net (struct bb_sim *sim, const struct bb_sim_net *net);
void bb_sim_on_deliver (struct bb_sim *sim, bb_sim_deliver_fn *fn, void *arg);

/* Sends a copy of DATA from node FROM to node TO.  */
void bb_sim_send (struct bb_sim *sim, uint32_t from, uint32_t to,
                  const void *data, size_t size);

/* Crashes NODE: its timers and the messages under way to it are dropped.  It
   is up again at once; the caller resets its state.  */
void bb_sim_crash (struct bb_sim *sim, uint32_t node);

/* Freezes NODE until WAKE_MS from now: its timers and messages wait.  */
void bb_sim_pause (struct bb_sim *sim, uint32_t node, bb_ms duration_ms);

/* Puts NODE on SIDE of a partition; nodes on different sides are cut off.
   All nodes start on side 0.  */
void bb_sim_set_partition (struct bb_sim *sim, uint32_t node,
                           uint32_t partition);

/* Counts of messages since the start.  */
struct bb_sim_counts
{
  uint64_t sent;
  uint64_t sent_bytes;
  uint64_t delivered;
  uint64_t dropped;
};

struct bb_sim_counts bb_sim_counts (const struct bb_sim *sim);

#endif
