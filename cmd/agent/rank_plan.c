#include "rank.h"

#include <stdlib.h>

enum
{
  HORIZON_MS = 600000,
  REFRESH_MS = 60000,
  PAUSE_MS = 50,
  BUDGET = 400,
  US_PER_MS = 1000
};

static const double move_ms = 4.4;

/* Takes the counts of all layers; false where TEXT holds too few.  */
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
  struct bb_plan_cost cost
      = { .horizon_ms = HORIZON_MS,
          .refresh_ms = REFRESH_MS,
          .pause_ms = PAUSE_MS,
          .move_ms = move_ms,
          .moves_max = g->moves_max,
          .shares_only = !rank_has_turn (r, g_get_real_time () / US_PER_MS),
          .budget = BUDGET };

  r->planning_load = g_new (double, (size_t)r->size.layers * r->size.experts);
  bb_load_estimate_at (r->estimate, bb_clock_now (), r->planning_load);
  r->planning_present = bb_map_copy (present);
  r->planning
      = bb_planning_new (&in, r->planning_load, &cost, r->planning_present);
}

static void
propose (struct rank *r, const struct bb_plan *p, struct bb_map *next)
{
  struct rank_event e = { .kind = RANK_PROPOSE, .hash = bb_map_hash (next) };

  bb_log (BB_LOG_INFO, "rank", "Proposing a map: skew %.3f to %.3f, %u moves.",
          p->skew_before, p->skew_after, p->moves);
  rank_keep_map (r, next);
  rank_take (r, &e);
}

/* Whether the map that the plan under way began from is still in force.  */
static bool
plan_is_fresh (const struct rank *r)
{
  const struct bb_group_settings *g = rank_group (r);

  return g && g->rebalance && bb_switch_is_settled (&r->sw)
         && bb_map_hash (r->planning_present) == r->sw.saved.in_force.hash;
}

void
rank_plan_step (struct rank *r)
{
  struct bb_map *next;
  struct bb_plan p;

  if (!r->planning || bb_planning_step (r->planning))
    return;
  next = bb_map_copy (r->planning_present);
  p = bb_planning_result (r->planning, next);
  r->planned = p;
  if (p.worthwhile && plan_is_fresh (r))
    propose (r, &p, next);
  else
    bb_map_free (next);
  bb_planning_free (r->planning);
  bb_map_free (r->planning_present);
  g_free (r->planning_load);
  r->planning = NULL;
}

void
rank_counted (struct rank *r, const char *text)
{
  const struct bb_group_settings *g = rank_group (r);
  const struct bb_map *present = rank_map (r, r->sw.saved.in_force.hash);

  if (!add_counts (r, text) || !g || !g->rebalance || !present || r->planning
      || r->daemon->draining || !rank_is_lowest (r)
      || !bb_switch_is_settled (&r->sw))
    return;
  start_plan (r, g, present);
}
