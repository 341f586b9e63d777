/* Non-blocking writes to a socket.  */

#include "h1.h"

#include <stdlib.h>
#include <string.h>

/* Queued bytes that the kernel did not accept at once.  */
struct pending_write
{
  uv_write_t req;
  size_t *queued_bytes;
  size_t size;
  char data[];
};

static void
on_written (uv_write_t *req, int status)
{
  struct pending_write *w = (struct pending_write *)req;

  /* When the stream is closed, the owner of the counter may already be
     freed.  */
  if (status != UV_ECANCELED)
    *w->queued_bytes -= w->size;
  free (w);
}

int
h1_write (uv_stream_t *s, const char *data, size_t size, size_t *queued_bytes)
{
  uv_buf_t buf = uv_buf_init ((char *)data, (unsigned)size);
  struct pending_write *w;
  int n = 0;
  int rc;

  if (size == 0)
    return 0;
  if (*queued_bytes == 0)
    n = uv_try_write (s, &buf, 1);
  if (n == UV_EAGAIN)
    n = 0;
  if (n < 0)
    return n;
  if ((size_t)n == size)
    return 0;
  size -= (size_t)n;
  w = malloc (sizeof *w + size);
  if (!w)
    abort ();
  memcpy (w->data, data + n, size);
  w->size = size;
  w->queued_bytes = queued_bytes;
  *queued_bytes += size;
  buf = uv_buf_init (w->data, (unsigned)size);
  rc = uv_write (&w->req, s, &buf, 1, on_written);
  if (rc < 0)
    {
      *queued_bytes -= size;
      free (w);
    }
  return rc;
}
