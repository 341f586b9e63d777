/* bilberry-rank: starts and stops.  */

#include "rank.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

static struct agent agent;
static uv_signal_t signals[3];
static uv_timer_t tick;

enum
{
  TICK_MS = 50,
  PAUSED_MS = 400 /* a longer time between ticks is a pause */
};

bb_ms
agent_now (const struct agent *a)
{
  return (bb_ms)uv_now (a->loop);
}

static bb_ms
boot_clock_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (bb_ms)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void
on_ask (uv_timer_t *t)
{
  struct agent *a = t->data;

  own_ask (a);
  uv_timer_start (t, on_ask, a->busy ? BUSY_EVERY_MS : IDLE_EVERY_MS, 0);
}

static void
on_tick (uv_timer_t *t)
{
  struct agent *a = t->data;
  bb_ms skew = boot_clock_ms () - bb_clock_now ();
  bb_ms late = agent_now (a) - a->ticked_ms;

  a->ticked_ms = agent_now (a);
  /* A suspended VM stops the steady clock, a frozen process does not.  */
  if (skew - a->boot_skew_ms > PAUSED_MS || late > PAUSED_MS)
    {
      bb_event ("woke", "{s:I}", "paused_ms",
                (json_int_t)(skew - a->boot_skew_ms + late));
      member_woke (a);
    }
  a->boot_skew_ms = skew;
  member_tick (a);
  leader_tick (a);
}

static void
on_term (uv_signal_t *s, int number)
{
  (void)s;
  bb_event ("stop", "{s:i}", "signal", number);
  exit (EXIT_SUCCESS);
}

/* The settings changed.  Nothing of a running agent depends on what may
   change, but a fault in them is told.  */
static void
on_hup (uv_signal_t *s, int number)
{
  char *why = NULL;
  struct bb_start *start = bb_start_read (bb_start_path (), &why);

  (void)s;
  (void)number;
  if (start)
    bb_event ("reload", "{s:b}", "changed", 0);
  else
    bb_event ("reload_refused", "{s:s}", "why", why);
  bb_start_free (start);
  g_free (why);
}

static bool
read_settings (struct agent *a)
{
  const char *path = bb_start_path ();
  char *why = NULL;
  const char *colon;

  if (!path)
    {
      fprintf (stderr, "bilberry-rank: the environment names no settings\n");
      return false;
    }
  a->start = bb_start_read (path, &why);
  if (a->start && (!a->start->upstream || !a->start->pool))
    why = g_strdup ("app or service is missing");
  if (why)
    {
      fprintf (stderr, "bilberry-rank: %s: %s\n", path, why);
      g_free (why);
      return false;
    }
  colon = strrchr (a->start->upstream, ':');
  a->host = colon ? g_strndup (a->start->upstream,
                               (gsize)(colon - a->start->upstream))
                  : g_strdup (a->start->upstream);
  return true;
}

int
main (void)
{
  static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };
  struct agent *a = &agent;

  a->loop = uv_default_loop ();
  if (!read_settings (a))
    return EXIT_FAILURE;
  bb_event ("start", "{s:s, s:s, s:s}", "name", a->start->name, "version",
            BB_VERSION, "upstream", a->start->upstream);
  signal (SIGPIPE, SIG_IGN);
  for (uint32_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      uv_signal_init (a->loop, &signals[i]);
      uv_signal_start (&signals[i], numbers[i] == SIGHUP ? on_hup : on_term,
                       numbers[i]);
    }
  if (!view_start (a))
    return EXIT_FAILURE;
  own_start (a);
  member_start (a);
  a->boot_skew_ms = boot_clock_ms () - bb_clock_now ();
  a->ticked_ms = agent_now (a);
  uv_timer_init (a->loop, &a->timer);
  a->timer.data = a;
  uv_timer_start (&a->timer, on_ask, 0, 0);
  uv_timer_init (a->loop, &tick);
  tick.data = a;
  uv_timer_start (&tick, on_tick, TICK_MS, TICK_MS);
  return uv_run (a->loop, UV_RUN_DEFAULT);
}
