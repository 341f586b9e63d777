#include "group_map.h"

void
group_map_fill (uint16_t *map, const struct bb_group_size *s)
{
  for (uint32_t set = 0; set < s->sets; set++)
    for (uint32_t p = 0; p < s->places; p++)
      for (uint32_t r = 0; r < s->ranks; r++)
        map[(((size_t)set * s->ranks) + r) * s->places + p]
            = (uint16_t)((p * s->ranks + r + p * s->ranks / s->experts)
                         % s->experts);
}
