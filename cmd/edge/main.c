/* The main program of bilberry-edge: start, reload, drain, and recovery after
   the process was paused.  */

#include "edge.h"

#include <jansson.h>

#include "bilberry/settings.h"
#include "bilberry/start.h"

#include <malloc.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum
{
  TICK_MS = 50,
  /* Time between reads of the settings file.  */
  SETTINGS_CHECK_INTERVAL_MS = 2000,
  PAUSE_MIN_MS = 700,    /* a longer gap between ticks is a pause */
  DRAIN_CLOSE_MS = 2600, /* time after SIGTERM for callers to go elsewhere */
  DRAIN_DIVISOR = 3,     /* part of the grace period that this is at most */
  /* How long before the end of the grace period to end what is under way, and
     how long its callers have to take their answers.  */
  GRACE_MARGIN_MS = 500,
  STOP_FLUSH_MS = 100,
  /* The part of the process's memory that is held for callers and upstreams;
     the rest is for code, state and connections.  */
  MEMORY_DIVISOR = 2
};

static struct edge edge;
static uv_timer_t tick;
static uv_timer_t drain_timer;
static uv_signal_t signals[3];
static bb_ms drain_started_ms;
static bb_ms settings_checked_ms;

/* After a pause the fleet's state is stale and idle connections may be dead:
   drops the connections and lists the store again.  */
static void
check_pause (struct edge *e)
{
  bb_ms paused = bb_pause_detector_check (&e->pause_detector, bb_clock_now (),
                                          bb_clock_boot (), PAUSE_MIN_MS);

  if (paused == 0)
    return;
  bb_log_event ("woke", "{s:I}", "paused_ms", (json_int_t)paused);
  for (guint i = 0; i < e->target_list->len; i++)
    {
      struct target *t = g_ptr_array_index (e->target_list, i);
      bb_h1_pool_drop_idle (t->connections);
    }
  reader_restart ();
}

/* Loads the settings if the file has changed.  A running process keeps its
   addresses.  With REQUESTED, an unchanged file is logged too.  */
static void
reload_settings (struct edge *e, bool requested)
{
  struct bb_process_settings *s;
  char *text;
  char *error = NULL;

  if (!g_file_get_contents (e->settings_path, &text, NULL, NULL))
    return;
  if (g_strcmp0 (text, e->settings_text) == 0)
    {
      g_free (text);
      if (requested)
        bb_log_event ("reload", "{s:b}", "changed", 0);
      return;
    }
  s = bb_process_settings_parse (text, strlen (text), &error);
  if (s)
    {
      bb_log_event ("reload", "{s:b}", "changed", 1);
      bb_process_settings_free (e->settings);
      e->settings = s;
      g_free (e->settings_text);
      e->settings_text = text;
      return;
    }
  bb_log_event ("reload_refused", "{s:s}", "why", error);
  g_free (error);
  g_free (text);
}

static void
on_tick (uv_timer_t *t)
{
  struct edge *e = t->data;
  bb_ms now = edge_now (e);

  check_pause (e);
  fleet_sum_peer_loads (e);
  response_tick (e);
  queue_tick (e);
  bb_counter ("bilberry_memory_held_bytes", "")->value = e->memory.used_bytes;
  bb_counter ("bilberry_memory_peak_bytes", "")->value = e->memory.peak_bytes;
  if (now - settings_checked_ms < SETTINGS_CHECK_INTERVAL_MS)
    return;
  settings_checked_ms = now;
  reload_settings (e, false);
}

static void
stop (struct edge *e, const char *reason)
{
  bb_log_event ("stop", "{s:s, s:i}", "why", reason, "busy",
                (int)bb_h1_server_active_connections (e->front_server));
  exit (EXIT_SUCCESS);
}

/* Returns how long after SIGTERM requests are taken.  */
static bb_ms
drain_close_ms (const struct edge *e)
{
  return MIN ((bb_ms)DRAIN_CLOSE_MS, e->settings->grace_ms / DRAIN_DIVISOR);
}

static void
on_drain_timer (uv_timer_t *t)
{
  struct edge *e = t->data;
  bb_ms since = edge_now (e) - drain_started_ms;

  if (since >= drain_close_ms (e))
    bb_h1_server_close (e->front_server);
  /* What had arrived before the close is read by then.  */
  e->stops_taking = since >= drain_close_ms (e) + TICK_MS;
  if (e->stops_taking
      && bb_h1_server_active_connections (e->front_server) == 0)
    stop (e, "drained");
#ifndef BB_MUTANT_stop_answers
  if (edge_now (e) >= e->stop_ms)
    bb_h1_server_end_exchanges (e->front_server, input_stop);
#endif
  if (edge_now (e) >= e->stop_ms + STOP_FLUSH_MS)
    stop (e, "grace is over");
}

static void
on_term (uv_signal_t *s, int number)
{
  struct edge *e = s->data;

  (void)number;
  if (e->draining)
    return;
  e->draining = true;
  drain_started_ms = edge_now (e);
  e->stop_ms = drain_started_ms + e->settings->grace_ms - GRACE_MARGIN_MS;
  bb_log_event ("drain", "{s:i}", "busy",
                (int)bb_h1_server_active_connections (e->front_server));
  bb_h1_server_drain (e->front_server);
  uv_timer_init (e->loop, &drain_timer);
  drain_timer.data = e;
  uv_timer_start (&drain_timer, on_drain_timer, TICK_MS, TICK_MS);
}

static void
on_hup (uv_signal_t *s, int number)
{
  (void)number;
  reload_settings (s->data, true);
}

static void
start_signals (struct edge *e)
{
  static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };

  signal (SIGPIPE, SIG_IGN);
  for (uint32_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      uv_signal_init (e->loop, &signals[i]);
      signals[i].data = e;
      uv_signal_start (&signals[i], numbers[i] == SIGHUP ? on_hup : on_term,
                       numbers[i]);
    }
}

static bool
open_front (struct edge *e)
{
  struct bb_h1_limits limits = config_front_limits (e);

  e->front_server = status_listen (e, e->settings->front_address, &limits,
                                   input_request, input_fault);
  return e->front_server != NULL;
}

static const char *
settings_error (const struct bb_process_settings *s)
{
  struct sockaddr_storage addr;

  if (!s->front_address || !bb_address_parse (s->front_address, &addr))
    return "listen.front is missing or malformed";
  if (!s->ready_address || !bb_address_parse (s->ready_address, &addr))
    return "listen.ready is missing or malformed";
  if (!s->store_address || !bb_address_parse (s->store_address, &addr))
    return "platform.address is missing or malformed";
  return NULL;
}

/* Bounds what is held for callers and upstreams.  Large buffers are mapped one
   by one, so that each is given back when it is freed.  */
static void
init_memory (struct edge *e)
{
  e->memory.max_bytes
      = (size_t)e->settings->memory_mb * 1024 * 1024 / MEMORY_DIVISOR;
  mallopt (M_MMAP_THRESHOLD, BB_MEMORY_SMALL_BYTES);
}

int
main (int argc, char **argv)
{
  struct edge *e = &edge;
  int status;

  e->loop = uv_default_loop ();
  e->queue_ops = &queue_functions;
  e->on_store_return = reader_store_returned;
  e->on_unsettled_item = reader_settle;
  e->rand = g_rand_new ();
  e->settings = bb_start_parse_args (
      argc, argv, "bilberry-edge", settings_error, &e->settings_path, &status);
  if (!e->settings)
    return status;
  init_memory (e);
  start_signals (e);
  g_file_get_contents (e->settings_path, &e->settings_text, NULL, NULL);
  e->started_ms = e->settings->first_start ? INT64_MIN / 2 : edge_now (e);
  bb_log_event ("start", "{s:b, s:s, s:s, s:s}", "first",
                e->settings->first_start, "name", e->settings->name, "version",
                BB_VERSION, "failure_domain", e->settings->failure_domain);
  latency_start ();
  fleet_init (e);
  targets_init (e);
  suspect_init (e);
  isolate_init (e);
  limit_init ();
  config_init (e);
  crash_init (e);
  if (!open_front (e) || !status_start (e) || !peers_start (e)
      || !bb_metrics_listen (e->loop, e->settings))
    return EXIT_FAILURE;
  reader_start (e);
  uv_timer_init (e->loop, &tick);
  tick.data = e;
  uv_timer_start (&tick, on_tick, TICK_MS, TICK_MS);
  return uv_run (e->loop, UV_RUN_DEFAULT);
}
