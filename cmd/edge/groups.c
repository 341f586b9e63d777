/* Tracks which upstreams belong to one engine group, and whether the group
   makes progress.  An upstream names its group in its report.  A report is
   requested from a new upstream, and again while its group is not up.  */

#include "edge.h"

#include <jansson.h>

#include <string.h>

enum
{
  REPORT_INTERVAL_MS = 120,
  REPORT_TIMEOUT_MS = 800, /* another upstream may be asked after this */
  /* Upstreams of unknown group that are asked at a time: of hundreds that are
     registered at once, as after a loss of power, some may not answer.  */
  LOOKUPS_MAX = 16,
  /* An upstream that did not tell its group is asked again after
     REPORT_TIMEOUT_MS, doubled up to so many times.  */
  LOOKUP_DOUBLINGS_MAX = 4,
  REPORT_IDLE_MAX_MS = 1600,
  REPORT_MAX_BYTES = 65536
};

struct report_call
{
  char *upstream_id;
  struct group *group;
};

static struct group *
find_or_add (struct pool_queue *q, const char *name)
{
  struct group *g;

  for (guint i = 0; i < q->groups->len; i++)
    {
      g = g_ptr_array_index (q->groups, i);
      if (strcmp (g->name, name) == 0)
        return g;
    }
  g = g_new0 (struct group, 1);
  g->queue = q;
  g->name = g_strdup (name);
  g->health.last_progress_ms = edge_now (q->edge);
  capacity_init_group (g);
  g_ptr_array_add (q->groups, g);
  return g;
}

struct group *
groups_find (struct edge *e, struct target *t)
{
  struct pool_queue *q;

  if (t->group)
    return t->group;
  q = pool_queue_of (e, t->record->pool);
  if (q->grouped)
    t->group = find_or_add (q, "");
  return t->group;
}

bool
groups_is_up (struct group *g, bb_ms now)
{
  return !g
         || bb_group_update_state (&g->health, g->in_flight, now)
                == BB_GROUP_UP;
}

bb_ms
groups_retry_after_ms (const struct pool_queue *q, bb_ms default_ms, bb_ms now)
{
  bb_ms least = default_ms;
  bool any = false;

  for (guint i = 0; i < q->groups->len; i++)
    {
      const struct group *g = g_ptr_array_index (q->groups, i);
      bb_ms retry_ms;
      if (*g->name == '\0' && q->groups->len > 1)
        continue;
      if (g->health.state != BB_GROUP_DOWN)
        return default_ms;
      retry_ms = bb_group_recovery_ms (&g->health, now);
      if (!any || retry_ms < least)
        least = retry_ms;
      any = true;
    }
  return least;
}

static void
apply_report (struct report_call *call, const struct bb_rank_report *r)
{
  struct pool_queue *q = call->group->queue;
  struct target *t = targets_find (q->edge, call->upstream_id);
  struct group *g = find_or_add (q, r->group);
  enum bb_group_health_state old_state = g->health.state;

  if (t && t->group != g)
    {
      bb_log_event ("member_of_group", "{s:s, s:s, s:s}", "upstream",
                    call->upstream_id, "pool", q->pool, "group", g->name);
      t->group = g;
    }
  bb_group_record_report (&g->health, r->open, r->step, g->in_flight,
                          edge_now (q->edge));
  if (old_state != g->health.state)
    bb_log_event ("group", "{s:s, s:s, s:I, s:b}", "pool", q->pool, "group",
                  g->name, "epoch", (json_int_t)r->epoch, "open", r->open);
  q->edge->queue_ops->dispatch (q);
}

static void
on_report (enum bb_h1_fetch_result how, uint16_t status, struct bb_bytes body,
           void *user)
{
  struct report_call *call = user;
  struct bb_rank_report report;

  call->group->reports_pending--;
  if (how == BB_H1_FETCH_COMPLETE && status == 200
      && bb_rank_report_decode (body, &report) && report.in_group)
    {
      apply_report (call, &report);
      /* Ask the next upstream of unknown group.  */
      if (*call->group->name == '\0')
        groups_tick (call->group->queue);
    }
  g_free (call->upstream_id);
  g_free (call);
}

static void
request_report (struct group *g, struct target *t)
{
  struct edge *e = g->queue->edge;
  struct bb_h1_request out = { .method = bb_bytes_of ("GET"),
                               .target = bb_bytes_of (bb_report_target),
                               .host = bb_bytes_of (t->record->address),
                               .idle_max_ms = REPORT_IDLE_MAX_MS };
  struct bb_h1_fetch_limits limits = { .timeout_ms = REPORT_TIMEOUT_MS,
                                       .body_max_bytes = REPORT_MAX_BYTES };
  struct report_call *call = g_new0 (struct report_call, 1);

  g->reports_pending++;
  g->report_requested_ms = edge_now (e);
  t->group_asks++;
  t->group_asked_ms = edge_now (e);
  call->upstream_id = g_strdup (t->record->id);
  call->group = g;
  bb_h1_fetch (t->connections, &out, &limits, on_report, call);
}

/* Whether T, whose group is not known, is not to be asked for it yet.  */
static bool
was_asked_lately (const struct target *t, bb_ms now)
{
  uint32_t doublings = MIN (t->group_asks, LOOKUP_DOUBLINGS_MAX + 1);

  return doublings > 0
         && now - t->group_asked_ms < REPORT_TIMEOUT_MS << (doublings - 1);
}

/* Picks an upstream of G at random, which may be asked for a report.  */
static struct target *
pick_target (const struct group *g)
{
  struct edge *e = g->queue->edge;
  bb_ms now = edge_now (e);
  struct target *chosen = NULL;
  uint32_t seen = 0;

  for (guint k = 0; k < e->target_list->len; k++)
    {
      struct target *t = g_ptr_array_index (e->target_list, k);
      if (t->retire_at_ms != 0 || target_is_gone (t, now)
          || strcmp (t->record->pool, g->queue->pool) != 0
          || groups_find (e, t) != g
          || (*g->name == '\0' && was_asked_lately (t, now)))
        continue;
      if (g_rand_int_range (e->rand, 0, (int)++seen) == 0)
        chosen = t;
    }
  return chosen;
}

/* Whether a report on G is to be requested now.  */
static bool
needs_report (struct group *g, bb_ms now)
{
  return !groups_is_up (g, now) && g->reports_pending == 0
         && now - g->report_requested_ms >= REPORT_INTERVAL_MS;
}

/* Asks upstreams of unknown group, those of G, which group they are in.  */
static void
look_up (struct group *g)
{
  struct target *t;

  while (g->reports_pending < LOOKUPS_MAX && (t = pick_target (g)))
    request_report (g, t);
}

void
groups_tick (struct pool_queue *q)
{
  bb_ms now = edge_now (q->edge);

  if (!q->grouped)
    return;
  look_up (find_or_add (q, ""));
  for (guint i = 0; i < q->groups->len; i++)
    {
      struct group *g = g_ptr_array_index (q->groups, i);
      struct target *t
          = *g->name != '\0' && needs_report (g, now) ? pick_target (g) : NULL;
      if (t)
        request_report (g, t);
    }
}
