/* Election of the members that poll the configuration service: in each failure
   domain the live members with the highest scores, which are hashes of their
   ids.  */

#include "internal.h"

#include <xxhash.h>

enum
{
  READER_CHECK_MS = 1000
};

static uint64_t
score (const struct bb_peer *p)
{
  return XXH64 (&p->id, sizeof p->id, p->failure_domain);
}

static bool
is_reader (const struct bb_members *m)
{
  const struct bb_peer *peers = m->directory->peers;
  uint32_t domain = peers[m->self].failure_domain;
  uint64_t own_score = score (&peers[m->self]);
  uint32_t higher = 0;

  if (m->leaving)
    return false;
  for (uint32_t i = 0; i < m->directory->count; i++)
    {
      uint8_t status = m->members[i].status;
      if (peers[i].failure_domain != domain || i == m->self
          || status == BB_MEMBER_STATUS_DEAD || status == BB_MEMBER_STATUS_LEFT
          || score (&peers[i]) <= own_score)
        continue;
      if (++higher == BB_READERS_PER_DOMAIN)
        return false;
    }
  return true;
}

void
reader_tick (struct bb_members *m, bb_ms now)
{
  if (now < m->next_reader_check_ms)
    return;
  m->next_reader_check_ms = now + READER_CHECK_MS;
  m->stats.reader = is_reader (m);
}

bool
bb_members_should_query_service (const struct bb_members *m, bb_ms now)
{
  return m->stats.reader
         || (m->fallback_at_ms != 0 && now >= m->fallback_at_ms);
}
