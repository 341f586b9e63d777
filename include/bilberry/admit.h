#ifndef BILBERRY_ADMIT_H
#define BILBERRY_ADMIT_H

/* libadmit - decisions of an agent about the requests before its upstream.
   Pure: no socket, no clock, no global.  Link with -ladmit.  */

#include "bilberry/base.h"

/* Limits of one upstream, from the settings.  */
struct bb_admit_limits
{
  uint32_t limit;      /* requests at once when warm */
  uint32_t cold_limit; /* requests at once just after a start */
  uint32_t queue;      /* requests that may wait */
};

struct bb_admit;

struct bb_admit *bb_admit_new (const struct bb_admit_limits *limits);
void bb_admit_free (struct bb_admit *a);

/* Puts new limits in force; the present limit is kept within them.  */
void bb_admit_set_limits (struct bb_admit *a,
                          const struct bb_admit_limits *limits);

/* A request that asks for admission.  */
struct bb_offer
{
  uint64_t id; /* not 0 */
  struct bb_bytes customer;
  uint32_t weight;  /* share against other customers, at least 1 */
  uint32_t tokens;  /* estimated, at least 1 */
  uint8_t priority; /* a higher one goes first */
  bb_ms deadline;
};

/* Takes a request into the queue, or refuses it at once with a verdict of
   BB_RUN_NOT_RUN and the wait after which it may ask again: when it could not
   start before its deadline, or when the queue is full and its customer is
   the one with the largest share of it.  Otherwise *EVICTED is the request
   that had to make room, to be refused with the same verdict; 0 for none.  */
bool bb_admit_offer (struct bb_admit *a, const struct bb_offer *o, bb_ms now,
                     uint64_t *evicted, struct bb_verdict *v);

/* Starts the next request: the highest priority, then the customers in turn
   by deficit round robin in tokens.  Returns its id; 0 where none may start.
 */
uint64_t bb_admit_next (struct bb_admit *a);

/* Takes a request out of the queue; false where it is not there.  */
bool bb_admit_withdraw (struct bb_admit *a, uint64_t id);

/* A request that was started ended after SPENT_MS; WELL: with an answer of
   the upstream.  Each such answer raises the limit by one.  */
void bb_admit_end (struct bb_admit *a, bool well, bb_ms spent_ms);

/* The upstream started anew and bears little.  */
void bb_admit_restarted (struct bb_admit *a);

struct bb_admit_stats
{
  uint32_t in_flight;
  uint32_t queued;
  uint32_t limit;
  bool cold;
  uint32_t wait_ms;   /* of a request that would come now */
  uint32_t customers; /* with requests in the queue */
};

struct bb_admit_stats bb_admit_stats (const struct bb_admit *a);

#endif
