/* Elects the leader of a group: the first host that answers.  */

#include "bilberry/group.h"

#include <string.h>

enum
{
  /* Time between attempts to reach one host.  Where the group has a leader, it
     is short at first, as the host may be starting, and doubled with each
     attempt; where it has none, no host is asked again before all others.  */
  CONNECT_INTERVAL_MIN_MS = 200,
  CONNECT_INTERVAL_MAX_MS = 1000,
  REPLY_TIMEOUT_MS = 150,  /* longest wait for a reply; needed as a frozen VM
                              accepts connections */
  LEADER_TIMEOUT_MS = 350, /* longest silence of the leader, which replies to
                              each state report */
  /* Time for which a host counts as of another group, and the longest addition
     to it, which differs between pairs of hosts so that a large fleet does not
     ask all at once.  */
  OTHER_GROUP_MS = 30000,
  OTHER_GROUP_SPREAD_MS = 30000
};

/* What is known of another host.  */
struct host
{
  bb_ms attempt_ms;
  bb_ms other_group_until_ms; /* the host is of another group until then */
  uint32_t attempts;          /* since this host last followed it */
};

void
bb_election_init (struct bb_election *e, const char *self)
{
  memset (e, 0, sizeof *e);
  e->self = g_strdup (self);
  e->group = g_strdup ("");
  e->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
bb_election_free (struct bb_election *e)
{
  g_hash_table_unref (e->hosts);
  g_free (e->self);
  g_free (e->group);
  g_free (e->leader);
  g_free (e->candidate);
}

static struct host *
host_record (struct bb_election *e, const char *name)
{
  struct host *h = g_hash_table_lookup (e->hosts, name);

  if (h)
    return h;
  h = g_new0 (struct host, 1);
  g_hash_table_insert (e->hosts, g_strdup (name), h);
  return h;
}

bool
bb_election_set_group (struct bb_election *e, const char *group)
{
  if (strcmp (e->group, group) == 0)
    return false;
  g_free (e->group);
  e->group = g_strdup (group);
  e->is_leader = false;
  g_hash_table_remove_all (e->hosts);
  return true;
}

void
bb_election_set_other_group (struct bb_election *e, const char *host,
                             bb_ms now)
{
  struct host *h = host_record (e, host);

  h->other_group_until_ms
      = now + OTHER_GROUP_MS
        + (bb_ms)((g_str_hash (e->self) ^ g_str_hash (host))
                  % OTHER_GROUP_SPREAD_MS);
}

bool
bb_election_is_other_group (const struct bb_election *e, const char *host,
                            bb_ms now)
{
  const struct host *h = g_hash_table_lookup (e->hosts, host);

  return h && now < h->other_group_until_ms;
}

static bool
was_attempted_recently (const struct bb_election *e, const char *host,
                        bb_ms now)
{
  const struct host *h = g_hash_table_lookup (e->hosts, host);
  bb_ms interval_ms = e->leader || e->is_leader ? CONNECT_INTERVAL_MIN_MS
                                                : CONNECT_INTERVAL_MAX_MS;

  if (!h || h->attempts == 0)
    return false;
  for (uint32_t i = 1;
       i < h->attempts && interval_ms < CONNECT_INTERVAL_MAX_MS; i++)
    interval_ms *= 2;
  interval_ms = MIN (interval_ms, CONNECT_INTERVAL_MAX_MS);
#ifdef BB_MUTANT_election_interval
  interval_ms = CONNECT_INTERVAL_MAX_MS;
#endif
  return now - h->attempt_ms < interval_ms;
}

static enum bb_election_action
connect_to (struct bb_election *e, const char *host, bb_ms now)
{
  struct host *h = host_record (e, host);

  h->attempts++;
  h->attempt_ms = now;
  e->candidate = g_strdup (host);
  e->candidate_since_ms = now;
  return BB_ELECTION_CONNECT;
}

/* Chooses the next host to connect to, of those before the present leader, or
   before this host where there is no leader.  This host leads where none is
   left to try.  A leader that is no longer among these hosts is given up.  */
static enum bb_election_action
choose_candidate (struct bb_election *e, const char *const *hosts,
                  uint32_t count, bb_ms now)
{
  for (uint32_t i = 0; i < count && strcmp (hosts[i], e->self) <= 0; i++)
    {
      if (e->leader && strcmp (hosts[i], e->leader) == 0)
        return BB_ELECTION_NONE;
      if (strcmp (hosts[i], e->self) == 0)
        {
          e->is_leader = !e->leader;
          return e->leader ? BB_ELECTION_CLOSE_LEADER : BB_ELECTION_NONE;
        }
      if (!bb_election_is_other_group (e, hosts[i], now)
          && !was_attempted_recently (e, hosts[i], now))
        return connect_to (e, hosts[i], now);
    }
  return BB_ELECTION_NONE;
}

enum bb_election_action
bb_election_tick (struct bb_election *e, const char *const *hosts,
                  uint32_t count, bb_ms now)
{
  if (e->leader && now - e->leader_last_message_ms > LEADER_TIMEOUT_MS)
    return BB_ELECTION_CLOSE_LEADER;
  if (e->candidate && now - e->candidate_since_ms > REPLY_TIMEOUT_MS)
    return BB_ELECTION_CLOSE_CANDIDATE;
  if (e->candidate || *e->group == '\0')
    return BB_ELECTION_NONE;
  return choose_candidate (e, hosts, count, now);
}

static bool
is_same_host (const char *known, const char *host)
{
  return known && strcmp (known, host) == 0;
}

enum bb_election_action
bb_election_on_hello (struct bb_election *e, const char *host,
                      const char *group, bb_ms now)
{
  bool unknown = *group == '\0';
  bool same_group = strcmp (group, e->group) == 0;

  if (!unknown && !same_group)
    bb_election_set_other_group (e, host, now);
  if (is_same_host (e->leader, host))
    {
      e->leader_last_message_ms = now;
      return unknown || same_group ? BB_ELECTION_NONE
                                   : BB_ELECTION_CLOSE_LEADER;
    }
  if (!is_same_host (e->candidate, host))
    return BB_ELECTION_NONE;
  if (unknown || !same_group)
    return BB_ELECTION_CLOSE_CANDIDATE;
  g_free (e->leader);
  e->leader = e->candidate;
  e->candidate = NULL;
  e->leader_last_message_ms = now;
  e->is_leader = false;
  host_record (e, host)->attempts = 0;
  return BB_ELECTION_FOLLOW;
}

void
bb_election_on_received (struct bb_election *e, bb_ms received_ms)
{
#ifndef BB_MUTANT_leader_heard
  if (received_ms > e->leader_last_message_ms)
    e->leader_last_message_ms = received_ms;
#endif
}

void
bb_election_on_close (struct bb_election *e, const char *host)
{
  if (is_same_host (e->leader, host))
    {
      g_free (e->leader);
      e->leader = NULL;
    }
  if (is_same_host (e->candidate, host))
    {
      g_free (e->candidate);
      e->candidate = NULL;
    }
}

void
bb_election_reset (struct bb_election *e)
{
  e->is_leader = false;
  g_hash_table_remove_all (e->hosts);
}
