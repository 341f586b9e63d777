/* overhead - latency and processor time that an entry and an agent add to a
   request.

   Sends the same short request in turn to fake-bare, a bare h2o handler; to a
   fake upstream directly; and through one entry and several agents; first on
   one connection and then on many.  Prints requests a second, latencies, the
   added latency, and processor time and memory of each process.  */

#include "../test/harness/fleet.h"
#include "../test/harness/load.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  UPSTREAMS = 4,
  CUSTOMERS = 5200,
  CONNECTIONS = 64,
  THREADS = 2,
  WARMUP_MS = 1000,
  MEASURE_MS = 2000,
  ROUNDS = 3
};

enum target
{
  TARGET_BARE,    /* fake-bare */
  TARGET_DIRECT,  /* fake upstream, without entry and agent */
  TARGET_PROXIED, /* through entry and agent */
  TARGET_COUNT
};

static const char *const target_names[] = { "bare", "direct", "through" };

struct usage
{
  double cpu_s;
  uint64_t rss_kb;
};

static struct fleet fleet;
static uint16_t ports[TARGET_COUNT];
static pid_t pids[TARGET_COUNT];
static FILE *csv;

static struct usage
read_usage (pid_t pid)
{
  struct usage u = { 0 };
  char path[64];
  char line[256];
  unsigned long user = 0;
  unsigned long sys = 0;
  FILE *in;

  snprintf (path, sizeof path, "/proc/%d/stat", (int)pid);
  in = fopen (path, "r");
  if (in
      && fscanf (in,
                 "%*d %*s %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
                 &user, &sys)
             == 2)
    u.cpu_s = (double)(user + sys) / (double)sysconf (_SC_CLK_TCK);
  if (in)
    fclose (in);
  snprintf (path, sizeof path, "/proc/%d/status", (int)pid);
  in = fopen (path, "r");
  while (in && fgets (line, sizeof line, in))
    if (strncmp (line, "VmRSS:", 6) == 0)
      u.rss_kb = strtoul (line + 6, NULL, 10);
  if (in)
    fclose (in);
  return u;
}

static void
measure (enum target t, uint32_t connections, uint32_t duration_ms,
         struct load_result *r)
{
  static const char request[] = "GET /stock/7 HTTP/1.1\r\n"
                                "Host: 127.0.0.1\r\n"
                                "Authorization: Bearer key-1\r\n\r\n";
  struct load_options o = { .port = ports[t],
                            .connections = connections,
                            .threads = connections > 1 ? THREADS : 1,
                            .duration_ms = duration_ms,
                            .request = request };

  load_run (&o, r);
}

static void
print_row (uint32_t round, enum target t, uint32_t connections,
           const struct load_result *r, double cores)
{
  double rate = (double)r->ok_responses / r->duration_s;
  double p50 = load_quantile_us (r, 0.5);
  double p95 = load_quantile_us (r, 0.95);
  double p99 = load_quantile_us (r, 0.99);

  printf ("%5u %-8s %5u %9.0f %8.0f %8.0f %8.0f %7llu %6.2f %10.0f\n", round,
          target_names[t], connections, rate, p50, p95, p99,
          (unsigned long long)r->failed_requests, cores, rate / cores);
  if (csv)
    fprintf (csv, "%u,%s,%u,%.0f,%.1f,%.1f,%.1f,%llu,%.2f\n", round,
             target_names[t], connections, rate, p50, p95, p99,
             (unsigned long long)r->failed_requests, cores);
}

/* Measures the three targets in turn.  Prints the latency that entry and agent
   add and the request rate through them relative to the other targets.  */
static void
run_round (uint32_t round, uint32_t connections)
{
  struct load_result r[TARGET_COUNT];

  for (enum target t = TARGET_BARE; t < TARGET_COUNT; t++)
    {
      struct usage before = read_usage (pids[t]);
      measure (t, connections, MEASURE_MS, &r[t]);
      print_row (round, t, connections, &r[t],
                 (read_usage (pids[t]).cpu_s - before.cpu_s)
                     / r[t].duration_s);
    }
  printf ("      added p50 %.0f us, p95 %.0f us, p99 %.0f us; "
          "through/bare %.2f, through/direct %.2f\n",
          load_quantile_us (&r[TARGET_PROXIED], 0.5)
              - load_quantile_us (&r[TARGET_DIRECT], 0.5),
          load_quantile_us (&r[TARGET_PROXIED], 0.95)
              - load_quantile_us (&r[TARGET_DIRECT], 0.95),
          load_quantile_us (&r[TARGET_PROXIED], 0.99)
              - load_quantile_us (&r[TARGET_DIRECT], 0.99),
          (double)r[TARGET_PROXIED].ok_responses
              / (double)r[TARGET_BARE].ok_responses,
          (double)r[TARGET_PROXIED].ok_responses
              / (double)r[TARGET_DIRECT].ok_responses);
  for (enum target t = TARGET_BARE; t < TARGET_COUNT; t++)
    load_free (&r[t]);
}

static void
print_process (const char *name, pid_t pid)
{
  struct usage u = read_usage (pid);

  printf ("%-16s %8.2f %8llu\n", name, u.cpu_s, (unsigned long long)u.rss_kb);
}

static void
print_processes (void)
{
  char name[64];

  printf ("\n%-16s %8s %8s\n", "process", "cpu s", "RSS KB");
  print_process ("bare", pids[TARGET_BARE]);
  print_process (fleet.entries[0].name, fleet.entries[0].pid);
  for (uint32_t i = 0; i < fleet.upstreams_count; i++)
    {
      snprintf (name, sizeof name, "agent-%s", fleet.upstreams[i].name);
      print_process (name, fleet.upstreams[i].agent_pid);
      print_process (fleet.upstreams[i].name, fleet.upstreams[i].upstream_pid);
    }
}

/* Writes the settings of CUSTOMERS more customers, which send nothing, in a
   file that is read before that of the customer that sends.  */
static void
write_customers (void)
{
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);
  char key[32];
  char sha[65];

  fputs ("customers:\n", out);
  for (uint32_t i = 0; i < CUSTOMERS; i++)
    {
      snprintf (key, sizeof key, "other-%u", i);
      harness_sha256 (key, sha);
      fprintf (out, "  other-%u: {key_sha256: '%s'}\n", i, sha);
    }
  fclose (out);
  harness_write (fleet.h, "05-customers.yaml", "%s", text);
  free (text);
}

/* Writes limits of the fake upstreams above the number of connections, so that
   admission control queues no request and the added latency is that of the
   path alone.  */
static void
write_limits (void)
{
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);

  fputs ("upstreams:\n", out);
  for (uint32_t i = 0; i < fleet.upstreams_count; i++)
    fprintf (out, "  %s: {limit: 1000, cold_limit: 1000}\n",
             fleet.upstreams[i].name);
  fclose (out);
  harness_write (fleet.h, "50-limits.yaml", "%s", text);
  free (text);
}

static void
start_processes (const char *build)
{
  char address[32];

  fleet_init (&fleet, build, 0, UPSTREAMS, 1);
  write_limits ();
  write_customers ();
  fleet_start (&fleet);
  ports[TARGET_BARE] = harness_port (fleet.h);
  snprintf (address, sizeof address, "127.0.0.1:%u", ports[TARGET_BARE]);
  pids[TARGET_BARE] = harness_start (fleet.h, "bare", "fake-bare", "--address",
                                     address, (char *)NULL);
  ports[TARGET_DIRECT] = fleet.upstreams[0].port;
  pids[TARGET_DIRECT] = fleet.upstreams[0].upstream_pid;
  ports[TARGET_PROXIED] = fleet.entries[0].port;
  pids[TARGET_PROXIED] = fleet.entries[0].pid;
}

static void
open_csv (void)
{
  const char *report = getenv ("BILBERRY_REPORT");
  char path[4096];
  FILE *script;

  if (!report)
    return;
  snprintf (path, sizeof path, "%s/overhead.csv", report);
  csv = fopen (path, "w");
  if (csv)
    fputs ("round,target,connections,rate,p50_us,p95_us,p99_us,others,cores\n",
           csv);
  snprintf (path, sizeof path, "%s/overhead.gnuplot", report);
  script = fopen (path, "w");
  if (!script)
    return;
  fputs ("set terminal png size 800,500\n"
         "set output 'overhead.png'\n"
         "set datafile separator ','\n"
         "set style data histogram\n"
         "set style fill solid\n"
         "set yrange [0:*]\n"
         "set ylabel 'requests a second, many connections'\n"
         "plot 'overhead.csv' using ($3>1?$4:NaN):xtic(2) notitle\n",
         script);
  fclose (script);
}

int
main (void)
{
  const char *build = getenv ("BILBERRY_BUILD");
  struct load_result r;

  setvbuf (stdout, NULL, _IOLBF, 0);
  open_csv ();
  start_processes (build ? build : "build");
  for (enum target t = TARGET_BARE; t < TARGET_COUNT; t++)
    {
      measure (t, CONNECTIONS, WARMUP_MS, &r);
      load_free (&r);
    }
  printf ("%5s %-8s %5s %9s %8s %8s %8s %7s %6s %10s\n", "round", "target",
          "conns", "req/s", "p50 us", "p95 us", "p99 us", "others", "cores",
          "req/core s");
  for (uint32_t round = 1; round <= ROUNDS; round++)
    {
      run_round (round, 1);
      run_round (round, CONNECTIONS);
    }
  print_processes ();
  if (csv)
    fclose (csv);
  fleet_free (&fleet);
  return 0;
}
