/* Gives the grants of keys to agents that request them.  */

#include "internal.h"

#include <string.h>

/* Returns the reply to request M for a key that has the record R.  A grant is
   repeated only to the process that holds it.  */
static enum bb_once_word
reply_for_record (struct bb_once *o, struct record *r,
                  const struct bb_once_ask *m, bb_ms now)
{
  if (r->request_hash != m->print)
    return BB_ONCE_WORD_REUSED;
  if (r->state != BB_ONCE_STATE_HELD)
    return BB_ONCE_WORD_BUSY;
#ifndef BB_MUTANT_once_grant_twice
  if (r->runner != m->runner || r->runner == o->incarnation)
    return BB_ONCE_WORD_HELD;
#endif
  if (m->id < r->id || m->id & ONCE_QUERY_BIT)
    return BB_ONCE_WORD_HELD;
#ifndef BB_MUTANT_once_learned
  if (!r->granted_here
      && !are_grants_known (o, m->customer, m->key, m->age_ms, now))
    return BB_ONCE_WORD_UNSURE;
#endif
  r->granted_here = true;
  r->id = m->id;
  return BB_ONCE_WORD_GRANTED;
}

/* Returns the reply to request M for a key without a record, and records the
   grant if it gives one.  */
static enum bb_once_word
reply_for_new_key (struct bb_once *o, const struct bb_once_ask *m, bb_ms now)
{
  struct record *r;

  if (m->id & ONCE_QUERY_BIT)
    return BB_ONCE_WORD_UNSURE;
  if (!replica_set_has_candidate (o, replica_set_current (o), o->name,
                                  m->customer, m->key))
    return BB_ONCE_WORD_OTHER_SET;
  if (!are_grants_known (o, m->customer, m->key, m->age_ms, now))
    return BB_ONCE_WORD_UNSURE;
  r = record_add (o, m->customer, m->key, m->print, now);
  if (!r)
    {
      o->refused_full++;
      return BB_ONCE_WORD_FULL;
    }
  r->state = BB_ONCE_STATE_HELD;
  r->granted_here = true;
  r->runner = m->runner;
  r->id = m->id;
  return BB_ONCE_WORD_GRANTED;
}

void
bb_once_on_ask (struct bb_once *o, const struct bb_once_ask *m, bb_ms now)
{
  struct bb_once_say a = { .id = m->id, .member = bb_bytes_of (o->name) };
  struct record *r = record_find (o, m->customer, m->key);
  struct bb_once_note n;
  struct bb_message frame;
  char member[NAME_MAX_BYTES + 1] = { 0 };

  memcpy (member, m->member.ptr,
          m->member.size < NAME_MAX_BYTES ? m->member.size : NAME_MAX_BYTES);
  if (r && r->state == BB_ONCE_STATE_DONE && r->request_hash == m->print)
    {
      if (record_note (r, now, &n, &frame))
        {
          o->ops->send (o->user, member, BB_MSG_ONCE_NOTE, &n);
          bb_message_free (&frame);
        }
      return;
    }
  if (replica_sets_merge (o, m->sets, m->sets_count, now))
    a.word = BB_ONCE_WORD_UNSURE;
  else if (!replica_sets_match (o, m->sets, m->sets_count, now))
    a.word = BB_ONCE_WORD_OTHER_SET;
  else
    a.word = (uint8_t)(r ? reply_for_record (o, r, m, now)
                         : reply_for_new_key (o, m, now));
  a.sets_count = replica_sets_export (o, now, a.sets);
  o->ops->send (o->user, member, BB_MSG_ONCE_SAY, &a);
}
