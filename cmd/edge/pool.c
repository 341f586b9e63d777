/* The time, and the queues by pool.  */

#include "edge.h"

bb_ms
edge_now (const struct edge *e)
{
  return (bb_ms)uv_now (e->loop);
}

struct pool_queue *
pool_queue_of (struct edge *e, const char *pool)
{
  struct pool_queue *q = g_hash_table_lookup (e->queues, pool);

  if (q)
    return q;
  q = g_new0 (struct pool_queue, 1);
  q->edge = e;
  q->pool = g_strdup (pool);
  g_queue_init (&q->waiting);
  bb_retry_window_init (&q->retry_window, e->settings->retry_window_ms,
                        e->started_ms);
  q->groups = g_ptr_array_new ();
  q->admission = bb_queue_new ();
  q->costs = bb_cost_model_new ();
  g_hash_table_insert (e->queues, q->pool, q);
  g_ptr_array_add (e->queue_list, q);
  return q;
}

const struct bb_engine *
config_engine (const struct bb_config *c, const char *pool)
{
  const struct bb_pool *p = c ? bb_config_find_pool (c, pool) : NULL;

  return p && p->has_engine ? &p->engine : NULL;
}
