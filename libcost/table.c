/* A fixed number of keys, with eviction of the one that was learned least
   recently, and the decay of what is kept for each.  */

#include "internal.h"

#include <math.h>

/* Half-life of the weight of a response.  */
static const bb_ms half_life_ms = 60000;

void
cost_table_init (struct cost_table *t, uint32_t max)
{
  t->entries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&t->used);
  t->max = max;
}

struct cost_entry *
cost_table_find (const struct cost_table *t, uint64_t key)
{
  return g_hash_table_lookup (t->entries, &key);
}

static void
table_evict (struct cost_table *t)
{
  GList *last = g_queue_pop_tail_link (&t->used);
  struct cost_entry *e = last->data;

  g_hash_table_remove (t->entries, &e->key);
}

struct cost_entry *
cost_table_use (struct cost_table *t, uint64_t key, bb_ms now)
{
  struct cost_entry *e = cost_table_find (t, key);

  if (e)
    g_queue_unlink (&t->used, &e->link);
  else
    {
#ifndef BB_MUTANT_cost_evict
      if (g_hash_table_size (t->entries) >= t->max)
        table_evict (t);
#endif
      e = g_new0 (struct cost_entry, 1);
      e->key = key;
      e->link.data = e;
      e->learned_ms = now;
      g_hash_table_insert (t->entries, &e->key, e);
    }
  g_queue_push_head_link (&t->used, &e->link);
  return e;
}

void
cost_table_clear (struct cost_table *t)
{
  g_hash_table_destroy (t->entries);
}

/* Returns the part of its weight that E has left at NOW.  At most two
   half-lives count, so that a clock that jumps doesn't discard everything;
   none, when it jumps back.  */
double
cost_weight_left (const struct cost_entry *e, bb_ms now)
{
  bb_ms age = now - e->learned_ms;

#ifndef BB_MUTANT_cost_clock
  age = CLAMP (age, 0, 2 * half_life_ms);
#endif
  return exp2 (-(double)age / (double)half_life_ms);
}

void
cost_decay (struct cost_entry *e, bb_ms now)
{
  float left = (float)cost_weight_left (e, now);

  for (uint32_t k = 0; k < COST_LENGTH_BUCKETS; k++)
    e->lengths[k] *= left;
  for (uint32_t k = 0; k < COST_RATIO_BUCKETS; k++)
    e->ratios[k] *= left;
  e->given *= left;
  e->weight *= left;
  e->hint_square *= left;
  e->product *= left;
  e->learned_ms = now;
}

double
cost_weight_of (const float *weights, uint32_t count)
{
  double sum = 0;

  for (uint32_t k = 0; k < count; k++)
    sum += weights[k];
  return sum;
}
