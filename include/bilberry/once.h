#ifndef BILBERRY_ONCE_H
#define BILBERRY_ONCE_H

/* libonce - runs each idempotency key at most once in a pool of agents.
   Link with -lonce -lproto -lxxhash.
   Pure: no socket, no clock, no global.

   The candidates of a key are the first BB_ONCE_CANDIDATES replicas of its
   pool in rendezvous order, over the configured names alone.  An agent runs a
   key only with the grants of more than half of them, its own included, so
   two agents cannot both run it.  A grant counts only from an agent that
   knows all grants that it ever made: one that has lost its records says that
   it is unsure, until it has the records of the others.  */

#include "bilberry/base.h"

enum
{
  BB_ONCE_CANDIDATES = 3,
  BB_ONCE_MEMBERS_MAX = 256
};

/* Finds the candidates of a key, at most MAX, among NAMES.  Writes their
   indexes, the home first, to OUT and returns how many there are.  */
uint32_t bb_once_candidates (const char *const *names, uint32_t count,
                             struct bb_bytes customer, struct bb_bytes key,
                             uint32_t max, uint32_t out[BB_ONCE_CANDIDATES]);

/* Returns the birth time in ms since 1970 that a UUIDv7 or ULID carries; 0
   where KEY is neither.  */
int64_t bb_once_key_timestamp_ms (struct bb_bytes key);

struct bb_once_limits
{
  uint32_t candidates; /* of a key, at most BB_ONCE_CANDIDATES */
  uint32_t keys_max;
  uint32_t bytes_max;
  bb_ms retention_ms;
  bb_ms skew_ms; /* most that callers' clocks differ; 0: births unused */
  bb_ms grant_timeout_ms; /* longest wait for grants */
};

/* A call of a key.  */
struct bb_once_call
{
  uint64_t id; /* names the call in the actions */
  struct bb_bytes customer;
  struct bb_bytes key;
  uint64_t request_hash; /* of the request */
  bb_ms age_ms;          /* since the birth of the key; 0: unknown */
  bb_ms deadline;        /* nothing is run from this time on */
};

/* Actions.  None may call back into the machine.  */
struct bb_once_ops
{
  /* Sends message M of TYPE; false where MEMBER cannot be reached now.  */
  bool (*send) (void *user, const char *member, enum bb_message_type type,
                const void *m);
  /* The call may run now, this once.  bb_once_ended must follow.  */
  void (*run) (void *user, uint64_t call);
  /* The call has the outcome of an earlier one.  */
  void (*answer) (void *user, uint64_t call, const struct bb_once_note *n);
  void (*refuse) (void *user, uint64_t call, const struct bb_verdict *v);
};

struct bb_once;

/* Makes the machine of agent NAME of INCARNATION that starts at NOW.  */
struct bb_once *bb_once_new (const char *name, uint64_t incarnation,
                             const struct bb_once_ops *ops, void *user,
                             bb_ms now);
void bb_once_free (struct bb_once *o);

/* Puts limits in force; before the first members.  */
void bb_once_set_limits (struct bb_once *o, const struct bb_once_limits *l);

/* Puts the configured replicas of the pool in force, NAME among them or not;
   WITNESSES are the names of the configured entries.  */
void bb_once_set_members (struct bb_once *o, const char *const *names,
                          uint32_t count, const char *const *entries,
                          uint32_t entries_count, bb_ms now);

/* Entry or agent NAME says which earlier incarnation of this agent it knew;
   0: none.  */
void bb_once_on_hello (struct bb_once *o, const char *name,
                       uint64_t known_incarnation);

/* Takes a call.  Exactly one of run, answer and refuse follows, now or at a
   later event.  A refusal with BB_RUN_NOT_RUN and BB_REASON_IN_DOUBT or
   BB_REASON_OTHER_SETTINGS tells about this call alone: another agent may be
   asked, but an earlier call of the key may have run.  */
void bb_once_begin (struct bb_once *o, const struct bb_once_call *c,
                    bb_ms now);

/* Whether there is a record of the key.  */
bool bb_once_has_record (struct bb_once *o, struct bb_bytes customer,
                         struct bb_bytes key);

/* The caller of CALL no longer waits; no action follows for it.  A call that
   was told to run still ends by bb_once_ended.  */
void bb_once_cancel (struct bb_once *o, uint64_t call);

/* A call that was told to run has ended.  OUTCOME holds status, headers, body
   or cut; NULL where no answer came: then RUN says whether it may have run. */
void bb_once_complete (struct bb_once *o, uint64_t call,
                       const struct bb_once_note *outcome, enum bb_run run,
                       bb_ms now);

/* Messages of other agents.  */
void bb_once_on_ask (struct bb_once *o, const struct bb_once_ask *m,
                     bb_ms now);
void bb_once_on_say (struct bb_once *o, const struct bb_once_say *m,
                     bb_ms now);
void bb_once_on_note (struct bb_once *o, const struct bb_once_note *m,
                      bb_ms now);
void bb_once_on_release (struct bb_once *o, const struct bb_once_release *m);
void bb_once_on_sync (struct bb_once *o, const struct bb_once_sync *m,
                      bb_ms now);
void bb_once_on_synced (struct bb_once *o, const struct bb_once_synced *m,
                        bb_ms now);

/* Asks again, gives up, forgets old records and asks for lost ones.  To be
   called every BB_ONCE_TICK_MS.  */
enum
{
  BB_ONCE_TICK_MS = 100
};
void bb_once_tick (struct bb_once *o, bb_ms now);

struct bb_once_stats
{
  uint32_t keys;
  uint32_t bytes;
  uint32_t conflicts; /* outcomes that met a run here; never but by a fault */
  uint32_t refused_full; /* keys refused because the table was full */
  bool grants_complete;  /* knows all grants that it ever made */
  bool settled; /* and those of keys that a change of the pool brought */
};

struct bb_once_stats bb_once_stats (const struct bb_once *o);

#endif
