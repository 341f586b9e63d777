/* Finds the request that crashes each upstream that runs it.  */

#include "bilberry/admit.h"

#include <stdlib.h>
#include <uthash.h>
#include <utlist.h>

enum
{
  EVENTS = 2, /* crashes that quarantine a fingerprint */
  FINGERPRINTS_MAX = 4096,
  SUSPECT_MS = 10 * 60 * 1000,
  QUARANTINE_MS = 60 * 60 * 1000
};

struct mark
{
  uint64_t fingerprint;
  uint64_t events[EVENTS];
  bb_ms at[EVENTS];
  uint32_t count;
  struct mark *prev; /* the one blamed longest ago comes first */
  struct mark *next;
  UT_hash_handle hh;
};

struct bb_poison
{
  struct mark *marks;
  struct mark *order;
};

struct bb_poison *
bb_poison_new (void)
{
  struct bb_poison *p = calloc (1, sizeof *p);

  if (!p)
    abort ();
  return p;
}

static void
forget (struct bb_poison *p, struct mark *m)
{
  HASH_DEL (p->marks, m);
  DL_DELETE (p->order, m);
  free (m);
}

void
bb_poison_free (struct bb_poison *p)
{
  while (p->order)
    forget (p, p->order);
  free (p);
}

static bb_ms
left_ms (const struct mark *m, bb_ms now)
{
  bb_ms span = m->count < EVENTS ? SUSPECT_MS : QUARANTINE_MS;

  return m->at[m->count - 1] + span - now;
}

/* Finds what is held of FINGERPRINT; forgets it when its time is over.  */
static struct mark *
find (struct bb_poison *p, uint64_t fingerprint, bb_ms now)
{
  struct mark *m;

  HASH_FIND (hh, p->marks, &fingerprint, sizeof fingerprint, m);
  if (!m || left_ms (m, now) > 0)
    return m;
  forget (p, m);
  return NULL;
}

static struct mark *
add (struct bb_poison *p, uint64_t fingerprint)
{
  struct mark *m;

  if (HASH_COUNT (p->marks) >= FINGERPRINTS_MAX)
    forget (p, p->order);
  m = calloc (1, sizeof *m);
  if (!m)
    abort ();
  m->fingerprint = fingerprint;
  HASH_ADD (hh, p->marks, fingerprint, sizeof m->fingerprint, m);
  DL_APPEND (p->order, m);
  return m;
}

bool
bb_poison_record_crash (struct bb_poison *p, uint64_t fingerprint,
                        uint64_t event, bb_ms age_ms, bb_ms now)
{
  struct mark *m;

  if (fingerprint == 0 || age_ms >= QUARANTINE_MS)
    return false;
  m = find (p, fingerprint, now);
  if (!m && age_ms >= SUSPECT_MS)
    return false;
  if (!m)
    m = add (p, fingerprint);
  for (uint32_t i = 0; i < m->count; i++)
    if (m->events[i] == event)
      return false;
  if (m->count == EVENTS)
    return false;
  m->events[m->count] = event;
  m->at[m->count++] = now - age_ms;
  DL_DELETE (p->order, m);
  DL_APPEND (p->order, m);
  return true;
}

void
bb_poison_clear (struct bb_poison *p, uint64_t fingerprint, bb_ms now)
{
  struct mark *m = find (p, fingerprint, now);

  if (m && m->count < EVENTS)
    forget (p, m);
}

enum bb_poison_state
bb_poison_state (struct bb_poison *p, uint64_t fingerprint, bb_ms now)
{
  const struct mark *m = find (p, fingerprint, now);

  if (!m)
    return BB_POISON_CLEAN;
#ifndef BB_MUTANT_poison_quarantine
  if (m->count == EVENTS)
    return BB_POISON_QUARANTINED;
#endif
  return BB_POISON_SUSPECT;
}

bb_ms
bb_poison_remaining_ms (struct bb_poison *p, uint64_t fingerprint, bb_ms now)
{
  const struct mark *m = find (p, fingerprint, now);

  return m ? left_ms (m, now) : 0;
}

void
bb_poison_each (struct bb_poison *p, bb_ms now, bb_poison_fn *fn, void *arg)
{
  for (const struct mark *m = p->order; m; m = m->next)
    for (uint32_t i = 0; i < m->count; i++)
      if (left_ms (m, now) > 0)
        fn (arg, m->fingerprint, m->events[i], now - m->at[i]);
}

uint32_t
bb_poison_quarantined (struct bb_poison *p, bb_ms now)
{
  uint32_t count = 0;

  for (const struct mark *m = p->order; m; m = m->next)
    count += m->count == EVENTS && left_ms (m, now) > 0 ? 1 : 0;
  return count;
}
