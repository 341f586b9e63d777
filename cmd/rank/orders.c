/* Carries out the leader's orders to the local engine.  */

#include "rank.h"

#include <jansson.h>

enum
{
  MAP_WAIT_MS = 80 /* a map that comes through the head needs less */
};

/* An order that was sent to an engine and has no result yet.  */
struct pending_order
{
  uint64_t connection; /* number of the connection that it came on, which may
                          have ended */
  uint64_t id;
  bool relayed; /* it was sent to another rank's engine */
  uint64_t version;
  uint64_t epoch;
  uint64_t fence;
};

/* A PREPARE whose map has not arrived.  */
struct waiting_prepare
{
  bool exists;
  bb_ms since_ms;
  struct bb_rank_order order; /* without a target */
  uint64_t connection;
};

static struct agent *agent;
static orders_result_fn *on_order_result;
static struct waiting_prepare waiting;

static void
on_result (uint16_t status, void *user)
{
  struct pending_order *o = user;
  struct engine *engine = &agent->engine;
  bool accepted = bb_group_order_is_accepted (status);

  if (accepted && o->relayed && o->version == engine->relayed_version
      && o->epoch == engine->relayed_epoch)
    engine->relayed_accepted = true;
  if (accepted && !o->relayed)
    engine_accept_fence (agent, o->fence, o->epoch);
  on_order_result (o->connection, o->id, status);
  g_free (o);
}

static struct pending_order *
pending_of (const struct bb_rank_order *m, uint64_t connection)
{
  struct pending_order *o = g_new0 (struct pending_order, 1);

  o->connection = connection;
  o->id = m->id;
  o->version = m->version;
  o->epoch = m->epoch;
  o->fence = m->fence;
  return o;
}

static struct bb_order
order_of (const struct bb_rank_order *m)
{
  return (struct bb_order){ .op = (enum bb_order_op)m->op,
                            .version = m->version,
                            .step = m->step,
                            .epoch = m->epoch,
                            .fence = m->fence };
}

/* Records that RANK may be armed as M says, whose result is not known.  If the
   leader fails, the next one must know.  */
static void
note_arm (const struct bb_rank_order *m, uint32_t rank)
{
  struct engine *engine = &agent->engine;

  engine->relayed_epoch = m->epoch;
  engine->relayed_version = m->version;
  engine->relayed_rank = rank;
  engine->relayed_accepted = false;
}

/* Whether what M says of the rank of its sender is recorded already.  */
static bool
is_noted (const struct bb_rank_order *m)
{
  const struct engine *engine = &agent->engine;

  return engine->relayed_epoch == m->epoch
         && engine->relayed_version == m->version
         && engine->relayed_rank == m->from_rank;
}

/* Refuses M, whose leader another one has replaced.  */
static void
refuse (const struct bb_rank_order *m, uint64_t connection)
{
  bb_log_event ("order_fenced", "{s:i, s:i, s:I, s:I}", "op", (int)m->op,
                "from", (int)m->from_rank, "fence", (json_int_t)m->fence,
                "seen", (json_int_t)agent->engine.fence_seen);
  on_order_result (connection, m->id, BB_GROUP_ORDER_FENCED);
}

/* Sends M to the engine of another rank.  */
static void
relay (const struct bb_rank_order *m, uint64_t connection)
{
  struct pending_order *pending;
  struct bb_order o = order_of (m);
  char *address;

  if (engine_is_fenced (agent, m->fence))
    {
      refuse (m, connection);
      return;
    }
  pending = pending_of (m, connection);
  address = bb_bytes_strdup (m->target);
  note_arm (m, m->target_rank); /* before it is sent */
  pending->relayed = true;
  remote_send_order (agent, address, &o, on_result, pending);
  g_free (address);
}

/* Sends M to the local engine; MAP is that of a PREPARE.  */
static void
carry_out (const struct bb_rank_order *m, uint64_t connection,
           const struct known_map *map)
{
  struct bb_order o = order_of (m);

  if (!engine_see_fence (agent, m->fence))
    {
      refuse (m, connection);
      return;
    }
  if (m->own_armed && !is_noted (m))
    note_arm (m, m->from_rank);
  if (map)
    {
      o.map = g_bytes_get_data (map->bytes, NULL);
      o.sets = map->size.sets;
      o.ranks = map->size.ranks;
      o.places = map->size.places;
    }
  engine_note_leader (agent, m->from_rank, o.op, m->version, m->epoch);
  engine_send_order (agent, &o, on_result, pending_of (m, connection));
}

/* Keeps M until its map arrives.  Where that is late, the leader is asked for
   it.  */
static void
await_map (const struct bb_rank_order *m, uint64_t connection)
{
  bb_ms now = agent_now (agent);
  bool known = waiting.exists && waiting.order.version == m->version
               && waiting.order.epoch == m->epoch;

  waiting
      = (struct waiting_prepare){ .exists = true,
                                  .since_ms = known ? waiting.since_ms : now,
                                  .order = *m,
                                  .connection = connection };
  waiting.order.target = (struct bb_bytes){ NULL, 0 };
#ifndef BB_MUTANT_map_missing
  if (now - waiting.since_ms >= MAP_WAIT_MS)
    on_order_result (connection, m->id, STATUS_MAP_MISSING);
#endif
}

void
orders_handle (const struct bb_rank_order *m, uint64_t connection)
{
  const struct known_map *map = NULL;

  if (m->op >= BB_ORDER_OPS)
    {
      bb_log_event ("order_malformed", "{s:i}", "op", (int)m->op);
      return;
    }
  if (m->target.size > 0)
    {
      relay (m, connection);
      return;
    }
  if (m->op == BB_ORDER_PREPARE)
    {
      map = maps_find (m->epoch, m->version, m->map_hash);
      if (!map)
        {
          await_map (m, connection);
          return;
        }
    }
  waiting.exists = false;
  carry_out (m, connection, map);
}

void
orders_on_map (void)
{
  const struct known_map *map = maps_find (
      waiting.order.epoch, waiting.order.version, waiting.order.map_hash);

  if (!waiting.exists || !map)
    return;
  waiting.exists = false;
  carry_out (&waiting.order, waiting.connection, map);
}

void
orders_init (struct agent *a, orders_result_fn *fn)
{
  agent = a;
  on_order_result = fn;
}
