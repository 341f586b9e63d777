#include "table.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  FAULT_MAX = 1024 /* bytes of one line */
};

void
bb_fault (struct bb_settings_faults *faults, const char *file, size_t line,
          const char *format, ...)
{
  char what[FAULT_MAX];
  char *text = NULL;
  va_list ap;
  int rc;

  va_start (ap, format);
  vsnprintf (what, sizeof what, format, ap);
  va_end (ap);
  if (line > 0)
    rc = asprintf (&text, "%s:%zu: %s", file, line, what);
  else
    rc = asprintf (&text, "%s: %s", file, what);
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
  WORD_MAX = 64,
  NEAR_MAX = 2 /* edits */
};

static size_t
smaller (size_t a, size_t b)
{
  return a < b ? a : b;
}

/* Levenshtein distance over two rows.  */
static size_t
distance (const char *a, const char *b)
{
  size_t row[WORD_MAX + 1];
  size_t m = strlen (a);
  size_t n = strlen (b);

  if (m > WORD_MAX || n > WORD_MAX)
    return WORD_MAX;
  for (size_t j = 0; j <= n; j++)
    row[j] = j;
  for (size_t i = 1; i <= m; i++)
    {
      size_t corner = row[0];
      row[0] = i;
      for (size_t j = 1; j <= n; j++)
        {
          size_t above = row[j];
          size_t swap = corner + (a[i - 1] == b[j - 1] ? 0 : 1);
          row[j] = smaller (swap, smaller (above, row[j - 1]) + 1);
          corner = above;
        }
    }
  return row[n];
}

const char *
bb_nearest (const char *word,
            const char *(*name_at) (const void *arg, size_t i),
            const void *arg)
{
  const char *best = NULL;
  size_t best_distance = NEAR_MAX + 1;
  const char *name;

  for (size_t i = 0; (name = name_at (arg, i)); i++)
    {
      size_t d = distance (word, name);
      if (d < best_distance)
        {
          best = name;
          best_distance = d;
        }
    }
  return best;
}
