#ifndef ONCE_INTERNAL_H
#define ONCE_INTERNAL_H

#include "bilberry/once.h"
#include "bilberry/wire.h"

#include <uthash.h>

enum
{
  REPLICA_SETS_MAX = 8,
  HELLO_SENDERS_MAX = 1024,
  NAME_MAX_BYTES = 128,
  TABLE_KEY_MAX_BYTES = 512
};

/* Set in the id of a message once_ask that requests the outcome of a key, not
   a grant.  */
#define ONCE_QUERY_BIT (UINT64_C (1) << 63)

/* A call that waits for the outcome of another call of the same key.  */
struct waiter
{
  uint64_t call;
  bb_ms deadline;
  struct waiter *next;
};

/* What this agent knows of one key of one customer.  */
struct record
{
  char *table_key; /* hash table key: customer, a null byte, key */
  uint32_t table_key_size;
  uint32_t customer_size;
  uint32_t key_size;
  uint64_t request_hash;
  uint8_t state;     /* enum bb_once_state */
  uint64_t runner;   /* incarnation of the agent that holds the grants */
  uint64_t id;       /* id of the runner's request for the grants */
  bool granted_here; /* in state held: granted by this agent, not learned from
                        another one */
  bb_ms created_at;  /* when the first agent made the record */
  char *outcome; /* encoded message once_note; NULL until the state is done */
  uint32_t outcome_size;

  /* While this agent requests grants or runs the call.  */
  uint64_t call;        /* call that is to run or runs; 0: none */
  bb_ms requested_at;   /* when the grants were first requested */
  bool key_time_known;  /* key_created_at is valid */
  bb_ms key_created_at; /* when the caller created the key */
  bb_ms deadline;
  bool granted[BB_ONCE_CANDIDATES]; /* by candidate: it has granted the key */
  uint8_t replies[BB_ONCE_CANDIDATES]; /* by candidate: its reply, enum
                                          bb_once_word, if it replied */
  bool replied[BB_ONCE_CANDIDATES];
  bool contested;    /* another agent holds grants of the key */
  bool in_busy_list; /* linked by busy_prev and busy_next */
  uint32_t waiters_count;
  uint64_t query_id; /* id of the last request for the outcome */
  struct waiter *waiters;

  struct record *prev; /* list by created_at, oldest first */
  struct record *next;
  struct record *busy_prev; /* list of records that are requesting or running
                               here, or have waiters */
  struct record *busy_next;
  UT_hash_handle hh;
};

/* The replicas of the pool that were configured at one time.  */
struct replica_set
{
  uint64_t hash; /* hash of the names, in any order */
  char *names[BB_ONCE_MEMBERS_MAX];
  uint32_t count;
  /* Only the hash of the set is known, from another agent.  */
  bool names_unknown;
  bb_ms replaced_at; /* when the next set came into force; valid in an earlier
                        set */
};

/* Another replica whose records this agent has copied.  */
struct synced_peer
{
  char name[NAME_MAX_BYTES + 1];
  bool grants_complete; /* the peer knows all grants that it has made */
  bool settled; /* GRANTS_COMPLETE is true, and the peer has the records of all
                   keys that changes of the pool assigned to it */
  UT_hash_handle hh;
};

/* An entry or agent that has sent a hello to this process.  */
struct hello_sender
{
  char name[NAME_MAX_BYTES + 1];
  UT_hash_handle hh;
};

struct bb_once
{
  char name[NAME_MAX_BYTES + 1];
  uint64_t incarnation;
  const struct bb_once_ops *ops;
  void *user;
  struct bb_once_limits limits;
  bb_ms started_at;
  uint64_t last_id;

  struct record *records; /* hash table by table_key */
  struct record *oldest;
  struct record *newest;
  struct record *busy; /* list of records that are requesting or running here,
                          or have waiters */
  uint32_t bytes;      /* memory of all records, in bytes */

  /* sets[0] is in force, the others are earlier ones.  */
  struct replica_set sets[REPLICA_SETS_MAX];
  uint32_t sets_count;
  uint32_t unsettled_sets; /* sets that came into force since the records of
                              all replicas were last copied */
  bool sets_overflow;      /* an earlier set was dropped for lack of room */
  bb_ms sets_changed_at;
  bb_ms grants_lost_until; /* time until which grants may be missing, as
                              reported by another replica, because too many
                              replicas have left */

  uint32_t conflicts;
  uint32_t refused_full;
  bool grants_complete; /* all grants that this agent has made are known */
  bool assumed_new; /* grants_complete was set because no entry or agent knew
                       an earlier incarnation */
  bool ever_settled;
  bool is_restart; /* an entry or agent knew an earlier incarnation */
  struct hello_sender *hello_senders;
  char **entries; /* names of all configured entries */
  uint32_t entries_count;

  uint64_t sync_id;
  bb_ms sync_sent_at;
  /* Hash table by name; emptied when the sets change.  */
  struct synced_peer *synced_peers;
};

/* table.c */
struct record *record_find (struct bb_once *o, struct bb_bytes customer,
                            struct bb_bytes key);
/* Creates a record; returns NULL if the table is full or the key too long.  */
struct record *record_add (struct bb_once *o, struct bb_bytes customer,
                           struct bb_bytes key, uint64_t request_hash,
                           bb_ms created_at);
void record_delete (struct bb_once *o, struct record *r);
/* Stores outcome N in R; only the status, with the flag cut, if the whole does
   not fit in the table.  */
void record_store_outcome (struct bb_once *o, struct record *r,
                           const struct bb_once_note *n);
/* Adds R to the list of busy records or removes it.  */
void record_link_busy (struct bb_once *o, struct record *r, bool busy);
/* Deletes the records past the retention time, oldest first, up to the first
   busy one.  */
void table_expire (struct bb_once *o, bb_ms now);
struct bb_bytes record_customer (const struct record *r);
struct bb_bytes record_key (const struct record *r);
/* Fills N from R.  Returns whether R has an outcome; if so, N points into
   FRAME, which the caller frees with bb_message_free.  */
bool record_note (const struct record *r, bb_ms now, struct bb_once_note *n,
                  struct bb_message *frame);

/* replica_set.c */
/* Returns the set in force.  */
const struct replica_set *replica_set_current (const struct bb_once *o);
/* Returns the number of grants that is a majority of CANDIDATES.  */
uint32_t quorum_size (uint32_t candidates);
/* Finds the candidates of a key in the set in force, as indexes of its names.
   Returns whether this agent is one of them.  */
bool find_candidates (const struct bb_once *o, struct bb_bytes customer,
                      struct bb_bytes key, uint32_t out[BB_ONCE_CANDIDATES],
                      uint32_t *count);
/* Returns whether NAME is a candidate of the key in S.  */
bool replica_set_has_candidate (const struct bb_once *o,
                                const struct replica_set *s, const char *name,
                                struct bb_bytes customer, struct bb_bytes key);
/* Returns whether this agent knows all grants of the key that bind it, and
   thus may grant it: those that it made before a restart and those of
   candidates that a change of the pool replaced.  AGE_MS is the age of the
   key; 0 if unknown.  */
bool are_grants_known (const struct bb_once *o, struct bb_bytes customer,
                       struct bb_bytes key, bb_ms age_ms, bb_ms now);
/* Returns whether the records of all replicas have been copied since the set
   in force came, or the retention time has passed since.  */
bool is_membership_settled (const struct bb_once *o);
/* Writes the hashes and ages of the set in force and of the earlier ones that
   were replaced within the retention time; the one in force is first.  Returns
   how many there are.  */
uint32_t replica_sets_export (const struct bb_once *o, bb_ms now,
                              struct bb_once_set out[REPLICA_SETS_MAX]);
/* Adds the earlier sets of a peer that this agent has missed, if the peer has
   the same set in force.  Returns whether there were any.  */
bool replica_sets_merge (struct bb_once *o, const struct bb_once_set *sets,
                         uint32_t count, bb_ms now);
/* Returns whether the peer that sent SETS has the same set in force and knows
   all recent earlier sets that this agent knows.  */
bool replica_sets_match (const struct bb_once *o,
                         const struct bb_once_set *sets, uint32_t count,
                         bb_ms now);
/* Returns for how long grants may still be missing because so many replicas
   left the pool that all candidates that granted a key may be among them; 0 if
   none are missing.  */
bb_ms lost_grants_ms (const struct bb_once *o, bb_ms now);
void replica_sets_free (struct bb_once *o);

/* sync.c */
void sync_tick (struct bb_once *o, bb_ms now);
/* Forgets whose records have been copied, so that all are requested again.  */
void sync_restart (struct bb_once *o);
/* Sets grants_complete if all entries and enough replicas have sent a hello
   and none knew an earlier incarnation.  */
void sync_assume_new (struct bb_once *o);
void sync_free (struct bb_once *o);

/* waiters.c */
/* Links R to the busy records, or removes it from them.  */
void record_set_busy (struct bb_once *o, struct record *r, bool busy);
/* Refuses CALL, unless it is 0.  */
void waiter_refuse (struct bb_once *o, uint64_t call, enum bb_run run,
                    enum bb_reason reason);
/* Answers CALL with the outcome stored in R, or refuses it if there is none or
   it has been cut.  Does nothing if CALL is 0.  */
void waiter_replay (struct bb_once *o, const struct record *r, uint64_t call,
                    bb_ms now);
/* Lets the call C wait for the outcome of R until DEADLINE; refuses it if too
   many wait.  */
void waiters_add (struct bb_once *o, struct record *r,
                  const struct bb_once_call *c, bb_ms deadline);
/* Removes CALL from the waiters of its key.  */
void waiters_cancel (struct bb_once *o, uint64_t call);
/* Refuses the waiting calls of R whose deadline has passed.  */
void waiters_expire (struct bb_once *o, struct record *r, bb_ms now);
/* Refuse, and answer, all waiting calls of R.  */
void waiters_refuse (struct bb_once *o, struct record *r, enum bb_run run,
                     enum bb_reason reason);
void waiters_replay (struct bb_once *o, struct record *r, bb_ms now);
void waiters_free (struct record *r);

/* once.c */
/* Merges the record of a key that another agent sent.  Returns false if the
   table is full.  */
bool record_merge (struct bb_once *o, const struct bb_once_note *m, bb_ms now);
/* Decides again whether the requests for grants have succeeded or failed.  */
void evaluate_requests (struct bb_once *o, bb_ms now);

#endif
