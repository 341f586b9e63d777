#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

/* Parts of the HTTP server.  */

#include "bilberry/net.h"

#include <h2o.h>

/* A caller's connection.  */
struct http_conn
{
  uv_tcp_t tcp;
  struct bb_http_server *server;
  h2o_socket_t *sock;            /* NULL once h2o has closed it */
  uint32_t responding_count;     /* requests that are being answered */
  uint64_t requests_total;       /* read whole */
  uint64_t requests_at_sweep;    /* at the last sweep */
  uint64_t bytes_before_request; /* received when no request was begun */
  bool error_reported;           /* by this part or a filter */
  size_t bytes_after_response;   /* last written by h2o for a whole answer */
  bb_ms write_started_ms;        /* 0: nothing is on its way to the caller */
  bb_ms read_started_ms;         /* 0: no request is half read */
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
void http_on_connection (uv_stream_t *server, int status);
struct http_conn *http_conn_of (h2o_req_t *req);

/* A request of C is answered or given up.  */
void http_conn_request_done (struct http_conn *c);

/* Ends the connection of C at once; h2o notices and closes it.  */
void http_conn_shutdown (struct http_conn *c);

/* Refuses requests that are read for too long.  */
void http_start_sweep (struct bb_http_server *s, uv_loop_t *loop);

/* http_error.c */

/* Replaces the body of answers on PATH that h2o gives by itself.  */
void http_add_error_filter (struct bb_http_server *s, h2o_pathconf_t *path);

/* http_server.c */

/* Whether the answer to REQ comes from the owner of the server.  */
bool http_is_handler_response (const h2o_req_t *req);

#endif
