/* What the handler of a request responds.  */

#include "server.h"

#include "bilberry/net.h"

static void
format_head (struct connection *c, struct h1_buffer *out, uint16_t status,
             const struct bb_header *headers, uint32_t count)
{
  if (c->server->draining || c->over_limit
      || !http_should_keep_alive (&c->reader.parser))
    c->close_after_response = true;
  h1_buffer_printf (out, "HTTP/1.1 %d %s\r\n", status,
                    h1_reason_phrase (status));
  for (uint32_t i = 0; i < count; i++)
    {
      if (bb_header_is_hop_by_hop (headers[i].name))
        continue;
      h1_buffer_append (out, headers[i].name.ptr, headers[i].name.size);
      h1_buffer_append (out, ": ", 2);
      h1_buffer_append (out, headers[i].value.ptr, headers[i].value.size);
      h1_buffer_append (out, "\r\n", 2);
    }
  if (c->close_after_response)
    h1_buffer_printf (out, "Connection: close\r\n");
}

static struct connection *
connection_of (const struct bb_h1_exchange *x)
{
  return (struct connection *)((char *)x
                               - offsetof (struct connection, exchange));
}

static void
finish_response (struct connection *c)
{
  c->responding = false;
  c->response_started = false;
  h1_connection_free_body (c);
  h1_connection_resume_reading (c);
  if (c->close_after_response)
    {
      h1_connection_linger (c);
      return;
    }
  h1_connection_begin_idling (c);
  h1_reader_reset (&c->reader);
  h1_connection_process_input (c);
  /* A response that began before the drain did not announce the close.  */
  if (c->server->listener_closed && h1_connection_is_idle (c))
    h1_connection_close_idle (c, "reason=\"stop\"");
}

/* Sends the head of a response of SIZE bytes, with BODY, a small one, if it is
   not NULL.  */
static void
respond_head (struct connection *c, uint16_t status,
              const struct bb_header *headers, uint32_t count, size_t size,
              const char *body)
{
  struct h1_buffer out = { 0 };

  format_head (c, &out, status, headers, count);
  h1_buffer_printf (&out, "Content-Length: %zu\r\n\r\n", size);
  if (body)
    h1_buffer_append (&out, body, size);
  h1_connection_send (c, out.data, out.size);
  h1_buffer_free (&out);
}

void
bb_h1_respond (struct bb_h1_exchange *x, uint16_t status,
               const struct bb_header *headers, uint32_t count,
               struct bb_bytes body)
{
  struct connection *c = connection_of (x);
  bool has_body = c->reader.parser.method != HTTP_HEAD;
  bool small = body.size <= BB_MEMORY_SMALL_BYTES;

  respond_head (c, status, headers, count, body.size,
                has_body && small ? body.ptr : NULL);
  if (has_body && !small)
    h1_connection_send (c, body.ptr, body.size);
  finish_response (c);
}

void
bb_h1_respond_bytes (struct bb_h1_exchange *x, uint16_t status,
                     const struct bb_header *headers, uint32_t count,
                     GBytes *body)
{
  struct connection *c = connection_of (x);
  gsize size;
  const char *data = g_bytes_get_data (body, &size);

  if (size <= BB_MEMORY_SMALL_BYTES)
    {
      struct bb_bytes b = { data, (uint32_t)size };
      bb_h1_respond (x, status, headers, count, b);
      return;
    }
  respond_head (c, status, headers, count, size, NULL);
  if (c->reader.parser.method != HTTP_HEAD)
    h1_connection_send_bytes (c, body);
  finish_response (c);
}

void
bb_h1_start (struct bb_h1_exchange *x, uint16_t status,
             const struct bb_header *headers, uint32_t count)
{
  struct connection *c = connection_of (x);
  struct h1_buffer out = { 0 };

  /* An HTTP/1.0 client does not support chunked encoding: the end of the
     connection ends the body.  */
  c->chunked = c->reader.parser.http_minor > 0;
  if (!c->chunked)
    {
      c->close_after_response = true;
      h1_connection_set_reset_at_close (c, true);
    }
  format_head (c, &out, status, headers, count);
  h1_buffer_printf (&out, c->chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                                     : "\r\n");
  h1_connection_send (c, out.data, out.size);
  h1_buffer_free (&out);
  c->response_started = true;
}

void
bb_h1_write (struct bb_h1_exchange *x, struct bb_bytes data)
{
  struct connection *c = connection_of (x);
  struct h1_buffer out = { 0 };

  if (data.size == 0)
    return;
  if (c->chunked)
    h1_buffer_printf (&out, "%x\r\n", data.size);
  h1_buffer_append (&out, data.ptr, data.size);
  if (c->chunked)
    h1_buffer_append (&out, "\r\n", 2);
  h1_connection_send (c, out.data, out.size);
  h1_buffer_free (&out);
}

void
bb_h1_end (struct bb_h1_exchange *x)
{
  struct connection *c = connection_of (x);

  if (c->chunked)
    h1_connection_send (c, "0\r\n\r\n", 5);
  finish_response (c);
}

void
bb_h1_abort (struct bb_h1_exchange *x)
{
  struct connection *c = connection_of (x);

  c->responding = false;
  if (c->closing)
    return;
  /* Without chunked encoding an orderly close would end the body.  */
  if (c->response_started && !c->chunked)
    h1_connection_reset (c);
  else
    h1_connection_close (c);
}

size_t
bb_h1_backlog_bytes (const struct bb_h1_exchange *x)
{
  return connection_of (x)->out.queued_bytes;
}
