#ifndef BILBERRY_NET_H
#define BILBERRY_NET_H

/* libnet - framed connections, HTTP server and HTTP client on one libuv loop.
   Link with -lnet -lproto -lh2o -luv -lssl -lcrypto -lglib-2.0.  */

#include "bilberry/base.h"
#include "bilberry/wire.h"

#include <sys/socket.h>
#include <uv.h>

/* A TCP connection that carries frames, each with one message.  */
struct bb_conn;

/* Callbacks of a connection.  */
struct bb_conn_ops
{
  /* Message M has arrived; it is valid during the call.  */
  void (*on_message) (struct bb_conn *c, const struct bb_message *m);
  /* The connection is established.  NULL: no callback.  */
  void (*on_open) (struct bb_conn *c);
  /* The connection is closed or could not be established; C is freed after
     the call.  REASON is a phrase for the log.  Called exactly once.  */
  void (*on_close) (struct bb_conn *c, const char *reason);
};

/* Starts to connect to ADDR and returns the connection.  A failure is reported
   by on_close.  USER is the initial value of bb_conn_user.  */
struct bb_conn *bb_conn_connect (uv_loop_t *loop,
                                 const struct sockaddr_storage *addr,
                                 const struct bb_conn_ops *ops, void *user);

/* Returns the output buffer of C, to which the caller appends frames.  They
   are sent before the loop next polls, so that frames of one loop iteration
   share a packet.  */
msgpack_sbuffer *bb_conn_out (struct bb_conn *c);

/* Returns the number of bytes that wait to be sent.  */
size_t bb_conn_backlog_bytes (const struct bb_conn *c);

/* Returns the time of the loop at which C last received bytes, or was
   established or begun if it has received none.  */
bb_ms bb_conn_received_ms (const struct bb_conn *c);

/* Returns the number of bytes received of a frame that is not complete.  */
size_t bb_conn_partial_bytes (const struct bb_conn *c);

/* Closes C.  on_close is called in a later iteration of the loop, with REASON,
   which must be valid until then.  Does nothing if C is closing already.  */
void bb_conn_close (struct bb_conn *c, const char *reason);

void *bb_conn_user (const struct bb_conn *c);
void bb_conn_set_user (struct bb_conn *c, void *user);

/* A listening socket for framed connections.  */
struct bb_listener;

/* Listens on ADDR.  Each accepted connection gets OPS and USER, and its
   on_open is called.  Returns NULL and a uv error in *ERROR on failure.  */
struct bb_listener *bb_listener_open (uv_loop_t *loop,
                                      const struct sockaddr_storage *addr,
                                      const struct bb_conn_ops *ops,
                                      void *user, int *error);

/* Stops listening and frees L.  Accepted connections stay open.  */
void bb_listener_close (struct bb_listener *l);

/* An HTTP server.  */
struct bb_http_server;

/* A request at the server and its response.  */
struct bb_http_request
{
  struct bb_bytes method;
  struct bb_bytes path; /* path with the query */
  struct bb_header headers[64];
  uint32_t headers_count;
  bool headers_overflow; /* there were more headers; they are left out */
  struct bb_bytes body;
  void *user;  /* for use by the handler */
  void *owner; /* a second pointer for use by the handler */
  /* The response has been sent or the connection is lost; R is freed after
     the call.  Called exactly once.  NULL: no callback.  */
  void (*on_done) (struct bb_http_request *r);
  struct bb_http_exchange *exchange; /* internal state of the server */
};

/* Called with each complete request.  The response may be sent during the
   call or later.  */
typedef void bb_http_handler (struct bb_http_request *r, void *arg);

struct bb_http_options
{
  size_t body_max_bytes;  /* largest body of a request */
  bb_ms read_timeout_ms;  /* longest time for a request to arrive completely */
  bb_ms write_timeout_ms; /* longest time for the client to take the part of
                             the response that is being sent; 0: no limit */
  /* Called when the server itself ends a request with an error: STATUS is 400
     for a malformed request, 408 if the client is too slow to send the request
     or to take the response, 413 if the body is too large.  Returns the
     application/problem+json body of the error response, which the server
     frees.  The body is not used where no response can be sent any more, or
     h2o has already sent its own.  NULL: no callback.  */
  char *(*on_error) (uint16_t status, void *arg);
};

/* Listens on ADDR.  ARG is passed to HANDLER and on_error.  Returns NULL and a
   uv error in *ERROR on failure.  */
struct bb_http_server *
bb_http_server_open (uv_loop_t *loop, const struct sockaddr_storage *addr,
                     const struct bb_http_options *o, bb_http_handler *handler,
                     void *arg, int *error);

/* Stops listening and closes each open connection after its current
   response.  */
void bb_http_server_drain (struct bb_http_server *s);

/* Sends a complete response.  BODY and HEADERS are copied.  */
void bb_http_respond (struct bb_http_request *r, uint16_t status,
                      const struct bb_header *headers, uint32_t headers_count,
                      struct bb_bytes body);

/* Starts a response whose body follows by bb_http_write.  */
void bb_http_start (struct bb_http_request *r, uint16_t status,
                    const struct bb_header *headers, uint32_t headers_count);

/* Sends DATA, which is copied, as the next part of the body.  */
void bb_http_write (struct bb_http_request *r, struct bb_bytes data);

/* Ends the response.  */
void bb_http_end (struct bb_http_request *r);

/* Breaks off the response in such a way that the client can tell that it is
   incomplete.  */
void bb_http_abort (struct bb_http_request *r);

/* Returns how many bytes of the response the client has not taken yet.  */
size_t bb_http_backlog_bytes (const struct bb_http_request *r);

/* Returns the value of the first header NAME, ignoring case; empty bytes if
   there is none.  */
struct bb_bytes bb_header_find (const struct bb_header *headers,
                                uint32_t count, const char *name);

/* Whether Content-Type among the COUNT HEADERS is that of an event stream.  */
bool bb_headers_are_of_events (const struct bb_header *headers,
                               uint32_t count);

/* Whether HTTP has STATUS: it is in the range of 100 to 599.  */
bool bb_http_status_is_valid (uint32_t status);

/* Whether header NAME must not be forwarded: it is a hop-by-hop header, or
   Content-Length or Host, which are set anew for each message sent.  */
bool bb_header_is_hop_by_hop (struct bb_bytes name);

/* An HTTP client for one server, with a pool of keep-alive connections.  */
struct bb_http_client;

/* One request to the server and its response.  */
struct bb_http_call;

#define BB_HTTP_BODY_ANY UINT64_MAX

/* Callbacks of a call.  Headers and data are valid during the callback.  */
struct bb_http_call_ops
{
  /* The head of the response has arrived.  */
  void (*on_head) (struct bb_http_call *c, uint16_t status,
                   const struct bb_header *headers, uint32_t headers_count);
  /* DATA is the next part of the body.  */
  void (*on_data) (struct bb_http_call *c, struct bb_bytes data);
  /* The response is complete if ERROR is NULL; RUN is then BB_RUN_RAN.
     Otherwise ERROR is a phrase for the log, and RUN is BB_RUN_NOT_RUN if no
     connection was made, else BB_RUN_MAYBE_RUN.  C is freed after the call.
     Not called after bb_http_call_cancel.  */
  void (*on_end) (struct bb_http_call *c, const char *error, enum bb_run run);
};

/* Makes a client for the server at ADDR.  HOST is the value of the Host
   header.  IO_TIMEOUT_MS limits each wait for the server: to connect, to take
   data or to send some.  It lives as long as the process.  */
struct bb_http_client *bb_http_client_new (uv_loop_t *loop,
                                           const struct sockaddr_storage *addr,
                                           const char *host,
                                           bb_ms io_timeout_ms);

/* Sends a request, whose parts are copied.  Hop-by-hop HEADERS are left out,
   and Host and Content-Length are added.  The call ends with an error where
   the head of the response is longer than 80 kB, or the body than 32 MB or
   what bb_http_call_limit_body has set.  */
struct bb_http_call *
bb_http_client_send (struct bb_http_client *client, struct bb_bytes method,
                     struct bb_bytes path, const struct bb_header *headers,
                     uint32_t headers_count, struct bb_bytes body,
                     const struct bb_http_call_ops *ops, void *user);

/* Sets the longest body of the response of C; BB_HTTP_BODY_ANY: any length.
   To be called by on_head: until then C may end at any time.  */
void bb_http_call_limit_body (struct bb_http_call *c, uint64_t max_bytes);

/* Ends the call and closes its connection, without a callback.  C is
   freed.  */
void bb_http_call_cancel (struct bb_http_call *c);
void *bb_http_call_user (const struct bb_http_call *c);

/* The end of a fetch.  The response is complete if ERROR is NULL; otherwise
   ERROR is a phrase for the log.  STATUS is 0 if no head has arrived.  BODY is
   what has arrived, valid during the call and followed by a null byte.  */
typedef void bb_http_fetch_fn (const char *error, uint16_t status,
                               struct bb_bytes body, void *user);

/* Sends a request without headers and collects the response; FN is called once
   at its end.  A body longer than BODY_MAX_BYTES, at most 4 GB, ends it with
   an error.  */
void bb_http_fetch (struct bb_http_client *client, const char *method,
                    const char *path, struct bb_bytes body,
                    size_t body_max_bytes, bb_http_fetch_fn *fn, void *user);

#endif
