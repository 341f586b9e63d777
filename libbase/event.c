/* Decisions as JSON lines on standard output.  */

#include "bilberry/base.h"

#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <string.h>
#include <unistd.h>

enum
{
  LINE_MAX_BYTES = 2048,
  LINES_PER_S = 400, /* what a small VM writes without being slowed */
  SECOND_MS = 1000
};

static bool opened;
static char rest[LINE_MAX_BYTES]; /* of a line that was taken in part */
static size_t rest_size;
static bb_ms second;
static uint32_t lines;

static bool
is_over_rate (bb_ms now)
{
  if (now / SECOND_MS != second)
    {
      second = now / SECOND_MS;
      lines = 0;
    }
  return ++lines > LINES_PER_S;
}

/* Writes what is left of an earlier line; false where the reader is slow.  */
static bool
flush_rest (void)
{
  ssize_t n;

  if (rest_size == 0)
    return true;
  n = write (STDOUT_FILENO, rest, rest_size);
  if (n > 0)
    {
      rest_size -= (size_t)n;
      memmove (rest, rest + n, rest_size);
    }
  return rest_size == 0;
}

static void
drop (void)
{
  bb_counter ("bilberry_log_dropped_total", "")->value++;
}

static void
write_line (const char *line, size_t size)
{
  ssize_t n;

  if (!flush_rest ())
    {
      drop ();
      return;
    }
  n = write (STDOUT_FILENO, line, size);
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    n = 0;
  if (n <= 0)
    {
      drop ();
      return;
    }
  rest_size = size - (size_t)n;
  memcpy (rest, line + n, rest_size);
}

static void
open_output (void)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  opened = true;
}

void
bb_log_event (const char *event, const char *format, ...)
{
  bb_ms now = bb_clock_now ();
  char line[LINE_MAX_BYTES];
  json_error_t e;
  json_t *o;
  json_t *head;
  size_t size;
  va_list ap;

  if (!opened)
    open_output ();
  if (is_over_rate (now))
    {
      drop ();
      return;
    }
  va_start (ap, format);
  o = json_vpack_ex (&e, 0, format, ap);
  va_end (ap);
  head = json_pack ("{s:I, s:s}", "ms", (json_int_t)now, "event", event);
  if (o && head)
    json_object_update (head, o);
  size = head ? json_dumpb (head, line, sizeof line - 1,
                            JSON_COMPACT | JSON_PRESERVE_ORDER)
              : 0;
  json_decref (o);
  json_decref (head);
  if (size == 0 || size > sizeof line - 1)
    {
      drop ();
      return;
    }
  line[size] = '\n';
  write_line (line, size + 1);
}
