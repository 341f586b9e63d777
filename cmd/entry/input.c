/* Checks a client's request: authentication, size limits, route.  */

#include "entry.h"

#include <openssl/sha.h>
#include <string.h>
#include <strings.h>

/* Writes the SHA-256 of KEY to HEX as a lower-case hexadecimal string.  */
static void
hex_sha256 (struct bb_bytes key, char *hex)
{
  static const char digits[] = "0123456789abcdef";
  unsigned char sum[SHA256_DIGEST_LENGTH];

  SHA256 ((const unsigned char *)key.ptr, key.size, sum);
  for (uint32_t i = 0; i < sizeof sum; i++)
    {
      hex[2 * (size_t)i] = digits[sum[i] >> 4];
      hex[2 * (size_t)i + 1] = digits[sum[i] & 15];
    }
  hex[2 * sizeof sum] = '\0';
}

/* Whether the head of R fits in a message to an agent.  */
static bool
head_fits (const struct bb_http_request *r)
{
  if (r->headers_overflow || r->path.size > BB_CALL_PATH_MAX_BYTES
      || r->method.size > BB_CALL_METHOD_MAX_BYTES)
    return false;
  for (uint32_t i = 0; i < r->headers_count; i++)
    if (r->headers[i].name.size > BB_HEADER_NAME_MAX_BYTES
        || r->headers[i].value.size > BB_HEADER_VALUE_MAX_BYTES)
      return false;
  return true;
}

/* Whether the body of a completion request is a JSON object with messages or
   a prompt.  */
static bool
has_prompt (struct bb_bytes body)
{
  json_t *json = json_loadb (body.ptr, body.size, 0, NULL);
  bool found = json_is_array (json_object_get (json, "messages"))
               || json_is_string (json_object_get (json, "prompt"))
               || json_is_array (json_object_get (json, "prompt"));

  json_decref (json);
  return found;
}

static bool
is_completion_request (const struct bb_http_request *r)
{
  return bb_bytes_equal (r->method, "POST")
         && (bb_bytes_equal (r->path, "/v1/chat/completions")
             || bb_bytes_equal (r->path, "/v1/completions"));
}

static bool
check_head (const struct bb_http_request *r, struct bb_request_result *v)
{
  struct bb_bytes key
      = bb_header_find (r->headers, r->headers_count, "idempotency-key");

  v->reason = BB_REASON_HEAD_TOO_LARGE;
  if (!head_fits (r))
    return false;
  v->reason = BB_REASON_BAD_REQUEST;
  return key.size <= BB_CALL_KEY_MAX_BYTES;
}

const struct bb_customer_settings *
input_authenticate (const struct bb_settings *s,
                    const struct bb_http_request *r,
                    struct bb_request_result *v)
{
  static const char scheme[] = "Bearer ";
  const struct bb_customer_settings *c;
  char hex[2 * SHA256_DIGEST_LENGTH + 1];
  struct bb_bytes key
      = bb_header_find (r->headers, r->headers_count, "authorization");

  if (!check_head (r, v))
    return NULL;
  v->reason = BB_REASON_NO_KEY;
  if (key.size < sizeof scheme
      || strncasecmp (key.ptr, scheme, sizeof scheme - 1) != 0)
    return NULL;
  key.ptr += sizeof scheme - 1;
  key.size -= sizeof scheme - 1;
  hex_sha256 (key, hex);
  c = bb_settings_customer_by_key (s, hex);
  v->reason = BB_REASON_UNKNOWN_KEY;
  return c;
}

const struct bb_route_settings *
input_find_route (const struct bb_settings *s, const struct bb_http_request *r,
                  struct bb_request_result *v)
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
  if (route && is_completion_request (r) && !has_prompt (r->body))
    {
      v->reason = BB_REASON_BAD_REQUEST;
      return NULL;
    }
  return route;
}
