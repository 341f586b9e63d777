#include "bilberry/map.h"

#include <math.h>
#include <stdlib.h>

/* A scalar Kalman filter for each expert.  Counts scatter as a Poisson law
   says; how fast popularity drifts is learnt from what scatters more.  */
struct bb_load_estimate
{
  struct bb_map_size size;
  struct bb_load_options options;
  bb_ms *taken_at; /* by layer; negative: no counts yet */
  double *drift;   /* by layer: relative variance that a ms adds */
  double *level;   /* [layer][expert], share of the layer's tokens */
  double *error;   /* variance of the level */
  double *trend;   /* change of the level in one ms */
};

/* A count this many deviations off is a jump, not drift.  */
static const double jump_deviations = 6;

/* A trend changes a level by this factor at the most.  */
static const double trend_factor = 2;

struct bb_load_estimate *
bb_load_estimate_new (const struct bb_map_size *size,
                      const struct bb_load_options *o)
{
  struct bb_load_estimate *l = g_new0 (struct bb_load_estimate, 1);
  size_t count = (size_t)size->layers * size->experts;

  l->size = *size;
  l->options = *o;
  l->taken_at = g_new (bb_ms, size->layers);
  l->drift = g_new0 (double, size->layers);
  l->level = g_new (double, count);
  l->error = g_new0 (double, count);
  l->trend = g_new0 (double, count);
  for (uint32_t i = 0; i < size->layers; i++)
    l->taken_at[i] = -1;
  for (size_t i = 0; i < count; i++)
    l->level[i] = 1.0 / size->experts;
  return l;
}

void
bb_load_estimate_free (struct bb_load_estimate *l)
{
  g_free (l->taken_at);
  g_free (l->drift);
  g_free (l->level);
  g_free (l->error);
  g_free (l->trend);
  g_free (l);
}

/* Takes share X of expert N, whose variance is SCATTER, seen SPAN_MS after the
   last one.  Returns the drift that X speaks for.  */
static double
update (struct bb_load_estimate *l, size_t n, double drift, double x,
        double scatter, double span_ms)
{
  double base = fmax (l->level[n], scatter);
  double expected = fmax (0, l->level[n] + l->trend[n] * span_ms);
  double off = x - expected;
  double told = (off * off - scatter - l->error[n]) / (base * base * span_ms);
  double fade = 1 - exp (-span_ms / (double)l->options.trend_ms);
  double gain;
  double next;

  l->error[n] += drift * base * base * span_ms;
  if (off * off > jump_deviations * jump_deviations * (l->error[n] + scatter))
    {
      l->error[n] = off * off;
      told = 0;
    }
  gain = l->error[n] / (l->error[n] + scatter);
  next = expected + gain * off;
  l->trend[n] += gain * fade * ((next - l->level[n]) / span_ms - l->trend[n]);
  l->level[n] = next;
  l->error[n] *= 1 - gain;
  return told;
}

static void
add_first (struct bb_load_estimate *l, size_t first, const uint32_t *tokens,
           double total)
{
  for (uint32_t e = 0; e < l->size.experts; e++)
    {
      l->level[first + e] = tokens[e] / total;
      l->error[first + e] = (tokens[e] + 1) / (total * total);
    }
}

bool
bb_load_estimate_add (struct bb_load_estimate *l, uint32_t layer,
                      const uint32_t *tokens, bb_ms at_ms)
{
  bb_ms last = l->taken_at[layer];
  size_t first = (size_t)layer * l->size.experts;
  double span_ms = (double)(at_ms - last);
  double total = 0;
  double told = 0;

  for (uint32_t e = 0; e < l->size.experts; e++)
    total += tokens[e];
  if (at_ms <= last || total <= 0)
    return false;
  l->taken_at[layer] = at_ms;
  if (last < 0)
    {
      add_first (l, first, tokens, total);
      return true;
    }
  for (uint32_t e = 0; e < l->size.experts; e++)
    told += update (l, first + e, l->drift[layer], tokens[e] / total,
                    (tokens[e] + 1) / (total * total), span_ms);
  told /= l->size.experts;
  l->drift[layer] += (1 - exp (-span_ms / (double)l->options.drift_ms))
                     * (told - l->drift[layer]);
  l->drift[layer] = fmax (0, l->drift[layer]);
  return true;
}

void
bb_load_estimate_at (const struct bb_load_estimate *l, bb_ms at_ms,
                     double *out)
{
  double fade = (double)l->options.trend_ms;

  for (uint32_t i = 0; i < l->size.layers; i++)
    {
      size_t first = (size_t)i * l->size.experts;
      double ahead = 0;
      double total = 0;
      if (l->taken_at[i] >= 0 && at_ms > l->taken_at[i])
        ahead = fade * (1 - exp (-(double)(at_ms - l->taken_at[i]) / fade));
      for (size_t n = first; n < first + l->size.experts; n++)
        {
          out[n] = fmin (fmax (l->level[n] + l->trend[n] * ahead,
                               l->level[n] / trend_factor),
                         l->level[n] * trend_factor);
          total += out[n];
        }
      for (size_t n = first; n < first + l->size.experts; n++)
        out[n] /= total;
    }
}

void
bb_speed_add (struct bb_speed *s, double load, double time_us, double usual_us)
{
  if (load <= 0 || time_us <= 0 || usual_us <= 0)
    return;
  s->samples[s->next] = load * usual_us / time_us;
  s->next = (s->next + 1) % BB_SPEED_SAMPLES;
  s->count = MIN (s->count + 1, BB_SPEED_SAMPLES);
}

static int
by_value (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

double
bb_speed_get (const struct bb_speed *s)
{
  double sorted[BB_SPEED_SAMPLES];

  /* A rank is as fast as the others until it has shown otherwise.  */
  if (s->count < BB_SPEED_SAMPLES)
    return 1;
  for (uint32_t i = 0; i < BB_SPEED_SAMPLES; i++)
    sorted[i] = s->samples[i];
  qsort (sorted, BB_SPEED_SAMPLES, sizeof *sorted, by_value);
  return fmin (fmax (sorted[BB_SPEED_SAMPLES / 2], 0.25), 4);
}
