/* Tests of bilberry-edge with real processes and replicas that send bytes
   without end: each caller gets a verdict before its deadline, others are
   served, and the memory of the edge is bounded.  */

#include "harness/testbed.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  DEADLINE_MS = 1500,        /* of orders and checks */
  STREAM_DEADLINE_MS = 2900, /* of streams */
  LARGE_DEADLINE_MS = 9000,  /* of requests that read large bodies */
  OTHERS_DEADLINE_MS = 500,  /* of callers of another pool */
  OTHERS_INTERVAL_MS = 20,
  REGISTERED_MS = 300,        /* time until an edge knows a new replica */
  MEMORY_MAX_KB = 160 * 1024, /* memory of the smallest VM */
  KINDS_MAX = 15
};

/* A test: WHEN-PACE of fake/replica/bytes.h, and the kinds of bytes.  */
struct play
{
  const char *path;
  const char *fault;
  const char *kinds[KINDS_MAX + 1];
};

#define HEADS "junk", "blank", "reason", "value", "headers"
#define INTERIM "interim"
#define BODIES "body", "length"
#define CHUNKS "chunks", "pieces"
#define EXTENSIONS "extension", "extensions", "trailers"
#define EVENTS "event"
#define LINES "lines"
#define ALL HEADS, INTERIM, BODIES, CHUNKS, EXTENSIONS, EVENTS, LINES

static const struct play plays[] = {
  { "/bytes/new-fast/heads", "new-fast", { HEADS } },
  { "/bytes/new-fast/interim", "new-fast", { INTERIM } },
  { "/bytes/new-fast/bodies", "new-fast", { BODIES } },
  { "/bytes/new-fast/chunks", "new-fast", { CHUNKS } },
  { "/bytes/new-fast/extensions", "new-fast", { EXTENSIONS } },
  { "/bytes/new-fast/event", "new-fast", { EVENTS } },
  { "/bytes/new-fast/lines", "new-fast", { LINES } },
  { "/bytes/new-slow/no-lines",
    "new-slow",
    { HEADS, INTERIM, BODIES, CHUNKS, EXTENSIONS, EVENTS } },
  { "/bytes/new-slow/lines", "new-slow", { LINES } },
  { "/bytes/kept-fast/no-stream",
    "kept-fast",
    { HEADS, INTERIM, BODIES, EXTENSIONS } },
  { "/bytes/kept-fast/chunks", "kept-fast", { CHUNKS } },
  { "/bytes/kept-fast/events", "kept-fast", { EVENTS, LINES } },
  { "/bytes/kept-slow/all", "kept-slow", { ALL } },
  { "/bytes/after-fast/all", "after-fast", { ALL } },
  { "/bytes/after-slow/all", "after-slow", { ALL } },
};

static const char stream_text[]
    = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
      "id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"
      "id: 5\ndata: piece 5\n\nid: 6\ndata: piece 6\n\n";

static const char route_text[]
    = ",{\"name\":\"o-%s\",\"host\":\"127.0.0.1\",\"prefix\":\"/order/%s/\","
      "\"route-kind\":\"non_idempotent\",\"service\":\"%s\",\"timeout-ms\":"
      "700,\"slo-ms\":150,\"max-attempts\":1,\"priority\":2},"
      "{\"name\":\"c-%s\",\"host\":\"127.0.0.1\",\"prefix\":\"/check/%s/\","
      "\"route-kind\":\"idempotent\",\"service\":\"%s\",\"timeout-ms\":2000,"
      "\"slo-ms\":150,\"max-attempts\":2,\"priority\":2},"
      "{\"name\":\"s-%s\",\"host\":\"127.0.0.1\",\"prefix\":\"/stream/%s/\","
      "\"route-kind\":\"streaming\",\"service\":\"%s\",\"timeout-ms\":3000,"
      "\"slo-ms\":400,\"max-attempts\":2,\"priority\":1,\"resumable\":true,"
      "\"itl-target-ms\":120}";

/* A request and how it ended.  */
struct request
{
  struct testbed *testbed;
  const char *kind; /* of the bytes of its replica */
  char type;        /* o: an order, c: a check, s: a stream, l: a large
                       body */
  bool must_be_whole;
  bool must_fail;
  char id[32];
  bool whole; /* the response is sound and complete */
  int status;
  bool complete;
  gint64 took_ms;
};

static gint64
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

/* Removes the empty lines after the first from each run of them.  */
static void
squeeze (char *text)
{
  char *out = text;
  uint32_t run = 0;

  for (const char *at = text; *at; at++)
    {
      run = *at == '\n' ? run + 1 : 0;
      if (run <= 2)
        *out++ = *at;
    }
  *out = '\0';
}

static bool
is_sound (const struct request *r, const struct http_response *a)
{
  if (a->status != 200 || !a->complete)
    return false;
  if (r->type == 's')
    {
      squeeze (a->body);
      return strcmp (a->body, stream_text) == 0;
    }
  return g_str_has_prefix (a->body, "answer of ") && a->body_size < 32;
}

static int
deadline_of (const struct request *r)
{
  return r->type == 's'   ? STREAM_DEADLINE_MS
         : r->type == 'l' ? LARGE_DEADLINE_MS
                          : DEADLINE_MS;
}

static void
send_request (struct request *r)
{
  const char *folder = r->type == 'o'   ? "order"
                       : r->type == 'c' ? "check"
                       : r->type == 'l' ? "large"
                                        : "stream";
  int deadline_ms = deadline_of (r);
  g_autofree char *path = g_strdup_printf ("/%s/%s/1", folder, r->kind);
  g_autofree char *headers
      = g_strdup_printf ("X-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n"
                         "Authorization: Bearer key-1\r\n",
                         r->id, deadline_ms);
  gint64 start_ms = now_ms ();
  struct http_response a = harness_http (
      r->testbed->edges[0].front_port, r->type == 'o' ? "POST" : "GET", path,
      headers, r->type == 'o' ? "body" : "");

  r->took_ms = now_ms () - start_ms;
  r->status = a.status;
  r->complete = a.complete;
  r->whole = is_sound (r, &a);
  http_response_free (&a);
}

static void
check_request (struct request *r)
{
  int deadline_ms = deadline_of (r);
  uint32_t runs = testbed_count_runs (r->testbed, r->id);

  g_test_message ("%s %s: status %d%s, %s, %d ms, runs %u", r->kind, r->id,
                  r->status, r->complete ? "" : " incomplete",
                  r->whole ? "sound" : "not sound", (int)r->took_ms, runs);
  g_assert_cmpint (r->took_ms, <, deadline_ms);
  if (r->must_be_whole)
    g_assert_true (r->whole);
  if (r->must_fail)
    g_assert_false (r->whole);
  /* What is not sound does not look so.  */
  if (!r->whole)
    g_assert_true (r->status >= 500 || !r->complete);
  if (r->type == 'o')
    g_assert_cmpuint (runs, <=, 1);
  if (r->status == 503)
    g_assert_cmpuint (runs, ==, 0);
}

static gpointer
request_thread (gpointer data)
{
  send_request (data);
  return NULL;
}

/* Sends the COUNT requests at REQUESTS at the same time and checks them.  */
static void
send_all (struct request *requests, uint32_t count)
{
  GThread *threads[3 * KINDS_MAX];

  for (uint32_t i = 0; i < count; i++)
    threads[i] = g_thread_new ("caller", request_thread, &requests[i]);
  for (uint32_t i = 0; i < count; i++)
    g_thread_join (threads[i]);
  for (uint32_t i = 0; i < count; i++)
    check_request (&requests[i]);
}

/* Callers of another pool.  */
struct others
{
  struct testbed *testbed;
  gint stop;
  uint32_t sent;
  uint32_t failed;
  gint64 longest_ms;
};

static gpointer
others_thread (gpointer data)
{
  struct others *o = data;
  g_autofree char *headers
      = g_strdup_printf ("X-Attempt-Id: other\r\nX-Deadline-Ms: %d\r\n"
                         "Authorization: Bearer key-1\r\n",
                         OTHERS_DEADLINE_MS);

  while (!g_atomic_int_get (&o->stop))
    {
      gint64 start_ms = now_ms ();
      struct http_response a = harness_http (o->testbed->edges[0].front_port,
                                             "GET", "/other/1", headers, "");
      gint64 took_ms = now_ms () - start_ms;
      o->sent++;
      if (a.status != 200 || took_ms >= OTHERS_DEADLINE_MS)
        o->failed++;
      if (took_ms > o->longest_ms)
        o->longest_ms = took_ms;
      http_response_free (&a);
      harness_sleep_ms (OTHERS_INTERVAL_MS);
    }
  return NULL;
}

static void
check_memory (struct testbed *t)
{
  g_autofree char *path
      = g_strdup_printf ("/proc/%d/status", (int)t->edges[0].pid);
  g_autofree char *status = NULL;
  const char *peak;

  g_assert_true (g_file_get_contents (path, &status, NULL, NULL));
  peak = strstr (status, "VmHWM:");
  g_assert_nonnull (peak);
  g_test_message ("peak memory: %d kB", atoi (peak + strlen ("VmHWM:")));
  g_assert_cmpint (atoi (peak + strlen ("VmHWM:")), <, MEMORY_MAX_KB);
}

/* Sends a request of each type of TYPES for each kind at the same time.  */
static void
send_round (struct testbed *t, const char *const *kinds, const char *types,
            const char *name, bool must_be_whole, bool must_fail)
{
  struct request requests[3 * KINDS_MAX] = { 0 };
  uint32_t n = 0;

  for (uint32_t k = 0; kinds[k]; k++)
    for (const char *type = types; *type; type++)
      {
        struct request *r = &requests[n++];
        r->testbed = t;
        r->kind = kinds[k];
        r->type = *type;
        r->must_be_whole = must_be_whole;
        r->must_fail = must_fail;
        g_snprintf (r->id, sizeof r->id, "%s-%c-%s", name, *type, kinds[k]);
      }
  send_all (requests, n);
}

static void
start_replicas (struct testbed *t, const char *const *kinds,
                const char *prefix, const char *fault)
{
  for (uint32_t k = 0; kinds[k]; k++)
    {
      g_autofree char *id = g_strdup_printf ("%s-%s", prefix, kinds[k]);
      g_autofree char *kind_fault
          = *fault ? g_strdup_printf ("%s:%s", fault, kinds[k])
                   : g_strdup ("");
      testbed_start_replica (t, id, kinds[k], kind_fault);
    }
}

static void
put_routes (struct testbed *t, const char *const *kinds)
{
  GString *routes = g_string_new ("");

  for (uint32_t k = 0; kinds[k]; k++)
    {
      const char *n = kinds[k];
      g_string_append_printf (routes, route_text, n, n, n, n, n, n, n, n, n);
    }
  testbed_put_config (t, 2, routes->str, "");
  g_string_free (routes, TRUE);
}

/* Plays replicas with the fault alone and beside sound ones.  */
static void
test_play (gconstpointer data)
{
  const struct play *p = data;
  const char *const *kinds = p->kinds;
  struct testbed t;
  struct others others = { .testbed = &t };
  bool is_new = g_str_has_prefix (p->fault, "new-");
  GThread *thread;

  testbed_init (&t);
  put_routes (&t, kinds);
  testbed_start_replica (&t, "sound", "other", "");
  start_replicas (&t, kinds, "bad", p->fault);
  testbed_start_edge (&t, 0);
  thread = g_thread_new ("others", others_thread, &others);
  if (g_str_has_prefix (p->fault, "kept-"))
    {
      send_round (&t, kinds, "c", "first", true, false);
      send_round (&t, kinds, "c", "kept", false, false);
      send_round (&t, kinds, "o", "new", true, false);
      send_round (&t, kinds, "c", "again", false, false);
      send_round (&t, kinds, "s", "stream", false, false);
    }
  else
    send_round (&t, kinds, "ocs", "alone", !is_new, is_new);
  start_replicas (&t, kinds, "good", "");
  harness_sleep_ms (REGISTERED_MS);
  send_round (&t, kinds, "cs", "beside", true, false);
  send_round (&t, kinds, "cs", "repeat", true, false);
  g_atomic_int_set (&others.stop, 1);
  g_thread_join (thread);
  g_test_message ("others: %u of %u failed, the longest took %d ms",
                  others.failed, others.sent, (int)others.longest_ms);
  g_assert_cmpuint (others.failed, ==, 0);
  check_memory (&t);
  testbed_free (&t);
}

/* An event without end is given up when it is too large, not when its upstream
   has been silent for too long.  */
static void
test_event_max (void)
{
  struct testbed t;
  char *log;

  testbed_init (&t);
  testbed_start_replica (&t, "bad", "app", "new-fast:event");
  testbed_start_edge (&t, 0);
  testbed_check_status (&t, "GET", "/stream/1", "s1", 502);
  log = testbed_read_log (&t, "edge-0");
  g_assert_nonnull (strstr (log, "\"how\":\"an event is too large\""));
  g_assert_null (strstr (log, "\"how\":\"silent\""));
  g_free (log);
  testbed_free (&t);
}

/* Bodies without end of many requests at a time, which are read until they are
   too large, do not exhaust the memory.  */
static void
test_memory (void)
{
  static const char route[]
      = ",{\"name\":\"large\",\"host\":\"127.0.0.1\",\"prefix\":"
        "\"/large/\",\"route-kind\":\"non_idempotent\",\"service\":"
        "\"app\",\"timeout-ms\":10000,\"slo-ms\":150,"
        "\"max-attempts\":1,\"priority\":1}";
  enum
  {
    REPLICAS = 3,
    CALLERS = 24 /* as many as the upstreams take at a time */
  };
  GThread *threads[CALLERS];
  struct request requests[CALLERS] = { 0 };
  struct testbed t;

  testbed_init (&t);
  testbed_put_config (&t, 2, route, "");
  for (uint32_t i = 0; i < REPLICAS; i++)
    {
      g_autofree char *id = g_strdup_printf ("bad-%u", i);
      testbed_start_replica (&t, id, "app", "new-fast:length");
    }
  testbed_start_edge (&t, 0);
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      requests[i] = (struct request){
        .testbed = &t, .type = 'l', .kind = "length", .must_fail = true
      };
      g_snprintf (requests[i].id, sizeof requests[i].id, "l%u", i);
      threads[i] = g_thread_new ("caller", request_thread, &requests[i]);
    }
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      g_thread_join (threads[i]);
      check_request (&requests[i]);
      g_assert_cmpint (requests[i].status, ==, 502);
    }
  check_memory (&t);
  testbed_free (&t);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  /* Freed memory counts where the sanitizer keeps it.  */
  g_setenv ("ASAN_OPTIONS", "quarantine_size_mb=1", FALSE);
  /* A run tells of all requests that fail.  */
  g_test_set_nonfatal_assertions ();
  for (size_t i = 0; i < G_N_ELEMENTS (plays); i++)
    g_test_add_data_func (plays[i].path, &plays[i], test_play);
  g_test_add_func ("/bytes/memory", test_memory);
  g_test_add_func ("/bytes/event-max", test_event_max);
  return g_test_run ();
}
