/* Learns from the lengths of responses.  */

#include "internal.h"

#include <math.h>

/* Most weight of one customer in that of its route: below a tenth, so that it
   doesn't become the upper quantile.  */
static const double customer_share = 1.0 / 16;
/* By how many octaves above the median a response counts in a route; by how
   many, about the expected length and the mean of hints, it counts in the
   regression; and at most in the spread of hints.  */
static const double clip_octaves = 2.5;
static const double regression_octaves = 1;
static const double spread_octaves = 4;

/* Learns the logarithms HINT and LENGTH in the regression of ROUTE.  */
static void
learn_regression (struct cost_entry *route, double hint, double length,
                  double weight)
{
  double x = hint;
  double deviation;
  double ratio;
  double change;
  double error;

  if (route->weight <= 0)
    route->hint_mean = hint;
#ifndef BB_MUTANT_cost_clip
  x = CLAMP (hint, route->hint_mean - regression_octaves,
             route->hint_mean + regression_octaves);
#endif
  error = length - cost_regress (route, hint, 1);
#ifndef BB_MUTANT_cost_clip
  error = CLAMP (error, -regression_octaves, regression_octaves);
#endif
  ratio = cost_regress (route, x, 1) + error - x;
  deviation = fmin (fabs (hint - route->hint_mean), spread_octaves);
  route->weight += weight;
  route->hint_spread
      += (deviation - route->hint_spread) * weight / route->weight;
  change = x - route->hint_mean;
  route->hint_mean += change * weight / route->weight;
  route->hint_square += weight * change * (x - route->hint_mean);
  route->product += weight * change * (ratio - route->ratio_mean);
  route->ratio_mean += (ratio - route->ratio_mean) * weight / route->weight;
}

/* Returns LENGTH as it counts in a route with the distribution S.  */
static double
clip_length (const struct spread *s, double length)
{
#ifdef BB_MUTANT_cost_clip
  return length;
#endif
  return fmin (length, spread_quantile (s, 0.5) + clip_octaves);
}

static void
learn_route (struct cost_entry *route, const struct cost_view *v,
             const struct bb_engine *engine, double length, double weight)
{
  struct spread lengths;
  struct spread ratios;

  if (weight <= 0)
    return;
  lengths = cost_blend (v, engine, false, false);
  spread_add (&lengths, route->lengths, clip_length (&lengths, length),
              weight);
  if (!v->hinted)
    return;
  ratios = cost_blend (v, engine, true, false);
  spread_add (&ratios, route->ratios, clip_length (&ratios, length), weight);
  learn_regression (route, v->hint, length, weight);
}

static void
learn_customer (struct cost_entry *customer, const struct cost_view *v,
                double length, double weight)
{
  struct spread lengths = cost_empty_lengths ();
  struct spread ratios = cost_empty_ratios (v);

  spread_add (&lengths, customer->lengths, length, weight);
  if (v->hinted)
    spread_add (&ratios, customer->ratios, length, weight);
}

/* Returns the part of WEIGHT that CUSTOMER may still add to ROUTE.  */
static double
share_left (const struct cost_entry *route, const struct cost_entry *customer,
            double weight)
{
  double all = COST_PRIOR_WEIGHT
               + cost_weight_of (route->lengths, COST_LENGTH_BUCKETS);

#ifdef BB_MUTANT_cost_share
  return weight;
#endif
  return CLAMP (all * customer_share - customer->given, 0, weight);
}

static void
learn_length (struct cost_entry *route, struct cost_entry *customer,
              const struct cost_view *v, const struct bb_engine *engine,
              double length, double weight)
{
  double part = share_left (route, customer, weight);

  learn_customer (customer, v, length, weight);
  learn_route (route, v, engine, length, part);
  customer->given += part;
}

void
bb_cost_learn (struct bb_cost_model *m, const struct bb_cost_request *r,
               const struct bb_engine *engine, uint32_t output_tokens,
               enum bb_cost_end end, bb_ms now)
{
  bool bounded
      = end == BB_COST_CUT
        || (r->output_tokens_max > 0 && output_tokens >= r->output_tokens_max);
  struct bb_cost_request unlimited = *r;
  struct bb_cost_estimate e;
  struct cost_entry *route;
  struct cost_entry *customer;
  struct cost_view v;
  uint32_t first = 0;

  if (end == BB_COST_CUT && output_tokens == 0)
    return;
  unlimited.output_tokens_max = 0;
  bb_cost_estimate (m, &unlimited, engine, now, &e);
  route = cost_table_use (&m->routes, r->route, now);
  customer = cost_table_use (&m->customers, cost_customer_key (r), now);
  cost_decay (route, now);
  cost_decay (customer, now);
  v = cost_view_of (m, r, now);
#ifdef BB_MUTANT_cost_cut
  bounded = false;
#endif
  while (bounded && first < BB_COST_POINTS
         && e.points[first] <= (float)output_tokens)
    first++;
  if (!bounded || first == BB_COST_POINTS)
    {
      double more = bounded ? bb_cost_remaining (&e, output_tokens) : 0;
      learn_length (route, customer, &v, engine,
                    cost_log_of (output_tokens + more), 1);
      return;
    }
  for (uint32_t i = first; i < BB_COST_POINTS; i++)
    learn_length (route, customer, &v, engine, cost_log_of (e.points[i]),
                  1.0 / (BB_COST_POINTS - first));
}
