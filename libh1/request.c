/* Reads the requests of a connection, one at a time, and notices when the
   client disconnects while one is handled.  */

#include "server.h"

#include "bilberry/net.h"

#include <jansson.h>
#include <string.h>
#include <strings.h>

enum
{
  PIPELINED_MAX_BYTES = 64 * 1024, /* input buffered during a response; above,
                                       no more is read until its end */
  MEMORY_WAIT_MS = 400             /* longest wait of a caller for memory */
};

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

/* Takes memory for the body of C to have SIZE bytes in all.  Where there is
   none, no more is read until there is, with room for AHEAD more.  */
static void
take_memory (struct connection *c, size_t size, size_t ahead)
{
  struct bb_memory *m = c->out.memory;

  if (!m || size <= c->held_bytes)
    return;
  if (bb_memory_take (m, size - c->held_bytes, size))
    {
      c->held_bytes = size;
      return;
    }
  bb_counter ("bilberry_memory_waits_total", "")->value++;
  c->wanted_bytes = size + ahead;
  c->wanted_since_ms = h1_connection_now (c);
  uv_read_stop ((uv_stream_t *)&c->tcp);
}

/* Counts what C has read while it waits for memory.  */
static void
count_memory (struct connection *c)
{
  if (!c->out.memory || c->body.size <= c->held_bytes)
    return;
  bb_memory_add (c->out.memory, c->body.size - c->held_bytes);
  c->held_bytes = c->body.size;
}

void
h1_connection_check_memory (struct connection *c)
{
  size_t wanted = c->wanted_bytes;

  if (bb_memory_take (c->out.memory, wanted - c->held_bytes, wanted))
    {
      c->wanted_bytes = 0;
      c->held_bytes = wanted;
      if (h1_connection_read (c) < 0)
        h1_connection_close (c);
    }
  else if (h1_connection_now (c) - c->wanted_since_ms > MEMORY_WAIT_MS)
    {
      c->wanted_bytes = 0;
      h1_connection_reject (c, 503);
      h1_connection_free_body (c);
      /* What is still to come is discarded.  */
      if (!c->closing && h1_connection_read (c) < 0)
        h1_connection_close (c);
    }
}

static bool
on_head (struct h1_reader *r, void *user)
{
  struct connection *c = user;
  struct bb_bytes expect = bb_header_find (r->message.headers,
                                           r->message.headers_count, "expect");

  if (is_head_too_large (c))
    h1_connection_reject (c, 431);
  else if (count_host_headers (&r->message) > 1)
    h1_connection_reject (c, 400);
  else if (r->parser.content_length != UINT64_MAX
           && r->parser.content_length > c->server->limits.body_max_bytes)
    h1_connection_reject (c, 413);
  else if (expect.size == strlen ("100-continue")
           && strncasecmp (expect.ptr, "100-continue", expect.size) == 0)
    h1_connection_send (c, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  if (!c->lingering && !c->closing && r->parser.content_length != UINT64_MAX)
    {
      take_memory (c, (size_t)r->parser.content_length, 0);
      if (c->wanted_bytes == 0)
        h1_buffer_reserve (&c->body, (size_t)r->parser.content_length);
    }
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
    h1_connection_reject (c, 413);
  else
    {
      if (c->wanted_bytes == 0)
        take_memory (c, c->body.size + data.size, BB_MEMORY_SMALL_BYTES);
      h1_buffer_append (&c->body, data.ptr, data.size);
      count_memory (c);
    }
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
      h1_connection_reject (c, 431);
      return;
    }
  /* The rest of it was in the same read.  */
  if (c->wanted_bytes > 0)
    {
      c->wanted_bytes = 0;
      if (h1_connection_read (c) < 0)
        {
          h1_connection_close (c);
          return;
        }
    }
  memset (&c->exchange, 0, sizeof c->exchange);
  c->exchange.on_disconnect = no_callback;
  c->exchange.request = r->message;
  c->exchange.request.body.ptr = c->body.data;
  c->exchange.request.body.size = (uint32_t)c->body.size;
  c->exchange.received_ms = h1_connection_now (c);
  c->over_limit
      = c->over_limit
        && c->server->connections_count > c->server->limits.connections_max;
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
    c->state_since_ms = h1_connection_now (c);
  n = h1_reader_feed (&c->reader, data, size);
  if (c->closing || c->lingering)
    return size;
  if (n < 0)
    {
      h1_connection_reject (c, is_head_too_large (c) ? 431 : 400);
      return size;
    }
  if (!c->reader.complete && is_head_too_large (c))
    h1_connection_reject (c, 431);
  return (size_t)n;
}

void
h1_connection_process_input (struct connection *c)
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
                "closing_ms",
                (json_int_t)(h1_connection_now (c) - c->state_since_ms));
}

static void
on_read (uv_stream_t *s, ssize_t size, const uv_buf_t *buf)
{
  struct connection *c = s->data;

  if (size == 0)
    return;
  if (size < 0)
    {
      h1_connection_lost (c);
      return;
    }
  if (c->lingering)
    {
      discard_input (c, (size_t)size);
      return;
    }
  h1_buffer_append (&c->input, buf->base, (size_t)size);
  if (!c->responding)
    h1_connection_process_input (c);
  else if (c->input.size > PIPELINED_MAX_BYTES)
    {
      c->read_paused = true;
      uv_read_stop (s);
    }
}

int
h1_connection_read (struct connection *c)
{
  return uv_read_start ((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

void
h1_connection_resume_reading (struct connection *c)
{
  if (!c->read_paused || c->closing)
    return;
  c->read_paused = false;
  if (h1_connection_read (c) < 0)
    h1_connection_close (c);
}

void
h1_connection_init_reader (struct connection *c)
{
  h1_reader_init (&c->reader, HTTP_REQUEST, &reader_ops, c);
}
