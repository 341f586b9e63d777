/* The account of the memory that is held for callers and upstreams.  */

#include "bilberry/base.h"

enum
{
  /* Part of the account that large pieces leave to small ones.  */
  SMALL_DIVISOR = 8
};

static size_t
limit_of (const struct bb_memory *m, size_t whole_bytes)
{
  return whole_bytes > BB_MEMORY_SMALL_BYTES
             ? m->max_bytes - m->max_bytes / SMALL_DIVISOR
             : m->max_bytes;
}

bool
bb_memory_has_room (const struct bb_memory *m, size_t bytes,
                    size_t whole_bytes)
{
#ifdef BB_MUTANT_memory_room
  return true;
#endif
  return m->max_bytes == 0
         || m->used_bytes + bytes <= limit_of (m, whole_bytes);
}

bool
bb_memory_take (struct bb_memory *m, size_t bytes, size_t whole_bytes)
{
  if (!bb_memory_has_room (m, bytes, whole_bytes))
    return false;
  bb_memory_add (m, bytes);
  return true;
}

void
bb_memory_add (struct bb_memory *m, size_t bytes)
{
  m->used_bytes += bytes;
  if (m->used_bytes > m->peak_bytes)
    m->peak_bytes = m->used_bytes;
}

void
bb_memory_give (struct bb_memory *m, size_t bytes)
{
  m->used_bytes -= bytes < m->used_bytes ? bytes : m->used_bytes;
}
