/* Which peer to ask for a large item, and which peers to send it to.

   Load pattern: the operator writes a configuration of a megabyte, or several
   in a few seconds, and all entries of a fleet want each at once, over links
   that carry the answers to callers too.  A copy takes a good part of a
   second.  If each peer sent its copy to all, an entry would get as many
   copies as it has peers, and none in time.  */

#include "bilberry/load.h"

enum
{
  /* Longest time that an entry waits for the store, before it asks a peer for
     an item that the store should have sent.  */
  STORE_FIRST_MS = 1000,

  /* Time without a byte after which another peer is asked too.  */
  STALLED_MS = 300,

  /* Copies that are sent at once: to entries, and to agents, whose links are
     slow and which can wait.  */
  SENDS_MAX = 2,
  /* Small copies are sent to more at once, as long as all together take a
     sender's link no longer than a round trip of a caller.  */
  SENDS_BYTES_MAX = 128 * 1024,

  /* Time until a process asks again that was turned away.  */
  RETRY_MIN_MS = 40,
  RETRY_SPREAD_MS = 80,

  /* Time after which a copy does not count as being sent any more.  */
  SEND_MAX_MS = 1500
};

static bool
is_advancing (const struct bb_item_source *s, bb_ms now)
{
  return s->asked && now - s->progress_ms < STALLED_MS;
}

static bool
is_candidate (const struct bb_item_source *s, bool agents)
{
  return s->offers && !s->asked && s->is_agent == agents;
}

/* Returns a candidate at random, or BB_BALANCE_NONE.  */
static uint32_t
pick (const struct bb_item_source *sources, uint32_t count, bool agents,
      double draw)
{
  uint32_t n = 0;
  uint32_t chosen;

  for (uint32_t i = 0; i < count; i++)
    n += is_candidate (&sources[i], agents);
  if (n == 0)
    return BB_BALANCE_NONE;
  chosen = (uint32_t)(draw * n);
  if (chosen >= n)
    chosen = n - 1;
  for (uint32_t i = 0;; i++)
    if (is_candidate (&sources[i], agents) && chosen-- == 0)
      return i;
}

uint32_t
bb_item_choose_source (const struct bb_item_source *sources, uint32_t count,
                       const struct bb_item_need *need, bb_ms now, double draw)
{
  uint32_t i;

  if (now < need->start_ms
      || (need->store_sends && now - need->start_ms < STORE_FIRST_MS))
    return BB_BALANCE_NONE;
#ifndef BB_MUTANT_item_one_source
  for (i = 0; i < count; i++)
    if (is_advancing (&sources[i], now))
      return BB_BALANCE_NONE;
#endif
  i = pick (sources, count, false, draw);
  return i == BB_BALANCE_NONE ? pick (sources, count, true, draw) : i;
}

bool
bb_item_may_send (const struct bb_item_send *sends, uint32_t count,
                  const struct bb_item_send *next, bb_ms now)
{
  uint32_t n = 0;
  uint64_t bytes = next->bytes;

  for (uint32_t i = 0; i < count; i++)
    if (sends[i].to_agent == next->to_agent
        && now - sends[i].start_ms < SEND_MAX_MS)
      {
        n++;
        bytes += sends[i].bytes;
      }
#ifdef BB_MUTANT_item_bytes
  return n < SENDS_MAX;
#endif
  return n < SENDS_MAX || bytes <= SENDS_BYTES_MAX;
}

bb_ms
bb_item_retry_ms (double draw)
{
  return RETRY_MIN_MS + (bb_ms)(draw * RETRY_SPREAD_MS);
}
