#ifndef ONCE_INTERNAL_H
#define ONCE_INTERNAL_H

#include "bilberry/once.h"
#include "bilberry/wire.h"

#include <uthash.h>

enum
{
  SETS_MAX = 8,
  WITNESSES_MAX = 1024,
  NAME_MAX_BYTES = 128,
  KEY_MAX_BYTES = 512
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
  char *name; /* customer, a null byte, key */
  uint32_t name_size;
  uint32_t customer_size;
  uint32_t key_size;
  uint64_t print;
  uint8_t state;   /* enum bb_once_state */
  uint64_t runner; /* incarnation of the agent that holds the grants */
  uint64_t id;     /* of its request for them */
  bool own_grant;  /* held: granted here, not learned from another agent */
  bb_ms made;
  char *outcome; /* frame of once_note when done */
  uint32_t outcome_size;

  /* While this agent asks or runs.  */
  uint64_t call; /* 0: nobody waits for it */
  bb_ms asked;
  bool born_known;
  bb_ms born; /* birth of the key, on this agent's clock */
  bb_ms deadline;
  bool granted[BB_ONCE_CANDIDATES];
  uint8_t said[BB_ONCE_CANDIDATES]; /* enum bb_once_word; heard: set */
  bool heard[BB_ONCE_CANDIDATES];
  bool contested; /* another agent holds grants of the key */
  bool listed;    /* in the list of busy records */
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
struct set
{
  uint64_t hash;
  char *names[BB_ONCE_MEMBERS_MAX];
  uint32_t count;
  bool missed; /* known from others only; its names are unknown */
  bb_ms until; /* when the next one came; of an earlier set */
};

/* Another agent whose records this one has.  */
struct synced
{
  char name[NAME_MAX_BYTES + 1];
  bool whole;
  bool settled;
  UT_hash_handle hh;
};

struct witness
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
  bb_ms started;
  uint64_t last_id;

  struct record *records; /* by name */
  struct record *oldest;
  struct record *newest;
  struct record *busy;
  uint32_t bytes;

  struct set sets[SETS_MAX]; /* the first is in force */
  uint32_t sets_count;
  uint32_t unsettled_sets; /* sets that came after the last settled one */
  bool sets_overflow;      /* more changes than are remembered */
  bb_ms changed;
  bb_ms lost_until; /* so many replicas left that grants may be lost */

  uint32_t conflicts;
  uint32_t full;
  bool whole;
  bool founded; /* whole because nobody knew an earlier incarnation */
  bool ever_settled;
  bool knew_earlier; /* somebody knew an earlier incarnation of this agent */
  struct witness *testified;
  char **witnesses;
  uint32_t witnesses_count;

  uint64_t sync_id;
  bb_ms sync_sent;
  struct synced *synced; /* by name, since the set in force came */
};

/* table.c */
struct record *record_find (struct bb_once *o, struct bb_bytes customer,
                            struct bb_bytes key);
/* Makes a record; NULL where the table is full.  */
struct record *record_add (struct bb_once *o, struct bb_bytes customer,
                           struct bb_bytes key, uint64_t print, bb_ms made);
void record_delete (struct bb_once *o, struct record *r);
/* Keeps an outcome; it is cut to its status where the table is full.  */
void record_keep (struct bb_once *o, struct record *r,
                  const struct bb_once_note *n);
void record_busy (struct bb_once *o, struct record *r, bool busy);
void table_expire (struct bb_once *o, bb_ms now);
struct bb_bytes record_customer (const struct record *r);
struct bb_bytes record_key (const struct record *r);
/* Fills N from R; its bytes live in FRAME, which the caller frees by
   bb_message_free where this returns true.  */
bool record_note (const struct record *r, bb_ms now, struct bb_once_note *n,
                  struct bb_message *frame);

/* set.c */
const struct set *set_now (const struct bb_once *o);
uint32_t set_quorum (uint32_t candidates);
/* Finds the candidates; false where this agent is not one of them.  */
bool set_candidates (const struct bb_once *o, struct bb_bytes customer,
                     struct bb_bytes key, uint32_t out[BB_ONCE_CANDIDATES],
                     uint32_t *count);
bool set_has_candidate (const struct bb_once *o, const struct set *s,
                        const char *name, struct bb_bytes customer,
                        struct bb_bytes key);
/* Whether this agent knows all grants that it ever made for the key.  */
bool set_is_sure (const struct bb_once *o, struct bb_bytes customer,
                  struct bb_bytes key, bb_ms age_ms, bb_ms now);
bool set_is_settled (const struct bb_once *o);
/* Writes the hashes of the sets of concern, the one in force first.  */
uint32_t set_list (const struct bb_once *o, bb_ms now,
                   struct bb_once_set out[SETS_MAX]);
/* Learns of sets that this agent missed; true where there were any.  */
bool set_learn (struct bb_once *o, const struct bb_once_set *sets,
                uint32_t count, bb_ms now);
/* Whether the peer that sent SETS has the set in force and missed none.  */
bool set_agrees (const struct bb_once *o, const struct bb_once_set *sets,
                 uint32_t count, bb_ms now);
/* How long grants may still be missing because replicas left.  */
bb_ms set_lost_ms (const struct bb_once *o, bb_ms now);
void set_free_all (struct bb_once *o);

/* sync.c */
void sync_tick (struct bb_once *o, bb_ms now);
void sync_restart (struct bb_once *o);
void sync_found (struct bb_once *o);
void sync_free (struct bb_once *o);

/* once.c */
/* Merges what another agent knows of a key; false where the table is full. */
bool record_merge (struct bb_once *o, const struct bb_once_note *m, bb_ms now);
/* Decides again about all records that this agent asks for.  */
void evaluate_all (struct bb_once *o, bb_ms now);

#endif
