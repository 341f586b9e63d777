#ifndef BILBERRY_SIM_H
#define BILBERRY_SIM_H

/* libsim - discrete-event simulation: an event queue in virtual time and a
   simulated network, for randomised tests.  Link with -lsim -lglib-2.0.

   Events that are due at the same time run in the order in which they were
   scheduled, so that a seed always gives the same run.  Nodes are numbered
   from 0.  Messages between them may be delayed, lost or duplicated, or
   dropped by a partition; random delays reorder them.  */

#include "bilberry/base.h"

#include <glib.h>

struct bb_sim;

typedef void bb_sim_fn (struct bb_sim *sim, void *arg);

/* Called when a message of SIZE bytes from node FROM arrives at node TO.  ARG
   is that of bb_sim_on_deliver.  */
typedef void bb_sim_deliver_fn (struct bb_sim *sim, uint32_t from, uint32_t to,
                                const void *data, size_t size, void *arg);

/* Delays and faults of the network.  The delay of each message is random
   between the minimum and the maximum.  */
struct bb_sim_net
{
  bb_ms delay_min_ms;
  bb_ms delay_max_ms;
  uint32_t loss_permille;      /* of 1000 messages, how many are lost */
  uint32_t duplicate_permille; /* of 1000 messages, how many are duplicated */
};

/* Returns a simulation of NODES nodes at time 0, whose network delays each
   message by 1 ms.  The caller frees it with bb_sim_free.  */
struct bb_sim *bb_sim_new (uint64_t seed, uint32_t nodes);
void bb_sim_free (struct bb_sim *sim);

/* Returns the virtual time in ms, from 0.  */
bb_ms bb_sim_now (const struct bb_sim *sim);

/* Returns the random number generator of the run, which all code of the run
   must use so that a seed gives the same run.  */
GRand *bb_sim_rand (struct bb_sim *sim);

/* Calls FN with ARG after DELAY_MS, 0 or more.  */
void bb_sim_schedule (struct bb_sim *sim, bb_ms delay_ms, bb_sim_fn *fn,
                      void *arg);

/* Calls FN with ARG after DELAY_MS, as a timer of NODE: dropped if NODE
   crashes before, deferred to the end of the pause if NODE is paused then.  */
void bb_sim_schedule_on_node (struct bb_sim *sim, uint32_t node,
                              bb_ms delay_ms, bb_sim_fn *fn, void *arg);

/* Runs the events up to and including the time UNTIL_MS, and advances the time
   to UNTIL_MS.  Returns the number of events run.  */
uint64_t bb_sim_run (struct bb_sim *sim, bb_ms until_ms);

/* Sets the delays and faults of messages sent from now on.  */
void bb_sim_set_net (struct bb_sim *sim, const struct bb_sim_net *net);

/* Sets the function that takes the messages of all nodes.  */
void bb_sim_on_deliver (struct bb_sim *sim, bb_sim_deliver_fn *fn, void *arg);

/* Sends a copy of the SIZE bytes at DATA from node FROM to node TO.  */
void bb_sim_send (struct bb_sim *sim, uint32_t from, uint32_t to,
                  const void *data, size_t size);

/* Crashes NODE: its timers and the messages on their way to it are dropped.
   It is up again at once and not paused; the caller resets its state.  */
void bb_sim_crash (struct bb_sim *sim, uint32_t node);

/* Pauses NODE for DURATION_MS from now: its timers and the messages to it are
   deferred to the end of the pause.  */
void bb_sim_pause (struct bb_sim *sim, uint32_t node, bb_ms duration_ms);

/* Moves NODE to the network partition PARTITION, 0 at first.  A message that
   arrives at a node of another partition than its sender's is dropped.  */
void bb_sim_set_partition (struct bb_sim *sim, uint32_t node,
                           uint32_t partition);

/* Numbers of messages since the start.  A duplicate counts as delivered or
   dropped by itself, but not as sent.  */
struct bb_sim_counts
{
  uint64_t sent;
  uint64_t sent_bytes;
  uint64_t delivered;
  uint64_t dropped;
};

struct bb_sim_counts bb_sim_counts (const struct bb_sim *sim);

#endif
