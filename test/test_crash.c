/* Tests of bilberry-edge with requests that end the replicas that run them.
   Fake replicas are down for 300 ms after each crash.  */

#include "harness/testbed.h"

#include "bilberry/base.h"

#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum
{
  EDGES = 3,
  REPLICAS = 6,
  /* Replicas that a request may end before it is refused everywhere.  */
  ENDED_MAX = 2,
  DOWN_MS = 300,    /* how long a fake replica is down */
  SPREAD_MS = 100,  /* time until all edges know of a crash */
  CONNECT_MS = 1000 /* time until a process is connected to its peers */
};

static void
start_with (struct testbed *t, uint32_t edges, uint32_t replicas,
            const char *fault)
{
  testbed_init (t);
  for (uint32_t i = 0; i < replicas; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%u", i);
      testbed_start_replica (t, id, "app", fault);
    }
  for (uint32_t i = 0; i < edges; i++)
    testbed_start_edge (t, 0);
}

static void
start (struct testbed *t)
{
  start_with (t, EDGES, REPLICAS, "");
}

/* Sends GET PATH to edge E and returns the status of the response.  */
static int
get_status (struct testbed *t, uint32_t e, const char *path)
{
  struct http_response a = testbed_request (t, e, "GET", path, "c1", "key-1");
  int status = a.status;

  http_response_free (&a);
  return status;
}

/* Sends PATH, which ends replicas, to the edges in turn until COUNT requests
   were sent.  Each comes when all replicas are up again.  */
static void
send_in_turn (struct testbed *t, const char *path, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      get_status (t, i % t->edges_count, path);
      harness_sleep_ms (DOWN_MS + SPREAD_MS);
    }
}

/* A request under which servers ended is sent to further servers, as its
   caller repeats it at each edge.  */
static void
test_sent_on (void)
{
  struct testbed t;

  start (&t);
  send_in_turn (&t, "/check/crash", 3 * EDGES);
  g_assert_cmpuint (testbed_count_ended (&t), <=, ENDED_MAX);
  for (uint32_t e = 0; e < EDGES; e++)
    g_assert_cmpint (get_status (&t, e, "/check/1"), ==, 200);
  testbed_free (&t);
}

/* Sends the request that ends replicas until it is quarantined.  */
static void
quarantine (struct testbed *t)
{
  send_in_turn (t, "/check/crash", 1);
  g_assert_cmpint (get_status (t, 0, "/check/crash"), ==, 429);
}

/* Sends the quarantined request to edge E: it must be refused, and run
   nowhere.  */
static void
check_refused (struct testbed *t, uint32_t e)
{
  uint32_t ended = testbed_count_ended (t);

  g_assert_cmpint (get_status (t, e, "/check/crash"), ==, 429);
  g_assert_cmpuint (testbed_count_ended (t), ==, ended);
}

/* An order that ends servers runs once for each request of its caller, and
   then is refused with the promise that it did not run, for as long as the
   quarantine lasts.  */
static void
test_order (void)
{
  struct testbed t;
  struct http_response a;
  const char *after;

  start (&t);
  for (uint32_t i = 0; i < ENDED_MAX; i++)
    {
      a = testbed_request (&t, i, "POST", "/order/crash", "o1", "key-1");
      g_assert_cmpint (a.status, ==, 502);
      http_response_free (&a);
      harness_sleep_ms (DOWN_MS + SPREAD_MS);
    }
  a = testbed_request (&t, 2, "POST", "/order/crash", "o2", "key-1");
  g_assert_cmpint (a.status, ==, 429);
  after = strstr (a.headers, "Retry-After: ");
  g_assert_nonnull (after);
  g_assert_cmpint (atoi (after + strlen ("Retry-After: ")), >, 3500);
  http_response_free (&a);
  g_assert_cmpuint (testbed_count_ended (&t), ==, ENDED_MAX);
  g_assert_cmpuint (testbed_count_runs (&t, "o2"), ==, 0);
  testbed_free (&t);
}

/* Harmless requests that are in flight beside one that ends replicas.  */
struct innocent
{
  pthread_t thread;
  struct testbed *t;
  uint32_t edge;
  char path[32];
  int status;
};

static void *
send_innocent (void *arg)
{
  struct innocent *i = arg;

  i->status = get_status (i->t, i->edge, i->path);
  return NULL;
}

/* Starts to send COUNT harmless requests to the edges in turn, and waits until
   all are in flight.  */
static void
start_innocents (struct testbed *t, struct innocent *all, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      all[i].t = t;
      all[i].edge = i % t->edges_count;
      g_snprintf (all[i].path, sizeof all[i].path, "/stream/slow-%u", i);
      pthread_create (&all[i].thread, NULL, send_innocent, &all[i]);
    }
  harness_sleep_ms (SPREAD_MS);
}

static void
join_innocents (struct innocent *all, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    pthread_join (all[i].thread, NULL);
}

/* Two harmless requests are in flight at each replica, from different edges,
   when one that ends replicas comes.  All are answered, and none is refused
   when it is repeated.  */
static void
test_innocents (void)
{
  enum
  {
    COUNT = 2 * REPLICAS
  };
  struct innocent all[COUNT];
  struct testbed t;

  start (&t);
  start_innocents (&t, all, COUNT);
  get_status (&t, 0, "/stream/crash");
  join_innocents (all, COUNT);
  for (uint32_t i = 0; i < COUNT; i++)
    g_assert_cmpint (all[i].status, ==, 200);
  for (uint32_t i = 0; i < COUNT; i++)
    g_assert_cmpint (get_status (&t, all[i].edge, all[i].path), ==, 200);
  g_assert_cmpint (get_status (&t, 1, "/stream/crash"), ==, 429);
  g_assert_cmpuint (testbed_count_ended (&t), <=, ENDED_MAX);
  testbed_free (&t);
}

/* With one of two replicas down, the requests that were in flight at the crash
   are sent to the other one after the other, so that no harmless one is in
   flight at a second crash and refused later.  */
static void
test_isolated (void)
{
  enum
  {
    COUNT = 4
  };
  struct innocent all[COUNT];
  struct testbed t;

  start_with (&t, 1, 2, "");
  start_innocents (&t, all, COUNT);
  get_status (&t, 0, "/stream/crash");
  join_innocents (all, COUNT);
  g_assert_cmpuint (testbed_count_ended (&t), <=, ENDED_MAX);
  /* Until no replica is ejected any more.  */
  g_assert_true (testbed_await_status (&t, 0, "/check/1", "key-1", 200));
  for (uint32_t i = 0; i < COUNT; i++)
    g_assert_cmpint (get_status (&t, 0, all[i].path), ==, 200);
  testbed_free (&t);
}

/* All edges are killed at once.  An agent still knows the quarantine and tells
   the edge that it connects to.  */
static void
test_edges_killed (void)
{
  struct testbed t;

  start (&t);
  testbed_start_rank (&t, 0);
  harness_sleep_ms (2 * CONNECT_MS);
  quarantine (&t);
  for (uint32_t e = 0; e < EDGES; e++)
    testbed_kill_edge (&t, e);
  for (uint32_t e = 0; e < EDGES; e++)
    testbed_restart_edge (&t, e);
  harness_sleep_ms (2 * CONNECT_MS);
  for (uint32_t e = 0; e < EDGES; e++)
    check_refused (&t, e);
  testbed_free (&t);
}

/* An edge is frozen while a request is quarantined.  */
static void
test_frozen_edge (void)
{
  struct testbed t;

  start (&t);
  harness_signal (t.harness, t.edges[2].pid, SIGSTOP);
  quarantine (&t);
  /* Its peers close their connections to it.  */
  harness_sleep_ms (2 * CONNECT_MS);
  harness_signal (t.harness, t.edges[2].pid, SIGCONT);
  harness_sleep_ms (CONNECT_MS);
  check_refused (&t, 2);
  testbed_free (&t);
}

/* An edge that starts later learns of a quarantine.  */
static void
test_late_edge (void)
{
  struct testbed t;

  start (&t);
  quarantine (&t);
  testbed_start_edge (&t, 0);
  harness_sleep_ms (CONNECT_MS);
  check_refused (&t, EDGES);
  testbed_free (&t);
}

/* Replicas that run a request and lose the response are up: the request is not
   quarantined.  */
static void
test_lost_responses (void)
{
  struct testbed t;

  start_with (&t, EDGES, 3, "reset");
  for (uint32_t i = 0; i < 3 * EDGES; i++)
    {
      g_assert_cmpint (get_status (&t, i % EDGES, "/check/1"), ==, 502);
      harness_sleep_ms (SPREAD_MS);
    }
  for (uint32_t e = 0; e < EDGES; e++)
    g_assert_cmpuint (harness_counter (t.edges[e].metrics_port,
                                       "bilberry_upstream_crashes_total", ""),
                      ==, 0);
  testbed_free (&t);
}

/* Returns the value of the field NAME in the first line of EVENT in the log of
   edge E; freed by the caller.  */
static char *
logged_field (struct testbed *t, uint32_t e, const char *event,
              const char *name)
{
  g_autofree char *process = g_strdup_printf ("edge-%u", e);
  g_autofree char *log = testbed_read_log (t, process);
  g_autofree char *line_start = g_strdup_printf ("\"event\":\"%s\"", event);
  g_autofree char *field = g_strdup_printf ("\"%s\":\"", name);
  const char *at = strstr (log, line_start);

  g_assert_nonnull (at);
  at = strstr (at, field);
  g_assert_nonnull (at);
  at += strlen (field);
  return g_strndup (at, strcspn (at, "\""));
}

/* The logs of two edges show that a caller has repeated a request, although
   each repeat has its own id.  */
static void
test_same_in_logs (void)
{
  struct testbed t;
  g_autofree char *first = NULL;
  g_autofree char *repeat = NULL;
  g_autofree char *other = NULL;

  start (&t);
  get_status (&t, 0, "/check/1");
  get_status (&t, 1, "/check/1");
  get_status (&t, 2, "/check/2");
  first = logged_field (&t, 0, "send", "fingerprint");
  repeat = logged_field (&t, 1, "send", "fingerprint");
  other = logged_field (&t, 2, "send", "fingerprint");
  g_assert_cmpstr (first, ==, repeat);
  g_assert_cmpstr (first, !=, other);
  testbed_free (&t);
}

enum
{
  STABILITY_MS = 3000,  /* stability-window-ms of the platform */
  FREE_CRASHES = 5,     /* crashes of a part after which the bound counts */
  LATE_REACHED_MAX = 3, /* requests with the part that may reach replicas later
                           than STABILITY_MS after them */
  PART_REQUESTS = 30,
  PART_INTERVAL_MS = 200,
  KILL_EVERY = 6 /* requests from one kill of an edge to the next */
};

/* Requests with a part that ends replicas, and sound ones that share its
   caller, route and first part with them.  */
struct part_run
{
  struct testbed t;
  uint32_t sent;
  bb_ms fifth_ms;      /* when the bound began to count; 0: not yet */
  uint32_t at_bound;   /* replicas ended by then and in STABILITY_MS more */
  uint32_t sound_sent; /* later than 2 * STABILITY_MS after the last crash */
  uint32_t sound_answered;
};

static int
send_parts (struct part_run *p, uint32_t e, const char *parts)
{
  g_autofree char *path = g_strdup_printf ("/stream/%u", p->sent);
  g_autofree char *headers = g_strdup_printf (
      "X-Attempt-Id: p%u\r\nX-Deadline-Ms: 1500\r\n"
      "Authorization: Bearer key-1\r\nX-Prefix-Hash: %s,%x:30\r\n",
      p->sent, parts, 0x5000 + p->sent);
  struct http_response a
      = harness_http (p->t.edges[e].front_port, "GET", path, headers, "");
  int status = a.complete ? a.status : 0;

  p->sent++;
  http_response_free (&a);
  return status;
}

/* Notes how many replicas have ended since the bound began to count.  */
static void
update_bound (struct part_run *p)
{
  uint32_t ended = testbed_count_ended (&p->t);
  bb_ms now = bb_clock_now ();

  if (p->fifth_ms == 0 && ended >= FREE_CRASHES)
    p->fifth_ms = now;
  if (p->fifth_ms == 0 || now - p->fifth_ms <= STABILITY_MS)
    p->at_bound = ended;
}

/* Sends requests with the part to edge E and a sound one beside each.  */
static void
send_pair (struct part_run *p, uint32_t e)
{
  bool counts = p->sent / 2 > PART_REQUESTS / 2;
  int status;

  send_parts (p, e, "a1:40,dead:100");
  update_bound (p);
  status = send_parts (p, e, p->sent % 4 == 1 ? "a1:40,b2:50" : "a1:40");
  if (counts)
    {
      p->sound_sent++;
      p->sound_answered += status == 200;
    }
  harness_sleep_ms (PART_INTERVAL_MS);
}

static void
check_part_run (struct part_run *p)
{
  uint32_t ended = testbed_count_ended (&p->t);

  g_test_message ("%u ended, %u of them late, %u of %u sound ones answered",
                  ended, ended - p->at_bound, p->sound_answered,
                  p->sound_sent);
  g_assert_cmpuint (ended - p->at_bound, <=, LATE_REACHED_MAX);
  g_assert_cmpuint (p->sound_answered, ==, p->sound_sent);
}

/* Requests that are no two alike share a part that ends replicas, and come at
   any edge.  The others with the same first part are served.  */
static void
test_shared_part (void)
{
  struct part_run p = { 0 };

  start (&p.t);
  for (uint32_t i = 0; i < PART_REQUESTS; i++)
    send_pair (&p, i % EDGES);
  check_part_run (&p);
  testbed_free (&p.t);
}

/* The same, while the edges are killed in turn.  */
static void
test_shared_part_edges_killed (void)
{
  struct part_run p = { 0 };
  uint32_t killed = EDGES;

  start (&p.t);
  for (uint32_t i = 0; i < PART_REQUESTS; i++)
    {
      uint32_t e = i % EDGES;
      if (i % KILL_EVERY == KILL_EVERY - 1)
        {
          if (killed < EDGES)
            testbed_restart_edge (&p.t, killed);
          killed = i / KILL_EVERY % EDGES;
          testbed_kill_edge (&p.t, killed);
        }
      send_pair (&p, e == killed ? (e + 1) % EDGES : e);
    }
  check_part_run (&p);
  testbed_free (&p.t);
}

/* The same at replicas whose responses have neither a length nor chunks, so
   that one that is cut off by the end of its replica looks complete.  */
static void
test_shared_part_unframed (void)
{
  struct part_run p = { 0 };

  start_with (&p.t, EDGES, REPLICAS, "unframed");
  for (uint32_t i = 0; i < PART_REQUESTS; i++)
    send_pair (&p, i % EDGES);
  check_part_run (&p);
  testbed_free (&p.t);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/crash/sent-on", test_sent_on);
  g_test_add_func ("/crash/order", test_order);
  g_test_add_func ("/crash/innocents", test_innocents);
  g_test_add_func ("/crash/isolated", test_isolated);
  g_test_add_func ("/crash/edges-killed", test_edges_killed);
  g_test_add_func ("/crash/frozen-edge", test_frozen_edge);
  g_test_add_func ("/crash/late-edge", test_late_edge);
  g_test_add_func ("/crash/lost-responses", test_lost_responses);
  g_test_add_func ("/crash/same-in-logs", test_same_in_logs);
  g_test_add_func ("/crash/shared-part", test_shared_part);
  g_test_add_func ("/crash/shared-part-edges-killed",
                   test_shared_part_edges_killed);
  g_test_add_func ("/crash/shared-part-unframed", test_shared_part_unframed);
  return g_test_run ();
}
