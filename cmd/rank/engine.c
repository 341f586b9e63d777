/* Polls the local engine for its report, its expert counts and its rows of
   the map in use.  */

#include "rank.h"

#include "bilberry/settings.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CONNECT_TIMEOUT_MS = 250,
  REQUEST_TIMEOUT_MS = 300,
  IDLE_CONNECTION_MAX_MS = 1500,
  RESPONSE_MAX_BYTES = 1 << 20,
  PREPARE_MAX_MS = 8000 /* a map takes no longer to prepare */
};

/* Requests of a poll, in the order in which they are sent.  */
enum request_kind
{
  REQUEST_REPORT,
  REQUEST_COUNTS,
  REQUEST_LISTS,
  REQUEST_KINDS
};

struct poller
{
  struct agent *agent;
  struct bb_h1_pool *pool;
  bool in_flight; /* a request is in progress */
  enum request_kind request;
  bb_ms counts_requested_ms; /* when counts were last requested */
};

static struct poller poller;

static void send_request (enum request_kind kind);

/* Adds the increase since the last counts to the unsent ones.  The first
   counts of an epoch only set the base.  */
static void
update_counts (struct engine *e, const struct bb_expert_counts *c)
{
  bool new_base = c->epoch != e->counts_epoch || c->count != e->counts_count;

  if (c->count > COUNTS_MAX)
    return;
  for (uint32_t i = 0; i < c->count; i++)
    {
      uint32_t before
          = new_base || c->values[i] < e->counts[i] ? 0 : e->counts[i];
      e->unsent_counts[i] += new_base ? 0 : c->values[i] - before;
      e->counts[i] = c->values[i];
    }
  e->counts_count = c->count;
  e->counts_epoch = c->epoch;
  e->has_unsent_counts = true;
}

static void
update_report (struct engine *e, struct bb_bytes body, bb_ms now)
{
  struct bb_rank_report r;

  if (!bb_rank_report_decode (body, &r))
    {
      bb_log_event ("report_unreadable", "{s:i}", "bytes", (int)body.size);
      return;
    }
  if (r.epoch != e->report.epoch)
    e->lists_known = false;
  e->report = r;
  e->reported = e->polled;
  e->in_group = r.in_group;
  e->reported_ms = now;
}

static void
handle_response (struct poller *p, struct bb_bytes body)
{
  struct engine *e = &p->agent->engine;
  struct bb_expert_counts counts;

  if (p->request == REQUEST_REPORT)
    update_report (e, body, agent_now (p->agent));
  else if (p->request == REQUEST_COUNTS)
    {
      if (bb_expert_counts_decode (body, &counts))
        update_counts (e, &counts);
      free (counts.values);
    }
  else if (bb_map_rows_decode (body, &e->lists_version, e->lists, COUNTS_MAX,
                               p->agent->pool ? p->agent->pool->engine.places
                                              : 0,
                               &e->lists_count))
    {
      e->lists_known = true;
      e->lists_epoch = e->report.epoch;
    }
}

/* Returns whether the engine's rows of the map in use must be read again.  */
static bool
needs_lists (const struct agent *a)
{
  const struct engine *e = &a->engine;

  return e->in_group && a->pool
         && (!e->lists_known || e->lists_epoch != e->report.epoch
             || e->lists_version != e->report.map_version);
}

/* Sends the next request of the poll that is due, or ends the poll.  */
static void
continue_poll (struct poller *p)
{
  struct agent *a = p->agent;

  if (p->request == REQUEST_REPORT && a->engine.in_group
      && agent_now (a) - p->counts_requested_ms
             >= share_counts_interval_ms (a))
    send_request (REQUEST_COUNTS);
  else if (p->request != REQUEST_LISTS && needs_lists (a))
    send_request (REQUEST_LISTS);
  else
    a->on_poll_done (a);
}

static void
on_response (enum bb_h1_fetch_result how, uint16_t status,
             struct bb_bytes body, void *user)
{
  struct poller *p = user;

  p->in_flight = false;
  if (how == BB_H1_FETCH_FAILED)
    {
      p->agent->on_poll_done (p->agent);
      return;
    }
  if (how == BB_H1_FETCH_COMPLETE && status == 200)
    handle_response (p, body);
  continue_poll (p);
}

static void
send_request (enum request_kind kind)
{
  struct poller *p = &poller;
  struct bb_h1_request out
      = { .method = bb_bytes_of ("GET"),
          .host = bb_bytes_of (p->agent->settings->upstream_address),
          .idle_max_ms = IDLE_CONNECTION_MAX_MS };
  struct bb_h1_fetch_limits limits = { .timeout_ms = REQUEST_TIMEOUT_MS,
                                       .body_max_bytes = RESPONSE_MAX_BYTES };
  const char *const targets[REQUEST_KINDS]
      = { bb_report_target, bb_expert_counts_target, bb_map_rows_target };

  out.target = bb_bytes_of (targets[kind]);
  p->request = kind;
  p->in_flight = true;
  if (kind == REQUEST_REPORT)
    p->agent->engine.polled = p->agent->engine.accepted;
  if (kind == REQUEST_COUNTS)
    p->counts_requested_ms = agent_now (p->agent);
  bb_h1_fetch (p->pool, &out, &limits, on_response, p);
}

void
engine_poll (struct agent *a)
{
  (void)a;
  if (!poller.in_flight)
    send_request (REQUEST_REPORT);
}

void
engine_send_order (struct agent *a, const struct bb_order *o,
                   engine_result_fn *fn, void *user)
{
  remote_send_order (a, a->settings->upstream_address, o, fn, user);
}

bool
engine_is_fenced (const struct agent *a, uint64_t fence)
{
#ifdef BB_MUTANT_rank_fence
  return false;
#endif
  return fence < a->engine.fence_seen;
}

bool
engine_see_fence (struct agent *a, uint64_t fence)
{
  if (engine_is_fenced (a, fence))
    return false;
  a->engine.fence_seen = fence;
  return true;
}

void
engine_accept_fence (struct agent *a, uint64_t fence, uint64_t epoch)
{
  struct accepted_fence *accepted = &a->engine.accepted;

  if (epoch == accepted->epoch && fence < accepted->fence)
    return;
  accepted->fence = fence;
  accepted->epoch = epoch;
}

void
engine_note_leader (struct agent *a, uint32_t rank, enum bb_order_op op,
                    uint64_t version, uint64_t epoch)
{
  struct engine *e = &a->engine;

  if (op != BB_ORDER_FENCE)
    e->leader_rank = rank;
  if (op == BB_ORDER_PREPARE)
    {
      e->preparing_version = version;
      e->preparing_ms = agent_now (a);
    }
  if (op != BB_ORDER_DISARM && (op != BB_ORDER_FENCE || version == 0))
    return;
  e->disarmed_version = version;
  e->disarmed_epoch = epoch;
}

bool
engine_is_switching (const struct agent *a)
{
  const struct engine *e = &a->engine;
  const struct bb_rank_report *r = &e->report;
  bool preparing = e->preparing_version > r->prepared_version
                   && e->preparing_version > r->map_version
                   && agent_now (a) - e->preparing_ms < PREPARE_MAX_MS;

  return preparing || r->prepared_version > r->map_version || r->held_step > 0
         || r->armed_version > 0;
}

void
engine_discard_counts (struct agent *a)
{
  memset (a->engine.unsent_counts, 0, sizeof a->engine.unsent_counts);
  a->engine.has_unsent_counts = false;
}

/* What exceeds 16 bits is left for the next time.  */
const uint16_t *
engine_take_counts (struct agent *a, uint32_t *count)
{
  struct engine *e = &a->engine;

  if (!e->has_unsent_counts)
    return NULL;
  for (uint32_t i = 0; i < e->counts_count; i++)
    {
      e->sent_counts[i]
          = (uint16_t)(e->unsent_counts[i] < UINT16_MAX ? e->unsent_counts[i]
                                                        : UINT16_MAX);
      e->unsent_counts[i] -= e->sent_counts[i];
    }
  e->has_unsent_counts = false;
  *count = e->counts_count;
  return e->sent_counts;
}

void
engine_add_counts (struct agent *a, uint64_t epoch, const uint16_t *deltas,
                   uint32_t count)
{
  struct engine *e = &a->engine;

  if (epoch != e->counts_epoch || count != e->counts_count)
    return;
  for (uint32_t i = 0; i < count; i++)
    e->unsent_counts[i] += deltas[i];
}

void
engine_fill_state (struct agent *a, struct bb_rank_state *m)
{
  struct engine *e = &a->engine;
  const struct bb_rank_report *r = &e->report;

  memset (m, 0, sizeof *m);
  m->upstream = bb_bytes_of (a->host);
  m->group = bb_bytes_of (r->group);
  m->epoch = r->epoch;
  m->rank = r->rank;
  m->size = r->group_size;
  m->open = r->open;
  m->step = r->step;
  m->map = r->map_version;
  m->prepared = r->prepared_version;
  m->armed = r->armed_version;
  m->armed_step = r->armed_step;
  m->held = r->held_step;
  m->led_by = e->leader_rank;
  m->given_up = e->disarmed_version;
  m->given_up_epoch = e->disarmed_epoch;
  m->gave_epoch = e->relayed_epoch;
  m->gave_version = e->relayed_version;
  m->gave_rank = e->relayed_rank;
  m->gave_taken = e->relayed_accepted;
  m->fence_seen = e->fence_seen;
  m->fence_accepted = e->reported.epoch == r->epoch ? e->reported.fence : 0;
  m->queued = r->queued;
  m->running = r->running;
  if (e->lists_known && e->lists_epoch == r->epoch)
    {
      m->lists.ptr = (const char *)e->lists;
      m->lists.size = e->lists_count * (uint32_t)sizeof *e->lists;
      m->lists_version = e->lists_version;
    }
}

void
engine_start (struct agent *a)
{
  struct sockaddr_storage addr;

  poller.agent = a;
  a->engine.leader_rank = BB_GROUP_NO_RANK;
  if (bb_address_parse (a->settings->upstream_address, &addr))
    poller.pool = bb_h1_pool_new (a->loop, &addr, CONNECT_TIMEOUT_MS);
}
