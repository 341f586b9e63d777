/* Edges, agents and upstreams of the randomised runs of the quarantine.  */

#include "crash_run.h"

#include <string.h>

uint32_t
crash_run_nodes (const struct run *r)
{
  return r->edges_count + AGENTS;
}

uint64_t
crash_run_member (uint32_t node)
{
  return 1000 + node;
}

uint32_t
crash_run_draw (struct run *r, uint32_t below)
{
  return (uint32_t)g_rand_int_range (bb_sim_rand (r->sim), 0, (int)below);
}

static void
send_to_all (struct run *r, uint32_t from, const struct message *m)
{
  for (uint32_t n = 0; n < crash_run_nodes (r); n++)
    if (n != from)
      bb_sim_send (r->sim, from, n, m, sizeof *m);
}

static void
tell_use (struct run *r, uint32_t edge, uint64_t key,
          enum bb_isolation_use use)
{
  struct message m = { .kind = MESSAGE_USE, .key = key, .use = use };

  send_to_all (r, edge, &m);
}

/* Whether the edge of Q still runs as it did when it received Q.  */
static bool
edge_remains (const struct request *q)
{
  const struct edge *e = &q->run->edges[q->edge];

  return e->up && e->incarnation == q->incarnation;
}

/* Ends the claim on KEY if it is GRANTED.  */
static void
release_key (struct request *q, uint64_t key, bool granted)
{
  struct run *r = q->run;

  if (!granted || !edge_remains (q))
    return;
  bb_isolation_end (r->edges[q->edge].isolation, key);
  tell_use (r, q->edge, key, BB_ISOLATION_USE_FREE);
}

static void
release (struct request *q)
{
  release_key (q, q->claimed, q->isolated);
  release_key (q, q->part_claimed, q->part_granted);
  q->isolated = false;
  q->claimed = 0;
  q->part_granted = false;
  q->part_claimed = 0;
}

static bool
has_poison_part (const struct request *q)
{
  return q->parts[1] == POISON_PART;
}

static void
refuse (struct request *q)
{
  struct run *r = q->run;

  release (q);
  r->innocents_refused
      += q->fingerprint >= FIRST_UNIQUE && !has_poison_part (q);
  r->common_refused += q->fingerprint == COMMON;
}

static void
broadcast_crash (struct run *r, uint32_t edge, const struct bb_crash *c)
{
  struct message m = { .crash = *c };

  send_to_all (r, edge, &m);
}

static void
broadcast_part_crash (struct run *r, uint32_t edge,
                      const struct bb_part_crash *c)
{
  struct message m = { .kind = MESSAGE_PART_CRASH, .part_crash = *c };

  send_to_all (r, edge, &m);
}

static void
broadcast_sound (struct run *r, uint32_t edge, uint64_t part)
{
  struct message m = { .kind = MESSAGE_SOUND_PART, .key = part };

  send_to_all (r, edge, &m);
}

/* Records that the parts of Q were in flight at crash EVENT.  */
static void
record_parts (struct request *q, uint64_t event)
{
  struct run *r = q->run;
  struct bb_part_crash c
      = { .event = event,
          .request = q->fingerprint,
          .parts = { q->parts[0], q->parts[1] },
          .parts_count = 2,
          .isolated = q->sent_isolated && q->prior_crash == 0 };
  const struct bb_part_crash *known = bb_parts_record_crash (
      r->edges[q->edge].parts, &c, bb_sim_now (r->sim));

  if (known)
    broadcast_part_crash (r, q->edge, known);
}

static void dispatch (struct run *r, uint32_t edge);

/* The edge of Q has found that the upstream of Q ended.  */
static void
on_lost (struct bb_sim *sim, void *arg)
{
  struct request *q = arg;
  struct run *r = q->run;
  struct edge *e = &r->edges[q->edge];
  bb_ms now = bb_sim_now (sim);
  struct bb_crash c = { .fingerprint = q->fingerprint };

  if (!edge_remains (q))
    return;
  /* Each edge numbers the crash for itself.  */
  c.event = (uint64_t)(q->upstream + 1) * 1000000
            + r->upstreams[q->upstream].boots * 100 + q->edge + 1;
  if (bb_poison_event (e->poison, q->fingerprint, now) == q->prior_crash)
    c.prior = q->prior_crash;
  if (bb_poison_record_crash (e->poison, &c, now))
    broadcast_crash (r, q->edge, &c);
  record_parts (q, c.event);
  if (q->tries < ATTEMPTS_MAX)
    g_ptr_array_add (e->waiting, q);
  dispatch (r, q->edge);
}

void
crash_run_end_upstream (struct run *r, uint32_t upstream)
{
  struct upstream *u = &r->upstreams[upstream];

  u->boots++;
  u->up_at_ms = bb_sim_now (r->sim) + DOWN_MS;
  while (u->running->len > 0)
    {
      struct request *q = g_ptr_array_remove_index (u->running, 0);
      q->running = false;
      release (q);
      bb_sim_schedule_on_node (r->sim, q->edge, DETECT_MS, on_lost, q);
    }
}

/* Returns the request of the try ARG, or NULL if the try has ended.  */
static struct request *
end_try (void *arg)
{
  const struct try *t = arg;
  struct request *q = t->request;

  return q->running && q->tries == t->number ? q : NULL;
}

static void
on_poison_runs (struct bb_sim *sim, void *arg)
{
  struct request *q = end_try (arg);
  struct run *r;

  if (!q)
    return;
  r = q->run;
  r->poison_crashes++;
  if (r->poison_crashes == (r->scenario.part ? FREE_CRASHES : 3))
    r->bound_ms = bb_sim_now (sim);
  crash_run_end_upstream (r, q->upstream);
}

/* The edge of Q has received the response.  */
static void
on_response (struct bb_sim *sim, void *arg)
{
  struct request *q = arg;
  struct run *r = q->run;
  struct bb_crash answer = { .fingerprint = q->fingerprint };

  if (!edge_remains (q))
    return;
  release (q);
  r->answered++;
  for (uint32_t i = 0; i < G_N_ELEMENTS (q->parts); i++)
    if (bb_parts_record_sound (r->edges[q->edge].parts, q->parts[i],
                               bb_sim_now (sim)))
      broadcast_sound (r, q->edge, q->parts[i]);
  if (bb_poison_clear (r->edges[q->edge].poison, q->fingerprint,
                       bb_sim_now (sim)))
    broadcast_crash (r, q->edge, &answer);
}

static void
on_answered (struct bb_sim *sim, void *arg)
{
  struct request *q = end_try (arg);

  if (!q)
    return;
  q->running = false;
  g_ptr_array_remove_fast (q->run->upstreams[q->upstream].running, q);
  bb_sim_schedule_on_node (sim, q->edge, 1, on_response, q);
}

/* Two isolated requests never run at one upstream, unless an edge could not
   receive a claim in time.  */
static void
check_isolated (const struct run *r, const struct upstream *u)
{
  uint32_t n = 0;

  for (guint i = 0; i < u->running->len; i++)
    n += ((const struct request *)g_ptr_array_index (u->running, i))->isolated;
  if (!r->scenario.kills && !r->scenario.pauses)
    g_assert_cmpuint (n, <=, 1);
}

static void
send_request (struct request *q, uint32_t upstream)
{
  struct run *r = q->run;
  const struct edge *e = &r->edges[q->edge];
  struct upstream *u = &r->upstreams[upstream];
  bb_ms now = bb_sim_now (r->sim);
  struct try *t = g_new (struct try, 1);

  q->upstream = upstream;
  q->sent_isolated = q->isolated;
  q->tries++;
  q->running = true;
  g_ptr_array_add (r->tries, t);
  t->request = q;
  t->number = q->tries;
  q->prior_crash = bb_poison_event (e->poison, q->fingerprint, now);
  g_ptr_array_add (u->running, q);
  check_isolated (r, u);
  if (q->fingerprint != POISON && !has_poison_part (q))
    {
      bb_sim_schedule (r->sim, 20 + crash_run_draw (r, 400), on_answered, t);
      return;
    }
  if (r->bound_ms > 0 && now > r->bound_ms + IN_TOUCH_MS
      && now >= e->in_touch_at_ms)
    r->late_sends++;
  bb_sim_schedule (r->sim, crash_run_draw (r, 20), on_poison_runs, t);
}

/* Chooses an upstream for Q at random; -1 if there is none.  An isolated
   request that has claimed one keeps to it.  */
static int
choose_upstream (const struct request *q, bool isolated)
{
  struct run *r = q->run;
  const struct edge *e = &r->edges[q->edge];
  bb_ms now = bb_sim_now (r->sim);
  uint32_t first = crash_run_draw (r, r->upstreams_count);
  int chosen = -1;

  for (uint32_t i = 0; i < r->upstreams_count; i++)
    {
      uint32_t u = (first + i) % r->upstreams_count;
      if (r->upstreams[u].up_at_ms > now
          || (isolated
              && !bb_isolation_may_use (e->isolation, u + 1, q->number, now)))
        continue;
      if (isolated && q->claimed == u + 1)
        return (int)u;
      if (chosen < 0
          || (isolated && bb_isolation_is_own (e->isolation, u + 1)))
        chosen = (int)u;
    }
  return chosen;
}

static bool
claim_key (struct request *q, uint64_t key)
{
  struct run *r = q->run;
  struct bb_isolation *isolation = r->edges[q->edge].isolation;
  bb_ms now = bb_sim_now (r->sim);
  enum bb_isolation_step step;

  if (!bb_isolation_may_use (isolation, key, q->number, now))
    return false;
  step = bb_isolation_claim (isolation, key, q->number, now);
  if (step == BB_ISOLATION_CLAIMED)
    tell_use (r, q->edge, key, BB_ISOLATION_USE_CLAIM);
  if (step != BB_ISOLATION_SEND)
    return false;
  tell_use (r, q->edge, key, BB_ISOLATION_USE_IN_FLIGHT);
  return true;
}

static bool
claim_part (struct request *q)
{
  struct run *r = q->run;
  uint64_t part
      = bb_parts_most_suspect (r->edges[q->edge].parts, q->parts,
                               G_N_ELEMENTS (q->parts), bb_sim_now (r->sim));

  if (part == 0 || (q->part_granted && q->part_claimed == part))
    return true;
  release_key (q, q->part_claimed, q->part_granted);
  q->part_claimed = part;
  q->part_granted = claim_key (q, part);
  return q->part_granted;
}

static bool
claim (struct request *q, uint32_t upstream)
{
  if (!claim_part (q))
    return false;
  q->claimed = upstream + 1;
  q->isolated = claim_key (q, q->claimed);
  return q->isolated;
}

static enum bb_poison_state
state_of (const struct request *q)
{
  struct run *r = q->run;
  const struct edge *e = &r->edges[q->edge];
  bb_ms now = bb_sim_now (r->sim);
  enum bb_poison_state whole
      = bb_poison_state (e->poison, q->fingerprint, now);
  enum bb_poison_state part
      = bb_parts_state (e->parts, q->parts, G_N_ELEMENTS (q->parts), now);

  return MAX (whole, part);
}

static void
dispatch (struct run *r, uint32_t edge)
{
  struct edge *e = &r->edges[edge];

  for (guint i = 0; i < e->waiting->len;)
    {
      struct request *q = g_ptr_array_index (e->waiting, i);
      enum bb_poison_state state = state_of (q);
      int u = choose_upstream (q, state == BB_POISON_SUSPECT);
      if (state == BB_POISON_QUARANTINED)
        {
          g_ptr_array_remove_index (e->waiting, i);
          refuse (q);
          continue;
        }
      if (u < 0 || (state == BB_POISON_SUSPECT && !claim (q, (uint32_t)u)))
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index (e->waiting, i);
      send_request (q, (uint32_t)u);
    }
}

void
crash_run_on_tick (struct bb_sim *sim, void *arg)
{
  const struct told *t = arg;

  if (t->run->edges[t->to].up)
    dispatch (t->run, t->to);
  bb_sim_schedule_on_node (sim, t->to, TICK_MS, crash_run_on_tick, arg);
}

static void
receive_part_crash (struct run *r, uint32_t from, uint32_t to,
                    const struct bb_part_crash *c)
{
  struct bb_parts *parts = r->edges[to].parts;
  bb_ms now = bb_sim_now (r->sim);
  const struct bb_part_crash *known;

  for (uint32_t i = 0; i < c->parts_count; i++)
    if (bb_parts_is_sound (parts, c->parts[i], now))
      {
        struct message reply
            = { .kind = MESSAGE_SOUND_PART, .key = c->parts[i] };
        bb_sim_send (r->sim, to, from, &reply, sizeof reply);
      }
  known = bb_parts_record_crash (parts, c, now);
  if (known)
    broadcast_part_crash (r, to, known);
}

void
crash_run_receive (struct bb_sim *sim, uint32_t from, uint32_t to,
                   const void *data, size_t size, void *arg)
{
  struct run *r = arg;
  struct edge *e = &r->edges[to];
  const struct message *m = data;
  bb_ms now = bb_sim_now (sim);

  g_assert_cmpuint (size, ==, sizeof *m);
  if (!e->up)
    return;
  switch (m->kind)
    {
    case MESSAGE_USE:
      if (to < r->edges_count)
        bb_isolation_apply (e->isolation, crash_run_member (from), m->key,
                            m->use, now);
      break;
    case MESSAGE_PART_CRASH:
      receive_part_crash (r, from, to, &m->part_crash);
      break;
    case MESSAGE_SOUND_PART:
      if (bb_parts_record_sound (e->parts, m->key, now))
        broadcast_sound (r, to, m->key);
      break;
    case MESSAGE_CRASH:
      if (m->crash.event == 0)
        bb_poison_clear (e->poison, m->crash.fingerprint, now);
      else if (bb_poison_record_crash (e->poison, &m->crash, now))
        broadcast_crash (r, to, &m->crash);
    }
}
