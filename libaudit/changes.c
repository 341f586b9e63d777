/* Compares routes with those in force.  Routes are the same if they have the
   same host and prefix, by which requests find them.  */

#include "internal.h"

#include <string.h>

enum
{
  /* A longer prefix is not looked up among the other routes: the time grows
     with the square of its slashes.  */
  LOOKUP_PREFIX_BYTES = 4096,
  SHARES_BYTES = 256
};

void
add_number_changes (struct bb_findings *out, enum bb_finding_kind kind,
                    enum bb_place_kind place_kind, const char *place,
                    const struct number_change *numbers, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (numbers[i].before != numbers[i].after)
      bb_findings_add (out, kind, place_kind, place, "%s %.15g, was %.15g",
                       numbers[i].name, numbers[i].after, numbers[i].before);
}

/* Returns the share of the requests of R that pool NAME gets, from 0 to 1.  */
static double
pool_share (const struct bb_route *r, const char *name)
{
  double total = 0;
  double weight = 0;

  for (uint32_t i = 0; i < r->split_count; i++)
    {
      total += r->split[i].weight;
      if (strcmp (r->split[i].pool, name) == 0)
        weight += r->split[i].weight;
    }
  if (total > 0)
    return weight / total;
  /* See bb_route_pick_pool.  */
  return strcmp (bb_route_pick_pool (r, 0), name) == 0;
}

/* Whether each pool of R gets the same share in OTHER.  */
static bool
shares_are_in (const struct bb_route *r, const struct bb_route *other)
{
  for (uint32_t i = 0; i < r->split_count; i++)
    if (pool_share (r, r->split[i].pool)
        != pool_share (other, r->split[i].pool))
      return false;
  return true;
}

/* Whether an earlier part of the split of R names the pool of part I.  */
static bool
is_repeated (const struct bb_route *r, uint32_t i)
{
  for (uint32_t k = 0; k < i; k++)
    if (strcmp (r->split[k].pool, r->split[i].pool) == 0)
      return true;
  return false;
}

/* Writes the pools of R that get requests to OUT, with their shares if there
   are several, and returns it.  */
static const char *
format_pools (const struct bb_route *r, char out[SHARES_BYTES])
{
  size_t used = 0;

  g_strlcpy (out, "none", SHARES_BYTES);
  for (uint32_t i = 0; i < r->split_count; i++)
    {
      double share = pool_share (r, r->split[i].pool);
      const char *comma = used > 0 ? ", " : "";
      if (share == 0 || is_repeated (r, i) || used >= SHARES_BYTES)
        continue;
      if (share == 1)
        used += (size_t)g_snprintf (out + used, SHARES_BYTES - used, "%s%s",
                                    comma, r->split[i].pool);
      else
        used += (size_t)g_snprintf (out + used, SHARES_BYTES - used,
                                    "%s%s %.4g %%", comma, r->split[i].pool,
                                    share * 100);
    }
  return out;
}

/* Returns the other route of C that the requests for the prefix of R go to,
   or NULL.  */
static const struct bb_route *
find_other (const struct bb_config *c, const struct bb_route *r)
{
  struct bb_bytes prefix = bb_bytes_of (r->prefix);

  if (prefix.size > LOOKUP_PREFIX_BYTES)
    return NULL;
  return bb_config_find_route (c, bb_bytes_of (r->host), prefix);
}

static void
add_route_added (struct audit *a, const struct bb_route *r)
{
  const struct bb_route *other;
  char pools[SHARES_BYTES];
  char place[BB_FINDING_PLACE_BYTES];

  if (!bb_findings_has_room (a->out, BB_FINDING_ROUTE_ADDED))
    other = NULL;
  else
    other = find_other (a->options->in_force, r);
  ADD_ROUTE_FINDING (a->out, BB_FINDING_ROUTE_ADDED, r,
                     "added: %s%s to %s%s%s", r->host, r->prefix,
                     format_pools (r, pools),
                     other ? "; takes requests from route " : "",
                     other ? route_place (other, place) : "");
}

static void
add_route_removed (struct audit *a, const struct bb_route *r)
{
  const struct bb_route *other;
  char place[BB_FINDING_PLACE_BYTES];

  if (!bb_findings_has_room (a->out, BB_FINDING_ROUTE_REMOVED))
    other = NULL;
  else
    other = find_other (a->config, r);
  ADD_ROUTE_FINDING (a->out, BB_FINDING_ROUTE_REMOVED, r,
                     "removed: %s%s; its requests %s%s", r->host, r->prefix,
                     other ? "go to route " : "match no route",
                     other ? route_place (other, place) : "");
}

static void
compare_pools_of (struct bb_findings *out, const struct bb_route *before,
                  const struct bb_route *r)
{
  char old_pools[SHARES_BYTES];
  char pools[SHARES_BYTES];

  if (!shares_are_in (r, before) || !shares_are_in (before, r))
    ADD_ROUTE_FINDING (out, BB_FINDING_ROUTE_POOLS, r, "moved to %s, was %s",
                       format_pools (r, pools),
                       format_pools (before, old_pools));
}

static void
compare_kind (struct bb_findings *out, const struct bb_route *before,
              const struct bb_route *r)
{
  static const char *const names[]
      = { "idempotent", "at most once", "stream" };

  if (r->kind != before->kind)
    ADD_ROUTE_FINDING (out, BB_FINDING_ROUTE_KIND, r, "kind %s, was %s",
                       names[r->kind], names[before->kind]);
  if (r->is_public != before->is_public)
    ADD_ROUTE_FINDING (out, BB_FINDING_ROUTE_KIND, r, "%s",
                       r->is_public ? "public: needs no key any more"
                                    : "needs a key, was public");
  if (r->resumable != before->resumable)
    ADD_ROUTE_FINDING (out, BB_FINDING_ROUTE_KIND, r, "%s",
                       r->resumable ? "resumable, was not"
                                    : "not resumable any more");
}

static void
compare_route (struct bb_findings *out, const struct bb_route *before,
               const struct bb_route *r)
{
  struct number_change numbers[]
      = { { "timeout-ms", (double)before->timeout_ms, (double)r->timeout_ms },
          { "slo-ms", (double)before->slo_ms, (double)r->slo_ms },
          { "itl-target-ms", (double)before->itl_target_ms,
            (double)r->itl_target_ms },
          { "max-attempts", before->attempts_max, r->attempts_max },
          { "priority", before->priority, r->priority } };
  char place[BB_FINDING_PLACE_BYTES];

  if (strcmp (before->name, r->name) != 0)
    ADD_ROUTE_FINDING (out, BB_FINDING_ROUTE_RENAMED, r, "renamed, was %s",
                       before->name);
  compare_pools_of (out, before, r);
  compare_kind (out, before, r);
  add_number_changes (out, BB_FINDING_ROUTE_VALUE, BB_PLACE_ROUTE,
                      route_place (r, place), numbers, G_N_ELEMENTS (numbers));
}

/* Calls FN for each route of C that is in MATCHING, the routes of C that can
   match, and not in OTHERS; in the order of C.  */
static void
visit_unpaired (struct audit *a, const struct bb_config *c,
                GHashTable *matching, GHashTable *others,
                void (*fn) (struct audit *a, const struct bb_route *r))
{
  for (guint i = 0; i < c->routes->len; i++)
    {
      struct bb_route *r = g_ptr_array_index (c->routes, i);
      char *key = route_match_key (r);
      if (g_hash_table_lookup (matching, key) == r
          && !g_hash_table_contains (others, key))
        fn (a, r);
      g_free (key);
    }
}

void
compare_routes (struct audit *a)
{
  const struct bb_config *c = a->config;
  GHashTable *before = matching_routes (a->options->in_force);
  GHashTable *after = matching_routes (c);

  visit_unpaired (a, a->options->in_force, before, after, add_route_removed);
  visit_unpaired (a, c, after, before, add_route_added);
  for (guint i = 0; i < c->routes->len; i++)
    {
      struct bb_route *r = g_ptr_array_index (c->routes, i);
      char *key = route_match_key (r);
      const struct bb_route *old = g_hash_table_lookup (before, key);
      if (old && g_hash_table_lookup (after, key) == r)
        compare_route (a->out, old, r);
      g_free (key);
    }
  g_hash_table_unref (before);
  g_hash_table_unref (after);
}
