/* Fair shares of customers: the work of each over all edges, and what it may
   have of the capacity.  */

#include "bilberry/allot.h"
#include "fill.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

static const double work_max_ms = 1e9;
static const double weight_min = 0.001;
static const double weight_max = 1000;

struct customer
{
  struct bb_shares_work own;
  double peers_in_flight_ms; /* as of the last update */
  double peers_queued_ms;
  double weight;
  bool waits; /* had queued work at the last update */
};

struct peer
{
  uint64_t id;
  bb_ms heard_ms;
  struct bb_shares_report report;
};

struct bb_shares
{
  bb_shares_weight_fn *weight;
  void *arg;
  struct customer customers[BB_SHARES_CUSTOMERS_MAX]; /* by own.customer */
  uint32_t customers_count;
  struct peer peers[BB_SHARES_PEERS_MAX];
  uint32_t peers_count;
  double level;     /* share of a customer of weight 1 */
  uint32_t waiting; /* customers with queued work, as of the last update */
};

struct bb_shares *
bb_shares_new (bb_shares_weight_fn *weight, void *arg)
{
  struct bb_shares *s = calloc (1, sizeof *s);

  if (!s)
    abort ();
  s->weight = weight;
  s->arg = arg;
  s->level = INFINITY;
  return s;
}

void
bb_shares_free (struct bb_shares *s)
{
  free (s);
}

/* Returns the index of the first customer that is not below ID.  */
static uint32_t
place_of (const struct bb_shares *s, uint64_t id)
{
  uint32_t low = 0;
  uint32_t high = s->customers_count;

  while (low < high)
    {
      uint32_t mid = (low + high) / 2;
      if (s->customers[mid].own.customer < id)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

static const struct customer *
find_customer (const struct bb_shares *s, uint64_t id)
{
  uint32_t k = place_of (s, id);

  if (k == s->customers_count || s->customers[k].own.customer != id)
    return NULL;
  return &s->customers[k];
}

static double
clip_work (double ms)
{
  return isfinite (ms) && ms > 0 ? fmin (ms, work_max_ms) : 0;
}

static double
in_flight_of (const struct customer *c)
{
  return c->own.in_flight_ms + c->peers_in_flight_ms;
}

static double
queued_of (const struct customer *c)
{
  return c->own.queued_ms + c->peers_queued_ms;
}

static double
work_of (const struct customer *c)
{
  return in_flight_of (c) + queued_of (c);
}

static double
weight_of (const struct bb_shares *s, uint64_t id)
{
  double weight = s->weight ? s->weight (s->arg, id) : 1;

  return weight > weight_min ? fmin (weight, weight_max) : weight_min;
}

/* Makes room for a customer with WORK_MS.  Returns whether there is.  */
static bool
make_room (struct bb_shares *s, double work_ms)
{
  uint32_t least = 0;

  if (s->customers_count < BB_SHARES_CUSTOMERS_MAX)
    return true;
  for (uint32_t k = 1; k < s->customers_count; k++)
    if (work_of (&s->customers[k]) < work_of (&s->customers[least]))
      least = k;
  if (work_of (&s->customers[least]) >= work_ms)
    return false;
  s->customers_count--;
  memmove (&s->customers[least], &s->customers[least + 1],
           (s->customers_count - least) * sizeof s->customers[0]);
  return true;
}

/* Returns the customer ID, which is added if it has WORK_MS and there is
   room; else NULL.  */
static struct customer *
add_customer (struct bb_shares *s, uint64_t id, double work_ms)
{
  uint32_t k = place_of (s, id);

  if (k < s->customers_count && s->customers[k].own.customer == id)
    return &s->customers[k];
  if (work_ms <= 0 || !make_room (s, work_ms))
    return NULL;
  k = place_of (s, id);
  memmove (&s->customers[k + 1], &s->customers[k],
           (s->customers_count - k) * sizeof s->customers[0]);
  s->customers_count++;
  s->customers[k]
      = (struct customer){ .own.customer = id, .weight = weight_of (s, id) };
  return &s->customers[k];
}

bool
bb_shares_set_own (struct bb_shares *s, const struct bb_shares_work *work)
{
  double in_flight_ms = clip_work (work->in_flight_ms);
  double queued_ms = clip_work (work->queued_ms);
  struct customer *c
      = add_customer (s, work->customer, in_flight_ms + queued_ms);

  if (!c)
    return in_flight_ms + queued_ms <= 0;
  c->own.in_flight_ms = in_flight_ms;
  c->own.queued_ms = queued_ms;
  return true;
}

static double
own_work (const struct bb_shares_work *w)
{
  return w->in_flight_ms + w->queued_ms;
}

static void
add_to_rest (struct bb_shares_report *r, const struct bb_shares_work *w)
{
  r->rest_in_flight_ms += w->in_flight_ms;
  r->rest_queued_ms += w->queued_ms;
  r->rest_count++;
}

/* Inserts W into the customers of R, the largest first.  */
static void
add_to_report (struct bb_shares_report *r, const struct bb_shares_work *w)
{
  uint32_t k = r->count;

  if (k == BB_SHARES_REPORT_MAX)
    {
      if (own_work (w) <= own_work (&r->customers[k - 1]))
        {
          add_to_rest (r, w);
          return;
        }
      add_to_rest (r, &r->customers[--k]);
    }
  else
    r->count++;
  for (; k > 0 && own_work (w) > own_work (&r->customers[k - 1]); k--)
    r->customers[k] = r->customers[k - 1];
  r->customers[k] = *w;
}

void
bb_shares_get_report (const struct bb_shares *s,
                      struct bb_shares_report *report)
{
  memset (report, 0, sizeof *report);
  for (uint32_t k = 0; k < s->customers_count; k++)
    if (own_work (&s->customers[k].own) > 0)
      add_to_report (report, &s->customers[k].own);
}

static struct peer *
find_peer (struct bb_shares *s, uint64_t id)
{
  for (uint32_t i = 0; i < s->peers_count; i++)
    if (s->peers[i].id == id)
      return &s->peers[i];
  return NULL;
}

void
bb_shares_apply (struct bb_shares *s, uint64_t peer,
                 const struct bb_shares_report *report, bb_ms now)
{
  struct peer *p = find_peer (s, peer);

  if (!p && s->peers_count < BB_SHARES_PEERS_MAX)
    p = &s->peers[s->peers_count++];
  if (!p)
    return;
  p->id = peer;
  p->heard_ms = now;
  p->report = *report;
  if (p->report.count > BB_SHARES_REPORT_MAX)
    p->report.count = BB_SHARES_REPORT_MAX;
}

void
bb_shares_remove_peer (struct bb_shares *s, uint64_t peer)
{
  struct peer *p = find_peer (s, peer);

  if (p)
    *p = s->peers[--s->peers_count];
}

static void
remove_silent_peers (struct bb_shares *s, bb_ms now)
{
  for (uint32_t i = s->peers_count; i-- > 0;)
    if (now - s->peers[i].heard_ms >= BB_ALLOT_SILENT_MS)
      s->peers[i] = s->peers[--s->peers_count];
}

static void
add_peer_work (struct bb_shares *s, const struct bb_shares_work *w)
{
  double in_flight_ms = clip_work (w->in_flight_ms);
  double queued_ms = clip_work (w->queued_ms);
  struct customer *c = add_customer (s, w->customer, in_flight_ms + queued_ms);

  if (!c)
    return;
  c->peers_in_flight_ms += in_flight_ms;
  c->peers_queued_ms += queued_ms;
}

/* Sums the reports of peers, and removes customers without work.  */
static void
sum_peers (struct bb_shares *s)
{
  uint32_t kept = 0;

  for (uint32_t k = 0; k < s->customers_count; k++)
    {
      s->customers[k].peers_in_flight_ms = 0;
      s->customers[k].peers_queued_ms = 0;
    }
#ifndef BB_MUTANT_shares_peers
  for (uint32_t i = 0; i < s->peers_count; i++)
    for (uint32_t k = 0; k < s->peers[i].report.count; k++)
      add_peer_work (s, &s->peers[i].report.customers[k]);
#endif
  for (uint32_t k = 0; k < s->customers_count; k++)
    if (work_of (&s->customers[k]) > 0)
      s->customers[kept++] = s->customers[k];
  s->customers_count = kept;
}

/* The rest of a report is so many customers with equal demand.  */
static uint32_t
add_rest (struct bb_shares *s, const struct bb_shares_report *r,
          struct bb_fill_item *item)
{
  double in_flight_ms = clip_work (r->rest_in_flight_ms);
  double queued_ms = clip_work (r->rest_queued_ms);

  if (r->rest_count == 0 || in_flight_ms + queued_ms <= 0)
    return 0;
  item->demand = in_flight_ms + queued_ms;
  item->weight = r->rest_count;
  s->waiting += queued_ms > 0;
  return 1;
}

void
bb_shares_update (struct bb_shares *s, double capacity_ms, bb_ms now)
{
  struct bb_fill_item items[BB_SHARES_CUSTOMERS_MAX + BB_SHARES_PEERS_MAX];
  uint32_t count = 0;

  remove_silent_peers (s, now);
  sum_peers (s);
  s->waiting = 0;
  for (uint32_t k = 0; k < s->customers_count; k++)
    {
      struct customer *c = &s->customers[k];
      c->weight = weight_of (s, c->own.customer);
      items[count].demand = work_of (c);
      items[count++].weight = c->weight;
      c->waits = queued_of (c) > 0;
      s->waiting += c->waits;
    }
  for (uint32_t i = 0; i < s->peers_count; i++)
    count += add_rest (s, &s->peers[i].report, &items[count]);
  if (isfinite (capacity_ms) && capacity_ms >= 0)
    s->level = bb_fill_level (items, count, capacity_ms);
  else
    s->level = INFINITY;
}

double
bb_shares_share_ms (const struct bb_shares *s, uint64_t customer)
{
  const struct customer *c = find_customer (s, customer);

  return s->level * (c ? c->weight : weight_of (s, customer));
}

double
bb_shares_ratio (const struct bb_shares *s, uint64_t customer)
{
  const struct customer *c = find_customer (s, customer);
  double share_ms;

  if (!c || in_flight_of (c) <= 0)
    return 0;
  share_ms = s->level * c->weight;
  return share_ms > 0 ? in_flight_of (c) / share_ms : INFINITY;
}

/* Whether customers other than C had queued work at the last update.  */
static bool
others_wait (const struct bb_shares *s, const struct customer *c)
{
  return s->waiting > (c->waits ? 1 : 0);
}

bool
bb_shares_is_over (const struct bb_shares *s, uint64_t customer)
{
  const struct customer *c = find_customer (s, customer);

  return c && others_wait (s, c) && bb_shares_ratio (s, customer) >= 1;
}

double
bb_shares_counted_part (const struct bb_shares *s, uint64_t customer)
{
  const struct customer *c = find_customer (s, customer);
  double room_ms;

  if (!c || !others_wait (s, c))
    return 1;
#ifdef BB_MUTANT_shares_counted
  return 1;
#endif
  room_ms = s->level * c->weight - in_flight_of (c);
  if (room_ms <= 0)
    return 0;
  return queued_of (c) > room_ms ? room_ms / queued_of (c) : 1;
}

double
bb_shares_surplus_part (const struct bb_shares *s, uint64_t customer)
{
#ifndef BB_MUTANT_shares_surplus
  if (bb_shares_is_over (s, customer))
    return 1 - 1 / bb_shares_ratio (s, customer);
#endif
  return 0;
}
