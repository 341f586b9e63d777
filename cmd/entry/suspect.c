/* Requests that may crash upstreams, as reported by agents.  */

#include "entry.h"

#include "bilberry/peer.h"

#include <string.h>
#include <xxhash.h>

uint64_t
suspect_fingerprint (const char *customer,
                     const struct bb_route_settings *route,
                     const struct bb_http_request *r)
{
  uint64_t h = XXH64 (customer, strlen (customer), 0);
  struct bb_bytes key;

  h = XXH64 (r->path.ptr, r->path.size, h);
  if (r->body.size > 0)
    h = XXH64 (r->body.ptr, r->body.size, h);
  if (route->idempotent)
    return h;
  key = bb_header_find (r->headers, r->headers_count, "idempotency-key");
  return key.size > 0 ? XXH64 (key.ptr, key.size, h) : h ^ bb_random_id ();
}

bool
suspect_is_quarantined (struct entry *e, uint64_t fingerprint,
                        struct bb_request_result *v)
{
  if (bb_poison_state (e->poison, fingerprint, entry_now ())
      != BB_POISON_QUARANTINED)
    return false;
  v->run = BB_RUN_NOT_RUN;
  v->reason = BB_REASON_QUARANTINED;
  v->retry_after_ms = (uint32_t)bb_poison_remaining_ms (e->poison, fingerprint,
                                                        entry_now ());
  return true;
}

bool
suspect_is_suspect (struct entry *e, uint64_t fingerprint)
{
  return bb_poison_state (e->poison, fingerprint, entry_now ())
         != BB_POISON_CLEAN;
}

void
suspect_receive (struct link *l, const struct bb_suspect *m)
{
  struct entry *e = l->entry;

  if (!bb_poison_receive (e->poison, m, entry_now ()))
    return;
  for (struct link *other = e->links; other; other = other->next)
    if (other != l && other->ready)
      bb_put_suspect (bb_conn_out (other->conn), m);
}

void
suspect_answered (struct entry *e, uint64_t fingerprint)
{
  struct bb_crash answer = { .fingerprint = fingerprint };

  if (!bb_poison_clear (e->poison, fingerprint, entry_now ()))
    return;
  for (struct link *l = e->links; l; l = l->next)
    if (l->ready)
      bb_put_crash (bb_conn_out (l->conn), &answer);
}

void
suspect_send_all (struct link *l)
{
  bb_put_crashes (bb_conn_out (l->conn), l->entry->poison, entry_now ());
}
