/* incidents - gossip traffic, calls to the configuration service and time to
   agreement during ordinary restarts, after the loss of a rack or a failure
   domain, and during and after a network partition.  In virtual time.

   Usage: incidents [MEMBERS]  */

#include "../test/harness/member_run.h"
#include "report.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  WARMUP_MS = 30000,
  IP_UDP_HEADER_BYTES = 28,
  DOMAINS = 7,
  RACK_VMS = 16,
  REGION_DOMAINS = 3, /* failure domains cut off by the partition */
  PARTITION_MS = 3600000,
  SETTLE_TIMEOUT_MS = 600000,
  STEP_MS = 1000
};

/* Members count as converged above this result of member_run_agreement.  */
static const double converged_share = 0.999;

/* Returns the bytes sent and received so far, with IP and UDP headers, divided
   by NODES.  */
static double
bytes_per_node (const struct member_run *r, uint32_t nodes)
{
  struct bb_member_stats s = member_run_stats (r);

  return ((double)(s.sent_bytes + s.received_bytes)
          + IP_UDP_HEADER_BYTES * (double)(s.sent + s.received))
         / nodes;
}

static struct member_run *
start_run (uint32_t members, uint64_t seed)
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
  member_run_advance (r, WARMUP_MS);
  return r;
}

/* Advances until all members agree on who is up, for SETTLE_TIMEOUT_MS at
   most.  Prints the times to agreement and the mean and highest traffic of a
   node.  */
static void
await_agreement (struct member_run *r, const char *label, FILE *csv)
{
  uint32_t up_count = 0;
  bb_ms elapsed_ms = 0;
  bb_ms converged_ms = -1;
  double max_bytes_per_s = 0;
  double first_bytes;
  double last_bytes;

  for (uint32_t i = 0; i < r->options.members; i++)
    up_count += r->nodes[i].members != NULL;
  first_bytes = last_bytes = bytes_per_node (r, up_count);
  while (elapsed_ms < SETTLE_TIMEOUT_MS && !member_run_all_agree (r, true))
    {
      double now_bytes;
      member_run_advance (r, STEP_MS);
      elapsed_ms += STEP_MS;
      if (converged_ms < 0 && member_run_agreement (r) > converged_share)
        converged_ms = elapsed_ms;
      now_bytes = bytes_per_node (r, up_count);
      max_bytes_per_s
          = MAX (max_bytes_per_s, (now_bytes - last_bytes) * 1000 / STEP_MS);
      last_bytes = now_bytes;
    }
  printf ("%-34s %6u up: 99.9%% of pairs agree after %4lld s, all after "
          "%4lld s%s; bytes/s a node mean "
          "%5.0f, most %5.0f\n",
          label, up_count, (long long)(converged_ms / 1000),
          (long long)(elapsed_ms / 1000),
          elapsed_ms < SETTLE_TIMEOUT_MS ? "" : " (not yet)",
          elapsed_ms ? (last_bytes - first_bytes) * 1000 / (double)elapsed_ms
                     : 0,
          max_bytes_per_s);
  fprintf (
      csv, "%s,%u,%lld,%.0f,%.0f\n", label, up_count, (long long)elapsed_ms,
      elapsed_ms ? (last_bytes - first_bytes) * 1000 / (double)elapsed_ms : 0,
      max_bytes_per_s);
  fflush (stdout);
}

/* Stops COUNT members, with WHOLE_DOMAIN only those in failure domain 0, and
   starts them again when the others agree.  */
static void
measure_loss (uint32_t members, const char *label, uint32_t count,
              bool whole_domain, FILE *csv)
{
  struct member_run *r = start_run (members, members);
  uint64_t calls_before;

  for (uint32_t i = 0, stopped = 0; i < members && stopped < count; i++)
    if (!whole_domain || r->directory.peers[i].failure_domain == 0)
      {
        member_run_stop (r, i);
        stopped++;
      }
  calls_before = r->service_calls;
  r->service_calls_peak = 0;
  await_agreement (r, label, csv);
  for (uint32_t i = 0; i < members; i++)
    if (!r->nodes[i].members)
      member_run_start (r, i);
  await_agreement (r, "  and back", csv);
  printf ("  calls to the service: %llu, most in a second %llu\n",
          (unsigned long long)(r->service_calls - calls_before),
          (unsigned long long)r->service_calls_peak);
  member_run_free (r);
}

static void
measure_partition (uint32_t members, FILE *csv)
{
  struct member_run *r = start_run (members, members);
  double before_bytes;

  member_run_partition (r, REGION_DOMAINS);
  before_bytes = bytes_per_node (r, members);
  member_run_advance (r, PARTITION_MS);
  printf ("%-34s %6u up: bytes/s a node during the hour %5.0f\n",
          "region cut for an hour", members,
          (bytes_per_node (r, members) - before_bytes) * 1000 / PARTITION_MS);
  member_run_partition (r, 0);
  await_agreement (r, "  and healed", csv);
  member_run_free (r);
}

/* Restarts random members for SPAN_MS at RATE_FACTOR times the ordinary rate,
   RESTARTS_PER_DAY in a fleet of FLEET_MEMBERS, while a new configuration is
   published every CHANGE_MS.  */
static void
measure_daily_changes (uint32_t members)
{
  enum
  {
    SPAN_MS = 300000,
    DAY_MS = 86400000,
    RATE_FACTOR = 10,
    RESTARTS_PER_DAY = 1341,
    FLEET_MEMBERS = 6100,
    CHANGE_MS = 12700
  };
  struct member_run *r = start_run (members, members);
  GRand *rand = bb_sim_rand (r->sim);
  bb_ms interval_ms = (bb_ms)DAY_MS * FLEET_MEMBERS
                      / ((bb_ms)RATE_FACTOR * RESTARTS_PER_DAY * members);
  double before_bytes = bytes_per_node (r, members);
  uint64_t calls_before = r->service_calls;
  bb_ms next_change_ms = 0;

  r->service_calls_peak = 0;
  for (bb_ms t = 0; t < SPAN_MS; t += interval_ms)
    {
      uint32_t i = (uint32_t)g_rand_int_range (rand, 0, (gint32)members);
      if (t >= next_change_ms)
        {
          member_run_publish (r);
          next_change_ms += CHANGE_MS;
        }
      member_run_advance (r, interval_ms);
      member_run_stop (r, i);
      member_run_start (r, i);
    }
  printf ("%-34s %6u up: bytes/s a node %5.0f; late %llu; calls a second "
          "%.1f, most %llu\n",
          "ten ordinary days in one", members,
          (bytes_per_node (r, members) - before_bytes) * 1000 / SPAN_MS,
          (unsigned long long)r->late_count,
          (double)(r->service_calls - calls_before) * 1000 / SPAN_MS,
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

/* Measures a configuration of the full size: the processor time of a member
   for each change, and what a new process fetches from other members while the
   configuration service is down.  */
static void
measure_full_size_config (void)
{
  enum
  {
    MEMBERS = 21,
    CONFIG_BYTES = 1407326, /* size of the settings in bench/capacity */
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
  uint64_t last_revision = 0;
  bb_ms elapsed_ms = 0;
  double cpu;

  o.net.delay_min_ms = 1;
  o.net.delay_max_ms = 2;
  r = member_run_new (&o);
  member_run_publish (r);
  for (uint32_t i = 0; i < MEMBERS; i++)
    member_run_start (r, i);
  member_run_advance (r, WARMUP_MS);
  cpu = cpu_s ();
  for (uint32_t i = 0; i < CHANGES; i++)
    {
      last_revision = member_run_publish (r);
      member_run_advance (r, CHANGE_MS);
    }
  cpu = (cpu_s () - cpu) / CHANGES / MEMBERS;
  printf ("configuration of %d bytes: %.1f ms of a core for each change a "
          "member, without parsing\n",
          CONFIG_BYTES, cpu * 1000);
  r->service_down = true;
  member_run_stop (r, 0);
  member_run_start (r, 0);
  while (elapsed_ms < FETCH_MS && r->nodes[0].active_revision < last_revision)
    {
      member_run_advance (r, POLL_MS);
      elapsed_ms += POLL_MS;
    }
  s = bb_members_stats (r->nodes[0].members);
  printf ("fresh process: in force after %lld ms, %.0f bytes sent and %.0f "
          "received in %llu messages\n",
          (long long)elapsed_ms,
          (double)s->sent_bytes + IP_UDP_HEADER_BYTES * (double)s->sent,
          (double)s->received_bytes
              + IP_UDP_HEADER_BYTES * (double)s->received,
          (unsigned long long)s->sent + s->received);
  member_run_free (r);
}

int
main (int argc, char **argv)
{
  uint32_t members = argc > 1 ? (uint32_t)strtoul (argv[1], NULL, 10) : 1000;
  FILE *csv = report_open ("incidents.csv");

  measure_full_size_config ();
  measure_daily_changes (members);
  measure_loss (members, "a rack lost", RACK_VMS, false, csv);
  measure_loss (members, "a failure domain lost", members, true, csv);
  measure_partition (members / 4, csv);
  fclose (csv);
  return 0;
}
