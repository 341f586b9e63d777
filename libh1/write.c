/* Non-blocking writes to a socket.  */

#include "h1.h"

#include <stdlib.h>
#include <string.h>

/* Queued bytes that the kernel did not accept at once.  */
struct pending_write
{
  uv_write_t req;
  struct h1_out *out;
  struct bb_memory *memory;
  size_t size;
  size_t held_bytes; /* of memory that they keep */
  GBytes *body;      /* that has the bytes; NULL: a copy follows */
  char data[];
};

static void
free_pending (struct pending_write *w)
{
  if (w->memory)
    bb_memory_give (w->memory, w->held_bytes);
  if (w->body)
    g_bytes_unref (w->body);
  free (w);
}

/* Returns RC, the result of a write.  */
static int
keep_error (struct h1_out *out, int rc)
{
  if (rc < 0 && out->error == 0)
    out->error = rc;
  return rc;
}

static void
on_written (uv_write_t *req, int status)
{
  struct pending_write *w = (struct pending_write *)req;
  struct h1_out *out = w->out;

  /* When the stream is closed, the owner of OUT may already be freed.  */
  if (status != UV_ECANCELED)
    {
      out->queued_bytes -= w->size;
      keep_error (out, status);
    }
  free_pending (w);
  if (status == 0 && out->queued_bytes == 0 && out->on_sent)
    out->on_sent (out->user);
}

/* Tries to write at once.  Returns how many bytes the kernel has accepted, or
   a uv error.  */
static ssize_t
write_now (uv_stream_t *s, const char *data, size_t size,
           const struct h1_out *out)
{
  uv_buf_t buf = uv_buf_init ((char *)data, (unsigned)size);
  int n = 0;

  if (out->queued_bytes == 0)
    n = uv_try_write (s, &buf, 1);
  return n == UV_EAGAIN ? 0 : n;
}

/* Queues W, whose bytes are at DATA.  */
static int
queue (uv_stream_t *s, struct pending_write *w, const char *data)
{
  uv_buf_t buf = uv_buf_init ((char *)data, (unsigned)w->size);
  struct h1_out *out = w->out;
  int rc;

  w->memory = out->memory;
  if (w->memory)
    bb_memory_add (w->memory, w->held_bytes);
  out->queued_bytes += w->size;
  rc = uv_write (&w->req, s, &buf, 1, on_written);
  if (rc < 0)
    {
      out->queued_bytes -= w->size;
      free_pending (w);
    }
  return keep_error (out, rc);
}

static struct pending_write *
pending_new (struct h1_out *out, size_t size, size_t copy_bytes)
{
  struct pending_write *w = malloc (sizeof *w + copy_bytes);

  if (!w)
    abort ();
  w->out = out;
  w->size = size;
  w->held_bytes = size;
  w->body = NULL;
  return w;
}

int
h1_write (uv_stream_t *s, const char *data, size_t size, struct h1_out *out)
{
  struct pending_write *w;
  ssize_t n;

  if (size == 0)
    return 0;
  n = write_now (s, data, size, out);
  if (n < 0)
    return keep_error (out, (int)n);
  if ((size_t)n == size)
    return 0;
  size -= (size_t)n;
  w = pending_new (out, size, size);
  memcpy (w->data, data + n, size);
  return queue (s, w, w->data);
}

int
h1_write_bytes (uv_stream_t *s, GBytes *body, size_t offset,
                struct h1_out *out)
{
  gsize size;
  const char *data = g_bytes_get_data (body, &size);
  struct pending_write *w;
  ssize_t n;

  if (size == offset)
    return 0;
  n = write_now (s, data + offset, size - offset, out);
  if (n < 0)
    return keep_error (out, (int)n);
  offset += (size_t)n;
  if (offset == size)
    return 0;
  w = pending_new (out, size - offset, 0);
  w->body = g_bytes_ref (body);
  w->held_bytes = size;
  return queue (s, w, data + offset);
}
