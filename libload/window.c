#include "bilberry/load.h"

enum
{
  CHANGE_EVERY_MS = 150,
  LEAST = 2
};

/* Weight of one event in the smoothed pause.  */
static const double weight = 0.05;

/* Parts of the target beyond which fewer are let in, and below which more.  */
static const double high = 0.85;
static const double low = 0.7;

void
bb_window_init (struct bb_window *w, uint32_t slots)
{
  w->limit = slots;
  w->gap_ms = 0;
  w->changed_ms = 0;
}

void
bb_window_gap (struct bb_window *w, bb_ms gap_ms)
{
  if (w->gap_ms == 0)
    w->gap_ms = (double)gap_ms;
  w->gap_ms += ((double)gap_ms - w->gap_ms) * weight;
}

uint32_t
bb_window_limit (struct bb_window *w, bb_ms target_ms, uint32_t slots,
                 bool is_full, bb_ms now)
{
  if (target_ms > 0 && now - w->changed_ms >= CHANGE_EVERY_MS)
    {
      w->changed_ms = now;
      if (w->gap_ms > high * (double)target_ms)
        w->limit -= 1;
      else if (w->gap_ms < low * (double)target_ms && is_full)
        w->limit += 1;
    }
  if (w->limit < LEAST)
    w->limit = LEAST;
  if (w->limit > slots)
    w->limit = slots;
  return (uint32_t)w->limit;
}
