#include "bilberry/base.h"

#include <time.h>

bb_ms
bb_clock_now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (bb_ms)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}
