/* The HTTP server: accepts connections and bounds their time and number.  */

#include "server.h"

#include <linux/sockios.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <utlist.h>

enum
{
  SWEEP_INTERVAL_MS = 100, /* time between checks for timeouts */
  LINGER_MAX_MS = 1000,    /* longest wait for the caller's close */
  /* Connections beyond the limit on which a request is refused, as a part of
     the limit.  */
  OVER_LIMIT_DIVISOR = 8
};

/* Closes the connection that has been idle for longest, to make room for a new
   one.  Returns false if none is idle.  */
static bool
close_longest_idle (struct bb_h1_server *s)
{
  struct connection *oldest = NULL;
  struct connection *c;

  DL_FOREACH (s->connections, c)
  if (c->out.queued_bytes == 0
      && (!oldest || c->state_since_ms < oldest->state_since_ms)
      && h1_connection_is_idle (c))
    oldest = c;
  if (!oldest)
    return false;
  bb_counter ("bilberry_channels_made_room_total", "")->value++;
  h1_connection_close (oldest);
  return true;
}

/* Whether another connection would be one more than the limit and no idle one
   can be closed for it.  */
static bool
is_full (struct bb_h1_server *s)
{
  return s->connections_count >= s->limits.connections_max
         && !close_longest_idle (s);
}

/* Whether so many connections are over the limit that further ones are closed
   at once.  */
static bool
is_overfull (const struct bb_h1_server *s)
{
  uint32_t max = s->limits.connections_max;

#ifdef BB_MUTANT_h1_over_limit
  return s->connections_count >= max;
#endif
  return s->connections_count >= max + max / OVER_LIMIT_DIVISOR + 1;
}

static void
on_connection (uv_stream_t *server, int status)
{
  struct bb_h1_server *s = server->data;
  struct connection *c;
  bool overfull;

  if (status < 0)
    return;
  c = calloc (1, sizeof *c);
  if (!c)
    abort ();
  c->server = s;
  c->out.memory = s->limits.memory;
  uv_tcp_init (s->loop, &c->tcp);
  c->tcp.data = c;
  h1_connection_init_reader (c);
  c->over_limit = is_full (s);
  overfull = c->over_limit && is_overfull (s);
  DL_APPEND (s->connections, c);
  s->connections_count++;
  h1_connection_begin_idling (c);
  if (uv_accept (server, (uv_stream_t *)&c->tcp) < 0 || overfull)
    {
      bb_counter ("bilberry_channels_refused_total", "")->value++;
      h1_connection_close (c);
      return;
    }
  uv_tcp_nodelay (&c->tcp, 1);
  uv_tcp_keepalive (&c->tcp, 1, 2);
  if (h1_connection_read (c) < 0)
    h1_connection_close (c);
}

/* Returns how many bytes the kernel has to send on C, or the caller has yet to
   acknowledge; 0 where it is not known.  */
static size_t
kernel_queue_bytes (const struct connection *c)
{
  uv_os_fd_t fd;
  int n = 0;

#ifdef BB_MUTANT_h1_acknowledged
  return 0;
#endif
  if (uv_fileno ((const uv_handle_t *)&c->tcp, &fd) < 0
      || ioctl (fd, SIOCOUTQ, &n) < 0 || n < 0)
    return 0;
  return (size_t)n;
}

/* Ends a lingering close.  While a response is still being sent, only a caller
   that takes nothing is cut off, and by a reset, so that the response does not
   look complete.  What it takes shows in the queue of the kernel: that accepts
   more only when a large part is free.  It is counted in sweeps: between two
   of them the loop has tried to write, also after a stall.  */
static void
check_lingering (struct connection *c, bb_ms age)
{
  size_t left = uv_stream_get_write_queue_size ((uv_stream_t *)&c->tcp);
  bb_ms stuck_ms;

  if (left > 0)
    {
      left += kernel_queue_bytes (c);
      c->stuck_sweeps = left == c->left_bytes ? c->stuck_sweeps + 1 : 0;
      c->left_bytes = left;
      stuck_ms = (bb_ms)c->stuck_sweeps * SWEEP_INTERVAL_MS;
      if (stuck_ms > c->server->limits.read_timeout_ms)
        h1_connection_reset (c);
    }
  else if (age > LINGER_MAX_MS && !h1_connection_has_input (c))
    h1_connection_close (c);
}

static void
check_timeouts (struct connection *c, bb_ms now)
{
  const struct bb_h1_limits *limits = &c->server->limits;
  bb_ms age = now - c->state_since_ms;

  if (c->broken && !c->closing)
    h1_connection_lost (c);
  else if (c->lingering)
    check_lingering (c, age);
  else if (c->responding)
    return;
  else if (c->wanted_bytes > 0)
    h1_connection_check_memory (c);
  else if (c->reader.started && age > limits->read_timeout_ms
           && !h1_connection_has_input (c))
    h1_connection_reject (c, 408);
  else if (age > c->idle_timeout_ms && age > limits->idle_timeout_ms
           && h1_connection_is_idle (c))
    h1_connection_close_idle (c, "reason=\"idle\"");
}

static void
on_sweep (uv_timer_t *t)
{
  struct bb_h1_server *s = t->data;
  bb_ms now = (bb_ms)uv_now (s->loop);
  struct connection *c;
  struct connection *next;

  DL_FOREACH_SAFE (s->connections, c, next)
  check_timeouts (c, now);
}

struct bb_h1_server *
bb_h1_server_open (uv_loop_t *loop, const struct sockaddr_storage *addr,
                   const struct bb_h1_limits *limits, bb_h1_handler *handler,
                   bb_h1_error_handler *on_error, void *arg, int *error)
{
  enum
  {
    LISTEN_BACKLOG = 512
  };
  struct bb_h1_server *s = calloc (1, sizeof *s);

  if (!s)
    abort ();
  s->loop = loop;
  s->limits = *limits;
  s->handler = handler;
  s->on_error = on_error;
  s->arg = arg;
  uv_tcp_init (loop, &s->tcp);
  s->tcp.data = s;
  *error = uv_tcp_bind (&s->tcp, (const struct sockaddr *)addr, 0);
  if (*error == 0)
    *error = uv_listen ((uv_stream_t *)&s->tcp, LISTEN_BACKLOG, on_connection);
  if (*error != 0)
    {
      uv_close ((uv_handle_t *)&s->tcp, NULL);
      return NULL;
    }
  uv_timer_init (loop, &s->sweep_timer);
  s->sweep_timer.data = s;
  uv_timer_start (&s->sweep_timer, on_sweep, SWEEP_INTERVAL_MS,
                  SWEEP_INTERVAL_MS);
  uv_check_init (loop, &s->stop_check);
  s->stop_check.data = s;
  return s;
}

void
bb_h1_server_set_limits (struct bb_h1_server *s,
                         const struct bb_h1_limits *limits)
{
  s->limits = *limits;
}

void
bb_h1_server_drain (struct bb_h1_server *s)
{
  s->draining = true;
}

/* Carries out bb_h1_server_close, once the loop has accepted the connections
   and read the requests that had arrived before.  */
static void
on_stop_check (uv_check_t *check)
{
  struct bb_h1_server *s = check->data;
  struct connection *c;
  struct connection *next;

  uv_check_stop (check);
  s->listener_closed = true;
  uv_close ((uv_handle_t *)&s->tcp, NULL);
  DL_FOREACH_SAFE (s->connections, c, next)
  if (h1_connection_is_idle (c))
    h1_connection_close_idle (c, "reason=\"stop\"");
}

void
bb_h1_server_close (struct bb_h1_server *s)
{
  if (s->stopping)
    return;
  s->stopping = true;
  s->draining = true;
  uv_check_start (&s->stop_check, on_stop_check);
}

void
bb_h1_server_end_exchanges (struct bb_h1_server *s,
                            void (*fn) (struct bb_h1_exchange *x))
{
  struct connection *c;
  struct connection *next;

  DL_FOREACH_SAFE (s->connections, c, next)
  if (c->responding)
    fn (&c->exchange);
}

uint32_t
bb_h1_server_active_connections (const struct bb_h1_server *s)
{
  const struct connection *c;
  uint32_t n = 0;

  DL_FOREACH (s->connections, c)
  if (c->responding || c->out.queued_bytes > 0 || c->reader.started
      || (!c->lingering && h1_connection_has_input (c)))
    n++;
  return s->stopping && !s->listener_closed ? n + 1 : n;
}
