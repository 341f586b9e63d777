/* Distributions of lengths, what is kept of them, and the choice among levels,
   for the files of libcost.  */

#ifndef LIBCOST_INTERNAL_H
#define LIBCOST_INTERNAL_H

#include "bilberry/cost.h"

#include <glib.h>

enum
{
  SPREAD_BUCKETS_MAX = 40,
  COST_LENGTH_BUCKETS = 40, /* two in an octave, from 1 token on */
  COST_RATIO_BUCKETS = 32,  /* four in an octave, from -4 to 4 octaves */
  /* Weight of what is known beforehand, in responses of a route.  */
  COST_PRIOR_WEIGHT = 32
};

/* A distribution over buckets of equal width in the binary logarithm.  Within
   a bucket it is even.  */
struct spread
{
  double low;        /* lower bound of the first bucket */
  double per_octave; /* buckets in one octave */
  uint32_t count;    /* of buckets */
  double weights[SPREAD_BUCKETS_MAX];
};

/* Adds WEIGHT at VALUE to WEIGHTS, the buckets of S: divided between the two
   nearest, so that the mean is kept.  */
void spread_add (const struct spread *s, float *weights, double value,
                 double weight);

/* Adds WEIGHTS, buckets as those of S, to S with WEIGHT in all.  */
void spread_mix (struct spread *s, const float *weights, double weight);

/* Adds a normal distribution with WEIGHT in all.  */
void spread_mix_normal (struct spread *s, double mean, double deviation,
                        double weight);

/* Returns quantile Q, 0 to 1, of S, which is not empty.  */
double spread_quantile (const struct spread *s, double q);

/* Sets the lengths of E to those of S, cut at E->output_max_tokens.  */
void spread_estimate (const struct spread *s, struct bb_cost_estimate *e);

/* What was learned for a route, or for a customer of a route.  */
struct cost_entry
{
  uint64_t key;
  GList link; /* in the order of use */
  bb_ms learned_ms;
  float lengths[COST_LENGTH_BUCKETS];
  float ratios[COST_RATIO_BUCKETS]; /* lengths relative to the regression */
  double given; /* of a customer: its weight in the route */
  /* Of a route: means, and sums of squares and products about them, of the
     hint and of length over hint, both as binary logarithms.  */
  double weight;
  double hint_mean;
  double hint_spread; /* mean deviation from the mean */
  double ratio_mean;
  double hint_square;
  double product;
};

/* A fixed number of entries.  */
struct cost_table
{
  GHashTable *entries; /* struct cost_entry by key */
  GQueue used;         /* the one that was learned last first */
  uint32_t max;
};

struct bb_cost_model
{
  struct cost_table routes;
  struct cost_table customers;
};

void cost_table_init (struct cost_table *t, uint32_t max);
void cost_table_clear (struct cost_table *t);

/* Returns the entry of KEY, NULL if there is none.  */
struct cost_entry *cost_table_find (const struct cost_table *t, uint64_t key);

/* Returns the entry of KEY, a new one if there is none.  The entry that was
   used least recently makes room for it.  */
struct cost_entry *cost_table_use (struct cost_table *t, uint64_t key,
                                   bb_ms now);

/* Returns the part of its weight that E has left at NOW.  */
double cost_weight_left (const struct cost_entry *e, bb_ms now);

/* Reduces the weights of E to those at NOW.  */
void cost_decay (struct cost_entry *e, bb_ms now);

/* Returns the weight of the COUNT buckets WEIGHTS.  */
double cost_weight_of (const float *weights, uint32_t count);

uint64_t cost_customer_key (const struct bb_cost_request *r);
double cost_log_of (double tokens);

/* Returns the length that HINT, a logarithm as the result, lets expect on
   ROUTE, which may be NULL, with the part LEFT of its weight.  */
double cost_regress (const struct cost_entry *route, double hint, double left);

/* What is known of the length of a request.  */
struct cost_view
{
  const struct cost_entry *route;    /* may be NULL */
  const struct cost_entry *customer; /* may be NULL */
  double route_left;
  double customer_left;
  bool hinted;
  double hint;   /* as a logarithm */
  double middle; /* to which the buckets of the ratios refer */
};

struct cost_view cost_view_of (const struct bb_cost_model *m,
                               const struct bb_cost_request *r, bb_ms now);

/* Return distributions of lengths, and of lengths by the hint, without
   weights.  */
struct spread cost_empty_lengths (void);
struct spread cost_empty_ratios (const struct cost_view *v);

/* Returns the distribution of the length: by the hint where HINTED, and by the
   customer where BY_CUSTOMER.  */
struct spread cost_blend (const struct cost_view *v,
                          const struct bb_engine *engine, bool hinted,
                          bool by_customer);

/* An upstream or a group to choose from.  */
struct level_item
{
  double level; /* cost of the request there */
  double width; /* usual requests that raise the level by a unit */
  bool own;     /* in the own failure domain */
  uint32_t index;
};

/* Returns one of ITEMS, an array of COUNT that it sorts and that is not empty,
   for a request beside UNSEEN others.  UNIT is by how much each raises a
   level.  *SHARE is set to the part of them that is expected there.  *DRAW, a
   uniform random number from 0 to 1, is replaced by one for a further
   choice.  */
const struct level_item *level_choose (struct level_item *items,
                                       uint32_t count, double unit,
                                       double unseen, double *draw,
                                       double *share);

#endif
