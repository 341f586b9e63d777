/* Suspect requests: those in flight when the upstream crashed.  The agent
   records them, sends them to its peers and receives theirs.  */

#include "agent.h"

#include <utlist.h>

static void
send_to_all (struct agent *a, const struct bb_suspect *m)
{
  struct peer *p;

  DL_FOREACH (a->peers, p) { bb_put_suspect (bb_conn_out (p->conn), m); }
}

void
suspect_record_crash (const struct call *c)
{
  struct agent *a = c->agent;
  bb_ms now = bb_clock_now ();
  struct bb_suspect m = { .fingerprint = c->request.fingerprint };

  /* All calls running at a crash fail at about the same time.  A failed call
     that started after the last crash shows that there was another crash.  */
  if (a->last_crash_id == 0 || c->started_ms > a->last_crash_ms)
    {
      a->last_crash_id = bb_random_id ();
      a->last_crash_ms = now;
    }
  m.event = a->last_crash_id;
  if (bb_poison_record_crash (a->poison, m.fingerprint, m.event, 0, now))
    send_to_all (a, &m);
}

void
suspect_on_message (struct agent *a, const struct bb_suspect *m)
{
  if (bb_poison_record_crash (a->poison, m->fingerprint, m->event, m->age_ms,
                              bb_clock_now ()))
    send_to_all (a, m);
}

static void
send_suspect (void *arg, uint64_t fingerprint, uint64_t event, bb_ms age_ms)
{
  struct peer *p = arg;
  struct bb_suspect m = { .fingerprint = fingerprint,
                          .event = event,
                          .age_ms = (uint32_t)age_ms };

  bb_put_suspect (bb_conn_out (p->conn), &m);
}

void
suspect_send_known (struct peer *p)
{
  bb_poison_each (p->agent->poison, bb_clock_now (), send_suspect, p);
}
