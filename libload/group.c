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
enter (struct bb_group_watch *g, enum bb_group_state state, bb_ms now)
{
  if (g->state == state)
    return;
  g->state = state;
  g->since_ms = now;
  g->reported = false;
}

void
bb_group_progress (struct bb_group_watch *g, bb_ms now)
{
  g->progress_ms = now;
  if (g->state == BB_GROUP_DOUBTFUL)
    enter (g, BB_GROUP_OPEN, now);
}

void
bb_group_broke (struct bb_group_watch *g, bb_ms now)
{
  enter (g, BB_GROUP_BROKEN, now);
}

void
bb_group_reported (struct bb_group_watch *g, bool open, uint64_t step,
                   uint32_t in_flight, bb_ms now)
{
  /* The first report of a doubt is what later ones are held against.  */
  bool moves = (g->reported && step != g->step) || in_flight == 0;

  g->step = step;
  g->reported = true;
  if (!open)
    {
      bb_group_broke (g, now);
      return;
    }
  if (g->state == BB_GROUP_BROKEN)
    {
      bb_ms outage = now - g->since_ms;
      g->outage_ms = g->learned ? (g->outage_ms + outage) / 2 : outage;
      g->learned = true;
      enter (g, BB_GROUP_OPEN, now);
      g->progress_ms = now;
    }
  if (moves)
    bb_group_progress (g, now);
}

enum bb_group_state
bb_group_look (struct bb_group_watch *g, uint32_t in_flight, bb_ms now)
{
  if (in_flight == 0 && g->state != BB_GROUP_DOUBTFUL)
    g->progress_ms = now;
  if (g->state == BB_GROUP_OPEN && now - g->progress_ms > QUIET_MS)
    enter (g, BB_GROUP_DOUBTFUL, now);
  return g->state;
}

bb_ms
bb_group_back_in (const struct bb_group_watch *g, bb_ms now)
{
  bb_ms usual = g->learned ? g->outage_ms : OUTAGE_USUAL_MS;
  bb_ms left = g->since_ms + usual - now;

  return left > BACK_LEAST_MS ? left : BACK_LEAST_MS;
}
