#ifndef BILBERRY_ALLOT_H
#define BILBERRY_ALLOT_H

/* liballot - division of the concurrency limit of a group into quotas of the
   edges by priority, and weighted max-min shares of customers over all edges
   (docs/design/0054-quotas-and-shares.md).  The functions use no socket, no
   clock and no global state; the caller passes the time.  Link with -lallot.

   NOW and all points in time are in milliseconds of one monotonic clock.
   Numbers from peers that are not finite, negative or absurd are clipped.  */

#include "bilberry/base.h"

enum
{
  BB_ALLOT_PRIORITIES = 10,     /* 0 is served first */
  BB_ALLOT_EDGES_MAX = 64,      /* further ones are counted in one sum */
  BB_ALLOT_LIMIT_MAX = 1000000, /* a larger limit is none */

  /* Time in which a report reaches all peers.  Until then a quota does not
     rise by the own last report.  */
  BB_ALLOT_SETTLE_MS = 50,

  /* Times of failures.  Requests last about a second.  */
  BB_ALLOT_LATE_MS = 500,    /* an edge that is not heard for so long, or for
                                four intervals of messages, is late: only its
                                requests in flight count */
  BB_ALLOT_ENDED_MS = 1000,  /* requests of an edge that closed its connection
                                count for so long: its process has ended, and
                                engines drop what it had in flight */
  BB_ALLOT_SILENT_MS = 3000, /* those of one that just fell silent count for so
                                long: it may still send */
  BB_ALLOT_DRAIN_MS = 1000,  /* so long before, an edge that hears nobody uses
                                at most an equal share */
  BB_ALLOT_START_MS = 1000   /* a process that starts and has heard a peer
                                waits for the others for so long */
};

/* What an edge has reported for one group.  */
struct bb_allot_edge
{
  uint64_t id;    /* hash of its name */
  bb_ms heard_ms; /* when its last report came; negative: never */
  bool connected; /* its connection is open */
  double
      arrivals_per_s; /* requests that reached it, of the last seconds, each
                         weighted by bb_shares_counted_part at its arrival */
  uint32_t in_flight[BB_ALLOT_PRIORITIES]; /* requests, in the group */
  double queued[BB_ALLOT_PRIORITIES]; /* requests that wait for the group, each
                                         weighted by bb_shares_counted_part */
  double surplus[BB_ALLOT_PRIORITIES]; /* of those in flight, above the shares
                                          of their customers, each weighted by
                                          bb_shares_surplus_part: they are no
                                          demand */
};

/* EDGES, an array of COUNT in any order, holds all edges that this one knows,
   itself at index OWN.  The own entry holds what was last sent to peers, not
   what is in flight by now, and in heard_ms the time of sending: then all
   edges divide the same numbers, and the sum of their quotas stays below the
   limit.  Before the first message it holds zeros.  An edge whose connection
   closed stays in the array, with its last report, for a minute, unless it is
   known to have left; it is then removed.  One that was found but not heard
   yet has a negative heard_ms.  */
struct bb_allot_input
{
  const struct bb_allot_edge *edges;
  uint32_t count;
  uint32_t own;
  double limit;      /* requests that the group may run for all edges; from
                        BB_ALLOT_LIMIT_MAX on there is none */
  bb_ms interval_ms; /* between two messages of an edge, such as 100, or 400 in
                        large fleets */
  uint32_t domains;  /* failure domains that have edges; 0: not known */
};

/* What a quota is based on.  */
enum bb_allot_basis
{
  BB_ALLOT_UNLIMITED, /* there is no limit */
  BB_ALLOT_DIVIDED,   /* reports of peers */
  BB_ALLOT_KEPT,      /* no peer is heard: the last quota */
  BB_ALLOT_EQUAL      /* no peer is heard, for long or since the start: an
                         equal share */
};

/* The quota of this edge.  */
struct bb_allot_quota
{
  uint32_t cumulative[BB_ALLOT_PRIORITIES]; /* most requests of this and more
                                               urgent priorities in flight;
                                               the last is the whole quota.
                                               UINT32_MAX: no limit */
  enum bb_allot_basis basis;
  uint32_t edges; /* that share the limit, this one included */
  bb_ms age_ms;   /* age of the oldest report that was used, for logs */
};

/* What was last known of a peer.  */
struct bb_allot_peer
{
  uint64_t id;
  double part; /* of the limit, that it had when it was last heard */
  bool ended;  /* it closed its connection */
};

/* State of the division of one group, which the caller owns and sets up by
   bb_allot_init.  */
struct bb_allot
{
  bb_ms first_heard_ms; /* when a peer was first heard; negative: never */
  bb_ms heard_ms;       /* when one was last heard */
  bool complete;        /* all peers were heard, or the time to wait is over */
  struct bb_allot_peer peers[BB_ALLOT_EDGES_MAX];
  uint32_t peers_count;
  struct bb_allot_edge sent;        /* own last report */
  struct bb_allot_edge sent_before; /* the one before it */
  struct bb_allot_quota last;       /* last quota that was divided */
  double last_limit;                /* limit at that time */
};

/* Clears A, as for a process that starts.  */
void bb_allot_init (struct bb_allot *a);

/* Divides the limit and sets *QUOTA to the part of this edge.  To be called
   when a message was sent, when one has come, or at least every 100 ms.

   By priority: the demand (in flight and queued) of priority 0 of all edges is
   granted first, then that of 1, and so on; where it does not fit, in
   proportion to demand.  While demand exceeds the limit, priorities below the
   most urgent one that have queued requests keep an eighth of the limit, in
   proportion to their demand.  What demand leaves is divided by how many
   requests each edge expects in an interval, so that an edge can start them
   without a message.  Each edge with demand has a quota of at least one
   request; the sum of all quotas is at most the limit, unless that is less
   than one for each edge.  For BB_ALLOT_SETTLE_MS after it was sent, an own
   report only lowers the quota.

   Requests in flight cannot be revoked: what an edge holds above its quota is
   taken from the others until it completes.

   Failures: an edge that is late, or that closed its connection, counts with
   its requests in flight alone, and after BB_ALLOT_SILENT_MS or
   BB_ALLOT_ENDED_MS not at all.  Where half of the edges or more fell silent,
   without closing their connections, the fleet may be partitioned: they keep
   what they had for as long as they are in the array.  An edge that hears
   nobody keeps its quota, and after BB_ALLOT_SILENT_MS has an equal share
   among the edges in the array that did not close their connections, at least
   one for each failure domain.  So has one that starts, until each connected
   peer was heard, or BB_ALLOT_START_MS after the first.  */
void bb_allot_update (struct bb_allot *a, const struct bb_allot_input *input,
                      bb_ms now, struct bb_allot_quota *quota);

/* Returns whether a request of PRIORITY may start, where this edge now has
   IN_FLIGHT, an array of BB_ALLOT_PRIORITIES, requests in flight in the group.
   A request may use what its edge was granted for less urgent ones, apart from
   their eighth.  PRIORITY above the last counts as the last.  */
bool bb_allot_may_start (const struct bb_allot_quota *quota,
                         const uint32_t *in_flight, uint32_t priority);

enum
{
  BB_SHARES_CUSTOMERS_MAX = 1024, /* with work at the same time; the smallest
                                     ones beyond are not counted, and count as
                                     below their share */
  BB_SHARES_REPORT_MAX = 32,      /* customers in a report */
  BB_SHARES_PEERS_MAX = 64        /* reports of further ones are ignored */
};

/* Work of a customer, in ms of engine time, or any unit that is the same at
   all edges.  A request is to be counted as the engine time that it needs for
   each second of its run: its expected work, divided by its expected run time.
   Counted by its whole work, a long request weighs twice: it has more work,
   and has it in flight for longer.  */
struct bb_shares_work
{
  uint64_t customer; /* hash of its name */
  double in_flight_ms;
  double queued_ms;
};

/* What an edge tells its peers: its customers with the most work, and the sum
   of the rest.  */
struct bb_shares_report
{
  struct bb_shares_work customers[BB_SHARES_REPORT_MAX];
  uint32_t count;
  double rest_in_flight_ms;
  double rest_queued_ms;
  uint32_t rest_count; /* customers in the rest */
};

/* Fair shares of customers over all edges: weighted max-min of the work in
   flight.  A customer whose demand (work in flight and queued) is below its
   weighted part of the capacity gets all of it; what is left goes to the
   others, in proportion to their weights.  So more demand, such as of retries,
   never gets a customer more than its part, and nothing is reserved for a
   customer without demand.  */
struct bb_shares;

/* Returns the weight of CUSTOMER: above 0, and 1 where none is configured.
   Called by bb_shares_update; other values are clipped to 0.001 to 1000.  */
typedef double bb_shares_weight_fn (void *arg, uint64_t customer);

/* Returns shares without customers, which the caller frees with
   bb_shares_free.  WEIGHT may be NULL: all weights are 1.  */
struct bb_shares *bb_shares_new (bb_shares_weight_fn *weight, void *arg);
void bb_shares_free (struct bb_shares *s);

/* Sets the work of a customer at this edge, at each change.  Takes effect at
   once in the use of the customer, and in the shares at the next update.
   Returns false if it is not counted, since 1024 others have more work.  */
bool bb_shares_set_own (struct bb_shares *s,
                        const struct bb_shares_work *work);

/* Sets *REPORT to what peers are to be sent.  */
void bb_shares_get_report (const struct bb_shares *s,
                           struct bb_shares_report *report);

/* PEER has sent REPORT, which replaces its last one.  It counts for
   BB_ALLOT_SILENT_MS.  */
void bb_shares_apply (struct bb_shares *s, uint64_t peer,
                      const struct bb_shares_report *report, bb_ms now);

/* PEER has ended: its report counts no more.  */
void bb_shares_remove_peer (struct bb_shares *s, uint64_t peer);

/* Computes the shares of CAPACITY_MS, the work in flight that all edges may
   have: the limit in requests times the mean work of a request in flight.  To
   be called about every 100 ms.  */
void bb_shares_update (struct bb_shares *s, double capacity_ms, bb_ms now);

/* Returns the work in flight, in ms, that CUSTOMER may have at present over
   all edges, INFINITY before the first update.  */
double bb_shares_share_ms (const struct bb_shares *s, uint64_t customer);

/* Returns the work of CUSTOMER in flight over all edges relative to its share,
   by which waiting requests are ordered: the lowest first.  0 for a customer
   without work.  */
double bb_shares_ratio (const struct bb_shares *s, uint64_t customer);

/* Returns whether CUSTOMER has at least its share in flight while others have
   queued work.  */
bool bb_shares_is_over (const struct bb_shares *s, uint64_t customer);

/* Returns which part of the queued demand of CUSTOMER, from 0 to 1, counts in
   the demand of its edge: while others wait, what fits in its share beside its
   work in flight.  An arrival counts by it too.  */
double bb_shares_counted_part (const struct bb_shares *s, uint64_t customer);

/* Returns which part of the work of CUSTOMER in flight, from 0 to 1, is above
   its share while others wait.  It is no demand of its edge, which would
   otherwise keep the quota for it.  */
double bb_shares_surplus_part (const struct bb_shares *s, uint64_t customer);

#endif
