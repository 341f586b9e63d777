#include "group_world.h"

#include "group_map.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  ROUND_MS = 50,
  READY_ROUNDS_MAX = 20,
  FOLLOWER_TIMEOUT_ROUNDS = 9, /* until a leader notices that an agent left
                                  without a word */
  POLL_ROUNDS = 2,             /* between polls of a rank without its agent */
  LONG_AGO_MS = 20 * ROUND_MS
};

static const struct bb_group_size size
    = { WORLD_SETS, WORLD_EXPERTS, WORLD_RANKS, WORLD_PLACES, WORLD_PLACES };

static bool
follows (const struct world *w, uint32_t r, uint32_t leader)
{
  return w->agents[r].follows == leader;
}

/* Whether LEADER can send to rank R itself.  */
static bool
is_reached (const struct world *w, uint32_t leader, uint32_t r)
{
  return !(w->options.unlisted && leader == 1 && r == 0);
}

static struct world_order *
add_order (struct world *w)
{
  for (uint32_t i = 0; i < WORLD_ORDERS_MAX; i++)
    if (!w->orders[i].used)
      return &w->orders[i];
  g_error ("more than %d orders are under way", WORLD_ORDERS_MAX);
}

/* Sends O to RANK as the acting leader: through the agent of O->via_rank,
   which takes orders only of the leader that it follows.  */
static void
send_order (uint32_t rank, const struct bb_group_switch_order *o, void *user)
{
  struct world *w = user;
  uint32_t leader = w->acting;
  struct world_leader *l = &w->leaders[leader];
  struct world_agent *via = &w->agents[o->via_rank];
  bool own = o->via_rank == leader;
  bool attached = own || l->group_switch.ranks[o->via_rank].attached;
  struct world_order *sent;
  bool refused = false;

  if (attached && !own && !follows (w, o->via_rank, leader))
    return;
  if (!attached
      && (!bb_group_switch_sends_directly (&l->group_switch)
          || !is_reached (w, leader, rank)))
    return;
  if (attached)
    refused = !group_agent_note (&via->notes, rank, leader, o);
  sent = add_order (w);
  *sent = (struct world_order){ .used = true,
                                .refused = refused,
                                .rank = rank,
                                .leader = leader,
                                .incarnation = l->group_switch.incarnation,
                                .connection = attached ? via->connection : 0,
                                .command = *o };
  if (o->map)
    memcpy (sent->map, o->map, sizeof sent->map);
  sent->command.map = NULL;
}

/* Has the leaders of W, a copy of another world, use its own memory.  */
static void
set_pointers (struct world *w)
{
  for (uint32_t i = 0; i < WORLD_LEADERS; i++)
    {
      struct world_leader *l = &w->leaders[i];
      l->group_switch.current_map = l->current_map;
      l->group_switch.next_map = l->next_map;
      l->group_switch.user = w;
    }
}

static void
start_leader (struct world *w, uint32_t leader)
{
  struct world_leader *l = &w->leaders[leader];
  struct bb_group_switch *sw = &l->group_switch;

  l->leads = true;
  l->begun++;
  bb_group_switch_init (sw, &size, leader, send_order, w);
  sw->incarnation = (uint16_t)l->begun;
  memcpy (l->current_map, sw->current_map, sizeof l->current_map);
  memcpy (l->next_map, sw->next_map, sizeof l->next_map);
  bb_group_switch_free (sw);
  memset (l->unnoticed, 0, sizeof l->unnoticed);
  set_pointers (w);
}

static void
stop_leader (struct world *w, uint32_t leader)
{
  struct world_leader *l = &w->leaders[leader];

  l->leads = false;
  memset (&l->group_switch, 0, sizeof l->group_switch);
  set_pointers (w);
}

/* Passes the result STATUS of O on to its leader, unless the connection has
   ended on which it would come, or the leader has stopped since.  */
static void
pass_result (struct world *w, const struct world_order *o, uint16_t status)
{
  struct world_leader *l = &w->leaders[o->leader];
  const struct world_agent *via = &w->agents[o->command.via_rank];
  bool direct = o->connection == 0;
  bool relayed = !direct && o->command.via_rank != o->leader;

  if (bb_group_order_is_accepted (status) && direct)
    l->fences_accepted[o->rank] = o->command.fence;
  else if (bb_group_order_is_accepted (status))
    group_agent_note_accepted (&w->agents[o->command.via_rank].notes, o->rank,
                               &o->command);
  if (!l->leads || l->group_switch.incarnation != o->incarnation
      || (relayed && via->connection != o->connection))
    return;
  w->acting = o->leader;
  bb_group_switch_order_result (&l->group_switch, o->rank, &o->command, status,
                                w->now);
}

/* Carries out order I.  */
static void
carry_out (struct world *w, uint32_t i)
{
  struct world_order o = w->orders[i];
  uint16_t status = BB_GROUP_ORDER_FENCED;

  w->orders[i].used = false;
  if (!o.refused)
    status = group_rank_order (&w->ranks[o.rank], &w->clock, &o.command, o.map,
                               WORLD_MAP_PLACES, false, o.late);
  if (!o.late)
    pass_result (w, &o, status);
}

static void
carry_out_orders (struct world *w)
{
  bool sent[WORLD_ORDERS_MAX]; /* before this round */

  for (uint32_t i = 0; i < WORLD_ORDERS_MAX; i++)
    sent[i] = w->orders[i].used && !w->orders[i].late;
  for (uint32_t i = 0; i < WORLD_ORDERS_MAX; i++)
    if (sent[i])
      carry_out (w, i);
}

bool
world_is_held (const struct world *w)
{
  for (uint32_t r = 0; r < WORLD_RANKS; r++)
    if (w->ranks[r].held_step == w->clock.step + 1)
      return true;
  return false;
}

/* Begins the next pass unless it is held.  Returns whether all ranks use the
   same map.  */
static bool
run_pass (struct world *w)
{
  if (world_is_held (w))
    return true;
  w->clock.step++;
  for (uint32_t r = 0; r < WORLD_RANKS; r++)
    group_rank_begin_pass (&w->ranks[r], &w->clock);
  for (uint32_t r = 1; r < WORLD_RANKS; r++)
    if (w->ranks[r].map_version != w->ranks[0].map_version
        || memcmp (w->ranks[r].map, w->ranks[0].map,
                   WORLD_MAP_PLACES * sizeof *w->ranks[r].map)
               != 0)
      return false;
  return true;
}

/* Reports rank R to LEADER, by its agent or, where that is not ATTACHED, by a
   poll of the engine.  */
static void
report (struct world *w, uint32_t leader, uint32_t r, bool attached)
{
  const struct group_rank *k = &w->ranks[r];
  struct bb_group_switch_rank s
      = group_rank_state (k, &w->agents[r].notes, &w->clock);

  s.attached = attached;
  if (!attached)
    s.fence_accepted = w->leaders[leader].fences_accepted[r];
  w->acting = leader;
  bb_group_switch_update_rank (
      &w->leaders[leader].group_switch, r, &s,
      attached ? k->map + (size_t)r * WORLD_PLACES : NULL, w->now);
}

static void
report_to (struct world *w, uint32_t leader)
{
  struct world_leader *l = &w->leaders[leader];

  for (uint32_t r = 0; r < WORLD_RANKS; r++)
    {
      if (r == leader || follows (w, r, leader))
        report (w, leader, r, true);
      else if (l->unnoticed[r] > 0)
        {
          l->unnoticed[r]--;
          if (l->unnoticed[r] == 0)
            l->group_switch.ranks[r].attached = false;
        }
      else if (is_reached (w, leader, r) && w->round % POLL_ROUNDS == 0)
        report (w, leader, r, false);
    }
}

/* Returns whether all ranks use the same map.  */
static bool
play_round (struct world *w)
{
  bool same;

  w->now += ROUND_MS;
  w->round++;
  carry_out_orders (w);
  for (uint32_t r = 0; r < WORLD_RANKS; r++)
    group_rank_copied (&w->ranks[r]);
  same = run_pass (w);
  for (uint32_t i = 0; i < WORLD_LEADERS; i++)
    if (w->leaders[i].leads)
      {
        report_to (w, i);
        w->acting = i;
        bb_group_switch_tick (&w->leaders[i].group_switch, w->now);
      }
  return same;
}

/* Has agent R leave the leader that it follows for the other one; that of rank
   1 leads where it does not follow.  UNNOTICED: the leader that is left is not
   told.  */
static void
move_agent (struct world *w, uint32_t r, bool unnoticed)
{
  struct world_agent *a = &w->agents[r];
  struct world_leader *before = &w->leaders[a->follows];

  w->moves++;
  a->connection++;
  if (a->follows != r && before->leads)
    {
      before->group_switch.ranks[r].attached = unnoticed;
      before->unnoticed[r] = unnoticed ? FOLLOWER_TIMEOUT_ROUNDS : 0;
    }
  a->follows = 1 - a->follows;
  if (r == 1 && a->follows == 1)
    start_leader (w, 1);
  else if (r == 1)
    stop_leader (w, 1);
  w->leaders[a->follows].unnoticed[r] = 0;
}

static void
add_number (XXH3_state_t *h, uint64_t n)
{
  XXH3_64bits_update (h, &n, sizeof n);
}

/* Adds the time since MS, or that it is long ago.  */
static void
add_time (XXH3_state_t *h, const struct world *w, bb_ms ms)
{
  add_number (h,
              ms == 0 ? UINT64_MAX : (uint64_t)MIN (w->now - ms, LONG_AGO_MS));
}

static void
add_switch (XXH3_state_t *h, const struct world *w,
            const struct bb_group_switch *sw)
{
  struct bb_group_switch s = *sw;

  add_time (h, w, s.phase_since_ms);
  add_time (h, w, s.refused_ms);
  add_number (h, s.fence_taken_ms >= s.phase_since_ms);
  for (uint32_t r = 0; r < WORLD_RANKS; r++)
    {
      add_time (h, w, s.ranks[r].reported_ms);
      add_time (h, w, s.ranks[r].order_sent_ms);
      s.ranks[r].reported_ms = 0;
      s.ranks[r].order_sent_ms = 0;
      s.ranks[r].orders_sent = MIN (s.ranks[r].orders_sent, 2);
      XXH3_64bits_update (h, &s.ranks[r], sizeof s.ranks[r]);
    }
  memset (s.ranks, 0, sizeof s.ranks);
  s.phase_since_ms = s.refused_ms = s.fence_taken_ms = 0;
  s.current_map = s.next_map = NULL;
  s.abandoned_why = NULL;
  s.abandoned = s.switches = 0;
  s.user = NULL;
  XXH3_64bits_update (h, &s, sizeof s);
}

uint64_t
world_hash (const struct world *w)
{
  XXH3_state_t *h = XXH3_createState ();
  uint64_t hash;

  XXH3_64bits_reset (h);
  add_number (h, w->round);
  add_number (h, w->clock.step);
  add_number (h, (uint64_t)w->moves << 32 | w->late_orders);
  XXH3_64bits_update (h, w->ranks, sizeof w->ranks);
  for (uint32_t r = 0; r < WORLD_RANKS; r++)
    {
      XXH3_64bits_update (h, &w->agents[r].notes, sizeof w->agents[r].notes);
      add_number (h, w->agents[r].follows);
    }
  for (uint32_t i = 0; i < WORLD_LEADERS; i++)
    {
      const struct world_leader *l = &w->leaders[i];
      add_number (h, l->leads);
      XXH3_64bits_update (h, l->unnoticed, sizeof l->unnoticed);
      XXH3_64bits_update (h, l->fences_accepted, sizeof l->fences_accepted);
      if (l->leads)
        add_switch (h, w, &l->group_switch);
    }
  for (uint32_t i = 0; i < WORLD_ORDERS_MAX; i++)
    {
      const struct world_order *o = &w->orders[i];
      if (!o->used)
        continue;
      add_number (h, (uint64_t)o->late << 1 | o->refused);
      add_number (h, (uint64_t)o->rank << 32 | o->leader);
      add_number (h, o->incarnation);
      add_number (h,
                  o->connection == w->agents[o->command.via_rank].connection);
      XXH3_64bits_update (h, &o->command, sizeof o->command);
    }
  hash = XXH3_64bits_digest (h);
  XXH3_freeState (h);
  return hash;
}

bool
world_apply (struct world *w, const struct world_event *e)
{
  switch (e->kind)
    {
    case WORLD_ROUND:
      return play_round (w);
    case WORLD_MOVE:
      move_agent (w, e->subject, false);
      break;
    case WORLD_MOVE_UNNOTICED:
      move_agent (w, e->subject, true);
      break;
    case WORLD_DELAY:
      w->orders[e->subject].late = true;
      w->late_orders++;
      break;
    case WORLD_CARRY_OUT:
      carry_out (w, e->subject);
      break;
    }
  return true;
}

void
world_print_event (const struct world *w, const struct world_event *e)
{
  static const char *const names[]
      = { "round", "agent leaves", "agent leaves unnoticed", "order is late",
          "late order is carried out" };
  const struct world_order *o = &w->orders[e->subject];

  if (e->kind == WORLD_DELAY || e->kind == WORLD_CARRY_OUT)
    g_printerr ("%s: op %d of leader %u to rank %u\n", names[e->kind],
                (int)o->command.op, o->leader, o->rank);
  else if (e->kind != WORLD_ROUND)
    g_printerr ("%s: %u\n", names[e->kind], e->subject);
}

void
world_print (const struct world *w)
{
  g_printerr ("round %u, pass %" G_GUINT64_FORMAT ":", w->round,
              w->clock.step);
  for (uint32_t i = 0; i < WORLD_LEADERS; i++)
    if (w->leaders[i].leads)
      g_printerr (
          " %u %s", i,
          bb_group_switch_phase_name (w->leaders[i].group_switch.phase));
  for (uint32_t r = 0; r < WORLD_RANKS; r++)
    g_printerr ("; map %" G_GINT64_MODIFIER "x prepared %" G_GINT64_MODIFIER
                "x armed %" G_GINT64_MODIFIER "x held %" G_GINT64_MODIFIER
                "u fence %" G_GINT64_MODIFIER "x",
                w->ranks[r].map_version, w->ranks[r].prepared_version,
                w->ranks[r].armed_version, w->ranks[r].held_step,
                w->ranks[r].fence);
  g_printerr ("\n");
}

void
world_copy (struct world *to, const struct world *w)
{
  *to = *w;
  set_pointers (to);
}

struct world *
world_new (const struct world_options *o)
{
  struct world *w = g_new0 (struct world, 1);
  struct bb_group_switch *sw = &w->leaders[0].group_switch;
  uint16_t next[WORLD_MAP_PLACES];

  w->clock.epoch = 1;
  w->now = 1000;
  w->options = *o;
  for (uint32_t r = 0; r < WORLD_RANKS; r++)
    {
      w->ranks[r].ignores_fences = o->unfenced;
      w->agents[r]
          = (struct world_agent){ .notes.last_leader = BB_GROUP_NO_RANK,
                                  .connection = 1 };
      group_map_fill (w->ranks[r].map, &size);
      bb_group_sort_rows (&size, w->ranks[r].map);
    }
  start_leader (w, 0);
  for (uint32_t i = 0;
       i < READY_ROUNDS_MAX && !bb_group_switch_is_ready (sw, w->now); i++)
    play_round (w);
  g_assert_true (bb_group_switch_is_ready (sw, w->now));
  group_map_fill (next, &size);
  next[1] = next[WORLD_PLACES];
  w->acting = 0;
  bb_group_switch_begin (sw, next, w->now);
  w->round = 0;
  return w;
}
