/* Lookup and classification of HTTP headers, and the range of statuses.  */

#include "bilberry/net.h"

#include <string.h>
#include <strings.h>

enum
{
  STATUS_MIN = 100,
  STATUS_MAX = 599
};

bool
bb_http_status_is_valid (uint32_t status)
{
#ifdef BB_MUTANT_status_range
  return true;
#endif
  return status >= STATUS_MIN && status <= STATUS_MAX;
}

struct bb_bytes
bb_header_find (const struct bb_header *headers, uint32_t count,
                const char *name)
{
  struct bb_bytes none = { .ptr = NULL, .size = 0 };
  size_t size = strlen (name);

  for (uint32_t i = 0; i < count; i++)
    if (headers[i].name.size == size
        && strncasecmp (headers[i].name.ptr, name, size) == 0)
      return headers[i].value;
  return none;
}

bool
bb_headers_are_of_events (const struct bb_header *headers, uint32_t count)
{
  static const char type[] = "text/event-stream";
  struct bb_bytes v = bb_header_find (headers, count, "content-type");

  return v.size >= strlen (type)
         && strncasecmp (v.ptr, type, strlen (type)) == 0;
}

bool
bb_header_is_hop_by_hop (struct bb_bytes name)
{
  static const char *const names[] = { "connection",
                                       "keep-alive",
                                       "proxy-authenticate",
                                       "proxy-authorization",
                                       "te",
                                       "trailer",
                                       "transfer-encoding",
                                       "upgrade",
                                       "content-length",
                                       "host" };

  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    if (name.size == strlen (names[i])
        && strncasecmp (name.ptr, names[i], name.size) == 0)
      return true;
  return false;
}
