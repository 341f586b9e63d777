#ifndef TESTBED_H
#define TESTBED_H

/* A testbed of real processes on loopback: a fake store, fake replicas, edges
   and the agents of replicas.  */

#include "harness.h"

enum
{
  TESTBED_MAX = 160,
  TESTBED_TEXT_SIZE = 16
};

struct testbed_edge
{
  uint16_t front_port;
  uint16_t ready_port;
  uint16_t control_port;
  uint16_t metrics_port;
  uint16_t store_port; /* may be a port that nobody listens on */
  pid_t pid;
};

/* Links of limited speed between edges, and from edges to the store.  */
struct testbed_links
{
  uint32_t edges; /* edges that have a link; 0: there are no links */
  uint16_t store_ports[TESTBED_MAX];
};

struct testbed
{
  struct harness *harness;
  uint16_t store_port;
  pid_t store_pid;
  struct testbed_edge edges[TESTBED_MAX];
  struct testbed_links links;
  uint32_t edges_count;
  uint16_t replica_ports[TESTBED_MAX];
  pid_t replica_pids[TESTBED_MAX];
  char replica_ips[TESTBED_MAX][TESTBED_TEXT_SIZE];
  char replica_pools[TESTBED_MAX][TESTBED_TEXT_SIZE];
  uint32_t replicas_count;
  uint32_t drain_ms;   /* bounds.drain-ms of edges started from now on */
  uint32_t grace_s;    /* bounds.grace-s, likewise */
  uint64_t seq;        /* of the last registration by testbed_register */
  uint16_t agent_port; /* port of all agents; 0: no agent started yet */
  uint16_t agent_metrics_ports[TESTBED_MAX]; /* by replica */
};

/* Initializes T, which the caller frees with testbed_free, and starts a fake
   store with a configuration.  Its routes, all of host 127.0.0.1, are /order/
   (at most once), /check/ (idempotent) and /stream/ (resumable stream) to pool
   app, /other/ to pool other, and /draft/ to pool draft, whose upstreams are
   ranks of engine groups.  Customer maker has the key key-1.  */
void testbed_init (struct testbed *t);
/* Ends all processes of T.  */
void testbed_free (struct testbed *t);

/* Starts a fake replica ID of POOL on 127.0.0.1 and registers it in the store.
   FAULT is one of the faults of fake-replica, "" for none.  Returns the index
   of the replica.  */
uint32_t testbed_start_replica (struct testbed *t, const char *id,
                                const char *pool, const char *fault);

/* Starts and registers a replica like testbed_start_replica, on the loopback
   address IP.  Replicas with agents need different addresses, since all agents
   use one port.  */
uint32_t testbed_start_replica_on (struct testbed *t, const char *ip,
                                   const char *id, const char *pool,
                                   const char *fault);

/* Registers replica R in the store under ID, as a process started at
   BORN_UNIX_MS.  */
void testbed_register (struct testbed *t, uint32_t r, const char *id,
                       uint64_t born_unix_ms);
/* Removes the registration of ID.  */
void testbed_unregister (struct testbed *t, const char *id);

/* Gives the EDGES edges that are started next a link each, which carries RATE
   bytes a second in each direction to other edges and to the store.  Callers
   and replicas are connected directly.  Call it before the first edge is
   started.  */
void testbed_start_links (struct testbed *t, uint32_t edges, uint32_t rate);

/* Starts an edge and waits until it is ready; aborts if it is not.  STORE is
   the port of its store; 0 means the testbed's.  Returns the index of the
   edge.  */
uint32_t testbed_start_edge (struct testbed *t, uint16_t store);

/* Kills edge E and waits for its end.  */
void testbed_kill_edge (struct testbed *t, uint32_t e);
/* Starts edge E, which was killed, with its settings of before, and waits
   until it is ready.  Its log is continued.  */
void testbed_restart_edge (struct testbed *t, uint32_t e);
/* Likewise, but does not wait.  */
void testbed_spawn_edge (struct testbed *t, uint32_t e);

/* Starts bilberry-rank, the agent of replica R.  Returns its process id.  */
pid_t testbed_start_rank (struct testbed *t, uint32_t r);

/* Writes item KEY to the store; VALUE NULL removes it.  */
void testbed_put_item (struct testbed *t, const char *key, const char *value);
/* Sets how the store answers reads: one of the modes of fake-store.  */
void testbed_set_store_mode (struct testbed *t, const char *mode);

/* Returns the configuration with VERSION, and with further routes and further
   keys of the customer.  ROUTES and KEYS are JSON array elements that begin
   with a comma, or "".  The caller frees it.  */
char *testbed_config (int version, const char *routes, const char *keys);
/* Returns JSON of N routes to pool app for testbed_config, some 200 bytes
   each. The caller frees it.  */
char *testbed_routes (uint32_t n);
/* Writes that configuration to the store.  */
void testbed_put_config (struct testbed *t, int version, const char *routes,
                         const char *keys);

/* Sends a request to edge E and waits for the answer.  ID is its attempt id;
   KEY is its bearer key, NULL for none.  The caller frees the answer
   with http_response_free.  */
struct http_response testbed_request (struct testbed *t, uint32_t e,
                                      const char *method, const char *path,
                                      const char *id, const char *key);

/* Sends a request with key-1 to edge 0 and asserts that it gets a complete
   response with STATUS.  */
void testbed_check_status (struct testbed *t, const char *method,
                           const char *path, const char *id, int status);

/* Returns how often requests with attempt id ID ran, over all replicas.  */
uint32_t testbed_count_runs (struct testbed *t, const char *id);

/* Returns how many requests replica R ran.  */
uint32_t testbed_count_runs_at (struct testbed *t, uint32_t r);

/* Returns how often replicas were ended by a request, over all replicas.  */
uint32_t testbed_count_ended (struct testbed *t);

/* Sends GET requests for PATH with KEY to edge E until one is answered with
   STATUS.  Returns false if none is within five seconds.  */
bool testbed_await_status (struct testbed *t, uint32_t e, const char *path,
                           const char *key, int status);

/* Returns how many bytes of the store's items edge E has received from
   peers.  */
uint64_t testbed_received_bytes (struct testbed *t, uint32_t e);

/* Waits until a request with KEY is answered with 200 at each edge, TIMEOUT_MS
   at most.  Returns how long that took.  */
int64_t testbed_await_key (struct testbed *t, const char *key,
                           int64_t timeout_ms);

/* Returns the log of PROCESS, such as "edge-0" or "side-0" (the agent of
   replica 0).  The caller frees it.  */
char *testbed_read_log (struct testbed *t, const char *process);

/* Returns how often TEXT is in the log of PROCESS.  */
uint32_t testbed_count_log (struct testbed *t, const char *process,
                            const char *text);

/* Waits until TEXT is more than N times in the log of PROCESS; aborts if it is
   not within five seconds.  */
void testbed_await_log (struct testbed *t, const char *process,
                        const char *text, uint32_t n);

#endif
