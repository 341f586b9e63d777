/* settings - time to parse settings and to look up a customer in them.

   Generates settings of increasing size, up to 5,200 customers and 5,000
   upstreams.  Prints for each size the time to merge and check the files and
   the time to look up a customer by key.  */

#include "bilberry/settings.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  FILES = 8, /* each below the limit of a megabyte */
  LOOKUPS = 20000,
  SIZES = 4
};

static const uint32_t customer_counts[SIZES] = { 650, 1300, 2600, 5200 };
static const uint32_t upstream_counts[SIZES] = { 625, 1250, 2500, 5000 };

static double
now_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

static char *
customer_key_sha256 (uint32_t i)
{
  char text[32];

  g_snprintf (text, sizeof text, "key-%u", i);
  return g_compute_checksum_for_string (G_CHECKSUM_SHA256, text, -1);
}

static void
append_customers (GString *out, uint32_t from, uint32_t to)
{
  g_string_append (out, "customers:\n");
  for (uint32_t i = from; i < to; i++)
    {
      char *key = customer_key_sha256 (i);
      g_string_append_printf (
          out, "  customer-%u: {key_sha256: '%s', weight: 2}\n", i, key);
      g_free (key);
    }
}

static void
append_upstreams (GString *out, uint32_t from, uint32_t to)
{
  g_string_append (out, "upstreams:\n");
  for (uint32_t i = from; i < to; i++)
    g_string_append_printf (out,
                            "  upstream-%u: {address: '10.0.%u.%u:8000', "
                            "agent: '10.0.%u.%u:8001', failure_domain: fd-%u, "
                            "pool: pool-%u}\n",
                            i, i / 250, i % 250, i / 250, i % 250, i % 7,
                            i % 9);
}

static void
make_files (struct bb_settings_files *files, uint32_t customers,
            uint32_t upstreams)
{
  files->files = calloc (FILES + 1, sizeof *files->files);
  files->count = FILES + 1;
  files->files[0].name = g_strdup ("00.yaml");
  files->files[0].data = g_strdup ("failure_domains: {fd-0: {}, fd-1: {}, "
                                   "fd-2: {}, fd-3: {}, fd-4: {}, fd-5: {}, "
                                   "fd-6: {}}\n");
  files->files[0].size = strlen (files->files[0].data);
  for (uint32_t i = 0; i < FILES; i++)
    {
      struct bb_settings_file *f = &files->files[i + 1];
      GString *out = g_string_new (NULL);
      append_customers (out, customers * i / FILES,
                        customers * (i + 1) / FILES);
      append_upstreams (out, upstreams * i / FILES,
                        upstreams * (i + 1) / FILES);
      f->name = g_strdup_printf ("%02u.yaml", i + 1);
      f->size = out->len;
      f->data = g_string_free (out, FALSE);
    }
}

static double
measure_lookups (const struct bb_settings *s, uint32_t customers)
{
  char **keys = calloc (customers, sizeof *keys);
  uint32_t found = 0;
  double start_ms;
  double elapsed_ms;

  for (uint32_t i = 0; i < customers; i++)
    keys[i] = customer_key_sha256 (i);
  start_ms = now_ms ();
  for (uint32_t i = 0; i < LOOKUPS; i++)
    if (bb_settings_customer_by_key (s, keys[i * 7919U % customers]))
      found++;
  elapsed_ms = now_ms () - start_ms;
  if (found != LOOKUPS)
    abort ();
  for (uint32_t i = 0; i < customers; i++)
    g_free (keys[i]);
  free (keys);
  return elapsed_ms * 1e6 / LOOKUPS;
}

static void
measure_size (FILE *csv, uint32_t customers, uint32_t upstreams)
{
  struct bb_settings_files files = { 0 };
  struct bb_settings_faults faults = { 0 };
  struct bb_settings *s;
  size_t bytes = 0;
  double start_ms;
  double parse_ms;
  double lookup_ns;

  make_files (&files, customers, upstreams);
  for (size_t i = 0; i < files.count; i++)
    bytes += files.files[i].size;
  start_ms = now_ms ();
  s = bb_settings_parse (&files, &faults);
  parse_ms = now_ms () - start_ms;
  if (!s)
    {
      printf ("%s\n", faults.lines[0]);
      abort ();
    }
  lookup_ns = measure_lookups (s, customers);
  printf ("%9u %9u %9zu %9.1f %9.0f\n", customers, upstreams, bytes / 1024,
          parse_ms, lookup_ns);
  if (csv)
    fprintf (csv, "%u,%u,%zu,%.1f,%.0f\n", customers, upstreams, bytes,
             parse_ms, lookup_ns);
  bb_settings_free (s);
  bb_settings_files_free (&files);
}

static FILE *
open_report (void)
{
  const char *report = getenv ("BILBERRY_REPORT");
  FILE *csv;
  FILE *script;
  char *path;

  if (!report)
    return NULL;
  path = g_build_filename (report, "settings.gnuplot", NULL);
  script = fopen (path, "w");
  g_free (path);
  if (script)
    {
      fputs ("set terminal png size 800,500\n"
             "set output 'settings.png'\n"
             "set datafile separator ','\n"
             "set yrange [0:*]\n"
             "set xlabel 'customers'\n"
             "set ylabel 'ms to merge and check'\n"
             "plot 'settings.csv' using 1:4 with linespoints notitle\n",
             script);
      fclose (script);
    }
  path = g_build_filename (report, "settings.csv", NULL);
  csv = fopen (path, "w");
  g_free (path);
  if (csv)
    fputs ("customers,upstreams,bytes,make_ms,find_ns\n", csv);
  return csv;
}

int
main (void)
{
  FILE *csv = open_report ();

  printf ("%9s %9s %9s %9s %9s\n", "customers", "upstreams", "KB", "make ms",
          "find ns");
  for (uint32_t i = 0; i < SIZES; i++)
    measure_size (csv, customer_counts[i], upstream_counts[i]);
  if (csv)
    fclose (csv);
  return 0;
}
