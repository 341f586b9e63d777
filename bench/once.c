/* once - outcomes of non-idempotent calls under injected faults, for each
   strategy to run a call at most once per idempotency key.  */

#include "../test/harness/once_sim.h"
#include "report.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  SEEDS = 20,
  KEYS = 200,
  FAULT_INTERVAL_MS = 12000
};

struct strategy
{
  const char *name;
  uint32_t candidates; /* agents asked to grant a key */
  bool key_timestamps; /* calls carry the age of their key */
};

struct fault_case
{
  const char *name;
  uint32_t faults; /* sum of enum once_fault */
};

/* In the names, births stands for key timestamps; home, home+copy and majority
   for 1, 2 and 3 candidates.  */
static const struct strategy strategies[] = {
  { "home", 1, false },      { "home+births", 1, true },
  { "home+copy", 2, false }, { "home+copy+births", 2, true },
  { "majority", 3, false },  { "majority+births", 3, true },
};

static const struct fault_case fault_cases[] = {
  { "none", 0 },
  { "kill", ONCE_FAULT_KILL },
  { "replace", ONCE_FAULT_REPLACE },
  { "partition", ONCE_FAULT_PARTITION },
  { "pause", ONCE_FAULT_PAUSE },
  { "domain-out", ONCE_FAULT_OUT },
  { "members", ONCE_FAULT_MEMBERS },
  { "network", ONCE_FAULT_NETWORK },
  { "upstream", ONCE_FAULT_UPSTREAM },
  { "kill-all", ONCE_FAULT_KILL_ALL },
};

static struct once_sim_result
run_case (const struct strategy *strategy, const struct fault_case *fault_case)
{
  struct once_sim_result sum = { 0 };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct once_sim_options o
          = { .seed = seed,
              .faults = fault_case->faults,
              .fault_interval_ms = FAULT_INTERVAL_MS,
              .replicas = 3,
              .entries = 3,
              .keys = KEYS,
              .candidates = strategy->candidates,
              .key_timestamps = strategy->key_timestamps,
              .skew_ms = strategy->key_timestamps ? 100 : 0 };
      struct once_sim_result r = once_sim_run (&o);
      sum.keys += r.keys;
      sum.answered += r.answered;
      sum.in_doubt += r.in_doubt;
      sum.refused += r.refused;
      sum.ran_twice += r.ran_twice;
      sum.false_not_run += r.false_not_run;
      sum.messages += r.messages;
    }
  return sum;
}

static double
percent (uint32_t part, uint32_t whole)
{
  return whole ? 100.0 * part / whole : 0;
}

static void
write_plot (void)
{
  FILE *f = report_open ("once.gnuplot");

  if (!f)
    return;
  fputs ("set datafile separator ','\nset terminal png size 900,500\n"
         "set output 'once.png'\nset style data histogram\n"
         "set style fill solid\nset ylabel 'keys in doubt, percent'\n"
         "set xtics rotate by -30\nset yrange [0:]\n"
         "plot for [i=2:7] 'once.csv' using i:xtic(1) title "
         "columnheader(i)\n",
         f);
  fclose (f);
}

static bool
discard_message (void *user, const char *member, enum bb_message_type type,
                 const void *m)
{
  (void)user;
  (void)member;
  (void)type;
  (void)m;
  return true;
}

/* The call that libonce has last allowed to run.  */
static uint64_t started_call;

static void
record_run (void *user, uint64_t call)
{
  (void)user;
  started_call = call;
}

static void
discard_answer (void *user, uint64_t call, const struct bb_once_note *n)
{
  (void)user;
  (void)call;
  (void)n;
}

static void
discard_refusal (void *user, uint64_t call, const struct bb_request_result *v)
{
  (void)user;
  (void)call;
  (void)v;
}

/* Prints memory and time of each of KEYS recorded keys, at an agent that is
   the only replica of its pool.  */
static void
measure_key_cost (uint32_t keys)
{
  static const struct bb_once_ops ops = { .send = discard_message,
                                          .run = record_run,
                                          .answer = discard_answer,
                                          .refuse = discard_refusal };
  static const char *const names[] = { "order-1" };
  struct bb_once_limits limits = { .candidates = BB_ONCE_CANDIDATES,
                                   .keys_max = keys,
                                   .bytes_max = UINT32_MAX,
                                   .retention_ms = INT64_MAX / 4,
                                   .grant_timeout_ms = 500 };
  struct bb_once *o = bb_once_new ("order-1", 1, &ops, NULL, 0);
  struct bb_once_note n = { .status = 201,
                            .customer = bb_bytes_of ("customer-1"),
                            .body = bb_bytes_of ("{\"order\":\"booked\"}") };
  size_t before = mallinfo2 ().uordblks;
  gint64 start_us;
  char key[40];

  bb_once_set_limits (o, &limits);
  bb_once_set_members (o, names, 1, NULL, 0, 0);
  bb_once_tick (o, 0);
  start_us = g_get_monotonic_time ();
  for (uint32_t i = 1; i <= keys; i++)
    {
      struct bb_once_call c = {
        .id = i, .customer = n.customer, .request_hash = i, .deadline = 1000
      };
      snprintf (key, sizeof key, "018f2c5a-7c00-7abc-8def-%012u", i);
      c.key = bb_bytes_of (key);
      n.key = c.key;
      bb_once_begin (o, &c, 1);
      bb_once_complete (o, started_call, &n, BB_RUN_RAN, 1);
    }
  printf ("%u keys: %.0f bytes and %.2f us for each\n", bb_once_stats (o).keys,
          (double)(mallinfo2 ().uordblks - before) / keys,
          (double)(g_get_monotonic_time () - start_us) / keys);
  bb_once_free (o);
}

int
main (void)
{
  FILE *csv = report_open ("once.csv");

  printf ("%-11s %-17s %9s %9s %9s %8s %8s\n", "trouble", "way", "answered",
          "not run", "in doubt", "doubled", "untrue");
  if (csv)
    {
      fputs ("trouble", csv);
      for (size_t i = 0; i < G_N_ELEMENTS (strategies); i++)
        fprintf (csv, ",%s", strategies[i].name);
    }
  for (size_t t = 0; t < G_N_ELEMENTS (fault_cases); t++)
    {
      if (csv)
        fprintf (csv, "\n%s", fault_cases[t].name);
      for (size_t i = 0; i < G_N_ELEMENTS (strategies); i++)
        {
          struct once_sim_result r
              = run_case (&strategies[i], &fault_cases[t]);
          printf ("%-11s %-17s %8.2f%% %8.2f%% %8.2f%% %8u %8u\n",
                  fault_cases[t].name, strategies[i].name,
                  percent (r.answered, r.keys), percent (r.refused, r.keys),
                  percent (r.in_doubt, r.keys), r.ran_twice, r.false_not_run);
          fflush (stdout);
          if (csv)
            fprintf (csv, ",%.3f", percent (r.in_doubt, r.keys));
        }
    }
  if (csv)
    {
      fputs ("\n", csv);
      fclose (csv);
    }
  write_plot ();
  measure_key_cost (1000);
  measure_key_cost (10000);
  measure_key_cost (100000);
  return 0;
}
