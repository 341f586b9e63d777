/* The replica sets of the pool, present and earlier, and whether a change of
   them may have left grants of a key unknown to this agent.  */

#include "internal.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

const struct replica_set *
replica_set_current (const struct bb_once *o)
{
  return &o->sets[0];
}

uint32_t
quorum_size (uint32_t candidates)
{
  return candidates / 2 + 1;
}

bool
is_membership_settled (const struct bb_once *o)
{
  return o->ever_settled && o->unsettled_sets == 0;
}

static void
replica_set_free (struct replica_set *s)
{
  for (uint32_t i = 0; i < s->count; i++)
    free (s->names[i]);
  s->count = 0;
}

/* Returns a hash that does not depend on the order of NAMES.  */
static uint64_t
hash_names (const char *const *names, uint32_t count)
{
  uint64_t hash = count;

  for (uint32_t i = 0; i < count; i++)
    hash += XXH64 (names[i], strlen (names[i]), 1);
  return hash;
}

bool
replica_set_has_candidate (const struct bb_once *o,
                           const struct replica_set *s, const char *name,
                           struct bb_bytes customer, struct bb_bytes key)
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
has_name (const struct replica_set *s, const char *name)
{
  for (uint32_t i = 0; i < s->count; i++)
    if (strcmp (s->names[i], name) == 0)
      return true;
  return false;
}

bool
find_candidates (const struct bb_once *o, struct bb_bytes customer,
                 struct bb_bytes key, uint32_t out[BB_ONCE_CANDIDATES],
                 uint32_t *count)
{
  const struct replica_set *s = replica_set_current (o);

  *count = bb_once_candidates ((const char *const *)s->names, s->count,
                               customer, key, o->limits.candidates, out);
  for (uint32_t i = 0; i < *count; i++)
    if (strcmp (s->names[out[i]], o->name) == 0)
      return true;
  return false;
}

/* Whether the key was created after SINCE, also if the clocks differ by the
   configured skew.  */
static bool
is_created_after (const struct bb_once *o, bb_ms age_ms, bb_ms since,
                  bb_ms now)
{
  return o->limits.skew_ms > 0 && age_ms > 0
         && now - age_ms >= since + o->limits.skew_ms;
}

/* Whether records of grants under the earlier set S may still be kept.  */
static bool
is_within_retention (const struct bb_once *o, const struct replica_set *s,
                     bb_ms now)
{
  return now < s->replaced_at + o->limits.retention_ms;
}

/* Whether, since an earlier set, so many candidates of the key have left the
   pool that all that granted it may be gone.  */
static bool
has_lost_candidates (const struct bb_once *o, struct bb_bytes customer,
                     struct bb_bytes key, bb_ms now)
{
  for (uint32_t i = 1; i < o->sets_count; i++)
    {
      const struct replica_set *s = &o->sets[i];
      uint32_t c[BB_ONCE_CANDIDATES];
      uint32_t gone = 0;
      uint32_t count;
      if (!is_within_retention (o, s, now))
        continue;
      count = bb_once_candidates ((const char *const *)s->names, s->count,
                                  customer, key, o->limits.candidates, c);
      for (uint32_t j = 0; j < count; j++)
        gone += !has_name (replica_set_current (o), s->names[c[j]]);
      if (count > 0 && gone >= quorum_size (count))
        return true;
    }
  return false;
}

/* Whether this agent was a candidate of the key in all sets that were in force
   since it last had the records of all replicas.  */
static bool
was_candidate_since_sync (const struct bb_once *o, struct bb_bytes customer,
                          struct bb_bytes key)
{
  if (!o->ever_settled || o->unsettled_sets >= o->sets_count)
    return false;
#ifdef BB_MUTANT_once_acquired
  return true;
#endif
  for (uint32_t i = 1; i <= o->unsettled_sets; i++)
    if (!replica_set_has_candidate (o, &o->sets[i], o->name, customer, key))
      return false;
  return true;
}

/* Which records of the other candidates of a key have been copied.  */
enum sync_level
{
  SYNC_MISSING, /* a candidate has not sent its records under the set in force,
                   so it may have other settings */
  SYNC_PARTIAL, /* all candidates have sent their records, but some may have
                   lost records */
  SYNC_COMPLETE /* all candidates have sent their records and have lost none */
};

static enum sync_level
candidates_sync_level (const struct bb_once *o, struct bb_bytes customer,
                       struct bb_bytes key)
{
  uint32_t c[BB_ONCE_CANDIDATES];
  uint32_t count;
  enum sync_level level = SYNC_COMPLETE;
  const struct synced_peer *s;

  if (!find_candidates (o, customer, key, c, &count))
    return SYNC_MISSING;
  for (uint32_t i = 0; i < count; i++)
    {
      const char *name = replica_set_current (o)->names[c[i]];
      if (strcmp (name, o->name) == 0)
        continue;
      HASH_FIND_STR (o->synced_peers, name, s);
      if (!s)
        return SYNC_MISSING;
      if (!s->grants_complete || (!o->grants_complete && !s->settled))
        level = SYNC_PARTIAL;
    }
  /* With a quorum of one no other agent has copies of lost records.  */
  if (!o->grants_complete && quorum_size (count) < 2)
    level = SYNC_PARTIAL;
  return level;
}

bool
are_grants_known (const struct bb_once *o, struct bb_bytes customer,
                  struct bb_bytes key, bb_ms age_ms, bb_ms now)
{
  enum sync_level level;

#ifdef BB_MUTANT_once_unsure
  return true;
#endif
  if (now < o->grants_lost_until)
    return false;
#ifndef BB_MUTANT_once_left
  if (has_lost_candidates (o, customer, key, now))
    return false;
#endif
  if (o->sets_overflow && now < o->sets_changed_at + o->limits.retention_ms)
    return false;
  if (o->grants_complete && was_candidate_since_sync (o, customer, key))
    return true;
  level = candidates_sync_level (o, customer, key);
  if (level == SYNC_COMPLETE)
    return true;
  return level == SYNC_PARTIAL
         && is_created_after (o, age_ms,
                              o->started_at > o->sets_changed_at
                                  ? o->started_at
                                  : o->sets_changed_at,
                              now);
}

bb_ms
lost_grants_ms (const struct bb_once *o, bb_ms now)
{
  bb_ms until = o->grants_lost_until;

#ifdef BB_MUTANT_once_left
  return 0;
#endif
  for (uint32_t i = 1; i < o->sets_count; i++)
    {
      const struct replica_set *s = &o->sets[i];
      uint32_t gone = 0;
      uint32_t candidates
          = s->count < o->limits.candidates ? s->count : o->limits.candidates;
      for (uint32_t j = 0; j < s->count; j++)
        gone += !has_name (replica_set_current (o), s->names[j]);
      if (gone >= quorum_size (candidates)
          && until < s->replaced_at + o->limits.retention_ms)
        until = s->replaced_at + o->limits.retention_ms;
    }
  return until > now ? until - now : 0;
}

/* Inserts an empty set at INDEX.  If there are REPLICA_SETS_MAX, the last one
   is dropped.  */
static struct replica_set *
insert_replica_set (struct bb_once *o, uint32_t index)
{
  if (o->sets_count == REPLICA_SETS_MAX)
    {
      replica_set_free (&o->sets[REPLICA_SETS_MAX - 1]);
      o->sets_overflow = true;
      o->sets_count--;
    }
  for (uint32_t i = o->sets_count; i > index; i--)
    o->sets[i] = o->sets[i - 1];
  o->sets_count++;
  memset (&o->sets[index], 0, sizeof o->sets[index]);
  return &o->sets[index];
}

/* Inserts an empty set as the one in force.  */
static void
push_replica_set (struct bb_once *o, bb_ms now)
{
  insert_replica_set (o, 0);
  if (o->sets_count == 1)
    return;
  o->sets[1].replaced_at = now;
  o->sets_changed_at = now;
  o->unsettled_sets++;
}

uint32_t
replica_sets_export (const struct bb_once *o, bb_ms now,
                     struct bb_once_set out[REPLICA_SETS_MAX])
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < o->sets_count; i++)
    {
      if (i > 0 && !is_within_retention (o, &o->sets[i], now))
        continue;
      out[count].hash = o->sets[i].hash;
      out[count].age_ms = i > 0 ? (uint32_t)(now - o->sets[i].replaced_at) : 0;
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
replica_sets_merge (struct bb_once *o, const struct bb_once_set *sets,
                    uint32_t count, bb_ms now)
{
  bool learned = false;

#ifdef BB_MUTANT_once_other_set
  return false;
#endif
  if (count == 0 || sets[0].hash != replica_set_current (o)->hash)
    return false;
  for (uint32_t i = 1; i < count; i++)
    {
      struct replica_set *s;
      if (has_hash (o, sets[i].hash)
          || sets[i].age_ms >= (uint64_t)o->limits.retention_ms)
        continue;
      s = insert_replica_set (o, 1);
      s->hash = sets[i].hash;
      s->names_unknown = true;
      s->replaced_at = now - sets[i].age_ms;
      o->sets_changed_at = now;
      o->unsettled_sets++;
      learned = true;
    }
  if (learned)
    sync_restart (o);
  return learned;
}

bool
replica_sets_match (const struct bb_once *o, const struct bb_once_set *sets,
                    uint32_t count, bb_ms now)
{
  struct bb_once_set own[REPLICA_SETS_MAX] = { 0 };
  uint32_t own_count = replica_sets_export (o, now, own);

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
store_entries (struct bb_once *o, const char *const *names, uint32_t count)
{
  for (uint32_t i = 0; i < o->entries_count; i++)
    free (o->entries[i]);
  free (o->entries);
  o->entries = calloc (count + 1, sizeof *o->entries);
  for (uint32_t i = 0; i < count; i++)
    o->entries[i] = strdup (names[i]);
  o->entries_count = count;
}

/* Discards the replies to pending requests, because grants under another set
   do not count.  The requests are sent again at a later tick.  */
static void
clear_replies (struct bb_once *o)
{
  for (struct record *r = o->busy; r; r = r->busy_next)
    {
      memset (r->granted, 0, sizeof r->granted);
      memset (r->replied, 0, sizeof r->replied);
    }
}

void
bb_once_set_members (struct bb_once *o, const char *const *names,
                     uint32_t count, const char *const *entries,
                     uint32_t entries_count, bb_ms now)
{
  uint64_t hash;

  if (count > BB_ONCE_MEMBERS_MAX)
    count = BB_ONCE_MEMBERS_MAX;
  hash = hash_names (names, count);
  store_entries (o, entries, entries_count);
  if (o->sets_count > 0 && o->sets[0].hash == hash)
    return;
  push_replica_set (o, now);
  o->sets[0].hash = hash;
  o->sets[0].count = count;
  for (uint32_t i = 0; i < count; i++)
    o->sets[0].names[i] = strdup (names[i]);
  sync_restart (o);
  clear_replies (o);
}

void
replica_sets_free (struct bb_once *o)
{
  store_entries (o, NULL, 0);
  free (o->entries);
  for (uint32_t i = 0; i < o->sets_count; i++)
    replica_set_free (&o->sets[i]);
}
