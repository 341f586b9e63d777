/* Chooses the upstream of a non-idempotent call: the candidates of its key in
   their order, so that repeats meet the agents that know the key.  */

#include "bilberry/once.h"
#include "entry.h"

#include <stdio.h>
#include <string.h>

static bool
is_usable (const struct link *l)
{
  return l->in && l->ready && !l->load.draining;
}

/* Collects the replicas of the pool.  */
static uint32_t
list_pool (struct request *q, struct link *links[BB_ONCE_MEMBERS_MAX],
           const char *names[BB_ONCE_MEMBERS_MAX])
{
  const struct pool *p = q->pool_links;
  uint32_t count = 0;

  for (; count < p->links_count && count < BB_ONCE_MEMBERS_MAX; count++)
    {
      links[count] = p->links[count];
      names[count] = p->links[count]->name;
    }
  return count;
}

struct link *
home_link (struct request *q)
{
  struct link *links[BB_ONCE_MEMBERS_MAX];
  const char *names[BB_ONCE_MEMBERS_MAX];
  uint32_t count = list_pool (q, links, names);
  uint32_t c[BB_ONCE_CANDIDATES];
  struct link *usable[BB_ONCE_CANDIDATES];
  uint32_t usable_count = 0;
  char minted[32];
  struct bb_bytes key = bb_header_find (
      q->http->headers, q->http->headers_count, "idempotency-key");

  if (key.size == 0)
    {
      snprintf (minted, sizeof minted, "%016llx",
                (unsigned long long)q->key_hash);
      key = bb_bytes_of (minted);
    }
  count = bb_once_candidates (names, count, bb_bytes_of (q->customer), key,
                              BB_ONCE_CANDIDATES, c);
  for (uint32_t i = 0; i < count; i++)
    if (is_usable (links[c[i]]))
      usable[usable_count++] = links[c[i]];
  return usable_count == 0 ? NULL : usable[q->attempts % usable_count];
}
