#include "bilberry/map.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum
{
  VALUES_MAX = 1 << 28, /* limit on the counts in a trace */
  /* 10 digits and a space for each count, and the interval and layer.  */
  LINE_MAX_BYTES = BB_TRACE_SIZE_MAX * 11 + 64
};

struct bb_trace *
bb_trace_new (const struct bb_map_size *size, bb_ms interval_ms,
              uint32_t intervals)
{
  struct bb_trace *t = g_new0 (struct bb_trace, 1);

  t->size = *size;
  t->interval_ms = interval_ms;
  t->intervals = intervals;
  t->tokens
      = g_new0 (uint32_t, (size_t)intervals * size->layers * size->experts);
  return t;
}

void
bb_trace_free (struct bb_trace *t)
{
  if (!t)
    return;
  g_free (t->tokens);
  g_free (t);
}

uint32_t *
bb_trace_at (const struct bb_trace *t, uint32_t interval, uint32_t layer)
{
  return t->tokens
         + ((size_t)interval * t->size.layers + layer) * t->size.experts;
}

void
bb_trace_write (const struct bb_trace *t, FILE *out)
{
  fprintf (out, "bilberry-trace 1\n");
  fprintf (out, "size %u %u %u %u\n", t->size.layers, t->size.experts,
           t->size.ranks, t->size.slots);
  fprintf (out, "interval_ms %" PRId64 "\n", t->interval_ms);
  for (uint32_t i = 0; i < t->intervals; i++)
    for (uint32_t l = 0; l < t->size.layers; l++)
      {
        const uint32_t *tokens = bb_trace_at (t, i, l);
        fprintf (out, "%u %u", i, l);
        for (uint32_t e = 0; e < t->size.experts; e++)
          fprintf (out, " %u", tokens[e]);
        fputc ('\n', out);
      }
}

struct reader
{
  FILE *in;
  char *text;
  uint32_t line;
  const char *error;
};

static bool
read_line (struct reader *r)
{
  size_t size;

  if (!fgets (r->text, LINE_MAX_BYTES, r->in))
    return false;
  r->line++;
  size = strlen (r->text);
  if (size > 0 && r->text[size - 1] == '\n')
    r->text[size - 1] = '\0';
  else if (!feof (r->in))
    r->error = "line too long";
  return r->error == NULL;
}

/* Reads a decimal number up to MAX at *CURSOR and advances *CURSOR past it. */
static bool
read_number (char **cursor, uint32_t max, uint32_t *out)
{
  char *end;
  unsigned long n;

  while (**cursor == ' ')
    (*cursor)++;
  if (**cursor < '0' || **cursor > '9')
    return false;
  n = strtoul (*cursor, &end, 10);
  if (n > max || (*end != ' ' && *end != '\0'))
    return false;
  *cursor = end;
  *out = (uint32_t)n;
  return true;
}

static bool
read_numbers (struct reader *r, const char *key, uint32_t *out, uint32_t count)
{
  size_t size = strlen (key);
  char *cursor;

  if (!read_line (r) || strncmp (r->text, key, size) != 0)
    return false;
  cursor = r->text + size;
  for (uint32_t i = 0; i < count; i++)
    if (!read_number (&cursor, UINT32_MAX, &out[i]))
      return false;
  return *cursor == '\0';
}

static bool
size_is_valid (const uint32_t v[4])
{
  for (uint32_t i = 0; i < 4; i++)
    if (v[i] == 0 || v[i] > BB_TRACE_SIZE_MAX)
      return false;
  return v[1] <= v[2] * v[3];
}

static struct bb_trace *
read_header (struct reader *r)
{
  struct bb_map_size size;
  uint32_t v[4];
  uint32_t interval_ms;

  if (!read_line (r) || strcmp (r->text, "bilberry-trace 1") != 0)
    r->error = "expected 'bilberry-trace 1'";
  else if (!read_numbers (r, "size ", v, 4) || !size_is_valid (v))
    r->error = "expected 'size LAYERS EXPERTS RANKS SLOTS', each from 1 to "
               "4096, with at most RANKS * SLOTS experts";
  else if (!read_numbers (r, "interval_ms ", &interval_ms, 1)
           || interval_ms == 0)
    r->error = "expected 'interval_ms N' with N above 0";
  if (r->error)
    return NULL;
  size = (struct bb_map_size){
    .layers = v[0], .experts = v[1], .ranks = v[2], .slots = v[3]
  };
  return bb_trace_new (&size, interval_ms, 0);
}

/* Reads one line of counts.  The interval must not be less than that of the
   line before.  Counts of layers without a line in an interval are 0.  */
static bool
read_counts (struct reader *r, struct bb_trace *t)
{
  size_t row = (size_t)t->size.layers * t->size.experts;
  char *cursor = r->text;
  uint32_t interval;
  uint32_t layer;
  uint32_t *tokens;

  if (!read_number (&cursor, VALUES_MAX, &interval)
      || !read_number (&cursor, t->size.layers - 1, &layer)
      || interval + 1 < t->intervals || (interval + 1) * row > VALUES_MAX)
    return false;
  if (interval + 1 > t->intervals)
    {
      t->tokens = g_renew (uint32_t, t->tokens, (interval + 1) * row);
      memset (t->tokens + t->intervals * row, 0,
              (interval + 1 - t->intervals) * row * sizeof *t->tokens);
      t->intervals = interval + 1;
    }
  tokens = bb_trace_at (t, interval, layer);
  for (uint32_t e = 0; e < t->size.experts; e++)
    if (!read_number (&cursor, UINT32_MAX, &tokens[e]))
      return false;
  return *cursor == '\0';
}

struct bb_trace *
bb_trace_read (FILE *in, const char **error, uint32_t *line)
{
  struct reader r = { .in = in, .text = g_malloc (LINE_MAX_BYTES) };
  struct bb_trace *t = read_header (&r);

  while (t && !r.error && read_line (&r))
    if (!read_counts (&r, t))
      r.error = "expected 'INTERVAL LAYER COUNT...' with one count for each "
                "expert";
  if (t && !r.error && t->intervals == 0)
    r.error = "the trace has no counts";
  if (r.error)
    {
      bb_trace_free (t);
      t = NULL;
    }
  *error = r.error;
  *line = r.line;
  g_free (r.text);
  return t;
}
