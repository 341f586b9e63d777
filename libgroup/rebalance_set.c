/* The state of the search of one set: who holds which expert, and the load of
   each rank.  */

#include "rebalance.h"

#include <stdlib.h>
#include <string.h>

static void
mark_held (const struct set_search *c, const uint16_t *rows, bool *held)
{
  const struct bb_group_size *s = c->size;

  for (uint32_t i = 0; i < s->ranks * s->places; i++)
    if (rows[i] < s->experts)
      held[(size_t)(i / s->places) * s->experts + rows[i]] = true;
}

void
set_search_sum_loads (struct set_search *c)
{
  const struct bb_group_size *s = c->size;

  memset (c->rank_load, 0, sizeof c->rank_load);
  for (uint32_t i = 0; i < s->ranks * s->places; i++)
    if (c->rows[i] < s->experts)
      c->rank_load[i / s->places]
          += c->loads[c->rows[i]] / c->holders[c->rows[i]];
  for (uint32_t r = 0; r < s->ranks; r++)
    c->rank_power[r] = load_power (c, c->rank_load[r]);
}

static void
add_holder (struct set_search *c, uint32_t rank, uint16_t expert)
{
  uint16_t *ranks = c->holder_ranks + (size_t)expert * c->size->ranks;

  ranks[c->holders[expert]++] = (uint16_t)rank;
}

static void
remove_holder (struct set_search *c, uint32_t rank, uint16_t expert)
{
  uint16_t *ranks = c->holder_ranks + (size_t)expert * c->size->ranks;
  uint32_t i = 0;

  while (ranks[i] != rank)
    i++;
  ranks[i] = ranks[--c->holders[expert]];
}

void
set_search_init (struct set_search *c)
{
  const struct bb_group_size *s = c->size;
  double total = 0;

  c->holders = calloc (s->experts, sizeof *c->holders);
  c->holder_ranks
      = calloc ((size_t)s->experts * s->ranks, sizeof *c->holder_ranks);
  c->held = calloc ((size_t)s->ranks * s->experts, sizeof *c->held);
  c->was_held = calloc ((size_t)s->ranks * s->experts, sizeof *c->was_held);
  if (!c->holders || !c->holder_ranks || !c->held || !c->was_held)
    abort ();
  mark_held (c, c->rows, c->held);
  for (uint32_t r = 0; r < s->ranks; r++)
    for (uint32_t e = 0; e < s->experts; e++)
      if (set_search_holds (c, r, (uint16_t)e))
        add_holder (c, r, (uint16_t)e);
  mark_held (c, c->old_rows, c->was_held);
  for (uint32_t e = 0; e < s->experts; e++)
    total += c->loads[e];
  c->rank_load_mean = total / s->ranks;
  set_search_sum_loads (c);
}

void
set_search_free (struct set_search *c)
{
  free (c->holders);
  free (c->holder_ranks);
  free (c->held);
  free (c->was_held);
}

uint32_t
set_search_most_loaded (const struct set_search *c)
{
  uint32_t most = 0;

  for (uint32_t r = 1; r < c->size->ranks; r++)
    if (c->rank_load[r] > c->rank_load[most])
      most = r;
  return most;
}

double
set_search_skew (const struct set_search *c)
{
  return c->rank_load_mean > 0
             ? c->rank_load[set_search_most_loaded (c)] / c->rank_load_mean
             : 1;
}

void
set_search_put (struct set_search *c, uint32_t rank, uint32_t place,
                uint16_t expert)
{
  size_t at = (size_t)rank * c->size->experts;
  uint16_t *row = c->rows + (size_t)rank * c->size->places;
  uint16_t before = row[place];

  if (before < c->size->experts)
    {
      c->held[at + before] = false;
      remove_holder (c, rank, before);
      if (set_search_is_new (c, rank, before))
        c->new_experts[rank]--;
    }
  if (expert < c->size->experts)
    {
      c->held[at + expert] = true;
      add_holder (c, rank, expert);
      if (set_search_is_new (c, rank, expert))
        c->new_experts[rank]++;
    }
  row[place] = expert;
}
