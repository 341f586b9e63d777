/* Tests of the load-balancing decisions of libload.  */

#include "bilberry/load.h"

#include <glib.h>
#include <string.h>

static const struct bb_balance_cost engine_cost = { 1, 1.0 / 700 };

/* Prompts of very different length must spread evenly: ranks run each pass in
   lockstep, so the most loaded one delays all.  */
static void
test_balance_evens_prompts (void)
{
  struct bb_balance_candidate candidates[4] = { 0 };
  GRand *rand = g_rand_new_with_seed (3);
  double most = 0;
  double total = 0;

  for (uint32_t i = 0; i < 4; i++)
    {
      candidates[i].usable = true;
      candidates[i].in_flight_max = 100;
    }
  for (uint32_t n = 0; n < 80; n++)
    {
      double prompt = g_rand_int_range (rand, 50, 2800);
      uint32_t i = bb_balance_choose (candidates, 4, &engine_cost,
                                      g_rand_double (rand));
      g_assert_cmpuint (i, <, 4);
      candidates[i].in_flight++;
      candidates[i].pending_prompt_tokens += prompt;
    }
  for (uint32_t i = 0; i < 4; i++)
    {
      double load = candidates[i].in_flight
                    + candidates[i].pending_prompt_tokens / 700;
      total += load;
      most = load > most ? load : most;
    }
  g_assert_cmpfloat (most, <, total / 4 * 1.1);
  g_rand_free (rand);
}

static void
test_balance_skips_ineligible (void)
{
  struct bb_balance_candidate p[3]
      = { { .usable = true, .in_flight_max = 2, .in_flight = 2 },
          { .usable = true, .in_flight_max = 2, .tried = true },
          { .usable = false, .in_flight_max = 2 } };

  g_assert_cmpuint (bb_balance_choose (p, 3, &engine_cost, 0.5), ==,
                    BB_BALANCE_NONE);
  p[1].tried = false;
  g_assert_cmpuint (bb_balance_choose (p, 3, &engine_cost, 0.5), ==, 1);
  g_assert_cmpuint (bb_balance_choose (p, 0, &engine_cost, 0.5), ==,
                    BB_BALANCE_NONE);
}

/* One of three upstreams is ten times as slow as the others; it gets some
   requests, but not more than it can process.  */
static void
test_balance_slow_upstream (void)
{
  struct bb_balance_candidate p[3];
  uint32_t sent[3] = { 0 };

  for (uint32_t i = 0; i < 3; i++)
    p[i] = (struct bb_balance_candidate){ .usable = true,
                                          .in_flight_max = 50,
                                          .relative_latency = 1 };
  p[2].relative_latency = 10;
  for (uint32_t n = 0; n < 42; n++)
    {
      uint32_t i = bb_balance_choose (p, 3, &engine_cost, 0.1 * (n % 10));
      p[i].in_flight++;
      sent[i]++;
    }
  g_assert_cmpuint (sent[2], <=, 3);
  g_assert_cmpuint (sent[2], >=, 1);
}

/* Callers retry at once while every upstream fails, and entries are killed. */
struct retry_storm
{
  uint32_t entries;
  uint32_t request_interval_ms; /* of the callers of one entry */
  bb_ms kill_interval_ms;       /* time between two kills; 0: none */
  uint32_t killed;              /* entries that a kill restarts */
  bool lost; /* killed entries do not start again, and others serve their
                callers */
};

/* Over any window the retries of all entries together must stay within the
   ratio plus the extra allowance.  */
static void
check_retry_storm (const struct retry_storm *s)
{
  enum
  {
    ENTRIES_MAX = 11,
    WINDOW_MS = 10000,
    EXTRA = 88,
    RUN_MS = 60000
  };
  struct bb_retry_window b[ENTRIES_MAX];
  g_autofree uint32_t *requests = g_new0 (uint32_t, RUN_MS);
  g_autofree uint32_t *repeats = g_new0 (uint32_t, RUN_MS);
  uint32_t alive = s->entries;

  for (uint32_t i = 0; i < s->entries; i++)
    bb_retry_window_init (&b[i], WINDOW_MS, 0);
  for (bb_ms now = 0; now < RUN_MS; now += 5)
    {
      bool kill = s->kill_interval_ms > 0 && now >= (bb_ms)WINDOW_MS * 2
                  && now % s->kill_interval_ms == 0;
      if (kill && s->lost)
        alive = s->entries - s->killed;
      for (uint32_t i = 0; kill && !s->lost && i < s->killed; i++)
        bb_retry_window_init (&b[i], WINDOW_MS, now);
      for (uint32_t i = 0; i < s->entries; i++)
        {
          struct bb_retry_window *w = &b[i % alive];
          if (now % s->request_interval_ms == 0)
            {
              bb_retry_window_add_request (w, now);
              requests[now]++;
            }
          if (bb_retry_window_take_retry (w, now, 0.2, EXTRA, alive))
            repeats[now]++;
        }
    }
  for (uint32_t at = 2 * WINDOW_MS; at < RUN_MS; at += 100)
    {
      uint32_t r = 0;
      uint32_t q = 0;
      for (uint32_t t = at - WINDOW_MS; t < at; t++)
        {
          r += repeats[t];
          q += requests[t];
        }
      g_assert_cmpfloat (r, <=, 0.2 * q + EXTRA);
    }
}

static void
test_retry_window_limit (void)
{
  static const struct retry_storm s
      = { .entries = 3, .request_interval_ms = 50 };

  check_retry_storm (&s);
}

/* All entries are killed again and again: what they had spent before still
   counts.  */
static void
test_retry_window_killed (void)
{
  static const struct retry_storm slow = { .entries = 3,
                                           .request_interval_ms = 50,
                                           .kill_interval_ms = 4000,
                                           .killed = 3 };
  static const struct retry_storm fast = { .entries = 3,
                                           .request_interval_ms = 10,
                                           .kill_interval_ms = 4000,
                                           .killed = 3 };

  check_retry_storm (&slow);
  check_retry_storm (&fast);
}

/* Half of the entries are lost: the others do not take over at once what those
   had already spent.  */
static void
test_retry_window_lost (void)
{
  static const struct retry_storm s = { .entries = 11,
                                        .request_interval_ms = 100,
                                        .kill_interval_ms = 20000,
                                        .killed = 6,
                                        .lost = true };

  check_retry_storm (&s);
}

/* All entries together must not send a cold upstream more requests in any
   second than it accepts.  */
static void
test_cold_start_limit (void)
{
  const double per_s = 28;
  const uint32_t entries = 3;
  struct bb_rate_limiter m[3] = { 0 };
  uint32_t sent[4000] = { 0 };
  uint32_t share = bb_cold_start_share (per_s, entries);

  for (bb_ms now = 1; now < 4000; now++)
    for (uint32_t i = 0; i < entries; i++)
      if (bb_rate_limiter_allows (&m[i], now, share))
        {
          bb_rate_limiter_record (&m[i], now);
          sent[now]++;
        }
  for (uint32_t at = 1000; at < 4000; at++)
    {
      uint32_t n = 0;
      for (uint32_t t = at - 999; t <= at; t++)
        n += sent[t];
      g_assert_cmpuint (n, <=, 28);
    }
  g_assert_cmpuint (bb_cold_start_share (0, 3), ==, UINT32_MAX);
  g_assert_cmpuint (bb_cold_start_share (2, 3), ==, 1);
  g_assert_false (bb_rate_limiter_allows (&m[0], 4000, 0));
}

/* An upstream that fails is ejected and then gets single trial requests; each
   failed trial ejects it for longer.  */
static void
test_ejection (void)
{
  struct bb_ejection e = { 0 };
  bb_ms first;

  g_assert_false (bb_ejection_failed (&e, 100));
  g_assert_false (bb_ejection_failed (&e, 101));
  g_assert_true (bb_ejection_failed (&e, 102));
  g_assert_false (bb_ejection_is_usable (&e, 103));
  first = e.until_ms - 102;
  g_assert_true (bb_ejection_is_usable (&e, e.until_ms));
  bb_ejection_sent (&e, 2000);
  g_assert_false (bb_ejection_is_usable (&e, 2001));
  g_assert_true (bb_ejection_failed (&e, 2100));
  g_assert_cmpint (e.until_ms - 2100, >, first);
  bb_ejection_ok (&e);
  g_assert_true (bb_ejection_is_usable (&e, 2200));
  g_assert_false (bb_ejection_failed (&e, 2300));
}

/* One rank is gone: all ranks stall, then refuse requests, until the group is
   up again.  */
static void
test_group_outage (void)
{
  struct bb_group_health g = { 0 };

  bb_group_record_progress (&g, 1000);
  g_assert_cmpint (bb_group_update_state (&g, 50, 1200), ==, BB_GROUP_UP);
  g_assert_cmpint (bb_group_update_state (&g, 50, 1600), ==, BB_GROUP_SUSPECT);
  /* The group still reports that it is open although no pass begins.  */
  bb_group_record_report (&g, true, 77, 50, 1700);
  bb_group_record_report (&g, true, 77, 50, 1800);
  g_assert_cmpint (bb_group_update_state (&g, 50, 1800), ==, BB_GROUP_SUSPECT);
  bb_group_record_down (&g, 2600);
  g_assert_cmpint (bb_group_update_state (&g, 0, 2700), ==, BB_GROUP_DOWN);
  g_assert_cmpint (bb_group_recovery_ms (&g, 2700), >, 300);
  bb_group_record_report (&g, true, 0, 0, 5600);
  g_assert_cmpint (bb_group_update_state (&g, 0, 5600), ==, BB_GROUP_UP);
  /* The next outage is expected to last as long as this one.  */
  bb_group_record_down (&g, 9000);
  g_assert_cmpint (bb_group_recovery_ms (&g, 9000), ==, 3000);
}

/* A stall that ends by itself, for example after a pass was held: once passes
   continue, the group is up again without an outage.  */
static void
test_group_stall (void)
{
  struct bb_group_health g = { 0 };

  bb_group_record_progress (&g, 1000);
  g_assert_cmpint (bb_group_update_state (&g, 50, 1500), ==, BB_GROUP_SUSPECT);
  bb_group_record_report (&g, true, 77, 50, 1600);
  g_assert_cmpint (g.state, ==, BB_GROUP_SUSPECT);
  bb_group_record_report (&g, true, 77, 50, 1700);
  g_assert_cmpint (g.state, ==, BB_GROUP_SUSPECT);
  bb_group_record_report (&g, true, 78, 50, 1800);
  g_assert_cmpint (g.state, ==, BB_GROUP_UP);
  /* A group without requests runs no passes, but takes work.  */
  g_assert_cmpint (bb_group_update_state (&g, 1, 2800), ==, BB_GROUP_SUSPECT);
  bb_group_record_report (&g, true, 78, 0, 2900);
  g_assert_cmpint (g.state, ==, BB_GROUP_UP);
}

struct attempt_case
{
  const char *name;
  struct bb_attempt attempt;
  enum bb_attempt_action action;
};

static void
test_attempt_actions (void)
{
  static const struct attempt_case cases[] = {
    { "a non-idempotent request that was not sent is retried",
      { BB_OUTCOME_UNSENT, false, false, false, false, 0, 1, 1, 700 },
      BB_ATTEMPT_RETRY },
    { "a non-idempotent request that a full upstream refused is retried",
      { BB_OUTCOME_NOT_RUN, false, false, false, false, 0, 1, 1, 700 },
      BB_ATTEMPT_RETRY },
    { "a non-idempotent request whose answer is lost is never retried",
      { BB_OUTCOME_LOST, false, true, false, false, 1, 1, 1, 700 },
      BB_ATTEMPT_FAIL },
    { "a non-idempotent request that timed out may have run",
      { BB_OUTCOME_SILENT, false, true, false, false, 1, 1, 1, 0 },
      BB_ATTEMPT_FAIL },
    { "a non-idempotent request gets the error of its upstream",
      { BB_OUTCOME_FAILED, false, true, false, false, 1, 1, 1, 700 },
      BB_ATTEMPT_FORWARD },
    { "a non-idempotent request refused near its deadline did not run",
      { BB_OUTCOME_NOT_RUN, false, false, false, false, 0, 1, 1, 10 },
      BB_ATTEMPT_REFUSE },
    { "an idempotent request refused by all upstreams did not run",
      { BB_OUTCOME_NOT_RUN, true, false, false, false, 0, 6, 2, 700 },
      BB_ATTEMPT_REFUSE },
    { "an idempotent request that failed is retried",
      { BB_OUTCOME_FAILED, true, true, false, false, 1, 1, 2, 700 },
      BB_ATTEMPT_RETRY },
    { "an idempotent request that failed twice gets the error",
      { BB_OUTCOME_FAILED, true, true, false, false, 2, 2, 2, 700 },
      BB_ATTEMPT_FORWARD },
    { "a stream that was cut off continues at another upstream",
      { BB_OUTCOME_LOST, true, true, true, true, 1, 1, 2, 5000 },
      BB_ATTEMPT_RETRY },
    { "a stream that cannot be resumed is aborted",
      { BB_OUTCOME_LOST, false, true, true, false, 1, 1, 2, 5000 },
      BB_ATTEMPT_ABORT },
    { "a stream that was cut off too often is aborted",
      { BB_OUTCOME_LOST, true, true, true, true, 2, 2, 2, 5000 },
      BB_ATTEMPT_ABORT },
    { "a request that may have run is never reported as not run",
      { BB_OUTCOME_NOT_RUN, true, true, false, false, 2, 3, 2, 700 },
      BB_ATTEMPT_FAIL },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_test_message ("%s", cases[i].name);
      g_assert_cmpint (bb_attempt_next_action (&cases[i].attempt), ==,
                       cases[i].action);
    }
}

/* Callers that are refused together must return at different times, each
   within a third of its remaining time.  */
static void
test_retry_delay (void)
{
  bb_ms least = INT64_MAX;
  bb_ms most = 0;

  for (uint32_t i = 0; i < 100; i++)
    {
      bb_ms ms = bb_retry_delay_ms (1000, 8000, i / 100.0);
      least = ms < least ? ms : least;
      most = ms > most ? ms : most;
      g_assert_cmpint (bb_retry_delay_ms (9000, 6000, i / 100.0), <=, 2000);
    }
  g_assert_cmpint (least, >=, 1000);
  g_assert_cmpint (most - least, >=, 200);
  g_assert_cmpint (bb_retry_delay_ms (0, 0, 0), >, 0);
}

/* After a burst some queued requests can no longer meet their latency
   objective; they must not delay those that still can.  */
static void
test_queue_order (void)
{
  struct bb_queued_request late
      = { .arrived_ms = 0, .slo_deadline_ms = 400, .priority = 1 };
  struct bb_queued_request in_time
      = { .arrived_ms = 500, .slo_deadline_ms = 900, .priority = 1 };
  struct bb_queued_request urgent
      = { .arrived_ms = 600, .slo_deadline_ms = 700 };
  struct bb_queued_request busy = in_time;
  struct bb_queued_request later = in_time;

  busy.customer_in_flight = 5;
  busy.arrived_ms = 400;
  later.arrived_ms = 501;
  g_assert_true (bb_queued_request_before (&in_time, &late, 600, 100));
  g_assert_false (bb_queued_request_before (&late, &in_time, 600, 100));
  g_assert_true (bb_queued_request_before (&urgent, &in_time, 650, 100));
  g_assert_true (bb_queued_request_before (&in_time, &busy, 600, 100));
  g_assert_true (bb_queued_request_before (&in_time, &later, 600, 100));
  g_assert_false (bb_queued_request_before (&later, &in_time, 600, 100));
}

/* The VM of one upstream freezes: it accepts requests and never answers.  It
   must get none even while the other upstreams are full.  */
static void
test_balance_unresponsive (void)
{
  struct bb_balance_cost cost = { .per_request = 1 };
  struct bb_balance_candidate candidates[3] = { 0 };

  g_assert_false (bb_balance_is_unresponsive (0, 0, 60000));
  g_assert_false (bb_balance_is_unresponsive (1, 59800, 60000));
  g_assert_true (bb_balance_is_unresponsive (1, 59000, 60000));
  for (uint32_t i = 0; i < 3; i++)
    candidates[i] = (struct bb_balance_candidate){ .usable = true,
                                                   .in_flight = 12,
                                                   .in_flight_max = 12 };
  candidates[1].in_flight = 2;
  candidates[1].unresponsive = true;
  g_assert_cmpuint (bb_balance_choose (candidates, 3, &cost, 0.5), ==,
                    BB_BALANCE_NONE);
  candidates[2].in_flight = 11;
  g_assert_cmpuint (bb_balance_choose (candidates, 3, &cost, 0.5), ==, 2);
  /* No upstream responds: the pool is slow, or its group is stalled.  */
  candidates[0].unresponsive = true;
  candidates[2].unresponsive = true;
  g_assert_cmpuint (bb_balance_choose (candidates, 3, &cost, 0.5), ==, 1);
}

/* In a large fleet only a few entries may watch the store, since every watch
   is billed.  */
static void
test_store_watchers (void)
{
  uint32_t watchers = 0;

  for (uint32_t i = 0; i < 100; i++)
    if (bb_should_watch_store (watchers))
      watchers++;
  g_assert_cmpuint (watchers, ==, 4);
}

enum
{
  OUTAGE_ENTRIES_MAX = 1100,
  STORE_READS_PER_S = 2000,
  STORE_RESPONSE_MS = 4,
  CONFIG_DEADLINE_MS = 2000,
  PEER_DELAY_MS = 2
};

/* Entries that call a store until it responds to the first of them, which
   passes changes on to the others.  */
struct store_outage
{
  GRand *rand;
  uint32_t entries;
  bb_ms return_ms;
  bb_ms next_call_ms[OUTAGE_ENTRIES_MAX];
  uint32_t calls; /* since the last full second */
  uint32_t most_calls_per_s;
};

/* Returns whether a call that starts at NOW gets a response.  */
static bool
outage_call (struct store_outage *o, uint32_t entry, bb_ms now)
{
  struct bb_store_call_state s = { .members = o->entries };

  o->calls++;
  o->next_call_ms[entry]
      = now + bb_store_next_call_ms (&s, g_rand_double (o->rand));
  return now >= o->return_ms;
}

/* Returns the time from the return of the store until all entries have what
   was changed meanwhile.  */
static bb_ms
outage_play (struct store_outage *o)
{
  /* Four watch, the others notice that these lost the store.  */
  for (uint32_t i = 0; i < o->entries; i++)
    o->next_call_ms[i] = i < 4 ? g_rand_int_range (o->rand, 0, 1300)
                               : 1300
                                     + bb_store_takeover_ms (
                                         o->entries, g_rand_double (o->rand));
  for (bb_ms now = 0;; now++)
    {
      if (now % 1000 == 0)
        {
          o->most_calls_per_s = MAX (o->most_calls_per_s, o->calls);
          o->calls = 0;
        }
      for (uint32_t i = 0; i < o->entries; i++)
        if (o->next_call_ms[i] <= now && outage_call (o, i, now))
          return now + STORE_RESPONSE_MS + PEER_DELAY_MS - o->return_ms;
    }
}

/* A store that does not respond comes back at any moment.  What was changed as
   it returns is in force in time, with few edges and with many, and their
   calls take less than a tenth of what it serves.  */
static void
test_store_outage (void)
{
  static const uint32_t fleets[] = { 1, 3, 15, 100, OUTAGE_ENTRIES_MAX };
  struct store_outage *o = g_new0 (struct store_outage, 1);

  o->rand = g_rand_new_with_seed (22);
  for (uint32_t i = 0; i < G_N_ELEMENTS (fleets); i++)
    for (uint32_t n = 0; n < 20; n++)
      {
        o->entries = fleets[i];
        o->return_ms = g_rand_int_range (o->rand, 3000, 12000);
        o->calls = 0;
        o->most_calls_per_s = 0;
        g_assert_cmpint (outage_play (o), <, CONFIG_DEADLINE_MS);
        g_assert_cmpuint (o->most_calls_per_s, <, STORE_READS_PER_S / 10);
      }
  g_rand_free (o->rand);
  g_free (o);
}

/* An entry that gets its changes from a peer calls seldom, and one whose store
   responds leaves a call the time that the store may hold it back.  */
static void
test_store_next_call (void)
{
  struct bb_store_call_state s
      = { .members = 3, .peers_watching = 1, .wait_ms = 1 };

  g_assert_cmpint (bb_store_next_call_ms (&s, 0), >=, 1000);
  g_assert_cmpint (bb_store_next_call_ms (&s, 1), <=, CONFIG_DEADLINE_MS);
  s.responding = true;
  s.wait_ms = 1000;
  g_assert_cmpint (bb_store_next_call_ms (&s, 0), >, s.wait_ms);
  g_assert_cmpint (bb_store_next_call_ms (&s, 1), <, CONFIG_DEADLINE_MS);
}

/* Requests that may crash upstreams: entry OWN and two others, and an upstream
   of each.  */
struct isolation_case
{
  struct bb_isolation *isolation;
  uint64_t own_upstream;
  uint64_t foreign_upstream;
};

enum
{
  OWN = 101,
  OTHER = 102,
  THIRD = 103,
  CLAIM_WAIT_MS = 40
};

static void
isolation_init (struct isolation_case *c)
{
  c->isolation = bb_isolation_new (OWN);
  bb_isolation_add_member (c->isolation, OTHER);
  bb_isolation_add_member (c->isolation, THIRD);
  c->own_upstream = 0;
  c->foreign_upstream = 0;
  for (uint64_t u = 1; u < 100; u++)
    if (bb_isolation_is_own (c->isolation, u))
      c->own_upstream = u;
    else
      c->foreign_upstream = u;
  g_assert_cmpuint (c->own_upstream, !=, 0);
  g_assert_cmpuint (c->foreign_upstream, !=, 0);
}

/* The owner sends at once, and nobody else until that has ended.  */
static void
test_isolation_owner (void)
{
  struct isolation_case c;

  isolation_init (&c);
  g_assert_true (bb_isolation_may_use (c.isolation, c.own_upstream, 1, 0));
  g_assert_cmpint (bb_isolation_claim (c.isolation, c.own_upstream, 1, 0), ==,
                   BB_ISOLATION_SEND);
  g_assert_false (bb_isolation_may_use (c.isolation, c.own_upstream, 2, 9999));
  bb_isolation_end (c.isolation, c.own_upstream);
  g_assert_true (bb_isolation_may_use (c.isolation, c.own_upstream, 2, 9999));
  /* A claim of another entry that came first holds up the owner too.  */
  bb_isolation_apply (c.isolation, OTHER, c.own_upstream,
                      BB_ISOLATION_USE_CLAIM, 10000);
  g_assert_false (
      bb_isolation_may_use (c.isolation, c.own_upstream, 2, 10000));
  bb_isolation_free (c.isolation);
}

/* Another entry waits after its claim, and gives way to what it hears.  */
static void
test_isolation_claim (void)
{
  struct isolation_case c;
  uint64_t u;

  isolation_init (&c);
  u = c.foreign_upstream;
  g_assert_cmpint (bb_isolation_claim (c.isolation, u, 1, 0), ==,
                   BB_ISOLATION_CLAIMED);
  g_assert_cmpint (bb_isolation_claim (c.isolation, u, 1, CLAIM_WAIT_MS - 1),
                   ==, BB_ISOLATION_WAIT);
  g_assert_false (bb_isolation_may_use (c.isolation, u, 2, 1));
  bb_isolation_apply (c.isolation, OTHER, u, BB_ISOLATION_USE_IN_FLIGHT, 5);
  g_assert_false (bb_isolation_may_use (c.isolation, u, 1, CLAIM_WAIT_MS));
  bb_isolation_apply (c.isolation, OTHER, u, BB_ISOLATION_USE_FREE, 30);
  g_assert_true (bb_isolation_may_use (c.isolation, u, 1, CLAIM_WAIT_MS));
  g_assert_cmpint (bb_isolation_claim (c.isolation, u, 1, CLAIM_WAIT_MS), ==,
                   BB_ISOLATION_SEND);
  bb_isolation_free (c.isolation);
}

/* What an entry that is gone has claimed or sent does not stay.  */
static void
test_isolation_gone (void)
{
  struct isolation_case c;

  isolation_init (&c);
  bb_isolation_apply (c.isolation, OTHER, c.own_upstream,
                      BB_ISOLATION_USE_IN_FLIGHT, 0);
  g_assert_false (bb_isolation_may_use (c.isolation, c.own_upstream, 1, 9999));
  bb_isolation_remove_member (c.isolation, OTHER);
  g_assert_true (bb_isolation_may_use (c.isolation, c.own_upstream, 1, 9999));
  /* A claim ends by itself.  */
  bb_isolation_apply (c.isolation, THIRD, c.own_upstream,
                      BB_ISOLATION_USE_CLAIM, 9999);
  g_assert_false (
      bb_isolation_may_use (c.isolation, c.own_upstream, 1, 10000));
  g_assert_true (bb_isolation_may_use (c.isolation, c.own_upstream, 1, 10999));
  bb_isolation_free (c.isolation);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/load/place/prompts", test_balance_evens_prompts);
  g_test_add_func ("/load/place/out", test_balance_skips_ineligible);
  g_test_add_func ("/load/place/slow", test_balance_slow_upstream);
  g_test_add_func ("/load/budget", test_retry_window_limit);
  g_test_add_func ("/load/budget-killed", test_retry_window_killed);
  g_test_add_func ("/load/budget-lost", test_retry_window_lost);
  g_test_add_func ("/load/cold", test_cold_start_limit);
  g_test_add_func ("/load/eject", test_ejection);
  g_test_add_func ("/load/group/outage", test_group_outage);
  g_test_add_func ("/load/group/stall", test_group_stall);
  g_test_add_func ("/load/after", test_attempt_actions);
  g_test_add_func ("/load/retry-delay", test_retry_delay);
  g_test_add_func ("/load/place/unresponsive", test_balance_unresponsive);
  g_test_add_func ("/load/readers", test_store_watchers);
  g_test_add_func ("/load/store-outage", test_store_outage);
  g_test_add_func ("/load/store-next-call", test_store_next_call);
  g_test_add_func ("/load/waiters", test_queue_order);
  g_test_add_func ("/load/isolation/owner", test_isolation_owner);
  g_test_add_func ("/load/isolation/claim", test_isolation_claim);
  g_test_add_func ("/load/isolation/gone", test_isolation_gone);
  return g_test_run ();
}
