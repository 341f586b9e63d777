/* Orders of the leader to the ranks, and their results.  */

#include "leader.h"

#include <jansson.h>

/* An order that was sent and has no result yet.  */
struct pending_order
{
  uint64_t id;
  uint32_t rank;
  /* Whose agent sends it; NULL: sent by HTTP, which always ends in a result.
   */
  const struct follower_conn *follower;
  struct bb_group_switch_order order;
};

/* A call by HTTP that carries the order ID.  */
struct direct_order
{
  struct leader *leader;
  uint64_t id;
  char *address;
  struct accepted_fence fence; /* of the order */
};

/* Updates the metric after a change of the table.  */
static void
count_pending (const struct leader *l)
{
  bb_counter ("bilberry_orders_pending", "")->value
      = g_hash_table_size (l->pending_orders);
}

static void
pass_result (struct leader *l, const struct pending_order *o, uint16_t status)
{
  if (!bb_group_order_is_accepted (status))
    bb_log_event ("order_refused", "{s:i, s:i, s:i, s:I, s:I}", "op",
                  (int)o->order.op, "rank", (int)o->rank, "status",
                  (int)status, "version", (json_int_t)o->order.version, "step",
                  (json_int_t)o->order.step);
  bb_group_switch_order_result (&l->map_switch, o->rank, &o->order, status,
                                agent_now (l->agent));
  leader_log_phase (l);
}

void
leader_handle_result (struct leader *l, uint64_t id, uint16_t status)
{
  const struct pending_order *o = g_hash_table_lookup (l->pending_orders, &id);

  if (!o)
    return;
  if (status == STATUS_MAP_MISSING && l->active)
    {
      leader_request_map (l, o->rank);
      status = 0;
    }
  else if (status == 0)
    bb_counter ("bilberry_orders_unanswered_total", "")->value++;
  if (l->active)
    pass_result (l, o, status);
  g_hash_table_remove (l->pending_orders, &id);
  count_pending (l);
}

/* Records that the engine at the address of D has accepted its order.  */
static void
note_accepted (const struct direct_order *d)
{
  struct leader *l = d->leader;
  struct agent *a = l->agent;
  struct accepted_fence *accepted;

  if (strcmp (d->address, a->settings->upstream_address) == 0)
    {
      engine_accept_fence (a, d->fence.fence, d->fence.epoch);
      return;
    }
  accepted = g_new (struct accepted_fence, 1);
  *accepted = d->fence;
  g_hash_table_replace (l->remote_fences, g_strdup (d->address), accepted);
}

static void
on_direct_result (uint16_t status, void *user)
{
  struct direct_order *d = user;

  if (bb_group_order_is_accepted (status))
    note_accepted (d);
  leader_handle_result (d->leader, d->id, status);
  g_free (d->address);
  g_free (d);
}

struct accepted_fence
leader_remote_fence (const struct leader *l, const char *address)
{
  const struct accepted_fence *accepted
      = g_hash_table_lookup (l->remote_fences, address);

  return accepted ? *accepted : (struct accepted_fence){ 0 };
}

static enum bb_order_op
convert_op (enum bb_group_switch_op op)
{
  static const enum bb_order_op ops[]
      = { BB_ORDER_PREPARE, BB_ORDER_ARM,    BB_ORDER_HOLD,
          BB_ORDER_GO,      BB_ORDER_DISARM, BB_ORDER_FENCE };

  return ops[op];
}

/* Sends O to the agent F, which passes it to its own engine, or to the engine
   at ADDRESS unless that is NULL.  */
static void
send_to_follower (const struct leader *l, struct follower_conn *f,
                  const struct pending_order *o, const char *address)
{
  struct bb_rank_order m = { .id = o->id,
                             .op = (uint8_t)convert_op (o->order.op),
                             .version = o->order.version,
                             .step = o->order.step,
                             .epoch = o->order.epoch,
                             .fence = o->order.fence,
                             .target = bb_bytes_of (address),
                             .target_rank = o->rank,
                             .from_rank = l->map_switch.self_rank,
                             .own_armed = o->order.own_armed };

  if (o->order.op == BB_GROUP_SWITCH_PREPARE)
    m.map_hash = l->sent_map.hash;

  bb_put_rank_order (bb_conn_out (f->conn), &m);
}

/* Sends O to the engine at ADDRESS by HTTP.  */
static void
send_direct (struct leader *l, const char *address,
             const struct pending_order *o)
{
  const struct bb_group_size *s = &l->map_switch.size;
  struct direct_order *call = g_new0 (struct direct_order, 1);
  struct bb_order d = { .op = convert_op (o->order.op),
                        .version = o->order.version,
                        .step = o->order.step,
                        .epoch = o->order.epoch,
                        .fence = o->order.fence,
                        .map = o->order.map,
                        .sets = s->sets,
                        .ranks = s->ranks,
                        .places = s->places };

  call->leader = l;
  call->id = o->id;
  call->address = g_strdup (address);
  call->fence = (struct accepted_fence){ .fence = o->order.fence,
                                         .epoch = o->order.epoch };
  remote_send_order (l->agent, address, &d, on_direct_result, call);
}

static struct pending_order *
add_pending (struct leader *l, uint32_t rank,
             const struct bb_group_switch_order *order,
             const struct follower_conn *f)
{
  struct pending_order *o = g_new0 (struct pending_order, 1);

  o->id = ++l->last_order_id;
  o->rank = rank;
  o->order = *order;
  o->follower = f;
  g_hash_table_insert (l->pending_orders, &o->id, o);
  return o;
}

/* Whether this agent may send O to RANK by HTTP.  To its own engine it may
   unless another leader has ordered that since.  To another rank it may send
   what ends a switch: a leader that was paused, and considers a switch in
   progress although its followers have left, must not continue that switch on
   its own.  */
static bool
may_send_directly (const struct leader *l, uint32_t rank,
                   const struct bb_group_switch_order *o)
{
  if (rank == l->map_switch.self_rank)
    return engine_see_fence (l->agent, o->fence);
  return o->via_rank == l->map_switch.self_rank
         || bb_group_switch_sends_directly (&l->map_switch);
}

void
leader_send_order (uint32_t rank, const struct bb_group_switch_order *order,
                   void *user)
{
  struct leader *l = user;
  uint32_t self = l->map_switch.self_rank;
  struct follower_conn *f = leader_find_follower (l, order->via_rank);
  char *address = leader_find_address (l, rank);
  bool by_self = order->via_rank == self;

  bb_counter ("bilberry_orders_total", "")->value++;
  if (order->op == BB_GROUP_SWITCH_PREPARE)
    leader_begin_map (l, order);
  if (!by_self && f)
    send_to_follower (l, f, add_pending (l, rank, order, f),
                      order->via_rank == rank ? NULL : address);
  else if (address && may_send_directly (l, rank, order))
    {
      if (rank == self)
        engine_note_leader (l->agent, self, convert_op (order->op),
                            order->version, order->epoch);
      send_direct (l, address, add_pending (l, rank, order, NULL));
    }
  g_free (address);
  count_pending (l);
}

static gboolean
is_order_of (gpointer id, gpointer order, gpointer follower)
{
  (void)id;
  return ((const struct pending_order *)order)->follower == follower;
}

void
leader_drop_orders_of (struct leader *l, const struct follower_conn *f)
{
  g_hash_table_foreach_remove (l->pending_orders, is_order_of, (gpointer)f);
  count_pending (l);
}

void
leader_drop_orders (struct leader *l)
{
  g_hash_table_remove_all (l->pending_orders);
  count_pending (l);
}

void
leader_orders_init (struct leader *l)
{
  l->pending_orders
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}
