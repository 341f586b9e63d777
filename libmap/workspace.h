#ifndef WORKSPACE_H
#define WORKSPACE_H

/* The layer that a planner works on, with the load of each slot.  */

#include "bilberry/map.h"

struct work
{
  const struct bb_layer_input *in;
  uint32_t slots_count; /* ranks * slots */
  uint16_t *expert;
  double *part; /* load of each slot */
  double *rank; /* load of each rank */
  /* Slots of each expert: those of e stand from first[e] to first[e + 1].  */
  uint32_t *first;
  uint32_t *holder;
};

/* split.c */
struct work *work_new (const struct bb_layer_input *in,
                       const struct bb_map_layer *layer);
void work_free (struct work *w);
void work_copy (struct work *to, const struct work *from);

/* Splits the load of all experts over their replicas.  SWEEPS bounds the
   work of the weighted split.  */
void work_split (struct work *w, uint32_t sweeps);

/* Brings the index of holders up to date with the experts.  */
void work_index (struct work *w);

/* Returns the time of RANK, and of the slowest one.  */
double work_time (const struct work *w, uint32_t rank);
double work_largest (const struct work *w);

/* Writes experts and shares to OUT.  */
void work_store (const struct work *w, struct bb_map_layer *out);

double speed_of (const struct bb_layer_input *in, uint32_t rank);
bool work_holds (const struct work *w, uint32_t rank, uint32_t expert);

/* relabel.c: gives the contents of the ranks of FRESH to those ranks that hold
   the most of them at PRESENT.  All ranks must be equally fast.  */
void relabel (const struct bb_map_size *size,
              const struct bb_map_layer *present,
              const struct bb_map_layer *fresh, struct bb_map_layer *out);

enum
{
  SPLIT_SWEEPS = 400 /* a split that is to be stored */
};

#endif
