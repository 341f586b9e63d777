#ifndef EDGE_H
#define EDGE_H

/* bilberry-edge - takes requests of callers and sends them straight to
   upstreams.

   A request walks one way: input.c reads it and finds its route and customer,
   line.c lets it wait and chooses, send.c sends it, answer.c passes the answer
   on, after.c decides what follows a try and refuse.c ends a request without
   an answer.  Each file calls only those after it in that row, groups.c and
   fleet.c; a request that is tried again joins the line anew by
   edge->again.  */

#include "bilberry/load.h"
#include "bilberry/peer.h"
#include "bilberry/platform.h"
#include "bilberry/start.h"

enum
{
  CONNECT_TIMEOUT_MS = 350,
  UPSTREAMS_MAX = 1024
};

struct edge;
struct pool_queue;

/* Upstreams of a pool that step together.  */
struct group
{
  struct pool_queue *queue;
  char *name;         /* empty: of those whose group is not known yet */
  uint32_t in_flight; /* sent by this entry */
  struct bb_group_health health;
  bool report_pending; /* one of its upstreams for a report */
  bb_ms report_requested_ms;
};

/* An upstream and what this entry has under way there.  */
struct target
{
  struct bb_upstream *record; /* as it registered */
  uint64_t id_hash;           /* of its id */
  struct bb_h1_pool *connections;
  uint32_t in_flight;       /* sent by this entry */
  uint32_t peers_in_flight; /* by the other entries, as they last told */
  double prompt_tokens;     /* tokens sent that are still to be read */
  double latency_ms;        /* smoothed; 0: not known */
  bb_ms
      last_activity_ms; /* last byte, or first send after nothing was there */
  struct bb_rate_limiter rate_limiter;
  struct bb_ejection ejection;
  struct group *group; /* NULL: its pool has none */
  bb_ms retire_at_ms;  /* when it is to be left alone; 0: it is registered */
};

/* Work for one pool.  */
struct pool_queue
{
  struct edge *edge;
  char *pool;
  GQueue waiting; /* struct request */
  struct bb_retry_window retry_window;
  bool grouped;          /* its upstreams step together */
  GPtrArray *groups;     /* struct group; the first is of those not known */
  double first_event_ms; /* smoothed time to a first event or an answer */
};

enum request_state
{
  REQUEST_WAITING,
  REQUEST_SENT
};

struct request
{
  struct edge *edge;
  struct bb_h1_exchange *exchange;
  struct bb_ask ask;
  struct bb_config *config;
  const struct bb_route *route; /* of that configuration */
  char *pool;
  char *customer; /* NULL: an open route */
  int32_t priority;
  uint64_t number; /* of this process, for the log */
  enum request_state state;
  enum bb_outcome outcome; /* of the last try */
  bb_ms received_ms;
  bb_ms deadline_ms;     /* point in time */
  bb_ms slo_deadline_ms; /* point in time */
  bb_ms queued_ms;       /* when it began to wait */
  bb_ms sent_ms;
  bb_ms progress_ms; /* last event, or the start of the present try */
  double split_draw; /* picks the pool of a split route */
  struct pool_queue *queue;
  struct target *target; /* of the present try */
  struct group *group;   /* likewise; NULL: none */
  struct bb_h1_call *call;
  uint32_t tries;
  uint32_t executions;      /* tries that may have run */
  uint64_t tried_hashes[8]; /* hashes of upstreams */
  uint32_t tried_count;
  uv_timer_t *timer;
  /* Of the answer.  */
  bool response_started; /* the head was passed on */
  bool framed;           /* the end of the answer is told */
  bool streaming;        /* an event stream */
  uint16_t status;
  struct bb_reply reply;
  struct bb_header headers[BB_H1_HEADERS_MAX]; /* of the answer */
  uint32_t headers_count;
  GStringChunk *headers_text; /* holds the headers */
  GByteArray *body;           /* an answer, or an event that is not whole */
  uint64_t last_event_id;     /* passed on */
  bool event_sent;            /* an event was passed on */
  bool out_of_order;          /* the rest does not fit what was passed on */
  bool first_event_seen;
  double prompt_tokens; /* tokens counted at the target */
};

struct edge
{
  uv_loop_t *loop;
  struct bb_start *settings;
  char *settings_path;
  char *settings_text; /* as last read */
  struct bb_view *view;
  struct bb_config *config;
  GHashTable *targets;            /* by id */
  GPtrArray *target_list;         /* the same */
  GHashTable *evacuated_domains;  /* failure domains */
  GHashTable *queues;             /* by pool */
  GHashTable *customer_in_flight; /* requests of each customer */
  GHashTable *peer_loads;  /* by peer: table of loads by upstream hash */
  bool peer_loads_changed; /* since they were summed up */
  bb_ms peer_loads_summed_ms;
  struct bb_peers *peers;
  struct bb_store *store;
  bool store_ok; /* answered last time */
  bb_ms store_recovered_ms;
  struct bb_h1_server *front_server;
  struct bb_h1_server *ready_server;
  bool draining;
  uint64_t last_request_number;
  GRand *rand;
  struct bb_wake wake;
  void (*requeue) (struct request *r); /* a request is to wait once more */
};

/* fleet.c: beliefs.  */
struct pool_queue *fleet_queue (struct edge *e, const char *pool);
void fleet_apply_item (struct edge *e, const char *key, GBytes *value,
                       uint64_t revision, const char *source);
/* Whether this entry, the first of those that read the store, tells the others
   news at once.  */
bool fleet_forwards_items (const struct edge *e);
void fleet_init (struct edge *e);
uint32_t fleet_edge_count (const struct edge *e);
/* Returns how many channels callers may have.  */
uint32_t fleet_caller_connections_max (const struct edge *e);
void fleet_apply_peer_state (struct edge *e, const char *name,
                             const struct bb_peer_state *m);
void fleet_apply_peer_change (struct edge *e, const char *name,
                              bool connected);
/* Sums up what others have under way, where that has changed.  */
void fleet_sum_peer_loads (struct edge *e);
void fleet_fill_peer_state (struct edge *e, struct bb_peer_state *m);
/* Whether new work may go to T.  */
bool fleet_may_send (const struct edge *e, const struct target *t, bb_ms now);
bb_ms edge_now (const struct edge *e);

/* reader.c: keeps the view up to date from the store.  */
void reader_start (struct edge *e);
void reader_restart (struct edge *e);
/* Whether this process watches the store, which answers.  */
bool reader_is_watching (const struct edge *e);

/* peers.c */
bool peers_start (struct edge *e);

/* input.c */
void input_request (struct bb_h1_exchange *x, void *arg);
void input_fault (uint16_t status, void *arg);
/* Finds route, customer and pool of R in the configuration in force.  Where
   there are none, it is refused and false.  */
bool input_route (struct request *r);

/* groups.c: which upstreams step together, and whether they do.  */
/* Returns the group of T, or NULL where its pool has none.  */
struct group *groups_find (struct edge *e, struct target *t);
/* Whether G, which may be NULL, takes work.  */
bool groups_is_up (struct group *g, bb_ms now);
/* Returns when a group of L is expected to take work again; DEFAULT_MS where
   one does.  */
bb_ms groups_retry_after_ms (const struct pool_queue *q, bb_ms default_ms,
                             bb_ms now);
/* Called often: asks for reports of upstreams whose group is doubtful, or not
   known.  */
void groups_tick (struct pool_queue *q);

/* line.c */
void queue_add (struct request *r);
void queue_dispatch (struct pool_queue *q);
void queue_dispatch_all (struct edge *e);
/* Called often: looks at groups and lets waiting requests on.  */
void queue_tick (struct edge *e);

/* send.c */
void send_request (struct request *r, struct target *t);
/* The time set for R has come.  */
void send_on_timer (struct request *r);

/* answer.c */
extern const struct bb_h1_call_ops response_ops;

/* after.c: the try of R has ended.  */
void failure_handle (struct request *r, enum bb_outcome outcome,
                     const char *detail);

/* refuse.c: each ends the request.  */
void refuse_not_run (struct request *r, enum bb_reason reason,
                     bb_ms retry_after_ms);
void refuse_failed (struct request *r, enum bb_reason reason);
void refuse_abort (struct request *r, enum bb_reason reason);
/* Refuses as truth has it: not run, may have run, or broken off.  */
void refuse (struct request *r, enum bb_reason reason, bb_ms retry_after_ms);

/* times.c: how long requests took.  */
enum latency_kind
{
  LATENCY_WAIT,        /* in line, before each try */
  LATENCY_FIRST_EVENT, /* from the request's last byte */
  LATENCY_RESPONSE,    /* likewise, to the end of a success */
  LATENCY_KINDS
};
void latency_start (void);
void latency_record (enum latency_kind kind, bb_ms since_ms, bb_ms now);

/* request.c */
struct request *request_new (struct edge *e, struct bb_h1_exchange *x);
void request_free (struct request *r);
void request_set_timer (struct request *r, bb_ms at_ms);
/* Counts a try at T, its prompt until that is read, and takes it back.  */
void request_assign (struct request *r, struct target *t);
void request_prompt_processed (struct request *r);
void request_release (struct request *r);

/* status.c */
/* Listens on ADDRESS; NULL with a log line where it cannot.  */
struct bb_h1_server *status_listen (struct edge *e, const char *address,
                                    const struct bb_h1_limits *limits,
                                    bb_h1_handler *handler,
                                    bb_h1_fault *fault);
bool status_start (struct edge *e);
bool status_is_ready (const struct edge *e);

#endif
