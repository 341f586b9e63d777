/* Histograms of how long requests took, for the metrics address.  */

#include "edge.h"

static struct bb_histogram times[TIMES];

void
times_start (void)
{
  static const char *const names[TIMES]
      = { "bilberry_wait_ms", "bilberry_first_event_ms",
          "bilberry_answer_ms" };

  for (uint32_t i = 0; i < TIMES; i++)
    bb_histogram_register (&times[i], names[i], "");
}

void
times_add (enum times_of what, bb_ms since_ms, bb_ms now)
{
  bb_histogram_add (&times[what],
                    now > since_ms ? (uint64_t)(now - since_ms) : 0);
}
