#ifndef BILBERRY_BASE_H
#define BILBERRY_BASE_H

/* libbase - clock, verdict, counters, histograms and log of every part.
   Link with -lbase -ljansson.  */

#include "bilberry/messages.h"

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A point in time or a span, in milliseconds.  Points count from an origin
   that the caller fixes: process start in daemons, zero in virtual time.  */
typedef int64_t bb_ms;

/* Returns the monotonic clock of the machine in ms.  */
bb_ms bb_clock_now (void);

/* Returns the clock of the machine in ms that also counts while it is
   suspended.  */
bb_ms bb_clock_boot (void);

/* How a request ended, and whether it may have run.  A request that is
   refused with BB_RUN_NOT_RUN has not reached any upstream.  */
struct bb_request_result
{
  uint8_t run;             /* enum bb_run */
  uint8_t reason;          /* enum bb_reason */
  uint32_t retry_after_ms; /* 0: asking again does not help */
};

/* Whether BYTES holds the same bytes as the string TEXT.  */
bool bb_bytes_equal (struct bb_bytes bytes, const char *text);

/* Makes bytes of the string TEXT; NULL makes empty bytes.  */
struct bb_bytes bb_bytes_of (const char *text);

/* Returns a copy of BYTES as a string, which the caller frees; empty bytes,
   which may have no address, make an empty one.  */
char *bb_bytes_strdup (struct bb_bytes bytes);

/* A counter in the Prometheus sense.  LABELS is empty or the inside of the
   braces, such as reason="overload".  */
struct bb_counter
{
  const char *name;
  char labels[96];
  uint64_t value;
  struct bb_counter *next;
};

/* Finds the counter of NAME and LABELS, making it at the first call.  NAME
   must outlive the program.  Never NULL.  */
struct bb_counter *bb_counter (const char *name, const char *labels);

/* Adds one to bilberry_refusals_total of REASON.  */
void bb_count_refusal (uint32_t reason);

/* Adds one to bilberry_retries_total of REASON.  */
void bb_count_retry (uint32_t reason);

enum
{
  BB_HISTOGRAM_BUCKETS = 512
};

/* A histogram with eight buckets for each doubling: values are kept within
   one eighth.  The unit is the caller's.  */
struct bb_histogram
{
  const char *name;
  const char *labels;
  uint64_t counts[BB_HISTOGRAM_BUCKETS];
  uint64_t total;
  uint64_t sum;
  struct bb_histogram *next;
};

/* Registers H under NAME and LABELS, as of a counter, for bb_metrics_format.
   Both must outlive the program.  Histograms of one NAME are registered one
   after the other.  */
void bb_histogram_register (struct bb_histogram *h, const char *name,
                            const char *labels);

/* Adds VALUE to H.  */
void bb_histogram_add (struct bb_histogram *h, uint64_t value);

/* Returns the upper bound of the bucket that holds the quantile Q of H;
   Q is from 0 to 1.  An empty histogram gives 0.  */
uint64_t bb_histogram_quantile (const struct bb_histogram *h, double q);

/* Prints all counters and histograms in the Prometheus text format.  The
   caller frees the string.  */
char *bb_metrics_format (void);

enum bb_log_level
{
  BB_LOG_ERROR,
  BB_LOG_WARN,
  BB_LOG_INFO,
  BB_LOG_DEBUG
};

/* Sets the least urgent level that is written.  */
void bb_log_set_level (enum bb_log_level level);

/* Finds the level called NAME; false where there is none.  */
bool bb_log_level_parse (const char *name, enum bb_log_level *level);

/* Chooses JSON lines instead of text.  */
void bb_log_set_json (bool json);

/* Writes one line to standard error, headed by the level and PART, the fixed
   prefix of the part that speaks.  Never pass bodies or keys.  */
void bb_log (enum bb_log_level level, const char *component,
             const char *format, ...) __attribute__ ((format (printf, 3, 4)));

/* Writes one JSON line on standard output: the time, EVENT and the members
   that FORMAT packs as json_pack(3) does, such as "{s:s, s:I}".  Never blocks:
   a line that the reader does not take, or that exceeds the rate, is dropped
   and counted in bilberry_log_dropped_total.  */
void bb_log_event (const char *event, const char *format, ...);

#endif
