/* Tests of admission control and of fairness between customers.  */

#include "bilberry/admit.h"

#include <glib.h>
#include <string.h>

static const struct bb_admit_limits limits
    = { .limit = 8, .cold_limit = 2, .queue_max = 16 };

static bool
enqueue (struct bb_admit *a, uint64_t id, const char *customer,
         uint32_t tokens, uint64_t *evicted, struct bb_request_result *v)
{
  struct bb_admit_request r = { .id = id,
                                .customer = bb_bytes_of (customer),
                                .weight = 1,
                                .tokens = tokens,
                                .deadline_ms = 1000000 };

  return bb_admit_enqueue (a, &r, 0, evicted, v);
}

/* Names of customers may hold any bytes: those that differ only after a null
   byte are different customers.  */
static void
test_null_byte (void)
{
  struct bb_admit *a = bb_admit_new (&limits);
  struct bb_request_result v;
  uint64_t evicted;

  for (uint64_t id = 1; id <= 2; id++)
    {
      char name[] = { 'a', '\0', (char)('a' + id), 'x', 'x', 'x', 'x', 'x' };
      struct bb_admit_request r = { .id = id,
                                    .customer = { name, sizeof name },
                                    .weight = 1,
                                    .tokens = 1,
                                    .deadline_ms = 1000000 };
      g_assert_true (bb_admit_enqueue (a, &r, 0, &evicted, &v));
    }
  g_assert_cmpuint (bb_admit_stats (a).customers, ==, 2);
  bb_admit_free (a);
}

/* After a start or a restart, no more requests run than the cold limit allows;
   each one that succeeds raises the limit by one.  */
static void
test_cold (void)
{
  struct bb_admit *a = bb_admit_new (&limits);
  struct bb_request_result v;
  uint64_t evicted;

  for (uint64_t id = 1; id <= 10; id++)
    g_assert_true (enqueue (a, id, "a", 1, &evicted, &v));
  g_assert_cmpuint (bb_admit_next (a), ==, 1);
  g_assert_cmpuint (bb_admit_next (a), ==, 2);
  g_assert_cmpuint (bb_admit_next (a), ==, 0);
  bb_admit_end (a, true, 10);
  g_assert_cmpuint (bb_admit_stats (a).limit, ==, 3);
  g_assert_cmpuint (bb_admit_next (a), ==, 3);
  g_assert_cmpuint (bb_admit_next (a), ==, 4);
  g_assert_cmpuint (bb_admit_next (a), ==, 0);
  bb_admit_end (a, false, 10);
  g_assert_cmpuint (bb_admit_stats (a).limit, ==, 3);
  bb_admit_upstream_restarted (a);
  g_assert_cmpuint (bb_admit_stats (a).limit, ==, 2);
  g_assert_true (bb_admit_stats (a).cold);
  bb_admit_free (a);
}

/* When the queue is full, the newest request of the customer with the largest
   share is evicted, or refused if it is the new one.  */
static void
test_full (void)
{
  struct bb_admit *a = bb_admit_new (&limits);
  struct bb_request_result v;
  uint64_t evicted;

  for (uint64_t id = 1; id <= limits.queue_max; id++)
    g_assert_true (enqueue (a, id, "large", 10, &evicted, &v));
  g_assert_false (enqueue (a, 100, "large", 10, &evicted, &v));
  g_assert_cmpint (v.run, ==, BB_RUN_NOT_RUN);
  g_assert_cmpint (v.reason, ==, BB_REASON_COLD_START);
  g_assert_cmpuint (v.retry_after_ms, >, 0);
  g_assert_true (enqueue (a, 101, "small", 10, &evicted, &v));
  g_assert_cmpuint (evicted, ==, limits.queue_max);
  bb_admit_free (a);
}

/* A request that is not expected to start before its deadline is refused at
   once.  */
static void
test_deadline (void)
{
  struct bb_admit *a = bb_admit_new (&limits);
  struct bb_admit_request r = { .id = 50,
                                .customer = bb_bytes_of ("a"),
                                .weight = 1,
                                .tokens = 1,
                                .deadline_ms = 200 };
  struct bb_request_result v;
  uint64_t evicted;

  for (uint64_t id = 1; id <= 10; id++)
    g_assert_true (enqueue (a, id, "a", 1, &evicted, &v));
  g_assert_false (bb_admit_enqueue (a, &r, 0, &evicted, &v));
  g_assert_cmpint (v.run, ==, BB_RUN_NOT_RUN);
  r.deadline_ms = 5000;
  g_assert_true (bb_admit_enqueue (a, &r, 0, &evicted, &v));
  g_assert_true (bb_admit_cancel (a, 50));
  g_assert_false (bb_admit_cancel (a, 50));
  bb_admit_free (a);
}

enum
{
  CUSTOMERS = 5,
  REQUESTS = 400
};

/* Reference implementation of weighted fairness: serves BUDGET tokens one by
   one, each to the customer with the least service relative to its weight.  */
static void
serve_naively (const uint32_t queued[CUSTOMERS],
               const uint32_t weights[CUSTOMERS], uint32_t budget,
               double served[CUSTOMERS])
{
  memset (served, 0, CUSTOMERS * sizeof *served);
  for (; budget > 0; budget--)
    {
      int least = -1;
      for (int c = 0; c < CUSTOMERS; c++)
        if (served[c] < queued[c]
            && (least < 0
                || served[c] / weights[c] < served[least] / weights[least]))
          least = c;
      if (least < 0)
        return;
      served[least]++;
    }
}

/* Deficit round robin stays within a few turns of the reference
   implementation.  */
static void
test_naive (void)
{
  static const char *const names[CUSTOMERS] = { "a", "b", "c", "d", "e" };
  static const struct bb_admit_limits unlimited
      = { .limit = 100000, .cold_limit = 100000, .queue_max = 100000 };

  for (guint32 seed = 1; seed <= 50; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      struct bb_admit *a = bb_admit_new (&unlimited);
      uint32_t tokens[REQUESTS + 1];
      uint32_t owner[REQUESTS + 1];
      uint32_t queued[CUSTOMERS] = { 0 };
      uint32_t weights[CUSTOMERS];
      uint32_t served[CUSTOMERS] = { 0 };
      double naive[CUSTOMERS];
      uint32_t total = 0;
      for (int c = 0; c < CUSTOMERS; c++)
        weights[c] = (uint32_t)g_rand_int_range (rand, 1, 4);
      for (uint32_t id = 1; id <= REQUESTS; id++)
        {
          struct bb_request_result v;
          uint64_t evicted;
          struct bb_admit_request r = { .id = id, .deadline_ms = 1000000000 };
          owner[id] = (uint32_t)g_rand_int_range (rand, 0, CUSTOMERS);
          tokens[id] = (uint32_t)g_rand_int_range (rand, 1, 500);
          queued[owner[id]] += tokens[id];
          r.customer = bb_bytes_of (names[owner[id]]);
          r.weight = weights[owner[id]];
          r.tokens = tokens[id];
          g_assert_true (bb_admit_enqueue (a, &r, 0, &evicted, &v));
        }
      for (int n = 0; n < REQUESTS / 3; n++)
        {
          uint64_t id = bb_admit_next (a);
          served[owner[id]] += tokens[id];
          total += tokens[id];
        }
      serve_naively (queued, weights, total, naive);
      for (int c = 0; c < CUSTOMERS; c++)
        g_assert_cmpfloat (ABS (naive[c] - served[c]), <,
                           3 * 500 + 256 * weights[c] * 3);
      bb_admit_free (a);
      g_rand_free (rand);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/admit/cold", test_cold);
  g_test_add_func ("/admit/full", test_full);
  g_test_add_func ("/admit/deadline", test_deadline);
  g_test_add_func ("/admit/naive", test_naive);
  g_test_add_func ("/admit/null-byte", test_null_byte);
  return g_test_run ();
}
