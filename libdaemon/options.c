/* The command line that all daemons share.  */

#include "internal.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#ifndef BB_VERSION
#define BB_VERSION "0.1.0"
#endif

enum
{
  DRAIN_DEFAULT_S = 60
};

/* Sets the level and format of the log.  Returns -1 on success, or the exit
   status 2 for an unknown level or format.  */
static int
apply_log_options (const struct arg_str *level, const struct arg_str *format,
                   const char *program)
{
  enum bb_log_level l;

  if (!bb_log_level_parse (level->sval[0], &l))
    {
      fprintf (stderr,
               "%s: unknown log level '%s'; use error, warn, info or debug\n",
               program, level->sval[0]);
      return 2;
    }
  bb_log_set_level (l);
  if (strcmp (format->sval[0], "json") == 0)
    bb_log_set_json (true);
  else if (strcmp (format->sval[0], "text") != 0)
    {
      fprintf (stderr, "%s: unknown log format '%s'; use text or json\n",
               program, format->sval[0]);
      return 2;
    }
  return -1;
}

int
options_parse (int argc, char **argv, const char *program, struct options *o)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help and exit");
  struct arg_lit *version
      = arg_lit0 ("V", "version", "print the version and exit");
  struct arg_str *config = arg_str1 ("c", "config", "DIR", "settings folder");
  struct arg_str *name
      = arg_str1 ("n", "name", "NAME", "name of this process in the settings");
  struct arg_int *drain
      = arg_int0 (NULL, "drain", "SECONDS",
                  "maximum time of graceful shutdown (default 60)");
  struct arg_str *level
      = arg_str0 (NULL, "log-level", "LEVEL", "error, warn, info or debug");
  struct arg_str *format
      = arg_str0 (NULL, "log-format", "FORMAT", "text or json");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, version, config, name, drain, level, format, end };
  int errors;
  int rc = -1;

  level->sval[0] = "info";
  format->sval[0] = "text";
  drain->ival[0] = DRAIN_DEFAULT_S;
  errors = arg_parse (argc, argv, table);
  if (help->count > 0)
    {
      printf ("Usage: %s", program);
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      rc = 0;
    }
  else if (version->count > 0)
    {
      printf ("%s %s\n", program, BB_VERSION);
      rc = 0;
    }
  else if (errors > 0 || drain->ival[0] < 0)
    {
      arg_print_errors (stderr, end, program);
      fprintf (stderr, "Usage: %s", program);
      arg_print_syntax (stderr, table, "\n");
      rc = 2;
    }
  else
    rc = apply_log_options (level, format, program);
  if (rc < 0)
    {
      snprintf (o->config_dir, sizeof o->config_dir, "%s", config->sval[0]);
      snprintf (o->name, sizeof o->name, "%s", name->sval[0]);
      o->drain_timeout_ms = (uint32_t)drain->ival[0] * 1000;
    }
  arg_freetable (table, sizeof table / sizeof *table);
  return rc;
}
