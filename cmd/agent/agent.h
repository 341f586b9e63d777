#ifndef AGENT_H
#define AGENT_H

#include "bilberry/admit.h"
#include "bilberry/daemon.h"

#include <uthash.h>

/* A connection from an entry.  */
struct peer
{
  struct agent *agent;
  struct bb_conn *conn;
  struct call *calls; /* by id */
  struct peer *prev;
  struct peer *next;
};

/* A request that an entry asked for and that has not ended.  */
struct call
{
  uint64_t id;
  struct peer *peer; /* NULL once the entry is gone */
  struct agent *agent;
  struct bb_http_call *http;
  uv_timer_t deadline;
  bool idempotent;
  UT_hash_handle hh;
};

struct agent
{
  struct bb_daemon *daemon;
  struct bb_http_client *client;
  struct bb_listener *listener;
  struct bb_admit admit;
  struct peer *peers;
  bool out;          /* the upstream or its failure domain is taken out */
  struct rank *rank; /* NULL: this VM holds no rank of a group */
};

/* peer.c */
bool peer_listen (struct agent *a, const char *address);
/* Sends a heartbeat to entries with calls here, or to all.  */
void peer_send_heartbeats (struct agent *a, bool idle_too);

/* call.c */
void call_start (struct peer *p, const struct bb_call *m);
void call_cancel (struct peer *p, uint64_t id);
/* The entry of P is gone.  */
void call_orphan_all (struct peer *p);

/* agent.c */
struct bb_load agent_load (const struct agent *a);

#endif
