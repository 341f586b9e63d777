/* Copies records from the other replicas after a restart or a change of the
   pool, and finds out whether there was a restart.  */

#include "internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SYNC_INTERVAL_MS = 500
};

static void
clear_synced_peers (struct bb_once *o)
{
  struct synced_peer *s = o->synced_peers;

  HASH_CLEAR (hh, o->synced_peers);
  while (s)
    {
      struct synced_peer *next = s->hh.next;
      free (s);
      s = next;
    }
}

void
sync_free (struct bb_once *o)
{
  struct hello_sender *sender = o->hello_senders;

  clear_synced_peers (o);
  HASH_CLEAR (hh, o->hello_senders);
  while (sender)
    {
      struct hello_sender *next = sender->hh.next;
      free (sender);
      sender = next;
    }
}

void
sync_restart (struct bb_once *o)
{
  clear_synced_peers (o);
  o->sync_id++;
  o->sync_sent_at = INT64_MIN / 2;
}

/* Whether the records copied from S suffice.  S must know all grants that it
   has made.  If this agent does not know its own, S must also have the records
   of the keys that changes of the pool assigned to it.  */
static bool
is_peer_usable (const struct bb_once *o, const struct synced_peer *s)
{
  return s && s->grants_complete && (o->grants_complete || s->settled);
}

/* Whether this agent is a replica of the pool and has usable records of all
   others.  */
static bool
has_all_records (const struct bb_once *o)
{
  const struct replica_set *set = replica_set_current (o);
  uint32_t candidates
      = set->count < o->limits.candidates ? set->count : o->limits.candidates;
  bool member = false;

  for (uint32_t i = 0; i < set->count; i++)
    {
      struct synced_peer *s;
      if (strcmp (set->names[i], o->name) == 0)
        {
          member = true;
          continue;
        }
      HASH_FIND_STR (o->synced_peers, set->names[i], s);
      if (!is_peer_usable (o, s))
        return false;
    }
  /* With a quorum of one no other agent has copies of lost grants.  */
  return member && (o->grants_complete || quorum_size (candidates) > 1);
}

/* Sets grants_complete once all records have been copied and no grants can be
   missing because replicas left the pool.  */
static void
update_completeness (struct bb_once *o, bb_ms now)
{
  if (has_all_records (o) && now >= o->grants_lost_until)
    {
      o->grants_complete = true;
      o->ever_settled = true;
      o->unsettled_sets = 0;
    }
}

/* Whether half of the other replicas, rounded up, have sent a hello.  */
static bool
have_peers_sent_hello (const struct bb_once *o)
{
  const struct replica_set *set = replica_set_current (o);
  uint32_t hello_count = 0;
  uint32_t others = 0;

  for (uint32_t i = 0; i < set->count; i++)
    {
      struct hello_sender *sender;
      if (strcmp (set->names[i], o->name) == 0)
        continue;
      others++;
      HASH_FIND_STR (o->hello_senders, set->names[i], sender);
      hello_count += sender != NULL;
    }
  return hello_count >= (others + 1) / 2;
}

/* An agent of which nobody knew an earlier incarnation has lost no grants.  */
void
sync_assume_new (struct bb_once *o)
{
  if (o->grants_complete || o->is_restart || !have_peers_sent_hello (o))
    return;
  for (uint32_t i = 0; i < o->entries_count; i++)
    {
      struct hello_sender *sender;
      HASH_FIND_STR (o->hello_senders, o->entries[i], sender);
      if (!sender)
        return;
    }
  o->grants_complete = true;
  o->assumed_new = true;
}

/* Stores that there was an earlier incarnation, whose records are lost, and
   takes back what sync_assume_new has set.  */
static void
mark_grants_lost (struct bb_once *o)
{
  o->is_restart = true;
  if (!o->assumed_new)
    return;
  o->assumed_new = false;
  o->grants_complete = false;
  o->ever_settled = false;
  sync_restart (o);
}

void
bb_once_on_hello (struct bb_once *o, const char *name,
                  uint64_t known_incarnation)
{
  struct hello_sender *sender;

  if (known_incarnation != 0 && known_incarnation != o->incarnation)
    mark_grants_lost (o);
  HASH_FIND_STR (o->hello_senders, name, sender);
  if (!sender && HASH_COUNT (o->hello_senders) < HELLO_SENDERS_MAX)
    {
      sender = calloc (1, sizeof *sender);
      snprintf (sender->name, sizeof sender->name, "%s", name);
      HASH_ADD_STR (o->hello_senders, name, sender);
    }
#ifdef BB_MUTANT_once_found
  o->is_restart = false;
#endif
  sync_assume_new (o);
}

/* Requests the records of the replicas whose records are missing or not
   usable.  */
static void
send_sync_requests (struct bb_once *o, bb_ms now)
{
  const struct replica_set *set = replica_set_current (o);
  struct bb_once_sync m
      = { .id = o->sync_id, .member = bb_bytes_of (o->name) };

  m.sets_count = replica_sets_export (o, now, m.sets);
  for (uint32_t i = 0; i < set->count; i++)
    {
      struct synced_peer *s;
      if (strcmp (set->names[i], o->name) == 0)
        continue;
      HASH_FIND_STR (o->synced_peers, set->names[i], s);
      if (!is_peer_usable (o, s))
        o->ops->send (o->user, set->names[i], BB_MSG_ONCE_SYNC, &m);
    }
}

void
sync_tick (struct bb_once *o, bb_ms now)
{
  sync_assume_new (o);
  /* All grants of an earlier incarnation have expired, and then those under
     earlier sets.  */
  if (now - o->started_at >= o->limits.retention_ms)
    {
      o->grants_complete = true;
      if (now - o->sets_changed_at >= o->limits.retention_ms)
        {
          o->ever_settled = true;
          o->unsettled_sets = 0;
          o->sets_overflow = false;
        }
    }
  update_completeness (o, now);
  if ((o->grants_complete && is_membership_settled (o))
      || now - o->sync_sent_at < SYNC_INTERVAL_MS)
    return;
  o->sync_sent_at = now;
  send_sync_requests (o, now);
}

/* Appends the records of the keys of which MEMBER is a candidate.  */
static void
encode_records (struct bb_once *o, const char *member, bb_ms now,
                msgpack_sbuffer *out)
{
  for (struct record *r = o->oldest; r; r = r->next)
    {
      struct bb_once_note n;
      struct bb_message frame;
      if (!replica_set_has_candidate (o, replica_set_current (o), member,
                                      record_customer (r), record_key (r)))
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
                              .whole = o->grants_complete,
                              .lost_ms = (uint32_t)lost_grants_ms (o, now) };
  char member[NAME_MAX_BYTES + 1];
  msgpack_sbuffer notes;

  snprintf (member, sizeof member, "%.*s", (int)m->member.size, m->member.ptr);
  replica_sets_merge (o, m->sets, m->sets_count, now);
  if (m->sets_count == 0 || m->sets[0].hash != replica_set_current (o)->hash)
    return;
  a.sets_count = replica_sets_export (o, now, a.sets);
  a.settled = is_membership_settled (o);
  msgpack_sbuffer_init (&notes);
  encode_records (o, member, now, &notes);
  a.notes.ptr = notes.data;
  a.notes.size = (uint32_t)notes.size;
  o->ops->send (o->user, member, BB_MSG_ONCE_SYNCED, &a);
  msgpack_sbuffer_destroy (&notes);
}

/* Merges a sequence of encoded messages once_note.  Returns false if one is
   malformed or the table is full.  */
static bool
merge_notes (struct bb_once *o, struct bb_bytes notes, bb_ms now)
{
  while (notes.size > 0)
    {
      struct bb_message m;
      struct bb_decode_error e;
      size_t body_size;
      size_t frame_size;
      bool merged;
      if (bb_frame_peek (notes.ptr, notes.size, &body_size)
              != BB_FRAME_COMPLETE
          || !bb_message_decode (notes.ptr + BB_FRAME_HEADER_BYTES, body_size,
                                 &m, &e))
        return false;
      merged = m.type == BB_MSG_ONCE_NOTE
               && record_merge (o, &m.u.once_note, now);
      bb_message_free (&m);
      if (!merged)
        return false;
      frame_size = BB_FRAME_HEADER_BYTES + body_size;
      notes.ptr += frame_size;
      notes.size -= (uint32_t)frame_size;
    }
  return true;
}

void
bb_once_on_synced (struct bb_once *o, const struct bb_once_synced *m,
                   bb_ms now)
{
  char name[NAME_MAX_BYTES + 1];
  struct synced_peer *s;

  if (m->id != o->sync_id || m->sets_count == 0
      || m->sets[0].hash != replica_set_current (o)->hash
      || replica_sets_merge (o, m->sets, m->sets_count, now)
      || !merge_notes (o, m->notes, now))
    return;
  snprintf (name, sizeof name, "%.*s", (int)m->member.size, m->member.ptr);
  HASH_FIND_STR (o->synced_peers, name, s);
  if (!s)
    {
      s = calloc (1, sizeof *s);
      memcpy (s->name, name, sizeof name);
      HASH_ADD_STR (o->synced_peers, name, s);
    }
  s->grants_complete = m->whole;
  s->settled = m->settled;
  if (o->grants_lost_until < now + m->lost_ms)
    o->grants_lost_until
        = m->lost_ms ? now + m->lost_ms : o->grants_lost_until;
  update_completeness (o, now);
  evaluate_requests (o, now);
}
