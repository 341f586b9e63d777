#include "workspace.h"

#include <string.h>

/* Returns how many experts of rank A in layer X are also on rank B in layer
   Y.  */
static uint32_t
count_common_experts (const struct bb_map_size *size,
                      const struct bb_map_layer *x, uint32_t a,
                      const struct bb_map_layer *y, uint32_t b)
{
  uint32_t count = 0;

  for (uint32_t i = a * size->slots; i < (a + 1) * size->slots; i++)
    for (uint32_t j = b * size->slots; j < (b + 1) * size->slots; j++)
      count += x->expert[i] == y->expert[j] && x->expert[i] != BB_NO_EXPERT;
  return count;
}

static void
copy_rank (const struct bb_map_size *size, struct bb_map_layer *to, uint32_t a,
           const struct bb_map_layer *from, uint32_t b)
{
  size_t bytes = size->slots * sizeof (uint16_t);

  memcpy (to->expert + (size_t)a * size->slots,
          from->expert + (size_t)b * size->slots, bytes);
  memcpy (to->share + (size_t)a * size->slots,
          from->share + (size_t)b * size->slots, bytes);
}

void
relabel_ranks (const struct bb_map_size *size,
               const struct bb_map_layer *current,
               const struct bb_map_layer *rebuilt, struct bb_map_layer *out)
{
  bool *taken = g_new0 (bool, size->ranks);  /* ranks of OUT already filled */
  bool *placed = g_new0 (bool, size->ranks); /* ranks of REBUILT copied */

  for (uint32_t common_min = size->slots + 1; common_min-- > 0;)
    for (uint32_t b = 0; b < size->ranks; b++)
      for (uint32_t a = 0; a < size->ranks && !placed[b]; a++)
        if (!taken[a]
            && count_common_experts (size, current, a, rebuilt, b)
                   >= common_min)
          {
            copy_rank (size, out, a, rebuilt, b);
            taken[a] = true;
            placed[b] = true;
          }
  g_free (taken);
  g_free (placed);
}
