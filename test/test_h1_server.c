/* Tests of the HTTP server of libh1 in this process.  The loop runs only where
   a test says so, which plays a process that was stalled: its timers run
   before it reads what has arrived.  */

#include "bilberry/h1.h"
#include "harness/harness.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  IDLE_TIMEOUT_MS = 300,
  READ_TIMEOUT_MS = 600000,
  SHORT_READ_TIMEOUT_MS = 300,
  WAIT_MS = 60000,                /* longest wait for what must come */
  LARGE_BYTES = 16 * 1024 * 1024, /* more than the sockets hold */
  PAUSE_MS = 1500,
  BODY_MAX_BYTES = 512 * 1024,
  CONNECTIONS_MAX = 8
};

struct fixture
{
  struct harness *harness;
  uv_loop_t loop;
  struct bb_h1_server *server;
  struct bb_h1_limits limits;
  uint16_t port;
  bool holds; /* requests get no response from the handler */
  struct bb_h1_exchange *held[CONNECTIONS_MAX * 2];
  uint32_t held_count;
};

static void
on_request (struct bb_h1_exchange *x, void *arg)
{
  struct fixture *f = arg;

  if (f->holds)
    f->held[f->held_count++] = x;
  else
    bb_h1_respond (x, 200, NULL, 0, bb_bytes_of ("served"));
}

static void
on_error (uint16_t status, void *arg)
{
  (void)status;
  (void)arg;
}

static void
set_up (struct fixture *f)
{
  struct sockaddr_storage addr = { 0 };
  struct sockaddr_in *in = (struct sockaddr_in *)&addr;
  int error = 0;

  memset (f, 0, sizeof *f);
  f->harness = harness_new (harness_build_dir ());
  f->port = harness_port (f->harness);
  uv_loop_init (&f->loop);
  f->limits = (struct bb_h1_limits){ .head_max_bytes = 4096,
                                     .body_max_bytes = BODY_MAX_BYTES,
                                     .read_timeout_ms = READ_TIMEOUT_MS,
                                     .idle_timeout_ms = IDLE_TIMEOUT_MS,
                                     .connections_max = CONNECTIONS_MAX };
  in->sin_family = AF_INET;
  in->sin_port = htons (f->port);
  in->sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  f->server = bb_h1_server_open (&f->loop, &addr, &f->limits, on_request,
                                 on_error, f, &error);
  g_assert_nonnull (f->server);
}

static void
tear_down (struct fixture *f)
{
  harness_free (f->harness);
}

/* Runs the loop for MS.  */
static void
run_for (struct fixture *f, int ms)
{
  gint64 end = g_get_monotonic_time () + (gint64)ms * 1000;

  while (g_get_monotonic_time () < end)
    {
      uv_run (&f->loop, UV_RUN_NOWAIT);
      g_usleep (1000);
    }
}

/* Lets MS pass in which the loop does not run.  */
static void
stall (int ms)
{
  g_usleep ((gulong)ms * 1000);
}

static void
send_text (int fd, const char *text)
{
  size_t size = strlen (text);

  g_assert_cmpint ((int)send (fd, text, size, MSG_NOSIGNAL), ==, (int)size);
}

static void
send_request (int fd)
{
  send_text (fd, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
}

/* Runs the loop until the server has sent TEXT on FD.  Returns whether it has,
   before the connection ended.  GOT has what was received so far.  */
static bool
await_text (struct fixture *f, int fd, GString *got, const char *text)
{
  gint64 end = g_get_monotonic_time () + (gint64)WAIT_MS * 1000;

  while (!strstr (got->str, text) && g_get_monotonic_time () < end)
    {
      char buf[4096];
      ssize_t n;
      uv_run (&f->loop, UV_RUN_NOWAIT);
      n = recv (fd, buf, sizeof buf, MSG_DONTWAIT);
      if (n > 0)
        g_string_append_len (got, buf, n);
      else if (n == 0 || (errno != EAGAIN && errno != EINTR))
        break;
      else
        g_usleep (1000);
    }
  return strstr (got->str, text) != NULL;
}

/* Whether FD gets a whole response, of which GOT has what was received.  */
static bool
is_served (struct fixture *f, int fd, GString *got)
{
  return await_text (f, fd, got, "\r\n\r\nserved");
}

static bool
gets_response (struct fixture *f, int fd)
{
  g_autoptr (GString) got = g_string_new ("");

  return is_served (f, fd, got);
}

/* Runs the loop until the server has closed FD.  */
static void
await_end (struct fixture *f, int fd)
{
  ssize_t n = -1;
  char byte;

  for (int spent = 0; spent < WAIT_MS && n != 0; spent += 10)
    {
      run_for (f, 10);
      n = recv (fd, &byte, 1, MSG_DONTWAIT);
    }
  g_assert_cmpint ((int)n, ==, 0);
}

/* Returns a connection on which one request was served.  */
static int
connect_used (struct fixture *f)
{
  int fd = harness_connect (f->port);

  g_assert_cmpint (fd, >=, 0);
  send_request (fd);
  g_assert_true (gets_response (f, fd));
  return fd;
}

/* A request that arrived in time is served, although the server reads it only
   after the idle timeout has passed.  */
static void
test_stalled_idle (void)
{
  static struct fixture f;
  int fd;

  set_up (&f);
  fd = connect_used (&f);
  stall (IDLE_TIMEOUT_MS / 3);
  send_request (fd);
  stall (IDLE_TIMEOUT_MS * 2);
  g_assert_true (gets_response (&f, fd));
  close (fd);
  tear_down (&f);
}

/* Room for a new connection is not made at the cost of one whose request has
   arrived.  */
static void
test_stalled_room (void)
{
  static struct fixture f;
  int fds[CONNECTIONS_MAX];
  int added;

  set_up (&f);
  f.limits.idle_timeout_ms = READ_TIMEOUT_MS;
  bb_h1_server_set_limits (f.server, &f.limits);
  for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
    {
      fds[i] = connect_used (&f);
      run_for (&f, 5);
    }
  added = harness_connect (f.port);
  send_request (fds[0]);
  send_request (added);
  g_assert_true (gets_response (&f, fds[0]));
  g_assert_true (gets_response (&f, added));
  close (added);
  for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
    close (fds[i]);
  tear_down (&f);
}

/* A server that stops serves the requests that have arrived, also those of
   connections that it has not accepted yet.  */
static void
test_stalled_stop (void)
{
  static struct fixture f;
  int used;
  int added;

  set_up (&f);
  used = connect_used (&f);
  bb_h1_server_drain (f.server);
  send_request (used);
  added = harness_connect (f.port);
  send_request (added);
  bb_h1_server_close (f.server);
  g_assert_cmpuint (bb_h1_server_active_connections (f.server), >, 0);
  g_assert_true (gets_response (&f, used));
  g_assert_true (gets_response (&f, added));
  close (used);
  close (added);
  run_for (&f, 50);
  g_assert_cmpuint (bb_h1_server_active_connections (f.server), ==, 0);
  tear_down (&f);
}

/* A response that began before the drain could not announce the close: the
   next request of its connection is served.  */
static void
test_unannounced_close (void)
{
  static struct fixture f;
  g_autoptr (GString) first = g_string_new ("");
  g_autoptr (GString) second = g_string_new ("");
  int fd = -1;

  set_up (&f);
  f.holds = true;
  fd = harness_connect (f.port);
  send_request (fd);
  while (f.held_count == 0)
    run_for (&f, 1);
  bb_h1_start (f.held[0], 200, NULL, 0, true);
  bb_h1_server_drain (f.server);
  bb_h1_write (f.held[0], bb_bytes_of ("long"));
  bb_h1_end (f.held[0]);
  f.holds = false;
  g_assert_true (await_text (&f, fd, first, "\r\n0\r\n\r\n"));
  g_assert_null (strstr (first->str, "Connection: close"));
  send_request (fd);
  g_assert_true (is_served (&f, fd, second));
  g_assert_nonnull (strstr (second->str, "Connection: close"));
  close (fd);
  tear_down (&f);
}

/* A request that crosses the close of an idle connection is not read, and its
   caller is told so by a reset.  */
static void
test_crossing_is_unread (void)
{
  static struct fixture f;
  ssize_t n = 0;
  int fd;

  set_up (&f);
  fd = connect_used (&f);
  await_end (&f, fd);
  send_request (fd);
  run_for (&f, 50);
  n = send (fd, "G", 1, MSG_NOSIGNAL);
  g_assert_cmpint ((int)n, <, 0);
  close (fd);
  tear_down (&f);
}

/* A connection over the limit, while all others have a request, is not closed
   in silence: its request gets a response.  */
static void
test_over_limit (void)
{
  static struct fixture f;
  int fds[CONNECTIONS_MAX];
  g_autoptr (GString) got = g_string_new ("");
  int added;

  set_up (&f);
  f.holds = true;
  for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
    {
      fds[i] = harness_connect (f.port);
      send_request (fds[i]);
    }
  while (f.held_count < CONNECTIONS_MAX)
    run_for (&f, 1);
  f.holds = false;
  added = harness_connect (f.port);
  send_request (added);
  g_assert_true (is_served (&f, added, got));
  g_assert_nonnull (strstr (got->str, "Connection: close"));
  for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
    {
      bb_h1_respond (f.held[i], 200, NULL, 0, bb_bytes_of ("served"));
      g_assert_true (gets_response (&f, fds[i]));
      close (fds[i]);
    }
  close (added);
  tear_down (&f);
}

/* A lower limit on idling holds for a connection from its next response on:
   the caller may have gone by the one before.  */
static void
test_lowered_idle_limit (void)
{
  static struct fixture f;
  int fd;

  set_up (&f);
  f.limits.idle_timeout_ms = READ_TIMEOUT_MS;
  bb_h1_server_set_limits (f.server, &f.limits);
  fd = connect_used (&f);
  f.limits.idle_timeout_ms = IDLE_TIMEOUT_MS;
  bb_h1_server_set_limits (f.server, &f.limits);
  run_for (&f, IDLE_TIMEOUT_MS * 2);
  send_request (fd);
  g_assert_true (gets_response (&f, fd));
  await_end (&f, fd);
  close (fd);
  tear_down (&f);
}

/* A caller that sends its next, large request during a response gets both
   responses.  */
static void
test_large_next_request (void)
{
  static struct fixture f;
  g_autoptr (GString) got = g_string_new ("");
  g_autofree char *body = g_strnfill (BODY_MAX_BYTES / 2, 'b');
  g_autofree char *head = g_strdup_printf (
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %zu\r\n\r\n",
      strlen (body));
  size_t sent = 0;
  int fd;

  set_up (&f);
  f.holds = true;
  fd = harness_connect (f.port);
  send_request (fd);
  while (f.held_count == 0)
    run_for (&f, 1);
  f.holds = false;
  send_text (fd, head);
  for (int turn = 0; turn < 400; turn++)
    {
      ssize_t n = send (fd, body + sent, strlen (body + sent),
                        MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0)
        sent += (size_t)n;
      run_for (&f, 1);
      if (turn == 200)
        bb_h1_respond (f.held[0], 200, NULL, 0, bb_bytes_of ("first"));
    }
  g_assert_cmpuint (sent, ==, strlen (body));
  g_assert_true (is_served (&f, fd, got));
  g_assert_nonnull (strstr (got->str, "\r\n\r\nfirst"));
  close (fd);
  tear_down (&f);
}

/* A request whose end arrived in time is served, although the server reads it
   only after the time for reading it has passed.  */
static void
test_stalled_part (void)
{
  static struct fixture f;
  int fd;

  set_up (&f);
  f.limits.read_timeout_ms = SHORT_READ_TIMEOUT_MS;
  bb_h1_server_set_limits (f.server, &f.limits);
  fd = connect_used (&f);
  send_text (fd, "GET / HTTP/1.1\r\nHost: ");
  uv_run (&f.loop, UV_RUN_NOWAIT);
  uv_run (&f.loop, UV_RUN_NOWAIT);
  send_text (fd, "a\r\n\r\n");
  stall (SHORT_READ_TIMEOUT_MS * 2);
  g_assert_true (gets_response (&f, fd));
  close (fd);
  tear_down (&f);
}

/* A caller that pauses while it takes a large response gets all of it, also
   where the response announces the close.  */
static void
test_slow_taker (void)
{
  static struct fixture f;
  g_autofree char *body = g_strnfill (LARGE_BYTES, 'b');
  char buf[65536];
  size_t got = 0;
  gint64 end;
  int fd;

  set_up (&f);
  f.holds = true;
  bb_h1_server_drain (f.server);
  fd = harness_connect (f.port);
  send_request (fd);
  while (f.held_count == 0)
    run_for (&f, 1);
  bb_h1_respond (f.held[0], 200, NULL, 0, bb_bytes_of (body));
  run_for (&f, PAUSE_MS);
  end = g_get_monotonic_time () + (gint64)WAIT_MS * 1000;
  while (got < LARGE_BYTES && g_get_monotonic_time () < end)
    {
      ssize_t n;
      uv_run (&f.loop, UV_RUN_NOWAIT);
      n = recv (fd, buf, sizeof buf, MSG_DONTWAIT);
      if (n == 0)
        break;
      got += n > 0 ? (size_t)n : 0;
    }
  g_assert_cmpuint (got, >=, LARGE_BYTES);
  close (fd);
  tear_down (&f);
}

/* A caller that takes a large response steadily gets all of it, however long
   that takes.  */
static void
test_steady_taker (void)
{
  static struct fixture f;
  g_autofree char *body = g_strnfill (LARGE_BYTES, 'b');
  g_autofree char *buf = g_malloc (LARGE_BYTES / 64);
  size_t got = 0;
  ssize_t n = 1;
  int fd;

  set_up (&f);
  f.limits.read_timeout_ms = SHORT_READ_TIMEOUT_MS;
  bb_h1_server_set_limits (f.server, &f.limits);
  f.holds = true;
  bb_h1_server_drain (f.server);
  fd = harness_connect (f.port);
  send_request (fd);
  while (f.held_count == 0)
    run_for (&f, 1);
  bb_h1_respond (f.held[0], 200, NULL, 0, bb_bytes_of (body));
  while (got < LARGE_BYTES && n != 0)
    {
      run_for (&f, SHORT_READ_TIMEOUT_MS / 10);
      n = recv (fd, buf, LARGE_BYTES / 64, MSG_DONTWAIT);
      g_assert_true (n >= 0 || errno == EAGAIN);
      got += n > 0 ? (size_t)n : 0;
    }
  g_assert_cmpuint (got, >=, LARGE_BYTES);
  close (fd);
  tear_down (&f);
}

static uint32_t disconnects;

static void
count_disconnect (struct bb_h1_exchange *x)
{
  (void)x;
  disconnects++;
}

/* A caller that leaves during its response is noticed, also where it had sent
   much of its next request.  */
static void
test_gone_after_large_request (void)
{
  static struct fixture f;
  g_autofree char *body = g_strnfill (BODY_MAX_BYTES / 2, 'b');
  int fd;

  set_up (&f);
  f.holds = true;
  fd = harness_connect (f.port);
  send_request (fd);
  while (f.held_count == 0)
    run_for (&f, 1);
  f.held[0]->on_disconnect = count_disconnect;
  bb_h1_start (f.held[0], 200, NULL, 0, true);
  send_text (fd,
             "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 260000\r\n\r\n");
  for (int i = 0; i < 50; i++)
    {
      send (fd, body, 4096, MSG_NOSIGNAL | MSG_DONTWAIT);
      run_for (&f, 1);
    }
  close (fd);
  for (int spent = 0; spent < WAIT_MS && disconnects == 0; spent += 10)
    {
      bb_h1_write (f.held[0], bb_bytes_of ("event"));
      run_for (&f, 10);
    }
  g_assert_cmpuint (disconnects, ==, 1);
  tear_down (&f);
}

/* A connection that was over the limit when it came, but is not any more when
   its request does, is served as any other.  */
static void
test_limit_is_past (void)
{
  static struct fixture f;
  int fds[CONNECTIONS_MAX];
  int added;

  set_up (&f);
  f.holds = true;
  for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
    {
      fds[i] = harness_connect (f.port);
      send_request (fds[i]);
    }
  while (f.held_count < CONNECTIONS_MAX)
    run_for (&f, 1);
  added = harness_connect (f.port);
  run_for (&f, 50);
  for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
    {
      bb_h1_respond (f.held[i], 200, NULL, 0, bb_bytes_of ("served"));
      g_assert_true (gets_response (&f, fds[i]));
      close (fds[i]);
    }
  run_for (&f, 50);
  send_request (added);
  while (f.held_count < CONNECTIONS_MAX + 1)
    run_for (&f, 1);
  g_assert_false (f.held[CONNECTIONS_MAX]->over_limit);
  close (added);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/h1-server/stalled-idle", test_stalled_idle);
  g_test_add_func ("/h1-server/stalled-room", test_stalled_room);
  g_test_add_func ("/h1-server/stalled-stop", test_stalled_stop);
  g_test_add_func ("/h1-server/unannounced-close", test_unannounced_close);
  g_test_add_func ("/h1-server/crossing-is-unread", test_crossing_is_unread);
  g_test_add_func ("/h1-server/over-limit", test_over_limit);
  g_test_add_func ("/h1-server/lowered-idle-limit", test_lowered_idle_limit);
  g_test_add_func ("/h1-server/large-next-request", test_large_next_request);
  g_test_add_func ("/h1-server/stalled-part", test_stalled_part);
  g_test_add_func ("/h1-server/slow-taker", test_slow_taker);
  g_test_add_func ("/h1-server/steady-taker", test_steady_taker);
  g_test_add_func ("/h1-server/gone-after-large-request",
                   test_gone_after_large_request);
  g_test_add_func ("/h1-server/limit-is-past", test_limit_is_past);
  return g_test_run ();
}
