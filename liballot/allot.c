/* Which edges take part in the division, and what is done without peers.  */

#include "divide.h"

#include <math.h>
#include <string.h>

enum
{
  LAST = BB_ALLOT_PRIORITIES - 1,
  LATE_INTERVALS = 4 /* messages that may be lost or late */
};

enum edge_state
{
  EDGE_LIVE,
  EDGE_UNKNOWN, /* never heard */
  EDGE_ENDED,   /* it closed its connection */
  EDGE_SILENT
};

/* The edges of an input, by their states.  */
struct gathering
{
  struct bb_divide_row rows[BB_ALLOT_EDGES_MAX + 1]; /* live ones, by id */
  uint32_t rows_count;
  struct bb_divide_row others; /* sum of further ones */
  uint32_t live;               /* own included */
  uint32_t silent;
  bool partitioned;
  double taken; /* requests of edges that are not live */
  bb_ms age_ms;
};

void
bb_allot_init (struct bb_allot *a)
{
  memset (a, 0, sizeof *a);
  a->first_heard_ms = -1;
  a->heard_ms = -1;
  a->sent.heard_ms = -1;
}

static struct bb_allot_peer *
find_peer (struct bb_allot *a, uint64_t id)
{
  for (uint32_t i = 0; i < a->peers_count; i++)
    if (a->peers[i].id == id)
      return &a->peers[i];
  return NULL;
}

static bool
is_listed (const struct bb_allot_input *in, uint64_t id)
{
  for (uint32_t i = 0; i < in->count; i++)
    if (in->edges[i].id == id)
      return true;
  return false;
}

static bb_ms
late_ms (const struct bb_allot_input *in)
{
  bb_ms ms = LATE_INTERVALS * in->interval_ms;

  if (ms > BB_ALLOT_SILENT_MS)
    return BB_ALLOT_SILENT_MS;
  return ms > BB_ALLOT_LATE_MS ? ms : BB_ALLOT_LATE_MS;
}

/* Records which peers there are and which have closed their connection.  A
   connection that closes after a long silence says nothing about the process
   at its other end.  */
static void
note_peers (struct bb_allot *a, const struct bb_allot_input *in, bb_ms now)
{
  for (uint32_t i = a->peers_count; i-- > 0;)
    if (!is_listed (in, a->peers[i].id))
      a->peers[i] = a->peers[--a->peers_count];
  for (uint32_t i = 0; i < in->count; i++)
    {
      const struct bb_allot_edge *e = &in->edges[i];
      struct bb_allot_peer *p = find_peer (a, e->id);
      if (i == in->own || e->heard_ms < 0)
        continue;
      if (e->heard_ms > a->heard_ms)
        a->heard_ms = e->heard_ms;
      if (a->first_heard_ms < 0)
        a->first_heard_ms = now;
      if (!p && a->peers_count < BB_ALLOT_EDGES_MAX)
        {
          p = &a->peers[a->peers_count++];
          *p = (struct bb_allot_peer){ .id = e->id };
        }
      if (p && e->connected)
        p->ended = false;
      else if (p && now - e->heard_ms < late_ms (in))
        p->ended = true;
    }
}

static enum edge_state
edge_state (struct bb_allot *a, const struct bb_allot_input *in, uint32_t i,
            bb_ms now)
{
  const struct bb_allot_edge *e = &in->edges[i];
  const struct bb_allot_peer *p = find_peer (a, e->id);

  if (i == in->own)
    return EDGE_LIVE;
  if (e->heard_ms < 0)
    return EDGE_UNKNOWN;
  if (e->connected && now - e->heard_ms < late_ms (in))
    return EDGE_LIVE;
  return p && p->ended ? EDGE_ENDED : EDGE_SILENT;
}

static bool
comes_before (const struct bb_divide_row *x, const struct bb_divide_row *y)
{
  return x->id < y->id;
}

/* Adds ROW at its place by id.  Where there is no room, the edge with the
   highest id that is not the own one goes into the sum of others.  */
static void
insert_row (struct gathering *g, const struct bb_divide_row *row)
{
  uint32_t k = g->rows_count;

  while (k > 0 && comes_before (row, &g->rows[k - 1]))
    k--;
  memmove (&g->rows[k + 1], &g->rows[k],
           (g->rows_count - k) * sizeof g->rows[0]);
  g->rows[k] = *row;
  g->rows_count++;
}

static void
add_to_others (struct gathering *g, const struct bb_divide_row *row)
{
  for (uint32_t p = 0; p < BB_ALLOT_PRIORITIES; p++)
    {
      g->others.demand[p] += row->demand[p];
      g->others.waits[p] |= row->waits[p];
    }
  g->others.in_flight += row->in_flight;
  g->others.edges += row->edges;
  g->others.expected += row->expected;
}

static void
add_live (struct gathering *g, const struct bb_allot_input *in, uint32_t i,
          const struct bb_allot_edge *report)
{
  struct bb_divide_row row = { .id = in->edges[i].id, .own = i == in->own };
  uint32_t k;

  bb_divide_add (&row, report, in->interval_ms);
  g->live++;
  insert_row (g, &row);
  if (g->rows_count <= BB_ALLOT_EDGES_MAX)
    return;
  k = g->rows[BB_ALLOT_EDGES_MAX].own ? BB_ALLOT_EDGES_MAX - 1
                                      : BB_ALLOT_EDGES_MAX;
  add_to_others (g, &g->rows[k]);
  if (k < BB_ALLOT_EDGES_MAX)
    g->rows[k] = g->rows[BB_ALLOT_EDGES_MAX];
  g->rows_count--;
}

/* Returns how many requests an edge that is not live may have in flight.  */
static double
taken_by (struct bb_allot *a, const struct bb_allot_input *in, uint32_t i,
          bool partitioned, bb_ms now)
{
  const struct bb_allot_edge *e = &in->edges[i];
  const struct bb_allot_peer *p = find_peer (a, e->id);
  struct bb_divide_row row = { 0 };
  bool ended = p && p->ended;
  bb_ms age_ms = now - e->heard_ms;

  bb_divide_add (&row, e, in->interval_ms);
  if (age_ms >= (ended ? BB_ALLOT_ENDED_MS : BB_ALLOT_SILENT_MS))
    row.in_flight = 0;
#ifdef BB_MUTANT_allot_silent
  row.in_flight = 0;
#endif
#ifdef BB_MUTANT_allot_partition
  partitioned = false;
#endif
  if (partitioned && p && !ended)
    return fmax (row.in_flight, p->part * in->limit);
  return row.in_flight;
}

static void
count_edges (struct bb_allot *a, const struct bb_allot_input *in,
             const struct bb_allot_edge *own, struct gathering *g, bb_ms now)
{
  for (uint32_t i = 0; i < in->count; i++)
    switch (edge_state (a, in, i, now))
      {
      case EDGE_LIVE:
        add_live (g, in, i, i == in->own ? own : &in->edges[i]);
        if (i != in->own && now - in->edges[i].heard_ms > g->age_ms)
          g->age_ms = now - in->edges[i].heard_ms;
        break;
      case EDGE_SILENT:
        g->silent++;
        break;
      case EDGE_ENDED:
      case EDGE_UNKNOWN:
        break;
      }
  g->partitioned = g->silent >= g->live;
}

/* Gathers the edges, with OWN in place of the own report.  */
static void
gather (struct bb_allot *a, const struct bb_allot_input *in,
        const struct bb_allot_edge *own, struct gathering *g, bb_ms now)
{
  memset (g, 0, sizeof *g);
  count_edges (a, in, own, g, now);
  for (uint32_t i = 0; i < in->count; i++)
    {
      enum edge_state state = edge_state (a, in, i, now);
      if (state == EDGE_SILENT || state == EDGE_ENDED)
        g->taken += taken_by (a, in, i, g->partitioned, now);
    }
  if (g->others.edges > 0)
    g->rows[g->rows_count++] = g->others;
}

static void
set_all (struct bb_allot_quota *quota, uint32_t value)
{
  for (uint32_t p = 0; p < BB_ALLOT_PRIORITIES; p++)
    quota->cumulative[p] = value;
}

/* Records the part of each peer, and sets QUOTA to that of the own edge.  */
static void
take_result (struct bb_allot *a, const struct bb_allot_input *in,
             const struct gathering *g, struct bb_allot_quota *quota)
{
  quota->basis = BB_ALLOT_DIVIDED;
  quota->edges = g->live;
  quota->age_ms = g->age_ms;
  for (uint32_t i = 0; i < g->rows_count; i++)
    {
      const struct bb_divide_row *row = &g->rows[i];
      struct bb_allot_peer *p = find_peer (a, row->id);
      if (row->own)
        memcpy (quota->cumulative, row->cumulative, sizeof row->cumulative);
      else if (p && row->edges == 1 && in->limit > 0)
        p->part = row->cumulative[LAST] / in->limit;
    }
}

static void
divide_between_live (struct bb_allot *a, const struct bb_allot_input *in,
                     struct gathering *g, struct bb_allot_quota *quota)
{
  bb_divide (g->rows, g->rows_count, fmax (0, in->limit - g->taken));
  take_result (a, in, g, quota);
}

static void
lower_to (struct bb_allot_quota *quota, const struct bb_allot_quota *other)
{
  for (uint32_t p = 0; p < BB_ALLOT_PRIORITIES; p++)
    if (quota->cumulative[p] > other->cumulative[p])
      quota->cumulative[p] = other->cumulative[p];
}

static void
note_own_report (struct bb_allot *a, const struct bb_allot_edge *own)
{
  if (own->heard_ms == a->sent.heard_ms)
    return;
  a->sent_before = a->sent;
  a->sent = *own;
}

/* Lowers QUOTA to what it is by the own report before the last, which counts
   until the last has reached the peers: the others give up what it claims only
   then.  */
static void
await_peers (struct bb_allot *a, const struct bb_allot_input *in,
             struct gathering *g, struct bb_allot_quota *quota, bb_ms now)
{
  struct bb_allot_quota before = *quota;

#ifdef BB_MUTANT_allot_settle
  return;
#endif
  if (now - a->sent.heard_ms >= BB_ALLOT_SETTLE_MS)
    return;
  gather (a, in, &a->sent_before, g, now);
  divide_between_live (a, in, g, &before);
  lower_to (quota, &before);
}

/* Returns the number of edges that have not closed their connections.  */
static uint32_t
count_open (const struct bb_allot_input *in)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < in->count; i++)
    n += i == in->own || in->edges[i].connected;
#ifdef BB_MUTANT_allot_ended
  return in->count;
#endif
  return n;
}

static void
take_equal_share (const struct bb_allot_input *in,
                  struct bb_allot_quota *quota)
{
  struct bb_divide_row row = { .id = 0 };
  uint32_t open = count_open (in);
  uint32_t edges = open > in->domains ? open : in->domains;

  bb_divide_add (&row, &in->edges[in->own], in->interval_ms);
  bb_divide (&row, 1, fmax (1, in->limit / edges));
  memcpy (quota->cumulative, row.cumulative, sizeof row.cumulative);
  quota->basis = BB_ALLOT_EQUAL;
  quota->edges = edges;
}

/* Keeps the last quota, less where the limit has fallen since.  Shortly before
   the others count on it no more, it is not above EQUAL, an equal share.  */
static void
keep_last (const struct bb_allot *a, const struct bb_allot_input *in,
           const struct bb_allot_quota *equal, struct bb_allot_quota *quota,
           bb_ms now)
{
  double ratio = fmin (1, in->limit / a->last_limit);

  *quota = a->last;
  for (uint32_t p = 0; p < BB_ALLOT_PRIORITIES; p++)
    quota->cumulative[p] = (uint32_t)fmax (1, quota->cumulative[p] * ratio);
#ifndef BB_MUTANT_allot_drain
  if (now - a->heard_ms >= BB_ALLOT_SILENT_MS - BB_ALLOT_DRAIN_MS)
    lower_to (quota, equal);
#endif
  quota->basis = BB_ALLOT_KEPT;
  quota->age_ms = now - a->heard_ms;
}

/* Whether the peers have been heard since the start.  */
static bool
is_complete (const struct bb_allot *a, const struct bb_allot_input *in,
             bb_ms now)
{
#ifdef BB_MUTANT_allot_start
  return true;
#endif
  if (a->complete || a->first_heard_ms < 0)
    return a->complete;
  if (now - a->first_heard_ms >= BB_ALLOT_START_MS)
    return true;
  for (uint32_t i = 0; i < in->count; i++)
    if (i != in->own && in->edges[i].connected && in->edges[i].heard_ms < 0)
      return false;
  return true;
}

void
bb_allot_update (struct bb_allot *a, const struct bb_allot_input *input,
                 bb_ms now, struct bb_allot_quota *quota)
{
  struct bb_allot_quota equal = { 0 };
  struct gathering g;

  memset (quota, 0, sizeof *quota);
  if (isnan (input->limit) || input->limit >= BB_ALLOT_LIMIT_MAX)
    {
      set_all (quota, UINT32_MAX);
      return;
    }
  note_peers (a, input, now);
  a->complete = is_complete (a, input, now);
  note_own_report (a, &input->edges[input->own]);
  gather (a, input, &a->sent, &g, now);
  if (a->complete && g.live > 1)
    {
      divide_between_live (a, input, &g, quota);
      await_peers (a, input, &g, quota, now);
      a->last = *quota;
      a->last_limit = input->limit;
      return;
    }
  take_equal_share (input, &equal);
  if (a->last_limit > 0
      && now - a->heard_ms < (count_open (input) > 1 ? BB_ALLOT_SILENT_MS
                                                     : BB_ALLOT_ENDED_MS))
    keep_last (a, input, &equal, quota, now);
  else
    *quota = equal;
}

bool
bb_allot_may_start (const struct bb_allot_quota *quota,
                    const uint32_t *in_flight, uint32_t priority)
{
  uint64_t sum = 0;

  for (uint32_t p = 0; p < BB_ALLOT_PRIORITIES; p++)
    {
      sum += in_flight[p];
      if (p < priority && p < LAST)
        continue;
      if (sum >= quota->cumulative[p])
        return false;
    }
  return true;
}
