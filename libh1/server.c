/* The HTTP server: reads complete requests, one at a time on each connection,
   and notices when a client disconnects while its request is handled.  */

#include "bilberry/net.h"
#include "h1.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <utlist.h>

enum
{
  SWEEP_INTERVAL_MS = 100, /* time between checks for timeouts */
  LINGER_MAX_MS = 1000,    /* maximum of each phase of a lingering close */
  PIPELINED_MAX_BYTES = 64 * 1024, /* input buffered during a response; above,
                                      no more is read until its end */
  /* Connections beyond the limit on which a request is refused, as a part of
     the limit.  */
  OVER_LIMIT_DIVISOR = 8
};

/* A connection from a client.  */
struct connection
{
  uv_tcp_t tcp;
  struct bb_h1_server *server;
  struct h1_reader reader;
  struct h1_buffer body;          /* body of the current request */
  struct h1_buffer input;         /* received bytes that were not parsed yet */
  struct bb_h1_exchange exchange; /* the current request */
  bool responding;                /* the handler has the exchange */
  bool chunked;                   /* the response body is sent in chunks */
  bool response_started;          /* the head of the response was sent */
  bool close_after_response;
  bool closing;     /* the socket handle is being closed */
  bool lingering;   /* start_lingering_close was called */
  bool discarded;   /* input was discarded */
  bool read_paused; /* too much input came during a response */
  bool over_limit;  /* beyond the limit on connections when it was accepted */
  size_t queued_bytes;
  bb_ms idle_timeout_ms; /* limit on idling, as it was when idling began */
  bb_ms state_since_ms;  /* start of the current request, of idling, or of a
                            phase of the lingering close */
  struct connection *prev;
  struct connection *next;
};

struct bb_h1_server
{
  uv_tcp_t tcp;
  uv_timer_t sweep_timer;
  uv_check_t stop_check; /* runs after the loop has read what had arrived */
  uv_loop_t *loop;
  struct bb_h1_limits limits;
  bb_h1_handler *handler;
  bb_h1_error_handler *on_error;
  void *arg;
  bool draining;
  bool stopping; /* bb_h1_server_close was called */
  bool listener_closed;
  uint32_t connections_count;
  struct connection *connections;
};

static void process_input (struct connection *c);
static void on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *buf);
static void on_read (uv_stream_t *s, ssize_t size, const uv_buf_t *buf);

static bb_ms
now_ms (const struct connection *c)
{
  return (bb_ms)uv_now (c->server->loop);
}

static void
on_closed (uv_handle_t *h)
{
  struct connection *c = h->data;

  h1_reader_free (&c->reader);
  h1_buffer_free (&c->body);
  h1_buffer_free (&c->input);
  free (c);
}

/* Counts connections that the server closes without having told the caller in
   a response.  */
static void
count_close (const char *labels)
{
  bb_counter ("bilberry_channels_closed_total", labels)->value++;
}

/* The caller sent SIZE bytes after the server began to close the connection;
   a request among them gets no response.  */
static void
discard_input (struct connection *c, size_t size)
{
  bb_counter ("bilberry_channels_discarded_bytes_total", "")->value += size;
  if (c->discarded)
    return;
  c->discarded = true;
  bb_log_event ("input_discarded", "{s:I, s:I}", "bytes", (json_int_t)size,
                "closing_ms", (json_int_t)(now_ms (c) - c->state_since_ms));
}

static void
close_connection (struct connection *c)
{
  if (c->closing)
    return;
  c->closing = true;
  DL_DELETE (c->server->connections, c);
  c->server->connections_count--;
  uv_close ((uv_handle_t *)&c->tcp, on_closed);
}

/* Closes the connection with a TCP reset.  */
static void
reset_connection (struct connection *c)
{
  c->closing = true;
  DL_DELETE (c->server->connections, c);
  c->server->connections_count--;
  if (uv_tcp_close_reset (&c->tcp, on_closed) < 0)
    uv_close ((uv_handle_t *)&c->tcp, on_closed);
}

static void
on_shutdown (uv_shutdown_t *req, int status)
{
  struct connection *c = req->data;

  (void)status;
  free (req);
  if (status != UV_ECANCELED)
    c->state_since_ms = now_ms (c);
}

/* Closes the connection once the client has received a response that announced
   the close: sends what is queued, shuts down the write side, and waits for
   the client to close. Each of the two phases takes at most LINGER_MAX_MS.  An
   immediate close with unread input would reset the connection, and the client
   could lose the end of the response.  */
static void
start_lingering_close (struct connection *c)
{
  uv_shutdown_t *req;

  if (c->closing || c->lingering)
    return;
  c->lingering = true;
  c->state_since_ms = now_ms (c);
  req = calloc (1, sizeof *req);
  if (!req)
    abort ();
  req->data = c;
  if (uv_shutdown (req, (uv_stream_t *)&c->tcp, on_shutdown) < 0)
    {
      free (req);
      close_connection (c);
    }
}

/* Whether the socket holds bytes that have not been read.  Timers run before
   reads, so after a stall a request may have been waiting there for long.  */
static bool
has_input (const struct connection *c)
{
#ifndef BB_MUTANT_h1_unread
  char byte;
  uv_os_fd_t fd;

  return uv_fileno ((const uv_handle_t *)&c->tcp, &fd) == 0
         && recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
#else
  return false;
#endif
}

/* Whether C has no request and may be closed.  */
static bool
is_idle (const struct connection *c)
{
  return !c->responding && !c->lingering && !c->closing && !c->reader.started
         && !has_input (c);
}

/* Closes C, which is idle, without a word to the caller.  Nothing more is
   read: a request that crosses the close is answered by a reset, which tells
   its caller that it was not read.  */
static void
close_idle (struct connection *c, const char *reason)
{
  count_close (reason);
#ifdef BB_MUTANT_h1_crossing
  start_lingering_close (c);
  return;
#endif
  /* The caller has not taken all of the last response yet.  */
  if (c->queued_bytes > 0)
    start_lingering_close (c);
  else
    close_connection (c);
}

/* The client closed the connection, or it failed.  */
static void
handle_disconnect (struct connection *c)
{
  if (c->responding)
    {
      c->responding = false;
      if (c->exchange.on_disconnect)
        c->exchange.on_disconnect (&c->exchange);
    }
  close_connection (c);
}

static void
send_bytes (struct connection *c, const char *data, size_t size)
{
  if (!c->closing
      && h1_write ((uv_stream_t *)&c->tcp, data, size, &c->queued_bytes) < 0)
    c->close_after_response = true;
}

static const char *
reason_phrase (uint16_t status)
{
  const char *s = http_status_str ((enum http_status)status);

  return s && *s != '<' ? s : "Status";
}

static void
format_head (struct connection *c, struct h1_buffer *out, uint16_t status,
             const struct bb_header *headers, uint32_t count)
{
  if (c->server->draining || c->over_limit
      || !http_should_keep_alive (&c->reader.parser))
    c->close_after_response = true;
  h1_buffer_printf (out, "HTTP/1.1 %d %s\r\n", status, reason_phrase (status));
  for (uint32_t i = 0; i < count; i++)
    {
      if (bb_header_is_hop_by_hop (headers[i].name))
        continue;
      h1_buffer_append (out, headers[i].name.ptr, headers[i].name.size);
      h1_buffer_append (out, ": ", 2);
      h1_buffer_append (out, headers[i].value.ptr, headers[i].value.size);
      h1_buffer_append (out, "\r\n", 2);
    }
  if (c->close_after_response)
    h1_buffer_printf (out, "Connection: close\r\n");
}

static struct connection *
connection_of (const struct bb_h1_exchange *x)
{
  return (struct connection *)((char *)x
                               - offsetof (struct connection, exchange));
}

/* C waits for its next request.  A lower limit that comes later does not hold
   for it, since the caller goes by the one that it knows.  */
static void
begin_idling (struct connection *c)
{
  c->state_since_ms = now_ms (c);
  c->idle_timeout_ms = c->server->limits.idle_timeout_ms;
}

static void
resume_reading (struct connection *c)
{
  if (!c->read_paused || c->closing)
    return;
  c->read_paused = false;
  if (uv_read_start ((uv_stream_t *)&c->tcp, on_alloc, on_read) < 0)
    close_connection (c);
}

static void
finish_response (struct connection *c)
{
  c->responding = false;
  c->response_started = false;
  resume_reading (c);
  if (c->close_after_response)
    {
      start_lingering_close (c);
      return;
    }
  begin_idling (c);
  h1_reader_reset (&c->reader);
  c->body.size = 0;
  process_input (c);
  /* A response that began before the drain did not announce the close.  */
  if (c->server->listener_closed && is_idle (c))
    close_idle (c, "reason=\"stop\"");
}

void
bb_h1_respond (struct bb_h1_exchange *x, uint16_t status,
               const struct bb_header *headers, uint32_t count,
               struct bb_bytes body)
{
  struct connection *c = connection_of (x);
  struct h1_buffer out = { 0 };

  format_head (c, &out, status, headers, count);
  h1_buffer_printf (&out, "Content-Length: %u\r\n\r\n", body.size);
  if (c->reader.parser.method != HTTP_HEAD)
    h1_buffer_append (&out, body.ptr, body.size);
  send_bytes (c, out.data, out.size);
  h1_buffer_free (&out);
  finish_response (c);
}

void
bb_h1_start (struct bb_h1_exchange *x, uint16_t status,
             const struct bb_header *headers, uint32_t count, bool framed)
{
  struct connection *c = connection_of (x);
  struct h1_buffer out = { 0 };

  /* An HTTP/1.0 client does not support chunked encoding.  */
  c->chunked = framed && c->reader.parser.http_minor > 0;
  if (!c->chunked)
    c->close_after_response = true;
  format_head (c, &out, status, headers, count);
  h1_buffer_printf (&out, c->chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                                     : "\r\n");
  send_bytes (c, out.data, out.size);
  h1_buffer_free (&out);
  c->response_started = true;
}

void
bb_h1_write (struct bb_h1_exchange *x, struct bb_bytes data)
{
  struct connection *c = connection_of (x);
  struct h1_buffer out = { 0 };

  if (data.size == 0)
    return;
  if (c->chunked)
    h1_buffer_printf (&out, "%x\r\n", data.size);
  h1_buffer_append (&out, data.ptr, data.size);
  if (c->chunked)
    h1_buffer_append (&out, "\r\n", 2);
  send_bytes (c, out.data, out.size);
  h1_buffer_free (&out);
}

void
bb_h1_end (struct bb_h1_exchange *x)
{
  struct connection *c = connection_of (x);

  if (c->chunked)
    send_bytes (c, "0\r\n\r\n", 5);
  finish_response (c);
}

void
bb_h1_abort (struct bb_h1_exchange *x)
{
  struct connection *c = connection_of (x);

  c->responding = false;
  if (c->closing)
    return;
  /* Without chunked encoding an orderly close would end the body.  */
  if (c->response_started && !c->chunked)
    reset_connection (c);
  else
    close_connection (c);
}

size_t
bb_h1_backlog_bytes (const struct bb_h1_exchange *x)
{
  return connection_of (x)->queued_bytes;
}

/* Sends STATUS in response to a request that is not complete, and closes the
   connection.  */
static void
reject_request (struct connection *c, uint16_t status)
{
  struct h1_buffer out = { 0 };

  if (c->closing || c->lingering)
    return;
  c->server->on_error (status, c->server->arg);
  h1_buffer_printf (&out,
                    "HTTP/1.1 %d %s\r\nConnection: close\r\n"
                    "Content-Length: 0\r\n\r\n",
                    status, reason_phrase (status));
  send_bytes (c, out.data, out.size);
  h1_buffer_free (&out);
  start_lingering_close (c);
}

/* Returns whether the request head, with the trailers, is larger than allowed.
   The body has a limit of its own.  */
static bool
is_head_too_large (const struct connection *c)
{
  return c->reader.overflow
         || c->reader.head.size + c->reader.trailers_size
                > c->server->limits.head_max_bytes;
}

/* Counts the Host headers.  A request with more than one is rejected, since
   this server and an upstream might use different ones.  */
static uint32_t
count_host_headers (const struct bb_h1_message *m)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < m->headers_count; i++)
    if (m->headers[i].name.size == strlen ("host")
        && strncasecmp (m->headers[i].name.ptr, "host", strlen ("host")) == 0)
      n++;
  return n;
}

static bool
on_head (struct h1_reader *r, void *user)
{
  struct connection *c = user;
  struct bb_bytes expect = bb_header_find (r->message.headers,
                                           r->message.headers_count, "expect");

  if (is_head_too_large (c))
    reject_request (c, 431);
  else if (count_host_headers (&r->message) > 1)
    reject_request (c, 400);
  else if (r->parser.content_length != UINT64_MAX
           && r->parser.content_length > c->server->limits.body_max_bytes)
    reject_request (c, 413);
  else if (expect.size == strlen ("100-continue")
           && strncasecmp (expect.ptr, "100-continue", expect.size) == 0)
    send_bytes (c, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  return false;
}

static void
on_body (struct h1_reader *r, struct bb_bytes data, void *user)
{
  struct connection *c = user;

  (void)r;
  if (c->closing || c->lingering)
    return;
  if (c->body.size + data.size > c->server->limits.body_max_bytes)
    reject_request (c, 413);
  else
    h1_buffer_append (&c->body, data.ptr, data.size);
}

static void
on_complete (struct h1_reader *r, void *user)
{
  struct connection *c = user;
  void (*no_callback) (struct bb_h1_exchange *) = NULL;

  if (c->closing || c->lingering)
    return;
  /* Its trailers came together with its end.  */
  if (is_head_too_large (c))
    {
      reject_request (c, 431);
      return;
    }
  memset (&c->exchange, 0, sizeof c->exchange);
  c->exchange.on_disconnect = no_callback;
  c->exchange.request = r->message;
  c->exchange.request.body.ptr = c->body.data;
  c->exchange.request.body.size = (uint32_t)c->body.size;
  c->exchange.received_ms = now_ms (c);
  c->exchange.over_limit = c->over_limit;
  c->responding = true;
  c->server->handler (&c->exchange, c->server->arg);
}

static const struct h1_reader_ops reader_ops
    = { on_head, on_body, on_complete };

/* Parses received bytes up to the end of the current request.  Returns the
   number of bytes parsed, or SIZE if the rest is to be discarded.  */
static size_t
parse_request (struct connection *c, const char *data, size_t size)
{
  ssize_t n;

  if (!c->reader.started)
    c->state_since_ms = now_ms (c);
  n = h1_reader_feed (&c->reader, data, size);
  if (c->closing || c->lingering)
    return size;
  if (n < 0)
    {
      reject_request (c, is_head_too_large (c) ? 431 : 400);
      return size;
    }
  if (!c->reader.complete && is_head_too_large (c))
    reject_request (c, 431);
  return (size_t)n;
}

/* Parses the buffered input, unless a request is being handled.  */
static void
process_input (struct connection *c)
{
  while (c->input.size > 0 && !c->responding && !c->closing && !c->lingering)
    {
      struct h1_buffer input = c->input;
      size_t n;
      memset (&c->input, 0, sizeof c->input);
      n = parse_request (c, input.data, input.size);
      if (n < input.size)
        h1_buffer_append (&c->input, input.data + n, input.size - n);
      h1_buffer_free (&input);
      if (n == 0)
        return;
    }
}

static void
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
  static char shared[64 * 1024];

  (void)h;
  (void)suggested;
  *buf = uv_buf_init (shared, sizeof shared);
}

static void
on_read (uv_stream_t *s, ssize_t size, const uv_buf_t *buf)
{
  struct connection *c = s->data;

  if (size == 0)
    return;
  if (size < 0)
    {
      handle_disconnect (c);
      return;
    }
  if (c->lingering)
    {
      discard_input (c, (size_t)size);
      return;
    }
  h1_buffer_append (&c->input, buf->base, (size_t)size);
  if (!c->responding)
    process_input (c);
  else if (c->input.size > PIPELINED_MAX_BYTES)
    {
      c->read_paused = true;
      uv_read_stop (s);
    }
}

/* Closes the connection that has been idle for longest, to make room for a new
   one.  Returns false if none is idle.  */
static bool
close_longest_idle (struct bb_h1_server *s)
{
  struct connection *oldest = NULL;
  struct connection *c;

  DL_FOREACH (s->connections, c)
  if (c->queued_bytes == 0
      && (!oldest || c->state_since_ms < oldest->state_since_ms)
      && is_idle (c))
    oldest = c;
  if (!oldest)
    return false;
  bb_counter ("bilberry_channels_made_room_total", "")->value++;
  close_connection (oldest);
  return true;
}

/* Whether another connection would be one more than the limit and no idle one
   can be closed for it.  */
static bool
is_full (struct bb_h1_server *s)
{
  return s->connections_count >= s->limits.connections_max
         && !close_longest_idle (s);
}

/* Whether so many connections are over the limit that further ones are closed
   at once.  */
static bool
is_overfull (const struct bb_h1_server *s)
{
  uint32_t max = s->limits.connections_max;

#ifdef BB_MUTANT_h1_over_limit
  return s->connections_count >= max;
#endif
  return s->connections_count >= max + max / OVER_LIMIT_DIVISOR;
}

static void
on_connection (uv_stream_t *server, int status)
{
  struct bb_h1_server *s = server->data;
  struct connection *c;
  bool overfull;

  if (status < 0)
    return;
  c = calloc (1, sizeof *c);
  if (!c)
    abort ();
  c->server = s;
  uv_tcp_init (s->loop, &c->tcp);
  c->tcp.data = c;
  h1_reader_init (&c->reader, HTTP_REQUEST, &reader_ops, c);
  c->over_limit = is_full (s);
  overfull = c->over_limit && is_overfull (s);
  DL_APPEND (s->connections, c);
  s->connections_count++;
  begin_idling (c);
  if (uv_accept (server, (uv_stream_t *)&c->tcp) < 0 || overfull)
    {
      bb_counter ("bilberry_channels_refused_total", "")->value++;
      close_connection (c);
      return;
    }
  uv_tcp_nodelay (&c->tcp, 1);
  uv_tcp_keepalive (&c->tcp, 1, 2);
  if (uv_read_start ((uv_stream_t *)&c->tcp, on_alloc, on_read) < 0)
    close_connection (c);
}

static void
check_timeouts (struct connection *c, bb_ms now)
{
  const struct bb_h1_limits *limits = &c->server->limits;
  bb_ms age = now - c->state_since_ms;

  if (c->lingering && age > LINGER_MAX_MS)
    close_connection (c);
  else if (c->responding || c->lingering)
    return;
  else if (c->reader.started && age > limits->read_timeout_ms)
    reject_request (c, 408);
  else if (age > c->idle_timeout_ms && age > limits->idle_timeout_ms
           && is_idle (c))
    close_idle (c, "reason=\"idle\"");
}

static void
on_sweep (uv_timer_t *t)
{
  struct bb_h1_server *s = t->data;
  bb_ms now = (bb_ms)uv_now (s->loop);
  struct connection *c;
  struct connection *next;

  DL_FOREACH_SAFE (s->connections, c, next)
  check_timeouts (c, now);
}

struct bb_h1_server *
bb_h1_server_open (uv_loop_t *loop, const struct sockaddr_storage *addr,
                   const struct bb_h1_limits *limits, bb_h1_handler *handler,
                   bb_h1_error_handler *on_error, void *arg, int *error)
{
  enum
  {
    LISTEN_BACKLOG = 512
  };
  struct bb_h1_server *s = calloc (1, sizeof *s);

  if (!s)
    abort ();
  s->loop = loop;
  s->limits = *limits;
  s->handler = handler;
  s->on_error = on_error;
  s->arg = arg;
  uv_tcp_init (loop, &s->tcp);
  s->tcp.data = s;
  *error = uv_tcp_bind (&s->tcp, (const struct sockaddr *)addr, 0);
  if (*error == 0)
    *error = uv_listen ((uv_stream_t *)&s->tcp, LISTEN_BACKLOG, on_connection);
  if (*error != 0)
    {
      uv_close ((uv_handle_t *)&s->tcp, NULL);
      return NULL;
    }
  uv_timer_init (loop, &s->sweep_timer);
  s->sweep_timer.data = s;
  uv_timer_start (&s->sweep_timer, on_sweep, SWEEP_INTERVAL_MS,
                  SWEEP_INTERVAL_MS);
  uv_check_init (loop, &s->stop_check);
  s->stop_check.data = s;
  return s;
}

void
bb_h1_server_set_limits (struct bb_h1_server *s,
                         const struct bb_h1_limits *limits)
{
  s->limits = *limits;
}

void
bb_h1_server_drain (struct bb_h1_server *s)
{
  s->draining = true;
}

/* Carries out bb_h1_server_close, once the loop has accepted the connections
   and read the requests that had arrived before.  */
static void
on_stop_check (uv_check_t *check)
{
  struct bb_h1_server *s = check->data;
  struct connection *c;
  struct connection *next;

  uv_check_stop (check);
  s->listener_closed = true;
  uv_close ((uv_handle_t *)&s->tcp, NULL);
  DL_FOREACH_SAFE (s->connections, c, next)
  if (is_idle (c))
    close_idle (c, "reason=\"stop\"");
}

void
bb_h1_server_close (struct bb_h1_server *s)
{
  if (s->stopping)
    return;
  s->stopping = true;
  s->draining = true;
  uv_check_start (&s->stop_check, on_stop_check);
}

uint32_t
bb_h1_server_active_connections (const struct bb_h1_server *s)
{
  const struct connection *c;
  uint32_t n = 0;

  DL_FOREACH (s->connections, c)
  if (c->responding || c->queued_bytes > 0 || c->reader.started
      || (!c->lingering && has_input (c)))
    n++;
  return s->stopping && !s->listener_closed ? n + 1 : n;
}
