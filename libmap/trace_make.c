#include "bilberry/map.h"

#include <math.h>

/* Popularity of the experts of one layer.  */
struct popularity
{
  uint32_t experts;
  double *weight;         /* weight of each expert at the start of the trace */
  double *evening_weight; /* weight of each expert at the end of an evening
                             trace */
  double *log_drift;      /* logarithm of the drift factor of each weight */
  uint32_t sudden_at;
  uint32_t sudden_expert;
};

static const double drift_step = 0.02; /* standard deviation of the change of
                                          the logarithm in one interval */
static const double drift_reversion = 0.002; /* part of the logarithm that is
                                                lost in one interval */

const char *
bb_trace_kind_name (uint32_t kind)
{
  static const char *const names[BB_TRACE_KINDS]
      = { "steady", "drift", "evening", "sudden" };

  return kind < BB_TRACE_KINDS ? names[kind] : "unknown";
}

/* Returns an approximately normal random number with mean 0 and standard
   deviation 1: the sum of twelve uniform ones, shifted.  */
static double
normal_noise (GRand *rand)
{
  double sum = -6;

  for (int i = 0; i < 12; i++)
    sum += g_rand_double (rand);
  return sum;
}

static void
shuffle (double *values, uint32_t count, GRand *rand)
{
  for (uint32_t i = count; i > 1; i--)
    {
      uint32_t j = (uint32_t)g_rand_int_range (rand, 0, (gint32)i);
      double v = values[i - 1];
      values[i - 1] = values[j];
      values[j] = v;
    }
}

static void
popularity_init (struct popularity *p, uint32_t experts, double exponent,
                 uint32_t intervals, GRand *rand)
{
  p->experts = experts;
  p->weight = g_new (double, experts);
  p->log_drift = g_new0 (double, experts);
  for (uint32_t e = 0; e < experts; e++)
    p->weight[e] = pow (e + 1, -exponent);
  shuffle (p->weight, experts, rand);
  p->evening_weight = g_memdup2 (p->weight, experts * sizeof *p->weight);
  shuffle (p->evening_weight, experts / 2, rand);
  p->sudden_at = (uint32_t)g_rand_int_range (rand, (gint32)intervals / 4,
                                             (gint32)intervals * 3 / 4 + 1);
  p->sudden_expert = 0;
  for (uint32_t e = 1; e < experts; e++)
    if (p->weight[e] < p->weight[p->sudden_expert])
      p->sudden_expert = e;
}

static void
popularity_clear (struct popularity *p)
{
  g_free (p->weight);
  g_free (p->evening_weight);
  g_free (p->log_drift);
}

/* Returns the progress of the evening change, from 0 to 1.  It takes a tenth
   of the trace, around its middle.  */
static double
evening_fraction (uint32_t interval, uint32_t intervals)
{
  double x = ((double)interval / intervals - 0.45) / 0.1;

  return fmin (fmax (x, 0), 1);
}

static double
weight_at (struct popularity *p, enum bb_trace_kind kind, uint32_t e,
           uint32_t interval, uint32_t intervals, GRand *rand)
{
  double fraction = evening_fraction (interval, intervals);

  switch (kind)
    {
    case BB_TRACE_DRIFT:
      p->log_drift[e] += drift_step * normal_noise (rand)
                         - drift_reversion * p->log_drift[e];
      return p->weight[e] * exp (p->log_drift[e]);
    case BB_TRACE_EVENING:
      return p->weight[e] * (1 - fraction) + p->evening_weight[e] * fraction;
    case BB_TRACE_SUDDEN:
      return interval >= p->sudden_at && e == p->sudden_expert ? 1
                                                               : p->weight[e];
    default:
      return p->weight[e];
    }
}

static void
generate_row (struct popularity *p, enum bb_trace_kind kind, uint32_t interval,
              uint32_t intervals, uint32_t tokens, uint32_t *out, GRand *rand)
{
  double *w = g_new (double, p->experts);
  double total = 0;

  for (uint32_t e = 0; e < p->experts; e++)
    {
      w[e] = weight_at (p, kind, e, interval, intervals, rand);
      total += w[e];
    }
  for (uint32_t e = 0; e < p->experts; e++)
    {
      double mean = w[e] / total * tokens;
      out[e] = (uint32_t)fmax (
          0, round (mean + sqrt (mean) * normal_noise (rand)));
    }
  g_free (w);
}

struct bb_trace *
bb_trace_make (enum bb_trace_kind kind, double exponent,
               const struct bb_map_size *size, bb_ms interval_ms,
               uint32_t intervals, uint32_t tokens, GRand *rand)
{
  struct bb_trace *t = bb_trace_new (size, interval_ms, intervals);

  for (uint32_t l = 0; l < size->layers; l++)
    {
      struct popularity p;
      popularity_init (&p, size->experts, exponent, intervals, rand);
      for (uint32_t i = 0; i < intervals; i++)
        generate_row (&p, kind, i, intervals, tokens, bb_trace_at (t, i, l),
                      rand);
      popularity_clear (&p);
    }
  return t;
}
