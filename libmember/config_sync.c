/* Spread of configuration: a higher revision is told to some peers at once,
   and every message names the revision in force.  Who is behind fetches the
   change, or the whole, in pieces.  */

#include "internal.h"

#include <string.h>

enum
{
  ROUNDS = 3,       /* of telling peers about a new revision */
  STALL_MS = 400,   /* a fetch without progress asks again */
  STALLS_MAX = 3,   /* then another peer is tried */
  ALONE_MS = 1500,  /* without an answer from peers */
  SPREAD_OUT_MS = 2 /* for each member, so that not all ask at once */
};

static void
fetch_end (struct bb_members *m)
{
  struct fetch *f = &m->fetch;

  blob_unref (f->base);
  g_free (f->middle);
  g_free (f->got);
  memset (f, 0, sizeof *f);
}

void
spread_free (struct bb_members *m)
{
  fetch_end (m);
  for (uint32_t i = 0; i < HISTORY; i++)
    blob_unref (m->history[i]);
}

static uint64_t
held_revision (const struct bb_members *m)
{
  return m->history[0] ? m->history[0]->revision : 0;
}

static bool
is_refused (const struct bb_members *m, uint64_t revision, uint64_t hash)
{
  return m->refused_revision == revision && m->refused_hash == hash;
}

static uint32_t
chunks_of (uint32_t size)
{
  return size == 0 ? 1 : (size + CHUNK_BYTES - 1) / CHUNK_BYTES;
}

static void
send_fetch (struct bb_members *m, uint32_t chunk)
{
  const struct fetch *f = &m->fetch;
  struct bb_fetch q = { .revision = f->revision,
                        .hash = f->hash,
                        .offset = chunk * CHUNK_BYTES };

  if (f->base)
    {
      q.base_revision = f->base->revision;
      q.base_hash = f->base->hash;
    }
  bb_put_fetch (&m->body, &q);
  send_body (m, f->peer);
}

static void
fetch_start (struct bb_members *m, bb_ms now, uint32_t peer,
             const struct bb_gossip *g)
{
  struct fetch *f = &m->fetch;

  fetch_end (m);
  f->active = true;
  f->peer = peer;
  f->revision = g->revision;
  f->hash = g->hash;
  f->base = m->history[0] ? blob_ref (m->history[0]) : NULL;
  f->progress_at = now;
  m->stats.fetches++;
  send_fetch (m, 0);
}

/* Sends one piece of B as a change of BASE; NULL is nothing.  */
static void
send_chunk (struct bb_members *m, uint32_t to, const struct bb_config_blob *b,
            const struct bb_config_blob *base, uint32_t prefix,
            uint32_t suffix, uint32_t offset)
{
  struct bb_chunk c = { .revision = b->revision,
                        .hash = b->hash,
                        .base_revision = base ? base->revision : 0,
                        .prefix = prefix,
                        .suffix = suffix,
                        .size = b->size - prefix - suffix,
                        .offset = offset };

  c.bytes.ptr = b->data + prefix + offset;
  c.bytes.size = MIN (c.size - offset, (uint32_t)CHUNK_BYTES);
  bb_put_chunk (&m->body, &c);
  send_body (m, to);
}

/* How many peers each round tells, and how long after the revision.  */
static const uint32_t round_peers[ROUNDS] = { 4, 3, 3 };
static const bb_ms round_after_ms[ROUNDS] = { 0, 300, 900 };

static void
tell_peers (struct bb_members *m, bb_ms now, uint32_t count)
{
  const struct bb_config_blob *b = m->history[0];
  const struct bb_config_blob *base = m->history[1];
  bool small
      = base && b->size - m->delta_prefix - m->delta_suffix <= CHUNK_BYTES;

  for (uint32_t n = 0; n < count; n++)
    {
      uint32_t to = pick_live (m, true);
      if (to == BB_MEMBER_NONE)
        return;
      if (small)
        send_chunk (m, to, b, base, m->delta_prefix, m->delta_suffix, 0);
      else
        send_notice (m, now, to);
    }
}

static void
tell_rounds (struct bb_members *m, bb_ms now)
{
  uint32_t n = m->told_rounds;

  if (!m->history[0] || n == ROUNDS
      || now - m->in_force_at < round_after_ms[n])
    return;
  m->told_rounds++;
  tell_peers (m, now, round_peers[n]);
}

static void
put_in_force (struct bb_members *m, bb_ms now, struct bb_config_blob *b)
{
  blob_unref (m->history[HISTORY - 1]);
  for (uint32_t i = HISTORY - 1; i > 0; i--)
    m->history[i] = m->history[i - 1];
  m->history[0] = b;
  if (m->history[1])
    blob_compare (m->history[1], b, &m->delta_prefix, &m->delta_suffix);
  m->fallback_at = 0;
  m->told_rounds = 0;
  m->in_force_at = now;
  m->stats.confirmed_at_ms = now;
  if (m->fetch.active && m->fetch.revision <= b->revision)
    fetch_end (m);
  tell_rounds (m, now);
}

enum bb_member_refusal
spread_adopt (struct bb_members *m, bb_ms now, struct bb_config_blob *b)
{
  const struct bb_config_blob *held = m->history[0];

#ifndef BB_MUTANT_member_lower
  if (held && b->revision < held->revision)
    {
      blob_unref (b);
      return BB_MEMBER_LOWER_REVISION;
    }
#endif
  if (held && b->revision == held->revision)
    {
      enum bb_member_refusal r
          = b->hash == held->hash ? BB_MEMBER_OK : BB_MEMBER_CONFLICT;
      blob_unref (b);
      return r;
    }
  if (is_refused (m, b->revision, b->hash) || !m->ops->accept (m->user, b))
    {
      m->refused_revision = b->revision;
      m->refused_hash = b->hash;
      m->stats.rejected_revision
          = MAX (m->stats.rejected_revision, b->revision);
      m->fallback_at = 0;
      blob_unref (b);
      return BB_MEMBER_REJECTED;
    }
  put_in_force (m, now, b);
  return BB_MEMBER_OK;
}

/* Whether a source must wait: a fresh process hears its peers first, so that
   a stale source cannot give it less than they hold.  */
static bool
is_early (const struct bb_members *m, bb_ms now, uint64_t revision)
{
#ifdef BB_MUTANT_member_early
  return false;
#endif
  if (m->history[0])
    return false;
  if (m->fetch.active)
    return revision < m->fetch.revision;
  return !m->heard && now - m->started_at < ALONE_MS;
}

enum bb_member_refusal
bb_members_offer_config (struct bb_members *m, bb_ms now, uint64_t revision,
                         const void *data, size_t size)
{
  enum bb_member_refusal r = BB_MEMBER_BAD_BODY;
  struct bb_config_blob *b;

  if (is_early (m, now, revision))
    r = BB_MEMBER_EARLY;
  else if (size <= CONFIG_MAX_BYTES && revision > 0)
    {
      b = blob_new (revision, (uint32_t)size);
      memcpy (b->data, data, size);
      b->hash = blob_hash (b);
      r = spread_adopt (m, now, b);
    }
  if (r == BB_MEMBER_OK)
    m->stats.confirmed_at_ms = now;
  m->stats.refused[r]++;
  return r;
}

/* Learns from any believed message where the sender stands.  */
void
spread_heard (struct bb_members *m, bb_ms now, uint32_t from,
              const struct bb_gossip *g)
{
  uint64_t held = held_revision (m);

  m->heard = true;
  m->stats.rejected_revision = MAX (m->stats.rejected_revision, g->rejected);
  if (g->revision == held && held > 0)
    m->stats.confirmed_at_ms = now;
  if (g->revision < held)
    {
      if (m->handling == from)
        send_notice (m, now, from);
      return;
    }
  if (g->revision == held || is_refused (m, g->revision, g->hash)
      || (m->fetch.active && m->fetch.revision >= g->revision))
    return;
  fetch_start (m, now, from, g);
}

static const struct bb_config_blob *
find_held (const struct bb_members *m, uint64_t revision, uint64_t hash)
{
  for (uint32_t i = 0; i < HISTORY && m->history[i]; i++)
    if (m->history[i]->revision == revision && m->history[i]->hash == hash)
      return m->history[i];
  return NULL;
}

/* Serves pieces of what was asked for; a base that is not held any more makes
   the answer the whole.  */
enum bb_member_refusal
spread_on_fetch (struct bb_members *m, uint32_t from, const struct bb_fetch *f)
{
  const struct bb_config_blob *b = find_held (m, f->revision, f->hash);
  const struct bb_config_blob *base
      = find_held (m, f->base_revision, f->base_hash);
  uint32_t prefix = 0;
  uint32_t suffix = 0;

  if (!b)
    return BB_MEMBER_BAD_BODY;
  if (base && base == m->history[1] && b == m->history[0])
    {
      prefix = m->delta_prefix;
      suffix = m->delta_suffix;
    }
  else if (base)
    blob_compare (base, b, &prefix, &suffix);
  if (f->offset > b->size - prefix - suffix)
    return BB_MEMBER_BAD_BODY;
  send_chunk (m, from, b, base, prefix, suffix, f->offset);
  return BB_MEMBER_OK;
}

/* Puts the pieces together and checks the hash.  */
static enum bb_member_refusal
assemble (struct bb_members *m, bb_ms now, const struct bb_config_blob *base,
          const struct bb_chunk *c, const char *middle)
{
  struct bb_config_blob *b
      = blob_new (c->revision, c->prefix + c->size + c->suffix);

  if (base)
    memcpy (b->data, base->data, c->prefix);
  memcpy (b->data + c->prefix, middle, c->size);
  if (base)
    memcpy (b->data + c->prefix + c->size, base->data + base->size - c->suffix,
            c->suffix);
  b->hash = blob_hash (b);
#ifndef BB_MUTANT_member_hash
  if (b->hash != c->hash)
    {
      blob_unref (b);
      return BB_MEMBER_BAD_HASH;
    }
#endif
  return spread_adopt (m, now, b);
}

static bool
fits_base (const struct bb_chunk *c, const struct bb_config_blob *base)
{
  uint32_t held = base ? base->size : 0;

  return c->prefix <= held && c->suffix <= held - c->prefix
         && c->size <= CONFIG_MAX_BYTES && c->offset % CHUNK_BYTES == 0
         && c->offset <= c->size
         && c->bytes.size == MIN (c->size - c->offset, (uint32_t)CHUNK_BYTES);
}

/* A change in one piece that nobody asked for.  */
static enum bb_member_refusal
take_single (struct bb_members *m, bb_ms now, uint32_t from,
             const struct bb_chunk *c)
{
  const struct bb_config_blob *held = m->history[0];
  struct bb_gossip g = { .revision = c->revision, .hash = c->hash };

  if (is_refused (m, c->revision, c->hash))
    return BB_MEMBER_REJECTED;
  if (c->offset == 0 && c->bytes.size == c->size
      && (c->base_revision == 0
          || (held && held->revision == c->base_revision)))
    {
      const struct bb_config_blob *base = c->base_revision ? held : NULL;
      if (!fits_base (c, base))
        return BB_MEMBER_BAD_BODY;
      return assemble (m, now, base, c, c->bytes.ptr);
    }
  if (!m->fetch.active || m->fetch.revision < c->revision)
    fetch_start (m, now, from, &g);
  return BB_MEMBER_OK;
}

/* Makes the fetch fit what its first piece says.  */
static void
fetch_size (struct fetch *f, const struct bb_chunk *c)
{
  if (c->base_revision == 0)
    {
      blob_unref (f->base);
      f->base = NULL;
    }
  f->sized = true;
  f->prefix = c->prefix;
  f->suffix = c->suffix;
  f->size = c->size;
  f->middle = g_malloc (c->size ? c->size : 1);
  f->got = g_malloc0 (chunks_of (c->size));
  f->next_chunk = 1;
}

static enum bb_member_refusal
take_piece (struct bb_members *m, bb_ms now, const struct bb_chunk *c)
{
  struct fetch *f = &m->fetch;
  const struct bb_config_blob *base = c->base_revision ? f->base : NULL;
  uint32_t chunk = c->offset / CHUNK_BYTES;
  uint32_t ahead = f->sized ? 1 : FETCH_WINDOW;
  enum bb_member_refusal r;

  if (!fits_base (c, base) || (c->base_revision && !base)
      || (base && base->revision != c->base_revision)
      || (f->sized && (c->size != f->size || c->prefix != f->prefix)))
    return BB_MEMBER_BAD_BODY;
  if (!f->sized)
    fetch_size (f, c);
  if (chunk >= chunks_of (f->size) || f->got[chunk])
    return BB_MEMBER_OK;
  memcpy (f->middle + c->offset, c->bytes.ptr, c->bytes.size);
  f->got[chunk] = 1;
  f->progress_at = now;
  f->stalls = 0;
  if (++f->got_chunks < chunks_of (f->size))
    {
      for (; ahead > 0 && f->next_chunk < chunks_of (f->size); ahead--)
        send_fetch (m, f->next_chunk++);
      return BB_MEMBER_OK;
    }
  r = assemble (m, now, f->base, c, f->middle);
  if (f->active)
    fetch_end (m);
  return r;
}

enum bb_member_refusal
spread_on_chunk (struct bb_members *m, bb_ms now, uint32_t from,
                 const struct bb_chunk *c)
{
  const struct fetch *f = &m->fetch;

#ifndef BB_MUTANT_member_lower
  if (c->revision < held_revision (m))
    return BB_MEMBER_LOWER_REVISION;
#endif
  if (c->revision == held_revision (m))
    return BB_MEMBER_OK;
  if (f->active && f->peer == from && f->revision == c->revision
      && f->hash == c->hash)
    return take_piece (m, now, c);
  return take_single (m, now, from, c);
}

/* Asks again for missing pieces, then gives the peer up.  */
static void
fetch_tick (struct bb_members *m, bb_ms now)
{
  struct fetch *f = &m->fetch;
  uint32_t asked = 0;

  if (!f->active || now - f->progress_at < STALL_MS)
    return;
  if (f->peer == BB_MEMBER_NONE)
    f->stalls = STALLS_MAX;
  f->progress_at = now;
  if (++f->stalls > STALLS_MAX)
    {
      fetch_end (m);
      return;
    }
  if (!f->sized)
    send_fetch (m, 0);
  for (uint32_t i = 0; f->sized && i < f->next_chunk && asked < FETCH_WINDOW;
       i++)
    if (!f->got[i])
      {
        send_fetch (m, i);
        asked++;
      }
  for (;
       f->sized && f->next_chunk < chunks_of (f->size) && asked < FETCH_WINDOW;
       asked++)
    send_fetch (m, f->next_chunk++);
}

/* The service is asked when peers have not helped for a while; members spread
   their asking over time.  */
static void
fallback_tick (struct bb_members *m, bb_ms now)
{
  gint32 spread = (gint32)m->directory->count * SPREAD_OUT_MS;
  bool behind = !m->history[0] || m->fetch.active;

  if (!behind)
    m->fallback_at = 0;
  else if (m->fallback_at == 0)
    m->fallback_at
        = now + ALONE_MS + g_rand_int_range (m->rand, 0, spread + 1);
}

void
spread_tick (struct bb_members *m, bb_ms now)
{
  fetch_tick (m, now);
  tell_rounds (m, now);
  fallback_tick (m, now);
}
