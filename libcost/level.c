/* Chooses the lowest of several levels, or draws one as water fills them,
   where others choose at the same time.  */

#include "internal.h"

#include <math.h>
#include <stdlib.h>

static int
compare_levels (const void *a, const void *b)
{
  const struct level_item *x = a;
  const struct level_item *y = b;

  return (x->level > y->level) - (x->level < y->level);
}

/* Returns the level up to which AMOUNT raises all that are lower, of ITEMS in
   ascending order; only the own ones where OWN.  */
static double
fill_level (const struct level_item *items, uint32_t count, bool own,
            double amount)
{
  double sum = amount;
  double width = 0;
  double level = INFINITY;

  for (uint32_t i = 0; i < count && items[i].level < level; i++)
    {
      if (own && !items[i].own)
        continue;
      sum += items[i].level * items[i].width;
      width += items[i].width;
      level = sum / width;
    }
  return level;
}

/* Returns the item that *DRAW selects below LEVEL, each with a chance in
   proportion to its room.  */
static const struct level_item *
draw_below (const struct level_item *items, uint32_t count, bool own,
            double level, double amount, double *draw, double *share)
{
  const struct level_item *last = NULL;
  double left = *draw * amount;

  for (uint32_t i = 0; i < count; i++)
    {
      double room = (level - items[i].level) * items[i].width;
      if ((own && !items[i].own) || room <= 0)
        continue;
      last = &items[i];
      *share = room / amount;
      *draw = fmin (left / room, 1);
      left -= room;
      if (left < 0)
        break;
    }
  return last;
}

/* Returns the lowest of ITEMS, in ascending order; one of the own failure
   domain if it is higher by no more than SLACK.  Of equal ones, *DRAW
   decides.  */
static const struct level_item *
lowest (const struct level_item *items, uint32_t count, double slack,
        double *draw)
{
  /* Rounding makes levels differ that are equal.  */
  static const double tie_ratio = 1 + 1e-9;
  const struct level_item *end = items + count;
  const struct level_item *first = items;
  double equals = 0;
  double position;

  for (const struct level_item *i = items;
       i < end && i->level <= items->level + slack && !first->own; i++)
    if (i->own)
      first = i;
  for (const struct level_item *i = first;
       i < end && i->level <= first->level * tie_ratio; i++)
    equals += i->own == first->own;
  position = *draw * equals;
  for (const struct level_item *i = first; i < end; i++)
    {
      if (i->own != first->own)
        continue;
      if (position < 1 || --equals < 1)
        {
          *draw = fmin (position, 1);
          return i;
        }
      position--;
    }
  return first;
}

const struct level_item *
level_choose (struct level_item *items, uint32_t count, double unit,
              double unseen, double *draw, double *share)
{
  /* Parts of a request by which the own failure domain may be fuller: its
     lowest upstream, and its mean where upstreams are drawn.  */
  static const double lowest_slack = 1;
  static const double mean_slack = 0.5;
  double amount = (unseen + 1) * unit;
  double width = 0;
  double own_width = 0;
  double own_amount;
  double own_level;
  double level;

  qsort (items, count, sizeof *items, compare_levels);
  *share = 1;
#ifndef BB_MUTANT_place_unseen
  if (unseen < 1)
#endif
    return lowest (items, count, lowest_slack * unit, draw);
  for (uint32_t i = 0; i < count; i++)
    {
      width += items[i].width;
      own_width += items[i].own ? items[i].width : 0;
    }
  own_amount = amount * own_width / width;
  level = fill_level (items, count, false, amount);
  own_level = fill_level (items, count, true, own_amount);
  if (own_width > 0 && own_level <= level + mean_slack * unit)
    return draw_below (items, count, true, own_level, own_amount, draw, share);
  return draw_below (items, count, false, level, amount, draw, share);
}
