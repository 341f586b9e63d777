/* How many requests run at once, and which is next.  */

#include "bilberry/admit.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

enum
{
  QUANTUM_TOKENS = 256, /* a turn of a customer of weight 1 */
  PRIORITIES = 4,
  SPENT_START_MS = 100, /* of a request, before any has ended */
  SPENT_WEIGHT = 8,     /* of the mean against a new value */
  RETRY_MIN_MS = 100
};

struct customer;

struct item
{
  uint64_t id;
  uint32_t tokens;
  uint8_t priority;
  bool alone;
  struct customer *customer;
  struct item *prev;
  struct item *next;
  UT_hash_handle hh;
};

/* A customer with requests in the queue.  */
struct customer
{
  char *name;
  uint32_t weight;
  uint64_t queued_tokens;
  struct item *items[PRIORITIES];
  uint64_t deficit;
  struct customer *prev; /* in the round */
  struct customer *next;
  UT_hash_handle hh;
};

struct bb_admit
{
  struct bb_admit_limits limits;
  uint32_t limit;
  uint32_t in_flight;
  uint32_t queued;
  uint32_t queued_of[PRIORITIES];
  bb_ms spent_mean_ms;
  struct item *items; /* by id */
  struct customer *customers;
  struct customer *round; /* the customer whose turn it is comes first */
  bool granted;           /* the first has had its quantum */
  bool alone;             /* the request in flight runs beside no other */
};

static uint32_t
cold_limit (const struct bb_admit_limits *l)
{
  return l->cold_limit < l->limit ? l->cold_limit : l->limit;
}

struct bb_admit *
bb_admit_new (const struct bb_admit_limits *limits)
{
  struct bb_admit *a = calloc (1, sizeof *a);

  if (!a)
    abort ();
  a->limits = *limits;
  a->limit = cold_limit (limits);
  a->spent_mean_ms = SPENT_START_MS;
  return a;
}

void
bb_admit_set_limits (struct bb_admit *a, const struct bb_admit_limits *limits)
{
  a->limits = *limits;
  if (a->limit > limits->limit)
    a->limit = limits->limit;
}

static struct customer *
customer_find (struct bb_admit *a, const struct bb_admit_request *o)
{
  struct customer *c;

  HASH_FIND (hh, a->customers, o->customer.ptr, o->customer.size, c);
  if (c)
    return c;
  c = calloc (1, sizeof *c);
  if (!c)
    abort ();
  c->name = strndup (o->customer.ptr, o->customer.size);
  HASH_ADD_KEYPTR (hh, a->customers, c->name, o->customer.size, c);
  DL_APPEND (a->round, c);
  return c;
}

/* Forgets a customer with an empty queue, and its deficit with it.  */
static void
customer_drop (struct bb_admit *a, struct customer *c)
{
  if (a->round == c)
    a->granted = false;
  DL_DELETE (a->round, c);
  HASH_DEL (a->customers, c);
  free (c->name);
  free (c);
}

static void
item_remove (struct bb_admit *a, struct item *i)
{
  struct customer *c = i->customer;

  DL_DELETE (c->items[i->priority], i);
  HASH_DEL (a->items, i);
  c->queued_tokens -= i->tokens;
  a->queued--;
  a->queued_of[i->priority]--;
  free (i);
  if (c->queued_tokens == 0)
    customer_drop (a, c);
}

void
bb_admit_free (struct bb_admit *a)
{
  while (a->items)
    item_remove (a, a->items);
  free (a);
}

static uint32_t
wait_ms (const struct bb_admit *a, uint32_t ahead)
{
  uint32_t limit = a->limit ? a->limit : 1;

  if (a->in_flight < a->limit && ahead == 0)
    return 0;
  return (uint32_t)((uint64_t)a->spent_mean_ms * (ahead + 1) / limit);
}

static uint32_t
retry_ms (const struct bb_admit *a)
{
  uint32_t ms = wait_ms (a, a->queued);

  return ms > RETRY_MIN_MS ? ms : RETRY_MIN_MS;
}

/* Finds the customer with the largest share of the queue for its weight, if
   OWN with TOKENS more has not a larger one.  */
static struct customer *
find_largest (struct bb_admit *a, const struct bb_admit_request *o)
{
  struct customer *largest = NULL;
  struct customer *own;
  uint64_t tokens = o->tokens;
  uint64_t weight = o->weight;

  HASH_FIND (hh, a->customers, o->customer.ptr, o->customer.size, own);
  if (own)
    tokens += own->queued_tokens;
  for (struct customer *c = a->round; c; c = c->next)
    if (c != own && c->queued_tokens * weight > tokens * c->weight)
      {
        largest = c;
        tokens = c->queued_tokens;
        weight = c->weight;
      }
  return largest;
}

/* Removes the newest request of the lowest priority of C.  */
static uint64_t
evict (struct bb_admit *a, struct customer *c)
{
  struct item *last = NULL;
  uint64_t id;

  for (int p = 0; p < PRIORITIES && !last; p++)
    if (c->items[p])
      last = c->items[p]->prev;
  assert (last);
  id = last->id;
  item_remove (a, last);
  return id;
}

static void
item_add (struct bb_admit *a, const struct bb_admit_request *o,
          uint8_t priority)
{
  struct customer *c = customer_find (a, o);
  struct item *i = calloc (1, sizeof *i);

  if (!i)
    abort ();
  c->weight = o->weight;
  i->id = o->id;
  i->tokens = o->tokens;
  i->priority = priority;
  i->alone = o->exclusive;
  i->customer = c;
  DL_APPEND (c->items[priority], i);
  HASH_ADD (hh, a->items, id, sizeof i->id, i);
  c->queued_tokens += i->tokens;
  a->queued++;
  a->queued_of[priority]++;
}

bool
bb_admit_enqueue (struct bb_admit *a, const struct bb_admit_request *o,
                  bb_ms now, uint64_t *evicted, struct bb_verdict *v)
{
  uint8_t priority = o->priority < PRIORITIES ? o->priority : PRIORITIES - 1;
  bool cold = a->limit < a->limits.limit;
  uint32_t ahead = 0;
  struct customer *largest;

  *evicted = 0;
  for (uint32_t p = priority; p < PRIORITIES; p++)
    ahead += a->queued_of[p];
  v->run = BB_RUN_NOT_RUN;
  v->reason = cold ? BB_REASON_COLD_START : BB_REASON_OVERLOAD;
  v->retry_after_ms = retry_ms (a);
#ifndef BB_MUTANT_admit_deadline
  /* With its own queue empty, a customer waits for its turn alone.  */
  HASH_FIND (hh, a->customers, o->customer.ptr, o->customer.size, largest);
  if (!largest && ahead > HASH_COUNT (a->customers))
    ahead = HASH_COUNT (a->customers);
  if (now + wait_ms (a, ahead) >= o->deadline_ms)
    return false;
#endif
  if (a->queued >= a->limits.queue_max && a->in_flight + a->queued >= a->limit)
    {
      v->reason = cold ? BB_REASON_COLD_START : BB_REASON_QUEUE_FULL;
      largest = find_largest (a, o);
      if (!largest)
        return false;
      *evicted = evict (a, largest);
    }
  item_add (a, o, priority);
  return true;
}

static struct item *
first_of (struct customer *c, int priority)
{
  return c->items[priority];
}

static int
highest_priority (const struct bb_admit *a)
{
  int p = PRIORITIES - 1;

  while (p > 0 && a->queued_of[p] == 0)
    p--;
  return p;
}

static void
end_turn (struct bb_admit *a)
{
  struct customer *c = a->round;

  DL_DELETE (a->round, c);
  DL_APPEND (a->round, c);
  a->granted = false;
}

uint64_t
bb_admit_next (struct bb_admit *a)
{
  int priority = highest_priority (a);

  if (a->queued == 0 || a->in_flight >= a->limit || a->alone)
    return 0;
  for (;;)
    {
      struct customer *c = a->round;
      struct item *i = first_of (c, priority);
      uint64_t id;
      if (!i)
        {
          end_turn (a);
          continue;
        }
      if (!a->granted)
        c->deficit += (uint64_t)QUANTUM_TOKENS * c->weight;
      a->granted = true;
      if (c->deficit < i->tokens)
        {
          end_turn (a);
          continue;
        }
#ifndef BB_MUTANT_poison_alone
      if (i->alone && a->in_flight > 0)
        return 0;
      a->alone = i->alone;
#endif
      c->deficit -= i->tokens;
      id = i->id;
      item_remove (a, i);
      a->in_flight++;
      return id;
    }
}

bool
bb_admit_cancel (struct bb_admit *a, uint64_t id)
{
  struct item *i;

  HASH_FIND (hh, a->items, &id, sizeof id, i);
  if (i)
    item_remove (a, i);
  return i != NULL;
}

void
bb_admit_end (struct bb_admit *a, bool well, bb_ms spent_ms)
{
  assert (a->in_flight > 0);
  a->in_flight--;
  a->alone = false;
  if (!well)
    return;
  a->spent_mean_ms += (spent_ms - a->spent_mean_ms) / SPENT_WEIGHT;
#ifndef BB_MUTANT_admit_cold
  if (a->limit < a->limits.limit)
    a->limit++;
#else
  a->limit = a->limits.limit;
#endif
}

void
bb_admit_upstream_restarted (struct bb_admit *a)
{
  a->limit = cold_limit (&a->limits);
}

struct bb_admit_stats
bb_admit_stats (const struct bb_admit *a)
{
  struct bb_admit_stats s = { .in_flight = a->in_flight,
                              .queued = a->queued,
                              .limit = a->limit,
                              .cold = a->limit < a->limits.limit,
                              .wait_ms = wait_ms (a, a->queued),
                              .customers = HASH_COUNT (a->customers) };

  return s;
}
