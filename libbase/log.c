/* Log lines for people on standard error.  */

#include "bilberry/base.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

static const char *const level_names[] = { "error", "warn", "info", "debug" };
static enum bb_log_level max_level = BB_LOG_INFO;
static bool write_json;

void
bb_log_set_level (enum bb_log_level level)
{
  max_level = level;
}

bool
bb_log_level_parse (const char *name, enum bb_log_level *level)
{
  for (uint32_t i = 0; i <= BB_LOG_DEBUG; i++)
    if (strcmp (name, level_names[i]) == 0)
      {
        *level = (enum bb_log_level)i;
        return true;
      }
  return false;
}

void
bb_log_set_json (bool json)
{
  write_json = json;
}

static void
print_json (const char *timestamp, enum bb_log_level level,
            const char *component, const char *text)
{
  json_t *line
      = json_pack ("{s:s, s:s, s:s, s:s+}", "time", timestamp, "level",
                   level_names[level], "part", component, "text", text, "");
  char *out;

  if (!line)
    return;
  out = json_dumps (line, JSON_COMPACT | JSON_PRESERVE_ORDER);
  if (out)
    fprintf (stderr, "%s\n", out);
  free (out);
  json_decref (line);
}

void
bb_log (enum bb_log_level level, const char *component, const char *format,
        ...)
{
  char text[1024];
  char timestamp[32];
  time_t now = time (NULL);
  struct tm tm;
  va_list ap;

  if (level > max_level)
    return;
  va_start (ap, format);
  vsnprintf (text, sizeof text, format, ap);
  va_end (ap);
  gmtime_r (&now, &tm);
  strftime (timestamp, sizeof timestamp, "%Y-%m-%dT%H:%M:%SZ", &tm);
  if (write_json)
    print_json (timestamp, level, component, text);
  else
    fprintf (stderr, "%s %s %s: %s\n", timestamp, level_names[level],
             component, text);
}
