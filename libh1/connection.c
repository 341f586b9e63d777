/* Sending on the connections of the server, and closing them.  */

#include "server.h"

#include <jansson.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <utlist.h>

bb_ms
h1_connection_now (const struct connection *c)
{
  return (bb_ms)uv_now (c->server->loop);
}

void
h1_connection_free_body (struct connection *c)
{
  if (c->out.memory)
    bb_memory_give (c->out.memory, c->held_bytes);
  c->held_bytes = 0;
  c->wanted_bytes = 0;
#ifndef BB_MUTANT_h1_body_kept
  h1_buffer_free (&c->body);
#endif
  c->body.size = 0;
}

static void
on_closed (uv_handle_t *h)
{
  struct connection *c = h->data;

  h1_connection_free_body (c);
  h1_reader_free (&c->reader);
  h1_buffer_free (&c->input);
  free (c);
}

/* Counts connections that the server closes without having told the caller in
   a response.  */
static void
count_close (const char *labels)
{
  bb_counter ("bilberry_channels_closed_total", labels)->value++;
}

void
h1_connection_close (struct connection *c)
{
  if (c->closing)
    return;
  c->closing = true;
  DL_DELETE (c->server->connections, c);
  c->server->connections_count--;
  uv_close ((uv_handle_t *)&c->tcp, on_closed);
}

void
h1_connection_set_reset_at_close (struct connection *c, bool reset)
{
  struct linger linger = { .l_onoff = reset, .l_linger = 0 };
  uv_os_fd_t fd;

#ifdef BB_MUTANT_h1_reset_at_close
  return;
#endif
  if (uv_fileno ((uv_handle_t *)&c->tcp, &fd) == 0)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

/* uv_tcp_close_reset refuses to while the shutdown of a lingering close waits
   for queued bytes.  */
void
h1_connection_reset (struct connection *c)
{
  h1_connection_set_reset_at_close (c, true);
  h1_connection_close (c);
}

static void
on_shutdown (uv_shutdown_t *req, int status)
{
  struct connection *c = req->data;

  free (req);
  if (status == UV_ECANCELED)
    return;
  c->state_since_ms = h1_connection_now (c);
  /* The kernel has all of the response, and the end of the connection.  */
  if (status == 0)
    h1_connection_set_reset_at_close (c, false);
}

void
h1_connection_linger (struct connection *c)
{
  uv_shutdown_t *req;

  if (c->closing || c->lingering)
    return;
  c->lingering = true;
  c->state_since_ms = h1_connection_now (c);
  req = calloc (1, sizeof *req);
  if (!req)
    abort ();
  req->data = c;
  if (uv_shutdown (req, (uv_stream_t *)&c->tcp, on_shutdown) < 0)
    {
      free (req);
      h1_connection_close (c);
    }
}

bool
h1_connection_has_input (const struct connection *c)
{
#ifdef BB_MUTANT_h1_unread
  return false;
#endif
  return h1_look_unread (&c->tcp) == H1_UNREAD_BYTES;
}

bool
h1_connection_is_idle (const struct connection *c)
{
  return !c->responding && !c->lingering && !c->closing && !c->reader.started
         && !h1_connection_has_input (c);
}

void
h1_connection_close_idle (struct connection *c, const char *reason)
{
  count_close (reason);
#ifdef BB_MUTANT_h1_crossing
  h1_connection_linger (c);
  return;
#endif
  /* The caller has not taken all of the last response yet.  */
  if (c->out.queued_bytes > 0)
    h1_connection_linger (c);
  else
    h1_connection_close (c);
}

void
h1_connection_lost (struct connection *c)
{
  if (c->responding)
    {
      c->responding = false;
      if (c->exchange.on_disconnect)
        c->exchange.on_disconnect (&c->exchange);
    }
  h1_connection_close (c);
}

void
h1_connection_send (struct connection *c, const char *data, size_t size)
{
  if (!c->closing
      && h1_write ((uv_stream_t *)&c->tcp, data, size, &c->out) < 0)
    {
      c->close_after_response = true;
      c->broken = true;
    }
}

void
h1_connection_send_bytes (struct connection *c, GBytes *body)
{
  if (!c->closing
      && h1_write_bytes ((uv_stream_t *)&c->tcp, body, 0, &c->out) < 0)
    {
      c->close_after_response = true;
      c->broken = true;
    }
}

void
h1_connection_begin_idling (struct connection *c)
{
  c->state_since_ms = h1_connection_now (c);
  c->idle_timeout_ms = c->server->limits.idle_timeout_ms;
}

const char *
h1_reason_phrase (uint16_t status)
{
  const char *s = http_status_str ((enum http_status)status);

  return s && *s != '<' ? s : "Status";
}

void
h1_connection_reject (struct connection *c, uint16_t status)
{
  struct h1_buffer out = { 0 };

  if (c->closing || c->lingering)
    return;
  c->server->on_error (status, c->server->arg);
  h1_buffer_printf (&out,
                    "HTTP/1.1 %d %s\r\nConnection: close\r\n%s"
                    "Content-Length: 0\r\n\r\n",
                    status, h1_reason_phrase (status),
                    status == 503 ? "Retry-After: 1\r\n" : "");
  h1_connection_send (c, out.data, out.size);
  h1_buffer_free (&out);
  h1_connection_linger (c);
}
