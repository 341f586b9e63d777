/* Model checking of libgroup's switch with two agents that lead at the same
   time, while the agents of the other ranks leave one for the other and come
   back: a search through the states of three ranks.

   Agent 0 leads throughout; agent 1 leads while it does not follow agent 0;
   agent 2 follows either.  Time passes in rounds.  In each, the orders that
   were sent are carried out, a pass begins unless it is held, the agents
   report and the leaders act.  Before each round the search tries each event
   that may come: an agent leaves for the other leader, which the one that it
   left may notice late; an order gets no answer, and is carried out at any
   later time.

   In every pass all ranks must use the same map, by version and content.  By
   default a search ends after TEST_STATES states of each case.  Another limit
   N is set by:  test_group_explore --states N [-p /group-explore/CASE]  */

#include "harness/group_map.h"
#include "harness/group_rank.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  RANKS = 3,
  LEADERS = 2,
  SETS = 1,
  EXPERTS = 3,
  PLACES = 2,
  MAP_PLACES = SETS * RANKS * PLACES,
  ROUND_MS = 50,
  ROUNDS = 34, /* from the beginning of the switch */
  READY_ROUNDS_MAX = 20,
  FOLLOWER_TIMEOUT_ROUNDS = 9, /* until a leader notices that an agent left
                                  without a word */
  POLL_ROUNDS = 2,             /* between polls of a rank without its agent */
  ORDERS_MAX = 48,
  TEST_STATES = 300000
};

/* An order on its way.  */
struct order
{
  bool used;
  bool late; /* gets no answer, and is carried out when the search says so */
  bool refused; /* by the agent that was to pass it on */
  uint32_t rank;
  uint32_t leader;
  uint16_t incarnation; /* of the leader */
  uint32_t connection;  /* of the agent that passes it on */
  struct bb_group_switch_order command;
  uint16_t map[MAP_PLACES];
};

struct agent
{
  struct group_agent notes;
  uint32_t follows;    /* the leader; the agent itself: it leads */
  uint32_t connection; /* number of its connection to the leader */
};

/* An agent that may lead.  */
struct leader
{
  bool leads;
  uint32_t begun; /* how often it began to lead */
  /* Rounds until it notices that the agent of a rank has left; 0: it knows.
   */
  uint32_t unnoticed[RANKS];
  /* The fences that ranks accepted which it ordered itself.  */
  uint64_t fences_accepted[RANKS];
  struct bb_group_switch group_switch; /* its maps are those below */
  uint16_t current_map[MAP_PLACES];
  uint16_t next_map[MAP_PLACES];
};

struct state
{
  struct group_clock clock;
  bb_ms now;
  uint32_t round;
  uint32_t moves; /* events of each kind so far */
  uint32_t late_orders;
  struct group_rank ranks[RANKS];
  struct agent agents[RANKS];
  struct leader leaders[LEADERS];
  struct order orders[ORDERS_MAX];
  uint32_t acting; /* leader that is acting now */
  bool unlisted;   /* as in struct bounds */
};

/* What may happen in one case.  */
struct bounds
{
  const char *name;
  uint32_t moves;
  uint32_t late_orders;
  bool unnoticed; /* agents also leave without a word */
  bool unlisted;  /* agent 1 does not know the address of rank 0 */
  bool unfenced;  /* the platform does not fence, the agents alone do */
};

/* What happened on the way to a state.  */
struct event
{
  enum
  {
    EVENT_ROUND,
    EVENT_MOVE,
    EVENT_MOVE_UNNOTICED,
    EVENT_DELAY,
    EVENT_CARRY_OUT
  } kind;
  uint32_t subject; /* rank of the agent, or index of the order */
};

enum
{
  EVENTS_MAX = 256
};

/* The events on the way from the first state to the present one.  */
struct path
{
  struct event events[EVENTS_MAX];
  uint32_t count;
};

struct search
{
  const struct bounds *bounds;
  struct path path;
  uint64_t states_max;
  uint64_t states;
  uint64_t completed; /* ends of runs in which the group goes on */
  uint64_t *seen;
  uint64_t seen_capacity;
};

static const struct bb_group_size size
    = { SETS, EXPERTS, RANKS, PLACES, PLACES };
static uint64_t states_max = TEST_STATES;

static bool
follows (const struct state *st, uint32_t r, uint32_t leader)
{
  return st->agents[r].follows == leader;
}

/* Whether LEADER can send to rank R itself.  */
static bool
is_reached (const struct state *st, uint32_t leader, uint32_t r)
{
  return !(st->unlisted && leader == 1 && r == 0);
}

static struct order *
add_order (struct state *st)
{
  for (uint32_t i = 0; i < ORDERS_MAX; i++)
    if (!st->orders[i].used)
      return &st->orders[i];
  g_error ("more than %d orders are under way", ORDERS_MAX);
}

/* Sends O to RANK as the acting leader: through the agent of O->via_rank,
   which takes orders only of the leader that it follows.  */
static void
send_order (uint32_t rank, const struct bb_group_switch_order *o, void *user)
{
  struct state *st = user;
  uint32_t leader = st->acting;
  struct leader *l = &st->leaders[leader];
  struct agent *via = &st->agents[o->via_rank];
  bool own = o->via_rank == leader;
  bool attached = own || l->group_switch.ranks[o->via_rank].attached;
  struct order *sent;
  bool refused = false;

  if (attached && !own && !follows (st, o->via_rank, leader))
    return;
  if (!attached
      && (!bb_group_switch_sends_directly (&l->group_switch)
          || !is_reached (st, leader, rank)))
    return;
  if (attached)
    refused = !group_agent_note (&via->notes, rank, leader, o);
  sent = add_order (st);
  *sent = (struct order){ .used = true,
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

/* Has the leaders of ST, a copy of another state, use its own memory.  */
static void
set_pointers (struct state *st)
{
  for (uint32_t i = 0; i < LEADERS; i++)
    {
      struct leader *l = &st->leaders[i];
      l->group_switch.current_map = l->current_map;
      l->group_switch.next_map = l->next_map;
      l->group_switch.user = st;
    }
}

static void
start_leader (struct state *st, uint32_t leader)
{
  struct leader *l = &st->leaders[leader];
  struct bb_group_switch *sw = &l->group_switch;

  l->leads = true;
  l->begun++;
  bb_group_switch_init (sw, &size, leader, send_order, st);
  sw->incarnation = (uint16_t)l->begun;
  memcpy (l->current_map, sw->current_map, sizeof l->current_map);
  memcpy (l->next_map, sw->next_map, sizeof l->next_map);
  bb_group_switch_free (sw);
  memset (l->unnoticed, 0, sizeof l->unnoticed);
  set_pointers (st);
}

static void
stop_leader (struct state *st, uint32_t leader)
{
  struct leader *l = &st->leaders[leader];

  l->leads = false;
  memset (&l->group_switch, 0, sizeof l->group_switch);
  set_pointers (st);
}

/* Passes the result STATUS of O on to its leader, unless the connection has
   ended on which it would come, or the leader has stopped since.  */
static void
pass_result (struct state *st, const struct order *o, uint16_t status)
{
  struct leader *l = &st->leaders[o->leader];
  const struct agent *via = &st->agents[o->command.via_rank];
  bool direct = o->connection == 0;
  bool relayed = !direct && o->command.via_rank != o->leader;

  if (status < GROUP_RANK_CONFLICT && direct)
    l->fences_accepted[o->rank] = o->command.fence;
  else if (status < GROUP_RANK_CONFLICT)
    group_agent_note_accepted (&st->agents[o->command.via_rank].notes, o->rank,
                               &o->command);
  if (!l->leads || l->group_switch.incarnation != o->incarnation
      || (relayed && via->connection != o->connection))
    return;
  st->acting = o->leader;
  bb_group_switch_order_result (&l->group_switch, o->rank, &o->command, status,
                                st->now);
}

/* Carries out order I.  */
static void
carry_out (struct state *st, uint32_t i)
{
  struct order o = st->orders[i];
  uint16_t status = GROUP_RANK_FENCED;

  st->orders[i].used = false;
  if (!o.refused)
    status = group_rank_order (&st->ranks[o.rank], &st->clock, &o.command,
                               o.map, MAP_PLACES, false);
  if (!o.late)
    pass_result (st, &o, status);
}

static void
carry_out_orders (struct state *st)
{
  bool sent[ORDERS_MAX]; /* before this round */

  for (uint32_t i = 0; i < ORDERS_MAX; i++)
    sent[i] = st->orders[i].used && !st->orders[i].late;
  for (uint32_t i = 0; i < ORDERS_MAX; i++)
    if (sent[i])
      carry_out (st, i);
}

static bool
is_held (const struct state *st)
{
  for (uint32_t r = 0; r < RANKS; r++)
    if (st->ranks[r].held_step == st->clock.step + 1)
      return true;
  return false;
}

/* Begins the next pass unless it is held.  Returns whether all ranks use the
   same map.  */
static bool
run_pass (struct state *st)
{
  if (is_held (st))
    return true;
  st->clock.step++;
  for (uint32_t r = 0; r < RANKS; r++)
    group_rank_begin_pass (&st->ranks[r], &st->clock);
  for (uint32_t r = 1; r < RANKS; r++)
    if (st->ranks[r].map_version != st->ranks[0].map_version
        || memcmp (st->ranks[r].map, st->ranks[0].map,
                   MAP_PLACES * sizeof *st->ranks[r].map)
               != 0)
      return false;
  return true;
}

/* Reports rank R to LEADER, by its agent or, where that is not ATTACHED, by a
   poll of the engine.  */
static void
report (struct state *st, uint32_t leader, uint32_t r, bool attached)
{
  const struct group_rank *k = &st->ranks[r];
  struct bb_group_switch_rank s
      = group_rank_state (k, &st->agents[r].notes, &st->clock);

  s.attached = attached;
  if (!attached)
    s.fence_accepted = st->leaders[leader].fences_accepted[r];
  st->acting = leader;
  bb_group_switch_update_rank (&st->leaders[leader].group_switch, r, &s,
                               attached ? k->map + (size_t)r * PLACES : NULL,
                               st->now);
}

static void
report_to (struct state *st, uint32_t leader)
{
  struct leader *l = &st->leaders[leader];

  for (uint32_t r = 0; r < RANKS; r++)
    {
      if (r == leader || follows (st, r, leader))
        report (st, leader, r, true);
      else if (l->unnoticed[r] > 0)
        {
          l->unnoticed[r]--;
          if (l->unnoticed[r] == 0)
            l->group_switch.ranks[r].attached = false;
        }
      else if (is_reached (st, leader, r) && st->round % POLL_ROUNDS == 0)
        report (st, leader, r, false);
    }
}

/* Returns whether all ranks use the same map.  */
static bool
play_round (struct state *st)
{
  bool same;

  st->now += ROUND_MS;
  st->round++;
  carry_out_orders (st);
  for (uint32_t r = 0; r < RANKS; r++)
    group_rank_copied (&st->ranks[r]);
  same = run_pass (st);
  for (uint32_t i = 0; i < LEADERS; i++)
    if (st->leaders[i].leads)
      {
        report_to (st, i);
        st->acting = i;
        bb_group_switch_tick (&st->leaders[i].group_switch, st->now);
      }
  return same;
}

/* Has agent R leave the leader that it follows for the other one; that of rank
   1 leads where it does not follow.  UNNOTICED: the leader that is left is not
   told.  */
static void
move_agent (struct state *st, uint32_t r, bool unnoticed)
{
  struct agent *a = &st->agents[r];
  struct leader *before = &st->leaders[a->follows];

  st->moves++;
  a->connection++;
  if (a->follows != r && before->leads)
    {
      before->group_switch.ranks[r].attached = unnoticed;
      before->unnoticed[r] = unnoticed ? FOLLOWER_TIMEOUT_ROUNDS : 0;
    }
  a->follows = 1 - a->follows;
  if (r == 1 && a->follows == 1)
    start_leader (st, 1);
  else if (r == 1)
    stop_leader (st, 1);
  st->leaders[a->follows].unnoticed[r] = 0;
}

static void
add_number (XXH3_state_t *h, uint64_t n)
{
  XXH3_64bits_update (h, &n, sizeof n);
}

/* Adds the time since MS, or that it is long ago.  */
static void
add_time (XXH3_state_t *h, const struct state *st, bb_ms ms)
{
  add_number (h, ms == 0 ? UINT64_MAX
                         : (uint64_t)MIN (st->now - ms, 20 * ROUND_MS));
}

static void
add_switch (XXH3_state_t *h, const struct state *st,
            const struct bb_group_switch *sw)
{
  struct bb_group_switch s = *sw;

  add_time (h, st, s.phase_since_ms);
  add_time (h, st, s.refused_ms);
  add_number (h, s.fence_taken_ms >= s.phase_since_ms);
  for (uint32_t r = 0; r < RANKS; r++)
    {
      add_time (h, st, s.ranks[r].reported_ms);
      add_time (h, st, s.ranks[r].order_sent_ms);
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

static uint64_t
hash_state (const struct state *st)
{
  XXH3_state_t *h = XXH3_createState ();
  uint64_t hash;

  XXH3_64bits_reset (h);
  add_number (h, st->round);
  add_number (h, st->clock.step);
  add_number (h, (uint64_t)st->moves << 32 | st->late_orders);
  XXH3_64bits_update (h, st->ranks, sizeof st->ranks);
  for (uint32_t r = 0; r < RANKS; r++)
    {
      XXH3_64bits_update (h, &st->agents[r].notes, sizeof st->agents[r].notes);
      add_number (h, st->agents[r].follows);
    }
  for (uint32_t i = 0; i < LEADERS; i++)
    {
      const struct leader *l = &st->leaders[i];
      add_number (h, l->leads);
      XXH3_64bits_update (h, l->unnoticed, sizeof l->unnoticed);
      XXH3_64bits_update (h, l->fences_accepted, sizeof l->fences_accepted);
      if (l->leads)
        add_switch (h, st, &l->group_switch);
    }
  for (uint32_t i = 0; i < ORDERS_MAX; i++)
    {
      const struct order *o = &st->orders[i];
      if (!o->used)
        continue;
      add_number (h, (uint64_t)o->late << 1 | o->refused);
      add_number (h, (uint64_t)o->rank << 32 | o->leader);
      add_number (h, o->incarnation);
      add_number (h,
                  o->connection == st->agents[o->command.via_rank].connection);
      XXH3_64bits_update (h, &o->command, sizeof o->command);
    }
  hash = XXH3_64bits_digest (h);
  XXH3_freeState (h);
  return hash;
}

/* Adds a state to those seen.  Returns false where it was seen before.  */
static bool
mark_seen (struct search *s, const struct state *st)
{
  uint64_t h = hash_state (st) | 1;
  uint64_t i = h & (s->seen_capacity - 1);

  while (s->seen[i] != 0)
    {
      if (s->seen[i] == h)
        return false;
      i = (i + 1) & (s->seen_capacity - 1);
    }
  s->seen[i] = h;
  return true;
}

/* Carries out event E.  Returns whether all ranks use the same map.  */
static bool
apply (struct state *st, const struct event *e)
{
  switch (e->kind)
    {
    case EVENT_ROUND:
      return play_round (st);
    case EVENT_MOVE:
      move_agent (st, e->subject, false);
      break;
    case EVENT_MOVE_UNNOTICED:
      move_agent (st, e->subject, true);
      break;
    case EVENT_DELAY:
      st->orders[e->subject].late = true;
      st->late_orders++;
      break;
    case EVENT_CARRY_OUT:
      carry_out (st, e->subject);
      break;
    }
  return true;
}

static void
print_event (const struct state *st, const struct event *e)
{
  static const char *const names[]
      = { "round", "agent leaves", "agent leaves unnoticed", "order is late",
          "late order is carried out" };
  const struct order *o = &st->orders[e->subject];

  if (e->kind == EVENT_DELAY || e->kind == EVENT_CARRY_OUT)
    g_printerr ("%s: op %d of leader %u to rank %u\n", names[e->kind],
                (int)o->command.op, o->leader, o->rank);
  else if (e->kind != EVENT_ROUND)
    g_printerr ("%s: %u\n", names[e->kind], e->subject);
}

static void
print_state (const struct state *st)
{
  g_printerr ("round %u, pass %" G_GUINT64_FORMAT ":", st->round,
              st->clock.step);
  for (uint32_t i = 0; i < LEADERS; i++)
    if (st->leaders[i].leads)
      g_printerr (
          " %u %s", i,
          bb_group_switch_phase_name (st->leaders[i].group_switch.phase));
  for (uint32_t r = 0; r < RANKS; r++)
    g_printerr ("; map %" G_GINT64_MODIFIER "x prepared %" G_GINT64_MODIFIER
                "x armed %" G_GINT64_MODIFIER "x held %" G_GINT64_MODIFIER
                "u fence %" G_GINT64_MODIFIER "x",
                st->ranks[r].map_version, st->ranks[r].prepared_version,
                st->ranks[r].armed_version, st->ranks[r].held_step,
                st->ranks[r].fence);
  g_printerr ("\n");
}

static struct state *begin_switch (const struct bounds *b);

/* Prints the path to a state in which ranks use two maps, and fails.  */
G_NORETURN static void
fail (const struct search *s)
{
  struct state *st = begin_switch (s->bounds);

  for (uint32_t i = 0; i < s->path.count; i++)
    {
      print_event (st, &s->path.events[i]);
      apply (st, &s->path.events[i]);
      if (s->path.events[i].kind == EVENT_ROUND)
        print_state (st);
    }
  g_error ("a pass begins with two maps, after %u moves and %u late orders",
           st->moves, st->late_orders);
}

static void visit (struct search *s, const struct state *st);

static struct state *
copy_state (const struct state *from)
{
  struct state *st = g_new (struct state, 1);

  *st = *from;
  set_pointers (st);
  return st;
}

/* Visits the state that follows FROM by event E.  */
static void
follow (struct search *s, const struct state *from, struct event e)
{
  struct state *st = copy_state (from);

  g_assert_cmpuint (s->path.count, <, EVENTS_MAX);
  s->path.events[s->path.count++] = e;
  if (!apply (st, &e))
    fail (s);
  visit (s, st);
  s->path.count--;
  g_free (st);
}

/* Visits each state that follows FROM by an agent that leaves its leader.  */
static void
move_all (struct search *s, const struct state *from)
{
  for (uint32_t r = 1; r < RANKS && from->moves < s->bounds->moves; r++)
    {
      follow (s, from, (struct event){ EVENT_MOVE, r });
      if (s->bounds->unnoticed)
        follow (s, from, (struct event){ EVENT_MOVE_UNNOTICED, r });
    }
}

/* Visits each state that follows FROM by an order that becomes late, or by a
   late one that is carried out.  */
static void
delay_all (struct search *s, const struct state *from)
{
  for (uint32_t i = 0; i < ORDERS_MAX; i++)
    if (from->orders[i].used && from->orders[i].late)
      follow (s, from, (struct event){ EVENT_CARRY_OUT, i });
    else if (from->orders[i].used && !from->orders[i].refused
             && from->late_orders < s->bounds->late_orders)
      follow (s, from, (struct event){ EVENT_DELAY, i });
}

static void
visit (struct search *s, const struct state *st)
{
  if (s->states >= s->states_max || !mark_seen (s, st))
    return;
  s->states++;
  if (st->round >= ROUNDS)
    {
      s->completed += !is_held (st);
      return;
    }
  delay_all (s, st);
  move_all (s, st);
  follow (s, st, (struct event){ EVENT_ROUND, 0 });
}

/* Returns a group in which the agent of rank 0 leads and has begun to switch
   maps.  */
static struct state *
begin_switch (const struct bounds *b)
{
  struct state *st = g_new0 (struct state, 1);
  struct bb_group_switch *sw = &st->leaders[0].group_switch;
  uint16_t next[MAP_PLACES];

  st->clock.epoch = 1;
  st->now = 1000;
  st->unlisted = b->unlisted;
  for (uint32_t r = 0; r < RANKS; r++)
    {
      st->ranks[r].ignores_fences = b->unfenced;
      st->agents[r] = (struct agent){ .notes.last_leader = BB_GROUP_NO_RANK,
                                      .connection = 1 };
      group_map_fill (st->ranks[r].map, &size);
      bb_group_sort_rows (&size, st->ranks[r].map);
    }
  start_leader (st, 0);
  for (uint32_t i = 0;
       i < READY_ROUNDS_MAX && !bb_group_switch_is_ready (sw, st->now); i++)
    play_round (st);
  g_assert_true (bb_group_switch_is_ready (sw, st->now));
  group_map_fill (next, &size);
  next[1] = next[PLACES];
  st->acting = 0;
  bb_group_switch_begin (sw, next, st->now);
  st->round = 0;
  return st;
}

static void
explore (gconstpointer data)
{
  struct search s = { .bounds = data, .states_max = states_max };
  struct state *st = begin_switch (data);

  s.seen_capacity = 1024;
  while (s.seen_capacity < 2 * states_max)
    s.seen_capacity *= 2;
  s.seen = g_new0 (uint64_t, s.seen_capacity);
  visit (&s, st);
  g_test_message ("%s: %" G_GUINT64_FORMAT " states, %s; %" G_GUINT64_FORMAT
                  " ends of runs without a hold",
                  s.bounds->name, s.states,
                  s.states < s.states_max ? "all" : "the limit", s.completed);
  g_free (s.seen);
  g_free (st);
}

static const struct bounds cases[] = {
  { .name = "undisturbed" },
  { .name = "moves", .moves = 4 },
  { .name = "late", .late_orders = 2 },
  { .name = "moves-late", .moves = 4, .late_orders = 1 },
  { .name = "unnoticed", .moves = 4, .unnoticed = true },
  { .name = "unlisted", .moves = 4, .unlisted = true },
  { .name = "unlisted-unnoticed",
    .moves = 4,
    .unnoticed = true,
    .unlisted = true },
  { .name = "unlisted-late", .moves = 4, .late_orders = 1, .unlisted = true },
  { .name = "unfenced", .moves = 4, .unlisted = true, .unfenced = true },
  { .name = "unfenced-late", .moves = 4, .late_orders = 1, .unfenced = true }
};

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (int i = 1; i + 1 < argc; i++)
    if (strcmp (argv[i], "--states") == 0)
      states_max = g_ascii_strtoull (argv[i + 1], NULL, 10);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strdup_printf ("/group-explore/%s", cases[i].name);
      g_test_add_data_func (path, &cases[i], explore);
      g_free (path);
    }
  return g_test_run ();
}
