/* fake-recorder - a stand-in for a replica of the platform that records the
   bytes of all requests and breaks its responses in ways that take time.

   Usage: fake-recorder ADDRESS:PORT ID [FAULT]

   GET /arrived returns the requests as they arrived, but for those with
   another ID in X-Expect-Replica, which get 421, and after each one whose
   connection was closed before its response was sent a line "left ATTEMPT".
   GET /ran returns a line "ATTEMPT by CUSTOMER within MS at MS" for each.

   A path with "slow" gets its response after SLOW_MS.  Faults:

     silent  does not respond
     fail    responds with 500
     pause   responds after SLOW_MS by closing the connection
     reset   responds without length and resets the connection after the body
     early   responds to the head, and reads on EARLY_PAUSE_MS later
     halved  begins a stream of chunks and closes it within event 4
     bare    as halved, without chunks
     events  sends an event each EVENT_INTERVAL_MS, without end  */

#include "bilberry/settings.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

enum
{
  SLOW_MS = 400,
  EARLY_PAUSE_MS = 300,
  EVENT_INTERVAL_MS = 100,
  RESET_DELAY_MS = 100, /* until the caller has read the body */
  WHOLE_EVENTS = 3      /* of a stream that is broken off */
};

struct connection
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  GString *in;      /* bytes received and not yet handled */
  char *attempt_id; /* of the request that has no response yet */
  bool early;       /* the response was sent before the request was in */
  int event;        /* last event sent */
  uint32_t open_handles;
};

static const char *id;
static const char *fault = "";
static GString *arrived;
static GString *request_log;

static bool
has_fault (const char *name)
{
  return strcmp (fault, name) == 0;
}

static void
on_closed (uv_handle_t *h)
{
  struct connection *c = h->data;

  if (--c->open_handles > 0)
    return;
  g_string_free (c->in, TRUE);
  g_free (c->attempt_id);
  g_free (c);
}

static void
close_connection (struct connection *c, bool reset)
{
  if (uv_is_closing ((uv_handle_t *)&c->tcp))
    return;
  if (reset)
    uv_tcp_close_reset (&c->tcp, on_closed);
  else
    uv_close ((uv_handle_t *)&c->tcp, on_closed);
  uv_close ((uv_handle_t *)&c->timer, on_closed);
}

static void
write_text (struct connection *c, const char *text)
{
  uv_buf_t b = uv_buf_init ((char *)text, (unsigned)strlen (text));

  if (uv_try_write ((uv_stream_t *)&c->tcp, &b, 1) != (int)b.len)
    close_connection (c, false);
}

/* Returns the value of header NAME in the request head HEAD, "" if there is
   none.  The caller frees it.  */
static char *
get_header (const char *head, const char *name)
{
  g_autofree char *line = g_strdup_printf ("\r\n%s: ", name);
  g_autofree char *lower_head = g_ascii_strdown (head, -1);
  g_autofree char *lower_line = g_ascii_strdown (line, -1);
  const char *at = strstr (lower_head, lower_line);
  const char *from = at ? head + (at - lower_head) + strlen (line) : "";

  return g_strndup (from, strcspn (from, "\r"));
}

static void
write_head (struct connection *c, const char *more)
{
  g_autofree char *text
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                         "X-Replica-Signature: %s\r\n%s\r\n",
                         c->attempt_id ? c->attempt_id : "", id, more);

  write_text (c, text);
}

static void
respond (struct connection *c, const char *body)
{
  g_autofree char *length
      = g_strdup_printf ("Content-Length: %zu\r\n", strlen (body));

  write_head (c, length);
  write_text (c, body);
  g_clear_pointer (&c->attempt_id, g_free);
}

static void
on_timer (uv_timer_t *t)
{
  struct connection *c = t->data;
  char event[64];

  if (has_fault ("pause") || has_fault ("reset"))
    {
      close_connection (c, has_fault ("reset"));
      return;
    }
  if (!has_fault ("events"))
    {
      respond (c, "recorded");
      return;
    }
  g_snprintf (event, sizeof event, "id: %d\ndata: on\n\n", ++c->event);
  write_text (c, event);
}

/* Sends a stream that is broken off within an event.  */
static void
send_half_stream (struct connection *c)
{
  bool chunks = has_fault ("halved");

  write_head (c, chunks ? "Content-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n"
                        : "Content-Type: text/event-stream\r\n");
  for (int i = 1; i <= WHOLE_EVENTS; i++)
    {
      g_autofree char *event
          = g_strdup_printf ("id: %d\ndata: piece %d\n\n", i, i);
      g_autofree char *chunk
          = g_strdup_printf ("%zx\r\n%s\r\n", strlen (event), event);
      write_text (c, chunks ? chunk : event);
    }
  write_text (c, chunks ? "a\r\nid: 4\ndata\r\n" : "id: 4\ndata");
  close_connection (c, false);
}

static void
start_response (struct connection *c, const char *head)
{
  const char *line_end = strstr (head, "\r\n");

  if (has_fault ("silent"))
    return;
  if (has_fault ("fail"))
    write_text (c, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n");
  else if (has_fault ("halved") || has_fault ("bare"))
    send_half_stream (c);
  else if (has_fault ("events"))
    {
      write_head (c, "Content-Type: text/event-stream\r\n");
      uv_timer_start (&c->timer, on_timer, EVENT_INTERVAL_MS,
                      EVENT_INTERVAL_MS);
    }
  else if (has_fault ("reset"))
    {
      write_head (c, "");
      write_text (c, "up to the end");
      uv_timer_start (&c->timer, on_timer, RESET_DELAY_MS, 0);
    }
  else if (has_fault ("pause") || g_strstr_len (head, line_end - head, "slow"))
    uv_timer_start (&c->timer, on_timer, SLOW_MS, 0);
  else
    respond (c, "recorded");
}

/* Returns whether the request with HEAD is for tests, or not for this replica,
   and answers it then.  */
static bool
handle_other (struct connection *c, const char *head)
{
  g_autofree char *expected = get_header (head, "X-Expect-Replica");

  if (g_str_has_prefix (head, "GET /arrived "))
    respond (c, arrived->str);
  else if (g_str_has_prefix (head, "GET /ran "))
    respond (c, request_log->str);
  else if (g_str_has_prefix (head, "GET /v1/"))
    respond (c, "{}");
  else if (*expected && strcmp (expected, id) != 0)
    write_text (c, "HTTP/1.1 421 Elsewhere\r\nX-Not-Executed: 1\r\n"
                   "Content-Length: 0\r\n\r\n");
  else
    return false;
  close_connection (c, false);
  return true;
}

static void
begin_request (struct connection *c, const char *head)
{
  g_autofree char *customer = get_header (head, "X-Tenant");
  g_autofree char *deadline = get_header (head, "X-Deadline-Ms");

  g_free (c->attempt_id);
  c->attempt_id = get_header (head, "X-Attempt-Id");
  g_string_append_printf (request_log, "%s by %s within %s at %lld\n",
                          c->attempt_id, customer, deadline,
                          (long long)(g_get_monotonic_time () / 1000));
}

static void on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *b);
static void on_read (uv_stream_t *s, ssize_t size, const uv_buf_t *b);

static void
on_pause_end (uv_timer_t *t)
{
  struct connection *c = t->data;

  uv_read_start ((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

/* Responds to the request with HEAD, whose body is not in yet.  */
static void
respond_early (struct connection *c, const char *head)
{
  c->early = true;
  begin_request (c, head);
  respond (c, "early");
  uv_read_stop ((uv_stream_t *)&c->tcp);
  uv_timer_start (&c->timer, on_pause_end, EARLY_PAUSE_MS, 0);
}

/* Handles the request that the input begins with.  Returns false if it is not
   in yet.  */
static bool
handle_request (struct connection *c)
{
  char *end = strstr (c->in->str, "\r\n\r\n");
  size_t head_size = end ? (size_t)(end - c->in->str) + 4 : 0;
  g_autofree char *head = g_strndup (c->in->str, head_size);
  g_autofree char *length = get_header (head, "Content-Length");
  size_t size = head_size + strtoul (length, NULL, 10);

  if (!end)
    return false;
  if (c->in->len < size)
    {
      if (has_fault ("early") && !c->early)
        respond_early (c, head);
      return false;
    }
  if (!c->early && handle_other (c, head))
    return false;
  g_string_append_len (arrived, c->in->str, (gssize)size);
  g_string_append_c (arrived, '\n');
  g_string_erase (c->in, 0, (gssize)size);
  if (!c->early)
    {
      begin_request (c, head);
      start_response (c, head);
    }
  c->early = false;
  return !uv_is_closing ((uv_handle_t *)&c->tcp);
}

static void
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *b)
{
  static char shared[65536];

  (void)h;
  (void)suggested;
  *b = uv_buf_init (shared, sizeof shared);
}

static void
on_read (uv_stream_t *s, ssize_t size, const uv_buf_t *b)
{
  struct connection *c = s->data;

  if (size < 0)
    {
      if (c->attempt_id)
        g_string_append_printf (arrived, "left %s\n", c->attempt_id);
      close_connection (c, false);
      return;
    }
  g_string_append_len (c->in, b->base, size);
  while (handle_request (c))
    ;
}

static void
on_connection (uv_stream_t *s, int status)
{
  struct connection *c = g_new0 (struct connection, 1);

  (void)status;
  c->in = g_string_new ("");
  c->tcp.data = c;
  c->timer.data = c;
  c->open_handles = 2;
  uv_tcp_init (s->loop, &c->tcp);
  uv_timer_init (s->loop, &c->timer);
  if (uv_accept (s, (uv_stream_t *)&c->tcp) < 0
      || uv_read_start ((uv_stream_t *)&c->tcp, on_alloc, on_read) < 0)
    close_connection (c, false);
}

int
main (int argc, char **argv)
{
  uv_loop_t *loop = uv_default_loop ();
  struct sockaddr_storage addr;
  uv_tcp_t listener;

  if (argc < 3 || !bb_address_parse (argv[1], &addr))
    {
      fprintf (stderr, "Usage: fake-recorder ADDRESS:PORT ID [FAULT]\n");
      return 2;
    }
  id = argv[2];
  fault = argc > 3 ? argv[3] : "";
  arrived = g_string_new ("");
  request_log = g_string_new ("");
  uv_tcp_init (loop, &listener);
  if (uv_tcp_bind (&listener, (const struct sockaddr *)&addr, 0) < 0
      || uv_listen ((uv_stream_t *)&listener, 64, on_connection) < 0)
    {
      fprintf (stderr, "fake-recorder: cannot listen on %s\n", argv[1]);
      return 1;
    }
  printf ("ready\n");
  fflush (stdout);
  return uv_run (loop, UV_RUN_DEFAULT);
}
