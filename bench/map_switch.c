/* map_switch - messages, bytes and time of one switch to a new map by the
   number of ranks, without message loss or failures.  */

#include "bilberry/map.h"
#include "bilberry/wire.h"
#include "report.h"

#include <stdlib.h>
#include <string.h>

enum
{
  RANKS_MAX = 256,
  LAYERS = 60,
  SLOTS = 2,
  ROUNDS_MAX = 10000,
  SWITCHES = 10
};

/* A group of agents, one for each rank, whose messages are delivered in the
   order in which they are sent.  */
struct group
{
  uint32_t ranks;
  struct bb_switch agents[RANKS_MAX];
  GQueue queue;
  uint64_t message_count;
  uint64_t total_bytes;       /* bytes of all messages, without the maps */
  uint64_t coordinator_bytes; /* part of total_bytes that rank 0 sent */
  uint64_t prepare_count;
  bb_ms now_ms;
};

/* Counts and queues the messages of OUT, which agent FROM sends.  Weights to
   load count as loaded at once.  */
static void
enqueue_messages (struct group *g, uint32_t from, struct bb_switch_out *out)
{
  msgpack_sbuffer buf;

  for (uint32_t i = 0; i < out->count; i++)
    {
      struct bb_map_switch *m = &out->messages[i];
      msgpack_sbuffer_init (&buf);
      m->group = bb_bytes_of ("group-1");
      bb_put_map_switch (&buf, m);
      g->message_count++;
      g->total_bytes += buf.size;
      g->coordinator_bytes += from == 0 ? buf.size : 0;
      g->prepare_count += m->type == BB_SWITCH_PREPARE;
      msgpack_sbuffer_destroy (&buf);
      g_queue_push_tail (&g->queue, g_memdup2 (m, sizeof *m));
    }
  if (out->load_hash != 0)
    {
      struct bb_switch_out loaded_out = { 0 };
      bb_switch_loaded (&g->agents[from], out->load_hash, g->now_ms,
                        &loaded_out);
      enqueue_messages (g, from, &loaded_out);
    }
  bb_switch_out_clear (out);
}

static void
deliver (struct group *g)
{
  struct bb_map_switch *m;

  while ((m = g_queue_pop_head (&g->queue)))
    {
      struct bb_switch_out out = { 0 };
      uint32_t to = m->to;
      bb_switch_receive (&g->agents[to], m, g->now_ms, &out);
      g_free (m);
      enqueue_messages (g, to, &out);
    }
}

static bool
is_settled (const struct group *g)
{
  for (uint32_t i = 0; i < g->ranks; i++)
    if (!bb_switch_is_settled (&g->agents[i]))
      return false;
  return true;
}

/* Runs ticks and deliveries until all agents have settled.  Then marks the
   first step of the new map as started, so that another switch can follow.  */
static void
run_until_settled (struct group *g)
{
  for (uint32_t round = 0; round < ROUNDS_MAX && !is_settled (g); round++)
    {
      g->now_ms += BB_SWITCH_TICK_MS;
      for (uint32_t i = 0; i < g->ranks; i++)
        {
          struct bb_switch_out out = { 0 };
          bb_switch_tick (&g->agents[i], g->now_ms, &out);
          enqueue_messages (g, i, &out);
        }
      deliver (g);
    }
  for (uint32_t i = 0; i < g->ranks; i++)
    g->agents[i].saved.started = g->agents[i].saved.accepted.from_step;
}

static void
measure_switches (uint32_t ranks, FILE *csv)
{
  struct group *g = g_new0 (struct group, 1);
  struct bb_map_size size
      = { .layers = LAYERS, .experts = ranks, .ranks = ranks, .slots = SLOTS };
  struct bb_map *map = bb_map_new (&size);
  size_t map_bytes = 0;
  gint64 elapsed_us;

  g_free (bb_map_pack (map, &map_bytes));
  g->ranks = ranks;
  for (uint32_t i = 0; i < ranks; i++)
    bb_switch_init (&g->agents[i], ranks, i, i + 1, 7);
  run_until_settled (g);
  g->message_count = g->total_bytes = g->coordinator_bytes = g->prepare_count
      = 0;
  elapsed_us = g_get_monotonic_time ();
  for (uint32_t n = 0; n < SWITCHES; n++)
    {
      struct bb_switch_out out = { 0 };
      bb_switch_propose (&g->agents[0], 100 + n, g->now_ms, &out);
      enqueue_messages (g, 0, &out);
      deliver (g);
      run_until_settled (g);
    }
  elapsed_us = g_get_monotonic_time () - elapsed_us;
  printf ("%6u %9.0f %9.1f %12.1f %9.1f %14.1f %9.1f\n", ranks,
          (double)g->message_count / SWITCHES,
          (double)g->total_bytes / SWITCHES / 1e3,
          (double)g->coordinator_bytes / SWITCHES / 1e3,
          (double)map_bytes / 1e3,
          (double)map_bytes * (double)g->prepare_count / SWITCHES / 1e3,
          (double)elapsed_us / SWITCHES / 1e3);
  fprintf (csv, "%u,%.0f,%.0f,%.0f,%zu,%.3f\n", ranks,
           (double)g->message_count / SWITCHES,
           (double)g->total_bytes / SWITCHES,
           (double)g->coordinator_bytes / SWITCHES, map_bytes,
           (double)elapsed_us / SWITCHES / 1e3);
  for (uint32_t i = 0; i < ranks; i++)
    bb_switch_free (&g->agents[i]);
  bb_map_free (map);
  g_free (g);
}

int
main (void)
{
  static const uint32_t ranks[] = { 8, 16, 32, 64, 128, 256 };
  FILE *csv = report_open ("map-switch.csv");

  fprintf (csv, "ranks,messages,bytes,coordinator_bytes,map_bytes,cpu_ms\n");
  printf ("%6s %9s %9s %12s %9s %14s %9s\n", "ranks", "messages", "KB",
          "lead-sent-KB", "map-KB", "maps-sent-KB", "cpu-ms");
  for (size_t i = 0; i < sizeof ranks / sizeof *ranks; i++)
    measure_switches (ranks[i], csv);
  fclose (csv);
  return 0;
}
