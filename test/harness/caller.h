#ifndef CALLER_H
#define CALLER_H

/* Callers that keep a connection to each of several edges and go on using
   them, each in a thread of its own, while edges are drained, killed and
   started again.  */

#include "harness.h"

#include <glib.h>

enum
{
  CALLER_ID_SIZE = 24
};

/* How a request ended that was sent completely.  */
enum caller_end
{
  CALLER_ANSWERED, /* the response is complete, whatever its status */
  CALLER_CLOSED,   /* the connection ended before any byte of the response, and
                      the edge may not have received the request: the connection
                      was used before, or the edge has begun to drain */
  CALLER_LOST,     /* likewise, but the edge must have received it */
  CALLER_CUT,      /* the response is incomplete */
  CALLER_SILENT,   /* nothing came for a long time */
  CALLER_FOREIGN,  /* the response is that of another request */
  CALLER_ENDS
};

struct caller_result
{
  char id[CALLER_ID_SIZE]; /* its X-Attempt-Id */
  bool is_order;
  uint32_t edge;
  enum caller_end end;
  int status;  /* of a complete response */
  bool killed; /* the process with the connection was killed */
};

struct callers;

/* Starts COUNT callers of EDGES edges at PORTS, whose choices follow SEED.
   They send orders, checks and streams as testbed.h has them.  */
struct callers *callers_start (const uint16_t *ports, uint32_t edges,
                               uint32_t count, uint32_t seed);
/* To be called before EDGE gets SIGKILL: requests there may end so.  */
void callers_note_kill (struct callers *s, uint32_t edge);
/* To be called once EDGE has ended, before it starts again.  */
void callers_note_end (struct callers *s, uint32_t edge);
/* To be called before EDGE gets SIGTERM, and before it starts again: no new
   connections are opened to an edge that drains.  */
void callers_set_draining (struct callers *s, uint32_t edge, bool draining);
/* Ends the callers and frees S.  Returns the results, struct caller_result;
   the caller frees them.  */
GArray *callers_stop (struct callers *s);

const char *caller_end_name (enum caller_end end);

#endif
