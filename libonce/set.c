/* The configured replicas of the pool, and what changes of them mean.  */

#include "internal.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

const struct set *
set_now (const struct bb_once *o)
{
  return &o->sets[0];
}

uint32_t
set_quorum (uint32_t candidates)
{
  return candidates / 2 + 1;
}

bool
set_is_settled (const struct bb_once *o)
{
  return o->ever_settled && o->unsettled_sets == 0;
}

static void
set_free (struct set *s)
{
  for (uint32_t i = 0; i < s->count; i++)
    free (s->names[i]);
  s->count = 0;
}

/* A hash that does not depend on the order of names.  */
static uint64_t
set_hash (const char *const *names, uint32_t count)
{
  uint64_t hash = count;

  for (uint32_t i = 0; i < count; i++)
    hash += XXH64 (names[i], strlen (names[i]), 1);
  return hash;
}

bool
set_has_candidate (const struct bb_once *o, const struct set *s,
                   const char *name, struct bb_bytes customer,
                   struct bb_bytes key)
{
  uint32_t c[BB_ONCE_CANDIDATES];
  uint32_t count = bb_once_candidates ((const char *const *)s->names, s->count,
                                       customer, key, o->limits.candidates, c);

  for (uint32_t i = 0; i < count; i++)
    if (strcmp (s->names[c[i]], name) == 0)
      return true;
  return false;
}

static bool
set_has (const struct set *s, const char *name)
{
  for (uint32_t i = 0; i < s->count; i++)
    if (strcmp (s->names[i], name) == 0)
      return true;
  return false;
}

bool
set_candidates (const struct bb_once *o, struct bb_bytes customer,
                struct bb_bytes key, uint32_t out[BB_ONCE_CANDIDATES],
                uint32_t *count)
{
  const struct set *s = set_now (o);

  *count = bb_once_candidates ((const char *const *)s->names, s->count,
                               customer, key, o->limits.candidates, out);
  for (uint32_t i = 0; i < *count; i++)
    if (strcmp (s->names[out[i]], o->name) == 0)
      return true;
  return false;
}

/* Whether the key is so young that it was born after SINCE.  */
static bool
is_born_after (const struct bb_once *o, bb_ms age_ms, bb_ms since, bb_ms now)
{
  return o->limits.skew_ms > 0 && age_ms > 0
         && now - age_ms >= since + o->limits.skew_ms;
}

/* Whether an earlier set is still of concern.  */
static bool
is_recent (const struct bb_once *o, const struct set *s, bb_ms now)
{
  return now < s->until + o->limits.retention_ms;
}

/* Whether so many candidates of the key have left the pool since that all
   that granted it may be gone.  */
static bool
has_lost_candidates (const struct bb_once *o, struct bb_bytes customer,
                     struct bb_bytes key, bb_ms now)
{
  for (uint32_t i = 1; i < o->sets_count; i++)
    {
      const struct set *s = &o->sets[i];
      uint32_t c[BB_ONCE_CANDIDATES];
      uint32_t gone = 0;
      uint32_t count;
      if (!is_recent (o, s, now))
        continue;
      count = bb_once_candidates ((const char *const *)s->names, s->count,
                                  customer, key, o->limits.candidates, c);
      for (uint32_t j = 0; j < count; j++)
        gone += !set_has (set_now (o), s->names[c[j]]);
      if (count > 0 && gone >= set_quorum (count))
        return true;
    }
  return false;
}

/* Whether this agent has been a candidate of the key ever since it last had
   the records of the others.  */
static bool
is_covered (const struct bb_once *o, struct bb_bytes customer,
            struct bb_bytes key)
{
  if (!o->ever_settled || o->unsettled_sets >= o->sets_count)
    return false;
#ifdef BB_MUTANT_once_acquired
  return true;
#endif
  for (uint32_t i = 1; i <= o->unsettled_sets; i++)
    if (!set_has_candidate (o, &o->sets[i], o->name, customer, key))
      return false;
  return true;
}

/* How far the records of the other candidates are here.  */
enum others
{
  OTHERS_SILENT, /* not all have the same settings, as far as is known */
  OTHERS_HEARD,  /* all have, but some may have lost records */
  OTHERS_WHOLE   /* all their records are here */
};

static enum others
hear_others (const struct bb_once *o, struct bb_bytes customer,
             struct bb_bytes key)
{
  uint32_t c[BB_ONCE_CANDIDATES];
  uint32_t count;
  enum others all = OTHERS_WHOLE;
  const struct synced *s;

  if (!set_candidates (o, customer, key, c, &count))
    return OTHERS_SILENT;
  for (uint32_t i = 0; i < count; i++)
    {
      const char *name = set_now (o)->names[c[i]];
      if (strcmp (name, o->name) == 0)
        continue;
      HASH_FIND_STR (o->synced, name, s);
      if (!s)
        return OTHERS_SILENT;
      if (!s->whole || (!o->whole && !s->settled))
        all = OTHERS_HEARD;
    }
  /* A lone candidate that lost its records finds them nowhere.  */
  if (!o->whole && set_quorum (count) < 2)
    all = OTHERS_HEARD;
  return all;
}

bool
set_is_sure (const struct bb_once *o, struct bb_bytes customer,
             struct bb_bytes key, bb_ms age_ms, bb_ms now)
{
  enum others others;

#ifdef BB_MUTANT_once_unsure
  return true;
#endif
  if (now < o->lost_until)
    return false;
#ifndef BB_MUTANT_once_left
  if (has_lost_candidates (o, customer, key, now))
    return false;
#endif
  if (o->sets_overflow && now < o->changed + o->limits.retention_ms)
    return false;
  if (o->whole && is_covered (o, customer, key))
    return true;
  others = hear_others (o, customer, key);
  if (others == OTHERS_WHOLE)
    return true;
  return others == OTHERS_HEARD
         && is_born_after (o, age_ms,
                           o->started > o->changed ? o->started : o->changed,
                           now);
}

bb_ms
set_lost_ms (const struct bb_once *o, bb_ms now)
{
  bb_ms until = o->lost_until;

#ifdef BB_MUTANT_once_left
  return 0;
#endif
  for (uint32_t i = 1; i < o->sets_count; i++)
    {
      const struct set *s = &o->sets[i];
      uint32_t gone = 0;
      uint32_t candidates
          = s->count < o->limits.candidates ? s->count : o->limits.candidates;
      for (uint32_t j = 0; j < s->count; j++)
        gone += !set_has (set_now (o), s->names[j]);
      if (gone >= set_quorum (candidates)
          && until < s->until + o->limits.retention_ms)
        until = s->until + o->limits.retention_ms;
    }
  return until > now ? until - now : 0;
}

/* Makes room for a set at INDEX.  */
static struct set *
insert_set (struct bb_once *o, uint32_t index)
{
  if (o->sets_count == SETS_MAX)
    {
      set_free (&o->sets[SETS_MAX - 1]);
      o->sets_overflow = true;
      o->sets_count--;
    }
  for (uint32_t i = o->sets_count; i > index; i--)
    o->sets[i] = o->sets[i - 1];
  o->sets_count++;
  memset (&o->sets[index], 0, sizeof o->sets[index]);
  return &o->sets[index];
}

static void
set_push (struct bb_once *o, bb_ms now)
{
  insert_set (o, 0);
  if (o->sets_count == 1)
    return;
  o->sets[1].until = now;
  o->changed = now;
  o->unsettled_sets++;
}

uint32_t
set_list (const struct bb_once *o, bb_ms now, struct bb_once_set out[SETS_MAX])
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < o->sets_count; i++)
    {
      if (i > 0 && !is_recent (o, &o->sets[i], now))
        continue;
      out[count].hash = o->sets[i].hash;
      out[count].age_ms = i > 0 ? (uint32_t)(now - o->sets[i].until) : 0;
      count++;
    }
  return count;
}

static bool
has_hash (const struct bb_once *o, uint64_t hash)
{
  for (uint32_t i = 0; i < o->sets_count; i++)
    if (o->sets[i].hash == hash)
      return true;
  return false;
}

bool
set_learn (struct bb_once *o, const struct bb_once_set *sets, uint32_t count,
           bb_ms now)
{
  bool learned = false;

#ifdef BB_MUTANT_once_other_set
  return false;
#endif
  if (count == 0 || sets[0].hash != set_now (o)->hash)
    return false;
  for (uint32_t i = 1; i < count; i++)
    {
      struct set *s;
      if (has_hash (o, sets[i].hash)
          || sets[i].age_ms >= (uint64_t)o->limits.retention_ms)
        continue;
      s = insert_set (o, 1);
      s->hash = sets[i].hash;
      s->missed = true;
      s->until = now - sets[i].age_ms;
      o->changed = now;
      o->unsettled_sets++;
      learned = true;
    }
  if (learned)
    sync_restart (o);
  return learned;
}

bool
set_agrees (const struct bb_once *o, const struct bb_once_set *sets,
            uint32_t count, bb_ms now)
{
  struct bb_once_set own[SETS_MAX] = { 0 };
  uint32_t own_count = set_list (o, now, own);

#ifdef BB_MUTANT_once_other_set
  return true;
#endif
  if (count == 0 || sets[0].hash != own[0].hash)
    return false;
  for (uint32_t i = 1; i < own_count; i++)
    {
      bool found = false;
      for (uint32_t j = 0; j < count; j++)
        found |= sets[j].hash == own[i].hash;
      if (!found)
        return false;
    }
  return true;
}

static void
set_witnesses (struct bb_once *o, const char *const *names, uint32_t count)
{
  for (uint32_t i = 0; i < o->witnesses_count; i++)
    free (o->witnesses[i]);
  free (o->witnesses);
  o->witnesses = calloc (count + 1, sizeof *o->witnesses);
  for (uint32_t i = 0; i < count; i++)
    o->witnesses[i] = strdup (names[i]);
  o->witnesses_count = count;
}

/* Grants under another set do not count.  */
static void
ask_all_again (struct bb_once *o)
{
  for (struct record *r = o->busy; r; r = r->busy_next)
    {
      memset (r->granted, 0, sizeof r->granted);
      memset (r->heard, 0, sizeof r->heard);
    }
}

void
bb_once_set_members (struct bb_once *o, const char *const *names,
                     uint32_t count, const char *const *witnesses,
                     uint32_t witnesses_count, bb_ms now)
{
  uint64_t hash;

  if (count > BB_ONCE_MEMBERS_MAX)
    count = BB_ONCE_MEMBERS_MAX;
  hash = set_hash (names, count);
  set_witnesses (o, witnesses, witnesses_count);
  if (o->sets_count > 0 && o->sets[0].hash == hash)
    return;
  set_push (o, now);
  o->sets[0].hash = hash;
  o->sets[0].count = count;
  for (uint32_t i = 0; i < count; i++)
    o->sets[0].names[i] = strdup (names[i]);
  sync_restart (o);
  ask_all_again (o);
}

void
set_free_all (struct bb_once *o)
{
  set_witnesses (o, NULL, 0);
  free (o->witnesses);
  for (uint32_t i = 0; i < o->sets_count; i++)
    set_free (&o->sets[i]);
}
