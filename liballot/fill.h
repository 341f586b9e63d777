#ifndef LIBALLOT_FILL_H
#define LIBALLOT_FILL_H

#include <stdint.h>

/* A customer, or several alike, in progressive filling.  */
struct bb_fill_item
{
  double demand; /* of all of them */
  double weight; /* of all of them, above 0 */
};

/* Returns the level up to which all ITEMS, an array of COUNT that is sorted by
   this function, are filled: each gets its demand, but not more than its
   weight times the level, and all together get CAPACITY.  Where all demand
   fits, what is left raises the level above the highest demand.  */
double bb_fill_level (struct bb_fill_item *items, uint32_t count,
                      double capacity);

#endif
