#ifndef ONCE_SIM_NODES_H
#define ONCE_SIM_NODES_H

/* The agents, entries, upstreams and callers of a simulation of libonce, for
   once_sim.c, which adds the faults.  */

#include "once_sim.h"

enum
{
  AGENTS_MAX = 6,
  ENTRIES_MAX = 4,
  NODES_MAX = AGENTS_MAX + ENTRIES_MAX,
  TRIES_MAX = 5, /* tries of a caller for one key */
  SENDS_MAX = 3, /* sends of an entry for one try */
  HELLO_INTERVAL_MS = 200,
  CALL_DEADLINE_MS = 1500,
  CALLER_TIMEOUT_MS = 2000, /* time limit of one try */
  FIRST_KEY_MS = 2000,
  RETENTION_MS = 600000,
  REVISIONS_MAX = 64
};

enum packet_kind
{
  KIND_CALL,
  KIND_REPLY,
  KIND_HELLO,
  KIND_HELLO_REPLY,
  KIND_FRAME
};

struct packet
{
  uint32_t kind;
  uint64_t id; /* id of the call or the hello */
  uint32_t key;
  bb_ms deadline;
  uint64_t incarnation; /* in a hello: of the receiver, as the sender last saw
                           it, or 0; in a hello reply: of the sender */
  bool answered;
  uint8_t run;
  uint8_t reason;
  uint32_t value;
};

/* One revision of the settings.  */
struct revision
{
  bool member[AGENTS_MAX]; /* is a configured replica */
  bool out[AGENTS_MAX];    /* is marked out of service */
};

struct simulation;

struct node
{
  struct simulation *simulation;
  uint32_t index;
  uint64_t incarnation;
  uint32_t revision;
  bool down;
  uint64_t known_incarnations[AGENTS_MAX]; /* incarnation in the newest hello
                                              reply of each agent; 0: none */
  uint64_t hello_id;                       /* id of the last hello sent */
  uint64_t hello_reply_id[AGENTS_MAX];     /* id of the newest hello that each
                                              agent replied to */
  bb_ms hello_reply_at[AGENTS_MAX];
  char name[32];
  struct bb_once *once; /* NULL for an entry */
};

/* One send of a request from an entry to an agent.  */
struct call_state
{
  uint32_t key;
  uint32_t entry;
  uint64_t entry_incarnation;
  uint32_t sends;
  uint64_t first; /* not used */
  uint32_t attempt;
  bool closed;    /* the entry has a reply */
  bool delivered; /* the call has reached an agent */
  bool ran;
  bool refused_not_run;
};

struct key_state
{
  char name[40];
  bb_ms created_at;
  uint32_t tries;
  uint32_t runs;
  uint32_t value;   /* value of the last answer; 0: no answer */
  uint32_t attempt; /* number of the try in progress; 0: none */
  bool answered;
  bool may_have_run; /* a try may have run */
  bool last_not_run;
};

struct simulation
{
  const struct once_sim_options *o;
  struct bb_sim *sim;
  struct node nodes[NODES_MAX];
  struct revision revisions[REVISIONS_MAX];
  uint32_t revisions_count;
  GPtrArray *timers;
  GArray *calls; /* struct call_state; ids start at 1 */
  struct key_state *keys;
  uint32_t values; /* last value that an upstream answered */
  bb_ms end;       /* time from which there are no new keys or faults */
  struct once_sim_result result;
};

/* Argument of a timer callback of a node or a key.  */
struct timer
{
  struct simulation *simulation;
  struct node *n;       /* NULL for a key */
  uint64_t id;          /* call, key or revision that the event is about */
  uint64_t value;       /* value of an answer or number of a try */
  uint64_t incarnation; /* incarnation of the node when the timer was set; the
                           callback does nothing if the node has another one by
                           then */
};

/* Returns a random number from FROM up to, but not including, TO.  */
int once_sim_random (struct simulation *s, int from, int to);
/* Returns the argument of an event of N, which the simulation owns.  */
struct timer *once_sim_timer (struct simulation *s, struct node *n,
                              uint64_t id, uint64_t value);
/* Tells agent N the configured replicas.  */
void once_sim_set_members (struct node *n);
/* Starts the process of a node with a new incarnation.  */
void once_sim_start_node (struct node *n);
/* Event: a caller sends a key for the first time.  */
void once_sim_on_first_try (struct bb_sim *sim, void *arg);
/* Event: a packet arrives.  ARG is the simulation.  */
void once_sim_on_deliver (struct bb_sim *sim, uint32_t from, uint32_t to,
                          const void *data, size_t size, void *arg);

#endif
