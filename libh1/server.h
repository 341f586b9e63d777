#ifndef LIBH1_SERVER_H
#define LIBH1_SERVER_H

/* Internals of the HTTP server: server.c accepts connections and bounds their
   time and number, response.c sends what the handler responds, request.c reads
   requests, and connection.c sends on connections and closes them.  Each calls
   only those after it.  */

#include "h1.h"

/* A connection from a client.  */
struct connection
{
  uv_tcp_t tcp;
  struct bb_h1_server *server;
  struct h1_reader reader;
  struct h1_buffer body;          /* body of the current request */
  struct h1_buffer input;         /* received bytes that were not parsed yet */
  struct bb_h1_exchange exchange; /* the current request */
  bool responding;                /* the handler has the exchange */
  bool chunked;                   /* the response body is sent in chunks */
  bool response_started;          /* the head of the response was sent */
  bool close_after_response;
  bool closing;     /* the socket handle is being closed */
  bool lingering;   /* h1_connection_linger was called */
  bool discarded;   /* input was discarded */
  bool broken;      /* a write has failed */
  bool read_paused; /* too much input came during a response */
  bool over_limit;  /* beyond the limit on connections when it was accepted */
  struct h1_out out;
  /* The part of the memory that the body of the request takes.  */
  size_t held_bytes;
  size_t wanted_bytes;   /* more that it needs before it is read on; 0: none */
  bb_ms wanted_since_ms; /* since when */
  size_t left_bytes;     /* not sent at the last sweep of a lingering close */
  uint32_t stuck_sweeps; /* sweeps since left_bytes last changed */
  bb_ms idle_timeout_ms; /* limit on idling, as it was when idling began */
  bb_ms state_since_ms;  /* start of the current request, of idling, or of a
                            phase of the lingering close */
  struct connection *prev;
  struct connection *next;
};

struct bb_h1_server
{
  uv_tcp_t tcp;
  uv_timer_t sweep_timer;
  uv_check_t stop_check; /* runs after the loop has read what had arrived */
  uv_loop_t *loop;
  struct bb_h1_limits limits;
  bb_h1_handler *handler;
  bb_h1_error_handler *on_error;
  void *arg;
  bool draining;
  bool stopping; /* bb_h1_server_close was called */
  bool listener_closed;
  uint32_t connections_count;
  struct connection *connections;
};

/* connection.c */

/* Returns the time of the loop.  */
bb_ms h1_connection_now (const struct connection *c);
/* Closes C at once.  */
void h1_connection_close (struct connection *c);
/* Has the end of C be a TCP reset, or not, in whatever way it comes, also if
   the process is killed: for a response that the end of C completes.  */
void h1_connection_set_reset_at_close (struct connection *c, bool reset);
/* Closes C with a TCP reset.  */
void h1_connection_reset (struct connection *c);
/* Closes C once the client has received a response that announced the close:
   sends what is queued, shuts down the write side, and waits for the client to
   close.  check_lingering in server.c bounds both phases.  An immediate close
   with unread input would reset the connection, and the client could lose the
   end of the response.  */
void h1_connection_linger (struct connection *c);
/* Whether the socket holds bytes that have not been read.  Timers run before
   reads, so after a stall a request may have been waiting there for long.  */
bool h1_connection_has_input (const struct connection *c);
/* Whether C has no request and may be closed.  */
bool h1_connection_is_idle (const struct connection *c);
/* Closes C, which is idle, without a word to the client.  Nothing more is
   read: a request that crosses the close is answered by a reset, which tells
   its caller that it was not read.  REASON is the label of the counter.  */
void h1_connection_close_idle (struct connection *c, const char *reason);
/* The client closed C, or it failed.  */
void h1_connection_lost (struct connection *c);
/* Sends DATA, which is copied.  Where that fails, the next sweep finds that
   the client is gone, since the handler may be in the middle of a response. */
void h1_connection_send (struct connection *c, const char *data, size_t size);
/* The same for BODY, of which a reference is kept.  */
void h1_connection_send_bytes (struct connection *c, GBytes *body);
/* Frees the body of the request.  */
void h1_connection_free_body (struct connection *c);
/* C waits for its next request.  A lower limit that comes later does not hold
   for it, since the caller goes by the one that it knows.  */
void h1_connection_begin_idling (struct connection *c);

/* Sends STATUS in response to a request that is not complete, and closes the
   connection.  */
void h1_connection_reject (struct connection *c, uint16_t status);
const char *h1_reason_phrase (uint16_t status);

/* request.c */

void h1_connection_init_reader (struct connection *c);
/* Starts to read from C.  Returns a negative uv error on failure.  */
int h1_connection_read (struct connection *c);
/* Reads on if too much input had come during a response.  */
void h1_connection_resume_reading (struct connection *c);
/* Reads on if the memory that C waits for is there; refuses the request if it
   has waited too long.  */
void h1_connection_check_memory (struct connection *c);
/* Parses the buffered input, unless a request is being handled.  */
void h1_connection_process_input (struct connection *c);

#endif
