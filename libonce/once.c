/* Requests the grants of keys, and answers repeated calls from the stored
   outcome.  */

#include "internal.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

enum
{
  /* A request unanswered for longer is sent at every tick.  */
  ASK_RETRY_MS = 200
};

struct bb_once *
bb_once_new (const char *name, uint64_t incarnation,
             const struct bb_once_ops *ops, void *user, bb_ms now)
{
  struct bb_once *o = calloc (1, sizeof *o);

  if (!o)
    abort ();
  strncpy (o->name, name, sizeof o->name - 1);
  o->incarnation = incarnation;
  o->ops = ops;
  o->user = user;
  o->started_at = now;
  o->sets_changed_at = now;
  o->sync_id = incarnation;
  o->last_id = incarnation >> 1;
  return o;
}

void
bb_once_set_limits (struct bb_once *o, const struct bb_once_limits *l)
{
  o->limits = *l;
}

static void
remove_record (struct bb_once *o, struct record *r)
{
  record_set_busy (o, r, false);
  waiters_free (r);
  record_delete (o, r);
}

void
bb_once_free (struct bb_once *o)
{
  while (o->oldest)
    remove_record (o, o->oldest);
  sync_free (o);
  replica_sets_free (o);
  free (o);
}

/* Sends M to the other candidates of R; with ONLY_MISSING to those that have
   not granted the key.  */
static void
send_others (struct bb_once *o, const struct record *r,
             enum bb_message_type type, const void *m, bool only_missing)
{
  uint32_t c[BB_ONCE_CANDIDATES];
  uint32_t count;

  find_candidates (o, record_customer (r), record_key (r), c, &count);
  for (uint32_t i = 0; i < count; i++)
    {
      const char *name = replica_set_current (o)->names[c[i]];
      if (strcmp (name, o->name) == 0 || (only_missing && r->granted[i]))
        continue;
      o->ops->send (o->user, name, type, m);
    }
}

/* Returns the age of the key, at least 1 if it is known; 0 if it is not.  */
static bb_ms
key_age (const struct record *r, bb_ms now)
{
  return r->key_time_known ? now - r->key_created_at + 1 : 0;
}

static void
send_ask (struct bb_once *o, struct record *r, uint64_t id, bb_ms now)
{
  struct bb_once_ask m = { .id = id,
                           .runner = o->incarnation,
                           .member = bb_bytes_of (o->name),
                           .customer = record_customer (r),
                           .key = record_key (r),
                           .print = r->request_hash,
                           .age_ms = (uint32_t)key_age (r, now) };

  m.sets_count = replica_sets_export (o, now, m.sets);
  send_others (o, r, BB_MSG_ONCE_ASK, &m, true);
}

static void
send_release (struct bb_once *o, const struct record *r)
{
  struct bb_once_release m = { .id = r->id,
                               .runner = o->incarnation,
                               .customer = record_customer (r),
                               .key = record_key (r) };

  send_others (o, r, BB_MSG_ONCE_RELEASE, &m, false);
}

static void
send_note (struct bb_once *o, const struct record *r, bb_ms now)
{
  struct bb_once_note n;
  struct bb_message frame;

  if (!record_note (r, now, &n, &frame))
    return;
  send_others (o, r, BB_MSG_ONCE_NOTE, &n, false);
  bb_message_free (&frame);
}

/* Releases the grants, refuses all calls of the key and deletes its record. */
static void
abandon_request (struct bb_once *o, struct record *r, enum bb_run run,
                 enum bb_reason reason)
{
  send_release (o, r);
  waiter_refuse (o, r->call, run, reason);
  waiters_refuse (o, r, run, reason);
  remove_record (o, r);
}

/* Returns the number of grants of R, with this agent's own if it may give it,
   and sets *QUORUM to the number that is needed.  If this agent is not a
   candidate, returns 0 and sets *QUORUM to more than there are candidates.  */
static uint32_t
count_grants (const struct bb_once *o, const struct record *r, bb_ms now,
              uint32_t *quorum)
{
  uint32_t c[BB_ONCE_CANDIDATES];
  uint32_t count;
  uint32_t grants = 0;

  *quorum = BB_ONCE_CANDIDATES + 1;
  if (!find_candidates (o, record_customer (r), record_key (r), c, &count))
    return 0;
  *quorum = quorum_size (count);
#ifdef BB_MUTANT_once_quorum
  *quorum = 1;
#endif
  if (!r->contested
      && are_grants_known (o, record_customer (r), record_key (r),
                           key_age (r, now), now))
    grants++;
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (replica_set_current (o)->names[c[i]], o->name) != 0
        && r->granted[i])
      grants++;
  return grants;
}

static bool
has_reply (const struct record *r, enum bb_once_word word)
{
  for (uint32_t i = 0; i < BB_ONCE_CANDIDATES; i++)
    if (r->replied[i] && r->replies[i] == word)
      return true;
  return false;
}

/* Runs the call of R if a majority has granted its key; ends the request if it
   can no longer succeed or its time is over.  */
static void
evaluate_request (struct bb_once *o, struct record *r, bb_ms now)
{
  uint32_t quorum;
  uint32_t grants = count_grants (o, r, now, &quorum);

  if (has_reply (r, BB_ONCE_WORD_REUSED))
    abandon_request (o, r, BB_RUN_NOT_RUN, BB_REASON_KEY_REUSED);
#ifndef BB_MUTANT_once_deadline
  else if (now >= r->deadline)
    abandon_request (o, r, BB_RUN_NOT_RUN, BB_REASON_IN_DOUBT);
#endif
  else if (r->contested || has_reply (r, BB_ONCE_WORD_HELD))
    abandon_request (o, r, BB_RUN_MAYBE_RUN, BB_REASON_IN_DOUBT);
  else if (grants >= quorum)
    {
      r->state = BB_ONCE_STATE_RUNNING;
      o->ops->run (o->user, r->call);
    }
  else if (has_reply (r, BB_ONCE_WORD_BUSY))
    abandon_request (o, r, BB_RUN_MAYBE_RUN, BB_REASON_IN_PROGRESS);
  else if (now - r->requested_at >= o->limits.grant_timeout_ms)
    abandon_request (o, r, BB_RUN_NOT_RUN,
                     has_reply (r, BB_ONCE_WORD_OTHER_SET)
                         ? BB_REASON_OTHER_SETTINGS
                         : BB_REASON_IN_DOUBT);
}

void
evaluate_requests (struct bb_once *o, bb_ms now)
{
  struct record *r;
  struct record *next;

  for (r = o->busy; r; r = next)
    {
      next = r->busy_next;
      if (r->state == BB_ONCE_STATE_ASKING)
        evaluate_request (o, r, now);
    }
}

/* Handles a call whose key has the record R.  */
static void
begin_repeat (struct bb_once *o, struct record *r,
              const struct bb_once_call *c, bb_ms now)
{
  if (r->request_hash != c->request_hash)
    waiter_refuse (o, c->id, BB_RUN_NOT_RUN, BB_REASON_KEY_REUSED);
  else if (r->state == BB_ONCE_STATE_DONE)
    waiter_replay (o, r, c->id, now);
  else if (r->state == BB_ONCE_STATE_HELD)
    {
      /* Ask the other candidates, which may know the outcome by now.  */
      r->query_id = ONCE_QUERY_BIT | ++o->last_id;
      waiters_add (o, r, c, now + o->limits.grant_timeout_ms);
      send_ask (o, r, r->query_id, now);
    }
  else
    waiters_add (o, r, c, c->deadline);
}

void
bb_once_begin (struct bb_once *o, const struct bb_once_call *c, bb_ms now)
{
  uint32_t candidates[BB_ONCE_CANDIDATES];
  uint32_t count;
  bb_ms longest = o->limits.retention_ms / 2;
  struct record *r = record_find (o, c->customer, c->key);

  if (r)
    {
      begin_repeat (o, r, c, now);
      return;
    }
  if (!find_candidates (o, c->customer, c->key, candidates, &count))
    {
      waiter_refuse (o, c->id, BB_RUN_NOT_RUN, BB_REASON_OTHER_SETTINGS);
      return;
    }
  r = record_add (o, c->customer, c->key, c->request_hash, now);
  if (!r)
    {
      o->refused_full++;
      waiter_refuse (o, c->id, BB_RUN_NOT_RUN, BB_REASON_IN_DOUBT);
      return;
    }
  r->state = BB_ONCE_STATE_ASKING;
  r->runner = o->incarnation;
  r->id = ++o->last_id;
  r->call = c->id;
  r->requested_at = now;
  r->key_time_known = c->age_ms > 0;
  r->key_created_at = now - c->age_ms;
  r->deadline = c->deadline < now + longest ? c->deadline : now + longest;
  record_set_busy (o, r, true);
  send_ask (o, r, r->id, now);
  evaluate_request (o, r, now);
}

bool
bb_once_has_record (struct bb_once *o, struct bb_bytes customer,
                    struct bb_bytes key)
{
  return record_find (o, customer, key) != NULL;
}

static struct record *
find_call (struct bb_once *o, uint64_t call)
{
  struct record *r;

  for (r = o->busy; r; r = r->busy_next)
    if (r->call == call)
      return r;
  return NULL;
}

void
bb_once_cancel (struct bb_once *o, uint64_t call)
{
  struct record *r = find_call (o, call);
  struct waiter *w;

  if (!r)
    {
      waiters_cancel (o, call);
      return;
    }
  if (r->state != BB_ONCE_STATE_ASKING)
    return;
  w = r->waiters;
  if (!w)
    {
      send_release (o, r);
      remove_record (o, r);
      return;
    }
  r->call = w->call;
  r->deadline = w->deadline;
  LL_DELETE (r->waiters, w);
  r->waiters_count--;
  free (w);
}

void
bb_once_complete (struct bb_once *o, uint64_t call,
                  const struct bb_once_note *outcome, enum bb_run run,
                  bb_ms now)
{
  struct record *r = find_call (o, call);

  if (!r || r->state != BB_ONCE_STATE_RUNNING)
    return;
  r->call = 0;
  if (outcome)
    {
      record_store_outcome (o, r, outcome);
      send_note (o, r, now);
      waiters_replay (o, r, now);
      record_set_busy (o, r, false);
    }
  else if (run == BB_RUN_NOT_RUN)
    abandon_request (o, r, BB_RUN_NOT_RUN, BB_REASON_UPSTREAM_REFUSED);
  else
    {
      r->state = BB_ONCE_STATE_HELD;
      waiters_refuse (o, r, BB_RUN_MAYBE_RUN, BB_REASON_IN_DOUBT);
      record_set_busy (o, r, false);
    }
}

/* Stores the reply M of a candidate of R.  */
static void
store_reply (struct bb_once *o, struct record *r, const struct bb_once_say *m)
{
  uint32_t c[BB_ONCE_CANDIDATES];
  uint32_t count;

  find_candidates (o, record_customer (r), record_key (r), c, &count);
  for (uint32_t i = 0; i < count; i++)
    if (bb_bytes_equal (m->member, replica_set_current (o)->names[c[i]]))
      {
        r->replied[i] = true;
        r->replies[i] = m->word;
        r->granted[i] |= m->word == BB_ONCE_WORD_GRANTED;
      }
}

/* Handles the reply to a request for an outcome.  If the key still runs at
   another agent, the waiting calls are refused.  */
static void
on_query_reply (struct bb_once *o, const struct bb_once_say *m)
{
  struct record *r;

  if (m->word != BB_ONCE_WORD_BUSY)
    return;
  for (r = o->busy; r; r = r->busy_next)
    if (r->query_id == m->id)
      break;
  if (!r || r->state != BB_ONCE_STATE_HELD)
    return;
  waiters_refuse (o, r, BB_RUN_MAYBE_RUN, BB_REASON_IN_PROGRESS);
  record_set_busy (o, r, false);
}

void
bb_once_on_say (struct bb_once *o, const struct bb_once_say *m, bb_ms now)
{
  struct record *r;

  replica_sets_merge (o, m->sets, m->sets_count, now);
  if (m->id & ONCE_QUERY_BIT)
    {
      on_query_reply (o, m);
      return;
    }
  for (r = o->busy; r; r = r->busy_next)
    if (r->state == BB_ONCE_STATE_ASKING && r->id == m->id)
      break;
  if (!r)
    return;
  store_reply (o, r, m);
  evaluate_request (o, r, now);
}

/* Stores the outcome M that another agent sent and answers the waiting calls.
   If this agent was requesting grants, it passes the outcome on to the other
   candidates, which may have granted it the key.  */
static void
accept_outcome (struct bb_once *o, struct record *r,
                const struct bb_once_note *m, bb_ms now)
{
  uint64_t call = r->call;
  bool was_asking = r->state == BB_ONCE_STATE_ASKING;

  r->call = 0;
  r->runner = m->runner;
  record_store_outcome (o, r, m);
  if (was_asking)
    send_note (o, r, now);
  waiter_replay (o, r, call, now);
  waiters_replay (o, r, now);
  record_set_busy (o, r, false);
}

bool
record_merge (struct bb_once *o, const struct bb_once_note *m, bb_ms now)
{
  struct record *r = record_find (o, m->customer, m->key);

  if (m->age_ms >= (uint64_t)o->limits.retention_ms)
    return true;
  if (!r)
    {
      r = record_add (o, m->customer, m->key, m->print, now - m->age_ms);
      if (!r)
        return false;
      r->state = BB_ONCE_STATE_HELD;
      r->runner = m->runner;
      r->id = m->id;
    }
  if (r->state == BB_ONCE_STATE_DONE)
    return true;
  if (m->state == BB_ONCE_STATE_DONE)
    {
      if (r->state == BB_ONCE_STATE_RUNNING)
        o->conflicts++;
      else
        accept_outcome (o, r, m, now);
    }
  else if (r->state == BB_ONCE_STATE_ASKING && m->runner != o->incarnation)
    r->contested = true;
  return true;
}

void
bb_once_on_note (struct bb_once *o, const struct bb_once_note *m, bb_ms now)
{
  record_merge (o, m, now);
}

void
bb_once_on_release (struct bb_once *o, const struct bb_once_release *m)
{
  struct record *r = record_find (o, m->customer, m->key);

  if (r && r->state == BB_ONCE_STATE_HELD && r->runner == m->runner
      && r->runner != o->incarnation && r->id == m->id)
    {
      waiters_refuse (o, r, BB_RUN_NOT_RUN, BB_REASON_IN_DOUBT);
      remove_record (o, r);
    }
}

static void
tick_record (struct bb_once *o, struct record *r, bb_ms now)
{
  waiters_expire (o, r, now);
  if (r->state != BB_ONCE_STATE_ASKING)
    return;
  if (now - r->requested_at >= ASK_RETRY_MS)
    send_ask (o, r, r->id, now);
  evaluate_request (o, r, now);
}

void
bb_once_tick (struct bb_once *o, bb_ms now)
{
  struct record *r;
  struct record *next;

  sync_tick (o, now);
  for (r = o->busy; r; r = next)
    {
      next = r->busy_next;
      tick_record (o, r, now);
    }
  table_expire (o, now);
}

struct bb_once_stats
bb_once_stats (const struct bb_once *o)
{
  struct bb_once_stats s = { .keys = HASH_COUNT (o->records),
                             .bytes = o->bytes,
                             .conflicts = o->conflicts,
                             .refused_full = o->refused_full,
                             .grants_complete = o->grants_complete,
                             .settled = is_membership_settled (o) };

  return s;
}
