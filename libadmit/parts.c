/* Detection of parts of prompts that crash the upstreams that answer them.  */

#include "bilberry/admit.h"

#include <stdlib.h>
#include <uthash.h>
#include <utlist.h>

enum
{
  SOUND_MAX = 8192,
  CRASHES_MAX = 256,
  SOUND_MS = 10 * 60 * 1000,
  SUSPECT_MS = 10 * 60 * 1000,
  QUARANTINE_MS = 60 * 60 * 1000,
  /* Crashes of isolated requests after which a part is quarantined although
     another one may be the cause of each of them.  */
  ISOLATED_MAX = 3
};

/* A part of a request that was answered.  */
struct sound_part
{
  uint64_t part;
  bb_ms answered_ms;       /* time of the last answer */
  struct sound_part *prev; /* list bb_parts.oldest_sound */
  struct sound_part *next;
  UT_hash_handle hh;
};

struct part_crash
{
  struct bb_part_crash c;
  bb_ms crashed_ms;
  bool explained;          /* it holds a part that another crash quarantines */
  struct part_crash *prev; /* list bb_parts.crashes */
  struct part_crash *next;
};

struct bb_parts
{
  struct sound_part *sound;        /* hash table by part */
  struct sound_part *oldest_sound; /* list; the longest unanswered first */
  struct part_crash *crashes;      /* list; the oldest first */
  uint32_t crashes_count;
};

struct bb_parts *
bb_parts_new (void)
{
  struct bb_parts *p = calloc (1, sizeof *p);

  if (!p)
    abort ();
  return p;
}

static void
remove_sound (struct bb_parts *p, struct sound_part *s)
{
  HASH_DEL (p->sound, s);
  DL_DELETE (p->oldest_sound, s);
  free (s);
}

static void
remove_crash (struct bb_parts *p, struct part_crash *c)
{
  DL_DELETE (p->crashes, c);
  p->crashes_count--;
  free (c);
}

void
bb_parts_free (struct bb_parts *p)
{
  struct sound_part *s;
  struct sound_part *next;

  HASH_CLEAR (hh, p->sound);
  DL_FOREACH_SAFE (p->oldest_sound, s, next)
  free (s);
  while (p->crashes)
    remove_crash (p, p->crashes);
  free (p);
}

static bool
holds_part (const struct bb_part_crash *c, uint64_t part)
{
  for (uint32_t i = 0; i < c->parts_count; i++)
    if (c->parts[i] == part)
      return true;
  return false;
}

static bb_ms
remaining_ms (const struct part_crash *c, bb_ms now)
{
  return c->crashed_ms + (c->c.quarantined ? QUARANTINE_MS : SUSPECT_MS) - now;
}

/* Marks the crashes that hold a part which another crash quarantines.  */
static void
explain_crashes (struct bb_parts *p)
{
  struct part_crash *c;
  struct part_crash *other;

  DL_FOREACH (p->crashes, c)
  c->explained = false;
  DL_FOREACH (p->crashes, other)
  for (uint32_t i = 0; other->c.quarantined && i < other->c.parts_count; i++)
    DL_FOREACH (p->crashes, c)
  c->explained |= c != other && holds_part (&c->c, other->c.parts[i]);
}

static bool
is_other_crash (const struct bb_part_crash *a, const struct bb_part_crash *b)
{
  return a->event != b->event && a->request != b->request;
}

/* Whether PART alone is suspect for another crash than C.  */
static bool
is_suspect_elsewhere (const struct bb_parts *p, const struct part_crash *c,
                      uint64_t part)
{
  const struct part_crash *other;

  DL_FOREACH (p->crashes, other)
  if (!other->explained && other->c.parts_count == 1
      && other->c.parts[0] == part && is_other_crash (&other->c, &c->c))
    return true;
  return false;
}

/* Whether C counts against PART: it was in flight in an isolated request, and
   no quarantined part explains the crash.  */
static bool
counts_against (const struct part_crash *c, uint64_t part)
{
  return c->c.isolated && !c->explained && holds_part (&c->c, part);
}

/* Returns at how many crashes PART was in flight in an isolated request, each
   time another one.  */
static uint32_t
count_isolated (const struct bb_parts *p, uint64_t part)
{
  const struct part_crash *c;
  const struct part_crash *before;
  uint32_t count = 0;

  DL_FOREACH (p->crashes, c)
  {
    bool is_new = counts_against (c, part);
    for (before = p->crashes; is_new && before != c; before = before->next)
      is_new = !counts_against (before, part)
               || is_other_crash (&before->c, &c->c);
    count += is_new;
  }
  return count;
}

/* Quarantines the parts of C, an isolated request, that are shown to be the
   cause of its crash.  */
static void
evaluate_crash (const struct bb_parts *p, struct part_crash *c)
{
  struct bb_part_crash *v = &c->c;
  uint32_t caused = 0;

  if (v->parts_count == 1)
    {
      v->quarantined = is_suspect_elsewhere (p, c, v->parts[0]);
      return;
    }
  for (uint32_t i = 0; i < v->parts_count; i++)
    caused += count_isolated (p, v->parts[i]) >= ISOLATED_MAX;
  if (caused == 0)
    return;
  caused = 0;
  for (uint32_t i = 0; i < v->parts_count; i++)
    if (count_isolated (p, v->parts[i]) >= ISOLATED_MAX)
      v->parts[caused++] = v->parts[i];
  v->parts_count = caused;
  v->quarantined = true;
}

static void
evaluate_crashes (struct bb_parts *p)
{
  struct part_crash *c;

  explain_crashes (p);
#ifndef BB_MUTANT_parts_quarantine
  DL_FOREACH (p->crashes, c)
  if (c->c.isolated && !c->c.quarantined && !c->explained)
    {
      evaluate_crash (p, c);
      if (c->c.quarantined)
        explain_crashes (p);
    }
#endif
}

static void
drop_expired (struct bb_parts *p, bb_ms now)
{
  struct part_crash *c;
  struct part_crash *next;
  bool dropped = false;

  DL_FOREACH_SAFE (p->crashes, c, next)
  if (remaining_ms (c, now) <= 0)
    {
      remove_crash (p, c);
      dropped = true;
    }
  if (dropped)
    explain_crashes (p);
}

bool
bb_parts_is_sound (struct bb_parts *p, uint64_t part, bb_ms now)
{
  const struct sound_part *s;

  HASH_FIND (hh, p->sound, &part, sizeof part, s);
  return s && now - s->answered_ms < SOUND_MS;
}

/* Removes PART from all crashes, and crashes without parts.  Returns whether a
   crash held it.  */
static bool
clear_part (struct bb_parts *p, uint64_t part)
{
  struct part_crash *c;
  struct part_crash *next;
  bool found = false;

  DL_FOREACH_SAFE (p->crashes, c, next)
  {
    uint32_t kept = 0;
    for (uint32_t i = 0; i < c->c.parts_count; i++)
      if (c->c.parts[i] != part)
        c->c.parts[kept++] = c->c.parts[i];
    found |= kept < c->c.parts_count;
    c->c.parts_count = kept;
    if (kept == 0)
      remove_crash (p, c);
  }
  return found;
}

bool
bb_parts_record_sound (struct bb_parts *p, uint64_t part, bb_ms now)
{
  struct sound_part *s;

#ifdef BB_MUTANT_parts_sound
  part = 0;
#endif
  if (part == 0)
    return false;
  HASH_FIND (hh, p->sound, &part, sizeof part, s);
  if (s)
    DL_DELETE (p->oldest_sound, s);
  else
    {
      if (HASH_COUNT (p->sound) >= SOUND_MAX)
        remove_sound (p, p->oldest_sound);
      s = calloc (1, sizeof *s);
      if (!s)
        abort ();
      s->part = part;
      HASH_ADD (hh, p->sound, part, sizeof s->part, s);
    }
  s->answered_ms = now;
  DL_APPEND (p->oldest_sound, s);
  if (!clear_part (p, part))
    return false;
  evaluate_crashes (p);
  return true;
}

static struct part_crash *
find_crash (const struct bb_parts *p, const struct bb_part_crash *c)
{
  struct part_crash *known;

  DL_FOREACH (p->crashes, known)
  if (known->c.event == c->event && known->c.request == c->request)
    return known;
  return NULL;
}

/* Makes room for a crash: drops the oldest one, a quarantined one only where
   all are.  */
static void
make_room (struct bb_parts *p)
{
  struct part_crash *c;

  if (p->crashes_count < CRASHES_MAX)
    return;
  DL_FOREACH (p->crashes, c)
  if (!c->c.quarantined)
    break;
  remove_crash (p, c ? c : p->crashes);
}

/* Takes over from C, another report on KNOWN, that its parts are quarantined.
 */
static bool
merge_crash (struct bb_parts *p, struct part_crash *known,
             const struct bb_part_crash *c)
{
  if (known->c.quarantined || !c->quarantined)
    return false;
  for (uint32_t i = 0; i < c->parts_count; i++)
    if (!holds_part (&known->c, c->parts[i]))
      return false;
  known->c.parts_count = c->parts_count;
  memcpy (known->c.parts, c->parts, sizeof c->parts);
  known->c.quarantined = true;
  evaluate_crashes (p);
  return true;
}

const struct bb_part_crash *
bb_parts_record_crash (struct bb_parts *p, const struct bb_part_crash *c,
                       bb_ms now)
{
  struct bb_part_crash v = *c;
  struct part_crash *added;

  v.parts_count = 0;
  for (uint32_t i = 0; i < c->parts_count && i < BB_PARTS_MAX; i++)
    if (c->parts[i] != 0 && !holds_part (&v, c->parts[i])
        && !bb_parts_is_sound (p, c->parts[i], now))
      v.parts[v.parts_count++] = c->parts[i];
  drop_expired (p, now);
  if (v.parts_count == 0 || v.event == 0
      || v.age_ms >= (v.quarantined ? QUARANTINE_MS : SUSPECT_MS))
    return NULL;
  added = find_crash (p, &v);
  if (added)
    return merge_crash (p, added, &v) ? &added->c : NULL;
  make_room (p);
  added = calloc (1, sizeof *added);
  if (!added)
    abort ();
  added->c = v;
  added->crashed_ms = now - v.age_ms;
  DL_APPEND (p->crashes, added);
  p->crashes_count++;
  evaluate_crashes (p);
  return &added->c;
}

/* Returns the state that C gives to PART at NOW.  */
static enum bb_poison_state
state_by_crash (const struct part_crash *c, uint64_t part, bb_ms now)
{
  if (remaining_ms (c, now) <= 0 || !holds_part (&c->c, part))
    return BB_POISON_CLEAN;
  if (c->c.quarantined)
    return BB_POISON_QUARANTINED;
  return c->explained ? BB_POISON_CLEAN : BB_POISON_SUSPECT;
}

enum bb_poison_state
bb_parts_state (struct bb_parts *p, const uint64_t *parts, uint32_t count,
                bb_ms now)
{
  enum bb_poison_state worst = BB_POISON_CLEAN;
  const struct part_crash *c;

  DL_FOREACH (p->crashes, c)
  for (uint32_t i = 0; i < count; i++)
    {
      enum bb_poison_state state = state_by_crash (c, parts[i], now);
      worst = state > worst ? state : worst;
    }
  return worst;
}

bb_ms
bb_parts_remaining_ms (struct bb_parts *p, const uint64_t *parts,
                       uint32_t count, bb_ms now)
{
  const struct part_crash *c;
  bb_ms most_ms = 0;

  DL_FOREACH (p->crashes, c)
  for (uint32_t i = 0; i < count; i++)
    if (state_by_crash (c, parts[i], now) != BB_POISON_CLEAN
        && remaining_ms (c, now) > most_ms)
      most_ms = remaining_ms (c, now);
  return most_ms;
}

uint64_t
bb_parts_most_suspect (struct bb_parts *p, const uint64_t *parts,
                       uint32_t count, bb_ms now)
{
  uint64_t chosen = 0;
  uint32_t most = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      const struct part_crash *c;
      uint32_t crashes = 0;
      DL_FOREACH (p->crashes, c)
      crashes += state_by_crash (c, parts[i], now) == BB_POISON_SUSPECT;
      if (crashes > most
          || (crashes == most && crashes > 0 && parts[i] < chosen))
        {
          most = crashes;
          chosen = parts[i];
        }
    }
  return chosen;
}

void
bb_parts_each (struct bb_parts *p, bb_ms now, bb_parts_fn *fn, void *arg)
{
  const struct part_crash *c;

  DL_FOREACH (p->crashes, c)
  {
    struct bb_part_crash v = c->c;
    v.age_ms = now - c->crashed_ms;
    if (remaining_ms (c, now) > 0)
      fn (arg, &v);
  }
}

uint32_t
bb_parts_quarantined (struct bb_parts *p, bb_ms now)
{
  const struct part_crash *c;
  uint32_t count = 0;

  DL_FOREACH (p->crashes, c)
  count += c->c.quarantined && remaining_ms (c, now) > 0;
  return count;
}
