/* Look-ups in settings, and the parser of addresses.  */

#include "table.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const struct bb_failure_domain_settings *
bb_settings_failure_domain (const struct bb_settings *s, const char *name)
{
  return g_hash_table_lookup (s->index->failure_domains, name);
}

const struct bb_upstream_settings *
bb_settings_upstream (const struct bb_settings *s, const char *name)
{
  return g_hash_table_lookup (s->index->upstreams, name);
}

const struct bb_entry_settings *
bb_settings_entry (const struct bb_settings *s, const char *name)
{
  return g_hash_table_lookup (s->index->entries, name);
}

bool
bb_settings_upstream_enabled (const struct bb_settings *s,
                              const struct bb_upstream_settings *u)
{
  const struct bb_failure_domain_settings *d
      = bb_settings_failure_domain (s, u->failure_domain);

  return u->state == BB_UPSTREAM_STATE_IN && d
         && d->state == BB_FAILURE_DOMAIN_STATE_IN;
}

const struct bb_customer_settings *
bb_settings_customer_by_name (const struct bb_settings *s, const char *name)
{
  return g_hash_table_lookup (s->index->customers, name);
}

const struct bb_customer_settings *
bb_settings_customer_by_key (const struct bb_settings *s, const char *key_hex)
{
  return g_hash_table_lookup (s->index->customers_by_key, key_hex);
}

/* Returns whether PATTERN matches the SIZE bytes at PATH.  PATTERN is a path;
   one that ends in an asterisk matches by prefix.  */
static bool
path_matches (const char *pattern, const char *path, size_t size)
{
  size_t n = strlen (pattern);

  if (n > 0 && pattern[n - 1] == '*')
    return size >= n - 1 && strncmp (pattern, path, n - 1) == 0;
  return size == n && strncmp (pattern, path, n) == 0;
}

const struct bb_route_settings *
bb_settings_route (const struct bb_settings *s, const char *method,
                   size_t method_size, const char *path, size_t path_size,
                   bool *path_known)
{
  const struct bb_route_settings *best = NULL;

  *path_known = false;
  for (uint32_t i = 0; i < s->routes_count; i++)
    {
      const struct bb_route_settings *r = &s->routes[i];
      if (!path_matches (r->path, path, path_size))
        continue;
      *path_known = true;
      if (strlen (r->method) != method_size
          || strncmp (r->method, method, method_size) != 0)
        continue;
      if (!best || strlen (r->path) > strlen (best->path))
        best = r;
    }
  return best;
}

/* Reads the number of digits at TEXT into *PORT.  Returns false where it is
   not a port that a server can listen on.  */
static bool
parse_port (const char *text, uint16_t *port)
{
  unsigned long n;
  char *end;

  /* strtoul alone would accept spaces and a sign.  */
  if (!isdigit ((unsigned char)*text))
    return false;
  n = strtoul (text, &end, 10);
  *port = (uint16_t)n;
  return *end == '\0' && n > 0 && n <= UINT16_MAX;
}

bool
bb_address_parse (const char *text, struct sockaddr_storage *out)
{
  char host[INET6_ADDRSTRLEN + 2];
  const char *colon = strrchr (text, ':');
  size_t size = colon ? (size_t)(colon - text) : 0;
  struct sockaddr_in *v4 = (struct sockaddr_in *)out;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;
  uint16_t port;

  if (!colon || size == 0 || size >= sizeof host
      || !parse_port (colon + 1, &port))
    return false;
  memset (out, 0, sizeof *out);
  memcpy (host, text, size);
  host[size] = '\0';
  if (host[0] == '[' && host[size - 1] == ']')
    {
      host[size - 1] = '\0';
      v6->sin6_family = AF_INET6;
      v6->sin6_port = htons (port);
      return inet_pton (AF_INET6, host + 1, &v6->sin6_addr) == 1;
    }
  v4->sin_family = AF_INET;
  v4->sin_port = htons (port);
  return inet_pton (AF_INET, host, &v4->sin_addr) == 1;
}
