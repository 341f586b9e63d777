/* bilberry-rank: startup, timers and signals.  */

#include "rank.h"

#include "bilberry/settings.h"

#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

static struct agent agent;
static uv_signal_t signals[3];
static uv_timer_t tick_timer;

enum
{
  TICK_MS = 50,
  PAUSE_MIN_MS = 400 /* a longer gap between ticks counts as a pause */
};

static void
on_poll_timer (uv_timer_t *t)
{
  struct agent *a = t->data;

  engine_poll (a);
  uv_timer_start (
      t, on_poll_timer,
      a->switch_in_progress ? SWITCH_POLL_INTERVAL_MS : POLL_INTERVAL_MS, 0);
}

static void
on_tick (uv_timer_t *t)
{
  struct agent *a = t->data;
  bb_ms paused = bb_pause_detector_check (&a->pause_detector, bb_clock_now (),
                                          bb_clock_boot (), PAUSE_MIN_MS);

  if (paused > 0)
    {
      bb_log_event ("woke", "{s:I}", "paused_ms", (json_int_t)paused);
      follower_resume (a);
    }
  follower_tick (a);
  leader_tick (a);
}

static void
on_term (uv_signal_t *s, int number)
{
  (void)s;
  bb_log_event ("stop", "{s:i}", "signal", number);
  exit (EXIT_SUCCESS);
}

/* Checks the settings file and logs whether it is valid.  A running agent uses
   no setting that can change.  */
static void
on_hup (uv_signal_t *s, int number)
{
  char *why = NULL;
  struct bb_process_settings *settings
      = bb_process_settings_read (agent.settings_path, &why);

  (void)s;
  (void)number;
  if (settings)
    bb_log_event ("reload", "{s:b}", "changed", 0);
  else
    bb_log_event ("reload_refused", "{s:s}", "why", why);
  bb_process_settings_free (settings);
  g_free (why);
}

/* Returns what is wrong with settings S for this program, or NULL.  */
static const char *
check_settings (const struct bb_process_settings *s)
{
  struct sockaddr_storage addr;

  if (!s->upstream_address || !bb_address_parse (s->upstream_address, &addr))
    return "app is missing or malformed";
  if (!s->pool)
    return "service is missing";
  return NULL;
}

int
main (int argc, char **argv)
{
  static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };
  struct agent *a = &agent;
  int status;

  a->loop = uv_default_loop ();
  a->settings = bb_start_parse_args (
      argc, argv, "bilberry-rank", check_settings, &a->settings_path, &status);
  if (!a->settings)
    return status;
  a->host = view_host_of (a->settings->upstream_address);
  bb_log_event ("start", "{s:s, s:s, s:s}", "name", a->settings->name,
                "version", BB_VERSION, "upstream",
                a->settings->upstream_address);
  signal (SIGPIPE, SIG_IGN);
  for (uint32_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      uv_signal_init (a->loop, &signals[i]);
      uv_signal_start (&signals[i], numbers[i] == SIGHUP ? on_hup : on_term,
                       numbers[i]);
    }
  if (!view_start (a) || !bb_metrics_listen (a->loop, a->settings))
    return EXIT_FAILURE;
  engine_start (a);
  follower_start (a);
  uv_timer_init (a->loop, &a->poll_timer);
  a->poll_timer.data = a;
  uv_timer_start (&a->poll_timer, on_poll_timer, 0, 0);
  uv_timer_init (a->loop, &tick_timer);
  tick_timer.data = a;
  uv_timer_start (&tick_timer, on_tick, TICK_MS, TICK_MS);
  return uv_run (a->loop, UV_RUN_DEFAULT);
}
