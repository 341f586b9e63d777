/* Log of the switch.  */

#include "leader.h"

#include <jansson.h>

void
leader_log_phase (struct leader *l)
{
  const struct bb_group_switch *s = &l->map_switch;

  if (s->phase == l->logged_phase)
    return;
  l->logged_phase = s->phase;
  bb_log_event ("switch", "{s:s, s:I, s:I, s:I, s:i, s:i}", "phase",
                bb_group_switch_phase_name (s->phase), "version",
                (json_int_t)s->version, "step", (json_int_t)s->step, "epoch",
                (json_int_t)s->epoch, "switches", (int)s->switches,
                "abandoned", (int)s->abandoned);
}
