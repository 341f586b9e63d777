#ifndef GROUP_MAP_H
#define GROUP_MAP_H

/* Expert maps for tests.  */

#include "bilberry/group.h"

/* Fills MAP, of the dimensions S, with the experts of each set in turn.  */
void group_map_fill (uint16_t *map, const struct bb_group_size *s);

#endif
