/* How the leader reaches the ranks of its group.  */

#include "leader.h"

#include <string.h>
#include <utlist.h>

struct follower_conn *
leader_find_follower (const struct leader *l, uint32_t rank)
{
  struct follower_conn *f;

  DL_FOREACH (l->followers, f)
  if (f->in_group && f->rank == rank)
    return f;
  return NULL;
}

bool
leader_has_agent (const struct leader *l, const char *host)
{
  const struct follower_conn *f;

  if (strcmp (host, l->agent->host) == 0)
    return true;
  DL_FOREACH (l->followers, f)
  if (g_strcmp0 (f->host, host) == 0)
    return true;
  return false;
}

char *
leader_find_address (const struct leader *l, uint32_t rank)
{
  const char *own = l->agent->settings->upstream_address;
  const struct follower_conn *f = leader_find_follower (l, rank);
  const char *colon = strrchr (own, ':');

  if (rank == l->map_switch.self_rank)
    return g_strdup (own);
  if (f && f->host && colon)
    return g_strconcat (f->host, colon, NULL);
  return g_strdup (
      g_hash_table_lookup (l->remote_addresses, GUINT_TO_POINTER (rank)));
}
