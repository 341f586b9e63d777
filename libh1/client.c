/* The HTTP client: a pool of keep-alive connections to one server, and the
   calls on them.  A connection is reused only after a complete response that
   allows it and that no further bytes follow, also none that lie unread when
   the next request is sent.  */

#include "bilberry/net.h"
#include "client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <utlist.h>

enum
{
  TCP_USER_TIMEOUT_MS = 4000,   /* limit until sent data is acknowledged */
  READ_BUFFER_BYTES = 16 * 1024 /* read from a connection at a time */
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
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
  static char shared[READ_BUFFER_BYTES];

  (void)h;
  (void)suggested;
  *buf = uv_buf_init (shared, sizeof shared);
}

static void on_read (uv_stream_t *s, ssize_t size, const uv_buf_t *buf);

static void
read_on (struct connection *conn)
{
  if (uv_read_start ((uv_stream_t *)&conn->tcp, on_alloc, on_read) < 0)
    h1_client_fail (conn, h1_client_result_of_close (conn));
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
#ifdef BB_MUTANT_h1_yield_same
  c = conn->call;
#endif
  if (size < READ_BUFFER_BYTES || conn->closing || !conn->call
      || conn->call != c)
    return;
  uv_read_stop ((uv_stream_t *)&conn->tcp);
  uv_timer_start (&conn->timer, on_resume_timer, 0, 0);
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
      h1_client_fail (conn, BB_H1_UNANSWERED);
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
      h1_client_parse (conn, buf->base, (size_t)size);
      yield_to_others (conn, c, (size_t)size);
      return;
    }
  if (size == UV_EOF && conn->head_received && h1_client_ends_in_order (conn)
      && h1_reader_finish (&conn->reader))
    {
      h1_client_finish (conn, true);
      return;
    }
  if (!conn->closing)
    h1_client_fail (conn, h1_client_result_of_close (conn));
}

static void
send_bytes (struct connection *conn, const char *data, size_t size)
{
  if (h1_write ((uv_stream_t *)&conn->tcp, data, size, &conn->out) < 0)
    h1_client_fail (conn, BB_H1_UNANSWERED);
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
      h1_client_fail (conn, BB_H1_UNSENT);
      return;
    }
  uv_timer_stop (&conn->timer);
  send_call (conn);
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
  h1_reader_init (&conn->reader, HTTP_RESPONSE, &h1_client_reader_ops, conn);
  uv_timer_start (&conn->timer, h1_client_on_timer,
                  (uint64_t)p->connect_timeout_ms, 0);
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
    uv_timer_start (&conn->timer, h1_client_on_timer, 0, 0);
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
  h1_client_close (conn);
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
  h1_client_close (conn);
  h1_client_free_call (c);
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
    h1_client_close (conn);
  }
}

void
bb_h1_pool_free (struct bb_h1_pool *p)
{
  bb_h1_pool_drop_idle (p);
  p->freed = true;
  h1_client_free_pool_if_unused (p);
}
