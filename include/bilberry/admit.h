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
};

/* Admission of one upstream.  The limit starts at the cold limit and grows
   by one for each request that ended well.  */
struct bb_admit
{
  struct bb_admit_limits limits;
  uint32_t limit;
  uint32_t in_flight;
};

void bb_admit_init (struct bb_admit *a, const struct bb_admit_limits *limits);

/* Puts new limits in force; the present limit is kept within them.  */
void bb_admit_set_limits (struct bb_admit *a,
                          const struct bb_admit_limits *limits);

/* Admits a request, or refuses it with a verdict of BB_RUN_NOT_RUN.  */
bool bb_admit_start (struct bb_admit *a, struct bb_verdict *v);

/* A request that was admitted ended; WELL: with an answer of the upstream.  */
void bb_admit_end (struct bb_admit *a, bool well);

/* The upstream started anew and bears little.  */
void bb_admit_restarted (struct bb_admit *a);

#endif
