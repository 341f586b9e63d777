/* Finds pauses of this process and agents that have fallen silent.  */

#include "entry.h"

enum
{
  TICK_MS = 250,
  REFRESH_MS = 1500, /* agents that have not reported by then are left out */
  SILENT_MS = 1500,  /* with calls there; three heartbeats */
  IDLE_MS = 6000,    /* without; two heartbeats and more */
  DEAD_MS = 30000    /* a connection this silent is given up */
};

bb_ms
entry_now (void)
{
  return bb_clock_now ();
}

static void
ask_again (struct link *l)
{
  struct bb_probe m = { .nonce = bb_random_id () };

  l->heard_ms = entry_now ();
  if (!l->ready)
    return;
  l->refreshed = false;
  l->probe = m.nonce;
  bb_put_probe (bb_conn_out (l->conn), &m);
}

void
watch_look (struct entry *e)
{
  if (!bb_pause_check (&e->pause, entry_now ()))
    return;
  bb_log (BB_LOG_WARN, "entry", "This process was paused; asking agents.");
  bb_counter ("bilberry_pauses_total", "")->value++;
  e->woke_ms = entry_now ();
  bb_daemon_refresh (e->daemon);
  for (struct link *l = e->links; l; l = l->next)
    ask_again (l);
}

bool
watch_refreshing (const struct entry *e)
{
  return e->woke_ms > 0 && entry_now () - e->woke_ms < REFRESH_MS;
}

static void
look_at (struct link *l)
{
  bb_ms spent = entry_now () - l->heard_ms;

  if (!l->ready || spent < (l->in_flight > 0 ? SILENT_MS : IDLE_MS))
    return;
  l->silent = true;
  if (spent >= DEAD_MS)
    bb_conn_close (l->conn, "the agent is silent");
#ifndef BB_MUTANT_silent_agent
  else
    try_link_silent (l);
#endif
}

static void
on_tick (uv_timer_t *t)
{
  struct entry *e = t->data;

  watch_look (e);
  for (struct link *l = e->links; l; l = l->next)
    look_at (l);
  if (!watch_refreshing (e))
    try_waiting (e);
}

void
watch_start (struct entry *e)
{
  watch_look (e);
  uv_timer_init (e->daemon->loop, &e->tick);
  e->tick.data = e;
  uv_timer_start (&e->tick, on_tick, TICK_MS, TICK_MS);
}
