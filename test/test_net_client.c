/* Tests of the HTTP client of libnet in this process: how a response ends
   whose end its head does not mark.  */

#include "bilberry/net.h"

#include <glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  IO_TIMEOUT_MS = 5000,
  WAIT_MS = 8000,
  ARRIVAL_US = 20000, /* time for all that was sent to arrive */
  UPLOAD_BYTES = 4 * 1024 * 1024,
  RECEIVE_BUFFER_BYTES = 16 * 1024, /* of an upstream that reads no upload */
  PART_BYTES = 40000,
  BODY_MAX_BYTES = 1024 * 1024,
  FILLER_BYTES = 64 * 1024,
  ENDLESS_BYTES = 16 * 1024 * 1024 /* more than any limit */
};

struct fixture
{
  uv_loop_t *loop;
  struct bb_http_client *client;
  int listener;
  bool ended;
  bool whole;
  bool has_head;
  uint16_t status;  /* of the head */
  GString *headers; /* NAME=VALUE, a line each */
  GString *body;
};

static void
on_head (struct bb_http_call *c, uint16_t status,
         const struct bb_header *headers, uint32_t count)
{
  struct fixture *f = bb_http_call_user (c);

  g_string_truncate (f->headers, 0);
  for (uint32_t i = 0; i < count; i++)
    g_string_append_printf (f->headers, "%.*s=%.*s\n",
                            (int)headers[i].name.size, headers[i].name.ptr,
                            (int)headers[i].value.size, headers[i].value.ptr);
  f->has_head = true;
  f->status = status;
  bb_http_call_limit_body (c, BODY_MAX_BYTES);
}

static void
on_data (struct bb_http_call *c, struct bb_bytes data)
{
  struct fixture *f = bb_http_call_user (c);

  g_string_append_len (f->body, data.ptr, data.size);
}

static void
on_end (struct bb_http_call *c, const char *error, enum bb_run run)
{
  struct fixture *f = bb_http_call_user (c);

  f->ended = true;
  f->whole = error == NULL;
  g_assert_cmpint (run, ==, error ? BB_RUN_MAYBE_RUN : BB_RUN_RAN);
}

/* Makes the listener and a client of it, once for all plays.  */
static void
set_up (struct fixture *f)
{
  struct sockaddr_storage addr = { 0 };
  struct sockaddr_in *in = (struct sockaddr_in *)&addr;
  socklen_t size = sizeof *in;

  in->sin_family = AF_INET;
  in->sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  f->listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  g_assert_cmpint (bind (f->listener, (struct sockaddr *)in, size), ==, 0);
  g_assert_cmpint (listen (f->listener, 8), ==, 0);
  g_assert_cmpint (getsockname (f->listener, (struct sockaddr *)in, &size), ==,
                   0);
  f->loop = uv_default_loop ();
  f->client = bb_http_client_new (f->loop, &addr, "a", IO_TIMEOUT_MS);
  f->body = g_string_new ("");
  f->headers = g_string_new ("");
}

static void
tear_down (struct fixture *f)
{
  g_string_free (f->headers, TRUE);
  g_string_free (f->body, TRUE);
  close (f->listener);
}

/* Runs the loop until FD, or a new connection where it is -1, can be read.
   Returns the connection.  */
static int
await_request (struct fixture *f)
{
  gint64 end = g_get_monotonic_time () + (gint64)WAIT_MS * 1000;
  char buf[1024];
  int fd = -1;

  while (g_get_monotonic_time () < end)
    {
      uv_run (f->loop, UV_RUN_NOWAIT);
      if (fd < 0)
        fd = accept4 (f->listener, NULL, NULL, SOCK_NONBLOCK);
      else if (recv (fd, buf, sizeof buf, 0) > 0)
        return fd;
      g_usleep (1000);
    }
  g_assert_not_reached ();
}

/* Starts a call without a body.  Returns its connection at the upstream, which
   has got the request.  */
static int
start_call (struct fixture *f)
{
  static const struct bb_http_call_ops ops = { on_head, on_data, on_end };

  f->ended = false;
  f->has_head = false;
  g_string_truncate (f->body, 0);
  bb_http_client_send (f->client, bb_bytes_of ("GET"), bb_bytes_of ("/"), NULL,
                       0, bb_bytes_of (""), &ops, f);
  return await_request (f);
}

static void
run_until_ended (struct fixture *f, bool wanted)
{
  gint64 end = g_get_monotonic_time () + (gint64)WAIT_MS * 1000;

  while (!f->ended && g_get_monotonic_time () < end)
    {
      uv_run (f->loop, UV_RUN_NOWAIT);
      g_usleep (1000);
    }
  g_assert_true (f->ended);
  g_assert_cmpint (f->whole, ==, wanted);
}

/* The upstream sends TEXT and ends the connection,
   with RESET by a reset, LATER after the client has read the part.  */
static void
play_end (struct fixture *f, const char *text, bool reset, bool later,
          bool wanted)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  int fd;

  g_test_message ("%s, reset %d, later %d", text, reset, later);
  fd = start_call (f);
  g_assert_cmpint ((int)send (fd, text, strlen (text), MSG_NOSIGNAL), ==,
                   (int)strlen (text));
  for (int i = 0; later && i < 5; i++)
    {
      uv_run (f->loop, UV_RUN_NOWAIT);
      g_usleep (ARRIVAL_US / 5);
    }
  if (reset)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
  g_usleep (ARRIVAL_US);
  run_until_ended (f, wanted);
  if (f->has_head)
    g_assert_cmpuint (f->status, ==, 200);
  g_assert_true (g_str_has_prefix ("part", f->body->str));
}

/* A response with neither length nor chunks that is reset is incomplete, at
   whatever moment the reset is found (the cause of review/1, at agents).  */
static void
test_reset_response (void)
{
  static const char none[] = "HTTP/1.1 200 OK\r\n\r\npart";
  static const char length[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
  static const char chunks[]
      = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\npart";

  static struct fixture f;

  set_up (&f);
  for (int later = 0; later < 2; later++)
    {
      play_end (&f, none, false, later, true);
      play_end (&f, none, true, later, false);
      play_end (&f, length, false, later, false);
      play_end (&f, length, true, later, false);
      play_end (&f, chunks, false, later, false);
      play_end (&f, chunks, true, later, false);
    }
  tear_down (&f);
}

/* Nor is one complete that is reset while the request is being written.  */
static void
test_reset_in_upload (void)
{
  static const struct bb_http_call_ops ops = { on_head, on_data, on_end };
  static struct fixture f;
  g_autofree char *upload = g_strnfill (UPLOAD_BYTES, 'u');
  g_autofree char *part = g_strnfill (PART_BYTES, 'x');
  g_autofree char *text = g_strconcat ("HTTP/1.1 200 OK\r\n\r\n", part, NULL);
  struct bb_bytes body = { upload, UPLOAD_BYTES };
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  int size = RECEIVE_BUFFER_BYTES;
  int fd;

  set_up (&f);
  setsockopt (f.listener, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  bb_http_client_send (f.client, bb_bytes_of ("POST"), bb_bytes_of ("/"), NULL,
                       0, body, &ops, &f);
  fd = await_request (&f);
  for (int i = 0; i < 5; i++)
    {
      uv_run (f.loop, UV_RUN_NOWAIT);
      g_usleep (ARRIVAL_US);
    }
  g_assert_cmpint ((int)send (fd, text, strlen (text), MSG_NOSIGNAL), ==,
                   (int)strlen (text));
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
  g_usleep (ARRIVAL_US);
  run_until_ended (&f, false);
  tear_down (&f);
}

/* A head that ends in its middle is no response with that status.  */
static void
test_ended_head (void)
{
  static const char *const heads[]
      = { "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX: 1",
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" };
  static struct fixture f;

  set_up (&f);
  for (size_t i = 0; i < 4 * G_N_ELEMENTS (heads); i++)
    {
      play_end (&f, heads[i / 4], i % 2, i / 2 % 2, false);
      g_assert_false (f.has_head);
    }
  tear_down (&f);
}

struct head_case
{
  const char *head; /* the first line, or the first lines */
  uint16_t status;  /* that the call gets; 0: none, the head is malformed */
};

/* The upstream sends a response with the head of C and keeps the connection,
   which serves another call only if that head is sound.  */
static void
play_head (struct fixture *f, const struct head_case *c)
{
  g_autofree char *shown = g_strescape (c->head, NULL);
  g_autofree char *text
      = g_strconcat (c->head, "Content-Length: 2\r\n\r\nok", NULL);
  char byte;
  int fd;

  g_test_message ("%s", shown);
  fd = start_call (f);
  g_assert_cmpint ((int)send (fd, text, strlen (text), MSG_NOSIGNAL), ==,
                   (int)strlen (text));
  run_until_ended (f, c->status > 0);
  g_assert_cmpint (f->has_head, ==, c->status > 0);
  g_assert_cmpstr (f->body->str, ==, c->status > 0 ? "ok" : "");
  if (c->status > 0)
    g_assert_cmpuint (f->status, ==, c->status);
  else
    g_assert_cmpint ((int)recv (fd, &byte, 1, 0), ==, 0);
  close (fd);
  g_usleep (ARRIVAL_US);
}

/* A status that HTTP does not have is no answer.  */
static void
test_status (void)
{
  static const struct head_case cases[] = {
    { "HTTP/1.1 200 OK\r\n", 200 },
    { "HTTP/1.1 599 Odd\r\n", 599 },
    { "HTTP/1.1 000 None\r\n", 0 },
    { "HTTP/1.1 000\r\n", 0 },
    { "HTTP/1.1 20 OK\r\n", 0 },
    { "HTTP/1.1 099 Low\r\n", 0 },
    { "HTTP/1.1 600 High\r\n", 0 },
    { "HTTP/1.1 999 High\r\n", 0 },
    { "HTTP/1.1 1000 High\r\n", 0 },
    { "HTTP/1.1 0200 OK\r\n", 0 },
    { "HTTP/1.1 00200 OK\r\n", 0 },
    { "HTTP/1.1 0200\r\n", 0 },
    { "HTTP/1.1 0102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n", 0 },
    { "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 0200 OK\r\n", 0 },
    { "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 None\r\n", 0 },
    { "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n", 200 },
  };
  static struct fixture f;

  set_up (&f);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    play_head (&f, &cases[i]);
  tear_down (&f);
}

/* Nor is one in whose head a header name is not a token of HTTP, or empty.  */
static void
test_header_name (void)
{
  static const struct head_case cases[] = {
    { "HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~9a: 1\r\n", 200 },
    { "HTTP/1.1 200 OK\r\nX: 1\r\n Y: 2\r\n", 200 }, /* a folded value */
    { "HTTP/1.1 200 OK\r\nX Y: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nX\tY: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nX : 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\n X: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\n\tX: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nX\x01: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nX\x0b: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nX\r: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nX\x7f: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nX\xa0: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nX(Y: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\n: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nX\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nContent-Length\x01: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding\x0c: chunked\r\n", 0 },
  };
  static struct fixture f;

  set_up (&f);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    play_head (&f, &cases[i]);
  tear_down (&f);
}

/* A value that is folded over lines is one value: no line of it is passed on
   as a header without a name.  */
static void
test_folded_value (void)
{
  static const struct head_case fold
      = { "HTTP/1.1 200 OK\r\nX: 1\r\n Y: 2\r\n\tZ\r\nW: 3\r\n", 200 };
  static struct fixture f;

  set_up (&f);
  play_head (&f, &fold);
  g_assert_cmpstr (f.headers->str, ==,
                   "x=1   Y: 2  \tZ\nw=3\ncontent-length=2\n");
  tear_down (&f);
}

/* Sends START and then 'x' without end, or SIZE bytes of them, as a response
   whose body may have BODY_MAX_BYTES.  Returns how the call has ended.  */
static bool
play_long (struct fixture *f, const char *start, size_t size)
{
  g_autofree char *filler = g_strnfill (FILLER_BYTES, 'x');
  gint64 end = g_get_monotonic_time () + (gint64)WAIT_MS * 1000;
  size_t sent = 0;
  int fd;

  g_test_message ("%s, %zu bytes", start, size);
  fd = start_call (f);
  g_assert_cmpint ((int)send (fd, start, strlen (start), MSG_NOSIGNAL), ==,
                   (int)strlen (start));
  while (!f->ended && sent < size && g_get_monotonic_time () < end)
    {
      ssize_t n = send (fd, filler, MIN (size - sent, FILLER_BYTES),
                        MSG_NOSIGNAL | MSG_DONTWAIT);
      sent += n > 0 ? (size_t)n : 0;
      uv_run (f->loop, UV_RUN_NOWAIT);
    }
  close (fd);
  while (!f->ended && g_get_monotonic_time () < end)
    uv_run (f->loop, UV_RUN_NOWAIT);
  g_assert_true (f->ended);
  g_assert_cmpuint (f->body->len, <=, BODY_MAX_BYTES);
  /* What is without end is not read for long.  */
  g_assert_cmpuint (sent, <, ENDLESS_BYTES);
  return f->whole;
}

/* A response without end, in its head or its body, ends its call before much
   of it is kept; one that is as long as allowed is whole.  */
static void
test_long (void)
{
  static const char chunks[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                               "chunked\r\n\r\nfffffff\r\n";
  static const char length[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n";
  static struct fixture f;

  set_up (&f);
  g_assert_false (play_long (&f, "HTTP/1.1 200 ", ENDLESS_BYTES));
  g_assert_false (f.has_head);
  g_assert_false (play_long (&f, "HTTP/1.1 200 OK\r\nX: ", ENDLESS_BYTES));
  g_assert_false (f.has_head);
  g_assert_false (play_long (&f, chunks, ENDLESS_BYTES));
  g_assert_false (play_long (&f, length, ENDLESS_BYTES));
  g_assert_false (
      play_long (&f, "HTTP/1.1 200 OK\r\n\r\n", BODY_MAX_BYTES + 1));
  g_assert_true (play_long (&f, "HTTP/1.1 200 OK\r\n\r\n", BODY_MAX_BYTES));
  g_assert_cmpuint (f.body->len, ==, BODY_MAX_BYTES);
  tear_down (&f);
}

static void
on_fetched (const char *error, uint16_t status, struct bb_bytes body,
            void *user)
{
  struct fixture *f = user;

  f->ended = true;
  f->whole = error == NULL;
  f->status = status;
  g_string_append_len (f->body, body.ptr, body.size);
}

/* Guards against fetches, as of the configuration service and the list of VMs,
   that take a status that HTTP does not have for that of an answer.  */
static void
test_fetch_status (void)
{
  static const struct head_case cases[] = {
    { "HTTP/1.1 200 OK\r\n", 200 },
    { "HTTP/1.1 000 None\r\n", 0 },
    { "HTTP/1.1 600 High\r\n", 0 },
    { "HTTP/1.1 0200 OK\r\n", 0 },
  };
  static struct fixture f;

  set_up (&f);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *text
          = g_strconcat (cases[i].head, "Content-Length: 2\r\n\r\nok", NULL);
      int fd;
      f.ended = false;
      g_string_truncate (f.body, 0);
      bb_http_fetch (f.client, "GET", "/", bb_bytes_of (""), 100, on_fetched,
                     &f);
      fd = await_request (&f);
      g_assert_cmpint ((int)send (fd, text, strlen (text), MSG_NOSIGNAL), ==,
                       (int)strlen (text));
      run_until_ended (&f, cases[i].status > 0);
      g_assert_cmpuint (f.status, ==, cases[i].status);
      close (fd);
    }
  tear_down (&f);
}

/* A body that is longer than a fetch takes is an error, not one with parts
   left out.  */
static void
test_fetch (void)
{
  static const char text[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nabcdefgh";
  static struct fixture f;
  int fd;

  set_up (&f);
  for (size_t max = 7; max <= 8; max++)
    {
      f.ended = false;
      g_string_truncate (f.body, 0);
      bb_http_fetch (f.client, "GET", "/", bb_bytes_of (""), max, on_fetched,
                     &f);
      fd = await_request (&f);
      /* In two parts, of which the second fits alone.  */
      g_assert_cmpint ((int)send (fd, text, sizeof text - 2, MSG_NOSIGNAL), >,
                       0);
      for (int i = 0; i < 5; i++)
        {
          uv_run (f.loop, UV_RUN_NOWAIT);
          g_usleep (ARRIVAL_US / 5);
        }
      send (fd, text + sizeof text - 2, 1, MSG_NOSIGNAL);
      run_until_ended (&f, max == 8);
      g_assert_cmpstr (f.body->str, ==, max == 8 ? "abcdefgh" : "abcdefg");
      close (fd);
    }
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  /* As in the daemons.  */
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/net-client/reset-response", test_reset_response);
  g_test_add_func ("/net-client/reset-in-upload", test_reset_in_upload);
  g_test_add_func ("/net-client/status", test_status);
  g_test_add_func ("/net-client/fetch-status", test_fetch_status);
  g_test_add_func ("/net-client/header-name", test_header_name);
  g_test_add_func ("/net-client/folded-value", test_folded_value);
  g_test_add_func ("/net-client/long", test_long);
  g_test_add_func ("/net-client/fetch", test_fetch);
  g_test_add_func ("/net-client/ended-head", test_ended_head);
  return g_test_run ();
}
