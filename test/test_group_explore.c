/* Model checking of libgroup's switch with two agents that lead at the same
   time, while the agents of the other ranks leave one for the other and come
   back: a search through the states of three ranks.

   Before each round of harness/group_world.h the search tries each event that
   may come: an agent leaves for the other leader, which the one that it left
   may notice late; an order gets no answer, and is carried out at any later
   time.

   In every pass all ranks must use the same map, by version and content.  By
   default a search ends after TEST_STATES states of each case.  Another limit
   N is set by:  test_group_explore --states N [-p /group-explore/CASE]  */

#include "harness/group_world.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ALL_OPS = UINT32_MAX
};

/* What may happen in one case.  */
struct bounds
{
  const char *name;
  uint32_t moves;
  uint32_t late_orders;
  uint32_t late_ops; /* bit set of the operations of which orders may be
                        late */
  bool unnoticed;    /* agents also leave without a word */
  struct world_options world;
};

enum
{
  EVENTS_MAX = 256
};

/* The events on the way from the first state to the present one.  */
struct path
{
  struct world_event events[EVENTS_MAX];
  uint32_t count;
};

enum
{
  ROUNDS = 24, /* from the beginning of the switch */
  RECOVER_ROUNDS = 60,
  TEST_STATES = 300000
};

struct search
{
  const struct bounds *bounds;
  struct path path;
  struct world *worlds; /* one for each event of the path, and one more */
  uint64_t states_max;
  uint64_t states;
  uint64_t ends; /* of runs, from which the group was seen to go on */
  uint64_t *seen;
  uint64_t seen_capacity;
};

static uint64_t states_max = TEST_STATES;

/* Adds a state to those seen.  Returns false where it was seen before.  */
static bool
mark_seen (struct search *s, const struct world *w)
{
  uint64_t h = world_hash (w) | 1;
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

/* Prints the path to the present state, and fails because of WHAT.  */
G_NORETURN static void
fail (const struct search *s, const char *what)
{
  struct world *w = world_new (&s->bounds->world);

  for (uint32_t i = 0; i < s->path.count; i++)
    {
      world_print_event (w, &s->path.events[i]);
      world_apply (w, &s->path.events[i]);
      if (s->path.events[i].kind == WORLD_ROUND)
        world_print (w);
    }
  g_error ("%s, after %u moves and %u late orders", what, w->moves,
           w->late_orders);
}

static void visit (struct search *s, const struct world *w);

/* Visits the state that follows FROM by event E.  */
static void
follow (struct search *s, const struct world *from, struct world_event e)
{
  struct world *w;

  g_assert_cmpuint (s->path.count, <, EVENTS_MAX);
  w = &s->worlds[s->path.count];
  world_copy (w, from);
  s->path.events[s->path.count++] = e;
  if (!world_apply (w, &e))
    fail (s, "a pass begins with two maps");
  visit (s, w);
  s->path.count--;
}

/* Visits each state that follows FROM by an agent that leaves its leader.  */
static void
move_all (struct search *s, const struct world *from)
{
  for (uint32_t r = 1; r < WORLD_RANKS && from->moves < s->bounds->moves; r++)
    {
      follow (s, from, (struct world_event){ WORLD_MOVE, r });
      if (s->bounds->unnoticed)
        follow (s, from, (struct world_event){ WORLD_MOVE_UNNOTICED, r });
    }
}

/* Visits each state that follows FROM by an order that becomes late, or by a
   late one that is carried out.  */
static void
delay_all (struct search *s, const struct world *from)
{
  for (uint32_t i = 0; i < WORLD_ORDERS_MAX; i++)
    if (from->orders[i].used && from->orders[i].late)
      follow (s, from, (struct world_event){ WORLD_CARRY_OUT, i });
    else if (from->orders[i].used && !from->orders[i].refused
             && from->late_orders < s->bounds->late_orders
             && (s->bounds->late_ops >> from->orders[i].command.op & 1))
      follow (s, from, (struct world_event){ WORLD_DELAY, i });
}

/* Has all agents follow agent 0 again, without further events.  The group must
   go on.  */
static void
recover (const struct search *s, const struct world *from)
{
  struct world *w = &s->worlds[s->path.count];

  world_copy (w, from);
  for (uint32_t r = 1; r < WORLD_RANKS; r++)
    if (w->agents[r].follows != 0)
      world_apply (w, &(struct world_event){ WORLD_MOVE, r });
  for (uint32_t i = 0; i < RECOVER_ROUNDS; i++)
    if (!world_apply (w, &(struct world_event){ WORLD_ROUND, 0 }))
      fail (s, "a pass begins with two maps as all follow one leader");
  if (world_is_held (w))
    {
      world_print (w);
      fail (s, "the group is held for good");
    }
}

static void
visit (struct search *s, const struct world *w)
{
  if (s->states >= s->states_max || !mark_seen (s, w))
    return;
  s->states++;
  if (w->round >= ROUNDS)
    {
      s->ends++;
      recover (s, w);
      return;
    }
  delay_all (s, w);
  move_all (s, w);
  follow (s, w, (struct world_event){ WORLD_ROUND, 0 });
}

static void
explore (gconstpointer data)
{
  struct search s = { .bounds = data, .states_max = states_max };
  struct world *w = world_new (&s.bounds->world);

  s.seen_capacity = 1024;
  while (s.seen_capacity < 2 * states_max)
    s.seen_capacity *= 2;
  s.seen = g_new0 (uint64_t, s.seen_capacity);
  s.worlds = g_new (struct world, EVENTS_MAX + 1);
  visit (&s, w);
  g_test_message ("%s: %" G_GUINT64_FORMAT " states, %s; %" G_GUINT64_FORMAT
                  " ends of runs",
                  s.bounds->name, s.states,
                  s.states < s.states_max ? "all" : "the limit", s.ends);
  g_free (s.seen);
  g_free (s.worlds);
  g_free (w);
}

static const struct bounds cases[] = {
  { .name = "undisturbed" },
  { .name = "moves", .moves = 4 },
  { .name = "late", .late_orders = 2, .late_ops = ALL_OPS },
  { .name = "moves-late", .moves = 4, .late_orders = 1, .late_ops = ALL_OPS },
  { .name = "unnoticed", .moves = 4, .unnoticed = true },
  { .name = "unlisted", .moves = 4, .world = { .unlisted = true } },
  { .name = "unlisted-unnoticed",
    .moves = 4,
    .unnoticed = true,
    .world = { .unlisted = true } },
  { .name = "unlisted-late",
    .moves = 4,
    .late_orders = 1,
    .late_ops = ALL_OPS,
    .world = { .unlisted = true } },
  { .name = "unfenced", .moves = 4, .world = { true, true } },
  { .name = "unfenced-prepare",
    .moves = 4,
    .late_orders = 1,
    .late_ops = 1 << BB_GROUP_SWITCH_PREPARE,
    .world = { true, true } },
  { .name = "unfenced-arm",
    .moves = 4,
    .late_orders = 1,
    .late_ops = 1 << BB_GROUP_SWITCH_ARM,
    .world = { true, true } },
  { .name = "unfenced-hold",
    .moves = 4,
    .late_orders = 1,
    .late_ops = 1 << BB_GROUP_SWITCH_HOLD,
    .world = { true, true } },
  { .name = "unfenced-go",
    .moves = 4,
    .late_orders = 1,
    .late_ops = 1 << BB_GROUP_SWITCH_GO,
    .world = { true, true } },
  { .name = "unfenced-disarm",
    .moves = 4,
    .late_orders = 1,
    .late_ops = 1 << BB_GROUP_SWITCH_DISARM,
    .world = { true, true } }
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
