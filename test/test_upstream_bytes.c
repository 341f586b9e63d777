/* Tests with real processes of upstreams that send bytes without end, in a
   head or in a body: the agent and the entry keep a limited part of them, the
   caller gets a verdict, and other callers are served meanwhile.  */

#include "harness/fleet.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  /* Largest memory of an agent or entry: a VM has 256 MB for control.  */
  MEMORY_MAX_KB = 256 * 1024,
  BLOCK_BYTES = 64 * 1024,
  /* The upstream gives up after this, so that a failed test does not exhaust
     the machine.  */
  SENT_MAX_BYTES = 1024 * 1024 * 1024,
  REQUEST_BYTES = 4096,
  LISTEN_BACKLOG = 64,
  CALLERS = 6,
  CALLERS_MAX = 16,
  SERVICES = 2,
  STALLED_PAUSE_US = 6000,
  STALLED_BYTES = 31 * 1024 * 1024, /* less than the longest body allowed */
  OTHER_CALLS = 5,
  OTHER_INTERVAL_MS = 100
};

/* What an upstream sends, and then without end.  */
struct endless
{
  const char *name;
  const char *start;
  const char *unit;
};

static const struct endless kinds[] = {
  { "value", "HTTP/1.1 200 OK\r\nX-Long: ", "x" },
  { "reason", "HTTP/1.1 200 ", "O" },
  { "headers", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n" },
  { "interim", "", "HTTP/1.1 102 Processing\r\n\r\n" },
  { "body", "HTTP/1.1 200 OK\r\n\r\n", "x" },
  { "length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
    "x" },
  { "chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "10\r\n0123456789abcdef\r\n" },
  { "extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
    "e" },
  { "event",
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata:", "x" },
};

/* The upstream; each connection has a thread.  */
struct upstream
{
  int listener;
  const struct endless *kind;
  size_t max_bytes; /* after so many it is silent */
  gulong pause_us;  /* between two blocks */
  GThread *thread;
  GPtrArray *connections; /* threads */
};

struct connection
{
  int fd;
  const struct upstream *upstream;
};

static void
await_close (int fd)
{
  char byte;

  while (recv (fd, &byte, 1, 0) > 0)
    continue;
}

static void
send_endless (int fd, const struct upstream *u)
{
  const struct endless *k = u->kind;
  char block[BLOCK_BYTES];
  size_t unit = strlen (k->unit);
  size_t size = 0;
  size_t sent = 0;

  for (; size + unit <= sizeof block; size += unit)
    memcpy (block + size, k->unit, unit);
  if (!harness_send_all (fd, k->start, strlen (k->start)))
    return;
  while (sent < u->max_bytes && harness_send_all (fd, block, size))
    {
      sent += size;
      if (u->pause_us > 0)
        g_usleep (u->pause_us);
    }
  await_close (fd);
}

static void *
run_connection (void *arg)
{
  struct connection *c = arg;
  char request[REQUEST_BYTES];

  if (recv (c->fd, request, sizeof request, 0) > 0)
    send_endless (c->fd, c->upstream);
  close (c->fd);
  g_free (c);
  return NULL;
}

static void *
run_listener (void *arg)
{
  struct upstream *u = arg;
  int fd;

  while ((fd = accept (u->listener, NULL, NULL)) >= 0)
    {
      struct connection *c = g_new0 (struct connection, 1);
      c->fd = fd;
      c->upstream = u;
      g_ptr_array_add (u->connections,
                       g_thread_new ("connection", run_connection, c));
    }
  return NULL;
}

static void
start_upstream (struct upstream *u, uint16_t port)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_port = htons (port) };

  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  u->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (u->listener, SOL_SOCKET, SO_REUSEADDR, &(int){ 1 },
              sizeof (int));
  g_assert_cmpint (bind (u->listener, (struct sockaddr *)&addr, sizeof addr),
                   ==, 0);
  g_assert_cmpint (listen (u->listener, LISTEN_BACKLOG), ==, 0);
  u->connections = g_ptr_array_new ();
  u->thread = g_thread_new ("upstream", run_listener, u);
}

/* Stops U, whose agent has ended.  */
static void
stop_upstream (struct upstream *u)
{
  shutdown (u->listener, SHUT_RDWR);
  g_thread_join (u->thread);
  for (guint i = 0; i < u->connections->len; i++)
    g_thread_join (u->connections->pdata[i]);
  g_ptr_array_unref (u->connections);
  close (u->listener);
}

/* Returns the most memory that process PID has used, in kB.  */
static int
memory_kb (pid_t pid)
{
  static const char field[] = "VmHWM:";
  g_autofree char *path = g_strdup_printf ("/proc/%d/status", (int)pid);
  g_autofree char *text = NULL;
  const char *at = NULL;

  if (g_file_get_contents (path, &text, NULL, NULL))
    at = strstr (text, field);
  return at ? atoi (at + strlen (field)) : -1;
}

struct caller
{
  uint16_t port;
  GThread *thread;
  struct http_response answer;
};

static void *
call_service (void *arg)
{
  struct caller *c = arg;

  c->answer = harness_http (c->port, "GET", "/stock/1", fleet_auth_header, "");
  return NULL;
}

/* Calls the engine, the other upstream of F, which is sound.  */
static void
check_others (const struct fleet *f)
{
  struct http_response a = harness_http (
      f->entries[0].port, "POST", "/v1/chat/completions", fleet_auth_header,
      "{\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}");

  g_assert_cmpint (a.status, ==, 200);
  g_assert_true (a.complete);
  http_response_free (&a);
}

/* C has got a verdict: a refusal, or the event that ends a stream with an
   error.  422 is that of a request with which upstreams have failed.  */
static void
check_verdict (struct caller *c)
{
  static const int refusals[] = { 422, 502, 503, 504 };
  bool refused = false;

  g_thread_join (c->thread);
  g_test_message ("status %d: %.200s", c->answer.status, c->answer.body);
  g_assert_true (c->answer.complete);
  for (size_t i = 0; i < G_N_ELEMENTS (refusals); i++)
    refused |= c->answer.status == refusals[i];
  if (c->answer.status == 200)
    g_assert_nonnull (strstr (c->answer.body, "event: error"));
  else
    g_assert_true (refused);
  http_response_free (&c->answer);
}

static void
start_fleet (struct fleet *f)
{
  fleet_init (f, harness_build_dir (), 1, SERVICES, 1);
  harness_write (f->h, "40-routes.yaml", "%s",
                 "routes:\n  chat: {path: /v1/chat/completions, pool: draft, "
                 "idempotent: true}\n  stock: {method: GET, path: '/stock/*', "
                 "pool: order, idempotent: true, timeout_ms: 5000}\n");
  fleet_start_upstream (f, &f->upstreams[0]);
  for (uint32_t i = 0; i < f->upstreams_count; i++)
    fleet_start_agent (f, &f->upstreams[i]);
  fleet_start_entry (f, &f->entries[0]);
}

static void
check_memory (const char *name, pid_t pid)
{
  int kb = memory_kb (pid);

  g_test_message ("%s: %d kB", name, kb);
  g_assert_cmpint (kb, >, 0);
  g_assert_cmpint (kb, <, MEMORY_MAX_KB);
}

/* So many CALLERS call services whose upstreams are all as KIND, while others
   call the engine.  */
static void
play (const struct upstream *kind, uint32_t callers)
{
  struct upstream u[SERVICES];
  struct caller c[CALLERS_MAX];
  struct fleet f;

  g_test_message ("%s, %u callers", kind->kind->name, callers);
  start_fleet (&f);
  for (uint32_t i = 0; i < SERVICES; i++)
    {
      u[i] = *kind;
      start_upstream (&u[i], f.upstreams[1 + i].port);
    }
  for (uint32_t i = 0; i < callers; i++)
    {
      c[i].port = f.entries[0].port;
      c[i].thread = g_thread_new ("caller", call_service, &c[i]);
    }
  for (int i = 0; i < OTHER_CALLS; i++)
    {
      harness_sleep_ms (OTHER_INTERVAL_MS);
      check_others (&f);
    }
  for (uint32_t i = 0; i < callers; i++)
    check_verdict (&c[i]);
  for (uint32_t i = 1; i < f.upstreams_count; i++)
    check_memory (f.upstreams[i].name, f.upstreams[i].agent_pid);
  check_memory (f.entries[0].name, f.entries[0].pid);
  fleet_free (&f);
  for (uint32_t i = 0; i < SERVICES; i++)
    stop_upstream (&u[i]);
}

static void
test_endless (gconstpointer data)
{
  struct upstream u = { .kind = data, .max_bytes = SENT_MAX_BYTES };

  play (&u, 1);
  play (&u, CALLERS);
}

/* Bodies that are below the limit one by one, and whose ends never come, do
   not fill the memory together.  */
static void
test_stalled (void)
{
  static const struct endless stalled
      = { "stalled",
          "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x" };

  /* Slowly, so that the agents need not queue the bodies.  */
  struct upstream u = { .kind = &stalled,
                        .max_bytes = STALLED_BYTES,
                        .pause_us = STALLED_PAUSE_US };

  play (&u, CALLERS_MAX);
}

int
main (int argc, char **argv)
{
  /* What sanitizers keep of freed memory would count as used.  */
  g_setenv ("ASAN_OPTIONS", "quarantine_size_mb=1", FALSE);
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/upstream-bytes/%s", kinds[i].name);
      g_test_add_data_func (path, &kinds[i], test_endless);
    }
  g_test_add_func ("/upstream-bytes/stalled", test_stalled);
  return g_test_run ();
}
