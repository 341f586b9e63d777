#ifndef LIBH1_CLIENT_H
#define LIBH1_CLIENT_H

/* Internals of the HTTP client.  client.c has the pools, the calls and what is
   sent; client_response.c reads responses; client_connection.c ends calls and
   closes connections.  Each calls only those after it.  */

#include "h1.h"

struct bb_h1_call
{
  struct connection *connection;
  const struct bb_h1_call_ops *ops;
  void *user;
  struct h1_buffer request_head; /* with a body that is small */
  struct bb_bytes body;          /* the rest of the body, not sent yet */
  bool is_head_request;          /* no body follows the response */
  bool paused;                   /* no more of the response is read */
  bb_ms idle_max_ms;
};

/* A connection to the server.  */
struct connection
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  uv_connect_t connect;
  struct bb_h1_pool *pool;
  struct bb_h1_call *call;
  struct h1_reader reader;
  struct h1_out out;
  bool request_sent; /* the request of the current call was sent, possibly only
                        in part */
  bool head_received; /* the head of the final response was received, not only
                         of an interim one */
  bool closing;
  uint32_t open_handles;
  bb_ms idle_since_ms;
  bb_ms keep_alive_ms; /* how long the connection may stay idle */
  struct connection *prev;
  struct connection *next;
};

struct bb_h1_pool
{
  uv_loop_t *loop;
  struct sockaddr_storage addr;
  bb_ms connect_timeout_ms;
  struct bb_memory *memory;            /* NULL: nothing counts */
  struct connection *idle_connections; /* connections without a call,
                                          most recently used first */
  uint32_t connections_count;
  bool freed;
};

/* client_connection.c */

void h1_client_free_pool_if_unused (struct bb_h1_pool *p);
void h1_client_close (struct connection *conn);
void h1_client_free_call (struct bb_h1_call *c);
/* Closes CONN after a failure and ends its call, if there is one, with
   RESULT.  */
void h1_client_fail (struct connection *conn, enum bb_h1_result result);
/* CONN waits for its next call.  */
void h1_client_add_idle (struct connection *conn);
/* The connect timeout or the keep-alive time of an idle connection has
   expired, or the connect failed at once.  */
void h1_client_on_timer (uv_timer_t *t);

/* client_response.c */

extern const struct h1_reader_ops h1_client_reader_ops;
/* Ends the call of CONN with a complete response.  With MUST_CLOSE the
   connection is not reused: the response was followed by excess bytes, or by
   the end of the connection.  */
void h1_client_finish (struct connection *conn, bool must_close);
/* Parses received bytes of a response.  Interim responses are skipped.  */
void h1_client_parse (struct connection *conn, const char *data, size_t size);
/* Returns how the current call of CONN ends if the connection closes now.  */
enum bb_h1_result h1_client_result_of_close (const struct connection *conn);
/* Whether the peer has closed CONN in order.  Where a reset arrives together
   with the last bytes, libuv reports UV_EOF after them.  Where a write has
   failed, the socket no longer tells; the error of that write does: it is
   UV_EPIPE if the peer had closed in order before the reset.  */
bool h1_client_ends_in_order (const struct connection *conn);

#endif
