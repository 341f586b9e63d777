#ifndef LOAD_H
#define LOAD_H

/* Sends one HTTP request over and over on connections that stay open, each
   with one request in flight, and measures each answer.  */

#include "harness.h"

struct load_options
{
  uint16_t port;
  uint32_t connections;
  uint32_t threads; /* among which the connections are split */
  uint32_t duration_ms;
  const char *request; /* as sent, with its headers */
};

struct load_result
{
  uint64_t ok_responses;    /* with status 200 */
  uint64_t failed_requests; /* answers with another status, and lost ones */
  double duration_s;
  uint64_t *latencies_ns; /* of the answers, sorted */
};

void load_run (const struct load_options *o, struct load_result *r);
void load_free (struct load_result *r);

/* Returns the quantile Q of the latencies in microseconds.  */
double load_quantile_us (const struct load_result *r, double q);

#endif
