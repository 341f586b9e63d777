#ifndef BILBERRY_H1_H
#define BILBERRY_H1_H

/* libh1 - HTTP/1.1 server and client on one libuv loop, with http-parser as
   the parser.  Link with -lh1 -lnet -lhttp_parser -luv.

   Both sides notice at once when the peer closes a connection.  The client
   passes on body data as it arrives, and detects bytes that do not belong to a
   response.  */

#include "bilberry/base.h"

#include <glib.h>
#include <sys/socket.h>
#include <uv.h>

enum
{
  BB_H1_HEADERS_MAX = 64
};

/* A received request, or the head of a received response.  Valid until its
   exchange or call ends.  */
struct bb_h1_message
{
  struct bb_bytes method; /* method of a request */
  struct bb_bytes target; /* path and query of a request */
  uint16_t status;        /* status of a response */
  bool framed; /* the end of the body is marked by a length or by chunked
                  encoding, or the status allows no body; else the close of
                  the connection ends the body */
  struct bb_header headers[BB_H1_HEADERS_MAX];
  uint32_t headers_count;
  struct bb_bytes body; /* complete body of a request */
};

/* Limits of a server.  */
struct bb_h1_limits
{
  uint32_t head_max_bytes; /* limit on request target and headers together */
  uint32_t body_max_bytes; /* largest body of a request */
  bb_ms read_timeout_ms; /* longest time for a request to arrive completely */
  bb_ms idle_timeout_ms; /* longest time for a connection without a request */
  uint32_t connections_max; /* at the limit, the connection idle for longest is
                               closed for a new one.  If none is idle, the new
                               one is served once, with over_limit set; an
                               eighth of the limit beyond it, new ones are
                               closed at once */
  /* Counts what the server holds for its callers.  A body that does not fit is
     read on when it does, and refused with 503 if that takes long.  NULL:
     nothing counts.  */
  struct bb_memory *memory;
};

struct bb_h1_server;

/* A request at a server and its response.  */
struct bb_h1_exchange
{
  struct bb_h1_message request;
  bb_ms received_ms; /* loop time at which the request was complete */
  bool over_limit;   /* its connection is beyond the limit of the server: to be
                        refused; the connection is closed after the response */
  void *user;        /* for use by the handler */
  /* Called when the connection is lost before the response has ended; X is
     invalid after the call.  Not called after bb_h1_respond, bb_h1_end or
     bb_h1_abort.  While a large next request of the connection waits to be
     read, the loss is noticed only by what is sent.  NULL: no callback.  */
  void (*on_disconnect) (struct bb_h1_exchange *x);
};

/* Called with each complete request.  During the call or later, the response
   is sent by bb_h1_respond, or by bb_h1_start, bb_h1_write and bb_h1_end, or
   the exchange is ended by bb_h1_abort.  X is invalid after bb_h1_respond,
   bb_h1_end and bb_h1_abort.  */
typedef void bb_h1_handler (struct bb_h1_exchange *x, void *arg);

/* Called when the server itself rejects a request before it is complete, with
   STATUS 400, 408, 413, 431 or 503.  The server sends that status with an
   empty body and closes the connection.  */
typedef void bb_h1_error_handler (uint16_t status, void *arg);

/* Listens on ADDR.  ARG is passed to HANDLER and ON_ERROR.  Returns NULL and
   a uv error in *ERROR on failure.  */
struct bb_h1_server *
bb_h1_server_open (uv_loop_t *loop, const struct sockaddr_storage *addr,
                   const struct bb_h1_limits *limits, bb_h1_handler *handler,
                   bb_h1_error_handler *on_error, void *arg, int *error);

/* Replaces the limits of S, also for open connections.  A lower idle timeout
   holds for a connection from its next response on.  */
void bb_h1_server_set_limits (struct bb_h1_server *s,
                              const struct bb_h1_limits *limits);

/* Sends "Connection: close" with each response that begins from now on and
   closes the connection after it.  Other connections, also new ones and those
   whose response has begun, are served until bb_h1_server_close.  */
void bb_h1_server_drain (struct bb_h1_server *s);

/* Stops listening and closes connections without a request, once the loop has
   read what had arrived before the call.  Requests in progress continue.  */
void bb_h1_server_close (struct bb_h1_server *s);

/* Calls FN with each request that has been handed to the handler and has no
   complete response.  FN ends it.  */
void bb_h1_server_end_exchanges (struct bb_h1_server *s,
                                 void (*fn) (struct bb_h1_exchange *x));

/* Returns the number of connections on which a request is being received or
   handled, or has arrived, or response data is queued that the kernel has not
   accepted.  Not 0 while a bb_h1_server_close has yet to take effect.  */
uint32_t bb_h1_server_active_connections (const struct bb_h1_server *s);

/* Sends a complete response and ends the exchange.  The server adds
   Content-Length; hop-by-hop HEADERS are left out.  */
void bb_h1_respond (struct bb_h1_exchange *x, uint16_t status,
                    const struct bb_header *headers, uint32_t count,
                    struct bb_bytes body);

/* The same with a reference to BODY, which is not copied.  */
void bb_h1_respond_bytes (struct bb_h1_exchange *x, uint16_t status,
                          const struct bb_header *headers, uint32_t count,
                          GBytes *body);

/* Sends the head of a response whose body follows by bb_h1_write, in chunked
   encoding.  For an HTTP/1.0 client the end of the connection ends the body;
   it is a reset unless it comes after bb_h1_end.  */
void bb_h1_start (struct bb_h1_exchange *x, uint16_t status,
                  const struct bb_header *headers, uint32_t count);

/* Sends DATA, which is copied, as the next part of the body.  */
void bb_h1_write (struct bb_h1_exchange *x, struct bb_bytes data);

/* Ends the response and the exchange.  */
void bb_h1_end (struct bb_h1_exchange *x);

/* Ends the exchange and closes the connection in such a way that the client
   can tell that the response is incomplete.  */
void bb_h1_abort (struct bb_h1_exchange *x);

/* Returns how many bytes of the response are queued because the kernel has
   not accepted them yet.  */
size_t bb_h1_backlog_bytes (const struct bb_h1_exchange *x);

/* A pool of connections to one server.  */
struct bb_h1_pool;

/* One request to a server and its response.  */
struct bb_h1_call;

/* How a call ended.  */
enum bb_h1_result
{
  BB_H1_WHOLE,      /* the response is complete */
  BB_H1_UNSENT,     /* no connection was made; the request was not sent */
  BB_H1_UNANSWERED, /* the connection failed before any byte of the response;
                       the request, or part of it, was sent */
  BB_H1_MALFORMED,  /* the bytes received are not an HTTP response, or end
                       within its head */
  BB_H1_CUT, /* the response is incomplete or malformed after its head */
  BB_H1_RESULTS
};

/* Returns the name of RESULT, as it stands in logs.  */
const char *bb_h1_result_name (enum bb_h1_result result);

/* Callbacks of a call.  on_head and on_data may be NULL, and may cancel the
   call.  Interim responses (1xx) are skipped.  */
struct bb_h1_call_ops
{
  /* The head of the response has arrived.  */
  void (*on_head) (struct bb_h1_call *c, const struct bb_h1_message *head,
                   void *user);
  /* DATA is the next part of the body and valid during the callback.  */
  void (*on_data) (struct bb_h1_call *c, struct bb_bytes data, void *user);
  /* Called exactly once unless the call is cancelled; C is freed after it.  */
  void (*on_end) (struct bb_h1_call *c, enum bb_h1_result result, void *user);
};

/* Makes a pool for the server at ADDR.  Connections are opened by calls.  */
struct bb_h1_pool *bb_h1_pool_new (uv_loop_t *loop,
                                   const struct sockaddr_storage *addr,
                                   bb_ms connect_timeout_ms);

/* Has MEMORY, which outlives P, count what waits to be sent on connections
   that P opens from now on.  */
void bb_h1_pool_set_memory (struct bb_h1_pool *p, struct bb_memory *memory);

/* Closes the idle connections.  P is freed when its last call has ended and
   its last connection is closed.  */
void bb_h1_pool_free (struct bb_h1_pool *p);

/* Closes the idle connections, for example after the process was paused.  */
void bb_h1_pool_drop_idle (struct bb_h1_pool *p);

/* A request to send.  */
struct bb_h1_request
{
  struct bb_bytes method;
  struct bb_bytes target; /* path and query */
  struct bb_bytes host;
  const struct bb_header *headers; /* hop-by-hop headers are left out */
  uint32_t headers_count;
  struct bb_bytes body;
  bb_ms idle_max_ms; /* a connection is reused only if it was idle for less;
                        0: always opens a new one */
};

/* Sends REQUEST on an idle connection of P or a new one.  All of it is copied
   but a body of over 64 KiB, which must stay valid until the call has ended.
   No callback is called before it returns.  */
struct bb_h1_call *bb_h1_call (struct bb_h1_pool *p,
                               const struct bb_h1_request *request,
                               const struct bb_h1_call_ops *ops, void *user);

/* Reads no more of the response, which the upstream then has to keep.  */
void bb_h1_call_pause (struct bb_h1_call *c);
/* Reads on.  May call back before it returns, where the connection has
   failed.  */
void bb_h1_call_resume (struct bb_h1_call *c);

/* Ends the call and closes its connection, without a callback.  C is
   freed.  */
void bb_h1_call_cancel (struct bb_h1_call *c);

enum bb_h1_probe_result
{
  BB_H1_PROBE_ACCEPTED, /* a process listens */
  BB_H1_PROBE_REFUSED,  /* the VM is up, and no process listens */
  BB_H1_PROBE_SILENT    /* no response within the timeout, or another error */
};

typedef void bb_h1_probe_fn (enum bb_h1_probe_result result, void *user);

/* Opens a connection to the server of P, closes it, and passes the result to
   FN, which is called exactly once, after bb_h1_probe has returned.  P must
   outlive that call.  A connection that the server closes at once is tried
   again, since the kernel accepts some for a process that is just ending.  */
void bb_h1_probe (struct bb_h1_pool *p, bb_ms timeout_ms, bb_h1_probe_fn *fn,
                  void *user);

/* A call whose response is collected in memory.  */
struct bb_h1_fetch;

enum bb_h1_fetch_result
{
  BB_H1_FETCH_COMPLETE, /* the response is complete, with any status */
  BB_H1_FETCH_FAILED,   /* no complete response within the timeout */
  BB_H1_FETCH_TOO_LARGE
};

/* STATUS and BODY are the response if RESULT is BB_H1_FETCH_COMPLETE.  BODY is
   valid during the call.  */
typedef void bb_h1_fetch_fn (enum bb_h1_fetch_result result, uint16_t status,
                             struct bb_bytes body, void *user);

/* Called with the head of the response, before the function of the fetch.  */
typedef void bb_h1_fetch_head_fn (const struct bb_h1_message *head,
                                  void *user);

struct bb_h1_fetch_limits
{
  /* Longest time from bb_h1_fetch to the end of the response, or to its head
     where SILENCE_MS is set.  */
  bb_ms timeout_ms;
  /* Longest time between parts of the body, which may be as long as it likes
     then; 0: not set.  */
  bb_ms silence_ms;
  uint32_t body_max_bytes;
  bb_h1_fetch_head_fn *on_head; /* NULL: not called */
};

/* Sends REQUEST, which is copied, and passes the response to FN, which is
   called exactly once unless the fetch is cancelled.  */
struct bb_h1_fetch *bb_h1_fetch (struct bb_h1_pool *p,
                                 const struct bb_h1_request *request,
                                 const struct bb_h1_fetch_limits *limits,
                                 bb_h1_fetch_fn *fn, void *user);

/* Returns how many bytes of the body have arrived.  */
size_t bb_h1_fetch_received (const struct bb_h1_fetch *f);

/* Ends F without calling its function.  Not allowed after the function was
   called.  */
void bb_h1_fetch_cancel (struct bb_h1_fetch *f);

#endif
