/* Counters and histograms, and their output in the Prometheus text format.  */

#include "bilberry/base.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct bb_counter *counters;
static struct bb_histogram *histograms;

/* Counters of refusals and retries by enum bb_reason; each is NULL before its
   first use.  */
static struct bb_counter *refusal_counters[BB_REASON_COUNT];
static struct bb_counter *retry_counters[BB_REASON_COUNT];

struct bb_counter *
bb_counter (const char *name, const char *labels)
{
  struct bb_counter **at = &counters;
  struct bb_counter *c;

  for (; *at; at = &(*at)->next)
    if (strcmp ((*at)->name, name) == 0 && strcmp ((*at)->labels, labels) == 0)
      return *at;
  c = calloc (1, sizeof *c);
  if (c)
    c->labels = strdup (labels);
  if (!c || !c->labels)
    abort ();
  c->name = name;
  *at = c;
  return c;
}

static void
count_reason (struct bb_counter **counters_by_reason, const char *name,
              uint32_t reason)
{
  char labels[96];

  if (reason >= BB_REASON_COUNT)
    reason = BB_REASON_INTERNAL;
  if (!counters_by_reason[reason])
    {
      snprintf (labels, sizeof labels, "reason=\"%s\"",
                bb_reason_name (reason));
      counters_by_reason[reason] = bb_counter (name, labels);
    }
  counters_by_reason[reason]->value++;
}

void
bb_count_refusal (uint32_t reason)
{
  count_reason (refusal_counters, "bilberry_refusals_total", reason);
}

void
bb_count_retry (uint32_t reason)
{
  count_reason (retry_counters, "bilberry_retries_total", reason);
}

void
bb_histogram_register (struct bb_histogram *h, const char *name,
                       const char *labels)
{
  h->name = name;
  h->labels = labels;
  h->next = histograms;
  histograms = h;
}

/* Returns the index of the bucket of VALUE.  Values below 8 have a bucket
   each.  Above, each range from a power of two to the next has eight buckets
   of equal width.  */
static uint32_t
bucket_index (uint64_t value)
{
  uint32_t top_bit;

  if (value < 8)
    return (uint32_t)value;
  top_bit = 63 - (uint32_t)__builtin_clzll (value);
  return (top_bit - 2) * 8 + (uint32_t)((value >> (top_bit - 3)) & 7);
}

static uint64_t
bucket_upper_bound (uint32_t bucket)
{
  uint32_t top_bit;

  if (bucket < 8)
    return bucket;
  top_bit = bucket / 8 + 2;
  return ((UINT64_C (8) + bucket % 8 + 1) << (top_bit - 3)) - 1;
}

void
bb_histogram_add (struct bb_histogram *h, uint64_t value)
{
  h->counts[bucket_index (value)]++;
  h->total++;
  h->sum += value;
}

uint64_t
bb_histogram_quantile (const struct bb_histogram *h, double q)
{
  uint64_t rank = (uint64_t)(q * (double)h->total);
  uint64_t cumulative = 0;

  for (uint32_t i = 0; i < BB_HISTOGRAM_BUCKETS; i++)
    {
      cumulative += h->counts[i];
      if (h->counts[i] > 0 && cumulative >= rank)
        return bucket_upper_bound (i);
    }
  return 0;
}

/* Prints the buckets of H that are not empty, with cumulative counts as
   Prometheus requires.  */
static void
print_histogram (FILE *out, const struct bb_histogram *h)
{
  const char *comma = *h->labels ? "," : "";
  uint64_t cumulative = 0;

  for (uint32_t i = 0; i < BB_HISTOGRAM_BUCKETS; i++)
    {
      if (h->counts[i] == 0)
        continue;
      cumulative += h->counts[i];
      fprintf (out, "%s_bucket{%s%sle=\"%llu\"} %llu\n", h->name, h->labels,
               comma, (unsigned long long)bucket_upper_bound (i),
               (unsigned long long)cumulative);
    }
  fprintf (out, "%s_bucket{%s%sle=\"+Inf\"} %llu\n", h->name, h->labels, comma,
           (unsigned long long)h->total);
  fprintf (out, "%s_sum{%s} %llu\n", h->name, h->labels,
           (unsigned long long)h->sum);
  fprintf (out, "%s_count{%s} %llu\n", h->name, h->labels,
           (unsigned long long)h->total);
}

static void
print_histograms (FILE *out)
{
  const char *last_name = "";

  for (const struct bb_histogram *h = histograms; h; h = h->next)
    {
      if (strcmp (h->name, last_name) != 0)
        fprintf (out, "# TYPE %s histogram\n", h->name);
      last_name = h->name;
      print_histogram (out, h);
    }
}

/* Prints all counters that have the name of C, unless C is not the first of
   them in the list: then they have been printed already.  */
static void
print_counters_named (FILE *out, const struct bb_counter *c)
{
  for (const struct bb_counter *o = counters; o != c; o = o->next)
    if (strcmp (o->name, c->name) == 0)
      return;
  fprintf (out, "# TYPE %s counter\n", c->name);
  for (const struct bb_counter *o = c; o; o = o->next)
    {
      if (strcmp (o->name, c->name) != 0)
        continue;
      if (*o->labels)
        fprintf (out, "%s{%s} %llu\n", o->name, o->labels,
                 (unsigned long long)o->value);
      else
        fprintf (out, "%s %llu\n", o->name, (unsigned long long)o->value);
    }
}

char *
bb_metrics_format (void)
{
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);

  if (!out)
    abort ();
  for (const struct bb_counter *c = counters; c; c = c->next)
    print_counters_named (out, c);
  print_histograms (out);
  fclose (out);
  return text;
}

const char *
bb_metric_find (const char *text, const char *name)
{
  size_t size = strlen (name);

  for (const char *line = text; line; line = strchr (line, '\n'))
    {
      const char *end;
      if (*line == '\n')
        line++;
      if (strncmp (line, name, size) != 0)
        continue;
      end = line + size;
      if (*end == '{')
        {
          end += strcspn (end, "}\n");
          if (*end == '}')
            end++;
        }
      if (*end == ' ')
        return end + 1;
    }
  return NULL;
}
