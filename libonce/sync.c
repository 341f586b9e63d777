/* How an agent that lost records, or whose pool changed, gets the records of
   the others.  */

#include "internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SYNC_MS = 500
};

static void
forget_synced (struct bb_once *o)
{
  struct synced *s = o->synced;

  HASH_CLEAR (hh, o->synced);
  while (s)
    {
      struct synced *next = s->hh.next;
      free (s);
      s = next;
    }
}

void
sync_free (struct bb_once *o)
{
  struct witness *w = o->testified;

  forget_synced (o);
  HASH_CLEAR (hh, o->testified);
  while (w)
    {
      struct witness *next = w->hh.next;
      free (w);
      w = next;
    }
}

void
sync_restart (struct bb_once *o)
{
  forget_synced (o);
  o->sync_id++;
  o->sync_sent = INT64_MIN / 2;
}

static bool
is_good (const struct bb_once *o, const struct synced *s)
{
  return s && s->whole && (o->whole || s->settled);
}

/* Whether the records of all other replicas are here.  */
static bool
has_all (const struct bb_once *o)
{
  const struct set *set = set_now (o);
  uint32_t candidates
      = set->count < o->limits.candidates ? set->count : o->limits.candidates;
  bool member = false;

  for (uint32_t i = 0; i < set->count; i++)
    {
      struct synced *s;
      if (strcmp (set->names[i], o->name) == 0)
        {
          member = true;
          continue;
        }
      HASH_FIND_STR (o->synced, set->names[i], s);
      if (!is_good (o, s))
        return false;
    }
  /* Where one grant is enough, the others hold no copies of it.  */
  return member && (o->whole || set_quorum (candidates) > 1);
}

static void
conclude (struct bb_once *o, bb_ms now)
{
  if (has_all (o) && now >= o->lost_until)
    {
      o->whole = true;
      o->ever_settled = true;
      o->unsettled_sets = 0;
    }
}

/* Whether half of the other replicas, rounded up, have testified.  */
static bool
have_peers_testified (const struct bb_once *o)
{
  const struct set *set = set_now (o);
  uint32_t heard = 0;
  uint32_t others = 0;

  for (uint32_t i = 0; i < set->count; i++)
    {
      struct witness *w;
      if (strcmp (set->names[i], o->name) == 0)
        continue;
      others++;
      HASH_FIND_STR (o->testified, set->names[i], w);
      heard += w != NULL;
    }
  return heard >= (others + 1) / 2;
}

/* An agent of which nobody knew an earlier incarnation has lost nothing.  */
void
sync_found (struct bb_once *o)
{
  if (o->whole || o->knew_earlier || !have_peers_testified (o))
    return;
  for (uint32_t i = 0; i < o->witnesses_count; i++)
    {
      struct witness *w;
      HASH_FIND_STR (o->testified, o->witnesses[i], w);
      if (!w)
        return;
    }
  o->whole = true;
  o->founded = true;
}

/* Somebody knew an earlier incarnation, whose records are lost.  */
static void
lose (struct bb_once *o)
{
  o->knew_earlier = true;
  if (!o->founded)
    return;
  o->founded = false;
  o->whole = false;
  o->ever_settled = false;
  sync_restart (o);
}

void
bb_once_on_hello (struct bb_once *o, const char *name, uint64_t knew)
{
  struct witness *w;

  if (knew != 0 && knew != o->incarnation)
    lose (o);
  HASH_FIND_STR (o->testified, name, w);
  if (!w && HASH_COUNT (o->testified) < WITNESSES_MAX)
    {
      w = calloc (1, sizeof *w);
      snprintf (w->name, sizeof w->name, "%s", name);
      HASH_ADD_STR (o->testified, name, w);
    }
#ifdef BB_MUTANT_once_found
  o->knew_earlier = false;
#endif
  sync_found (o);
}

static void
ask_others (struct bb_once *o, bb_ms now)
{
  const struct set *set = set_now (o);
  struct bb_once_sync m
      = { .id = o->sync_id, .member = bb_bytes_of (o->name) };

  m.sets_count = set_list (o, now, m.sets);
  for (uint32_t i = 0; i < set->count; i++)
    {
      struct synced *s;
      if (strcmp (set->names[i], o->name) == 0)
        continue;
      HASH_FIND_STR (o->synced, set->names[i], s);
      if (!is_good (o, s))
        o->ops->send (o->user, set->names[i], BB_MSG_ONCE_SYNC, &m);
    }
}

void
sync_tick (struct bb_once *o, bb_ms now)
{
  sync_found (o);
  /* All that an earlier incarnation granted has expired.  */
  if (now - o->started >= o->limits.retention_ms)
    {
      o->whole = true;
      if (now - o->changed >= o->limits.retention_ms)
        {
          o->ever_settled = true;
          o->unsettled_sets = 0;
          o->sets_overflow = false;
        }
    }
  conclude (o, now);
  if ((o->whole && set_is_settled (o)) || now - o->sync_sent < SYNC_MS)
    return;
  o->sync_sent = now;
  ask_others (o, now);
}

static void
put_records (struct bb_once *o, const char *member, bb_ms now,
             msgpack_sbuffer *out)
{
  for (struct record *r = o->oldest; r; r = r->next)
    {
      struct bb_once_note n;
      struct bb_message frame;
      if (!set_has_candidate (o, set_now (o), member, record_customer (r),
                              record_key (r)))
        continue;
      if (record_note (r, now, &n, &frame))
        {
          bb_put_once_note (out, &n);
          bb_message_free (&frame);
        }
      else
        bb_put_once_note (out, &n);
    }
}

void
bb_once_on_sync (struct bb_once *o, const struct bb_once_sync *m, bb_ms now)
{
  struct bb_once_synced a = { .id = m->id,
                              .member = bb_bytes_of (o->name),
                              .whole = o->whole,
                              .lost_ms = (uint32_t)set_lost_ms (o, now) };
  char member[NAME_MAX_BYTES + 1];
  msgpack_sbuffer notes;

  snprintf (member, sizeof member, "%.*s", (int)m->member.size, m->member.ptr);
  set_learn (o, m->sets, m->sets_count, now);
  if (m->sets_count == 0 || m->sets[0].hash != set_now (o)->hash)
    return;
  a.sets_count = set_list (o, now, a.sets);
  a.settled = set_is_settled (o);
  msgpack_sbuffer_init (&notes);
  put_records (o, member, now, &notes);
  a.notes.ptr = notes.data;
  a.notes.size = (uint32_t)notes.size;
  o->ops->send (o->user, member, BB_MSG_ONCE_SYNCED, &a);
  msgpack_sbuffer_destroy (&notes);
}

static bool
merge_notes (struct bb_once *o, struct bb_bytes notes, bb_ms now)
{
  while (notes.size > 0)
    {
      struct bb_message m;
      struct bb_decode_error e;
      size_t body;
      size_t whole;
      bool merged;
      if (bb_frame_peek (notes.ptr, notes.size, &body) != BB_FRAME_WHOLE
          || !bb_message_decode (notes.ptr + BB_FRAME_HEAD_BYTES, body, &m,
                                 &e))
        return false;
      merged = m.type == BB_MSG_ONCE_NOTE
               && record_merge (o, &m.u.once_note, now);
      bb_message_free (&m);
      if (!merged)
        return false;
      whole = BB_FRAME_HEAD_BYTES + body;
      notes.ptr += whole;
      notes.size -= (uint32_t)whole;
    }
  return true;
}

void
bb_once_on_synced (struct bb_once *o, const struct bb_once_synced *m,
                   bb_ms now)
{
  char name[NAME_MAX_BYTES + 1];
  struct synced *s;

  if (m->id != o->sync_id || m->sets_count == 0
      || m->sets[0].hash != set_now (o)->hash
      || set_learn (o, m->sets, m->sets_count, now)
      || !merge_notes (o, m->notes, now))
    return;
  snprintf (name, sizeof name, "%.*s", (int)m->member.size, m->member.ptr);
  HASH_FIND_STR (o->synced, name, s);
  if (!s)
    {
      s = calloc (1, sizeof *s);
      memcpy (s->name, name, sizeof name);
      HASH_ADD_STR (o->synced, name, s);
    }
  s->whole = m->whole;
  s->settled = m->settled;
  if (o->lost_until < now + m->lost_ms)
    o->lost_until = m->lost_ms ? now + m->lost_ms : o->lost_until;
  conclude (o, now);
  evaluate_all (o, now);
}
