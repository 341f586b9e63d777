/* Tests of the detection of parts of prompts that crash upstreams.  */

#include "bilberry/admit.h"

#include <glib.h>

enum
{
  A = 1, /* sound parts */
  B = 2,
  P = 3, /* crashes upstreams */
  MINUTE_MS = 60 * 1000
};

static bb_ms now = 1000;

/* Records that REQUEST with the parts FIRST and SECOND, 0 for none, was in
   flight at crash EVENT.  Returns whether it is new.  */
static bool
crash (struct bb_parts *p, uint64_t event, uint64_t request, bool isolated,
       uint64_t first, uint64_t second)
{
  struct bb_part_crash c = { .event = event,
                             .request = request,
                             .isolated = isolated,
                             .parts = { first, second },
                             .parts_count = 2 };

  return bb_parts_record_crash (p, &c, now) != NULL;
}

static enum bb_poison_state
state_of (struct bb_parts *p, uint64_t part)
{
  return bb_parts_state (p, &part, 1, now);
}

/* A crash leaves the parts suspect that no answer has shown to be sound; a
   second one, of another and isolated request, quarantines.  */
static void
test_quarantine (void)
{
  struct bb_parts *p = bb_parts_new ();
  uint64_t request[] = { A, P };

  bb_parts_record_sound (p, A, now);
  g_assert_true (crash (p, 11, 21, false, A, P));
  g_assert_cmpint (state_of (p, A), ==, BB_POISON_CLEAN);
  g_assert_cmpint (state_of (p, P), ==, BB_POISON_SUSPECT);
  g_assert_cmpuint (bb_parts_most_suspect (p, request, 2, now), ==, P);
  g_assert_false (crash (p, 11, 21, false, A, P));
  g_assert_true (crash (p, 12, 22, true, A, P));
  g_assert_cmpint (state_of (p, A), ==, BB_POISON_CLEAN);
  g_assert_cmpint (bb_parts_state (p, request, 2, now), ==,
                   BB_POISON_QUARANTINED);
  g_assert_cmpuint (bb_parts_quarantined (p, now), ==, 1);
  g_assert_cmpint (bb_parts_remaining_ms (p, request, 2, now), >=,
                   (bb_ms)59 * MINUTE_MS);
  bb_parts_free (p);
}

/* Many upstreams that crash at once by another cause, with a popular part in
   flight at all of them, quarantine nothing; nor do the repeats of one
   request, which may itself be to blame.  */
static void
test_not_enough (void)
{
  struct bb_parts *p = bb_parts_new ();

  for (uint64_t i = 0; i < 12; i++)
    crash (p, 10 + i, 100 + i, false, A, 0);
  g_assert_cmpint (state_of (p, A), ==, BB_POISON_SUSPECT);
  g_assert_true (bb_parts_record_sound (p, A, now));
  g_assert_cmpint (state_of (p, A), ==, BB_POISON_CLEAN);
  g_assert_false (bb_parts_record_sound (p, A, now));
  /* Each of two parts may be the cause of one crash, and one of another.  */
  crash (p, 28, 78, false, A + 100, P);
  crash (p, 29, 79, true, P, 0);
  g_assert_cmpint (state_of (p, P), ==, BB_POISON_SUSPECT);
  for (uint64_t i = 0; i < 4; i++)
    crash (p, 30 + i, 77, true, B, 0);
  g_assert_cmpint (state_of (p, B), ==, BB_POISON_SUSPECT);
  g_assert_cmpuint (bb_parts_quarantined (p, now), ==, 0);
  bb_parts_free (p);
}

/* Where nothing is known to be sound, as after a restart, two parts that come
   together stay suspect; the answer of one of them quarantines the other.  */
static void
test_elimination (void)
{
  struct bb_parts *p = bb_parts_new ();

  crash (p, 11, 21, true, A, P);
  crash (p, 12, 22, true, A, P);
  g_assert_cmpint (state_of (p, A), ==, BB_POISON_SUSPECT);
  g_assert_cmpint (state_of (p, P), ==, BB_POISON_SUSPECT);
  g_assert_true (bb_parts_record_sound (p, A, now));
  g_assert_cmpint (state_of (p, A), ==, BB_POISON_CLEAN);
  g_assert_cmpint (state_of (p, P), ==, BB_POISON_QUARANTINED);
  bb_parts_free (p);
}

/* Parts that always come together are quarantined together in the end, but not
   the one that was there once.  */
static void
test_always_together (void)
{
  struct bb_parts *p = bb_parts_new ();

  crash (p, 11, 21, false, A, P);
  crash (p, 12, 22, true, A, P);
  crash (p, 13, 23, true, B, P);
  g_assert_cmpint (state_of (p, P), ==, BB_POISON_SUSPECT);
  crash (p, 14, 24, true, A, P);
  g_assert_cmpint (state_of (p, P), ==, BB_POISON_QUARANTINED);
  g_assert_cmpint (state_of (p, A), ==, BB_POISON_CLEAN);
  g_assert_cmpint (state_of (p, B), ==, BB_POISON_CLEAN);
  bb_parts_free (p);
}

/* What a quarantined part explains makes nothing else suspect, then or later.
 */
static void
test_explained (void)
{
  struct bb_parts *p = bb_parts_new ();

  crash (p, 11, 21, false, B, P);
  crash (p, 12, 22, true, P, 0);
  g_assert_cmpint (state_of (p, P), ==, BB_POISON_SUSPECT);
  crash (p, 15, 25, true, P, 0);
  g_assert_cmpint (state_of (p, P), ==, BB_POISON_QUARANTINED);
  g_assert_cmpint (state_of (p, B), ==, BB_POISON_CLEAN);
  crash (p, 13, 23, false, A, P);
  g_assert_cmpint (state_of (p, A), ==, BB_POISON_CLEAN);
  /* Nor does it count when the other part is in flight at another crash.  */
  crash (p, 14, 24, true, B, 0);
  g_assert_cmpint (state_of (p, B), ==, BB_POISON_SUSPECT);
  bb_parts_free (p);
}

/* An answer lifts a quarantine, also one that a peer reported.  */
static void
test_clear (void)
{
  struct bb_parts *p = bb_parts_new ();
  struct bb_part_crash told = { .event = 5,
                                .request = 6,
                                .parts = { B },
                                .parts_count = 1,
                                .isolated = true,
                                .quarantined = true };

  crash (p, 11, 21, false, A, 0);
  crash (p, 12, 22, true, A, 0);
  g_assert_cmpint (state_of (p, A), ==, BB_POISON_QUARANTINED);
  g_assert_true (bb_parts_record_sound (p, A, now));
  g_assert_cmpint (state_of (p, A), ==, BB_POISON_CLEAN);
  g_assert_nonnull (bb_parts_record_crash (p, &told, now));
  g_assert_cmpint (state_of (p, B), ==, BB_POISON_QUARANTINED);
  g_assert_true (bb_parts_record_sound (p, B, now));
  g_assert_null (bb_parts_record_crash (p, &told, now));
  g_assert_cmpint (state_of (p, B), ==, BB_POISON_CLEAN);
  bb_parts_free (p);
}

static void
count_crash (void *arg, const struct bb_part_crash *c)
{
  (void)c;
  ++*(uint32_t *)arg;
}

/* Suspicions and convictions end after a time, and so does what is known to be
   sound; the tables stay bounded.  */
static void
test_limits (void)
{
  struct bb_parts *p = bb_parts_new ();
  uint32_t count = 0;
  bb_ms later = now + (bb_ms)11 * MINUTE_MS;
  uint64_t part = P;

  bb_parts_record_sound (p, A, now);
  g_assert_true (bb_parts_is_sound (p, A, now));
  g_assert_false (bb_parts_is_sound (p, A, later));
  crash (p, 11, 21, false, P, 0);
  g_assert_cmpint (bb_parts_state (p, &part, 1, later), ==, BB_POISON_CLEAN);
  crash (p, 12, 22, true, P, 0);
  g_assert_cmpint (bb_parts_state (p, &part, 1, later), ==,
                   BB_POISON_QUARANTINED);
  g_assert_cmpint (bb_parts_state (p, &part, 1, now + (bb_ms)61 * MINUTE_MS),
                   ==, BB_POISON_CLEAN);
  for (uint64_t i = 0; i < 1000; i++)
    crash (p, 1000 + i, 5000 + i, false, 100 + i, 0);
  bb_parts_each (p, now, count_crash, &count);
  g_assert_cmpuint (count, ==, 256);
  /* The quarantine is older, but is kept.  */
  g_assert_cmpint (state_of (p, P), ==, BB_POISON_QUARANTINED);
  for (uint64_t i = 0; i < 20000; i++)
    bb_parts_record_sound (p, 100000 + i, now);
  g_assert_false (bb_parts_is_sound (p, 100000, now));
  g_assert_true (bb_parts_is_sound (p, 119999, now));
  bb_parts_free (p);
}

/* Processes that get the same reports in any order agree.  */
static void
test_any_order (void)
{
  GRand *rand = g_rand_new_with_seed (5);

  for (uint32_t n = 0; n < 200; n++)
    {
      uint32_t order[5] = { 0, 1, 2, 3, 4 };
      struct bb_parts *p = bb_parts_new ();
      for (uint32_t i = 4; i > 0; i--)
        {
          uint32_t k = (uint32_t)g_rand_int_range (rand, 0, (int)i + 1);
          uint32_t other = order[i];
          order[i] = order[k];
          order[k] = other;
        }
      for (uint32_t i = 0; i < 5; i++)
        switch (order[i])
          {
          case 0:
            crash (p, 11, 21, false, A, P);
            break;
          case 1:
            crash (p, 12, 22, false, B, P);
            break;
          case 2:
            crash (p, 13, 23, true, A, P);
            break;
          case 3:
            crash (p, 11, 24, false, B, 0);
            break;
          default:
            bb_parts_record_sound (p, A, now);
          }
      g_assert_cmpint (state_of (p, A), ==, BB_POISON_CLEAN);
      g_assert_cmpint (state_of (p, B), ==, BB_POISON_SUSPECT);
      g_assert_cmpint (state_of (p, P), ==, BB_POISON_QUARANTINED);
      bb_parts_free (p);
    }
  g_rand_free (rand);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/parts/quarantine", test_quarantine);
  g_test_add_func ("/parts/not-enough", test_not_enough);
  g_test_add_func ("/parts/elimination", test_elimination);
  g_test_add_func ("/parts/always-together", test_always_together);
  g_test_add_func ("/parts/explained", test_explained);
  g_test_add_func ("/parts/clear_part", test_clear);
  g_test_add_func ("/parts/limits", test_limits);
  g_test_add_func ("/parts/any-order", test_any_order);
  return g_test_run ();
}
