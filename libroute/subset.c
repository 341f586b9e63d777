/* Chooses the upstreams whose agents an entry connects to.  */

#include "bilberry/route.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

struct ranked_item
{
  struct bb_subset_item *item;
  uint64_t hash;
  /* Position by hash within the failure domain, 0 for the highest.  */
  uint32_t rank;
};

static int
compare_by_domain_and_hash (const void *a, const void *b)
{
  const struct ranked_item *x = a;
  const struct ranked_item *y = b;
  int order = strcmp (x->item->failure_domain, y->item->failure_domain);

  if (order != 0)
    return order;
  return x->hash > y->hash ? -1 : x->hash < y->hash;
}

static int
compare_by_rank_and_hash (const void *a, const void *b)
{
  const struct ranked_item *x = a;
  const struct ranked_item *y = b;

  if (x->rank != y->rank)
    return x->rank < y->rank ? -1 : 1;
  return x->hash > y->hash ? -1 : x->hash < y->hash;
}

static bool
is_same_domain (const struct ranked_item *a, const struct ranked_item *b)
{
  return strcmp (a->item->failure_domain, b->item->failure_domain) == 0;
}

void
bb_subset_choose (struct bb_subset_item *items, uint32_t count, uint32_t max,
                  const char *entry)
{
  struct ranked_item *r = calloc (count + 1, sizeof *r);
  uint64_t seed = XXH64 (entry, strlen (entry), 0);

  if (!r)
    abort ();
  for (uint32_t i = 0; i < count; i++)
    {
      r[i].item = &items[i];
      r[i].hash = XXH64 (items[i].name, strlen (items[i].name), seed);
    }
  qsort (r, count, sizeof *r, compare_by_domain_and_hash);
  for (uint32_t i = 1; i < count; i++)
    r[i].rank = is_same_domain (&r[i - 1], &r[i]) ? r[i - 1].rank + 1 : 0;
  qsort (r, count, sizeof *r, compare_by_rank_and_hash);
  for (uint32_t i = 0; i < count; i++)
    r[i].item->chosen = i < max;
  free (r);
}
