/* spread_processes - time until a new configuration is active at agents and
   entries, as real processes on loopback with a fake configuration service;
   processor time, memory and gossip of the idle processes.  */

#include "../test/harness/fleet.h"
#include "report.h"

#include <string.h>
#include <sys/time.h>
#include <unistd.h>

enum
{
  AGENTS = 60,
  ENTRIES = 6,
  CHANGES = 10,
  CHANGE_INTERVAL_MS = 2500,
  IDLE_MEASURE_MS = 15000,
  ACTIVATION_TIMEOUT_MS = 20000,
  PROCESSES_MAX = AGENTS + ENTRIES
};

struct process
{
  pid_t pid;
  uint16_t port;
};

static struct process processes[PROCESSES_MAX];
static uint32_t process_count;

static int64_t
unix_ms (void)
{
  struct timeval tv;

  gettimeofday (&tv, NULL);
  return (int64_t)tv.tv_sec * 1000 + tv.tv_usec / 1000;
}

static void
start_fleet (struct fleet *f, const char *build)
{
  fleet_init (f, build, AGENTS, 0, ENTRIES);
  fleet_use_config_service (f);
  fleet_start_config_service (f, 1);
  for (uint32_t i = 0; i < f->upstreams_count; i++)
    {
      fleet_start_agent (f, &f->upstreams[i]);
      processes[process_count].pid = f->upstreams[i].agent_pid;
      processes[process_count++].port = f->upstreams[i].operator_port;
    }
  for (uint32_t i = 0; i < f->entries_count; i++)
    {
      fleet_start_entry (f, &f->entries[i]);
      processes[process_count].pid = f->entries[i].pid;
      processes[process_count++].port = f->entries[i].operator_port;
    }
}

/* Returns the processor time that process PID has used so far.  Its resident
   memory is stored in *MEMORY_BYTES.  */
static double
process_cpu_s (pid_t pid, double *memory_bytes)
{
  char path[64];
  char line[1024] = "";
  unsigned long user = 0;
  unsigned long system = 0;
  unsigned long pages = 0;
  const char *at;
  FILE *in;

  snprintf (path, sizeof path, "/proc/%d/stat", (int)pid);
  in = fopen (path, "r");
  if (!in || !fgets (line, sizeof line, in))
    abort ();
  fclose (in);
  at = strrchr (line, ')');
  sscanf (at, ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
          &system);
  snprintf (path, sizeof path, "/proc/%d/statm", (int)pid);
  in = fopen (path, "r");
  if (!in || fscanf (in, "%*u %lu", &pages) != 1)
    abort ();
  fclose (in);
  *memory_bytes = (double)pages * (double)sysconf (_SC_PAGESIZE);
  return (double)(user + system) / (double)sysconf (_SC_CLK_TCK);
}

static int
compare_int64 (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

/* Returns how long after START_MS, in Unix time, REVISION became active at
   process P; -1 if it has not within ACTIVATION_TIMEOUT_MS.  */
static int64_t
activation_delay_ms (const struct process *p, uint32_t revision,
                     int64_t start_ms)
{
  char text[32];
  struct http_response a;
  const char *field;
  int64_t ms = -1;

  snprintf (text, sizeof text, "\"revision\": %u,", revision);
  if (!harness_await (p->port, "/status", text, ACTIVATION_TIMEOUT_MS))
    return -1;
  a = harness_http (p->port, "GET", "/status", "", "");
  field = a.body ? strstr (a.body, "\"in_force_unix_ms\": ") : NULL;
  if (field)
    ms = strtoll (field + strlen ("\"in_force_unix_ms\": "), NULL, 10)
         - start_ms;
  http_response_free (&a);
  return ms;
}

static void
measure_changes (struct fleet *f, FILE *csv)
{
  static int64_t delays_ms[CHANGES * PROCESSES_MAX];
  uint32_t count = 0;
  uint32_t missing = 0;

  for (uint32_t e = 0; e < CHANGES; e++)
    {
      int64_t start_ms = unix_ms ();
      fleet_set_out (f, e % 2 ? "" : "fd-b");
      harness_sleep_ms (CHANGE_INTERVAL_MS);
      for (uint32_t i = 0; i < process_count; i++)
        {
          int64_t ms = activation_delay_ms (&processes[i], e + 2, start_ms);
          if (ms < 0)
            missing++;
          else
            delays_ms[count++] = ms;
          fprintf (csv, "%u,%u,%lld\n", e, i, (long long)ms);
        }
    }
  qsort (delays_ms, count, sizeof delays_ms[0], compare_int64);
  printf ("%u processes, %u edits: in force after p50 %lld ms, p99 %lld ms, "
          "max %lld ms; %u not in force\n",
          process_count, CHANGES, (long long)delays_ms[count / 2],
          (long long)delays_ms[count * 99 / 100],
          (long long)delays_ms[count - 1], missing);
}

static void
measure_idle (void)
{
  double before_cpu_s[PROCESSES_MAX] = { 0 };
  double memory_bytes = 0;
  double cpu_s[2] = { 0, 0 };
  double max_memory_bytes[2] = { 0, 0 };
  double sent_bytes = 0;

  for (uint32_t i = 0; i < process_count; i++)
    {
      before_cpu_s[i] = process_cpu_s (processes[i].pid, &memory_bytes);
      sent_bytes -= (double)harness_counter (
          processes[i].port, "bilberry_gossip_sent_bytes_total", "");
    }
  harness_sleep_ms (IDLE_MEASURE_MS);
  for (uint32_t i = 0; i < process_count; i++)
    {
      uint32_t is_entry = i >= AGENTS;
      cpu_s[is_entry]
          += process_cpu_s (processes[i].pid, &memory_bytes) - before_cpu_s[i];
      max_memory_bytes[is_entry] = memory_bytes > max_memory_bytes[is_entry]
                                       ? memory_bytes
                                       : max_memory_bytes[is_entry];
      sent_bytes += (double)harness_counter (
          processes[i].port, "bilberry_gossip_sent_bytes_total", "");
    }
  printf ("idle agent: %.2f%% of a core, %.1f MB at most\n",
          cpu_s[0] * 1e5 / IDLE_MEASURE_MS / AGENTS,
          max_memory_bytes[0] / 1e6);
  printf ("idle entry: %.2f%% of a core, %.1f MB at most\n",
          cpu_s[1] * 1e5 / IDLE_MEASURE_MS / ENTRIES,
          max_memory_bytes[1] / 1e6);
  printf ("gossip sent: %.0f bytes a second a process, without IP heads\n",
          sent_bytes * 1000 / IDLE_MEASURE_MS / process_count);
}

int
main (void)
{
  const char *build = getenv ("BILBERRY_BUILD");
  FILE *csv = report_open ("spread_processes.csv");
  static struct fleet f;
  struct http_response a;

  start_fleet (&f, build ? build : "build");
  measure_idle ();
  measure_changes (&f, csv);
  a = harness_http (f.config_service_port, "GET", "/control", "", "");
  printf ("configuration service: %s\n", a.body ? a.body : "");
  http_response_free (&a);
  fclose (csv);
  fleet_free (&f);
  return 0;
}
