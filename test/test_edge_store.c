/* Tests of bilberry-edge with real processes: how changes in the store reach
   all edges, through the store's faults and the end of peers.  */

#include "harness/frame.h"
#include "harness/testbed.h"

#include "bilberry/base.h"

#include <glib.h>
#include <signal.h>
#include <string.h>

/* Malformed and unknown items in the store are ignored, and the others stay in
   force.  */
static void
test_unusable_items (void)
{
  struct testbed t;
  char *text;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_put_item (&t, "servers/i-a", "{\"service\":\"app\"}");
  testbed_put_item (&t, "servers/i-b", "\xff\xfe no JSON");
  testbed_put_item (&t, "servers/i-c",
                    "{\"service\":7,\"address\":[],\"slots\":\"x\"}");
  testbed_put_item (
      &t, "servers/i-d",
      "{\"service\":\"app\",\"address\":\"127.0.0.1:1\",\"zone\":"
      "\"z1\",\"slots\":3,\"state\":\"resting\"}");
  testbed_put_item (&t, "other/thing", "x");
  testbed_start_edge (&t, 0);
  for (uint32_t k = 0; k < 5; k++)
    testbed_check_status (&t, "POST", "/order/1", "o1", 200);
  testbed_put_item (&t, "op/config", "{\"version\":9}");
  harness_sleep_ms (200);
  testbed_check_status (&t, "POST", "/order/1", "o2", 200);
  text = testbed_read_log (&t, "edge-0");
  g_assert_nonnull (strstr (text, "\"event\":\"upstream_unusable\""));
  g_assert_nonnull (strstr (text, "\"event\":\"config_unusable\""));
  g_free (text);
  testbed_free (&t);
}

/* Changes in the store take effect soon: a new route and key and their
   removal, an evacuation and its end, and a replica that drains.  */
static void
test_changes (void)
{
  struct testbed t;
  char *value;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  testbed_put_config (
      &t, 2,
      ",{\"name\":\"new\",\"host\":\"127.0.0.1\",\"prefix\":"
      "\"/new/\",\"route-kind\":\"idempotent\",\"service\":\"app\","
      "\"timeout-ms\":900,\"slo-ms\":100,\"max-attempts\":1}",
      ",\"key-2\"");
  g_assert_true (testbed_await_status (&t, 0, "/new/1", "key-2", 200));
  testbed_put_config (&t, 3, "", "");
  g_assert_true (testbed_await_status (&t, 0, "/check/1", "key-2", 401));
  g_assert_true (testbed_await_status (&t, 0, "/new/1", "key-1", 404));
  testbed_put_item (&t, "op/evacuate/z1", "{}");
  g_assert_true (testbed_await_status (&t, 0, "/check/1", "key-1", 503));
  testbed_put_item (&t, "op/evacuate/z1", NULL);
  g_assert_true (testbed_await_status (&t, 0, "/check/1", "key-1", 200));
  value = g_strdup_printf (
      "{\"service\":\"app\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z1\","
      "\"slots\":8,\"state\":\"draining\"}",
      t.replica_ports[0]);
  testbed_put_item (&t, "servers/i-1", value);
  g_free (value);
  g_assert_true (testbed_await_status (&t, 0, "/check/1", "key-1", 503));
  testbed_free (&t);
}

/* The store fails in each of its modes and recovers.  Meanwhile the last known
   state stays in force; afterwards the changes made meanwhile take effect,
   also if the store has dropped its history.  */
static void
test_store_fails (void)
{
  static const char *const modes[]
      = { "busy", "unavailable", "silent", "garbage" };
  struct testbed t;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  for (uint32_t i = 0; i < G_N_ELEMENTS (modes); i++)
    {
      char keys[32];
      char key[16];
      g_test_message ("%s", modes[i]);
      g_snprintf (key, sizeof key, "key-m%u", i);
      g_snprintf (keys, sizeof keys, ",\"%s\"", key);
      testbed_set_store_mode (&t, modes[i]);
      harness_sleep_ms (300);
      testbed_check_status (&t, "GET", "/check/1", "c1", 200);
      testbed_put_config (&t, 10 + (int)i, "", keys);
      if (i % 2 == 1)
        {
          struct http_response a
              = harness_http (t.store_port, "POST", "/forget", "", "");
          http_response_free (&a);
        }
      testbed_set_store_mode (&t, "ok");
      g_assert_true (testbed_await_status (&t, 0, "/check/1", key, 200));
    }
  testbed_free (&t);
}

enum
{
  /* Time from a change in the store until it is in force at every edge.  */
  CONFIG_DEADLINE_MS = 2000,
  RETURN_EDGES = 3
};

/* A store that does not respond for some time, and its edges.  All watches
   begin again just before.  */
struct outage
{
  bb_ms length_ms;
  struct testbed bed;
  bb_ms return_ms; /* time of the change; 0: not made yet */
  uint32_t left;   /* edges at which the change is not yet in force */
  bool in_force[RETURN_EDGES];
};

static void
outage_start (struct outage *o)
{
  testbed_init (&o->bed);
  testbed_start_replica (&o->bed, "i-1", "app", "");
  for (uint32_t e = 0; e < RETURN_EDGES; e++)
    testbed_start_edge (&o->bed, 0);
  testbed_put_config (&o->bed, 2, "", ",\"key-2\"");
  for (uint32_t e = 0; e < RETURN_EDGES; e++)
    g_assert_true (
        testbed_await_status (&o->bed, e, "/check/1", "key-2", 200));
  o->left = RETURN_EDGES;
}

/* Makes a change, which revokes key-2.  */
static void
outage_change (struct outage *o)
{
  testbed_put_config (&o->bed, 3, "", "");
  o->return_ms = bb_clock_now ();
}

/* Asks the edges at which the change is not yet in force.  */
static void
outage_poll (struct outage *o)
{
  g_assert_cmpint (bb_clock_now () - o->return_ms, <=, CONFIG_DEADLINE_MS);
  for (uint32_t e = 0; e < RETURN_EDGES; e++)
    {
      struct http_response a;
      if (o->in_force[e])
        continue;
      a = testbed_request (&o->bed, e, "GET", "/check/1", "c1", "key-2");
      o->in_force[e] = a.status == 401;
      o->left -= o->in_force[e];
      http_response_free (&a);
    }
}

/* The store comes back after outages of several lengths, with a change: it is
   in force in time at all edges, whatever their calls into the outage are
   doing.  */
static void
test_change_after_outage (void)
{
  struct outage outages[] = { { .length_ms = 5700 },
                              { .length_ms = 6200 },
                              { .length_ms = 9200 } };
  uint32_t open = G_N_ELEMENTS (outages);
  bb_ms began_ms;

  for (uint32_t i = 0; i < G_N_ELEMENTS (outages); i++)
    outage_start (&outages[i]);
  for (uint32_t i = 0; i < G_N_ELEMENTS (outages); i++)
    testbed_set_store_mode (&outages[i].bed, "silent");
  began_ms = bb_clock_now ();
  while (open > 0)
    {
      open = 0;
      for (uint32_t i = 0; i < G_N_ELEMENTS (outages); i++)
        {
          struct outage *o = &outages[i];
          if (o->return_ms > 0 && o->left > 0)
            outage_poll (o);
          if (o->return_ms == 0 && bb_clock_now () - began_ms >= o->length_ms)
            {
              testbed_set_store_mode (&o->bed, "ok");
              outage_change (o);
            }
          open += o->left > 0;
        }
      harness_sleep_ms (10);
    }
  for (uint32_t i = 0; i < G_N_ELEMENTS (outages); i++)
    testbed_free (&outages[i].bed);
}

/* The watches that wait at the store get no response any more, though it
   responds to new calls: a change is in force in time all the same.  */
static void
test_watches_dropped (void)
{
  struct outage o = { 0 };
  struct http_response a;

  outage_start (&o);
  harness_sleep_ms (50);
  a = harness_http (o.bed.store_port, "POST", "/drop-watches", "", "");
  http_response_free (&a);
  outage_change (&o);
  while (o.left > 0)
    {
      outage_poll (&o);
      harness_sleep_ms (10);
    }
  testbed_free (&o.bed);
}

/* One edge never reaches the store: it gets all items from a peer, and learns
   of a removed key too.  */
static void
test_config_from_peer (void)
{
  struct testbed t;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  testbed_start_edge (&t, harness_port (t.harness));
  g_assert_true (testbed_await_status (&t, 1, "/check/1", "key-1", 200));
  testbed_put_config (&t, 2, "", ",\"key-2\"");
  g_assert_true (testbed_await_status (&t, 1, "/check/1", "key-2", 200));
  testbed_put_config (&t, 3, "", "");
  g_assert_true (testbed_await_status (&t, 1, "/check/1", "key-2", 401));
  testbed_free (&t);
}

/* Sends an item to edge E as a peer that ends before it has told another edge.
   REVISION is the one that the store gives the item.  */
static void
tell_edge_alone (struct testbed *t, uint32_t e, const char *key,
                 const char *value, uint64_t revision)
{
  struct bb_peer_hello hello
      = { .incarnation = 7, .name = bb_bytes_of ("short-lived") };
  struct bb_peer_item item = { .key = bb_bytes_of (key),
                               .value = bb_bytes_of (value),
                               .revision = revision };
  struct frame_peer *p = frame_connect (t->edges[e].control_port);
  msgpack_sbuffer out;

  msgpack_sbuffer_init (&out);
  bb_put_peer_hello (&out, &hello);
  bb_put_peer_item (&out, &item);
  frame_send (p, &out);
  msgpack_sbuffer_destroy (&out);
  frame_close (p);
}

/* Returns the store revision up to which edge E has all items.  */
static uint64_t
edge_revision (struct testbed *t, uint32_t e)
{
  struct frame_peer *p = frame_connect (t->edges[e].control_port);
  struct bb_message m;
  uint64_t revision;

  g_assert_true (frame_await (p, BB_MSG_PEER_STATE, &m, 2000));
  revision = m.u.peer_state.revision;
  bb_message_free (&m);
  frame_close (p);
  return revision;
}

/* An edge learns of a configuration from a peer that ends at once, and reads
   it from the store together with a newer item.  Another edge, which cannot
   reach the store, gets both.  */
static void
test_item_known_already (void)
{
  struct testbed t;
  g_autofree char *config = testbed_config (2, "", ",\"key-2\"");
  uint64_t revision;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  testbed_start_edge (&t, harness_port (t.harness));
  g_assert_true (testbed_await_status (&t, 1, "/check/1", "key-1", 200));
  harness_sleep_ms (300);
  testbed_set_store_mode (&t, "silent");
  revision = edge_revision (&t, 0);
  tell_edge_alone (&t, 0, "op/config", config, revision + 1);
  g_assert_true (testbed_await_status (&t, 0, "/check/1", "key-2", 200));
  testbed_put_item (&t, "op/config", config);
  testbed_put_item (&t, "op/evacuate/z9", "{}");
  testbed_set_store_mode (&t, "ok");
  g_assert_true (testbed_await_status (&t, 1, "/check/1", "key-2", 200));
  testbed_free (&t);
}

/* Of several versions that come in one response only the last is decoded.  */
static void
test_last_version_only (void)
{
  struct testbed t;
  g_autofree char *log = NULL;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  g_assert_true (testbed_await_status (&t, 0, "/check/1", "key-1", 200));
  testbed_set_store_mode (&t, "silent");
  testbed_put_config (&t, 2, "", "");
  testbed_put_config (&t, 3, "", "");
  testbed_put_config (&t, 4, "", ",\"key-4\"");
  testbed_set_store_mode (&t, "ok");
  g_assert_true (testbed_await_status (&t, 0, "/check/1", "key-4", 200));
  log = testbed_read_log (&t, "edge-0");
  g_assert_nonnull (strstr (log, "\"version\":4,"));
  g_assert_null (strstr (log, "\"version\":2,"));
  g_assert_null (strstr (log, "\"version\":3,"));
  testbed_free (&t);
}

/* Two edges watch the store and a third cannot reach it.  While either of the
   two is stopped, the other sends changes to the third.  */
static void
test_forwarding_edge_stops (void)
{
  struct testbed t;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_start_edge (&t, 0);
  testbed_start_edge (&t, 0);
  testbed_start_edge (&t, harness_port (t.harness));
  g_assert_true (testbed_await_status (&t, 2, "/check/1", "key-1", 200));
  for (int i = 0; i < 2; i++)
    {
      g_autofree char *keys = g_strdup_printf (",\"key-s%d\"", i);
      g_autofree char *key = g_strdup_printf ("key-s%d", i);
      harness_signal (t.harness, t.edges[i].pid, SIGSTOP);
      testbed_put_config (&t, 2 + i, "", keys);
      g_assert_true (testbed_await_status (&t, 2, "/check/1", key, 200));
      harness_signal (t.harness, t.edges[i].pid, SIGCONT);
      g_assert_true (
          testbed_await_status (&t, (uint32_t)i, "/check/1", key, 200));
    }
  testbed_free (&t);
}

static bool
has_logged (struct testbed *t, uint32_t e, const char *text)
{
  g_autofree char *name = g_strdup_printf ("edge-%u", e);
  g_autofree char *log = testbed_read_log (t, name);

  return strstr (log, text) != NULL;
}

/* Waits until COUNT edges have logged TEXT.  */
static void
await_logged (struct testbed *t, const char *text, uint32_t count)
{
  uint32_t found = 0;

  for (uint32_t i = 0; i < 100 && found < count; i++)
    {
      harness_sleep_ms (50);
      found = 0;
      for (uint32_t e = 0; e < t->edges_count; e++)
        found += has_logged (t, e, text);
    }
  g_assert_cmpuint (found, >=, count);
}

/* Of six edges four watch the store and send changes to the others.  When two
   of the four are killed, the others watch in their place.  */
static void
test_few_watch (void)
{
  const uint32_t edges = 6;
  struct testbed t;
  uint32_t killed = 0;
  uint32_t left = 0;

  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  for (uint32_t i = 0; i < edges; i++)
    testbed_start_edge (&t, 0);
  await_logged (&t, "\"event\":\"store_rests\"", 2);
  testbed_put_config (&t, 2, "", ",\"key-2\"");
  for (uint32_t i = 0; i < edges; i++)
    g_assert_true (testbed_await_status (&t, i, "/check/1", "key-2", 200));
  for (uint32_t i = 0; i < edges && killed < 2; i++)
    if (!has_logged (&t, i, "\"event\":\"store_rests\""))
      {
        harness_signal (t.harness, t.edges[i].pid, SIGKILL);
        t.edges[i].pid = 0;
        killed++;
      }
  g_assert_cmpuint (killed, ==, 2);
  await_logged (&t, "\"event\":\"store_watched\"", 2);
  testbed_put_config (&t, 3, "", "");
  for (uint32_t i = 0; i < edges; i++)
    if (t.edges[i].pid != 0)
      {
        g_assert_true (testbed_await_status (&t, i, "/check/1", "key-2", 401));
        left++;
      }
  g_assert_cmpuint (left, ==, edges - 2);
  testbed_free (&t);
}

static gpointer
request_waiting (gpointer user)
{
  struct http_response a
      = testbed_request (user, 0, "GET", "/check/new/1", "w1", "key-1");
  int status = a.status;

  http_response_free (&a);
  return GINT_TO_POINTER (status);
}

/* A request that waits is moved to a pool that is not known yet, because a new
   configuration routes it there: the queues change while they are gone
   through.  */
static void
test_route_to_new_pool (void)
{
  struct testbed t;
  GThread *caller;

  g_setenv ("G_DEBUG", "fatal-criticals", TRUE);
  testbed_init (&t);
  testbed_start_replica (&t, "i-1", "app", "");
  testbed_put_item (&t, "op/evacuate/z1", "{}");
  testbed_start_edge (&t, 0);
  g_unsetenv ("G_DEBUG");
  caller = g_thread_new ("caller", request_waiting, &t);
  harness_sleep_ms (100);
  testbed_put_config (
      &t, 2,
      ",{\"name\":\"new\",\"host\":\"127.0.0.1\",\"prefix\":"
      "\"/check/new/\",\"route-kind\":\"idempotent\",\"service\":\"none\","
      "\"timeout-ms\":900,\"slo-ms\":100,\"max-attempts\":1}",
      "");
  g_assert_cmpint (GPOINTER_TO_INT (g_thread_join (caller)), ==, 503);
  testbed_check_status (&t, "GET", "/check/1", "w2", 503);
  testbed_free (&t);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edge/unusable-items", test_unusable_items);
  g_test_add_func ("/edge/changes", test_changes);
  g_test_add_func ("/edge/store-fails", test_store_fails);
  g_test_add_func ("/edge/change-after-outage", test_change_after_outage);
  g_test_add_func ("/edge/watches-dropped", test_watches_dropped);
  g_test_add_func ("/edge/item-known-already", test_item_known_already);
  g_test_add_func ("/edge/last-version-only", test_last_version_only);
  g_test_add_func ("/edge/config-from-peer", test_config_from_peer);
  g_test_add_func ("/edge/forwarding-edge-stops", test_forwarding_edge_stops);
  g_test_add_func ("/edge/few-watch", test_few_watch);
  g_test_add_func ("/edge/route-to-new-pool", test_route_to_new_pool);
  return g_test_run ();
}
