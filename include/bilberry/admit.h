#ifndef BILBERRY_ADMIT_H
#define BILBERRY_ADMIT_H

/* libadmit - admission control of an agent: how many requests run at its
   upstream at once, which queued request starts next, and which requests are
   suspected of crashing upstreams.  The functions use no socket, no clock and
   no global state; the caller passes the time.  Link with -ladmit.

   NOW and all points in time are in milliseconds of one monotonic clock.  */

#include "bilberry/base.h"

/* Limits of one upstream, from the settings.  */
struct bb_admit_limits
{
  uint32_t limit; /* limit on requests in flight, once the upstream is warm */
  uint32_t cold_limit; /* limit on requests in flight, just after a start of
                          the upstream */
  uint32_t queue_max;  /* limit on queued requests */
};

/* Admission control of one upstream.  */
struct bb_admit;

/* Returns the admission control of an upstream that has just started.  The
   caller frees it with bb_admit_free.  */
struct bb_admit *bb_admit_new (const struct bb_admit_limits *limits);
void bb_admit_free (struct bb_admit *a);

/* Replaces the limits.  The present limit on requests in flight is lowered
   where the new one is lower, but not raised.  */
void bb_admit_set_limits (struct bb_admit *a,
                          const struct bb_admit_limits *limits);

/* A request that asks for admission.  */
struct bb_admit_request
{
  uint64_t id; /* identifies the request; not 0 */
  struct bb_bytes customer;
  uint32_t weight;  /* weight of the customer relative to others, at least 1 */
  uint32_t tokens;  /* estimated cost in tokens, at least 1 */
  uint8_t priority; /* from 0 to 3, a higher one starts first; larger values
                       count as 3 */
  bool exclusive;   /* no other request may run at the same time */
  bb_ms deadline_ms;
};

/* Queues the request R, or refuses it.  Returns whether it was queued.

   R is refused if it is not expected to start before its deadline.  It is also
   refused if the queue is full and no other customer has a larger share of the
   queue, in tokens divided by weight, than the customer of R would have.
   Otherwise a full queue evicts the newest request of the lowest priority of
   the customer with the largest share.  The queue is full where it has
   queue_max requests and, with those in flight, at least as many as the
   present limit.

   *EVICTED is set to the id of the evicted request, 0 for none.  *V is always
   set to a result of BB_RUN_NOT_RUN, with the time after which to retry; the
   caller refuses R or the evicted request with it.  */
bool bb_admit_enqueue (struct bb_admit *a, const struct bb_admit_request *r,
                       bb_ms now, uint64_t *evicted,
                       struct bb_request_result *v);

/* Removes the request that starts next from the queue, counts it as in flight
   and returns its id; 0 where none may start now.  The highest priority comes
   first.  Within it, customers take turns by deficit round robin in tokens,
   and requests of one customer keep their order.  An exclusive request starts
   only when none is in flight, and none starts while it runs.  */
uint64_t bb_admit_next (struct bb_admit *a);

/* Removes the request ID from the queue.  Returns false where it is not
   queued.  */
bool bb_admit_cancel (struct bb_admit *a, uint64_t id);

/* Records that a request in flight ended DURATION_MS after its start.
   SUCCEEDED is whether the upstream answered it; then the duration enters the
   mean, and the limit is raised by one up to that of the settings.  */
void bb_admit_end (struct bb_admit *a, bool succeeded, bb_ms duration_ms);

/* Records that the upstream restarted: the limit on requests in flight is the
   cold limit again, until answers raise it.  */
void bb_admit_upstream_restarted (struct bb_admit *a);

struct bb_admit_stats
{
  uint32_t in_flight;
  uint32_t queued;
  uint32_t limit;     /* present limit on requests in flight */
  bool cold;          /* the present limit is below that of the settings */
  uint32_t wait_ms;   /* expected wait of a request that comes now */
  uint32_t customers; /* customers with queued requests */
};

struct bb_admit_stats bb_admit_stats (const struct bb_admit *a);

/* Detection of requests that crash upstreams.  A request is known by its
   fingerprint, a hash of what the caller sent, so that a repetition is
   recognized.  A crash is known by an event number, which the process that saw
   it draws at random.

   A fingerprint that was in flight at a crash is suspect.  One that was sent
   again as a suspect, and was in flight at a crash once more, is quarantined.
   Two crashes of which neither preceded the sending of the other, as of
   several upstreams of one VM, do not add up: a request that many callers send
   is in flight at all of them.  An answer proves that crashes up to then had
   another cause.

   The number of fingerprints is limited: the one that changed longest ago is
   dropped first.  */
struct bb_poison;

/* That a request was in flight at a crash.  */
struct bb_crash
{
  uint64_t fingerprint; /* 0 is ignored */
  uint64_t event;
  uint64_t prior; /* bb_poison_event of the fingerprint when the request was
                     sent; 0: it was not suspect */
  bb_ms age_ms;   /* time since the crash */
};

enum bb_poison_state
{
  BB_POISON_CLEAN,
  BB_POISON_SUSPECT,    /* its request must be isolated from other suspects */
  BB_POISON_QUARANTINED /* its requests are to be refused */
};

/* Returns a detection without crashes, which the caller frees with
   bb_poison_free.  */
struct bb_poison *bb_poison_new (void);
void bb_poison_free (struct bb_poison *p);

/* Records C.  Returns whether the state of its fingerprint changes by it; if
   so, other processes are to be told.  */
bool bb_poison_record_crash (struct bb_poison *p, const struct bb_crash *c,
                             bb_ms now);

/* Records that a request with FINGERPRINT was answered at ANSWERED_MS.  A
   suspect is clean again, unless its crash is newer; a quarantined one is not.
   Returns whether it was suspect; if so, other processes are to be told.  */
bool bb_poison_clear (struct bb_poison *p, uint64_t fingerprint,
                      bb_ms answered_ms);

/* Returns the state of FINGERPRINT at NOW.  */
enum bb_poison_state bb_poison_state (struct bb_poison *p,
                                      uint64_t fingerprint, bb_ms now);

/* Returns the number of the crash that made FINGERPRINT suspect or
   quarantined; 0 where it is clean.  */
uint64_t bb_poison_event (struct bb_poison *p, uint64_t fingerprint,
                          bb_ms now);

/* Returns the time in milliseconds until FINGERPRINT, suspect or quarantined,
   is clean again; 0 where it is clean.  */
bb_ms bb_poison_remaining_ms (struct bb_poison *p, uint64_t fingerprint,
                              bb_ms now);

typedef void bb_poison_fn (void *arg, const struct bb_crash *c);

/* Calls FN with ARG for each fingerprint that is not clean, to send them all
   to a peer that has just connected.  */
void bb_poison_each (struct bb_poison *p, bb_ms now, bb_poison_fn *fn,
                     void *arg);

/* Returns the number of quarantined fingerprints.  */
uint32_t bb_poison_quarantined (struct bb_poison *p, bb_ms now);

/* Detection of parts of prompts that crash each upstream that answers a
   request with them, whatever else the request holds.  A part is known by a
   hash, 0 is none.

   A part of a request that was answered completely is sound, for some time
   after the last such answer.  The other parts of a request that was in flight
   at a crash are suspect, until one is found to be sound.  A part is
   quarantined
   - where a request in which no other part is suspect was isolated at a crash,
     and the same part, again alone, was in flight at another crash in another
     request,
   - where it was in flight at three crashes, each time in another, isolated
     request: it comes with another part always, and neither is ever answered.
   A crash at which a quarantined part was in flight makes no other part
   suspect.  An answer shows also a quarantined part to be sound.

   The number of sound parts and of crashes is limited: the oldest are dropped
   first.  */
struct bb_parts;

enum
{
  BB_PARTS_MAX = 16 /* parts of one request */
};

/* A request that was in flight at a crash, with those of its parts that are
   not known to be sound.  */
struct bb_part_crash
{
  uint64_t event;   /* number of the crash, drawn by the process that saw it */
  uint64_t request; /* fingerprint of the request */
  uint64_t parts[BB_PARTS_MAX];
  uint32_t parts_count;
  bool isolated;    /* it was the only suspect request at the upstream, and was
                       suspect for its parts alone */
  bool quarantined; /* each of PARTS is quarantined */
  bb_ms age_ms;     /* time since the crash */
};

/* Returns a detection that knows no parts, which the caller frees with
   bb_parts_free.  */
struct bb_parts *bb_parts_new (void);
void bb_parts_free (struct bb_parts *p);

/* Records C, without the parts that are known to be sound.  Where it tells
   something new, returns what is known of it now, which other processes are to
   be told; valid until the next call.  Returns NULL where it is known already,
   or all its parts are sound.  */
const struct bb_part_crash *
bb_parts_record_crash (struct bb_parts *p, const struct bb_part_crash *c,
                       bb_ms now);

/* Records that a request with PART was answered at NOW.  Returns whether PART
   was suspect or quarantined; if so, other processes are to be told.  */
bool bb_parts_record_sound (struct bb_parts *p, uint64_t part, bb_ms now);

/* Returns whether PART is known to be sound.  */
bool bb_parts_is_sound (struct bb_parts *p, uint64_t part, bb_ms now);

/* Returns the worst state of the COUNT parts at PARTS.  */
enum bb_poison_state bb_parts_state (struct bb_parts *p, const uint64_t *parts,
                                     uint32_t count, bb_ms now);

/* Returns the time in milliseconds until none of the parts is suspect or
   quarantined by a crash up to now; 0 where none is.  */
bb_ms bb_parts_remaining_ms (struct bb_parts *p, const uint64_t *parts,
                             uint32_t count, bb_ms now);

/* Returns the one of the parts that was in flight at the most crashes which no
   quarantined part explains; 0 where none was.  */
uint64_t bb_parts_most_suspect (struct bb_parts *p, const uint64_t *parts,
                                uint32_t count, bb_ms now);

typedef void bb_parts_fn (void *arg, const struct bb_part_crash *c);

/* Calls FN with ARG for each crash, to tell them all to a peer that has just
   connected.  */
void bb_parts_each (struct bb_parts *p, bb_ms now, bb_parts_fn *fn, void *arg);

/* Returns the number of crashes by which parts are quarantined.  */
uint32_t bb_parts_quarantined (struct bb_parts *p, bb_ms now);

#endif
