#include "bilberry/map.h"

#include <math.h>
#include <stdlib.h>

/* A scalar Kalman filter for each expert.  Its measurement noise is that of
   Poisson-distributed counts.  Its process noise, the rate at which popularity
   drifts, is estimated for each layer from the variance in excess of that.  */
struct bb_load_estimate
{
  struct bb_map_size size;
  struct bb_load_options options;
  /* Time of the last counts of each layer; negative: none.  */
  bb_ms *updated_at;
  double *drift;    /* for each layer: relative variance added by each ms */
  double *level;    /* [layer][expert]: share of the layer's tokens */
  double *variance; /* variance of the error of each level */
  double *trend;    /* change of each level in one ms */
};

/* A share this many standard deviations off the expected one is a jump and not
   drift: it replaces the level and does not raise the drift rate.  */
static const double jump_deviations = 6;

/* The trend changes a level by at most this factor, up or down.  */
static const double trend_factor_max = 2;

struct bb_load_estimate *
bb_load_estimate_new (const struct bb_map_size *size,
                      const struct bb_load_options *o)
{
  struct bb_load_estimate *l = g_new0 (struct bb_load_estimate, 1);
  size_t count = (size_t)size->layers * size->experts;

  l->size = *size;
  l->options = *o;
  l->updated_at = g_new (bb_ms, size->layers);
  l->drift = g_new0 (double, size->layers);
  l->level = g_new (double, count);
  l->variance = g_new0 (double, count);
  l->trend = g_new0 (double, count);
  for (uint32_t i = 0; i < size->layers; i++)
    l->updated_at[i] = -1;
  for (size_t i = 0; i < count; i++)
    l->level[i] = 1.0 / size->experts;
  return l;
}

void
bb_load_estimate_free (struct bb_load_estimate *l)
{
  g_free (l->updated_at);
  g_free (l->drift);
  g_free (l->level);
  g_free (l->variance);
  g_free (l->trend);
  g_free (l);
}

/* Updates the filter of expert N with the measured share X, whose variance is
   NOISE_VARIANCE, SPAN_MS after the last one.  DRIFT is the current drift
   rate.  Returns the drift rate that X alone suggests.  */
static double
update_expert (struct bb_load_estimate *l, size_t n, double drift, double x,
               double noise_variance, double span_ms)
{
  double scale = fmax (l->level[n], noise_variance);
  double expected = fmax (0, l->level[n] + l->trend[n] * span_ms);
  double innovation = x - expected;
  double drift_sample
      = (innovation * innovation - noise_variance - l->variance[n])
        / (scale * scale * span_ms);
  double trend_weight = 1 - exp (-span_ms / (double)l->options.trend_ms);
  double gain;
  double next;

  l->variance[n] += drift * scale * scale * span_ms;
  if (innovation * innovation
      > jump_deviations * jump_deviations * (l->variance[n] + noise_variance))
    {
      l->variance[n] = innovation * innovation;
      drift_sample = 0;
    }
  gain = l->variance[n] / (l->variance[n] + noise_variance);
  next = expected + gain * innovation;
  l->trend[n]
      += gain * trend_weight * ((next - l->level[n]) / span_ms - l->trend[n]);
  l->level[n] = next;
  l->variance[n] *= 1 - gain;
  return drift_sample;
}

static void
init_layer (struct bb_load_estimate *l, size_t first, const uint32_t *tokens,
            double total)
{
  for (uint32_t e = 0; e < l->size.experts; e++)
    {
      l->level[first + e] = tokens[e] / total;
      l->variance[first + e] = (tokens[e] + 1) / (total * total);
    }
}

bool
bb_load_estimate_add (struct bb_load_estimate *l, uint32_t layer,
                      const uint32_t *tokens, bb_ms at_ms)
{
  bb_ms last = l->updated_at[layer];
  size_t first = (size_t)layer * l->size.experts;
  double span_ms = (double)(at_ms - last);
  double total = 0;
  double drift_sample = 0;

  for (uint32_t e = 0; e < l->size.experts; e++)
    total += tokens[e];
  if (at_ms <= last || total <= 0)
    return false;
  l->updated_at[layer] = at_ms;
  if (last < 0)
    {
      init_layer (l, first, tokens, total);
      return true;
    }
  for (uint32_t e = 0; e < l->size.experts; e++)
    drift_sample
        += update_expert (l, first + e, l->drift[layer], tokens[e] / total,
                          (tokens[e] + 1) / (total * total), span_ms);
  drift_sample /= l->size.experts;
  l->drift[layer] += (1 - exp (-span_ms / (double)l->options.drift_ms))
                     * (drift_sample - l->drift[layer]);
  l->drift[layer] = fmax (0, l->drift[layer]);
  return true;
}

void
bb_load_estimate_at (const struct bb_load_estimate *l, bb_ms at_ms,
                     double *out)
{
  double trend_ms = (double)l->options.trend_ms;

  for (uint32_t i = 0; i < l->size.layers; i++)
    {
      size_t first = (size_t)i * l->size.experts;
      double ahead_ms = 0; /* damped: approaches trend_ms */
      double total = 0;
      if (l->updated_at[i] >= 0 && at_ms > l->updated_at[i])
        ahead_ms
            = trend_ms
              * (1 - exp (-(double)(at_ms - l->updated_at[i]) / trend_ms));
      for (size_t n = first; n < first + l->size.experts; n++)
        {
          out[n] = fmin (fmax (l->level[n] + l->trend[n] * ahead_ms,
                               l->level[n] / trend_factor_max),
                         l->level[n] * trend_factor_max);
          total += out[n];
        }
      for (size_t n = first; n < first + l->size.experts; n++)
        out[n] /= total;
    }
}

void
bb_speed_add (struct bb_speed *s, double load, double time_us,
              double reference_us)
{
  if (load <= 0 || time_us <= 0 || reference_us <= 0)
    return;
  s->samples[s->next] = load * reference_us / time_us;
  s->next = (s->next + 1) % BB_SPEED_SAMPLES;
  s->count = MIN (s->count + 1, BB_SPEED_SAMPLES);
}

static int
compare_values (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

double
bb_speed_get (const struct bb_speed *s)
{
  double sorted[BB_SPEED_SAMPLES];

  /* Too few samples for a median that ignores stalls.  */
  if (s->count < BB_SPEED_SAMPLES)
    return 1;
  for (uint32_t i = 0; i < BB_SPEED_SAMPLES; i++)
    sorted[i] = s->samples[i];
  qsort (sorted, BB_SPEED_SAMPLES, sizeof *sorted, compare_values);
  return fmin (fmax (sorted[BB_SPEED_SAMPLES / 2], 0.25), 4);
}
