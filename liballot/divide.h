#ifndef LIBALLOT_DIVIDE_H
#define LIBALLOT_DIVIDE_H

#include "bilberry/allot.h"

/* An edge in a division, or the sum of several.  */
struct bb_divide_row
{
  uint64_t id;
  bool own;
  uint32_t edges;                     /* in the sum; 1 for a single edge */
  double demand[BB_ALLOT_PRIORITIES]; /* requests in flight and queued */
  bool waits[BB_ALLOT_PRIORITIES];    /* some are queued */
  uint32_t in_flight;
  double expected; /* weight of its part of what demand leaves */
  /* Set by bb_divide: the most requests in flight of this and more urgent
     priorities.  */
  uint32_t cumulative[BB_ALLOT_PRIORITIES];
  bool settled; /* the quota is below what it holds, or its minimum */
};

/* Adds the report of E to ROW.  INTERVAL_MS is the time between messages.  */
void bb_divide_add (struct bb_divide_row *row, const struct bb_allot_edge *e,
                    bb_ms interval_ms);

/* Divides LIMIT requests between ROWS, an array of COUNT, as bb_allot_update
   describes.  Rows in the same order give the same result everywhere.  */
void bb_divide (struct bb_divide_row *rows, uint32_t count, double limit);

#endif
