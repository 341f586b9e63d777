/* Orders requests by the priority of their customer, and those of equal
   customers by the priority of their route.  */

#include "bilberry/fleet.h"

enum
{
  LAST = BB_PRIORITY_CLASSES - 1
};

static uint32_t
clip (uint32_t priority)
{
  return priority < LAST ? priority : LAST;
}

void
bb_config_rank_priorities (struct bb_config *c)
{
  bool used[BB_PRIORITY_CLASSES][BB_PRIORITY_CLASSES] = { { false } };
  uint32_t count = 0;
  uint32_t rank = 0;

  for (guint i = 0; i < c->routes->len; i++)
    {
      const struct bb_route *r = g_ptr_array_index (c->routes, i);
      uint32_t of_route = clip (r->priority);
      used[of_route][of_route] = true;
      for (guint k = 0; k < c->customers->len; k++)
        {
          const struct bb_fleet_customer *customer
              = g_ptr_array_index (c->customers, k);
          if (customer->priority >= 0)
            used[clip ((uint32_t)customer->priority)][of_route] = true;
        }
    }
  for (uint32_t i = 0; i < BB_PRIORITY_CLASSES; i++)
    for (uint32_t k = 0; k < BB_PRIORITY_CLASSES; k++)
      count += used[i][k];
  for (uint32_t i = 0; i < BB_PRIORITY_CLASSES; i++)
    for (uint32_t k = 0; k < BB_PRIORITY_CLASSES; k++)
      {
        c->priority_classes[i][k]
            = (uint8_t)(count <= BB_PRIORITY_CLASSES
                            ? rank
                            : rank * BB_PRIORITY_CLASSES / count);
        rank += used[i][k];
      }
}

uint32_t
bb_config_priority_class (const struct bb_config *c, uint32_t priority,
                          uint32_t route_priority)
{
  uint32_t class = c->priority_classes[clip (priority)][clip (route_priority)];

  return clip (class);
}
