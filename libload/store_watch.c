#include "bilberry/load.h"

enum
{
  WATCHERS_MAX = 4 /* one is left when one is down and two are disconnected */
};

bool
bb_should_watch_store (uint32_t watchers_before)
{
  return watchers_before < WATCHERS_MAX;
}
