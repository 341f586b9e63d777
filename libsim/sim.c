/* Event queue, a binary heap ordered by time, and simulated network.  */

#include "bilberry/sim.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

enum
{
  NO_NODE = UINT32_MAX
};

struct event
{
  bb_ms time_ms;
  uint64_t sequence_number; /* orders events of the same time */
  uint32_t node;            /* NO_NODE: not the timer of a node */
  uint32_t epoch;           /* epoch of the node when the event was added */
  bb_sim_fn *fn;            /* NULL: a message of SIZE bytes at DATA */
  void *arg;
  uint32_t from; /* node that sent the message */
  size_t size;
  char *data;
};

struct node
{
  uint32_t epoch; /* number of crashes */
  uint32_t partition;
  bb_ms resume_ms; /* end of the pause; the node runs if it is not later */
};

struct bb_sim
{
  bb_ms now_ms;
  uint64_t next_sequence_number;
  GRand *rand;
  struct event **heap;
  size_t heap_count;
  size_t heap_capacity;
  struct node *nodes;
  uint32_t nodes_count;
  struct bb_sim_net net;
  bb_sim_deliver_fn *deliver;
  void *deliver_arg;
  struct bb_sim_counts counts;
};

struct bb_sim *
bb_sim_new (uint64_t seed, uint32_t nodes)
{
  struct bb_sim *sim = g_new0 (struct bb_sim, 1);
  guint32 words[2] = { (guint32)seed, (guint32)(seed >> 32) };

  sim->rand = g_rand_new_with_seed_array (words, 2);
  sim->nodes = g_new0 (struct node, nodes);
  sim->nodes_count = nodes;
  sim->net.delay_min_ms = 1;
  sim->net.delay_max_ms = 1;
  return sim;
}

static void
free_event (struct event *e)
{
  g_free (e->data);
  g_free (e);
}

void
bb_sim_free (struct bb_sim *sim)
{
  for (size_t i = 0; i < sim->heap_count; i++)
    free_event (sim->heap[i]);
  g_free (sim->heap);
  g_free (sim->nodes);
  g_rand_free (sim->rand);
  g_free (sim);
}

bb_ms
bb_sim_now (const struct bb_sim *sim)
{
  return sim->now_ms;
}

GRand *
bb_sim_rand (struct bb_sim *sim)
{
  return sim->rand;
}

static bool
is_before (const struct event *a, const struct event *b)
{
  if (a->time_ms != b->time_ms)
    return a->time_ms < b->time_ms;
  return a->sequence_number < b->sequence_number;
}

static void
heap_push (struct bb_sim *sim, struct event *e)
{
  size_t i = sim->heap_count++;

  if (sim->heap_count > sim->heap_capacity)
    {
      sim->heap_capacity = sim->heap_capacity ? sim->heap_capacity * 2 : 64;
      sim->heap = g_renew (struct event *, sim->heap, sim->heap_capacity);
    }
  while (i > 0 && is_before (e, sim->heap[(i - 1) / 2]))
    {
      sim->heap[i] = sim->heap[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  sim->heap[i] = e;
}

static struct event *
heap_pop (struct bb_sim *sim)
{
  struct event *top = sim->heap[0];
  struct event *last = sim->heap[--sim->heap_count];
  size_t i = 0;

  for (;;)
    {
      size_t child = 2 * i + 1;
      if (child >= sim->heap_count)
        break;
      if (child + 1 < sim->heap_count
          && is_before (sim->heap[child + 1], sim->heap[child]))
        child++;
      if (!is_before (sim->heap[child], last))
        break;
      sim->heap[i] = sim->heap[child];
      i = child;
    }
  sim->heap[i] = last;
  return top;
}

static struct event *
new_event (struct bb_sim *sim, uint32_t node, bb_ms delay_ms)
{
  struct event *e = g_new0 (struct event, 1);

  assert (delay_ms >= 0);
  e->time_ms = sim->now_ms + delay_ms;
  e->sequence_number = sim->next_sequence_number++;
  e->node = node;
  if (node != NO_NODE)
    {
      assert (node < sim->nodes_count);
      e->epoch = sim->nodes[node].epoch;
    }
  return e;
}

void
bb_sim_schedule (struct bb_sim *sim, bb_ms delay_ms, bb_sim_fn *fn, void *arg)
{
  struct event *e = new_event (sim, NO_NODE, delay_ms);

  e->fn = fn;
  e->arg = arg;
  heap_push (sim, e);
}

void
bb_sim_schedule_on_node (struct bb_sim *sim, uint32_t node, bb_ms delay_ms,
                         bb_sim_fn *fn, void *arg)
{
  struct event *e = new_event (sim, node, delay_ms);

  e->fn = fn;
  e->arg = arg;
  heap_push (sim, e);
}

static void
run_event (struct bb_sim *sim, struct event *e)
{
  if (e->fn)
    {
      e->fn (sim, e->arg);
      return;
    }
  assert (e->node < sim->nodes_count && e->from < sim->nodes_count);
  if (sim->nodes[e->from].partition != sim->nodes[e->node].partition)
    {
      sim->counts.dropped++;
      return;
    }
  sim->counts.delivered++;
  sim->deliver (sim, e->from, e->node, e->data, e->size, sim->deliver_arg);
}

/* Whether the node of E has crashed since E was added.  */
static bool
is_stale (const struct bb_sim *sim, const struct event *e)
{
  return e->node != NO_NODE && sim->nodes[e->node].epoch != e->epoch;
}

/* If the node of E is paused, queues E again for the end of the pause and
   returns true.  */
static bool
defer_if_paused (struct bb_sim *sim, struct event *e)
{
  if (e->node == NO_NODE || sim->nodes[e->node].resume_ms <= sim->now_ms)
    return false;
  e->time_ms = sim->nodes[e->node].resume_ms;
  heap_push (sim, e);
  return true;
}

uint64_t
bb_sim_run (struct bb_sim *sim, bb_ms until_ms)
{
  uint64_t events_run = 0;

  while (sim->heap_count > 0 && sim->heap[0]->time_ms <= until_ms)
    {
      struct event *e = heap_pop (sim);

      assert (e->time_ms >= sim->now_ms);
      sim->now_ms = e->time_ms;
      if (is_stale (sim, e))
        {
          sim->counts.dropped += e->fn ? 0 : 1;
          free_event (e);
          continue;
        }
      if (defer_if_paused (sim, e))
        continue;
      run_event (sim, e);
      free_event (e);
      events_run++;
    }
  if (sim->now_ms < until_ms)
    sim->now_ms = until_ms;
  return events_run;
}

void
bb_sim_set_net (struct bb_sim *sim, const struct bb_sim_net *net)
{
  assert (net->delay_min_ms <= net->delay_max_ms);
  sim->net = *net;
}

void
bb_sim_on_deliver (struct bb_sim *sim, bb_sim_deliver_fn *fn, void *arg)
{
  sim->deliver = fn;
  sim->deliver_arg = arg;
}

static bool
random_permille (struct bb_sim *sim, uint32_t permille)
{
  return permille > 0
         && (uint32_t)g_rand_int_range (sim->rand, 0, 1000) < permille;
}

/* Queues a copy of the message with a random delay, or drops it as lost.  */
static void
enqueue_message (struct bb_sim *sim, uint32_t from, uint32_t to,
                 const void *data, size_t size)
{
  bb_ms span = sim->net.delay_max_ms - sim->net.delay_min_ms;
  bb_ms delay = sim->net.delay_min_ms;
  struct event *e;

  if (random_permille (sim, sim->net.loss_permille))
    {
      sim->counts.dropped++;
      return;
    }
  if (span > 0)
    delay += g_rand_int_range (sim->rand, 0, (gint32)span + 1);
  e = new_event (sim, to, delay);
  e->from = from;
  e->size = size;
  e->data = g_memdup2 (data, size);
  heap_push (sim, e);
}

void
bb_sim_send (struct bb_sim *sim, uint32_t from, uint32_t to, const void *data,
             size_t size)
{
  assert (from < sim->nodes_count);
  sim->counts.sent++;
  sim->counts.sent_bytes += size;
  enqueue_message (sim, from, to, data, size);
  if (random_permille (sim, sim->net.duplicate_permille))
    enqueue_message (sim, from, to, data, size);
}

void
bb_sim_crash (struct bb_sim *sim, uint32_t node)
{
  sim->nodes[node].epoch++;
  sim->nodes[node].resume_ms = 0;
}

void
bb_sim_pause (struct bb_sim *sim, uint32_t node, bb_ms duration_ms)
{
  sim->nodes[node].resume_ms = sim->now_ms + duration_ms;
}

void
bb_sim_set_partition (struct bb_sim *sim, uint32_t node, uint32_t partition)
{
  sim->nodes[node].partition = partition;
}

struct bb_sim_counts
bb_sim_counts (const struct bb_sim *sim)
{
  return sim->counts;
}
