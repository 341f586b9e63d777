/* Tests of the decisions on upstreams that ask for rest.  */

#include "bilberry/load.h"

#include <glib.h>

enum
{
  UPSTREAMS = 12,
  SHEDDING = 4, /* the first of them turn requests away */
  SHED_FROM_MS = 1000,
  SHED_TO_MS = 10000,
  END_MS = 16000,
  REST_MS = 3000,
  REST_BINDS_MS = 500,
  REQUESTS_IN_REST_MAX = 2,
  ARRIVAL_MS = 65, /* time between requests of one entry */
  ANSWER_MS = 600,
  REFUSAL_MS = 2, /* time from sending to the upstream's refusal */
  TRIES_MAX = 6,
  RETRY_WINDOW_MS = 10000,
  RETRY_EXTRA = 88,
  MEMBERS = 3
};

static const double retry_ratio = 0.2;

/* An upstream of the replay.  */
struct upstream
{
  struct bb_rest rest;
  GArray *refusals; /* bb_ms, times at which it turned a request away */
  GQueue answers;   /* times at which its requests end */
  uint32_t served;
};

struct replay
{
  struct upstream upstreams[UPSTREAMS];
  struct bb_retry_window budget;
  GRand *rand;
  uint32_t unserved;
};

static bool
sheds (uint32_t i, bb_ms now)
{
  return i < SHEDDING && now >= SHED_FROM_MS && now < SHED_TO_MS;
}

static uint32_t
choose (struct replay *p, uint32_t tried, bb_ms now)
{
  struct bb_balance_candidate candidates[UPSTREAMS] = { 0 };
  struct bb_balance_cost cost = { 1, 0 };

  for (uint32_t i = 0; i < UPSTREAMS; i++)
    {
      struct upstream *u = &p->upstreams[i];
      while (u->answers.length > 0
             && GPOINTER_TO_INT (u->answers.head->data) <= now)
        g_queue_pop_head (&u->answers);
      candidates[i].usable = bb_rest_is_over (&u->rest, now);
      candidates[i].tried = tried >> i & 1;
      candidates[i].in_flight = u->answers.length;
      candidates[i].in_flight_max = 12;
    }
  return bb_balance_choose (candidates, UPSTREAMS, &cost,
                            g_rand_double (p->rand));
}

/* Sends a request that comes at NOW until an upstream serves it.  */
static void
serve (struct replay *p, bb_ms now)
{
  uint32_t tried = 0;

  bb_retry_window_add_request (&p->budget, now);
  for (uint32_t n = 0; n < TRIES_MAX; n++, now += REFUSAL_MS)
    {
      uint32_t i = choose (p, tried, now);
      if (i == BB_BALANCE_NONE
          || (n > 0
              && !bb_retry_window_take_retry (&p->budget, now, retry_ratio,
                                              RETRY_EXTRA, MEMBERS)))
        break;
      if (!sheds (i, now))
        {
          p->upstreams[i].served++;
          g_queue_push_tail (&p->upstreams[i].answers,
                             GINT_TO_POINTER ((int)now + ANSWER_MS));
          return;
        }
      tried |= 1U << i;
      bb_rest_ask (&p->upstreams[i].rest, REST_MS, now);
      g_array_append_val (p->upstreams[i].refusals, now);
    }
  p->unserved++;
}

static void
check_refusals (const GArray *refusals)
{
  for (guint i = 0; i < refusals->len; i++)
    {
      bb_ms asked_ms = g_array_index (refusals, bb_ms, i);
      uint32_t n = 0;
      for (guint k = i + 1; k < refusals->len; k++)
        {
          bb_ms ms = g_array_index (refusals, bb_ms, k);
          n += ms > asked_ms + REST_BINDS_MS && ms < asked_ms + REST_MS;
        }
      g_assert_cmpuint (n, <=, REQUESTS_IN_REST_MAX);
    }
}

/* A third of the upstreams turn everything away for nine seconds and ask for
   rest.  They get next to nothing, the others serve everything, and the retry
   budget lasts.  Afterwards all serve.  */
static void
test_shedding (void)
{
  struct replay p = { .rand = g_rand_new_with_seed (5) };

  bb_retry_window_init (&p.budget, RETRY_WINDOW_MS,
                        -(bb_ms)RETRY_WINDOW_MS * 2);
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    p.upstreams[i].refusals = g_array_new (FALSE, FALSE, sizeof (bb_ms));
  for (bb_ms now = 0; now < SHED_TO_MS; now += ARRIVAL_MS)
    serve (&p, now);
  for (uint32_t i = 0; i < SHEDDING; i++)
    {
      g_assert_cmpuint (p.upstreams[i].refusals->len, >=, 1);
      check_refusals (p.upstreams[i].refusals);
      p.upstreams[i].served = 0;
    }
  g_assert_cmpuint (p.unserved, ==, 0);
  for (bb_ms now = SHED_TO_MS; now < END_MS; now += ARRIVAL_MS)
    serve (&p, now);
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    {
      g_assert_cmpuint (p.upstreams[i].served, >=, 1);
      g_array_unref (p.upstreams[i].refusals);
      g_queue_clear (&p.upstreams[i].answers);
    }
  g_assert_cmpuint (p.unserved, ==, 0);
  g_rand_free (p.rand);
}

/* A shorter rest that is asked for later does not end one that was asked for
   before, nor does a refusal that asks for none.  */
static void
test_longest (void)
{
  struct bb_rest r = { 0 };

  g_assert_true (bb_rest_is_over (&r, 0));
  bb_rest_ask (&r, 0, 100);
  g_assert_true (bb_rest_is_over (&r, 100));
  bb_rest_ask (&r, 3000, 100);
  bb_rest_ask (&r, 200, 150);
  bb_rest_ask (&r, 0, 160);
  g_assert_false (bb_rest_is_over (&r, 3099));
  g_assert_true (bb_rest_is_over (&r, 3100));
  bb_rest_ask (&r, 500, 3000);
  g_assert_false (bb_rest_is_over (&r, 3499));
  g_assert_true (bb_rest_is_over (&r, 3500));
}

/* A pool whose upstreams all rest opens with the first of them; one that
   leaves does not count, and one that does neither opens the pool.  */
static void
test_opening (void)
{
  struct bb_rest none = { 0 };
  struct bb_rest early = { 4000 };
  struct bb_rest late = { 9000 };
  struct bb_pool_opening o = { 0 };

  g_assert_cmpint (bb_pool_opening_wait_ms (&o, 70, 1000), ==, 0);
  bb_pool_opening_add (&o, true, &none, 1000);
  g_assert_cmpint (bb_pool_opening_wait_ms (&o, 70, 1000), ==, 70);
  bb_pool_opening_add (&o, false, &late, 1000);
  g_assert_cmpint (bb_pool_opening_wait_ms (&o, 70, 1000), ==, 8000);
  bb_pool_opening_add (&o, false, &early, 1000);
  bb_pool_opening_add (&o, false, &late, 1000);
  g_assert_cmpint (bb_pool_opening_wait_ms (&o, 70, 1000), ==, 3000);
  bb_pool_opening_add (&o, false, &none, 1000);
  g_assert_cmpint (bb_pool_opening_wait_ms (&o, 70, 1000), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/load-rest/shedding", test_shedding);
  g_test_add_func ("/load-rest/longest", test_longest);
  g_test_add_func ("/load-rest/opening", test_opening);
  return g_test_run ();
}
