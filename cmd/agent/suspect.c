/* Suspect requests: those in flight when the upstream crashed.  The agent
   records them, sends them to its peers and receives theirs.  */

#include "agent.h"

#include "bilberry/peer.h"

#include <utlist.h>

enum
{
  /* Time for which connections to an upstream that has crashed may still take
     a request.  */
  DYING_MS = 500
};

static void
send_to_all (struct agent *a, const struct bb_crash *c)
{
  struct peer *p;

  DL_FOREACH (a->peers, p) { bb_put_crash (bb_conn_out (p->conn), c); }
}

/* Whether the upstream runs what is sent to it now, as far as is known.  */
static bool
is_alive (const struct agent *a, bb_ms now)
{
  return a->last_crash_id == 0 || a->responded_since_crash
         || now - a->last_crash_ms >= DYING_MS;
}

void
suspect_start_call (struct call *c)
{
  struct agent *a = c->agent;

  c->sent_to_dying = !is_alive (a, c->started_ms);
  c->prior_crash
      = bb_poison_event (a->poison, c->request.fingerprint, c->started_ms);
}

void
suspect_record_crash (const struct call *c)
{
  struct agent *a = c->agent;
  bb_ms now = bb_clock_now ();
  struct bb_crash crash = { .fingerprint = c->request.fingerprint };

  /* It did not run, so it is no cause of the crash.  */
  if (c->sent_to_dying)
    return;
  /* All calls running at a crash fail at about the same time.  A failed call
     that started after the last crash shows that there was another crash.  */
  if (a->last_crash_id == 0 || c->started_ms > a->last_crash_ms)
    {
      a->last_crash_id = bb_random_id ();
      a->last_crash_ms = now;
      a->responded_since_crash = false;
    }
  crash.event = a->last_crash_id;
  if (bb_poison_event (a->poison, crash.fingerprint, now) == c->prior_crash)
    crash.prior = c->prior_crash;
  if (bb_poison_record_crash (a->poison, &crash, now))
    send_to_all (a, &crash);
}

void
suspect_answered (const struct call *c)
{
  struct agent *a = c->agent;
  struct bb_crash answer = { .fingerprint = c->request.fingerprint };

  if (bb_poison_clear (a->poison, answer.fingerprint, bb_clock_now ()))
    send_to_all (a, &answer);
}

void
suspect_on_message (struct agent *a, const struct bb_suspect *m)
{
  struct peer *p;

  if (!bb_poison_receive (a->poison, m, bb_clock_now ()))
    return;
  DL_FOREACH (a->peers, p) { bb_put_suspect (bb_conn_out (p->conn), m); }
}

void
suspect_send_known (struct peer *p)
{
  bb_put_crashes (bb_conn_out (p->conn), p->agent->poison, bb_clock_now ());
}
