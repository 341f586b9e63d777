/* fair - latency and refusals of small customers at one upstream while a large
   customer sends up to ten times its share, by deficit round robin and by
   first come, first served.  In virtual time.  */

#include "bilberry/admit.h"
#include "report.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CUSTOMERS = 10, /* customer 0 is the large one */
  SLOTS = 16,
  QUEUE_MAX = 64,
  SERVICE_MS = 200, /* mean time to serve a request */
  TOKENS = 200,
  DURATION_S = 600,
  LATENCIES_MAX = 400000
};

struct request
{
  uint32_t customer;
  bb_ms arrived_ms;
  bb_ms ends_ms;
};

struct simulation
{
  GRand *rand;
  struct bb_admit *admit;
  bool fifo;
  struct request *requests; /* indexed by request id */
  uint64_t last_id;
  uint64_t running_ids[SLOTS]; /* request ids; 0: the slot is free */
  bb_ms *latencies_ms; /* latencies of completed requests of small customers */
  uint32_t latency_count;
  uint32_t small_sent;
  uint32_t small_refused;
  uint32_t large_completed;
  uint32_t large_sent;
};

static void
enqueue_request (struct simulation *s, uint32_t customer, bb_ms now)
{
  char name[16];
  uint64_t id = ++s->last_id;
  uint64_t evicted;
  struct bb_request_result v;
  struct bb_admit_request o = {
    .id = id, .weight = 1, .tokens = TOKENS, .deadline_ms = now + 30000
  };

  /* With a single customer, deficit round robin is first come, first
     served.  */
  snprintf (name, sizeof name, "customer-%u", s->fifo ? 0 : customer);
  o.customer = bb_bytes_of (name);
  s->requests[id].customer = customer;
  s->requests[id].arrived_ms = now;
  *(customer ? &s->small_sent : &s->large_sent) += 1;
  if (!bb_admit_enqueue (s->admit, &o, now, &evicted, &v))
    evicted = id;
  if (evicted && s->requests[evicted].customer > 0)
    s->small_refused++;
}

static void
complete_requests (struct simulation *s, bb_ms now)
{
  for (int i = 0; i < SLOTS; i++)
    {
      struct request *q = &s->requests[s->running_ids[i]];
      if (!s->running_ids[i] || q->ends_ms > now)
        continue;
      bb_admit_end (s->admit, true, SERVICE_MS);
      if (q->customer > 0)
        s->latencies_ms[s->latency_count++] = now - q->arrived_ms;
      else
        s->large_completed++;
      s->running_ids[i] = 0;
    }
}

static void
dispatch_requests (struct simulation *s, bb_ms now)
{
  uint64_t id;

  while ((id = bb_admit_next (s->admit)) != 0)
    for (int i = 0; i < SLOTS; i++)
      if (!s->running_ids[i])
        {
          s->requests[id].ends_ms
              = now + SERVICE_MS / 2
                + g_rand_int_range (s->rand, 0, SERVICE_MS);
          s->running_ids[i] = id;
          break;
        }
}

static int
compare_ms (const void *a, const void *b)
{
  bb_ms x = *(const bb_ms *)a;
  bb_ms y = *(const bb_ms *)b;

  return (x > y) - (x < y);
}

/* Simulates DURATION_S in which the large customer sends LOAD_FACTOR times its
   share of the capacity and each other customer half of its own.  Returns the
   95th percentile latency of the other customers in ms.  */
static bb_ms
run_simulation (const char *name, bool fifo, double load_factor, FILE *csv)
{
  struct bb_admit_limits limits
      = { .limit = SLOTS, .cold_limit = SLOTS, .queue_max = QUEUE_MAX };
  struct simulation s = { .fifo = fifo };
  double requests_per_ms = (double)SLOTS / SERVICE_MS / CUSTOMERS;
  bb_ms p50;
  bb_ms p95;

  s.rand = g_rand_new_with_seed (7);
  s.admit = bb_admit_new (&limits);
  s.requests = g_new0 (struct request, (gsize)LATENCIES_MAX * 2);
  s.latencies_ms = g_new0 (bb_ms, LATENCIES_MAX);
  for (bb_ms now = 0; now < (bb_ms)DURATION_S * 1000; now++)
    {
      complete_requests (&s, now);
      for (uint32_t c = 0; c < CUSTOMERS; c++)
        if (g_rand_double (s.rand) < requests_per_ms * (c ? 0.5 : load_factor))
          enqueue_request (&s, c, now);
      dispatch_requests (&s, now);
    }
  qsort (s.latencies_ms, s.latency_count, sizeof *s.latencies_ms, compare_ms);
  p50 = s.latencies_ms[s.latency_count / 2];
  p95 = s.latencies_ms[s.latency_count * 95 / 100];
  printf ("%-6s %-14s %8lld %8lld %11.2f%% %14.2f\n", fifo ? "fifo" : "drr",
          name, (long long)p50, (long long)p95,
          100.0 * s.small_refused / s.small_sent,
          s.large_completed / (requests_per_ms * DURATION_S * 1000));
  if (csv)
    fprintf (csv, "%s,%s,%lld,%lld,%.3f\n", fifo ? "fifo" : "drr", name,
             (long long)p50, (long long)p95,
             100.0 * s.small_refused / s.small_sent);
  bb_admit_free (s.admit);
  g_rand_free (s.rand);
  g_free (s.requests);
  g_free (s.latencies_ms);
  return p95;
}

/* Prints the time to queue, start and end one request while CUSTOMER_COUNT
   customers have requests queued.  */
static void
measure_admission_cost (uint32_t customer_count)
{
  enum
  {
    ITERATIONS = 200000
  };
  struct bb_admit_limits limits
      = { .limit = 64, .cold_limit = 64, .queue_max = customer_count + 1 };
  struct bb_admit *a = bb_admit_new (&limits);
  struct bb_request_result v;
  uint64_t evicted;
  gint64 start_us;
  char name[32];

  start_us = g_get_monotonic_time ();
  for (uint32_t i = 0; i < ITERATIONS; i++)
    {
      struct bb_admit_request o = {
        .id = i + 1, .weight = 1, .tokens = 200, .deadline_ms = INT64_MAX
      };
      snprintf (name, sizeof name, "customer-%u", i % customer_count);
      o.customer = bb_bytes_of (name);
      bb_admit_enqueue (a, &o, 0, &evicted, &v);
      if (i >= customer_count && bb_admit_next (a))
        bb_admit_end (a, true, 100);
    }
  printf ("%u customers waiting: %.2f us for one admission\n", customer_count,
          (double)(g_get_monotonic_time () - start_us) / ITERATIONS);
  bb_admit_free (a);
}

int
main (void)
{
  FILE *csv = report_open ("fair.csv");
  bb_ms alone_p95_ms;
  bb_ms overload_p95_ms;

  printf ("%-6s %-14s %8s %8s %12s %14s\n", "queue", "large asks for",
          "p50 ms", "p95 ms", "refused", "large gets");
  for (int fifo = 0; fifo < 2; fifo++)
    {
      alone_p95_ms = run_simulation ("nothing", fifo, 0, csv);
      run_simulation ("its share", fifo, 1, csv);
      overload_p95_ms = run_simulation ("ten shares", fifo, 10, csv);
      printf ("%-6s p95 of the others is %.2f of their time alone\n",
              fifo ? "fifo" : "drr",
              (double)overload_p95_ms / (double)alone_p95_ms);
    }
  measure_admission_cost (10);
  measure_admission_cost (100);
  measure_admission_cost (5200);
  if (csv)
    fclose (csv);
  return 0;
}
