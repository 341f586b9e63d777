#ifndef WIRE_H
#define WIRE_H

/* Functions that the generated encoders and decoders call.  */

#include "bilberry/wire.h"

/* Appends a frame header with room for the length, and the start of a body
   with message TYPE, to BUF, and sets up PK to append the map of fields.
   Returns the offset of the frame in BUF, for bb_wire_end.  */
size_t bb_wire_begin (msgpack_sbuffer *buf, msgpack_packer *pk, uint64_t type);

/* Writes the length of the frame at offset START of BUF, which ends BUF, into
   its header.  */
void bb_wire_end (msgpack_sbuffer *buf, size_t start);

/* These append the value V to PK.  */
void bb_wire_put_bool (msgpack_packer *pk, bool v);
void bb_wire_put_str (msgpack_packer *pk, struct bb_bytes v);
void bb_wire_put_bin (msgpack_packer *pk, struct bb_bytes v);

/* Appends the header of a list of COUNT elements; COUNT is at most MAX.  */
void bb_wire_put_count (msgpack_packer *pk, uint32_t count, uint32_t max);

/* These check that value O is a map, or a list of at most MAX elements.  They
   return false and set *E on a mismatch.  FIELD is the name that *E gets: for
   bb_wire_is_map that of the message or struct, else that of the field.  */
bool bb_wire_is_map (const msgpack_object *o, const char *field,
                     struct bb_decode_error *e);
bool bb_wire_is_list (const msgpack_object *o, uint32_t max, const char *field,
                      struct bb_decode_error *e);

/* Returns the field number that KEY of a map holds, or 0, which no field has,
   if KEY is not an unsigned integer.  */
uint64_t bb_wire_field (const msgpack_object *key);

/* These check the type and size of value O and store it in *V.  A number is at
   most MAX.  A string or byte array is at most MAX bytes long and is not
   copied. They return false and set *E, with the name FIELD, on a mismatch. */
bool bb_wire_get_uint (const msgpack_object *o, uint64_t max, uint64_t *v,
                       const char *field, struct bb_decode_error *e);
bool bb_wire_get_bool (const msgpack_object *o, bool *v, const char *field,
                       struct bb_decode_error *e);
bool bb_wire_get_str (const msgpack_object *o, uint32_t max,
                      struct bb_bytes *v, const char *field,
                      struct bb_decode_error *e);
bool bb_wire_get_bin (const msgpack_object *o, uint32_t max,
                      struct bb_bytes *v, const char *field,
                      struct bb_decode_error *e);

/* These set *E for a missing required field or an unknown message type, and
   return false.  */
bool bb_wire_missing (const char *type_name, const char *field,
                      struct bb_decode_error *e);
bool bb_wire_unknown (uint64_t type, struct bb_decode_error *e);

/* Decodes OBJ, the map of fields of a message of TYPE, into M.  Returns false
   and sets *E on failure.  Generated.  */
bool bb_wire_get_message (uint64_t type, const msgpack_object *obj,
                          struct bb_message *m, struct bb_decode_error *e);

/* Returns whether DATA is exactly one msgpack value that is not nested too
   deeply and has no length or element count beyond the SIZE bytes.  Unpacking
   such a value allocates memory in proportion to SIZE.  */
bool bb_wire_lengths_valid (const char *data, size_t size);

#endif
