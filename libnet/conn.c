/* Framed TCP connections and their listener.  */

#include "bilberry/net.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

enum
{
  READ_BUFFER_BYTES = 65536,
  BACKLOG_MAX_BYTES = 64 * 1024 * 1024 /* unsent bytes; above, the peer is
                                          disconnected as too slow */
};

struct bb_conn
{
  uv_tcp_t tcp;
  uv_prepare_t flush;
  uv_connect_t connect;
  const struct bb_conn_ops *ops;
  void *user;
  msgpack_sbuffer output;
  bb_ms received_ms;    /* time of the last read, or of the start */
  size_t writing_bytes; /* bytes passed to uv_write and not sent yet */
  char *input;          /* received part of an incomplete frame; NULL: none */
  size_t input_size;
  size_t input_capacity;
  const char *close_reason; /* reason, set when closing starts; NULL before */
  uint32_t open_handles; /* of tcp and flush, how many are not closed; on_close
                            follows at 0 */
};

struct bb_listener
{
  uv_tcp_t tcp;
  const struct bb_conn_ops *ops;
  void *user;
};

/* The unsent rest of a buffer of frames, passed to uv_write.  */
struct pending_write
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

  if (--c->open_handles > 0)
    return;
  c->ops->on_close (c, c->close_reason);
  msgpack_sbuffer_destroy (&c->output);
  free (c->input);
  free (c);
}

void
bb_conn_close (struct bb_conn *c, const char *reason)
{
  if (c->close_reason)
    return;
  c->close_reason = reason;
  uv_close ((uv_handle_t *)&c->flush, on_handle_closed);
  uv_close ((uv_handle_t *)&c->tcp, on_handle_closed);
}

static void
on_written (uv_write_t *req, int status)
{
  struct pending_write *w = (struct pending_write *)req;

  w->conn->writing_bytes -= w->size;
  if (status < 0 && status != UV_ECANCELED)
    bb_conn_close (w->conn, uv_strerror (status));
  free (w->data);
  free (w);
}

static void
queue_write (struct bb_conn *c, char *data, size_t size, size_t written)
{
  struct pending_write *w = calloc (1, sizeof *w);
  uv_buf_t buf = uv_buf_init (data + written, (unsigned)(size - written));
  int rc;

  w->conn = c;
  w->data = data;
  w->size = size - written;
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
  size_t size = c->output.size;
  uv_buf_t buf;
  int rc;

  uv_prepare_stop (h);
  if (size == 0 || c->close_reason)
    return;
  bb_counter ("bilberry_frame_bytes_sent_total", "")->value += size;
  if (c->writing_bytes + size > BACKLOG_MAX_BYTES)
    {
      bb_conn_close (c, "the peer reads too slowly");
      return;
    }
  buf = uv_buf_init (c->output.data, (unsigned)size);
  rc = c->writing_bytes ? UV_EAGAIN
                        : uv_try_write ((uv_stream_t *)&c->tcp, &buf, 1);
  if (rc == (int)size)
    {
      c->output.size = 0;
      return;
    }
  if (rc < 0 && rc != UV_EAGAIN)
    {
      bb_conn_close (c, uv_strerror (rc));
      return;
    }
  queue_write (c, msgpack_sbuffer_release (&c->output), size,
               rc < 0 ? 0 : (size_t)rc);
}

msgpack_sbuffer *
bb_conn_out (struct bb_conn *c)
{
  if (!c->close_reason)
    uv_prepare_start (&c->flush, on_flush);
  return &c->output;
}

size_t
bb_conn_backlog_bytes (const struct bb_conn *c)
{
  return c->writing_bytes + c->output.size;
}

bb_ms
bb_conn_received_ms (const struct bb_conn *c)
{
  return c->received_ms;
}

size_t
bb_conn_partial_bytes (const struct bb_conn *c)
{
  return c->input_size;
}

/* The read buffer of connections that hold no incomplete frame.  They can
   share it, because the single event loop reads one connection at a time.  */
static char shared_read_buffer[READ_BUFFER_BYTES];

/* Passes each complete frame in the SIZE bytes at DATA to on_message.  Returns
   the total size of these frames.  */
static size_t
dispatch_frames (struct bb_conn *c, const char *data, size_t size)
{
  size_t offset = 0;
  size_t body_size;
  struct bb_message m;
  struct bb_decode_error e;

  while (!c->close_reason)
    {
      enum bb_frame_state state
          = bb_frame_peek (data + offset, size - offset, &body_size);
      if (state == BB_FRAME_TOO_LARGE)
        bb_conn_close (c, "a frame is too large");
      if (state != BB_FRAME_COMPLETE)
        break;
      if (!bb_message_decode (data + offset + BB_FRAME_HEADER_BYTES, body_size,
                              &m, &e))
        {
          bb_counter ("bilberry_bad_frames_total", "")->value++;
          bb_log (BB_LOG_WARN, "net", "Refused a frame: %s %s: %s.",
                  e.type_name, e.field, e.reason);
          bb_conn_close (c, "a frame is malformed");
          break;
        }
      c->ops->on_message (c, &m);
      bb_message_free (&m);
      offset += BB_FRAME_HEADER_BYTES + body_size;
    }
  return offset;
}

static void
note_received (struct bb_conn *c)
{
  c->received_ms = (bb_ms)uv_now (c->tcp.loop);
}

/* Grows the input buffer of C to hold at least CAPACITY bytes.  */
static void
reserve_input (struct bb_conn *c, size_t capacity)
{
  if (c->input_capacity >= capacity)
    return;
  c->input = realloc (c->input, capacity);
  if (!c->input)
    abort ();
  c->input_capacity = capacity;
}

/* Stores the SIZE bytes at DATA, the start of a frame, until the rest of it
   arrives.  Frees the input buffer if SIZE is 0.  */
static void
store_partial_frame (struct bb_conn *c, const char *data, size_t size)
{
  if (size == 0)
    {
      free (c->input);
      c->input = NULL;
      c->input_capacity = 0;
    }
  else
    {
      /* If input_size is not 0, DATA is within the input buffer, which is
         large enough.  */
      if (c->input_size == 0)
        reserve_input (c, size);
      memmove (c->input, data, size);
    }
  c->input_size = size;
}

static void
on_alloc (uv_handle_t *h, size_t size, uv_buf_t *buf)
{
  struct bb_conn *c = h->data;

  (void)size;
  if (c->input_size == 0)
    {
      *buf = uv_buf_init (shared_read_buffer, READ_BUFFER_BYTES);
      return;
    }
  if (c->input_capacity - c->input_size < READ_BUFFER_BYTES)
    reserve_input (c, c->input_capacity * 2 + READ_BUFFER_BYTES);
  *buf = uv_buf_init (c->input + c->input_size,
                      (unsigned)(c->input_capacity - c->input_size));
}

static void
on_read (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  struct bb_conn *c = s->data;
  const char *data = c->input_size > 0 ? c->input : buf->base;
  size_t size = c->input_size;
  size_t consumed;

  if (n < 0)
    {
      bb_conn_close (c, n == UV_EOF ? "the peer closed the connection"
                                    : uv_strerror ((int)n));
      return;
    }
  if (n > 0)
    {
      note_received (c);
      bb_counter ("bilberry_frame_bytes_received_total", "")->value
          += (uint64_t)n;
    }
  size += (size_t)n;
  consumed = dispatch_frames (c, data, size);
  store_partial_frame (c, data + consumed, size - consumed);
}

static void
on_connected (uv_connect_t *req, int status)
{
  struct bb_conn *c = req->data;

  if (c->close_reason)
    return;
  if (status < 0)
    {
      bb_conn_close (c, uv_strerror (status));
      return;
    }
  note_received (c);
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
  c->open_handles = 2;
  msgpack_sbuffer_init (&c->output);
  uv_tcp_init (loop, &c->tcp);
  uv_prepare_init (loop, &c->flush);
  c->tcp.data = c;
  c->flush.data = c;
  c->connect.data = c;
  note_received (c);
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
    LISTEN_BACKLOG = 1024
  };
  struct bb_listener *l = calloc (1, sizeof *l);

  l->ops = ops;
  l->user = user;
  uv_tcp_init (loop, &l->tcp);
  l->tcp.data = l;
  *error = uv_tcp_bind (&l->tcp, (const struct sockaddr *)addr, 0);
  if (*error == 0)
    *error = uv_listen ((uv_stream_t *)&l->tcp, LISTEN_BACKLOG, on_connection);
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
