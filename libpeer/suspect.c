/* Messages about requests that crash upstreams.  */

#include "bilberry/peer.h"

void
bb_put_crash (msgpack_sbuffer *out, const struct bb_crash *c)
{
  struct bb_suspect m = { .fingerprint = c->fingerprint,
                          .event = c->event,
                          .prior = c->prior,
                          .age_ms = (uint32_t)c->age_ms };

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

bool
bb_poison_receive (struct bb_poison *p, const struct bb_suspect *m, bb_ms now)
{
  struct bb_crash c = { .fingerprint = m->fingerprint,
                        .event = m->event,
                        .prior = m->prior,
                        .age_ms = m->age_ms };

  if (m->event == 0)
    return bb_poison_clear (p, m->fingerprint, now - (bb_ms)m->age_ms);
  return bb_poison_record_crash (p, &c, now);
}
