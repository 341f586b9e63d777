/* Time slots in which the groups of a pool may move weights, one group at a
   time.  */

#include "rank.h"

#include <string.h>

enum
{
  SLOT_MS = 30000,
  GUARD_MS = 1000,       /* largest difference between the clocks of VMs */
  SWITCH_MAX_MS = 15000, /* longest time to load the weights and switch maps */
  GROUPS_MAX = 256
};

/* Returns the pool of GROUP, which is that of the upstream on the VM of one of
   its ranks; NULL if the settings name none.  */
static const char *
pool_of_group (const struct bb_settings *s, const char *group)
{
  for (uint32_t i = 0; i < s->ranks_count; i++)
    if (strcmp (s->ranks[i].group, group) == 0)
      {
        const struct bb_upstream_settings *u
            = bb_settings_upstream (s, s->ranks[i].name);
        if (u)
          return u->pool;
      }
  return NULL;
}

bool
rank_may_move_weights (const struct rank *r, bb_ms wall_ms)
{
  const struct bb_settings *s = r->daemon->settings;
  const char *own_pool = pool_of_group (s, r->group);
  const char *names[GROUPS_MAX];
  uint32_t count = 0;
  uint32_t self = 0;

  for (uint32_t i = 0; i < s->groups_count && count < GROUPS_MAX; i++)
    {
      const char *pool = pool_of_group (s, s->groups[i].name);
      if (!pool || !own_pool || strcmp (pool, own_pool) != 0)
        continue;
      if (strcmp (s->groups[i].name, r->group) == 0)
        self = count;
      names[count++] = s->groups[i].name;
    }
  /* The only group of a pool needs no slot.  */
  if (count < 2)
    return true;
  return bb_turn_is_open (names, count, self, wall_ms, SLOT_MS, GUARD_MS,
                          SWITCH_MAX_MS);
}
