/* Connections from clients, and their read and write timeouts.

   When a request takes too long to arrive, h2o closes the connection without a
   response.  A periodic sweep acts earlier.  It finds connections that have
   received bytes of a request which is not complete, while no other request is
   in progress on them.  After the read timeout it sends such a connection
   status 408 and closes it.  */

#include "http_server.h"
#include "tcp_info.h"

#include <stdlib.h>
#include <sys/socket.h>
#include <utlist.h>

enum
{
  SWEEP_INTERVAL_MS = 250,
  SEND_BUFFER_BYTES = 128 * 1024, /* limit of what the kernel holds for a slow
                                     client */
  BAD_REQUEST_STATUS = 400,
  REQUEST_TIMEOUT_STATUS = 408
};

/* Called when the h2o socket closes: reports a request head that h2o could not
   parse.  h2o responds to it with a fixed text that passes no filter, and
   which is therefore recognized by its bytes: the only ones that h2o writes
   after the last complete response.  */
static void
report_unparsable_head (const struct http_conn *c)
{
  const struct bb_http_options *o = &c->server->options;
  const h2o_socket_t *sock = c->sock;

  if (sock && o->on_error && !c->error_reported
      && sock->bytes_written != c->bytes_after_response)
    free (o->on_error (BAD_REQUEST_STATUS, c->server->arg));
}

/* Called when the h2o socket is closed; the uv handle below it closes in a
   later iteration of the loop.  */
static void
on_h2o_socket_closed (void *data)
{
  struct http_conn *c = data;

  report_unparsable_head (c);
  c->sock = NULL;
}

static void
on_socket_closed (uv_handle_t *h)
{
  struct http_conn *c = (struct http_conn *)h;

  DL_DELETE (c->server->connections, c);
  free (c);
}

void
http_on_connection (uv_stream_t *server, int status)
{
  struct bb_http_server *s = server->data;
  struct http_conn *c;
  h2o_socket_t *sock;
  int size = SEND_BUFFER_BYTES;

  if (status < 0)
    return;
  c = calloc (1, sizeof *c);
  if (!c)
    abort ();
  c->server = s;
  DL_APPEND (s->connections, c);
  uv_tcp_init (server->loop, &c->tcp);
  if (uv_accept (server, (uv_stream_t *)&c->tcp) < 0)
    {
      uv_close ((uv_handle_t *)&c->tcp, on_socket_closed);
      return;
    }
  uv_tcp_nodelay (&c->tcp, 1);
  uv_send_buffer_size ((uv_handle_t *)&c->tcp, &size);
  sock = h2o_uv_socket_create ((uv_stream_t *)&c->tcp, on_socket_closed);
  sock->on_close.cb = on_h2o_socket_closed;
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
http_conn_request_done (struct http_conn *c)
{
  const h2o_socket_t *sock = c->sock;

  c->responding_count--;
  c->write_started_ms = 0;
  if (sock)
    c->bytes_after_response = sock->bytes_written;
}

/* Writes status 408 directly to the socket, which h2o is not writing to, and
   shuts the socket down, upon which h2o closes the connection.  */
static void
reject_slow_request (struct bb_http_server *s, int fd)
{
  static const uint16_t status = 408;
  char *body
      = s->options.on_error ? s->options.on_error (status, s->arg) : NULL;
  char response[1024];
  int size = snprintf (response, sizeof response,
                       "HTTP/1.1 %d Status\r\nConnection: close\r\n"
                       "content-type: application/problem+json\r\n"
                       "bilberry-run: no\r\nContent-Length: %zu\r\n\r\n%s",
                       REQUEST_TIMEOUT_STATUS, body ? strlen (body) : 0,
                       body ? body : "");

  if (send (fd, response, (size_t)size, MSG_DONTWAIT | MSG_NOSIGNAL) != size)
    bb_log (BB_LOG_DEBUG, "net",
            "Could not send status 408 to a slow client.");
  shutdown (fd, SHUT_RDWR);
  free (body);
}

void
http_conn_shutdown (struct http_conn *c)
{
  int fd;

  if (uv_fileno ((const uv_handle_t *)&c->tcp, &fd) == 0)
    shutdown (fd, SHUT_RDWR);
}

/* Closes a connection whose client does not take its response in time.  */
static void
check_write_timeout (struct http_conn *c, bb_ms now)
{
  const struct bb_http_options *o = &c->server->options;

  if (c->error_reported || c->write_started_ms == 0 || o->write_timeout_ms == 0
      || now - c->write_started_ms < o->write_timeout_ms)
    return;
  c->error_reported = true;
  if (o->on_error)
    free (o->on_error (REQUEST_TIMEOUT_STATUS, c->server->arg));
  http_conn_shutdown (c);
}

/* Applies the write and read timeouts to C.  Called at each sweep.  */
static void
check_timeouts (struct http_conn *c, bb_ms now)
{
  uint64_t bytes;
  int fd;

  check_write_timeout (c, now);
  if (uv_fileno ((const uv_handle_t *)&c->tcp, &fd) < 0)
    return;
  bytes = tcp_bytes_received (fd);
  if (c->responding_count > 0 || c->requests_total != c->requests_at_sweep)
    {
      c->requests_at_sweep = c->requests_total;
      c->bytes_before_request = bytes;
      c->read_started_ms = 0;
      return;
    }
  if (bytes <= c->bytes_before_request)
    return;
  if (c->read_started_ms == 0)
    c->read_started_ms = now;
  if (now - c->read_started_ms < c->server->options.read_timeout_ms)
    return;
  c->bytes_before_request = bytes;
  c->read_started_ms = 0;
  c->error_reported = true;
  reject_slow_request (c->server, fd);
}

static void
on_sweep (uv_timer_t *t)
{
  struct bb_http_server *s = t->data;
  struct http_conn *c;

  DL_FOREACH (s->connections, c)
  {
    if (!uv_is_closing ((uv_handle_t *)&c->tcp))
      check_timeouts (c, (bb_ms)uv_now (t->loop));
  }
}

void
http_start_sweep (struct bb_http_server *s, uv_loop_t *loop)
{
  uv_timer_init (loop, &s->sweep_timer);
  s->sweep_timer.data = s;
  uv_timer_start (&s->sweep_timer, on_sweep, SWEEP_INTERVAL_MS,
                  SWEEP_INTERVAL_MS);
  uv_unref ((uv_handle_t *)&s->sweep_timer);
}
