/* Finds out whether a server accepts connections.  The kernel may still accept
   one for a process that is ending; it is closed at once, so a connection
   counts only when it has stayed open for a while.  */

#include "bilberry/h1.h"
#include "h1.h"

#include <glib.h>

enum
{
  OPEN_MIN_MS = 20, /* time for which an accepted connection must stay open */
  /* Connections that are tried, as a server that is full closes them too.  */
  ATTEMPTS_MAX = 5
};

struct bb_h1_probe
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  uv_connect_t connect;
  const struct bb_h1_pool *pool;
  bb_ms timeout_ms; /* of the connect of each attempt */
  uint32_t attempts;
  bool accepted; /* the current connection is established */
  bool ended;    /* FN was called */
  bool tcp_open;
  bool timer_open;
  bb_h1_probe_fn *fn;
  void *user;
};

static void start_attempt (struct bb_h1_probe *p);

static void
free_if_closed (struct bb_h1_probe *p)
{
  if (!p->tcp_open && !p->timer_open)
    g_free (p);
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct bb_h1_probe *p = h->data;

  p->timer_open = false;
  free_if_closed (p);
}

static void
on_tcp_closed (uv_handle_t *h)
{
  struct bb_h1_probe *p = h->data;

  p->tcp_open = false;
  if (p->ended)
    free_if_closed (p);
  else
    start_attempt (p);
}

static void
close_tcp (struct bb_h1_probe *p)
{
  if (!uv_is_closing ((uv_handle_t *)&p->tcp))
    uv_close ((uv_handle_t *)&p->tcp, on_tcp_closed);
}

/* Ends P with RESULT, unless it has ended.  */
static void
finish_probe (struct bb_h1_probe *p, enum bb_h1_probe_result result)
{
  if (p->ended)
    return;
  p->ended = true;
  if (p->tcp_open)
    close_tcp (p);
  uv_close ((uv_handle_t *)&p->timer, on_timer_closed);
  p->fn (result, p->user);
}

static void
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *b)
{
  static char shared[64];

  (void)h;
  (void)suggested;
  *b = uv_buf_init (shared, sizeof shared);
}

/* The connection was closed by the server, or it sent something.  */
static void
on_read (uv_stream_t *s, ssize_t size, const uv_buf_t *b)
{
  struct bb_h1_probe *p = s->data;

  (void)b;
  if (size == 0 || p->ended)
    return;
  if (size > 0 || p->attempts == ATTEMPTS_MAX)
    finish_probe (p, BB_H1_PROBE_ACCEPTED);
  else
    close_tcp (p);
}

static void
on_timer (uv_timer_t *t)
{
  struct bb_h1_probe *p = t->data;

  finish_probe (p, p->accepted ? BB_H1_PROBE_ACCEPTED : BB_H1_PROBE_SILENT);
}

/* Whether a connect that ended with STATUS was accepted by the kernel and
   closed before this process saw it.  */
static bool
was_closed (int status)
{
  return status < 0 && status != UV_ECONNREFUSED && status != UV_ETIMEDOUT
         && status != UV_EHOSTUNREACH && status != UV_ENETUNREACH;
}

static void
on_connect (uv_connect_t *req, int status)
{
  struct bb_h1_probe *p = req->data;

  if (p->ended || status == UV_ECANCELED)
    return;
  if (was_closed (status) && p->attempts < ATTEMPTS_MAX)
    {
      close_tcp (p);
      return;
    }
  if (status < 0
      || uv_read_start ((uv_stream_t *)&p->tcp, on_alloc, on_read) < 0)
    {
      finish_probe (p, status == UV_ECONNREFUSED ? BB_H1_PROBE_REFUSED
                                                 : BB_H1_PROBE_SILENT);
      return;
    }
  p->accepted = true;
  uv_timer_start (&p->timer, on_timer, OPEN_MIN_MS, 0);
}

static void
start_attempt (struct bb_h1_probe *p)
{
  p->attempts++;
  p->accepted = false;
  uv_timer_start (&p->timer, on_timer, (uint64_t)p->timeout_ms, 0);
  uv_tcp_init (uv_handle_get_loop ((uv_handle_t *)&p->timer), &p->tcp);
  p->tcp.data = p;
  p->connect.data = p;
  p->tcp_open = true;
  /* Where the connect fails at once, the timer ends the probe.  */
  if (uv_tcp_connect (&p->connect, &p->tcp, h1_pool_address (p->pool),
                      on_connect)
      < 0)
    uv_timer_start (&p->timer, on_timer, 0, 0);
}

void
bb_h1_probe (struct bb_h1_pool *pool, bb_ms timeout_ms, bb_h1_probe_fn *fn,
             void *user)
{
  struct bb_h1_probe *p = g_new0 (struct bb_h1_probe, 1);

  p->pool = pool;
  p->timeout_ms = timeout_ms;
  p->fn = fn;
  p->user = user;
  p->timer_open = true;
  uv_timer_init (h1_pool_loop (pool), &p->timer);
  p->timer.data = p;
  start_attempt (p);
}
