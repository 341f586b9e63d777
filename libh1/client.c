/* The HTTP client: a pool of keep-alive connections to one server, and the
   calls on them.  A connection is reused only after a complete response that
   allows it and that no further bytes follow, also none that lie unread when
   the next request is sent.  */

#include "bilberry/net.h"
#include "h1.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <utlist.h>

enum
{
  KEEP_ALIVE_DEFAULT_MS = 4000, /* idle time if the response names none */
  /* Time by which this client closes an idle connection before the server
     does.  */
  KEEP_ALIVE_MARGIN_MS = 700,
  TCP_USER_TIMEOUT_MS = 4000,   /* limit until sent data is acknowledged */
  READ_BUFFER_BYTES = 16 * 1024 /* read from a connection at a time */
};

struct bb_h1_call
{
  struct connection *connection;
  const struct bb_h1_call_ops *ops;
  void *user;
  struct h1_buffer request_head; /* with a body that is small */
  struct bb_bytes body;          /* the rest of the body, not sent yet */
  bool is_head_request;          /* no body follows the response */
  bool paused;                   /* no more of the response is read */
  bb_ms idle_max_ms;
};

/* A connection to the server.  */
struct connection
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  uv_connect_t connect;
  struct bb_h1_pool *pool;
  struct bb_h1_call *call;
  struct h1_reader reader;
  struct h1_out out;
  bool request_sent; /* the request of the current call was sent, possibly only
                        in part */
  bool head_received; /* the head of the final response was received, not only
                         of an interim one */
  bool closing;
  uint32_t open_handles;
  bb_ms idle_since_ms;
  bb_ms keep_alive_ms; /* how long the connection may stay idle */
  struct connection *prev;
  struct connection *next;
};

struct bb_h1_pool
{
  uv_loop_t *loop;
  struct sockaddr_storage addr;
  bb_ms connect_timeout_ms;
  struct bb_memory *memory;            /* NULL: nothing counts */
  struct connection *idle_connections; /* connections without a call,
                                          most recently used first */
  uint32_t connections_count;
  bool freed;
};

uv_loop_t *
h1_pool_loop (const struct bb_h1_pool *p)
{
  return p->loop;
}

const struct sockaddr *
h1_pool_address (const struct bb_h1_pool *p)
{
  return (const struct sockaddr *)&p->addr;
}

const char *
bb_h1_result_name (enum bb_h1_result result)
{
  static const char *const names[]
      = { "whole", "unsent", "unanswered", "malformed", "cut" };

  return result < BB_H1_RESULTS ? names[result] : "unknown";
}

static void
free_pool_if_unused (struct bb_h1_pool *p)
{
  if (p->freed && p->connections_count == 0)
    free (p);
}

static void
on_closed (uv_handle_t *h)
{
  struct connection *conn = h->data;
  struct bb_h1_pool *p = conn->pool;

  if (--conn->open_handles > 0)
    return;
  h1_reader_free (&conn->reader);
  free (conn);
  p->connections_count--;
  free_pool_if_unused (p);
}

static void
close_connection (struct connection *conn)
{
  if (conn->closing)
    return;
  conn->closing = true;
  uv_close ((uv_handle_t *)&conn->timer, on_closed);
  uv_close ((uv_handle_t *)&conn->tcp, on_closed);
}

static void
free_call (struct bb_h1_call *c)
{
  h1_buffer_free (&c->request_head);
  free (c);
}

/* Ends the call of CONN, if there is one.  */
static void
end_call (struct connection *conn, enum bb_h1_result result)
{
  struct bb_h1_call *c = conn->call;

  if (!c)
    return;
  conn->call = NULL;
  c->connection = NULL;
  c->ops->on_end (c, result, c->user);
  free_call (c);
}

/* Closes CONN after a failure and ends its call, if there is one, with
   RESULT.  */
static void
fail_connection (struct connection *conn, enum bb_h1_result result)
{
  if (conn->closing)
    return;
  if (!conn->call)
    DL_DELETE (conn->pool->idle_connections, conn);
  close_connection (conn);
  end_call (conn, result);
}

/* Returns how long the connection may be kept idle: the timeout in the
   Keep-Alive header of the response, less KEEP_ALIVE_MARGIN_MS, or
   KEEP_ALIVE_DEFAULT_MS if the header names no timeout.  */
static bb_ms
keep_alive_time_ms (const struct h1_reader *r)
{
  struct bb_bytes v = bb_header_find (r->message.headers,
                                      r->message.headers_count, "keep-alive");
  char text[64];
  const char *at;
  bb_ms ms;

  if (v.size == 0 || v.size >= sizeof text)
    return KEEP_ALIVE_DEFAULT_MS;
  memcpy (text, v.ptr, v.size);
  text[v.size] = '\0';
  at = strstr (text, "timeout=");
  if (!at)
    return KEEP_ALIVE_DEFAULT_MS;
  ms = (bb_ms)strtoul (at + strlen ("timeout="), NULL, 10) * 1000
       - KEEP_ALIVE_MARGIN_MS;
  return ms > 0 ? ms : 0;
}

static bool
on_head (struct h1_reader *r, void *user)
{
  struct connection *conn = user;
  struct bb_h1_call *c = conn->call;

  if (!c || r->message.status < 200)
    return true;
  conn->head_received = true;
  if (c->ops->on_head)
    c->ops->on_head (c, &r->message, c->user);
  return conn->call && conn->call->is_head_request;
}

static void
on_body (struct h1_reader *r, struct bb_bytes data, void *user)
{
  struct connection *conn = user;

  (void)r;
  if (conn->call && conn->call->ops->on_data)
    conn->call->ops->on_data (conn->call, data, conn->call->user);
}

static void
on_complete (struct h1_reader *r, void *user)
{
  (void)r;
  (void)user;
}

static const struct h1_reader_ops reader_ops
    = { on_head, on_body, on_complete };

static void on_timer (uv_timer_t *t);

static void
add_to_idle (struct connection *conn)
{
  conn->idle_since_ms = (bb_ms)uv_now (conn->pool->loop);
  conn->head_received = false;
  conn->request_sent = false;
  h1_reader_reset (&conn->reader);
  DL_PREPEND (conn->pool->idle_connections, conn);
  uv_timer_start (&conn->timer, on_timer, (uint64_t)conn->keep_alive_ms, 0);
}

/* Ends the call of CONN with a complete response.  With MUST_CLOSE the
   connection is not reused: the response was followed by excess bytes, or by
   the end of the connection.  */
static void
finish_response (struct connection *conn, bool must_close)
{
  bool reusable = !must_close && http_should_keep_alive (&conn->reader.parser)
                  && conn->out.queued_bytes == 0 && conn->call->body.size == 0
                  && !conn->call->paused && !conn->pool->freed;
  struct bb_h1_call *c = conn->call;

  conn->keep_alive_ms = keep_alive_time_ms (&conn->reader);
  conn->call = NULL;
  c->connection = NULL;
  if (reusable && conn->keep_alive_ms > 0)
    add_to_idle (conn);
  else
    close_connection (conn);
  c->ops->on_end (c, BB_H1_WHOLE, c->user);
  free_call (c);
}

static void
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
  static char shared[READ_BUFFER_BYTES];

  (void)h;
  (void)suggested;
  *buf = uv_buf_init (shared, sizeof shared);
}

/* Parses received bytes of a response.  Interim responses are skipped.  */
static void
parse_response (struct connection *conn, const char *data, size_t size)
{
  while (size > 0 && !conn->closing && conn->call)
    {
      ssize_t n = h1_reader_feed (&conn->reader, data, size);
      if (conn->closing || !conn->call)
        return;
      if (n < 0)
        {
          fail_connection (conn,
                           conn->head_received ? BB_H1_CUT : BB_H1_MALFORMED);
          return;
        }
      data += n;
      size -= (size_t)n;
      if (!conn->reader.complete)
        continue;
      if (conn->head_received)
        {
          finish_response (conn, size > 0);
          return;
        }
      h1_reader_reset (&conn->reader);
    }
}

/* Returns how the current call of CONN ends if the connection closes now.  */
static enum bb_h1_result
result_of_close (const struct connection *conn)
{
  if (!conn->request_sent)
    return BB_H1_UNSENT;
  if (conn->head_received)
    return BB_H1_CUT;
  return conn->reader.started ? BB_H1_MALFORMED : BB_H1_UNANSWERED;
}

static void on_read (uv_stream_t *s, ssize_t size, const uv_buf_t *buf);

static void
read_on (struct connection *conn)
{
  if (uv_read_start ((uv_stream_t *)&conn->tcp, on_alloc, on_read) < 0)
    fail_connection (conn, result_of_close (conn));
}

static void
on_resume_timer (uv_timer_t *t)
{
  struct connection *conn = t->data;

  if (!conn->call || !conn->call->paused)
    read_on (conn);
}

/* Stops reading until the next iteration of the loop if the last read, for
   call C, filled the buffer: else libuv would read on, up to 32 times, before
   it serves another connection.  */
static void
yield_to_others (struct connection *conn, const struct bb_h1_call *c,
                 size_t size)
{
  if (size < READ_BUFFER_BYTES || conn->closing)
    return;
#ifndef BB_MUTANT_h1_yield_same
  if (conn->call != c)
    return;
#endif
  if (!conn->call)
    return;
  uv_read_stop ((uv_stream_t *)&conn->tcp);
  uv_timer_start (&conn->timer, on_resume_timer, 0, 0);
}

/* Whether the peer has closed CONN in order.  Where a reset arrives together
   with the last bytes, libuv reports UV_EOF after them.  */
static bool
ends_in_order (const struct connection *conn)
{
#ifdef BB_MUTANT_h1_reset_end
  return true;
#endif
  return h1_look_unread (&conn->tcp) == H1_UNREAD_END;
}

static void move_call (struct connection *conn);

static void
on_read (uv_stream_t *s, ssize_t size, const uv_buf_t *buf)
{
  struct connection *conn = s->data;
  const struct bb_h1_call *c;

  if (size == 0 || conn->closing)
    return;
  /* An idle connection was closed, or received bytes that belong to no
     response.  */
  if (!conn->call)
    {
      fail_connection (conn, BB_H1_UNANSWERED);
      return;
    }
#ifndef BB_MUTANT_h1_read_early
  if (!conn->request_sent)
    {
      move_call (conn);
      return;
    }
#endif
  if (size > 0)
    {
      c = conn->call;
      parse_response (conn, buf->base, (size_t)size);
      yield_to_others (conn, c, (size_t)size);
      return;
    }
  if (size == UV_EOF && conn->head_received && ends_in_order (conn)
      && h1_reader_finish (&conn->reader))
    {
      finish_response (conn, true);
      return;
    }
  if (!conn->closing)
    fail_connection (conn, result_of_close (conn));
}

static void
send_bytes (struct connection *conn, const char *data, size_t size)
{
  if (h1_write ((uv_stream_t *)&conn->tcp, data, size, &conn->out) < 0)
    fail_connection (conn, BB_H1_UNANSWERED);
}

/* Sends the body in small parts, until one is queued.  */
static void
send_body (void *user)
{
  struct connection *conn = user;

  while (!conn->closing && conn->call && conn->call->body.size > 0
         && conn->out.queued_bytes == 0)
    {
      struct bb_bytes *body = &conn->call->body;
      struct bb_bytes part = *body;
      if (part.size > BB_MEMORY_SMALL_BYTES)
        part.size = BB_MEMORY_SMALL_BYTES;
      body->ptr += part.size;
      body->size -= part.size;
      send_bytes (conn, part.ptr, part.size);
    }
}

static void
send_call (struct connection *conn)
{
  struct bb_h1_call *c = conn->call;

  conn->request_sent = true;
  send_bytes (conn, c->request_head.data, c->request_head.size);
  send_body (conn);
}

static void
on_connect (uv_connect_t *req, int status)
{
  struct connection *conn = req->data;

  if (conn->closing)
    return;
  if (status < 0
      || uv_read_start ((uv_stream_t *)&conn->tcp, on_alloc, on_read) < 0)
    {
      fail_connection (conn, BB_H1_UNSENT);
      return;
    }
  uv_timer_stop (&conn->timer);
  send_call (conn);
}

/* The connect timeout or the keep-alive time of an idle connection has
   expired, or the connect failed at once.  */
static void
on_timer (uv_timer_t *t)
{
  struct connection *conn = t->data;

  fail_connection (conn, BB_H1_UNSENT);
}

static void
set_socket_options (struct connection *conn)
{
  int user_timeout = TCP_USER_TIMEOUT_MS;
  uv_os_fd_t fd;

  uv_tcp_nodelay (&conn->tcp, 1);
  uv_tcp_keepalive (&conn->tcp, 1, 1);
  if (uv_fileno ((uv_handle_t *)&conn->tcp, &fd) == 0
      && setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
                     sizeof user_timeout)
             < 0)
    bb_log (BB_LOG_DEBUG, "h1", "Cannot set TCP_USER_TIMEOUT.");
}

static struct connection *
connection_new (struct bb_h1_pool *p)
{
  struct connection *conn = calloc (1, sizeof *conn);

  if (!conn)
    abort ();
  conn->pool = p;
  p->connections_count++;
  conn->open_handles = 2;
  uv_tcp_init (p->loop, &conn->tcp);
  uv_timer_init (p->loop, &conn->timer);
  conn->tcp.data = conn;
  conn->timer.data = conn;
  conn->connect.data = conn;
  conn->out.on_sent = send_body;
  conn->out.user = conn;
  conn->out.memory = p->memory;
  h1_reader_init (&conn->reader, HTTP_RESPONSE, &reader_ops, conn);
  uv_timer_start (&conn->timer, on_timer, (uint64_t)p->connect_timeout_ms, 0);
  return conn;
}

static void
format_request (struct bb_h1_call *c, const struct bb_h1_request *request)
{
  struct h1_buffer *text = &c->request_head;

  h1_buffer_append (text, request->method.ptr, request->method.size);
  h1_buffer_append (text, " ", 1);
  h1_buffer_append (text, request->target.ptr, request->target.size);
  h1_buffer_append (text, " HTTP/1.1\r\nHost: ", 17);
  h1_buffer_append (text, request->host.ptr, request->host.size);
  h1_buffer_append (text, "\r\n", 2);
  for (uint32_t i = 0; i < request->headers_count; i++)
    {
      const struct bb_header *h = &request->headers[i];
      if (bb_header_is_hop_by_hop (h->name))
        continue;
      h1_buffer_append (text, h->name.ptr, h->name.size);
      h1_buffer_append (text, ": ", 2);
      h1_buffer_append (text, h->value.ptr, h->value.size);
      h1_buffer_append (text, "\r\n", 2);
    }
  if (request->body.size > 0 || !bb_bytes_equal (request->method, "GET"))
    h1_buffer_printf (text, "Content-Length: %u\r\n", request->body.size);
  h1_buffer_append (text, "\r\n", 2);
  if (request->body.size > BB_MEMORY_SMALL_BYTES)
    c->body = request->body;
  else
    h1_buffer_append (text, request->body.ptr, request->body.size);
}

/* Removes the most recently used connection from the idle ones and returns it;
   NULL if there is none, or it has been idle for IDLE_MAX_MS or longer.  */
static struct connection *
take_idle (struct bb_h1_pool *p, bb_ms idle_max_ms)
{
  bb_ms now = (bb_ms)uv_now (p->loop);
  struct connection *conn = p->idle_connections;

  if (!conn || now - conn->idle_since_ms >= idle_max_ms)
    return NULL;
  DL_DELETE (p->idle_connections, conn);
  uv_timer_stop (&conn->timer);
  return conn;
}

static void
start_connect (struct connection *conn)
{
  int rc = uv_tcp_connect (&conn->connect, &conn->tcp,
                           (const struct sockaddr *)&conn->pool->addr,
                           on_connect);

  if (rc == 0)
    set_socket_options (conn);
  else
    uv_timer_start (&conn->timer, on_timer, 0, 0);
}

/* Sends the request on a reused connection, unless that is of no use any more:
   the upstream closed it, or sent bytes that belong to no request.  A timer
   defers this until bb_h1_call has returned, so that no callback precedes its
   return.  */
static void
on_reuse_timer (uv_timer_t *t)
{
  struct connection *conn = t->data;

#ifndef BB_MUTANT_h1_reuse_unread
  if (h1_look_unread (&conn->tcp) != H1_UNREAD_NOTHING)
    {
      move_call (conn);
      return;
    }
#endif
  send_call (conn);
}

/* Gives C an idle connection of P, or a new one.  */
static void
assign_connection (struct bb_h1_pool *p, struct bb_h1_call *c)
{
  struct connection *idle = take_idle (p, c->idle_max_ms);
  struct connection *conn = idle ? idle : connection_new (p);

  c->connection = conn;
  conn->call = c;
  if (idle)
    uv_timer_start (&conn->timer, on_reuse_timer, 0, 0);
  else
    start_connect (conn);
}

/* Closes CONN, on which nothing of its call was sent, and gives the call
   another connection.  */
static void
move_call (struct connection *conn)
{
  struct bb_h1_call *c = conn->call;

  conn->call = NULL;
  close_connection (conn);
  assign_connection (conn->pool, c);
}

struct bb_h1_call *
bb_h1_call (struct bb_h1_pool *p, const struct bb_h1_request *request,
            const struct bb_h1_call_ops *ops, void *user)
{
  struct bb_h1_call *c = calloc (1, sizeof *c);

  if (!c)
    abort ();
  c->ops = ops;
  c->user = user;
  c->is_head_request = bb_bytes_equal (request->method, "HEAD");
  c->idle_max_ms = request->idle_max_ms;
  format_request (c, request);
  assign_connection (p, c);
  return c;
}

void
bb_h1_call_pause (struct bb_h1_call *c)
{
  c->paused = true;
  uv_read_stop ((uv_stream_t *)&c->connection->tcp);
}

void
bb_h1_call_resume (struct bb_h1_call *c)
{
  c->paused = false;
  read_on (c->connection);
}

void
bb_h1_call_cancel (struct bb_h1_call *c)
{
  struct connection *conn = c->connection;

  conn->call = NULL;
  close_connection (conn);
  free_call (c);
}

struct bb_h1_pool *
bb_h1_pool_new (uv_loop_t *loop, const struct sockaddr_storage *addr,
                bb_ms connect_timeout_ms)
{
  struct bb_h1_pool *p = calloc (1, sizeof *p);

  if (!p)
    abort ();
  p->loop = loop;
  p->addr = *addr;
  p->connect_timeout_ms = connect_timeout_ms;
  return p;
}

void
bb_h1_pool_set_memory (struct bb_h1_pool *p, struct bb_memory *memory)
{
  p->memory = memory;
}

void
bb_h1_pool_drop_idle (struct bb_h1_pool *p)
{
  struct connection *conn;
  struct connection *next;

  DL_FOREACH_SAFE (p->idle_connections, conn, next)
  {
    DL_DELETE (p->idle_connections, conn);
    close_connection (conn);
  }
}

void
bb_h1_pool_free (struct bb_h1_pool *p)
{
  bb_h1_pool_drop_idle (p);
  p->freed = true;
  free_pool_if_unused (p);
}
