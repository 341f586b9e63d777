#include "bilberry/load.h"

enum
{
  WATCHERS_MAX = 4, /* one is left when one is down and two are disconnected */
  RESPONSE_EXPECTED_MS = 300, /* from the end of a call's wait */
  PROBE_INTERVAL_MS = 400,
  PROBE_INTERVAL_FED_MS = 1600, /* where a peer passes the changes on */
  PROBE_SPACING_MS = 10,        /* between calls of different entries */
  STALLED_MS = 300,             /* without a byte of a response */
  AWAIT_MAX_MS = 5000           /* for a response that comes too slowly */
};

bool
bb_should_watch_store (uint32_t watchers_before)
{
  return watchers_before < WATCHERS_MAX;
}

bb_ms
bb_store_takeover_ms (uint32_t members, double draw)
{
  return (bb_ms)((double)members * PROBE_SPACING_MS * draw);
}

bool
bb_store_should_await (bb_ms started_ms, bb_ms advanced_ms, bb_ms now)
{
  return now - advanced_ms < STALLED_MS && now - started_ms < AWAIT_MAX_MS;
}

bb_ms
bb_store_next_call_ms (const struct bb_store_call_state *s, double draw)
{
  double interval_ms
      = s->peers_watching > 0 ? PROBE_INTERVAL_FED_MS : PROBE_INTERVAL_MS;
  double share_ms = (double)s->members * PROBE_SPACING_MS;
  double spread_ms = interval_ms / 2;

  if (s->responding)
    return s->wait_ms + RESPONSE_EXPECTED_MS;
#ifndef BB_MUTANT_store_spacing
  /* Many entries that lost the store at once must not call in step, nor leave
     a time without any call: their delays reach from none to twice the mean.
   */
  if (share_ms > interval_ms)
    spread_ms += 2 * (share_ms - interval_ms);
#endif
  return (bb_ms)(interval_ms * 3 / 4 + spread_ms * draw);
}
