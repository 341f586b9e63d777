/* Which agents an entry holds links to.  */

#include "bilberry/route.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

struct ranked
{
  struct bb_subset_item *item;
  uint64_t hash;
  uint32_t rank; /* by hash within the failure domain */
};

static int
by_domain_and_hash (const void *a, const void *b)
{
  const struct ranked *x = a;
  const struct ranked *y = b;
  int order = strcmp (x->item->failure_domain, y->item->failure_domain);

  if (order != 0)
    return order;
  return x->hash > y->hash ? -1 : x->hash < y->hash;
}

static int
by_rank_and_hash (const void *a, const void *b)
{
  const struct ranked *x = a;
  const struct ranked *y = b;

  if (x->rank != y->rank)
    return x->rank < y->rank ? -1 : 1;
  return x->hash > y->hash ? -1 : x->hash < y->hash;
}

static bool
same_domain (const struct ranked *a, const struct ranked *b)
{
  return strcmp (a->item->failure_domain, b->item->failure_domain) == 0;
}

void
bb_subset_choose (struct bb_subset_item *items, uint32_t count, uint32_t max,
                  const char *entry)
{
  struct ranked *r = calloc (count + 1, sizeof *r);
  uint64_t seed = XXH64 (entry, strlen (entry), 0);

  if (!r)
    abort ();
  for (uint32_t i = 0; i < count; i++)
    {
      r[i].item = &items[i];
      r[i].hash = XXH64 (items[i].name, strlen (items[i].name), seed);
    }
  qsort (r, count, sizeof *r, by_domain_and_hash);
  for (uint32_t i = 1; i < count; i++)
    r[i].rank = same_domain (&r[i - 1], &r[i]) ? r[i - 1].rank + 1 : 0;
  qsort (r, count, sizeof *r, by_rank_and_hash);
  for (uint32_t i = 0; i < count; i++)
    r[i].item->chosen = i < max;
  free (r);
}
