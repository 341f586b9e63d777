/* What a caller sent: who it is and what it asks for.  */

#include "entry.h"

#include <openssl/sha.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

static void
hex_sha256 (struct bb_bytes key, char hex[65])
{
  unsigned char sum[SHA256_DIGEST_LENGTH];

  SHA256 ((const unsigned char *)key.ptr, key.size, sum);
  for (uint32_t i = 0; i < sizeof sum; i++)
    snprintf (hex + 2 * (size_t)i, 3, "%02x", sum[i]);
}

const struct bb_customer_settings *
input_customer (const struct bb_settings *s, const struct bb_http_request *r,
                struct bb_verdict *v)
{
  static const char scheme[] = "Bearer ";
  const struct bb_customer_settings *c;
  char hex[65];
  struct bb_bytes key
      = bb_header_find (r->headers, r->headers_count, "authorization");

  v->reason = BB_REASON_NO_KEY;
  if (key.size < sizeof scheme
      || strncasecmp (key.ptr, scheme, sizeof scheme - 1) != 0)
    return NULL;
  key.ptr += sizeof scheme - 1;
  key.size -= sizeof scheme - 1;
  hex_sha256 (key, hex);
  c = bb_settings_customer (s, hex);
  v->reason = BB_REASON_UNKNOWN_KEY;
  return c;
}

const struct bb_route_settings *
input_route (const struct bb_settings *s, const struct bb_http_request *r,
             struct bb_verdict *v)
{
  const char *query = memchr (r->path.ptr, '?', r->path.size);
  size_t size = query ? (size_t)(query - r->path.ptr) : r->path.size;
  bool path_known;
  const struct bb_route_settings *route = bb_settings_route (
      s, r->method.ptr, r->method.size, r->path.ptr, size, &path_known);

  v->reason = path_known ? BB_REASON_BAD_METHOD : BB_REASON_NO_ROUTE;
  if (route && r->body.size > route->body_max_bytes)
    {
      v->reason = BB_REASON_BODY_TOO_LARGE;
      return NULL;
    }
  return route;
}
