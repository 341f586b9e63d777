#ifndef WORKSPACE_H
#define WORKSPACE_H

/* The layer that a planner works on, with the load of each slot.  */

#include "bilberry/map.h"

struct workspace
{
  const struct bb_layer_input *in;
  uint32_t slot_count; /* ranks * slots */
  uint16_t *expert;
  double *slot_load; /* load of each slot */
  double *rank_load; /* load of each rank */
  /* Slots of each expert: those of e stand from first[e] to first[e + 1].  */
  uint32_t *first_holder;
  uint32_t *holders;
};

/* split.c */
struct workspace *workspace_new (const struct bb_layer_input *in,
                                 const struct bb_map_layer *layer);
void workspace_free (struct workspace *w);
void workspace_copy (struct workspace *to, const struct workspace *from);

/* Splits the load of all experts over their replicas.  SWEEPS bounds the
   work of the weighted split.  */
void workspace_split (struct workspace *w, uint32_t sweeps);

/* Brings the index of holders up to date with the experts.  */
void workspace_index (struct workspace *w);

/* Returns the time of RANK, and of the slowest one.  */
double workspace_rank_time (const struct workspace *w, uint32_t rank);
double workspace_max_time (const struct workspace *w);

/* Writes experts and shares to OUT.  */
void workspace_store (const struct workspace *w, struct bb_map_layer *out);

double rank_speed (const struct bb_layer_input *in, uint32_t rank);
bool workspace_rank_has (const struct workspace *w, uint32_t rank,
                         uint32_t expert);

/* relabel.c: gives the contents of the ranks of FRESH to those ranks that hold
   the most of them at PRESENT.  All ranks must be equally fast.  */
void relabel_ranks (const struct bb_map_size *size,
                    const struct bb_map_layer *current,
                    const struct bb_map_layer *rebuilt,
                    struct bb_map_layer *out);

enum
{
  SPLIT_SWEEPS = 400 /* a split that is to be stored */
};

#endif
