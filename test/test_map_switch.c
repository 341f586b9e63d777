/* Randomized simulations of the map switch.  Agents crash, pause and restart;
   messages are lost, delayed, duplicated and reordered; two agents propose at
   the same time.  In each step all ranks must use the same map, and the group
   must make progress after the last fault.  The environment variable
   BILBERRY_SEEDS sets the number of seeds.  */

#include "bilberry/map.h"
#include "bilberry/sim.h"

#include <stdlib.h>
#include <string.h>

enum
{
  RANKS = 5,
  STEPS_MAX = 1 << 16,
  FAULTS_END_MS = 40000, /* time of the last fault */
  END_MS = 120000,
  STEP_MS = 10,
  FIRST_HASH = 77
};

struct group;

/* A simulated rank: its agent and its engine.  */
struct sim_rank
{
  struct group *group;
  uint32_t self;
  struct bb_switch agent;
  struct bb_switch_saved_state engine;
  bool joining; /* the engine is new and starts at the step of the others */
};

struct group
{
  struct bb_sim *sim;
  struct sim_rank ranks[RANKS];
  uint64_t used[STEPS_MAX]; /* id of the value that each step ran with; 0: not
                               run */
  uint64_t incarnations;
  bb_ms fault_interval_ms; /* longest time from one fault to the next */
  uint32_t crashes;
  uint32_t changes; /* steps whose value differs from the step before */
};

/* Copies the step from the engine to the agent before an event.  */
static void
before_event (struct sim_rank *r)
{
  r->agent.saved.started = r->engine.started;
}

struct weight_load
{
  struct sim_rank *rank;
  uint64_t incarnation;
  uint64_t hash;
};

static void after_event (struct sim_rank *r, struct bb_switch_out *out);

static void
on_loaded (struct bb_sim *sim, void *arg)
{
  struct weight_load *l = arg;
  struct bb_switch_out out = { 0 };

  if (l->rank->agent.incarnation == l->incarnation)
    {
      before_event (l->rank);
      bb_switch_loaded (&l->rank->agent, l->hash, bb_sim_now (sim), &out);
      after_event (l->rank, &out);
    }
  g_free (l);
}

/* Stores the state of the agent in the engine, sends the messages of OUT and
   starts the load of weights after an event.  */
static void
after_event (struct sim_rank *r, struct bb_switch_out *out)
{
  struct bb_sim *sim = r->group->sim;

  r->engine = r->agent.saved;
  for (uint32_t i = 0; i < out->count; i++)
    bb_sim_send (sim, r->self, out->messages[i].to, &out->messages[i],
                 sizeof out->messages[i]);
  if (out->load_hash != 0)
    {
      struct weight_load *l = g_new0 (struct weight_load, 1);
      l->rank = r;
      l->incarnation = r->agent.incarnation;
      l->hash = out->load_hash;
      bb_sim_schedule (sim, g_rand_int_range (bb_sim_rand (sim), 1, 300),
                       on_loaded, l);
    }
  bb_switch_out_clear (out);
}

static void
on_deliver (struct bb_sim *sim, uint32_t from, uint32_t to, const void *data,
            size_t size, void *arg)
{
  struct group *g = arg;
  struct bb_switch_out out = { 0 };
  struct bb_map_switch m;

  (void)from;
  g_assert_cmpuint (size, ==, sizeof m);
  memcpy (&m, data, sizeof m);
  before_event (&g->ranks[to]);
  bb_switch_receive (&g->ranks[to].agent, &m, bb_sim_now (sim), &out);
  after_event (&g->ranks[to], &out);
}

static void
on_tick (struct bb_sim *sim, void *arg)
{
  struct sim_rank *r = arg;
  struct bb_switch_out out = { 0 };

  before_event (r);
  bb_switch_tick (&r->agent, bb_sim_now (sim), &out);
  after_event (r, &out);
  bb_sim_schedule_on_node (sim, r->self, BB_SWITCH_TICK_MS, on_tick, r);
}

static uint64_t
highest_step (const struct group *g)
{
  uint64_t highest = 0;

  for (uint32_t i = 0; i < RANKS; i++)
    highest = MAX (highest, g->ranks[i].engine.started);
  return highest;
}

/* Returns whether rank R keeps the others from starting STEP.  The ranks run
   in lock-step: each must have started the step before.  A rank that joins
   takes the highest step next.  */
static bool
blocks_step (const struct group *g, const struct sim_rank *r, uint64_t step)
{
  return r->joining ? step > MAX (1, highest_step (g))
                    : r->engine.started + 1 < step;
}

/* Starts the next step of rank R where the other ranks and its saved state
   allow it.  */
static void
try_step (struct group *g, struct sim_rank *r)
{
  uint64_t step = r->engine.started + 1;
  uint64_t id;
  uint64_t hash;

  if (r->joining)
    step = MAX (1, highest_step (g));
  for (uint32_t i = 0; i < RANKS; i++)
    if (blocks_step (g, &g->ranks[i], step))
      return;
  if (!bb_switch_may_start (&r->engine, step, &id, &hash))
    return;
  if (step >= STEPS_MAX)
    g_error ("too many steps");
  if (g->used[step] == 0)
    {
      g->used[step] = id;
      g->changes += step > 1 && g->used[step - 1] != id;
    }
  /* In each step all ranks must use the same map.  */
  g_assert_cmpuint (g->used[step], ==, id);
  r->engine.started = step;
  r->joining = false;
}

static void
on_step (struct bb_sim *sim, void *arg)
{
  struct sim_rank *r = arg;

  try_step (r->group, r);
  bb_sim_schedule (sim, g_rand_int_range (bb_sim_rand (sim), 1, STEP_MS),
                   on_step, r);
}

/* Starts the agent of rank R with the state SAVED; NULL: the engine is new as
   well.  */
static void
start_agent (struct sim_rank *r, const struct bb_switch_saved_state *saved)
{
  struct group *g = r->group;

  bb_switch_init (&r->agent, RANKS, r->self, ++g->incarnations, FIRST_HASH);
  if (saved)
    bb_switch_restore (&r->agent, saved);
  r->engine = r->agent.saved;
  r->joining = r->joining || !saved;
  bb_sim_schedule_on_node (g->sim, r->self, BB_SWITCH_TICK_MS, on_tick, r);
}

static uint32_t
count_without_value (const struct group *g)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < RANKS; i++)
    count += g->ranks[i].engine.accepted_ballot == 0;
  return count;
}

/* Forgets the last step of rank LOST, whose vm is lost, where no other rank
   has started it: nothing of it remains, so it may run again with another map.
 */
static void
forget_lone_step (struct group *g, const struct sim_rank *lost)
{
  for (uint32_t i = 0; i < RANKS; i++)
    if (&g->ranks[i] != lost
        && g->ranks[i].engine.started >= lost->engine.started)
      return;
  g->used[lost->engine.started] = 0;
}

/* Restarts the agent of rank R; with WHOLE_VM, the engine too.  */
static void
crash (struct sim_rank *r, bool whole_vm)
{
  struct bb_switch_saved_state saved = r->engine;

  /* At least one rank must keep a map; else the group would start again with
     the first one.  */
  if (whole_vm && count_without_value (r->group) + 1 >= RANKS)
    return;
  if (whole_vm)
    forget_lone_step (r->group, r);
  bb_sim_crash (r->group->sim, r->self);
  bb_switch_free (&r->agent);
  start_agent (r, whole_vm ? NULL : &saved);
  r->group->crashes++;
}

static void
propose (struct group *g, struct sim_rank *r)
{
  struct bb_switch_out out = { 0 };
  uint64_t hash = 1000 + g_rand_int (bb_sim_rand (g->sim)) % 1000;

  before_event (r);
  bb_switch_propose (&r->agent, hash, bb_sim_now (g->sim), &out);
  after_event (r, &out);
}

/* Causes a fault or one or two proposals.  */
static void
cause_fault (struct bb_sim *sim, void *arg)
{
  struct group *g = arg;
  GRand *rand = bb_sim_rand (sim);
  struct sim_rank *r = &g->ranks[g_rand_int_range (rand, 0, RANKS)];

  switch (g_rand_int_range (rand, 0, 10))
    {
    case 0:
      crash (r, true);
      break;
    case 1:
      crash (r, false);
      break;
    case 2:
      bb_sim_pause (sim, r->self, g_rand_int_range (rand, 1, 4000));
      break;
    case 3:
    case 4:
    case 5:
      propose (g, &g->ranks[g_rand_int_range (rand, 0, RANKS)]);
      /* Two coordinators at the same time.  */
      __attribute__ ((fallthrough));
    default:
      propose (g, r);
      break;
    }
  if (bb_sim_now (sim) < FAULTS_END_MS)
    bb_sim_schedule (sim,
                     g_rand_int_range (rand, 1, (gint32)g->fault_interval_ms),
                     cause_fault, g);
}

static void
start_group (struct group *g, uint64_t seed, const struct bb_sim_net *net)
{
  memset (g, 0, sizeof *g);
  g->sim = bb_sim_new (seed, RANKS);
  bb_sim_set_net (g->sim, net);
  bb_sim_on_deliver (g->sim, on_deliver, g);
  for (uint32_t i = 0; i < RANKS; i++)
    {
      g->ranks[i].group = g;
      g->ranks[i].self = i;
      start_agent (&g->ranks[i], NULL);
      g->ranks[i].joining = false;
      bb_sim_schedule (g->sim, i, on_step, &g->ranks[i]);
    }
}

static void
stop_group (struct group *g)
{
  for (uint32_t i = 0; i < RANKS; i++)
    bb_switch_free (&g->ranks[i].agent);
  bb_sim_free (g->sim);
}

/* Checks that all ranks run further steps and agree on a decided value.  */
static void
assert_progress (struct group *g)
{
  uint64_t before = highest_step (g);

  bb_sim_run (g->sim, END_MS + 2000);
  for (uint32_t i = 0; i < RANKS; i++)
    {
      g_assert_cmpuint (g->ranks[i].engine.started, >, before);
      g_assert_true (bb_switch_is_settled (&g->ranks[i].agent));
      g_assert_cmpuint (g->ranks[i].engine.accepted.id, ==,
                        g->ranks[0].engine.accepted.id);
    }
}

static void
test_faults (void)
{
  static const struct bb_sim_net good
      = { .delay_min_ms = 1, .delay_max_ms = 5 };
  const char *text = g_getenv ("BILBERRY_SEEDS");
  uint64_t seeds = text ? g_ascii_strtoull (text, NULL, 10) : 200;
  struct group *g = g_new (struct group, 1);
  uint64_t crashes = 0;
  uint64_t changes = 0;

  for (uint64_t seed = 0; seed < seeds; seed++)
    {
      struct bb_sim_net bad = { .delay_min_ms = 1,
                                .delay_max_ms = 5 + (bb_ms)(seed % 5) * 60,
                                .loss_permille = seed % 3 * 50,
                                .duplicate_permille = seed % 4 * 50 };
      start_group (g, seed, &bad);
      g->fault_interval_ms = 500 + (bb_ms)(seed % 7) * 500;
      bb_sim_schedule (g->sim, 100, cause_fault, g);
      bb_sim_run (g->sim, FAULTS_END_MS + 2000);
      bb_sim_set_net (g->sim, &good);
      bb_sim_run (g->sim, END_MS);
      assert_progress (g);
      crashes += g->crashes;
      changes += g->changes;
      stop_group (g);
    }
  g_test_message ("%" G_GUINT64_FORMAT " seeds, %" G_GUINT64_FORMAT
                  " crashes, %" G_GUINT64_FORMAT " changes of map",
                  seeds, crashes, changes);
  g_assert_cmpuint (changes, >, seeds);
  g_free (g);
}

/* Without faults, the group must start with the first map, and one proposal
   must lead to exactly one switch on all ranks.  */
static void
test_plain (void)
{
  static const struct bb_sim_net net
      = { .delay_min_ms = 1, .delay_max_ms = 3 };
  struct group *g = g_new (struct group, 1);
  uint64_t first;

  start_group (g, 1, &net);
  bb_sim_run (g->sim, 10000);
  first = g->ranks[0].engine.accepted.id;
  g_assert_cmpuint (g->ranks[0].engine.accepted.hash, ==, FIRST_HASH);
  propose (g, &g->ranks[3]);
  bb_sim_run (g->sim, 12000);
  for (uint32_t i = 0; i < RANKS; i++)
    {
      g_assert_true (bb_switch_is_settled (&g->ranks[i].agent));
      g_assert_cmpuint (g->ranks[i].engine.accepted.id, >, first);
      g_assert_cmpuint (g->ranks[i].engine.accepted.base_id, ==, first);
    }
  g_assert_cmpuint (g->changes, ==, 1);
  stop_group (g);
  g_free (g);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/switch/plain", test_plain);
  g_test_add_func ("/switch/faults", test_faults);
  return g_test_run ();
}
