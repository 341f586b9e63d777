/* Tests of one or two members: refusals, key rotation, chunked transfer,
   pushed values.  */

#include "bilberry/member.h"

#include <string.h>

enum
{
  MEMBERS = 2,
  DATAGRAMS_MAX = 64
};

/* A member whose sent datagrams are collected.  */
struct test_member
{
  struct bb_members *members;
  GRand *rand;
  uint64_t id;
  uint64_t incarnation;
  GBytes *sent[DATAGRAMS_MAX];
  uint32_t sent_count;
  uint64_t accepted_revision;
  bool reject_configs;
};

struct pair
{
  struct bb_directory directory;
  struct bb_peer_keys keys;
  struct test_member p[MEMBERS];
};

static void
on_send (void *user, uint32_t to, const void *data, size_t size)
{
  struct test_member *p = user;

  (void)to;
  g_assert_cmpuint (size, <=, BB_DATAGRAM_MAX_BYTES);
  if (p->sent_count < DATAGRAMS_MAX)
    p->sent[p->sent_count++] = g_bytes_new (data, size);
}

static bool
on_accept (void *user, const struct bb_config_blob *b)
{
  struct test_member *p = user;

  if (p->reject_configs)
    return false;
  p->accepted_revision = b->revision;
  return true;
}

static const struct bb_member_ops ops
    = { .send = on_send, .accept = on_accept };

static void
start (struct pair *q, uint32_t i, uint64_t incarnation)
{
  struct test_member *p = &q->p[i];
  struct bb_member_options o = { .self_id = p->id,
                                 .incarnation = incarnation,
                                 .directory = &q->directory,
                                 .keys = q->keys,
                                 .ops = &ops,
                                 .user = p };

  p->incarnation = incarnation;
  p->rand = g_rand_new_with_seed (i + 1);
  o.rand = p->rand;
  p->members = bb_members_new (&o);
}

static void
free_sent (struct test_member *p)
{
  for (uint32_t i = 0; i < p->sent_count; i++)
    g_bytes_unref (p->sent[i]);
  p->sent_count = 0;
}

static void
stop (struct test_member *p)
{
  bb_members_free (p->members);
  g_rand_free (p->rand);
  free_sent (p);
}

static void
pair_init (struct pair *q)
{
  memset (q, 0, sizeof *q);
  q->directory.count = MEMBERS;
  q->directory.peers = g_new0 (struct bb_peer, MEMBERS);
  q->p[0].id = bb_peer_id (BB_ROLE_ENTRY, "entry-1");
  q->p[1].id = bb_peer_id (BB_ROLE_AGENT, "draft-1");
  q->directory.peers[0].id = q->p[0].id;
  q->directory.peers[1].id = q->p[1].id;
  bb_directory_sort (&q->directory);
  q->keys.count = 1;
  q->keys.keys[0].id = 1;
  memset (q->keys.keys[0].secret, 1, BB_PEER_KEY_BYTES);
  start (q, 0, 100);
  start (q, 1, 200);
}

static void
pair_free (struct pair *q)
{
  stop (&q->p[0]);
  stop (&q->p[1]);
  g_free (q->directory.peers);
}

static enum bb_member_refusal
deliver (struct test_member *to, bb_ms now, GBytes *datagram)
{
  gsize size;
  const void *data = g_bytes_get_data (datagram, &size);

  return bb_members_receive (to->members, now, data, size);
}

/* Delivers the collected datagrams of both members to each other, up to 32
   times.  Returns the last refusal.  */
static enum bb_member_refusal
exchange_datagrams (struct pair *q, bb_ms now)
{
  enum bb_member_refusal last_refusal = BB_MEMBER_OK;

  for (uint32_t rounds = 0; rounds < 32; rounds++)
    for (uint32_t i = 0; i < MEMBERS; i++)
      {
        struct test_member *from = &q->p[i];
        GBytes *out[DATAGRAMS_MAX];
        uint32_t n = from->sent_count;
        for (uint32_t k = 0; k < n; k++)
          out[k] = from->sent[k];
        from->sent_count = 0;
        for (uint32_t k = 0; k < n; k++)
          {
            enum bb_member_refusal r = deliver (&q->p[1 - i], now, out[k]);
            last_refusal = r != BB_MEMBER_OK ? r : last_refusal;
            g_bytes_unref (out[k]);
          }
      }
  return last_refusal;
}

/* Runs both members until each knows the incarnation of the other.  */
static void
run_until_acquainted (struct pair *q)
{
  for (bb_ms now = 100; now <= 3000; now += 100)
    {
      bb_members_tick (q->p[0].members, now);
      bb_members_tick (q->p[1].members, now);
      exchange_datagrams (q, now);
    }
}

/* Returns a datagram with the header fields of S and BODY, signed by KEYS, or
   by the keys of Q where KEYS is NULL.  */
static GBytes *
sign_as (const struct pair *q, const struct bb_peer_keys *keys,
         struct bb_sealed s, const msgpack_sbuffer *body)
{
  struct bb_signer *g = bb_signer_new (keys ? keys : &q->keys);
  msgpack_sbuffer out;
  GBytes *bytes;

  msgpack_sbuffer_init (&out);
  s.body.ptr = body->data;
  s.body.size = (uint32_t)body->size;
  bb_sign_datagram (&out, &s, g);
  bytes = g_bytes_new (out.data, out.size);
  msgpack_sbuffer_destroy (&out);
  bb_signer_free (g);
  return bytes;
}

/* Returns the header fields of a datagram from member 0 to member 1.  */
static struct bb_sealed
header_from (const struct pair *q, uint64_t sequence)
{
  struct bb_sealed s = { .from = q->p[0].id,
                         .incarnation = q->p[0].incarnation,
                         .to_incarnation = q->p[1].incarnation,
                         .sequence = sequence,
                         .counter = 0 };
  return s;
}

static void
put_notice (msgpack_sbuffer *body, uint64_t revision, uint64_t hash)
{
  struct bb_notice n = { .gossip = { .revision = revision, .hash = hash } };

  msgpack_sbuffer_init (body);
  bb_put_notice (body, &n);
}

/* Delivers a datagram made of S, BODY and KEYS to member 1.  Checks that the
   result is WANT and that a refusal is counted.  */
static void
expect_result (struct pair *q, const struct bb_peer_keys *keys,
               struct bb_sealed s, const msgpack_sbuffer *body,
               enum bb_member_refusal want)
{
  GBytes *d = sign_as (q, keys, s, body);
  uint64_t before = bb_members_stats (q->p[1].members)->refused[want];

  g_assert_cmpstr (bb_member_refusal_name (deliver (&q->p[1], 3000, d)), ==,
                   bb_member_refusal_name (want));
  if (want != BB_MEMBER_OK)
    g_assert_cmpuint (bb_members_stats (q->p[1].members)->refused[want], ==,
                      before + 1);
  g_bytes_unref (d);
}

static void
test_sender_refusals (void)
{
  struct pair q;
  struct bb_sealed s;
  struct bb_peer_keys other;
  msgpack_sbuffer body;
  char rubbish[] = "rubbish";

  pair_init (&q);
  run_until_acquainted (&q);
  put_notice (&body, 0, 0);
  expect_result (&q, NULL, header_from (&q, 5000), &body, BB_MEMBER_OK);
  expect_result (&q, NULL, header_from (&q, 5000), &body, BB_MEMBER_REPLAY);
  expect_result (&q, NULL, header_from (&q, 5001), &body, BB_MEMBER_OK);
  expect_result (&q, NULL, header_from (&q, 4999), &body, BB_MEMBER_OK);
  expect_result (&q, NULL, header_from (&q, 4999), &body, BB_MEMBER_REPLAY);
  expect_result (&q, NULL, header_from (&q, 100), &body, BB_MEMBER_REPLAY);
  s = header_from (&q, 5002);
  s.to_incarnation = 199;
  expect_result (&q, NULL, s, &body, BB_MEMBER_MISADDRESSED);
  s.to_incarnation = 0;
  expect_result (&q, NULL, s, &body, BB_MEMBER_MISADDRESSED);
  s = header_from (&q, 5002);
  s.from = 77;
  expect_result (&q, NULL, s, &body, BB_MEMBER_UNKNOWN_SENDER);
  s = header_from (&q, 5002);
  s.incarnation = 99;
  expect_result (&q, NULL, s, &body, BB_MEMBER_OLD_PROCESS);
  other = q.keys;
  other.keys[0].id = 2;
  expect_result (&q, &other, header_from (&q, 5002), &body,
                 BB_MEMBER_UNKNOWN_KEY);
  other = q.keys;
  other.keys[0].secret[3] ^= 1;
  expect_result (&q, &other, header_from (&q, 5002), &body, BB_MEMBER_BAD_TAG);
  g_assert_cmpint (
      bb_members_receive (q.p[1].members, 3000, rubbish, sizeof rubbish), ==,
      BB_MEMBER_MALFORMED);
  g_assert_cmpint (
      bb_members_receive (q.p[1].members, 3000, body.data, body.size), ==,
      BB_MEMBER_MALFORMED);
  msgpack_sbuffer_destroy (&body);
  pair_free (&q);
}

/* A datagram with the lowest bit of any byte flipped is refused.  */
static void
test_tampering (void)
{
  struct pair q;
  msgpack_sbuffer body;
  GBytes *d;
  gsize size;
  char copy[BB_DATAGRAM_MAX_BYTES];

  pair_init (&q);
  run_until_acquainted (&q);
  put_notice (&body, 9, 9);
  d = sign_as (&q, NULL, header_from (&q, 5000), &body);
  for (gsize i = 0; i < g_bytes_get_size (d); i++)
    {
      memcpy (copy, g_bytes_get_data (d, &size), g_bytes_get_size (d));
      copy[i] ^= 1;
      g_assert_cmpint (bb_members_receive (q.p[1].members, 3000, copy, size),
                       !=, BB_MEMBER_OK);
    }
  g_assert_cmpint (deliver (&q.p[1], 3000, d), ==, BB_MEMBER_OK);
  g_bytes_unref (d);
  msgpack_sbuffer_destroy (&body);
  pair_free (&q);
}

static void
put_chunk (msgpack_sbuffer *body, const struct bb_chunk *c)
{
  msgpack_sbuffer_init (body);
  bb_put_chunk (body, c);
}

/* Datagrams that are authentic but have invalid content are refused.  */
static void
test_content_refusals (void)
{
  struct pair q;
  msgpack_sbuffer body;
  struct bb_chunk c = { .revision = 6, .hash = 1, .size = 3 };
  struct bb_fetch f = { .revision = 9, .hash = 9 };
  struct bb_hello hello = { .name = bb_bytes_of ("x") };

  pair_init (&q);
  run_until_acquainted (&q);
  g_assert_cmpint (
      bb_members_offer_config (q.p[1].members, 3000, 5, "five", 4), ==,
      BB_MEMBER_OK);
  c.bytes = bb_bytes_of ("abc");
  put_chunk (&body, &c);
  expect_result (&q, NULL, header_from (&q, 5000), &body, BB_MEMBER_BAD_HASH);
  msgpack_sbuffer_destroy (&body);
  c.prefix = 9;
  put_chunk (&body, &c);
  expect_result (&q, NULL, header_from (&q, 5001), &body, BB_MEMBER_BAD_BODY);
  msgpack_sbuffer_destroy (&body);
  c.revision = 4;
  put_chunk (&body, &c);
  expect_result (&q, NULL, header_from (&q, 5002), &body,
                 BB_MEMBER_LOWER_REVISION);
  msgpack_sbuffer_destroy (&body);
  msgpack_sbuffer_init (&body);
  bb_put_fetch (&body, &f);
  expect_result (&q, NULL, header_from (&q, 5003), &body, BB_MEMBER_BAD_BODY);
  msgpack_sbuffer_clear (&body);
  bb_put_hello (&body, &hello);
  expect_result (&q, NULL, header_from (&q, 5004), &body, BB_MEMBER_BAD_BODY);
  msgpack_sbuffer_clear (&body);
  msgpack_sbuffer_write (&body, "\0\0\0\1x", 5);
  expect_result (&q, NULL, header_from (&q, 5005), &body, BB_MEMBER_BAD_BODY);
  msgpack_sbuffer_destroy (&body);
  g_assert_cmpuint (bb_members_active_config (q.p[1].members)->revision, ==,
                    5);
  pair_free (&q);
}

static void
test_offers (void)
{
  struct pair q;
  struct bb_members *m;

  pair_init (&q);
  bb_members_tick (q.p[1].members, 100);
  m = q.p[1].members;
  g_assert_cmpint (bb_members_offer_config (m, 200, 5, "five", 4), ==,
                   BB_MEMBER_EARLY);
  g_assert_cmpint (bb_members_offer_config (m, 5000, 5, "five", 4), ==,
                   BB_MEMBER_OK);
  g_assert_cmpint (bb_members_offer_config (m, 5000, 5, "five", 4), ==,
                   BB_MEMBER_OK);
  g_assert_cmpint (bb_members_offer_config (m, 5000, 5, "FIVE", 4), ==,
                   BB_MEMBER_CONFLICT);
  g_assert_cmpint (bb_members_offer_config (m, 5000, 4, "four", 4), ==,
                   BB_MEMBER_LOWER_REVISION);
  g_assert_cmpint (bb_members_offer_config (m, 5000, 0, "zero", 4), ==,
                   BB_MEMBER_BAD_BODY);
  q.p[1].reject_configs = true;
  g_assert_cmpint (bb_members_offer_config (m, 5000, 6, "six", 3), ==,
                   BB_MEMBER_REJECTED);
  g_assert_cmpuint (bb_members_stats (m)->rejected_revision, ==, 6);
  g_assert_cmpuint (bb_members_active_config (m)->revision, ==, 5);
  q.p[1].reject_configs = false;
  g_assert_cmpint (bb_members_offer_config (m, 5000, 6, "six", 3), ==,
                   BB_MEMBER_REJECTED);
  g_assert_cmpint (bb_members_offer_config (m, 5000, 7, "seven", 5), ==,
                   BB_MEMBER_OK);
  pair_free (&q);
}

/* A configuration of any size reaches the peer, in chunks when it is large. */
static void
test_pieces (void)
{
  static const uint32_t sizes[] = { 0, 1, 1100, 1101, 20000, 1048576 };

  for (uint32_t k = 0; k < G_N_ELEMENTS (sizes); k++)
    {
      struct pair q;
      char *text = g_malloc0 (sizes[k] + 1);
      bb_ms now = 4000;
      for (uint32_t i = 0; i < sizes[k]; i++)
        text[i] = (char)(i * 7 + i / 251);
      pair_init (&q);
      run_until_acquainted (&q);
      bb_members_offer_config (q.p[0].members, now, 1, text, sizes[k]);
      for (; now < 60000 && q.p[1].accepted_revision < 1; now += 100)
        {
          exchange_datagrams (&q, now);
          bb_members_tick (q.p[0].members, now);
          bb_members_tick (q.p[1].members, now);
        }
      g_assert_cmpuint (q.p[1].accepted_revision, ==, 1);
      text[sizes[k] / 2] ^= 1;
      bb_members_offer_config (q.p[0].members, now, 2, text, sizes[k]);
      exchange_datagrams (&q, now);
      g_assert_cmpuint (q.p[1].accepted_revision, ==, 2);
      g_free (text);
      pair_free (&q);
    }
}

/* A key is replaced by adding the new one, signing with it and then removing
   the old one.  Datagrams are accepted throughout; the old key is refused in
   the end.  */
static void
test_key_rotation (void)
{
  struct pair q;
  struct bb_peer_keys both;
  struct bb_peer_keys rotated;

  pair_init (&q);
  run_until_acquainted (&q);
  both = q.keys;
  both.count = 2;
  both.keys[1].id = 2;
  memset (both.keys[1].secret, 2, BB_PEER_KEY_BYTES);
  rotated = both;
  rotated.keys[0] = both.keys[1];
  rotated.keys[1] = both.keys[0];
  bb_members_set_keys (q.p[0].members, &both);
  bb_members_set_keys (q.p[1].members, &both);
  bb_members_set_keys (q.p[0].members, &rotated);
  bb_members_offer_config (q.p[0].members, 3000, 1, "one", 3);
  exchange_datagrams (&q, 3000);
  g_assert_cmpuint (q.p[1].accepted_revision, ==, 1);
  rotated.count = 1;
  bb_members_set_keys (q.p[0].members, &rotated);
  bb_members_set_keys (q.p[1].members, &rotated);
  bb_members_offer_config (q.p[0].members, 3000, 2, "two", 3);
  exchange_datagrams (&q, 3000);
  g_assert_cmpuint (q.p[1].accepted_revision, ==, 2);
  bb_members_set_keys (q.p[0].members, &q.keys);
  bb_members_offer_config (q.p[0].members, 3000, 3, "three", 5);
  g_assert_cmpint (exchange_datagrams (&q, 3000), ==, BB_MEMBER_UNKNOWN_KEY);
  g_assert_cmpuint (q.p[1].accepted_revision, ==, 2);
  pair_free (&q);
}

/* A datagram of an earlier process of a member is refused after one of a later
   process.  */
static void
test_earlier_process (void)
{
  struct pair q;
  msgpack_sbuffer body;
  struct bb_sealed old;

  pair_init (&q);
  run_until_acquainted (&q);
  old = header_from (&q, 6000);
  stop (&q.p[0]);
  start (&q, 0, 50);
  run_until_acquainted (&q);
  put_notice (&body, 0, 0);
  expect_result (&q, NULL, old, &body, BB_MEMBER_OLD_PROCESS);
  msgpack_sbuffer_destroy (&body);
  pair_free (&q);
}

/* Pushed values reach the peer, expire at their maximum age and are limited in
   number.  */
static void
test_pushed (void)
{
  struct pair q;
  uint32_t count;
  bb_ms max_age_ms = bb_pushed_max_age_ms (BB_PUSHED_DEMAND);
  bb_ms now = 3000;

  pair_init (&q);
  run_until_acquainted (&q);
  bb_members_push (q.p[0].members, now, BB_PUSHED_DEMAND, 42, 10);
  bb_members_push (q.p[1].members, now, BB_PUSHED_DEMAND, 42, 5);
  for (; now < 6000; now += 100)
    {
      bb_members_tick (q.p[0].members, now);
      bb_members_tick (q.p[1].members, now);
      exchange_datagrams (&q, now);
    }
  for (uint32_t i = 0; i < MEMBERS; i++)
    {
      g_assert_cmpuint (bb_members_sum_pushed (q.p[i].members, now,
                                               BB_PUSHED_DEMAND, 42, &count),
                        ==, 15);
      g_assert_cmpuint (count, ==, 2);
      bb_members_sum_pushed (q.p[i].members, 3000 + max_age_ms + 1,
                             BB_PUSHED_DEMAND, 42, &count);
      g_assert_cmpuint (count, ==, 0);
    }
  bb_members_push (q.p[0].members, now, BB_PUSHED_DEMAND, 42, 20);
  bb_members_push (q.p[0].members, now, BB_PUSHED_DEMAND, 42, 30);
  g_assert_cmpuint (bb_members_sum_pushed (q.p[0].members, now,
                                           BB_PUSHED_DEMAND, 42, &count),
                    ==, 35);
  for (uint64_t key = 0; key < 1000; key++)
    bb_members_push (q.p[0].members, now + (bb_ms)key, BB_PUSHED_QUARANTINE,
                     key, 1);
  bb_members_sum_pushed (q.p[0].members, now, BB_PUSHED_QUARANTINE, 0, &count);
  g_assert_cmpuint (count, ==, 0);
  bb_members_sum_pushed (q.p[0].members, now, BB_PUSHED_QUARANTINE, 999,
                         &count);
  g_assert_cmpuint (count, ==, 1);
  pair_free (&q);
}

static void
test_leave (void)
{
  struct pair q;
  uint32_t leaver;

  pair_init (&q);
  run_until_acquainted (&q);
  leaver = bb_directory_find (&q.directory, q.p[0].id);
  bb_members_leave (q.p[0].members, 3000);
  exchange_datagrams (&q, 3000);
  g_assert_cmpint (bb_members_status (q.p[1].members, leaver), ==,
                   BB_MEMBER_STATUS_LEFT);
  g_assert_cmpuint (bb_members_live_count (q.p[1].members), ==, 1);
  pair_free (&q);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/member/sender-refusals", test_sender_refusals);
  g_test_add_func ("/member/tampering", test_tampering);
  g_test_add_func ("/member/content-refusals", test_content_refusals);
  g_test_add_func ("/member/offers", test_offers);
  g_test_add_func ("/member/pieces", test_pieces);
  g_test_add_func ("/member/key-rotation", test_key_rotation);
  g_test_add_func ("/member/earlier-process", test_earlier_process);
  g_test_add_func ("/member/pushed", test_pushed);
  g_test_add_func ("/member/leave", test_leave);
  return g_test_run ();
}
