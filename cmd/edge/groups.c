/* Which upstreams step together, and whether they do.  An upstream names its
   group in its report, which is asked for once it is new, and again while its
   group is in doubt.  */

#include "edge.h"

#include <jansson.h>

#include <string.h>

enum
{
  ASK_EVERY_MS = 120,
  ASK_LOST_MS = 800, /* without an answer: ask another */
  ASK_KEPT_MS = 1600,
  REPORT_MAX_BYTES = 65536
};

struct ask
{
  char *upstream; /* id */
  struct group *group;
};

static struct group *
find (struct line *l, const char *name)
{
  struct group *g;

  for (guint i = 0; i < l->groups->len; i++)
    {
      g = g_ptr_array_index (l->groups, i);
      if (strcmp (g->name, name) == 0)
        return g;
    }
  g = g_new0 (struct group, 1);
  g->line = l;
  g->name = g_strdup (name);
  g->watch.last_progress_ms = edge_now (l->edge);
  g_ptr_array_add (l->groups, g);
  return g;
}

struct group *
groups_of (struct edge *e, struct target *t)
{
  struct line *l;

  if (t->group)
    return t->group;
  l = fleet_line (e, t->told->pool);
  if (l->grouped)
    t->group = find (l, "");
  return t->group;
}

bool
groups_is_open (struct group *g, bb_ms now)
{
  return !g
         || bb_group_update_state (&g->watch, g->in_flight, now)
                == BB_GROUP_UP;
}

bb_ms
groups_back_in (const struct line *l, bb_ms default_ms, bb_ms now)
{
  bb_ms least = default_ms;
  bool any = false;

  for (guint i = 0; i < l->groups->len; i++)
    {
      const struct group *g = g_ptr_array_index (l->groups, i);
      bb_ms back;
      if (*g->name == '\0' && l->groups->len > 1)
        continue;
      if (g->watch.state != BB_GROUP_DOWN)
        return default_ms;
      back = bb_group_recovery_ms (&g->watch, now);
      if (!any || back < least)
        least = back;
      any = true;
    }
  return least;
}

static void
take_report (struct ask *a, const struct bb_rank_report *r)
{
  struct line *l = a->group->line;
  struct target *t = g_hash_table_lookup (l->edge->targets, a->upstream);
  struct group *g = find (l, r->group);
  enum bb_group_health_state was = g->watch.state;

  if (t && t->group != g)
    {
      bb_event ("member_of_group", "{s:s, s:s, s:s}", "upstream", a->upstream,
                "pool", l->pool, "group", g->name);
      t->group = g;
    }
  bb_group_record_report (&g->watch, r->open, r->step, g->in_flight,
                          edge_now (l->edge));
  if (was != g->watch.state)
    bb_event ("group", "{s:s, s:s, s:I, s:b}", "pool", l->pool, "group",
              g->name, "epoch", (json_int_t)r->epoch, "open", r->open);
  line_run (l);
}

static void
on_fetched (enum bb_h1_fetch_end how, uint16_t status, struct bb_bytes body,
            void *user)
{
  struct ask *a = user;
  struct bb_rank_report report;

  a->group->asking = false;
  if (how == BB_H1_FETCH_ANSWERED && status == 200
      && bb_rank_report_decode (body, &report) && report.grouped)
    {
      take_report (a, &report);
      /* The next one whose group is not known.  */
      if (*a->group->name == '\0')
        groups_tick (a->group->line);
    }
  g_free (a->upstream);
  g_free (a);
}

static void
ask (struct group *g, struct target *t)
{
  struct edge *e = g->line->edge;
  struct bb_h1_out out = { .method = bb_bytes_of ("GET"),
                           .target = bb_bytes_of (bb_report_target),
                           .host = bb_bytes_of (t->told->address),
                           .idle_max_ms = ASK_KEPT_MS };
  struct bb_h1_fetch_limits limits = { ASK_LOST_MS, REPORT_MAX_BYTES };
  struct ask *a = g_new0 (struct ask, 1);

  g->asking = true;
  g->asked_ms = edge_now (e);
  a->upstream = g_strdup (t->told->id);
  a->group = g;
  bb_h1_fetch (t->channels, &out, &limits, on_fetched, a);
}

/* Picks an upstream of G by chance.  */
static struct target *
pick (const struct group *g)
{
  struct edge *e = g->line->edge;
  struct target *chosen = NULL;
  uint32_t seen = 0;

  for (guint k = 0; k < e->target_list->len; k++)
    {
      struct target *t = g_ptr_array_index (e->target_list, k);
      if (t->gone_ms == 0 && strcmp (t->told->pool, g->line->pool) == 0
          && groups_of (e, t) == g
          && g_rand_int_range (e->rand, 0, (int)++seen) == 0)
        chosen = t;
    }
  return chosen;
}

/* Whether a report of G is wanted.  */
static bool
wants_report (struct group *g, bb_ms now)
{
  if (*g->name == '\0')
    return !g->asking;
  return !groups_is_open (g, now) && !g->asking
         && now - g->asked_ms >= ASK_EVERY_MS;
}

void
groups_tick (struct line *l)
{
  bb_ms now = edge_now (l->edge);

  if (!l->grouped)
    return;
  find (l, "");
  for (guint i = 0; i < l->groups->len; i++)
    {
      struct group *g = g_ptr_array_index (l->groups, i);
      struct target *t = wants_report (g, now) ? pick (g) : NULL;
      if (t)
        ask (g, t);
    }
}
