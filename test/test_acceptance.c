/* Tests that programs of different versions accept or refuse the same settings
   files alike.  If they did not, processes would use different settings while
   an upgrade is under way.  */

#include "bilberry/settings.h"

#include <glib.h>
#include <string.h>

enum
{
  BASE_FILES_COUNT = 3,
  TRIES = 2000,
  SCHEMA_MAX = 4 /* schema version of the newest program */
};

static const char *const base_files[BASE_FILES_COUNT] = {
  "failure_domains:\n  fd-a: {state: in}\n  fd-b: {state: out}\n",
  "upstreams:\n"
  "  u-1: {address: '127.0.0.1:1', agent: '127.0.0.1:2', "
  "failure_domain: fd-a, pool: p}\n"
  "entries:\n"
  "  e-1: {address: '127.0.0.1:3', operator: '127.0.0.1:4', "
  "failure_domain: fd-b}\n",
  "routes:\n  r: {path: /x, pool: p}\n",
};

static const char *const last_files[] = {
  "routes:\n  s: {path: /y, pool: p}\n",
  "schema: 1\n",
  "schema: 2\n",
  "schema: 3\n",
  "schema: 0\n",
  "schema: x\n",
  "platform: {vms: {address: '127.0.0.1:9'}}\n",
  "schema: 2\nplatform: {vms: {address: '127.0.0.1:9'}}\n",
  "entries:\n  e-1: {peer: '127.0.0.1:5'}\n",
  "schema: 2\nentries:\n  e-1: {peer: '127.0.0.1:5'}\n",
  "schema: 3\nentries:\n  e-1: {peer: '127.0.0.1:5'}\n",
  "entries:\n  e-1: {peers: '127.0.0.1:5'}\n",
};

static void
make_files (struct bb_settings_files *files, const char *last)
{
  char name[32];

  files->count = BASE_FILES_COUNT + 1;
  files->files = g_new0 (struct bb_settings_file, files->count);
  for (uint32_t i = 0; i <= BASE_FILES_COUNT; i++)
    {
      struct bb_settings_file *f = &files->files[i];
      g_snprintf (name, sizeof name, "%u.yaml", i);
      f->name = strdup (name);
      f->data = strdup (i < BASE_FILES_COUNT ? base_files[i] : last);
      f->size = strlen (f->data);
    }
}

static void
free_files (struct bb_settings_files *files)
{
  for (size_t i = 0; i < files->count; i++)
    {
      free (files->files[i].name);
      free (files->files[i].data);
    }
  g_free (files->files);
}

static bool
accepts (const struct bb_settings_files *files, uint32_t schema_max)
{
  struct bb_settings_faults faults = { 0 };
  struct bb_settings *s
      = bb_settings_parse_for_schema (files, schema_max, &faults);
  bool accepted = s != NULL;

  g_assert_true (accepted == (faults.count == 0));
  bb_settings_free (s);
  bb_settings_faults_free (&faults);
  return accepted;
}

/* Returns the schema version that LAST declares in its first line, or 1.  */
static uint32_t
declared_schema (const char *last)
{
  return last[0] == 's' && last[8] >= '1' && last[8] <= '9'
             ? (uint32_t)(last[8] - '0')
             : 1;
}

/* Checks that all programs that support SCHEMA agree about FILES, and that
   older ones refuse them.  */
static void
assert_same_result (const struct bb_settings_files *files, uint32_t schema)
{
  bool expected = accepts (files, schema);

  for (uint32_t schema_max = schema; schema_max <= SCHEMA_MAX; schema_max++)
    g_assert_true (accepts (files, schema_max) == expected);
  for (uint32_t schema_max = 1; schema_max < schema; schema_max++)
    g_assert_false (accepts (files, schema_max));
}

static void
test_versions (void)
{
  static const bool expected[] = { true,  true, true,  true, false, false,
                                   false, true, false, true, true,  false };

  for (uint32_t i = 0; i < G_N_ELEMENTS (last_files); i++)
    {
      struct bb_settings_files files;
      make_files (&files, last_files[i]);
      g_assert_true (accepts (&files, SCHEMA_MAX) == expected[i]);
      assert_same_result (&files, declared_schema (last_files[i]));
      free_files (&files);
    }
}

/* Files with one random character replaced: all programs that support the
   declared schema version still agree.  */
static void
test_damaged (void)
{
  GRand *rand = g_rand_new_with_seed (20);

  for (uint32_t n = 0; n < TRIES; n++)
    {
      const char *last = last_files[g_rand_int_range (
          rand, 0, (gint32)G_N_ELEMENTS (last_files) - 1)];
      struct bb_settings_files files;
      struct bb_settings_file *f;
      make_files (&files, last);
      f = &files.files[g_rand_int_range (rand, 0, BASE_FILES_COUNT)];
      f->data[g_rand_int_range (rand, 0, (gint32)f->size)]
          = (char)g_rand_int_range (rand, ' ', '~');
      assert_same_result (&files, declared_schema (last));
      free_files (&files);
    }
  g_rand_free (rand);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/acceptance/versions", test_versions);
  g_test_add_func ("/acceptance/damaged", test_damaged);
  return g_test_run ();
}
