/* Startup and graceful shutdown of a daemon.  */

#include "internal.h"

#include <openssl/rand.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  DRAIN_CHECK_MS = 20,
  DRAIN_MIN_MS = 300 /* lets peers learn of the shutdown first */
};

static uv_signal_t sig_term;
static uv_signal_t sig_int;
static uv_timer_t drain_timer;
static bb_ms drain_start_ms;
static int exit_status;

uint64_t
bb_random_id (void)
{
  uint64_t id = 0;

  while (id == 0)
    if (RAND_bytes ((unsigned char *)&id, sizeof id) != 1)
      abort ();
  return id;
}

static void
stop_now (struct bb_daemon *d, const char *reason)
{
  uint32_t in_flight = d->ops->in_flight (d);

  if (in_flight > 0)
    {
      bb_log (BB_LOG_ERROR, d->ops->part, "%s: aborted %u requests in flight.",
              reason, in_flight);
      exit_status = 1;
    }
  uv_stop (d->loop);
}

static void
on_drain_check (uv_timer_t *t)
{
  struct bb_daemon *d = t->data;
  bb_ms elapsed_ms = (bb_ms)uv_now (d->loop) - drain_start_ms;

  if (elapsed_ms >= d->drain_timeout_ms)
    stop_now (d, "Graceful shutdown timed out");
  else if (elapsed_ms >= DRAIN_MIN_MS && d->ops->in_flight (d) == 0)
    uv_stop (d->loop);
}

static void
on_signal (uv_signal_t *s, int number)
{
  struct bb_daemon *d = s->data;

  (void)number;
  if (d->draining)
    {
      stop_now (d, "Received a second signal");
      return;
    }
  d->draining = true;
#ifdef BB_MUTANT_shutdown_drain
  uv_stop (d->loop);
#endif
  bb_log (BB_LOG_INFO, d->ops->part,
          "Shutting down: draining %u requests in flight.",
          d->ops->in_flight (d));
  gossip_leave (d);
  d->ops->on_drain (d);
  drain_start_ms = (bb_ms)uv_now (d->loop);
  uv_timer_start (&drain_timer, on_drain_check, DRAIN_CHECK_MS,
                  DRAIN_CHECK_MS);
}

static void
watch_signals (struct bb_daemon *d)
{
  signal (SIGPIPE, SIG_IGN);
  uv_timer_init (d->loop, &drain_timer);
  uv_signal_init (d->loop, &sig_term);
  uv_signal_init (d->loop, &sig_int);
  drain_timer.data = d;
  sig_term.data = d;
  sig_int.data = d;
  uv_signal_start (&sig_term, on_signal, SIGTERM);
  uv_signal_start (&sig_int, on_signal, SIGINT);
}

int
bb_daemon_main (int argc, char **argv, const struct bb_daemon_ops *ops,
                void *user)
{
  struct options o = { 0 };
  struct bb_daemon d = { .ops = ops, .user = user };
  const char *operator_address = NULL;
  int rc = options_parse (argc, argv, ops->program, &o);

  if (rc >= 0)
    return rc;
  d.loop = uv_default_loop ();
  d.name = o.name;
  d.config_dir = o.config_dir;
  d.drain_timeout_ms = o.drain_timeout_ms;
  d.incarnation = bb_random_id ();
  if (!config_open (&d) || !ops->start (&d, &operator_address))
    return 1;
  d.started = true;
  if (operator_address && !operator_open (&d, operator_address))
    return 1;
  watch_signals (&d);
  bb_log (BB_LOG_INFO, ops->part, "Ready as %s.", d.name);
  printf ("ready %s\n", d.name);
  fflush (stdout);
  uv_run (d.loop, UV_RUN_DEFAULT);
  bb_log (BB_LOG_INFO, ops->part, "Stopped.");
  bb_settings_free (d.settings);
  return exit_status;
}
