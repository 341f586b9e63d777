#ifndef LOAD_H
#define LOAD_H

/* HTTP load generator: repeats one request on persistent connections, with one
   request in flight on each, and measures the latencies.  */

#include "harness.h"

struct load_options
{
  uint16_t port;
  uint32_t connections;
  uint32_t threads; /* threads that share the connections evenly; connections
                       that remain are not used */
  uint32_t duration_ms;
  const char *request; /* HTTP request with its headers */
};

struct load_result
{
  uint64_t ok_responses;    /* responses with status 200 */
  uint64_t failed_requests; /* other statuses and lost connections */
  double duration_s;
  uint64_t *latencies_ns; /* one for each status 200, in ascending order */
};

/* Sends requests to 127.0.0.1 as O says and sets R to the result, which the
   caller frees with load_free.  Aborts where it cannot connect.  */
void load_run (const struct load_options *o, struct load_result *r);
void load_free (struct load_result *r);

/* Returns the quantile Q, from 0 to 1, of the latencies, in microseconds; 0
   where there are none.  */
double load_quantile_us (const struct load_result *r, double q);

#endif
