/* Tests of libonce with fixed sequences of events.  Messages are queued and
   delivered in order and without delay, except to and from isolated agents. */

#include "bilberry/once.h"
#include "bilberry/wire.h"

#include <glib.h>
#include <string.h>

enum
{
  AGENTS = 6,
  RETENTION_MS = 100000
};

struct cluster;

struct agent
{
  struct cluster *cluster;
  struct bb_once *once;
  char name[4];
  bool isolated; /* neither sends nor receives */
  uint32_t ran;
  uint32_t answered;
  struct bb_request_result result;
  uint64_t last_run;
};

struct cluster
{
  struct agent agents[AGENTS];
  GQueue *queue; /* GBytes of the index of the receiver, then the message */
  bb_ms now;
};

static bool
on_send (void *user, const char *member, enum bb_message_type type,
         const void *m)
{
  struct agent *from = user;
  uint32_t to = (uint32_t)(member[0] - 'a');
  msgpack_sbuffer buf;

  if (from->isolated || from->cluster->agents[to].isolated)
    return false;
  msgpack_sbuffer_init (&buf);
  msgpack_sbuffer_write (&buf, (const char *)&to, sizeof to);
  if (type == BB_MSG_ONCE_ASK)
    bb_put_once_ask (&buf, m);
  else if (type == BB_MSG_ONCE_SAY)
    bb_put_once_say (&buf, m);
  else if (type == BB_MSG_ONCE_NOTE)
    bb_put_once_note (&buf, m);
  else if (type == BB_MSG_ONCE_RELEASE)
    bb_put_once_release (&buf, m);
  else if (type == BB_MSG_ONCE_SYNC)
    bb_put_once_sync (&buf, m);
  else
    bb_put_once_synced (&buf, m);
  g_queue_push_tail (from->cluster->queue, g_bytes_new (buf.data, buf.size));
  msgpack_sbuffer_destroy (&buf);
  return true;
}

static void
on_run (void *user, uint64_t call)
{
  struct agent *a = user;

  a->ran++;
  a->last_run = call;
}

static void
on_answer (void *user, uint64_t call, const struct bb_once_note *n)
{
  (void)call;
  (void)n;
  ((struct agent *)user)->answered++;
}

static void
on_refuse (void *user, uint64_t call, const struct bb_request_result *v)
{
  (void)call;
  ((struct agent *)user)->result = *v;
}

static const struct bb_once_ops ops = {
  .send = on_send, .run = on_run, .answer = on_answer, .refuse = on_refuse
};

static void
deliver (struct cluster *k, GBytes *bytes)
{
  gsize size;
  const char *data = g_bytes_get_data (bytes, &size);
  uint32_t to;
  struct bb_message m;
  struct bb_decode_error e;
  struct bb_once *o;

  memcpy (&to, data, sizeof to);
  if (k->agents[to].isolated)
    return;
  o = k->agents[to].once;
  g_assert_true (bb_message_decode (data + sizeof to + BB_FRAME_HEADER_BYTES,
                                    size - sizeof to - BB_FRAME_HEADER_BYTES,
                                    &m, &e));
  if (m.type == BB_MSG_ONCE_ASK)
    bb_once_on_ask (o, &m.u.once_ask, k->now);
  else if (m.type == BB_MSG_ONCE_SAY)
    bb_once_on_say (o, &m.u.once_say, k->now);
  else if (m.type == BB_MSG_ONCE_NOTE)
    bb_once_on_note (o, &m.u.once_note, k->now);
  else if (m.type == BB_MSG_ONCE_RELEASE)
    bb_once_on_release (o, &m.u.once_release);
  else if (m.type == BB_MSG_ONCE_SYNC)
    bb_once_on_sync (o, &m.u.once_sync, k->now);
  else
    bb_once_on_synced (o, &m.u.once_synced, k->now);
  bb_message_free (&m);
}

/* Delivers the oldest message.  Returns false where there is none.  */
static bool
deliver_next (struct cluster *k)
{
  GBytes *b = g_queue_pop_head (k->queue);

  if (!b)
    return false;
  deliver (k, b);
  g_bytes_unref (b);
  return true;
}

/* Advances the time by MS in ticks and delivers all messages.  */
static void
advance (struct cluster *k, bb_ms ms)
{
  for (bb_ms end = k->now + ms; k->now < end; k->now += BB_ONCE_TICK_MS)
    {
      for (int i = 0; i < AGENTS; i++)
        if (!k->agents[i].isolated)
          bb_once_tick (k->agents[i].once, k->now);
      while (deliver_next (k))
        ;
    }
}

/* Sets the replicas at agent I to MEMBERS, one letter each.  */
static void
set_members (struct cluster *k, int i, const char *members)
{
  const char *names[AGENTS];
  const char *witnesses[] = { "entry" };
  uint32_t count = 0;

  for (; *members; members++)
    names[count++] = k->agents[*members - 'a'].name;
  bb_once_set_members (k->agents[i].once, names, count, witnesses, 1, k->now);
}

static void
start_agent (struct cluster *k, int i, const char *members,
             uint64_t known_incarnation)
{
  struct bb_once_limits limits = { .candidates = BB_ONCE_CANDIDATES,
                                   .keys_max = 100,
                                   .bytes_max = 65536,
                                   .retention_ms = RETENTION_MS,
                                   .grant_timeout_ms = 500 };
  struct agent *a = &k->agents[i];
  uint64_t incarnation = 100 + (uint64_t)i + (uint64_t)k->now * 1000;

  if (a->once)
    bb_once_free (a->once);
  memset (a, 0, sizeof *a);
  a->cluster = k;
  a->name[0] = (char)('a' + i);
  a->once = bb_once_new (a->name, incarnation, &ops, a, k->now);
  bb_once_set_limits (a->once, &limits);
  set_members (k, i, members);
  bb_once_on_hello (a->once, "entry", known_incarnation);
  for (int j = 0; j < AGENTS; j++)
    if (j != i)
      bb_once_on_hello (a->once, k->agents[j].name, known_incarnation);
}

static struct cluster *
cluster_new (const char *members)
{
  struct cluster *k = g_new0 (struct cluster, 1);

  k->queue = g_queue_new ();
  k->now = 1000;
  for (int i = 0; i < AGENTS; i++)
    k->agents[i].name[0] = (char)('a' + i);
  for (int i = 0; i < AGENTS; i++)
    start_agent (k, i, members, 0);
  advance (k, 1500);
  return k;
}

static void
cluster_free (struct cluster *k)
{
  for (int i = 0; i < AGENTS; i++)
    bb_once_free (k->agents[i].once);
  g_queue_free_full (k->queue, (GDestroyNotify)g_bytes_unref);
  g_free (k);
}

static void
begin_call (struct cluster *k, int i, const char *key, uint64_t request_hash)
{
  static uint64_t calls;
  struct bb_once_call c = { .id = ++calls,
                            .customer = bb_bytes_of ("customer-1"),
                            .key = bb_bytes_of (key),
                            .request_hash = request_hash,
                            .deadline = k->now + 2000 };

  bb_once_begin (k->agents[i].once, &c, k->now);
}

static uint32_t
count_runs (const struct cluster *k)
{
  uint32_t runs = 0;

  for (int i = 0; i < AGENTS; i++)
    runs += k->agents[i].ran;
  return runs;
}

static void
test_key_timestamps (void)
{
  g_assert_cmpint (bb_once_key_timestamp_ms (
                       bb_bytes_of ("018f2c5a-7c00-7abc-8def-0123456789ab")),
                   ==, 0x018f2c5a7c00);
  g_assert_cmpint (bb_once_key_timestamp_ms (
                       bb_bytes_of ("018f2c5a-7c00-4abc-8def-0123456789ab")),
                   ==, 0);
  g_assert_cmpint (
      bb_once_key_timestamp_ms (bb_bytes_of ("01ARZ3NDEKTSV4RRFFQ69G5FAV")),
      ==, 1469922850259);
  g_assert_cmpint (bb_once_key_timestamp_ms (bb_bytes_of ("order-17")), ==, 0);
}

static void
test_repeat (void)
{
  struct cluster *k = cluster_new ("abc");
  struct bb_once_note n = { .status = 201 };

  begin_call (k, 0, "key", 1);
  advance (k, 300);
  g_assert_cmpuint (count_runs (k), ==, 1);
  begin_call (k, 1, "key", 1);
  advance (k, 700);
  g_assert_cmpuint (count_runs (k), ==, 1);
  g_assert_cmpint (k->agents[1].result.reason, ==, BB_REASON_IN_PROGRESS);
  n.customer = bb_bytes_of ("customer-1");
  n.key = bb_bytes_of ("key");
  bb_once_complete (k->agents[0].once, k->agents[0].last_run, &n, BB_RUN_RAN,
                    k->now);
  advance (k, 300);
  begin_call (k, 2, "key", 1);
  begin_call (k, 2, "key", 2);
  g_assert_cmpuint (k->agents[2].answered, ==, 1);
  g_assert_cmpint (k->agents[2].result.reason, ==, BB_REASON_KEY_REUSED);
  cluster_free (k);
}

/* Grants that arrive after the deadline, because the process was paused, must
   not run the call.  */
static void
test_deadline (void)
{
  struct cluster *k = cluster_new ("abc");

  begin_call (k, 0, "key", 1);
  deliver_next (k);
  deliver_next (k);
  k->now += 3000; /* the process was paused for 3 s */
  deliver_next (k);
  deliver_next (k);
  g_assert_cmpuint (count_runs (k), ==, 0);
  g_assert_cmpint (k->agents[0].result.run, ==, BB_RUN_NOT_RUN);
  cluster_free (k);
}

/* When all agents that granted a key have left the pool, its grants are lost.
   The new replicas must refuse the key as in doubt and not run it again.  */
static void
test_granters_left (void)
{
  struct cluster *k = cluster_new ("abc");

  k->agents[2].isolated = true;
  begin_call (k, 0, "key", 1);
  advance (k, 300);
  g_assert_cmpuint (count_runs (k), ==, 1);
  k->agents[0].isolated = true;
  k->agents[1].isolated = true;
  k->agents[2].isolated = false;
  for (int i = 2; i < 5; i++)
    set_members (k, i, "cde");
  advance (k, 2000);
  for (int i = 2; i < 5; i++)
    {
      begin_call (k, i, "key", 1);
      advance (k, 1000);
      g_assert_cmpint (k->agents[i].result.reason, ==, BB_REASON_IN_DOUBT);
    }
  g_assert_cmpuint (count_runs (k), ==, 1);
  cluster_free (k);
}

/* Agents with different replica sets must not both run a key.  The sets abc
   and bcd have majorities without a common agent: a and b, c and d.  */
static void
test_other_set (void)
{
  struct cluster *k = cluster_new ("abc");

  set_members (k, 2, "bcd");
  set_members (k, 3, "bcd");
  k->agents[1].isolated = true;
  begin_call (k, 2, "key", 1);
  advance (k, 300);
  k->agents[1].isolated = false;
  k->agents[2].isolated = true;
  begin_call (k, 0, "key", 1);
  advance (k, 1000);
  g_assert_cmpuint (count_runs (k), <=, 1);
  cluster_free (k);
}

/* An agent that was isolated while the replicas were changed and changed back
   has no grants of the set in between.  It must learn of that set before its
   grant counts, else a key that ran under the set runs again.  */
static void
test_missed_set (void)
{
  struct cluster *k = cluster_new ("abc");

  k->agents[0].isolated = true;
  for (int i = 1; i < 4; i++)
    set_members (k, i, "bcd");
  advance (k, 2000);
  k->agents[2].isolated = true;
  begin_call (k, 1, "key", 1);
  advance (k, 300);
  g_assert_cmpuint (count_runs (k), ==, 1);
  k->agents[1].isolated = true;
  k->agents[2].isolated = false;
  for (int i = 1; i < 4; i++)
    set_members (k, i, "abc");
  k->agents[0].isolated = false;
  begin_call (k, 0, "key", 1);
  advance (k, 1000);
  g_assert_cmpuint (count_runs (k), ==, 1);
  cluster_free (k);
}

/* A full table refuses new keys and keeps its records.  */
static void
test_full (void)
{
  struct cluster *k = cluster_new ("abc");
  char key[16];

  for (int i = 0; i < 101; i++)
    {
      g_snprintf (key, sizeof key, "key-%d", i);
      begin_call (k, 0, key, 1);
      advance (k, 100);
    }
  g_assert_cmpuint (count_runs (k), ==, 100);
  g_assert_cmpuint (bb_once_stats (k->agents[0].once).keys, ==, 100);
  g_assert_cmpint (k->agents[0].result.run, ==, BB_RUN_NOT_RUN);
  g_assert_cmpuint (bb_once_stats (k->agents[0].once).refused_full, >, 0);
  cluster_free (k);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/once/key-timestamps", test_key_timestamps);
  g_test_add_func ("/once/repeat", test_repeat);
  g_test_add_func ("/once/deadline", test_deadline);
  g_test_add_func ("/once/left", test_granters_left);
  g_test_add_func ("/once/other-set", test_other_set);
  g_test_add_func ("/once/missed-set", test_missed_set);
  g_test_add_func ("/once/full", test_full);
  return g_test_run ();
}
