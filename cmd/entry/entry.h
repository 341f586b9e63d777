#ifndef ENTRY_H
#define ENTRY_H

#include "bilberry/daemon.h"
#include "bilberry/route.h"

#include <uthash.h>

/* The way to one agent.  */
struct link
{
  struct entry *entry;
  char *name; /* of the upstream */
  char *address;
  char *pool;
  char *failure_domain;
  bool in; /* may receive new work by the settings */
  struct bb_conn *conn;
  bool ready; /* the agent has said hello */
  uint64_t agent_incarnation;
  struct bb_load load;
  uint32_t in_flight;
  uv_timer_t again;
  struct link *next;
  bool gone; /* no longer in the settings */
};

/* A caller's request.  */
struct request
{
  uint64_t id;
  struct entry *entry;
  struct bb_http_request *http; /* NULL once the answer is handed over */
  char *customer;
  char *pool;
  bool idempotent;
  uint64_t key_hash;  /* of the customer and the idempotency key */
  struct link *link;  /* where the present try runs */
  struct link *tried; /* where the last try ended */
  uint32_t attempts;
  bb_ms deadline;
  bb_ms started;
  uv_timer_t timer;
  bool streaming; /* the head has been sent to the caller */
  uint16_t status;
  struct bb_header headers[64]; /* kept until the answer is whole */
  uint32_t headers_count;
  char *kept; /* bytes behind headers and body */
  size_t kept_size;
  UT_hash_handle hh;
};

struct entry
{
  struct bb_daemon *daemon;
  struct bb_http_server *server;
  struct link *links;
  struct request *requests; /* by id */
  uint32_t open_answers;    /* callers whose answer is not sent out yet */
  uint64_t last_id;
  GRand *rand;
  struct bb_retry_budget budget;
};

/* link.c */

/* Makes the links fit the settings in force.  */
void links_update (struct entry *e);

/* choose.c */

/* Chooses where the next try of Q runs; NULL where nothing can take it.  */
struct link *choose_link (struct request *q);

/* home.c */

/* Finds the home of the key of a non-idempotent request; NULL where it cannot
   take it now.  */
struct link *home_link (struct request *q);

/* input.c */

/* Finds the customer that the bearer key names; NULL and a verdict where
   there is none, or where the head is larger than an agent takes.  */
const struct bb_customer_settings *
input_customer (const struct bb_settings *s, const struct bb_http_request *r,
                struct bb_verdict *v);

/* Finds the route of a request; NULL and a verdict where there is none.  */
const struct bb_route_settings *input_route (const struct bb_settings *s,
                                             const struct bb_http_request *r,
                                             struct bb_verdict *v);

/* request.c */
void request_begin (struct bb_http_request *r, void *arg);
void request_on_head (struct entry *e, const struct bb_head *m);
void request_on_data (struct entry *e, const struct bb_data *m);
void request_on_end (struct entry *e, const struct bb_end *m);
void request_on_refusal (struct entry *e, const struct bb_refusal *m);

/* The connection of LINK is lost; its requests end or are tried again.  */
void request_on_link_lost (struct link *l);

/* measure.c */

/* Makes the counters and histograms; called once.  */
void measure_init (void);

/* The first byte of Q's answer, or its first piece, has come.  */
void measure_first_byte (const struct request *q);

/* The answer of Q is whole.  */
void measure_answer (const struct request *q);

/* problem.c */

/* Refuses a request for good: status, problem body, counter.  */
void problem_respond (struct bb_http_request *r, const struct bb_verdict *v);

/* Counts a request that the server refuses with STATUS before it is read
   whole, and returns its problem body.  */
char *problem_of_fault (uint16_t status, void *arg);

/* Ends an event stream that cannot be made whole by an error event.  */
void problem_end_stream (struct bb_http_request *r,
                         const struct bb_verdict *v);

#endif
