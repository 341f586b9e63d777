/* Tests of bilberry-rank that follows a leader, which the tests play.  */

#include "harness/frame.h"
#include "harness/testbed.h"

#include "bilberry/base.h"
#include "bilberry/platform.h"
#include "bilberry/wire.h"

#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>
#include <xxhash.h>

enum
{
  STATE_INTERVAL_MS = 100,
  CLOSED_MS = 300, /* until an agent knows that a connection has ended */
  RELAYS = 3,
  LOST_LEADERS = 8,
  LEAD_MS = 1100, /* longer than an agent waits before it connects again */
  STATES_AFTER = 20,
  HANG_MS = 3000,
  PREPARE_MS = 2000,
  FENCED = 412,            /* result of an order of a replaced leader */
  MAP_MISSING = 428,       /* result of a PREPARE whose map the agent lacks */
  LINK_MS = 60,            /* later than the one before a reply may arrive */
  ENGINE_TIMEOUT_MS = 300, /* after which an agent gives up a poll */
  REPLY_MS = 150, /* longer than an agent waits for an engine's response */
  HEAD_UNKNOWN_MS = 1000
};

/* A leader that the test plays, on the first host, and an agent on the second
   one, which follows it.  */
struct played_leader
{
  struct testbed testbed;
  int listener;
  struct frame_peer *follower;
  uint64_t last_order_id;
};

static void
send_hello_naming (struct frame_peer *p, const char *head)
{
  struct bb_rank_hello hello
      = { .group = bb_bytes_of ("g"), .head = bb_bytes_of (head) };
  msgpack_sbuffer out;

  msgpack_sbuffer_init (&out);
  bb_put_rank_hello (&out, &hello);
  frame_send (p, &out);
  msgpack_sbuffer_destroy (&out);
}

static void
send_hello (struct frame_peer *p)
{
  send_hello_naming (p, "");
}

static void
accept_follower (struct played_leader *l)
{
  l->follower = frame_accept (l->listener);
  send_hello (l->follower);
}

static void
lead (struct played_leader *l)
{
  struct testbed *t = &l->testbed;

  testbed_init (t);
  testbed_start_replica_on (t, "127.0.0.1", "i-1", "draft", "");
  testbed_start_replica_on (t, "127.0.0.3", "i-2", "draft", "");
  testbed_start_edge (t, 0);
  testbed_start_rank (t, 1);
  l->listener = frame_listen (t->agent_port);
  l->last_order_id = 0;
  accept_follower (l);
}

static void
lead_no_more (struct played_leader *l)
{
  frame_close (l->follower);
  close (l->listener);
  testbed_free (&l->testbed);
}

/* Answers COUNT states of the follower and returns the last one.  */
static struct bb_rank_state
await_states (struct played_leader *l, uint32_t count)
{
  struct bb_rank_state state = { 0 };
  struct bb_message m;

  for (uint32_t i = 0; i < count; i++)
    {
      g_assert_true (
          frame_await (l->follower, BB_MSG_RANK_STATE, &m, CLOSED_MS * 10));
      state = m.u.rank_state;
      bb_message_free (&m);
      send_hello (l->follower);
    }
  return state;
}

/* Appends an ARM of VERSION and EPOCH for the engine at PORT to OUT.  */
static void
put_relayed_arm (struct played_leader *l, msgpack_sbuffer *out, uint16_t port,
                 uint64_t version, uint64_t epoch)
{
  g_autofree char *target = g_strdup_printf ("127.0.0.1:%u", port);
  struct bb_rank_order m = { .id = ++l->last_order_id,
                             .op = BB_ORDER_ARM,
                             .version = version,
                             .step = 1000,
                             .epoch = epoch,
                             .fence = 1,
                             .target = bb_bytes_of (target),
                             .target_rank = 2 };

  bb_put_rank_order (out, &m);
}

/* Accepts the connection of the agent at the engine LISTENER and responds to
   its order.  Returns the connection.  */
static struct frame_peer *
accept_order (int listener)
{
  static const char response[]
      = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
  struct frame_peer *p = frame_accept (listener);

  g_assert_cmpint (write (p->fd, response, strlen (response)), ==,
                   (gssize)strlen (response));
  return p;
}

/* An engine accepts a relayed ARM of one epoch after the agent relayed one of
   the same version in the next epoch, which gets no response.  The agent must
   not report that the latter was accepted.  */
static void
test_relayed_epoch (void)
{
  struct played_leader l;

  lead (&l);
  for (uint64_t version = 5; version < 5 + RELAYS; version++)
    {
      uint16_t ports[2] = { harness_port (l.testbed.harness),
                            harness_port (l.testbed.harness) };
      int listeners[2] = { frame_listen (ports[0]), frame_listen (ports[1]) };
      struct frame_peer *engine;
      struct bb_rank_state state;
      msgpack_sbuffer out;

      msgpack_sbuffer_init (&out);
      put_relayed_arm (&l, &out, ports[0], version, 1);
      put_relayed_arm (&l, &out, ports[1], version, 2);
      frame_send (l.follower, &out);
      msgpack_sbuffer_destroy (&out);
      engine = accept_order (listeners[0]);
      state = await_states (&l, STATES_AFTER);
      g_assert_cmpuint (state.gave_version, ==, version);
      g_assert_cmpuint (state.gave_epoch, ==, 2);
      g_assert_false (state.gave_taken);
      frame_close (engine);
      close (listeners[0]);
      close (listeners[1]);
    }
  lead_no_more (&l);
}

/* The result of an order that a leader sent before its connection ended does
   not go to the next one, whose orders have the same ids.  */
static void
test_result_of_lost_leader (void)
{
  struct played_leader l;

  lead (&l);
  for (uint32_t i = 0; i < LOST_LEADERS; i++)
    {
      uint16_t port = harness_port (l.testbed.harness);
      int listener = frame_listen (port);
      struct frame_peer *engine;
      struct bb_message m;
      msgpack_sbuffer out;
      bb_ms end = bb_clock_now () + LEAD_MS;

      while (bb_clock_now () < end)
        await_states (&l, 1);
      msgpack_sbuffer_init (&out);
      put_relayed_arm (&l, &out, port, 5, 1);
      frame_send (l.follower, &out);
      msgpack_sbuffer_destroy (&out);
      engine = frame_accept (listener);
      frame_close (l.follower);
      accept_follower (&l);
      g_assert_false (
          frame_await (l.follower, BB_MSG_RANK_RESULT, &m, REPLY_MS));
      frame_close (l.follower);
      accept_follower (&l);
      frame_close (engine);
      close (listener);
    }
  lead_no_more (&l);
}

/* The engine of an agent that follows hangs. The agent keeps its leader, which
   it hears, and sends it no state as if it were a new one.  */
static void
test_engine_hangs (void)
{
  struct played_leader l;
  struct bb_message m;
  bb_ms end;
  uint32_t states = 0;

  lead (&l);
  await_states (&l, 3);
  harness_signal (l.testbed.harness, l.testbed.replica_pids[1], SIGSTOP);
  end = bb_clock_now () + HANG_MS;
  while (bb_clock_now () < end)
    if (frame_read (l.follower, &m, STATE_INTERVAL_MS / 4))
      {
        states += m.type == BB_MSG_RANK_STATE;
        bb_message_free (&m);
        harness_sleep_ms (states % 2 * LINK_MS);
        send_hello (l.follower);
      }
  g_test_message ("%u states", states);
  g_assert_cmpuint (testbed_count_log (&l.testbed, "side-1", "leader_lost"),
                    ==, 0);
  g_assert_cmpuint (states, <=, HANG_MS / ENGINE_TIMEOUT_MS + 1);
  lead_no_more (&l);
}

/* Reads messages for MS, answers states with a hello that names HEAD, and
   returns how often counts came.  */
static uint32_t
count_counts (struct played_leader *l, const char *head, bb_ms ms)
{
  bb_ms end = bb_clock_now () + ms;
  uint32_t n = 0;

  while (bb_clock_now () < end)
    {
      struct bb_message m;
      bool is_state;
      if (!frame_read (l->follower, &m, STATE_INTERVAL_MS / 4))
        continue;
      n += m.type == BB_MSG_RANK_COUNTS;
      is_state = m.type == BB_MSG_RANK_STATE;
      bb_message_free (&m);
      if (is_state)
        send_hello_naming (l->follower, head);
    }
  return n;
}

/* All agents of a group follow a new leader at once.  They send it no counts
   before it has told which of them are to.  */
static void
test_counts_await_head (void)
{
  struct played_leader l;

  lead (&l);
  g_assert_cmpuint (count_counts (&l, "", HEAD_UNKNOWN_MS), ==, 0);
  g_assert_cmpuint (count_counts (&l, "127.0.0.1", HEAD_UNKNOWN_MS), >, 0);
  lead_no_more (&l);
}

/* Sends the follower MAP, of two ranks with a set of one place each, whole, as
   VERSION.  Returns its hash.  */
static uint64_t
send_whole_map (struct played_leader *l, uint64_t version, const uint16_t *map)
{
  GBytes *bytes = g_bytes_new (map, 2 * sizeof *map);
  GBytes *packed = bb_pack (bytes, NULL);
  struct bb_rank_map m = { .epoch = 1,
                           .version = version,
                           .sets = 1,
                           .ranks = 2,
                           .places = 1,
                           .experts = 2,
                           .whole = true,
                           .hash = XXH64 (map, 2 * sizeof *map, 0) };
  msgpack_sbuffer out;
  gsize size;

  m.packed.ptr = g_bytes_get_data (packed, &size);
  m.packed.size = (uint32_t)size;
  msgpack_sbuffer_init (&out);
  bb_put_rank_map (&out, &m);
  frame_send (l->follower, &out);
  msgpack_sbuffer_destroy (&out);
  g_bytes_unref (packed);
  g_bytes_unref (bytes);
  return m.hash;
}

static void
send_prepare (struct played_leader *l, uint64_t version, uint64_t hash)
{
  struct bb_rank_order m = { .id = ++l->last_order_id,
                             .op = BB_ORDER_PREPARE,
                             .version = version,
                             .epoch = 1,
                             .fence = 1,
                             .map_hash = hash };
  msgpack_sbuffer out;

  msgpack_sbuffer_init (&out);
  bb_put_rank_order (&out, &m);
  frame_send (l->follower, &out);
  msgpack_sbuffer_destroy (&out);
}

/* Orders the follower to prepare VERSION, whose map has HASH, again and again
   until it returns a result.  Returns that, or 0 where there is none.  */
static uint16_t
order_prepare (struct played_leader *l, uint64_t version, uint64_t hash)
{
  bb_ms end = bb_clock_now () + PREPARE_MS;
  bb_ms next = 0;

  while (bb_clock_now () < end)
    {
      struct bb_message m;
      if (bb_clock_now () >= next)
        {
          send_prepare (l, version, hash);
          next = bb_clock_now () + STATE_INTERVAL_MS;
        }
      if (!frame_read (l->follower, &m, STATE_INTERVAL_MS / 4))
        continue;
      send_hello (l->follower);
      if (m.type == BB_MSG_RANK_RESULT)
        {
          uint16_t status = m.u.rank_result.status;
          bb_message_free (&m);
          return status;
        }
      bb_message_free (&m);
    }
  return 0;
}

/* A leader that has begun anew gives a version to another map than before.  An
   agent that has the earlier one does not prepare it in place of the other,
   since ranks would then use two maps as one version.  */
static void
test_other_map_of_version (void)
{
  static const uint16_t first[] = { 0, 1 };
  static const uint16_t second[] = { 1, 0 };
  struct played_leader l;
  uint64_t hash;

  lead (&l);
  await_states (&l, 3);
  hash = send_whole_map (&l, 128, first);
  g_assert_cmpuint (order_prepare (&l, 128, hash), ==, 200);
  hash = XXH64 (second, sizeof second, 0);
  g_assert_cmpuint (order_prepare (&l, 128, hash), ==, MAP_MISSING);
  g_assert_cmpuint (send_whole_map (&l, 128, second), ==, hash);
  g_assert_cmpuint (order_prepare (&l, 128, hash), ==, 200);
  lead_no_more (&l);
}

/* Has the follower send an order OP with FENCE to its engine, or to another
   one at TARGET.  Returns the result.  */
static uint16_t
order_with_fence (struct played_leader *l, enum bb_order_op op,
                  const char *target, uint64_t fence)
{
  struct bb_rank_order m = { .id = ++l->last_order_id,
                             .op = (uint8_t)op,
                             .version = 7,
                             .step = 1000,
                             .epoch = 1,
                             .fence = fence,
                             .target = bb_bytes_of (target),
                             .target_rank = 2 };
  msgpack_sbuffer out;
  struct bb_message result;
  uint16_t status;

  msgpack_sbuffer_init (&out);
  bb_put_rank_order (&out, &m);
  frame_send (l->follower, &out);
  msgpack_sbuffer_destroy (&out);
  g_assert_true (
      frame_await (l->follower, BB_MSG_RANK_RESULT, &result, PREPARE_MS));
  status = result.u.rank_result.status;
  bb_message_free (&result);
  return status;
}

/* A leader goes on ordering after another one has, which its followers left it
   for (review/11).  They refuse its orders, also to other ranks, and tell the
   fence of the other leader.  */
static void
test_replaced_leader (void)
{
  struct played_leader l;
  struct bb_rank_state state;

  lead (&l);
  await_states (&l, 3);
  g_assert_cmpuint (order_with_fence (&l, BB_ORDER_HOLD, "", 5), ==, 200);
  g_assert_cmpuint (order_with_fence (&l, BB_ORDER_FENCE, "", 6), ==, 200);
  state = await_states (&l, STATES_AFTER);
  g_assert_cmpuint (state.fence_seen, ==, 6);
  g_assert_cmpuint (state.fence_accepted, ==, 6);
  g_assert_cmpuint (order_with_fence (&l, BB_ORDER_GO, "", 5), ==, FENCED);
  g_assert_cmpuint (order_with_fence (&l, BB_ORDER_ARM, "127.0.0.1:1", 5), ==,
                    FENCED);
  g_assert_cmpuint (order_with_fence (&l, BB_ORDER_GO, "", 6), ==, 200);
  lead_no_more (&l);
}

static struct bb_rank_state
drawn_state (const uint32_t *n, struct bb_bytes bytes)
{
  return (struct bb_rank_state){ .upstream = bb_bytes_of ("127.0.0.9"),
                                 .group = bb_bytes_of (n[7] > 2 ? "g" : ""),
                                 .epoch = n[0],
                                 .rank = n[1],
                                 .size = n[2],
                                 .open = n[3] > 2,
                                 .step = n[3],
                                 .map = n[4],
                                 .prepared = n[5],
                                 .armed = n[6],
                                 .armed_step = n[7],
                                 .lists = bytes,
                                 .lists_version = n[4],
                                 .gave_rank = n[6] };
}

static struct bb_rank_map
drawn_map (const uint32_t *n, struct bb_bytes bytes)
{
  return (struct bb_rank_map){ .epoch = n[0],
                               .version = n[1],
                               .sets = n[2],
                               .ranks = n[3],
                               .places = n[4],
                               .experts = n[5],
                               .whole = n[6] > 2,
                               .base_version = n[7],
                               .packed = bytes };
}

/* Appends a message between agents whose fields are drawn, some of them
   outside of what a group may have.  */
static void
put_drawn (msgpack_sbuffer *out, GRand *draws)
{
  static const uint32_t sizes[]
      = { 0, 1, 2, 3, 5, 64, 127, 128, 129, 8192, 70000, UINT32_MAX };
  uint32_t n[8];
  char data[600];
  struct bb_bytes bytes
      = { data, (uint32_t)g_rand_int_range (draws, 0, sizeof data) };
  struct bb_rank_state state;
  struct bb_rank_map map;
  struct bb_rank_order order;
  struct bb_rank_counts counts;

  for (uint32_t i = 0; i < G_N_ELEMENTS (n); i++)
    n[i] = sizes[g_rand_int_range (draws, 0, G_N_ELEMENTS (sizes))];
  for (uint32_t i = 0; i < sizeof data; i++)
    data[i] = (char)g_rand_int (draws);
  switch (g_rand_int_range (draws, 0, 4))
    {
    case 0:
      state = drawn_state (n, bytes);
      bb_put_rank_state (out, &state);
      break;
    case 1:
      order = (struct bb_rank_order){
        .id = n[0], .op = (uint8_t)n[1], .version = n[2], .epoch = n[3]
      };
      bb_put_rank_order (out, &order);
      break;
    case 2:
      counts = (struct bb_rank_counts){ .epoch = n[0],
                                        .count = n[1],
                                        .packed = bytes };
      bb_put_rank_counts (out, &counts);
      break;
    default:
      map = drawn_map (n, bytes);
      bb_put_rank_map (out, &map);
      break;
    }
}

enum
{
  HOSTILE_CONNECTIONS = 60,
  HOSTILE_MESSAGES = 40 /* on each connection */
};

static void
send_drawn (struct frame_peer *p, GRand *draws, uint32_t count)
{
  msgpack_sbuffer out;

  msgpack_sbuffer_init (&out);
  for (uint32_t i = 0; i < count; i++)
    put_drawn (&out, draws);
  frame_send (p, &out);
  msgpack_sbuffer_destroy (&out);
}

/* An agent that leads, and then one that follows, get drawn messages.  Neither
   ends, and each answers as before.  */
static void
test_hostile_messages (void)
{
  GRand *draws = g_rand_new_with_seed (harness_number ("BILBERRY_SEED", 1));
  struct testbed testbed;
  struct played_leader l;
  struct frame_peer *p;
  int status;
  pid_t pid;

  testbed_init (&testbed);
  testbed_start_replica (&testbed, "i-1", "draft", "");
  testbed_start_edge (&testbed, 0);
  pid = testbed_start_rank (&testbed, 0);
  testbed_await_log (&testbed, "side-0", "\"event\":\"leads\"", 0);
  for (uint32_t i = 0; i < HOSTILE_CONNECTIONS; i++)
    {
      p = frame_connect (testbed.agent_port);
      send_drawn (p, draws, HOSTILE_MESSAGES);
      harness_sleep_ms (5);
      frame_close (p);
    }
  g_assert_false (harness_has_ended (testbed.harness, pid, &status));
  testbed_free (&testbed);
  lead (&l);
  for (uint32_t i = 0; i < HOSTILE_CONNECTIONS; i++)
    {
      send_drawn (l.follower, draws, HOSTILE_MESSAGES);
      await_states (&l, 1);
    }
  lead_no_more (&l);
  g_rand_free (draws);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rank/counts-await-head", test_counts_await_head);
  g_test_add_func ("/rank/engine-hangs", test_engine_hangs);
  g_test_add_func ("/rank/other-map-of-version", test_other_map_of_version);
  g_test_add_func ("/rank/hostile-messages", test_hostile_messages);
  g_test_add_func ("/rank/relayed-epoch", test_relayed_epoch);
  g_test_add_func ("/rank/replaced-leader", test_replaced_leader);
  g_test_add_func ("/rank/result-of-lost-leader", test_result_of_lost_leader);
  return g_test_run ();
}
