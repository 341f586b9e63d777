/* fair - what small customers meet before one upstream while a large one asks
   for ten times its share: deficit round robin against first come, first
   served.  In virtual time.  */

#include "bilberry/admit.h"
#include "report.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CUSTOMERS = 10, /* the first is the large one */
  SLOTS = 16,
  QUEUE = 64,
  SERVICE_MS = 200, /* of a request of TOKENS */
  TOKENS = 200,
  SECONDS = 600,
  WAITS_MAX = 400000
};

struct request
{
  uint32_t customer;
  bb_ms came;
  bb_ms ends;
};

struct run
{
  GRand *rand;
  struct bb_admit *admit;
  bool fifo;
  struct request *requests; /* by id */
  uint64_t last_id;
  uint64_t running[SLOTS];
  bb_ms *spent; /* of small customers' requests, first to last */
  uint32_t spent_count;
  uint32_t small_sent;
  uint32_t small_refused;
  uint32_t large_answered;
  uint32_t large_sent;
};

static void
arrive (struct run *r, uint32_t customer, bb_ms now)
{
  char name[16];
  uint64_t id = ++r->last_id;
  uint64_t evicted;
  struct bb_request_result v;
  struct bb_admit_request o = {
    .id = id, .weight = 1, .tokens = TOKENS, .deadline_ms = now + 30000
  };

  /* First come, first served is one queue for all.  */
  snprintf (name, sizeof name, "customer-%u", r->fifo ? 0 : customer);
  o.customer = bb_bytes_of (name);
  r->requests[id].customer = customer;
  r->requests[id].came = now;
  *(customer ? &r->small_sent : &r->large_sent) += 1;
  if (!bb_admit_enqueue (r->admit, &o, now, &evicted, &v))
    evicted = id;
  if (evicted && r->requests[evicted].customer > 0)
    r->small_refused++;
}

static void
finish (struct run *r, bb_ms now)
{
  for (int i = 0; i < SLOTS; i++)
    {
      struct request *q = &r->requests[r->running[i]];
      if (!r->running[i] || q->ends > now)
        continue;
      bb_admit_end (r->admit, true, SERVICE_MS);
      if (q->customer > 0)
        r->spent[r->spent_count++] = now - q->came;
      else
        r->large_answered++;
      r->running[i] = 0;
    }
}

static void
start (struct run *r, bb_ms now)
{
  uint64_t id;

  while ((id = bb_admit_next (r->admit)) != 0)
    for (int i = 0; i < SLOTS; i++)
      if (!r->running[i])
        {
          r->requests[id].ends = now + SERVICE_MS / 2
                                 + g_rand_int_range (r->rand, 0, SERVICE_MS);
          r->running[i] = id;
          break;
        }
}

static int
compare (const void *a, const void *b)
{
  bb_ms x = *(const bb_ms *)a;
  bb_ms y = *(const bb_ms *)b;

  return (x > y) - (x < y);
}

/* Runs with the large customer at LARGE times its share of the capacity, the
   others at half of theirs.  Returns p95 of the others in ms.  */
static bb_ms
run (const char *name, bool fifo, double large, FILE *csv)
{
  struct bb_admit_limits limits
      = { .limit = SLOTS, .cold_limit = SLOTS, .queue_max = QUEUE };
  struct run r = { .fifo = fifo };
  double share = (double)SLOTS / SERVICE_MS / CUSTOMERS;
  bb_ms p50;
  bb_ms p95;

  r.rand = g_rand_new_with_seed (7);
  r.admit = bb_admit_new (&limits);
  r.requests = g_new0 (struct request, (gsize)WAITS_MAX * 2);
  r.spent = g_new0 (bb_ms, WAITS_MAX);
  for (bb_ms now = 0; now < (bb_ms)SECONDS * 1000; now++)
    {
      finish (&r, now);
      for (uint32_t c = 0; c < CUSTOMERS; c++)
        if (g_rand_double (r.rand) < share * (c ? 0.5 : large))
          arrive (&r, c, now);
      start (&r, now);
    }
  qsort (r.spent, r.spent_count, sizeof *r.spent, compare);
  p50 = r.spent[r.spent_count / 2];
  p95 = r.spent[r.spent_count * 95 / 100];
  printf ("%-6s %-14s %8lld %8lld %11.2f%% %14.2f\n", fifo ? "fifo" : "drr",
          name, (long long)p50, (long long)p95,
          100.0 * r.small_refused / r.small_sent,
          r.large_answered / (share * SECONDS * 1000));
  if (csv)
    fprintf (csv, "%s,%s,%lld,%lld,%.3f\n", fifo ? "fifo" : "drr", name,
             (long long)p50, (long long)p95,
             100.0 * r.small_refused / r.small_sent);
  bb_admit_free (r.admit);
  g_rand_free (r.rand);
  g_free (r.requests);
  g_free (r.spent);
  return p95;
}

/* Prints the time of one admission with CUSTOMERS_COUNT customers waiting. */
static void
measure_cost (uint32_t customers_count)
{
  enum
  {
    ROUNDS = 200000
  };
  struct bb_admit_limits limits
      = { .limit = 64, .cold_limit = 64, .queue_max = customers_count + 1 };
  struct bb_admit *a = bb_admit_new (&limits);
  struct bb_request_result v;
  uint64_t evicted;
  gint64 began;
  char name[32];

  began = g_get_monotonic_time ();
  for (uint32_t i = 0; i < ROUNDS; i++)
    {
      struct bb_admit_request o = {
        .id = i + 1, .weight = 1, .tokens = 200, .deadline_ms = INT64_MAX
      };
      snprintf (name, sizeof name, "customer-%u", i % customers_count);
      o.customer = bb_bytes_of (name);
      bb_admit_enqueue (a, &o, 0, &evicted, &v);
      if (i >= customers_count && bb_admit_next (a))
        bb_admit_end (a, true, 100);
    }
  printf ("%u customers waiting: %.2f us for one admission\n", customers_count,
          (double)(g_get_monotonic_time () - began) / ROUNDS);
  bb_admit_free (a);
}

int
main (void)
{
  FILE *csv = report_open ("fair.csv");
  bb_ms alone;
  bb_ms beside;

  printf ("%-6s %-14s %8s %8s %12s %14s\n", "queue", "large asks for",
          "p50 ms", "p95 ms", "refused", "large gets");
  for (int fifo = 0; fifo < 2; fifo++)
    {
      alone = run ("nothing", fifo, 0, csv);
      run ("its share", fifo, 1, csv);
      beside = run ("ten shares", fifo, 10, csv);
      printf ("%-6s p95 of the others is %.2f of their time alone\n",
              fifo ? "fifo" : "drr", (double)beside / (double)alone);
    }
  measure_cost (10);
  measure_cost (100);
  measure_cost (5200);
  if (csv)
    fclose (csv);
  return 0;
}
