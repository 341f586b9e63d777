/* The rows of maps: the first map of a group, and one order of each row.  */

#include "bilberry/group.h"

#include <stdlib.h>
#include <string.h>

static int
compare_experts (const void *a, const void *b)
{
  uint16_t x = *(const uint16_t *)a;
  uint16_t y = *(const uint16_t *)b;

  return (x > y) - (x < y);
}

void
bb_group_sort_rows (const struct bb_group_size *s, uint16_t *map)
{
  for (size_t row = 0; row < (size_t)s->sets * s->ranks; row++)
    qsort (map + row * s->places, s->places, sizeof *map, compare_experts);
}

void
bb_group_initial_map (const struct bb_group_size *s, uint16_t *map)
{
  memset (map, 0xff, bb_group_places (s) * sizeof *map);
  for (uint32_t set = 0; set < s->sets; set++)
    for (uint32_t e = 0; e < s->experts && e / s->ranks < s->places; e++)
      map[((size_t)set * s->ranks + e % s->ranks) * s->places + e / s->ranks]
          = (uint16_t)e;
}
