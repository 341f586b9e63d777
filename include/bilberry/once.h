#ifndef BILBERRY_ONCE_H
#define BILBERRY_ONCE_H

/* libonce - runs each idempotency key at most once in a pool of agents.
   Link with -lonce -lproto -lxxhash.
   It does no I/O, reads no clock and has no global state.

   The candidates of a key are the first BB_ONCE_CANDIDATES replicas of its
   pool by rendezvous hashing of the configured names; whether a replica is
   reachable makes no difference.  An agent runs a call of the key only with
   the grants of more than half of the candidates, where its own counts as one,
   so two agents cannot both run it.  An agent grants a key only if it knows
   all grants that it has made for that key.  One that may have lost records,
   by a restart or by a change of the pool, replies "unsure" until it has
   copied the records of the other replicas or until lost grants have expired.

   Times are in ms on the monotonic clock of the agent.  */

#include "bilberry/base.h"

enum
{
  BB_ONCE_CANDIDATES = 3,
  BB_ONCE_MEMBERS_MAX = 256
};

/* Finds the candidates of CUSTOMER's KEY among the COUNT NAMES.  Writes the
   indexes of at most MAX candidates to OUT, highest score first, and returns
   how many it wrote.  MAX is at most BB_ONCE_CANDIDATES.  */
uint32_t bb_once_candidates (const char *const *names, uint32_t count,
                             struct bb_bytes customer, struct bb_bytes key,
                             uint32_t max, uint32_t out[BB_ONCE_CANDIDATES]);

/* Returns the creation time in ms since 1970 that KEY carries if it is a
   UUIDv7 or a ULID, else 0.  */
int64_t bb_once_key_timestamp_ms (struct bb_bytes key);

struct bb_once_limits
{
  uint32_t candidates; /* candidates per key, at most BB_ONCE_CANDIDATES */
  uint32_t keys_max;   /* limit on the records in the table */
  uint32_t bytes_max;  /* limit on the memory of all records, in bytes */
  bb_ms retention_ms;  /* a record that no call uses is deleted at this age */
  bb_ms skew_ms;       /* largest difference between the clocks of callers and
                          agents; 0: the ages of keys are not used */
  bb_ms grant_timeout_ms; /* longest wait for the grants of a key, or for the
                             outcome of a key that another agent holds */
};

/* A request that carries an idempotency key.  */
struct bb_once_call
{
  uint64_t id; /* identifies the call in the callbacks; not 0 */
  struct bb_bytes customer;
  struct bb_bytes key;
  uint64_t request_hash; /* hash of the request; a repeat of the key must have
                            the same */
  bb_ms age_ms;          /* time since the key was created; 0: unknown */
  bb_ms deadline;        /* the call is not run from this time on */
};

/* Callbacks.  They must not call functions of the same struct bb_once.  */
struct bb_once_ops
{
  /* Sends message M of TYPE to agent MEMBER.  Returns false if MEMBER cannot
     be reached now.  */
  bool (*send) (void *user, const char *member, enum bb_message_type type,
                const void *m);
  /* CALL may run now, one time.  bb_once_complete must follow.  */
  void (*run) (void *user, uint64_t call);
  /* CALL is a repeat; N is the outcome of the earlier call.  */
  void (*answer) (void *user, uint64_t call, const struct bb_once_note *n);
  /* CALL is refused with result V.  */
  void (*refuse) (void *user, uint64_t call,
                  const struct bb_request_result *v);
};

struct bb_once;

/* Creates the state of agent NAME, whose process has INCARNATION and starts
   at NOW.  USER is passed to the callbacks.  OPS must stay valid until
   bb_once_free.  Aborts when memory runs out.  */
struct bb_once *bb_once_new (const char *name, uint64_t incarnation,
                             const struct bb_once_ops *ops, void *user,
                             bb_ms now);
void bb_once_free (struct bb_once *o);

/* Sets the limits.  Must be called before the first bb_once_set_members; may
   be called again later.  */
void bb_once_set_limits (struct bb_once *o, const struct bb_once_limits *l);

/* Sets the COUNT configured replicas of the pool, NAMES, and the names of all
   configured entries, ENTRIES.  This agent need not be among NAMES; names
   beyond BB_ONCE_MEMBERS_MAX are ignored.  */
void bb_once_set_members (struct bb_once *o, const char *const *names,
                          uint32_t count, const char *const *entries,
                          uint32_t entries_count, bb_ms now);

/* Handles the hello of entry or agent NAME.  KNOWN_INCARNATION is the
   incarnation of this agent that the sender has last seen; 0 if none.  Any
   other than the present one shows that this agent was restarted and has lost
   its records.  */
void bb_once_on_hello (struct bb_once *o, const char *name,
                       uint64_t known_incarnation);

/* Starts call C.  Exactly one of the callbacks run, answer and refuse follows,
   within this function or a later one, unless the call is cancelled.  A
   refusal with BB_RUN_NOT_RUN and BB_REASON_IN_DOUBT or
   BB_REASON_OTHER_SETTINGS is about this call alone: it may be sent to another
   agent, but an earlier call of the key may have run.  */
void bb_once_begin (struct bb_once *o, const struct bb_once_call *c,
                    bb_ms now);

/* Returns whether the table has a record of CUSTOMER's KEY.  */
bool bb_once_has_record (struct bb_once *o, struct bb_bytes customer,
                         struct bb_bytes key);

/* Cancels CALL, whose caller no longer waits: no callback follows for it.  If
   run was already called for it, bb_once_complete must still follow.  */
void bb_once_cancel (struct bb_once *o, uint64_t call);

/* Ends a call for which run was called.  OUTCOME is the answer: status,
   headers and body, or the flag cut if the body was not kept.  It is NULL if
   no answer came; then RUN tells whether the call may have run, and with
   BB_RUN_NOT_RUN the key may run again.  */
void bb_once_complete (struct bb_once *o, uint64_t call,
                       const struct bb_once_note *outcome, enum bb_run run,
                       bb_ms now);

/* These handle message M of another agent.  */
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

enum
{
  BB_ONCE_TICK_MS = 100
};
/* Repeats unanswered requests for grants, refuses calls and deletes records
   whose time is over, and requests missing records from other replicas.  Must
   be called every BB_ONCE_TICK_MS.  */
void bb_once_tick (struct bb_once *o, bb_ms now);

struct bb_once_stats
{
  uint32_t keys;         /* records in the table */
  uint32_t bytes;        /* memory of all records */
  uint32_t conflicts;    /* outcomes received from another agent for a key that
                            runs here; 0 unless libonce has a fault */
  uint32_t refused_full; /* keys refused because the table was full */
  bool grants_complete;  /* this agent knows all grants that it has made */
  bool settled; /* GRANTS_COMPLETE is true, and this agent has the records of
                   all keys that changes of the pool assigned to it */
};

struct bb_once_stats bb_once_stats (const struct bb_once *o);

#endif
