/* Share of one entry in the limit of a customer.  */

#include "bilberry/route.h"

uint32_t
bb_customer_share (uint32_t entry_limit, uint32_t fleet_limit,
                   uint32_t entries)
{
  uint32_t share;

  if (fleet_limit == 0 || entries == 0)
    return entry_limit;
  share = fleet_limit / entries + (fleet_limit % entries > 0 ? 1 : 0);
#ifndef BB_MUTANT_fleet_limit
  return share < entry_limit ? share : entry_limit;
#else
  return share > entry_limit ? share : entry_limit;
#endif
}
