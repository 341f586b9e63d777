/* Ratio of the observed to the modelled duration of passes.

   All streams of a group get their events from the same passes, so the median
   of the intervals that end in a short window is the duration of one pass.  */

#include "bilberry/capacity.h"

#include <math.h>
#include <stdlib.h>

enum
{
  /* Half-life of what the ratio exceeds the present passes by.  Shifts of the
     experts' load are some seconds apart; with 2 s the ratio had fallen before
     the next one, which made all streams late (0053).  */
  HALF_LIFE_MS = 5000,

  /* How long the ratio stays at its peak before it decays.  A group with all
     that the limit allows needs as long until its streams have ended.  */
  HOLD_MS = 4000,

  /* One window decays the ratio by this time at most, so that a ratio is not
     forgotten while no stream runs.  */
  DECAY_MAX_MS = 500,

  STREAMS_MIN = 3,        /* of three, one slow stream is not the median */
  TICK_LATE_MS = 100,     /* time since the last tick that shows a delay */
  SLOW_CONFIRM_MS = 1000, /* longer than a held pass, and than most stalls */
  SLOW_WINDOWS_MIN = 3,
  OBSERVED_VALID_MS = 2000
};

/* Bounds of the ratio.  A rank five times slower at a skew of 2.5 gives 12.5;
   what is longer is a stall.  */
static const double ratio_min = 0.5;
static const double ratio_max = 16;

/* Skew 2.5, prompts and copies of weights (15 %) explain ratios up to it.  */
static const double usual_ratio_max = 4;

/* Part of the peak from which on a window counts as a peak too.  */
static const double peak_part = 0.95;

/* Largest change of the ratio by one message of a peer.  */
static const double merge_step = 1.05;

static bool
was_delayed (const struct bb_pace *p, bb_ms now)
{
#ifdef BB_MUTANT_pace_delay
  return false;
#endif
  return p->late_ms != 0 && now - p->late_ms < TICK_LATE_MS;
}

/* Notes that the process was delayed, where the last tick is long ago.  */
static void
check_delay (struct bb_pace *p, bb_ms now)
{
  if (p->tick_ms != 0 && now - p->tick_ms > TICK_LATE_MS)
    p->late_ms = now;
}

void
bb_pace_record (struct bb_pace *p, double interval_ms, bb_ms now)
{
  check_delay (p, now);
  p->intervals_ms[p->intervals_count % BB_PACE_SAMPLES_MAX]
      = (float)interval_ms;
  p->intervals_count++;
}

static int
compare_intervals (const void *a, const void *b)
{
  float x = *(const float *)a;
  float y = *(const float *)b;

  return (x > y) - (x < y);
}

/* Returns the median of those intervals of the open window that can be a pass
   of MODEL_MS; 0 where they are fewer than NEEDED.  */
static double
median_interval (const struct bb_pace *p, double model_ms, uint32_t needed)
{
  uint32_t count = MIN (p->intervals_count, BB_PACE_SAMPLES_MAX);
  float sorted[BB_PACE_SAMPLES_MAX];
  uint32_t n = 0;

  for (uint32_t i = 0; i < count; i++)
    if (p->intervals_ms[i] >= model_ms * ratio_min
        && p->intervals_ms[i] <= model_ms * ratio_max)
      sorted[n++] = p->intervals_ms[i];
#ifdef BB_MUTANT_pace_streams
  needed = 1;
#endif
  if (n < needed)
    return 0;
  qsort (sorted, n, sizeof *sorted, compare_intervals);
#ifdef BB_MUTANT_pace_median
  return sorted[n - 1];
#endif
  return sorted[n / 2];
}

/* Returns the mean of the requests per rank for SPAN_MS before the last
   tick.  */
static double
recent_requests (const struct bb_pace *p, double span_ms)
{
  uint32_t known = MIN (p->ticks, BB_PACE_TICKS_MAX);
  uint32_t n = MIN (1 + (uint32_t)(span_ms / BB_PACE_TICK_MS), known);
  double sum = 0;

#ifdef BB_MUTANT_pace_requests
  n = 1;
#endif
  for (uint32_t i = 1; i <= n; i++)
    sum += p->requests[(p->ticks - i) % BB_PACE_TICKS_MAX];
  return sum / n;
}

/* Returns the ratio of the window that closes at NOW; 0 where it shows
   none.  */
static double
window_ratio (const struct bb_pace *p, const struct bb_pass_model *m,
              bb_ms now)
{
  double model_ms = bb_pass_model_ms (m, recent_requests (p, 0));
  double window_ms = CLAMP ((double)(now - p->tick_ms), 0, TICK_LATE_MS);
  uint32_t passes = 1 + (uint32_t)(window_ms / model_ms);
  double pass_ms = median_interval (p, model_ms, STREAMS_MIN * passes);

  return pass_ms / bb_pass_model_ms (m, recent_requests (p, pass_ms));
}

/* Returns whether RATIO, that of a window, is to be used: one above the usual
   only after it has lasted.  */
static bool
is_confirmed (struct bb_pace *p, double ratio, bb_ms now)
{
  if (ratio <= usual_ratio_max)
    {
      p->slow_windows = 0;
      return true;
    }
  if (p->slow_windows++ == 0)
    p->slow_since_ms = now;
#ifdef BB_MUTANT_pace_stall
  return true;
#endif
  return p->slow_windows >= SLOW_WINDOWS_MIN
         && now - p->slow_since_ms >= SLOW_CONFIRM_MS;
}

/* Sets the ratio from a window of RATIO with N requests per rank.  */
static void
follow (struct bb_pace *p, double ratio, double n, bb_ms now)
{
  double age = MIN ((double)(now - p->ratio_ms), DECAY_MAX_MS);
  double before = p->ratio;

  p->ratio_ms = now;
  /* The rank that was slow is so no more.  */
  if (ratio <= usual_ratio_max && before > usual_ratio_max)
    {
      before = usual_ratio_max;
      p->peak_ms = now - HOLD_MS;
    }
#ifdef BB_MUTANT_pace_peak
  before = 0;
#endif
  if (ratio >= before * peak_part)
    p->peak_ms = now;
  if (ratio >= before)
    {
      p->ratio = ratio;
      p->ratio_requests = n;
      return;
    }
#ifndef BB_MUTANT_pace_hold
  if (now - p->peak_ms < HOLD_MS)
    {
      p->ratio = before;
      return;
    }
#endif
#ifndef BB_MUTANT_pace_load
  /* Passes with few requests tell little of those with many.  */
  if (n < p->ratio_requests)
    age *= n / p->ratio_requests;
#endif
  p->ratio = ratio + (before - ratio) * pow (0.5, age / HALF_LIFE_MS);
}

void
bb_pace_update (struct bb_pace *p, const struct bb_pass_model *m,
                double requests_per_rank, bb_ms now)
{
  double ratio = 0;

  check_delay (p, now);
  p->requests[p->ticks++ % BB_PACE_TICKS_MAX]
      = requests_per_rank > 0 ? (float)requests_per_rank : 0;
  if (bb_pass_model_is_known (m) && !was_delayed (p, now))
    ratio = window_ratio (p, m, now);
  p->intervals_count = 0;
  p->tick_ms = now;
  if (ratio <= 0)
    return;
  p->observed_ms = now;
  if (is_confirmed (p, ratio, now))
    follow (p, CLAMP (ratio, ratio_min, ratio_max), recent_requests (p, 0),
            now);
}

void
bb_pace_merge (struct bb_pace *p, double ratio, bb_ms now)
{
  double told = CLAMP (ratio, ratio_min, ratio_max);

  if (!isfinite (ratio) || bb_pace_is_observed (p, now))
    return;
#ifndef BB_MUTANT_pace_merge
  if (p->ratio > 0)
    told = CLAMP (told, p->ratio / merge_step, p->ratio * merge_step);
#endif
  p->ratio = told;
  p->ratio_requests = 0;
  p->ratio_ms = now;
}

double
bb_pace_ratio (const struct bb_pace *p, const struct bb_pass_model *m)
{
  return p->ratio > 0 ? p->ratio : m->prior_ratio;
}

bool
bb_pace_is_observed (const struct bb_pace *p, bb_ms now)
{
  return p->observed_ms != 0 && now - p->observed_ms <= OBSERVED_VALID_MS;
}
