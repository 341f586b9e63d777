/* What an ordinary day, a lost rack, a lost failure domain and a region cut
   cost the members, in virtual time.  */

#include "../test/harness/member_run.h"
#include "report.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  WARM_MS = 30000,
  HEAD_BYTES = 28,
  DOMAINS = 7,
  RACK = 16, /* VMs */
  REGION_DOMAINS = 3,
  CUT_MS = 3600000,
  LIMIT_MS = 600000,
  STEP_MS = 1000
};

static const double nearly_all = 0.999;

static double
node_bytes (const struct member_run *r, uint32_t nodes)
{
  struct bb_member_stats s = member_run_stats (r);

  return ((double)(s.sent_bytes + s.received_bytes)
          + HEAD_BYTES * (double)(s.sent + s.received))
         / nodes;
}

static struct member_run *
start (uint32_t members, uint64_t seed)
{
  struct member_run_options o = {
    .seed = seed, .members = members, .domains = DOMAINS, .config_bytes = 4096
  };
  struct member_run *r;

  o.net.delay_min_ms = 1;
  o.net.delay_max_ms = 40;
  o.net.loss_permille = 5;
  r = member_run_new (&o);
  member_run_publish (r);
  for (uint32_t i = 0; i < members; i++)
    member_run_start (r, i);
  member_run_advance (r, WARM_MS);
  return r;
}

/* Advances until all agree; prints the highest and mean cost.  */
static void
settle (struct member_run *r, const char *what, FILE *csv)
{
  uint32_t up = 0;
  bb_ms spent = 0;
  bb_ms nearly = -1;
  double most = 0;
  double first;
  double last;

  for (uint32_t i = 0; i < r->options.members; i++)
    up += r->nodes[i].members != NULL;
  first = last = node_bytes (r, up);
  while (spent < LIMIT_MS && !member_run_all_agree (r, true))
    {
      double now;
      member_run_advance (r, STEP_MS);
      spent += STEP_MS;
      if (nearly < 0 && member_run_agreement (r) > nearly_all)
        nearly = spent;
      now = node_bytes (r, up);
      most = MAX (most, (now - last) * 1000 / STEP_MS);
      last = now;
    }
  printf ("%-34s %6u up: 99.9%% of pairs agree after %4lld s, all after "
          "%4lld s%s; bytes/s a node mean "
          "%5.0f, most %5.0f\n",
          what, up, (long long)(nearly / 1000), (long long)(spent / 1000),
          spent < LIMIT_MS ? "" : " (not yet)",
          spent ? (last - first) * 1000 / (double)spent : 0, most);
  fprintf (csv, "%s,%u,%lld,%.0f,%.0f\n", what, up, (long long)spent,
           spent ? (last - first) * 1000 / (double)spent : 0, most);
  fflush (stdout);
}

static void
lose (uint32_t members, const char *what, uint32_t count, bool domain,
      FILE *csv)
{
  struct member_run *r = start (members, members);
  uint64_t calls;

  for (uint32_t i = 0, gone = 0; i < members && gone < count; i++)
    if (!domain || r->directory.peers[i].failure_domain == 0)
      {
        member_run_stop (r, i);
        gone++;
      }
  calls = r->service_calls;
  r->service_calls_peak = 0;
  settle (r, what, csv);
  for (uint32_t i = 0; i < members; i++)
    if (!r->nodes[i].members)
      member_run_start (r, i);
  settle (r, "  and back", csv);
  printf ("  calls to the service: %llu, most in a second %llu\n",
          (unsigned long long)(r->service_calls - calls),
          (unsigned long long)r->service_calls_peak);
  member_run_free (r);
}

static void
cut (uint32_t members, FILE *csv)
{
  struct member_run *r = start (members, members);
  double before;

  member_run_partition (r, REGION_DOMAINS);
  before = node_bytes (r, members);
  member_run_advance (r, CUT_MS);
  printf ("%-34s %6u up: bytes/s a node during the hour %5.0f\n",
          "region cut for an hour", members,
          (node_bytes (r, members) - before) * 1000 / CUT_MS);
  member_run_partition (r, 0);
  settle (r, "  and healed", csv);
  member_run_free (r);
}

/* A day's restarts and failures pressed into SPAN_MS at ten times the rate.
 */
static void
ordinary (uint32_t members)
{
  enum
  {
    SPAN_MS = 300000,
    DAY_MS = 86400000,
    TIMES = 10,
    EVENTS = 1341,
    FLEET = 6100,
    CHANGE_MS = 12700
  };
  struct member_run *r = start (members, members);
  GRand *rand = bb_sim_rand (r->sim);
  bb_ms gap = (bb_ms)DAY_MS * FLEET / ((bb_ms)TIMES * EVENTS * members);
  double before = node_bytes (r, members);
  uint64_t calls = r->service_calls;
  bb_ms next_change = 0;

  r->service_calls_peak = 0;
  for (bb_ms t = 0; t < SPAN_MS; t += gap)
    {
      uint32_t i = (uint32_t)g_rand_int_range (rand, 0, (gint32)members);
      if (t >= next_change)
        {
          member_run_publish (r);
          next_change += CHANGE_MS;
        }
      member_run_advance (r, gap);
      member_run_stop (r, i);
      member_run_start (r, i);
    }
  printf ("%-34s %6u up: bytes/s a node %5.0f; late %llu; calls a second "
          "%.1f, most %llu\n",
          "ten ordinary days in one", members,
          (node_bytes (r, members) - before) * 1000 / SPAN_MS,
          (unsigned long long)r->late_count,
          (double)(r->service_calls - calls) * 1000 / SPAN_MS,
          (unsigned long long)r->service_calls_peak);
  member_run_free (r);
}

static double
cpu_s (void)
{
  struct timespec t;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

/* A configuration of the whole size: what one change costs each process, and
   what a process that starts fetches.  */
static void
whole_size (void)
{
  enum
  {
    MEMBERS = 21,
    CONFIG_BYTES = 1407326, /* as bench/capacity makes it */
    CHANGES = 20,
    CHANGE_MS = 2000,
    FETCH_MS = 20000,
    POLL_MS = 10
  };
  struct member_run_options o = { .seed = 1,
                                  .members = MEMBERS,
                                  .domains = DOMAINS,
                                  .config_bytes = CONFIG_BYTES };
  struct member_run *r;
  const struct bb_member_stats *s;
  uint64_t last = 0;
  bb_ms spent = 0;
  double cpu;

  o.net.delay_min_ms = 1;
  o.net.delay_max_ms = 2;
  r = member_run_new (&o);
  member_run_publish (r);
  for (uint32_t i = 0; i < MEMBERS; i++)
    member_run_start (r, i);
  member_run_advance (r, WARM_MS);
  cpu = cpu_s ();
  for (uint32_t i = 0; i < CHANGES; i++)
    {
      last = member_run_publish (r);
      member_run_advance (r, CHANGE_MS);
    }
  cpu = (cpu_s () - cpu) / CHANGES / MEMBERS;
  printf ("configuration of %d bytes: %.1f ms of a core for each change a "
          "member, without parsing\n",
          CONFIG_BYTES, cpu * 1000);
  r->service_down = true;
  member_run_stop (r, 0);
  member_run_start (r, 0);
  while (spent < FETCH_MS && r->nodes[0].active_revision < last)
    {
      member_run_advance (r, POLL_MS);
      spent += POLL_MS;
    }
  s = bb_members_stats (r->nodes[0].members);
  printf ("fresh process: in force after %lld ms, %.0f bytes sent and %.0f "
          "received in %llu messages\n",
          (long long)spent,
          (double)s->sent_bytes + HEAD_BYTES * (double)s->sent,
          (double)s->received_bytes + HEAD_BYTES * (double)s->received,
          (unsigned long long)s->sent + s->received);
  member_run_free (r);
}

int
main (int argc, char **argv)
{
  uint32_t members = argc > 1 ? (uint32_t)strtoul (argv[1], NULL, 10) : 1000;
  FILE *csv = report_open ("incidents.csv");

  whole_size ();
  ordinary (members);
  lose (members, "a rack lost", RACK, false, csv);
  lose (members, "a failure domain lost", members, true, csv);
  cut (members / 4, csv);
  fclose (csv);
  return 0;
}
