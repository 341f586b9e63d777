#ifndef AGENT_H
#define AGENT_H

#include "bilberry/admit.h"
#include "bilberry/daemon.h"
#include "bilberry/once.h"

#include <uthash.h>

/* A connection from an entry or another agent.  */
struct peer
{
  struct agent *agent;
  struct bb_conn *conn;
  struct call *calls; /* by id */
  struct peer *prev;
  struct peer *next;
};

/* The way to another agent of the pool.  */
struct member
{
  struct agent *agent;
  char *name;
  char *address;
  struct bb_conn *conn;
  bool ready;
  bool removed;         /* no longer in the settings */
  uint64_t incarnation; /* of the agent that was last met there */
  uv_timer_t reconnect_timer;
  struct member *next;
};

enum call_state
{
  CALL_AWAITING_GRANT, /* whether its key may run */
  CALL_READY,          /* may run; see call_run_ready */
  CALL_QUEUED,         /* waits before the upstream */
  CALL_RUNNING         /* at the upstream */
};

/* The bytes of an answer, kept for repeats of its key.  */
struct outcome
{
  uint16_t status;
  struct bb_header headers[64]; /* sizes count; bytes lie in DATA */
  uint32_t headers_count;
  char *data;
  size_t size;
  bool too_large; /* larger than is kept */
};

/* A request that an entry asked for and that has not ended.  */
struct call
{
  uint64_t id;
  struct peer *peer; /* NULL once the entry is gone or refused */
  struct agent *agent;
  enum call_state state;
  struct bb_http_call *http;
  uv_timer_t deadline_timer;
  bool idempotent;
  bool keyed;             /* goes through the table of keys */
  bool headers_too_large; /* the answer's headers are too large to pass on */
  uint64_t once_id;
  struct bb_call request; /* its bytes lie in COPY */
  char *request_data;
  struct outcome outcome;
  struct call *ready_next;
  uint64_t queue_id;
  bb_ms arrived_ms;
  bb_ms started_ms;         /* at the upstream */
  UT_hash_handle hh_queued; /* of all queued calls, by queue_id */
  UT_hash_handle hh;        /* of the calls of its peer */
  UT_hash_handle hh_once;   /* of all keyed calls, by once_id */
};

struct agent
{
  struct bb_daemon *daemon;
  struct bb_http_client *client;
  struct bb_listener *listener;
  struct bb_admit *admit;
  struct bb_once *once;
  struct peer *peers;
  struct member *members;
  struct call *keyed_calls;  /* by once_id */
  struct call *ready_calls;  /* told to run by the table of keys */
  struct call *queued_calls; /* by queue_id */
  uint64_t last_once_id;
  uint64_t last_queue_id;
  char *pool;
  bb_ms skew_ms;
  bb_ms last_tick_ms;
  uv_timer_t tick_timer;
  struct bb_poison *poison;
  uint64_t last_crash_id; /* event number of the last crash of the upstream */
  bb_ms last_crash_ms;
  bool out_of_service; /* the upstream or its failure domain is taken out */
  struct rank *rank;   /* NULL: this VM holds no rank of a group */
};

/* peer.c */
bool peer_listen (struct agent *a, const char *address);
/* Sends a heartbeat to entries with calls here, or to all.  */
void peer_send_heartbeats (struct agent *a, bool idle_too);

/* Hands a message between agents to the table of keys.  */
void peer_on_once_message (struct agent *a, const struct bb_message *m);

/* suspect.c */

/* The upstream failed while C ran: its request is suspect.  */
void suspect_record_crash (const struct call *c);
void suspect_on_message (struct agent *a, const struct bb_suspect *m);

/* Tells a new peer what is held.  */
void suspect_send_known (struct peer *p);

/* member.c */

/* Makes the ways to the other agents fit the settings in force.  */
void members_update (struct agent *a);
bool member_send (void *agent, const char *member, enum bb_message_type type,
                  const void *m);
size_t members_backlog_bytes (const struct agent *a);

/* call.c */
void call_start (struct peer *p, const struct bb_call *m);
void call_cancel (struct peer *p, uint64_t id);
/* The entry of P is gone.  */
void call_cancel_all (struct peer *p);
/* Runs what the table of keys has allowed since the last call.  */
void call_run_ready (struct agent *a);
/* Refuses all calls that wait; the upstream is out.  */
void call_refuse_queued (struct agent *a);
uint32_t call_count_keyed (const struct agent *a);
extern const struct bb_once_ops call_once_ops;

/* probe.c */

/* Starts to watch the upstream for restarts.  */
void probe_start (struct agent *a);

/* outcome.c */
void outcome_set_head (struct outcome *o, uint16_t status,
                       const struct bb_header *headers, uint32_t count);
void outcome_append_body (struct outcome *o, struct bb_bytes piece);
/* Fills N; its bytes live as long as O.  */
void outcome_fill_note (struct outcome *o, struct bb_once_note *n);
void outcome_free (struct outcome *o);

/* main.c */
struct bb_load agent_load (const struct agent *a);

/* Returns the time; after a pause of the process, reads the settings first.
 *PAUSED_MS is how long it was.  */
bb_ms agent_now (struct agent *a, bb_ms *paused_ms);

#endif
