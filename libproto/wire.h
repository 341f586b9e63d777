#ifndef WIRE_H
#define WIRE_H

/* What the generated encoders and decoders stand on.  */

#include "bilberry/wire.h"

size_t bb_wire_begin (msgpack_sbuffer *buf, msgpack_packer *pk, uint64_t type);
void bb_wire_end (msgpack_sbuffer *buf, size_t start);
void bb_wire_put_bool (msgpack_packer *pk, bool v);
void bb_wire_put_str (msgpack_packer *pk, struct bb_bytes v);
void bb_wire_put_bin (msgpack_packer *pk, struct bb_bytes v);
void bb_wire_put_count (msgpack_packer *pk, uint32_t count, uint32_t max);

bool bb_wire_is_map (const msgpack_object *o, const char *field,
                     struct bb_decode_error *e);
bool bb_wire_is_list (const msgpack_object *o, uint32_t max, const char *field,
                      struct bb_decode_error *e);
uint64_t bb_wire_field (const msgpack_object *key);
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
bool bb_wire_missing (const char *type_name, const char *field,
                      struct bb_decode_error *e);
bool bb_wire_unknown (uint64_t type, struct bb_decode_error *e);

/* Decodes the map of a message of TYPE; generated.  */
bool bb_wire_get_message (uint64_t type, const msgpack_object *obj,
                          struct bb_message *m, struct bb_decode_error *e);

/* Whether the msgpack value at DATA nests and counts within what its bytes
   can hold, so that unpacking it allocates no more than in proportion.  */
bool bb_wire_lengths_valid (const char *data, size_t size);

#endif
