#include "bilberry/map.h"

#include <string.h>
#include <xxhash.h>

uint32_t
bb_turn_owner (const char *const *groups, uint32_t count, uint64_t slot)
{
  uint32_t best = 0;
  uint64_t highest = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      uint64_t hash
          = XXH3_64bits_withSeed (groups[i], strlen (groups[i]), slot);
      if (i == 0 || hash > highest
          || (hash == highest && strcmp (groups[i], groups[best]) < 0))
        {
          highest = hash;
          best = i;
        }
    }
  return best;
}

bool
bb_turn_is_open (const char *const *groups, uint32_t count, uint32_t self,
                 bb_ms wall_ms, bb_ms slot_ms, bb_ms guard_ms, bb_ms need_ms)
{
  bb_ms offset_ms = wall_ms % slot_ms;

  return bb_turn_owner (groups, count, (uint64_t)(wall_ms / slot_ms)) == self
         && offset_ms >= guard_ms && offset_ms + need_ms + guard_ms <= slot_ms;
}
