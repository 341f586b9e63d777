/* Tests of the HTTP server of libh1 in this process.  The loop runs only where
   a test says so, which plays a process that was stalled: its timers run
   before it reads what has arrived.  */

#include "harness/h1_server_fixture.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  PAUSE_MS = 1500
};

/* Whether FD gets a whole response, of which GOT has what was received.  */
static bool
is_served (struct h1_fixture *f, int fd, GString *got)
{
  return h1_fixture_await (f, fd, got, "\r\n\r\nserved");
}

static bool
gets_response (struct h1_fixture *f, int fd)
{
  g_autoptr (GString) got = g_string_new ("");

  return is_served (f, fd, got);
}

/* Runs the loop until the server has closed FD.  */
static void
await_end (struct h1_fixture *f, int fd)
{
  ssize_t n = -1;
  char byte;

  for (int spent = 0; spent < WAIT_MS && n != 0; spent += 10)
    {
      h1_fixture_run (f, 10);
      n = recv (fd, &byte, 1, MSG_DONTWAIT);
    }
  g_assert_cmpint ((int)n, ==, 0);
}

/* Returns a connection on which one request was served.  */
static int
connect_used (struct h1_fixture *f)
{
  int fd = harness_connect (f->port);

  g_assert_cmpint (fd, >=, 0);
  h1_fixture_ask (fd);
  g_assert_true (gets_response (f, fd));
  return fd;
}

/* A request that arrived in time is served, although the server reads it only
   after the idle timeout has passed.  */
static void
test_stalled_idle (void)
{
  static struct h1_fixture f;
  int fd;

  h1_fixture_init (&f);
  fd = connect_used (&f);
  h1_fixture_stall (IDLE_TIMEOUT_MS / 3);
  h1_fixture_ask (fd);
  h1_fixture_stall (IDLE_TIMEOUT_MS * 2);
  g_assert_true (gets_response (&f, fd));
  close (fd);
  h1_fixture_free (&f);
}

/* Room for a new connection is not made at the cost of one whose request has
   arrived.  */
static void
test_stalled_room (void)
{
  static struct h1_fixture f;
  int fds[CONNECTIONS_MAX];
  int added;

  h1_fixture_init (&f);
  f.limits.idle_timeout_ms = READ_TIMEOUT_MS;
  bb_h1_server_set_limits (f.server, &f.limits);
  for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
    {
      fds[i] = connect_used (&f);
      h1_fixture_run (&f, 5);
    }
  added = harness_connect (f.port);
  h1_fixture_ask (fds[0]);
  h1_fixture_ask (added);
  g_assert_true (gets_response (&f, fds[0]));
  g_assert_true (gets_response (&f, added));
  close (added);
  for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
    close (fds[i]);
  h1_fixture_free (&f);
}

/* A server that stops serves the requests that have arrived, also those of
   connections that it has not accepted yet.  */
static void
test_stalled_stop (void)
{
  static struct h1_fixture f;
  int used;
  int added;

  h1_fixture_init (&f);
  used = connect_used (&f);
  bb_h1_server_drain (f.server);
  h1_fixture_ask (used);
  added = harness_connect (f.port);
  h1_fixture_ask (added);
  bb_h1_server_close (f.server);
  g_assert_cmpuint (bb_h1_server_active_connections (f.server), >, 0);
  g_assert_true (gets_response (&f, used));
  g_assert_true (gets_response (&f, added));
  close (used);
  close (added);
  h1_fixture_run (&f, 50);
  g_assert_cmpuint (bb_h1_server_active_connections (f.server), ==, 0);
  h1_fixture_free (&f);
}

/* A response that began before the drain could not announce the close: the
   next request of its connection is served.  */
static void
test_unannounced_close (void)
{
  static struct h1_fixture f;
  g_autoptr (GString) first = g_string_new ("");
  g_autoptr (GString) second = g_string_new ("");
  int fd = -1;

  h1_fixture_init (&f);
  f.holds = true;
  fd = harness_connect (f.port);
  h1_fixture_ask (fd);
  while (f.held_count == 0)
    h1_fixture_run (&f, 1);
  bb_h1_start (f.held[0], 200, NULL, 0);
  bb_h1_server_drain (f.server);
  bb_h1_write (f.held[0], bb_bytes_of ("long"));
  bb_h1_end (f.held[0]);
  f.holds = false;
  g_assert_true (h1_fixture_await (&f, fd, first, "\r\n0\r\n\r\n"));
  g_assert_null (strstr (first->str, "Connection: close"));
  h1_fixture_ask (fd);
  g_assert_true (is_served (&f, fd, second));
  g_assert_nonnull (strstr (second->str, "Connection: close"));
  close (fd);
  h1_fixture_free (&f);
}

/* A request that crosses the close of an idle connection is not read, and its
   caller is told so by a reset.  */
static void
test_crossing_is_unread (void)
{
  static struct h1_fixture f;
  ssize_t n = 0;
  int fd;

  h1_fixture_init (&f);
  fd = connect_used (&f);
  await_end (&f, fd);
  h1_fixture_ask (fd);
  h1_fixture_run (&f, 50);
  n = send (fd, "G", 1, MSG_NOSIGNAL);
  g_assert_cmpint ((int)n, <, 0);
  close (fd);
  h1_fixture_free (&f);
}

/* A connection over the limit, while all others have a request, is not closed
   in silence: its request gets a response.  */
static void
test_over_limit (void)
{
  static struct h1_fixture f;
  int fds[CONNECTIONS_MAX];
  g_autoptr (GString) got = g_string_new ("");
  int added;

  h1_fixture_init (&f);
  f.holds = true;
  for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
    {
      fds[i] = harness_connect (f.port);
      h1_fixture_ask (fds[i]);
    }
  while (f.held_count < CONNECTIONS_MAX)
    h1_fixture_run (&f, 1);
  f.holds = false;
  added = harness_connect (f.port);
  h1_fixture_ask (added);
  g_assert_true (is_served (&f, added, got));
  g_assert_nonnull (strstr (got->str, "Connection: close"));
  for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
    {
      bb_h1_respond (f.held[i], 200, NULL, 0, bb_bytes_of ("served"));
      g_assert_true (gets_response (&f, fds[i]));
      close (fds[i]);
    }
  close (added);
  h1_fixture_free (&f);
}

/* A lower limit on idling holds for a connection from its next response on:
   the caller may have gone by the one before.  */
static void
test_lowered_idle_limit (void)
{
  static struct h1_fixture f;
  int fd;

  h1_fixture_init (&f);
  f.limits.idle_timeout_ms = READ_TIMEOUT_MS;
  bb_h1_server_set_limits (f.server, &f.limits);
  fd = connect_used (&f);
  f.limits.idle_timeout_ms = IDLE_TIMEOUT_MS;
  bb_h1_server_set_limits (f.server, &f.limits);
  h1_fixture_run (&f, IDLE_TIMEOUT_MS * 2);
  h1_fixture_ask (fd);
  g_assert_true (gets_response (&f, fd));
  await_end (&f, fd);
  close (fd);
  h1_fixture_free (&f);
}

/* A caller that sends its next, large request during a response gets both
   responses.  */
static void
test_large_next_request (void)
{
  static struct h1_fixture f;
  g_autoptr (GString) got = g_string_new ("");
  g_autofree char *body = g_strnfill (BODY_MAX_BYTES / 2, 'b');
  g_autofree char *head = g_strdup_printf (
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %zu\r\n\r\n",
      strlen (body));
  size_t sent = 0;
  int fd;

  h1_fixture_init (&f);
  f.holds = true;
  fd = harness_connect (f.port);
  h1_fixture_ask (fd);
  while (f.held_count == 0)
    h1_fixture_run (&f, 1);
  f.holds = false;
  h1_fixture_send (fd, head);
  for (int turn = 0; turn < 400; turn++)
    {
      ssize_t n = send (fd, body + sent, strlen (body + sent),
                        MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0)
        sent += (size_t)n;
      h1_fixture_run (&f, 1);
      if (turn == 200)
        bb_h1_respond (f.held[0], 200, NULL, 0, bb_bytes_of ("first"));
    }
  g_assert_cmpuint (sent, ==, strlen (body));
  g_assert_true (is_served (&f, fd, got));
  g_assert_nonnull (strstr (got->str, "\r\n\r\nfirst"));
  close (fd);
  h1_fixture_free (&f);
}

/* A request whose end arrived in time is served, although the server reads it
   only after the time for reading it has passed.  */
static void
test_stalled_part (void)
{
  static struct h1_fixture f;
  int fd;

  h1_fixture_init (&f);
  f.limits.read_timeout_ms = SHORT_READ_TIMEOUT_MS;
  bb_h1_server_set_limits (f.server, &f.limits);
  fd = connect_used (&f);
  h1_fixture_send (fd, "GET / HTTP/1.1\r\nHost: ");
  uv_run (&f.loop, UV_RUN_NOWAIT);
  uv_run (&f.loop, UV_RUN_NOWAIT);
  h1_fixture_send (fd, "a\r\n\r\n");
  h1_fixture_stall (SHORT_READ_TIMEOUT_MS * 2);
  g_assert_true (gets_response (&f, fd));
  close (fd);
  h1_fixture_free (&f);
}

/* A caller that pauses while it takes a large response gets all of it, also
   where the response announces the close.  */
static void
test_slow_taker (void)
{
  static struct h1_fixture f;
  g_autofree char *body = g_strnfill (LARGE_BYTES, 'b');
  char buf[65536];
  size_t got = 0;
  gint64 end;
  int fd;

  h1_fixture_init (&f);
  f.holds = true;
  bb_h1_server_drain (f.server);
  fd = harness_connect (f.port);
  h1_fixture_ask (fd);
  while (f.held_count == 0)
    h1_fixture_run (&f, 1);
  bb_h1_respond (f.held[0], 200, NULL, 0, bb_bytes_of (body));
  h1_fixture_run (&f, PAUSE_MS);
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
  h1_fixture_free (&f);
}

/* A caller that takes a large response steadily gets all of it, however long
   that takes.  */
static void
test_steady_taker (void)
{
  static struct h1_fixture f;
  g_autofree char *body = g_strnfill (LARGE_BYTES, 'b');
  g_autofree char *buf = g_malloc (LARGE_BYTES / 64);
  size_t got = 0;
  ssize_t n = 1;
  int fd;

  h1_fixture_init (&f);
  f.limits.read_timeout_ms = SHORT_READ_TIMEOUT_MS;
  bb_h1_server_set_limits (f.server, &f.limits);
  f.holds = true;
  bb_h1_server_drain (f.server);
  fd = harness_connect (f.port);
  h1_fixture_ask (fd);
  while (f.held_count == 0)
    h1_fixture_run (&f, 1);
  bb_h1_respond (f.held[0], 200, NULL, 0, bb_bytes_of (body));
  while (got < LARGE_BYTES && n != 0)
    {
      h1_fixture_run (&f, SHORT_READ_TIMEOUT_MS / 10);
      n = recv (fd, buf, LARGE_BYTES / 64, MSG_DONTWAIT);
      g_assert_true (n >= 0 || errno == EAGAIN);
      got += n > 0 ? (size_t)n : 0;
    }
  g_assert_cmpuint (got, >=, LARGE_BYTES);
  close (fd);
  h1_fixture_free (&f);
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
  static struct h1_fixture f;
  g_autofree char *body = g_strnfill (BODY_MAX_BYTES / 2, 'b');
  int fd;

  h1_fixture_init (&f);
  f.holds = true;
  fd = harness_connect (f.port);
  h1_fixture_ask (fd);
  while (f.held_count == 0)
    h1_fixture_run (&f, 1);
  f.held[0]->on_disconnect = count_disconnect;
  bb_h1_start (f.held[0], 200, NULL, 0);
  h1_fixture_send (
      fd, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 260000\r\n\r\n");
  for (int i = 0; i < 50; i++)
    {
      send (fd, body, 4096, MSG_NOSIGNAL | MSG_DONTWAIT);
      h1_fixture_run (&f, 1);
    }
  close (fd);
  for (int spent = 0; spent < WAIT_MS && disconnects == 0; spent += 10)
    {
      bb_h1_write (f.held[0], bb_bytes_of ("event"));
      h1_fixture_run (&f, 10);
    }
  g_assert_cmpuint (disconnects, ==, 1);
  h1_fixture_free (&f);
}

/* A connection that was over the limit when it came, but is not any more when
   its request does, is served as any other.  */
static void
test_limit_is_past (void)
{
  static struct h1_fixture f;
  int fds[CONNECTIONS_MAX];
  int added;

  h1_fixture_init (&f);
  f.holds = true;
  for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
    {
      fds[i] = harness_connect (f.port);
      h1_fixture_ask (fds[i]);
    }
  while (f.held_count < CONNECTIONS_MAX)
    h1_fixture_run (&f, 1);
  added = harness_connect (f.port);
  h1_fixture_run (&f, 50);
  for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
    {
      bb_h1_respond (f.held[i], 200, NULL, 0, bb_bytes_of ("served"));
      g_assert_true (gets_response (&f, fds[i]));
      close (fds[i]);
    }
  h1_fixture_run (&f, 50);
  h1_fixture_ask (added);
  while (f.held_count < CONNECTIONS_MAX + 1)
    h1_fixture_run (&f, 1);
  g_assert_false (f.held[CONNECTIONS_MAX]->over_limit);
  close (added);
  h1_fixture_free (&f);
}

/* A request with a space in the name of a header is malformed: another reader
   could take it for the header without the space.  */
static void
test_spaced_name (void)
{
  static const char *const lines[]
      = { "X-Tenant : other",   "Authorization : Bearer key",
          "Content-Length : 3", "Transfer-Encoding : chunked",
          "X-Tenant\t: other",  "X Tenant: other" };
  static struct h1_fixture f;

  h1_fixture_init (&f);
  for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
    {
      g_autofree char *text = g_strdup_printf (
          "POST / HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n", lines[i]);
      g_autoptr (GString) got = g_string_new ("");
      int fd = harness_connect (f.port);
      g_test_message ("%s", lines[i]);
      h1_fixture_send (fd, text);
      g_assert_true (h1_fixture_await (&f, fd, got, "\r\n\r\n"));
      g_assert_true (g_str_has_prefix (got->str, "HTTP/1.1 400 "));
      close (fd);
    }
  h1_fixture_free (&f);
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
  g_test_add_func ("/h1-server/spaced-name", test_spaced_name);
  return g_test_run ();
}
