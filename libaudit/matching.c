/* Checks which routes can match a request; see bb_config_find_route.  */

#include "internal.h"

#include <stdio.h>
#include <string.h>

const char *
route_place (const struct bb_route *r, char buffer[BB_FINDING_PLACE_BYTES])
{
  snprintf (buffer, BB_FINDING_PLACE_BYTES, "%s%s", *r->name ? "" : r->host,
            *r->name ? r->name : r->prefix);
  return buffer;
}

char *
route_match_key (const struct bb_route *r)
{
  char *host = g_ascii_strdown (r->host, -1);
  char *key = g_strconcat (host, "\n", r->prefix, NULL);

  g_free (host);
  return key;
}

/* Whether a request's host can be that of R.  The port of a request's host is
   not compared; an IPv6 address stands in brackets.  */
static bool
host_can_match (const struct bb_route *r)
{
  const char *end = *r->host == '[' ? strchr (r->host, ']') : r->host;

  return end && !strchr (end, ':');
}

/* Whether the path of a request can begin with the prefix of R.  */
static bool
prefix_can_match (const struct bb_route *r)
{
  return *r->prefix == '/' && !strchr (r->prefix, '?');
}

GHashTable *
matching_routes (const struct bb_config *c)
{
  GHashTable *routes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < c->routes->len; i++)
    {
      struct bb_route *r = g_ptr_array_index (c->routes, i);
      char *key = route_match_key (r);
      if (host_can_match (r) && prefix_can_match (r)
          && !g_hash_table_contains (routes, key))
        g_hash_table_insert (routes, key, r);
      else
        g_free (key);
    }
  return routes;
}

static void
check_host (struct bb_findings *out, const struct bb_route *r)
{
  if (*r->host == '\0')
    ADD_ROUTE_FINDING (out, BB_FINDING_UNMATCHABLE_HOST, r, "has no host");
  else if (!host_can_match (r))
    ADD_ROUTE_FINDING (out, BB_FINDING_UNMATCHABLE_HOST, r,
                       "never matches: host '%s' has a port, or an IPv6 "
                       "address without brackets; requests are compared "
                       "without their port",
                       r->host);
}

static void
check_prefix (struct bb_findings *out, const struct bb_route *r)
{
  if (!prefix_can_match (r))
    ADD_ROUTE_FINDING (out, BB_FINDING_UNMATCHABLE_PREFIX, r,
                       "never matches: prefix '%s' %s", r->prefix,
                       *r->prefix == '/' ? "has a query"
                                         : "does not begin with a slash");
  else if (!g_str_has_suffix (r->prefix, "/"))
    ADD_ROUTE_FINDING (out, BB_FINDING_OPEN_PREFIX, r,
                       "prefix '%s' does not end with a slash: it matches "
                       "all paths that begin so",
                       r->prefix);
}

/* Checks whether R has the host and prefix of a route before it.  SEEN has the
   routes before it by route_match_key.  */
static void
check_shadow (struct bb_findings *out, GHashTable *seen, struct bb_route *r)
{
  char *key = route_match_key (r);
  const struct bb_route *first = g_hash_table_lookup (seen, key);
  char place[BB_FINDING_PLACE_BYTES];

  if (!first)
    {
      g_hash_table_insert (seen, key, r);
      return;
    }
  ADD_ROUTE_FINDING (out, BB_FINDING_SHADOWED_ROUTE, r,
                     "never matches: route %s before it has the same host and "
                     "prefix, %s%s",
                     route_place (first, place), r->host, r->prefix);
  g_free (key);
}

/* Checks whether a route before R has its host in another case.  SEEN has the
   first route of each host by the host in lower case.  */
static void
check_host_case (struct bb_findings *out, GHashTable *seen, struct bb_route *r)
{
  char *host = g_ascii_strdown (r->host, -1);
  const struct bb_route *first = g_hash_table_lookup (seen, host);
  char place[BB_FINDING_PLACE_BYTES];

  if (!first)
    {
      g_hash_table_insert (seen, host, r);
      return;
    }
  if (strcmp (first->host, r->host) != 0)
    ADD_ROUTE_FINDING (out, BB_FINDING_HOST_CASE, r,
                       "host '%s' differs only by case from '%s' of route %s: "
                       "it is the same host",
                       r->host, first->host, route_place (first, place));
  g_free (host);
}

static void
check_name (struct bb_findings *out, GHashTable *seen, struct bb_route *r)
{
  if (*r->name == '\0')
    ADD_ROUTE_FINDING (out, BB_FINDING_NO_ROUTE_NAME, r, "has no name");
  else if (!g_hash_table_add (seen, r->name))
    ADD_ROUTE_FINDING (out, BB_FINDING_DUPLICATE_ROUTE_NAME, r,
                       "another route has the same name");
}

void
check_matching (struct audit *a)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTable *hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTable *keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  if (a->config->routes->len == 0)
    bb_findings_add (a->out, BB_FINDING_NO_ROUTES, BB_PLACE_FILE, NULL,
                     "has no routes: all requests are refused");
  for (guint i = 0; i < a->config->routes->len; i++)
    {
      struct bb_route *r = g_ptr_array_index (a->config->routes, i);
      check_name (a->out, names, r);
      check_host (a->out, r);
      check_host_case (a->out, hosts, r);
      check_prefix (a->out, r);
      check_shadow (a->out, keys, r);
    }
  g_hash_table_unref (names);
  g_hash_table_unref (hosts);
  g_hash_table_unref (keys);
}
