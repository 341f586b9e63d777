#include "bilberry/load.h"

enum
{
  WATCHERS_MAX = 4 /* with one down and two disconnected, one is left */
};

bool
bb_should_watch_store (uint32_t watchers_before)
{
  return watchers_before < WATCHERS_MAX;
}
