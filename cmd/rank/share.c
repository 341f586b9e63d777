/* The share of the VM's link that counts and maps may use.  The rest is for
   callers' requests, states and orders.  */

#include "rank.h"

enum
{
  COUNTS_INTERVAL_MIN_MS = 90,
  COUNTS_PER_MS = 32, /* counts that are read, at most */
  /* Of one count, for the choice of the fan-out, which must not follow each
     change of their size.  */
  COUNT_PACKED_BYTES = 1,
  BITS_PER_BYTE = 8,
  KILOBITS_PER_MBIT = 1000
};

/* Fraction of the link for counts that arrive, for maps that are sent, and for
   orders.  */
static const double link_share = 0.25;

double
share_bytes_per_ms (const struct agent *a)
{
  return a->settings->link_mbps * KILOBITS_PER_MBIT / BITS_PER_BYTE
         * link_share;
}

/* Returns the size of the counts that one agent sends.  */
static double
counts_bytes (const struct agent *a)
{
  const struct engine *e = &a->engine;

  return (double)(e->packed_counts_bytes > 0
                      ? e->packed_counts_bytes
                      : e->counts_count * sizeof (uint16_t));
}

static bb_ms
interval_min_ms (const struct agent *a)
{
  bb_ms ms = a->engine.counts_count / COUNTS_PER_MS;

  return ms > COUNTS_INTERVAL_MIN_MS ? ms : COUNTS_INTERVAL_MIN_MS;
}

uint32_t
share_fan_out (const struct agent *a)
{
  double share = share_bytes_per_ms (a);
  double bytes = share > 0 ? a->engine.counts_count * COUNT_PACKED_BYTES : 0;

  return bb_group_fan_out (a->engine.report.group_size, bytes,
                           share * (double)interval_min_ms (a));
}

bb_ms
share_counts_interval_ms (const struct agent *a)
{
  return bb_group_counts_interval_ms (share_fan_out (a), counts_bytes (a),
                                      share_bytes_per_ms (a),
                                      interval_min_ms (a));
}

bb_ms
share_counts_delay_ms (const struct agent *a)
{
  bool has_heads = share_fan_out (a) + 1 < a->engine.report.group_size;

  return has_heads ? share_counts_interval_ms (a) : 0;
}
