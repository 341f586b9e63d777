#ifndef ENTRY_H
#define ENTRY_H

/* bilberry-entry: the HTTP proxy that clients connect to.  It authenticates
   each request, chooses an upstream of the route's pool, sends the request to
   the agent of that upstream, retries failed attempts at other upstreams and
   returns the response.  */

#include "bilberry/admit.h"
#include "bilberry/daemon.h"
#include "bilberry/route.h"

#include <uthash.h>

enum
{
  TRIED_MAX = 8 /* failed attempts recorded for one request */
};

/* A pool of upstreams and the links to those that this entry uses.  A pool
   that is removed from the settings stays allocated, without links.  */
struct pool
{
  char *name;
  struct link **links;
  uint32_t links_count;
  struct bb_health_pool health;
  UT_hash_handle hh;
};

/* The connection to the agent of one upstream, and what this entry knows
   about that upstream.  */
struct link
{
  struct entry *entry;
  char *name;    /* name of the upstream */
  char *address; /* address of the agent */
  char *pool_name;
  char *failure_domain;
  uint64_t name_hash;
  uint64_t domain_hash;
  struct pool *pool;
  bool enabled;     /* the settings allow new requests to the upstream */
  bool same_domain; /* the upstream is in this entry's failure domain */
  enum bb_resume resume;
  /* Connection to the agent; NULL between two connection attempts.  */
  struct bb_conn *conn;
  bool ready;                /* the agent has sent hello on this connection */
  bool connected_before;     /* the agent has sent hello at least once */
  bool reported_since_pause; /* the agent has sent hello, or answered the
                                last probe, since this process was paused */
  uint64_t probe_nonce;      /* nonce of the last probe sent */
  bb_ms silent_since_ms;     /* start of the agent's present silence: its last
                                message or, if later, the last probe or the
                                request that ended an idle period */
  bool unresponsive;         /* the agent has been silent past its timeout */
  uint64_t agent_incarnation;
  struct bb_load load; /* load of the agent, as it last reported it */
  /* Requests of other entries in the last reported load.  */
  uint32_t other_requests;
  bb_ms load_received_ms; /* when the last reported load was received */
  struct bb_health health;
  uint32_t in_flight; /* requests of this entry at the upstream */
  uv_timer_t reconnect_timer;
  struct link *next;
  bool removed; /* no longer in the settings or in this entry's subset */
  bool closing; /* off the list of links; freed once the timer is closed */
};

/* The requests of one customer at this entry.  */
struct customer
{
  char *name;
  uint32_t in_flight;
  UT_hash_handle hh;
};

/* A client's request.  */
struct request
{
  uint64_t id; /* id of the current attempt; each attempt has a new one */
  struct entry *entry;
  /* HTTP request and response; NULL once the request has ended.  */
  struct bb_http_request *http;
  struct customer *customer;
  char *customer_name;
  struct pool *pool;
  bool idempotent;
  struct bb_prefix prefix; /* hashed prefix of the prompt */
  uint64_t key_hash;       /* hash of the customer and the idempotency key */
  uint64_t fingerprint;    /* identifies the request when upstreams crash */
  struct link *link; /* link that the current attempt runs over, or NULL */
  uint64_t tried_upstreams[TRIED_MAX]; /* hashes of the names of upstreams
                                          where an attempt failed */
  uint64_t tried_domains[TRIED_MAX];   /* hashes of the failure domains of the
                                          same upstreams, in the same order */
  uint32_t tried_count;
  uint32_t attempts; /* attempts sent so far */
  uint32_t crashes;  /* attempts that ended in an upstream failure */
  /* Result merged from all failed attempts.  */
  struct bb_request_result result;
  bb_ms deadline_ms;
  bb_ms started_ms;
  uv_timer_t deadline_timer;
  bool awaiting_report; /* held until an agent reports after a pause */
  bool streaming;       /* the head of an event stream has been sent */
  struct bb_stream stream;
  uint16_t status;
  /* Headers of a response that is not streamed.  */
  struct bb_header headers[64];
  uint32_t headers_count;
  char *buffer; /* names and values of HEADERS, then the body */
  size_t buffer_size_bytes;
  UT_hash_handle hh;
};

struct entry
{
  struct bb_daemon *daemon;
  struct bb_http_server *server;
  struct link *links;
  struct pool *pools;         /* hash table by name */
  struct request *requests;   /* hash table by id */
  struct customer *customers; /* hash table by name */
  uint32_t open_responses;    /* responses not yet sent completely */
  struct bb_memory memory;    /* of the buffers of requests */
  uint64_t last_attempt_id;
  GRand *rand;
  struct bb_retry_budget retry_budget;
  struct bb_prefix_table prefixes;
  struct bb_poison *poison;
  struct bb_pause pause;
  bb_ms pause_detected_ms; /* time of the last pause; 0: never paused */
  uv_timer_t check_timer;
};

/* Returns the monotonic time in ms.  Unlike uv_now, which is cached per loop
   iteration, it reads the clock.  */
bb_ms entry_now (void);

/* link.c */

/* Stores LOAD as reported by the agent.  OWN is how many requests of this
   entry are part of it.  */
void link_update_load (struct link *l, const struct bb_load *load,
                       uint32_t own);

/* Closes L if it is marked as removed and has no requests in flight.  */
void link_close_if_unused (struct link *l);

/* Whether a new idempotent request may be sent over L.  */
bool link_usable (const struct link *l);

/* pool.c */

/* Adds, updates and removes links according to the current settings.  */
void links_update (struct entry *e);

/* Returns the pool NAME; creates it on first use.  */
struct pool *pool_find (struct entry *e, const char *name);

/* link.c, for pool.c */

/* Returns the link to upstream U at its present agent address, or NULL.  */
struct link *link_find (struct entry *e, const struct bb_upstream_settings *u);

/* Adds a link to upstream U and starts to connect.  */
struct link *link_add (struct entry *e, const struct bb_upstream_settings *u);

/* Copies the settings U, other than name and agent address, into L.  */
void link_configure (struct link *l, const struct bb_upstream_settings *u);

/* Closes the removed links that have no requests in flight.  */
void links_close_removed (struct entry *e);

/* watch.c */

/* Starts the timer that detects pauses of this process and unresponsive
   agents.  */
void watch_start (struct entry *e);

/* Checks whether this process was paused.  If so, reloads the settings and
   probes the agents; each must report before it gets new requests.  */
void watch_check_pause (struct entry *e);

/* Whether this process is still waiting for reports after a pause.  */
bool watch_awaiting_reports (const struct entry *e);

/* choose.c */

/* Returns the link for the next attempt of the idempotent request Q; NULL if
   no upstream can take it.  */
struct link *choose_link (struct request *q);

/* Whether an attempt of Q failed or was refused at L.  */
bool choose_was_tried (const struct request *q, const struct link *l);

/* choose_by_key.c */

/* Returns the link for the next attempt of the non-idempotent request Q,
   from the candidates of its idempotency key; NULL if none can take it.  */
struct link *choose_link_by_key (struct request *q);

/* input.c */

/* Checks the request head and returns the customer that the bearer key
   belongs to.  Returns NULL and a reason in *V if the key is missing or
   unknown, or if the head exceeds the limits of a message to an agent.  */
const struct bb_customer_settings *
input_authenticate (const struct bb_settings *s,
                    const struct bb_http_request *r,
                    struct bb_request_result *v);

/* Returns the route of a request.  Returns NULL and a reason in *V if there
   is none, or if the body is too large or lacks the prompt of a completion. */
const struct bb_route_settings *
input_find_route (const struct bb_settings *s, const struct bb_http_request *r,
                  struct bb_request_result *v);

/* customer.c */

/* Adds one to the requests of a customer in flight.  Returns NULL and a
   result in *V if its limit is reached.  */
struct customer *customer_acquire (struct entry *e,
                                   const struct bb_customer_settings *s,
                                   struct bb_request_result *v);

/* Subtracts one from the requests of C in flight; frees C at zero.  */
void customer_release (struct entry *e, struct customer *c);

/* request.c */

/* Handles a new HTTP request; ARG is the entry.  */
void request_begin (struct bb_http_request *r, void *arg);

/* Frees what has arrived of the response to Q.  */
void request_free_buffer (struct request *q);

/* Frees a request after its response or after its client disconnected.  */
void request_end (struct request *q);

/* Ends Q with an error response; in a started stream, with an error event.  */
void request_refuse (struct request *q, const struct bb_request_result *v);

/* Cancels the current attempt of Q and refuses Q because its deadline has
   passed.  */
void request_refuse_expired (struct request *q);

/* attempt.c */

/* Sends Q to an upstream.  If none can take it, refuses Q or, shortly after a
   pause, holds it until an agent reports.  */
void attempt_send (struct request *q);

/* Handles the failure V of the current attempt: retries Q or refuses it.  */
void attempt_failed (struct request *q, const struct bb_request_result *v);

/* Tells the agent to cancel the current attempt.  */
void attempt_cancel (struct request *q);

/* Sends the requests that were held until an agent reports.  */
void attempt_send_waiting (struct entry *e);

/* Fails all attempts that run over L, whose connection is lost.  */
void attempt_link_lost (struct link *l);

/* Cancels and fails the idempotent attempts that run over L, whose agent is
   unresponsive.  */
void attempt_link_unresponsive (struct link *l);

/* resume.c */

/* Returns the request body for an upstream that continues the stream of Q:
   the original JSON with the number of tokens sent.  Returns NULL if the body
   is not a JSON object.  The caller frees it.  */
char *resume_body (const struct request *q);

/* Whether L can provide the rest of the response of Q.  */
bool resume_possible (const struct request *q, const struct link *l);

/* response.c */

/* Completes the response, which has been received completely.  */
void response_finish (struct request *q);

/* Handle messages about a request from the agent of L.  */
void response_on_head (struct link *l, const struct bb_head *m);
void response_on_data (struct link *l, const struct bb_data *m);
void response_on_end (struct link *l, const struct bb_end *m);
void response_on_refusal (struct link *l, const struct bb_refusal *m);

/* measure.c */

/* Registers the counters and histograms; called once.  */
void measure_init (void);

/* Records the time to the response head of Q.  */
void measure_first_byte (const struct request *q);

/* Counts the completed response of Q and records its latency.  */
void measure_response (const struct request *q);

/* suspect.c */

/* Returns the fingerprint that identifies a request across upstream crashes:
   a hash of customer, path and body; for a non-idempotent route also of the
   idempotency key, or of a random number if there is none.  */
uint64_t suspect_fingerprint (const char *customer,
                              const struct bb_route_settings *route,
                              const struct bb_http_request *r);

/* Whether FINGERPRINT is quarantined; if so, *V is set to the refusal.  */
bool suspect_is_quarantined (struct entry *e, uint64_t fingerprint,
                             struct bb_request_result *v);

/* Whether FINGERPRINT is suspect or quarantined.  */
bool suspect_is_suspect (struct entry *e, uint64_t fingerprint);

/* Records a crash reported by the agent of L; if it is new, forwards it to
   all other agents.  */
void suspect_receive (struct link *l, const struct bb_suspect *m);
/* Records that a request with FINGERPRINT was answered, and tells all agents
   if it was suspect.  */
void suspect_answered (struct entry *e, uint64_t fingerprint);

/* Sends all known crashes to an agent that has just connected.  */
void suspect_send_all (struct link *l);

/* problem.c */

/* Sends the error response for V with its problem body and counts the
   refusal.  */
void problem_respond (struct bb_http_request *r,
                      const struct bb_request_result *v);

/* Counts a request that the HTTP server refuses with STATUS before the
   handler sees it, and returns its problem body.  The caller frees it.  */
char *problem_for_status (uint16_t status, void *arg);

/* Ends an event stream that cannot be completed with an error event.  */
void problem_end_stream (struct bb_http_request *r,
                         const struct bb_request_result *v);

#endif
