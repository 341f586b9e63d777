/* Tests of the rate limit on weight loads, of the source of a weight, of
   fencing and of the turns of groups.  */

#include "bilberry/map.h"

static void
test_pace (void)
{
  enum
  {
    GROUPS = 10,
    LOADS = 50,
    BYTES = 1000000,
    ALL_MS = 4900
  };
  GRand *rand = g_rand_new_with_seed (1);
  bb_ms first_min = INT64_MAX;
  bb_ms first_max = 0;

  for (uint32_t g = 0; g < GROUPS; g++)
    {
      struct bb_weight_pace p;
      bb_ms first;
      bb_ms at = 0;
      bb_weight_pace_init (&p, 100000000, GROUPS, 5000, 0, rand);
      first = bb_weight_pace_reserve (&p, BYTES, 0);
      for (uint32_t n = 1; n < LOADS; n++)
        at = bb_weight_pace_reserve (&p, BYTES, 0);
      /* Each group has a tenth of 100 MB/s, so 1 MB takes 100 ms.  */
      g_assert_cmpint (at - first, ==, ALL_MS);
      first_min = MIN (first_min, first);
      first_max = MAX (first_max, first);
    }
  g_assert_cmpint (first_max - first_min, >, 2000);
  g_rand_free (rand);
}

static void
test_source (void)
{
  struct bb_map_size size
      = { .layers = 1, .experts = 2, .ranks = 4, .slots = 1 };
  uint16_t expert[4] = { 0, 0, 1, BB_NO_EXPERT };
  struct bb_map_layer layer = { .expert = expert };
  uint32_t served[4] = { 0 };

  g_assert_cmpuint (bb_weight_source (&size, &layer, 3, 0, served), ==, 0);
  g_assert_cmpuint (bb_weight_source (&size, &layer, 3, 0, served), ==, 1);
  g_assert_cmpuint (bb_weight_source (&size, &layer, 2, 1, served), ==,
                    BB_FROM_STORE);
}

static void
test_fence (void)
{
  struct bb_fence f = { 0 };

  g_assert_true (bb_fence_accept (&f, 5, 1));
  g_assert_true (bb_fence_accept (&f, 5, 1));
  g_assert_false (bb_fence_accept (&f, 4, 1));
  g_assert_false (bb_fence_accept (&f, 5, 2));
  g_assert_true (bb_fence_accept (&f, 6, 2));
  g_assert_false (bb_fence_accept (&f, 5, 1));
}

static const char *const groups[] = { "g-a", "g-b", "g-c", "g-d", "g-e" };

/* Each group must own about the same number of slots, and a further group must
   take over slots without changing the owner of any other.  */
static void
test_turn_owner (void)
{
  uint32_t won[5] = { 0 };

  for (uint64_t slot = 0; slot < 5000; slot++)
    {
      uint32_t four = bb_turn_owner (groups, 4, slot);
      uint32_t five = bb_turn_owner (groups, 5, slot);
      g_assert_true (five == four || five == 4);
      won[five]++;
    }
  for (uint32_t i = 0; i < 5; i++)
    {
      g_assert_cmpuint (won[i], >, 850);
      g_assert_cmpuint (won[i], <, 1150);
    }
}

static void
test_turn_guard (void)
{
  for (bb_ms t = 0; t < 100000; t += 7)
    {
      uint32_t open = 0;
      for (uint32_t i = 0; i < 5; i++)
        for (bb_ms skew = -100; skew <= 100; skew += 50)
          if (bb_turn_is_open (groups, 5, i, t + 1000 + skew, 1000, 100, 300))
            {
              open |= 1u << i;
              break;
            }
      /* Clocks that differ from the true time by at most the guard must never
         open the turns of two groups at once.  */
      g_assert_cmpint (__builtin_popcount (open), <=, 1);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/weights/pace", test_pace);
  g_test_add_func ("/weights/source", test_source);
  g_test_add_func ("/weights/fence", test_fence);
  g_test_add_func ("/turn/owner", test_turn_owner);
  g_test_add_func ("/turn/guard", test_turn_guard);
  return g_test_run ();
}
