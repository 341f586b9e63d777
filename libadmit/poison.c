/* Detection of requests that crash the upstreams that run them.  */

#include "bilberry/admit.h"

#include <stdlib.h>
#include <uthash.h>
#include <utlist.h>

enum
{
  CRASHES_TO_QUARANTINE = 2,
  FINGERPRINTS_MAX = 4096,
  SUSPECT_MS = 10 * 60 * 1000,
  QUARANTINE_MS = 60 * 60 * 1000
};

/* The crashes at which a fingerprint was in flight.  */
struct crash_record
{
  uint64_t fingerprint;
  uint64_t crash_events[CRASHES_TO_QUARANTINE];
  bb_ms crash_times_ms[CRASHES_TO_QUARANTINE];
  uint32_t crash_count;
  struct crash_record *prev; /* list bb_poison.oldest */
  struct crash_record *next;
  UT_hash_handle hh;
};

struct bb_poison
{
  struct crash_record *records; /* hash table by fingerprint */
  struct crash_record *oldest;  /* list; the record that got its last crash
                                   longest ago comes first */
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
remove_record (struct bb_poison *p, struct crash_record *r)
{
  HASH_DEL (p->records, r);
  DL_DELETE (p->oldest, r);
  free (r);
}

void
bb_poison_free (struct bb_poison *p)
{
  while (p->oldest)
    remove_record (p, p->oldest);
  free (p);
}

/* Returns the time in milliseconds until R expires; 0 or less where it has
   expired.  */
static bb_ms
remaining_ms (const struct crash_record *r, bb_ms now)
{
  bb_ms lifetime_ms
      = r->crash_count < CRASHES_TO_QUARANTINE ? SUSPECT_MS : QUARANTINE_MS;

  return r->crash_times_ms[r->crash_count - 1] + lifetime_ms - now;
}

/* Returns the record of FINGERPRINT, NULL where there is none.  Removes it if
   it has expired.  */
static struct crash_record *
find_record (struct bb_poison *p, uint64_t fingerprint, bb_ms now)
{
  struct crash_record *r;

  HASH_FIND (hh, p->records, &fingerprint, sizeof fingerprint, r);
  if (!r || remaining_ms (r, now) > 0)
    return r;
  remove_record (p, r);
  return NULL;
}

/* Adds a record of FINGERPRINT without crashes.  Where the table is full, the
   oldest record is removed.  */
static struct crash_record *
add_record (struct bb_poison *p, uint64_t fingerprint)
{
  struct crash_record *r;

  if (HASH_COUNT (p->records) >= FINGERPRINTS_MAX)
    remove_record (p, p->oldest);
  r = calloc (1, sizeof *r);
  if (!r)
    abort ();
  r->fingerprint = fingerprint;
  HASH_ADD (hh, p->records, fingerprint, sizeof r->fingerprint, r);
  DL_APPEND (p->oldest, r);
  return r;
}

bool
bb_poison_record_crash (struct bb_poison *p, uint64_t fingerprint,
                        uint64_t event, bb_ms age_ms, bb_ms now)
{
  struct crash_record *r;

  if (fingerprint == 0 || age_ms >= QUARANTINE_MS)
    return false;
  r = find_record (p, fingerprint, now);
  if (!r && age_ms >= SUSPECT_MS)
    return false;
  if (!r)
    r = add_record (p, fingerprint);
  for (uint32_t i = 0; i < r->crash_count; i++)
    if (r->crash_events[i] == event)
      return false;
  if (r->crash_count == CRASHES_TO_QUARANTINE)
    return false;
  r->crash_events[r->crash_count] = event;
  r->crash_times_ms[r->crash_count++] = now - age_ms;
  DL_DELETE (p->oldest, r);
  DL_APPEND (p->oldest, r);
  return true;
}

void
bb_poison_clear (struct bb_poison *p, uint64_t fingerprint, bb_ms now)
{
  struct crash_record *r = find_record (p, fingerprint, now);

  if (r && r->crash_count < CRASHES_TO_QUARANTINE)
    remove_record (p, r);
}

enum bb_poison_state
bb_poison_state (struct bb_poison *p, uint64_t fingerprint, bb_ms now)
{
  const struct crash_record *r = find_record (p, fingerprint, now);

  if (!r)
    return BB_POISON_CLEAN;
#ifndef BB_MUTANT_poison_quarantine
  if (r->crash_count == CRASHES_TO_QUARANTINE)
    return BB_POISON_QUARANTINED;
#endif
  return BB_POISON_SUSPECT;
}

bb_ms
bb_poison_remaining_ms (struct bb_poison *p, uint64_t fingerprint, bb_ms now)
{
  const struct crash_record *r = find_record (p, fingerprint, now);

  return r ? remaining_ms (r, now) : 0;
}

void
bb_poison_each (struct bb_poison *p, bb_ms now, bb_poison_fn *fn, void *arg)
{
  for (const struct crash_record *r = p->oldest; r; r = r->next)
    for (uint32_t i = 0; i < r->crash_count; i++)
      if (remaining_ms (r, now) > 0)
        fn (arg, r->fingerprint, r->crash_events[i],
            now - r->crash_times_ms[i]);
}

uint32_t
bb_poison_quarantined (struct bb_poison *p, bb_ms now)
{
  uint32_t count = 0;

  for (const struct crash_record *r = p->oldest; r; r = r->next)
    count
        += r->crash_count == CRASHES_TO_QUARANTINE && remaining_ms (r, now) > 0
               ? 1
               : 0;
  return count;
}
