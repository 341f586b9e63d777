/* Detects pauses of this process and unresponsive agents.  */

#include "entry.h"

enum
{
  CHECK_INTERVAL_MS = 250,
  /* Longest that requests wait for reports after a pause.  An agent gets no
     new requests until it has reported.  */
  REPORT_TIMEOUT_MS = 1500,
  /* Limit on silence with requests in flight: three heartbeats.  */
  BUSY_TIMEOUT_MS = 1500,
  IDLE_TIMEOUT_MS = 6000,  /* limit on silence without requests: more than two
                              idle heartbeats */
  CLOSE_TIMEOUT_MS = 30000 /* silence after which the connection is closed */
};

bb_ms
entry_now (void)
{
  return bb_clock_now ();
}

/* Asks the agent of L for a report after a pause of this process.  The pause
   does not count as silence of the agent.  */
static void
probe_agent (struct link *l)
{
  struct bb_probe m = { .nonce = bb_random_id () };

  l->silent_since_ms = entry_now ();
  if (!l->ready)
    return;
  l->reported_since_pause = false;
  l->probe_nonce = m.nonce;
  bb_put_probe (bb_conn_out (l->conn), &m);
}

void
watch_check_pause (struct entry *e)
{
  if (!bb_pause_check (&e->pause, entry_now ()))
    return;
  bb_log (BB_LOG_WARN, "entry",
          "This process was paused; requesting reports from agents.");
  bb_counter ("bilberry_pauses_total", "")->value++;
  e->pause_detected_ms = entry_now ();
  bb_daemon_reload_settings (e->daemon);
  for (struct link *l = e->links; l; l = l->next)
    probe_agent (l);
}

bool
watch_awaiting_reports (const struct entry *e)
{
  return e->pause_detected_ms > 0
         && entry_now () - e->pause_detected_ms < REPORT_TIMEOUT_MS;
}

static void
check_agent (struct link *l)
{
  bb_ms silent_ms = entry_now () - l->silent_since_ms;

  if (!l->ready
      || silent_ms < (l->in_flight > 0 ? BUSY_TIMEOUT_MS : IDLE_TIMEOUT_MS))
    return;
  l->unresponsive = true;
  if (silent_ms >= CLOSE_TIMEOUT_MS)
    bb_conn_close (l->conn, "no message from the agent within the timeout");
#ifndef BB_MUTANT_silent_agent
  else
    attempt_link_unresponsive (l);
#endif
}

static void
on_check_timer (uv_timer_t *t)
{
  struct entry *e = t->data;

  watch_check_pause (e);
  for (struct link *l = e->links; l; l = l->next)
    check_agent (l);
  if (!watch_awaiting_reports (e))
    attempt_send_waiting (e);
}

void
watch_start (struct entry *e)
{
  watch_check_pause (e);
  uv_timer_init (e->daemon->loop, &e->check_timer);
  e->check_timer.data = e;
  uv_timer_start (&e->check_timer, on_check_timer, CHECK_INTERVAL_MS,
                  CHECK_INTERVAL_MS);
}
