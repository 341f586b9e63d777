/* Tests of the programs bilberry trace and bilberry plan.  */

#include <glib.h>
#include <glib/gstdio.h>
#include <sys/wait.h>

static char *
program_path (void)
{
  const char *dir = g_getenv ("BILBERRY_BUILD");

  return g_build_filename (dir ? dir : "build", "bilberry", NULL);
}

/* Runs bilberry with the arguments from ARGV[1] on; sets ARGV[0] itself.
   Returns the exit status and sets *OUT to the standard output.  */
static int
run_program (char **argv, char **out)
{
  GError *error = NULL;
  int status = 0;
  char *err = NULL;

  argv[0] = program_path ();
  g_spawn_sync (NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, out, &err,
                &status, &error);
  g_assert_no_error (error);
  g_free (argv[0]);
  g_free (err);
  return WEXITSTATUS (status);
}

/* Writes a trace generated with a fixed seed to a temporary file.  Returns its
   path, which the caller removes and frees.  */
static char *
write_trace (void)
{
  char *argv[] = { NULL,
                   "trace",
                   "--layers=2",
                   "--experts=8",
                   "--ranks=4",
                   "--slots=3",
                   "--intervals=20",
                   "--tokens=100000",
                   "--seed=3",
                   "evening",
                   NULL };
  char *text = NULL;
  char *path = NULL;
  int fd;

  g_assert_cmpint (run_program (argv, &text), ==, 0);
  fd = g_file_open_tmp ("trace-XXXXXX", &path, NULL);
  g_assert_cmpint (fd, >=, 0);
  g_close (fd, NULL);
  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  g_free (text);
  return path;
}

/* The plan for a fixed trace must match the stored output byte for byte.  */
static void
test_plan (void)
{
  char *path = write_trace ();
  char *argv[] = { NULL, "plan", "--map", path, NULL };
  char *text = NULL;
  char *expected = NULL;

  g_assert_cmpint (run_program (argv, &text), ==, 0);
  g_assert_true (
      g_file_get_contents ("test/map/plan.out", &expected, NULL, NULL));
  g_assert_cmpstr (text, ==, expected);
  g_unlink (path);
  g_free (expected);
  g_free (text);
  g_free (path);
}

/* Bad files and bad arguments give their exit status and print nothing to
   standard output.  */
static void
test_faults (void)
{
  char *no_file[] = { NULL, "plan", "/nonexistent", NULL };
  char *not_a_trace[] = { NULL, "plan", "README.md", NULL };
  char *no_argument[] = { NULL, "plan", NULL };
  char *bad_kind[] = { NULL, "trace", "weekly", NULL };
  char *too_few_slots[] = { NULL,        "trace",  "--experts=9", "--ranks=2",
                            "--slots=4", "steady", NULL };
  char **cases[]
      = { no_file, not_a_trace, no_argument, bad_kind, too_few_slots };
  static const int expected[] = { 1, 1, 2, 2, 2 };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *text = NULL;
      g_assert_cmpint (run_program (cases[i], &text), ==, expected[i]);
      g_assert_cmpstr (text, ==, "");
      g_free (text);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/command/plan", test_plan);
  g_test_add_func ("/command/faults", test_faults);
  return g_test_run ();
}
