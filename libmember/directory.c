/* The sorted list of members.  */

#include "internal.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

uint64_t
bb_peer_id (enum bb_role role, const char *name)
{
  return XXH64 (name, strlen (name), (uint64_t)role);
}

static int
by_id (const void *a, const void *b)
{
  uint64_t x = ((const struct bb_peer *)a)->id;
  uint64_t y = ((const struct bb_peer *)b)->id;

  return (x > y) - (x < y);
}

void
bb_directory_sort (struct bb_directory *d)
{
  if (d->count > 0)
    qsort (d->peers, d->count, sizeof *d->peers, by_id);
}

uint32_t
bb_directory_find (const struct bb_directory *d, uint64_t id)
{
  const struct bb_peer want = { .id = id };
  const struct bb_peer *found;

  if (d->count == 0)
    return BB_MEMBER_NONE;
  found = bsearch (&want, d->peers, d->count, sizeof *d->peers, by_id);
  return found ? (uint32_t)(found - d->peers) : BB_MEMBER_NONE;
}
