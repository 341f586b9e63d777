/* entry - processor time of an entry for a routing choice, a stream event, a
   choice of the agents to connect to, a request, a token, and while idle; its
   memory.  A link is the connection of an entry to an agent.  */

#include "../test/harness/fleet.h"
#include "report.h"

#include "bilberry/route.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum
{
  CHOICES = 200000,
  EVENTS = 200000,
  REQUESTS = 2000,
  STREAMS = 20,
  TOKENS = 500,
  IDLE_MEASURE_MS = 5000,
  MANY_AGENTS = 12
};

static FILE *csv;

static void
print_value (const char *label, double value, const char *unit)
{
  printf ("%-52s %10.3f %s\n", label, value, unit);
  fprintf (csv, "\"%s\",%.4f,%s\n", label, value, unit);
}

static double
cpu_now_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &ts);
  return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static void
measure_choice (uint32_t count)
{
  GRand *rand = g_rand_new_with_seed (1);
  struct bb_candidate c[64] = { 0 };
  char label[64];
  double start;

  for (uint32_t i = 0; i < count; i++)
    c[i] = (struct bb_candidate){ .own_in_flight = i % 5,
                                  .other_requests = i % 7,
                                  .limit = 32,
                                  .ramp_percent = 100,
                                  .same_domain = i % 7 == 0 };
  start = cpu_now_us ();
  for (uint32_t i = 0; i < CHOICES; i++)
    c[bb_route_choose (c, count, rand)].report_age_ms = i % 500;
  snprintf (label, sizeof label, "choice among %u links", count);
  print_value (label, (cpu_now_us () - start) / CHOICES, "us");
  g_rand_free (rand);
}

static void
count_event_bytes (void *arg, struct bb_bytes event)
{
  *(uint64_t *)arg += event.size;
}

static void
measure_events (void)
{
  struct bb_stream s = { 0 };
  struct bb_bytes event = bb_bytes_of (
      "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t12345678-12 "
      "\"}}]}\n\n");
  uint64_t bytes = 0;
  double start = cpu_now_us ();

  for (uint32_t i = 0; i < EVENTS; i++)
    bb_stream_feed (&s, event, count_event_bytes, &bytes);
  print_value ("event of one token followed", (cpu_now_us () - start) / EVENTS,
               "us");
  bb_stream_free (&s);
}

/* Prints how evenly the links of ENTRIES entries spread over UPSTREAMS agents
   of one pool, where each entry chooses MAX of them.  */
static void
measure_subset (uint32_t upstreams, uint32_t entries, uint32_t max)
{
  static const char *const domains[] = { "a", "b", "c", "d", "e", "f", "g" };
  struct bb_subset_item *items = calloc (upstreams, sizeof *items);
  char (*names)[16] = calloc (upstreams, 16);
  uint32_t *links = calloc (upstreams, sizeof *links);
  uint32_t max_links = 0;
  uint32_t min_links = UINT32_MAX;
  double start;

  for (uint32_t i = 0; i < upstreams; i++)
    {
      snprintf (names[i], 16, "u-%u", i);
      items[i].name = names[i];
      items[i].failure_domain = domains[i % G_N_ELEMENTS (domains)];
    }
  start = cpu_now_us ();
  for (uint32_t e = 0; e < entries; e++)
    {
      char name[16];
      snprintf (name, sizeof name, "entry-%u", e);
      bb_subset_choose (items, upstreams, max, name);
      for (uint32_t i = 0; i < upstreams; i++)
        links[i] += items[i].chosen ? 1 : 0;
    }
  printf ("subset of %u of %u agents, %u entries\n", max, upstreams, entries);
  print_value ("time to choose", (cpu_now_us () - start) / entries, "us");
  for (uint32_t i = 0; i < upstreams; i++)
    {
      max_links = MAX (max_links, links[i]);
      min_links = MIN (min_links, links[i]);
    }
  print_value ("links of an agent, mean", (double)entries * max / upstreams,
               "");
  print_value ("links of an agent, least", min_links, "");
  print_value ("links of an agent, most", max_links, "");
  free (items);
  free (names);
  free (links);
}

/* Returns the processor time that process PID has used so far.  */
static double
process_cpu_ms (pid_t pid)
{
  char path[64];
  unsigned long long ns = 0;
  FILE *in;

  snprintf (path, sizeof path, "/proc/%d/schedstat", pid);
  in = fopen (path, "r");
  if (!in || fscanf (in, "%llu", &ns) != 1)
    abort ();
  fclose (in);
  return (double)ns / 1e6;
}

static double
process_rss_kb (pid_t pid)
{
  char path[64];
  unsigned long pages = 0;
  FILE *in;

  snprintf (path, sizeof path, "/proc/%d/statm", pid);
  in = fopen (path, "r");
  if (!in || fscanf (in, "%*u %lu", &pages) != 1)
    abort ();
  fclose (in);
  return (double)pages * (double)sysconf (_SC_PAGESIZE) / 1024;
}

static void
measure_requests (struct fleet *f)
{
  pid_t pid = f->entries[0].pid;
  double start = process_cpu_ms (pid);
  struct http_response response;
  char body[160];

  for (uint32_t i = 0; i < REQUESTS; i++)
    {
      response = harness_http (f->entries[0].port, "GET", "/stock/1",
                               fleet_auth_header, "");
      http_response_free (&response);
    }
  print_value ("request on a new connection, entry",
               (process_cpu_ms (pid) - start) * 1000 / REQUESTS, "us");
  start = process_cpu_ms (pid);
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      snprintf (body, sizeof body,
                "{\"stream\":true,\"max_tokens\":%d,\"messages\":[{"
                "\"content\":\"p%u\"}]}",
                TOKENS, i);
      response
          = harness_http (f->entries[0].port, "POST", "/v1/chat/completions",
                          fleet_auth_header, body);
      http_response_free (&response);
    }
  print_value ("token of a lone stream, entry",
               (process_cpu_ms (pid) - start) * 1000 / (STREAMS * TOKENS),
               "us");
}

static void
measure_idle (uint32_t agents)
{
  static struct fleet f;
  char label[64];
  double start;

  f.engine_options[0] = NULL;
  fleet_init (&f,
              getenv ("BILBERRY_BUILD") ? getenv ("BILBERRY_BUILD") : "build",
              agents, 1, 1);
  f.engine_options[0] = "--step-ms";
  f.engine_options[1] = "1";
  fleet_start (&f);
  start = process_cpu_ms (f.entries[0].pid);
  harness_sleep_ms (IDLE_MEASURE_MS);
  snprintf (label, sizeof label, "idle entry with %u links, of a core",
            agents + 1);
  print_value (label,
               (process_cpu_ms (f.entries[0].pid) - start) * 100
                   / IDLE_MEASURE_MS,
               "%");
  snprintf (label, sizeof label, "memory of an entry with %u links",
            agents + 1);
  print_value (label, process_rss_kb (f.entries[0].pid), "KB");
  if (agents == 1)
    measure_requests (&f);
  fleet_free (&f);
}

int
main (void)
{
  csv = report_open ("entry.csv");
  setvbuf (stdout, NULL, _IOLBF, 0);
  measure_choice (12);
  measure_choice (48);
  measure_events ();
  measure_subset (560, 1100, 16);
  measure_subset (560, 1100, 48);
  measure_idle (1);
  measure_idle (MANY_AGENTS);
  measure_idle (40);
  fclose (csv);
  return 0;
}
