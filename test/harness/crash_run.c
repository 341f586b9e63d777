/* Callers and faults of the randomised runs of the quarantine, and the runs.
 */

#include "crash_run.h"

#include <string.h>

/* Callers.  */

static void
new_request (struct run *r, uint64_t fingerprint, uint64_t second_part)
{
  uint32_t edge = crash_run_draw (r, r->edges_count);
  struct edge *e = &r->edges[edge];
  struct request *q;

  if (!e->up)
    return;
  q = g_new0 (struct request, 1);
  g_ptr_array_add (r->requests, q);
  q->run = r;
  q->edge = edge;
  q->incarnation = e->incarnation;
  q->number = ++r->last_number;
  q->fingerprint = fingerprint;
  /* The first ones are the most popular, the last ones are seldom seen.  */
  q->parts[0]
      = FIRST_PART
        + (fingerprint < FIRST_UNIQUE
               ? (uint32_t)fingerprint
               : crash_run_draw (r, 1 + crash_run_draw (r, SHARED_PARTS)));
  q->parts[1] = second_part;
  g_ptr_array_add (e->waiting, q);
}

static void
on_innocent_caller (struct bb_sim *sim, void *arg)
{
  struct run *r = arg;

  uint64_t rare = FIRST_RARE_PART + r->last_fingerprint / 4;

  new_request (r, crash_run_draw (r, 4) == 0 ? COMMON : ++r->last_fingerprint,
               crash_run_draw (r, 3) == 0 ? rare : 0);
  bb_sim_schedule (sim, 1 + crash_run_draw (r, 40), on_innocent_caller, r);
}

/* The caller sends again when the last request has probably ended.  */
static void
on_poison_caller (struct bb_sim *sim, void *arg)
{
  struct run *r = arg;

  new_request (r, POISON, 0);
  bb_sim_schedule (sim, 300 + crash_run_draw (r, 1500), on_poison_caller, r);
}

static void
on_part_caller (struct bb_sim *sim, void *arg)
{
  struct run *r = arg;

  new_request (r, ++r->last_fingerprint, POISON_PART);
  bb_sim_schedule (sim, 50 + crash_run_draw (r, 500), on_part_caller, r);
}

/* Faults.  */

static void
tell_known (void *arg, const struct bb_crash *c)
{
  const struct told *t = arg;
  struct message m = { .crash = *c };

  bb_sim_send (t->run->sim, t->from, t->to, &m, sizeof m);
}

static void
tell_known_part_crash (void *arg, const struct bb_part_crash *c)
{
  const struct told *t = arg;
  struct message m = { .kind = MESSAGE_PART_CRASH, .part_crash = *c };

  bb_sim_send (t->run->sim, t->from, t->to, &m, sizeof m);
}

static void
connect_to_all (struct run *r, uint32_t node)
{
  for (uint32_t n = 0; n < crash_run_nodes (r); n++)
    {
      struct told t = { r, n, node };
      if (n == node || !r->edges[n].up)
        continue;
      bb_poison_each (r->edges[n].poison, bb_sim_now (r->sim), tell_known, &t);
      bb_parts_each (r->edges[n].parts, bb_sim_now (r->sim),
                     tell_known_part_crash, &t);
      if (n >= r->edges_count)
        continue;
      bb_isolation_add_member (r->edges[n].isolation, crash_run_member (node));
      bb_isolation_add_member (r->edges[node].isolation, crash_run_member (n));
    }
}

static void
start_edge (struct run *r, uint32_t edge)
{
  struct edge *e = &r->edges[edge];

  e->up = true;
  e->incarnation++;
  /* It may be paused for longer.  */
  e->in_touch_at_ms
      = MAX (e->in_touch_at_ms, bb_sim_now (r->sim) + IN_TOUCH_MS);
  e->poison = bb_poison_new ();
  e->parts = bb_parts_new ();
  e->isolation = bb_isolation_new (crash_run_member (edge));
  e->waiting = g_ptr_array_new ();
}

static void
stop_edge (struct run *r, uint32_t edge)
{
  struct edge *e = &r->edges[edge];

  e->up = false;
  bb_poison_free (e->poison);
  bb_parts_free (e->parts);
  bb_isolation_free (e->isolation);
  g_ptr_array_unref (e->waiting);
  for (uint32_t n = 0; n < r->edges_count; n++)
    if (r->edges[n].up)
      bb_isolation_remove_member (r->edges[n].isolation,
                                  crash_run_member (edge));
}

static void
on_edges_start (struct bb_sim *sim, void *arg)
{
  struct run *r = arg;

  (void)sim;
  for (uint32_t i = 0; i < r->edges_count; i++)
    if (!r->edges[i].up)
      start_edge (r, i);
  for (uint32_t i = 0; i < r->edges_count; i++)
    connect_to_all (r, i);
}

static void
on_kill (struct bb_sim *sim, void *arg)
{
  struct run *r = arg;
  bool all = crash_run_draw (r, 2) == 0;
  uint32_t one = crash_run_draw (r, r->edges_count);

  for (uint32_t i = 0; i < r->edges_count; i++)
    if (r->edges[i].up && (all || i == one))
      stop_edge (r, i);
  bb_sim_schedule (sim, START_MS, on_edges_start, r);
  bb_sim_schedule (sim, 4000 + crash_run_draw (r, 8000), on_kill, r);
}

static void
on_agents_start (struct bb_sim *sim, void *arg)
{
  struct run *r = arg;

  (void)sim;
  for (uint32_t i = r->edges_count; i < crash_run_nodes (r); i++)
    start_edge (r, i);
}

static void
on_all_gone (struct bb_sim *sim, void *arg)
{
  struct run *r = arg;

  for (uint32_t i = 0; i < crash_run_nodes (r); i++)
    stop_edge (r, i);
  bb_sim_schedule (sim, START_MS / 2, on_agents_start, r);
  bb_sim_schedule (sim, START_MS, on_edges_start, r);
}

static void
on_pause (struct bb_sim *sim, void *arg)
{
  struct run *r = arg;
  uint32_t edge = crash_run_draw (r, r->edges_count);
  bb_ms pause = 500 + crash_run_draw (r, 3000);

  bb_sim_pause (sim, edge, pause);
  r->edges[edge].in_touch_at_ms = bb_sim_now (sim) + pause + IN_TOUCH_MS;
  bb_sim_schedule (sim, 4000 + crash_run_draw (r, 4000), on_pause, r);
}

static void
on_upstreams_crash (struct bb_sim *sim, void *arg)
{
  struct run *r = arg;

  for (uint32_t i = 0; i < r->upstreams_count / 3; i++)
    crash_run_end_upstream (r, crash_run_draw (r, r->upstreams_count));
  bb_sim_schedule (sim, 5000 + crash_run_draw (r, 5000), on_upstreams_crash,
                   r);
}

static void
crash_run_init (struct run *r, const struct scenario *s, uint64_t seed)
{
  /* Messages of a connection keep their order.  */
  bb_ms delay_ms = 1 + (bb_ms)(seed % 10);
  struct bb_sim_net net
      = { .delay_min_ms = delay_ms, .delay_max_ms = delay_ms };

  memset (r, 0, sizeof *r);
  r->scenario = *s;
  r->edges_count = 2 + (uint32_t)(seed % (EDGES_MAX - 1));
  r->upstreams_count = 3 + (uint32_t)(seed * 7 % (UPSTREAMS_MAX - 2));
  r->last_fingerprint = FIRST_UNIQUE;
  r->requests = g_ptr_array_new_with_free_func (g_free);
  r->tries = g_ptr_array_new_with_free_func (g_free);
  r->sim = bb_sim_new (seed, crash_run_nodes (r));
  bb_sim_set_net (r->sim, &net);
  bb_sim_on_deliver (r->sim, crash_run_receive, r);
  for (uint32_t i = 0; i < r->upstreams_count; i++)
    r->upstreams[i].running = g_ptr_array_new ();
  for (uint32_t i = 0; i < crash_run_nodes (r); i++)
    start_edge (r, i);
  for (uint32_t i = 0; i < r->edges_count; i++)
    connect_to_all (r, i);
}

void
crash_run_free (struct run *r)
{
  for (uint32_t i = 0; i < crash_run_nodes (r); i++)
    if (r->edges[i].up)
      stop_edge (r, i);
  for (uint32_t i = 0; i < r->upstreams_count; i++)
    {
      g_ptr_array_unref (r->upstreams[i].running);
    }
  g_ptr_array_unref (r->requests);
  g_ptr_array_unref (r->tries);
  bb_sim_free (r->sim);
}

void
crash_run_play (struct run *r, const struct scenario *s, uint64_t seed)
{
  g_test_message ("seed %" G_GUINT64_FORMAT, seed);
  crash_run_init (r, s, seed);
  for (uint32_t i = 0; i < r->edges_count; i++)
    {
      r->ticks[i] = (struct told){ .run = r, .to = i };
      crash_run_on_tick (r->sim, &r->ticks[i]);
    }
  on_innocent_caller (r->sim, r);
  bb_sim_schedule (r->sim, 1000, s->part ? on_part_caller : on_poison_caller,
                   r);
  if (s->kills)
    bb_sim_schedule (r->sim, 3000, on_kill, r);
  if (s->pauses)
    bb_sim_schedule (r->sim, 500, on_pause, r);
  if (s->crashes)
    bb_sim_schedule (r->sim, 2000, on_upstreams_crash, r);
  if (s->all_gone)
    bb_sim_schedule (r->sim, RUN_MS / 2, on_all_gone, r);
  bb_sim_run (r->sim, RUN_MS);
  g_test_message ("%u edges, %u upstreams: crashed %u, sent late %u, innocent "
                  "refused %u, common refused %u, answered %u",
                  r->edges_count, r->upstreams_count, r->poison_crashes,
                  r->late_sends, r->innocents_refused, r->common_refused,
                  r->answered);
  g_assert_cmpuint (r->answered, >, 100);
}
