#include "h1_server_fixture.h"

#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

static void
on_request (struct bb_h1_exchange *x, void *arg)
{
  struct h1_fixture *f = arg;

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

void
h1_fixture_init (struct h1_fixture *f)
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

void
h1_fixture_free (struct h1_fixture *f)
{
  harness_free (f->harness);
}

void
h1_fixture_run (struct h1_fixture *f, int ms)
{
  gint64 end = g_get_monotonic_time () + (gint64)ms * 1000;

  while (g_get_monotonic_time () < end)
    {
      uv_run (&f->loop, UV_RUN_NOWAIT);
      g_usleep (1000);
    }
}

void
h1_fixture_stall (int ms)
{
  g_usleep ((gulong)ms * 1000);
}

void
h1_fixture_send (int fd, const char *text)
{
  size_t size = strlen (text);

  g_assert_cmpint ((int)send (fd, text, size, MSG_NOSIGNAL), ==, (int)size);
}

void
h1_fixture_ask (int fd)
{
  h1_fixture_send (fd, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
}

bool
h1_fixture_await (struct h1_fixture *f, int fd, GString *got, const char *text)
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
