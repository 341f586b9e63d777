/* Finds the route of a request by its host and path, in a time that does not
   grow with the number of routes.  */

#include "index.h"

#include <string.h>
#include <strings.h>
#include <xxhash.h>

enum
{
  HOST_HASHED_BYTES = 256 /* longer names differ in the comparison alone */
};

struct route_key
{
  struct bb_bytes host; /* in any case */
  uint64_t host_hash;
  struct bb_bytes prefix;
};

struct bb_route_index
{
  GHashTable *routes;   /* struct bb_route by struct route_key: all whose
                           prefixes end with a slash, as they should */
  uint32_t slashes_max; /* in any of these prefixes */
  GPtrArray *others;    /* struct bb_route */
};

/* Returns a hash of HOST that does not depend on its case.  */
static uint64_t
hash_host (struct bb_bytes host)
{
  char lower[HOST_HASHED_BYTES];
  uint32_t n = MIN (host.size, HOST_HASHED_BYTES);

  for (uint32_t i = 0; i < n; i++)
    lower[i] = g_ascii_tolower (host.ptr[i]);
  return XXH64 (lower, n, 0);
}

static guint
hash_key (const void *p)
{
  const struct route_key *k = p;

  return (guint)XXH64 (k->prefix.ptr, k->prefix.size, k->host_hash);
}

static bool
hosts_equal (struct bb_bytes a, struct bb_bytes b)
{
  return a.size == b.size && strncasecmp (a.ptr, b.ptr, a.size) == 0;
}

static bool
has_prefix (struct bb_bytes target, struct bb_bytes prefix)
{
  return prefix.size <= target.size
         && memcmp (target.ptr, prefix.ptr, prefix.size) == 0;
}

static gboolean
keys_equal (const void *a, const void *b)
{
  const struct route_key *x = a;
  const struct route_key *y = b;

  return hosts_equal (x->host, y->host) && x->prefix.size == y->prefix.size
         && has_prefix (x->prefix, y->prefix);
}

static uint32_t
count_slashes (struct bb_bytes text)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < text.size; i++)
    n += text.ptr[i] == '/';
  return n;
}

struct bb_route_index *
route_index_new (void)
{
  struct bb_route_index *index = g_new0 (struct bb_route_index, 1);

  index->routes = g_hash_table_new_full (hash_key, keys_equal, g_free, NULL);
  index->others = g_ptr_array_new ();
  return index;
}

void
route_index_free (struct bb_route_index *index)
{
  g_hash_table_unref (index->routes);
  g_ptr_array_unref (index->others);
  g_free (index);
}

/* Of routes with the same host and prefix the first one counts.  */
void
route_index_add (struct bb_route_index *index, struct bb_route *r)
{
  struct route_key k
      = { .host = bb_bytes_of (r->host), .prefix = bb_bytes_of (r->prefix) };
  uint32_t slashes = count_slashes (k.prefix);

  if (!g_str_has_suffix (r->prefix, "/"))
    {
      g_ptr_array_add (index->others, r);
      return;
    }
  k.host_hash = hash_host (k.host);
  if (!g_hash_table_contains (index->routes, &k))
    g_hash_table_insert (index->routes, g_memdup2 (&k, sizeof k), r);
  if (slashes > index->slashes_max)
    index->slashes_max = slashes;
}

/* Returns the part of TEXT before the first C, or all of TEXT.  */
static struct bb_bytes
truncate_at (struct bb_bytes text, char c)
{
  const char *found = text.size > 0 ? memchr (text.ptr, c, text.size) : NULL;

  if (found)
    text.size = (uint32_t)(found - text.ptr);
  return text;
}

/* Returns HOST, the value of a Host header, without its port.  An IPv6 address
   stands in brackets.  Returns all of HOST where its brackets are malformed,
   so that it matches no route.  */
static struct bb_bytes
strip_port (struct bb_bytes host)
{
  struct bb_bytes address = host;
  uint32_t size = truncate_at (host, ']').size + 1;

  if (host.size == 0 || host.ptr[0] != '[')
    return truncate_at (host, ':');
  address.size = size;
  return size < host.size && host.ptr[size] == ':' ? address : host;
}

/* Returns the route of K's host with the longest of the prefixes of TARGET
   that end with a slash, or NULL.  */
static const struct bb_route *
find_indexed (const struct bb_route_index *index, struct route_key *k,
              struct bb_bytes target)
{
  const struct bb_route *found = NULL;
  uint32_t slashes = 0;

  for (uint32_t i = 0; i < target.size && slashes < index->slashes_max; i++)
    if (target.ptr[i] == '/')
      {
        const struct bb_route *r;
        slashes++;
        k->prefix = (struct bb_bytes){ target.ptr, i + 1 };
        r = g_hash_table_lookup (index->routes, k);
        if (r)
          found = r;
      }
  return found;
}

const struct bb_route *
bb_config_find_route (const struct bb_config *c, struct bb_bytes host,
                      struct bb_bytes target)
{
  struct route_key k = { .host = strip_port (host) };
  const struct bb_route *found;

  k.host_hash = hash_host (k.host);
  target = truncate_at (target, '?');
  found = find_indexed (c->index, &k, target);
  for (guint i = 0; i < c->index->others->len; i++)
    {
      const struct bb_route *r = g_ptr_array_index (c->index->others, i);
      if (hosts_equal (k.host, bb_bytes_of (r->host))
          && has_prefix (target, bb_bytes_of (r->prefix))
          && (!found || strlen (r->prefix) > strlen (found->prefix)))
        found = r;
    }
  return found;
}
