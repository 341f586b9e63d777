/* Polls the engines of ranks whose agent is not connected to the leader.  */

#include "leader.h"

#include <jansson.h>
#include <string.h>

enum
{
  /* Intervals between polls: without a switch, and while one is in
     progress.  */
  POLL_INTERVAL_REMOTE_MS = 500,
  SWITCH_POLL_INTERVAL_REMOTE_MS = 100,
  /* Polls at a time, so that the loss of many agents does not fill the link.
   */
  POLLS_MAX = 8
};

/* A request in progress for the report of an engine.  */
struct remote_poll
{
  struct leader *leader;
  char *address;
  char *host;                     /* host part of address */
  struct accepted_fence accepted; /* by the engine, when the poll began */
};

static void
free_poll (struct remote_poll *poll)
{
  g_free (poll->address);
  g_free (poll->host);
  g_free (poll);
}

static struct bb_rank_state
state_of_report (const struct bb_rank_report *r)
{
  return (struct bb_rank_state){ .epoch = r->epoch,
                                 .rank = r->rank,
                                 .size = r->group_size,
                                 .open = r->open,
                                 .step = r->step,
                                 .map = r->map_version,
                                 .prepared = r->prepared_version,
                                 .armed = r->armed_version,
                                 .armed_step = r->armed_step,
                                 .held = r->held_step };
}

static void
on_report (const struct bb_rank_report *r, void *user)
{
  struct remote_poll *poll = user;
  struct leader *l = poll->leader;

  if (!r)
    bb_log_event ("far_silent", "{s:s}", "address", poll->address);
  if (r && r->in_group && l->active && strcmp (r->group, l->group) != 0)
    bb_election_set_other_group (&l->agent->election, poll->host,
                                 agent_now (l->agent));
  else if (r && r->in_group && l->active)
    {
      struct bb_rank_state m = state_of_report (r);
      if (poll->accepted.epoch == r->epoch)
        m.fence_accepted = poll->accepted.fence;
      g_hash_table_replace (l->remote_addresses, GUINT_TO_POINTER (r->rank),
                            g_strdup (poll->address));
      leader_update_rank (l, &m, false);
    }
  free_poll (poll);
}

static bool
is_poll_due (const struct leader *l, bb_ms now)
{
  bb_ms interval = l->map_switch.phase == BB_GROUP_SWITCH_IDLE
                       ? POLL_INTERVAL_REMOTE_MS
                       : SWITCH_POLL_INTERVAL_REMOTE_MS;

  return now - l->last_poll_ms >= interval;
}

/* Polls the engine at ADDRESS unless an agent on its host is connected or its
   group is another.  Returns whether it polls.  */
static bool
poll_engine (struct leader *l, const char *address, bb_ms now)
{
  char *host = view_host_of (address);
  struct remote_poll *poll;

  if (leader_has_agent (l, host)
      || bb_election_is_other_group (&l->agent->election, host, now))
    {
      g_free (host);
      return false;
    }
  poll = g_new0 (struct remote_poll, 1);
  poll->leader = l;
  poll->address = g_strdup (address);
  poll->host = host;
  poll->accepted = leader_remote_fence (l, address);
  remote_get_report (l->agent, address, on_report, poll);
  return true;
}

/* Polls the engines at the positions from FIRST to END - 1 of the table, until
 *POLLS is POLLS_MAX.  Returns the position after the last one.  */
static uint32_t
poll_range (struct leader *l, uint32_t first, uint32_t end, uint32_t *polls,
            bb_ms now)
{
  GHashTableIter it;
  void *address;
  uint32_t at = 0;

  g_hash_table_iter_init (&it, l->agent->upstreams);
  while (at < end && *polls < POLLS_MAX
         && g_hash_table_iter_next (&it, NULL, &address))
    {
      if (at >= first)
        *polls += poll_engine (l, address, now);
      at++;
    }
  return at;
}

void
leader_poll_remotes (struct leader *l)
{
  bb_ms now = agent_now (l->agent);
  uint32_t start = l->next_poll;
  uint32_t polls = 0;

  if (!is_poll_due (l, now))
    return;
  l->last_poll_ms = now;
  l->next_poll = poll_range (l, start, UINT32_MAX, &polls, now);
  if (polls < POLLS_MAX)
    l->next_poll = poll_range (l, 0, start, &polls, now);
}
