/* Upstreams that say how many requests a second they take from all entries.

   Load pattern: some or all upstreams of a pool take one or two requests a
   second, or less, for many seconds.  They are nearly idle, so that by its
   load each would be the first choice of each of 15 entries.  A share of the
   limit for each entry would be one request in half a minute, and entries that
   save theirs up could use them all in the same second.  So one entry, the
   same for all, gives out the times at which a request may be sent.  */

#include "bilberry/load.h"

#include <string.h>

enum
{
  /* A limit below it counts as it, so that an entry learns when it ends.  */
  LIMIT_MIN_MILLI = 100,

  BURST_MS = 200, /* requests of this time may be sent at once */

  /* A slot that is not used in time is lost: late ones would add up.  */
  SLOT_VALID_MS = 400,
  ASK_TIMEOUT_MS = 200,

  /* How long entries that are gone are taken to send requests still: those of
     another side of a partition do.  */
  GONE_KEEP_MS = 10000
};

bool
bb_limit_note_answer (struct bb_limit *l, int64_t milli, bb_ms sent_ms,
                      bb_ms now)
{
  int64_t before = l->milli;

  if (milli == BB_LIMIT_UNREADABLE)
    return false;
  if (milli == BB_LIMIT_NONE)
    {
      /* The answer may have been made before the limit was named.  */
      if (l->milli == 0 || sent_ms <= l->named_ms)
        return false;
      memset (l, 0, sizeof *l);
      return true;
    }
  l->named_ms = now;
  l->milli = milli > LIMIT_MIN_MILLI ? milli : LIMIT_MIN_MILLI;
  if (l->milli == before)
    return false;
  l->refused_until_ms = 0;
  return true;
}

/* Returns the index of the first slot that may be used at NOW, or
   BB_BALANCE_NONE.  */
static uint32_t
find_slot (const struct bb_limit *l, bb_ms now)
{
  for (uint32_t i = 0; i < l->slots_count; i++)
    if (l->slots_ms[i] <= now && now < l->slots_ms[i] + SLOT_VALID_MS)
      return i;
  return BB_BALANCE_NONE;
}

bool
bb_limit_allows (const struct bb_limit *l, bb_ms now)
{
  return l->milli == 0 || find_slot (l, now) != BB_BALANCE_NONE;
}

static void
remove_slot (struct bb_limit *l, uint32_t i)
{
  l->slots_ms[i] = l->slots_ms[--l->slots_count];
}

void
bb_limit_use (struct bb_limit *l, bb_ms now)
{
  uint32_t i = find_slot (l, now);

  if (i != BB_BALANCE_NONE)
    remove_slot (l, i);
}

static uint32_t
count_asked (const struct bb_limit *l, bb_ms now)
{
  return now - l->asked_ms < ASK_TIMEOUT_MS ? l->asked : 0;
}

uint32_t
bb_limit_expected (const struct bb_limit *l, bb_ms now)
{
  uint32_t n = count_asked (l, now);

  for (uint32_t i = 0; i < l->slots_count; i++)
    n += now < l->slots_ms[i] + SLOT_VALID_MS;
  return n;
}

bool
bb_limit_may_ask (const struct bb_limit *l, bb_ms now)
{
  return l->milli > 0 && now >= l->refused_until_ms
         && bb_limit_expected (l, now) < BB_LIMIT_SLOTS_MAX;
}

void
bb_limit_asked (struct bb_limit *l, bb_ms now)
{
  l->asked = count_asked (l, now) + 1;
  l->asked_ms = now;
}

void
bb_limit_answered (struct bb_limit *l, bool granted, bb_ms wait_ms, bb_ms now)
{
  if (l->asked > 0)
    l->asked--;
  if (l->milli == 0)
    return;
  if (!granted)
    {
      l->refused_until_ms = now + wait_ms;
      return;
    }
  for (uint32_t i = l->slots_count; i-- > 0;)
    if (now >= l->slots_ms[i] + SLOT_VALID_MS)
      remove_slot (l, i);
  if (l->slots_count < BB_LIMIT_SLOTS_MAX)
    l->slots_ms[l->slots_count++] = now + wait_ms;
}

bb_ms
bb_limit_closed_until_ms (const struct bb_limit *l, bb_ms now)
{
  if (l->milli == 0 || bb_limit_expected (l, now) > 0)
    return 0;
  return l->refused_until_ms;
}

void
bb_limit_note_members (struct bb_limit_members *m, uint32_t count, bb_ms now)
{
  if (count >= m->most || now - m->most_ms > GONE_KEEP_MS)
    {
      m->most = count;
      m->most_ms = now;
    }
  m->count = count;
}

bb_ms
bb_limit_reserve (struct bb_limit_schedule *s, int64_t milli,
                  const struct bb_limit_members *m, bb_ms wait_max_ms,
                  bb_ms now)
{
  int64_t rate_milli = milli > LIMIT_MIN_MILLI ? milli : LIMIT_MIN_MILLI;
  double interval_ms = 1000.0 * 1000.0 / (double)rate_milli;
  double at_ms = (double)now - BURST_MS;
  bb_ms wait_ms;

#ifndef BB_MUTANT_limit_members
  if (m->count > 0 && m->most > m->count)
    interval_ms = interval_ms * m->most / m->count;
#endif
  if (at_ms < s->next_ms)
    at_ms = s->next_ms;
  wait_ms = at_ms > (double)now ? (bb_ms)(at_ms - (double)now) + 1 : 0;
  if (wait_ms <= wait_max_ms)
    s->next_ms = at_ms + interval_ms;
  return wait_ms;
}
