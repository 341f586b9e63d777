/* Tests of bilberry-edge with upstreams that name in their answers how many
   requests a second they take from all edges together.  */

#include "harness/testbed.h"

#include "bilberry/base.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Rule of the platform: in any window an upstream gets no more than one and
     a half times what its limit allows, and some more, from edges that have
     passed on an answer with the limit half a second before or earlier.  */
  WINDOW_MS = 4000,
  EXTRA_REQUESTS = 5,
  TOLD_MS = 500,
  /* From when on it must hold after the limit was first named; the platform
     allows three seconds.  */
  SETTLED_MS = 1000,

  REFUSED_AT_ONCE_MS = 100,
  PAUSE_MS = 5,
  EDGES = 9
};

static void
set_limit (struct testbed *t, uint32_t r, const char *limit)
{
  g_autofree char *path = g_strdup_printf ("/limit/%s", limit);
  struct http_response a
      = harness_http (t->replica_ports[r], "GET", path, "", "");

  g_assert_cmpint (a.status, ==, 200);
  http_response_free (&a);
}

/* How many requests were answered and refused, and the longest time that a
   refusal took.  */
struct counts
{
  uint32_t ok;
  uint32_t refused; /* with status 503 and Retry-After */
  uint32_t other;
  bb_ms refusal_ms;
};

static void
send_one (struct testbed *t, uint32_t e, const char *path, const char *id,
          struct counts *c)
{
  bb_ms start = bb_clock_now ();
  struct http_response a = testbed_request (t, e, "GET", path, id, "key-1");

  if (a.status == 200)
    c->ok++;
  else if (a.status == 503 && strstr (a.headers, "Retry-After: "))
    {
      c->refused++;
      c->refusal_ms = MAX (c->refusal_ms, bb_clock_now () - start);
    }
  else
    c->other++;
  http_response_free (&a);
}

/* Sends requests to the first EDGES edges in turn for FOR_MS.  Their ids begin
   with the number of their edge.  */
static struct counts
send_to_all (struct testbed *t, uint32_t edges, const char *path, bb_ms for_ms)
{
  static uint32_t number;
  struct counts c = { 0 };
  bb_ms end = bb_clock_now () + for_ms;

  while (bb_clock_now () < end)
    {
      uint32_t e = number % edges;
      g_autofree char *id = g_strdup_printf ("%u-%u", e, number++);
      send_one (t, e, path, id, &c);
      harness_sleep_ms (PAUSE_MS);
    }
  return c;
}

/* A request that reached a replica.  */
struct arrival
{
  uint32_t edge;
  bb_ms at_ms;
};

/* Returns the requests that reached replica R since it first named a limit.
 */
static GArray *
read_arrivals (struct testbed *t, uint32_t r)
{
  struct http_response a
      = harness_http (t->replica_ports[r], "GET", "/ran", "", "");
  GArray *arrivals = g_array_new (FALSE, FALSE, sizeof (struct arrival));

  for (const char *at = a.body; (at = strstr (at, "reached ")); at++)
    {
      const char *time = strstr (at, " at ");
      struct arrival x;
      g_assert_nonnull (time);
      x.edge = (uint32_t)strtoul (at + strlen ("reached "), NULL, 10);
      x.at_ms = strtoll (time + strlen (" at "), NULL, 10);
      g_array_append_val (arrivals, x);
    }
  http_response_free (&a);
  return arrivals;
}

/* Returns the largest number of requests that reached replica R in a window
   that begins at FROM_MS or later, from edges that it had told.  */
static uint32_t
largest_window (struct testbed *t, uint32_t r, bb_ms from_ms)
{
  g_autoptr (GArray) arrivals = read_arrivals (t, r);
  bb_ms told_ms[TESTBED_MAX] = { 0 };
  uint32_t most = 0;

  for (guint i = 0; i < arrivals->len; i++)
    {
      struct arrival *x = &g_array_index (arrivals, struct arrival, i);
      if (told_ms[x->edge] == 0)
        told_ms[x->edge] = x->at_ms + TOLD_MS;
      if (x->at_ms < told_ms[x->edge] || x->at_ms < from_ms)
        x->at_ms = -1;
    }
  for (guint i = 0; i < arrivals->len; i++)
    {
      bb_ms start = g_array_index (arrivals, struct arrival, i).at_ms;
      uint32_t n = 0;
      if (start < 0)
        continue;
      for (guint k = i; k < arrivals->len; k++)
        {
          bb_ms at = g_array_index (arrivals, struct arrival, k).at_ms;
          n += at >= start && at < start + WINDOW_MS;
        }
      most = MAX (most, n);
    }
  g_test_message ("replica %u: %u requests in %u ms at most", r, most,
                  WINDOW_MS);
  return most;
}

/* Asserts that replica R, which named LIMIT at NAMED_MS, got no more from a
   little later on.  */
static void
check_limit (struct testbed *t, uint32_t r, bb_ms named_ms, double limit)
{
  uint32_t allowed
      = (uint32_t)(1.5 * limit * WINDOW_MS / 1000) + EXTRA_REQUESTS;

  g_assert_cmpuint (largest_window (t, r, named_ms + SETTLED_MS), <=, allowed);
}

static void
start_edges (struct testbed *t, uint32_t n)
{
  for (uint32_t e = 0; e < n; e++)
    testbed_start_edge (t, 0);
  harness_sleep_ms (500);
}

/* One of two upstreams of PATH names LIMIT; the other one serves the rest.  */
static void
check_one (const char *pool, const char *path, uint32_t edges,
           const char *limit)
{
  struct testbed t;
  struct counts c;
  bb_ms start;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", pool, "");
  testbed_start_replica (&t, "i-2", pool, "");
  start_edges (&t, edges);
  set_limit (&t, 0, limit);
  start = bb_clock_now ();
  c = send_to_all (&t, edges, path, SETTLED_MS + 2 * (bb_ms)WINDOW_MS);
  g_test_message ("%u answered, %u refused, %u other", c.ok, c.refused,
                  c.other);
  g_assert_cmpuint (c.refused + c.other, ==, 0);
  check_limit (&t, 0, start, g_ascii_strtod (limit, NULL));
  testbed_free (&t);
}

static void
test_one_edge (void)
{
  check_one ("app", "/check/1", 1, "2.5");
}

static void
test_many_edges (void)
{
  check_one ("app", "/check/1", EDGES, "0.5");
}

static void
test_group (void)
{
  check_one ("draft", "/draft/1", 3, "2");
}

/* One of two upstreams turns requests away and names a limit in its refusals;
   they are served by the other one.  Tries of a request that go there later
   count too.  */
static void
test_retries (void)
{
  struct testbed t;
  struct counts c;
  bb_ms start;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "not-run");
  testbed_start_replica (&t, "i-2", "app", "fail");
  testbed_start_replica (&t, "i-3", "app", "");
  start_edges (&t, 3);
  set_limit (&t, 0, "1");
  set_limit (&t, 1, "2");
  start = bb_clock_now ();
  c = send_to_all (&t, 3, "/check/1", SETTLED_MS + 2 * (bb_ms)WINDOW_MS);
  g_test_message ("%u answered, %u refused, %u other", c.ok, c.refused,
                  c.other);
  g_assert_cmpuint (c.ok, >, 9 * (uint64_t)(c.refused + c.other));
  check_limit (&t, 0, start, 1);
  check_limit (&t, 1, start, 2);
  testbed_free (&t);
}

/* All upstreams name a limit: what they do not take is refused at once, and
   what they take is served.  */
static void
test_all (void)
{
  enum
  {
    FEW_EDGES = 3
  };
  struct testbed t;
  struct counts c;
  bb_ms start;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_replica (&t, "i-2", "app", "");
  start_edges (&t, FEW_EDGES);
  set_limit (&t, 0, "1");
  set_limit (&t, 1, "1.5");
  start = bb_clock_now ();
  send_to_all (&t, FEW_EDGES, "/check/1", SETTLED_MS);
  c = send_to_all (&t, FEW_EDGES, "/check/1", 2 * (bb_ms)WINDOW_MS);
  g_test_message ("%u answered, %u refused after %d ms at most, %u other",
                  c.ok, c.refused, (int)c.refusal_ms, c.other);
  check_limit (&t, 0, start, 1);
  check_limit (&t, 1, start, 1.5);
  g_assert_cmpuint (c.other, ==, 0);
  g_assert_cmpuint (c.refused, >, 0);
  g_assert_cmpint (c.refusal_ms, <=, REFUSED_AT_ONCE_MS);
  /* 2.5 a second are taken; three quarters of that must be used.  */
  g_assert_cmpuint (c.ok, >=, (uint32_t)(2.5 * 0.75 * 2 * WINDOW_MS / 1000));
  testbed_free (&t);
}

/* A limit is raised, and lowered again; each value holds as long as it is
   named.  */
static void
test_changes (void)
{
  struct testbed t;
  struct counts c;
  bb_ms lowered;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  start_edges (&t, 2);
  set_limit (&t, 0, "1");
  send_to_all (&t, 2, "/check/1", 2 * (bb_ms)SETTLED_MS);
  set_limit (&t, 0, "20");
  send_to_all (&t, 2, "/check/1", 2 * (bb_ms)SETTLED_MS);
  c = send_to_all (&t, 2, "/check/1", WINDOW_MS);
  g_test_message ("%u answered at 20 a second", c.ok);
  g_assert_cmpuint (c.ok, >=, 20 * 0.75 * WINDOW_MS / 1000);
  set_limit (&t, 0, "1");
  lowered = bb_clock_now ();
  send_to_all (&t, 2, "/check/1", SETTLED_MS + WINDOW_MS);
  check_limit (&t, 0, lowered, 1);
  testbed_free (&t);
}

/* Once an upstream names no limit any more, it gets all requests again.  */
static void
test_ends (void)
{
  struct testbed t;
  struct counts c;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  start_edges (&t, 2);
  set_limit (&t, 0, "1");
  c = send_to_all (&t, 2, "/check/1", 2 * (bb_ms)SETTLED_MS);
  g_assert_cmpuint (c.refused, >, 0);
  set_limit (&t, 0, "");
  send_to_all (&t, 2, "/check/1", 3 * (bb_ms)SETTLED_MS);
  c = send_to_all (&t, 2, "/check/1", SETTLED_MS);
  g_assert_cmpuint (c.refused + c.other, ==, 0);
  testbed_free (&t);
}

/* An edge that starts joins in the limit that the others keep.  The edge that
   is killed counts only for what it sends after it was told again.  */
static void
test_edge_starts (void)
{
  enum
  {
    FEW_EDGES = 4
  };
  struct testbed t;
  bb_ms start;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_replica (&t, "i-2", "app", "");
  start_edges (&t, FEW_EDGES);
  set_limit (&t, 0, "1.5");
  start = bb_clock_now ();
  send_to_all (&t, FEW_EDGES, "/check/1", SETTLED_MS);
  for (uint32_t e = 0; e < FEW_EDGES; e++)
    {
      testbed_kill_edge (&t, e);
      testbed_restart_edge (&t, e);
      send_to_all (&t, FEW_EDGES, "/check/1", 2 * (bb_ms)SETTLED_MS);
    }
  check_limit (&t, 0, start, 1.5);
  testbed_free (&t);
}

/* Values that are no limit say nothing.  */
static void
test_unreadable (void)
{
  static const char *const values[]
      = { "-1", "nan", "inf", "1e9", "0x10", "1,5", "many" };
  struct testbed t;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  start_edges (&t, 1);
  for (uint32_t i = 0; i < G_N_ELEMENTS (values); i++)
    {
      struct counts c;
      g_test_message ("%s", values[i]);
      set_limit (&t, 0, values[i]);
      c = send_to_all (&t, 1, "/check/1", 300);
      g_assert_cmpuint (c.refused + c.other, ==, 0);
    }
  testbed_free (&t);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/capped/one-edge", test_one_edge);
  g_test_add_func ("/capped/many-edges", test_many_edges);
  g_test_add_func ("/capped/group", test_group);
  g_test_add_func ("/capped/retries", test_retries);
  g_test_add_func ("/capped/all", test_all);
  g_test_add_func ("/capped/changes", test_changes);
  g_test_add_func ("/capped/ends", test_ends);
  g_test_add_func ("/capped/edge-starts", test_edge_starts);
  g_test_add_func ("/capped/unreadable", test_unreadable);
  return g_test_run ();
}
