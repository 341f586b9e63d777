/* Admission control: how many requests run at once, and which starts next.  */

#include "bilberry/admit.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

enum
{
  QUANTUM_TOKENS = 256, /* tokens that a turn of a customer adds to its
                           deficit, times its weight */
  PRIORITY_COUNT = 4,
  INITIAL_MEAN_DURATION_MS = 100, /* assumed before any request has ended */
  DURATION_SMOOTHING = 8, /* a new duration has the weight 1 over this */
  RETRY_AFTER_MIN_MS = 100
};

struct customer;

struct queued_request
{
  uint64_t id;
  uint32_t tokens;
  uint8_t priority;
  bool exclusive;
  struct customer *customer;
  struct queued_request *prev;
  struct queued_request *next;
  UT_hash_handle hh;
};

/* A customer with queued requests.  */
struct customer
{
  char *name;
  uint32_t weight;
  uint64_t queued_tokens;
  struct queued_request *queues[PRIORITY_COUNT];
  uint64_t deficit;      /* tokens that it may still start in this turn */
  struct customer *prev; /* list bb_admit.round_robin */
  struct customer *next;
  UT_hash_handle hh;
};

struct bb_admit
{
  struct bb_admit_limits limits;
  uint32_t limit;
  uint32_t in_flight;
  uint32_t queued;
  uint32_t queued_by_priority[PRIORITY_COUNT];
  bb_ms mean_duration_ms; /* moving average over requests that succeeded */
  struct queued_request *requests; /* hash table by id */
  struct customer *customers;      /* hash table by name */
  struct customer *round_robin;    /* list; the first customer has its turn */
  bool quantum_added; /* the first customer has got its tokens for this turn */
  bool running_exclusive; /* an exclusive request is in flight */
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
  a->mean_duration_ms = INITIAL_MEAN_DURATION_MS;
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
find_or_add_customer (struct bb_admit *a, const struct bb_admit_request *r)
{
  struct customer *c;

  HASH_FIND (hh, a->customers, r->customer.ptr, r->customer.size, c);
  if (c)
    return c;
  c = calloc (1, sizeof *c);
  if (c)
    c->name = malloc (r->customer.size + 1);
  if (!c || !c->name)
    abort ();
  if (r->customer.size > 0)
    memcpy (c->name, r->customer.ptr, r->customer.size);
  HASH_ADD_KEYPTR (hh, a->customers, c->name, r->customer.size, c);
  DL_APPEND (a->round_robin, c);
  return c;
}

/* Removes a customer without queued requests, whose deficit is lost.  */
static void
remove_customer (struct bb_admit *a, struct customer *c)
{
  if (a->round_robin == c)
    a->quantum_added = false;
  DL_DELETE (a->round_robin, c);
  HASH_DEL (a->customers, c);
  free (c->name);
  free (c);
}

static void
remove_request (struct bb_admit *a, struct queued_request *q)
{
  struct customer *c = q->customer;

  DL_DELETE (c->queues[q->priority], q);
  HASH_DEL (a->requests, q);
  c->queued_tokens -= q->tokens;
  a->queued--;
  a->queued_by_priority[q->priority]--;
  free (q);
  if (c->queued_tokens == 0)
    remove_customer (a, c);
}

void
bb_admit_free (struct bb_admit *a)
{
  while (a->requests)
    remove_request (a, a->requests);
  free (a);
}

/* Returns the expected time in milliseconds until the start of a request with
   AHEAD requests before it in the queue.  */
static uint32_t
expected_wait_ms (const struct bb_admit *a, uint32_t ahead)
{
  uint32_t limit = a->limit ? a->limit : 1;

  if (a->in_flight < a->limit && ahead == 0)
    return 0;
  return (uint32_t)((uint64_t)a->mean_duration_ms * (ahead + 1) / limit);
}

/* Returns after how many milliseconds a refused caller should retry.  */
static uint32_t
retry_after_ms (const struct bb_admit *a)
{
  uint32_t expected_ms = expected_wait_ms (a, a->queued);

  return expected_ms > RETRY_AFTER_MIN_MS ? expected_ms : RETRY_AFTER_MIN_MS;
}

/* Returns the customer with the largest share of the queue, in tokens divided
   by weight; NULL where no share is larger than that of the customer of R with
   R added.  */
static struct customer *
find_largest_share (struct bb_admit *a, const struct bb_admit_request *r)
{
  struct customer *largest = NULL;
  struct customer *own;
  uint64_t tokens = r->tokens;
  uint64_t weight = r->weight;

  HASH_FIND (hh, a->customers, r->customer.ptr, r->customer.size, own);
  if (own)
    tokens += own->queued_tokens;
  for (struct customer *c = a->round_robin; c; c = c->next)
    if (c != own && c->queued_tokens * weight > tokens * c->weight)
      {
        largest = c;
        tokens = c->queued_tokens;
        weight = c->weight;
      }
  return largest;
}

/* Removes the newest request of the lowest priority of C and returns its id.
 */
static uint64_t
evict (struct bb_admit *a, struct customer *c)
{
  struct queued_request *last = NULL;
  uint64_t id;

  for (int p = 0; p < PRIORITY_COUNT && !last; p++)
    if (c->queues[p])
      last = c->queues[p]->prev;
  assert (last);
  id = last->id;
  remove_request (a, last);
  return id;
}

static void
add_request (struct bb_admit *a, const struct bb_admit_request *r,
             uint8_t priority)
{
  struct customer *c = find_or_add_customer (a, r);
  struct queued_request *q = calloc (1, sizeof *q);

  if (!q)
    abort ();
  c->weight = r->weight;
  q->id = r->id;
  q->tokens = r->tokens;
  q->priority = priority;
  q->exclusive = r->exclusive;
  q->customer = c;
  DL_APPEND (c->queues[priority], q);
  HASH_ADD (hh, a->requests, id, sizeof q->id, q);
  c->queued_tokens += q->tokens;
  a->queued++;
  a->queued_by_priority[priority]++;
}

bool
bb_admit_enqueue (struct bb_admit *a, const struct bb_admit_request *r,
                  bb_ms now, uint64_t *evicted, struct bb_request_result *v)
{
  uint8_t priority
      = r->priority < PRIORITY_COUNT ? r->priority : PRIORITY_COUNT - 1;
  bool cold = a->limit < a->limits.limit;
  uint32_t ahead = 0;
  struct customer *largest;

  *evicted = 0;
  for (uint32_t p = priority; p < PRIORITY_COUNT; p++)
    ahead += a->queued_by_priority[p];
  v->run = BB_RUN_NOT_RUN;
  v->reason = cold ? BB_REASON_COLD_START : BB_REASON_OVERLOAD;
  v->retry_after_ms = retry_after_ms (a);
#ifndef BB_MUTANT_admit_deadline
  /* A customer without queued requests waits for no more than one turn of each
     other customer.  */
  HASH_FIND (hh, a->customers, r->customer.ptr, r->customer.size, largest);
  if (!largest && ahead > HASH_COUNT (a->customers))
    ahead = HASH_COUNT (a->customers);
  if (now + expected_wait_ms (a, ahead) >= r->deadline_ms)
    return false;
#endif
  if (a->queued >= a->limits.queue_max && a->in_flight + a->queued >= a->limit)
    {
      v->reason = cold ? BB_REASON_COLD_START : BB_REASON_QUEUE_FULL;
      largest = find_largest_share (a, r);
      if (!largest)
        return false;
      *evicted = evict (a, largest);
    }
  add_request (a, r, priority);
  return true;
}

static struct queued_request *
first_request (struct customer *c, int priority)
{
  return c->queues[priority];
}

static int
highest_priority (const struct bb_admit *a)
{
  int p = PRIORITY_COUNT - 1;

  while (p > 0 && a->queued_by_priority[p] == 0)
    p--;
  return p;
}

/* Moves the first customer of the round robin to its end.  */
static void
end_turn (struct bb_admit *a)
{
  struct customer *c = a->round_robin;

  DL_DELETE (a->round_robin, c);
  DL_APPEND (a->round_robin, c);
  a->quantum_added = false;
}

uint64_t
bb_admit_next (struct bb_admit *a)
{
  int priority = highest_priority (a);

  if (a->queued == 0 || a->in_flight >= a->limit || a->running_exclusive)
    return 0;
  for (;;)
    {
      struct customer *c = a->round_robin;
      struct queued_request *q = first_request (c, priority);
      uint64_t id;
      if (!q)
        {
          end_turn (a);
          continue;
        }
      if (!a->quantum_added)
        c->deficit += (uint64_t)QUANTUM_TOKENS * c->weight;
      a->quantum_added = true;
      if (c->deficit < q->tokens)
        {
          end_turn (a);
          continue;
        }
#ifndef BB_MUTANT_poison_alone
      if (q->exclusive && a->in_flight > 0)
        return 0;
      a->running_exclusive = q->exclusive;
#endif
      c->deficit -= q->tokens;
      id = q->id;
      remove_request (a, q);
      a->in_flight++;
      return id;
    }
}

bool
bb_admit_cancel (struct bb_admit *a, uint64_t id)
{
  struct queued_request *q;

  HASH_FIND (hh, a->requests, &id, sizeof id, q);
  if (q)
    remove_request (a, q);
  return q != NULL;
}

void
bb_admit_end (struct bb_admit *a, bool succeeded, bb_ms duration_ms)
{
  assert (a->in_flight > 0);
  a->in_flight--;
  a->running_exclusive = false;
  if (!succeeded)
    return;
  a->mean_duration_ms
      += (duration_ms - a->mean_duration_ms) / DURATION_SMOOTHING;
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
                              .wait_ms = expected_wait_ms (a, a->queued),
                              .customers = HASH_COUNT (a->customers) };

  return s;
}
