/* The list of faults, and the search for a known name to suggest in place of
   an unknown one.  */

#include "table.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  FAULT_MAX_BYTES = 1024 /* size of a message; the rest is cut off */
};

void
bb_settings_faults_add (struct bb_settings_faults *faults, const char *file,
                        size_t line, const char *format, ...)
{
  char message[FAULT_MAX_BYTES];
  char *text = NULL;
  va_list ap;
  int rc;

  va_start (ap, format);
  vsnprintf (message, sizeof message, format, ap);
  va_end (ap);
  if (line > 0)
    rc = asprintf (&text, "%s:%zu: %s", file, line, message);
  else
    rc = asprintf (&text, "%s: %s", file, message);
  if (rc < 0)
    abort ();
  faults->lines
      = realloc (faults->lines, (faults->count + 1) * sizeof *faults->lines);
  if (!faults->lines)
    abort ();
  faults->lines[faults->count++] = text;
}

void
bb_settings_faults_free (struct bb_settings_faults *faults)
{
  for (size_t i = 0; i < faults->count; i++)
    free (faults->lines[i]);
  free (faults->lines);
  faults->lines = NULL;
  faults->count = 0;
}

enum
{
  WORD_MAX_BYTES = 64,
  EDITS_MAX = 2 /* edits between an unknown name and the suggested one */
};

static size_t
min_size (size_t a, size_t b)
{
  return a < b ? a : b;
}

/* Returns the Levenshtein distance of A and B, computed in a single row, or
   WORD_MAX_BYTES if one of them is longer than that.  */
static size_t
edit_distance (const char *a, const char *b)
{
  size_t row[WORD_MAX_BYTES + 1];
  size_t m = strlen (a);
  size_t n = strlen (b);

  if (m > WORD_MAX_BYTES || n > WORD_MAX_BYTES)
    return WORD_MAX_BYTES;
  for (size_t j = 0; j <= n; j++)
    row[j] = j;
  for (size_t i = 1; i <= m; i++)
    {
      size_t diagonal = row[0];
      row[0] = i;
      for (size_t j = 1; j <= n; j++)
        {
          size_t above = row[j];
          size_t substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
          row[j] = min_size (substituted, min_size (above, row[j - 1]) + 1);
          diagonal = above;
        }
    }
  return row[n];
}

const char *
bb_nearest_name (const char *word,
                 const char *(*name_at) (const void *arg, size_t i),
                 const void *arg)
{
  const char *best = NULL;
  size_t best_distance = EDITS_MAX + 1;
  const char *name;

  for (size_t i = 0; (name = name_at (arg, i)); i++)
    {
      size_t d = edit_distance (word, name);
      if (d < best_distance)
        {
          best = name;
          best_distance = d;
        }
    }
  return best;
}
