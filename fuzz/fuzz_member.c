/* Fuzz target: a member that has a configuration receives the input.  If the
   first byte is odd, the rest is the content of a message that a peer has
   signed with the right key; if it is even, the rest is the whole datagram.
   The member must not crash, accept a revision that is not higher than the one
   accepted before, lose its configuration, or send an oversized datagram.  */

#include "bilberry/member.h"

#include <string.h>

enum
{
  PEERS = 3,
  BODY_MAX_BYTES = 1400
};

/* The name is fixed by libFuzzer.  */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size); // NOLINT

static struct bb_peer peers[PEERS];
static struct bb_directory directory = { .peers = peers, .count = PEERS };
static struct bb_peer_keys keys = { .count = 1 };
static struct bb_members *member;
static GRand *random_source;
static uint64_t active_revision;
static uint64_t sequence;

static void
on_send (void *user, uint32_t to, const void *data, size_t size)
{
  (void)user;
  (void)to;
  (void)data;
  g_assert_cmpuint (size, <=, BB_DATAGRAM_MAX_BYTES);
}

static bool
on_accept (void *user, const struct bb_config_blob *b)
{
  (void)user;
  g_assert_cmpuint (b->revision, >, active_revision);
  active_revision = b->revision;
  return true;
}

static void
start_member (void)
{
  static const struct bb_member_ops ops
      = { .send = on_send, .accept = on_accept };
  struct bb_member_options o
      = { .incarnation = 7, .directory = &directory, .ops = &ops };

  for (uint32_t i = 0; i < PEERS; i++)
    peers[i].id = i + 1;
  random_source = g_rand_new_with_seed (1);
  o.self_id = peers[0].id;
  o.keys = keys;
  o.rand = random_source;
  member = bb_members_new (&o);
  bb_members_tick (member, 1);
  bb_members_offer_config (member, 5000, 5, "five", 4);
}

/* Passes the member a datagram with BODY, signed by peer 2.  */
static void
receive_signed (const uint8_t *body, size_t size)
{
  struct bb_signer *g = bb_signer_new (&keys);
  struct bb_sealed s = { .from = peers[1].id,
                         .incarnation = 9,
                         .to_incarnation = 7,
                         .sequence = ++sequence };
  msgpack_sbuffer out;

  s.body.ptr = (const char *)body;
  s.body.size = (uint32_t)MIN (size, (size_t)BODY_MAX_BYTES);
  msgpack_sbuffer_init (&out);
  bb_sign_datagram (&out, &s, g);
  bb_members_receive (member, 6000, out.data, out.size);
  msgpack_sbuffer_destroy (&out);
  bb_signer_free (g);
}

/* Passes the member DATA with a valid frame header in a signed datagram, so
   that the fuzzer need not find the length.  */
static void
receive_framed (const uint8_t *data, size_t size)
{
  uint8_t body[BODY_MAX_BYTES];
  size_t n = MIN (size, sizeof body - BB_FRAME_HEADER_BYTES);

  for (uint32_t i = 0; i < BB_FRAME_HEADER_BYTES; i++)
    body[i] = (uint8_t)(n >> (8 * (BB_FRAME_HEADER_BYTES - 1 - i)));
  memcpy (body + BB_FRAME_HEADER_BYTES, data, n);
  receive_signed (body, n + BB_FRAME_HEADER_BYTES);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size) // NOLINT
{
  if (size < 2)
    return 0;
  start_member ();
  if (data[0] & 1)
    receive_framed (data + 1, size - 1);
  else
    bb_members_receive (member, 6000, data + 1, size - 1);
  bb_members_tick (member, 6100);
  g_assert_cmpuint (bb_members_active_config (member)->revision, >=, 5);
  bb_members_free (member);
  g_rand_free (random_source);
  active_revision = 0;
  return 0;
}
