/* Fuzz target: the reader of HTTP messages.  The first byte says whether the
   rest is requests or responses, and the second how many bytes are parsed at
   once; 0: all.  Each part of a message is read when the message is
   complete.  */

#include "../libh1/h1.h"

#include <stdlib.h>
#include <string.h>

/* The name is fixed by libFuzzer.
   NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static uint32_t checksum; /* keeps the reads from being optimized away */

static void
read_bytes (struct bb_bytes b)
{
  for (uint32_t i = 0; i < b.size; i++)
    checksum += (uint8_t)b.ptr[i];
}

static bool
on_head (struct h1_reader *r, void *user)
{
  (void)user;
  read_bytes (r->message.target);
  return false;
}

static void
on_body (struct h1_reader *r, struct bb_bytes data, void *user)
{
  (void)r;
  (void)user;
  read_bytes (data);
}

static void
on_complete (struct h1_reader *r, void *user)
{
  const struct bb_h1_message *m = &r->message;

  (void)user;
  read_bytes (m->method);
  read_bytes (m->target);
  for (uint32_t i = 0; i < m->headers_count; i++)
    {
      read_bytes (m->headers[i].name);
      read_bytes (m->headers[i].value);
    }
}

static const struct h1_reader_ops ops = { on_head, on_body, on_complete };

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct h1_reader r;
  size_t piece;

  if (size < 2)
    return 0;
  h1_reader_init (&r, data[0] & 1 ? HTTP_RESPONSE : HTTP_REQUEST, &ops, NULL);
  piece = data[1] ? data[1] : size;
  data += 2;
  size -= 2;
  while (size > 0)
    {
      ssize_t n = h1_reader_feed (&r, (const char *)data,
                                  size < piece ? size : piece);
      if (n < 0)
        break;
      data += n;
      size -= (size_t)n;
      if (r.complete)
        h1_reader_reset (&r);
      else if (n == 0)
        break;
    }
  h1_reader_finish (&r);
  h1_reader_free (&r);
  return 0;
}
