/* Chooses the upstream of an idempotent call.  */

#include "entry.h"

#include <string.h>

enum
{
  CANDIDATES_MAX = 256
};

struct link *
choose_link (struct request *q)
{
  struct entry *e = q->entry;
  struct bb_candidate c[CANDIDATES_MAX];
  struct link *links[CANDIDATES_MAX];
  uint32_t count = 0;
  uint32_t i;

  for (struct link *l = e->links; l && count < CANDIDATES_MAX; l = l->next)
    {
      if (!l->in || !l->ready || l->load.draining
          || strcmp (l->pool, q->pool) != 0)
        continue;
      c[count].own_in_flight = l->in_flight;
      c[count].reported = l->load.in_flight + l->load.queued;
      c[count].limit = l->load.limit;
      c[count].tried = l == q->tried;
      links[count++] = l;
    }
  i = bb_route_choose (c, count, e->rand);
  return i == BB_ROUTE_NONE ? NULL : links[i];
}
