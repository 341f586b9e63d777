#include "bilberry/base.h"

#include <time.h>

static bb_ms
read_clock (clockid_t id)
{
  struct timespec ts;

  clock_gettime (id, &ts);
  return (bb_ms)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

bb_ms
bb_clock_now (void)
{
  return read_clock (CLOCK_MONOTONIC);
}

bb_ms
bb_clock_boot (void)
{
  return read_clock (CLOCK_BOOTTIME);
}
