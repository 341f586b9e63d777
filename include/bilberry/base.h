#ifndef BILBERRY_BASE_H
#define BILBERRY_BASE_H

/* libbase - clocks, request results, byte strings, metrics and logging for all
   programs and libraries.  Link with -lbase -ljansson.  */

#include "bilberry/messages.h"

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A point in time or a duration, in milliseconds.  The caller chooses the
   origin from which points count: such as the start of the process in daemons,
   or 0 in virtual time.  */
typedef int64_t bb_ms;

/* Returns the time of CLOCK_MONOTONIC in ms.  */
bb_ms bb_clock_now (void);

/* Returns the time of CLOCK_BOOTTIME in ms.  Unlike bb_clock_now, it advances
   while the machine is suspended.  */
bb_ms bb_clock_boot (void);

enum
{
  BB_MEMORY_SMALL_BYTES = 64 * 1024 /* a larger piece of memory is large */
};

/* An account of the memory that a process holds for its callers and upstreams:
   bodies, answers, and what waits to be sent.  Large pieces leave an eighth of
   it to small ones.  */
struct bb_memory
{
  size_t max_bytes; /* 0: no limit */
  size_t used_bytes;
  size_t peak_bytes; /* most that was ever used */
};

/* Whether BYTES more fit, for a piece that has WHOLE_BYTES with them.  */
bool bb_memory_has_room (const struct bb_memory *m, size_t bytes,
                         size_t whole_bytes);
/* Counts BYTES if they fit; returns whether they do.  */
bool bb_memory_take (struct bb_memory *m, size_t bytes, size_t whole_bytes);
/* Counts BYTES that are held already, whether or not they fit.  */
void bb_memory_add (struct bb_memory *m, size_t bytes);
/* BYTES that were counted are held no more.  */
void bb_memory_give (struct bb_memory *m, size_t bytes);

/* How a request ended: why it failed, and whether it may have run.  With
   BB_RUN_NOT_RUN no upstream has run it.  */
struct bb_request_result
{
  uint8_t run;             /* enum bb_run */
  uint8_t reason;          /* enum bb_reason */
  uint32_t retry_after_ms; /* 0: a retry does not help */
};

/* Returns whether BYTES equals the string TEXT.  */
bool bb_bytes_equal (struct bb_bytes bytes, const char *text);

/* Returns the bytes of the string TEXT, which are not copied.  TEXT may be
   NULL, which gives empty bytes.  */
struct bb_bytes bb_bytes_of (const char *text);

/* Returns a copy of BYTES as a string, which the caller frees.  BYTES of size
   0 may have a NULL pointer and give an empty string.  */
char *bb_bytes_strdup (struct bb_bytes bytes);

/* A Prometheus counter.  LABELS are written without braces, such as
   reason="overload", and may be empty.  */
struct bb_counter
{
  const char *name;
  const char *labels;
  uint64_t value;
  struct bb_counter *next;
};

/* Returns the counter with NAME and LABELS and creates it at the first call.
   LABELS is copied.  NAME must stay valid until the program ends.  Never
   returns NULL.  */
struct bb_counter *bb_counter (const char *name, const char *labels);

/* Increments bilberry_refusals_total for REASON, an enum bb_reason.  */
void bb_count_refusal (uint32_t reason);

/* Increments bilberry_retries_total for REASON, an enum bb_reason.  */
void bb_count_retry (uint32_t reason);

enum
{
  BB_HISTOGRAM_BUCKETS = 512
};

/* A Prometheus histogram with eight buckets for each power of two, so that the
   bounds of a bucket differ by at most one eighth.  The caller chooses the
   unit of the values.  */
struct bb_histogram
{
  const char *name;
  const char *labels;
  uint64_t counts[BB_HISTOGRAM_BUCKETS];
  uint64_t total; /* number of values */
  uint64_t sum;   /* sum of the values */
  struct bb_histogram *next;
};

/* Registers H under NAME and LABELS for bb_metrics_format.  LABELS has the
   form of those of a counter.  H, NAME and LABELS must stay valid until the
   program ends.  Histograms of the same NAME must be registered one after the
   other.  */
void bb_histogram_register (struct bb_histogram *h, const char *name,
                            const char *labels);

/* Adds VALUE to H.  */
void bb_histogram_add (struct bb_histogram *h, uint64_t value);

/* Returns the upper bound of the bucket that holds quantile Q of H, where Q is
   from 0 to 1, or 0 if H is empty.  */
uint64_t bb_histogram_quantile (const struct bb_histogram *h, double q);

/* Returns all counters and registered histograms in the Prometheus text
   format.  The caller frees the string.  */
char *bb_metrics_format (void);

/* Returns the value of the first metric NAME, with or without labels, in TEXT,
   which is in the Prometheus text format; NULL if there is none.  The value
   ends at a space, a line feed or the end of TEXT.  */
const char *bb_metric_find (const char *text, const char *name);

enum bb_log_level
{
  BB_LOG_ERROR,
  BB_LOG_WARN,
  BB_LOG_INFO,
  BB_LOG_DEBUG
};

/* Sets the least severe level that is logged; initially BB_LOG_INFO.  */
void bb_log_set_level (enum bb_log_level level);

/* Sets *LEVEL to the level called NAME: error, warn, info or debug.  Returns
   false if NAME is none of them.  */
bool bb_log_level_parse (const char *name, enum bb_log_level *level);

/* Sets whether bb_log writes JSON lines; initially it writes plain text.  */
void bb_log_set_json (bool json);

/* Writes one line to standard error: the UTC time, LEVEL, COMPONENT, which is
   a constant short name of the program or library, and the message.  Messages
   are cut to 1023 bytes.  They must not contain request bodies or keys.  */
void bb_log (enum bb_log_level level, const char *component,
             const char *format, ...) __attribute__ ((format (printf, 3, 4)));

/* Writes one JSON line to standard output: the time of bb_clock_now, EVENT and
   the members that FORMAT describes as for json_pack of jansson, such as
   "{s:s, s:I}".  Never blocks: a line is dropped and counted in
   bilberry_log_dropped_total if the reader is too slow, if the line is longer
   than 2047 bytes, or after 400 lines in one second.  */
void bb_log_event (const char *event, const char *format, ...);

#endif
