#include "bilberry/net.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

enum
{
  READ_BYTES = 65536,
  BACKLOG_MAX_BYTES = 64 * 1024 * 1024 /* a slower reader is cut off */
};

struct bb_conn
{
  uv_tcp_t tcp;
  uv_prepare_t flush;
  uv_connect_t connect;
  const struct bb_conn_ops *ops;
  void *user;
  msgpack_sbuffer out;
  size_t writing_bytes;
  char *in;
  size_t in_size;
  size_t in_room;
  const char *why; /* set once the connection is closing */
  uint32_t handles;
};

struct bb_listener
{
  uv_tcp_t tcp;
  const struct bb_conn_ops *ops;
  void *user;
};

/* One buffer of frames on its way out.  */
struct write
{
  uv_write_t req;
  struct bb_conn *conn;
  char *data;
  size_t size;
};

static void
on_handle_closed (uv_handle_t *h)
{
  struct bb_conn *c = h->data;

  if (--c->handles > 0)
    return;
  c->ops->on_close (c, c->why);
  msgpack_sbuffer_destroy (&c->out);
  free (c->in);
  free (c);
}

void
bb_conn_close (struct bb_conn *c, const char *why)
{
  if (c->why)
    return;
  c->why = why;
  uv_close ((uv_handle_t *)&c->flush, on_handle_closed);
  uv_close ((uv_handle_t *)&c->tcp, on_handle_closed);
}

static void
on_written (uv_write_t *req, int status)
{
  struct write *w = (struct write *)req;

  w->conn->writing_bytes -= w->size;
  if (status < 0 && status != UV_ECANCELED)
    bb_conn_close (w->conn, uv_strerror (status));
  free (w->data);
  free (w);
}

static void
send_rest (struct bb_conn *c, char *data, size_t size, size_t sent)
{
  struct write *w = calloc (1, sizeof *w);
  uv_buf_t buf = uv_buf_init (data + sent, (unsigned)(size - sent));
  int rc;

  w->conn = c;
  w->data = data;
  w->size = size - sent;
  c->writing_bytes += w->size;
  rc = uv_write (&w->req, (uv_stream_t *)&c->tcp, &buf, 1, on_written);
  if (rc == 0)
    return;
  c->writing_bytes -= w->size;
  free (w->data);
  free (w);
  bb_conn_close (c, uv_strerror (rc));
}

static void
on_flush (uv_prepare_t *h)
{
  struct bb_conn *c = h->data;
  size_t size = c->out.size;
  uv_buf_t buf;
  int rc;

  uv_prepare_stop (h);
  if (size == 0 || c->why)
    return;
  if (c->writing_bytes + size > BACKLOG_MAX_BYTES)
    {
      bb_conn_close (c, "the peer reads too slowly");
      return;
    }
  buf = uv_buf_init (c->out.data, (unsigned)size);
  rc = c->writing_bytes ? UV_EAGAIN
                        : uv_try_write ((uv_stream_t *)&c->tcp, &buf, 1);
  if (rc == (int)size)
    {
      c->out.size = 0;
      return;
    }
  if (rc < 0 && rc != UV_EAGAIN)
    {
      bb_conn_close (c, uv_strerror (rc));
      return;
    }
  send_rest (c, msgpack_sbuffer_release (&c->out), size,
             rc < 0 ? 0 : (size_t)rc);
}

msgpack_sbuffer *
bb_conn_out (struct bb_conn *c)
{
  if (!c->why)
    uv_prepare_start (&c->flush, on_flush);
  return &c->out;
}

size_t
bb_conn_backlog_bytes (const struct bb_conn *c)
{
  return c->writing_bytes + c->out.size;
}

/* Where connections read while they hold no part of a frame.  All share it,
   since one loop on one thread reads one connection at a time.  */
static char shared_in[READ_BYTES];

/* Hands the whole frames in the SIZE bytes at DATA to the owner.  Returns how
   many bytes they take.  */
static size_t
take_frames (struct bb_conn *c, const char *data, size_t size)
{
  size_t at = 0;
  size_t body;
  struct bb_message m;
  struct bb_decode_error e;

  while (!c->why)
    {
      enum bb_frame_state state = bb_frame_peek (data + at, size - at, &body);
      if (state == BB_FRAME_TOO_LARGE)
        bb_conn_close (c, "a frame is too large");
      if (state != BB_FRAME_COMPLETE)
        break;
      if (!bb_message_decode (data + at + BB_FRAME_HEADER_BYTES, body, &m, &e))
        {
          bb_counter ("bilberry_bad_frames_total", "")->value++;
          bb_log (BB_LOG_WARN, "net", "Refused a frame: %s %s: %s.",
                  e.type_name, e.field, e.reason);
          bb_conn_close (c, "a frame is malformed");
          break;
        }
      c->ops->on_message (c, &m);
      bb_message_free (&m);
      at += BB_FRAME_HEADER_BYTES + body;
    }
  return at;
}

/* Makes the connection's own buffer hold at least ROOM bytes.  */
static void
reserve (struct bb_conn *c, size_t room)
{
  if (c->in_room >= room)
    return;
  c->in = realloc (c->in, room);
  if (!c->in)
    abort ();
  c->in_room = room;
}

/* Keeps the SIZE bytes at DATA, the begin of a frame, until more come.  */
static void
keep_rest (struct bb_conn *c, const char *data, size_t size)
{
  if (size == 0)
    {
      free (c->in);
      c->in = NULL;
      c->in_room = 0;
    }
  else
    {
      /* Otherwise DATA lies in the buffer of C, which has room for it.  */
      if (c->in_size == 0)
        reserve (c, size);
      memmove (c->in, data, size);
    }
  c->in_size = size;
}

static void
on_alloc (uv_handle_t *h, size_t size, uv_buf_t *buf)
{
  struct bb_conn *c = h->data;

  (void)size;
  if (c->in_size == 0)
    {
      *buf = uv_buf_init (shared_in, READ_BYTES);
      return;
    }
  if (c->in_room - c->in_size < READ_BYTES)
    reserve (c, c->in_room * 2 + READ_BYTES);
  *buf = uv_buf_init (c->in + c->in_size, (unsigned)(c->in_room - c->in_size));
}

static void
on_read (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  struct bb_conn *c = s->data;
  const char *data = c->in_size > 0 ? c->in : buf->base;
  size_t size = c->in_size;
  size_t taken;

  if (n < 0)
    {
      bb_conn_close (c, n == UV_EOF ? "the peer closed the connection"
                                    : uv_strerror ((int)n));
      return;
    }
  size += (size_t)n;
  taken = take_frames (c, data, size);
  keep_rest (c, data + taken, size - taken);
}

static void
on_connected (uv_connect_t *req, int status)
{
  struct bb_conn *c = req->data;

  if (c->why)
    return;
  if (status < 0)
    {
      bb_conn_close (c, uv_strerror (status));
      return;
    }
  uv_tcp_nodelay (&c->tcp, 1);
  uv_read_start ((uv_stream_t *)&c->tcp, on_alloc, on_read);
  if (c->ops->on_open)
    c->ops->on_open (c);
}

static struct bb_conn *
conn_new (uv_loop_t *loop, const struct bb_conn_ops *ops, void *user)
{
  struct bb_conn *c = calloc (1, sizeof *c);

  if (!c)
    abort ();
  c->ops = ops;
  c->user = user;
  c->handles = 2;
  msgpack_sbuffer_init (&c->out);
  uv_tcp_init (loop, &c->tcp);
  uv_prepare_init (loop, &c->flush);
  c->tcp.data = c;
  c->flush.data = c;
  c->connect.data = c;
  return c;
}

struct bb_conn *
bb_conn_connect (uv_loop_t *loop, const struct sockaddr_storage *addr,
                 const struct bb_conn_ops *ops, void *user)
{
  struct bb_conn *c = conn_new (loop, ops, user);
  int rc = uv_tcp_connect (&c->connect, &c->tcp, (const struct sockaddr *)addr,
                           on_connected);

  if (rc < 0)
    bb_conn_close (c, uv_strerror (rc));
  return c;
}

void *
bb_conn_user (const struct bb_conn *c)
{
  return c->user;
}

void
bb_conn_set_user (struct bb_conn *c, void *user)
{
  c->user = user;
}

static void
on_connection (uv_stream_t *server, int status)
{
  struct bb_listener *l = server->data;
  struct bb_conn *c;

  if (status < 0)
    return;
  c = conn_new (server->loop, l->ops, l->user);
  if (uv_accept (server, (uv_stream_t *)&c->tcp) < 0)
    {
      bb_conn_close (c, "the connection was not accepted");
      return;
    }
  uv_tcp_nodelay (&c->tcp, 1);
  uv_read_start ((uv_stream_t *)&c->tcp, on_alloc, on_read);
  if (c->ops->on_open)
    c->ops->on_open (c);
}

static void
on_listener_closed (uv_handle_t *h)
{
  free (h->data);
}

struct bb_listener *
bb_listener_open (uv_loop_t *loop, const struct sockaddr_storage *addr,
                  const struct bb_conn_ops *ops, void *user, int *error)
{
  enum
  {
    ACCEPT_QUEUE = 1024
  };
  struct bb_listener *l = calloc (1, sizeof *l);

  l->ops = ops;
  l->user = user;
  uv_tcp_init (loop, &l->tcp);
  l->tcp.data = l;
  *error = uv_tcp_bind (&l->tcp, (const struct sockaddr *)addr, 0);
  if (*error == 0)
    *error = uv_listen ((uv_stream_t *)&l->tcp, ACCEPT_QUEUE, on_connection);
  if (*error == 0)
    return l;
  bb_listener_close (l);
  return NULL;
}

void
bb_listener_close (struct bb_listener *l)
{
  uv_close ((uv_handle_t *)&l->tcp, on_listener_closed);
}
