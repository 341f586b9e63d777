/* Model checking of the map switch: an exhaustive search through the states of
   three ranks with two coordinators and a bounded number of ballots, crashes
   and steps.  The network keeps every message ever sent and may deliver each
   at any time and repeatedly, which covers loss, delay, duplication and
   reordering.

   In every state all ranks must use the same map in each step.  From one state
   in RECOVER_EVERY, a run without further faults must make progress.

   By default the search ends after TEST_STATES states of each case.  Another
   limit N is set by:  test_map_explore --states N [-p /explore/CASE]  */

#include "../libmap/switch.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  RANKS = 3,
  COORDINATORS = 2,
  STEPS = 3,
  MESSAGES_MAX = 1024,
  DEPTH_MAX = 512,
  TEST_STATES = 40000,
  RECOVER_EVERY = 64, /* one state in this many is checked for progress */
  RECOVER_ROUNDS = 1000,
  FIRST_HASH = 7
};

struct node
{
  struct bb_switch agent; /* its peers point to the field peers */
  struct bb_switch_peer peers[RANKS];
  struct bb_switch_saved_state engine;
  bool joining; /* the engine is new and starts at the step of the others */
};

struct state
{
  struct node nodes[RANKS];
  uint64_t used[STEPS + 8]; /* id of the value that each step ran with; 0: not
                               run */
  uint64_t sent[MESSAGES_MAX / 64]; /* bit set of the messages sent */
  uint64_t incarnations;
  uint32_t crashes; /* crashes of vms in the low 8 bits, of agents above */
};

/* The limits of one case.  */
struct bounds
{
  const char *name;
  uint32_t ballots;
  uint32_t vm_crashes;
  uint32_t agent_crashes;
};

struct search
{
  const struct bounds *bounds;
  uint64_t base_round;
  uint64_t states_max;
  uint64_t states;
  uint64_t recovered;
  uint32_t depth;
  bool truncated; /* states were left out: too many states, messages or too
                     deep */
  struct bb_map_switch messages[MESSAGES_MAX];
  XXH128_hash_t hashes[MESSAGES_MAX];
  uint32_t messages_count;
  XXH128_hash_t *seen;
  uint64_t seen_capacity;
  bool exploring; /* false: messages are delivered at once */
  bb_ms now;
};

static void
set_peer_pointers (struct state *st)
{
  for (uint32_t i = 0; i < RANKS; i++)
    st->nodes[i].agent.peers = st->nodes[i].peers;
}

/* Copies a message field by field, so that its padding is zero and equal
   messages have the same hash.  */
static void
copy_message (struct bb_map_switch *to, const struct bb_map_switch *m)
{
  memset (to, 0, sizeof *to);
  to->type = m->type;
  to->from = m->from;
  to->to = m->to;
  to->from_incarnation = m->from_incarnation;
  to->to_incarnation = m->to_incarnation;
  to->ballot = m->ballot;
  to->value = m->value;
  to->in_force = m->in_force;
  to->accepted_ballot = m->accepted_ballot;
  to->started = m->started;
  to->decided = m->decided;
}

static void
send_message (struct search *s, struct state *st,
              const struct bb_map_switch *message)
{
  struct bb_map_switch m;
  XXH128_hash_t hash;
  uint32_t n = 0;

  copy_message (&m, message);
  hash = XXH3_128bits (&m, sizeof m);
  while (n < s->messages_count && !XXH128_isEqual (s->hashes[n], hash))
    n++;
  if (n == MESSAGES_MAX)
    {
      s->truncated = true;
      return;
    }
  if (n == s->messages_count)
    {
      s->messages[n] = m;
      s->hashes[n] = hash;
      s->messages_count++;
    }
  st->sent[n / 64] |= UINT64_C (1) << n % 64;
}

/* Clears the times, which the search does not model.  */
static void
clear_times (struct bb_switch *a)
{
  a->resend_at = 0;
  a->prepare_deadline_at = 0;
  a->takeover_at = 0;
  a->takeover_delay_ms = BB_SWITCH_TAKEOVER_DELAY_MS;
}

/* The messages of the prepare phase affect only the time at which the next
   phase begins, so they are delivered at once.  */
static bool
is_prepare (const struct bb_map_switch *m)
{
  return m->type == BB_SWITCH_PREPARE || m->type == BB_SWITCH_PREPARED;
}

/* Clears the fields that the coordinator will not read again, so that states
   which differ only in them are equal.  */
static void
clear_unused (struct bb_switch *a)
{
  if (a->phase == BB_SWITCH_LEADING)
    return;
  for (uint32_t i = 0; i < RANKS; i++)
    {
      struct bb_switch_peer p = { .incarnation = a->peers[i].incarnation,
                                  .answered = a->peers[i].answered };
      if (a->phase == BB_SWITCH_IDLE)
        p.answered = false;
      a->peers[i] = p;
    }
  if (a->phase != BB_SWITCH_IDLE)
    return;
  a->ballot = 0;
  memset (&a->proposal, 0, sizeof a->proposal);
  memset (&a->fallback, 0, sizeof a->fallback);
}

static void receive (struct search *s, struct state *st,
                     const struct bb_map_switch *m);

/* Applies the output OUT of an event of node N to its engine and to the
   network.  */
static void
apply_output (struct search *s, struct state *st, uint32_t n,
              struct bb_switch_out *out)
{
  struct node *node = &st->nodes[n];

  while (out->load_hash != 0)
    {
      uint64_t hash = out->load_hash;
      out->load_hash = 0;
      bb_switch_loaded (&node->agent, hash, s->now, out);
    }
  node->engine = node->agent.saved;
  if (s->exploring)
    clear_times (&node->agent);
  for (uint32_t i = 0; i < out->count; i++)
    if (s->exploring && !is_prepare (&out->messages[i]))
      send_message (s, st, &out->messages[i]);
    else
      receive (s, st, &out->messages[i]);
  if (s->exploring)
    clear_unused (&node->agent);
  bb_switch_out_clear (out);
}

static void
receive (struct search *s, struct state *st, const struct bb_map_switch *m)
{
  struct bb_switch_out out = { 0 };
  struct node *node = &st->nodes[m->to];

  node->agent.saved.started = node->engine.started;
  bb_switch_receive (&node->agent, m, s->now, &out);
  apply_output (s, st, m->to, &out);
}

static uint64_t
highest_step (const struct state *st)
{
  uint64_t highest = 0;

  for (uint32_t i = 0; i < RANKS; i++)
    highest = MAX (highest, st->nodes[i].engine.started);
  return highest;
}

static bool
blocks_step (const struct state *st, uint32_t n, uint64_t step)
{
  const struct node *node = &st->nodes[n];

  return node->joining ? step > MAX (1, highest_step (st))
                       : node->engine.started + 1 < step;
}

/* Starts the next step of rank N, up to LAST.  Returns false where it must
   wait.  */
static bool
start_step (struct state *st, uint32_t n, uint64_t last)
{
  struct node *node = &st->nodes[n];
  uint64_t step
      = node->joining ? MAX (1, highest_step (st)) : node->engine.started + 1;
  uint64_t id;
  uint64_t hash;

  for (uint32_t i = 0; i < RANKS; i++)
    if (blocks_step (st, i, step))
      return false;
  if (step > last || !bb_switch_may_start (&node->engine, step, &id, &hash))
    return false;
  if (st->used[step] != 0 && st->used[step] != id)
    g_error ("step %" G_GUINT64_FORMAT " has run with two maps", step);
  st->used[step] = id;
  node->engine.started = step;
  node->agent.saved.started = step;
  node->joining = false;
  return true;
}

static void
start_agent (struct search *s, struct state *st, uint32_t n,
             const struct bb_switch_saved_state *saved)
{
  struct node *node = &st->nodes[n];
  struct bb_switch_out out = { 0 };
  struct bb_switch_peer *peers;

  bb_switch_init (&node->agent, RANKS, n, ++st->incarnations, FIRST_HASH);
  peers = node->agent.peers;
  memcpy (node->peers, peers, sizeof node->peers);
  g_free (peers);
  node->agent.peers = node->peers;
  node->agent.margin_steps = 1;
  if (saved)
    bb_switch_restore (&node->agent, saved);
  node->engine = node->agent.saved;
  bb_switch_tick (&node->agent, s->now, &out);
  apply_output (s, st, n, &out);
}

/* Forgets the last step of rank N, whose vm is lost, where no other rank has
   started it: nothing of it remains, so it may run again with another map.  */
static void
forget_lone_step (struct state *st, uint32_t n)
{
  uint64_t step = st->nodes[n].engine.started;

  for (uint32_t i = 0; i < RANKS; i++)
    if (i != n && st->nodes[i].engine.started >= step)
      return;
  st->used[step] = 0;
}

/* Returns whether the vm of rank N may be lost: another rank has a map.  */
static bool
may_lose_vm (const struct state *st, uint32_t n)
{
  uint32_t others = 0;

  for (uint32_t i = 0; i < RANKS; i++)
    others += i != n && st->nodes[i].engine.accepted_ballot != 0;
  return others > 0;
}

static void
crash (struct search *s, struct state *st, uint32_t n, bool whole_vm)
{
  struct bb_switch_saved_state saved = st->nodes[n].engine;

  st->crashes += whole_vm ? 1 : 1 << 8;
  if (whole_vm)
    {
      forget_lone_step (st, n);
      st->nodes[n].joining = true;
    }
  start_agent (s, st, n, whole_vm ? NULL : &saved);
}

/* Runs the group from the state FROM without faults until every rank has run
   three more steps.  */
static void
recover (struct search *s, const struct state *from)
{
  struct state st = *from;
  uint64_t goal = highest_step (from) + 3;

  set_peer_pointers (&st);
  s->exploring = false;
  s->now = 0;
  s->recovered++;
  for (uint32_t round = 0; round < RECOVER_ROUNDS; round++)
    {
      uint64_t least = UINT64_MAX;
      s->now += BB_SWITCH_TICK_MS;
      for (uint32_t n = 0; n < RANKS; n++)
        {
          struct bb_switch_out out = { 0 };
          bb_switch_tick (&st.nodes[n].agent, s->now, &out);
          apply_output (s, &st, n, &out);
        }
      for (uint32_t n = 0; n < RANKS; n++)
        {
          start_step (&st, n, goal);
          least = MIN (least, st.nodes[n].engine.started);
        }
      if (least >= goal)
        break;
      if (round + 1 == RECOVER_ROUNDS)
        g_error ("the group makes no progress without faults");
    }
  s->exploring = true;
  s->now = 0;
}

static XXH128_hash_t
hash_state (const struct state *from)
{
  static struct state st;

  memcpy (&st, from, sizeof st);
  for (uint32_t i = 0; i < RANKS; i++)
    st.nodes[i].agent.peers = NULL;
  return XXH3_128bits (&st, sizeof st);
}

/* Adds a state to those seen.  Returns false where it was seen before.  */
static bool
mark_seen (struct search *s, const struct state *st)
{
  XXH128_hash_t h = hash_state (st);
  uint64_t i = h.low64 & (s->seen_capacity - 1);

  while (s->seen[i].low64 != 0 || s->seen[i].high64 != 0)
    {
      if (XXH128_isEqual (s->seen[i], h))
        return false;
      i = (i + 1) & (s->seen_capacity - 1);
    }
  s->seen[i] = h;
  return true;
}

static bool
is_within_bounds (const struct search *s, const struct state *st)
{
  for (uint32_t i = 0; i < RANKS; i++)
    if (st->nodes[i].agent.highest_round > s->base_round + s->bounds->ballots)
      return false;
  return true;
}

static void visit (struct search *s, const struct state *st);

/* Visits each state that follows FROM by the delivery of a message.  */
static void
deliver_all (struct search *s, const struct state *from)
{
  for (uint32_t n = 0; n < s->messages_count; n++)
    if (from->sent[n / 64] >> n % 64 & 1)
      {
        struct bb_map_switch m = s->messages[n];
        struct state st = *from;
        set_peer_pointers (&st);
        receive (s, &st, &m);
        visit (s, &st);
      }
}

/* Visits each state that follows FROM by the start of a ballot, with or
   without a proposal.  */
static void
coordinate_all (struct search *s, const struct state *from)
{
  for (uint32_t n = 0; n < COORDINATORS; n++)
    for (uint32_t wants = 0; wants < 2; wants++)
      {
        struct state st = *from;
        struct bb_switch *agent = &st.nodes[n].agent;
        struct bb_switch_out out = { 0 };
        set_peer_pointers (&st);
        if (wants)
          bb_switch_propose (agent, 100 + n, 0, &out);
        else if (!agent->saved.decided)
          coordinator_start (agent, 0, &out);
        apply_output (s, &st, n, &out);
        visit (s, &st);
      }
}

/* Visits each state that follows FROM by a crash of a vm or an agent.  */
static void
crash_all (struct search *s, const struct state *from)
{
  for (uint32_t n = 0; n < RANKS; n++)
    {
      struct state st = *from;
      set_peer_pointers (&st);
      if ((st.crashes & 0xff) < s->bounds->vm_crashes && may_lose_vm (&st, n))
        {
          crash (s, &st, n, true);
          visit (s, &st);
        }
      st = *from;
      set_peer_pointers (&st);
      if (st.crashes >> 8 < s->bounds->agent_crashes)
        {
          crash (s, &st, n, false);
          visit (s, &st);
        }
    }
}

static void
visit (struct search *s, const struct state *st)
{
  if (!is_within_bounds (s, st))
    return;
  if (s->states >= s->states_max || s->depth >= DEPTH_MAX)
    {
      s->truncated = true;
      return;
    }
  if (!mark_seen (s, st))
    return;
  if (s->states++ % RECOVER_EVERY == 0)
    recover (s, st);
  s->depth++;
  for (uint32_t n = 0; n < RANKS; n++)
    {
      struct state next = *st;
      set_peer_pointers (&next);
      if (start_step (&next, n, STEPS))
        visit (s, &next);
    }
  crash_all (s, st);
  deliver_all (s, st);
  coordinate_all (s, st);
  s->depth--;
}

/* Sets ST to a group that has decided its first map and started its first
   step.  */
static void
init_state (struct search *s, struct state *st)
{
  memset (st, 0, sizeof *st);
  s->exploring = false;
  for (uint32_t n = 0; n < RANKS; n++)
    start_agent (s, st, n, NULL);
  for (uint32_t round = 0; round < RECOVER_ROUNDS && highest_step (st) < 1;
       round++)
    {
      s->now += BB_SWITCH_TICK_MS;
      for (uint32_t n = 0; n < RANKS; n++)
        {
          struct bb_switch_out out = { 0 };
          bb_switch_tick (&st->nodes[n].agent, s->now, &out);
          apply_output (s, st, n, &out);
        }
      for (uint32_t n = 0; n < RANKS; n++)
        start_step (st, n, 1);
    }
  s->exploring = true;
  s->now = 0;
  for (uint32_t n = 0; n < RANKS; n++)
    {
      clear_times (&st->nodes[n].agent);
      s->base_round = MAX (s->base_round, st->nodes[n].agent.highest_round);
    }
}

static void
explore (const struct bounds *bounds, uint64_t limit)
{
  struct search *s = g_new0 (struct search, 1);
  struct state st;

  s->bounds = bounds;
  s->states_max = limit;
  s->seen_capacity = 1;
  while (s->seen_capacity < limit * 2)
    s->seen_capacity *= 2;
  s->seen = g_new0 (XXH128_hash_t, s->seen_capacity);
  init_state (s, &st);
  visit (s, &st);
  g_test_message ("%s: %u ballots, %u vm and %u agent crashes: "
                  "%" G_GUINT64_FORMAT " states%s, %u messages, "
                  "%" G_GUINT64_FORMAT " recovered",
                  bounds->name, bounds->ballots, bounds->vm_crashes,
                  bounds->agent_crashes, s->states,
                  s->truncated ? " (cut)" : " (all)", s->messages_count,
                  s->recovered);
  g_free (s->seen);
  g_free (s);
}

static const struct bounds cases[] = {
  { "one-ballot", 1, 0, 0 },
  { "one-ballot-vm-crash", 1, 1, 0 },
  { "one-ballot-agent-crash", 1, 0, 1 },
  { "two-ballots", 2, 0, 0 },
  { "vm-crash", 2, 1, 0 },
  { "agent-crash", 2, 0, 1 },
  { "three-ballots", 3, 0, 0 },
  { "vm-crash-three", 3, 1, 0 },
  { "agent-crash-three", 3, 0, 1 },
  { "two-crashes", 4, 1, 1 },
};

static uint64_t states_limit = TEST_STATES;

static void
test_case (gconstpointer arg)
{
  explore (arg, states_limit);
}

int
main (int argc, char **argv)
{
  if (argc > 2 && strcmp (argv[1], "--states") == 0)
    {
      states_limit = g_ascii_strtoull (argv[2], NULL, 10);
      argv[2] = argv[0];
      argv += 2;
      argc -= 2;
    }
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strdup_printf ("/explore/%s", cases[i].name);
      g_test_add_data_func (path, &cases[i], test_case);
      g_free (path);
    }
  return g_test_run ();
}
