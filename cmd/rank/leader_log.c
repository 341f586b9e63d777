/* Log of the switch.  */

#include "leader.h"

#include <jansson.h>

void
leader_log_phase (struct leader *l)
{
  const struct bb_group_switch *s = &l->map_switch;

  if (s->abandoned != l->logged_abandoned)
    bb_log_event ("switch_abandoned", "{s:s, s:I}", "why", s->abandoned_why,
                  "version", (json_int_t)s->version);
  l->logged_abandoned = s->abandoned;
  if (s->phase == l->logged_phase)
    return;
  l->logged_phase = s->phase;
  bb_log_event ("switch", "{s:s, s:I, s:I, s:I, s:I, s:i, s:i}", "phase",
                bb_group_switch_phase_name (s->phase), "version",
                (json_int_t)s->version, "step", (json_int_t)s->step, "epoch",
                (json_int_t)s->epoch, "fence", (json_int_t)s->fence,
                "switches", (int)s->switches, "abandoned", (int)s->abandoned);
}
