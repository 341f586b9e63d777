/* bilberry - command-line tool for operators: checks settings, prints the
   status of processes and plans expert maps.  */

#include "commands.h"

#include <stdio.h>
#include <string.h>

static const struct command commands[] = {
  { "check", "check DIR | [OPTION...] FILE",
    "check a settings folder or a configuration", command_check },
  { "show", "show DIR", "print the merged settings", command_show },
  { "plan", "plan [OPTION...] TRACE", "plan an expert map", command_plan },
  { "trace", "trace [OPTION...] KIND", "generate an expert popularity trace",
    command_trace },
  { "stat", "stat ADDRESS:PORT", "print the status of a process",
    command_stat },
};

static void
print_usage (FILE *out)
{
  fputs ("Usage: bilberry COMMAND [ARGUMENT...]\n", out);
  for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
    fprintf (out, "  bilberry %-24s %s\n", commands[i].usage,
             commands[i].help);
  fputs ("  bilberry --help | --version\n", out);
}

int
main (int argc, char **argv)
{
  if (argc > 1 && (strcmp (argv[1], "--help") == 0))
    {
      print_usage (stdout);
      return 0;
    }
  if (argc > 1 && (strcmp (argv[1], "--version") == 0))
    {
      puts ("bilberry " BB_VERSION);
      return 0;
    }
  for (size_t i = 0; argc > 1 && i < sizeof commands / sizeof *commands; i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      return commands[i].run (argc - 1, argv + 1);
  if (argc > 1)
    fprintf (stderr, "bilberry: unknown command '%s'\n", argv[1]);
  print_usage (stderr);
  return 2;
}
