/* Finds out whether a server accepts connections.  */

#include "bilberry/h1.h"
#include "h1.h"

#include <glib.h>

struct bb_h1_probe
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  uv_connect_t connect;
  uint32_t open_handles;
  bb_h1_probe_fn *fn;
  void *user;
};

static void
on_closed (uv_handle_t *h)
{
  struct bb_h1_probe *p = h->data;

  if (--p->open_handles == 0)
    g_free (p);
}

/* Ends P with RESULT, unless it has ended.  */
static void
finish_probe (struct bb_h1_probe *p, enum bb_h1_probe_result result)
{
  if (uv_is_closing ((uv_handle_t *)&p->tcp))
    return;
  uv_close ((uv_handle_t *)&p->tcp, on_closed);
  uv_close ((uv_handle_t *)&p->timer, on_closed);
  p->fn (result, p->user);
}

static void
on_connect (uv_connect_t *req, int status)
{
  finish_probe (req->data, status == 0                 ? BB_H1_PROBE_ACCEPTED
                           : status == UV_ECONNREFUSED ? BB_H1_PROBE_REFUSED
                                                       : BB_H1_PROBE_SILENT);
}

static void
on_timer (uv_timer_t *t)
{
  finish_probe (t->data, BB_H1_PROBE_SILENT);
}

void
bb_h1_probe (struct bb_h1_pool *pool, bb_ms timeout_ms, bb_h1_probe_fn *fn,
             void *user)
{
  struct bb_h1_probe *p = g_new0 (struct bb_h1_probe, 1);
  uv_loop_t *loop = h1_pool_loop (pool);

  p->fn = fn;
  p->user = user;
  p->open_handles = 2;
  uv_tcp_init (loop, &p->tcp);
  uv_timer_init (loop, &p->timer);
  p->tcp.data = p;
  p->timer.data = p;
  p->connect.data = p;
  /* Where the connect fails at once, the timer ends the probe.  */
  if (uv_tcp_connect (&p->connect, &p->tcp, h1_pool_address (pool), on_connect)
      < 0)
    timeout_ms = 0;
  uv_timer_start (&p->timer, on_timer, (uint64_t)timeout_ms, 0);
}
