#ifndef WORKSPACE_H
#define WORKSPACE_H

/* The working copy of a layer in a planner: the expert of each slot and the
   load that it gets.  */

#include "bilberry/map.h"

struct workspace
{
  const struct bb_layer_input *in;
  uint32_t slot_count; /* number of slots, ranks * slots */
  uint16_t *expert;    /* expert of each slot */
  double *slot_load;
  double *rank_load;
  /* Index of the slots that hold expert E: holders[first_holder[E]] up to, but
     not including, holders[first_holder[E + 1]].  */
  uint32_t *first_holder;
  uint32_t *holders;
};

/* Returns a workspace with the experts of LAYER; NULL: all slots are empty.
   IN must stay until workspace_free.  */
struct workspace *workspace_new (const struct bb_layer_input *in,
                                 const struct bb_map_layer *layer);
void workspace_free (struct workspace *w);
void workspace_copy (struct workspace *to, const struct workspace *from);

/* Splits the load of each expert over its replicas, as IN->split says.  The
   weighted split is iterative and takes at most SWEEPS passes over the
   experts.  */
void workspace_split (struct workspace *w, uint32_t sweeps);

/* Rebuilds the index of holders after a change of the experts.  */
void workspace_index (struct workspace *w);

/* Return the time of RANK and that of the slowest rank.  */
double workspace_rank_time (const struct workspace *w, uint32_t rank);
double workspace_max_time (const struct workspace *w);

/* Writes the experts, and their shares by the current split, to OUT.  */
void workspace_store (const struct workspace *w, struct bb_map_layer *out);

double rank_speed (const struct bb_layer_input *in, uint32_t rank);
bool workspace_rank_has (const struct workspace *w, uint32_t rank,
                         uint32_t expert);

/* Writes the layer REBUILT to OUT with its ranks permuted, so that fewer
   weights must move: each set of experts goes to the rank that has the most of
   them in CURRENT.  All ranks must be equally fast.  */
void relabel_ranks (const struct bb_map_size *size,
                    const struct bb_map_layer *current,
                    const struct bb_map_layer *rebuilt,
                    struct bb_map_layer *out);

enum
{
  SPLIT_SWEEPS = 400 /* limit on the sweeps of a split that is stored */
};

#endif
