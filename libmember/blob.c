/* Reference-counted content of configuration revisions.  */

#include "internal.h"

#include <string.h>
#include <xxhash.h>

struct bb_config_blob *
blob_new (uint64_t revision, uint32_t size)
{
  struct bb_config_blob *b = g_malloc0 (sizeof *b + size);

  b->refs = 1;
  b->revision = revision;
  b->size = size;
  return b;
}

struct bb_config_blob *
blob_ref (struct bb_config_blob *b)
{
  b->refs++;
  return b;
}

void
blob_unref (struct bb_config_blob *b)
{
  if (b && --b->refs == 0)
    g_free (b);
}

uint64_t
blob_hash (const struct bb_config_blob *b)
{
  return XXH64 (b->data, b->size, b->revision);
}

void
blob_common_ends (const struct bb_config_blob *a,
                  const struct bb_config_blob *b, uint32_t *prefix,
                  uint32_t *suffix)
{
  uint32_t shorter = a->size < b->size ? a->size : b->size;
  uint32_t p = 0;
  uint32_t s = 0;

  while (p < shorter && a->data[p] == b->data[p])
    p++;
  while (s < shorter - p
         && a->data[a->size - 1 - s] == b->data[b->size - 1 - s])
    s++;
  *prefix = p;
  *suffix = s;
}
