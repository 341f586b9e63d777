/* Upstreams that step together fail together: while one rank is gone, all
   stall, and then all refuse.  */

#include "bilberry/load.h"

enum
{
  QUIET_MS = 400,         /* without progress: look closer */
  OUTAGE_USUAL_MS = 4000, /* until one has been seen */
  BACK_LEAST_MS = 300
};

static void
enter (struct bb_group_health *g, enum bb_group_health_state state, bb_ms now)
{
  if (g->state == state)
    return;
  g->state = state;
  g->state_since_ms = now;
  g->reported = false;
}

void
bb_group_record_progress (struct bb_group_health *g, bb_ms now)
{
  g->last_progress_ms = now;
  if (g->state == BB_GROUP_SUSPECT)
    enter (g, BB_GROUP_UP, now);
}

void
bb_group_record_down (struct bb_group_health *g, bb_ms now)
{
  enter (g, BB_GROUP_DOWN, now);
}

void
bb_group_record_report (struct bb_group_health *g, bool open, uint64_t step,
                        uint32_t in_flight, bb_ms now)
{
  /* The first report of a doubt is what later ones are held against.  */
  bool moves = (g->reported && step != g->reported_step) || in_flight == 0;

  g->reported_step = step;
  g->reported = true;
  if (!open)
    {
      bb_group_record_down (g, now);
      return;
    }
  if (g->state == BB_GROUP_DOWN)
    {
      bb_ms outage = now - g->state_since_ms;
      g->expected_outage_ms
          = g->outage_observed ? (g->expected_outage_ms + outage) / 2 : outage;
      g->outage_observed = true;
      enter (g, BB_GROUP_UP, now);
      g->last_progress_ms = now;
    }
  if (moves)
    bb_group_record_progress (g, now);
}

enum bb_group_health_state
bb_group_update_state (struct bb_group_health *g, uint32_t in_flight,
                       bb_ms now)
{
  if (in_flight == 0 && g->state != BB_GROUP_SUSPECT)
    g->last_progress_ms = now;
  if (g->state == BB_GROUP_UP && now - g->last_progress_ms > QUIET_MS)
    enter (g, BB_GROUP_SUSPECT, now);
  return g->state;
}

bb_ms
bb_group_recovery_ms (const struct bb_group_health *g, bb_ms now)
{
  bb_ms usual = g->outage_observed ? g->expected_outage_ms : OUTAGE_USUAL_MS;
  bb_ms left = g->state_since_ms + usual - now;

  return left > BACK_LEAST_MS ? left : BACK_LEAST_MS;
}
