/* The HTTP server, on that of h2o.  */

#include "http_server.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum
{
  READ_TIMEOUT_BACKSTOP_MS = 5000 /* h2o's own read timeout comes this much
                                     after that of http_conn.c */
};

/* The response to a request.  Freed with the memory pool of the h2o
   request.  */
struct bb_http_exchange
{
  h2o_generator_t generator;
  h2o_req_t *req;
  struct bb_http_request *request;
  struct http_conn *conn; /* NULL: connection closed before the request */
  char *queued; /* data from the handler that was not passed to h2o yet */
  size_t queued_size;
  size_t queued_capacity;
  char *sending; /* data that was passed to h2o */
  size_t sending_size;
  bool send_in_progress; /* h2o is sending the data passed to it */
  bool ended;
  bool aborted;
  bool final_sent; /* the end of the response was passed to h2o, or h2o has
                      given the request up */
};

/* An h2o handler with a pointer to its server.  */
struct handler
{
  h2o_handler_t super;
  struct bb_http_server *server;
};

static void
on_dispose (void *p)
{
  struct bb_http_exchange *x = *(void **)p;
  struct bb_http_request *r = x->request;

  if (r->on_done)
    r->on_done (r);
  if (x->conn)
    http_conn_request_done (x->conn);
  free (x->queued);
  free (x->sending);
  free (x);
  free (r);
}

static void
send_queued (struct bb_http_exchange *x)
{
  h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
  h2o_iovec_t buf;

  if (x->send_in_progress || x->final_sent)
    return;
  if (x->aborted)
    {
      x->final_sent = true;
      h2o_send (x->req, NULL, 0, H2O_SEND_STATE_ERROR);
      return;
    }
  if (x->queued_size == 0 && !x->ended)
    return;
  free (x->sending);
  x->sending = x->queued;
  x->sending_size = x->queued_size;
  x->queued = NULL;
  x->queued_size = 0;
  x->queued_capacity = 0;
  x->send_in_progress = true;
  if (x->conn)
    x->conn->write_started_ms = (bb_ms)uv_now (x->conn->tcp.loop);
  if (x->ended)
    {
      state = H2O_SEND_STATE_FINAL;
      x->final_sent = true;
    }
  buf = h2o_iovec_init (x->sending, x->sending_size);
  h2o_send (x->req, &buf, x->sending_size ? 1 : 0, state);
}

static void
on_proceed (h2o_generator_t *g, h2o_req_t *req)
{
  struct bb_http_exchange *x = (struct bb_http_exchange *)g;

  (void)req;
  x->send_in_progress = false;
  x->sending_size = 0;
  if (x->conn)
    x->conn->write_started_ms = 0;
  send_queued (x);
}

static void
on_stop (h2o_generator_t *g, h2o_req_t *req)
{
  struct bb_http_exchange *x = (struct bb_http_exchange *)g;

  (void)req;
  x->final_sent = true;
}

static struct bb_bytes
bytes_of (h2o_iovec_t v)
{
  struct bb_bytes b = { .ptr = v.base, .size = (uint32_t)v.len };

  return b;
}

static void
copy_headers (struct bb_http_request *r, const h2o_headers_t *headers)
{
  uint32_t max = sizeof r->headers / sizeof *r->headers;

  r->headers_overflow = headers->size > max;
  for (size_t i = 0; i < headers->size && i < max; i++)
    {
      r->headers[i].name = bytes_of (*headers->entries[i].name);
      r->headers[i].value = bytes_of (headers->entries[i].value);
      r->headers_count++;
    }
}

bool
http_is_handler_response (const h2o_req_t *req)
{
  return req->_generator && req->_generator->proceed == on_proceed;
}

static int
on_request (h2o_handler_t *self, h2o_req_t *req)
{
  struct bb_http_server *s = ((struct handler *)self)->server;
  struct bb_http_exchange *x = calloc (1, sizeof *x);
  struct bb_http_request *r = calloc (1, sizeof *r);
  void **slot;

  if (!x || !r)
    abort ();
  x->generator.proceed = on_proceed;
  x->generator.stop = on_stop;
  x->req = req;
  x->request = r;
  r->exchange = x;
  r->method = bytes_of (req->method);
  r->path = bytes_of (req->path);
  r->body = bytes_of (req->entity);
  copy_headers (r, &req->headers);
  x->conn = http_conn_of (req);
  if (x->conn)
    {
      x->conn->responding_count++;
      x->conn->requests_total++;
    }
  slot = h2o_mem_alloc_shared (&req->pool, sizeof *slot, on_dispose);
  *slot = x;
  s->handler (r, s->arg);
  return 0;
}

/* Returns whether h2o adds a header of this name to every response.  */
static bool
is_added_by_h2o (struct bb_bytes name)
{
  return (name.size == 4 && strncasecmp (name.ptr, "date", 4) == 0)
         || (name.size == 6 && strncasecmp (name.ptr, "server", 6) == 0);
}

static void
add_headers (h2o_req_t *req, const struct bb_header *headers, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      h2o_iovec_t name;
      h2o_iovec_t value;
      if (is_added_by_h2o (headers[i].name))
        continue;
      name
          = h2o_strdup (&req->pool, headers[i].name.ptr, headers[i].name.size);
      value = h2o_strdup (&req->pool, headers[i].value.ptr,
                          headers[i].value.size);
      h2o_strtolower (name.base, name.len);
      h2o_add_header_by_str (&req->pool, &req->res.headers, name.base,
                             name.len, 0, NULL, value.base, value.len);
    }
}

void
bb_http_respond (struct bb_http_request *r, uint16_t status,
                 const struct bb_header *headers, uint32_t headers_count,
                 struct bb_bytes body)
{
  r->exchange->req->res.content_length = body.size;
  bb_http_start (r, status, headers, headers_count);
  bb_http_write (r, body);
  bb_http_end (r);
}

void
bb_http_start (struct bb_http_request *r, uint16_t status,
               const struct bb_header *headers, uint32_t headers_count)
{
  struct bb_http_exchange *x = r->exchange;

  x->req->res.status = status;
  x->req->res.reason = "Status";
  add_headers (x->req, headers, headers_count);
  h2o_start_response (x->req, &x->generator);
}

void
bb_http_write (struct bb_http_request *r, struct bb_bytes data)
{
  struct bb_http_exchange *x = r->exchange;

  if (x->final_sent || x->ended || data.size == 0)
    return;
  if (x->queued_capacity - x->queued_size < data.size)
    {
      x->queued_capacity = (x->queued_capacity + data.size) * 2;
      x->queued = realloc (x->queued, x->queued_capacity);
      if (!x->queued)
        abort ();
    }
  memcpy (x->queued + x->queued_size, data.ptr, data.size);
  x->queued_size += data.size;
  if (x->req->res.content_length == SIZE_MAX)
    send_queued (x);
}

void
bb_http_end (struct bb_http_request *r)
{
  r->exchange->ended = true;
  send_queued (r->exchange);
}

void
bb_http_abort (struct bb_http_request *r)
{
  struct bb_http_exchange *x = r->exchange;

  x->aborted = true;
  free (x->queued);
  x->queued = NULL;
  x->queued_size = 0;
  x->queued_capacity = 0;
  if (x->send_in_progress && x->conn)
    http_conn_shutdown (x->conn);
  send_queued (x);
}

size_t
bb_http_backlog_bytes (const struct bb_http_request *r)
{
  return r->exchange->queued_size + r->exchange->sending_size;
}

static void
init_h2o (struct bb_http_server *s, uv_loop_t *loop,
          const struct bb_http_options *o)
{
  h2o_hostconf_t *host;
  h2o_pathconf_t *path;
  struct handler *h;

  h2o_config_init (&s->conf);
  s->conf.max_request_entity_size = o->body_max_bytes;
  s->conf.http1.req_timeout
      = (uint64_t)(o->read_timeout_ms + READ_TIMEOUT_BACKSTOP_MS);
  s->conf.server_name = h2o_iovec_init (H2O_STRLIT ("bilberryhook"));
  host = h2o_config_register_host (
      &s->conf, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  path = h2o_config_register_path (host, "/", 0);
  http_add_error_filter (s, path);
  http_add_error_filter (s, &host->fallback_path);
  h = (struct handler *)h2o_create_handler (path, sizeof *h);
  h->super.on_req = on_request;
  h->server = s;
  h2o_context_init (&s->ctx, loop, &s->conf);
  s->accept.ctx = &s->ctx;
  s->accept.hosts = s->conf.hosts;
}

struct bb_http_server *
bb_http_server_open (uv_loop_t *loop, const struct sockaddr_storage *addr,
                     const struct bb_http_options *o, bb_http_handler *handler,
                     void *arg, int *error)
{
  enum
  {
    LISTEN_BACKLOG = 1024
  };
  struct bb_http_server *s = calloc (1, sizeof *s);

  s->handler = handler;
  s->arg = arg;
  s->options = *o;
  init_h2o (s, loop, o);
  uv_tcp_init (loop, &s->tcp);
  s->tcp.data = s;
  *error = uv_tcp_bind (&s->tcp, (const struct sockaddr *)addr, 0);
  if (*error == 0)
    *error = uv_listen ((uv_stream_t *)&s->tcp, LISTEN_BACKLOG,
                        http_on_connection);
  if (*error == 0)
    {
      http_start_sweep (s, loop);
      return s;
    }
  uv_close ((uv_handle_t *)&s->tcp, NULL);
  return NULL;
}

void
bb_http_server_drain (struct bb_http_server *s)
{
  if (s->drained)
    return;
  s->drained = true;
  uv_close ((uv_handle_t *)&s->tcp, NULL);
  h2o_context_request_shutdown (&s->ctx);
}
