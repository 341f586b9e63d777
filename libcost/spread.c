/* Distributions in buckets of the binary logarithm: a fixed size for any
   number of values, sums of them are blends, and mean, quantiles and what
   follows a given length come from one state.  */

#include "internal.h"

#include <math.h>

enum
{
  PARTS = 4 /* into which a bucket is divided to compute means */
};

static const double upper_quantile = 0.9;

static double
sum_of (const float *weights, uint32_t count)
{
  double sum = 0;

  for (uint32_t k = 0; k < count; k++)
    sum += weights[k];
  return sum;
}

void
spread_add (const struct spread *s, float *weights, double value,
            double weight)
{
  double at = (value - s->low) * s->per_octave - 0.5;
  double clipped = fmin (fmax (at, 0), s->count - 1);
  uint32_t k = (uint32_t)fmin (clipped, s->count - 2);
  double part = clipped - k;

  weights[k] += (float)(weight * (1 - part));
  weights[k + 1] += (float)(weight * part);
}

void
spread_mix (struct spread *s, const float *weights, double weight)
{
  double sum = sum_of (weights, s->count);

  for (uint32_t k = 0; k < s->count && sum > 0; k++)
    s->weights[k] += weights[k] / sum * weight;
}

static double
normal_below (double x)
{
  return 0.5 * erfc (-x / M_SQRT2);
}

void
spread_mix_normal (struct spread *s, double mean, double deviation,
                   double weight)
{
  double below = 0;

  for (uint32_t k = 0; k < s->count; k++)
    {
      double bound = s->low + (k + 1) / s->per_octave;
      double next
          = k + 1 < s->count ? normal_below ((bound - mean) / deviation) : 1;
      s->weights[k] += (next - below) * weight;
      below = next;
    }
}

static double
total_of (const struct spread *s)
{
  double sum = 0;

  for (uint32_t k = 0; k < s->count; k++)
    sum += s->weights[k];
  return sum;
}

double
spread_quantile (const struct spread *s, double q)
{
  double left = q * total_of (s);
  uint32_t k = 0;

  while (k + 1 < s->count && left > s->weights[k])
    left -= s->weights[k++];
  return s->low
         + (k + (s->weights[k] > 0 ? fmin (left / s->weights[k], 1) : 0))
               / s->per_octave;
}

/* Adds WEIGHT, a part of 1 in all, at TOKENS to the points of E, of which
 *FILLED were reached before.  */
static void
fill_points (struct bb_cost_estimate *e, double *filled, double tokens,
             double weight)
{
  double left = weight * BB_COST_POINTS;

  while (left > 1e-9 && *filled < BB_COST_POINTS)
    {
      uint32_t i = (uint32_t)*filled;
      double part = fmin (left, i + 1 - *filled);
      e->points[i] += (float)(part * tokens);
      /* Without rounding, the end of a point is met exactly.  */
      *filled = part < left ? i + 1 : *filled + part;
      left -= part;
    }
}

static double
limited (const struct bb_cost_estimate *e, double tokens)
{
  double max = e->output_max_tokens;

  return fmax (max > 0 ? fmin (tokens, max) : tokens, 1);
}

void
spread_estimate (const struct spread *s, struct bb_cost_estimate *e)
{
  double total = total_of (s);
  double filled = 0;
  double last = 1;

  for (uint32_t i = 0; i < BB_COST_POINTS; i++)
    e->points[i] = 0;
  for (uint32_t k = 0; k < s->count * PARTS; k++)
    {
      double weight = s->weights[k / PARTS] / total / PARTS;
      double at = s->low + (k + 0.5) / PARTS / s->per_octave;
      if (weight <= 0)
        continue;
      last = limited (e, fmin (exp2 (at), BB_COST_OUTPUT_MAX));
      fill_points (e, &filled, last, weight);
    }
  fill_points (e, &filled, last, 1 - filled / BB_COST_POINTS);
  e->output_tokens = 0;
  for (uint32_t i = 0; i < BB_COST_POINTS; i++)
    e->output_tokens += (double)e->points[i] / BB_COST_POINTS;
  e->output_upper_tokens
      = fmax (limited (e, exp2 (spread_quantile (s, upper_quantile))),
              e->output_tokens);
}
