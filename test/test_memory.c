/* Tests of the account of held memory, by the loads that it answers.  */

#include "bilberry/base.h"

#include <glib.h>

enum
{
  TICK_MS = 5
};

static const size_t mb = (size_t)1024 * 1024;

/* Requests with long bodies that come at a rate and stay for a while.  */
struct load
{
  size_t max_bytes;
  size_t body_bytes;
  bb_ms interval_ms;
  bb_ms stay_ms;
  bb_ms length_ms;
};

struct outcome
{
  uint32_t taken;
  uint32_t refused;
  uint32_t small_refused; /* of small ones, one in each tick */
  size_t peak_bytes;
};

static struct outcome
replay (const struct load *l)
{
  struct bb_memory m = { .max_bytes = l->max_bytes };
  g_autoptr (GQueue) ends = g_queue_new ();
  struct outcome o = { 0 };

  for (bb_ms now = 0; now < l->length_ms; now += TICK_MS)
    {
      while (!g_queue_is_empty (ends)
             && GPOINTER_TO_INT (g_queue_peek_head (ends)) <= now)
        {
          g_queue_pop_head (ends);
          bb_memory_give (&m, l->body_bytes);
        }
      if (bb_memory_take (&m, BB_MEMORY_SMALL_BYTES, BB_MEMORY_SMALL_BYTES))
        bb_memory_give (&m, BB_MEMORY_SMALL_BYTES);
      else
        o.small_refused++;
      if (now % l->interval_ms != 0)
        continue;
      if (!bb_memory_take (&m, l->body_bytes, l->body_bytes))
        {
          o.refused++;
          continue;
        }
      o.taken++;
      g_queue_push_tail (ends, GINT_TO_POINTER ((int)(now + l->stay_ms)));
    }
  o.peak_bytes = m.peak_bytes;
  return o;
}

/* The burst of review/5: 36 bodies of 2.5 MiB a second, each for 1.14 s, on a
   VM of 260 MB.  All fit.  */
static void
test_burst (void)
{
  const struct load l = { .max_bytes = 130 * mb,
                          .body_bytes = 5 * mb / 2,
                          .interval_ms = 30,
                          .stay_ms = 1140,
                          .length_ms = 3000 };
  struct outcome o = replay (&l);

  g_assert_cmpuint (o.refused, ==, 0);
  g_assert_cmpuint (o.small_refused, ==, 0);
  g_assert_cmpuint (o.peak_bytes, <=, l.max_bytes);
}

/* More than fits: as much as fits is taken, all the while, and small requests
   still find room.  */
static void
test_overload (void)
{
  const struct load l = { .max_bytes = 80 * mb,
                          .body_bytes = 4 * mb,
                          .interval_ms = 10,
                          .stay_ms = 1000,
                          .length_ms = 5000 };
  struct outcome o = replay (&l);

  g_assert_cmpuint (o.refused, >, 300);
  g_assert_cmpuint (o.taken, >=, 68);
  g_assert_cmpuint (o.small_refused, ==, 0);
  g_assert_cmpuint (o.peak_bytes, <=, l.max_bytes);
}

/* Pieces that are held already count even where they do not fit, and nothing
   large is taken then.  */
static void
test_over_limit (void)
{
  struct bb_memory m = { .max_bytes = mb };

  bb_memory_add (&m, 2 * mb);
  g_assert_false (bb_memory_has_room (&m, 1, 1));
  bb_memory_give (&m, mb + mb / 16);
  g_assert_true (bb_memory_has_room (&m, 1, 1));
  g_assert_false (bb_memory_has_room (&m, 1, mb));
  bb_memory_give (&m, 2 * mb);
  g_assert_cmpuint (m.used_bytes, ==, 0);
  m.max_bytes = 0;
  g_assert_true (bb_memory_take (&m, 8 * mb, 8 * mb));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/memory/burst", test_burst);
  g_test_add_func ("/memory/overload", test_overload);
  g_test_add_func ("/memory/over-limit", test_over_limit);
  return g_test_run ();
}
