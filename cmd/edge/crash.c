/* Finds out whether an upstream has crashed, and which requests were in flight
   there.  */

#include "edge.h"

#include <jansson.h>

#include <string.h>

/* A request whose connection to an upstream ended before its response, or as
   the end of it.  */
struct loss
{
  struct request_identity identity;
  uint64_t prior_crash; /* as in the request */
  bool isolated;        /* it was the only suspect one at the upstream */
  bool complete;        /* its response is complete if the upstream is up */
};

/* Finds out whether an upstream whose connections ended has crashed: it has if
   new connections are refused.  */
struct crash_check
{
  struct edge *edge;
  struct target *target;
  uint64_t number;
  GArray *losses;     /* struct loss */
  guint probed_count; /* losses before the start of the current probe */
  bool holds;         /* the upstream gets no requests meanwhile */
};

bool
crash_is_checked (const struct request *r)
{
#ifdef BB_MUTANT_edge_hold
  return false;
#endif
  return g_hash_table_contains (r->edge->running_checks, &r->check_number);
}

/* Records that the parts of the losses of CHECK were in flight at crash EVENT.
   A loss shows more than others do where its request was isolated for nothing
   but its parts.  */
static void
record_parts (const struct crash_check *check, uint64_t event)
{
  struct edge *e = check->edge;

  for (guint i = 0; i < check->losses->len; i++)
    {
      const struct loss *l = &g_array_index (check->losses, struct loss, i);
      struct bb_part_crash c
          = { .event = event,
              .request = l->identity.fingerprint,
              .parts_count = l->identity.parts_count,
              .isolated = l->isolated && l->prior_crash == 0 };
      const struct bb_part_crash *known;
      memcpy (c.parts, l->identity.parts, sizeof c.parts);
      known = bb_parts_record_crash (e->parts, &c, edge_now (e));
      if (!known)
        continue;
      bb_peers_broadcast_part_crash (e->peers, known);
      suspect_apply_part_crash (e, known, "own");
    }
}

/* Records that the requests of the losses of CHECK were in flight when the
   upstream crashed.  */
static void
record_crash (const struct crash_check *check)
{
  struct edge *e = check->edge;
  bb_ms now = edge_now (e);
  uint64_t event
      = ((uint64_t)g_rand_int (e->rand) << 31 | g_rand_int (e->rand) >> 1) | 1;

  bb_counter ("bilberry_upstream_crashes_total", "")->value++;
  record_parts (check, event);
  for (guint i = 0; i < check->losses->len; i++)
    {
      const struct loss *l = &g_array_index (check->losses, struct loss, i);
      struct bb_crash c
          = { .fingerprint = l->identity.fingerprint, .event = event };
      /* An answer since then may have cleared the suspicion.  */
      if (bb_poison_event (e->poison, l->identity.fingerprint, now)
          == l->prior_crash)
        c.prior = l->prior_crash;
      if (!bb_poison_record_crash (e->poison, &c, now))
        continue;
      bb_peers_broadcast_crash (e->peers, &c);
      suspect_apply_change (e, &c, "own");
    }
}

/* The upstream is up: what ended with its connection was answered.  */
static void
record_answers (const struct crash_check *check)
{
  for (guint i = 0; i < check->probed_count; i++)
    {
      const struct loss *l = &g_array_index (check->losses, struct loss, i);
      if (l->complete)
        suspect_answered (check->edge, &l->identity);
    }
}

static void
end_check (struct crash_check *check)
{
  struct edge *e = check->edge;

  check->target->check = NULL;
  target_release (check->target);
  g_hash_table_remove (e->running_checks, &check->number);
  g_array_unref (check->losses);
  g_free (check);
  e->queue_ops->dispatch_all (e);
}

static void start_probe (struct crash_check *check);

static void
on_probe (enum bb_h1_probe_result result, void *user)
{
  static const char *const names[] = { "accepted", "refused", "silent" };
  struct crash_check *check = user;
  struct target *t = check->target;

  bb_log_event ("upstream_probed", "{s:s, s:s, s:i}", "upstream",
                t->record->id, "connection", names[result], "lost",
                (int)check->losses->len);
#ifdef BB_MUTANT_edge_probe
  result = BB_H1_PROBE_REFUSED;
#endif
  if (result == BB_H1_PROBE_ACCEPTED)
    record_answers (check);
  if (result == BB_H1_PROBE_REFUSED)
    {
      bb_h1_pool_drop_idle (t->connections);
      record_crash (check);
    }
  else if (check->losses->len > check->probed_count)
    {
      /* The others may be of a crash since the probe began.  */
      g_array_remove_range (check->losses, 0, check->probed_count);
      start_probe (check);
      return;
    }
  end_check (check);
}

static void
start_probe (struct crash_check *check)
{
  check->probed_count = check->losses->len;
  bb_h1_probe (check->target->connections, CONNECT_TIMEOUT_MS, on_probe,
               check);
}

bool
crash_holds (const struct target *t)
{
  return t->check && t->check->holds;
}

void
crash_check_upstream (struct request *r, bool complete)
{
  struct edge *e = r->edge;
  struct target *t = r->target;
  struct loss l = { .identity = r->identity,
                    .prior_crash = r->prior_crash,
                    .isolated = r->upstream_claim.granted,
                    .complete = complete };
  bool is_new = !t->check;

  if (is_new)
    {
      t->check = g_new0 (struct crash_check, 1);
      t->check->edge = e;
      t->check->target = t;
      target_hold (t);
      t->check->number = ++e->last_check_number;
      t->check->losses = g_array_new (FALSE, FALSE, sizeof (struct loss));
      g_hash_table_add (e->running_checks, &t->check->number);
    }
  g_array_append_val (t->check->losses, l);
  t->check->holds |= !complete;
  r->check_number = t->check->number;
  if (is_new)
    start_probe (t->check);
}

void
crash_init (struct edge *e)
{
  e->running_checks = g_hash_table_new (g_int64_hash, g_int64_equal);
}
