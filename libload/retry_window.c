#include "bilberry/load.h"

#include <string.h>

/* Part of the allowance that is used.  The rest covers the time until entries
   learn of each other, while each assumes too few members.  */
static const double used_share = 0.85;

/* Part that an entry uses in its first window, when the entry of before may
   have used its part: three restarts within a window stay below the whole.  */
static const double restarted_share = 0.05;

void
bb_retry_window_init (struct bb_retry_window *w, bb_ms window_ms,
                      bb_ms started_ms)
{
  memset (w, 0, sizeof *w);
  w->started_ms = started_ms;
  w->bucket_ms = window_ms / (BB_RETRY_WINDOW_BUCKETS - 1);
  if (w->bucket_ms < 1)
    w->bucket_ms = 1;
}

/* Clears the buckets that began since the last call.  Returns the index of the
   current one.  */
static uint32_t
advance_to (struct bb_retry_window *w, bb_ms now)
{
  bb_ms bucket = now / w->bucket_ms;

  if (bucket - w->newest_bucket >= BB_RETRY_WINDOW_BUCKETS)
    w->newest_bucket = bucket - BB_RETRY_WINDOW_BUCKETS;
  while (w->newest_bucket < bucket)
    {
      w->newest_bucket++;
      w->requests[w->newest_bucket % BB_RETRY_WINDOW_BUCKETS] = 0;
      w->retries[w->newest_bucket % BB_RETRY_WINDOW_BUCKETS] = 0;
    }
  return (uint32_t)(w->newest_bucket % BB_RETRY_WINDOW_BUCKETS);
}

void
bb_retry_window_add_request (struct bb_retry_window *w, bb_ms now)
{
  w->requests[advance_to (w, now)]++;
}

static bb_ms
window_ms (const struct bb_retry_window *w)
{
  return w->bucket_ms * BB_RETRY_WINDOW_BUCKETS;
}

/* Returns the most members in the last window, of which there are MEMBERS
   now.  */
static uint32_t
most_members (struct bb_retry_window *w, uint32_t members, bb_ms now)
{
#ifdef BB_MUTANT_retry_members
  return members;
#endif
  if (members >= w->members || now - w->members_at_ms > window_ms (w))
    {
      w->members = members;
      w->members_at_ms = now;
    }
  return w->members;
}

bool
bb_retry_window_take_retry (struct bb_retry_window *w, bb_ms now, double ratio,
                            uint32_t extra, uint32_t members)
{
  uint32_t bucket = advance_to (w, now);
  double requests = 0;
  double retries = 0;
  double share = used_share;
  uint32_t parts = most_members (w, members, now);

  for (uint32_t i = 0; i < BB_RETRY_WINDOW_BUCKETS; i++)
    {
      requests += w->requests[i];
      retries += w->retries[i];
    }
#ifndef BB_MUTANT_retry_restart
  if (now - w->started_ms < window_ms (w))
    share = restarted_share;
#endif
  if (retries + 1
      > share * (ratio * requests + (double)extra / (parts ? parts : 1)))
    return false;
  w->retries[bucket]++;
  return true;
}
