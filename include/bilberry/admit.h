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
  uint32_t queue_max;  /* requests that may wait */
};

struct bb_admit;

struct bb_admit *bb_admit_new (const struct bb_admit_limits *limits);
void bb_admit_free (struct bb_admit *a);

/* Puts new limits in force; the present limit is kept within them.  */
void bb_admit_set_limits (struct bb_admit *a,
                          const struct bb_admit_limits *limits);

/* A request that asks for admission.  */
struct bb_admit_request
{
  uint64_t id; /* not 0 */
  struct bb_bytes customer;
  uint32_t weight;  /* share against other customers, at least 1 */
  uint32_t tokens;  /* estimated, at least 1 */
  uint8_t priority; /* a higher one goes first */
  bool exclusive;   /* runs beside no other request */
  bb_ms deadline_ms;
};

/* Takes a request into the queue, or refuses it at once with a verdict of
   BB_RUN_NOT_RUN and the wait after which it may ask again: when it could not
   start before its deadline, or when the queue is full and its customer is
   the one with the largest share of it.  Otherwise *EVICTED is the request
   that had to make room, to be refused with the same verdict; 0 for none.  */
bool bb_admit_enqueue (struct bb_admit *a, const struct bb_admit_request *r,
                       bb_ms now, uint64_t *evicted, struct bb_verdict *v);

/* Starts the next request: the highest priority, then the customers in turn
   by deficit round robin in tokens.  Returns its id; 0 where none may start.
 */
uint64_t bb_admit_next (struct bb_admit *a);

/* Takes a request out of the queue; false where it is not there.  */
bool bb_admit_cancel (struct bb_admit *a, uint64_t id);

/* A request that was started ended after SPENT_MS; WELL: with an answer of
   the upstream.  Each such answer raises the limit by one.  */
void bb_admit_end (struct bb_admit *a, bool succeeded, bb_ms duration_ms);

/* The upstream started anew and bears little.  */
void bb_admit_upstream_restarted (struct bb_admit *a);

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

/* Which requests may be the ones that crash upstreams.  A request is known by
   its fingerprint; a crash by an event number drawn by the agent that saw it.
   One event makes a fingerprint suspect, two quarantine it.  Bounded; old
   entries are forgotten.  */
struct bb_poison;

enum bb_poison_state
{
  BB_POISON_CLEAN,
  BB_POISON_SUSPECT,    /* runs alone */
  BB_POISON_QUARANTINED /* is refused */
};

struct bb_poison *bb_poison_new (void);
void bb_poison_free (struct bb_poison *p);

/* Notes that FINGERPRINT was in flight at the crash EVENT, AGE_MS ago.
   Returns false where that is known or too old.  */
bool bb_poison_record_crash (struct bb_poison *p, uint64_t fingerprint,
                             uint64_t event, bb_ms age_ms, bb_ms now);

/* A request with FINGERPRINT ended well: a suspicion ends, a quarantine does
   not.  */
void bb_poison_clear (struct bb_poison *p, uint64_t fingerprint, bb_ms now);

enum bb_poison_state bb_poison_state (struct bb_poison *p,
                                      uint64_t fingerprint, bb_ms now);

/* Returns the time until FINGERPRINT is forgotten; 0 where it is clean.  */
bb_ms bb_poison_remaining_ms (struct bb_poison *p, uint64_t fingerprint,
                              bb_ms now);

/* Calls FN with each event that is still held, for a peer that has just
   connected.  */
typedef void bb_poison_fn (void *arg, uint64_t fingerprint, uint64_t event,
                           bb_ms age_ms);
void bb_poison_each (struct bb_poison *p, bb_ms now, bb_poison_fn *fn,
                     void *arg);

/* Returns how many fingerprints are quarantined.  */
uint32_t bb_poison_quarantined (struct bb_poison *p, bb_ms now);

#endif
