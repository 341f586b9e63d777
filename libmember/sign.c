/* Authentication of datagrams by HMAC-SHA256.  */

#include "internal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <stdlib.h>
#include <string.h>

enum
{
  TAG_BYTES = 16,
  HEADER_FIELDS = 6
};

static void
put_u64 (uint8_t *at, uint64_t v)
{
  for (uint32_t i = 0; i < 8; i++)
    at[i] = (uint8_t)(v >> (8 * (7 - i)));
}

struct bb_signer
{
  uint32_t ids[BB_PEER_KEYS_MAX];
  EVP_MAC_CTX *macs[BB_PEER_KEYS_MAX];
  uint32_t count;
};

struct bb_signer *
bb_signer_new (const struct bb_peer_keys *keys)
{
  struct bb_signer *g = g_new0 (struct bb_signer, 1);
  EVP_MAC *mac = EVP_MAC_fetch (NULL, "HMAC", NULL);
  char digest[] = "SHA256";
  OSSL_PARAM params[2]
      = { OSSL_PARAM_construct_utf8_string ("digest", digest, 0),
          OSSL_PARAM_construct_end () };

  g->count = keys->count;
  for (uint32_t i = 0; i < keys->count; i++)
    {
      g->ids[i] = keys->keys[i].id;
      g->macs[i] = EVP_MAC_CTX_new (mac);
      if (EVP_MAC_init (g->macs[i], keys->keys[i].secret, BB_PEER_KEY_BYTES,
                        params)
          != 1)
        abort ();
    }
  EVP_MAC_free (mac);
  return g;
}

void
bb_signer_free (struct bb_signer *g)
{
  for (uint32_t i = 0; i < g->count; i++)
    EVP_MAC_CTX_free (g->macs[i]);
  g_free (g);
}

/* Computes the tag of S: the first TAG_BYTES of the HMAC over the header
   fields, as big-endian 64-bit numbers, and the body.  */
static void
compute_tag (const struct bb_sealed *s, EVP_MAC_CTX *mac,
             uint8_t tag[TAG_BYTES])
{
  const uint64_t header[HEADER_FIELDS]
      = { s->key,      s->from,   s->incarnation, s->to_incarnation,
          s->sequence, s->counter };
  uint8_t header_bytes[8 * HEADER_FIELDS];
  uint8_t digest[EVP_MAX_MD_SIZE];
  size_t size = 0;

  for (uint32_t i = 0; i < HEADER_FIELDS; i++)
    put_u64 (header_bytes + (size_t)8 * i, header[i]);
  if (EVP_MAC_init (mac, NULL, 0, NULL) != 1
      || EVP_MAC_update (mac, header_bytes, sizeof header_bytes) != 1
      || EVP_MAC_update (mac, (const uint8_t *)s->body.ptr, s->body.size) != 1
      || EVP_MAC_final (mac, digest, &size, sizeof digest) != 1)
    abort ();
  memcpy (tag, digest, TAG_BYTES);
}

void
bb_sign_datagram (msgpack_sbuffer *buf, struct bb_sealed *s,
                  const struct bb_signer *g)
{
  uint8_t tag[TAG_BYTES];

  s->key = g->ids[0];
  compute_tag (s, g->macs[0], tag);
  s->tag.ptr = (const char *)tag;
  s->tag.size = TAG_BYTES;
  bb_put_sealed (buf, s);
  s->tag.ptr = NULL;
}

static EVP_MAC_CTX *
find_mac (const struct bb_signer *g, uint32_t id)
{
  for (uint32_t i = 0; i < g->count; i++)
    if (g->ids[i] == id)
      return g->macs[i];
  return NULL;
}

static enum bb_member_refusal
check_tag (const struct bb_sealed *s, const struct bb_signer *g)
{
  EVP_MAC_CTX *key = find_mac (g, s->key);
  uint8_t tag[TAG_BYTES];

  if (!key)
    return BB_MEMBER_UNKNOWN_KEY;
  compute_tag (s, key, tag);
#ifndef BB_MUTANT_member_tag
  if (s->tag.size != TAG_BYTES
      || CRYPTO_memcmp (s->tag.ptr, tag, TAG_BYTES) != 0)
    return BB_MEMBER_BAD_TAG;
#endif
  return BB_MEMBER_OK;
}

enum bb_member_refusal
bb_verify_datagram (const void *data, size_t size, const struct bb_signer *g,
                    struct bb_message *m)
{
  struct bb_decode_error e;
  enum bb_member_refusal r;
  size_t body;

  if (size > BB_DATAGRAM_MAX_BYTES
      || bb_frame_peek (data, size, &body) != BB_FRAME_COMPLETE
      || body + BB_FRAME_HEADER_BYTES != size
      || !bb_message_decode ((const char *)data + BB_FRAME_HEADER_BYTES, body,
                             m, &e))
    return BB_MEMBER_MALFORMED;
  r = m->type == BB_MSG_SEALED ? check_tag (&m->u.sealed, g)
                               : BB_MEMBER_MALFORMED;
  if (r != BB_MEMBER_OK)
    bb_message_free (m);
  return r;
}
