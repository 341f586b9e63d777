/* Weighted max-min by progressive filling.  */

#include "fill.h"

#include <stdlib.h>

static int
compare_needs (const void *a, const void *b)
{
  const struct bb_fill_item *x = a;
  const struct bb_fill_item *y = b;
  double need_x = x->demand / x->weight;
  double need_y = y->demand / y->weight;

  return (need_x > need_y) - (need_x < need_y);
}

double
bb_fill_level (struct bb_fill_item *items, uint32_t count, double capacity)
{
  double left = capacity;
  double weight = 0;
  double need = 0;

  qsort (items, count, sizeof *items, compare_needs);
  for (uint32_t i = 0; i < count; i++)
    weight += items[i].weight;
  for (uint32_t i = 0; i < count; i++)
    {
      need = items[i].demand / items[i].weight;
      if (need * weight > left)
        return left / weight;
      if (i + 1 == count)
        break;
      left -= items[i].demand;
      weight -= items[i].weight;
    }
  return count > 0 ? left / weight : capacity;
}
