#ifndef BILBERRY_START_H
#define BILBERRY_START_H

/* libstart - command line and settings of the programs that run on the
   platform.  Link with -lstart -lplatform -lh1 -largtable2.  */

#include "bilberry/h1.h"
#include "bilberry/platform.h"

#ifndef BB_VERSION
#define BB_VERSION "0.1.0"
#endif

/* What a program needs of its settings.  Returns what is missing, a constant
   sentence, or NULL.  */
typedef const char *bb_start_check (const struct bb_process_settings *s);

/* Reads the command line and the settings that it, or the environment, names.
   Returns the settings, or NULL with the exit status of the program in
   *STATUS: 0 after --help, --version or a --check that found nothing, 1 after
   one that did or settings that cannot be used, 2 on bad usage.  *PATH, where
   the settings are, is the caller's to free.  */
struct bb_process_settings *
bb_start_parse_args (int argc, char **argv, const char *program,
                     bb_start_check *check_settings, char **path, int *status);

/* Answers X where it asks for /metrics.  Returns whether it did.  */
bool bb_metrics_respond (struct bb_h1_exchange *x);

/* Serves /metrics on the port of the command line, if any.  False with a log
   line where it cannot listen.  */
bool bb_metrics_listen (uv_loop_t *loop, const struct bb_process_settings *s);

/* Tells pauses of the process by two clocks: a suspended VM stops the steady
   clock, a frozen process neither.  */
struct bb_pause_detector
{
  bb_ms checked_ms;     /* steady clock; 0 before the first look */
  bb_ms boot_offset_ms; /* boot clock less steady clock */
};

/* Returns for how long the process was paused since the last look, 0 where it
   was looked at within LONGEST_MS.  */
bb_ms bb_pause_detector_check (struct bb_pause_detector *d, bb_ms steady_ms,
                               bb_ms boot_ms, bb_ms threshold_ms);

#endif
