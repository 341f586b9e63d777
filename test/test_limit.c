/* Replay of the load pattern of libload/limit.c: entries that share the limits
   of upstreams.  */

#include "bilberry/load.h"

#include <glib.h>

enum
{
  ENTRIES_MAX = 15,
  STEP_MS = 5,
  TURN_MS = 2, /* from a question to its reply */
  RUN_MS = 40000,
  WINDOW_MS = 4000,
  PATIENCE_MS = 400,
  SENDS_MAX = 100000
};

struct run
{
  uint32_t entries;
  uint32_t owner;
  int64_t milli;
  struct bb_limit limits[ENTRIES_MAX];
  bb_ms reply_ms[ENTRIES_MAX]; /* of the question in flight; 0: none */
  struct bb_limit_schedule schedules[ENTRIES_MAX];
  struct bb_limit_members members[ENTRIES_MAX];
  GArray *sends; /* bb_ms */
  GRand *rand;
};

static void
run_start (struct run *r, uint32_t entries, int64_t milli, uint32_t seed)
{
  *r = (struct run){ .entries = entries, .milli = milli };
  r->sends = g_array_new (FALSE, FALSE, sizeof (bb_ms));
  r->rand = g_rand_new_with_seed (seed);
  for (uint32_t e = 0; e < entries; e++)
    {
      bb_limit_note_answer (&r->limits[e], milli, 0, 1);
      bb_limit_note_members (&r->members[e], entries, 1);
    }
}

static void
run_end (struct run *r)
{
  g_array_unref (r->sends);
  g_rand_free (r->rand);
}

/* Entry E has a request at NOW, whose slots OWNER gives out.  */
static void
request (struct run *r, uint32_t e, uint32_t owner, bb_ms now)
{
  struct bb_limit *l = &r->limits[e];

  if (bb_limit_allows (l, now))
    {
      bb_limit_use (l, now);
      g_array_append_val (r->sends, now);
      return;
    }
  if (bb_limit_may_ask (l, now) && bb_limit_expected (l, now) == 0)
    {
      bb_limit_asked (l, now);
      r->reply_ms[e] = now + TURN_MS;
    }
  if (r->reply_ms[e] != 0)
    {
      bb_ms wait_ms = bb_limit_reserve (&r->schedules[owner], r->milli,
                                        &r->members[owner], PATIENCE_MS, now);
      bb_limit_answered (l, wait_ms <= PATIENCE_MS, wait_ms, now);
      r->reply_ms[e] = 0;
    }
}

/* Checks the rule of the platform, and returns the sends a second.  */
static double
check (const struct run *r, bb_ms for_ms)
{
  uint32_t allowed
      = (uint32_t)(1.5 * (double)r->milli / 1000 * WINDOW_MS / 1000) + 5;

  for (guint i = 0; i < r->sends->len; i++)
    {
      uint32_t n = 0;
      bb_ms start = g_array_index (r->sends, bb_ms, i);
      for (guint k = i; k < r->sends->len; k++)
        n += g_array_index (r->sends, bb_ms, k) < start + WINDOW_MS;
      g_assert_cmpuint (n, <=, allowed);
    }
  return r->sends->len * 1000.0 / (double)for_ms;
}

static const int64_t limits_milli[]
    = { 0, 1, 100, 500, 1300, 2400, 10000, 60000 };

/* Requests come faster than they are taken: the rule is kept, and most of what
   is taken is used.  */
static void
test_steady (void)
{
  static const uint32_t counts[] = { 1, 3, ENTRIES_MAX };

  for (uint32_t i = 0; i < G_N_ELEMENTS (limits_milli); i++)
    for (uint32_t k = 0; k < G_N_ELEMENTS (counts); k++)
      {
        struct run r;
        double used;
        run_start (&r, counts[k], limits_milli[i], 1 + i);
        for (bb_ms now = 1000; now < 1000 + RUN_MS; now += STEP_MS)
          request (&r, g_rand_int_range (r.rand, 0, (gint)r.entries), 0, now);
        used = check (&r, RUN_MS);
        g_test_message ("%u entries, limit %.3f: %.3f a second", counts[k],
                        (double)limits_milli[i] / 1000, used);
        if (limits_milli[i] >= 500)
          g_assert_cmpfloat (used, >=, 0.8 * (double)limits_milli[i] / 1000);
        run_end (&r);
      }
}

/* Requests come in bursts with pauses between, so that what was not used could
   be saved up.  */
static void
test_bursts (void)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (limits_milli); i++)
    {
      struct run r;
      run_start (&r, ENTRIES_MAX, limits_milli[i], 1 + i);
      for (bb_ms now = 1000; now < 1000 + RUN_MS; now += STEP_MS)
        if (now % 5000 < 300)
          for (uint32_t e = 0; e < r.entries; e++)
            request (&r, e, 0, now);
      check (&r, RUN_MS);
      run_end (&r);
    }
}

/* The entry that gives the slots out is replaced every eight seconds by one
   that knows of none.  */
static void
test_owner_changes (void)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (limits_milli); i++)
    {
      struct run r;
      run_start (&r, ENTRIES_MAX, limits_milli[i], 1 + i);
      for (bb_ms now = 1000; now < 1000 + RUN_MS; now += STEP_MS)
        request (&r, g_rand_int_range (r.rand, 0, (gint)r.entries),
                 (uint32_t)(now / 8000) % ENTRIES_MAX, now);
      check (&r, RUN_MS);
      run_end (&r);
    }
}

/* Two halves that do not know of each other any more: each gives out a part of
   the limit.  */
static void
test_partition (void)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (limits_milli); i++)
    {
      struct run r;
      run_start (&r, 14, limits_milli[i], 1 + i);
      for (bb_ms now = 1000; now < 9000; now += STEP_MS)
        {
          uint32_t e = g_rand_int_range (r.rand, 0, 14);
          uint32_t side = now < 3000 ? 0 : e / 7 * 7;
          if (now >= 3000)
            bb_limit_note_members (&r.members[side], 7, now);
          else
            bb_limit_note_members (&r.members[side], 14, now);
          request (&r, e, side, now);
        }
      check (&r, 8000);
      run_end (&r);
    }
}

/* A limit holds as long as answers name it; an answer to a request that was
   sent before it was named does not end it.  */
static void
test_answers (void)
{
  struct bb_limit l = { 0 };

  g_assert_true (bb_limit_allows (&l, 0));
  g_assert_false (bb_limit_note_answer (&l, BB_LIMIT_NONE, 5, 10));
  g_assert_true (bb_limit_note_answer (&l, 2000, 5, 10));
  g_assert_false (bb_limit_allows (&l, 10));
  g_assert_false (bb_limit_note_answer (&l, BB_LIMIT_NONE, 9, 20));
  g_assert_false (bb_limit_note_answer (&l, BB_LIMIT_UNREADABLE, 15, 20));
  g_assert_false (bb_limit_note_answer (&l, 2000, 15, 20));
  g_assert_true (bb_limit_note_answer (&l, 500, 15, 20));
  g_assert_cmpint (l.milli, ==, 500);
  g_assert_true (bb_limit_note_answer (&l, 0, 15, 25));
  g_assert_cmpint (l.milli, ==, 100);
  g_assert_true (bb_limit_note_answer (&l, BB_LIMIT_NONE, 26, 30));
  g_assert_true (bb_limit_allows (&l, 30));
}

/* A slot is used once, from its time on and not much later; a question without
   a reply does not count for long.  */
static void
test_slots (void)
{
  struct bb_limit l = { 0 };

  bb_limit_note_answer (&l, 1000, 0, 1000);
  bb_limit_asked (&l, 1000);
  g_assert_cmpuint (bb_limit_expected (&l, 1000), ==, 1);
  bb_limit_answered (&l, true, 300, 1002);
  g_assert_false (bb_limit_allows (&l, 1301));
  g_assert_true (bb_limit_allows (&l, 1302));
  g_assert_false (bb_limit_allows (&l, 1702));
  bb_limit_use (&l, 1302);
  g_assert_false (bb_limit_allows (&l, 1302));
  bb_limit_asked (&l, 1400);
  g_assert_cmpuint (bb_limit_expected (&l, 1599), ==, 1);
  g_assert_cmpuint (bb_limit_expected (&l, 1600), ==, 0);
  bb_limit_answered (&l, false, 700, 1600);
  g_assert_false (bb_limit_may_ask (&l, 2299));
  g_assert_cmpint (bb_limit_closed_until_ms (&l, 1600), ==, 2300);
  g_assert_true (bb_limit_may_ask (&l, 2300));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/limit/steady", test_steady);
  g_test_add_func ("/limit/bursts", test_bursts);
  g_test_add_func ("/limit/owner-changes", test_owner_changes);
  g_test_add_func ("/limit/partition", test_partition);
  g_test_add_func ("/limit/answers", test_answers);
  g_test_add_func ("/limit/slots", test_slots);
  return g_test_run ();
}
