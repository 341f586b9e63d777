#ifndef AGENT_H
#define AGENT_H

/* State and functions of bilberry-agent, shared by its files.  Calls with an
   idempotency key are executed through libonce, which lets each key run at
   most once in the pool.  */

#include "bilberry/admit.h"
#include "bilberry/daemon.h"
#include "bilberry/once.h"

#include <uthash.h>

/* An accepted connection, from an entry or another agent.  */
struct peer
{
  struct agent *agent;
  struct bb_conn *conn;
  struct call *calls; /* hash table by id */
  struct peer *prev;
  struct peer *next;
};

/* An outgoing connection to another agent of the pool, reopened when lost.  */
struct agent_link
{
  struct agent *agent;
  char *name;
  char *address;
  struct bb_conn *conn;
  bool ready;           /* the other agent has sent its hello */
  bool removed;         /* no longer in the settings */
  uint64_t incarnation; /* incarnation in the other agent's last hello; 0: none
                           yet */
  uv_timer_t reconnect_timer;
  struct agent_link *next;
};

enum call_state
{
  CALL_AWAITING_GRANT, /* libonce has yet to allow the key of the call */
  CALL_READY,          /* allowed by libonce; see call_run_ready */
  CALL_QUEUED,         /* the call is in the admission queue */
  CALL_RUNNING         /* the call was sent to the upstream */
};

/* An upstream's response, stored to answer repeats of its idempotency key.  */
struct outcome
{
  uint16_t status;
  struct bb_header headers[64]; /* only the sizes in them are valid */
  uint32_t headers_count;
  char *data; /* header names and values, then the body */
  size_t size;
  /* The response exceeds the limit, so only its status is kept.  */
  bool too_large;
};

/* A request from an entry that is in progress.  */
struct call
{
  uint64_t id;
  struct peer *peer; /* connection that the call came on; NULL once no response
                        is to be sent */
  struct agent *agent;
  enum call_state state;
  struct bb_http_call *http;
  uv_timer_t deadline_timer;
  bool idempotent;
  bool keyed;             /* executed through libonce by its idempotency key */
  bool headers_too_large; /* the response cannot be forwarded */
  uint64_t once_id;
  struct bb_call request; /* points into request_data */
  char *request_data;
  struct outcome outcome;
  struct call *ready_next;
  uint64_t queue_id;
  bb_ms arrived_ms;
  bb_ms started_ms;         /* when it was sent to the upstream */
  bool sent_to_dying;       /* the upstream had just crashed then */
  uint64_t prior_crash;     /* crash that made the request suspect before it
                               was sent; 0: none */
  UT_hash_handle hh_queued; /* handle for agent.queued_calls */
  UT_hash_handle hh;        /* handle for peer.calls */
  UT_hash_handle hh_once;   /* handle for agent.keyed_calls */
};

struct agent
{
  struct bb_daemon *daemon;
  struct bb_http_client *client;
  struct bb_listener *listener;
  struct bb_admit *admit;
  struct bb_once *once;
  struct peer *peers;
  struct agent_link *links;
  struct call *keyed_calls;  /* hash table by once_id */
  struct call *ready_calls;  /* list of calls in CALL_READY */
  struct call *queued_calls; /* hash table by queue_id */
  uint64_t last_once_id;
  uint64_t last_queue_id;
  char *pool;
  bb_ms skew_ms;
  bb_ms last_tick_ms;
  uv_timer_t tick_timer;
  struct bb_poison *poison;
  uint64_t last_crash_id; /* id of the upstream's last crash; 0: none */
  bb_ms last_crash_ms;
  bool responded_since_crash; /* the upstream has responded since then */
  bool out_of_service; /* the settings take the upstream out of service: no new
                          call is run */
  struct rank *rank; /* rank of a group on this VM; NULL: this VM holds none */
};

/* peer.c */

/* Listens on ADDRESS for entries and agents.  Returns false on failure.  */
bool peer_listen (struct agent *a, const char *address);

/* Sends a heartbeat to each peer that has calls in progress; with IDLE_TOO, to
   all peers.  */
void peer_send_heartbeats (struct agent *a, bool idle_too);

/* Passes a message from another agent to libonce.  */
void peer_on_once_message (struct agent *a, const struct bb_message *m);

/* suspect.c */

/* Records what is known of the request of C when it is sent.  */
void suspect_start_call (struct call *c);

/* Records that the upstream failed while C was running, which makes the
   request of C suspect, and tells all peers if that is new.  */
void suspect_record_crash (const struct call *c);

/* Records that C was answered, which clears a suspect request, and tells all
   peers if it was suspect.  */
void suspect_answered (const struct call *c);

/* Records a suspect request that a peer reported; tells all peers if it is
   new.  */
void suspect_on_message (struct agent *a, const struct bb_suspect *m);

/* Sends all suspect requests known here to a newly connected peer.  */
void suspect_send_known (struct peer *p);

/* agent_link.c */

/* Connects to the agents of the pool that the current settings name, drops
   connections to others, and passes the new membership to libonce.  */
void agent_links_update (struct agent *a);

/* Sends libonce message M of TYPE to the agent named MEMBER.  Returns false if
   it is not connected.  */
bool agent_link_send (void *agent, const char *member,
                      enum bb_message_type type, const void *m);

/* Returns the number of bytes not yet sent to the other agents.  */
size_t agent_links_backlog_bytes (const struct agent *a);

/* call.c */

/* Starts or refuses the call of message M from P.  */
void call_start (struct peer *p, const struct bb_call *m);
void call_cancel (struct peer *p, uint64_t id);

/* Cancels all calls of P, whose connection has closed.  */
void call_cancel_all (struct peer *p);

uint32_t call_count_keyed (const struct agent *a);
extern const struct bb_once_ops call_once_ops;

/* call_run.c */

/* Queues the calls that libonce has allowed to run, then starts queued calls
   as far as the concurrency limit permits.  Called after each event that may
   do either, because libonce must not be called from its own callbacks.  */
void call_run_ready (struct agent *a);

/* Refuses all queued calls because the upstream is out of service.  */
void call_refuse_queued (struct agent *a);
/* call_run.c: used by call.c.  */

enum
{
  RETRY_AFTER_MS = 1000
};

/* Queues a call that may run, or refuses and frees it.  */
void call_enqueue (struct call *c);

/* Refuses the call of C, without freeing it, if its peer is still there.  */
void call_refuse (struct call *c, const struct bb_request_result *v);

/* Refuses and frees a call that has not been sent to the upstream.  */
void call_refuse_not_run (struct call *c, const struct bb_request_result *v);

/* Refuses the call ID of P, which need not exist.  */
void call_send_refusal (struct peer *p, uint64_t id,
                        const struct bb_request_result *v);

/* Refuses a call whose deadline has passed.  A non-idempotent call that is
   running is not cancelled, so that repeats of its key get its outcome.  */
void call_on_deadline (uv_timer_t *t);

/* Reports to libonce how a call that it allowed has ended: with the stored
   outcome if WHOLE, otherwise with RUN.  */
void call_complete_once (struct call *c, bool whole, enum bb_run run);

/* Makes C send nothing more to its peer.  */
void call_detach_peer (struct call *c);

/* Removes C from all tables and the queue and frees it.  */
void call_free (struct call *c);

/* probe.c */

/* Starts polling the upstream's metrics to detect restarts.  */
void probe_start (struct agent *a);

/* outcome.c */
void outcome_set_head (struct outcome *o, uint16_t status,
                       const struct bb_header *headers, uint32_t count);
void outcome_append_body (struct outcome *o, struct bb_bytes piece);

/* Copies O to N for libonce; N points to the bytes of O.  */
void outcome_fill_note (struct outcome *o, struct bb_once_note *n);
void outcome_free (struct outcome *o);

/* main.c */
struct bb_load agent_load (const struct agent *a);

/* Returns the current time.  If the process was paused (stopped, or its VM
   frozen), reloads the settings first and sets *PAUSED_MS to the length of the
   pause; otherwise sets it to 0.  */
bb_ms agent_now (struct agent *a, bb_ms *paused_ms);

#endif
