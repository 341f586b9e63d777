/* Rebalancing: the agent of each rank estimates the load of the experts from
   its engine's token counts; that of the lowest connected rank plans maps.  */

#include "rank.h"

#include <stdlib.h>

/* Values of the fields of struct bb_plan_cost.  */
enum
{
  HORIZON_MS = 600000,
  REFRESH_MS = 60000,
  PAUSE_MS = 50,
  BUDGET = 400,
  US_PER_MS = 1000
};

static const double move_ms = 4.4; /* serving time lost to each weight moved */

/* Adds the token counts in TEXT, decimal numbers layer by layer, to the load
   estimate.  Returns false if there are too few; complete layers are still
   added.  */
static bool
add_counts (struct rank *r, const char *text)
{
  uint32_t *tokens = g_new (uint32_t, r->size.experts);
  char *at = (char *)text;
  bool good = true;

  for (uint32_t l = 0; l < r->size.layers && good; l++)
    {
      for (uint32_t e = 0; e < r->size.experts && good; e++)
        {
          const char *from = at;
          tokens[e] = (uint32_t)strtoul (from, &at, 10);
          good = at != from;
        }
      if (good)
        bb_load_estimate_add (r->estimate, l, tokens, bb_clock_now ());
    }
  g_free (tokens);
  return good;
}

static void
start_plan (struct rank *r, const struct bb_group_settings *g,
            const struct bb_map *present)
{
  struct bb_layer_input in
      = { .size = r->size,
          .split = g->split == BB_GROUP_SPLIT_EVEN ? BB_SPLIT_EVEN
                                                   : BB_SPLIT_WEIGHTED };
  struct bb_plan_cost cost = { .horizon_ms = HORIZON_MS,
                               .refresh_ms = REFRESH_MS,
                               .pause_ms = PAUSE_MS,
                               .move_ms = move_ms,
                               .moves_max = g->moves_max,
                               .shares_only = !rank_may_move_weights (
                                   r, g_get_real_time () / US_PER_MS),
                               .budget = BUDGET };

  r->planning_load = g_new (double, (size_t)r->size.layers * r->size.experts);
  bb_load_estimate_at (r->estimate, bb_clock_now (), r->planning_load);
  r->planning_base = bb_map_copy (present);
  r->planning
      = bb_planning_new (&in, r->planning_load, &cost, r->planning_base);
}

static void
propose_map (struct rank *r, const struct bb_plan *p, struct bb_map *next)
{
  struct rank_event e
      = { .kind = RANK_EVENT_PROPOSE, .hash = bb_map_hash (next) };

  bb_log (BB_LOG_INFO, "rank", "Proposing a map: skew %.3f to %.3f, %u moves.",
          p->skew_before, p->skew_after, p->moves);
  rank_keep_map (r, next);
  rank_post_event (r, &e);
}

/* Returns whether rebalancing is still on and the map that the plan started
   from is still in force.  */
static bool
plan_is_current (const struct rank *r)
{
  const struct bb_group_settings *g = rank_group_settings (r);

  return g && g->rebalance && bb_switch_is_settled (&r->map_switch)
         && bb_map_hash (r->planning_base)
                == r->map_switch.saved.in_force.hash;
}

void
rank_plan_step (struct rank *r)
{
  struct bb_map *next;
  struct bb_plan p;

  if (!r->planning || bb_planning_step (r->planning))
    return;
  next = bb_map_copy (r->planning_base);
  p = bb_planning_result (r->planning, next);
  r->last_plan = p;
  if (p.worthwhile && plan_is_current (r))
    propose_map (r, &p, next);
  else
    bb_map_free (next);
  bb_planning_free (r->planning);
  bb_map_free (r->planning_base);
  g_free (r->planning_load);
  r->planning = NULL;
}

void
rank_on_counts (struct rank *r, const char *text)
{
  const struct bb_group_settings *g = rank_group_settings (r);
  const struct bb_map *present
      = rank_find_map (r, r->map_switch.saved.in_force.hash);

  if (!add_counts (r, text) || !g || !g->rebalance || !present || r->planning
      || r->daemon->draining || !rank_is_lowest_reachable (r)
      || !bb_switch_is_settled (&r->map_switch))
    return;
  start_plan (r, g, present);
}
