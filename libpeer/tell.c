/* Tells peers of requests and parts of prompts that crash upstreams, and of
   upstreams in use for isolated requests.  What is new from one peer is
   forwarded to the others.  */

#include "internal.h"

#include <utlist.h>

uint32_t
peer_count_open (const struct bb_peers *p)
{
  const struct peer *peer;
  uint32_t n = 0;

  DL_FOREACH (p->peers, peer)
  n += peer->open;
  return n;
}

void
peer_send_to_all (struct bb_peers *p, const struct peer *except,
                  msgpack_sbuffer *frames)
{
  struct peer *peer;

  DL_FOREACH (p->peers, peer)
  if (peer->open && peer != except)
    msgpack_sbuffer_write (bb_conn_out (peer->conn), frames->data,
                           frames->size);
  msgpack_sbuffer_destroy (frames);
}

static void
tell_crash (struct bb_peers *p, const struct peer *except,
            const struct bb_suspect *m)
{
  msgpack_sbuffer frame;

  msgpack_sbuffer_init (&frame);
  bb_put_suspect (&frame, m);
  peer_send_to_all (p, except, &frame);
}

static void
tell_part_crash (struct bb_peers *p, const struct peer *except,
                 const struct bb_part_crash *c)
{
  msgpack_sbuffer frame;

  msgpack_sbuffer_init (&frame);
  bb_put_part_crash (&frame, c);
  peer_send_to_all (p, except, &frame);
}

static void
tell_sound_part (struct bb_peers *p, const struct peer *except, uint64_t part)
{
  struct bb_sound_part m = { .part = part };
  msgpack_sbuffer frame;

  msgpack_sbuffer_init (&frame);
  bb_put_sound_part (&frame, &m);
  peer_send_to_all (p, except, &frame);
}

void
peer_on_suspect (struct peer *from, const struct bb_suspect *m)
{
  struct bb_peers *p = from->owner;

  if (!bb_poison_receive (p->poison, m, peer_now_ms (p)))
    return;
  tell_crash (p, from, m);
  if (p->ops->on_suspect)
    p->ops->on_suspect (m, p->user);
}

void
peer_on_suspect_parts (struct peer *from, const struct bb_suspect_parts *m)
{
  struct bb_peers *p = from->owner;
  const struct bb_part_crash *c = bb_parts_receive (
      p->parts, m, bb_conn_out (from->conn), peer_now_ms (p));

  if (!c)
    return;
  tell_part_crash (p, from, c);
  if (p->ops->on_part_crash)
    p->ops->on_part_crash (c, p->user);
}

void
peer_on_sound_part (struct peer *from, const struct bb_sound_part *m)
{
  struct bb_peers *p = from->owner;

  if (!bb_parts_record_sound (p->parts, m->part, peer_now_ms (p)))
    return;
  tell_sound_part (p, from, m->part);
  if (p->ops->on_sound_part)
    p->ops->on_sound_part (m->part, p->user);
}

void
peer_on_isolated (struct peer *from, const struct bb_peer_isolated *m)
{
  struct bb_peers *p = from->owner;

  if (p->ops->on_isolated)
    p->ops->on_isolated (from->name ? from->name : "", m, p->user);
}

void
bb_peers_broadcast_crash (struct bb_peers *p, const struct bb_crash *c)
{
  struct bb_suspect m = bb_suspect_of (c);

  tell_crash (p, NULL, &m);
}

void
bb_peers_broadcast_part_crash (struct bb_peers *p,
                               const struct bb_part_crash *c)
{
  tell_part_crash (p, NULL, c);
}

void
bb_peers_broadcast_sound_part (struct bb_peers *p, uint64_t part)
{
  tell_sound_part (p, NULL, part);
}

void
bb_peers_broadcast_isolated (struct bb_peers *p,
                             const struct bb_peer_isolated *m)
{
  msgpack_sbuffer frame;

  msgpack_sbuffer_init (&frame);
  bb_put_peer_isolated (&frame, m);
  peer_send_to_all (p, NULL, &frame);
}
