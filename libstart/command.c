/* Command line of the programs that run on the platform.  */

#include "bilberry/start.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

/* Returns the settings at PATH, or NULL after a message on standard error
   where they cannot be read or CHECK_SETTINGS rejects them.  */
static struct bb_process_settings *
read_settings (const char *path, const char *program,
               bb_start_check *check_settings)
{
  char *why = NULL;
  struct bb_process_settings *s = bb_process_settings_read (path, &why);
  const char *problem = s ? check_settings (s) : NULL;

  if (s && !problem)
    return s;
  fprintf (stderr, "%s: %s: %s\n", program, path, problem ? problem : why);
  g_free (why);
  bb_process_settings_free (s);
  return NULL;
}

static bool
is_valid_port (const struct arg_int *a)
{
  return a->count == 0 || (a->ival[0] > 0 && a->ival[0] <= UINT16_MAX);
}

struct bb_process_settings *
bb_start_parse_args (int argc, char **argv, const char *program,
                     bb_start_check *check_settings, char **path, int *status)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help and exit");
  struct arg_lit *version
      = arg_lit0 ("V", "version", "print the version and exit");
  struct arg_lit *check
      = arg_lit0 (NULL, "check", "check the settings and exit");
  struct arg_file *file
      = arg_file0 ("s", "settings", "FILE",
                   "settings file; by default, the environment names it");
  struct arg_int *metrics
      = arg_int0 ("m", "metrics", "PORT", "also serve /metrics on this port");
  struct arg_end *end = arg_end (5);
  void *table[] = { help, version, check, file, metrics, end };
  int error_count = arg_parse (argc, argv, table);
  const char *settings_path
      = file->count > 0 ? file->filename[0] : bb_process_settings_path ();
  struct bb_process_settings *s = NULL;

  *path = g_strdup (settings_path);
  *status = EXIT_SUCCESS;
  if (help->count > 0)
    {
      printf ("Usage: %s", program);
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
    }
  else if (version->count > 0)
    printf ("%s %s\n", program, BB_VERSION);
  else if (error_count > 0 || !settings_path || !is_valid_port (metrics))
    {
      arg_print_errors (stderr, end, program);
      if (!settings_path)
        fprintf (stderr, "%s: no settings file is given\n", program);
      if (!is_valid_port (metrics))
        fprintf (stderr, "%s: --metrics needs a port number\n", program);
      fprintf (stderr, "Usage: %s", program);
      arg_print_syntax (stderr, table, "\n");
      *status = 2;
    }
  else
    {
      s = read_settings (settings_path, program, check_settings);
      *status = s ? EXIT_SUCCESS : EXIT_FAILURE;
    }
  if (s && metrics->count > 0)
    s->metrics_port = (uint32_t)metrics->ival[0];
  if (s && check->count > 0)
    {
      bb_process_settings_free (s);
      s = NULL;
    }
  arg_freetable (table, sizeof table / sizeof *table);
  return s;
}
