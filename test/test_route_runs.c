/* Randomised tests of libroute and libadmit in the simulation of libmodel,
   which asserts what must hold; see include/bilberry/model.h.  Each seed gives
   one run with random faults.  The environment variable BILBERRY_SEED runs
   that seed alone, BILBERRY_SEEDS the seeds from 1 to that number.  */

#include "bilberry/model.h"

#include <stdlib.h>

enum
{
  SEEDS = 200,
  ENTRIES = 3,
  AGENTS = 9,
  DOMAINS = 3,
  SEND_MS = 15000,
  TIMEOUT_MS = 8000,
  FAULTS = 12
};

static void
cause_fault (struct bb_sim *sim, void *arg)
{
  struct bb_model *m = arg;
  GRand *rand = bb_sim_rand (sim);
  uint32_t agent = (uint32_t)g_rand_int_range (rand, 0, AGENTS);
  uint32_t domain = agent % DOMAINS;
  bb_ms ms = g_rand_int_range (rand, 50, 6000);

  switch (g_rand_int_range (rand, 0, 9))
    {
    case 0:
      bb_model_kill_engine (m, agent, ms);
      break;
    case 1:
      bb_model_kill_agent (m, agent, ms);
      break;
    case 2:
      bb_model_kill_domain (m, domain, ms);
      break;
    case 3:
      bb_model_set_domain_out (m, domain, true);
      break;
    case 4:
      bb_model_set_domain_out (m, domain, false);
      break;
    case 5:
      bb_model_pause_entry (m, agent % ENTRIES, ms);
      break;
    case 6:
      bb_model_partition_domain (m, domain, true);
      break;
    case 7:
      bb_model_partition_domain (m, domain, false);
      break;
    default:
      bb_model_send_poison (m);
      break;
    }
}

static struct bb_model_options
seed_options (uint64_t seed)
{
  struct bb_model_options o = { .seed = seed,
                                .entries = ENTRIES,
                                .agents = AGENTS,
                                .domains = DOMAINS,
                                .customers = 4,
                                .limit = 16,
                                .cold_limit = 2,
                                .cold_max_sequences = 4,
                                .rate_per_s = 60,
                                .mean_tokens = 20,
                                .distinct_prefixes = 30,
                                .prefix_cache_size = 8,
                                .prefill_ms = 8,
                                .cached_prefill_ms = 2,
                                .non_idempotent_permille = 200,
                                .customer_limit = 40,
                                .timeout_ms = TIMEOUT_MS,
                                .settings_delay_max_ms = 2000,
                                .policy = &bb_model_bilberry,
                                .admission = &bb_model_libadmit };

  o.net.delay_min_ms = 1;
  o.net.delay_max_ms = 1 + (bb_ms)(seed % 4) * 4;
  o.net.loss_permille = (uint32_t)(seed % 3);
  o.net.duplicate_permille = (uint32_t)(seed % 5) * 10;
  o.hedge_delay_ms = seed % 2 ? 400 : 0;
  return o;
}

static void
run_seed (uint64_t seed, struct bb_model_stats *totals)
{
  struct bb_model_options o = seed_options (seed);
  struct bb_model *m = bb_model_new (&o);
  const struct bb_model_stats *s = bb_model_stats (m);
  struct bb_sim *sim = bb_model_sim (m);

  g_test_message ("seed %llu", (unsigned long long)seed);
  bb_model_start_callers (m, SEND_MS);
  for (uint32_t i = 0; i < FAULTS; i++)
    bb_sim_schedule (sim, g_rand_int_range (bb_sim_rand (sim), 1000, SEND_MS),
                     cause_fault, m);
  bb_sim_run (sim, SEND_MS + 2 * TIMEOUT_MS);
  bb_model_check_ended (m);
  totals->sent += s->sent;
  totals->completed += s->completed;
  totals->resumed += s->resumed;
  totals->retries += s->retries;
  totals->hedges += s->hedges;
  totals->refused_not_run += s->refused_not_run;
  bb_model_free (m);
}

static void
test_runs (void)
{
  const char *only_seed = g_getenv ("BILBERRY_SEED");
  const char *seeds_text = g_getenv ("BILBERRY_SEEDS");
  uint64_t seeds = seeds_text ? strtoull (seeds_text, NULL, 10) : SEEDS;
  struct bb_model_stats totals = { 0 };

  if (only_seed)
    {
      run_seed (strtoull (only_seed, NULL, 10), &totals);
      return;
    }
  for (uint64_t seed = 1; seed <= seeds; seed++)
    run_seed (seed, &totals);
  g_test_message (
      "%llu sent, %llu completed, %llu retries, %llu resumed",
      (unsigned long long)totals.sent, (unsigned long long)totals.completed,
      (unsigned long long)totals.retries, (unsigned long long)totals.resumed);
  /* The runs must exercise what they test.  */
  g_assert_cmpuint (totals.completed, >, totals.sent / 2);
  g_assert_cmpuint (totals.resumed, >, seeds);
  g_assert_cmpuint (totals.hedges, >, seeds);
  g_assert_cmpuint (totals.refused_not_run, >, seeds);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/route-runs/seeds", test_runs);
  return g_test_run ();
}
