#ifndef ENTRY_H
#define ENTRY_H

#include "bilberry/admit.h"
#include "bilberry/daemon.h"
#include "bilberry/route.h"

#include <uthash.h>

enum
{
  TRIED_MAX = 8
};

/* The links of one pool.  A pool that the settings no longer name stays,
   empty.  */
struct pool
{
  char *name;
  struct link **links;
  uint32_t links_count;
  struct bb_health_pool health;
  UT_hash_handle hh;
};

/* The way to one agent.  */
struct link
{
  struct entry *entry;
  char *name; /* of the upstream */
  char *address;
  char *pool_name;
  char *failure_domain;
  uint64_t name_hash;
  uint64_t domain_hash;
  struct pool *pool;
  bool enabled;     /* may receive new work by the settings */
  bool same_domain; /* in the entry's own failure domain */
  enum bb_resume resume;
  struct bb_conn *conn;
  bool ready;                /* the agent has said hello */
  bool connected_before;     /* it has said hello before */
  bool reported_since_pause; /* it has reported since this process was last
                                paused */
  uint64_t probe_nonce;      /* nonce of the probe under way */
  bb_ms last_heard_ms; /* its last message, or the first call since then */
  bool unresponsive;   /* longer than agents are while they live */
  uint64_t agent_incarnation;
  struct bb_load load;
  uint32_t other_requests; /* its load by other entries */
  bb_ms load_received_ms;  /* when it told the load */
  struct bb_health health;
  uint32_t in_flight;
  uv_timer_t reconnect_timer;
  struct link *next;
  bool removed; /* no longer in the settings, or in this entry's subset */
  bool closing; /* has left the list of links */
};

/* Requests of one customer at this entry.  */
struct customer
{
  char *name;
  uint32_t in_flight;
  UT_hash_handle hh;
};

/* A caller's request.  */
struct request
{
  uint64_t id;
  struct entry *entry;
  struct bb_http_request *http; /* NULL once the answer is handed over */
  struct customer *customer;
  char *customer_name;
  struct pool *pool;
  bool idempotent;
  struct bb_prefix prefix;
  uint64_t key_hash; /* of the customer and the idempotency key */
  uint64_t fingerprint;
  struct link *link; /* where the present try runs */
  uint64_t tried_upstreams[TRIED_MAX];
  uint64_t tried_domains[TRIED_MAX];
  uint32_t tried_count;
  uint32_t attempts;
  uint32_t crashes;          /* of upstreams that it was in flight at */
  struct bb_verdict verdict; /* of all tries that failed */
  bb_ms deadline_ms;
  bb_ms started_ms;
  uv_timer_t deadline_timer;
  bool awaiting_report; /* for an agent to report after a pause */
  bool streaming;       /* the head has been sent to the caller */
  struct bb_stream stream;
  uint16_t status;
  struct bb_header headers[64]; /* kept until the answer is whole */
  uint32_t headers_count;
  char *buffer; /* bytes behind headers and body */
  size_t buffer_size_bytes;
  UT_hash_handle hh;
};

struct entry
{
  struct bb_daemon *daemon;
  struct bb_http_server *server;
  struct link *links;
  struct pool *pools;         /* by name */
  struct request *requests;   /* by id */
  struct customer *customers; /* by name; those with requests in flight */
  uint32_t open_responses;    /* callers whose answer is not sent out yet */
  uint64_t last_attempt_id;
  GRand *rand;
  struct bb_retry_budget retry_budget;
  struct bb_prefix_table prefixes;
  struct bb_poison *poison;
  struct bb_pause pause;
  bb_ms pause_detected_ms; /* when the last pause was found; 0: never paused */
  uv_timer_t check_timer;
};

/* Returns the time in ms; the loop's clock may be behind it.  */
bb_ms entry_now (void);

/* link.c */

/* Takes the load that an agent told while OWN requests of this entry were
   part of it.  */
void link_update_load (struct link *l, const struct bb_load *load,
                       uint32_t own);

/* Closes a link that is gone once it is idle.  */
void link_close_if_unused (struct link *l);

/* Whether new work may be sent there.  */
bool link_usable (const struct link *l);

/* pool.c */

/* Makes the links fit the settings in force.  */
void links_update (struct entry *e);

/* Finds the pool NAME, making it at the first call.  */
struct pool *pool_find (struct entry *e, const char *name);

/* link.c, for pool.c */
struct link *link_find (struct entry *e, const struct bb_upstream_settings *u);
struct link *link_add (struct entry *e, const struct bb_upstream_settings *u);
void link_configure (struct link *l, const struct bb_upstream_settings *u);
void links_close_removed (struct entry *e);

/* watch.c */

/* Starts to look for pauses of this process and for silent agents.  */
void watch_start (struct entry *e);

/* Looks at the clock; after a pause the settings are read again and each
   agent has to report before it gets work.  */
void watch_check_pause (struct entry *e);

/* Whether agents are still expected to report after a pause.  */
bool watch_awaiting_reports (const struct entry *e);

/* choose.c */

/* Chooses where the next try of Q runs; NULL where nothing can take it.  */
struct link *choose_link (struct request *q);

/* Whether Q was refused or failed at L.  */
bool choose_was_tried (const struct request *q, const struct link *l);

/* home.c */

/* Finds the home of the key of a non-idempotent request; NULL where it cannot
   take it now.  */
struct link *choose_link_by_key (struct request *q);

/* input.c */

/* Finds the customer that the bearer key names; NULL and a verdict where
   there is none, or where the head is larger than an agent takes.  */
const struct bb_customer_settings *
input_authenticate (const struct bb_settings *s,
                    const struct bb_http_request *r, struct bb_verdict *v);

/* Finds the route of a request; NULL and a verdict where there is none.  */
const struct bb_route_settings *
input_find_route (const struct bb_settings *s, const struct bb_http_request *r,
                  struct bb_verdict *v);

/* customer.c */

/* Counts a request of a customer in; NULL and a verdict where its limit is
 * reached. */
struct customer *customer_acquire (struct entry *e,
                                   const struct bb_customer_settings *s,
                                   struct bb_verdict *v);
void customer_release (struct entry *e, struct customer *c);

/* request.c */
void request_begin (struct bb_http_request *r, void *arg);

/* Forgets a request whose caller has its answer or is gone.  */
void request_end (struct request *q);

/* Refuses a request for good.  */
void request_refuse (struct request *q, const struct bb_verdict *v);

/* Refuses a request whose deadline has passed.  */
void request_refuse_expired (struct request *q);

/* try.c */

/* Sends Q to an upstream, or refuses it where none can take it.  */
void attempt_send (struct request *q);

/* The present try ended without an answer: tries again or refuses.  */
void attempt_failed (struct request *q, const struct bb_verdict *v);

/* Tells the agent that nobody waits for the present try.  */
void attempt_cancel (struct request *q);

/* Requests that waited for an agent to report are sent.  */
void attempt_send_waiting (struct entry *e);

/* The connection of LINK is lost; its requests end or are tried again.  */
void attempt_link_lost (struct link *l);

/* LINK has been silent; its idempotent requests are tried elsewhere.  */
void attempt_link_unresponsive (struct link *l);

/* resume.c */

/* Returns the body of Q for an upstream that continues its stream; NULL where
   the body is none that can be continued.  The caller frees it.  */
char *resume_body (const struct request *q);

/* Whether the rest of the answer can be had from L.  */
bool resume_possible (const struct request *q, const struct link *l);

/* answer.c */

/* Ends the answer, which is whole.  */
void response_finish (struct request *q);

/* Messages from the agent of L about a request.  */
void response_on_head (struct link *l, const struct bb_head *m);
void response_on_data (struct link *l, const struct bb_data *m);
void response_on_end (struct link *l, const struct bb_end *m);
void response_on_refusal (struct link *l, const struct bb_refusal *m);

/* measure.c */

/* Makes the counters and histograms; called once.  */
void measure_init (void);

/* The first byte of Q's answer, or its first piece, has come.  */
void measure_first_byte (const struct request *q);

/* The answer of Q is whole.  */
void measure_response (const struct request *q);

/* suspect.c */

/* Returns what tells a request from others when an upstream crashes.  */
uint64_t suspect_fingerprint (const char *customer,
                              const struct bb_route_settings *route,
                              const struct bb_http_request *r);

/* Whether FINGERPRINT is quarantined; if so *V is its refusal.  */
bool suspect_is_quarantined (struct entry *e, uint64_t fingerprint,
                             struct bb_verdict *v);
bool suspect_is_suspect (struct entry *e, uint64_t fingerprint);
void suspect_receive (struct link *l, const struct bb_suspect *m);

/* Tells an agent that has just connected what is held.  */
void suspect_send_all (struct link *l);

/* problem.c */

/* Refuses a request for good: status, problem body, counter.  */
void problem_respond (struct bb_http_request *r, const struct bb_verdict *v);

/* Counts a request that the server refuses with STATUS before it is read
   whole, and returns its problem body.  */
char *problem_for_status (uint16_t status, void *arg);

/* Ends an event stream that cannot be made whole by an error event.  */
void problem_end_stream (struct bb_http_request *r,
                         const struct bb_verdict *v);

#endif
