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

/* A call that waits for the end of another call of its key.  */
struct waiter
{
  uint64_t call;
  bb_ms deadline;
  struct waiter *next;
};

/* What is known of one key.  */
struct record
{
  char *table_key; /* customer, a null byte, key */
  uint32_t table_key_size;
  uint32_t customer_size;
  uint32_t key_size;
  uint64_t request_hash;
  uint8_t state;     /* enum bb_once_state */
  uint64_t runner;   /* incarnation of the agent that holds the grants */
  uint64_t id;       /* of its request for them */
  bool granted_here; /* held: granted here, not learned from another agent */
  bb_ms created_at;
  char *outcome; /* frame of once_note when done */
  uint32_t outcome_size;

  /* While this agent asks or runs.  */
  uint64_t call; /* 0: nobody waits for it */
  bb_ms requested_at;
  bool key_time_known;
  bb_ms key_created_at; /* birth of the key, on this agent's clock */
  bb_ms deadline;
  bool granted[BB_ONCE_CANDIDATES];
  uint8_t replies[BB_ONCE_CANDIDATES]; /* enum bb_once_word; heard: set */
  bool replied[BB_ONCE_CANDIDATES];
  bool contested;    /* another agent holds grants of the key */
  bool in_busy_list; /* in the list of busy records */
  uint32_t waiters_count;
  uint64_t query_id; /* of the last question for the outcome */
  struct waiter *waiters;

  struct record *prev; /* by age, oldest first */
  struct record *next;
  struct record *busy_prev; /* asking or running here */
  struct record *busy_next;
  UT_hash_handle hh;
};

/* Configured replicas of the pool at one time.  */
struct replica_set
{
  uint64_t hash;
  char *names[BB_ONCE_MEMBERS_MAX];
  uint32_t count;
  bool names_unknown; /* known from others only; its names are unknown */
  bb_ms replaced_at;  /* when the next one came; of an earlier set */
};

/* Another agent whose records this one has.  */
struct synced_peer
{
  char name[NAME_MAX_BYTES + 1];
  bool grants_complete;
  bool settled;
  UT_hash_handle hh;
};

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

  struct record *records; /* by name */
  struct record *oldest;
  struct record *newest;
  struct record *busy;
  uint32_t bytes;

  struct replica_set sets[REPLICA_SETS_MAX]; /* the first is in force */
  uint32_t sets_count;
  uint32_t unsettled_sets; /* sets that came after the last settled one */
  bool sets_overflow;      /* more changes than are remembered */
  bb_ms sets_changed_at;
  bb_ms grants_lost_until; /* so many replicas left that grants may be lost */

  uint32_t conflicts;
  uint32_t refused_full;
  bool grants_complete;
  bool assumed_new; /* whole because nobody knew an earlier incarnation */
  bool ever_settled;
  bool is_restart; /* somebody knew an earlier incarnation of this agent */
  struct hello_sender *hello_senders;
  char **entries;
  uint32_t entries_count;

  uint64_t sync_id;
  bb_ms sync_sent_at;
  struct synced_peer *synced_peers; /* by name, since the set in force came */
};

/* table.c */
struct record *record_find (struct bb_once *o, struct bb_bytes customer,
                            struct bb_bytes key);
/* Makes a record; NULL where the table is full.  */
struct record *record_add (struct bb_once *o, struct bb_bytes customer,
                           struct bb_bytes key, uint64_t request_hash,
                           bb_ms created_at);
void record_delete (struct bb_once *o, struct record *r);
/* Keeps an outcome; it is cut to its status where the table is full.  */
void record_store_outcome (struct bb_once *o, struct record *r,
                           const struct bb_once_note *n);
void record_link_busy (struct bb_once *o, struct record *r, bool busy);
void table_expire (struct bb_once *o, bb_ms now);
struct bb_bytes record_customer (const struct record *r);
struct bb_bytes record_key (const struct record *r);
/* Fills N from R; its bytes live in FRAME, which the caller frees by
   bb_message_free where this returns true.  */
bool record_note (const struct record *r, bb_ms now, struct bb_once_note *n,
                  struct bb_message *frame);

/* replica_set.c */
const struct replica_set *replica_set_current (const struct bb_once *o);
uint32_t quorum_size (uint32_t candidates);
/* Finds the candidates; false where this agent is not one of them.  */
bool find_candidates (const struct bb_once *o, struct bb_bytes customer,
                      struct bb_bytes key, uint32_t out[BB_ONCE_CANDIDATES],
                      uint32_t *count);
bool replica_set_has_candidate (const struct bb_once *o,
                                const struct replica_set *s, const char *name,
                                struct bb_bytes customer, struct bb_bytes key);
/* Whether this agent knows all grants that it ever made for the key.  */
bool are_grants_known (const struct bb_once *o, struct bb_bytes customer,
                       struct bb_bytes key, bb_ms age_ms, bb_ms now);
bool is_membership_settled (const struct bb_once *o);
/* Writes the hashes of the sets of concern, the one in force first.  */
uint32_t replica_sets_export (const struct bb_once *o, bb_ms now,
                              struct bb_once_set out[REPLICA_SETS_MAX]);
/* Learns of sets that this agent missed; true where there were any.  */
bool replica_sets_merge (struct bb_once *o, const struct bb_once_set *sets,
                         uint32_t count, bb_ms now);
/* Whether the peer that sent SETS has the set in force and missed none.  */
bool replica_sets_match (const struct bb_once *o,
                         const struct bb_once_set *sets, uint32_t count,
                         bb_ms now);
/* How long grants may still be missing because replicas left.  */
bb_ms lost_grants_ms (const struct bb_once *o, bb_ms now);
void replica_sets_free (struct bb_once *o);

/* sync.c */
void sync_tick (struct bb_once *o, bb_ms now);
void sync_restart (struct bb_once *o);
void sync_assume_new (struct bb_once *o);
void sync_free (struct bb_once *o);

/* once.c */
/* Merges what another agent knows of a key; false where the table is full. */
bool record_merge (struct bb_once *o, const struct bb_once_note *m, bb_ms now);
/* Decides again about all records that this agent asks for.  */
void evaluate_requests (struct bb_once *o, bb_ms now);

#endif
