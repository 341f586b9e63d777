/* Frames, and the values that messages consist of.  */

#include "wire.h"

#include <assert.h>
#include <string.h>

size_t
bb_wire_begin (msgpack_sbuffer *buf, msgpack_packer *pk, uint64_t type)
{
  static const char head[BB_FRAME_HEADER_BYTES];
  size_t start = buf->size;

  msgpack_sbuffer_write (buf, head, sizeof head);
  msgpack_packer_init (pk, buf, msgpack_sbuffer_write);
  msgpack_pack_array (pk, 2);
  msgpack_pack_uint64 (pk, type);
  return start;
}

void
bb_wire_end (msgpack_sbuffer *buf, size_t start)
{
  size_t size = buf->size - start - BB_FRAME_HEADER_BYTES;

  assert (size <= BB_FRAME_MAX_BYTES);
  for (uint32_t i = 0; i < BB_FRAME_HEADER_BYTES; i++)
    buf->data[start + i]
        = (char)(size >> (8 * (BB_FRAME_HEADER_BYTES - 1 - i)));
}

void
bb_wire_put_bool (msgpack_packer *pk, bool v)
{
  if (v)
    msgpack_pack_true (pk);
  else
    msgpack_pack_false (pk);
}

void
bb_wire_put_str (msgpack_packer *pk, struct bb_bytes v)
{
  msgpack_pack_str (pk, v.size);
  msgpack_pack_str_body (pk, v.ptr, v.size);
}

void
bb_wire_put_bin (msgpack_packer *pk, struct bb_bytes v)
{
  msgpack_pack_bin (pk, v.size);
  msgpack_pack_bin_body (pk, v.ptr, v.size);
}

void
bb_wire_put_count (msgpack_packer *pk, uint32_t count, uint32_t max)
{
  assert (count <= max);
  msgpack_pack_array (pk, count);
}

/* Sets *E to FIELD and REASON, without the name of a message, and returns
   false.  */
static bool
set_error (struct bb_decode_error *e, const char *field, const char *reason)
{
  e->type_name = "";
  e->field = field;
  e->reason = reason;
  return false;
}

bool
bb_wire_is_map (const msgpack_object *o, const char *field,
                struct bb_decode_error *e)
{
  if (o->type != MSGPACK_OBJECT_MAP)
    return set_error (e, field, "not a map");
  return true;
}

bool
bb_wire_is_list (const msgpack_object *o, uint32_t max, const char *field,
                 struct bb_decode_error *e)
{
  if (o->type != MSGPACK_OBJECT_ARRAY)
    return set_error (e, field, "not a list");
  if (o->via.array.size > max)
    return set_error (e, field, "list too long");
  return true;
}

uint64_t
bb_wire_field (const msgpack_object *key)
{
  if (key->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return 0;
  return key->via.u64;
}

bool
bb_wire_get_uint (const msgpack_object *o, uint64_t max, uint64_t *v,
                  const char *field, struct bb_decode_error *e)
{
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return set_error (e, field, "not an unsigned integer");
  if (o->via.u64 > max)
    return set_error (e, field, "number out of range");
  *v = o->via.u64;
  return true;
}

bool
bb_wire_get_bool (const msgpack_object *o, bool *v, const char *field,
                  struct bb_decode_error *e)
{
  if (o->type != MSGPACK_OBJECT_BOOLEAN)
    return set_error (e, field, "not a boolean");
  *v = o->via.boolean;
  return true;
}

bool
bb_wire_get_str (const msgpack_object *o, uint32_t max, struct bb_bytes *v,
                 const char *field, struct bb_decode_error *e)
{
  if (o->type != MSGPACK_OBJECT_STR)
    return set_error (e, field, "not a string");
  if (o->via.str.size > max)
    return set_error (e, field, "string too long");
  v->ptr = o->via.str.ptr;
  v->size = o->via.str.size;
  return true;
}

bool
bb_wire_get_bin (const msgpack_object *o, uint32_t max, struct bb_bytes *v,
                 const char *field, struct bb_decode_error *e)
{
  if (o->type != MSGPACK_OBJECT_BIN)
    return set_error (e, field, "not bytes");
  if (o->via.bin.size > max)
    return set_error (e, field, "bytes too long");
  v->ptr = o->via.bin.ptr;
  v->size = o->via.bin.size;
  return true;
}

bool
bb_wire_missing (const char *type_name, const char *field,
                 struct bb_decode_error *e)
{
  set_error (e, field, "required field is missing");
  e->type_name = type_name;
  return false;
}

bool
bb_wire_unknown (uint64_t type, struct bb_decode_error *e)
{
  (void)type;
  return set_error (e, "", "unknown message type");
}

enum bb_frame_state
bb_frame_peek (const char *data, size_t size, size_t *body_size)
{
  const uint8_t *p = (const uint8_t *)data;

  if (size < BB_FRAME_HEADER_BYTES)
    return BB_FRAME_PARTIAL;
  *body_size = (size_t)p[0] << 24 | (size_t)p[1] << 16 | (size_t)p[2] << 8
               | (size_t)p[3];
  if (*body_size > BB_FRAME_MAX_BYTES)
    return BB_FRAME_TOO_LARGE;
  if (size - BB_FRAME_HEADER_BYTES < *body_size)
    return BB_FRAME_PARTIAL;
  return BB_FRAME_COMPLETE;
}

bool
bb_message_decode (const char *data, size_t size, struct bb_message *m,
                   struct bb_decode_error *e)
{
  msgpack_object obj;
  size_t offset = 0;

  if (!bb_wire_lengths_valid (data, size))
    return set_error (
        e, "", "msgpack value is malformed, truncated or nested too deeply");
  if (!msgpack_zone_init (&m->zone, MSGPACK_ZONE_CHUNK_SIZE))
    return set_error (e, "", "out of memory");
  if (msgpack_unpack (data, size, &offset, &m->zone, &obj)
      != MSGPACK_UNPACK_SUCCESS)
    {
      set_error (e, "", "not a msgpack value");
      goto fail;
    }
  if (obj.type != MSGPACK_OBJECT_ARRAY || obj.via.array.size != 2
      || obj.via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    {
      set_error (e, "", "not an array of message type and fields");
      goto fail;
    }
  if (bb_wire_get_message (obj.via.array.ptr[0].via.u64, &obj.via.array.ptr[1],
                           m, e))
    return true;
fail:
  msgpack_zone_destroy (&m->zone);
  return false;
}

void
bb_message_free (struct bb_message *m)
{
  msgpack_zone_destroy (&m->zone);
}
