/* The responses that the HTTP client reads.  */

#include "client.h"

#include "bilberry/net.h"

#include <stdlib.h>
#include <string.h>

enum
{
  KEEP_ALIVE_DEFAULT_MS = 4000, /* idle time if the response names none */
  /* Time by which this client closes an idle connection before the server
     does.  */
  KEEP_ALIVE_MARGIN_MS = 700
};

/* Returns how long the connection may be kept idle: the timeout in the
   Keep-Alive header of the response, less KEEP_ALIVE_MARGIN_MS, or
   KEEP_ALIVE_DEFAULT_MS if the header names no timeout.  */
static bb_ms
keep_alive_time_ms (const struct h1_reader *r)
{
  struct bb_bytes v = bb_header_find (r->message.headers,
                                      r->message.headers_count, "keep-alive");
  char text[64];
  const char *at;
  bb_ms ms;

  if (v.size == 0 || v.size >= sizeof text)
    return KEEP_ALIVE_DEFAULT_MS;
  memcpy (text, v.ptr, v.size);
  text[v.size] = '\0';
  at = strstr (text, "timeout=");
  if (!at)
    return KEEP_ALIVE_DEFAULT_MS;
  ms = (bb_ms)strtoul (at + strlen ("timeout="), NULL, 10) * 1000
       - KEEP_ALIVE_MARGIN_MS;
  return ms > 0 ? ms : 0;
}

static bool
on_head (struct h1_reader *r, void *user)
{
  struct connection *conn = user;
  struct bb_h1_call *c = conn->call;

  if (!c || r->message.status < 200)
    return true;
  conn->head_received = true;
  if (c->ops->on_head)
    c->ops->on_head (c, &r->message, c->user);
  return conn->call && conn->call->is_head_request;
}

static void
on_body (struct h1_reader *r, struct bb_bytes data, void *user)
{
  struct connection *conn = user;

  (void)r;
  if (conn->call && conn->call->ops->on_data)
    conn->call->ops->on_data (conn->call, data, conn->call->user);
}

static void
on_complete (struct h1_reader *r, void *user)
{
  (void)r;
  (void)user;
}

const struct h1_reader_ops h1_client_reader_ops
    = { on_head, on_body, on_complete };

void
h1_client_finish (struct connection *conn, bool must_close)
{
  bool reusable = !must_close && http_should_keep_alive (&conn->reader.parser)
                  && conn->out.queued_bytes == 0 && conn->out.error == 0
                  && conn->call->body.size == 0 && !conn->call->paused
                  && !conn->pool->freed;
  struct bb_h1_call *c = conn->call;

  conn->keep_alive_ms = keep_alive_time_ms (&conn->reader);
  conn->call = NULL;
  c->connection = NULL;
  if (reusable && conn->keep_alive_ms > 0)
    h1_client_add_idle (conn);
  else
    h1_client_close (conn);
  c->ops->on_end (c, BB_H1_WHOLE, c->user);
  h1_client_free_call (c);
}

void
h1_client_parse (struct connection *conn, const char *data, size_t size)
{
  while (size > 0 && !conn->closing && conn->call)
    {
      ssize_t n = h1_reader_feed (&conn->reader, data, size);
      if (conn->closing || !conn->call)
        return;
      if (n < 0)
        {
          h1_client_fail (conn,
                          conn->head_received ? BB_H1_CUT : BB_H1_MALFORMED);
          return;
        }
      data += n;
      size -= (size_t)n;
      if (!conn->reader.complete)
        continue;
      if (conn->head_received)
        {
          h1_client_finish (conn, size > 0);
          return;
        }
      h1_reader_reset (&conn->reader);
    }
}

enum bb_h1_result
h1_client_result_of_close (const struct connection *conn)
{
  if (!conn->request_sent)
    return BB_H1_UNSENT;
  if (conn->head_received)
    return BB_H1_CUT;
  return conn->reader.started ? BB_H1_MALFORMED : BB_H1_UNANSWERED;
}

bool
h1_client_ends_in_order (const struct connection *conn)
{
#ifdef BB_MUTANT_h1_reset_end
  return true;
#endif
#ifndef BB_MUTANT_h1_write_error
  if (conn->out.error != 0 && conn->out.error != UV_EPIPE)
    return false;
#endif
  return h1_look_unread (&conn->tcp) == H1_UNREAD_END;
}
