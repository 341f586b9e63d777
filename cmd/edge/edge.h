#ifndef EDGE_H
#define EDGE_H

/* bilberry-edge: accepts requests from callers and sends them directly to
   upstreams.

   A request passes through these files in order: input.c reads it and finds
   its route and customer, queue.c holds it and chooses an upstream, send.c
   sends it, response.c forwards the response, failure.c decides what follows
   a failed try, and refuse.c ends a request that gets no response from an
   upstream.  A try is one sending of a request to an upstream.

   Each of them calls only later files of this list, and files outside it such
   as fleet.c and groups.c.  There is one exception: queue.c calls input_route
   after a change of configuration.  Files after queue.c retry a request, and
   tell that an upstream may have room again or that requests that wait are to
   be refused, through edge->queue_ops.  */

#include "bilberry/allot.h"
#include "bilberry/capacity.h"
#include "bilberry/cost.h"
#include "bilberry/load.h"
#include "bilberry/peer.h"
#include "bilberry/platform.h"
#include "bilberry/queue.h"
#include "bilberry/start.h"

enum
{
  CONNECT_TIMEOUT_MS = 350,
  PEER_STATE_INTERVAL_MS = 100, /* between two states sent to a peer */
  /* Upstreams of a pool that are considered for a request.  */
  UPSTREAMS_MAX = 1024,
  FINGERPRINT_TEXT_SIZE = 17,
  PARTS_TEXT_SIZE = 8 * FINGERPRINT_TEXT_SIZE
};

struct crash_check;
struct edge;
struct pool_queue;
struct request;
struct address;

/* What files after queue.c and send.c have these do.  */
struct queue_ops
{
  void (*add) (struct request *r); /* retries R */
  void (*dispatch) (struct pool_queue *q);
  void (*dispatch_all) (struct edge *e);
  void (*refuse_quarantined) (struct edge *e);
  void (*on_timer) (struct request *r); /* the timer of R has expired */
};

/* Upstreams of a pool that run each model step in lockstep: the ranks of one
   engine group.  */
struct group
{
  struct pool_queue *queue;
  char *name; /* empty in the group of upstreams whose group is unknown */
  uint32_t in_flight; /* requests sent by this edge */
  struct bb_group_health health;
  uint32_t reports_pending; /* upstreams asked for a report, not answered */
  bb_ms report_requested_ms;
  /* See capacity.c; not used where the pool of the group has no limit.  */
  uint64_t hash;          /* identifies it in messages to peers */
  uint32_t ranks;         /* registered upstreams */
  uint32_t slots;         /* of all ranks */
  uint32_t all_in_flight; /* requests of all edges: own ones as of now */
  /* Requests sent by this edge, by priority.  */
  uint32_t in_flight_by_priority[BB_ALLOT_PRIORITIES];
  double pass_ms; /* expected time of a pass at the present load */
  struct bb_pace pace;
  struct bb_target_rates targets;
  struct bb_capacity capacity;
  uint32_t limit; /* requests of all edges; BB_CAPACITY_NO_LIMIT: none */
  uint32_t limit_logged;
  bb_ms limit_logged_ms;
  struct bb_allot allot;
  struct bb_allot_quota quota;
  struct bb_allot_edge reported; /* what this edge has told its peers last */
};

/* An upstream and what this edge knows of it; see targets.c.  */
struct target
{
  char *id;
  uint32_t holds;             /* see target_hold */
  struct bb_upstream *record; /* what the upstream registered in the store */
  struct address *address;    /* that of record */
  uint64_t id_hash;           /* identifies it in messages to peers */
  struct bb_h1_pool *connections;
  uint32_t in_flight;       /* requests sent by this edge */
  uint32_t peers_in_flight; /* requests of other edges, as last reported */
  struct bb_work work;      /* of the requests sent by this edge */
  double peers_work_ms;     /* of those of other edges, as last reported */
  double prompt_tokens;     /* prompt tokens sent here whose prefill has not
                               finished */
  double latency_ms; /* smoothed response time, without streams; 0: unknown */
  bb_ms last_activity_ms; /* time of the last byte received, or of the first
                             send after idling */
  struct bb_rate_limiter rate_limiter;
  struct bb_ejection ejection;
  struct bb_rest rest;   /* asked for by its present start */
  struct bb_limit limit; /* named by its present start */
  /* Group of the upstream; NULL: none, or not looked up yet.  */
  struct group *group;
  uint32_t group_asks;  /* how often it was asked which group it is in */
  bb_ms group_asked_ms; /* when, the last time */
  bool leaving; /* its present start has said that it leaves, in an answer or
                   in its registration */
  bb_ms retire_at_ms;        /* time from which on it gets no new requests; 0:
                                registered */
  struct crash_check *check; /* finds out whether it has crashed; it gets no
                                requests meanwhile.  NULL: none */
};

/* The requests that wait for an upstream of one pool.  */
struct pool_queue
{
  struct edge *edge;
  char *pool;
  GQueue waiting; /* the waiting requests, struct request */
  struct bb_retry_window retry_window;
  uint64_t round;    /* number of the current call of queue_dispatch */
  bool grouped;      /* its upstreams are ranks of engine groups */
  GPtrArray *groups; /* struct group; the first has the empty name */
  double sends;      /* sends of late; decays, see queue_send_rate */
  bb_ms sends_decayed_ms;
  double first_event_ms; /* smoothed time from sending to the first event, or
                            to the whole response where there is no stream */
  double first_event_dev_ms; /* smoothed mean deviation of that time */
  bool limited; /* the engine is described, so that concurrency follows from
                   the target for the time between events; see capacity.c */
  struct bb_queue *admission; /* the waiting requests in the order in which
                                 they start, if LIMITED */
  bb_ms divided_ms; /* when the limits were last divided among edges */
  double arrivals;  /* decayed count over about a second, each request by
                          the part that counts as demand */
  bb_ms arrivals_decayed_ms;
  struct bb_place_sends place_sends;
  double mean_work_ms; /* smoothed engine time of a request */
  struct bb_cost_model *costs;
};

/* A claim to be the only request, over all edges, that is in flight at an
   upstream or with a part of a prompt as a suspect.  */
struct isolation_claim
{
  uint64_t key; /* id_hash of the upstream, or the part; 0: none */
  bool granted;
};

/* By what a request is recognized among others that crash upstreams.  */
struct request_identity
{
  uint64_t fingerprint; /* the same when its caller repeats it under another
                           id; never 0 */
  /* Parts of the prompt that other requests may share.  */
  uint64_t parts[BB_SHARED_PARTS_MAX];
  uint32_t parts_count;
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
  struct bb_request_info info;
  struct bb_config *config;
  const struct bb_route *route; /* route of the request; belongs to config */
  char *pool;
  char *customer; /* name of the customer; NULL: none identified */
  int32_t priority;
  uint64_t number; /* sequence number within the process */
  struct request_identity identity;
  char fingerprint_text[FINGERPRINT_TEXT_SIZE]; /* in hexadecimal */
  char parts_text[PARTS_TEXT_SIZE]; /* the first ones in hexadecimal */
  uint64_t prior_crash; /* crash that had made the request suspect when the
                           current try was sent; 0: none */
  /* What was last claimed to isolate the request.  */
  struct isolation_claim upstream_claim;
  struct isolation_claim part_claim;
  uint64_t check_number; /* check of the upstream of a failed try; no further
                            try is sent while it runs.  0: none */
  enum request_state state;
  enum bb_outcome outcome; /* how the last try ended */
  bb_ms received_ms;       /* when the request was complete */
  bb_ms deadline_ms;       /* end of the caller's or the route's timeout */
  /* Time until which a response meets the route's SLO.  */
  bb_ms slo_deadline_ms;
  bb_ms queued_ms;   /* when it last entered the queue */
  uint64_t round;    /* queue->round in which it had to wait for isolation */
  bb_ms sent_ms;     /* start of the current try */
  bb_ms progress_ms; /* time of the last event, or start of the current try */
  double split_draw; /* random number from 0 to 1 that picks the pool of a
                        split route */
  struct pool_queue *queue;
  bool is_waiting;              /* it is among the waiting ones of its queue */
  struct bb_queue_entry entry;  /* in queue->admission */
  struct bb_cost_estimate cost; /* if queue->limited */
  double work_ms; /* engine time that it counts for, a whole number */
  struct bb_work_part work_part; /* its part of target->work */
  bool work_is_queued;    /* it is counted as queued work of its customer */
  bool work_is_in_flight; /* as work in flight */
  uint32_t events;        /* received from all tries */
  bb_ms first_event_ms;   /* when the first one came; 0: none yet */
  bb_ms gap_max_ms;       /* longest time between two events of one try */
  struct target *target;  /* upstream of the current try; NULL: none */
  /* Group of the upstream of the current try; NULL: none.  */
  struct group *group;
  struct bb_h1_call *call;
  uint32_t tries;
  uint32_t executions;      /* tries that the upstream may have run */
  uint64_t tried_hashes[8]; /* id_hash of upstreams already tried */
  uint32_t tried_count;
  uv_timer_t *timer;
  /* The response.  */
  bool response_started; /* the head of the response was sent to the caller */
  bool ends_by_close;    /* the response of the current try has no other end */
  bb_ms memory_since_ms; /* since when it waits for memory; 0: it does not */
  bb_ms memory_waited_ms; /* how long it waited before that */
  bool streaming;         /* the response is forwarded event by event */
  bool typed_as_events;   /* its media type is that of event streams */
  uint16_t status;        /* of the response of the current try; 0: none yet */
  struct bb_response_info reply;
  struct bb_header headers[BB_H1_HEADERS_MAX]; /* headers of the response */
  uint32_t headers_count;
  GStringChunk *headers_text; /* memory of the headers */
  GByteArray *body;           /* the response so far, or an incomplete event */
  size_t scanned_bytes;       /* of the body; no event ends there */
  size_t empty_bytes; /* of events without a field since the last with one */
  uint64_t last_event_id; /* id of the last event that the caller has */
  bool event_sent;        /* an event with an id was forwarded */
  bool out_of_order;      /* an event does not follow after last_event_id */
  bool continues; /* the current try continues a stream that has begun */
  bool first_event_seen; /* the current try has sent its first event */
  double prompt_tokens;  /* part of target->prompt_tokens that is of this
                            request */
};

struct edge
{
  uv_loop_t *loop;
  bb_ms started_ms; /* start of the process; long ago if there was none
                       before */
  struct bb_process_settings *settings;
  char *settings_path;
  char *settings_text; /* contents of the settings file, as last read */
  struct bb_view *view;
  struct bb_config *config;
  GHashTable *targets;           /* struct target by its id */
  GPtrArray *target_list;        /* the elements of targets */
  GHashTable *addresses;         /* struct address by its text */
  GHashTable *evacuated_domains; /* failure domains that get no new requests */
  GHashTable *queues;    /* struct pool_queue by pool; none is ever removed */
  GPtrArray *queue_list; /* the elements of queues */
  GHashTable *customer_in_flight; /* number of requests by customer */
  GHashTable *customer_work; /* struct bb_shares_work by customer, of requests
                                of this edge in pools with a limit */
  struct bb_shares *shares;  /* of customers, over all edges */
  GHashTable *peer_demands;  /* struct peer_demand by name, see demand.c */
  bb_ms peer_ended_ms;       /* when a connection to an edge last ended; 0:
                                none has */
  bb_ms reported_ms;         /* when the demand to report was last taken */
  GHashTable *peer_loads;    /* what each peer has in flight: by name of the
                                peer, a table of struct bb_upstream_load by
                                id_hash of the target */
  bool peer_loads_changed; /* peer_loads changed since they were last summed */
  bb_ms peer_loads_summed_ms;
  struct bb_peers *peers;
  struct bb_poison *poison;       /* requests that crash upstreams */
  struct bb_parts *parts;         /* parts of prompts that do */
  struct bb_isolation *isolation; /* where they may be sent */
  GHashTable *running_checks;     /* numbers of the checks that run */
  uint64_t last_check_number;
  bool store_ok; /* the last call of the store succeeded, or peers watch the
                    store for this edge */
  bb_ms store_recovered_ms;          /* when store_ok last became true */
  uint64_t store_era;                /* the highest one seen */
  struct bb_h1_server *front_server; /* server for callers */
  /* Server for readiness checks and metrics.  */
  struct bb_h1_server *ready_server;
  bool draining;
  bool stops_taking; /* requests are refused that could last to stop_ms */
  bb_ms stop_ms;     /* when what is under way is ended */
  struct bb_memory memory; /* held for callers and upstreams */
  GQueue memory_waiting;   /* requests whose response waits for it */
  uint64_t last_request_number;
  GRand *rand;
  struct bb_pause_detector pause_detector;
  const struct queue_ops *queue_ops;
  /* Called when the store has returned from an older copy.  */
  void (*on_store_return) (void);
  /* Called when the view holds an item that a peer told, and which the store
     may have lost.  */
  void (*on_unsettled_item) (void);
};

/* pool.c */
/* Returns the engine of POOL, NULL where C, which may be NULL, describes
   none.  */
const struct bb_engine *config_engine (const struct bb_config *c,
                                       const char *pool);
/* Returns the time of the event loop.  */
bb_ms edge_now (const struct edge *e);
/* Returns the queue of POOL, which is made on first use.  */
struct pool_queue *pool_queue_of (struct edge *e, const char *pool);

/* available.c */
/* Whether T may get new requests: it is registered and not leaving, neither at
   rest nor ejected, not being checked for a crash, and its failure domain is
   not evacuated.  */
bool target_may_get_requests (const struct edge *e, const struct target *t,
                              bb_ms now);
/* Whether T is not registered any more, and no longer in use, or another
   upstream has its address.  */
bool target_is_gone (const struct target *t, bb_ms now);
/* Whether T, which is registered, leaves or is in a failure domain that is
   evacuated.  */
bool target_is_leaving (const struct edge *e, const struct target *t);

/* address.c */
/* Returns the address of U, to be dropped after use.  */
struct address *address_use (struct edge *e, const struct bb_upstream *u);
/* U claims A by its start, if the configuration names its pool: other entries
   name no upstream to use.  */
void address_claim (const struct edge *e, struct address *a,
                    const struct bb_upstream *u);
/* Before the upstreams claim their addresses anew.  */
void address_forget_claims (struct edge *e);
void address_drop (struct edge *e, struct address *a);
/* Whether an upstream that started later than U is registered at its address,
   A, so that U has ended.  */
bool address_is_taken_over (const struct address *a,
                            const struct bb_upstream *u);
/* U, which was registered at A, is not there.  Where it started last, by
   clocks that may have jumped, the others are not taken for ended any more. */
void address_note_gone (struct address *a, const struct bb_upstream *u);

/* targets.c: the upstreams.  A pointer to a target is valid until the function
   that has it returns to the event loop, and while it is held.  */
void targets_init (struct edge *e);
/* A configuration was put in force, which names other pools.  */
void targets_apply_config (struct edge *e);
/* Returns the upstream ID, which may be removed and remembered; NULL if it is
   not known.  */
struct target *targets_find (const struct edge *e, const char *id);
/* Applies the registration of upstream ID; VALUE NULL removes it.  */
void targets_apply (struct edge *e, const char *id, GBytes *value,
                    bb_revision revision, const char *source);
/* Keeps T from being freed until target_release.  */
void target_hold (struct target *t);
void target_release (struct target *t);

/* fleet.c: the items of the store, evacuations in force, and the loads of the
   other edges.  */

/* Applies the item TOLD by SOURCE if the view takes it as news.  What the
   store told is also sent to the peers if fleet_forwards_items.  Returns
   whether it is news.  */
bool fleet_apply_item (struct edge *e, const struct bb_item *told,
                       enum bb_source source);
/* Removes the item KEY, which a complete listing at REVISION lacks.  All peers
   are told, since the watch of none tells of it.  */
void fleet_remove_item (struct edge *e, const char *key, bb_revision revision);
/* SOURCE told REVISION.  Returns whether it shows that the store has come back
   from an older copy; then the store is listed again.  */
bool fleet_note_era (struct edge *e, bb_revision revision,
                     enum bb_source source);
/* Whether this edge sends changes from the store to its peers at once: it does
   if no peer of a lower incarnation watches the store.  */
bool fleet_forwards_items (const struct edge *e);
void fleet_init (struct edge *e);
/* Returns how many edges are counted when a limit is divided among them: this
   one and its peers, but at least one for each failure domain.  */
uint32_t fleet_edge_count (const struct edge *e);
/* Applies the state that peer NAME sent.  */
void fleet_apply_peer_state (struct edge *e, const char *name,
                             const struct bb_peer_state *m);
/* Peer NAME connected, or its connection ended as END tells.  */
void fleet_apply_peer_change (struct edge *e, const char *name,
                              const struct bb_peer_end *end);
/* Recomputes peers_in_flight of all targets if a peer's loads changed and the
   last sum is old enough.  */
void fleet_sum_peer_loads (struct edge *e);
/* Writes the loads of this edge to M, for its peers.  */
void fleet_fill_peer_state (struct edge *e, struct bb_peer_state *m);

/* store_calls.c: calls to the store, each on a connection of its own, of which
   several may be in flight.  */
struct store_call;
void store_calls_start (struct edge *e);
/* Whether any call is in flight.  */
bool store_calls_in_flight (void);
/* Returns a call that counts as in flight from now on; where all did, the
   oldest one is cancelled.  */
struct store_call *store_call_begin (void);
/* Returns the client to make call C with.  */
struct bb_store *store_call_client (const struct store_call *c);
/* Call C got a response or failed.  Returns how long it took.  */
bb_ms store_call_end (struct store_call *c);
/* Whether a call should be waited for before another one is made.  */
bool store_calls_advance (void);
/* Cancels all calls in flight; their callbacks are not called.  */
void store_calls_cancel (void);

/* reader.c: keeps the view up to date with the store.  */
void reader_start (struct edge *e);
/* Cancels the current call and lists the store from its first key.  */
void reader_restart (void);
/* The store has come back from an older copy: lists it, and again once what
   the copy lacks must have been written again.  */
void reader_store_returned (void);
/* The view holds what the store may have lost: lists the store again once that
   must have been written again.  */
void reader_settle (void);
/* A peer has told all its items: the first call need not wait for that.  */
void reader_peer_told (void);
/* Whether this edge watches the store itself and the last call succeeded.  */
bool reader_is_watching (const struct edge *e);

/* peers.c: connections to the other edges and to agents.  */
/* Returns false with a log line if it cannot listen.  */
bool peers_start (struct edge *e);

/* input.c: the callbacks of the server for callers.  */
void input_request (struct bb_h1_exchange *x, void *arg);
void input_fault (uint16_t status, void *arg);
/* The grace period is over: answers X with the truth about whether it may have
   run, or breaks off its response.  */
void input_stop (struct bb_h1_exchange *x);
/* Finds the route, customer and pool of R in the current configuration.  If
   there is no route, or the key is missing or unknown, refuses R and returns
   false.  */
bool input_route (struct request *r);

/* suspect.c: requests, and parts of prompts, that crash the upstreams that run
   them.  */
void suspect_init (struct edge *e);
/* Sets the fingerprint of R, a hash of its customer, host, method, path and
   body, which a repeat by the same caller has too, and those of the parts of
   its prompt.  Never 0.  */
void suspect_set_fingerprints (struct request *r);
/* Whether R is suspect or quarantined; if so, it may only be sent as isolate.c
   allows.  */
bool suspect_is_suspect (const struct request *r);
/* Whether R is quarantined, and so is to be refused.  */
bool suspect_is_quarantined (const struct request *r);
/* Returns for how long R will be quarantined.  */
bb_ms suspect_remaining_ms (const struct request *r);
/* The request ID got a complete response that reports success: neither it nor
   its parts are suspect any more.  */
void suspect_answered (struct edge *e, const struct request_identity *id);
/* Logs C, which is new and came from SOURCE, and refuses the waiting requests
   that it quarantines.  */
void suspect_apply_change (struct edge *e, const struct bb_crash *c,
                           const char *source);
/* Applies M, which a peer sent and which is new.  */
void suspect_apply_message (struct edge *e, const struct bb_suspect *m);
/* Likewise for a crash that makes parts of prompts suspect, and for a suspect
   part that is sound.  */
void suspect_apply_part_crash (struct edge *e, const struct bb_part_crash *c,
                               const char *source);
void suspect_apply_sound_part (struct edge *e, uint64_t part,
                               const char *source);

/* crash.c: whether upstreams have crashed.  */
void crash_init (struct edge *e);
/* Called when the connection of the current try of R ended before its
   response, or, where it is COMPLETE, as the end of its response: finds out
   whether the upstream has crashed, which makes R suspect.  A complete
   response counts as an answer only if the upstream has not.  */
void crash_check_upstream (struct request *r, bool complete);
/* Whether T gets no requests since it may have crashed.  */
bool crash_holds (const struct target *t);
/* Whether the check of an upstream that R was lost at still runs; R is not
   sent again before its end.  */
bool crash_is_checked (const struct request *r);

/* isolate.c: keeps suspect requests apart from each other, over all edges.  */
void isolate_init (struct edge *e);
/* Whether R, which is suspect, may be sent to T or claim it.  */
bool isolate_may_use (const struct request *r, const struct target *t);
/* Whether this edge may send suspect requests to T without a claim.  */
bool isolate_owns (const struct edge *e, const struct target *t);
/* Returns the XXH64 hash of the name of the edge that owns T.  */
uint64_t isolate_owner (const struct edge *e, const struct target *t);
/* Returns whether R, which is suspect, is to be sent to T now: no other
   suspect request is in flight there, and none with the same suspect part
   anywhere. Otherwise it has to wait; the other edges are told that it is to
   be sent.  */
bool isolate_claim (struct request *r, const struct target *t);
/* R is not in flight any more, if it was.  */
void isolate_release (struct request *r);
/* Another edge was found, is gone, or told how it uses an upstream.  */
void isolate_add_edge (struct edge *e, const char *name);
void isolate_remove_edge (struct edge *e, const char *name);
void isolate_apply (struct edge *e, const char *name,
                    const struct bb_peer_isolated *m);

/* limit.c: upstreams that limit the requests that they take.  */
void limit_init (void);
/* Records what the response of R, whose head has arrived, says of it.  */
void limit_record_answer (struct request *r);
/* Asks for a time at which a request may be sent to T, which names a limit;
   one later than WAIT_MAX_MS from now is of no use.  */
void limit_ask (struct edge *e, struct target *t, bb_ms wait_max_ms);
/* A peer sent M, which is answered with REPLY.  */
void limit_on_ask (struct edge *e, const struct bb_peer_slot_ask *m,
                   struct bb_peer_slot *reply);
void limit_on_slot (struct edge *e, const struct bb_peer_slot *m);

/* config.c: the configuration in force.  */
void config_init (struct edge *e);
/* Returns the limits of the server for callers, which the configuration gives
   where there is one.  */
struct bb_h1_limits config_front_limits (struct edge *e);
/* Takes VALUE, written at REVISION, as the configuration; NULL: it was
   removed. A large one is in force a little later.  SOURCE is "store" or
   "peer".  */
void config_apply (GBytes *value, bb_revision revision, const char *source);

/* rest.c: what upstreams ask for in their answers.  */
/* The upstream of R has sent the head of its response.  */
void rest_record_answer (struct request *r);
/* T has registered as its record says.  What it asked for before holds, since
   a registration may be older than an answer, unless NEW_START.  */
void rest_apply_record (struct target *t, bool new_start);

/* rest_wait.c */
/* Returns in how many milliseconds the first upstream of Q takes requests
   again, where all rest, leave or take no more by their limit; UNKNOWN_MS
   where all leave, 0 where one does neither or none is registered.  */
bb_ms rest_wait_ms (const struct pool_queue *q, bb_ms unknown_ms, bb_ms now);

/* groups.c: the engine groups of upstreams and their health.  */
/* Returns the group of T, or NULL if its pool has no groups.  */
struct group *groups_find (struct edge *e, struct target *t);
/* Updates the state of G for the time NOW and returns whether G takes
   requests; true if G is NULL.  */
bool groups_is_up (struct group *g, bb_ms now);
/* Returns how long it will probably take until a group of Q takes requests
   again; DEFAULT_MS unless all known groups are down.  */
bb_ms groups_retry_after_ms (const struct pool_queue *q, bb_ms default_ms,
                             bb_ms now);
/* Called every tick: requests reports from upstreams whose group is unknown or
   not up.  */
void groups_tick (struct pool_queue *q);

/* capacity.c: the concurrency limit of each engine group, and the quota of
   this edge.  */
void capacity_init_group (struct group *g);
/* An event of R has come; r->progress_ms is the time of the one before.  */
void capacity_record_event (struct request *r, bb_ms now);
/* R is sent to its group.  */
void capacity_record_send (struct request *r, bb_ms now);
/* Called every tick: computes the limits of the groups of Q.  */
void capacity_tick (struct pool_queue *q);
/* Divides the limits of the groups of Q among the edges, if the last division
   is old enough.  */
void capacity_divide (struct pool_queue *q);
/* Whether R may start in G by the quota of this edge; G may be NULL.  */
bool capacity_may_start (const struct group *g, const struct request *r);
/* Sets C to what may start in the groups of Q.  */
void capacity_fill (struct pool_queue *q, struct bb_queue_capacity *c);
/* Returns the age of the oldest state of a peer by which the limits of Q were
   last divided.  */
bb_ms capacity_state_age_ms (const struct pool_queue *q);
/* Returns the expected time of a pass of the fastest group of Q, 0 if it is
   not known.  */
double capacity_pass_ms (const struct pool_queue *q);

/* demand.c: what edges tell each other of their demand.  */
void demand_init (struct edge *e);
/* Peer NAME sent its state M.  */
void demand_apply_state (struct edge *e, const char *name,
                         const struct bb_peer_state *m);
/* Peer NAME connected, or its connection ended as END tells.  */
void demand_apply_change (struct edge *e, const char *name,
                          const struct bb_peer_end *end);
/* Writes the demand of this edge to M, if it is to be told now.  */
void demand_fill_state (struct edge *e, struct bb_peer_state *m);
/* Returns the time between two reports of the demand to a peer: longer in a
   large fleet, so that what an edge sends does not grow with the number of
   edges.  */
bb_ms demand_interval_ms (const struct edge *e);
/* Writes what is known of the demand of all edges for G, and forgets edges
   that are gone for a minute; *OWN is the index of this one.  Returns their
   number.  */
uint32_t demand_fill_edges (const struct group *g,
                            struct bb_allot_edge edges[BB_ALLOT_EDGES_MAX],
                            uint32_t *own);
/* R, a new request, has come.  */
void demand_count_arrival (const struct request *r);
/* Counts the work of R for its customer as queued, or as in flight, or no
   more.  */
void demand_set_queued (struct request *r, bool queued);
void demand_set_in_flight (struct request *r, bool in_flight);
/* Returns the use of the customer of R relative to its share.  */
double demand_use_ratio (const struct request *r);

/* estimate.c: the cost of requests.  */
/* Sets the cost of R, whose route and queue are known.  */
void estimate_request (struct request *r);
/* An event of R has come: corrects what remains of its work.  */
void estimate_progress (struct request *r);
/* Learns from R, whose response has ended; COMPLETE is whether all of it
   came.  */
void estimate_learn (const struct request *r, bool complete);
/* Returns the time that R will take from its start to its end.  */
bb_ms estimate_run_ms (const struct request *r);

/* waiting.c: the waiting requests of a pool.  */
void waiting_add (struct request *r);
/* Does nothing if R does not wait.  */
void waiting_remove (struct request *r);

/* choose.c */
/* Returns the upstream for R, NULL if there is none.  ASKS: also one of which
   a slot has to be asked for first.  */
struct target *choose_target (struct pool_queue *q, const struct request *r,
                              bool asks);
/* Whether T may get a request by its limit, or by a slot that can be asked for
   where ASKS.  */
bool choose_is_within_limit (const struct target *t, bool asks, bb_ms now);

/* Counts a send, to tell how much other edges send meanwhile.  */
void choose_record_send (const struct request *r);

/* place.c */
/* Returns the index of the candidate for R by outstanding work, BB_PLACE_NONE
   if there is none.  CANDIDATES are those of bb_balance_choose, TARGETS the
   upstreams.  */
uint32_t place_choose (struct pool_queue *q, const struct request *r,
                       const struct bb_balance_candidate *candidates,
                       struct target *const *targets, uint32_t count);

/* queue.c: the requests that wait for an upstream.  */
/* Adds R to its queue and dispatches the queue, see queue_dispatch.  */
void queue_add (struct request *r);
/* Sends waiting requests until the next one finds no upstream.  */
void queue_dispatch (struct pool_queue *q);
void queue_dispatch_all (struct edge *e);
/* These functions, for files after queue.c.  */
extern const struct queue_ops queue_functions;
/* Called every tick: checks the groups and dispatches all queues.  */
void queue_tick (struct edge *e);
/* Refuses the waiting requests that are quarantined.  */
void queue_refuse_quarantined (struct edge *e);

/* send.c: tries.  */
/* Starts a try of R at T.  */
void send_request (struct request *r, struct target *t);
/* Called when the timer of R expires: R waited too long, or its upstream is
   silent, or its deadline has passed.  */
void send_on_timer (struct request *r);

/* response.c: the callbacks of a try.  */
extern const struct bb_h1_call_ops response_ops;
/* Called every tick: reads responses on for which there is memory now, and
   gives up those that have waited for it too long.  */
void response_tick (struct edge *e);

/* failure.c */
/* Retries or ends R after a try without a usable response.  OUTCOME and DETAIL
   say how the try ended; DETAIL is for the log.  */
void failure_handle (struct request *r, enum bb_outcome outcome,
                     const char *detail);

/* refuse.c: each of these ends the request and frees it.  */
/* Responds 503 with a Retry-After of about RETRY_AFTER_MS.  Only for a request
   that did not run.  */
void refuse_not_run (struct request *r, enum bb_reason reason,
                     bb_ms retry_after_ms);
/* Responds 504 after a deadline, else 502.  The request may have run.  */
void refuse_failed (struct request *r, enum bb_reason reason);
/* Breaks off a response that has started.  */
void refuse_abort (struct request *r, enum bb_reason reason);
/* Ends R as its tries allow.  Breaks off a response that has started; else
   responds 502 if a try may have run; else responds with the status of REASON,
   with RETRY_AFTER_MS if that is 429 or 503 (sent as 503).  */
void refuse (struct request *r, enum bb_reason reason, bb_ms retry_after_ms);

/* latency.c: histograms of how long requests took.  */
enum latency_kind
{
  LATENCY_WAIT,        /* time in the queue before each try */
  LATENCY_FIRST_EVENT, /* time from the whole request to the first event */
  LATENCY_RESPONSE, /* time from the whole request to the end of a success */
  LATENCY_KINDS
};
void latency_start (void);
void latency_record (enum latency_kind kind, bb_ms since_ms, bb_ms now);

/* request.c */

/* Makes the request of exchange X, without route and queue yet.  */
struct request *request_new (struct edge *e, struct bb_h1_exchange *x);
/* Frees R, not its exchange.  */
void request_free (struct request *r);
/* Has send_on_timer called at AT_MS of the loop's time.  */
void request_set_timer (struct request *r, bb_ms at_ms);
/* Appends DATA to the body of R, removes the first SIZE bytes of it, or all of
   it with its memory; the account of the edge follows.  */
void request_append_body (struct request *r, struct bb_bytes data);
void request_shorten_body (struct request *r, size_t size);
void request_clear_body (struct request *r);
/* Returns the body of R, which is empty then; the caller unrefs it.  */
GBytes *request_take_body (struct request *r);
/* Returns the priority of R, from 0 to BB_ALLOT_PRIORITIES - 1.  */
uint32_t request_priority (const struct request *r);
/* Returns the longest time without an event that the caller of R, a stream,
   accepts, also before the first one.  */
bb_ms request_gap_max_ms (const struct request *r);
/* Whether R may run more than once.  */
bool request_is_idempotent (const struct request *r);
/* Counts R as in flight at T and its group, and its prompt tokens as waiting
   for prefill there.  */
void request_assign (struct request *r, struct target *t);
/* The prefill of R is over: its prompt tokens no longer count at the
   target.  */
void request_prompt_processed (struct request *r);
/* Undoes request_assign at the end of a try.  Does nothing if R has no
   target.  */
void request_release (struct request *r);

/* status.c: readiness checks and metrics.  */
/* Listens on ADDRESS.  Returns NULL with a log line if it cannot.  */
struct bb_h1_server *status_listen (struct edge *e, const char *address,
                                    const struct bb_h1_limits *limits,
                                    bb_h1_handler *handler,
                                    bb_h1_error_handler *fault);
/* Opens the server for readiness checks.  Returns false with a log line if it
   cannot.  */
bool status_start (struct edge *e);
/* Whether this edge accepts callers: it is not draining, and has a
   configuration and an upstream.  */
bool status_is_ready (const struct edge *e);

#endif
