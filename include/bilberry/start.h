#ifndef BILBERRY_START_H
#define BILBERRY_START_H

/* libstart - command line, /metrics and pause detection of the programs that
   run on the platform.  Link with -lstart -lplatform -lh1 -largtable2.  */

#include "bilberry/h1.h"
#include "bilberry/platform.h"

#ifndef BB_VERSION
#define BB_VERSION "0.1.0"
#endif

/* Checks what a program requires of its settings S.  Returns a constant
   sentence that says what is wrong, or NULL.  */
typedef const char *bb_start_check (const struct bb_process_settings *s);

/* Parses the command line of PROGRAM, then reads the settings file that it
   names, or else the environment, and checks it by CHECK_SETTINGS.  Messages
   go to standard error, the output of --help and --version to standard
   output.

   Returns the settings, which the caller frees, or NULL where the program is
   to exit with *STATUS: 0 after --help, --version or --check of usable
   settings, 1 if the settings are not usable, 2 on wrong usage.  Sets *PATH
   to the path of the settings file, or NULL; the caller frees it.  */
struct bb_process_settings *
bb_start_parse_args (int argc, char **argv, const char *program,
                     bb_start_check *check_settings, char **path, int *status);

/* Answers X if it is a request for /metrics.  Returns whether it is.  */
bool bb_metrics_respond (struct bb_h1_exchange *x);

/* Serves /metrics on the port that the command line gives, if any.  Returns
   false after a log line where it cannot listen on the port.  */
bool bb_metrics_listen (uv_loop_t *loop, const struct bb_process_settings *s);

/* Detects pauses of the process by the clock.  The monotonic clock stops while
   a VM is suspended but not while the process alone is stopped; the boot clock
   runs in both cases.  */
struct bb_pause_detector
{
  bb_ms checked_ms;     /* monotonic time of the last check; 0: none yet */
  bb_ms boot_offset_ms; /* boot clock less monotonic clock at the last check */
};

/* Returns the time since the last check, by the boot clock, if it is longer
   than THRESHOLD_MS: the process was paused.  Returns 0 otherwise, and at the
   first check.  STEADY_MS is bb_clock_now, BOOT_MS is bb_clock_boot.  */
bb_ms bb_pause_detector_check (struct bb_pause_detector *d, bb_ms steady_ms,
                               bb_ms boot_ms, bb_ms threshold_ms);

#endif
