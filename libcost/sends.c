#include "bilberry/cost.h"

#include <math.h>

enum
{
  SENDS_DECAY_MS = 1000
};

static void
decay_sends (struct bb_place_sends *s, bb_ms now)
{
  bb_ms age = now > s->decayed_ms ? now - s->decayed_ms : 0;
  double left = exp (-(double)age / SENDS_DECAY_MS);

  s->requests *= left;
  s->prefill_ms *= left;
  s->decode_ms *= left;
  s->decayed_ms = now;
}

void
bb_place_sends_add (struct bb_place_sends *s, const struct bb_cost_estimate *e,
                    bb_ms now)
{
  decay_sends (s, now);
  s->requests++;
  s->prefill_ms += e->prefill_ms;
  s->decode_ms += e->decode_ms;
}

double
bb_place_sends_unseen (struct bb_place_sends *s, uint32_t peers, bb_ms age_ms,
                       bb_ms now)
{
  decay_sends (s, now);
  return s->requests * peers * (double)age_ms / SENDS_DECAY_MS;
}
