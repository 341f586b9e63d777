/* Estimates costs from what was learned of output lengths.  Per route: the
   distribution of lengths, a regression of length on hint, both as logarithms,
   and the distribution of its errors.  Per customer of a route: the
   distributions only.  */

#include "internal.h"

#include <math.h>

/* Weight of a route for its customers, in responses of one: the mean of 16
   lengths that differ by half of it is known to one eighth.  */
static const double customer_weight = 16;
/* Deviation in octaves of lengths about typical ones and hints: a length of
   2.5 times the median is the longest of a hundred or so.  */
static const double prior_octaves = 0.6;

struct bb_cost_model *
bb_cost_model_new (void)
{
  struct bb_cost_model *m = g_new0 (struct bb_cost_model, 1);

  cost_table_init (&m->routes, BB_COST_ROUTES_MAX);
  cost_table_init (&m->customers, BB_COST_CUSTOMERS_MAX);
  return m;
}

void
bb_cost_model_free (struct bb_cost_model *m)
{
  if (!m)
    return;
  cost_table_clear (&m->routes);
  cost_table_clear (&m->customers);
  g_free (m);
}

uint32_t
bb_cost_model_size (const struct bb_cost_model *m)
{
  return g_hash_table_size (m->routes.entries)
         + g_hash_table_size (m->customers.entries);
}

uint64_t
cost_customer_key (const struct bb_cost_request *r)
{
  return r->route * 0x9e3779b97f4a7c15U
         + (r->customer << 1 | r->customer >> 63);
}

double
cost_log_of (double tokens)
{
  return log2 (CLAMP (tokens, 1, BB_COST_OUTPUT_MAX));
}

double
cost_regress (const struct cost_entry *route, double hint, double left)
{
  /* The regression isn't extended far beyond the hints that were seen, as a
     small error of the slope, which one customer can cause, is large there:
     two deviations of a normal distribution.  */
  static const double far_spreads = 2.5;
  double weight;
  double part;
  double slope;
  double far_max;
  double far;

  if (!route || route->weight <= 0)
    return hint;
  weight = route->weight * left;
  part = weight / (weight + COST_PRIOR_WEIGHT);
  slope = route->product * left
          / (route->hint_square * left + COST_PRIOR_WEIGHT);
  far_max = far_spreads * (route->hint_spread * part + 1 - part);
  far = CLAMP (hint - route->hint_mean, -far_max, far_max);
  return hint + route->ratio_mean * part + CLAMP (slope, -1, 0.25) * far;
}

struct cost_view
cost_view_of (const struct bb_cost_model *m, const struct bb_cost_request *r,
              bb_ms now)
{
  struct cost_view v = { 0 };

  v.route = cost_table_find (&m->routes, r->route);
  v.customer = cost_table_find (&m->customers, cost_customer_key (r));
  v.route_left = v.route ? cost_weight_left (v.route, now) : 0;
  v.customer_left = v.customer ? cost_weight_left (v.customer, now) : 0;
  v.hinted = r->output_tokens_hint > 0;
  v.hint = cost_log_of (r->output_tokens_hint);
  v.middle = v.hinted ? cost_regress (v.route, v.hint, v.route_left) : 0;
  return v;
}

struct spread
cost_empty_lengths (void)
{
  return (struct spread){ .per_octave = 2, .count = COST_LENGTH_BUCKETS };
}

struct spread
cost_empty_ratios (const struct cost_view *v)
{
  return (struct spread){ .low = v->middle - 4,
                          .per_octave = 4,
                          .count = COST_RATIO_BUCKETS };
}

static double
typical_output (const struct bb_engine *engine)
{
  return engine && engine->typical_output_tokens > 0
             ? engine->typical_output_tokens
             : 256;
}

struct spread
cost_blend (const struct cost_view *v, const struct bb_engine *engine,
            bool hinted, bool by_customer)
{
  struct spread s = hinted ? cost_empty_ratios (v) : cost_empty_lengths ();
  const float *route = NULL;
  const float *customer = NULL;
  double route_part = 0;
  double customer_part = 0;

  if (v->route)
    route = hinted ? v->route->ratios : v->route->lengths;
  if (v->customer && by_customer)
    customer = hinted ? v->customer->ratios : v->customer->lengths;
  if (customer)
    {
      double weight = cost_weight_of (customer, s.count) * v->customer_left;
      /* Squares, as even a small part of a route with other lengths would
         dominate the mean of a customer of short ones.  */
      customer_part = weight * weight
                      / (weight * weight + customer_weight * customer_weight);
      spread_mix (&s, customer, customer_part);
    }
  if (route)
    {
      double weight = cost_weight_of (route, s.count) * v->route_left;
      route_part = weight / (weight + COST_PRIOR_WEIGHT);
      spread_mix (&s, route, (1 - customer_part) * route_part);
    }
  spread_mix_normal (&s,
                     hinted ? v->middle
                            : cost_log_of (typical_output (engine))
                                  - prior_octaves * prior_octaves / 2 * M_LN2,
                     prior_octaves, (1 - customer_part) * (1 - route_part));
  return s;
}

static void
set_times (struct bb_cost_estimate *e, const struct bb_engine *engine)
{
  double context_ms = engine->context_ms_per_1k_tokens / 1000
                      * (e->prompt_tokens + e->output_tokens / 2);
  double own_ms = engine->sequence_ms + context_ms;

  if (engine->prompt_tokens_per_s > 0)
    e->prefill_ms = e->prompt_tokens * 1000 / engine->prompt_tokens_per_s;
  e->decode_token_ms = engine->step_ms / MAX (engine->slots, 1) + own_ms;
  e->decode_ms = e->output_tokens * e->decode_token_ms;
  e->alone_ms = e->prefill_ms + e->output_tokens * (engine->step_ms + own_ms);
  e->neighbor_ms = e->output_tokens * own_ms;
}

void
bb_cost_estimate (const struct bb_cost_model *m,
                  const struct bb_cost_request *r,
                  const struct bb_engine *engine, bb_ms now,
                  struct bb_cost_estimate *e)
{
  struct cost_view v = cost_view_of (m, r, now);
  struct spread s = cost_blend (&v, engine, v.hinted, true);

  *e = (struct bb_cost_estimate){ .prompt_tokens = r->prompt_tokens,
                                  .output_max_tokens = r->output_tokens_max };
  if (r->prompt_tokens == 0 && engine)
    e->prompt_tokens = engine->typical_prompt_tokens;
  spread_estimate (&s, e);
  e->memory_tokens = e->prompt_tokens + e->output_upper_tokens;
  if (engine)
    set_times (e, engine);
}

double
bb_cost_remaining (const struct bb_cost_estimate *e, double produced_tokens)
{
  /* Where the last three points are exceeded or nearly so, lengths are taken
     to go on as a power law through these points.  */
  const uint32_t tail = BB_COST_POINTS - 3;
  double spread = (double)e->points[BB_COST_POINTS - 1] / e->points[tail] - 1;
  double longer = produced_tokens * CLAMP (spread, 0.125, 1);
  double sum = 0;
  uint32_t count = 0;

  for (uint32_t i = 0; i < BB_COST_POINTS; i++)
    if (e->points[i] > produced_tokens)
      {
        sum += e->points[i] - produced_tokens;
        count++;
      }
  if (count > 0)
    sum /= count;
#ifndef BB_MUTANT_cost_tail
  if (count < BB_COST_POINTS - tail)
    sum = fmax (sum, longer);
#endif
  if (e->output_max_tokens > 0)
    sum = fmin (sum, e->output_max_tokens - produced_tokens);
  return fmax (sum, 1);
}
