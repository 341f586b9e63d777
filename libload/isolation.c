/* After a crash all requests that were in flight at the upstream are sent
   again at the same time, by several entries, and one of them may crash the
   next upstream.  Where two of them share it, it cannot be told which one did.
 */

#include "bilberry/load.h"

#include <stdlib.h>
#include <utlist.h>
#include <xxhash.h>

enum
{
  /* Time in which other entries receive a claim and object to it.  */
  CLAIM_WAIT_MS = 40,
  CLAIM_MAX_MS = 200 /* a claim that was not used ends after this */
};

/* What one entry has claimed, and whose request is in flight there.  */
struct claim
{
  uint64_t upstream;
  uint64_t member;
  uint64_t request; /* of this entry, number of the request; else 0 */
  bool in_flight;
  bb_ms claimed_ms;
  struct claim *prev; /* list bb_isolation.claims */
  struct claim *next;
};

struct bb_isolation
{
  uint64_t own;
  uint64_t members[BB_ISOLATION_MEMBERS_MAX]; /* other entries */
  uint32_t members_count;
  struct claim *claims; /* list; there are few */
};

struct bb_isolation *
bb_isolation_new (uint64_t own)
{
  struct bb_isolation *s = calloc (1, sizeof *s);

  if (!s)
    abort ();
  s->own = own;
  return s;
}

static void
remove_claim (struct bb_isolation *s, struct claim *c)
{
  DL_DELETE (s->claims, c);
  free (c);
}

void
bb_isolation_free (struct bb_isolation *s)
{
  while (s->claims)
    remove_claim (s, s->claims);
  free (s);
}

bool
bb_isolation_add_member (struct bb_isolation *s, uint64_t member)
{
  for (uint32_t i = 0; i < s->members_count; i++)
    if (s->members[i] == member)
      return false;
  if (s->members_count == BB_ISOLATION_MEMBERS_MAX)
    return false;
  s->members[s->members_count++] = member;
  return true;
}

void
bb_isolation_remove_member (struct bb_isolation *s, uint64_t member)
{
  struct claim *c;
  struct claim *next;

  for (uint32_t i = 0; i < s->members_count; i++)
    if (s->members[i] == member)
      s->members[i] = s->members[--s->members_count];
  DL_FOREACH_SAFE (s->claims, c, next)
  if (c->member == member)
    remove_claim (s, c);
}

static uint64_t
weight_of (uint64_t member, uint64_t upstream)
{
  return XXH64 (&upstream, sizeof upstream, member);
}

uint64_t
bb_isolation_owner (const struct bb_isolation *s, uint64_t upstream)
{
  uint64_t owner = s->own;
  uint64_t highest = weight_of (owner, upstream);

  for (uint32_t i = 0; i < s->members_count; i++)
    {
      uint64_t weight = weight_of (s->members[i], upstream);
      if (weight > highest)
        {
          highest = weight;
          owner = s->members[i];
        }
    }
  return owner;
}

bool
bb_isolation_is_own (const struct bb_isolation *s, uint64_t upstream)
{
  return bb_isolation_owner (s, upstream) == s->own;
}

static struct claim *
find_claim (const struct bb_isolation *s, uint64_t upstream, uint64_t member)
{
  struct claim *c;

  DL_FOREACH (s->claims, c)
  if (c->upstream == upstream && c->member == member)
    return c;
  return NULL;
}

static struct claim *
add_claim (struct bb_isolation *s, uint64_t upstream, uint64_t member)
{
  struct claim *c = find_claim (s, upstream, member);

  if (c)
    return c;
  c = calloc (1, sizeof *c);
  if (!c)
    abort ();
  c->upstream = upstream;
  c->member = member;
  DL_APPEND (s->claims, c);
  return c;
}

/* Whether C still holds at NOW.  */
static bool
holds (const struct claim *c, bb_ms now)
{
  return c && (c->in_flight || now - c->claimed_ms < CLAIM_MAX_MS);
}

/* Whether a claim of MEMBER to UPSTREAM precedes one of this entry.  The
   weights decide, of which the highest is that of the entry that owns it.  */
static bool
precedes_own (const struct bb_isolation *s, uint64_t member, uint64_t upstream)
{
  return weight_of (member, upstream) > weight_of (s->own, upstream);
}

/* Whether claim C of another entry excludes one of this entry, where OWN is
   the claim that this entry has made, NULL for none.  A claim that came before
   OWN was made always does: its entry may not know of OWN when it sends.  Of
   two that were made before either entry knew of the other, one precedes.  */
static bool
excludes (const struct bb_isolation *s, const struct claim *c,
          const struct claim *own)
{
  return c->in_flight || !own || c->claimed_ms <= own->claimed_ms
         || precedes_own (s, c->member, c->upstream);
}

bool
bb_isolation_may_use (const struct bb_isolation *s, uint64_t upstream,
                      uint64_t request, bb_ms now)
{
  const struct claim *own = find_claim (s, upstream, s->own);

  if (!holds (own, now))
    own = NULL;
  if (own && (own->in_flight || own->request != request))
    return false;
  for (uint32_t i = 0; i < s->members_count; i++)
    {
      const struct claim *c = find_claim (s, upstream, s->members[i]);
      if (holds (c, now) && excludes (s, c, own))
        return false;
    }
  return true;
}

enum bb_isolation_step
bb_isolation_claim (struct bb_isolation *s, uint64_t upstream,
                    uint64_t request, bb_ms now)
{
  struct claim *c = add_claim (s, upstream, s->own);

  if (c->request != request || !holds (c, now))
    {
      c->request = request;
      c->claimed_ms = now;
      if (!bb_isolation_is_own (s, upstream))
        return BB_ISOLATION_CLAIMED;
    }
#ifndef BB_MUTANT_isolation_wait
  if (!bb_isolation_is_own (s, upstream)
      && now - c->claimed_ms < CLAIM_WAIT_MS)
    return BB_ISOLATION_WAIT;
#endif
  c->in_flight = true;
  return BB_ISOLATION_SEND;
}

void
bb_isolation_end (struct bb_isolation *s, uint64_t upstream)
{
  struct claim *c = find_claim (s, upstream, s->own);

  if (c)
    remove_claim (s, c);
}

void
bb_isolation_apply (struct bb_isolation *s, uint64_t member, uint64_t upstream,
                    enum bb_isolation_use use, bb_ms now)
{
  struct claim *c;

  if (use == BB_ISOLATION_USE_FREE)
    {
      c = find_claim (s, upstream, member);
      if (c)
        remove_claim (s, c);
      return;
    }
  bb_isolation_add_member (s, member);
  c = add_claim (s, upstream, member);
  c->in_flight = use == BB_ISOLATION_USE_IN_FLIGHT;
  c->claimed_ms = now;
}

void
bb_isolation_each (const struct bb_isolation *s, bb_isolation_fn *fn,
                   void *arg)
{
  for (const struct claim *c = s->claims; c; c = c->next)
    if (c->member == s->own && c->in_flight)
      fn (arg, c->upstream);
}
