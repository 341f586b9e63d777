/* Ranks that run each pass in lockstep fail together: while one rank is gone,
   all of them stall at first and then refuse requests.  */

#include "bilberry/load.h"

enum
{
  NO_PROGRESS_MAX_MS = 400, /* the group is suspect after this */
  /* Expected length of an outage until one was observed.  */
  OUTAGE_DEFAULT_MS = 4000,
  RECOVERY_MIN_MS = 300
};

static void
set_state (struct bb_group_health *g, enum bb_group_health_state state,
           bb_ms now)
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
    set_state (g, BB_GROUP_UP, now);
}

void
bb_group_record_down (struct bb_group_health *g, bb_ms now)
{
  set_state (g, BB_GROUP_DOWN, now);
}

void
bb_group_record_report (struct bb_group_health *g, bool open, uint64_t step,
                        uint32_t in_flight, bb_ms now)
{
  /* The first report in a state is the baseline for the next ones.  */
  bool progressed
      = (g->reported && step != g->reported_step) || in_flight == 0;

  g->reported_step = step;
  g->reported = true;
  if (!open)
    {
      bb_group_record_down (g, now);
      return;
    }
  if (g->state == BB_GROUP_DOWN)
    {
      bb_ms outage_ms = now - g->state_since_ms;
      g->expected_outage_ms = g->outage_observed
                                  ? (g->expected_outage_ms + outage_ms) / 2
                                  : outage_ms;
      g->outage_observed = true;
      set_state (g, BB_GROUP_UP, now);
      g->last_progress_ms = now;
    }
  if (progressed)
    bb_group_record_progress (g, now);
}

enum bb_group_health_state
bb_group_update_state (struct bb_group_health *g, uint32_t in_flight,
                       bb_ms now)
{
  if (in_flight == 0 && g->state != BB_GROUP_SUSPECT)
    g->last_progress_ms = now;
  if (g->state == BB_GROUP_UP
      && now - g->last_progress_ms > NO_PROGRESS_MAX_MS)
    set_state (g, BB_GROUP_SUSPECT, now);
  return g->state;
}

bb_ms
bb_group_recovery_ms (const struct bb_group_health *g, bb_ms now)
{
  bb_ms expected_ms
      = g->outage_observed ? g->expected_outage_ms : OUTAGE_DEFAULT_MS;
  bb_ms remaining_ms = g->state_since_ms + expected_ms - now;

  return remaining_ms > RECOVERY_MIN_MS ? remaining_ms : RECOVERY_MIN_MS;
}
