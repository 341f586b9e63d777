/* Chooses the upstream of a non-idempotent request: the candidates of its
   idempotency key in rendezvous order, so that a repeated request reaches the
   agents that have a record of the key.  */

#include "bilberry/once.h"
#include "entry.h"

#include <stdio.h>
#include <string.h>

/* Whether a new request may be sent over L.  Unlike link_usable, includes
   links whose agent is unresponsive or has not reported since a pause.  */
static bool
is_usable (const struct link *l)
{
  return l->enabled && l->ready && !l->load.draining;
}

/* Writes the links of Q's pool and their names to LINKS and NAMES; returns how
   many there are.  */
static uint32_t
list_replicas (struct request *q, struct link *links[BB_ONCE_MEMBERS_MAX],
               const char *names[BB_ONCE_MEMBERS_MAX])
{
  const struct pool *p = q->pool;
  uint32_t count = 0;

  for (; count < p->links_count && count < BB_ONCE_MEMBERS_MAX; count++)
    {
      links[count] = p->links[count];
      names[count] = p->links[count]->name;
    }
  return count;
}

struct link *
choose_link_by_key (struct request *q)
{
  struct link *links[BB_ONCE_MEMBERS_MAX];
  const char *names[BB_ONCE_MEMBERS_MAX];
  uint32_t count = list_replicas (q, links, names);
  uint32_t candidates[BB_ONCE_CANDIDATES];
  struct link *usable[BB_ONCE_CANDIDATES];
  uint32_t usable_count = 0;
  char generated_key[32];
  struct bb_bytes key = bb_header_find (
      q->http->headers, q->http->headers_count, "idempotency-key");

  if (key.size == 0)
    {
      snprintf (generated_key, sizeof generated_key, "%016llx",
                (unsigned long long)q->key_hash);
      key = bb_bytes_of (generated_key);
    }
  count = bb_once_candidates (names, count, bb_bytes_of (q->customer_name),
                              key, BB_ONCE_CANDIDATES, candidates);
  for (uint32_t i = 0; i < count; i++)
    if (is_usable (links[candidates[i]]))
      usable[usable_count++] = links[candidates[i]];
  return usable_count == 0 ? NULL : usable[q->attempts % usable_count];
}
