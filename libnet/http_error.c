/* Replaces the body of error responses that h2o makes by itself, such as for a
   malformed chunk or a body over the limit, by one from the on_error
   callback.  */

#include "http_server.h"

#include <stdlib.h>

/* An h2o filter that passes error responses of h2o through a
   body_replacer.  */
struct error_filter
{
  h2o_filter_t super;
  struct bb_http_server *server;
};

/* An h2o output stream that sends BODY in place of the data of h2o.  */
struct body_replacer
{
  h2o_ostream_t super;
  h2o_iovec_t body;
};

static void
do_send (h2o_ostream_t *self, h2o_req_t *req, h2o_iovec_t *bufs, size_t count,
         h2o_send_state_t state)
{
  struct body_replacer *r = (struct body_replacer *)self;

  (void)bufs;
  (void)count;
  if (state == H2O_SEND_STATE_FINAL)
    h2o_ostream_send_next (&r->super, req, &r->body, 1, state);
  else
    h2o_ostream_send_next (&r->super, req, NULL, 0, state);
}

static void
replace_body (struct error_filter *f, h2o_req_t *req, h2o_ostream_t ***slot)
{
  char *body = f->server->options.on_error ((uint16_t)req->res.status,
                                            f->server->arg);
  struct body_replacer *r
      = (struct body_replacer *)h2o_add_ostream (req, sizeof *r, *slot);

  if (http_conn_of (req))
    http_conn_of (req)->error_reported = true;
  r->super.do_send = do_send;
  r->body = h2o_strdup (&req->pool, body, SIZE_MAX);
  free (body);
  *slot = &r->super.next;
  req->res.content_length = r->body.len;
  h2o_set_header (&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
                  H2O_STRLIT ("application/problem+json"), 1);
  h2o_add_header_by_str (&req->pool, &req->res.headers,
                         H2O_STRLIT ("bilberry-run"), 0, NULL,
                         H2O_STRLIT ("no"));
}

static void
on_setup_ostream (h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot)
{
  struct error_filter *f = (struct error_filter *)self;

  if (f->server->options.on_error && !http_is_handler_response (req)
      && req->res.status >= 400)
    replace_body (f, req, &slot);
  h2o_setup_next_ostream (req, slot);
}

void
http_add_error_filter (struct bb_http_server *s, h2o_pathconf_t *path)
{
  struct error_filter *f
      = (struct error_filter *)h2o_create_filter (path, sizeof *f);

  f->super.on_setup_ostream = on_setup_ostream;
  f->server = s;
}
