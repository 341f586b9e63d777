/* The connections of the HTTP client, and the ends of their calls.  */

#include "client.h"

#include <stdlib.h>
#include <utlist.h>

void
h1_client_free_pool_if_unused (struct bb_h1_pool *p)
{
  if (p->freed && p->connections_count == 0)
    free (p);
}

static void
on_closed (uv_handle_t *h)
{
  struct connection *conn = h->data;
  struct bb_h1_pool *p = conn->pool;

  if (--conn->open_handles > 0)
    return;
  h1_reader_free (&conn->reader);
  free (conn);
  p->connections_count--;
  h1_client_free_pool_if_unused (p);
}

void
h1_client_close (struct connection *conn)
{
  if (conn->closing)
    return;
  conn->closing = true;
  uv_close ((uv_handle_t *)&conn->timer, on_closed);
  uv_close ((uv_handle_t *)&conn->tcp, on_closed);
}

void
h1_client_free_call (struct bb_h1_call *c)
{
  h1_buffer_free (&c->request_head);
  free (c);
}

/* Ends the call of CONN, if there is one.  */
static void
end_call (struct connection *conn, enum bb_h1_result result)
{
  struct bb_h1_call *c = conn->call;

  if (!c)
    return;
  conn->call = NULL;
  c->connection = NULL;
  c->ops->on_end (c, result, c->user);
  h1_client_free_call (c);
}

void
h1_client_fail (struct connection *conn, enum bb_h1_result result)
{
  if (conn->closing)
    return;
  if (!conn->call)
    DL_DELETE (conn->pool->idle_connections, conn);
  h1_client_close (conn);
  end_call (conn, result);
}

void
h1_client_add_idle (struct connection *conn)
{
  conn->idle_since_ms = (bb_ms)uv_now (conn->pool->loop);
  conn->head_received = false;
  conn->request_sent = false;
  h1_reader_reset (&conn->reader);
  DL_PREPEND (conn->pool->idle_connections, conn);
  uv_timer_start (&conn->timer, h1_client_on_timer,
                  (uint64_t)conn->keep_alive_ms, 0);
}

void
h1_client_on_timer (uv_timer_t *t)
{
  struct connection *conn = t->data;

  h1_client_fail (conn, BB_H1_UNSENT);
}
