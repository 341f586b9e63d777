#include "bilberry/load.h"

enum
{
  DELAY_MIN_MS = 30,
  JITTER_PERCENT = 30,
  REMAINING_SHARE_PERCENT = 32 /* callers ignore a delay above a third
                                  of their remaining time */
};

bb_ms
bb_retry_delay_ms (bb_ms expected_ms, bb_ms remaining_ms, double draw)
{
  bb_ms max_ms = remaining_ms * REMAINING_SHARE_PERCENT / 100;
  bb_ms ms = expected_ms
             + (bb_ms)((double)expected_ms * JITTER_PERCENT / 100 * draw);

  if (ms > max_ms)
    ms = max_ms - (bb_ms)((double)max_ms * draw / 10);
  return ms > DELAY_MIN_MS ? ms : DELAY_MIN_MS;
}

bool
bb_queued_request_before (const struct bb_queued_request *a,
                          const struct bb_queued_request *b, bb_ms now,
                          bb_ms first_event_ms)
{
  bool a_meets_slo = now + first_event_ms <= a->slo_deadline_ms;
  bool b_meets_slo = now + first_event_ms <= b->slo_deadline_ms;

  if (a->priority != b->priority)
    return a->priority < b->priority;
  if (a_meets_slo != b_meets_slo)
    return a_meets_slo;
  if (a->customer_in_flight != b->customer_in_flight)
    return a->customer_in_flight < b->customer_in_flight;
  return a->arrived_ms < b->arrived_ms;
}
