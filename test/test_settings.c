/* Tests of settings.  Each case has an input in test/settings/NAME.in and the
   expected output in NAME.out.

   The input holds the files of a settings folder, each after a line "== NAME".
   The output is the merged settings, or the faults if the files are not
   valid.  */

#include "bilberry/settings.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

static void
add_file (GArray *files, const char *name, const char *data, size_t size)
{
  struct bb_settings_file f = { .name = g_strdup (name),
                                .data = g_memdup2 (data, size + 1),
                                .size = size };

  g_array_append_val (files, f);
}

/* Splits the input of a case into files.  */
static GArray *
split_files (const char *text, size_t size)
{
  GArray *files = g_array_new (FALSE, FALSE, sizeof (struct bb_settings_file));
  const char *end = text + size;

  while (text < end && strncmp (text, "== ", 3) == 0)
    {
      const char *line_end = memchr (text, '\n', (size_t)(end - text));
      char *name = g_strndup (text + 3, (size_t)(line_end - text - 3));
      const char *data = line_end + 1;
      const char *next = g_strstr_len (data - 1, end - data + 1, "\n== ");
      next = next ? next + 1 : end;
      add_file (files, name, data, (size_t)(next - data));
      g_free (name);
      text = next;
    }
  return files;
}

static char *
format_result (const char *text, size_t size)
{
  GArray *list = split_files (text, size);
  struct bb_settings_files files
      = { .files = (struct bb_settings_file *)list->data, .count = list->len };
  struct bb_settings_faults faults = { 0 };
  char *shown = bb_settings_to_yaml (&files, &faults);
  GString *out = g_string_new (shown);

  for (size_t i = 0; i < faults.count; i++)
    g_string_append_printf (out, "%s\n", faults.lines[i]);
  free (shown);
  bb_settings_faults_free (&faults);
  for (guint i = 0; i < list->len; i++)
    {
      g_free (files.files[i].name);
      g_free (files.files[i].data);
    }
  g_array_free (list, TRUE);
  return g_string_free (out, FALSE);
}

static void
test_case (gconstpointer arg)
{
  const char *input_path = arg;
  char *base = g_strndup (input_path, strlen (input_path) - 3);
  char *expected_path = g_strconcat (base, ".out", NULL);
  char *input = NULL;
  char *expected = NULL;
  char *got;
  gsize size;

  g_assert_true (g_file_get_contents (input_path, &input, &size, NULL));
  g_assert_true (g_file_get_contents (expected_path, &expected, NULL, NULL));
  got = format_result (input, size);
  g_assert_cmpstr (got, ==, expected);
  g_free (got);
  g_free (expected);
  g_free (input);
  g_free (expected_path);
  g_free (base);
}

static const char *
random_text (GRand *r, char *out)
{
  static const char *const pieces[]
      = { "a",        "B",       "7",     " ", "'", "\\\"", "\\n",
          "#",        ": ",      "-",     "*", "&", "\\\\", "{",
          "\xc3\xa9", "\\u2028", "\\x85", "%", "~", "null" };
  char *at = g_stpcpy (out, "x");

  for (int n = g_rand_int_range (r, 0, 8); n > 0; n--)
    at = g_stpcpy (at, pieces[g_rand_int_range (r, 0, G_N_ELEMENTS (pieces))]);
  return out;
}

/* Returns settings with random names and values in double quotes, some of them
   with characters that YAML must quote or escape.  */
static char *
random_settings (GRand *r)
{
  GString *out = g_string_new ("failure_domains: {fd: {}}\nupstreams:\n");
  char a[128];
  char b[128];
  char c[128];

  for (int i = 0; i < 5; i++)
    g_string_append_printf (
        out,
        "  \"%s%d\": {address: '127.0.0.1:1', agent: '[::1]:2', "
        "failure_domain: fd, pool: \"%s\", model: \"%s\", limit: %d}\n",
        random_text (r, a), i, random_text (r, b), random_text (r, c),
        g_rand_int_range (r, 1, 100));
  return g_string_free (out, FALSE);
}

static struct bb_settings *
parse_settings (char *text, struct bb_settings_file *file)
{
  struct bb_settings_files files = { .files = file, .count = 1 };
  struct bb_settings_faults faults = { 0 };
  struct bb_settings *s;

  file->name = (char *)"1.yaml";
  file->data = text;
  file->size = strlen (text);
  s = bb_settings_parse (&files, &faults);
  for (size_t i = 0; i < faults.count; i++)
    g_test_message ("%s\n%s", faults.lines[i], text);
  g_assert_nonnull (s);
  return s;
}

/* The YAML output parses to the same settings.  */
static void
test_round_trip (void)
{
  GRand *r = g_rand_new_with_seed (7);

  for (int n = 0; n < 500; n++)
    {
      struct bb_settings_file file[2];
      struct bb_settings_files files = { .files = file, .count = 1 };
      struct bb_settings_faults faults = { 0 };
      char *text = random_settings (r);
      struct bb_settings *a = parse_settings (text, &file[0]);
      char *shown = bb_settings_to_yaml (&files, &faults);
      struct bb_settings *b = parse_settings (shown, &file[1]);
      g_assert_cmpuint (a->upstreams_count, ==, b->upstreams_count);
      for (uint32_t i = 0; i < a->upstreams_count; i++)
        {
          const struct bb_upstream_settings *u = &a->upstreams[i];
          const struct bb_upstream_settings *v = &b->upstreams[i];
          g_assert_cmpstr (u->name, ==, v->name);
          g_assert_cmpstr (u->address, ==, v->address);
          g_assert_cmpstr (u->agent, ==, v->agent);
          g_assert_cmpstr (u->pool, ==, v->pool);
          g_assert_cmpstr (u->model, ==, v->model);
          g_assert_cmpuint (u->limit, ==, v->limit);
        }
      bb_settings_free (a);
      bb_settings_free (b);
      free (shown);
      g_free (text);
    }
  g_rand_free (r);
}

/* Checks that a file with TEXT is refused and that the first fault contains
   EXPECTED.  */
static void
assert_fault (char *text, const char *expected)
{
  struct bb_settings_file file
      = { .name = (char *)"1.yaml", .data = text, .size = strlen (text) };
  struct bb_settings_files files = { .files = &file, .count = 1 };
  struct bb_settings_faults faults = { 0 };

  g_assert_null (bb_settings_parse (&files, &faults));
  g_assert_nonnull (strstr (faults.lines[0], expected));
  bb_settings_faults_free (&faults);
}

/* Files that would take too much time or memory are refused: by size, number
   of anchors, and number of values after nested aliases are expanded.  */
static void
test_large (void)
{
  char *spaces = g_strnfill (1024 * 1024 + 1, '\n');
  GString *anchors = g_string_new ("a:\n");
  GString *nested_aliases = g_string_new ("a: &a0 [x,x,x,x,x,x,x,x,x,x]\n");

  assert_fault (spaces, "larger than a megabyte");
  for (int i = 0; i < 50000; i++)
    g_string_append_printf (anchors, "- &a%d x\n", i);
  assert_fault (anchors->str, "more than 100 anchors");
  for (int i = 1; i < 9; i++)
    g_string_append_printf (
        nested_aliases,
        "b%d: &a%d [*a%d,*a%d,*a%d,*a%d,*a%d,*a%d,*a%d,*a%d]\n", i, i, i - 1,
        i - 1, i - 1, i - 1, i - 1, i - 1, i - 1, i - 1);
  assert_fault (nested_aliases->str, "values; split it");
  g_free (spaces);
  g_string_free (anchors, TRUE);
  g_string_free (nested_aliases, TRUE);
}

/* An address is refused unless its port is a number from 1 to 65535 in digits
   alone.  */
static void
test_port (void)
{
  static const char *const good[]
      = { "127.0.0.1:1", "127.0.0.1:65535", "[::1]:8080", "127.0.0.1:0080" };
  static const char *const bad[]
      = { "127.0.0.1:",     "127.0.0.1: 80",
          "127.0.0.1:+80",  "127.0.0.1:-80",
          "127.0.0.1:\t80", "127.0.0.1:0",
          "127.0.0.1:000",  "127.0.0.1:65536",
          "127.0.0.1:80 ",  "127.0.0.1:80000000000000000000",
          "[::1]:0",        "127.0.0.1:0x50" };
  struct sockaddr_storage addr;

  for (uint32_t i = 0; i < G_N_ELEMENTS (good); i++)
    g_assert_true (bb_address_parse (good[i], &addr));
  for (uint32_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      g_test_message ("'%s'", bad[i]);
      g_assert_false (bb_address_parse (bad[i], &addr));
    }
}

static void
add_cases (const char *folder)
{
  GDir *dir = g_dir_open (folder, 0, NULL);
  const char *name;

  g_assert_nonnull (dir);
  while ((name = g_dir_read_name (dir)))
    {
      char *test;
      if (!g_str_has_suffix (name, ".in"))
        continue;
      test = g_strdup_printf ("/settings/%.*s", (int)strlen (name) - 3, name);
      g_test_add_data_func_full (test, g_build_filename (folder, name, NULL),
                                 test_case, g_free);
      g_free (test);
    }
  g_dir_close (dir);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  add_cases ("test/settings");
  g_test_add_func ("/settings/round-trip", test_round_trip);
  g_test_add_func ("/settings/large", test_large);
  g_test_add_func ("/settings/port", test_port);
  return g_test_run ();
}
