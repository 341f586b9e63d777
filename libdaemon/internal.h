#ifndef DAEMON_INTERNAL_H
#define DAEMON_INTERNAL_H

#include "bilberry/daemon.h"

/* What the command line gave.  */
struct options
{
  char config_dir[4096];
  char name[128];
  uint32_t drain_ms;
};

/* Parses the command line.  Returns -1 to go on, else the exit status.  */
int options_parse (int argc, char **argv, const char *program,
                   struct options *o);

/* Reads the folder for the first time; false with log lines on faults.  */
bool config_load_first (struct bb_daemon *d);

/* Watches the folder and puts accepted changes in force.  */
void config_watch (struct bb_daemon *d);

/* Opens the operator listener at ADDRESS.  */
bool operator_open (struct bb_daemon *d, const char *address);

#endif
