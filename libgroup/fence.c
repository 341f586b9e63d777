/* Keeps the fence of the leader: the generation number by which ranks refuse
   the orders of a leader that another one has replaced.  */

#include "switch.h"

enum
{
  SKIP_DOUBLINGS_MAX = 16 /* of the numbers skipped after a refusal */
};

/* A rank that refuses a fence does not tell which one it has seen, and its
   agent may have started since.  So more numbers are skipped with each
   refusal.  */
void
switch_take_fence (struct bb_group_switch *sw, bb_ms now)
{
  uint32_t doublings = MIN (sw->fences_refused, SKIP_DOUBLINGS_MAX);

  if (doublings > 1)
    sw->highest_fence += (uint64_t)NUMBER_STRIDE << (doublings - 1);
  sw->fence = switch_next_number (sw);
#ifdef BB_MUTANT_switch_fence
  sw->fence = 1;
#endif
  sw->highest_fence = sw->fence;
  sw->fence_taken_ms = now;
}

static bool
is_fenced (const struct bb_group_switch *sw, uint32_t rank)
{
  return rank == sw->missing_rank
         || sw->ranks[rank].fence_accepted == sw->fence;
}

bool
switch_all_fenced (const struct bb_group_switch *sw)
{
  for (uint32_t r = 0; r < sw->size.ranks; r++)
    if (!is_fenced (sw, r))
      return false;
  return true;
}

/* Skips ranks that are silent.  A rank that has answered is asked again only
   where its state does not tell of the fence, as its agent may have started
   since.  */
void
switch_send_fences (struct bb_group_switch *sw, bb_ms now)
{
  bb_ms unanswered_ms = switch_round_retry_ms (sw);

  for (uint32_t r = 0; r < sw->size.ranks; r++)
    {
      const struct bb_group_switch_rank *k = &sw->ranks[r];
      bb_ms retry_ms = k->done ? SETTLE_STATE_MAX_AGE_MS : unanswered_ms;
      if (!is_fenced (sw, r)
          && switch_is_fresh (sw, r, SETTLE_STATE_MAX_AGE_MS, now)
          && switch_was_sent_before (sw, r, retry_ms, now))
        switch_send_order (sw, r, BB_GROUP_SWITCH_FENCE, r, now);
    }
}

/* Discards the fence of this leader, and the switch under way: another leader
   has ordered ranks since this one began it.  */
static void
discard_fence (struct bb_group_switch *sw, bb_ms now)
{
  sw->fence = 0;
  if (sw->phase == BB_GROUP_SWITCH_SETTLING)
    switch_forget_orders (sw);
  else if (sw->phase != BB_GROUP_SWITCH_IDLE)
    switch_abandon (sw, "another leader has led since", now);
}

void
switch_update_fence (struct bb_group_switch *sw,
                     const struct bb_group_switch_rank *k, bb_ms now)
{
  uint64_t told = MAX (k->fence_seen, k->fence_accepted);

  sw->highest_fence = MAX (sw->highest_fence, told);
  if (sw->fence != 0 && told > sw->fence)
    discard_fence (sw, now);
}

void
switch_handle_fenced (struct bb_group_switch *sw, bb_ms now)
{
  sw->fences_refused++;
  discard_fence (sw, now);
}
