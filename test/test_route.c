/* Tests of the routing decisions of an entry: resumed streams, retries,
   outlier ejection, subsets, choice of an upstream, shares of a limit.  */

#include "bilberry/route.h"

#include <glib.h>
#include <string.h>

static void
append_event (void *arg, struct bb_bytes event)
{
  g_string_append_len (arg, event.ptr, event.size);
}

static void
append_token_event (GString *text, uint32_t i)
{
  g_string_append_printf (text,
                          "data: {\"choices\":[{\"delta\":{\"content\":\"t%u"
                          "\"}}]}\r\n\r\n",
                          i);
}

/* Returns the event stream that an engine sends for the tokens from FROM up to
   but not including TO.  USAGE is the token count in its usage event; negative
   for no such event.  */
static GString *
make_stream (uint32_t from, uint32_t to, int usage)
{
  GString *text = g_string_new (
      "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n");

  for (uint32_t i = from; i < to; i++)
    append_token_event (text, i);
  if (usage >= 0)
    g_string_append_printf (text,
                            "data: {\"choices\":[],\"usage\":{\"prompt_"
                            "tokens\":3,\"completion_tokens\":%d,\"total_"
                            "tokens\":%d}}\n\n",
                            usage, usage + 3);
  g_string_append (text, "data: [DONE]\n\n");
  return text;
}

/* Feeds the first SIZE bytes of TEXT in pieces of random sizes.  */
static void
feed_in_pieces (struct bb_stream *s, GRand *rand, const GString *text,
                size_t size, GString *out)
{
  size_t at = 0;

  while (at < size)
    {
      size_t n = (size_t)g_rand_int_range (rand, 1, 60);
      struct bb_bytes piece = { .ptr = text->str + at };
      piece.size = (uint32_t)(n < size - at ? n : size - at);
      bb_stream_feed (s, piece, append_event, out);
      at += piece.size;
    }
}

/* Checks that OUT has the role once, each of TOKENS tokens once and in order,
   one closing event, and a usage event for a prompt of 3 and an answer of 40
   tokens.  */
static void
check_complete (const GString *out, uint32_t tokens)
{
  const char *at = out->str;
  char expected[32];

  g_assert_nonnull (strstr (at, "\"role\""));
  g_assert_null (strstr (strstr (at, "\"role\"") + 1, "\"role\""));
  for (uint32_t i = 0; i < tokens; i++)
    {
      g_snprintf (expected, sizeof expected, "\"content\":\"t%u\"", i);
      at = strstr (at, "\"content\"");
      g_assert_nonnull (at);
      g_assert_true (strncmp (at, expected, strlen (expected)) == 0);
      at += strlen (expected);
    }
  g_assert_null (strstr (at, "\"content\""));
  g_assert_nonnull (strstr (at, "\"completion_tokens\":40"));
  g_assert_nonnull (strstr (at, "\"total_tokens\":43"));
  at = strstr (at, "[DONE]");
  g_assert_nonnull (at);
  g_assert_null (strstr (at + 1, "[DONE]"));
}

/* A stream that is cut off at a random byte, up to three times, and continued
   by BB_RESUME_RESTART or BB_RESUME_CONTINUE reaches the caller complete.  */
static void
test_stream (void)
{
  enum
  {
    TOKENS = 40
  };
  for (uint32_t seed = 0; seed < 500; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      enum bb_resume how = seed % 2 ? BB_RESUME_CONTINUE : BB_RESUME_RESTART;
      GString *out = g_string_new ("");
      struct bb_stream s = { 0 };
      for (uint32_t cuts = seed % 4; !s.done; cuts--)
        {
          uint32_t from = how == BB_RESUME_CONTINUE ? s.tokens_sent : 0;
          GString *text = make_stream (from, TOKENS, (int)(TOKENS - from));
          size_t size = cuts > 0 ? (size_t)g_rand_int_range (rand, 0,
                                                             (gint32)text->len)
                                 : text->len;
          feed_in_pieces (&s, rand, text, size, out);
          g_string_free (text, TRUE);
          g_assert_false (s.broken);
          if (!s.done)
            bb_stream_resume (&s, how);
        }
      g_assert_cmpuint (s.tokens_sent, ==, TOKENS);
      check_complete (out, TOKENS);
      bb_stream_free (&s);
      g_string_free (out, TRUE);
      g_rand_free (rand);
    }
}

/* A repeated stream that ends before the tokens already sent cannot continue
   them.  */
static void
test_stream_broken (void)
{
  struct bb_stream s = { 0 };
  GRand *rand = g_rand_new_with_seed (1);
  GString *out = g_string_new ("");
  GString *text = make_stream (0, 10, -1);

  feed_in_pieces (&s, rand, text, text->len - 20, out);
  g_string_free (text, TRUE);
  bb_stream_resume (&s, BB_RESUME_RESTART);
  text = make_stream (0, 5, -1);
  feed_in_pieces (&s, rand, text, text->len, out);
  g_assert_true (s.broken);
  g_assert_null (strstr (out->str, "[DONE]"));
  g_string_free (text, TRUE);
  g_string_free (out, TRUE);
  g_rand_free (rand);
  bb_stream_free (&s);
}

/* Retries stay within what the first attempts and the reserve pay for, and
   what the first attempts pay for is granted.  */
static void
test_budget (void)
{
  for (uint32_t seed = 0; seed < 200; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      struct bb_retry_budget b;
      struct bb_retry_attempt a
          = { .idempotent = true, .attempts = 1, .remaining_ms = 1000 };
      uint64_t first_attempts = 0;
      uint64_t spent = 0;
      bb_ms now = 0;
      a.result.reason = BB_REASON_UPSTREAM_FAILED;
      bb_retry_budget_init (&b, now);
      for (uint32_t i = 0; i < 2000; i++)
        {
          now += g_rand_int_range (rand, 0, 20);
          if (g_rand_boolean (rand))
            {
              first_attempts++;
              bb_retry_budget_deposit (&b, now);
            }
          else
            {
              a.result.run
                  = g_rand_boolean (rand) ? BB_RUN_MAYBE_RUN : BB_RUN_NOT_RUN;
              if (bb_retry_allow (&b, &a))
                spent += a.result.run == BB_RUN_MAYBE_RUN ? 100 : 20;
            }
          /* In hundredths of a retry: the reserve, one retry for five first
             attempts, two retries per second.  */
          g_assert_cmpuint (spent, <=, 1000 + first_attempts * 20 + now / 5);
        }
      g_assert_cmpuint (spent, >=, first_attempts * 20);
      g_rand_free (rand);
    }
}

/* A request that may have run is not retried unless it is idempotent.  A retry
   also needs another upstream, a resumable answer where one has started, fewer
   than two crashes, and time.  */
static void
test_retry_rules (void)
{
  struct bb_retry_budget b;
  struct bb_retry_attempt a = { .attempts = 1, .remaining_ms = 1000 };

  bb_retry_budget_init (&b, 0);
  a.result.run = BB_RUN_NOT_RUN;
  a.result.reason = BB_REASON_OVERLOAD;
  g_assert_true (bb_retry_allow (&b, &a));
  a.upstream_tried = true;
  g_assert_false (bb_retry_allow (&b, &a));
  a.upstream_tried = false;
  a.result.run = BB_RUN_MAYBE_RUN;
  g_assert_false (bb_retry_allow (&b, &a));
  a.idempotent = true;
  g_assert_true (bb_retry_allow (&b, &a));
  a.answer_started = true;
  g_assert_false (bb_retry_allow (&b, &a));
  a.resumable = true;
  g_assert_true (bb_retry_allow (&b, &a));
  a.crashes = 2;
  g_assert_false (bb_retry_allow (&b, &a));
  a.crashes = 1;
  a.remaining_ms = 0;
  g_assert_false (bb_retry_allow (&b, &a));
}

/* The merged result says that a request did not run only if it ran in no
   attempt, and has the shortest delay.  */
static void
test_request_result_merge (void)
{
  struct bb_request_result all = { 0 };
  struct bb_request_result maybe_run
      = { .run = BB_RUN_MAYBE_RUN, .reason = BB_REASON_AGENT_LOST };
  struct bb_request_result not_run = { .run = BB_RUN_NOT_RUN,
                                       .reason = BB_REASON_OVERLOAD,
                                       .retry_after_ms = 700 };

  bb_request_result_merge (&all, &maybe_run);
  bb_request_result_merge (&all, &not_run);
  not_run.retry_after_ms = 900;
  bb_request_result_merge (&all, &not_run);
  g_assert_cmpuint (all.run, ==, BB_RUN_MAYBE_RUN);
  g_assert_cmpuint (all.reason, ==, BB_REASON_OVERLOAD);
  g_assert_cmpuint (all.retry_after_ms, ==, 700);
}

/* Ejection, trial and slow start of upstreams that refuse connections.  */
static void
test_health (void)
{
  struct bb_health h[4] = { 0 };
  struct bb_health_pool p = { .count = 4 };

  for (uint32_t i = 0; i < 4; i++)
    bb_health_failed (&h[i], &p, BB_REASON_UPSTREAM_REFUSED, 1000);
  /* No more than half of a pool is ejected.  */
  g_assert_cmpuint (p.ejected, ==, 2);
  g_assert_false (bb_health_usable (&h[0], 1400));
  g_assert_true (bb_health_usable (&h[2], 1400));
  /* Only one trial request is allowed; its answer ends the ejection and begins
     a slow start.  */
  g_assert_true (bb_health_usable (&h[0], 1500));
  bb_health_sent (&h[0], 1500);
  g_assert_false (bb_health_usable (&h[0], 1600));
  bb_health_ok (&h[0], &p, 1700);
  g_assert_cmpuint (p.ejected, ==, 1);
  g_assert_cmpuint (bb_health_ramp_percent (&h[0], 1700), ==, 10);
  g_assert_cmpuint (bb_health_ramp_percent (&h[0], 6700), ==, 100);
  /* A failed trial doubles the time to the next.  */
  bb_health_sent (&h[1], 1500);
  bb_health_failed (&h[1], &p, BB_REASON_UPSTREAM_REFUSED, 1600);
  g_assert_false (bb_health_usable (&h[1], 2500));
  g_assert_true (bb_health_usable (&h[1], 2600));
  g_assert_cmpuint (p.ejected, ==, 1);
}

enum
{
  ITEMS = 560,
  DOMAINS = 7,
  SUBSET_MAX = 48
};

static void
make_items (struct bb_subset_item *items, char names[][16], uint32_t count)
{
  static const char *const domains[DOMAINS]
      = { "a", "b", "c", "d", "e", "f", "g" };

  for (uint32_t i = 0; i < count; i++)
    {
      g_snprintf (names[i], 16, "u-%u", i);
      items[i].name = names[i];
      items[i].failure_domain = domains[i % DOMAINS];
    }
}

/* A subset is spread evenly over the failure domains, and the removal of one
   upstream changes at most one other choice.  */
static void
test_subset (void)
{
  static struct bb_subset_item items[ITEMS];
  static struct bb_subset_item fewer[ITEMS];
  static char names[ITEMS][16];
  uint32_t chosen_in_domain[DOMAINS] = { 0 };
  uint32_t changed = 0;

  make_items (items, names, ITEMS);
  make_items (fewer, names, ITEMS);
  bb_subset_choose (items, ITEMS, SUBSET_MAX, "entry-1");
  bb_subset_choose (fewer, ITEMS - 1, SUBSET_MAX, "entry-1");
  for (uint32_t i = 0; i < ITEMS; i++)
    chosen_in_domain[i % DOMAINS] += items[i].chosen ? 1 : 0;
  for (uint32_t i = 0; i < DOMAINS; i++)
    {
      g_assert_cmpuint (chosen_in_domain[i], >=, SUBSET_MAX / DOMAINS);
      g_assert_cmpuint (chosen_in_domain[i], <=, SUBSET_MAX / DOMAINS + 1);
    }
  for (uint32_t i = 0; i < ITEMS - 1; i++)
    changed += items[i].chosen != fewer[i].chosen ? 1 : 0;
  g_assert_cmpuint (changed, <=, 1);
  bb_subset_choose (items, 20, SUBSET_MAX, "entry-1");
  for (uint32_t i = 0; i < 20; i++)
    g_assert_true (items[i].chosen);
}

/* Reference implementation of the tiers of bb_route_choose.  */
static int
naive_tier (const struct bb_candidate *c)
{
  if (c->tried)
    return 2;
  return c->domain_tried ? 1 : 0;
}

/* The chosen upstream is in the best tier, and is never the most loaded of two
   or more that differ only in load.  */
static void
test_choice (void)
{
  for (uint32_t seed = 0; seed < 2000; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      struct bb_candidate c[12] = { 0 };
      uint32_t n = (uint32_t)g_rand_int_range (rand, 1, 13);
      int best_tier = 3;
      uint32_t chosen;
      for (uint32_t i = 0; i < n; i++)
        {
          c[i].own_in_flight = (uint32_t)g_rand_int_range (rand, 0, 40);
          c[i].limit = 32;
          c[i].ramp_percent = 100;
          c[i].domain_tried = g_rand_int_range (rand, 0, 3) == 0;
          c[i].tried = c[i].domain_tried && g_rand_boolean (rand);
          best_tier = MIN (best_tier, naive_tier (&c[i]));
        }
      chosen = bb_route_choose (c, n, rand);
      g_assert_cmpuint (chosen, <, n);
      g_assert_cmpint (naive_tier (&c[chosen]), ==, best_tier);
      for (uint32_t i = 0; i < n; i++)
        c[i] = (struct bb_candidate){ .own_in_flight = i,
                                      .limit = 32,
                                      .ramp_percent = 100 };
      if (n > 1)
        g_assert_cmpuint (bb_route_choose (c, n, rand), <, n - 1);
      g_rand_free (rand);
    }
}

/* The upstream that holds the prompt's prefix is chosen, unless its load is
   much higher than that of the others.  */
static void
test_prefix (void)
{
  struct bb_candidate c[4] = { 0 };
  struct bb_prefix_table *t = g_new0 (struct bb_prefix_table, 1);
  struct bb_prefix p = { 0 };
  struct bb_prefix longer = { 0 };
  GRand *rand = g_rand_new_with_seed (1);
  char *text = g_strnfill (1000, 'x');

  for (uint32_t i = 0; i < 4; i++)
    c[i] = (struct bb_candidate){ .limit = 32, .ramp_percent = 100 };
  c[3].holds_prefix = true;
  for (uint32_t i = 0; i < 100; i++)
    g_assert_cmpuint (bb_route_choose (c, 4, rand), ==, 3);
  c[3].own_in_flight = 4;
  g_assert_cmpuint (bb_route_choose (c, 4, rand), ==, 3);
  c[3].own_in_flight = 5;
  for (uint32_t i = 0; i < 100; i++)
    g_assert_cmpuint (bb_route_choose (c, 4, rand), !=, 3);
  bb_prefix_hash (&p, (struct bb_bytes){ .ptr = text, .size = 255 });
  g_assert_cmpuint (p.count, ==, 0);
  g_assert_cmpuint (bb_prefix_score (&p, 1), ==, 0);
  bb_prefix_hash (&p, (struct bb_bytes){ .ptr = text, .size = 600 });
  bb_prefix_hash (&longer, (struct bb_bytes){ .ptr = text, .size = 1000 });
  g_assert_cmpuint (p.count, ==, 2);
  g_assert_cmpuint (bb_prefix_find (t, &longer), ==, 0);
  bb_prefix_put (t, &p, 7);
  g_assert_cmpuint (bb_prefix_find (t, &longer), ==, 7);
  text[300] = 'y';
  bb_prefix_hash (&longer, (struct bb_bytes){ .ptr = text, .size = 1000 });
  g_assert_cmpuint (bb_prefix_find (t, &longer), ==, 0);
  g_assert_cmpuint (bb_prefix_score (&longer, 7), ==, bb_prefix_score (&p, 7));
  g_free (text);
  g_free (t);
  g_rand_free (rand);
}

/* Each entry gets an equal share, rounded up, of a fleet limit, and no more
   than its own limit.  */
static void
test_share (void)
{
  g_assert_cmpuint (bb_customer_share (10, 0, 4), ==, 10);
  g_assert_cmpuint (bb_customer_share (10, 8, 4), ==, 2);
  g_assert_cmpuint (bb_customer_share (10, 9, 4), ==, 3);
  g_assert_cmpuint (bb_customer_share (10, 1, 4), ==, 1);
  g_assert_cmpuint (bb_customer_share (10, 1000, 4), ==, 10);
  for (uint32_t limit = 1; limit < 200; limit++)
    for (uint32_t n = 1; n < 50; n++)
      {
        uint64_t share = bb_customer_share (1000, limit, n);
        g_assert_cmpuint (n * share, <, limit + n);
      }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/route/stream", test_stream);
  g_test_add_func ("/route/stream-broken", test_stream_broken);
  g_test_add_func ("/route/budget", test_budget);
  g_test_add_func ("/route/retry-rules", test_retry_rules);
  g_test_add_func ("/route/verdict-join", test_request_result_merge);
  g_test_add_func ("/route/health", test_health);
  g_test_add_func ("/route/subset", test_subset);
  g_test_add_func ("/route/choice", test_choice);
  g_test_add_func ("/route/prefix", test_prefix);
  g_test_add_func ("/route/share", test_share);
  return g_test_run ();
}
