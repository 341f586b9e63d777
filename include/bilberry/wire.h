#ifndef BILBERRY_WIRE_H
#define BILBERRY_WIRE_H

/* libproto - frames and messages between the processes of the system.
   Link with -lproto -lmsgpackc.

   A frame is four bytes of big-endian length and a msgpack array
   [type, {field number: value}].  A decoder skips field numbers that it does
   not know and refuses a message that lacks a required one.  */

#include "bilberry/messages.h"

#include <stddef.h>

enum
{
  BB_FRAME_HEADER_BYTES = 4,
  BB_FRAME_MAX_BYTES = 24 * 1024 * 1024
};

/* Why a frame was refused.  */
struct bb_decode_error
{
  const char *type_name; /* message or struct at fault; may be empty */
  const char *field;     /* field at fault; may be empty */
  const char *reason;    /* short sentence */
};

/* What the head of the bytes received so far tells.  */
enum bb_frame_state
{
  BB_FRAME_PARTIAL, /* wait for more bytes */
  BB_FRAME_COMPLETE,
  BB_FRAME_TOO_LARGE
};

/* Looks for a frame at DATA.  When it is whole, *BODY_SIZE is the size of the
   body that follows the head.  */
enum bb_frame_state bb_frame_peek (const char *data, size_t size,
                                   size_t *body_size);

/* Decodes the body of one frame.  On success the caller ends the use of M by
   bb_message_free; on failure *E says why and M needs no free.  */
bool bb_message_decode (const char *data, size_t size, struct bb_message *m,
                        struct bb_decode_error *e);

void bb_message_free (struct bb_message *m);

#endif
