/* What edges tell each other of their demand: requests in flight and queued by
   group and priority, and the work of their largest customers.  */

#include "edge.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

enum
{
  MILLI = 1000,
  /* Up to so many edges send their demand every PEER_STATE_INTERVAL_MS; with
     more, the interval grows in proportion.  */
  EDGES_PER_INTERVAL = 16,
  FORGET_MS = 60000, /* how long an edge that is gone is remembered */
  ARRIVALS_DECAY_MS = 1000
};

/* What a peer has told of one group.  */
struct peer_group
{
  uint64_t group;
  struct bb_allot_edge edge;
};

/* What a peer has told.  */
struct peer_demand
{
  uint64_t id;
  bb_ms heard_ms; /* negative: it was found, but not heard yet */
  bb_ms gone_ms;  /* when its connection ended; 0: it is connected */
  bool ended;     /* its process has closed the connection */
  GArray *groups; /* struct peer_group */
};

static uint64_t
hash_of (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}

static void
free_demand (void *p)
{
  struct peer_demand *d = p;

  g_array_free (d->groups, TRUE);
  g_free (d);
}

void
demand_init (struct edge *e)
{
  e->peer_demands
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_demand);
  e->shares = bb_shares_new (NULL, NULL);
  e->customer_work
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static struct peer_demand *
find_or_add_peer (struct edge *e, const char *name)
{
  struct peer_demand *d = g_hash_table_lookup (e->peer_demands, name);

  if (d)
    return d;
  d = g_new0 (struct peer_demand, 1);
  d->id = hash_of (name);
  d->heard_ms = -1;
  d->groups = g_array_new (FALSE, TRUE, sizeof (struct peer_group));
  g_hash_table_insert (e->peer_demands, g_strdup (name), d);
  return d;
}

static struct bb_allot_edge *
find_or_add_group (struct peer_demand *d, uint64_t group)
{
  struct peer_group added = { .group = group };

  for (guint i = 0; i < d->groups->len; i++)
    {
      struct peer_group *g = &g_array_index (d->groups, struct peer_group, i);
      if (g->group == group)
        return &g->edge;
    }
  g_array_append_val (d->groups, added);
  return &g_array_index (d->groups, struct peer_group, d->groups->len - 1)
              .edge;
}

static struct group *
find_group (struct edge *e, uint64_t hash)
{
  for (guint i = 0; i < e->queue_list->len; i++)
    {
      const struct pool_queue *q = g_ptr_array_index (e->queue_list, i);
      for (guint k = 0; k < q->groups->len; k++)
        {
          struct group *g = g_ptr_array_index (q->groups, k);
          if (g->hash == hash)
            return g;
        }
    }
  return NULL;
}

static void
apply_customers (struct edge *e, uint64_t id, const struct bb_peer_state *m)
{
  struct bb_shares_report report
      = { .rest_in_flight_ms = m->others_in_flight_ms,
          .rest_queued_ms = m->others_queued_ms,
          .rest_count = m->others };

  for (uint32_t i = 0;
       i < m->customers_count && report.count < BB_SHARES_REPORT_MAX; i++)
    report.customers[report.count++]
        = (struct bb_shares_work){ m->customers[i].customer,
                                   m->customers[i].in_flight_ms,
                                   m->customers[i].queued_ms };
  bb_shares_apply (e->shares, id, &report, edge_now (e));
}

void
demand_apply_state (struct edge *e, const char *name,
                    const struct bb_peer_state *m)
{
  struct peer_demand *d;
  bb_ms now = edge_now (e);

  if (!m->taking || !m->tells_demand)
    return;
  d = find_or_add_peer (e, name);
  d->heard_ms = now;
  d->gone_ms = 0;
  d->ended = false;
  g_array_set_size (d->groups, 0);
  for (uint32_t i = 0; i < m->demands_count; i++)
    {
      const struct bb_group_demand *told = &m->demands[i];
      struct bb_allot_edge *g = find_or_add_group (d, told->group);
      if (told->priority >= BB_ALLOT_PRIORITIES)
        continue;
      g->in_flight[told->priority] = told->in_flight;
      g->queued[told->priority] = (double)told->queued_milli / MILLI;
    }
  for (uint32_t i = 0; i < m->paces_count; i++)
    {
      const struct bb_group_pace *told = &m->paces[i];
      struct group *g = find_group (e, told->group);
      find_or_add_group (d, told->group)->arrivals_per_s
          = (double)told->arrivals_milli / MILLI;
      if (g && told->ratio_milli > 0)
        bb_pace_merge (&g->pace, (double)told->ratio_milli / MILLI, now);
    }
  apply_customers (e, d->id, m);
}

void
demand_apply_change (struct edge *e, const char *name,
                     const struct bb_peer_end *end)
{
  /* Agents connect too, but have no demand: a peer is added by its state.  */
  struct peer_demand *d = g_hash_table_lookup (e->peer_demands, name);

  if (!d)
    return;
  if (end)
    e->peer_ended_ms = edge_now (e);
  d->gone_ms = end ? MAX (edge_now (e), 1) : 0;
  /* A peer that fell silent may still send to upstreams.  */
  d->ended = end && strcmp (end->why, BB_PEER_SILENT) != 0;
  if (d->ended)
    bb_shares_remove_peer (e->shares, d->id);
}

static gboolean
is_forgotten (void *key, void *value, void *user)
{
  const struct peer_demand *d = value;
  const bb_ms *now = user;

  (void)key;
  return d->gone_ms > 0 && *now - d->gone_ms > FORGET_MS;
}

uint32_t
demand_fill_edges (const struct group *g,
                   struct bb_allot_edge edges[BB_ALLOT_EDGES_MAX],
                   uint32_t *own)
{
  struct edge *e = g->queue->edge;
  bb_ms now = edge_now (e);
  GHashTableIter it;
  void *value;
  uint32_t n = 0;

  g_hash_table_foreach_remove (e->peer_demands, is_forgotten, &now);
  *own = n;
  edges[n] = g->reported;
  edges[n].id = hash_of (e->settings->name);
  edges[n].heard_ms = e->reported_ms > 0 ? e->reported_ms : -1;
  edges[n++].connected = true;
  g_hash_table_iter_init (&it, e->peer_demands);
  while (g_hash_table_iter_next (&it, NULL, &value) && n < BB_ALLOT_EDGES_MAX)
    {
      const struct peer_demand *d = value;
      edges[n] = (struct bb_allot_edge){ 0 };
      for (guint i = 0; i < d->groups->len; i++)
        if (g_array_index (d->groups, struct peer_group, i).group == g->hash)
          edges[n] = g_array_index (d->groups, struct peer_group, i).edge;
      edges[n].id = d->id;
      edges[n].heard_ms = d->heard_ms;
      edges[n++].connected = !d->ended;
    }
  return n;
}

/* Customers.  */

/* Adds to the work of the customer of R; whole numbers, so that the sums are
   exactly 0 when nothing is left.  */
static void
add_work (struct request *r, double in_flight_ms, double queued_ms)
{
  struct edge *e = r->edge;
  struct bb_shares_work *w
      = g_hash_table_lookup (e->customer_work, r->customer);

  if (!w)
    {
      w = g_new0 (struct bb_shares_work, 1);
      w->customer = hash_of (r->customer);
      g_hash_table_insert (e->customer_work, g_strdup (r->customer), w);
    }
  w->in_flight_ms += in_flight_ms;
  w->queued_ms += queued_ms;
  bb_shares_set_own (e->shares, w);
  if (w->in_flight_ms <= 0 && w->queued_ms <= 0)
    g_hash_table_remove (e->customer_work, r->customer);
}

void
demand_set_queued (struct request *r, bool queued)
{
  if (r->work_is_queued == queued || !r->customer || r->work_ms == 0)
    return;
  r->work_is_queued = queued;
  add_work (r, 0, queued ? r->work_ms : -r->work_ms);
}

void
demand_set_in_flight (struct request *r, bool in_flight)
{
  if (r->work_is_in_flight == in_flight || !r->customer || r->work_ms == 0)
    return;
  r->work_is_in_flight = in_flight;
  add_work (r, in_flight ? r->work_ms : -r->work_ms, 0);
}

double
demand_use_ratio (const struct request *r)
{
  return r->customer ? bb_shares_ratio (r->edge->shares, hash_of (r->customer))
                     : 0;
}

/* Sets the work that all edges may have in flight, of which customers have
   their shares.  */
static void
update_shares (struct edge *e)
{
  double capacity_ms = 0;

  for (guint i = 0; i < e->queue_list->len; i++)
    {
      const struct pool_queue *q = g_ptr_array_index (e->queue_list, i);
      for (guint k = 0; q->limited && k < q->groups->len; k++)
        {
          const struct group *g = g_ptr_array_index (q->groups, k);
          capacity_ms += (double)MIN (g->limit, g->slots) * q->mean_work_ms;
        }
    }
  /* Without a limit nobody has to share.  */
  bb_shares_update (e->shares, capacity_ms > 0 ? capacity_ms : INFINITY,
                    edge_now (e));
}

/* Messages.  */

/* Sets what is reported of G.  Each group is expected to get a part of the
   queue of its pool in proportion to its slots.  */
static void
report_group (struct group *g, const double *queued, double slots)
{
  struct bb_allot_edge *r = &g->reported;
  double part = slots > 0 ? g->slots / slots : 0;

  memcpy (r->in_flight, g->in_flight_by_priority, sizeof r->in_flight);
  for (uint32_t p = 0; p < BB_ALLOT_PRIORITIES; p++)
    r->queued[p] = queued[p] * part;
  r->arrivals_per_s = g->queue->arrivals * MILLI / ARRIVALS_DECAY_MS * part;
}

/* Returns the part of R, which is not in flight, that counts as demand.  */
static double
counted_part (const struct request *r)
{
  return r->customer
             ? bb_shares_counted_part (r->edge->shares, hash_of (r->customer))
             : 1;
}

static void
decay_arrivals (struct pool_queue *q)
{
  bb_ms now = edge_now (q->edge);

  q->arrivals
      *= exp (-(double)(now - q->arrivals_decayed_ms) / ARRIVALS_DECAY_MS);
  q->arrivals_decayed_ms = now;
}

void
demand_count_arrival (const struct request *r)
{
  struct pool_queue *q = r->queue;

  decay_arrivals (q);
  q->arrivals += counted_part (r);
}

static void
report_queue (struct pool_queue *q)
{
  double queued[BB_ALLOT_PRIORITIES] = { 0 };
  double slots = 0;

  for (GList *i = q->waiting.head; i; i = i->next)
    {
      const struct request *r = i->data;
      queued[request_priority (r)] += counted_part (r);
    }
  for (guint k = 0; k < q->groups->len; k++)
    slots += ((const struct group *)g_ptr_array_index (q->groups, k))->slots;
  decay_arrivals (q);
  for (guint k = 0; k < q->groups->len; k++)
    report_group (g_ptr_array_index (q->groups, k), queued, slots);
}

bb_ms
demand_interval_ms (const struct edge *e)
{
  uint32_t edges = fleet_edge_count (e);

  return PEER_STATE_INTERVAL_MS
         * (bb_ms)((edges + EDGES_PER_INTERVAL - 1) / EDGES_PER_INTERVAL);
}

/* Sets what is reported until the next interval, so that all peers are told
   the same.  Returns whether it is to be told now.  */
static bool
report (struct edge *e)
{
  bb_ms now = edge_now (e);
  bb_ms age_ms = now - e->reported_ms;

  if (e->reported_ms > 0 && age_ms < PEER_STATE_INTERVAL_MS / 2)
    return true;
  if (e->reported_ms > 0
      && age_ms < demand_interval_ms (e) - PEER_STATE_INTERVAL_MS / 2)
    return false;
  e->reported_ms = now;
  update_shares (e);
  for (guint i = 0; i < e->queue_list->len; i++)
    {
      struct pool_queue *q = g_ptr_array_index (e->queue_list, i);
      if (q->limited)
        report_queue (q);
    }
  return true;
}

static void
put_group (const struct group *g, struct bb_peer_state *m)
{
  const struct bb_allot_edge *r = &g->reported;
  bool observed = bb_pace_is_observed (&g->pace, edge_now (g->queue->edge));

  for (uint32_t p = 0; p < BB_ALLOT_PRIORITIES; p++)
    {
      if ((r->in_flight[p] == 0 && r->queued[p] == 0)
          || m->demands_count == G_N_ELEMENTS (m->demands))
        continue;
      m->demands[m->demands_count++] = (struct bb_group_demand){
        .group = g->hash,
        .priority = (uint8_t)p,
        .in_flight = r->in_flight[p],
        .queued_milli = (uint32_t)(r->queued[p] * MILLI),
      };
    }
  if ((r->arrivals_per_s > 0 || observed)
      && m->paces_count < G_N_ELEMENTS (m->paces))
    m->paces[m->paces_count++] = (struct bb_group_pace){
      .group = g->hash,
      .ratio_milli = observed ? (uint32_t)(g->pace.ratio * MILLI) : 0,
      .arrivals_milli = (uint32_t)(r->arrivals_per_s * MILLI),
    };
}

static void
put_customers (struct edge *e, struct bb_peer_state *m)
{
  struct bb_shares_report report;

  bb_shares_get_report (e->shares, &report);
  for (uint32_t i = 0; i < report.count; i++)
    m->customers[m->customers_count++] = (struct bb_customer_work){
      .customer = report.customers[i].customer,
      .in_flight_ms = (uint32_t)lround (report.customers[i].in_flight_ms),
      .queued_ms = (uint32_t)lround (report.customers[i].queued_ms),
    };
  m->others_in_flight_ms = (uint32_t)lround (report.rest_in_flight_ms);
  m->others_queued_ms = (uint32_t)lround (report.rest_queued_ms);
  m->others = report.rest_count;
}

void
demand_fill_state (struct edge *e, struct bb_peer_state *m)
{
  m->tells_demand = report (e);
  if (!m->tells_demand)
    return;
  for (guint i = 0; i < e->queue_list->len; i++)
    {
      const struct pool_queue *q = g_ptr_array_index (e->queue_list, i);
      for (guint k = 0; q->limited && k < q->groups->len; k++)
        put_group (g_ptr_array_index (q->groups, k), m);
    }
  put_customers (e, m);
}
