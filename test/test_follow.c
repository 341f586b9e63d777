/* Tests of who leads: agents of several groups find the first of their own,
   and another one when it is frozen.  */

#include "bilberry/group.h"

#include <string.h>

enum
{
  AGENTS = 12,
  GROUPS = 3,
  TICK_MS = 10,
  ANSWER_MS = 4,     /* of a host that is there */
  FOUND_MAX_MS = 900 /* for a group to have one leader again */
};

struct agent
{
  struct bb_election follow;
  char host[16];
  bb_ms frozen_until;
  bb_ms dialled_ms; /* when the present dial was made */
};

struct world
{
  bb_ms now;
  struct agent agents[AGENTS];
  const char *hosts[AGENTS];
  uint32_t hosts_from; /* hosts before it are not known yet */
  uint32_t dials;
};

static struct world *
world_new (void)
{
  struct world *w = g_new0 (struct world, 1);

  for (uint32_t i = 0; i < AGENTS; i++)
    {
      struct agent *a = &w->agents[i];
      g_snprintf (a->host, sizeof a->host, "10.0.0.%02u", i);
      w->hosts[i] = a->host;
      bb_election_init (&a->follow, a->host);
    }
  return w;
}

static void
world_free (struct world *w)
{
  for (uint32_t i = 0; i < AGENTS; i++)
    bb_election_free (&w->agents[i].follow);
  g_free (w);
}

static void
join_groups (struct world *w)
{
  for (uint32_t i = 0; i < AGENTS; i++)
    {
      char group[2] = { (char)('a' + i % GROUPS), 0 };
      bb_election_set_group (&w->agents[i].follow, group);
    }
}

static bool
frozen (const struct world *w, const struct agent *a)
{
  return w->now < a->frozen_until;
}

static struct agent *
agent_of (struct world *w, const char *host)
{
  for (uint32_t i = 0; i < AGENTS; i++)
    if (strcmp (w->agents[i].host, host) == 0)
      return &w->agents[i];
  g_assert_not_reached ();
}

static void
act (struct world *w, struct agent *a, enum bb_election_action what)
{
  struct bb_election *f = &a->follow;

  switch (what)
    {
    case BB_ELECTION_CONNECT:
      a->dialled_ms = w->now;
      w->dials++;
      break;
    case BB_ELECTION_CLOSE_CANDIDATE:
      bb_election_on_close (f, f->candidate);
      break;
    case BB_ELECTION_CLOSE_LEADER:
      bb_election_on_close (f, f->leader);
      break;
    case BB_ELECTION_FOLLOW:
    case BB_ELECTION_NONE:
      break;
    }
}

/* The hosts that A talks to answer, unless they are frozen.  */
static void
hear (struct world *w, struct agent *a)
{
  struct bb_election *f = &a->follow;

  if (f->leader && !frozen (w, agent_of (w, f->leader)))
    act (w, a,
         bb_election_on_hello (f, f->leader,
                               agent_of (w, f->leader)->follow.group, w->now));
  if (f->candidate && w->now - a->dialled_ms >= ANSWER_MS
      && !frozen (w, agent_of (w, f->candidate)))
    act (w, a,
         bb_election_on_hello (f, f->candidate,
                               agent_of (w, f->candidate)->follow.group,
                               w->now));
}

static void
run (struct world *w, bb_ms for_ms)
{
  bb_ms end = w->now + for_ms;

  for (; w->now < end; w->now += TICK_MS)
    for (uint32_t i = 0; i < AGENTS; i++)
      {
        struct agent *a = &w->agents[i];
        enum bb_election_action what;
        if (frozen (w, a))
          continue;
        hear (w, a);
        while ((what = bb_election_tick (&a->follow, w->hosts + w->hosts_from,
                                         AGENTS - w->hosts_from, w->now))
               != BB_ELECTION_NONE)
          act (w, a, what);
      }
}

/* Each agent of group G that is not frozen follows LEADER, which leads.  */
static void
check_leader (const struct world *w, uint32_t g, uint32_t leader)
{
  for (uint32_t i = g; i < AGENTS; i += GROUPS)
    {
      const struct agent *a = &w->agents[i];
      if (frozen (w, a))
        continue;
      g_assert_cmpint (a->follow.is_leader, ==, i == leader);
      if (i == leader)
        g_assert_null (a->follow.leader);
      else
        g_assert_cmpstr (a->follow.leader, ==, w->agents[leader].host);
    }
}

/* Agents of three groups, which do not know who is in which.  */
static void
test_groups (void)
{
  struct world *w = world_new ();

  run (w, 500);
  for (uint32_t i = 0; i < AGENTS; i++)
    g_assert_false (w->agents[i].follow.is_leader);
  join_groups (w);
  run (w, 2000);
  for (uint32_t g = 0; g < GROUPS; g++)
    check_leader (w, g, g);
  /* Hosts of other groups are not asked again and again.  */
  w->dials = 0;
  run (w, 2000);
  g_assert_cmpuint (w->dials, ==, 0);
  world_free (w);
}

/* The leader's VM freezes: the next one leads, with all the others behind it,
   though they find that out at different times.  */
static void
test_frozen_leader (void)
{
  struct world *w = world_new ();

  join_groups (w);
  run (w, 2000);
  w->agents[0].frozen_until = w->now + 3000;
  run (w, FOUND_MAX_MS);
  check_leader (w, 0, GROUPS);
  check_leader (w, 1, 1);
  run (w, 3000 - FOUND_MAX_MS);
  bb_election_reset (&w->agents[0].follow);
  run (w, 2000);
  check_leader (w, 0, 0);
  world_free (w);
}

/* The same with two VMs that freeze at once.  */
static void
test_two_frozen (void)
{
  struct world *w = world_new ();

  join_groups (w);
  run (w, 2000);
  w->agents[0].frozen_until = w->now + 3000;
  w->agents[GROUPS].frozen_until = w->now + 3000;
  run (w, FOUND_MAX_MS);
  check_leader (w, 0, GROUPS * 2);
  world_free (w);
}

/* A leader that comes to be of another group is left, and followed there once
   the agents of that group ask it again.  */
static void
test_group_changes (void)
{
  struct world *w = world_new ();

  join_groups (w);
  run (w, 2000);
  g_assert_true (bb_election_set_group (&w->agents[0].follow, "b"));
  run (w, 61000);
  g_assert_true (w->agents[GROUPS].follow.is_leader);
  g_assert_true (w->agents[0].follow.is_leader);
  for (uint32_t i = 1; i < AGENTS; i += GROUPS)
    g_assert_cmpstr (w->agents[i].follow.leader, ==, w->agents[0].host);
  world_free (w);
}

/* All start at once and learn of hosts bit by bit, the last ones first: none
   may be left with a leader that comes after itself.  */
static void
test_late_hosts (void)
{
  struct world *w = world_new ();

  join_groups (w);
  w->hosts_from = AGENTS - 2;
  run (w, 100);
  w->hosts_from = 0;
  run (w, 2000);
  for (uint32_t g = 0; g < GROUPS; g++)
    check_leader (w, g, g);
  world_free (w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/follow/groups", test_groups);
  g_test_add_func ("/follow/frozen-leader", test_frozen_leader);
  g_test_add_func ("/follow/two-frozen", test_two_frozen);
  g_test_add_func ("/follow/late-hosts", test_late_hosts);
  g_test_add_func ("/follow/group-changes", test_group_changes);
  return g_test_run ();
}
