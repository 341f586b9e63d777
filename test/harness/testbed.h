#ifndef TESTBED_H
#define TESTBED_H

/* A small platform of real processes: a store, replicas, and edges.  */

#include "harness.h"

enum
{
  TESTBED_MAX = 16,
  TESTBED_TEXT_SIZE = 16
};

struct testbed_edge
{
  uint16_t front_port;
  uint16_t ready_port;
  uint16_t control_port;
  uint16_t metrics_port;
  uint16_t store_port; /* port; may be that of nothing */
  pid_t pid;
};

struct testbed
{
  struct harness *harness;
  uint16_t store_port;
  pid_t store_pid;
  struct testbed_edge edges[TESTBED_MAX];
  uint32_t edges_count;
  uint16_t replica_ports[TESTBED_MAX];
  char replica_ips[TESTBED_MAX][TESTBED_TEXT_SIZE];
  char replica_pools[TESTBED_MAX][TESTBED_TEXT_SIZE];
  uint32_t replicas_count;
  uint16_t agent_port; /* the same on each IP number; 0: none yet */
};

/* Starts a store with a configuration: host 127.0.0.1, route /order/ (at
   most once), /check/ (idempotent) and /stream/ (resumable stream) to pool
   app, /other/ to pool other, /draft/ to pool draft, whose upstreams step
   together in groups; customer maker with key key-1.  */
void testbed_init (struct testbed *t);
void testbed_free (struct testbed *t);

/* Starts a replica of POOL and registers it.  Returns its index.  */
uint32_t testbed_start_replica (struct testbed *t, const char *id,
                                const char *pool, const char *fault);

/* The same on a loopback address of its own, so that several agents run.  */
uint32_t testbed_start_replica_on (struct testbed *t, const char *ip,
                                   const char *id, const char *pool,
                                   const char *fault);

/* Starts an edge and waits until it is ready.  STORE 0: the testbed's.  */
uint32_t testbed_start_edge (struct testbed *t, uint16_t store);

/* Starts the agent beside replica R.  Returns its process.  */
pid_t testbed_start_rank (struct testbed *t, uint32_t r);

/* Writes an item of the store, or removes it (NULL).  */
void testbed_put_item (struct testbed *t, const char *key, const char *value);
void testbed_set_store_mode (struct testbed *t, const char *mode);

/* Writes the configuration as VERSION with further routes and keys, each a
   JSON text that begins with a comma, or "".  */
void testbed_put_config (struct testbed *t, int version, const char *routes,
                         const char *keys);

/* Sends a request with attempt ID and KEY (NULL: none) to edge E.  */
struct answer testbed_request (struct testbed *t, uint32_t e,
                               const char *method, const char *path,
                               const char *id, const char *key);

/* Returns how often requests with ID ran at all replicas.  */
uint32_t testbed_count_runs (struct testbed *t, const char *id);

/* Waits until PATH with KEY is answered with STATUS at edge E; false after
   five seconds.  */
bool testbed_await_status (struct testbed *t, uint32_t e, const char *path,
                           const char *key, int status);

/* Returns what PROCESS, such as "edge-0" or "side-0", has logged; the caller
   frees it.  */
char *testbed_read_log (struct testbed *t, const char *process);

#endif
