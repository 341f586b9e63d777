/* Messages about requests that crash upstreams.  */

#include "bilberry/peer.h"

struct bb_suspect
bb_suspect_of (const struct bb_crash *c)
{
  struct bb_suspect m = { .fingerprint = c->fingerprint,
                          .event = c->event,
                          .prior = c->prior,
                          .age_ms = (uint32_t)c->age_ms };

  return m;
}

void
bb_put_crash (msgpack_sbuffer *out, const struct bb_crash *c)
{
  struct bb_suspect m = bb_suspect_of (c);

  bb_put_suspect (out, &m);
}

static void
put_known (void *arg, const struct bb_crash *c)
{
  bb_put_crash (arg, c);
}

void
bb_put_crashes (msgpack_sbuffer *out, struct bb_poison *p, bb_ms now)
{
  bb_poison_each (p, now, put_known, out);
}

struct bb_crash
bb_crash_of (const struct bb_suspect *m)
{
  struct bb_crash c = { .fingerprint = m->fingerprint,
                        .event = m->event,
                        .prior = m->prior,
                        .age_ms = m->age_ms };

  return c;
}

bool
bb_poison_receive (struct bb_poison *p, const struct bb_suspect *m, bb_ms now)
{
  struct bb_crash c = bb_crash_of (m);

  if (c.event == 0)
    return bb_poison_clear (p, c.fingerprint, now - c.age_ms);
  return bb_poison_record_crash (p, &c, now);
}

void
bb_put_part_crash (msgpack_sbuffer *out, const struct bb_part_crash *c)
{
  struct bb_suspect_parts m = { .event = c->event,
                                .request = c->request,
                                .parts_count = c->parts_count,
                                .isolated = c->isolated,
                                .quarantined = c->quarantined,
                                .age_ms = (uint32_t)c->age_ms };

  for (uint32_t i = 0; i < c->parts_count; i++)
    m.parts[i].part = c->parts[i];
  bb_put_suspect_parts (out, &m);
}

static void
put_known_part_crash (void *arg, const struct bb_part_crash *c)
{
  bb_put_part_crash (arg, c);
}

void
bb_put_part_crashes (msgpack_sbuffer *out, struct bb_parts *p, bb_ms now)
{
  bb_parts_each (p, now, put_known_part_crash, out);
}

const struct bb_part_crash *
bb_parts_receive (struct bb_parts *p, const struct bb_suspect_parts *m,
                  msgpack_sbuffer *reply, bb_ms now)
{
  struct bb_part_crash c = { .event = m->event,
                             .request = m->request,
                             .parts_count = m->parts_count,
                             .isolated = m->isolated,
                             .quarantined = m->quarantined,
                             .age_ms = m->age_ms };

  for (uint32_t i = 0; i < m->parts_count; i++)
    {
      struct bb_sound_part sound = { .part = m->parts[i].part };
      c.parts[i] = sound.part;
      if (bb_parts_is_sound (p, sound.part, now))
        bb_put_sound_part (reply, &sound);
    }
  return bb_parts_record_crash (p, &c, now);
}
