#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

/* Internals of the HTTP server.  */

#include "bilberry/net.h"

#include <h2o.h>

/* A connection from a client.  */
struct http_conn
{
  uv_tcp_t tcp;
  struct bb_http_server *server;
  h2o_socket_t *sock;         /* NULL once h2o has closed it */
  uint32_t responding_count;  /* requests without a complete response */
  uint64_t requests_total;    /* requests that were received completely */
  uint64_t requests_at_sweep; /* requests_total at the last sweep */
  /* Bytes received on the connection before the current request.  */
  uint64_t bytes_before_request;
  bool error_reported;         /* an error was reported by on_error */
  size_t bytes_after_response; /* sock->bytes_written when the last
                                  response ended */
  bb_ms write_started_ms; /* start of the current write; 0: no data is being
                             sent */
  bb_ms read_started_ms; /* time when a sweep first saw the incomplete request;
                            0: none */
  struct http_conn *prev;
  struct http_conn *next;
};

struct bb_http_server
{
  h2o_globalconf_t conf;
  h2o_context_t ctx;
  h2o_accept_ctx_t accept;
  uv_tcp_t tcp;
  uv_timer_t sweep_timer;
  struct bb_http_options options;
  struct http_conn *connections;
  bb_http_handler *handler;
  void *arg;
  bool drained;
};

/* http_conn.c */

/* The uv callback of the listening socket: accepts a connection.  */
void http_on_connection (uv_stream_t *server, int status);

/* Returns the connection of REQ; NULL if its socket is closed.  */
struct http_conn *http_conn_of (h2o_req_t *req);

/* Called when the response to a request of C has ended or was given up.  */
void http_conn_request_done (struct http_conn *c);

/* Shuts down the socket of C at once; h2o notices it and closes C.  */
void http_conn_shutdown (struct http_conn *c);

/* Starts the timer that applies the read and write timeouts of S.  */
void http_start_sweep (struct bb_http_server *s, uv_loop_t *loop);

/* http_error.c */

/* Adds a filter to PATH that replaces the body of error responses that h2o
   makes by itself.  */
void http_add_error_filter (struct bb_http_server *s, h2o_pathconf_t *path);

/* http_server.c */

/* Returns whether the response to REQ comes from the handler of the server,
   not from h2o.  */
bool http_is_handler_response (const h2o_req_t *req);

#endif
