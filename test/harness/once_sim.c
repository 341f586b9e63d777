#include "once_sim_nodes.h"

#include <stdio.h>
#include <string.h>

/* Faults.  */

static void
on_restart_time (struct bb_sim *sim, void *arg)
{
  struct timer *t = arg;

  (void)sim;
  if (t->n->down && t->incarnation == t->n->incarnation)
    once_sim_start_node (t->n);
}

static void
kill_node (struct node *n, bb_ms down_ms)
{
  struct simulation *s = n->simulation;

  if (n->down)
    return;
  bb_sim_crash (s->sim, n->index);
  n->down = true;
  n->incarnation++;
  bb_sim_schedule (s->sim, down_ms, on_restart_time,
                   once_sim_timer (s, n, 0, 0));
}

static void
on_heal (struct bb_sim *sim, void *arg)
{
  (void)arg;
  for (uint32_t i = 0; i < NODES_MAX; i++)
    bb_sim_set_partition (sim, i, 0);
}

static void
partition (struct simulation *s)
{
  for (uint32_t i = 0; i < NODES_MAX; i++)
    bb_sim_set_partition (s->sim, i, (uint32_t)once_sim_random (s, 0, 2));
  bb_sim_schedule (s->sim, once_sim_random (s, 500, 8000), on_heal, NULL);
}

static void
on_revision (struct bb_sim *sim, void *arg)
{
  struct timer *t = arg;

  (void)sim;
  if (t->incarnation == t->n->incarnation && t->n->revision < t->id)
    {
      t->n->revision = (uint32_t)t->id;
      if (t->n->once)
        once_sim_set_members (t->n);
    }
}

/* Makes R the newest revision.  Each node takes it over after a random delay,
   three of four within 0.5 s and the others within 5 s.  */
static void
publish_revision (struct simulation *s, const struct revision *r)
{
  uint32_t number = s->revisions_count;

  if (number == REVISIONS_MAX)
    return;
  s->revisions[s->revisions_count++] = *r;
  for (uint32_t i = 0; i < AGENTS_MAX + s->o->entries; i++)
    bb_sim_schedule_on_node (
        s->sim, i,
        once_sim_random (s, 0, once_sim_random (s, 0, 4) ? 500 : 5000),
        on_revision, once_sim_timer (s, &s->nodes[i], number, 0));
}

static void
change_members (struct simulation *s)
{
  struct revision r = s->revisions[s->revisions_count - 1];
  uint32_t i = (uint32_t)once_sim_random (s, 0, AGENTS_MAX);
  uint32_t count = 0;

  for (uint32_t j = 0; j < AGENTS_MAX; j++)
    count += r.member[j];
  if (r.member[i] && count <= 2)
    return;
  r.member[i] = !r.member[i];
  publish_revision (s, &r);
}

static void
change_out (struct simulation *s)
{
  struct revision r = s->revisions[s->revisions_count - 1];
  uint32_t i = (uint32_t)once_sim_random (s, 0, AGENTS_MAX);

  r.out[i] = !r.out[i];
  publish_revision (s, &r);
}

static struct node *
pick_agent (struct simulation *s)
{
  const struct revision *r = &s->revisions[s->revisions_count - 1];
  uint32_t i;

  do
    i = (uint32_t)once_sim_random (s, 0, AGENTS_MAX);
  while (!r->member[i]);
  return &s->nodes[i];
}

static void
inject_fault (struct simulation *s, uint32_t fault)
{
  switch (fault)
    {
    case ONCE_FAULT_KILL:
      kill_node (pick_agent (s), 50);
      break;
    case ONCE_FAULT_REPLACE:
      kill_node (pick_agent (s), once_sim_random (s, 500, 6000));
      break;
    case ONCE_FAULT_PARTITION:
      partition (s);
      break;
    case ONCE_FAULT_PAUSE:
      bb_sim_pause (
          s->sim,
          (uint32_t)once_sim_random (s, 0, (int)(AGENTS_MAX + s->o->entries)),
          once_sim_random (s, 500, 12000));
      break;
    case ONCE_FAULT_MEMBERS:
      change_members (s);
      break;
    case ONCE_FAULT_OUT:
      change_out (s);
      break;
    case ONCE_FAULT_KILL_ALL:
      for (uint32_t i = 0; i < AGENTS_MAX; i++)
        kill_node (&s->nodes[i], once_sim_random (s, 10, 1000));
      break;
    case ONCE_FAULT_ENTRY:
      /* The first entry never dies, so one process always keeps the
         incarnations of the agents that it knows.  */
      kill_node (
          &s->nodes[AGENTS_MAX
                    + (uint32_t)once_sim_random (s, 1, (int)s->o->entries)],
          200);
      break;
    default:
      break;
    }
}

static void
on_fault_timer (struct bb_sim *sim, void *arg)
{
  struct simulation *s = arg;
  uint32_t fault = 1U << once_sim_random (s, 0, 10);

  if (bb_sim_now (sim) > s->end)
    return;
  if (s->o->faults & fault)
    {
      inject_fault (s, fault);
      bb_sim_schedule (
          sim, once_sim_random (s, 1, (int)(2 * s->o->fault_interval_ms)),
          on_fault_timer, s);
    }
  else
    bb_sim_schedule (sim, 1, on_fault_timer, s);
}

static void
set_up (struct simulation *s)
{
  const struct once_sim_options *o = s->o;
  struct bb_sim_net net = { .delay_min_ms = 1, .delay_max_ms = 5 };

  if (o->faults & ONCE_FAULT_NETWORK)
    {
      net.delay_max_ms = 300;
      net.loss_permille = 50;
      net.duplicate_permille = 100;
    }
  bb_sim_set_net (s->sim, &net);
  bb_sim_on_deliver (s->sim, once_sim_on_deliver, s);
  s->revisions_count = 1;
  for (uint32_t i = 0; i < o->replicas; i++)
    s->revisions[0].member[i] = true;
  for (uint32_t i = 0; i < AGENTS_MAX + o->entries; i++)
    {
      struct node *n = &s->nodes[i];
      n->simulation = s;
      n->index = i;
      snprintf (n->name, sizeof n->name, "%s-%u",
                i < AGENTS_MAX ? "order" : "entry", i);
    }
  for (uint32_t i = 0; i < AGENTS_MAX + o->entries; i++)
    once_sim_start_node (&s->nodes[i]);
  for (uint32_t i = 0; i < o->keys; i++)
    {
      bb_ms at = FIRST_KEY_MS
                 + once_sim_random (s, 0, (int)(s->end - FIRST_KEY_MS));
      snprintf (s->keys[i].name, sizeof s->keys[i].name, "key-%u", i);
      bb_sim_schedule (s->sim, at, once_sim_on_first_try,
                       once_sim_timer (s, NULL, i, 0));
    }
  if (o->faults & ~(uint32_t)ONCE_FAULT_NETWORK)
    bb_sim_schedule (s->sim, FIRST_KEY_MS, on_fault_timer, s);
}

static void
collect_result (struct simulation *s)
{
  struct once_sim_result *r = &s->result;

  r->keys = s->o->keys;
  for (uint32_t i = 0; i < s->o->keys; i++)
    {
      const struct key_state *k = &s->keys[i];
      r->ran += k->runs > 0;
      r->ran_twice += k->runs > 1;
      if (k->answered)
        r->answered++;
      else if (k->last_not_run && !k->may_have_run)
        r->refused++;
      else
        r->in_doubt++;
    }
  r->messages = bb_sim_counts (s->sim).sent;
  for (uint32_t i = 0; i < AGENTS_MAX; i++)
    {
      r->conflicts += bb_once_stats (s->nodes[i].once).conflicts;
      bb_once_free (s->nodes[i].once);
    }
}

struct once_sim_result
once_sim_run (const struct once_sim_options *o)
{
  enum
  {
    KEY_INTERVAL_MS = 100,
    SETTLE_MS = 60000
  };
  struct simulation *s = g_new0 (struct simulation, 1);
  struct once_sim_result result;

  s->o = o;
  s->sim = bb_sim_new (o->seed, NODES_MAX);
  s->timers = g_ptr_array_new_with_free_func (g_free);
  s->calls = g_array_new (FALSE, TRUE, sizeof (struct call_state));
  s->keys = g_new0 (struct key_state, o->keys);
  s->end = FIRST_KEY_MS + (bb_ms)o->keys * KEY_INTERVAL_MS;
  set_up (s);
  bb_sim_run (s->sim, s->end + SETTLE_MS);
  collect_result (s);
  result = s->result;
  bb_sim_free (s->sim);
  g_ptr_array_free (s->timers, TRUE);
  g_array_free (s->calls, TRUE);
  g_free (s->keys);
  g_free (s);
  return result;
}
