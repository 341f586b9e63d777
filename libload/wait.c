#include "bilberry/load.h"

enum
{
  COMEBACK_LEAST_MS = 30,
  COMEBACK_SPREAD_PERCENT = 30,
  COMEBACK_SHARE_PERCENT = 32 /* of the caller's time left; a third is
                                 honoured */
};

bb_ms
bb_retry_delay_ms (bb_ms expected_ms, bb_ms left_ms, double draw)
{
  bb_ms most = left_ms * COMEBACK_SHARE_PERCENT / 100;
  bb_ms ms
      = expected_ms
        + (bb_ms)((double)expected_ms * COMEBACK_SPREAD_PERCENT / 100 * draw);

  if (ms > most)
    ms = most - (bb_ms)((double)most * draw / 10);
  return ms > COMEBACK_LEAST_MS ? ms : COMEBACK_LEAST_MS;
}

bool
bb_queued_request_before (const struct bb_queued_request *a,
                          const struct bb_queued_request *b, bb_ms now,
                          bb_ms first_event_ms)
{
  bool a_timely = now + first_event_ms <= a->slo_deadline_ms;
  bool b_timely = now + first_event_ms <= b->slo_deadline_ms;

  if (a->priority != b->priority)
    return a->priority < b->priority;
  if (a_timely != b_timely)
    return a_timely;
  if (a->customer_in_flight != b->customer_in_flight)
    return a->customer_in_flight < b->customer_in_flight;
  return a->arrived_ms < b->arrived_ms;
}
