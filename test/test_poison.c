/* Tests of the quarantine for requests that crash the upstreams that run them:
   of its states, and with a fleet of real processes.  */

#include "bilberry/admit.h"
#include "harness/fleet.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>

enum
{
  WAIT_MS = 15000,
  SUSPECT_MS = 600000,
  QUARANTINE_MS = 3600000,
  CONCURRENT_REQUESTS = 6,
  TOKENS = 150
};

/* Records that fingerprint 7 was in flight at crash EVENT, which it was sent
   to after PRIOR had made it suspect.  */
static bool
crash (struct bb_poison *p, uint64_t event, uint64_t prior, bb_ms now)
{
  struct bb_crash c = { .fingerprint = 7, .event = event, .prior = prior };

  return bb_poison_record_crash (p, &c, now);
}

/* One crash makes a fingerprint suspect, a second one quarantines it.  */
static void
test_states (void)
{
  struct bb_poison *p = bb_poison_new ();

  g_assert_cmpint (bb_poison_state (p, 7, 0), ==, BB_POISON_CLEAN);
  g_assert_true (crash (p, 100, 0, 0));
  g_assert_cmpint (bb_poison_state (p, 7, 0), ==, BB_POISON_SUSPECT);
  /* A repeated report of the same crash does not count.  */
  g_assert_false (crash (p, 100, 0, 5));
  g_assert_cmpint (bb_poison_state (p, 7, 5), ==, BB_POISON_SUSPECT);
  g_assert_true (crash (p, 101, 100, 10));
  g_assert_cmpint (bb_poison_state (p, 7, 10), ==, BB_POISON_QUARANTINED);
  g_assert_false (crash (p, 101, 100, 10));
  /* An answer does not end a quarantine; it expires.  */
  g_assert_false (bb_poison_clear (p, 7, 20));
  g_assert_cmpint (bb_poison_state (p, 7, 20), ==, BB_POISON_QUARANTINED);
  g_assert_cmpint (bb_poison_remaining_ms (p, 7, 10), ==, QUARANTINE_MS);
  g_assert_cmpint (bb_poison_state (p, 7, 10 + QUARANTINE_MS), ==,
                   BB_POISON_CLEAN);
  bb_poison_free (p);
}

/* A common request is in flight at several upstreams that crash at once.
   Neither crash preceded the sending to the other, so it is only suspect.  */
static void
test_at_once (void)
{
  struct bb_poison *p = bb_poison_new ();

  g_assert_true (crash (p, 100, 0, 0));
  g_assert_false (crash (p, 101, 0, 0));
  g_assert_false (crash (p, 102, 0, 3));
  g_assert_cmpint (bb_poison_state (p, 7, 3), ==, BB_POISON_SUSPECT);
  bb_poison_free (p);
}

static void
copy_to (void *arg, const struct bb_crash *c)
{
  bb_poison_record_crash (arg, c, c->age_ms);
}

/* A peer that connects late, here at a time at which the suspicion alone would
   have expired, learns of a quarantine that still holds, and for how long.  */
static void
test_late_peer (void)
{
  const bb_ms now = (bb_ms)SUSPECT_MS * 2;
  struct bb_poison *p = bb_poison_new ();
  struct bb_poison *late = bb_poison_new ();

  crash (p, 100, 0, 0);
  crash (p, 101, 100, 1000);
  bb_poison_each (p, now, copy_to, late);
  /* The clock of the late peer began at the second crash.  */
  g_assert_cmpint (bb_poison_state (late, 7, now - 1000), ==,
                   BB_POISON_QUARANTINED);
  g_assert_cmpint (bb_poison_remaining_ms (late, 7, now - 1000), ==,
                   bb_poison_remaining_ms (p, 7, now));
  bb_poison_free (p);
  bb_poison_free (late);
}

/* An answer ends suspicion, and so does time.  A report of the same crash that
   comes after the answer does not renew it.  */
static void
test_cleared (void)
{
  struct bb_poison *p = bb_poison_new ();
  struct bb_crash late
      = { .fingerprint = 7, .event = 100, .prior = 0, .age_ms = 2 };

  crash (p, 100, 0, 0);
  g_assert_true (bb_poison_clear (p, 7, 1));
  g_assert_cmpint (bb_poison_state (p, 7, 1), ==, BB_POISON_CLEAN);
  g_assert_false (bb_poison_record_crash (p, &late, 2));
  g_assert_cmpint (bb_poison_state (p, 7, 2), ==, BB_POISON_CLEAN);
  crash (p, 101, 0, 2);
  g_assert_cmpint (bb_poison_state (p, 7, 2), ==, BB_POISON_SUSPECT);
  /* An answer from before the crash proves nothing.  */
  g_assert_false (bb_poison_clear (p, 7, 1));
  g_assert_cmpint (bb_poison_state (p, 7, 2), ==, BB_POISON_SUSPECT);
  g_assert_cmpint (bb_poison_state (p, 7, 2 + SUSPECT_MS), ==,
                   BB_POISON_CLEAN);
  bb_poison_free (p);
}

/* The number of fingerprints is limited; the oldest is removed first.  */
static void
test_bounded (void)
{
  struct bb_poison *p = bb_poison_new ();

  for (uint64_t i = 1; i <= 5000; i++)
    {
      struct bb_crash c = { .fingerprint = i, .event = 100 };
      bb_poison_record_crash (p, &c, (bb_ms)i);
    }
  g_assert_cmpint (bb_poison_state (p, 1, 5000), ==, BB_POISON_CLEAN);
  g_assert_cmpint (bb_poison_state (p, 5000, 5000), ==, BB_POISON_SUSPECT);
  bb_poison_free (p);
}

static void
enqueue (struct bb_admit *a, uint64_t id, bool exclusive)
{
  struct bb_admit_request r = { .id = id,
                                .customer = bb_bytes_of ("c"),
                                .weight = 1,
                                .tokens = 1,
                                .exclusive = exclusive,
                                .deadline_ms = SUSPECT_MS };
  struct bb_request_result v;
  uint64_t evicted;

  g_assert_true (bb_admit_enqueue (a, &r, 0, &evicted, &v));
}

/* An exclusive request, as a suspect one is, waits until no other runs, and no
   other starts while it runs.  */
static void
test_alone (void)
{
  struct bb_admit_limits limits
      = { .limit = 4, .cold_limit = 4, .queue_max = 8 };
  struct bb_admit *a = bb_admit_new (&limits);

  enqueue (a, 1, false);
  enqueue (a, 2, true);
  enqueue (a, 3, false);
  g_assert_cmpuint (bb_admit_next (a), ==, 1);
  g_assert_cmpuint (bb_admit_next (a), ==, 0);
  bb_admit_end (a, true, 1);
  g_assert_cmpuint (bb_admit_next (a), ==, 2);
  g_assert_cmpuint (bb_admit_next (a), ==, 0);
  bb_admit_end (a, true, 1);
  g_assert_cmpuint (bb_admit_next (a), ==, 3);
  bb_admit_end (a, true, 1);
  bb_admit_free (a);
}

static struct http_response
send_prompt (uint16_t port, const char *prompt, bool stream)
{
  char *body
      = g_strdup_printf ("{\"stream\":%s,\"max_tokens\":%d,\"prompt\":\"%s\"}",
                         stream ? "true" : "false", TOKENS, prompt);
  struct http_response a = harness_http (port, "POST", "/v1/completions",
                                         fleet_auth_header, body);

  g_free (body);
  return a;
}

static uint32_t
count_alive (const struct fleet *f)
{
  uint32_t alive = 0;

  for (uint32_t i = 0; i < f->upstreams_count; i++)
    {
      struct http_response a
          = harness_http (f->upstreams[i].port, "GET", "/metrics", "", "");
      alive += a.status == 200 ? 1 : 0;
      http_response_free (&a);
    }
  return alive;
}

/* One fingerprint crashes at most two upstreams, even if its caller repeats
   the request through another entry.  */
static void
test_spread (void)
{
  struct fleet f;
  struct http_response a;

  fleet_init (&f, harness_build_dir (), 4, 0, 2);
  fleet_start (&f);
  a = send_prompt (f.entries[0].port, "crash-engine", false);
  g_assert_cmpint (a.status, ==, 422);
  g_assert_nonnull (strstr (a.body, "quarantined"));
  g_assert_nonnull (strstr (a.headers, "bilberry-run: maybe"));
  http_response_free (&a);
  g_assert_cmpuint (count_alive (&f), ==, 2);
  g_assert_true (harness_await (f.entries[1].operator_port, "/status",
                                "\"quarantined\": 1", WAIT_MS));
  a = send_prompt (f.entries[1].port, "crash-engine", false);
  g_assert_cmpint (a.status, ==, 422);
  g_assert_nonnull (strstr (a.headers, "bilberry-run: no"));
  g_assert_nonnull (strstr (a.headers, "retry-after: "));
  http_response_free (&a);
  g_assert_cmpuint (count_alive (&f), ==, 2);
  a = send_prompt (f.entries[1].port, "harmless", false);
  g_assert_cmpint (a.status, ==, 200);
  http_response_free (&a);
  fleet_free (&f);
}

struct concurrent_request
{
  pthread_t thread;
  struct fleet *f;
  char prompt[32];
  struct http_response answer;
};

static void *
send_concurrent (void *arg)
{
  struct concurrent_request *r = arg;

  r->answer = send_prompt (r->f->entries[0].port, r->prompt, true);
  return NULL;
}

/* Harmless requests that were in flight at a crash are retried and answered
   completely, and are not refused when they are repeated.  */
static void
test_innocents (void)
{
  struct concurrent_request all[CONCURRENT_REQUESTS];
  struct fleet f;
  struct http_response a;

  fleet_init (&f, harness_build_dir (), 3, 0, 1);
  fleet_start (&f);
  for (uint32_t i = 0; i < CONCURRENT_REQUESTS; i++)
    {
      all[i].f = &f;
      g_snprintf (all[i].prompt, sizeof all[i].prompt, "innocent %u", i);
      pthread_create (&all[i].thread, NULL, send_concurrent, &all[i]);
    }
  for (uint32_t i = 0; i < f.upstreams_count; i++)
    harness_await (f.upstreams[i].port, "/metrics", "engine_sequences",
                   WAIT_MS);
  a = send_prompt (f.entries[0].port, "crash-engine", false);
  g_assert_cmpint (a.status, ==, 422);
  http_response_free (&a);
  for (uint32_t i = 0; i < CONCURRENT_REQUESTS; i++)
    {
      pthread_join (all[i].thread, NULL);
      g_assert_true (all[i].answer.complete);
      g_assert_true (fleet_stream_is_complete (all[i].answer.body,
                                               all[i].prompt, TOKENS));
      http_response_free (&all[i].answer);
    }
  for (uint32_t i = 0; i < CONCURRENT_REQUESTS; i++)
    {
      a = send_prompt (f.entries[0].port, all[i].prompt, true);
      g_assert_true (fleet_stream_is_complete (a.body, all[i].prompt, TOKENS));
      http_response_free (&a);
    }
  fleet_free (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/poison/states", test_states);
  g_test_add_func ("/poison/at-once", test_at_once);
  g_test_add_func ("/poison/late-peer", test_late_peer);
  g_test_add_func ("/poison/cleared", test_cleared);
  g_test_add_func ("/poison/bounded", test_bounded);
  g_test_add_func ("/poison/alone", test_alone);
  g_test_add_func ("/poison/spread", test_spread);
  g_test_add_func ("/poison/innocents", test_innocents);
  return g_test_run ();
}
