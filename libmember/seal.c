#include "internal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <string.h>

enum
{
  TAG_BYTES = 16,
  NUMBERS = 6
};

static void
put_u64 (uint8_t *at, uint64_t v)
{
  for (uint32_t i = 0; i < 8; i++)
    at[i] = (uint8_t)(v >> (8 * (7 - i)));
}

/* Signs numbers and body of S.  */
static void
make_tag (const struct bb_sealed *s, const struct bb_peer_key *key,
          uint8_t tag[TAG_BYTES])
{
  const uint64_t numbers[NUMBERS]
      = { s->key,      s->from,   s->incarnation, s->to_incarnation,
          s->sequence, s->counter };
  uint8_t text[8 * NUMBERS + 1400];
  uint8_t sum[EVP_MAX_MD_SIZE];
  unsigned size = sizeof sum;

  for (uint32_t i = 0; i < NUMBERS; i++)
    put_u64 (text + (size_t)8 * i, numbers[i]);
  memcpy (text + (size_t)8 * NUMBERS, s->body.ptr, s->body.size);
  HMAC (EVP_sha256 (), key->secret, sizeof key->secret, text,
        (size_t)8 * NUMBERS + s->body.size, sum, &size);
  memcpy (tag, sum, TAG_BYTES);
}

void
bb_seal (msgpack_sbuffer *buf, struct bb_sealed *s,
         const struct bb_peer_keys *keys)
{
  uint8_t tag[TAG_BYTES];

  s->key = keys->keys[0].id;
  make_tag (s, &keys->keys[0], tag);
  s->tag.ptr = (const char *)tag;
  s->tag.size = TAG_BYTES;
  bb_put_sealed (buf, s);
  s->tag.ptr = NULL;
}

static const struct bb_peer_key *
find_key (const struct bb_peer_keys *keys, uint32_t id)
{
  for (uint32_t i = 0; i < keys->count; i++)
    if (keys->keys[i].id == id)
      return &keys->keys[i];
  return NULL;
}

static enum bb_member_refusal
check_tag (const struct bb_sealed *s, const struct bb_peer_keys *keys)
{
  const struct bb_peer_key *key = find_key (keys, s->key);
  uint8_t tag[TAG_BYTES];

  if (!key)
    return BB_MEMBER_UNKNOWN_KEY;
  make_tag (s, key, tag);
#ifndef BB_MUTANT_member_tag
  if (s->tag.size != TAG_BYTES
      || CRYPTO_memcmp (s->tag.ptr, tag, TAG_BYTES) != 0)
    return BB_MEMBER_BAD_TAG;
#endif
  return BB_MEMBER_OK;
}

enum bb_member_refusal
bb_unseal (const void *data, size_t size, const struct bb_peer_keys *keys,
           struct bb_message *m)
{
  struct bb_decode_error e;
  enum bb_member_refusal r;
  size_t body;

  if (size > BB_DATAGRAM_MAX_BYTES
      || bb_frame_peek (data, size, &body) != BB_FRAME_WHOLE
      || body + BB_FRAME_HEAD_BYTES != size
      || !bb_message_decode ((const char *)data + BB_FRAME_HEAD_BYTES, body, m,
                             &e))
    return BB_MEMBER_MALFORMED;
  r = m->type == BB_MSG_SEALED ? check_tag (&m->u.sealed, keys)
                               : BB_MEMBER_MALFORMED;
  if (r != BB_MEMBER_OK)
    bb_message_free (m);
  return r;
}
