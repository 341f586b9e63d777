/* Tests of frames and messages.  */

#include "bilberry/wire.h"
#include "bilberry/base.h"

#include <glib.h>
#include <string.h>

static struct bb_call
sample_call (void)
{
  struct bb_call m = { .id = 7,
                       .agent_incarnation = UINT64_MAX,
                       .customer = bb_bytes_of ("qila"),
                       .method = bb_bytes_of ("POST"),
                       .path = bb_bytes_of ("/orders?x=1"),
                       .body = { .ptr = "a\0b", .size = 3 },
                       .idempotent = true,
                       .deadline_ms = 500 };

  m.headers[0].name = bb_bytes_of ("accept");
  m.headers[0].value = bb_bytes_of ("*/*");
  m.headers_count = 1;
  return m;
}

static void
test_round_trip (void)
{
  struct bb_call in = sample_call ();
  msgpack_sbuffer buf;
  struct bb_message m;
  struct bb_decode_error e;
  size_t size;

  msgpack_sbuffer_init (&buf);
  bb_put_call (&buf, &in);
  g_assert_cmpint (bb_frame_peek (buf.data, buf.size, &size), ==,
                   BB_FRAME_COMPLETE);
  g_assert_cmpuint (size, ==, buf.size - BB_FRAME_HEADER_BYTES);
  g_assert_true (
      bb_message_decode (buf.data + BB_FRAME_HEADER_BYTES, size, &m, &e));
  g_assert_cmpint (m.type, ==, BB_MSG_CALL);
  g_assert_cmpuint (m.u.call.id, ==, 7);
  g_assert_cmpuint (m.u.call.agent_incarnation, ==, UINT64_MAX);
  g_assert_true (bb_bytes_equal (m.u.call.path, "/orders?x=1"));
  g_assert_cmpuint (m.u.call.headers_count, ==, 1);
  g_assert_true (bb_bytes_equal (m.u.call.headers[0].value, "*/*"));
  g_assert_cmpmem (m.u.call.body.ptr, m.u.call.body.size, "a\0b", 3);
  g_assert_true (m.u.call.idempotent);
  bb_message_free (&m);
  msgpack_sbuffer_destroy (&buf);
}

/* Every proper prefix of a frame is reported as partial.  */
static void
test_partial (void)
{
  struct bb_call in = sample_call ();
  msgpack_sbuffer buf;
  size_t size;

  msgpack_sbuffer_init (&buf);
  bb_put_call (&buf, &in);
  for (size_t n = 0; n < buf.size; n++)
    g_assert_cmpint (bb_frame_peek (buf.data, n, &size), ==, BB_FRAME_PARTIAL);
  g_assert_cmpint (bb_frame_peek ("\x7f\xff\xff\xff", 4, &size), ==,
                   BB_FRAME_TOO_LARGE);
  msgpack_sbuffer_destroy (&buf);
}

static void
assert_refused (const char *data, size_t size, const char *type_name,
                const char *field, const char *reason)
{
  struct bb_message m;
  struct bb_decode_error e;

  g_assert_false (bb_message_decode (data, size, &m, &e));
  g_assert_cmpstr (e.type_name, ==, type_name);
  g_assert_cmpstr (e.field, ==, field);
  g_assert_cmpstr (e.reason, ==, reason);
}

static void
test_refused (void)
{
  /* [3, {}]: a cancel message without its id.  */
  assert_refused ("\x92\x03\x80", 3, "cancel", "id",
                  "required field is missing");
  /* [3, {1: "x"}]: a cancel message with a string as its id.  */
  assert_refused ("\x92\x03\x81\x01\xa1x", 6, "", "id",
                  "not an unsigned integer");
  /* [99, {}]: a message type that does not exist.  */
  assert_refused ("\x92\x63\x80", 3, "", "", "unknown message type");
  /* The header of an array of 2^32-1 elements, without elements.  */
  assert_refused (
      "\xdd\xff\xff\xff\xff", 5, "", "",
      "msgpack value is malformed, truncated or nested too deeply");
  assert_refused (
      "", 0, "", "",
      "msgpack value is malformed, truncated or nested too deeply");
}

/* [3, {1: 5, 60: [1, {}]}]: a field that only a newer version knows is
 * skipped. */
static void
test_unknown_field (void)
{
  static const char data[] = "\x92\x03\x82\x01\x05\x3c\x92\x01\x80";
  struct bb_message m;
  struct bb_decode_error e;

  g_assert_true (bb_message_decode (data, sizeof data - 1, &m, &e));
  g_assert_cmpuint (m.u.cancel.id, ==, 5);
  bb_message_free (&m);
}

/* Packs the body of FRAME without the field OMITTED.  */
static void
pack_without (msgpack_sbuffer *out, const msgpack_object *frame,
              uint32_t omitted)
{
  const msgpack_object_map *map = &frame->via.array.ptr[1].via.map;
  msgpack_packer pk;

  msgpack_packer_init (&pk, out, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, 2);
  msgpack_pack_object (&pk, frame->via.array.ptr[0]);
  msgpack_pack_map (&pk, map->size - 1);
  for (uint32_t i = 0; i < map->size; i++)
    if (map->ptr[i].key.via.u64 != omitted)
      {
        msgpack_pack_object (&pk, map->ptr[i].key);
        msgpack_pack_object (&pk, map->ptr[i].val);
      }
}

static void
check_omitted_field (const msgpack_object *frame,
                     const struct bb_message_field *f)
{
  msgpack_sbuffer out;
  struct bb_decode_error e = { 0 };
  struct bb_message m;

  msgpack_sbuffer_init (&out);
  pack_without (&out, frame, f->number);
  if (f->required)
    {
      g_assert_false (bb_message_decode (out.data, out.size, &m, &e));
      g_assert_cmpstr (e.field, ==, f->name);
      g_assert_cmpstr (e.reason, ==, "required field is missing");
    }
  else
    {
      g_assert_true (bb_message_decode (out.data, out.size, &m, &e));
      bb_message_free (&m);
    }
  msgpack_sbuffer_destroy (&out);
}

/* Decodes each message without each of its fields in turn: fails if the field
   is required, else succeeds.  */
static void
test_each_field (void)
{
  for (const struct bb_message_field *f = bb_message_fields; f->name; f++)
    {
      struct bb_message m = { .type = f->message };
      msgpack_sbuffer buf;
      msgpack_unpacked frame;

      msgpack_sbuffer_init (&buf);
      msgpack_unpacked_init (&frame);
      bb_put_message (&buf, &m);
      g_assert_cmpint (
          msgpack_unpack_next (&frame, buf.data + BB_FRAME_HEADER_BYTES,
                               buf.size - BB_FRAME_HEADER_BYTES, NULL),
          ==, MSGPACK_UNPACK_SUCCESS);
      check_omitted_field (&frame.data, f);
      msgpack_unpacked_destroy (&frame);
      msgpack_sbuffer_destroy (&buf);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/wire/round-trip", test_round_trip);
  g_test_add_func ("/wire/partial", test_partial);
  g_test_add_func ("/wire/refused", test_refused);
  g_test_add_func ("/wire/unknown-field", test_unknown_field);
  g_test_add_func ("/wire/each-field", test_each_field);
  return g_test_run ();
}
