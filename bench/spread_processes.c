/* Time to in force with real processes on loopback: agents, entries and a
   stand-in for the configuration service; what each costs while idle.  */

#include "../test/harness/fleet.h"
#include "report.h"

#include <string.h>
#include <sys/time.h>
#include <unistd.h>

enum
{
  DRAFTS = 60,
  ENTRIES = 6,
  EDITS = 10,
  EDIT_GAP_MS = 2500,
  IDLE_MS = 15000,
  WAIT_MS = 20000,
  ALL_MAX = DRAFTS + ENTRIES
};

struct process
{
  pid_t pid;
  uint16_t port;
};

static struct process all[ALL_MAX];
static uint32_t all_count;

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
  fleet_init (f, build, DRAFTS, 0, ENTRIES);
  fleet_use_config_service (f);
  fleet_start_config_service (f, 1);
  for (uint32_t i = 0; i < f->upstreams_count; i++)
    {
      fleet_start_agent (f, &f->upstreams[i]);
      all[all_count].pid = f->upstreams[i].agent_pid;
      all[all_count++].port = f->upstreams[i].operator_port;
    }
  for (uint32_t i = 0; i < f->entries_count; i++)
    {
      fleet_start_entry (f, &f->entries[i]);
      all[all_count].pid = f->entries[i].pid;
      all[all_count++].port = f->entries[i].operator_port;
    }
}

/* Processor time of PID in seconds and its memory in bytes.  */
static double
usage (pid_t pid, double *memory_bytes)
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
by_value (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

/* How long after START process P had REVISION in force.  */
static int64_t
in_force_after (const struct process *p, uint32_t revision, int64_t start)
{
  char text[32];
  struct http_response a;
  const char *at;
  int64_t ms = -1;

  snprintf (text, sizeof text, "\"revision\": %u,", revision);
  if (!harness_await (p->port, "/status", text, WAIT_MS))
    return -1;
  a = harness_http (p->port, "GET", "/status", "", "");
  at = a.body ? strstr (a.body, "\"in_force_unix_ms\": ") : NULL;
  if (at)
    ms = strtoll (at + strlen ("\"in_force_unix_ms\": "), NULL, 10) - start;
  http_response_free (&a);
  return ms;
}

static void
measure_edits (struct fleet *f, FILE *csv)
{
  static int64_t times[EDITS * ALL_MAX];
  uint32_t count = 0;
  uint32_t missing = 0;

  for (uint32_t e = 0; e < EDITS; e++)
    {
      int64_t start = unix_ms ();
      fleet_set_out (f, e % 2 ? "" : "fd-b");
      harness_sleep_ms (EDIT_GAP_MS);
      for (uint32_t i = 0; i < all_count; i++)
        {
          int64_t ms = in_force_after (&all[i], e + 2, start);
          if (ms < 0)
            missing++;
          else
            times[count++] = ms;
          fprintf (csv, "%u,%u,%lld\n", e, i, (long long)ms);
        }
    }
  qsort (times, count, sizeof times[0], by_value);
  printf ("%u processes, %u edits: in force after p50 %lld ms, p99 %lld ms, "
          "max %lld ms; %u not in force\n",
          all_count, EDITS, (long long)times[count / 2],
          (long long)times[count * 99 / 100], (long long)times[count - 1],
          missing);
}

static void
measure_idle (void)
{
  double before[ALL_MAX] = { 0 };
  double memory = 0;
  double cpu[2] = { 0, 0 };
  double most[2] = { 0, 0 };
  double sent = 0;

  for (uint32_t i = 0; i < all_count; i++)
    {
      before[i] = usage (all[i].pid, &memory);
      sent -= (double)harness_counter (all[i].port,
                                       "bilberry_gossip_sent_bytes_total", "");
    }
  harness_sleep_ms (IDLE_MS);
  for (uint32_t i = 0; i < all_count; i++)
    {
      uint32_t entry = i >= DRAFTS;
      cpu[entry] += usage (all[i].pid, &memory) - before[i];
      most[entry] = memory > most[entry] ? memory : most[entry];
      sent += (double)harness_counter (all[i].port,
                                       "bilberry_gossip_sent_bytes_total", "");
    }
  printf ("idle agent: %.2f%% of a core, %.1f MB at most\n",
          cpu[0] * 1e5 / IDLE_MS / DRAFTS, most[0] / 1e6);
  printf ("idle entry: %.2f%% of a core, %.1f MB at most\n",
          cpu[1] * 1e5 / IDLE_MS / ENTRIES, most[1] / 1e6);
  printf ("gossip sent: %.0f bytes a second a process, without IP heads\n",
          sent * 1000 / IDLE_MS / all_count);
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
  measure_edits (&f, csv);
  a = harness_http (f.config_service_port, "GET", "/control", "", "");
  printf ("configuration service: %s\n", a.body ? a.body : "");
  http_response_free (&a);
  fclose (csv);
  fleet_free (&f);
  return 0;
}
