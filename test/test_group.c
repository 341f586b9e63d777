/* Tests of expert maps for ranks that obey orders: the search for a map, and
   the switch under orders that are lost, doubled or late, and leaders that
   freeze or die.  */

#include "bilberry/group.h"

#include <glib.h>
#include <string.h>

enum
{
  RANKS = 4,
  SETS = 2,
  EXPERTS = 12,
  PLACES = 4,
  SPARE = 2,
  TICK_MS = 5,
  STATE_EVERY_MS = 20,
  PASS_MS = 50,
  RUN_MS = 20000,
  HOLD_MAX_MS = 500, /* callers that leave are to be noticed within it */
  ORDERS_MAX = 4096,
  RUNS = 250
};

static const struct bb_group_size size
    = { SETS, EXPERTS, RANKS, PLACES, SPARE };

static void
fill_in_turn (uint16_t *map, const struct bb_group_size *s)
{
  for (uint32_t set = 0; set < s->sets; set++)
    for (uint32_t p = 0; p < s->places; p++)
      for (uint32_t r = 0; r < s->ranks; r++)
        map[(((size_t)set * s->ranks) + r) * s->places + p]
            = (uint16_t)((p * s->ranks + r + p * s->ranks / s->experts)
                         % s->experts);
}

static void
check_valid (const struct bb_group_size *s, const uint16_t *old,
             const uint16_t *map)
{
  for (uint32_t set = 0; set < s->sets; set++)
    {
      uint32_t holders[128] = { 0 };
      for (uint32_t r = 0; r < s->ranks; r++)
        {
          size_t at = ((size_t)set * s->ranks + r) * s->places;
          uint32_t fresh = 0;
          for (uint32_t p = 0; p < s->places; p++)
            {
              bool had = false;
              g_assert_cmpuint (map[at + p], <, s->experts);
              holders[map[at + p]]++;
              for (uint32_t q = 0; q < s->places; q++)
                {
                  had |= old[at + q] == map[at + p];
                  g_assert_true (q == p || map[at + q] != map[at + p]);
                }
              fresh += !had;
            }
          g_assert_cmpuint (fresh, <=, s->spare);
        }
      for (uint32_t e = 0; e < s->experts; e++)
        g_assert_cmpuint (holders[e], >, 0);
    }
}

/* Load pattern: a few experts take most of the tokens.  */
static void
test_climb_evens (void)
{
  const struct bb_group_size s = { 3, 96, 12, 11, 4 };
  const struct bb_rebalance_cost cost = { .copy_ms = 142,
                                          .horizon_ms = 2500,
                                          .slowdown = 0.15,
                                          .expert_share = 0.85,
                                          .copy_price_ms = 10,
                                          .skew_min = 1.25 };
  size_t places = bb_group_places (&s);
  g_autofree uint16_t *map = g_new (uint16_t, places);
  g_autofree uint16_t *next = g_new (uint16_t, places);
  double loads[3 * 96];
  GRand *rand = g_rand_new_with_seed (1);

  fill_in_turn (map, &s);
  for (uint32_t i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      double x = g_rand_double_range (rand, 0.02, 1);
      loads[i] = 1 / (x * x);
    }
  for (uint32_t round = 0; round < 3; round++)
    {
      struct bb_rebalance_plan p = bb_rebalance (&s, map, loads, &cost, next);
      check_valid (&s, map, next);
      if (round == 0)
        {
          g_assert_true (p.worthwhile);
          g_assert_cmpfloat (p.skew_before, >, 2);
        }
      g_assert_cmpuint (p.rank_copies_max, <=, (size_t)s.spare * s.sets);
      memcpy (map, next, places * sizeof *map);
    }
  for (uint32_t set = 0; set < s.sets; set++)
    g_assert_cmpfloat (
        bb_group_skew (&s, map, set, loads + (size_t)set * s.experts), <,
        1.25);
  g_rand_free (rand);
}

/* Load pattern: demand that is even enough, or that nobody has.  */
static void
test_climb_leaves (void)
{
  const struct bb_rebalance_cost cost = { .copy_ms = 142,
                                          .horizon_ms = 2500,
                                          .slowdown = 0.15,
                                          .expert_share = 0.85,
                                          .copy_price_ms = 10,
                                          .skew_min = 1.25 };
  uint16_t map[SETS * RANKS * PLACES];
  uint16_t next[SETS * RANKS * PLACES];
  double loads[SETS * EXPERTS];

  fill_in_turn (map, &size);
  for (uint32_t i = 0; i < SETS * EXPERTS; i++)
    loads[i] = 1;
  g_assert_false (bb_rebalance (&size, map, loads, &cost, next).worthwhile);
  g_assert_cmpmem (map, sizeof map, next, sizeof next);
  memset (loads, 0, sizeof loads);
  g_assert_false (bb_rebalance (&size, map, loads, &cost, next).worthwhile);
}

enum
{
  PLAN_SETS = 16,
  PLAN_EXPERTS = 96,
  PLAN_COUNTS = PLAN_SETS * PLAN_EXPERTS,
  COUNT_EVERY_MS = 100
};

/* Fills the counts of one interval: expert E of each set is taken as the one
   FIRST places further in the order of demand.  */
static void
fill_demand (uint16_t *counts, uint32_t first)
{
  for (uint32_t i = 0; i < PLAN_COUNTS; i++)
    {
      uint32_t order = (i % PLAN_EXPERTS * 37 + first) % PLAN_EXPERTS;
      counts[i] = (uint16_t)(3000 / (order + 1));
    }
}

/* Load pattern: small experts, and demand that shifts.  Nothing is planned
   from counts of both demands, and the maps that follow are even enough.  */
static void
test_plan_shift (void)
{
  static const struct bb_group_size s = { PLAN_SETS, PLAN_EXPERTS, 24, 5, 2 };
  static const struct bb_demand_engine e
      = { .expert_mb = 150, .link_mbps = 44000, .expert_share = 0.85 };
  size_t places = bb_group_places (&s);
  g_autofree uint16_t *map = g_new (uint16_t, places);
  g_autofree uint16_t *next = g_new (uint16_t, places);
  uint16_t counts[PLAN_COUNTS];
  struct bb_rebalance_plan c;
  struct bb_demand p;
  bb_ms now = 1000;
  uint32_t first;

  bb_demand_init (&p, PLAN_COUNTS);
  fill_in_turn (map, &s);
  for (uint32_t shift = 0; shift < 3; shift++)
    {
      first = shift * 31;
      fill_demand (counts, first);
      /* The first interval after a shift is a mix.  */
      now += COUNT_EVERY_MS;
      bb_demand_add (&p, counts, PLAN_COUNTS, now);
      if (shift > 0)
        g_assert_false (bb_demand_plan (&p, &s, &e, map, next, now, &c));
      for (uint32_t i = 0; i < 20; i++)
        {
          now += COUNT_EVERY_MS;
          bb_demand_add (&p, counts, PLAN_COUNTS, now);
          if (!bb_demand_plan (&p, &s, &e, map, next, now, &c))
            continue;
          check_valid (&s, map, next);
          memcpy (map, next, places * sizeof *map);
        }
      for (uint32_t set = 0; set < s.sets; set++)
        {
          double loads[PLAN_EXPERTS];
          for (uint32_t k = 0; k < PLAN_EXPERTS; k++)
            loads[k] = counts[set * PLAN_EXPERTS + k];
          g_assert_cmpfloat (bb_group_skew (&s, map, set, loads), <, 1.25);
        }
    }
  bb_demand_free (&p);
}

/* A rank as the platform describes it.  */
struct rank
{
  uint64_t map;
  uint64_t prepared;
  uint64_t highest; /* version ever had */
  uint64_t armed;
  uint64_t armed_step;
  uint64_t held;
  bb_ms copied_ms; /* when the copy is complete */
  uint64_t copying;
};

/* An order on its way, and its result.  */
struct order
{
  bool used;
  bool answered;
  uint32_t rank;
  uint32_t leader;
  struct bb_group_switch_order what;
  bb_ms at_ms;
};

struct world
{
  GRand *rand;
  bb_ms now;
  struct rank ranks[RANKS];
  uint64_t epoch;
  uint64_t step;
  bb_ms pass_ms;
  struct order orders[ORDERS_MAX];
  uint32_t orders_top; /* none is in use from here on */
  struct bb_group_switch leads[RANKS];
  bool leading[RANKS];
  bb_ms frozen_until[RANKS]; /* of an agent and its VM */
  uint64_t gave_epoch[RANKS];
  uint64_t gave_version[RANKS];
  uint32_t gave_rank[RANKS];
  bool gave_taken[RANKS];
  uint32_t led_by[RANKS];
  uint64_t given_up[RANKS];
  double lost; /* part of orders without answer, carried out late */
  bool idles;  /* the group has no work at times */
  uint32_t switches;
  bb_ms held_since_ms; /* the group waits for a hold; 0: it does not */
  bb_ms longest_hold_ms;
  uint32_t leader; /* giving an order now */
};

static bool
frozen (const struct world *w, uint32_t r)
{
  return w->now < w->frozen_until[r];
}

/* Some orders are slow, as on links that lose packets: they are sent again
   before their answer comes.  */
static bb_ms
order_time (struct world *w)
{
  return g_rand_int_range (w->rand, 0, 10) == 0
             ? g_rand_int_range (w->rand, 60, 200)
             : g_rand_int_range (w->rand, 1, 10);
}

static void
on_order (uint32_t rank, const struct bb_group_switch_order *o, void *user)
{
  struct world *w = user;
  bool own = o->via_rank == w->leader;
  uint32_t active = 0;
  bool late;

  while (active < RANKS && !w->leading[active])
    active++;
  /* Members follow one leader; a rank of a frozen VM cannot be reached.  */
  if (!own && (w->leader != active || frozen (w, o->via_rank)))
    return;
  if (rank != o->via_rank && frozen (w, rank))
    return;
  if (o->op == BB_GROUP_SWITCH_ARM && o->via_rank != rank && !own)
    {
      w->gave_epoch[o->via_rank] = o->epoch;
      w->gave_version[o->via_rank] = o->version;
      w->gave_rank[o->via_rank] = rank;
      w->gave_taken[o->via_rank] = false;
    }
  if (o->via_rank == rank)
    w->led_by[rank] = w->leader;
  if (o->via_rank == rank && o->op == BB_GROUP_SWITCH_DISARM)
    w->given_up[rank] = o->version;
  late = g_rand_double (w->rand) < w->lost;
  for (uint32_t i = 0; i < ORDERS_MAX; i++)
    if (!w->orders[i].used)
      {
        if (i >= w->orders_top)
          w->orders_top = i + 1;
        w->orders[i] = (struct order){
          .used = true,
          .answered = !late,
          .rank = rank,
          .leader = w->leader,
          .what = *o,
          .at_ms = w->now
                   + (late ? g_rand_int_range (w->rand, 2000, 12000)
                           : order_time (w)),
        };
        return;
      }
  g_assert_not_reached ();
}

static uint16_t
obey_prepare (struct world *w, struct rank *k,
              const struct bb_group_switch_order *o)
{
  if (o->version == k->prepared)
    return 200;
  if (o->version <= k->highest || k->armed > k->map)
    return 409;
  k->highest = o->version;
  k->copying = o->version;
  k->prepared = 0;
  k->copied_ms = w->now + g_rand_int_range (w->rand, 50, 400);
  return 202;
}

static uint16_t
obey (struct world *w, struct rank *k, const struct bb_group_switch_order *o)
{
  if (o->epoch != w->epoch)
    return 409;
  switch (o->op)
    {
    case BB_GROUP_SWITCH_PREPARE:
      return obey_prepare (w, k, o);
    case BB_GROUP_SWITCH_ARM:
      if (k->armed == o->version && k->armed_step == o->step)
        return 200;
      if (k->prepared != o->version || o->step <= w->step)
        return 409;
      k->armed = o->version;
      k->armed_step = o->step;
      return 202;
    case BB_GROUP_SWITCH_HOLD:
      if (k->held == o->step)
        return 200;
      if (k->held != 0 || o->step <= w->step)
        return 409;
      k->held = o->step;
      return 202;
    case BB_GROUP_SWITCH_GO:
      if (k->held == o->step)
        k->held = 0;
      return 200;
    case BB_GROUP_SWITCH_DISARM:
      if (k->map == o->version)
        return 409;
      if (k->armed == o->version)
        k->armed = 0;
      return 200;
    }
  return 400;
}

static void
run_orders (struct world *w)
{
  for (uint32_t i = 0; i < w->orders_top; i++)
    {
      struct order *o = &w->orders[i];
      uint16_t status;
      if (!o->used || o->at_ms > w->now)
        continue;
      o->used = false;
      status = obey (w, &w->ranks[o->rank], &o->what);
      w->leader = o->leader;
      if (o->answered && o->what.op == BB_GROUP_SWITCH_ARM && status != 409
          && o->what.version == w->gave_version[o->what.via_rank]
          && o->rank == w->gave_rank[o->what.via_rank])
        w->gave_taken[o->what.via_rank] = true;
      if (o->answered && w->leading[o->leader] && !frozen (w, o->leader))
        bb_group_switch_order_result (&w->leads[o->leader], o->rank, &o->what,
                                      status, w->now);
    }
}

static bool
is_held (const struct world *w)
{
  for (uint32_t r = 0; r < RANKS; r++)
    if (w->ranks[r].held == w->step + 1)
      return true;
  return false;
}

/* Takes the time for which a pass that was due is held.  */
static void
note_hold (struct world *w)
{
  if (!is_held (w))
    w->held_since_ms = 0;
  else if (w->held_since_ms == 0)
    w->held_since_ms = w->now;
  else if (w->now - w->held_since_ms > w->longest_hold_ms)
    w->longest_hold_ms = w->now - w->held_since_ms;
}

/* Begins a pass where no rank is held.  All ranks must use one map.  */
static void
run_pass (struct world *w)
{
  if (w->now < w->pass_ms)
    return;
  note_hold (w);
  if (is_held (w))
    return;
  w->pass_ms = w->now + PASS_MS;
  if (w->idles && g_rand_int_range (w->rand, 0, 10) == 0)
    w->pass_ms += 1000;
  w->step++;
  for (uint32_t r = 0; r < RANKS; r++)
    {
      struct rank *k = &w->ranks[r];
      if (k->armed > k->map && k->armed_step == w->step)
        k->map = k->armed;
    }
  for (uint32_t r = 1; r < RANKS; r++)
    g_assert_cmpuint (w->ranks[r].map, ==, w->ranks[0].map);
}

static void
run_copies (struct world *w)
{
  for (uint32_t r = 0; r < RANKS; r++)
    {
      struct rank *k = &w->ranks[r];
      if (k->copying > 0 && w->now >= k->copied_ms)
        {
          k->prepared = k->copying;
          k->copying = 0;
        }
    }
}

static void
tell_state (struct world *w, uint32_t leader, uint32_t r)
{
  const struct rank *k = &w->ranks[r];
  uint16_t rows[SETS * PLACES] = { 0 };
  struct bb_group_switch_rank s
      = { .attached = true,
          .open = true,
          .epoch = w->epoch,
          .step = w->step,
          .map_version = k->map,
          .prepared_version = k->prepared,
          .armed_version = k->armed > k->map ? k->armed : 0,
          .armed_step = k->armed_step,
          .held_step = k->held,
          .last_leader = w->led_by[r],
          .disarmed_version = w->given_up[r],
          .disarmed_epoch = w->epoch,
          .relayed_epoch = w->gave_epoch[r],
          .relayed_version = w->gave_version[r],
          .relayed_rank = w->gave_rank[r],
          .relayed_accepted = w->gave_taken[r],
          .row_version = k->map };

  w->leader = leader;
  bb_group_switch_update_rank (&w->leads[leader], r, &s, rows, w->now);
}

static void
run_leader (struct world *w, uint32_t leader, bool active)
{
  uint16_t next[SETS * RANKS * PLACES];

  w->leader = leader;
  if (w->now % STATE_EVERY_MS == 0)
    for (uint32_t r = 0; r < RANKS; r++)
      if (r == leader || (active && !frozen (w, r)))
        tell_state (w, leader, r);
  w->leader = leader;
  bb_group_switch_tick (&w->leads[leader], w->now);
  if (!active || !bb_group_switch_is_ready (&w->leads[leader], w->now)
      || g_rand_int_range (w->rand, 0, 20) != 0)
    return;
  fill_in_turn (next, &size);
  bb_group_switch_begin (&w->leads[leader], next, w->now);
}

/* The first agent that is not frozen leads, some time after the one before it
   froze; one that wakes starts anew, a little late.  */
static void
run_leaders (struct world *w)
{
  uint32_t active = RANKS;

  for (uint32_t r = 0; r < RANKS; r++)
    {
      if (active == RANKS && !frozen (w, r)
          && w->now >= w->frozen_until[r] + 50)
        active = r;
    }
  for (uint32_t r = 0; r < RANKS; r++)
    {
      if (frozen (w, r))
        continue;
      if (w->leading[r] && r != active)
        {
          w->switches += w->leads[r].switches;
          bb_group_switch_free (&w->leads[r]);
          w->leading[r] = false;
        }
      else if (!w->leading[r] && r == active)
        {
          bb_group_switch_init (&w->leads[r], &size, r, on_order, w);
          w->leading[r] = true;
        }
      if (w->leading[r])
        run_leader (w, r, r == active);
    }
}

static void
run_world (uint32_t seed, double lost, bool freezes, bool idles)
{
  struct world *w = g_new0 (struct world, 1);
  uint32_t switches = 0;

  w->rand = g_rand_new_with_seed (seed);
  w->epoch = 1;
  w->lost = lost;
  w->idles = idles;
  for (w->now = TICK_MS; w->now < RUN_MS; w->now += TICK_MS)
    {
      run_copies (w);
      run_orders (w);
      run_pass (w);
      run_leaders (w);
      if (freezes && g_rand_int_range (w->rand, 0, 300) == 0)
        {
          uint32_t r = (uint32_t)g_rand_int_range (w->rand, 0, RANKS);
          bool other = false;
          for (uint32_t i = 0; i < RANKS; i++)
            other |= frozen (w, i);
          if (!other)
            w->frozen_until[r]
                = w->now + g_rand_int_range (w->rand, 300, 3000);
        }
    }
  switches = w->switches;
  if (!freezes)
    g_assert_cmpint (w->longest_hold_ms, <, HOLD_MAX_MS);
  for (uint32_t r = 0; r < RANKS; r++)
    if (w->leading[r])
      {
        switches += w->leads[r].switches;
        bb_group_switch_free (&w->leads[r]);
      }
  g_assert_cmpuint (switches, >, 0);
  /* The group does not stand still for good.  */
  g_assert_cmpuint (w->step, >, idles ? 20 : 50);
  g_rand_free (w->rand);
  g_free (w);
}

static void
test_switch_calm (void)
{
  for (uint32_t seed = 1; seed <= 20; seed++)
    run_world (seed, 0, false, false);
}

static void
test_switch_late_orders (void)
{
  for (uint32_t seed = 1; seed <= RUNS; seed++)
    run_world (seed, 0.35, false, seed % 2 == 0);
}

/* Load pattern: half of the orders get no answer and come late.  */
static void
test_switch_half_lost (void)
{
  for (uint32_t seed = 1; seed <= RUNS; seed++)
    run_world (seed, 0.5, false, false);
}

static void
test_switch_frozen (void)
{
  for (uint32_t seed = 1; seed <= RUNS; seed++)
    run_world (seed, 0, true, false);
}

static void
test_switch_frozen_late (void)
{
  for (uint32_t seed = 1; seed <= RUNS; seed++)
    run_world (seed, 0.2, true, false);
}

/* A new epoch ends a switch: its orders find nothing of before.  */
static void
test_epoch_ends_switch (void)
{
  struct world *w = g_new0 (struct world, 1);
  uint16_t next[SETS * RANKS * PLACES];

  w->rand = g_rand_new_with_seed (1);
  w->epoch = 1;
  w->now = 1000;
  w->leading[0] = true;
  bb_group_switch_init (&w->leads[0], &size, 0, on_order, w);
  for (uint32_t r = 0; r < RANKS; r++)
    tell_state (w, 0, r);
  g_assert_true (bb_group_switch_is_ready (&w->leads[0], w->now));
  fill_in_turn (next, &size);
  bb_group_switch_begin (&w->leads[0], next, w->now);
  g_assert_cmpint (w->leads[0].phase, ==, BB_GROUP_SWITCH_PREPARING);
  w->epoch = 2;
  tell_state (w, 0, 1);
  g_assert_cmpint (w->leads[0].phase, ==, BB_GROUP_SWITCH_IDLE);
  g_assert_false (bb_group_switch_is_ready (&w->leads[0], w->now));
  bb_group_switch_free (&w->leads[0]);
  g_rand_free (w->rand);
  g_free (w);
}

/* A leader that wakes while the other agents follow another leader sees their
   ranks from afar: it must leave the switch alone.  */
static void
test_strangers (void)
{
  struct world *w = g_new0 (struct world, 1);
  struct bb_group_switch *l = &w->leads[0];

  w->rand = g_rand_new_with_seed (1);
  w->epoch = 1;
  w->leading[0] = true;
  bb_group_switch_init (l, &size, 0, on_order, w);
  for (uint32_t r = 0; r < RANKS; r++)
    w->ranks[r].prepared = 1;
  w->ranks[1].held = 9;
  w->ranks[1].armed = 1;
  w->ranks[1].armed_step = 9;
  w->step = 8;
  for (w->now = 1000; w->now < 4000; w->now += TICK_MS)
    {
      for (uint32_t r = 0; r < RANKS; r++)
        {
          tell_state (w, 0, r);
          l->ranks[r].attached = r < 2;
        }
      bb_group_switch_tick (l, w->now);
    }
  g_assert_cmpint (l->phase, ==, BB_GROUP_SWITCH_SETTLING);
  g_assert_cmpuint (w->ranks[1].armed, ==, 1);
  for (uint32_t r = 0; r < RANKS; r++)
    {
      tell_state (w, 0, r);
      l->ranks[r].attached = r < RANKS - 1;
    }
  bb_group_switch_tick (l, w->now);
  g_assert_cmpint (l->phase, ==, BB_GROUP_SWITCH_FORWARDING);
  bb_group_switch_free (l);
  g_rand_free (w->rand);
  g_free (w);
}

/* Two agents lead at one time, each with what it knows: their maps must not
   bear one version.  */
static void
test_two_leaders (void)
{
  struct world *w = g_new0 (struct world, 1);
  uint16_t next[SETS * RANKS * PLACES];

  w->rand = g_rand_new_with_seed (1);
  w->epoch = 1;
  w->now = 1000;
  fill_in_turn (next, &size);
  for (uint32_t leader = 0; leader < 2; leader++)
    {
      bb_group_switch_init (&w->leads[leader], &size, leader, on_order, w);
      for (uint32_t r = 0; r < RANKS; r++)
        tell_state (w, leader, r);
      g_assert_true (bb_group_switch_is_ready (&w->leads[leader], w->now));
    }
  for (uint32_t leader = 0; leader < 2; leader++)
    bb_group_switch_begin (&w->leads[leader], next, w->now);
  g_assert_cmpuint (w->leads[0].version, !=, w->leads[1].version);
  for (uint32_t leader = 0; leader < 2; leader++)
    bb_group_switch_free (&w->leads[leader]);
  g_rand_free (w->rand);
  g_free (w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/group/climb/evens", test_climb_evens);
  g_test_add_func ("/group/climb/leaves", test_climb_leaves);
  g_test_add_func ("/group/plan/shift", test_plan_shift);
  g_test_add_func ("/group/switch/calm", test_switch_calm);
  g_test_add_func ("/group/switch/late-orders", test_switch_late_orders);
  g_test_add_func ("/group/switch/half-lost", test_switch_half_lost);
  g_test_add_func ("/group/switch/frozen", test_switch_frozen);
  g_test_add_func ("/group/switch/frozen-late", test_switch_frozen_late);
  g_test_add_func ("/group/switch/strangers", test_strangers);
  g_test_add_func ("/group/switch/two-leaders", test_two_leaders);
  g_test_add_func ("/group/switch/epoch", test_epoch_ends_switch);
  return g_test_run ();
}
