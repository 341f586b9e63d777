/* Entry points: receipt of datagrams, ticks, directory and keys.  */

#include "internal.h"

#include <string.h>

enum
{
  PAUSE_MIN_MS = 1500, /* longer gaps between ticks are pauses */
  RANDOM_PINGS = 4 /* number of pings at start, after a pause and on leaving */
};

static const char *const refusal_names[BB_MEMBER_REFUSALS] = {
  [BB_MEMBER_OK] = "none",
  [BB_MEMBER_MALFORMED] = "malformed",
  [BB_MEMBER_UNKNOWN_KEY] = "unknown_key",
  [BB_MEMBER_BAD_TAG] = "bad_tag",
  [BB_MEMBER_UNKNOWN_SENDER] = "stranger",
  [BB_MEMBER_MISADDRESSED] = "misaddressed",
  [BB_MEMBER_REPLAY] = "replay",
  [BB_MEMBER_OLD_PROCESS] = "old_process",
  [BB_MEMBER_BAD_BODY] = "bad_body",
  [BB_MEMBER_LOWER_REVISION] = "lower_revision",
  [BB_MEMBER_CONFLICT] = "conflict",
  [BB_MEMBER_REJECTED] = "rejected",
  [BB_MEMBER_BAD_HASH] = "bad_hash",
  [BB_MEMBER_EARLY] = "early",
};

const char *
bb_member_refusal_name (enum bb_member_refusal r)
{
  return r < BB_MEMBER_REFUSALS ? refusal_names[r] : "unknown";
}

struct bb_members *
bb_members_new (const struct bb_member_options *o)
{
  struct bb_members *m = g_new0 (struct bb_members, 1);

  m->directory = o->directory;
  m->self_id = o->self_id;
  m->self = bb_directory_find (o->directory, o->self_id);
  m->incarnation = o->incarnation;
  m->signer = bb_signer_new (&o->keys);
  m->rand = o->rand;
  m->ops = o->ops;
  m->user = o->user;
  m->nonce = (uint64_t)g_rand_int (o->rand) << 16;
  m->members = g_new0 (struct member, o->directory->count);
  m->probe.next_target = BB_MEMBER_NONE;
  m->current_sender = BB_MEMBER_NONE;
  msgpack_sbuffer_init (&m->body);
  msgpack_sbuffer_init (&m->datagram);
  g_assert (m->self != BB_MEMBER_NONE);
  return m;
}

void
bb_members_free (struct bb_members *m)
{
  config_sync_free (m);
  bb_signer_free (m->signer);
  msgpack_sbuffer_destroy (&m->body);
  msgpack_sbuffer_destroy (&m->datagram);
  g_free (m->members);
  g_free (m);
}

/* Returns the index in D of the member with index I in OLD.  */
static uint32_t
new_index (const struct bb_directory *old, const struct bb_directory *d,
           uint32_t i)
{
  if (i >= old->count)
    return BB_MEMBER_NONE;
  return bb_directory_find (d, old->peers[i].id);
}

static void
remap_updates (struct bb_members *m, const struct bb_directory *d)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < m->queued_updates_count; i++)
    {
      struct queued_update s = m->queued_updates[i];
      s.member = new_index (m->directory, d, s.member);
      if (s.member != BB_MEMBER_NONE)
        m->queued_updates[kept++] = s;
    }
  m->queued_updates_count = kept;
}

void
bb_members_set_directory (struct bb_members *m, const struct bb_directory *d)
{
  struct member *members = g_new0 (struct member, d->count);

  for (uint32_t i = 0; i < d->count; i++)
    {
      uint32_t old_index = bb_directory_find (m->directory, d->peers[i].id);
      if (old_index != BB_MEMBER_NONE)
        members[i] = m->members[old_index];
    }
  remap_updates (m, d);
  for (uint32_t i = 0; i < RECENT_SENDERS_MAX; i++)
    m->recent_senders[i] = new_index (m->directory, d, m->recent_senders[i]);
  m->current_sender = new_index (m->directory, d, m->current_sender);
  m->fetch.peer = new_index (m->directory, d, m->fetch.peer);
  m->self = bb_directory_find (d, m->self_id);
  m->probe.next_target = BB_MEMBER_NONE;
  m->probe.stage = PROBE_IDLE;
  memset (m->relays, 0, sizeof m->relays);
  g_free (m->members);
  m->members = members;
  m->directory = d;
  g_assert (m->self != BB_MEMBER_NONE);
}

void
bb_members_set_keys (struct bb_members *m, const struct bb_peer_keys *k)
{
  bb_signer_free (m->signer);
  m->signer = bb_signer_new (k);
}

/* Records SEQUENCE as received from the present incarnation of P.  Returns
   false when it was recorded before or lies WINDOW or more below the highest
   one.  */
static bool
record_sequence (struct member *p, uint64_t sequence)
{
  enum
  {
    WINDOW = 64
  };
  uint64_t distance;

  if (sequence > p->highest_sequence)
    {
      distance = sequence - p->highest_sequence;
      p->sequence_window
          = distance >= WINDOW ? 0 : p->sequence_window << distance;
      p->sequence_window |= 1;
      p->highest_sequence = sequence;
      return true;
    }
  distance = p->highest_sequence - sequence;
  if (distance >= WINDOW || (p->sequence_window >> distance & 1) != 0)
    return false;
  p->sequence_window |= UINT64_C (1) << distance;
  return true;
}

/* Returns whether S is from a later process than the known one of its sender
   P: it has a higher counter, or the same one and a higher incarnation.  Any
   process is later when none is known.  */
static bool
is_later_process (const struct member *p, const struct bb_sealed *s)
{
  if (p->incarnation == 0 || s->counter > p->counter)
    return true;
  return s->counter == p->counter && s->incarnation > p->incarnation;
}

static void
record_alive (struct bb_members *m, bb_ms now, uint32_t i, uint32_t counter)
{
  struct member *p = &m->members[i];
  bool changed = p->status != BB_MEMBER_STATUS_ALIVE;

  if (counter <= p->counter)
    return;
  p->counter = counter;
  set_status (m, now, i, BB_MEMBER_STATUS_ALIVE);
  if (changed)
    queue_update (m, i);
}

static enum bb_member_refusal
check_sender (struct bb_members *m, bb_ms now, uint32_t i,
              const struct bb_sealed *s)
{
  struct member *p;

#ifndef BB_MUTANT_member_addressed
  if (s->to_incarnation != m->incarnation)
    return BB_MEMBER_MISADDRESSED;
#endif
  if (i == BB_MEMBER_NONE || i == m->self || s->incarnation == 0)
    return BB_MEMBER_UNKNOWN_SENDER;
  p = &m->members[i];
  if (s->incarnation != p->incarnation)
    {
      if (!is_later_process (p, s))
        return BB_MEMBER_OLD_PROCESS;
      p->incarnation = s->incarnation;
      p->highest_sequence = 0;
      p->sequence_window = 0;
    }
  if (!record_sequence (p, s->sequence))
#ifndef BB_MUTANT_member_replay
    return BB_MEMBER_REPLAY;
#else
    p->highest_sequence = s->sequence;
#endif
  record_alive (m, now, i, s->counter);
  m->recent_senders[m->recent_senders_count++ % RECENT_SENDERS_MAX] = i;
  return BB_MEMBER_OK;
}

static void
handle_gossip (struct bb_members *m, bb_ms now, uint32_t from,
               const struct bb_gossip *g)
{
  for (uint32_t i = 0; i < g->updates_count; i++)
    apply_update (m, now, &g->updates[i]);
  for (uint32_t i = 0; i < g->pushed_count; i++)
    apply_pushed (m, now, &g->pushed[i]);
  config_sync_handle_gossip (m, now, from, g);
}

/* Sends FROM a notice when it is suspect or dead here, so that it refutes
   that.  */
static void
notify_if_not_alive (struct bb_members *m, bb_ms now, uint32_t from)
{
  uint8_t status = m->members[from].status;

  if (status == BB_MEMBER_STATUS_SUSPECT || status == BB_MEMBER_STATUS_DEAD)
    send_notice (m, now, from);
}

static enum bb_member_refusal
handle_message (struct bb_members *m, bb_ms now, uint32_t from,
                const struct bb_message *b)
{
  switch (b->type)
    {
    case BB_MSG_PING:
      handle_gossip (m, now, from, &b->u.ping.gossip);
      send_ack (m, now, from, b->u.ping.nonce);
      return BB_MEMBER_OK;
    case BB_MSG_PING_ACK:
      probe_handle_ack (m, now, b->u.ping_ack.nonce);
      handle_gossip (m, now, from, &b->u.ping_ack.gossip);
      notify_if_not_alive (m, now, from);
      return BB_MEMBER_OK;
    case BB_MSG_PING_REQUEST:
      handle_gossip (m, now, from, &b->u.ping_request.gossip);
      probe_handle_request (m, now, from, &b->u.ping_request);
      return BB_MEMBER_OK;
    case BB_MSG_NOTICE:
      handle_gossip (m, now, from, &b->u.notice.gossip);
      return BB_MEMBER_OK;
    case BB_MSG_FETCH:
      return config_sync_handle_fetch (m, from, &b->u.fetch);
    case BB_MSG_CHUNK:
      return config_sync_handle_chunk (m, now, from, &b->u.chunk);
    default:
      return BB_MEMBER_BAD_BODY;
    }
}

/* Answers message B that was refused for REASON and whose content is ignored.
   A ping is answered, so that its sender learns the incarnation of this
   process.  A fetch is answered also where the sender is not in the directory:
   a correct signature is enough to read the configuration.  */
static void
answer_refused_sender (struct bb_members *m, bb_ms now, uint32_t from,
                       enum bb_member_refusal reason,
                       const struct bb_message *b)
{
  if (reason == BB_MEMBER_REPLAY || from == m->self)
    return;
  if (b->type == BB_MSG_PING)
    send_ack (m, now, from, b->u.ping.nonce);
  else if (b->type == BB_MSG_FETCH && reason == BB_MEMBER_UNKNOWN_SENDER)
    config_sync_handle_fetch (m, from, &b->u.fetch);
}

static enum bb_member_refusal
handle_sealed (struct bb_members *m, bb_ms now, const struct bb_sealed *s)
{
  uint32_t from = bb_directory_find (m->directory, s->from);
  enum bb_member_refusal r;
  struct bb_message inner;
  struct bb_decode_error e;
  size_t size;

  m->current_sender = from;
  m->current_sender_incarnation = s->incarnation;
  if (bb_frame_peek (s->body.ptr, s->body.size, &size) != BB_FRAME_COMPLETE
      || size + BB_FRAME_HEADER_BYTES != s->body.size
      || !bb_message_decode (s->body.ptr + BB_FRAME_HEADER_BYTES, size, &inner,
                             &e))
    return BB_MEMBER_BAD_BODY;
  r = check_sender (m, now, from, s);
  if (r == BB_MEMBER_OK)
    r = handle_message (m, now, from, &inner);
  else
    answer_refused_sender (m, now, from, r, &inner);
  bb_message_free (&inner);
  return r;
}

enum bb_member_refusal
bb_members_receive (struct bb_members *m, bb_ms now, const void *data,
                    size_t size)
{
  struct bb_message sealed;
  enum bb_member_refusal r;

  m->stats.received++;
  m->stats.received_bytes += size;
  r = bb_verify_datagram (data, size, m->signer, &sealed);
  if (r == BB_MEMBER_OK)
    {
      r = handle_sealed (m, now, &sealed.u.sealed);
      bb_message_free (&sealed);
    }
  m->current_sender = BB_MEMBER_NONE;
  m->current_sender_incarnation = 0;
  if (r != BB_MEMBER_OK)
    m->stats.refused[r]++;
  return r;
}

static void
ping_random_members (struct bb_members *m, bb_ms now)
{
  for (uint32_t i = 0; i < RANDOM_PINGS; i++)
    {
      uint32_t to = pick_random_live (m, false);
      if (to != BB_MEMBER_NONE)
        send_ping (m, now, to, ++m->nonce);
    }
}

/* Discards what timed out during a pause of GAP ms: drops the running probe,
   extends suspicions by GAP, stops passing on the stored pushed values and
   pings some members.  */
static void
resume_after_pause (struct bb_members *m, bb_ms now, bb_ms gap)
{
  m->stats.pauses++;
  m->probe.stage = PROBE_IDLE;
  m->probe.next_at_ms = now;
  for (uint32_t i = 0; i < m->directory->count; i++)
    if (m->members[i].status == BB_MEMBER_STATUS_SUSPECT)
      m->members[i].suspect_until_ms += gap;
  for (uint32_t i = 0; i < m->pushed_count; i++)
    m->pushed[i].sends_left = 0;
  ping_random_members (m, now);
}

void
bb_members_tick (struct bb_members *m, bb_ms now)
{
  bb_ms gap = now - m->last_tick_ms;

  if (m->last_tick_ms == 0)
    {
      m->started_at_ms = now;
      m->probe.next_at_ms = now + g_rand_int_range (m->rand, 0, 1000);
      ping_random_members (m, now);
    }
#ifndef BB_MUTANT_member_wake
  else if (gap > PAUSE_MIN_MS)
#else
  else if (gap < 0)
#endif
    resume_after_pause (m, now, gap);
  m->last_tick_ms = now ? now : 1;
  probe_tick (m, now);
  config_sync_tick (m, now);
  reader_tick (m, now);
}

void
bb_members_probe_next (struct bb_members *m, uint64_t id)
{
  uint32_t i = bb_directory_find (m->directory, id);

  if (i != BB_MEMBER_NONE && i != m->self)
    m->probe.next_target = i;
}

void
bb_members_leave (struct bb_members *m, bb_ms now)
{
  m->leaving = true;
  m->counter++;
  m->members[m->self].status = BB_MEMBER_STATUS_LEFT;
  queue_update (m, m->self);
  ping_random_members (m, now);
}

const struct bb_config_blob *
bb_members_active_config (const struct bb_members *m)
{
  return m->history[0];
}

enum bb_member_status
bb_members_status (const struct bb_members *m, uint32_t index)
{
  return (enum bb_member_status)m->members[index].status;
}

const struct bb_member_stats *
bb_members_stats (const struct bb_members *m)
{
  return &m->stats;
}

uint32_t
bb_members_live_count (const struct bb_members *m)
{
  uint32_t live = 0;

  for (uint32_t i = 0; i < m->directory->count; i++)
    live += m->members[i].status == BB_MEMBER_STATUS_ALIVE
            || m->members[i].status == BB_MEMBER_STATUS_SUSPECT;
  return live;
}
