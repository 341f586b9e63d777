#ifndef BILBERRY_NET_H
#define BILBERRY_NET_H

/* libnet - framed connections, HTTP server and HTTP client on one libuv loop.
   Link with -lnet -lproto -lh2o -luv -lssl -lcrypto.  */

#include "bilberry/base.h"
#include "bilberry/wire.h"

#include <sys/socket.h>
#include <uv.h>

/* A framed TCP connection.  */
struct bb_conn;

struct bb_conn_ops
{
  /* A message arrived; its bytes are valid during the call.  */
  void (*on_message) (struct bb_conn *c, const struct bb_message *m);
  /* The connection is up; NULL where nobody asks.  */
  void (*on_open) (struct bb_conn *c);
  /* The connection is gone; C is freed after the call.  WHY is a short
     sentence.  Called exactly once.  */
  void (*on_close) (struct bb_conn *c, const char *reason);
};

/* Starts to connect to ADDR.  A failure is told by on_close.  */
struct bb_conn *bb_conn_connect (uv_loop_t *loop,
                                 const struct sockaddr_storage *addr,
                                 const struct bb_conn_ops *ops, void *user);

/* Returns the buffer of frames to send.  It is written when the loop next
   runs out of events, so frames of one turn share a packet.  */
msgpack_sbuffer *bb_conn_out (struct bb_conn *c);

/* Returns how many bytes wait to be sent.  */
size_t bb_conn_backlog_bytes (const struct bb_conn *c);

/* Closes C; on_close follows on a later turn of the loop.  */
void bb_conn_close (struct bb_conn *c, const char *reason);

void *bb_conn_user (const struct bb_conn *c);
void bb_conn_set_user (struct bb_conn *c, void *user);

/* A listening socket for framed connections.  */
struct bb_listener;

/* Listens on ADDR; on_open of OPS is called for each connection with USER.
   Returns NULL and a uv error in *ERROR on failure.  */
struct bb_listener *bb_listener_open (uv_loop_t *loop,
                                      const struct sockaddr_storage *addr,
                                      const struct bb_conn_ops *ops,
                                      void *user, int *error);
void bb_listener_close (struct bb_listener *l);

/* An HTTP server.  */
struct bb_http_server;

/* One request at the server, and its answer.  */
struct bb_http_request
{
  struct bb_bytes method;
  struct bb_bytes path; /* with the query */
  struct bb_header headers[64];
  uint32_t headers_count;
  bool headers_overflow; /* more headers than fit */
  struct bb_bytes body;
  void *user;  /* free for the owner */
  void *owner; /* free for the owner */
  /* The caller went away or the answer is sent; the request is freed after
     the call.  Called exactly once; NULL where nobody asks.  */
  void (*on_done) (struct bb_http_request *r);
  struct bb_http_exchange *exchange;
};

typedef void bb_http_handler (struct bb_http_request *r, void *arg);

struct bb_http_options
{
  size_t body_max_bytes;
  bb_ms read_timeout_ms;  /* for a request to arrive whole */
  bb_ms write_timeout_ms; /* for the caller to take a piece; 0: no limit */
  /* Returns the problem body of an answer with STATUS that the server gives
     before the handler sees the request: 400 malformed, 408 too slow, 413
     body too large.  The server frees it.  NULL where nobody asks.  */
  char *(*on_error) (uint16_t status, void *arg);
};

struct bb_http_server *
bb_http_server_open (uv_loop_t *loop, const struct sockaddr_storage *addr,
                     const struct bb_http_options *o, bb_http_handler *handler,
                     void *arg, int *error);

/* Takes no new connections and ends the present ones after their answer.  */
void bb_http_server_drain (struct bb_http_server *s);

/* Sends a whole answer.  */
void bb_http_respond (struct bb_http_request *r, uint16_t status,
                      const struct bb_header *headers, uint32_t headers_count,
                      struct bb_bytes body);

/* Starts an answer whose body follows in pieces.  */
void bb_http_start (struct bb_http_request *r, uint16_t status,
                    const struct bb_header *headers, uint32_t headers_count);
void bb_http_write (struct bb_http_request *r, struct bb_bytes data);
void bb_http_end (struct bb_http_request *r);

/* Breaks an answer off so that the caller sees that it is not whole.  */
void bb_http_abort (struct bb_http_request *r);

/* Returns how many bytes of the answer the caller has not taken yet.  */
size_t bb_http_backlog_bytes (const struct bb_http_request *r);

/* Finds header NAME (lower case); empty bytes where there is none.  */
struct bb_bytes bb_header_find (const struct bb_header *headers,
                                uint32_t count, const char *name);

/* Whether a header must not be passed on from one hop to the next.  */
bool bb_header_is_hop_by_hop (struct bb_bytes name);

/* An HTTP client for one server, which keeps connections open.  */
struct bb_http_client;
struct bb_http_call;

struct bb_http_call_ops
{
  void (*on_head) (struct bb_http_call *c, uint16_t status,
                   const struct bb_header *headers, uint32_t headers_count);
  void (*on_data) (struct bb_http_call *c, struct bb_bytes data);
  /* The answer is whole when ERROR is NULL.  Otherwise ERROR is a short
     sentence and RUN says whether the request may have run.  C is freed after
     the call.  Not called after bb_http_call_cancel.  */
  void (*on_end) (struct bb_http_call *c, const char *error, enum bb_run run);
};

struct bb_http_client *bb_http_client_new (uv_loop_t *loop,
                                           const struct sockaddr_storage *addr,
                                           const char *host,
                                           bb_ms io_timeout_ms);
void bb_http_client_free (struct bb_http_client *client);

/* Sends a request; its parts are copied.  */
struct bb_http_call *
bb_http_client_send (struct bb_http_client *client, struct bb_bytes method,
                     struct bb_bytes path, const struct bb_header *headers,
                     uint32_t headers_count, struct bb_bytes body,
                     const struct bb_http_call_ops *ops, void *user);

/* Ends the call and its connection; no callback follows.  */
void bb_http_call_cancel (struct bb_http_call *c);
void *bb_http_call_user (const struct bb_http_call *c);

#endif
