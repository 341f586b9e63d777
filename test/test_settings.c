/* Tests of settings: each case is a scripted run in test/settings/NAME.in
   with its expected output in NAME.out.

   A script holds files, each headed by a line "== NAME", that are checked as
   one folder.  The output is the faults, or the merged settings.  */

#include "bilberry/settings.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

static void
add_file (GArray *files, const char *name, const char *data, size_t size)
{
  struct bb_file f = { .name = g_strdup (name),
                       .data = g_memdup2 (data, size + 1),
                       .size = size };

  g_array_append_val (files, f);
}

/* Splits a script into files.  */
static GArray *
parse_script (const char *text, size_t size)
{
  GArray *files = g_array_new (FALSE, FALSE, sizeof (struct bb_file));
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
run_script (const char *text, size_t size)
{
  GArray *list = parse_script (text, size);
  struct bb_files files
      = { .files = (struct bb_file *)list->data, .count = list->len };
  struct bb_faults faults = { 0 };
  char *shown = bb_settings_show (&files, &faults);
  GString *out = g_string_new (shown);

  for (size_t i = 0; i < faults.count; i++)
    g_string_append_printf (out, "%s\n", faults.lines[i]);
  free (shown);
  bb_faults_free (&faults);
  for (guint i = 0; i < list->len; i++)
    {
      g_free (files.files[i].name);
      g_free (files.files[i].data);
    }
  g_array_free (list, TRUE);
  return g_string_free (out, FALSE);
}

static void
test_script (gconstpointer arg)
{
  const char *path = arg;
  char *base = g_strndup (path, strlen (path) - 3);
  char *out_path = g_strconcat (base, ".out", NULL);
  char *script = NULL;
  char *expected = NULL;
  char *got;
  gsize size;

  g_assert_true (g_file_get_contents (path, &script, &size, NULL));
  g_assert_true (g_file_get_contents (out_path, &expected, NULL, NULL));
  got = run_script (script, size);
  g_assert_cmpstr (got, ==, expected);
  g_free (got);
  g_free (expected);
  g_free (script);
  g_free (out_path);
  g_free (base);
}

static void
add_scripts (const char *folder)
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
                                 test_script, g_free);
      g_free (test);
    }
  g_dir_close (dir);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  add_scripts ("test/settings");
  return g_test_run ();
}
