/* Histograms of how long requests took, for the metrics address.  */

#include "edge.h"

static struct bb_histogram histograms[LATENCY_KINDS];

void
latency_start (void)
{
  static const char *const names[LATENCY_KINDS]
      = { "bilberry_wait_ms", "bilberry_first_event_ms",
          "bilberry_answer_ms" };

  for (uint32_t i = 0; i < LATENCY_KINDS; i++)
    bb_histogram_register (&histograms[i], names[i], "");
}

void
latency_record (enum latency_kind kind, bb_ms since_ms, bb_ms now)
{
  bb_histogram_add (&histograms[kind],
                    now > since_ms ? (uint64_t)(now - since_ms) : 0);
}
