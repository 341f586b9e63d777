/* Callers' connections, and the refusal of requests that arrive too slowly.

   h2o closes a connection that it has read from for too long without a word.
   A sweep comes before it: a connection that received bytes and has neither a
   whole request nor an answer under way is reading; after the read timeout it
   is sent an answer and closed.  */

#include "http_server.h"
#include "tcp_info.h"

#include <stdlib.h>
#include <sys/socket.h>
#include <utlist.h>

enum
{
  SWEEP_MS = 250,
  SEND_BUFFER_BYTES = 128 * 1024, /* kept by the kernel for a slow reader */
  UNREADABLE_STATUS = 400,
  SLOW_STATUS = 408
};

/* Counts a request head that h2o could not read.  h2o answers it with a fixed
   text that no filter sees, as the only bytes written after the last whole
   answer, and closes the connection.  */
static void
count_unreadable (const struct http_conn *c)
{
  const struct bb_http_options *o = &c->server->options;
  const h2o_socket_t *sock = c->sock;

  if (sock && o->on_error && !c->refused
      && sock->bytes_written != c->bytes_answered)
    free (o->on_error (UNREADABLE_STATUS, c->server->arg));
}

/* The socket of h2o ends here; the handle below it closes on a later turn of
   the loop.  */
static void
on_disposed (void *data)
{
  struct http_conn *c = data;

  count_unreadable (c);
  c->sock = NULL;
}

static void
on_socket_closed (uv_handle_t *h)
{
  struct http_conn *c = (struct http_conn *)h;

  DL_DELETE (c->server->conns, c);
  free (c);
}

void
http_on_connection (uv_stream_t *server, int status)
{
  struct bb_http_server *s = server->data;
  struct http_conn *c;
  h2o_socket_t *sock;
  int room = SEND_BUFFER_BYTES;

  if (status < 0)
    return;
  c = calloc (1, sizeof *c);
  if (!c)
    abort ();
  c->server = s;
  DL_APPEND (s->conns, c);
  uv_tcp_init (server->loop, &c->tcp);
  if (uv_accept (server, (uv_stream_t *)&c->tcp) < 0)
    {
      uv_close ((uv_handle_t *)&c->tcp, on_socket_closed);
      return;
    }
  uv_tcp_nodelay (&c->tcp, 1);
  uv_send_buffer_size ((uv_handle_t *)&c->tcp, &room);
  sock = h2o_uv_socket_create ((uv_stream_t *)&c->tcp, on_socket_closed);
  sock->on_close.cb = on_disposed;
  sock->on_close.data = c;
  c->sock = sock;
  h2o_accept (&s->accept, sock);
}

struct http_conn *
http_conn_of (h2o_req_t *req)
{
  h2o_socket_t *sock = req->conn->callbacks->get_socket (req->conn);

  return sock ? sock->on_close.data : NULL;
}

void
http_conn_answered (struct http_conn *c)
{
  const h2o_socket_t *sock = c->sock;

  c->open--;
  c->writing_since = 0;
  if (sock)
    c->bytes_answered = sock->bytes_written;
}

/* Sends the refusal past h2o, which has nothing to send on this connection,
   and ends reading, upon which h2o closes it.  */
static void
refuse (struct bb_http_server *s, int fd)
{
  static const uint16_t status = 408;
  char *body
      = s->options.on_error ? s->options.on_error (status, s->arg) : NULL;
  char answer[1024];
  int size
      = snprintf (answer, sizeof answer,
                  "HTTP/1.1 %d Status\r\nConnection: close\r\n"
                  "content-type: application/problem+json\r\n"
                  "bilberry-run: no\r\nContent-Length: %zu\r\n\r\n%s",
                  SLOW_STATUS, body ? strlen (body) : 0, body ? body : "");

  if (send (fd, answer, (size_t)size, MSG_DONTWAIT | MSG_NOSIGNAL) != size)
    bb_log (BB_LOG_DEBUG, "net", "A slow caller did not take its refusal.");
  shutdown (fd, SHUT_RDWR);
  free (body);
}

void
http_conn_shut (struct http_conn *c)
{
  int fd;

  if (uv_fileno ((const uv_handle_t *)&c->tcp, &fd) == 0)
    shutdown (fd, SHUT_RDWR);
}

/* Ends a connection whose caller does not take its answer.  */
static void
check_writing (struct http_conn *c, bb_ms now)
{
  const struct bb_http_options *o = &c->server->options;

  if (c->refused || c->writing_since == 0 || o->write_timeout_ms == 0
      || now - c->writing_since < o->write_timeout_ms)
    return;
  c->refused = true;
  if (o->on_error)
    free (o->on_error (SLOW_STATUS, c->server->arg));
  http_conn_shut (c);
}

static void
check (struct http_conn *c, bb_ms now)
{
  uint64_t bytes;
  int fd;

  check_writing (c, now);
  if (uv_fileno ((const uv_handle_t *)&c->tcp, &fd) < 0)
    return;
  bytes = tcp_bytes_received (fd);
  if (c->open > 0 || c->requests != c->requests_seen)
    {
      c->requests_seen = c->requests;
      c->bytes_seen = bytes;
      c->reading_since = 0;
      return;
    }
  if (bytes <= c->bytes_seen)
    return;
  if (c->reading_since == 0)
    c->reading_since = now;
  if (now - c->reading_since < c->server->options.read_timeout_ms)
    return;
  c->bytes_seen = bytes;
  c->reading_since = 0;
  c->refused = true;
  refuse (c->server, fd);
}

static void
on_sweep (uv_timer_t *t)
{
  struct bb_http_server *s = t->data;
  struct http_conn *c;

  DL_FOREACH (s->conns, c)
  {
    if (!uv_is_closing ((uv_handle_t *)&c->tcp))
      check (c, (bb_ms)uv_now (t->loop));
  }
}

void
http_watch_slow (struct bb_http_server *s, uv_loop_t *loop)
{
  uv_timer_init (loop, &s->sweep);
  s->sweep.data = s;
  uv_timer_start (&s->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
  uv_unref ((uv_handle_t *)&s->sweep);
}
