/* Tests of how responses of libh1's server end for callers that read slowly,
   or whose connection ends while a response is on its way.  */

#include "harness/h1_server_fixture.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  STEADY_PAUSE_MS = 250, /* below SHORT_READ_TIMEOUT_MS */
  STEADY_READS = 14,
  READ_BYTES = 65536
};

static const char request_10[] = "GET / HTTP/1.0\r\nHost: a\r\n\r\n";
static const char request_11[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/* Starts a server that gives up a caller who takes nothing for
   SHORT_READ_TIMEOUT_MS.  Connects with a small receive buffer, sends REQUEST,
   and returns the connection once the handler has the request.  */
static int
start_request (struct h1_fixture *f, const char *request)
{
  int fd;

  h1_fixture_init (f);
  f->holds = true;
  f->limits.read_timeout_ms = SHORT_READ_TIMEOUT_MS;
  bb_h1_server_set_limits (f->server, &f->limits);
  fd = harness_send_unread (f->port, request, strlen (request));
  while (f->held_count == 0)
    h1_fixture_run (f, 1);
  return fd;
}

/* Reads what comes until the end of FD.  Returns how many bytes came, and sets
 *RESET if the end is a reset.  */
static size_t
read_to_end (struct h1_fixture *f, int fd, GString *got, bool *reset)
{
  gint64 end = g_get_monotonic_time () + (gint64)WAIT_MS * 1000;
  g_autofree char *buf = g_malloc (READ_BYTES);
  size_t size = 0;

  *reset = false;
  while (g_get_monotonic_time () < end)
    {
      ssize_t n;
      uv_run (&f->loop, UV_RUN_NOWAIT);
      n = recv (fd, buf, READ_BYTES, MSG_DONTWAIT);
      if (n > 0)
        {
          size += (size_t)n;
          if (got)
            g_string_append_len (got, buf, n);
        }
      else if (n == 0)
        return size;
      else if (errno != EAGAIN && errno != EINTR)
        {
          *reset = true;
          return size;
        }
      else
        g_usleep (1000);
    }
  g_assert_not_reached ();
}

static void
respond_large (struct h1_fixture *f, bool in_parts)
{
  g_autofree char *body = g_strnfill (LARGE_BYTES, 'b');

  if (!in_parts)
    {
      bb_h1_respond (f->held[0], 200, NULL, 0, bb_bytes_of (body));
      return;
    }
  bb_h1_start (f->held[0], 200, NULL, 0);
  bb_h1_write (f->held[0], bb_bytes_of (body));
  bb_h1_end (f->held[0]);
}

/* A caller of HTTP/1.0 who takes nothing is given up by a reset: the end of
   the connection would make the part in the kernel's buffers look complete
   (review/4).  */
static void
test_still_taker (void)
{
  static struct h1_fixture f;
  int fd = start_request (&f, request_10);
  bool reset;
  size_t size;

  respond_large (&f, true);
  h1_fixture_run (&f, SHORT_READ_TIMEOUT_MS * 4);
  size = read_to_end (&f, fd, NULL, &reset);
  g_assert_cmpuint (size, <, LARGE_BYTES);
  g_assert_true (reset);
  close (fd);
  h1_fixture_free (&f);
}

/* One who takes little at a time, with pauses, is not given up, although the
   kernel accepts nothing more for so long.  */
static void
test_steady_taker (void)
{
  static struct h1_fixture f;
  int fd = start_request (&f, request_10);
  g_autofree char *buf = g_malloc (READ_BYTES);
  bool reset;

  respond_large (&f, true);
  for (int i = 0; i < STEADY_READS; i++)
    {
      h1_fixture_run (&f, STEADY_PAUSE_MS);
      g_assert_cmpint ((int)recv (fd, buf, READ_BYTES, MSG_DONTWAIT), >, 0);
    }
  g_assert_cmpuint (read_to_end (&f, fd, NULL, &reset), >, LARGE_BYTES / 2);
  g_assert_false (reset);
  close (fd);
  h1_fixture_free (&f);
}

/* A response that was begun and is broken off shows it: in chunks by the
   missing last one, else by a reset.  */
static void
test_broken_off (void)
{
  static struct h1_fixture fixtures[2];

  for (int minor = 0; minor < 2; minor++)
    {
      struct h1_fixture *f = &fixtures[minor];
      int fd = start_request (f, minor ? request_11 : request_10);
      g_autoptr (GString) got = g_string_new ("");
      bool reset;
      bb_h1_start (f->held[0], 200, NULL, 0);
      bb_h1_write (f->held[0], bb_bytes_of ("part"));
      h1_fixture_await (f, fd, got, "part");
      bb_h1_abort (f->held[0]);
      read_to_end (f, fd, got, &reset);
      g_assert_nonnull (strstr (got->str, "part"));
      g_assert_true (reset || strstr (got->str, "chunked"));
      g_assert_null (strstr (got->str, "\r\n0\r\n\r\n"));
      close (fd);
      h1_fixture_free (f);
    }
}

/* One that is whole ends in order for both.  */
static void
test_whole (void)
{
  static struct h1_fixture fixtures[4];

  for (int i = 0; i < 4; i++)
    {
      struct h1_fixture *f = &fixtures[i];
      int fd = start_request (f, i % 2 ? request_11 : request_10);
      bool reset;
      bb_h1_server_drain (f->server);
      respond_large (f, i / 2);
      g_assert_cmpuint (read_to_end (f, fd, NULL, &reset), >=, LARGE_BYTES);
      g_assert_false (reset);
      close (fd);
      h1_fixture_free (f);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/h1-ends/still-taker", test_still_taker);
  g_test_add_func ("/h1-ends/steady-taker", test_steady_taker);
  g_test_add_func ("/h1-ends/broken-off", test_broken_off);
  g_test_add_func ("/h1-ends/whole", test_whole);
  return g_test_run ();
}
