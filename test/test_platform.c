/* Tests of the formats of the platform, the view and the pause detector.  */

#include "bilberry/start.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

static void
test_settings (void)
{
  static const char text[]
      = "node: n1\nip: 10.0.0.1\nzone: z1\nzones:\n  z1: r\n  z2: r\n"
        "listen:\n  front: 10.0.0.1:80\nseeds:\n  - a:1\n  - b:2\n"
        "internal-ports:\n  - 7340\n  - 7355\napp: null\nnew-field: [1, {}]\n"
        "bounds:\n  grace-s: 5.5\n  drain-ms: nonsense\n"
        "  budget-extra: 88\n";
  char *why = NULL;
  struct bb_process_settings *s
      = bb_process_settings_parse (text, strlen (text), &why);

  g_assert_nonnull (s);
  g_assert_cmpstr (s->name, ==, "n1");
  g_assert_cmpuint (s->failure_domain_count, ==, 2);
  g_assert_cmpstr (s->front_address, ==, "10.0.0.1:80");
  g_assert_null (s->ready_address);
  g_assert_null (s->upstream_address);
  g_assert_cmpuint (s->seeds_count, ==, 2);
  g_assert_cmpuint (s->port_first, ==, 7340);
  g_assert_cmpint (s->grace_ms, ==, 5500);
  /* A malformed number gets its default.  */
  g_assert_cmpint (s->drain_ms, ==, 2000);
  g_assert_cmpuint (s->retry_extra, ==, 88);
  bb_process_settings_free (s);
}

static void
test_settings_errors (void)
{
  static const char *const texts[] = { "", "node: [", "ip: 10.0.0.1\nzone: z",
                                       "- a\n- b\n", "node: n\nzone: z\n" };

  for (uint32_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      char *why = NULL;
      g_assert_null (
          bb_process_settings_parse (texts[i], strlen (texts[i]), &why));
      g_assert_nonnull (why);
      g_free (why);
    }
}

static const struct bb_header *
find_header (const struct bb_header *headers, uint32_t n, const char *name)
{
  for (uint32_t i = 0; i < n; i++)
    if (bb_bytes_equal (headers[i].name, name))
      return &headers[i];
  return NULL;
}

/* Hop-by-hop headers and the bearer key are not forwarded, and a caller cannot
   forge the headers that the system sets.  */
static void
test_headers (void)
{
  struct bb_h1_message m = { .headers_count = 7 };
  const char *const in[][2] = { { "X-Attempt-Id", "a1" },
                                { "Connection", "X-Hop, close" },
                                { "X-Hop", "1" },
                                { "X-Tenant", "forged" },
                                { "Authorization", "Bearer k" },
                                { "X-Expect-Replica", "forged" },
                                { "X-Kept", "yes" } };
  struct bb_header out[BB_FORWARD_HEADERS_MAX];
  char text[BB_HEADER_TEXT_BYTES];
  struct bb_forward_options options = { .upstream_id = "i-1",
                                        .customer = "maker",
                                        .remaining_ms = 1234,
                                        .last_event_id = 7,
                                        .priority = 3 };
  struct bb_request_info info;
  uint32_t n;

  for (uint32_t i = 0; i < m.headers_count; i++)
    m.headers[i]
        = (struct bb_header){ bb_bytes_of (in[i][0]), bb_bytes_of (in[i][1]) };
  bb_request_info_decode (&m, &info);
  g_assert_true (bb_bytes_equal (info.bearer_key, "k"));
  n = bb_forward_headers (&m, &options, out, text);
  g_assert_null (find_header (out, n, "X-Hop"));
  g_assert_null (find_header (out, n, "Connection"));
  g_assert_null (find_header (out, n, "Authorization"));
  g_assert_true (
      bb_bytes_equal (find_header (out, n, "X-Tenant")->value, "maker"));
  g_assert_true (
      bb_bytes_equal (find_header (out, n, "X-Expect-Replica")->value, "i-1"));
  g_assert_true (
      bb_bytes_equal (find_header (out, n, "X-Deadline-Ms")->value, "1234"));
  g_assert_true (
      bb_bytes_equal (find_header (out, n, "Last-Event-Id")->value, "7"));
  g_assert_true (
      bb_bytes_equal (find_header (out, n, "X-Kept")->value, "yes"));
  g_assert_cmpuint (n, ==, 7);
}

/* The last part belongs to the request itself and is left out.  */
static void
test_prompt_parts (void)
{
  struct bb_h1_message m = { .headers_count = 1 };
  struct bb_request_info info;
  g_autoptr (GString) many = g_string_new ("");

  m.headers[0].name = bb_bytes_of ("x-prefix-hash");
  m.headers[0].value = bb_bytes_of ("5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
  bb_request_info_decode (&m, &info);
  g_assert_cmpuint (info.shared_parts_count, ==, 2);
  g_assert_true (bb_bytes_equal (info.shared_parts[0], "5c1e07a2"));
  g_assert_true (bb_bytes_equal (info.shared_parts[1], "91bd3f06"));
  m.headers[0].value = bb_bytes_of ("5c1e07a2:800");
  bb_request_info_decode (&m, &info);
  g_assert_cmpuint (info.shared_parts_count, ==, 0);
  m.headers[0].value = bb_bytes_of (",:3,a,,b");
  bb_request_info_decode (&m, &info);
  g_assert_cmpuint (info.shared_parts_count, ==, 1);
  g_assert_true (bb_bytes_equal (info.shared_parts[0], "a"));
  for (uint32_t i = 0; i < 100; i++)
    g_string_append_printf (many, "%x:1,", i);
  m.headers[0].value = bb_bytes_of (many->str);
  bb_request_info_decode (&m, &info);
  g_assert_cmpuint (info.shared_parts_count, ==, BB_SHARED_PARTS_MAX);
  m.headers_count = 0;
  bb_request_info_decode (&m, &info);
  g_assert_cmpuint (info.shared_parts_count, ==, 0);
}

static bool
is_newer (const char *key, const char *known, const char *value)
{
  g_autoptr (GBytes) a = g_bytes_new (known, strlen (known));
  g_autoptr (GBytes) b = g_bytes_new (value, strlen (value));

  return bb_item_is_newer (key, a, b);
}

/* What values tell of which was written later; nothing where they are
   malformed or say the same.  */
static void
test_newer_item (void)
{
  static const char ready[] = "{\"state\":\"ready\",\"born\":5,\"seq\":7}";
  static const char leaving[]
      = "{\"state\":\"draining\",\"born\":5,\"seq\":8}";

  g_assert_true (is_newer ("op/config", "{\"version\":4}", "{\"version\":9}"));
  g_assert_false (
      is_newer ("op/config", "{\"version\":9}", "{\"version\":4}"));
  g_assert_true (is_newer ("servers/i", ready, leaving));
  g_assert_false (is_newer ("servers/i", leaving, ready));
  g_assert_false (is_newer ("servers/i", ready, ready));
  g_assert_true (is_newer ("servers/i", leaving,
                           "{\"state\":\"ready\",\"born\":6,\"seq\":1}"));
  g_assert_true (is_newer ("servers/i", ready,
                           "{\"state\":\"ready\",\"born\":5,\"seq\":9}"));
  g_assert_false (is_newer ("servers/i", ready, "no JSON"));
  g_assert_false (is_newer ("op/evacuate/z", "{}", "{}"));
}

static void
test_retry_after (void)
{
  char text[BB_HEADER_TEXT_BYTES];

  g_assert_true (bb_bytes_equal (bb_retry_after (1250, text).value, "1.250"));
  g_assert_true (bb_bytes_equal (bb_retry_after (30, text).value, "0.030"));
}

struct rest_case
{
  uint16_t status;
  const char *retry_after;
  bb_ms rest_ms;
};

/* A Retry-After that is no number of seconds says nothing; none keeps an
   upstream away for more than BB_REST_MAX_MS.  */
static void
test_rest (void)
{
  static const struct rest_case cases[] = {
    { 503, "3", 3000 },
    { 503, " \t3 ", 3000 },
    { 503, "0.25", 250 },
    { 503, "1.0001", 1001 },
    { 503, "0.0000", 0 },
    { 503, "007", 7000 },
    { 503, "600", BB_REST_MAX_MS },
    { 503, "600.001", BB_REST_MAX_MS },
    { 503, "601", BB_REST_MAX_MS },
    { 503, "9223372036854775807", BB_REST_MAX_MS },
    { 503, "99999999999999999999999999999999999999.9", BB_REST_MAX_MS },
    { 503, "0", 0 },
    { 503, "", 0 },
    { 503, " ", 0 },
    { 503, "-3", 0 },
    { 503, "+3", 0 },
    { 503, ".5", 0 },
    { 503, "3.", 0 },
    { 503, ".", 0 },
    { 503, "1.2.3", 0 },
    { 503, "3 4", 0 },
    { 503, "3, 4", 0 },
    { 503, "3s", 0 },
    { 503, "1e3", 0 },
    { 503, "0x10", 0 },
    { 503, "inf", 0 },
    { 503, "nan", 0 },
    { 503, "soon", 0 },
    { 503, "Fri, 04 Dec 2026 12:00:00 GMT", 0 },
    { 200, "3", 0 },
    { 429, "3", 0 },
    { 421, "3", 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct bb_h1_message m
          = { .status = cases[i].status, .headers_count = 1 };
      struct bb_response_info info;
      m.headers[0] = (struct bb_header){ bb_bytes_of ("retry-after"),
                                         bb_bytes_of (cases[i].retry_after) };
      g_test_message ("%u \"%s\"", cases[i].status, cases[i].retry_after);
      bb_response_info_decode (&m, bb_bytes_of (""), &info);
      g_assert_cmpint (info.rest_ms, ==, cases[i].rest_ms);
    }
}

struct limit_case
{
  uint16_t status;
  const char *limit; /* NULL: none is named */
  bool names;
  int64_t milli; /* -1: unreadable */
};

/* A limit is a decimal number, whatever the status; what is none says nothing,
   and a large one is bounded.  */
static void
test_limit (void)
{
  static const struct limit_case cases[] = {
    { 200, "2.1", true, 2100 },
    { 503, "2.1", true, 2100 },
    { 500, " 3\t", true, 3000 },
    { 200, "0", true, 0 },
    { 200, "0.0009", true, 0 },
    { 200, "0.05", true, 50 },
    { 200, "1.23456789", true, 1234 },
    { 200, "999999999999999999999999", true, BB_LIMIT_MAX_MILLI },
    { 200, "-1", true, -1 },
    { 200, "+1", true, -1 },
    { 200, "1e9", true, -1 },
    { 200, "nan", true, -1 },
    { 200, "inf", true, -1 },
    { 200, "0x10", true, -1 },
    { 200, "1,5", true, -1 },
    { 200, "1.2.3", true, -1 },
    { 200, ".5", true, -1 },
    { 200, "5.", true, -1 },
    { 200, "1 2", true, -1 },
    { 200, "", true, -1 },
    { 421, "2.1", false, -1 },
    { 200, NULL, false, -1 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct limit_case *c = &cases[i];
      struct bb_h1_message m
          = { .status = c->status, .headers_count = c->limit ? 1 : 0 };
      struct bb_response_info info;
      m.headers[0]
          = (struct bb_header){ bb_bytes_of ("server-limit"),
                                bb_bytes_of (c->limit ? c->limit : "") };
      g_test_message ("%u \"%s\"", c->status, c->limit);
      bb_response_info_decode (&m, bb_bytes_of (""), &info);
      g_assert_cmpint (info.names_limit, ==, c->names);
      g_assert_cmpint (info.limit_milli, ==, c->milli);
    }
}

/* An upstream leaves if it says so in any answer of its own.  */
static void
test_leaving (void)
{
  static const uint16_t statuses[] = { 200, 503, 500, 421 };

  for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
    {
      struct bb_h1_message m = { .status = statuses[i], .headers_count = 1 };
      struct bb_response_info info;
      m.headers[0] = (struct bb_header){ bb_bytes_of ("server-leaving"),
                                         bb_bytes_of ("1") };
      bb_response_info_decode (&m, bb_bytes_of (""), &info);
      g_assert_cmpint (info.leaving, ==, statuses[i] != 421);
      m.headers[0].value = bb_bytes_of ("0");
      bb_response_info_decode (&m, bb_bytes_of (""), &info);
      g_assert_false (info.leaving);
      m.headers_count = 0;
      bb_response_info_decode (&m, bb_bytes_of (""), &info);
      g_assert_false (info.leaving);
    }
}

static void
test_event_id (void)
{
  uint64_t id = 0;

  g_assert_true (bb_sse_event_id (bb_bytes_of ("id: 12\ndata: x\n\n"), &id));
  g_assert_cmpuint (id, ==, 12);
  g_assert_true (bb_sse_event_id (bb_bytes_of ("data: x\nid:7\r\n\n"), &id));
  g_assert_cmpuint (id, ==, 7);
  g_assert_false (bb_sse_event_id (bb_bytes_of ("data: id: 5\n\n"), &id));
  g_assert_false (bb_sse_event_id (bb_bytes_of ("id: x\n\n"), &id));
}

static void
test_order (void)
{
  static const uint16_t map[] = { 0, 2, 1, UINT16_MAX };
  struct bb_order o = { .op = BB_ORDER_PREPARE,
                        .version = 4,
                        .epoch = 1,
                        .fence = 9,
                        .map = map,
                        .sets = 1,
                        .ranks = 2,
                        .places = 2 };
  char *text = bb_order_encode (&o);

  g_assert_cmpstr (text, ==,
                   "{\"op\":\"prepare\",\"epoch\":1,\"fence\":9,\"version\":4,"
                   "\"map\":[[[0,2],[1]]]}");
  free (text);
  o.op = BB_ORDER_HOLD;
  o.step = 77;
  text = bb_order_encode (&o);
  g_assert_cmpstr (text, ==,
                   "{\"op\":\"hold\",\"epoch\":1,\"fence\":9,\"step\":77}");
  free (text);
  /* A fence withdraws the ARM of a version that no map has.  */
  o.op = BB_ORDER_FENCE;
  text = bb_order_encode (&o);
  g_assert_cmpstr (text, ==,
                   "{\"op\":\"disarm\",\"epoch\":1,\"fence\":9,"
                   "\"version\":9}");
  free (text);
}

/* An item never returns to an older revision, in whatever order its changes
   arrive.  */
static void
test_view (void)
{
  struct bb_view *v = bb_view_new ();
  GBytes *one = g_bytes_new_static ("1", 1);
  GHashTable *keys = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *missing;

  g_assert_true (bb_view_put (v, "a", one, 5));
  g_assert_false (bb_view_put (v, "a", one, 5));
  g_assert_false (bb_view_put (v, "a", NULL, 4));
  g_assert_true (bb_view_put (v, "b", one, 9));
  /* A listing does not show whether an item that is newer than it exists.  */
  missing = bb_view_missing (v, keys, 7);
  g_assert_cmpuint (missing->len, ==, 1);
  g_assert_cmpstr (g_ptr_array_index (missing, 0), ==, "a");
  g_ptr_array_unref (missing);
  g_assert_true (bb_view_put (v, "a", NULL, 7));
  g_assert_false (bb_view_put (v, "a", one, 6));
  g_hash_table_unref (keys);
  g_bytes_unref (one);
  bb_view_free (v);
}

/* The monotonic clock stops while a VM is suspended; both clocks run while
   only the process is stopped.  */
static void
test_pause_detector (void)
{
  struct bb_pause_detector d = { 0 };

  g_assert_cmpint (bb_pause_detector_check (&d, 1000, 5000, 400), ==, 0);
  g_assert_cmpint (bb_pause_detector_check (&d, 1050, 5050, 400), ==, 0);
  g_assert_cmpint (bb_pause_detector_check (&d, 1100, 8100, 400), ==, 3050);
  g_assert_cmpint (bb_pause_detector_check (&d, 1150, 8150, 400), ==, 0);
  g_assert_cmpint (bb_pause_detector_check (&d, 4150, 11150, 400), ==, 3000);
}

static bool
finds_route (struct bb_config *c, const char *host)
{
  return bb_config_find_route (c, bb_bytes_of (host), bb_bytes_of ("/a/1"))
         != NULL;
}

/* A host that is an IPv6 address matches its route, with a port or without
   one.  */
static void
test_route_host (void)
{
  static const char *const hosts[] = { "[fd00::1]", "example.org" };
  struct bb_config *c = bb_config_new ();

  for (size_t i = 0; i < G_N_ELEMENTS (hosts); i++)
    {
      struct bb_route *r = g_new0 (struct bb_route, 1);
      r->name = g_strdup ("r");
      r->host = g_strdup (hosts[i]);
      r->prefix = g_strdup ("/a/");
      bb_config_add_route (c, r);
    }
  g_assert_true (finds_route (c, "[fd00::1]"));
  g_assert_true (finds_route (c, "[FD00::1]:8080"));
  g_assert_true (finds_route (c, "example.org"));
  g_assert_true (finds_route (c, "example.org:80"));
  g_assert_false (finds_route (c, "[fd00::2]:8080"));
  g_assert_false (finds_route (c, "[fd00::1]8080"));
  g_assert_false (finds_route (c, "[fd00::1"));
  g_assert_false (finds_route (c, "["));
  g_assert_false (finds_route (c, ""));
  bb_config_unref (c);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform/start/read", test_settings);
  g_test_add_func ("/platform/start/faults", test_settings_errors);
  g_test_add_func ("/platform/headers", test_headers);
  g_test_add_func ("/platform/prompt-parts", test_prompt_parts);
  g_test_add_func ("/platform/newer-item", test_newer_item);
  g_test_add_func ("/platform/retry-after", test_retry_after);
  g_test_add_func ("/platform/rest", test_rest);
  g_test_add_func ("/platform/limit", test_limit);
  g_test_add_func ("/platform/leaving", test_leaving);
  g_test_add_func ("/platform/event-id", test_event_id);
  g_test_add_func ("/platform/order", test_order);
  g_test_add_func ("/platform/view", test_view);
  g_test_add_func ("/platform/wake", test_pause_detector);
  g_test_add_func ("/platform/route-host", test_route_host);
  return g_test_run ();
}
