/* Event log: JSON lines on standard output.  */

#include "bilberry/base.h"

#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <string.h>
#include <unistd.h>

enum
{
  LINE_MAX_BYTES = 2048,
  LINES_PER_S = 400, /* maximum rate, which does not slow down a small VM */
  SECOND_MS = 1000
};

static bool output_nonblocking;
static char pending[LINE_MAX_BYTES]; /* rest of a line written in part */
static size_t pending_size;
static bb_ms rate_second;
static uint32_t lines_in_second;

/* Counts a line at time NOW.  Returns whether it exceeds LINES_PER_S.  */
static bool
exceeds_rate (bb_ms now)
{
  if (now / SECOND_MS != rate_second)
    {
      rate_second = now / SECOND_MS;
      lines_in_second = 0;
    }
  return ++lines_in_second > LINES_PER_S;
}

/* Writes the rest of the last line.  Returns false if the reader does not
   accept all of it.  */
static bool
flush_pending (void)
{
  ssize_t n;

  if (pending_size == 0)
    return true;
  n = write (STDOUT_FILENO, pending, pending_size);
  if (n > 0)
    {
      pending_size -= (size_t)n;
      memmove (pending, pending + n, pending_size);
    }
  return pending_size == 0;
}

static void
count_dropped (void)
{
  bb_counter ("bilberry_log_dropped_total", "")->value++;
}

static void
write_line (const char *line, size_t size)
{
  ssize_t n;

  if (!flush_pending ())
    {
      count_dropped ();
      return;
    }
  n = write (STDOUT_FILENO, line, size);
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    n = 0;
  if (n <= 0)
    {
      count_dropped ();
      return;
    }
  pending_size = size - (size_t)n;
  memcpy (pending, line + n, pending_size);
}

static void
set_output_nonblocking (void)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  output_nonblocking = true;
}

void
bb_log_event (const char *event, const char *format, ...)
{
  bb_ms now = bb_clock_now ();
  char line[LINE_MAX_BYTES];
  json_error_t e;
  json_t *members;
  json_t *record;
  size_t size;
  va_list ap;

  if (!output_nonblocking)
    set_output_nonblocking ();
  if (exceeds_rate (now))
    {
      count_dropped ();
      return;
    }
  va_start (ap, format);
  members = json_vpack_ex (&e, 0, format, ap);
  va_end (ap);
  record = json_pack ("{s:I, s:s}", "ms", (json_int_t)now, "event", event);
  if (members && record)
    json_object_update (record, members);
  size = record ? json_dumpb (record, line, sizeof line - 1,
                              JSON_COMPACT | JSON_PRESERVE_ORDER)
                : 0;
  json_decref (members);
  json_decref (record);
  if (size == 0 || size > sizeof line - 1)
    {
      count_dropped ();
      return;
    }
  line[size] = '\n';
  write_line (line, size + 1);
}
