/* Pools, and the subset of their agents that this entry connects to.  */

#include "entry.h"

#include <stdlib.h>
#include <string.h>

enum
{
  SUBSET_MAX = 16 /* number of agents of one pool to connect to */
};

struct pool *
pool_find (struct entry *e, const char *name)
{
  struct pool *p;

  HASH_FIND_STR (e->pools, name, p);
  if (p)
    return p;
  p = calloc (1, sizeof *p);
  p->name = strdup (name);
  HASH_ADD_KEYPTR (hh, e->pools, p->name, strlen (p->name), p);
  return p;
}

/* Whether a route sends non-idempotent requests to the pool.  The candidates
   of a key may be any agents of the pool, so each entry then connects to all
   of them.  */
static bool
has_non_idempotent_route (const struct bb_settings *s, const char *pool)
{
  for (uint32_t i = 0; i < s->routes_count; i++)
    if (!s->routes[i].idempotent && strcmp (s->routes[i].pool, pool) == 0)
      return true;
  return false;
}

/* Adds the link to U if there is none, and applies its settings.  */
static void
ensure_link (struct entry *e, const struct bb_upstream_settings *u)
{
  struct link *l = link_find (e, u);

  if (!l)
    l = link_add (e, u);
  l->removed = false;
  link_configure (l, u);
}

/* Chooses the subset of one pool and ensures that its links exist.  */
static void
update_pool (struct entry *e, const struct pool *p)
{
  const struct bb_settings *s = e->daemon->settings;
  struct bb_subset_item *items
      = calloc (s->upstreams_count + 1, sizeof *items);
  const struct bb_upstream_settings **upstreams
      = calloc (s->upstreams_count + 1, sizeof (void *));
  uint32_t n = 0;

  for (uint32_t i = 0; i < s->upstreams_count; i++)
    if (strcmp (s->upstreams[i].pool, p->name) == 0)
      {
        upstreams[n] = &s->upstreams[i];
        items[n].name = upstreams[n]->name;
        items[n].failure_domain = upstreams[n]->failure_domain;
        n++;
      }
  bb_subset_choose (items, n,
                    has_non_idempotent_route (s, p->name) ? n : SUBSET_MAX,
                    e->daemon->name);
  for (uint32_t i = 0; i < n; i++)
    if (items[i].chosen)
      ensure_link (e, upstreams[i]);
  free (items);
  free (upstreams);
}

/* Rebuilds the link array and the health counts of each pool.  */
static void
rebuild_pools (struct entry *e)
{
  uint32_t total = 0;

  for (struct link *l = e->links; l; l = l->next)
    total++;
  for (struct pool *p = e->pools; p; p = p->hh.next)
    {
      p->links = realloc (p->links, (total + 1) * sizeof (struct link *));
      p->links_count = 0;
      p->health.ejected = 0;
    }
  for (struct link *l = e->links; l; l = l->next)
    {
      struct pool *p = l->pool;
      if (l->removed)
        continue;
      p->links[p->links_count++] = l;
      p->health.ejected += l->health.state != BB_HEALTH_ACTIVE ? 1 : 0;
    }
  for (struct pool *p = e->pools; p; p = p->hh.next)
    p->health.count = p->links_count;
}

void
links_update (struct entry *e)
{
  const struct bb_settings *s = e->daemon->settings;

  for (struct link *l = e->links; l; l = l->next)
    l->removed = true;
  for (uint32_t i = 0; i < s->upstreams_count; i++)
    pool_find (e, s->upstreams[i].pool);
  for (struct pool *p = e->pools; p; p = p->hh.next)
    update_pool (e, p);
  rebuild_pools (e);
  links_close_removed (e);
}
