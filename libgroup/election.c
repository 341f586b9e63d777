#include "bilberry/group.h"

#include <string.h>

enum
{
  CONNECT_INTERVAL_MS = 1000, /* between tries to reach a host */
  REPLY_TIMEOUT_MS = 150,  /* for an answer: a frozen VM accepts connections */
  LEADER_TIMEOUT_MS = 350, /* of a leader, which answers each state */
  /* For which a host counts as of another group, and how far that is spread,
     so that a large fleet does not ask at once.  */
  OTHER_GROUP_MS = 30000,
  OTHER_GROUP_SPREAD_MS = 30000
};

/* What is known of a host.  */
struct host
{
  bb_ms attempt_ms;
  bb_ms other_group_until_ms; /* it counts as of another group */
  bool attempted;
};

void
bb_election_init (struct bb_election *f, const char *self)
{
  memset (f, 0, sizeof *f);
  f->self = g_strdup (self);
  f->group = g_strdup ("");
  f->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
bb_election_free (struct bb_election *f)
{
  g_hash_table_unref (f->hosts);
  g_free (f->self);
  g_free (f->group);
  g_free (f->leader);
  g_free (f->candidate);
}

static struct host *
host_record (struct bb_election *f, const char *name)
{
  struct host *h = g_hash_table_lookup (f->hosts, name);

  if (h)
    return h;
  h = g_new0 (struct host, 1);
  g_hash_table_insert (f->hosts, g_strdup (name), h);
  return h;
}

bool
bb_election_set_group (struct bb_election *f, const char *group)
{
  if (strcmp (f->group, group) == 0)
    return false;
  g_free (f->group);
  f->group = g_strdup (group);
  f->is_leader = false;
  g_hash_table_remove_all (f->hosts);
  return true;
}

void
bb_election_set_other_group (struct bb_election *f, const char *host,
                             bb_ms now)
{
  struct host *h = host_record (f, host);

  h->other_group_until_ms
      = now + OTHER_GROUP_MS
        + (bb_ms)((g_str_hash (f->self) ^ g_str_hash (host))
                  % OTHER_GROUP_SPREAD_MS);
}

bool
bb_election_is_other_group (const struct bb_election *f, const char *host,
                            bb_ms now)
{
  const struct host *h = g_hash_table_lookup (f->hosts, host);

  return h && now < h->other_group_until_ms;
}

static bool
was_attempted_recently (const struct bb_election *f, const char *host,
                        bb_ms now)
{
  const struct host *h = g_hash_table_lookup (f->hosts, host);

  return h && h->attempted && now - h->attempt_ms < CONNECT_INTERVAL_MS;
}

static enum bb_election_action
connect_to (struct bb_election *f, const char *host, bb_ms now)
{
  struct host *h = host_record (f, host);

  h->attempted = true;
  h->attempt_ms = now;
  f->candidate = g_strdup (host);
  f->candidate_since_ms = now;
  return BB_ELECTION_CONNECT;
}

/* Tries the hosts that come before the present leader, or before this one.
   Where none of them answers, this one leads.  A leader that is not among the
   hosts any more is left.  */
static enum bb_election_action
choose_candidate (struct bb_election *f, const char *const *hosts,
                  uint32_t count, bb_ms now)
{
  for (uint32_t i = 0; i < count && strcmp (hosts[i], f->self) <= 0; i++)
    {
      if (f->leader && strcmp (hosts[i], f->leader) == 0)
        return BB_ELECTION_NONE;
      if (strcmp (hosts[i], f->self) == 0)
        {
          f->is_leader = !f->leader;
          return f->leader ? BB_ELECTION_CLOSE_LEADER : BB_ELECTION_NONE;
        }
      if (!bb_election_is_other_group (f, hosts[i], now)
          && !was_attempted_recently (f, hosts[i], now))
        return connect_to (f, hosts[i], now);
    }
  return BB_ELECTION_NONE;
}

enum bb_election_action
bb_election_tick (struct bb_election *f, const char *const *hosts,
                  uint32_t count, bb_ms now)
{
  if (f->leader && now - f->leader_heard_ms > LEADER_TIMEOUT_MS)
    return BB_ELECTION_CLOSE_LEADER;
  if (f->candidate && now - f->candidate_since_ms > REPLY_TIMEOUT_MS)
    return BB_ELECTION_CLOSE_CANDIDATE;
  if (f->candidate || *f->group == '\0')
    return BB_ELECTION_NONE;
  return choose_candidate (f, hosts, count, now);
}

static bool
is_same_host (const char *known, const char *host)
{
  return known && strcmp (known, host) == 0;
}

enum bb_election_action
bb_election_on_hello (struct bb_election *f, const char *host,
                      const char *group, bb_ms now)
{
  bool unknown = *group == '\0';
  bool same_group = strcmp (group, f->group) == 0;

  if (!unknown && !same_group)
    bb_election_set_other_group (f, host, now);
  if (is_same_host (f->leader, host))
    {
      f->leader_heard_ms = now;
      return unknown || same_group ? BB_ELECTION_NONE
                                   : BB_ELECTION_CLOSE_LEADER;
    }
  if (!is_same_host (f->candidate, host))
    return BB_ELECTION_NONE;
  if (unknown || !same_group)
    return BB_ELECTION_CLOSE_CANDIDATE;
  g_free (f->leader);
  f->leader = f->candidate;
  f->candidate = NULL;
  f->leader_heard_ms = now;
  f->is_leader = false;
  return BB_ELECTION_FOLLOW;
}

void
bb_election_on_close (struct bb_election *f, const char *host)
{
  if (is_same_host (f->leader, host))
    {
      g_free (f->leader);
      f->leader = NULL;
    }
  if (is_same_host (f->candidate, host))
    {
      g_free (f->candidate);
      f->candidate = NULL;
    }
}

void
bb_election_reset (struct bb_election *f)
{
  f->is_leader = false;
  g_hash_table_remove_all (f->hosts);
}
