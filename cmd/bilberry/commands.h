#ifndef COMMANDS_H
#define COMMANDS_H

#ifndef BB_VERSION
#define BB_VERSION "0.1.0"
#endif

/* A subcommand of bilberry.  */
struct command
{
  const char *name;
  const char *usage; /* synopsis, without "bilberry" */
  const char *help;
  int (*run) (int argc, char **argv);
};

/* Each runs the subcommand of its name with its ARGC arguments ARGV, of which
   the first is that name.  Returns the exit status: 0 for success, 1 for an
   error, 2 for bad usage.  */
int command_check (int argc, char **argv);
int command_show (int argc, char **argv);
int command_plan (int argc, char **argv);
int command_trace (int argc, char **argv);
int command_stat (int argc, char **argv);

/* settings.c */
/* Checks the settings folder at PATH and prints its faults.  Returns the exit
   status.  */
int check_settings_folder (const char *path);

#endif
