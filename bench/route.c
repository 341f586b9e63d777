/* route - the entry's routing policy compared with round robin, random and
   least in flight, in virtual time and on the same seeds.

   Targets: when a failure domain fails abruptly and returns, at least 99.9% of
   requests complete or are refused at once, none is lost or duplicated, and
   p99 latency 5 s after each change is at most 1.2 times that of the steady
   state.

   Usage: route [SCENARIO...]  */

#include "bilberry/model.h"
#include "report.h"

#include <stdlib.h>
#include <string.h>

enum
{
  SEEDS = 5,
  AGENTS = 12,
  CUSTOMERS = 10,
  END_MS = 45000,
  OUTAGE_START_MS = 15000,
  OUTAGE_MS = 10000,
  SETTLE_S = 5,
  WINDOW_S = 5
};

struct variant
{
  const char *name;
  const struct bb_model_policy *policy;
  bb_ms hedge_delay_ms;
  uint32_t customer_limit;
};

enum
{
  CUSTOMER_LIMIT = 24 /* requests of a customer in flight at one entry */
};

static const struct variant variants[] = {
  { "round_robin", &bb_model_round_robin, 0, CUSTOMER_LIMIT },
  { "random", &bb_model_random, 0, CUSTOMER_LIMIT },
  { "least_in_flight", &bb_model_least_in_flight, 0, CUSTOMER_LIMIT },
  { "bilberry", &bb_model_bilberry, 0, CUSTOMER_LIMIT },
  { "bilberry_hedge", &bb_model_bilberry, 150, CUSTOMER_LIMIT },
  { "bilberry_no_limit", &bb_model_bilberry, 0, 0 },
  { "bilberry_no_prefix", &bb_model_bilberry_no_prefix, 0, CUSTOMER_LIMIT },
};

static void
restart_random_engine (struct bb_sim *sim, void *arg)
{
  struct bb_model *m = arg;

  bb_model_kill_engine (
      m, (uint32_t)g_rand_int_range (bb_sim_rand (sim), 0, AGENTS), 1000);
  bb_sim_schedule (sim, 3000, restart_random_engine, m);
}

static void
send_poison (struct bb_sim *sim, void *arg)
{
  bb_model_send_poison (arg);
  bb_sim_schedule (sim, 3000, send_poison, arg);
}

static void
kill_domain (struct bb_sim *sim, void *arg)
{
  (void)sim;
  bb_model_kill_domain (arg, 0, OUTAGE_MS);
}

static void
raise_customer_rate (struct bb_sim *sim, void *arg)
{
  (void)sim;
  bb_model_set_rate_factor (arg, 0, 20);
}

/* Sequences that a cold engine runs without a crash: fewer than its agent's
   limit grows to while the engine is cold, and as many as the agent ever
   admits.  */
static const uint32_t cold_max_sequences[] = { 8, 32 };

struct scenario
{
  const char *name;
  bb_sim_fn *fault;
  bb_ms fault_start_ms;
  uint32_t distinct_prefixes; /* number of different prompt prefixes; 0: every
                                 prompt differs */
  bb_ms prefill_ms;
};

static const struct scenario scenarios[] = {
  { "steady", NULL, 0, 0, 8 },
  { "domain", kill_domain, OUTAGE_START_MS, 0, 8 },
  { "cold", restart_random_engine, 5000, 0, 8 },
  { "flood", raise_customer_rate, OUTAGE_START_MS, 0, 8 },
  { "poison", send_poison, 5000, 0, 8 },
  { "prefix", NULL, 0, 200, 30 },
};

static void
merge_histogram (struct bb_histogram *to, const struct bb_histogram *from)
{
  for (uint32_t i = 0; i < BB_HISTOGRAM_BUCKETS; i++)
    to->counts[i] += from->counts[i];
  to->total += from->total;
  to->sum += from->sum;
}

static void
merge (struct bb_model_stats *to, const struct bb_model_stats *from)
{
  to->sent += from->sent;
  to->completed += from->completed;
  to->refused += from->refused;
  to->retries += from->retries;
  to->resumed += from->resumed;
  to->hedges += from->hedges;
  to->engine_crashes += from->engine_crashes;
  to->engine_tokens += from->engine_tokens;
  to->prefix_hits += from->prefix_hits;
  for (uint32_t i = 0; i < BB_MODEL_REASONS_MAX; i++)
    to->refused_by_reason[i] += from->refused_by_reason[i];
  for (uint32_t i = 0; i < BB_MODEL_CUSTOMERS_MAX; i++)
    {
      to->customer_sent[i] += from->customer_sent[i];
      to->customer_completed[i] += from->customer_completed[i];
    }
  merge_histogram (&to->first_token_ms, &from->first_token_ms);
  merge_histogram (&to->answer_ms, &from->answer_ms);
  g_array_append_vals (to->answers, from->answers->data, from->answers->len);
}

static void
run_seed (const struct scenario *sc, const struct variant *v,
          uint32_t max_sequences, uint64_t seed, struct bb_model_stats *sum)
{
  struct bb_model_options o = { .seed = seed,
                                .entries = 4,
                                .agents = AGENTS,
                                .domains = 3,
                                .customers = CUSTOMERS,
                                .limit = 32,
                                .cold_limit = 4,
                                .cold_max_sequences = max_sequences,
                                .rate_per_s = 130,
                                .mean_tokens = 40,
                                .distinct_prefixes = sc->distinct_prefixes,
                                .prefix_cache_size = 32,
                                .prefill_ms = sc->prefill_ms,
                                .cached_prefill_ms = 2,
                                .timeout_ms = 30000,
                                .settings_delay_max_ms = 2000,
                                .customer_limit = v->customer_limit,
                                .hedge_delay_ms = v->hedge_delay_ms,
                                .policy = v->policy,
                                .admission = &bb_model_libadmit };
  struct bb_model *m;

  o.net.delay_min_ms = 1;
  o.net.delay_max_ms = 1;
  m = bb_model_new (&o);
  bb_model_start_callers (m, END_MS);
  if (sc->fault)
    bb_sim_schedule (bb_model_sim (m), sc->fault_start_ms, sc->fault, m);
  bb_sim_run (bb_model_sim (m), END_MS + o.timeout_ms + 1000);
  bb_model_check_ended (m);
  merge (sum, bb_model_stats (m));
  bb_model_free (m);
}

static double
percent (uint64_t part, uint64_t all)
{
  return all == 0 ? 0 : 100.0 * (double)part / (double)all;
}

/* Returns Jain's fairness index over the shares of the customers.  A share is
   the number of completed requests, divided by the smaller of the number sent
   and an equal part of all completed requests; 1 at most.  */
static double
jain (const struct bb_model_stats *s)
{
  double equal_share = (double)s->completed / CUSTOMERS;
  double sum = 0;
  double squares = 0;

  for (uint32_t i = 0; i < CUSTOMERS; i++)
    {
      double entitled = MIN ((double)s->customer_sent[i], equal_share);
      double share = entitled > 0
                         ? MIN (1, (double)s->customer_completed[i] / entitled)
                         : 1;
      sum += share;
      squares += share * share;
    }
  return squares > 0 ? sum * sum / (CUSTOMERS * squares) : 0;
}

/* Returns the percentage of requests that completed, of all customers but the
   first, whose rate the scenario "flood" raises.  */
static double
other_customers_completed_percent (const struct bb_model_stats *s)
{
  return percent (s->completed - s->customer_completed[0],
                  s->sent - s->customer_sent[0]);
}

static int
compare_uint32 (gconstpointer a, gconstpointer b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return x < y ? -1 : x > y;
}

/* Returns the 99th percentile latency in ms of the answers to requests sent in
   the DURATION_S seconds from FROM_S on; 0 if there are none.  */
static uint32_t
p99_latency_ms (const struct bb_model_stats *s, uint32_t from_s,
                uint32_t duration_s)
{
  GArray *latencies_ms = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  uint32_t p99 = 0;

  for (guint i = 0; i < s->answers->len; i++)
    {
      const struct bb_model_answer *a
          = &g_array_index (s->answers, struct bb_model_answer, i);
      if (a->sent_ms / 1000 >= from_s
          && a->sent_ms / 1000 < from_s + duration_s)
        g_array_append_val (latencies_ms, a->latency_ms);
    }
  g_array_sort (latencies_ms, compare_uint32);
  if (latencies_ms->len > 0)
    p99 = g_array_index (latencies_ms, uint32_t,
                         (latencies_ms->len - 1) * 99 / 100);
  g_array_free (latencies_ms, TRUE);
  return p99;
}

static void
print_row (FILE *csv, const char *scenario, uint32_t max_sequences,
           const char *name, const struct bb_model_stats *s)
{
  static const double quantiles[] = { 0.5, 0.95, 0.99 };

  printf ("%-8s %5u %-18s %7llu %8.3f %8.3f %7.4f", scenario, max_sequences,
          name, (unsigned long long)s->sent, percent (s->completed, s->sent),
          percent (s->refused, s->sent), (double)s->retries / (double)s->sent);
  fprintf (csv, "%s,%u,%s,%llu,%llu,%llu,%llu,%llu,%llu,%.4f", scenario,
           max_sequences, name, (unsigned long long)s->sent,
           (unsigned long long)s->completed, (unsigned long long)s->refused,
           (unsigned long long)s->retries, (unsigned long long)s->resumed,
           (unsigned long long)s->hedges, jain (s));
  for (uint32_t i = 0; i < G_N_ELEMENTS (quantiles); i++)
    {
      uint64_t ms = bb_histogram_quantile (&s->first_token_ms, quantiles[i]);
      printf (" %5llu", (unsigned long long)ms);
      fprintf (csv, ",%llu", (unsigned long long)ms);
    }
  for (uint32_t i = 0; i < G_N_ELEMENTS (quantiles); i++)
    {
      uint64_t ms = bb_histogram_quantile (&s->answer_ms, quantiles[i]);
      printf (" %6llu", (unsigned long long)ms);
      fprintf (csv, ",%llu", (unsigned long long)ms);
    }
  printf (" %7.4f %7.3f %5llu %6.1f\n", jain (s),
          other_customers_completed_percent (s),
          (unsigned long long)s->engine_crashes,
          (double)s->engine_tokens / (double)s->sent);
  fprintf (csv, ",%llu,%llu\n", (unsigned long long)s->engine_crashes,
           (unsigned long long)s->engine_tokens);
}

static void
print_prefix_hits (const struct bb_model_stats *s)
{
  printf ("    prefix cached for %.1f%%\n", percent (s->prefix_hits, s->sent));
}

static void
print_reasons (const struct bb_model_stats *s)
{
  for (uint32_t i = 0; i < BB_MODEL_REASONS_MAX; i++)
    if (s->refused_by_reason[i] > 0)
      printf ("    refused %s %llu\n", bb_reason_name ((uint8_t)i),
              (unsigned long long)s->refused_by_reason[i]);
}

static void
print_targets (const struct bb_model_stats *s)
{
  uint32_t steady_ms = p99_latency_ms (s, 8, WINDOW_S);
  uint32_t outage_ms
      = p99_latency_ms (s, OUTAGE_START_MS / 1000 + SETTLE_S, WINDOW_S);
  uint32_t recovered_ms = p99_latency_ms (
      s, (OUTAGE_START_MS + OUTAGE_MS) / 1000 + SETTLE_S, WINDOW_S);

  printf ("    whole or refused %.3f%%; p99 steady %u ms, 5 s after the "
          "domain left %u ms (%.2f), 5 s after it returned %u ms (%.2f)\n",
          percent (s->completed + s->refused, s->sent), steady_ms, outage_ms,
          (double)outage_ms / steady_ms, recovered_ms,
          (double)recovered_ms / steady_ms);
}

static void
write_p99_per_second (FILE *out, const char *name,
                      const struct bb_model_stats *s)
{
  for (uint32_t i = 1; i < END_MS / 1000; i++)
    fprintf (out, "%s,%u,%u\n", name, i, p99_latency_ms (s, i, 1));
}

static void
write_plot (void)
{
  FILE *out = report_open ("route.gnuplot");

  fputs ("set terminal pngcairo size 900,500\n"
         "set output 'route-domain.png'\n"
         "set datafile separator ','\n"
         "set xlabel 's'\nset ylabel 'p99 of answers, ms'\n"
         "set title 'a failure domain leaves at 15 s and returns at 25 s'\n"
         "plot for [n in 'round_robin random least_in_flight bilberry'] "
         "'route-domain.csv' using 2:(strcol(1) eq n ? $3 : NaN) "
         "with lines title n noenhanced\n",
         out);
  fclose (out);
}

static void
run_scenario (const struct scenario *sc, uint32_t max_sequences, FILE *csv,
              FILE *per_second_csv)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (variants); i++)
    {
      struct bb_model_stats *sum = g_new0 (struct bb_model_stats, 1);
      sum->answers
          = g_array_new (FALSE, FALSE, sizeof (struct bb_model_answer));
      for (uint64_t seed = 1; seed <= SEEDS; seed++)
        run_seed (sc, &variants[i], max_sequences, seed, sum);
      print_row (csv, sc->name, max_sequences, variants[i].name, sum);
      print_reasons (sum);
      if (sc->distinct_prefixes > 0)
        print_prefix_hits (sum);
      if (sc->fault == kill_domain)
        {
          print_targets (sum);
          if (max_sequences == cold_max_sequences[0])
            write_p99_per_second (per_second_csv, variants[i].name, sum);
        }
      g_array_free (sum->answers, TRUE);
      g_free (sum);
    }
}

/* Runs the scenarios named as arguments, all if there are none.  */
int
main (int argc, char **argv)
{
  FILE *csv = report_open ("route.csv");
  FILE *per_second_csv = report_open ("route-domain.csv");

  setvbuf (stdout, NULL, _IOLBF, 0);
  fputs ("scenario,cold_bears,choice,sent,whole,refused,retries,resumed,"
         "hedges,jain,"
         "first_p50_ms,first_p95_ms,first_p99_ms,answer_p50_ms,answer_p95_ms,"
         "answer_p99_ms,crashes,tokens\n",
         csv);
  printf ("%-8s %5s %-18s %7s %8s %8s %7s %17s %20s %7s %7s %5s %6s\n",
          "scenario", "bears", "choice", "sent", "whole%", "refused%",
          "retries", "first p50/95/99", "answer p50/95/99", "jain", "others%",
          "crash", "tokens");
  for (uint32_t i = 0; i < G_N_ELEMENTS (scenarios); i++)
    if (argc < 2
        || g_strv_contains ((const gchar *const *)argv + 1, scenarios[i].name))
      for (uint32_t k = 0; k < G_N_ELEMENTS (cold_max_sequences); k++)
        run_scenario (&scenarios[i], cold_max_sequences[k], csv,
                      per_second_csv);
  fclose (csv);
  fclose (per_second_csv);
  write_plot ();
  return 0;
}
