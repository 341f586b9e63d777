/* Requests whose response is collected before it is used.  */

#include "bilberry/net.h"

#include <glib.h>

struct fetch
{
  uint16_t status;
  GString *body;
  size_t body_max_bytes;
  bb_http_fetch_fn *fn;
  void *user;
};

static void
on_head (struct bb_http_call *c, uint16_t status,
         const struct bb_header *headers, uint32_t headers_count)
{
  struct fetch *f = bb_http_call_user (c);

  (void)headers;
  (void)headers_count;
  f->status = status;
  bb_http_call_limit_body (c, f->body_max_bytes);
}

static void
on_data (struct bb_http_call *c, struct bb_bytes piece)
{
  struct fetch *f = bb_http_call_user (c);

  g_string_append_len (f->body, piece.ptr, piece.size);
}

static void
on_end (struct bb_http_call *c, const char *error, enum bb_run run)
{
  struct fetch *f = bb_http_call_user (c);
  struct bb_bytes body
      = { .ptr = f->body->str, .size = (uint32_t)f->body->len };

  (void)run;
  f->fn (error, f->status, body, f->user);
  g_string_free (f->body, TRUE);
  g_free (f);
}

void
bb_http_fetch (struct bb_http_client *client, const char *method,
               const char *path, struct bb_bytes body, size_t body_max_bytes,
               bb_http_fetch_fn *fn, void *user)
{
  static const struct bb_http_call_ops ops
      = { .on_head = on_head, .on_data = on_data, .on_end = on_end };
  struct fetch *f = g_new0 (struct fetch, 1);

  f->body = g_string_new ("");
  f->body_max_bytes = body_max_bytes;
  f->fn = fn;
  f->user = user;
  bb_http_client_send (client, bb_bytes_of (method), bb_bytes_of (path), NULL,
                       0, body, &ops, f);
}
