/* Fuzz target: the frame reader and the message decoder.  If the first byte is
   0, the rest is a stream of frames; if it is below 128, it is the number of a
   message type and the rest holds the fields of that message; other inputs are
   ignored.  A rejected message must come with an error text.  */

#include "bilberry/base.h"
#include "bilberry/wire.h"

#include <stdlib.h>
#include <string.h>

/* The name is fixed by libFuzzer.
   NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
decode_message (const char *body, size_t size)
{
  struct bb_decode_error e = { 0 };
  struct bb_message m;

  if (bb_message_decode (body, size, &m, &e))
    bb_message_free (&m);
  else if (!e.reason)
    abort ();
}

/* Decodes each complete frame at DATA.  */
static void
decode_frames (const char *data, size_t size)
{
  size_t body;

  while (bb_frame_peek (data, size, &body) == BB_FRAME_COMPLETE)
    {
      if (body > size - BB_FRAME_HEADER_BYTES)
        abort ();
      decode_message (data + BB_FRAME_HEADER_BYTES, body);
      data += BB_FRAME_HEADER_BYTES + body;
      size -= BB_FRAME_HEADER_BYTES + body;
    }
}

/* Decodes DATA as the fields of message TYPE.  */
static void
decode_fields (uint8_t type, const char *data, size_t size)
{
  char *body = malloc (size + 2);

  if (!body)
    return;
  body[0] = (char)0x92; /* msgpack array of 2 elements */
  body[1] = (char)type;
  memcpy (body + 2, data, size);
  decode_message (body, size + 2);
  free (body);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size == 0)
    return 0;
  if (data[0] == 0)
    decode_frames ((const char *)data + 1, size - 1);
  else if (data[0] < 0x80)
    decode_fields (data[0], (const char *)data + 1, size - 1);
  return 0;
}
