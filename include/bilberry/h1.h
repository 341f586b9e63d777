#ifndef BILBERRY_H1_H
#define BILBERRY_H1_H

/* libh1 - HTTP/1.1 channels on one libuv loop, parsed by http-parser.
   Link with -lh1 -lnet -lhttp_parser -luv.

   Both sides see every close at once, bodies as they arrive, and bytes that
   belong to no answer.  */

#include "bilberry/base.h"

#include <sys/socket.h>
#include <uv.h>

enum
{
  BB_H1_HEADERS_MAX = 64
};

/* A request or the head of an answer.  Valid until its exchange or call
   ends.  */
struct bb_h1_message
{
  struct bb_bytes method; /* of a request */
  struct bb_bytes target; /* of a request: path and query */
  uint16_t status;        /* of an answer */
  bool framed; /* the body's end is told; else it ends with the channel */
  struct bb_header headers[BB_H1_HEADERS_MAX];
  uint32_t headers_count;
  struct bb_bytes body; /* of a request, whole */
};

/* What a server bounds.  May be changed between requests.  */
struct bb_h1_limits
{
  uint32_t head_max_bytes;
  uint32_t body_max_bytes;
  bb_ms read_timeout_ms;    /* for a request to arrive whole */
  bb_ms idle_timeout_ms;    /* for a channel without a request */
  uint32_t connections_max; /* beyond it the one idle for longest is closed, or
                            the new one where none is idle */
};

struct bb_h1_server;

/* One request at a server, and its answer.  */
struct bb_h1_exchange
{
  struct bb_h1_message request;
  bb_ms received_ms; /* loop time at which the request was whole */
  void *user;        /* free for the owner */
  /* The caller went away before the answer was whole; the exchange is gone
     after the call.  Not called after bb_h1_respond, bb_h1_end and
     bb_h1_abort.  */
  void (*on_disconnect) (struct bb_h1_exchange *x);
};

typedef void bb_h1_handler (struct bb_h1_exchange *x, void *arg);

/* Tells of a request that is refused before it is whole: 400, 408, 413 or
   431.  */
typedef void bb_h1_error_handler (uint16_t status, void *arg);

struct bb_h1_server *
bb_h1_server_open (uv_loop_t *loop, const struct sockaddr_storage *addr,
                   const struct bb_h1_limits *limits, bb_h1_handler *handler,
                   bb_h1_error_handler *on_error, void *arg, int *error);
void bb_h1_server_set_limits (struct bb_h1_server *s,
                              const struct bb_h1_limits *limits);

/* Tells callers with each answer that the channel ends.  Channels and new
   connections are served until bb_h1_server_close.  */
void bb_h1_server_drain (struct bb_h1_server *s);

/* Takes no new connection and closes channels without a request.  */
void bb_h1_server_close (struct bb_h1_server *s);

/* Returns how many requests are being read or answered, and answers that are
   not yet taken by the caller.  */
uint32_t bb_h1_server_active_connections (const struct bb_h1_server *s);

/* Sends a whole answer and ends the exchange.  */
void bb_h1_respond (struct bb_h1_exchange *x, uint16_t status,
                    const struct bb_header *headers, uint32_t count,
                    struct bb_bytes body);

/* Starts an answer whose body follows in pieces: as chunks where FRAMED, else
   up to the end of the channel, so that it looks no more whole than its
   source did.  */
void bb_h1_start (struct bb_h1_exchange *x, uint16_t status,
                  const struct bb_header *headers, uint32_t count,
                  bool framed);
void bb_h1_write (struct bb_h1_exchange *x, struct bb_bytes data);

/* Ends the answer and the exchange.  */
void bb_h1_end (struct bb_h1_exchange *x);

/* Closes the channel so that the answer does not look whole.  */
void bb_h1_abort (struct bb_h1_exchange *x);

/* Returns how many bytes the caller has not taken yet.  */
size_t bb_h1_backlog_bytes (const struct bb_h1_exchange *x);

/* Channels to one server.  */
struct bb_h1_pool;
struct bb_h1_call;

/* How a call ended.  */
enum bb_h1_result
{
  BB_H1_WHOLE,      /* the answer is whole */
  BB_H1_UNSENT,     /* no channel was made: the request was not sent */
  BB_H1_UNANSWERED, /* closed after the request was sent, without an answer */
  BB_H1_MALFORMED,  /* bytes that are no answer */
  BB_H1_CUT,        /* the answer broke off */
  BB_H1_RESULTS
};

const char *bb_h1_result_name (enum bb_h1_result result);

struct bb_h1_call_ops
{
  /* The head of the answer; may cancel the call.  NULL where nobody asks.  */
  void (*on_head) (struct bb_h1_call *c, const struct bb_h1_message *head,
                   void *user);
  void (*on_data) (struct bb_h1_call *c, struct bb_bytes data, void *user);
  /* Called exactly once unless the call is cancelled; C is gone after it.  */
  void (*on_end) (struct bb_h1_call *c, enum bb_h1_result result, void *user);
};

struct bb_h1_pool *bb_h1_pool_new (uv_loop_t *loop,
                                   const struct sockaddr_storage *addr,
                                   bb_ms connect_timeout_ms);

/* Closes the idle channels; the pool goes with its last call.  */
void bb_h1_pool_free (struct bb_h1_pool *p);

/* Closes channels that have no call, such as after a pause.  */
void bb_h1_pool_drop_idle (struct bb_h1_pool *p);

/* What to send.  */
struct bb_h1_request
{
  struct bb_bytes method;
  struct bb_bytes target;
  struct bb_bytes host;
  const struct bb_header *headers; /* hop-by-hop headers are left out */
  uint32_t headers_count;
  struct bb_bytes body;
  /* Longest time that a kept channel may have been idle; 0 opens a new
     one.  */
  bb_ms idle_max_ms;
};

struct bb_h1_call *bb_h1_call (struct bb_h1_pool *p,
                               const struct bb_h1_request *request,
                               const struct bb_h1_call_ops *ops, void *user);

/* Ends the call and its channel; no callback follows.  */
void bb_h1_call_cancel (struct bb_h1_call *c);

/* A call whose answer is collected.  */
struct bb_h1_fetch;

enum bb_h1_fetch_result
{
  BB_H1_FETCH_COMPLETE, /* whole; status and body are given */
  BB_H1_FETCH_FAILED,   /* no whole answer in time */
  BB_H1_FETCH_TOO_LARGE
};

/* BODY lasts for the call.  */
typedef void bb_h1_fetch_fn (enum bb_h1_fetch_result result, uint16_t status,
                             struct bb_bytes body, void *user);

struct bb_h1_fetch_limits
{
  bb_ms timeout_ms;
  uint32_t body_max_bytes;
};

/* Sends OUT and gives FN the answer, exactly once unless it is cancelled.  */
struct bb_h1_fetch *bb_h1_fetch (struct bb_h1_pool *p,
                                 const struct bb_h1_request *request,
                                 const struct bb_h1_fetch_limits *limits,
                                 bb_h1_fetch_fn *fn, void *user);
void bb_h1_fetch_cancel (struct bb_h1_fetch *f);

#endif
