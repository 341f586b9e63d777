/* Requests that crash the upstreams that run them.  */

#include "edge.h"

#include <string.h>
#include <xxhash.h>

/* Hashes the size too, so that the end of one part is not the start of the
   next.  */
static uint64_t
hash_bytes (uint64_t seed, struct bb_bytes b)
{
  seed = XXH64 (&b.size, sizeof b.size, seed);
  return b.size > 0 ? XXH64 (b.ptr, b.size, seed) : seed;
}

void
suspect_print (uint64_t fingerprint, char text[FINGERPRINT_TEXT_SIZE])
{
  g_snprintf (text, FINGERPRINT_TEXT_SIZE, "%016" G_GINT64_MODIFIER "x",
              fingerprint);
}

void
suspect_set_fingerprint (struct request *r)
{
  const struct bb_h1_message *m = &r->exchange->request;
  uint64_t h = hash_bytes (0, bb_bytes_of (r->customer ? r->customer : ""));

  h = hash_bytes (h, r->info.host);
  h = hash_bytes (h, m->method);
  h = hash_bytes (h, m->target);
  h = hash_bytes (h, m->body);
  r->fingerprint = h ? h : 1;
  suspect_print (r->fingerprint, r->fingerprint_text);
}
