#ifndef COMMANDS_H
#define COMMANDS_H

#ifndef BB_VERSION
#define BB_VERSION "0.1.0"
#endif

struct command
{
  const char *name;
  const char *usage;
  const char *help;
  int (*run) (int argc, char **argv);
};

/* Each runs one command and returns the exit status: 0 good, 1 fault, 2 bad
   usage.  argv[0] is the name of the command.  */
int command_check (int argc, char **argv);
int command_show (int argc, char **argv);
int command_plan (int argc, char **argv);
int command_trace (int argc, char **argv);
int command_stat (int argc, char **argv);

#endif
