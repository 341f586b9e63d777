#ifndef RECORDER_H
#define RECORDER_H

/* Replicas of a testbed that record what arrives, and callers that keep their
   connections.  */

#include "testbed.h"

#include <glib.h>

struct recorder
{
  uint32_t replica; /* index in the testbed */
  pid_t pid;
};

/* Starts fake-recorder ID of POOL with FAULT, one of its faults or "", and
   registers it in the store of T.  */
struct recorder recorder_start (struct testbed *t, const char *id,
                                const char *pool, const char *fault);
/* Registers replica ID of POOL at the address of R.  FIELDS are further fields
   of its item, such as RECORDER_READY.  */
#define RECORDER_READY "\"zone\":\"z1\",\"state\":\"ready\",\"cold-left-ms\":0"
#define RECORDER_LEAVES                                                       \
  "\"zone\":\"z1\",\"state\":\"draining\",\"cold-left-ms\":0"
void recorder_register (struct testbed *t, struct recorder r, const char *id,
                        const char *pool, const char *fields);
/* Returns all that arrived at R.  The caller frees it.  */
char *recorder_arrived (struct testbed *t, struct recorder r);
/* Waits until what arrived at R contains TEXT.  Returns false if it does not
   within five seconds.  */
bool recorder_await (struct testbed *t, struct recorder r, const char *text);

enum caller_state
{
  CALLER_CONNECTED,
  CALLER_CLOSED, /* the edge closed the connection */
  CALLER_RESET   /* the edge reset it */
};

/* A connection of a caller.  */
struct caller
{
  int fd;
  GString *in; /* received and not yet taken */
  enum caller_state state;
};

/* Connects to edge E.  The caller frees C with caller_free.  */
void caller_connect (struct caller *c, struct testbed *t, uint32_t e);
void caller_free (struct caller *c);
/* Sends SIZE bytes at DATA.  */
void caller_write (struct caller *c, const char *data, size_t size);
/* Sends a request of key-1 as attempt ID, without a body if BODY is NULL.  */
void caller_send (struct caller *c, const char *method, const char *path,
                  const char *id, const char *body);
/* Reads until TEXT has been received or the connection ends.  Returns false if
   neither happens within TIMEOUT_MS.  */
bool caller_read (struct caller *c, const char *text, int timeout_ms);
/* Reads one response with a Content-Length, for at most five seconds.  Returns
   its status; 0: none, or an incomplete one.  */
int caller_read_response (struct caller *c);

#endif
