/* Detection of requests that crash the upstreams that run them.  */

#include "bilberry/admit.h"

#include <stdlib.h>
#include <uthash.h>
#include <utlist.h>

enum
{
  FINGERPRINTS_MAX = 4096,
  SUSPECT_MS = 10 * 60 * 1000,
  QUARANTINE_MS = 60 * 60 * 1000
};

/* What is known of a fingerprint.  */
struct crash_record
{
  uint64_t fingerprint;
  uint64_t event; /* crash at which it was in flight; 0: none since it was
                     answered */
  uint64_t prior; /* earlier crash that made it suspect before it was in flight
                     at EVENT: it is quarantined; 0: none */
  bb_ms crashed_ms;  /* time of EVENT */
  bb_ms answered_ms; /* time of the last answer that cleared it; crashes up to
                        it are known to have another cause */
  struct crash_record *prev; /* list bb_poison.oldest */
  struct crash_record *next;
  UT_hash_handle hh;
};

struct bb_poison
{
  struct crash_record *records; /* hash table by fingerprint */
  struct crash_record *oldest;  /* list; the record that changed longest ago
                                   comes first */
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
  if (r->prior != 0)
    return r->crashed_ms + QUARANTINE_MS - now;
  if (r->event != 0)
    return r->crashed_ms + SUSPECT_MS - now;
  return r->answered_ms + SUSPECT_MS - now;
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

/* Adds a record of FINGERPRINT without a crash.  Where the table is full, the
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
  r->answered_ms = INT64_MIN;
  HASH_ADD (hh, p->records, fingerprint, sizeof r->fingerprint, r);
  DL_APPEND (p->oldest, r);
  return r;
}

static void
move_to_newest (struct bb_poison *p, struct crash_record *r)
{
  DL_DELETE (p->oldest, r);
  DL_APPEND (p->oldest, r);
}

bool
bb_poison_record_crash (struct bb_poison *p, const struct bb_crash *c,
                        bb_ms now)
{
  bb_ms crashed_ms = now - c->age_ms;
  uint64_t prior = c->prior;
  struct crash_record *r;

  if (c->fingerprint == 0 || c->event == 0
      || c->age_ms >= (prior ? QUARANTINE_MS : SUSPECT_MS))
    return false;
  r = find_record (p, c->fingerprint, now);
#ifdef BB_MUTANT_poison_prior
  if (r && r->event != c->event)
    prior = r->event;
#endif
  /* A crash that no other preceded tells nothing new of a suspect.  */
  if (r && (r->prior != 0 || (prior == 0 && r->event != 0)))
    return false;
  if (r && prior == 0 && crashed_ms <= r->answered_ms)
    return false;
  if (!r)
    r = add_record (p, c->fingerprint);
  r->event = c->event;
  r->prior = prior;
  r->crashed_ms = crashed_ms;
  move_to_newest (p, r);
  return true;
}

bool
bb_poison_clear (struct bb_poison *p, uint64_t fingerprint, bb_ms answered_ms)
{
  struct crash_record *r = find_record (p, fingerprint, answered_ms);

  if (!r || r->event == 0 || r->prior != 0 || r->crashed_ms > answered_ms)
    return false;
  r->event = 0;
  r->answered_ms = answered_ms;
  move_to_newest (p, r);
  return true;
}

enum bb_poison_state
bb_poison_state (struct bb_poison *p, uint64_t fingerprint, bb_ms now)
{
  const struct crash_record *r = find_record (p, fingerprint, now);

  if (!r || r->event == 0)
    return BB_POISON_CLEAN;
#ifndef BB_MUTANT_poison_quarantine
  if (r->prior != 0)
    return BB_POISON_QUARANTINED;
#endif
  return BB_POISON_SUSPECT;
}

uint64_t
bb_poison_event (struct bb_poison *p, uint64_t fingerprint, bb_ms now)
{
  const struct crash_record *r = find_record (p, fingerprint, now);

  return r ? r->event : 0;
}

bb_ms
bb_poison_remaining_ms (struct bb_poison *p, uint64_t fingerprint, bb_ms now)
{
  const struct crash_record *r = find_record (p, fingerprint, now);

  return r && r->event != 0 ? remaining_ms (r, now) : 0;
}

void
bb_poison_each (struct bb_poison *p, bb_ms now, bb_poison_fn *fn, void *arg)
{
  for (const struct crash_record *r = p->oldest; r; r = r->next)
    {
      struct bb_crash c = { .fingerprint = r->fingerprint,
                            .event = r->event,
                            .prior = r->prior,
                            .age_ms = now - r->crashed_ms };
      if (r->event != 0 && remaining_ms (r, now) > 0)
        fn (arg, &c);
    }
}

uint32_t
bb_poison_quarantined (struct bb_poison *p, bb_ms now)
{
  uint32_t count = 0;

  for (const struct crash_record *r = p->oldest; r; r = r->next)
    count += r->prior != 0 && remaining_ms (r, now) > 0 ? 1 : 0;
  return count;
}
