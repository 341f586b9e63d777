/* Requests that crash the upstreams that run them.  A request that was in
   flight at a crash is suspect and is isolated; one that is in flight at a
   further crash is quarantined, at all edges.  The same holds for parts of
   prompts, which many requests share, unless an answer has shown that they are
   sound.  */

#include "edge.h"

#include <jansson.h>

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

static void
print_fingerprint (uint64_t fingerprint, char text[FINGERPRINT_TEXT_SIZE])
{
  g_snprintf (text, FINGERPRINT_TEXT_SIZE, "%016" G_GINT64_MODIFIER "x",
              fingerprint);
}

/* A part is known by its pool too: what crashes one model may suit another. */
static void
set_parts (struct request *r)
{
  uint64_t pool = hash_bytes (0, bb_bytes_of (r->pool));
  char *at = r->parts_text;

  r->identity.parts_count = r->info.shared_parts_count;
  *at = '\0';
  for (uint32_t i = 0; i < r->identity.parts_count; i++)
    {
      r->identity.parts[i] = hash_bytes (pool, r->info.shared_parts[i]);
      if (at + FINGERPRINT_TEXT_SIZE > r->parts_text + PARTS_TEXT_SIZE)
        continue;
      print_fingerprint (r->identity.parts[i], at);
      at += FINGERPRINT_TEXT_SIZE;
      at[-1] = ' ';
    }
  if (at > r->parts_text)
    at[-1] = '\0';
}

void
suspect_set_fingerprints (struct request *r)
{
  const struct bb_h1_message *m = &r->exchange->request;
  uint64_t h = hash_bytes (0, bb_bytes_of (r->customer ? r->customer : ""));

  h = hash_bytes (h, r->info.host);
  h = hash_bytes (h, m->method);
  h = hash_bytes (h, m->target);
  h = hash_bytes (h, m->body);
  r->identity.fingerprint = h ? h : 1;
  print_fingerprint (r->identity.fingerprint, r->fingerprint_text);
  set_parts (r);
}

static enum bb_poison_state
state_of (const struct request *r)
{
  struct edge *e = r->edge;
  bb_ms now = edge_now (e);
  enum bb_poison_state whole
      = bb_poison_state (e->poison, r->identity.fingerprint, now);
  enum bb_poison_state part = bb_parts_state (e->parts, r->identity.parts,
                                              r->identity.parts_count, now);

  return part > whole ? part : whole;
}

bool
suspect_is_quarantined (const struct request *r)
{
#ifdef BB_MUTANT_edge_quarantine
  return false;
#endif
  return state_of (r) == BB_POISON_QUARANTINED;
}

bool
suspect_is_suspect (const struct request *r)
{
  return state_of (r) != BB_POISON_CLEAN;
}

bb_ms
suspect_remaining_ms (const struct request *r)
{
  struct edge *e = r->edge;
  bb_ms now = edge_now (e);
  bb_ms whole_ms
      = bb_poison_remaining_ms (e->poison, r->identity.fingerprint, now);
  bb_ms part_ms = bb_parts_remaining_ms (e->parts, r->identity.parts,
                                         r->identity.parts_count, now);

  return part_ms > whole_ms ? part_ms : whole_ms;
}

void
suspect_apply_change (struct edge *e, const struct bb_crash *c,
                      const char *source)
{
  static const char *const states[] = { "clean", "suspect", "quarantined" };
  enum bb_poison_state state
      = bb_poison_state (e->poison, c->fingerprint, edge_now (e));
  char text[FINGERPRINT_TEXT_SIZE];

  print_fingerprint (c->fingerprint, text);
  bb_log_event ("suspect", "{s:s, s:s, s:s, s:I, s:I, s:I}", "fingerprint",
                text, "state", states[state], "source", source, "crash",
                (json_int_t)c->event, "prior", (json_int_t)c->prior, "age_ms",
                (json_int_t)c->age_ms);
  if (state == BB_POISON_QUARANTINED)
    e->queue_ops->refuse_quarantined (e);
}

static void
log_part (struct edge *e, uint64_t part, const struct bb_part_crash *c,
          const char *source)
{
  static const char *const states[] = { "clean", "suspect", "quarantined" };
  char text[FINGERPRINT_TEXT_SIZE];
  char request[FINGERPRINT_TEXT_SIZE];

  print_fingerprint (part, text);
  print_fingerprint (c->request, request);
  bb_log_event ("suspect_part", "{s:s, s:s, s:s, s:I, s:s, s:b, s:i, s:I}",
                "part", text, "state",
                states[bb_parts_state (e->parts, &part, 1, edge_now (e))],
                "source", source, "crash", (json_int_t)c->event, "request",
                request, "isolated", c->isolated, "of_parts",
                (int)c->parts_count, "age_ms", (json_int_t)c->age_ms);
}

void
suspect_apply_part_crash (struct edge *e, const struct bb_part_crash *c,
                          const char *source)
{
  for (uint32_t i = 0; i < c->parts_count; i++)
    log_part (e, c->parts[i], c, source);
  e->queue_ops->refuse_quarantined (e);
}

void
suspect_apply_sound_part (struct edge *e, uint64_t part, const char *source)
{
  struct bb_part_crash none = { 0 };

  log_part (e, part, &none, source);
  /* Another part may be quarantined by elimination.  */
  e->queue_ops->refuse_quarantined (e);
}

static void
record_sound_parts (struct edge *e, const struct request_identity *id)
{
  for (uint32_t i = 0; i < id->parts_count; i++)
    if (bb_parts_record_sound (e->parts, id->parts[i], edge_now (e)))
      {
        bb_peers_broadcast_sound_part (e->peers, id->parts[i]);
        suspect_apply_sound_part (e, id->parts[i], "own");
      }
}

void
suspect_answered (struct edge *e, const struct request_identity *id)
{
  struct bb_crash answer = { .fingerprint = id->fingerprint };

  record_sound_parts (e, id);
  if (!bb_poison_clear (e->poison, id->fingerprint, edge_now (e)))
    return;
  bb_peers_broadcast_crash (e->peers, &answer);
  suspect_apply_change (e, &answer, "own");
}

void
suspect_apply_message (struct edge *e, const struct bb_suspect *m)
{
  struct bb_crash c = bb_crash_of (m);

  suspect_apply_change (e, &c, "peer");
}

void
suspect_init (struct edge *e)
{
  e->poison = bb_poison_new ();
  e->parts = bb_parts_new ();
}
