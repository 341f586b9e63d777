/* Remembers which upstreams probably have a prompt's prefix in their cache.
 */

#include "bilberry/route.h"

#include <xxhash.h>

enum
{
  BLOCK_BYTES = 256
};

void
bb_prefix_hash (struct bb_prefix *p, struct bb_bytes text)
{
  uint64_t hash = 0;

  p->count = 0;
  while (p->count < BB_PREFIX_BLOCKS_MAX && text.size >= BLOCK_BYTES)
    {
      hash = XXH64 (text.ptr, BLOCK_BYTES, hash);
      p->hashes[p->count++] = hash;
      text.ptr += BLOCK_BYTES;
      text.size -= BLOCK_BYTES;
    }
}

uint64_t
bb_prefix_find (const struct bb_prefix_table *t, const struct bb_prefix *p)
{
  for (uint32_t i = p->count; i > 1; i--)
    {
      uint64_t hash = p->hashes[i - 1];
      if (t->hashes[hash % BB_PREFIX_SLOTS] == hash)
        return t->holders[hash % BB_PREFIX_SLOTS];
    }
  return 0;
}

uint64_t
bb_prefix_score (const struct bb_prefix *p, uint64_t holder)
{
  return p->count == 0 ? 0 : XXH64 (&holder, sizeof holder, p->hashes[0]);
}

void
bb_prefix_put (struct bb_prefix_table *t, const struct bb_prefix *p,
               uint64_t holder)
{
  for (uint32_t i = 1; i < p->count; i++)
    {
      t->hashes[p->hashes[i] % BB_PREFIX_SLOTS] = p->hashes[i];
      t->holders[p->hashes[i] % BB_PREFIX_SLOTS] = holder;
    }
}
