/* Chooses the upstream of a non-idempotent call.  One key always goes to the
   same agent, its home, which remembers what ran.  */

#include "entry.h"

#include <string.h>
#include <xxhash.h>

struct link *
home_link (struct request *q)
{
  struct link *home = NULL;
  uint64_t best = 0;

  for (struct link *l = q->entry->links; l; l = l->next)
    {
      uint64_t score;
      if (l->gone || strcmp (l->pool, q->pool) != 0)
        continue;
      score = XXH64 (l->name, strlen (l->name), q->key_hash);
      if (home && score <= best)
        continue;
      home = l;
      best = score;
    }
  if (!home || !home->in || !home->ready || home->load.draining)
    return NULL;
  return home;
}
