/* Asks the own rank for its report, its counts and its part of the map.  */

#include "rank.h"

#include "bilberry/settings.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CONNECT_TIMEOUT_MS = 250,
  ASK_TIMEOUT_MS = 300,
  KEPT_IDLE_MAX_MS = 1500,
  ANSWER_MAX_BYTES = 1 << 20,
  COUNTS_EVERY_MS = 90, /* less often than reports during a switch */
  COUNTS_PER_MS = 8     /* large ones less often: the leader's link is small */
};

/* The questions, asked one after the other.  */
enum question
{
  ASK_REPORT,
  ASK_COUNTS,
  ASK_LISTS,
  QUESTIONS
};

struct asking
{
  struct agent *agent;
  struct bb_h1_pool *pool;
  bool busy; /* a question is under way */
  enum question question;
  bb_ms counted_ms; /* when counts were last asked for */
};

static struct asking asking;

static void ask (enum question q);

static void
take_counts (struct engine *o, const struct bb_counts *c)
{
  bool anew = c->epoch != o->counts_epoch || c->count != o->counts_count;

  if (c->count > COUNTS_MAX)
    return;
  for (uint32_t i = 0; i < c->count; i++)
    {
      uint32_t before = anew || c->values[i] < o->counts[i] ? 0 : o->counts[i];
      o->unsent_counts[i] += anew ? 0 : c->values[i] - before;
      o->counts[i] = c->values[i];
    }
  o->counts_count = c->count;
  o->counts_epoch = c->epoch;
  o->has_unsent_counts = true;
}

static void
take_report (struct engine *o, struct bb_bytes body, bb_ms now)
{
  struct bb_rank_report r;

  if (!bb_rank_report_decode (body, &r))
    {
      bb_event ("report_unreadable", "{s:i}", "bytes", (int)body.size);
      return;
    }
  if (r.epoch != o->report.epoch)
    o->lists_known = false;
  o->report = r;
  o->in_group = r.grouped;
  o->reported_ms = now;
}

static void
take (struct asking *k, struct bb_bytes body)
{
  struct engine *o = &k->agent->engine;
  struct bb_counts counts;

  if (k->question == ASK_REPORT)
    take_report (o, body, agent_now (k->agent));
  else if (k->question == ASK_COUNTS)
    {
      if (bb_counts_decode (body, &counts))
        take_counts (o, &counts);
      free (counts.values);
    }
  else if (bb_lists_decode (body, &o->lists_version, o->lists, COUNTS_MAX,
                            k->agent->pool ? k->agent->pool->engine.places : 0,
                            &o->lists_count))
    {
      o->lists_known = true;
      o->lists_epoch = o->report.epoch;
    }
}

/* Whether the part of the map has to be asked for.  */
static bool
wants_lists (const struct agent *a)
{
  const struct engine *o = &a->engine;

  return o->in_group && a->pool
         && (!o->lists_known || o->lists_epoch != o->report.epoch
             || o->lists_version != o->report.map);
}

static bb_ms
counts_every_ms (const struct engine *o)
{
  bb_ms ms = o->counts_count / COUNTS_PER_MS;

  return ms > COUNTS_EVERY_MS ? ms : COUNTS_EVERY_MS;
}

static void
next (struct asking *k)
{
  struct agent *a = k->agent;

  if (k->question == ASK_REPORT && a->engine.in_group
      && agent_now (a) - k->counted_ms >= counts_every_ms (&a->engine))
    ask (ASK_COUNTS);
  else if (k->question != ASK_LISTS && wants_lists (a))
    ask (ASK_LISTS);
  else
    a->on_poll_done (a);
}

static void
on_fetched (enum bb_h1_fetch_end how, uint16_t status, struct bb_bytes body,
            void *user)
{
  struct asking *k = user;

  k->busy = false;
  if (how == BB_H1_FETCH_LOST)
    {
      k->agent->on_poll_done (k->agent);
      return;
    }
  if (how == BB_H1_FETCH_ANSWERED && status == 200)
    take (k, body);
  next (k);
}

static void
ask (enum question q)
{
  struct asking *k = &asking;
  struct bb_h1_out out = { .method = bb_bytes_of ("GET"),
                           .host = bb_bytes_of (k->agent->start->upstream),
                           .idle_max_ms = KEPT_IDLE_MAX_MS };
  struct bb_h1_fetch_limits limits = { ASK_TIMEOUT_MS, ANSWER_MAX_BYTES };
  const char *const targets[QUESTIONS]
      = { bb_report_target, bb_counts_target, bb_lists_target };

  out.target = bb_bytes_of (targets[q]);
  k->question = q;
  k->busy = true;
  if (q == ASK_COUNTS)
    k->counted_ms = agent_now (k->agent);
  bb_h1_fetch (k->pool, &out, &limits, on_fetched, k);
}

void
engine_poll (struct agent *a)
{
  (void)a;
  if (!asking.busy)
    ask (ASK_REPORT);
}

void
engine_send_order (struct agent *a, const struct bb_order *o,
                   engine_result_fn *fn, void *user)
{
  remote_send_order (a, a->start->upstream, o, fn, user);
}

void
engine_note_leader (struct agent *a, uint32_t by, enum bb_order_op op,
                    uint64_t version, uint64_t epoch)
{
  a->engine.leader_rank = by;
  if (op != BB_ORDER_DISARM)
    return;
  a->engine.disarmed_version = version;
  a->engine.disarmed_epoch = epoch;
}

void
engine_discard_counts (struct agent *a)
{
  memset (a->engine.unsent_counts, 0, sizeof a->engine.unsent_counts);
  a->engine.has_unsent_counts = false;
}

/* What does not fit 16 bits is told the next time.  */
static void
fill_counts (struct engine *o, struct bb_rank_state *m)
{
  for (uint32_t i = 0; i < o->counts_count; i++)
    {
      o->sent_counts[i]
          = (uint16_t)(o->unsent_counts[i] < UINT16_MAX ? o->unsent_counts[i]
                                                        : UINT16_MAX);
      o->unsent_counts[i] -= o->sent_counts[i];
    }
  o->has_unsent_counts = false;
  m->counts.ptr = (const char *)o->sent_counts;
  m->counts.size = o->counts_count * (uint32_t)sizeof *o->sent_counts;
}

void
engine_fill_state (struct agent *a, struct bb_rank_state *m, bool counts)
{
  struct engine *o = &a->engine;
  const struct bb_rank_report *r = &o->report;

  memset (m, 0, sizeof *m);
  m->upstream = bb_bytes_of (a->host);
  m->group = bb_bytes_of (r->group);
  m->epoch = r->epoch;
  m->rank = r->rank;
  m->size = r->size;
  m->open = r->open;
  m->step = r->step;
  m->map = r->map;
  m->prepared = r->prepared;
  m->armed = r->armed;
  m->armed_step = r->armed_step;
  m->held = r->held;
  m->led_by = o->leader_rank;
  m->given_up = o->disarmed_version;
  m->given_up_epoch = o->disarmed_epoch;
  m->gave_epoch = o->relayed_epoch;
  m->gave_version = o->relayed_version;
  m->gave_rank = o->relayed_rank;
  m->gave_taken = o->relayed_accepted;
  m->queued = r->queued;
  m->running = r->running;
  if (counts && o->has_unsent_counts)
    fill_counts (o, m);
  if (o->lists_known && o->lists_epoch == r->epoch)
    {
      m->lists.ptr = (const char *)o->lists;
      m->lists.size = o->lists_count * (uint32_t)sizeof *o->lists;
      m->lists_version = o->lists_version;
    }
}

void
engine_start (struct agent *a)
{
  struct sockaddr_storage addr;

  asking.agent = a;
  if (bb_address_parse (a->start->upstream, &addr))
    asking.pool = bb_h1_pool_new (a->loop, &addr, CONNECT_TIMEOUT_MS);
}
