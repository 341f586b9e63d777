/* Upstreams that name how many requests a second they take from all edges. One
   edge, the same for all, gives out the times at which requests may be sent to
   an upstream.  The decisions are those of libload.  */

#include "edge.h"

#include <jansson.h>

enum
{
  SCHEDULES_MAX = 4096
};

/* By id_hash of the upstream; of those whose times this edge gives out.  */
static GHashTable *schedules;
static struct bb_limit_members members;

void
limit_record_answer (struct request *r)
{
  const struct bb_response_info *reply = &r->reply;
  struct target *t = r->target;
  int64_t milli = !reply->names_limit      ? BB_LIMIT_NONE
                  : reply->limit_milli < 0 ? BB_LIMIT_UNREADABLE
                                           : reply->limit_milli;

  /* A response that the upstream has neither signed nor marked may be that of
     something between, and does not end a limit.  */
  if (reply->misdirected
      || (!reply->names_limit && !reply->has_signature && !reply->not_run))
    return;
  if (!bb_limit_note_answer (&t->limit, milli, r->sent_ms, edge_now (r->edge)))
    return;
  bb_counter ("bilberry_upstream_limits_total", "")->value++;
  bb_log_event ("upstream_limit", "{s:s, s:I, s:i}", "upstream", t->id,
                "limit_milli", (json_int_t)t->limit.milli, "members",
                (int)members.count);
}

static bb_ms
reserve (struct edge *e, uint64_t upstream, int64_t milli, bb_ms wait_max_ms)
{
  struct bb_limit_schedule *s = g_hash_table_lookup (schedules, &upstream);

  if (!s)
    {
      uint64_t *key = g_new (uint64_t, 1);
      *key = upstream;
      if (g_hash_table_size (schedules) >= SCHEDULES_MAX)
        g_hash_table_remove_all (schedules);
      s = g_new0 (struct bb_limit_schedule, 1);
      g_hash_table_insert (schedules, key, s);
    }
  bb_limit_note_members (&members, fleet_edge_count (e), edge_now (e));
  return bb_limit_reserve (s, milli, &members, wait_max_ms, edge_now (e));
}

void
limit_ask (struct edge *e, struct target *t, bb_ms wait_max_ms)
{
  bb_ms now = edge_now (e);
  struct bb_peer_slot_ask m = { .upstream = t->id_hash,
                                .limit_milli = (uint64_t)t->limit.milli,
                                .wait_max_ms = (uint32_t)wait_max_ms };
  bb_ms wait_ms;

  bb_limit_asked (&t->limit, now);
#ifndef BB_MUTANT_limit_one_schedule
  if (!isolate_owns (e, t))
    {
      bb_peers_ask_slot (e->peers, isolate_owner (e, t), &m);
      return;
    }
#endif
  wait_ms = reserve (e, t->id_hash, t->limit.milli, wait_max_ms);
  bb_limit_answered (&t->limit, wait_ms <= wait_max_ms, wait_ms, now);
}

void
limit_on_ask (struct edge *e, const struct bb_peer_slot_ask *m,
              struct bb_peer_slot *reply)
{
  int64_t milli = m->limit_milli > 0 && m->limit_milli < BB_LIMIT_MAX_MILLI
                      ? (int64_t)m->limit_milli
                      : BB_LIMIT_MAX_MILLI;
  bb_ms wait_ms = reserve (e, m->upstream, milli, m->wait_max_ms);

  reply->upstream = m->upstream;
  reply->granted = wait_ms <= m->wait_max_ms;
  reply->wait_ms = wait_ms < UINT32_MAX ? (uint32_t)wait_ms : UINT32_MAX;
}

void
limit_on_slot (struct edge *e, const struct bb_peer_slot *m)
{
  for (guint i = 0; i < e->target_list->len; i++)
    {
      struct target *t = g_ptr_array_index (e->target_list, i);
      if (t->id_hash != m->upstream)
        continue;
      bb_limit_answered (&t->limit, m->granted, m->wait_ms, edge_now (e));
      e->queue_ops->dispatch (pool_queue_of (e, t->record->pool));
      return;
    }
}

void
limit_init (void)
{
  schedules
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}
