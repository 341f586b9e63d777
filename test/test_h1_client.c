/* Tests of the HTTP client of libh1 in this process.  The loop runs only where
   a test says so, which plays a process that was stalled: what the upstream
   does to a kept connection lies unread when the next call begins.  */

#include "bilberry/h1.h"

#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  CONNECT_TIMEOUT_MS = 20000,
  IDLE_MAX_MS = 60000,
  WAIT_MS = 5000,     /* longest wait for what must come */
  READ_BYTES = 16384, /* that the client reads at a time */
  ARRIVAL_US = 20000, /* time for all that was sent to arrive */
  /* An upload that fills the buffers of the connection, where the upstream
     reads none of it and receives RECEIVE_BUFFER_BYTES.  */
  UPLOAD_BYTES = 4 * 1024 * 1024,
  RECEIVE_BUFFER_BYTES = 16 * 1024
};

/* A response to no request, as servers send it before they close an idle
   connection.  */
static const char stray[] = "HTTP/1.1 408 Request Timeout\r\n"
                            "Content-Length: 5\r\n\r\nstray";

struct fixture
{
  uv_loop_t loop;
  struct bb_h1_pool *pool;
  int listener; /* the upstream's */
  bool ended;   /* the last call */
  bool repeats; /* the end of a call starts another */
  const char
      *upload; /* of UPLOAD_BYTES, body of the calls; NULL: a short one */
  enum bb_h1_result result;
  uint16_t status;
  GString *body;
};

static void
on_head (struct bb_h1_call *c, const struct bb_h1_message *head, void *user)
{
  struct fixture *f = user;

  (void)c;
  f->status = head->status;
}

static void
on_data (struct bb_h1_call *c, struct bb_bytes data, void *user)
{
  struct fixture *f = user;

  (void)c;
  g_string_append_len (f->body, data.ptr, data.size);
}

static void start_call (struct fixture *f);

static void
on_end (struct bb_h1_call *c, enum bb_h1_result result, void *user)
{
  struct fixture *f = user;

  (void)c;
  g_assert_false (f->ended);
  f->ended = true;
  f->result = result;
  if (f->repeats)
    {
      f->repeats = false;
      start_call (f);
    }
}

static void
set_up (struct fixture *f)
{
  struct sockaddr_storage addr = { 0 };
  struct sockaddr_in *in = (struct sockaddr_in *)&addr;
  socklen_t size = sizeof *in;

  memset (f, 0, sizeof *f);
  in->sin_family = AF_INET;
  in->sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  f->listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  g_assert_cmpint (bind (f->listener, (struct sockaddr *)in, size), ==, 0);
  g_assert_cmpint (listen (f->listener, 8), ==, 0);
  g_assert_cmpint (getsockname (f->listener, (struct sockaddr *)in, &size), ==,
                   0);
  uv_loop_init (&f->loop);
  f->pool = bb_h1_pool_new (&f->loop, &addr, CONNECT_TIMEOUT_MS);
  f->body = g_string_new ("");
}

/* Also checks that no handle is left in the loop.  */
static void
tear_down (struct fixture *f)
{
  bb_h1_pool_free (f->pool);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  g_assert_cmpint (uv_loop_close (&f->loop), ==, 0);
  g_string_free (f->body, TRUE);
  close (f->listener);
}

static void
start_call (struct fixture *f)
{
  static const struct bb_h1_call_ops ops = { on_head, on_data, on_end };
  struct bb_h1_request request = { .method = bb_bytes_of ("POST"),
                                   .target = bb_bytes_of ("/"),
                                   .host = bb_bytes_of ("a"),
                                   .body = bb_bytes_of ("asked"),
                                   .idle_max_ms = IDLE_MAX_MS };

  if (f->upload)
    request.body = (struct bb_bytes){ f->upload, UPLOAD_BYTES };
  f->ended = false;
  f->status = 0;
  g_string_truncate (f->body, 0);
  bb_h1_call (f->pool, &request, &ops, f);
}

/* Runs the loop until the upstream has a connection, which it returns, or the
   call has ended: -1.  */
static int
accept_next (struct fixture *f)
{
  gint64 end = g_get_monotonic_time () + (gint64)WAIT_MS * 1000;

  while (g_get_monotonic_time () < end)
    {
      int fd = accept4 (f->listener, NULL, NULL, SOCK_NONBLOCK);
      if (fd >= 0 || f->ended)
        return fd;
      uv_run (&f->loop, UV_RUN_NOWAIT);
      g_usleep (1000);
    }
  return -1;
}

/* Runs the loop until the upstream has the whole request on FD.  */
static bool
gets_request (struct fixture *f, int fd)
{
  gint64 end = g_get_monotonic_time () + (gint64)WAIT_MS * 1000;
  g_autoptr (GString) got = g_string_new ("");

  while (!strstr (got->str, "\r\n\r\nasked") && !f->ended
         && g_get_monotonic_time () < end)
    {
      char buf[4096];
      ssize_t n;
      uv_run (&f->loop, UV_RUN_NOWAIT);
      n = recv (fd, buf, sizeof buf, 0);
      if (n > 0)
        g_string_append_len (got, buf, n);
      else
        g_usleep (1000);
    }
  return g_str_has_prefix (got->str, "POST / HTTP/1.1\r\n")
         && g_str_has_suffix (got->str, "\r\n\r\nasked");
}

static void
send_text (int fd, const char *text)
{
  size_t size = strlen (text);

  g_assert_cmpint ((int)send (fd, text, size, MSG_NOSIGNAL), ==, (int)size);
}

/* The upstream responds on FD, and the call gets that.  */
static void
assert_response (struct fixture *f, int fd)
{
  gint64 end = g_get_monotonic_time () + (gint64)WAIT_MS * 1000;

  g_string_truncate (f->body, 0);
  send_text (fd, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n"
                 "Keep-Alive: timeout=60\r\n\r\nserved");
  while (!f->ended && g_get_monotonic_time () < end)
    {
      uv_run (&f->loop, UV_RUN_NOWAIT);
      g_usleep (1000);
    }
  g_assert_true (f->ended);
  g_assert_cmpstr (bb_h1_result_name (f->result), ==, "whole");
  g_assert_cmpuint (f->status, ==, 200);
  g_assert_cmpstr (f->body->str, ==, "served");
}

/* The upstream gets the request on FD, and the call its response.  */
static void
assert_served (struct fixture *f, int fd)
{
  g_assert_true (gets_request (f, fd));
  assert_response (f, fd);
}

/* The call that was started is served on a new connection, which is
   returned.  */
static int
assert_served_on_new (struct fixture *f)
{
  int fd = accept_next (f);

  if (f->ended)
    g_test_message ("ended: %s, status %u", bb_h1_result_name (f->result),
                    f->status);
  g_assert_cmpint (fd, >=, 0);
  assert_served (f, fd);
  return fd;
}

/* Returns a kept connection, on which one call was served.  */
static int
connect_used (struct fixture *f)
{
  start_call (f);
  return assert_served_on_new (f);
}

static void
count_readable (uv_handle_t *h, void *arg)
{
  int *count = arg;
  struct pollfd p = { .events = POLLIN };

  if (h->type == UV_TCP && !uv_is_closing (h) && uv_fileno (h, &p.fd) == 0
      && poll (&p, 1, 0) == 1)
    (*count)++;
}

/* Waits, without running the loop, until a connection of the client has
   something to read.  */
static void
await_unread (struct fixture *f)
{
  gint64 end = g_get_monotonic_time () + (gint64)WAIT_MS * 1000;
  int count = 0;

  while (count == 0 && g_get_monotonic_time () < end)
    {
      uv_walk (&f->loop, count_readable, &count);
      g_usleep (1000);
    }
  g_assert_cmpint (count, ==, 1);
}

static void
reset (int fd)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  g_assert_cmpint (
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger), ==, 0);
  close (fd);
}

/* A call does not go to a connection that the upstream has closed.  */
static void
test_closed_idle (void)
{
  static struct fixture f;

  set_up (&f);
  close (connect_used (&f));
  await_unread (&f);
  start_call (&f);
  close (assert_served_on_new (&f));
  tear_down (&f);
}

/* Nor to one that the upstream has reset.  */
static void
test_reset_idle (void)
{
  static struct fixture f;

  set_up (&f);
  reset (connect_used (&f));
  await_unread (&f);
  start_call (&f);
  close (assert_served_on_new (&f));
  tear_down (&f);
}

/* Nor to one that the upstream closes after the call took it and before the
   request is sent.  */
static void
test_closed_before_send (void)
{
  static struct fixture f;
  int fd;

  set_up (&f);
  fd = connect_used (&f);
  start_call (&f);
  close (fd);
  await_unread (&f);
  close (assert_served_on_new (&f));
  tear_down (&f);
}

/* A response that came before the request is not taken for its response.  */
static void
test_stray_idle (void)
{
  static struct fixture f;
  int fd;

  set_up (&f);
  fd = connect_used (&f);
  send_text (fd, stray);
  await_unread (&f);
  start_call (&f);
  close (assert_served_on_new (&f));
  close (fd);
  tear_down (&f);
}

static void
on_prepare (uv_prepare_t *p)
{
  start_call (p->data);
  uv_close ((uv_handle_t *)p, NULL);
}

/* Starts a call in the loop, just before the loop reads what has arrived; the
   request is sent after that.  */
static void
start_call_before_read (struct fixture *f)
{
  static uv_prepare_t prepare;

  uv_prepare_init (&f->loop, &prepare);
  prepare.data = f;
  uv_prepare_start (&prepare, on_prepare);
  uv_run (&f->loop, UV_RUN_NOWAIT);
}

/* Nor is one that the client reads after the call took the connection.  */
static void
test_stray_before_send (void)
{
  static struct fixture f;
  int fd;

  set_up (&f);
  fd = connect_used (&f);
  send_text (fd, stray);
  await_unread (&f);
  start_call_before_read (&f);
  close (assert_served_on_new (&f));
  close (fd);
  tear_down (&f);
}

/* A call whose connection turns out to be closed when it is read, before the
   request is sent, is served on another.  */
static void
test_closed_read_before_send (void)
{
  static struct fixture f;

  set_up (&f);
  close (connect_used (&f));
  await_unread (&f);
  start_call_before_read (&f);
  close (assert_served_on_new (&f));
  tear_down (&f);
}

/* A call goes to the kept connection that is sound, not to the one that was
   closed, nor to a new one.  */
static void
test_other_kept (void)
{
  static struct fixture f;
  int sound;
  int closed;

  set_up (&f);
  /* Two calls at once, so that there are two connections; the one that is
     closed was used last.  */
  start_call (&f);
  closed = accept_next (&f);
  g_assert_true (gets_request (&f, closed));
  start_call (&f);
  sound = accept_next (&f);
  assert_served (&f, sound);
  f.ended = false;
  assert_response (&f, closed);
  close (closed);
  await_unread (&f);
  start_call (&f);
  assert_served (&f, sound);
  g_assert_cmpint (accept4 (f.listener, NULL, NULL, SOCK_NONBLOCK), <, 0);
  close (sound);
  tear_down (&f);
}

/* A sound connection is reused.  */
static void
test_reuse (void)
{
  static struct fixture f;
  int fd;

  set_up (&f);
  fd = connect_used (&f);
  for (int i = 0; i < 3; i++)
    {
      start_call (&f);
      assert_served (&f, fd);
    }
  g_assert_cmpint (accept4 (f.listener, NULL, NULL, SOCK_NONBLOCK), <, 0);
  close (fd);
  tear_down (&f);
}

/* How an upstream ends its connection after the bytes of a response.  */
enum ending
{
  END_IN_ORDER,
  END_RESET,
  END_THEN_RESET /* in order, and reset afterwards */
};

struct end_case
{
  const char *name;
  const char *text; /* what the upstream sends before the end */
  size_t filler;    /* bytes after it */
  enum ending ending;
  const char *result;
};

/* The upstream sends the response of C on FD and ends the connection, all
   before the loop of F runs; then the call ends as C says.  */
static void
play_end (struct fixture *f, int fd, const struct end_case *c)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  g_autofree char *filler = g_strnfill (c->filler, 'x');
  gint64 end;

  send_text (fd, c->text);
  send_text (fd, filler);
  if (c->ending == END_THEN_RESET)
    shutdown (fd, SHUT_WR);
  if (c->ending != END_IN_ORDER)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
  await_unread (f);
  g_usleep (ARRIVAL_US);
  end = g_get_monotonic_time () + (gint64)WAIT_MS * 1000;
  while (!f->ended && g_get_monotonic_time () < end)
    uv_run (&f->loop, UV_RUN_NOWAIT);
  g_assert_true (f->ended);
  g_assert_cmpstr (bb_h1_result_name (f->result), ==, c->result);
}

/* Plays C after the upstream has got the whole request.  */
static void
play_end_of_request (const struct end_case *c)
{
  static struct fixture f;
  int fd;

  g_test_message ("%s", c->name);
  set_up (&f);
  start_call (&f);
  fd = accept_next (&f);
  g_assert_true (gets_request (&f, fd));
  play_end (&f, fd, c);
  tear_down (&f);
}

/* Runs the loop until the upload has filled the buffers of the connection FD:
   the upstream gets nothing more.  */
static void
fill_buffers (struct fixture *f, int fd)
{
  int before = -1;
  int now = 0;

  while (now == 0 || now != before)
    {
      before = now;
      for (int i = 0; i < 20; i++)
        {
          uv_run (&f->loop, UV_RUN_NOWAIT);
          g_usleep (ARRIVAL_US / 20);
        }
      g_assert_cmpint (ioctl (fd, FIONREAD, &now), ==, 0);
    }
  g_assert_cmpint (now, <, UPLOAD_BYTES);
}

/* Plays C while the request is being written: the upstream reads none of
   it.  */
static void
play_end_in_upload (const struct end_case *c)
{
  static struct fixture f;
  g_autofree char *upload = g_strnfill (UPLOAD_BYTES, 'u');
  int size = RECEIVE_BUFFER_BYTES;
  int fd;

  g_test_message ("%s", c->name);
  set_up (&f);
  setsockopt (f.listener, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  f.upload = upload;
  start_call (&f);
  fd = accept_next (&f);
  fill_buffers (&f, fd);
  play_end (&f, fd, c);
  tear_down (&f);
}

/* A response without length that is reset is cut, also where the reset is
   found together with its last bytes (review/1); one whose connection ends in
   order is whole.  */
static void
test_reset_with_last_bytes (void)
{
  static const char none[] = "HTTP/1.1 200 OK\r\n\r\npart";
  static const char head[] = "HTTP/1.1 200 OK\r\n\r\n";
  static const char length[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
  static const char chunks[]
      = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart";
  static const char interim[]
      = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n\r\npart";
  static const struct end_case cases[] = {
    { "no length, in order", none, 0, END_IN_ORDER, "whole" },
    { "no length, reset", none, 0, END_RESET, "cut" },
    { "no length, after its end", none, 0, END_THEN_RESET, "whole" },
    { "head alone, reset", head, 0, END_RESET, "cut" },
    { "after an interim response", interim, 0, END_RESET, "cut" },
    { "one full read", head, 16384 - 19, END_RESET, "cut" },
    { "several reads", head, 40000, END_RESET, "cut" },
    { "several reads, in order", head, 40000, END_IN_ORDER, "whole" },
    { "length, reset", length, 0, END_RESET, "cut" },
    { "length, in order", length, 0, END_IN_ORDER, "cut" },
    { "chunks, reset", chunks, 0, END_RESET, "cut" },
    { "chunks, in order", chunks, 0, END_IN_ORDER, "cut" },
    { "in the head", "HTTP/1.1 200 O", 0, END_RESET, "malformed" },
    { "in the headers", "HTTP/1.1 200 OK\r\nContent-L", 0, END_IN_ORDER,
      "malformed" },
    { "after the last header", "HTTP/1.1 200 OK\r\nX: 1\r\n", 0, END_IN_ORDER,
      "malformed" },
    { "nothing", "", 0, END_RESET, "unanswered" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    play_end_of_request (&cases[i]);
}

/* The same while the request is being written.  A write that is queued then
   fails with the reset, and no read reports it any more; after an end in order
   the answer is whole all the same, and one whose length is marked always
   is.  */
static void
test_reset_in_upload (void)
{
  static const char head[] = "HTTP/1.1 200 OK\r\n\r\n";
  static const char length[]
      = "HTTP/1.1 413 Too Large\r\nContent-Length: 40000\r\n\r\n";
  static const struct end_case cases[] = {
    { "head alone", head, 0, END_RESET, "cut" },
    { "less than a read", head, 4000, END_RESET, "cut" },
    { "one full read", head, READ_BYTES - 19, END_RESET, "cut" },
    { "a full read and more", head, READ_BYTES, END_RESET, "cut" },
    { "several reads", head, 40000, END_RESET, "cut" },
    { "several reads, after the end", head, 40000, END_THEN_RESET, "whole" },
    { "one full read, after the end", head, READ_BYTES - 19, END_THEN_RESET,
      "whole" },
    { "length", length, 40000, END_RESET, "whole" },
    { "length, in part", length, 39999, END_RESET, "cut" },
    { "nothing", "", 0, END_RESET, "unanswered" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    play_end_in_upload (&cases[i]);
}

struct head_case
{
  const char *head; /* whole, or its first lines */
  uint16_t status;  /* that the call gets; 0: the head is malformed */
};

/* Plays a response with the head of C, and with a body of two bytes unless
   that head is whole.  The upstream keeps the connection.  */
static void
play_head (const struct head_case *c)
{
  static struct fixture f;
  const char *rest = g_str_has_suffix (c->head, "\r\n\r\n")
                         ? ""
                         : "Content-Length: 2\r\n\r\nok";
  g_autofree char *shown = g_strescape (c->head, NULL);
  g_autofree char *text = g_strconcat (c->head, rest, NULL);
  gint64 end = g_get_monotonic_time () + (gint64)WAIT_MS * 1000;
  int fd;

  g_test_message ("%s", shown);
  set_up (&f);
  start_call (&f);
  fd = accept_next (&f);
  g_assert_true (gets_request (&f, fd));
  send_text (fd, text);
  while (!f.ended && g_get_monotonic_time () < end)
    uv_run (&f.loop, UV_RUN_NOWAIT);
  g_assert_true (f.ended);
  g_assert_cmpuint (f.status, ==, c->status);
  g_assert_cmpstr (bb_h1_result_name (f.result), ==,
                   c->status > 0 ? "whole" : "malformed");
  g_assert_cmpstr (f.body->str, ==, c->status > 0 ? "ok" : "");
  close (fd);
  tear_down (&f);
}

/* A status that HTTP does not have is no answer.  */
static void
test_status (void)
{
  static const struct head_case cases[] = {
    { "HTTP/1.1 200 OK\r\n", 200 },
    { "HTTP/1.1 599 Odd\r\n", 599 },
    { "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n", 200 },
    { "HTTP/1.1 000 None\r\n", 0 },
    { "HTTP/1.1 000\r\n", 0 },
    { "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", 0 },
    { "HTTP/1.1 2 OK\r\n", 0 },
    { "HTTP/1.1 20 OK\r\n", 0 },
    { "HTTP/1.1 099 Low\r\n", 0 },
    { "HTTP/1.1 600 High\r\n", 0 },
    { "HTTP/1.1 999 High\r\n", 0 },
    { "HTTP/1.1 1000 High\r\n", 0 },
    { "HTTP/1.1 -200 OK\r\n", 0 },
    { "HTTP/1.1 0200 OK\r\n", 0 },
    { "HTTP/1.1 00200 OK\r\n", 0 },
    { "HTTP/1.1 0200\r\n", 0 },
    { "HTTP/1.1 0102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n", 0 },
    { "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 0200 OK\r\n", 0 },
    { "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 None\r\n", 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    play_head (&cases[i]);
}

static void
on_fetched (enum bb_h1_fetch_result result, uint16_t status,
            struct bb_bytes body, void *user)
{
  struct fixture *f = user;

  f->ended = true;
  f->status = result == BB_H1_FETCH_COMPLETE ? status : 0;
  g_string_append_len (f->body, body.ptr, body.size);
}

/* Guards against fetches, as of the store and of engines' reports, that take
   such a status for that of an answer.  */
static void
test_fetch_status (void)
{
  static const struct head_case cases[] = {
    { "HTTP/1.1 200 OK\r\n", 200 },  { "HTTP/1.1 000 None\r\n", 0 },
    { "HTTP/1.1 600 High\r\n", 0 },  { "HTTP/1.1 0200 OK\r\n", 0 },
    { "HTTP/1.1 0503 Busy\r\n", 0 },
  };
  struct bb_h1_request request = { .method = bb_bytes_of ("POST"),
                                   .target = bb_bytes_of ("/"),
                                   .host = bb_bytes_of ("a"),
                                   .body = bb_bytes_of ("asked") };
  struct bb_h1_fetch_limits limits
      = { .timeout_ms = WAIT_MS, .body_max_bytes = 100 };
  static struct fixture f;

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *text
          = g_strconcat (cases[i].head, "Content-Length: 2\r\n\r\nok", NULL);
      int fd;
      set_up (&f);
      bb_h1_fetch (f.pool, &request, &limits, on_fetched, &f);
      fd = accept_next (&f);
      g_assert_true (gets_request (&f, fd));
      send_text (fd, text);
      while (!f.ended)
        uv_run (&f.loop, UV_RUN_ONCE);
      g_assert_cmpuint (f.status, ==, cases[i].status);
      close (fd);
      tear_down (&f);
    }
}

/* Nor is one in whose head a header name is not a token of HTTP.  */
static void
test_header_name (void)
{
  static const struct head_case cases[] = {
    { "HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~9a: 1\r\n", 200 },
    { "HTTP/1.1 200 OK\r\nX: 1\r\n Y: 2\r\n", 200 }, /* a folded value */
    { "HTTP/1.1 200 OK\r\nX Y: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nX\tY: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nX : 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nX\t: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\n X: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\n\tX: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nX\x01: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nX\x0b: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nX\r: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nX\n: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nX\x7f: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nX\xa0: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nX(Y: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nX\"Y: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\n: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nX\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nContent-Length\x01: 1\r\n", 0 },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding\x0c: chunked\r\n", 0 },
    { "HTTP/1.1 102 Processing\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\n", 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    play_head (&cases[i]);
}

/* A call that takes the connection at the end of another one is sent, also
   where the last read of that one filled the client's buffer.  */
static void
test_after_full_read (void)
{
  static const char head[]
      = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: ";
  static struct fixture f;
  g_autofree char *text = NULL;
  size_t size = READ_BYTES - strlen (head) - strlen ("16000\r\n\r\n");
  g_autofree char *filler = g_strnfill (size, 'x');
  int fd;

  set_up (&f);
  start_call (&f);
  fd = accept_next (&f);
  g_assert_true (gets_request (&f, fd));
  f.repeats = true;
  text = g_strdup_printf ("%s%zu\r\n\r\n%s", head, size, filler);
  g_assert_cmpuint (strlen (text), ==, READ_BYTES);
  send_text (fd, text);
  await_unread (&f);
  g_usleep (ARRIVAL_US);
  uv_run (&f.loop, UV_RUN_NOWAIT);
  g_assert_false (f.repeats);
  assert_served (&f, fd);
  close (fd);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  /* As in the daemons.  */
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/h1-client/after-full-read", test_after_full_read);
  g_test_add_func ("/h1-client/reset-with-last-bytes",
                   test_reset_with_last_bytes);
  g_test_add_func ("/h1-client/reset-in-upload", test_reset_in_upload);
  g_test_add_func ("/h1-client/status", test_status);
  g_test_add_func ("/h1-client/fetch-status", test_fetch_status);
  g_test_add_func ("/h1-client/header-name", test_header_name);
  g_test_add_func ("/h1-client/closed-idle", test_closed_idle);
  g_test_add_func ("/h1-client/reset-idle", test_reset_idle);
  g_test_add_func ("/h1-client/closed-before-send", test_closed_before_send);
  g_test_add_func ("/h1-client/stray-idle", test_stray_idle);
  g_test_add_func ("/h1-client/stray-before-send", test_stray_before_send);
  g_test_add_func ("/h1-client/closed-read-before-send",
                   test_closed_read_before_send);
  g_test_add_func ("/h1-client/other-kept", test_other_kept);
  g_test_add_func ("/h1-client/reuse", test_reuse);
  return g_test_run ();
}
