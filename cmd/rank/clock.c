/* The time of the event loop.  */

#include "rank.h"

bb_ms
agent_now (const struct agent *a)
{
  return (bb_ms)uv_now (a->loop);
}
