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
  h2o_socket_t *sock;     /* NULL once h2o has closed it */
  uint32_t open;          /* requests that are being answered */
  uint64_t requests;      /* read whole */
  uint64_t requests_seen; /* at the last sweep */
  uint64_t bytes_seen;    /* received when no request was begun */
  bool refused;           /* by this part or a filter */
  size_t bytes_answered;  /* last written by h2o for a whole answer */
  bb_ms writing_since;    /* 0: nothing is on its way to the caller */
  bb_ms reading_since;    /* 0: no request is half read */
  struct http_conn *prev;
  struct http_conn *next;
};

struct bb_http_server
{
  h2o_globalconf_t conf;
  h2o_context_t ctx;
  h2o_accept_ctx_t accept;
  uv_tcp_t tcp;
  uv_timer_t sweep;
  struct bb_http_options options;
  struct http_conn *conns;
  bb_http_handler *handler;
  void *arg;
  bool drained;
};

/* http_conn.c */
void http_on_connection (uv_stream_t *server, int status);
struct http_conn *http_conn_of (h2o_req_t *req);

/* A request of C is answered or given up.  */
void http_conn_answered (struct http_conn *c);

/* Ends the connection of C at once; h2o notices and closes it.  */
void http_conn_shut (struct http_conn *c);

/* Refuses requests that are read for too long.  */
void http_watch_slow (struct bb_http_server *s, uv_loop_t *loop);

/* http_fault.c */

/* Replaces the body of answers on PATH that h2o gives by itself.  */
void http_fault_filter (struct bb_http_server *s, h2o_pathconf_t *path);

/* http_server.c */

/* Whether the answer to REQ comes from the owner of the server.  */
bool http_is_own_answer (const h2o_req_t *req);

#endif
