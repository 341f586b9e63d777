/* Tests of the decoding of configurations in steps, against that of the whole
   text by the JSON library.  */

#include "bilberry/platform.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

enum
{
  DOCUMENTS = 3000,
  ROUTES_MAX = 12
};

static const char not_json[] = "the configuration is no JSON object";

static void
append_space (GString *s, GRand *rand)
{
  static const char *const spaces[] = { "", "", "", " ", "\n\t", "\r\n " };

  g_string_append (s,
                   spaces[g_rand_int_range (rand, 0, G_N_ELEMENTS (spaces))]);
}

static void
append_route (GString *s, GRand *rand, uint32_t number)
{
  static const char *const extras[]
      = { "", ",\"note\":\"a \\\"quoted\\\" {brace} \\\\\"",
          ",\"split\":[{\"service\":\"app\",\"weight\":2},{\"service\":"
          "\"other\",\"weight\":1}]",
          ",\"note\":[[],{\"x\":\"]}\"}]" };

  append_space (s, rand);
  g_string_append_printf (
      s,
      "{\"name\":\"r%u\",\"host\":\"h\",\"prefix\":\"/%u/\",\"route-kind\":"
      "\"idempotent\",\"service\":\"app\"%s}",
      number, number,
      extras[g_rand_int_range (rand, 0, G_N_ELEMENTS (extras))]);
  append_space (s, rand);
}

static void
append_routes (GString *s, GRand *rand)
{
  uint32_t n = (uint32_t)g_rand_int_range (rand, 0, ROUTES_MAX);

  g_string_append (s, "\"routes\":");
  append_space (s, rand);
  g_string_append_c (s, '[');
  for (uint32_t i = 0; i < n; i++)
    {
      if (i > 0)
        g_string_append_c (s, ',');
      append_route (s, rand, (uint32_t)g_rand_int_range (rand, 0, 1000));
    }
  append_space (s, rand);
  g_string_append_c (s, ']');
}

/* Returns a configuration with its members in a random order, some of them
   twice or not at all.  */
static GString *
make_document (GRand *rand)
{
  static const char *const members[]
      = { "\"version\":7",
          "\"services\":[{\"name\":\"app\"}]",
          "\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"k\"]}]",
          "\"limits\":{\"max-body-bytes\":10}",
          "\"other\":[1,{\"routes\":[]},\"}\"]",
          "\"routes\":null" };
  GString *s = g_string_new ("");
  uint32_t n = (uint32_t)g_rand_int_range (rand, 0, 8);

  append_space (s, rand);
  g_string_append_c (s, '{');
  for (uint32_t i = 0; i < n; i++)
    {
      uint32_t k
          = (uint32_t)g_rand_int_range (rand, 0, G_N_ELEMENTS (members) + 6);
      if (i > 0)
        g_string_append_c (s, ',');
      append_space (s, rand);
      if (k < G_N_ELEMENTS (members))
        g_string_append (s, members[k]);
      else
        append_routes (s, rand);
      append_space (s, rand);
    }
  g_string_append_c (s, '}');
  append_space (s, rand);
  return s;
}

/* Changes, removes or inserts a few bytes.  */
static void
damage (GString *s, GRand *rand)
{
  static const char bytes[] = "{}[],:\"\\ 1x\x80";

  for (uint32_t i = 0; i < 1 + g_rand_int (rand) % 3 && s->len > 0; i++)
    {
      gsize at = (gsize)g_rand_int_range (rand, 0, (gint)s->len);
      char c = bytes[g_rand_int_range (rand, 0, sizeof bytes - 1)];
      switch (g_rand_int_range (rand, 0, 4))
        {
        case 0:
          s->str[at] = c;
          break;
        case 1:
          g_string_erase (s, (gssize)at, 1);
          break;
        case 2:
          g_string_insert_c (s, (gssize)at, c);
          break;
        default:
          g_string_truncate (s, at);
        }
    }
}

static struct bb_config *
decode_in_steps (GBytes *value, struct bb_config *before, size_t bytes,
                 const char **why)
{
  struct bb_config_decoder *d = bb_config_decoder_new (value, 1, before);

  while (!bb_config_decoder_step (d, bytes))
    ;
  return bb_config_decoder_end (d, why);
}

/* Asserts that C has the routes that the JSON library finds in O.  */
static void
check_routes (const struct bb_config *c, const json_t *o)
{
  const json_t *list = json_object_get (o, "routes");

  g_assert_cmpuint (c->routes->len, ==, json_array_size (list));
  for (guint i = 0; i < c->routes->len; i++)
    {
      const struct bb_route *r = g_ptr_array_index (c->routes, i);
      const char *name = json_string_value (
          json_object_get (json_array_get (list, i), "name"));
      g_assert_cmpstr (r->name, ==, name ? name : "");
    }
}

/* Decodes S, in steps, after BEFORE, and compares.  Returns the result, which
   may be NULL.  */
static struct bb_config *
check_document (const GString *s, struct bb_config *before, size_t bytes)
{
  g_autoptr (GBytes) value = g_bytes_new (s->str, s->len);
  json_error_t e;
  json_t *o = s->len > 0 ? json_loadb (s->str, s->len, 0, &e) : NULL;
  const char *why = NULL;
  struct bb_config *c = decode_in_steps (value, before, bytes, &why);

  g_assert_true ((c != NULL) != (why != NULL));
  if (!json_is_object (o))
    g_assert_null (c);
  else if (c)
    check_routes (c, o);
  else
    g_assert_cmpstr (why, !=, not_json);
  json_decref (o);
  return c;
}

static void
test_naive (void)
{
  GRand *rand = g_rand_new_with_seed (1);
  struct bb_config *before = NULL;
  uint32_t accepted = 0;

  for (uint32_t i = 0; i < DOCUMENTS; i++)
    {
      GString *s = make_document (rand);
      struct bb_config *c;
      if (i % 3 == 0)
        damage (s, rand);
      c = check_document (s, before, (size_t)g_rand_int_range (rand, 1, 2000));
      accepted += c != NULL;
      if (c)
        {
          bb_config_unref (before);
          before = c;
        }
      g_string_free (s, TRUE);
    }
  bb_config_unref (before);
  g_test_message ("%u of %u accepted", accepted, DOCUMENTS);
  g_assert_cmpuint (accepted, >, DOCUMENTS / 10);
  g_rand_free (rand);
}

static GBytes *
make_config (int version, const char *changed)
{
  char *text = g_strdup_printf (
      "{\"version\":%d,\"routes\":["
      "{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/a/\",\"route-kind\":"
      "\"idempotent\",\"service\":\"app\"},"
      "{\"name\":\"b\",\"host\":\"h\",\"prefix\":\"/b/\",\"route-kind\":"
      "\"idempotent\",\"service\":\"%s\"}],\"services\":[]}",
      version, changed);

  return g_bytes_new_take (text, strlen (text));
}

/* A route that did not change is taken over, and outlives the configuration
   that had it first; one that changed is not.  */
static void
test_reuse (void)
{
  g_autoptr (GBytes) first_text = make_config (1, "app");
  g_autoptr (GBytes) second_text = make_config (2, "other");
  const char *why = NULL;
  struct bb_config *first = bb_config_decode (first_text, 1, &why);
  struct bb_config *second
      = decode_in_steps (second_text, first, SIZE_MAX, &why);
  const struct bb_route *a = g_ptr_array_index (second->routes, 0);
  const struct bb_route *b = g_ptr_array_index (second->routes, 1);

  g_assert_true (a == g_ptr_array_index (first->routes, 0));
  g_assert_true (b != g_ptr_array_index (first->routes, 1));
  g_assert_cmpuint (second->version, ==, 2);
  bb_config_unref (first);
  g_assert_cmpstr (a->name, ==, "a");
  g_assert_cmpstr (b->split[0].pool, ==, "other");
  g_assert_true (
      bb_config_find_route (second, bb_bytes_of ("h"), bb_bytes_of ("/a/1"))
      == a);
  bb_config_unref (second);
}

/* One that is ended before all is decoded gives no configuration.  */
static void
test_ended (void)
{
  g_autoptr (GBytes) text = make_config (1, "app");
  struct bb_config_decoder *d = bb_config_decoder_new (text, 1, NULL);
  const char *why = NULL;

  g_assert_false (bb_config_decoder_step (d, 1));
  g_assert_null (bb_config_decoder_end (d, &why));
  g_assert_nonnull (why);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/config-decoder/naive", test_naive);
  g_test_add_func ("/config-decoder/reuse", test_reuse);
  g_test_add_func ("/config-decoder/ended", test_ended);
  return g_test_run ();
}
