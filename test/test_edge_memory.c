/* Tests of what an edge holds in memory for callers and upstreams, over whole
   processes: it stays below the memory of the smallest VM, and what does not
   fit is refused, with the truth about whether it has run.  */

#include "harness/upstream.h"

#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  MEMORY_MAX_KB = 160 * 1024, /* memory-mb of the testbed's edges */
  BODY_BYTES = 4 * 1024 * 1024 - 1,
  KEPT = 90,
  BURST = 70,
  READERS = 40,
  FEW = 4, /* callers whose bodies or answers fit at the same time */
  RETURN_MAX_MS = 15000,
  POLL_MS = 100,
  ANSWER_BYTES = 8 * 1024 * 1024, /* more than the kernel's buffers hold */
  EVENT_MS = 70,
  READ_MAX_MS = 20000,
  READER_PAUSE_MS = 250,
  READER_STEP_BYTES = 1024 * 1024
};

static const char routes[]
    = ",{\"name\":\"fixed\",\"host\":\"127.0.0.1\",\"prefix\":"
      "\"/stream/fixed/\",\"route-kind\":\"streaming\",\"service\":\"app\","
      "\"timeout-ms\":9000,\"slo-ms\":400,\"max-attempts\":1,\"priority\":1},"
      "{\"name\":\"big\",\"host\":\"127.0.0.1\",\"prefix\":\"/check/big/\","
      "\"route-kind\":\"idempotent\",\"service\":\"app\",\"timeout-ms\":"
      "9000,\"slo-ms\":3000,\"max-attempts\":1,\"priority\":1}";

struct bed
{
  struct testbed t;
  struct upstream *upstream;
};

struct caller
{
  struct bed *bed;
  const char *path;
  bool chunked; /* its body */
  bool slow;    /* it reads with pauses */
  uint32_t body_bytes;
  char id[32];
  int fd;
  int status; /* 0: none */
  bool complete;
  size_t received;
};

static void
start (struct bed *b)
{
  g_autofree char *config = testbed_config (2, routes, "");
  g_autoptr (GString) text = g_string_new (config);

  testbed_init (&b->t);
  g_string_replace (text, "\"max-body-bytes\":4096",
                    "\"max-body-bytes\":4194304", 1);
  g_string_replace (text, "\"header-timeout-ms\":500",
                    "\"header-timeout-ms\":3000", 1);
  g_string_replace (text, "\"max-conns\":50", "\"max-conns\":500", 1);
  testbed_put_item (&b->t, "op/config", text->str);
  b->upstream = upstream_start (&b->t, "i-1", EVENT_MS);
  testbed_start_edge (&b->t, 0);
}

static void
stop (struct bed *b)
{
  testbed_free (&b->t);
  upstream_free (b->upstream);
}

/* Returns FIELD of the status of the edge's process, in kB.  */
static int
memory_kb (struct bed *b, const char *field)
{
  g_autofree char *path
      = g_strdup_printf ("/proc/%d/status", (int)b->t.edges[0].pid);
  g_autofree char *text = NULL;
  const char *at = NULL;

  if (g_file_get_contents (path, &text, NULL, NULL))
    at = strstr (text, field);
  return at ? atoi (at + strlen (field)) : -1;
}

static void
send_request (struct caller *c)
{
  g_autofree char *body = g_strnfill (c->body_bytes, 'b');
  g_autofree char *length
      = c->chunked ? g_strdup ("Transfer-Encoding: chunked\r\n")
                   : g_strdup_printf ("Content-Length: %u\r\n", c->body_bytes);
  g_autofree char *chunk = g_strdup_printf ("%x\r\n", c->body_bytes);
  g_autofree char *head = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: %s\r\n"
      "Authorization: Bearer key-1\r\nX-Deadline-Ms: 9000\r\n%s\r\n%s",
      c->path, c->id, length, c->chunked ? chunk : "");

  if (harness_send_all (c->fd, head, strlen (head))
      && harness_send_all (c->fd, body, c->body_bytes) && c->chunked)
    harness_send_all (c->fd, "\r\n0\r\n\r\n", 7);
}

/* Reads one response and notes how it ended.  */
static void
read_response (struct caller *c)
{
  GString *got = g_string_new ("");
  struct pollfd p = { .fd = c->fd, .events = POLLIN };
  char *buf = g_malloc (READER_STEP_BYTES);
  size_t paused_at = READER_STEP_BYTES;
  const char *head;
  const char *length;
  ssize_t n = 1;

  while (!c->complete && poll (&p, 1, READ_MAX_MS) > 0
         && (n = recv (c->fd, buf, READER_STEP_BYTES, 0)) > 0)
    {
      g_string_append_len (got, buf, n);
      if (c->slow && got->len > paused_at)
        {
          harness_sleep_ms (READER_PAUSE_MS);
          paused_at = got->len + READER_STEP_BYTES;
        }
      head = strstr (got->str, "\r\n\r\n");
      length = strstr (got->str, "Content-Length: ");
      if (head && length && length < head)
        c->complete = got->len - (size_t)(head + 4 - got->str)
                      >= strtoul (length + 16, NULL, 10);
      else if (head)
        c->complete = g_str_has_suffix (got->str, "\r\n0\r\n\r\n");
    }
  sscanf (got->str, "HTTP/1.1 %d", &c->status); /* NOLINT(cert-err34-c) */
  c->received = got->len;
  g_string_free (got, TRUE);
  g_free (buf);
}

static gpointer
run_caller (gpointer data)
{
  struct caller *c = data;

  send_request (c);
  read_response (c);
  return NULL;
}

/* Connects with a small receive buffer where C reads slowly.  */
static void
connect_caller (struct caller *c)
{
  static const char nothing[] = "";
  uint16_t port = c->bed->t.edges[0].front_port;

  c->fd = c->slow ? harness_send_unread (port, nothing, 0)
                  : harness_connect (port);
}

/* Runs COUNT callers like MODEL at once and checks how they ended: with an
   answer, or with the truth.  Returns how many were answered.  */
static uint32_t
run_callers (struct bed *b, const struct caller *model, uint32_t count)
{
  struct caller *callers = g_new0 (struct caller, count);
  GThread **threads = g_new0 (GThread *, count);
  uint32_t statuses[3] = { 0 }; /* answered, refused, others */

  for (uint32_t i = 0; i < count; i++)
    {
      callers[i] = *model;
      callers[i].bed = b;
      g_snprintf (callers[i].id, sizeof callers[i].id, "m%u", i);
      connect_caller (&callers[i]);
      threads[i] = g_thread_new ("caller", run_caller, &callers[i]);
    }
  for (uint32_t i = 0; i < count; i++)
    g_thread_join (threads[i]);
  for (uint32_t i = 0; i < count; i++)
    {
      const struct caller *c = &callers[i];
      uint32_t runs = upstream_runs (b->upstream, c->id);
      bool answered = c->status == 200 && c->complete;
      statuses[answered ? 0 : c->status == 503 && c->complete ? 1 : 2]++;
      if (c->status == 503)
        g_assert_cmpuint (runs, ==, 0);
      /* A request that has run is not left without a word.  */
      if (runs > 0)
        g_assert_cmpint (c->status, !=, 0);
      close (c->fd);
    }
  g_test_message ("%u answered, %u refused, %u others; peak %d kB",
                  statuses[0], statuses[1], statuses[2],
                  memory_kb (b, "VmHWM:"));
  g_free (callers);
  g_free (threads);
  return statuses[0];
}

/* All that was held is given back, and further callers are served.  */
static void
check_returned (struct bed *b, const struct caller *model)
{
  uint64_t held = 1;

  for (int spent = 0; held > 0 && spent < RETURN_MAX_MS; spent += POLL_MS)
    {
      harness_sleep_ms (POLL_MS);
      held = harness_counter (b->t.edges[0].ready_port,
                              "bilberry_memory_held_bytes", "");
    }
  g_assert_cmpuint (held, ==, 0);
  g_assert_cmpuint (run_callers (b, model, FEW), ==, FEW);
}

/* Kept connections do not hold the bodies of their past requests
   (review/5).  */
static void
test_kept (void)
{
  struct bed b;
  struct caller callers[KEPT] = { 0 };

  start (&b);
  for (uint32_t i = 0; i < KEPT; i++)
    {
      struct caller *c = &callers[i];
      c->bed = &b;
      c->path = "/check/big/0/4/0/10";
      c->body_bytes = BODY_BYTES;
      c->chunked = i % 2;
      g_snprintf (c->id, sizeof c->id, "k%u", i);
      c->fd = harness_connect (b.t.edges[0].front_port);
      run_caller (c);
      g_assert_cmpint (c->status, ==, 200);
    }
  g_test_message ("%d kB, peak %d kB", memory_kb (&b, "VmRSS:"),
                  memory_kb (&b, "VmHWM:"));
  g_assert_cmpint (memory_kb (&b, "VmHWM:"), <, MEMORY_MAX_KB);
  for (uint32_t i = 0; i < KEPT; i++)
    close (callers[i].fd);
  stop (&b);
}

/* More large bodies come at once than there is memory for.  */
static void
test_burst (gconstpointer chunked)
{
  const struct caller model = { .path = "/stream/fixed/1/4/0/10",
                                .body_bytes = BODY_BYTES,
                                .chunked = chunked != NULL };
  struct bed b;

  start (&b);
  g_assert_cmpuint (run_callers (&b, &model, BURST), >, BURST / 8);
  g_assert_cmpint (memory_kb (&b, "VmHWM:"), <, MEMORY_MAX_KB);
  check_returned (&b, &model);
  stop (&b);
}

/* Callers who read slowly are owed more than there is memory for.  How many
   are served depends on their pace; memory, the truth and what follows do not.
 */
static void
test_slow_readers (void)
{
  static char path[64];
  struct caller model = { .path = path, .slow = true };
  struct bed b;

  g_snprintf (path, sizeof path, "/check/big/2/4/0/%d", ANSWER_BYTES);
  start (&b);
  g_assert_cmpuint (run_callers (&b, &model, READERS), >, 0);
  g_assert_cmpint (memory_kb (&b, "VmHWM:"), <, MEMORY_MAX_KB);
  model.slow = false;
  check_returned (&b, &model);
  stop (&b);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  /* Freed memory counts where the sanitizer keeps it.  */
  g_setenv ("ASAN_OPTIONS", "quarantine_size_mb=1", FALSE);
  g_test_add_func ("/edge-memory/kept", test_kept);
  g_test_add_data_func ("/edge-memory/burst", NULL, test_burst);
  g_test_add_data_func ("/edge-memory/burst-chunked", "chunked", test_burst);
  g_test_add_func ("/edge-memory/slow-readers", test_slow_readers);
  return g_test_run ();
}
