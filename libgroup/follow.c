#include "bilberry/group.h"

#include <string.h>

enum
{
  RETRY_MS = 1000,   /* between tries to reach a host */
  DIAL_MAX_MS = 150, /* for an answer: a frozen VM accepts connections */
  SILENT_MS = 350,   /* of a leader, which answers each state */
  /* For which a host counts as of another group, and how far that is spread,
     so that a large fleet does not ask at once.  */
  ELSEWHERE_MS = 30000,
  ELSEWHERE_SPREAD_MS = 30000
};

/* What is known of a host.  */
struct host
{
  bb_ms tried_ms;
  bb_ms elsewhere_until_ms; /* it counts as of another group */
  bool tried;
};

void
bb_follow_init (struct bb_follow *f, const char *self)
{
  memset (f, 0, sizeof *f);
  f->self = g_strdup (self);
  f->group = g_strdup ("");
  f->seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
bb_follow_free (struct bb_follow *f)
{
  g_hash_table_unref (f->seen);
  g_free (f->self);
  g_free (f->group);
  g_free (f->leader);
  g_free (f->dialled);
}

static struct host *
host_of (struct bb_follow *f, const char *name)
{
  struct host *h = g_hash_table_lookup (f->seen, name);

  if (h)
    return h;
  h = g_new0 (struct host, 1);
  g_hash_table_insert (f->seen, g_strdup (name), h);
  return h;
}

bool
bb_follow_set_group (struct bb_follow *f, const char *group)
{
  if (strcmp (f->group, group) == 0)
    return false;
  g_free (f->group);
  f->group = g_strdup (group);
  f->leads = false;
  g_hash_table_remove_all (f->seen);
  return true;
}

void
bb_follow_set_elsewhere (struct bb_follow *f, const char *host, bb_ms now)
{
  struct host *h = host_of (f, host);

  h->elsewhere_until_ms = now + ELSEWHERE_MS
                          + (bb_ms)((g_str_hash (f->self) ^ g_str_hash (host))
                                    % ELSEWHERE_SPREAD_MS);
}

bool
bb_follow_is_elsewhere (const struct bb_follow *f, const char *host, bb_ms now)
{
  const struct host *h = g_hash_table_lookup (f->seen, host);

  return h && now < h->elsewhere_until_ms;
}

static bool
was_tried_lately (const struct bb_follow *f, const char *host, bb_ms now)
{
  const struct host *h = g_hash_table_lookup (f->seen, host);

  return h && h->tried && now - h->tried_ms < RETRY_MS;
}

static enum bb_follow_act
dial (struct bb_follow *f, const char *host, bb_ms now)
{
  struct host *h = host_of (f, host);

  h->tried = true;
  h->tried_ms = now;
  f->dialled = g_strdup (host);
  f->dialled_ms = now;
  return BB_FOLLOW_DIAL;
}

/* Tries the hosts that come before the present leader, or before this one.
   Where none of them answers, this one leads.  A leader that is not among the
   hosts any more is left.  */
static enum bb_follow_act
look (struct bb_follow *f, const char *const *hosts, uint32_t count, bb_ms now)
{
  for (uint32_t i = 0; i < count && strcmp (hosts[i], f->self) <= 0; i++)
    {
      if (f->leader && strcmp (hosts[i], f->leader) == 0)
        return BB_FOLLOW_NONE;
      if (strcmp (hosts[i], f->self) == 0)
        {
          f->leads = !f->leader;
          return f->leader ? BB_FOLLOW_CLOSE_LEADER : BB_FOLLOW_NONE;
        }
      if (!bb_follow_is_elsewhere (f, hosts[i], now)
          && !was_tried_lately (f, hosts[i], now))
        return dial (f, hosts[i], now);
    }
  return BB_FOLLOW_NONE;
}

enum bb_follow_act
bb_follow_tick (struct bb_follow *f, const char *const *hosts, uint32_t count,
                bb_ms now)
{
  if (f->leader && now - f->heard_ms > SILENT_MS)
    return BB_FOLLOW_CLOSE_LEADER;
  if (f->dialled && now - f->dialled_ms > DIAL_MAX_MS)
    return BB_FOLLOW_CLOSE_DIALLED;
  if (f->dialled || *f->group == '\0')
    return BB_FOLLOW_NONE;
  return look (f, hosts, count, now);
}

static bool
is_host (const char *known, const char *host)
{
  return known && strcmp (known, host) == 0;
}

enum bb_follow_act
bb_follow_told (struct bb_follow *f, const char *host, const char *group,
                bb_ms now)
{
  bool unknown = *group == '\0';
  bool fits = strcmp (group, f->group) == 0;

  if (!unknown && !fits)
    bb_follow_set_elsewhere (f, host, now);
  if (is_host (f->leader, host))
    {
      f->heard_ms = now;
      return unknown || fits ? BB_FOLLOW_NONE : BB_FOLLOW_CLOSE_LEADER;
    }
  if (!is_host (f->dialled, host))
    return BB_FOLLOW_NONE;
  if (unknown || !fits)
    return BB_FOLLOW_CLOSE_DIALLED;
  g_free (f->leader);
  f->leader = f->dialled;
  f->dialled = NULL;
  f->heard_ms = now;
  f->leads = false;
  return BB_FOLLOW_ATTACH;
}

void
bb_follow_closed (struct bb_follow *f, const char *host)
{
  if (is_host (f->leader, host))
    {
      g_free (f->leader);
      f->leader = NULL;
    }
  if (is_host (f->dialled, host))
    {
      g_free (f->dialled);
      f->dialled = NULL;
    }
}

void
bb_follow_woke (struct bb_follow *f)
{
  f->leads = false;
  g_hash_table_remove_all (f->seen);
}
