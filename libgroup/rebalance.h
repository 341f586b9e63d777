#ifndef LIBGROUP_REBALANCE_H
#define LIBGROUP_REBALANCE_H

/* The parts of the search for a map.  rebalance.c searches all sets and weighs
   what a map gains against what it costs; rebalance_change.c finds the best
   change of one set; rebalance_set.c holds the state of the search of one set.
   Each file calls only those named after it.  */

#include "bilberry/group.h"

/* The search of one set.  */
struct set_search
{
  const struct bb_group_size *size;
  const uint16_t *old_rows; /* rows of the set in the map in use */
  uint16_t *rows; /* rows of the set in the map being built, rank by rank */
  const double *loads;    /* load of each expert of the set */
  uint32_t *holders;      /* number of ranks that hold each expert */
  uint16_t *holder_ranks; /* [expert][0 to holders - 1]: these ranks */
  bool *held;             /* [rank][expert]: whether the rank holds it */
  bool *was_held; /* [rank][expert]: whether the rank holds it in the map in
                     use */
  double rank_load[BB_GROUP_RANKS_MAX];
  double rank_power[BB_GROUP_RANKS_MAX]; /* load_power of rank_load */
  /* Number of experts new at each rank.  */
  uint32_t new_experts[BB_GROUP_RANKS_MAX];
  double rank_load_mean;
};

/* Returns the 8th power of LOAD over the mean.  The sum of these powers over
   all ranks, which the search minimizes, depends mostly on the most loaded
   rank and falls as the loads even out.  */
static inline double
load_power (const struct set_search *c, double load)
{
  double x = load / c->rank_load_mean;

  x *= x;
  x *= x;
  return x * x;
}

/* Returns the places of RANK.  */
static inline const uint16_t *
set_search_row (const struct set_search *c, uint32_t rank)
{
  return c->rows + (size_t)rank * c->size->places;
}

static inline bool
set_search_holds (const struct set_search *c, uint32_t rank, uint16_t expert)
{
  return c->held[(size_t)rank * c->size->experts + expert];
}

/* Returns the ranks that hold EXPERT.  */
static inline const uint16_t *
set_search_holders (const struct set_search *c, uint16_t expert)
{
  return c->holder_ranks + (size_t)expert * c->size->ranks;
}

/* Whether RANK does not hold EXPERT in the map in use.  */
static inline bool
set_search_is_new (const struct set_search *c, uint32_t rank, uint16_t expert)
{
  return !c->was_held[(size_t)rank * c->size->experts + expert];
}

/* rebalance_set.c */
/* Computes the other fields of C from size, old_rows, rows and loads, which
   the caller has set.  */
void set_search_init (struct set_search *c);
/* Frees what set_search_init allocated.  */
void set_search_free (struct set_search *c);
/* Computes the load of each rank from the rows.  */
void set_search_sum_loads (struct set_search *c);
uint32_t set_search_most_loaded (const struct set_search *c);
/* Returns the load of the most loaded rank over the mean, or 1 where there is
   no load.  */
double set_search_skew (const struct set_search *c);
/* Puts EXPERT, or BB_PLACE_EMPTY, into PLACE of RANK.  Does not change the
   loads of ranks.  */
void set_search_put (struct set_search *c, uint32_t rank, uint32_t place,
                     uint16_t expert);

/* rebalance_change.c */
/* Makes the best single change that moves load off the most loaded rank, with
   at most NEW_EXPERTS_MAX new experts at a rank.  Returns false where none
   evens out the loads enough.  */
bool set_search_improve (struct set_search *c, uint32_t new_experts_max);

#endif
