#ifndef UPSTREAM_H
#define UPSTREAM_H

/* A replica in this process whose answers end as the path of the request says,
   and which records how each ended.  A path ends in /FRAMING/WHERE/HOW/SIZE,
   numbers of the enumerations below and the bytes of the body.  */

#include "testbed.h"

enum framing
{
  FRAMING_LENGTH,
  FRAMING_CHUNKS,
  FRAMING_NONE,    /* the end of the connection ends the body */
  FRAMING_INTERIM, /* chunks, after two interim responses */
  FRAMINGS
};

/* Where an answer ends.  */
enum place
{
  PLACE_HEAD,    /* in the head */
  PLACE_BODY,    /* after the head */
  PLACE_INSIDE,  /* in the middle of the body, or in an event */
  PLACE_BETWEEN, /* between two events, or near the end of the body */
  PLACE_END,     /* after the last byte */
  PLACES
};

/* How it ends there.  */
enum ending
{
  ENDING_ORDER,       /* the connection is closed in order, or kept where the
                         answer is whole and allows it */
  ENDING_RESET,       /* reset together with the last bytes */
  ENDING_RESET_LATER, /* reset some milliseconds later */
  ENDING_SILENCE,     /* nothing more comes; the connection is kept */
  ENDING_GARBAGE,     /* bytes that are no answer, and a close in order */
  ENDINGS
};

enum
{
  UPSTREAM_EVENTS = 12
};

struct upstream;

/* Starts a replica ID of pool app and registers it in the store of T. EVENT_MS
   is the time between two events of a stream.  */
struct upstream *upstream_start (struct testbed *t, const char *id,
                                 int event_ms);
/* Stops it and frees U; all edges of its testbed must have ended.  */
void upstream_free (struct upstream *u);

/* Returns how often requests of attempt ID were run.  */
uint32_t upstream_runs (struct upstream *u, const char *id);
/* Whether BODY is what the caller of attempt ID may take for a complete
   answer: one run sent all of it and ended it in order, or several did for a
   STREAM, each from the event after that with which the one before ended.  */
bool upstream_may_be_whole (struct upstream *u, const char *id,
                            const char *body, bool stream);

#endif
