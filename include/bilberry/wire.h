#ifndef BILBERRY_WIRE_H
#define BILBERRY_WIRE_H

/* libproto - framing and encoding of messages between entries, agents and the
   other processes of the system.  Link with -lproto -lmsgpackc.

   A frame is a header, the length of the body as four bytes in big-endian
   order, and a body, the msgpack array [type, {field number: value}].
   Decoders skip unknown field numbers and refuse a message that lacks a
   required field.  bilberry/messages.h, which is generated, declares the
   messages and the functions that encode them.  */

#include "bilberry/messages.h"

#include <glib.h>
#include <stddef.h>

enum
{
  BB_FRAME_HEADER_BYTES = 4,
  BB_FRAME_MAX_BYTES = 24 * 1024 * 1024 /* largest body of a frame */
};

/* Why a message was not decoded.  The strings are constants.  */
struct bb_decode_error
{
  const char *type_name; /* message or struct that lacks a field, else empty */
  const char *field;  /* field with the error, or message or struct that is not
                         a map of fields; may be empty */
  const char *reason; /* text for people, such as "not a string" */
};

/* How much of a frame has been received.  */
enum bb_frame_state
{
  BB_FRAME_PARTIAL, /* more bytes are needed */
  BB_FRAME_COMPLETE,
  BB_FRAME_TOO_LARGE /* the body exceeds BB_FRAME_MAX_BYTES */
};

/* Reads the header of the frame that starts at DATA, of which SIZE bytes have
   been received.  If the frame is complete, *BODY_SIZE is set to the size of
   its body, which follows the header, in bytes.  */
enum bb_frame_state bb_frame_peek (const char *data, size_t size,
                                   size_t *body_size);

/* Decodes DATA, the body of a frame, of SIZE bytes, into M.  Returns true on
   success; the caller then frees M by bb_message_free and keeps DATA until
   then, since strings in M point into it.  Returns false on failure, sets *E
   and leaves nothing to free.  */
bool bb_message_decode (const char *data, size_t size, struct bb_message *m,
                        struct bb_decode_error *e);

/* Frees the memory that decoding M has allocated, not M itself.  */
void bb_message_free (struct bb_message *m);

/* Returns VALUE packed by zstd, as the difference against BASE if that is not
   NULL, or NULL where that fails.  The caller frees it.  */
GBytes *bb_pack (GBytes *value, GBytes *base);
/* Returns the value of SIZE bytes that PACKED holds, or NULL where it is
   damaged, has another size or another base.  The caller frees it.  */
GBytes *bb_unpack (struct bb_bytes packed, size_t size, GBytes *base);

#endif
