/* Randomised runs of the quarantine at edges: libadmit's detection and
   libload's isolation, in several edges and agents that exchange messages with
   random delays, before upstreams that some requests, or all requests with
   some part, crash.  A failed run prints its seed.  */

#include "bilberry/admit.h"
#include "bilberry/load.h"
#include "bilberry/sim.h"

#include <string.h>

enum
{
  EDGES_MAX = 11,
  AGENTS = 3,
  NODES_MAX = EDGES_MAX + AGENTS,
  UPSTREAMS_MAX = 24,
  SEEDS = 60,
  RUN_MS = 40000,
  TICK_MS = 10,
  DETECT_MS = 2,      /* time until an edge knows that an upstream has ended */
  DOWN_MS = 2000,     /* how long an upstream is down */
  START_MS = 500,     /* time from the kill of an edge to its connections */
  IN_TOUCH_MS = 3000, /* an edge is in touch if it ran for so long */
  ATTEMPTS_MAX = 3,
  COMMON = 1, /* fingerprint that many callers send */
  POISON = 2,
  FIRST_UNIQUE = 3,
  FIRST_PART = 1000, /* of those that many requests share */
  SHARED_PARTS = 40,
  POISON_PART = 2000,
  FIRST_RARE_PART = 3000,
  FREE_CRASHES = 5, /* crashes of a part after which sends count as late */
  LATE_SENDS_MAX = 3
};

/* What happens in a run beside the request that crashes upstreams.  */
struct scenario
{
  bool kills;    /* of one edge, and of all at once */
  bool pauses;   /* of one edge */
  bool crashes;  /* of several upstreams at once, by another cause */
  bool all_gone; /* all edges and agents are killed at the same time, once */
  bool part; /* a part crashes upstreams, under requests no two alike, and not
                one request that is repeated */
};

struct run;

struct request
{
  struct run *run;
  uint32_t edge;
  uint64_t incarnation; /* of the edge */
  uint64_t number;
  uint64_t fingerprint;
  uint64_t prior_crash;
  uint64_t claimed; /* upstream; 0: none */
  uint64_t parts[2];
  uint64_t part_claimed; /* 0: none */
  uint32_t upstream;
  uint32_t tries;
  bool isolated;
  bool part_granted;  /* PART_CLAIMED is granted */
  bool sent_isolated; /* the last try was isolated */
  bool running;
};

struct edge
{
  struct bb_poison *poison;
  struct bb_parts *parts;
  struct bb_isolation *isolation;
  GPtrArray *waiting; /* struct request */
  uint64_t incarnation;
  bool up;
  bb_ms in_touch_at_ms;
};

struct upstream
{
  bb_ms up_at_ms;
  uint64_t boots;
  GPtrArray *running; /* struct request */
};

/* An edge of a run, and a node that tells it something.  */
struct told
{
  struct run *run;
  uint32_t from;
  uint32_t to;
};

struct run
{
  struct bb_sim *sim;
  struct scenario scenario;
  uint32_t edges_count;
  uint32_t upstreams_count;
  struct edge edges[NODES_MAX]; /* the last AGENTS ones only keep crashes */
  struct upstream upstreams[UPSTREAMS_MAX];
  uint64_t last_number;
  uint64_t last_fingerprint;
  uint32_t poison_crashes;
  bb_ms bound_ms; /* time of the third crash, with a part the fifth; 0: not yet
                   */
  uint32_t late_sends; /* of what crashes upstreams, by edges in touch, later
                          than IN_TOUCH_MS after the bound */
  uint32_t innocents_refused;
  uint32_t common_refused;
  uint32_t answered;
  GPtrArray *requests; /* all of the run, which owns them */
  GPtrArray *tries;    /* likewise, struct try */
  struct told ticks[EDGES_MAX];
};

/* A try of a request, for the event that ends it.  */
struct
try
  {
    struct request *request;
    uint32_t number;
  };

enum message_kind
{
  MESSAGE_CRASH,
  MESSAGE_USE,
  MESSAGE_PART_CRASH,
  MESSAGE_SOUND_PART
};

struct message
{
  enum message_kind kind;
  struct bb_crash crash;
  struct bb_part_crash part_crash;
  uint64_t key; /* of an isolation, or a sound part */
  enum bb_isolation_use use;
};

static uint32_t
nodes_count (const struct run *r)
{
  return r->edges_count + AGENTS;
}

static uint64_t
member_id (uint32_t node)
{
  return 1000 + node;
}

static uint32_t
draw (struct run *r, uint32_t below)
{
  return (uint32_t)g_rand_int_range (bb_sim_rand (r->sim), 0, (int)below);
}

static void
send_to_all (struct run *r, uint32_t from, const struct message *m)
{
  for (uint32_t n = 0; n < nodes_count (r); n++)
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

static void
crash_upstream (struct run *r, uint32_t upstream)
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
  crash_upstream (r, q->upstream);
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
      bb_sim_schedule (r->sim, 20 + draw (r, 400), on_answered, t);
      return;
    }
  if (r->bound_ms > 0 && now > r->bound_ms + IN_TOUCH_MS
      && now >= e->in_touch_at_ms)
    r->late_sends++;
  bb_sim_schedule (r->sim, draw (r, 20), on_poison_runs, t);
}

/* Chooses an upstream for Q at random; -1 if there is none.  An isolated
   request that has claimed one keeps to it.  */
static int
choose_upstream (const struct request *q, bool isolated)
{
  struct run *r = q->run;
  const struct edge *e = &r->edges[q->edge];
  bb_ms now = bb_sim_now (r->sim);
  uint32_t first = draw (r, r->upstreams_count);
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

static void
on_tick (struct bb_sim *sim, void *arg)
{
  const struct told *t = arg;

  if (t->run->edges[t->to].up)
    dispatch (t->run, t->to);
  bb_sim_schedule_on_node (sim, t->to, TICK_MS, on_tick, arg);
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

static void
receive (struct bb_sim *sim, uint32_t from, uint32_t to, const void *data,
         size_t size, void *arg)
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
        bb_isolation_apply (e->isolation, member_id (from), m->key, m->use,
                            now);
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

/* Callers.  */

static void
new_request (struct run *r, uint64_t fingerprint, uint64_t second_part)
{
  uint32_t edge = draw (r, r->edges_count);
  struct edge *e = &r->edges[edge];
  struct request *q;

  if (!e->up)
    return;
  q = g_new0 (struct request, 1);
  g_ptr_array_add (r->requests, q);
  q->run = r;
  q->edge = edge;
  q->incarnation = e->incarnation;
  q->number = ++r->last_number;
  q->fingerprint = fingerprint;
  /* The first ones are the most popular, the last ones are seldom seen.  */
  q->parts[0]
      = FIRST_PART
        + (fingerprint < FIRST_UNIQUE ? (uint32_t)fingerprint
                                      : draw (r, 1 + draw (r, SHARED_PARTS)));
  q->parts[1] = second_part;
  g_ptr_array_add (e->waiting, q);
}

static void
on_innocent_caller (struct bb_sim *sim, void *arg)
{
  struct run *r = arg;

  uint64_t rare = FIRST_RARE_PART + r->last_fingerprint / 4;

  new_request (r, draw (r, 4) == 0 ? COMMON : ++r->last_fingerprint,
               draw (r, 3) == 0 ? rare : 0);
  bb_sim_schedule (sim, 1 + draw (r, 40), on_innocent_caller, r);
}

/* The caller sends again when the last request has probably ended.  */
static void
on_poison_caller (struct bb_sim *sim, void *arg)
{
  struct run *r = arg;

  new_request (r, POISON, 0);
  bb_sim_schedule (sim, 300 + draw (r, 1500), on_poison_caller, r);
}

static void
on_part_caller (struct bb_sim *sim, void *arg)
{
  struct run *r = arg;

  new_request (r, ++r->last_fingerprint, POISON_PART);
  bb_sim_schedule (sim, 50 + draw (r, 500), on_part_caller, r);
}

/* Faults.  */

static void
tell_known (void *arg, const struct bb_crash *c)
{
  const struct told *t = arg;
  struct message m = { .crash = *c };

  bb_sim_send (t->run->sim, t->from, t->to, &m, sizeof m);
}

static void
tell_known_part_crash (void *arg, const struct bb_part_crash *c)
{
  const struct told *t = arg;
  struct message m = { .kind = MESSAGE_PART_CRASH, .part_crash = *c };

  bb_sim_send (t->run->sim, t->from, t->to, &m, sizeof m);
}

static void
connect_to_all (struct run *r, uint32_t node)
{
  for (uint32_t n = 0; n < nodes_count (r); n++)
    {
      struct told t = { r, n, node };
      if (n == node || !r->edges[n].up)
        continue;
      bb_poison_each (r->edges[n].poison, bb_sim_now (r->sim), tell_known, &t);
      bb_parts_each (r->edges[n].parts, bb_sim_now (r->sim),
                     tell_known_part_crash, &t);
      if (n >= r->edges_count)
        continue;
      bb_isolation_add_member (r->edges[n].isolation, member_id (node));
      bb_isolation_add_member (r->edges[node].isolation, member_id (n));
    }
}

static void
start_edge (struct run *r, uint32_t edge)
{
  struct edge *e = &r->edges[edge];

  e->up = true;
  e->incarnation++;
  /* It may be paused for longer.  */
  e->in_touch_at_ms
      = MAX (e->in_touch_at_ms, bb_sim_now (r->sim) + IN_TOUCH_MS);
  e->poison = bb_poison_new ();
  e->parts = bb_parts_new ();
  e->isolation = bb_isolation_new (member_id (edge));
  e->waiting = g_ptr_array_new ();
}

static void
stop_edge (struct run *r, uint32_t edge)
{
  struct edge *e = &r->edges[edge];

  e->up = false;
  bb_poison_free (e->poison);
  bb_parts_free (e->parts);
  bb_isolation_free (e->isolation);
  g_ptr_array_unref (e->waiting);
  for (uint32_t n = 0; n < r->edges_count; n++)
    if (r->edges[n].up)
      bb_isolation_remove_member (r->edges[n].isolation, member_id (edge));
}

static void
on_edges_start (struct bb_sim *sim, void *arg)
{
  struct run *r = arg;

  (void)sim;
  for (uint32_t i = 0; i < r->edges_count; i++)
    if (!r->edges[i].up)
      start_edge (r, i);
  for (uint32_t i = 0; i < r->edges_count; i++)
    connect_to_all (r, i);
}

static void
on_kill (struct bb_sim *sim, void *arg)
{
  struct run *r = arg;
  bool all = draw (r, 2) == 0;
  uint32_t one = draw (r, r->edges_count);

  for (uint32_t i = 0; i < r->edges_count; i++)
    if (r->edges[i].up && (all || i == one))
      stop_edge (r, i);
  bb_sim_schedule (sim, START_MS, on_edges_start, r);
  bb_sim_schedule (sim, 4000 + draw (r, 8000), on_kill, r);
}

static void
on_agents_start (struct bb_sim *sim, void *arg)
{
  struct run *r = arg;

  (void)sim;
  for (uint32_t i = r->edges_count; i < nodes_count (r); i++)
    start_edge (r, i);
}

static void
on_all_gone (struct bb_sim *sim, void *arg)
{
  struct run *r = arg;

  for (uint32_t i = 0; i < nodes_count (r); i++)
    stop_edge (r, i);
  bb_sim_schedule (sim, START_MS / 2, on_agents_start, r);
  bb_sim_schedule (sim, START_MS, on_edges_start, r);
}

static void
on_pause (struct bb_sim *sim, void *arg)
{
  struct run *r = arg;
  uint32_t edge = draw (r, r->edges_count);
  bb_ms pause = 500 + draw (r, 3000);

  bb_sim_pause (sim, edge, pause);
  r->edges[edge].in_touch_at_ms = bb_sim_now (sim) + pause + IN_TOUCH_MS;
  bb_sim_schedule (sim, 4000 + draw (r, 4000), on_pause, r);
}

static void
on_upstreams_crash (struct bb_sim *sim, void *arg)
{
  struct run *r = arg;

  for (uint32_t i = 0; i < r->upstreams_count / 3; i++)
    crash_upstream (r, draw (r, r->upstreams_count));
  bb_sim_schedule (sim, 5000 + draw (r, 5000), on_upstreams_crash, r);
}

static void
init_run (struct run *r, const struct scenario *s, uint64_t seed)
{
  /* Messages of a connection keep their order.  */
  bb_ms delay_ms = 1 + (bb_ms)(seed % 10);
  struct bb_sim_net net
      = { .delay_min_ms = delay_ms, .delay_max_ms = delay_ms };

  memset (r, 0, sizeof *r);
  r->scenario = *s;
  r->edges_count = 2 + (uint32_t)(seed % (EDGES_MAX - 1));
  r->upstreams_count = 3 + (uint32_t)(seed * 7 % (UPSTREAMS_MAX - 2));
  r->last_fingerprint = FIRST_UNIQUE;
  r->requests = g_ptr_array_new_with_free_func (g_free);
  r->tries = g_ptr_array_new_with_free_func (g_free);
  r->sim = bb_sim_new (seed, nodes_count (r));
  bb_sim_set_net (r->sim, &net);
  bb_sim_on_deliver (r->sim, receive, r);
  for (uint32_t i = 0; i < r->upstreams_count; i++)
    r->upstreams[i].running = g_ptr_array_new ();
  for (uint32_t i = 0; i < nodes_count (r); i++)
    start_edge (r, i);
  for (uint32_t i = 0; i < r->edges_count; i++)
    connect_to_all (r, i);
}

static void
free_run (struct run *r)
{
  for (uint32_t i = 0; i < nodes_count (r); i++)
    if (r->edges[i].up)
      stop_edge (r, i);
  for (uint32_t i = 0; i < r->upstreams_count; i++)
    {
      g_ptr_array_unref (r->upstreams[i].running);
    }
  g_ptr_array_unref (r->requests);
  g_ptr_array_unref (r->tries);
  bb_sim_free (r->sim);
}

static void
play (struct run *r, const struct scenario *s, uint64_t seed)
{
  g_test_message ("seed %" G_GUINT64_FORMAT, seed);
  init_run (r, s, seed);
  for (uint32_t i = 0; i < r->edges_count; i++)
    {
      r->ticks[i] = (struct told){ .run = r, .to = i };
      on_tick (r->sim, &r->ticks[i]);
    }
  on_innocent_caller (r->sim, r);
  bb_sim_schedule (r->sim, 1000, s->part ? on_part_caller : on_poison_caller,
                   r);
  if (s->kills)
    bb_sim_schedule (r->sim, 3000, on_kill, r);
  if (s->pauses)
    bb_sim_schedule (r->sim, 500, on_pause, r);
  if (s->crashes)
    bb_sim_schedule (r->sim, 2000, on_upstreams_crash, r);
  if (s->all_gone)
    bb_sim_schedule (r->sim, RUN_MS / 2, on_all_gone, r);
  bb_sim_run (r->sim, RUN_MS);
  g_test_message ("%u edges, %u upstreams: crashed %u, sent late %u, innocent "
                  "refused %u, common refused %u, answered %u",
                  r->edges_count, r->upstreams_count, r->poison_crashes,
                  r->late_sends, r->innocents_refused, r->common_refused,
                  r->answered);
  g_assert_cmpuint (r->answered, >, 100);
}

/* Nothing else fails: the request ends two upstreams, and no other request is
   refused.  */
static void
test_calm (void)
{
  static const struct scenario s = { 0 };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct run r;
      play (&r, &s, seed);
      g_assert_cmpuint (r.poison_crashes, ==, 2);
      g_assert_cmpuint (r.innocents_refused, ==, 0);
      g_assert_cmpuint (r.common_refused, ==, 0);
      free_run (&r);
    }
}

/* Upstreams also end by another cause, several at once.  */
static void
test_crashes (void)
{
  static const struct scenario s = { .crashes = true };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct run r;
      play (&r, &s, seed);
      g_assert_cmpuint (r.poison_crashes, <=, 2);
      g_assert_cmpuint (r.common_refused, ==, 0);
      free_run (&r);
    }
}

/* Edges are killed, also all at once, and are paused.  Those that have run for
   a while do not send the request once it has ended three upstreams.  */
static void
test_edges_fail (void)
{
  static const struct scenario s = { .kills = true, .pauses = true };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct run r;
      play (&r, &s, seed);
      g_assert_cmpuint (r.late_sends, ==, 0);
      free_run (&r);
    }
}

/* All edges and agents are killed at once, so that nobody knows the
   quarantine: it is found again by two crashes.  */
static void
test_all_gone (void)
{
  static const struct scenario s = { .all_gone = true };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct run r;
      play (&r, &s, seed);
      g_assert_cmpuint (r.poison_crashes, <=, 4);
      g_assert_cmpuint (r.innocents_refused, ==, 0);
      free_run (&r);
    }
}

/* A part crashes upstreams under requests no two alike.  Few are sent once it
   has ended five upstreams, and no other request is refused.  */
static void
test_part (void)
{
  static const struct scenario s = { .part = true };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct run r;
      play (&r, &s, seed);
      g_assert_cmpuint (r.late_sends, <=, LATE_SENDS_MAX);
      g_assert_cmpuint (r.poison_crashes, <=, FREE_CRASHES + LATE_SENDS_MAX);
      g_assert_cmpuint (r.innocents_refused, ==, 0);
      free_run (&r);
    }
}

/* The same, while upstreams also end by another cause, and edges are killed,
   also all at once, and paused.  */
static void
test_part_with_faults (void)
{
  static const struct scenario s
      = { .part = true, .kills = true, .pauses = true, .crashes = true };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct run r;
      play (&r, &s, seed);
      g_assert_cmpuint (r.late_sends, <=, LATE_SENDS_MAX);
      free_run (&r);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/crash-runs/calm", test_calm);
  g_test_add_func ("/crash-runs/upstreams-end", test_crashes);
  g_test_add_func ("/crash-runs/edges-fail", test_edges_fail);
  g_test_add_func ("/crash-runs/all-gone", test_all_gone);
  g_test_add_func ("/crash-runs/part", test_part);
  g_test_add_func ("/crash-runs/part-with-faults", test_part_with_faults);
  return g_test_run ();
}
