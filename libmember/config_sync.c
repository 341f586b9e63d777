/* Distribution of the configuration.  A member announces a new revision to
   some peers, and every message names the active revision.  A member with a
   lower one fetches the change, or the whole configuration, in chunks.  */

#include "internal.h"

#include <string.h>

enum
{
  ANNOUNCE_ROUNDS = 3,    /* number of announcements of a new revision */
  FETCH_TIMEOUT_MS = 400, /* missing chunks are requested again after this */
  /* Timeouts in a row; after one more the fetch ends.  */
  FETCH_TIMEOUTS_MAX = 3,
  PEER_WAIT_MS = 1500,   /* time for peers to supply a configuration */
  FALLBACK_JITTER_MS = 2 /* range of the random delay, for each member */
};

static void
fetch_reset (struct bb_members *m)
{
  struct fetch *f = &m->fetch;

  blob_unref (f->base);
  g_free (f->middle);
  g_free (f->received);
  memset (f, 0, sizeof *f);
}

void
config_sync_free (struct bb_members *m)
{
  fetch_reset (m);
  for (uint32_t i = 0; i < HISTORY_MAX; i++)
    blob_unref (m->history[i]);
}

static uint64_t
active_revision (const struct bb_members *m)
{
  return m->history[0] ? m->history[0]->revision : 0;
}

static bool
is_rejected (const struct bb_members *m, uint64_t revision, uint64_t hash)
{
  return m->rejected_revision == revision && m->rejected_hash == hash;
}

static uint32_t
chunk_count (uint32_t size)
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
  send_message (m, f->peer);
}

static void
fetch_start (struct bb_members *m, bb_ms now, uint32_t peer,
             const struct bb_gossip *g)
{
  struct fetch *f = &m->fetch;

  fetch_reset (m);
  f->active = true;
  f->peer = peer;
  f->revision = g->revision;
  f->hash = g->hash;
  f->base = m->history[0] ? blob_ref (m->history[0]) : NULL;
  f->progress_at_ms = now;
  m->stats.fetches++;
  send_fetch (m, 0);
}

/* Sends the chunk at OFFSET of B, without the PREFIX and SUFFIX bytes that B
   shares with BASE, to member TO.  A BASE of NULL means that B is sent whole.
 */
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
  send_message (m, to);
}

/* Peers to which each round announces a revision, and its delay after the
   activation.  */
static const uint32_t round_peers[ANNOUNCE_ROUNDS] = { 4, 3, 3 };
static const bb_ms round_delay_ms[ANNOUNCE_ROUNDS] = { 0, 300, 900 };

/* Announces the active configuration to COUNT random members.  Sends the
   change itself where it fits one chunk, else a notice with the revision.  */
static void
announce (struct bb_members *m, bb_ms now, uint32_t count)
{
  const struct bb_config_blob *b = m->history[0];
  const struct bb_config_blob *base = m->history[1];
  bool small = base
               && b->size - m->delta_prefix_bytes - m->delta_suffix_bytes
                      <= CHUNK_BYTES;

  for (uint32_t n = 0; n < count; n++)
    {
      uint32_t to = pick_random_live (m, true);
      if (to == BB_MEMBER_NONE)
        return;
      if (small)
        send_chunk (m, to, b, base, m->delta_prefix_bytes,
                    m->delta_suffix_bytes, 0);
      else
        send_notice (m, now, to);
    }
}

static void
announce_tick (struct bb_members *m, bb_ms now)
{
  uint32_t n = m->announce_rounds;

  if (!m->history[0] || n == ANNOUNCE_ROUNDS
      || now - m->activated_at_ms < round_delay_ms[n])
    return;
  m->announce_rounds++;
  announce (m, now, round_peers[n]);
}

static void
activate (struct bb_members *m, bb_ms now, struct bb_config_blob *b)
{
  blob_unref (m->history[HISTORY_MAX - 1]);
  for (uint32_t i = HISTORY_MAX - 1; i > 0; i--)
    m->history[i] = m->history[i - 1];
  m->history[0] = b;
  if (m->history[1])
    blob_common_ends (m->history[1], b, &m->delta_prefix_bytes,
                      &m->delta_suffix_bytes);
  m->fallback_at_ms = 0;
  m->announce_rounds = 0;
  m->activated_at_ms = now;
  m->stats.confirmed_at_ms = now;
  if (m->fetch.active && m->fetch.revision <= b->revision)
    fetch_reset (m);
  announce_tick (m, now);
}

enum bb_member_refusal
config_sync_adopt (struct bb_members *m, bb_ms now, struct bb_config_blob *b)
{
  const struct bb_config_blob *active = m->history[0];

#ifndef BB_MUTANT_member_lower
  if (active && b->revision < active->revision)
    {
      blob_unref (b);
      return BB_MEMBER_LOWER_REVISION;
    }
#endif
  if (active && b->revision == active->revision)
    {
      enum bb_member_refusal r
          = b->hash == active->hash ? BB_MEMBER_OK : BB_MEMBER_CONFLICT;
      blob_unref (b);
      return r;
    }
  if (is_rejected (m, b->revision, b->hash) || !m->ops->accept (m->user, b))
    {
      m->rejected_revision = b->revision;
      m->rejected_hash = b->hash;
      m->stats.rejected_revision
          = MAX (m->stats.rejected_revision, b->revision);
      m->fallback_at_ms = 0;
      blob_unref (b);
      return BB_MEMBER_REJECTED;
    }
  activate (m, now, b);
  return BB_MEMBER_OK;
}

/* Returns whether REVISION, offered by the configuration service, must wait. A
   process that just started waits for a datagram of a peer first; otherwise a
   stale replica of the service could give it a lower revision than theirs.  */
static bool
must_wait_for_peers (const struct bb_members *m, bb_ms now, uint64_t revision)
{
#ifdef BB_MUTANT_member_early
  return false;
#endif
  if (m->history[0])
    return false;
  if (m->fetch.active)
    return revision < m->fetch.revision;
  return !m->received_from_peer && now - m->started_at_ms < PEER_WAIT_MS;
}

enum bb_member_refusal
bb_members_offer_config (struct bb_members *m, bb_ms now, uint64_t revision,
                         const void *data, size_t size)
{
  enum bb_member_refusal r = BB_MEMBER_BAD_BODY;
  struct bb_config_blob *b;

  if (must_wait_for_peers (m, now, revision))
    r = BB_MEMBER_EARLY;
  else if (size <= CONFIG_MAX_BYTES && revision > 0)
    {
      b = blob_new (revision, (uint32_t)size);
      memcpy (b->data, data, size);
      b->hash = blob_hash (b);
      r = config_sync_adopt (m, now, b);
    }
  if (r == BB_MEMBER_OK)
    m->stats.confirmed_at_ms = now;
  m->stats.refused[r]++;
  return r;
}

/* Compares the revision that FROM reports with the active one.  Sends a notice
   when FROM has a lower one and fetches a higher one from it.  */
void
config_sync_handle_gossip (struct bb_members *m, bb_ms now, uint32_t from,
                           const struct bb_gossip *g)
{
  uint64_t active = active_revision (m);

  m->received_from_peer = true;
  m->stats.rejected_revision = MAX (m->stats.rejected_revision, g->rejected);
  if (g->revision == active && active > 0)
    m->stats.confirmed_at_ms = now;
  if (g->revision < active)
    {
      if (m->current_sender == from)
        send_notice (m, now, from);
      return;
    }
  if (g->revision == active || is_rejected (m, g->revision, g->hash)
      || (m->fetch.active && m->fetch.revision >= g->revision))
    return;
  fetch_start (m, now, from, g);
}

static const struct bb_config_blob *
find_in_history (const struct bb_members *m, uint64_t revision, uint64_t hash)
{
  for (uint32_t i = 0; i < HISTORY_MAX && m->history[i]; i++)
    if (m->history[i]->revision == revision && m->history[i]->hash == hash)
      return m->history[i];
  return NULL;
}

/* Sends FROM the chunk that it requests: of the change since its base, or of
   the whole configuration when that base is not in the history.  */
enum bb_member_refusal
config_sync_handle_fetch (struct bb_members *m, uint32_t from,
                          const struct bb_fetch *f)
{
  const struct bb_config_blob *b = find_in_history (m, f->revision, f->hash);
  const struct bb_config_blob *base
      = find_in_history (m, f->base_revision, f->base_hash);
  uint32_t prefix = 0;
  uint32_t suffix = 0;

  if (!b)
    return BB_MEMBER_BAD_BODY;
  if (base && base == m->history[1] && b == m->history[0])
    {
      prefix = m->delta_prefix_bytes;
      suffix = m->delta_suffix_bytes;
    }
  else if (base)
    blob_common_ends (base, b, &prefix, &suffix);
  if (f->offset > b->size - prefix - suffix)
    return BB_MEMBER_BAD_BODY;
  send_chunk (m, from, b, base, prefix, suffix, f->offset);
  return BB_MEMBER_OK;
}

/* Builds the configuration of C from BASE and MIDDLE, checks its hash and
   adopts it.  BASE may be NULL.  */
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
  return config_sync_adopt (m, now, b);
}

/* Returns whether the sizes and the offset of C agree with each other and with
   BASE, which may be NULL.  */
static bool
is_valid_chunk (const struct bb_chunk *c, const struct bb_config_blob *base)
{
  uint32_t base_size = base ? base->size : 0;

  return c->prefix <= base_size && c->suffix <= base_size - c->prefix
         && c->size <= CONFIG_MAX_BYTES && c->offset % CHUNK_BYTES == 0
         && c->offset <= c->size
         && c->bytes.size == MIN (c->size - c->offset, (uint32_t)CHUNK_BYTES);
}

/* Handles a chunk that is not part of the running fetch.  Adopts it when it
   holds the whole change to the active configuration, or a whole
   configuration.  Otherwise fetches the revision from its sender.  */
static enum bb_member_refusal
handle_unrequested_chunk (struct bb_members *m, bb_ms now, uint32_t from,
                          const struct bb_chunk *c)
{
  const struct bb_config_blob *active = m->history[0];
  struct bb_gossip g = { .revision = c->revision, .hash = c->hash };

  if (is_rejected (m, c->revision, c->hash))
    return BB_MEMBER_REJECTED;
  if (c->offset == 0 && c->bytes.size == c->size
      && (c->base_revision == 0
          || (active && active->revision == c->base_revision)))
    {
      const struct bb_config_blob *base = c->base_revision ? active : NULL;
      if (!is_valid_chunk (c, base))
        return BB_MEMBER_BAD_BODY;
      return assemble (m, now, base, c, c->bytes.ptr);
    }
  if (!m->fetch.active || m->fetch.revision < c->revision)
    fetch_start (m, now, from, &g);
  return BB_MEMBER_OK;
}

/* Takes the sizes from C, the first chunk that arrives of the fetch F.  */
static void
fetch_set_size (struct fetch *f, const struct bb_chunk *c)
{
  if (c->base_revision == 0)
    {
      blob_unref (f->base);
      f->base = NULL;
    }
  f->size_known = true;
  f->prefix_bytes = c->prefix;
  f->suffix_bytes = c->suffix;
  f->middle_bytes = c->size;
  f->middle = g_malloc (c->size ? c->size : 1);
  f->received = g_malloc0 (chunk_count (c->size));
  f->next_chunk = 1;
}

/* Stores chunk C of the running fetch and requests further ones.  Adopts the
   configuration when all chunks have come.  */
static enum bb_member_refusal
handle_requested_chunk (struct bb_members *m, bb_ms now,
                        const struct bb_chunk *c)
{
  struct fetch *f = &m->fetch;
  const struct bb_config_blob *base = c->base_revision ? f->base : NULL;
  uint32_t chunk = c->offset / CHUNK_BYTES;
  uint32_t requests = f->size_known ? 1 : FETCH_WINDOW_CHUNKS;
  enum bb_member_refusal r;

  if (!is_valid_chunk (c, base) || (c->base_revision && !base)
      || (base && base->revision != c->base_revision)
      || (f->size_known
          && (c->size != f->middle_bytes || c->prefix != f->prefix_bytes)))
    return BB_MEMBER_BAD_BODY;
  if (!f->size_known)
    fetch_set_size (f, c);
  if (chunk >= chunk_count (f->middle_bytes) || f->received[chunk])
    return BB_MEMBER_OK;
  memcpy (f->middle + c->offset, c->bytes.ptr, c->bytes.size);
  f->received[chunk] = 1;
  f->progress_at_ms = now;
  f->timeouts = 0;
  if (++f->received_count < chunk_count (f->middle_bytes))
    {
      for (; requests > 0 && f->next_chunk < chunk_count (f->middle_bytes);
           requests--)
        send_fetch (m, f->next_chunk++);
      return BB_MEMBER_OK;
    }
  r = assemble (m, now, f->base, c, f->middle);
  if (f->active)
    fetch_reset (m);
  return r;
}

enum bb_member_refusal
config_sync_handle_chunk (struct bb_members *m, bb_ms now, uint32_t from,
                          const struct bb_chunk *c)
{
  const struct fetch *f = &m->fetch;

#ifndef BB_MUTANT_member_lower
  if (c->revision < active_revision (m))
    return BB_MEMBER_LOWER_REVISION;
#endif
  if (c->revision == active_revision (m))
    return BB_MEMBER_OK;
  if (f->active && f->peer == from && f->revision == c->revision
      && f->hash == c->hash)
    return handle_requested_chunk (m, now, c);
  return handle_unrequested_chunk (m, now, from, c);
}

/* Requests missing chunks again after a timeout.  Ends the fetch after too
   many of them, or when its peer is no longer a member; a later message of any
   peer with the revision starts a new one.  */
static void
fetch_tick (struct bb_members *m, bb_ms now)
{
  struct fetch *f = &m->fetch;
  uint32_t asked = 0;

  if (!f->active || now - f->progress_at_ms < FETCH_TIMEOUT_MS)
    return;
  if (f->peer == BB_MEMBER_NONE)
    f->timeouts = FETCH_TIMEOUTS_MAX;
  f->progress_at_ms = now;
  if (++f->timeouts > FETCH_TIMEOUTS_MAX)
    {
      fetch_reset (m);
      return;
    }
  if (!f->size_known)
    send_fetch (m, 0);
  for (uint32_t i = 0;
       f->size_known && i < f->next_chunk && asked < FETCH_WINDOW_CHUNKS; i++)
    if (!f->received[i])
      {
        send_fetch (m, i);
        asked++;
      }
  for (; f->size_known && f->next_chunk < chunk_count (f->middle_bytes)
         && asked < FETCH_WINDOW_CHUNKS;
       asked++)
    send_fetch (m, f->next_chunk++);
}

/* Schedules queries of the configuration service for when the peers do not
   supply a configuration.  A random delay that grows with the number of
   members spreads the queries over time.  */
static void
fallback_tick (struct bb_members *m, bb_ms now)
{
  gint32 jitter_ms = (gint32)m->directory->count * FALLBACK_JITTER_MS;
  bool incomplete = !m->history[0] || m->fetch.active;

  if (!incomplete)
    m->fallback_at_ms = 0;
  else if (m->fallback_at_ms == 0)
    m->fallback_at_ms
        = now + PEER_WAIT_MS + g_rand_int_range (m->rand, 0, jitter_ms + 1);
}

void
config_sync_tick (struct bb_members *m, bb_ms now)
{
  fetch_tick (m, now);
  announce_tick (m, now);
  fallback_tick (m, now);
}
