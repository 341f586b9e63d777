/* spread - cost of membership and of distributing configuration by the number
   of members, in virtual time.  Processor time includes the event queue of the
   simulation, so it is an upper bound.

   Usage: spread [MEMBERS_MAX]  */

#include "../test/harness/member_run.h"
#include "report.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  WARMUP_MS = 20000,
  CHANGE_INTERVAL_MS = 12700, /* time between changes, 6,800 a day */
  CHANGES = 4,
  IP_UDP_HEADER_BYTES = 28,
  CONFIG_BYTES = 8192
};

struct row
{
  uint32_t members;
  uint32_t loss_permille;
  double p50_ms;
  double p99_ms;
  double max_ms;
  double bytes_per_s; /* bytes sent and received by a member, with headers */
  double messages_per_s;
  double cpu_percent;
  double memory_bytes; /* heap of this process for each member */
  double calls_per_s;  /* calls of all members to the configuration service */
  double calls_peak;   /* most calls in one second while all members start */
  double direct_calls_per_s; /* calls of all members without gossip */
  double direct_calls_peak; /* most calls in one second after the start without
                               gossip */
  uint64_t late_count;      /* activations over ACTIVATION_MAX_MS */
};

static double
cpu_s (void)
{
  struct timespec t;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static int
compare_uint32 (gconstpointer a, gconstpointer b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return (x > y) - (x < y);
}

static double
quantile (GArray *a, double q)
{
  guint i = (guint)(q * (double)(a->len - 1));

  return a->len ? g_array_index (a, uint32_t, i) : 0;
}

static struct member_run_options
options (uint32_t members, uint32_t loss_permille)
{
  struct member_run_options o = { .seed = members + loss_permille,
                                  .members = members,
                                  .domains = 7,
                                  .config_bytes = CONFIG_BYTES };

  o.net.delay_min_ms = 1;
  o.net.delay_max_ms = 40;
  o.net.loss_permille = loss_permille;
  return o;
}

static void
start_members (struct member_run *r)
{
  for (uint32_t i = 0; i < r->options.members; i++)
    member_run_start (r, i);
}

/* Publishes CHANGES revisions and appends the activation delays of the members
   in ms to DELAYS_MS.  */
static void
publish_changes (struct member_run *r, GArray *delays_ms)
{
  for (uint32_t i = 0; i < CHANGES; i++)
    {
      member_run_publish (r);
      member_run_advance (r, CHANGE_INTERVAL_MS);
      g_array_append_vals (delays_ms, r->activation_ms->data,
                           r->activation_ms->len);
    }
}

static void
measure_gossip (struct row *row)
{
  struct member_run_options o = options (row->members, row->loss_permille);
  double duration_s = (double)CHANGES * CHANGE_INTERVAL_MS / 1000;
  GArray *delays_ms = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  size_t heap_before_bytes = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
  struct member_run *r = member_run_new (&o);
  struct bb_member_stats before;
  struct bb_member_stats after;
  uint64_t calls_before;
  double cpu;

  member_run_publish (r);
  start_members (r);
  member_run_advance (r, WARMUP_MS);
  row->calls_peak = (double)r->service_calls_peak;
  before = member_run_stats (r);
  calls_before = r->service_calls;
  cpu = cpu_s ();
  publish_changes (r, delays_ms);
  cpu = cpu_s () - cpu;
  after = member_run_stats (r);
  row->memory_bytes = (double)(mallinfo2 ().uordblks + mallinfo2 ().hblkhd
                               - heap_before_bytes)
                      / row->members;
  row->cpu_percent = 100 * cpu / duration_s / row->members;
  row->messages_per_s
      = (double)(after.sent + after.received - before.sent - before.received)
        / duration_s / row->members;
  row->bytes_per_s = (double)(after.sent_bytes + after.received_bytes
                              - before.sent_bytes - before.received_bytes)
                         / duration_s / row->members
                     + IP_UDP_HEADER_BYTES * row->messages_per_s;
  row->calls_per_s = (double)(r->service_calls - calls_before) / duration_s;
  row->late_count = r->late_count;
  g_array_sort (delays_ms, compare_uint32);
  row->p50_ms = quantile (delays_ms, 0.5);
  row->p99_ms = quantile (delays_ms, 0.99);
  row->max_ms = quantile (delays_ms, 1);
  g_array_free (delays_ms, TRUE);
  member_run_free (r);
}

/* Measures the calls to the configuration service if every member watches it
   itself instead of using gossip.  */
static void
measure_direct (struct row *row)
{
  struct member_run_options o = options (row->members, row->loss_permille);
  GArray *delays_ms = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  struct member_run *r;
  uint64_t calls_before;

  o.naive = true;
  r = member_run_new (&o);
  member_run_publish (r);
  start_members (r);
  member_run_advance (r, WARMUP_MS);
  calls_before = r->service_calls;
  r->service_calls_peak = 0;
  publish_changes (r, delays_ms);
  row->direct_calls_per_s = (double)(r->service_calls - calls_before) * 1000
                            / ((double)CHANGES * CHANGE_INTERVAL_MS);
  row->direct_calls_peak = (double)r->service_calls_peak;
  g_array_free (delays_ms, TRUE);
  member_run_free (r);
}

static void
print_row (FILE *csv, const struct row *r)
{
  printf ("%7u %5.0f%% %6.0f %6.0f %6.0f %8.0f %7.1f %8.4f %9.0f %7.1f %7.0f "
          "%8.1f %8.0f %5llu\n",
          r->members, r->loss_permille / 10.0, r->p50_ms, r->p99_ms, r->max_ms,
          r->bytes_per_s, r->messages_per_s, r->cpu_percent, r->memory_bytes,
          r->calls_per_s, r->calls_peak, r->direct_calls_per_s,
          r->direct_calls_peak, (unsigned long long)r->late_count);
  fprintf (csv,
           "%u,%u,%.0f,%.0f,%.0f,%.0f,%.2f,%.5f,%.0f,%.2f,%.0f,%.2f,"
           "%.0f,%llu\n",
           r->members, r->loss_permille, r->p50_ms, r->p99_ms, r->max_ms,
           r->bytes_per_s, r->messages_per_s, r->cpu_percent, r->memory_bytes,
           r->calls_per_s, r->calls_peak, r->direct_calls_per_s,
           r->direct_calls_peak, (unsigned long long)r->late_count);
  fflush (stdout);
}

static void
print_slopes (const struct row *rows, int count)
{
  double x[16];
  double y[16];
  double intercept;
  double slope;

  for (int i = 0; i < count; i++)
    {
      x[i] = rows[i].members;
      y[i] = rows[i].bytes_per_s;
    }
  report_fit_line (x, y, count, &intercept, &slope);
  printf ("bytes a second a node: %.0f + %.4f a member\n", intercept, slope);
  for (int i = 0; i < count; i++)
    y[i] = rows[i].cpu_percent;
  report_fit_line (x, y, count, &intercept, &slope);
  printf ("percent of a core a node: %.4f + %.3g a member\n", intercept,
          slope);
  for (int i = 0; i < count; i++)
    y[i] = rows[i].memory_bytes;
  report_fit_line (x, y, count, &intercept, &slope);
  printf ("bytes of memory a node: %.0f + %.1f a member\n", intercept, slope);
}

static void
write_plot (void)
{
  FILE *out = report_open ("spread.gnuplot");

  fputs ("set terminal svg size 800,500\n"
         "set output 'spread.svg'\n"
         "set datafile separator ','\n"
         "set logscale x\n"
         "set key top left\n"
         "set xlabel 'members'\n"
         "set ylabel 'time to in force, ms'\n"
         "set y2label 'bytes a second a node'\n"
         "set ytics nomirror\n"
         "set y2tics\n"
         "set yrange [0:3000]\n"
         "set y2range [0:3000]\n"
         "plot 'spread.csv' using ($2==0?$1:1/0):4 with linespoints title "
         "'p99', '' using ($2==0?$1:1/0):5 with linespoints title 'max', "
         "'' using ($2==100?$1:1/0):5 with linespoints title "
         "'max, 10% loss', '' using ($2==0?$1:1/0):6 axes x1y2 with "
         "linespoints title 'bytes'\n",
         out);
  fclose (out);
}

int
main (int argc, char **argv)
{
  static const uint32_t sizes[] = { 10, 100, 500, 1000, 2000, 6100 };
  static const uint32_t losses[] = { 0, 100 };
  struct row rows[2][G_N_ELEMENTS (sizes)];
  uint32_t max_members
      = argc > 1 ? (uint32_t)strtoul (argv[1], NULL, 10) : 6100;
  FILE *csv = report_open ("spread.csv");
  int count = 0;

  printf ("members  loss    p50    p99    max  bytes/s  msgs/s  core %%   "
          "memory  calls/s    most  naive/s    most  late\n");
  for (uint32_t l = 0; l < G_N_ELEMENTS (losses); l++)
    {
      count = 0;
      for (uint32_t i = 0; i < G_N_ELEMENTS (sizes) && sizes[i] <= max_members;
           i++)
        {
          struct row *r = &rows[l][count++];
          memset (r, 0, sizeof *r);
          r->members = sizes[i];
          r->loss_permille = losses[l];
          measure_gossip (r);
          measure_direct (r);
          print_row (csv, r);
        }
      print_slopes (rows[l], count);
    }
  fclose (csv);
  write_plot ();
  return 0;
}
