/* Tests of bilberry-edge with real processes: a configuration that is large
   for the links of the edges.  */

#include "harness/frame.h"
#include "harness/testbed.h"

#include "bilberry/fleet.h"

#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <xxhash.h>

enum
{
  ROUTES = 4450, /* with these a configuration has 0.9 MB */
  READY_POLL_MS = 20,
  CONFIG_DEADLINE_MS = 3000,
  STANDBY_MS = 1500, /* until few edges watch the store */

  /* Edges of which five do not watch the store, on links over which a copy for
     each edge takes 0.5 s.  */
  LINKED_EDGES = 9,
  LINK_RATE = 2 * 1000 * 1000,

  SLOW_PARTS = 24,
  SLOW_PART_MS = 100
};

static void
put_large_config (struct testbed *t, int version, const char *keys)
{
  g_autofree char *routes = testbed_routes (ROUTES);

  testbed_put_config (t, version, routes, keys);
}

/* Prints the lines of the log of edge E that tell where it got its
   configuration from.  */
static void
print_log (struct testbed *t, uint32_t e)
{
  g_autofree char *name = g_strdup_printf ("edge-%u", e);
  g_autofree char *log = testbed_read_log (t, name);
  g_auto (GStrv) lines = g_strsplit (log, "\n", -1);

  for (uint32_t i = 0; lines[i]; i++)
    if (strstr (lines[i], "\"config") || strstr (lines[i], "\"peer\"")
        || strstr (lines[i], "\"store_"))
      g_test_message ("%s: %s", name, lines[i]);
}

/* Returns how many of the first EDGES edges do not have KEY in force
   DEADLINE_MS after now.  */
static uint32_t
count_without_key (struct testbed *t, uint32_t edges, const char *key,
                   bb_ms deadline_ms)
{
  bb_ms start = bb_clock_now ();
  bool in_force[TESTBED_MAX] = { false };
  uint32_t left = edges;

  while (left > 0 && bb_clock_now () - start < deadline_ms)
    {
      for (uint32_t e = 0; e < edges; e++)
        {
          struct http_response a;
          if (in_force[e])
            continue;
          a = testbed_request (t, e, "GET", "/check/1", "c1", key);
          in_force[e] = a.status == 200;
          left -= in_force[e];
          http_response_free (&a);
        }
      harness_sleep_ms (READY_POLL_MS);
    }
  for (uint32_t e = 0; e < edges && left > 0; e++)
    if (!in_force[e])
      print_log (t, e);
  g_test_message ("%s: %u of %u edges without it after %d ms", key, left,
                  edges, (int)(bb_clock_now () - start));
  return left;
}

/* Sends what is in OUT in SLOW_PARTS parts.  */
static void
send_slowly (const struct frame_peer *p, const msgpack_sbuffer *out)
{
  for (size_t i = 0; i < SLOW_PARTS; i++)
    {
      size_t start = out->size * i / SLOW_PARTS;
      size_t n = out->size * (i + 1) / SLOW_PARTS - start;
      ssize_t sent = send (p->fd, out->data + start, n, MSG_NOSIGNAL);
      g_assert_cmpint (sent, <=, (ssize_t)n);
      harness_sleep_ms (SLOW_PART_MS);
    }
}

/* A peer sends an item so slowly that it takes longer than a peer may be
   silent.  It is not silent: the item arrives.  */
static void
test_slow_item (void)
{
  struct testbed t;
  g_autofree char *routes = testbed_routes (ROUTES);
  g_autofree char *config = testbed_config (2, routes, ",\"key-2\"");
  struct bb_peer_hello hello
      = { .incarnation = 7, .name = bb_bytes_of ("slow") };
  struct bb_peer_item item = { .key = bb_bytes_of ("op/config"),
                               .value = bb_bytes_of (config),
                               .revision = bb_revision_of (1, 1000) };
  struct frame_peer *p;
  msgpack_sbuffer out;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  testbed_set_store_mode (&t, "silent");
  p = frame_connect (t.edges[0].control_port);
  msgpack_sbuffer_init (&out);
  bb_put_peer_hello (&out, &hello);
  bb_put_peer_item (&out, &item);
  send_slowly (p, &out);
  g_assert_cmpuint (count_without_key (&t, 1, "key-2", 1000), ==, 0);
  msgpack_sbuffer_destroy (&out);
  frame_close (p);
  testbed_free (&t);
}

/* The store's response takes longer than a call may wait for its first byte.
   It advances, so it arrives: once, in 4.1 s; two copies would take twice
   that.
 */
static void
test_slow_store (void)
{
  struct testbed t;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_links (&t, 1, 300 * 1000);
  testbed_start_edge (&t, 0);
  put_large_config (&t, 2, ",\"key-2\"");
  g_assert_cmpuint (count_without_key (&t, 1, "key-2", 6000), ==, 0);
  testbed_free (&t);
}

/* An edge without the store connects to several that all have a large
   configuration: one of them sends it.  */
static void
test_one_copy (void)
{
  struct testbed t;
  g_autofree char *routes = testbed_routes (ROUTES);
  g_autofree char *config = testbed_config (2, routes, "");
  uint64_t bytes;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_put_item (&t, "op/config", config);
  for (uint32_t e = 0; e < LINKED_EDGES - 1; e++)
    testbed_start_edge (&t, 0);
  testbed_start_edge (&t, harness_port (t.harness));
  harness_sleep_ms (1000);
  bytes = testbed_received_bytes (&t, LINKED_EDGES - 1);
  g_test_message ("%u bytes received, configuration of %u", (unsigned)bytes,
                  (unsigned)strlen (config));
  g_assert_cmpuint (bytes, <, 2 * strlen (config));
  testbed_free (&t);
}

/* Returns how many bytes of items all edges have received from peers.  */
static uint64_t
received_by_all (struct testbed *t)
{
  uint64_t n = 0;

  for (uint32_t e = 0; e < t->edges_count; e++)
    n += testbed_received_bytes (t, e);
  return n;
}

/* A small change of a large configuration costs little between edges.  */
static void
test_small_change (void)
{
  struct testbed t;
  g_autofree char *routes = testbed_routes (ROUTES);
  uint64_t before;
  uint64_t after;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  for (uint32_t e = 0; e < LINKED_EDGES; e++)
    testbed_start_edge (&t, 0);
  harness_sleep_ms (STANDBY_MS);
  testbed_put_config (&t, 2, routes, ",\"key-2\"");
  g_assert_cmpuint (
      count_without_key (&t, LINKED_EDGES, "key-2", CONFIG_DEADLINE_MS), ==,
      0);
  harness_sleep_ms (STANDBY_MS);
  before = received_by_all (&t);
  testbed_put_config (&t, 3, routes, ",\"key-3\"");
  g_assert_cmpuint (
      count_without_key (&t, LINKED_EDGES, "key-3", CONFIG_DEADLINE_MS), ==,
      0);
  harness_sleep_ms (STANDBY_MS);
  after = received_by_all (&t);
  g_test_message ("%u bytes for %u", (unsigned)(after - before),
                  (unsigned)strlen (routes));
  g_assert_cmpuint (after - before, <, strlen (routes) / 100);
  testbed_free (&t);
}

/* Large versions follow one another on slow links.  Each is in force in time,
   and an edge gets each about once, not once from each of its peers.  */
static void
test_slow_links (void)
{
  enum
  {
    VERSIONS = 3
  };
  struct testbed t;
  g_autofree char *routes = testbed_routes (ROUTES);
  uint64_t size = strlen (routes);

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_links (&t, LINKED_EDGES, LINK_RATE);
  for (uint32_t e = 0; e < LINKED_EDGES; e++)
    testbed_start_edge (&t, 0);
  harness_sleep_ms (STANDBY_MS);
  for (uint32_t v = 0; v < VERSIONS; v++)
    {
      g_autofree char *key = g_strdup_printf ("key-%u", v + 2);
      g_autofree char *keys = g_strdup_printf (",\"%s\"", key);
      testbed_put_config (&t, (int)v + 2, routes, keys);
      g_assert_cmpuint (
          count_without_key (&t, LINKED_EDGES, key, CONFIG_DEADLINE_MS), ==,
          0);
    }
  for (uint32_t e = 0; e < LINKED_EDGES; e++)
    {
      g_test_message ("edge %u: %u bytes received", e,
                      (unsigned)testbed_received_bytes (&t, e));
      g_assert_cmpuint (testbed_received_bytes (&t, e), <,
                        2 * (uint64_t)VERSIONS * size);
    }
  testbed_free (&t);
}

/* Returns a peer NAME that has told edge E that it has the configuration
   CONFIG.  */
static struct frame_peer *
connect_offering (struct testbed *t, uint32_t e, const char *name,
                  uint64_t incarnation, const char *config)
{
  struct frame_peer *p = frame_connect (t->edges[e].control_port);
  struct bb_peer_hello hello = { .incarnation = incarnation,
                                 .name = bb_bytes_of (name),
                                 .address = bb_bytes_of ("127.0.0.1:1") };
  struct bb_peer_offer offer = { .key = bb_bytes_of ("op/config"),
                                 .revision = bb_revision_of (1, 1000),
                                 .size = (uint32_t)strlen (config),
                                 .hash = XXH64 (config, strlen (config), 0) };
  msgpack_sbuffer out;

  msgpack_sbuffer_init (&out);
  bb_put_peer_hello (&out, &hello);
  bb_put_peer_offer (&out, &offer);
  frame_send (p, &out);
  msgpack_sbuffer_destroy (&out);
  return p;
}

/* Whether P is asked for an item within TIMEOUT_MS.  */
static bool
is_asked (struct frame_peer *p, int timeout_ms)
{
  struct bb_message m;

  if (!frame_await (p, BB_MSG_PEER_WANT, &m, timeout_ms))
    return false;
  bb_message_free (&m);
  return true;
}

/* What a peer sends cannot be unpacked: it is asked again, for the whole
   value, and nothing of what came is in force.  */
static void
test_damaged (void)
{
  struct testbed t;
  g_autofree char *routes = testbed_routes (ROUTES);
  g_autofree char *config = testbed_config (2, routes, ",\"key-2\"");
  struct bb_peer_item item
      = { .key = bb_bytes_of ("op/config"),
          .value = bb_bytes_of ("neither packed nor a configuration"),
          .revision = bb_revision_of (1, 1000),
          .packed = true,
          .size = 1 << 20 };
  struct frame_peer *p;
  struct bb_message m;
  msgpack_sbuffer out;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  testbed_start_edge (&t, harness_port (t.harness));
  p = connect_offering (&t, 1, "damaged", 7, config);
  g_assert_true (frame_await (p, BB_MSG_PEER_WANT, &m, 2000));
  g_assert_cmpuint (m.u.peer_want.base, !=, 0);
  bb_message_free (&m);
  msgpack_sbuffer_init (&out);
  bb_put_peer_item (&out, &item);
  frame_send (p, &out);
  msgpack_sbuffer_destroy (&out);
  g_assert_true (frame_await (p, BB_MSG_PEER_WANT, &m, 1000));
  g_assert_cmpuint (m.u.peer_want.base, ==, 0);
  bb_message_free (&m);
  g_assert_cmpuint (count_without_key (&t, 2, "key-1", 1000), ==, 0);
  frame_close (p);
  testbed_free (&t);
}

/* Of two peers that offer an item, one is asked.  It never sends it, so that
   the other one is asked too.  */
static void
test_silent_sender (void)
{
  struct testbed t;
  g_autofree char *routes = testbed_routes (ROUTES);
  g_autofree char *config = testbed_config (2, routes, ",\"key-2\"");
  struct frame_peer *first;
  struct frame_peer *second;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  testbed_start_edge (&t, harness_port (t.harness));
  first = connect_offering (&t, 1, "first", 7, config);
  second = connect_offering (&t, 1, "second", 8, config);
  g_assert_true (is_asked (first, 2000));
  g_assert_true (is_asked (second, 1000));
  frame_close (first);
  frame_close (second);
  testbed_free (&t);
}

/* A peer offers an item that the edge has, as of a later revision: the edge
   takes the revision without a copy.  */
static void
test_same_value (void)
{
  struct testbed t;
  g_autofree char *routes = testbed_routes (ROUTES);
  g_autofree char *config = testbed_config (2, routes, "");
  struct frame_peer *p;
  struct bb_message m;
  uint64_t revision = 0;

  testbed_init (&t);
  testbed_put_item (&t, "op/config", config);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  testbed_set_store_mode (&t, "silent");
  p = connect_offering (&t, 0, "peer", 7, config);
  while (revision != bb_revision_of (1, 1000)
         && frame_await (p, BB_MSG_PEER_OFFER, &m, 2000))
    {
      revision = m.u.peer_offer.revision;
      bb_message_free (&m);
    }
  g_assert_cmpuint (revision, ==, bb_revision_of (1, 1000));
  g_assert_false (is_asked (p, 500));
  frame_close (p);
  testbed_free (&t);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/growth/slow-item", test_slow_item);
  g_test_add_func ("/growth/slow-store", test_slow_store);
  g_test_add_func ("/growth/one-copy", test_one_copy);
  g_test_add_func ("/growth/slow-links", test_slow_links);
  g_test_add_func ("/growth/small-change", test_small_change);
  g_test_add_func ("/growth/silent-sender", test_silent_sender);
  g_test_add_func ("/growth/same-value", test_same_value);
  g_test_add_func ("/growth/damaged", test_damaged);
  return g_test_run ();
}
