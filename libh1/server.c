/* The side of callers: reads whole requests, one at a time on a channel, and
   notices a caller that leaves.  */

#include "bilberry/net.h"
#include "h1.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <utlist.h>

enum
{
  SWEEP_MS = 100,             /* how often slow and idle channels are sought */
  LINGER_MS = 1000,           /* for a caller to take the end of an answer */
  AHEAD_MAX_BYTES = 64 * 1024 /* read while an answer is under way */
};

struct channel
{
  uv_tcp_t tcp;
  struct bb_h1_server *server;
  struct h1_reader reader;
  struct h1_text body;
  struct h1_text ahead;    /* bytes after the present request */
  struct bb_h1_exchange x; /* of the present request */
  bool answering;          /* the handler has it */
  bool chunked;            /* the answer is sent as chunks */
  bool started;            /* the head of the answer is sent */
  bool last;               /* close after this answer */
  bool closing;            /* the handle is being closed */
  bool ending;             /* closes once the caller has the answer */
  bool reading;            /* uv reads */
  size_t queued_bytes;
  bb_ms since_ms; /* start of the present request, or of idling */
  struct channel *prev;
  struct channel *next;
};

struct bb_h1_server
{
  uv_tcp_t tcp;
  uv_timer_t sweep;
  uv_loop_t *loop;
  struct bb_h1_limits limits;
  bb_h1_handler *handler;
  bb_h1_error_handler *fault;
  void *arg;
  bool draining;
  bool closed;
  uint32_t count;
  struct channel *channels;
};

static void read_on (struct channel *c);

static bb_ms
now_ms (const struct channel *c)
{
  return (bb_ms)uv_now (c->server->loop);
}

static void
on_closed (uv_handle_t *h)
{
  struct channel *c = h->data;

  h1_reader_free (&c->reader);
  h1_text_free (&c->body);
  h1_text_free (&c->ahead);
  free (c);
}

static void
close_channel (struct channel *c)
{
  if (c->closing)
    return;
  c->closing = true;
  DL_DELETE (c->server->channels, c);
  c->server->count--;
  uv_close ((uv_handle_t *)&c->tcp, on_closed);
}

/* Closes the channel so that the caller sees a reset.  */
static void
reset_channel (struct channel *c)
{
  c->closing = true;
  DL_DELETE (c->server->channels, c);
  c->server->count--;
  if (uv_tcp_close_reset (&c->tcp, on_closed) < 0)
    uv_close ((uv_handle_t *)&c->tcp, on_closed);
}

static void
on_shutdown (uv_shutdown_t *req, int status)
{
  struct channel *c = req->data;

  (void)status;
  free (req);
  if (status != UV_ECANCELED)
    c->since_ms = now_ms (c);
}

/* Ends the channel once the caller has taken what was written.  The write
   side goes first: a close with unread bytes would reset the channel.  */
static void
end_channel (struct channel *c)
{
  uv_shutdown_t *req;

  if (c->closing || c->ending)
    return;
  c->ending = true;
  c->since_ms = now_ms (c);
  req = calloc (1, sizeof *req);
  if (!req)
    abort ();
  req->data = c;
  if (uv_shutdown (req, (uv_stream_t *)&c->tcp, on_shutdown) < 0)
    {
      free (req);
      close_channel (c);
    }
}

/* The caller left or its channel failed.  */
static void
lose (struct channel *c)
{
  if (c->answering)
    {
      c->answering = false;
      if (c->x.on_disconnect)
        c->x.on_disconnect (&c->x);
    }
  close_channel (c);
}

static void
send_bytes (struct channel *c, const char *data, size_t size)
{
  if (!c->closing
      && h1_write ((uv_stream_t *)&c->tcp, data, size, &c->queued_bytes) < 0)
    c->last = true;
}

static const char *
reason_phrase (uint16_t status)
{
  const char *s = http_status_str ((enum http_status)status);

  return s && *s != '<' ? s : "Status";
}

static void
print_head (struct channel *c, struct h1_text *out, uint16_t status,
            const struct bb_header *headers, uint32_t count)
{
  if (c->server->draining || !http_should_keep_alive (&c->reader.parser))
    c->last = true;
  h1_text_print (out, "HTTP/1.1 %d %s\r\n", status, reason_phrase (status));
  for (uint32_t i = 0; i < count; i++)
    {
      if (bb_header_is_hop_by_hop (headers[i].name))
        continue;
      h1_text_add (out, headers[i].name.ptr, headers[i].name.size);
      h1_text_add (out, ": ", 2);
      h1_text_add (out, headers[i].value.ptr, headers[i].value.size);
      h1_text_add (out, "\r\n", 2);
    }
  if (c->last)
    h1_text_print (out, "Connection: close\r\n");
}

static struct channel *
channel_of (const struct bb_h1_exchange *x)
{
  return (struct channel *)((char *)x - offsetof (struct channel, x));
}

static void
finish (struct channel *c)
{
  c->answering = false;
  c->started = false;
  /* An answer that was begun before the drain could not say so.  */
  if (c->last || c->server->draining)
    {
      end_channel (c);
      return;
    }
  c->since_ms = now_ms (c);
  h1_reader_reset (&c->reader);
  c->body.size = 0;
  read_on (c);
}

void
bb_h1_respond (struct bb_h1_exchange *x, uint16_t status,
               const struct bb_header *headers, uint32_t count,
               struct bb_bytes body)
{
  struct channel *c = channel_of (x);
  struct h1_text out = { 0 };

  print_head (c, &out, status, headers, count);
  h1_text_print (&out, "Content-Length: %u\r\n\r\n", body.size);
  if (c->reader.parser.method != HTTP_HEAD)
    h1_text_add (&out, body.ptr, body.size);
  send_bytes (c, out.data, out.size);
  h1_text_free (&out);
  finish (c);
}

void
bb_h1_start (struct bb_h1_exchange *x, uint16_t status,
             const struct bb_header *headers, uint32_t count, bool framed)
{
  struct channel *c = channel_of (x);
  struct h1_text out = { 0 };

  /* A caller of HTTP/1.0 reads up to the end of the channel.  */
  c->chunked = framed && c->reader.parser.http_minor > 0;
  if (!c->chunked)
    c->last = true;
  print_head (c, &out, status, headers, count);
  h1_text_print (&out,
                 c->chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
  send_bytes (c, out.data, out.size);
  h1_text_free (&out);
  c->started = true;
}

void
bb_h1_write (struct bb_h1_exchange *x, struct bb_bytes piece)
{
  struct channel *c = channel_of (x);
  struct h1_text out = { 0 };

  if (piece.size == 0)
    return;
  if (c->chunked)
    h1_text_print (&out, "%x\r\n", piece.size);
  h1_text_add (&out, piece.ptr, piece.size);
  if (c->chunked)
    h1_text_add (&out, "\r\n", 2);
  send_bytes (c, out.data, out.size);
  h1_text_free (&out);
}

void
bb_h1_end (struct bb_h1_exchange *x)
{
  struct channel *c = channel_of (x);

  if (c->chunked)
    send_bytes (c, "0\r\n\r\n", 5);
  finish (c);
}

void
bb_h1_abort (struct bb_h1_exchange *x)
{
  struct channel *c = channel_of (x);

  c->answering = false;
  if (c->closing)
    return;
  /* Without chunks a plain close would look like the end of the body.  */
  if (c->started && !c->chunked)
    reset_channel (c);
  else
    close_channel (c);
}

size_t
bb_h1_backlog_bytes (const struct bb_h1_exchange *x)
{
  return channel_of (x)->queued_bytes;
}

/* Refuses a request that is not whole and ends the channel.  */
static void
refuse (struct channel *c, uint16_t status)
{
  struct h1_text out = { 0 };

  if (c->closing || c->ending)
    return;
  c->server->fault (status, c->server->arg);
  h1_text_print (&out,
                 "HTTP/1.1 %d %s\r\nConnection: close\r\n"
                 "Content-Length: 0\r\n\r\n",
                 status, reason_phrase (status));
  send_bytes (c, out.data, out.size);
  h1_text_free (&out);
  end_channel (c);
}

/* Whether the head is larger than allowed.  Bodies are bounded apart.  */
static bool
is_head_too_large (const struct channel *c)
{
  return c->reader.overflow
         || c->reader.head.size > c->server->limits.head_max_bytes;
}

/* Two hosts would be read one way here and another upstream.  */
static uint32_t
count_hosts (const struct bb_h1_message *m)
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
  struct channel *c = user;
  struct bb_bytes expect = bb_header_find (r->message.headers,
                                           r->message.headers_count, "expect");

  if (is_head_too_large (c))
    refuse (c, 431);
  else if (count_hosts (&r->message) > 1)
    refuse (c, 400);
  else if (r->parser.content_length != UINT64_MAX
           && r->parser.content_length > c->server->limits.body_max_bytes)
    refuse (c, 413);
  else if (expect.size == strlen ("100-continue")
           && strncasecmp (expect.ptr, "100-continue", expect.size) == 0)
    send_bytes (c, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  return false;
}

static void
on_body (struct h1_reader *r, struct bb_bytes piece, void *user)
{
  struct channel *c = user;

  (void)r;
  if (c->closing || c->ending)
    return;
  if (c->body.size + piece.size > c->server->limits.body_max_bytes)
    refuse (c, 413);
  else
    h1_text_add (&c->body, piece.ptr, piece.size);
}

static void
on_whole (struct h1_reader *r, void *user)
{
  struct channel *c = user;
  void (*none) (struct bb_h1_exchange *) = NULL;

  if (c->closing || c->ending)
    return;
  memset (&c->x, 0, sizeof c->x);
  c->x.on_disconnect = none;
  c->x.request = r->message;
  c->x.request.body.ptr = c->body.data;
  c->x.request.body.size = (uint32_t)c->body.size;
  c->x.received_ms = now_ms (c);
  c->answering = true;
  c->server->handler (&c->x, c->server->arg);
}

static const struct h1_reader_ops reader_ops = { on_head, on_body, on_whole };

/* Takes bytes that arrived, as far as the present request goes.  */
static size_t
take (struct channel *c, const char *data, size_t size)
{
  ssize_t n;

  if (!c->reader.started)
    c->since_ms = now_ms (c);
  n = h1_reader_feed (&c->reader, data, size);
  if (c->closing || c->ending)
    return size;
  if (n < 0)
    {
      refuse (c, is_head_too_large (c) ? 431 : 400);
      return size;
    }
  if (!c->reader.whole && is_head_too_large (c))
    refuse (c, 431);
  return (size_t)n;
}

/* Reads what came ahead of its turn.  */
static void
read_on (struct channel *c)
{
  while (c->ahead.size > 0 && !c->answering && !c->closing && !c->ending)
    {
      struct h1_text ahead = c->ahead;
      size_t n;
      memset (&c->ahead, 0, sizeof c->ahead);
      n = take (c, ahead.data, ahead.size);
      if (n < ahead.size)
        h1_text_add (&c->ahead, ahead.data + n, ahead.size - n);
      h1_text_free (&ahead);
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
  struct channel *c = s->data;

  if (size == 0)
    return;
  if (size < 0)
    {
      lose (c);
      return;
    }
  if (c->ending)
    return;
  h1_text_add (&c->ahead, buf->base, (size_t)size);
  if (!c->answering)
    read_on (c);
  else if (c->ahead.size > AHEAD_MAX_BYTES)
    lose (c);
}

/* Ends the channel that has been idle for longest, to make room for a new
   one.  Returns whether there was one.  */
static bool
end_idlest (struct bb_h1_server *s)
{
  struct channel *oldest = NULL;
  struct channel *c;

  DL_FOREACH (s->channels, c)
  if (!c->answering && !c->ending && !c->closing && !c->reader.started
      && (!oldest || c->since_ms < oldest->since_ms))
    oldest = c;
  if (!oldest)
    return false;
  bb_counter ("bilberry_channels_made_room_total", "")->value++;
  close_channel (oldest);
  return true;
}

static void
on_connection (uv_stream_t *server, int status)
{
  struct bb_h1_server *s = server->data;
  struct channel *c;
  bool full;

  if (status < 0)
    return;
  c = calloc (1, sizeof *c);
  if (!c)
    abort ();
  c->server = s;
  uv_tcp_init (s->loop, &c->tcp);
  c->tcp.data = c;
  h1_reader_init (&c->reader, HTTP_REQUEST, &reader_ops, c);
  full = s->count >= s->limits.connections_max && !end_idlest (s);
  DL_APPEND (s->channels, c);
  s->count++;
  c->since_ms = now_ms (c);
  if (uv_accept (server, (uv_stream_t *)&c->tcp) < 0 || full)
    {
      bb_counter ("bilberry_channels_refused_total", "")->value++;
      close_channel (c);
      return;
    }
  uv_tcp_nodelay (&c->tcp, 1);
  uv_tcp_keepalive (&c->tcp, 1, 2);
  if (uv_read_start ((uv_stream_t *)&c->tcp, on_alloc, on_read) < 0)
    close_channel (c);
}

static void
sweep_channel (struct channel *c, bb_ms now)
{
  const struct bb_h1_limits *l = &c->server->limits;
  bb_ms age = now - c->since_ms;

  if (c->ending && age > LINGER_MS)
    close_channel (c);
  else if (c->answering || c->ending)
    return;
  else if (c->reader.started && age > l->read_timeout_ms)
    refuse (c, 408);
  else if (!c->reader.started && age > l->idle_timeout_ms)
    end_channel (c);
}

static void
on_sweep (uv_timer_t *t)
{
  struct bb_h1_server *s = t->data;
  bb_ms now = (bb_ms)uv_now (s->loop);
  struct channel *c;
  struct channel *next;

  DL_FOREACH_SAFE (s->channels, c, next)
  sweep_channel (c, now);
}

struct bb_h1_server *
bb_h1_server_open (uv_loop_t *loop, const struct sockaddr_storage *addr,
                   const struct bb_h1_limits *limits, bb_h1_handler *handler,
                   bb_h1_error_handler *fault, void *arg, int *error)
{
  enum
  {
    ACCEPT_QUEUE = 512
  };
  struct bb_h1_server *s = calloc (1, sizeof *s);

  if (!s)
    abort ();
  s->loop = loop;
  s->limits = *limits;
  s->handler = handler;
  s->fault = fault;
  s->arg = arg;
  uv_tcp_init (loop, &s->tcp);
  s->tcp.data = s;
  *error = uv_tcp_bind (&s->tcp, (const struct sockaddr *)addr, 0);
  if (*error == 0)
    *error = uv_listen ((uv_stream_t *)&s->tcp, ACCEPT_QUEUE, on_connection);
  if (*error != 0)
    {
      uv_close ((uv_handle_t *)&s->tcp, NULL);
      return NULL;
    }
  uv_timer_init (loop, &s->sweep);
  s->sweep.data = s;
  uv_timer_start (&s->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
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

void
bb_h1_server_close (struct bb_h1_server *s)
{
  struct channel *c;
  struct channel *next;

  if (s->closed)
    return;
  s->closed = true;
  uv_close ((uv_handle_t *)&s->tcp, NULL);
  DL_FOREACH_SAFE (s->channels, c, next)
  if (!c->answering && !c->reader.started)
    end_channel (c);
}

uint32_t
bb_h1_server_active_connections (const struct bb_h1_server *s)
{
  const struct channel *c;
  uint32_t n = 0;

  DL_FOREACH (s->channels, c)
  if (c->answering || c->queued_bytes > 0 || c->reader.started)
    n++;
  return n;
}
