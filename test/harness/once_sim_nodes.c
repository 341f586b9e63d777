#include "once_sim_nodes.h"

#include "bilberry/wire.h"

#include <stdio.h>
#include <string.h>

static struct call_state *
get_call (struct simulation *s, uint64_t id)
{
  return &g_array_index (s->calls, struct call_state, id - 1);
}

static bb_ms
now_of (const struct simulation *s)
{
  return bb_sim_now (s->sim);
}

int
once_sim_random (struct simulation *s, int from, int to)
{
  return g_rand_int_range (bb_sim_rand (s->sim), from, to);
}

struct timer *
once_sim_timer (struct simulation *s, struct node *n, uint64_t id,
                uint64_t value)
{
  struct timer *t = g_new0 (struct timer, 1);

  g_ptr_array_add (s->timers, t);

  t->simulation = s;
  t->n = n;
  t->id = id;
  t->value = value;
  t->incarnation = n ? n->incarnation : 0;
  return t;
}

static void
send_packet (struct simulation *s, uint32_t from, uint32_t to,
             const struct packet *p)
{
  if (!s->nodes[from].down)
    bb_sim_send (s->sim, from, to, p, sizeof *p);
}

/* Callbacks of libonce at an agent.  */

static bool
agent_send (void *user, const char *member, enum bb_message_type type,
            const void *m)
{
  struct node *n = user;
  struct packet p = { .kind = KIND_FRAME };
  msgpack_sbuffer buf;
  GByteArray *bytes;
  uint32_t to = (uint32_t)strtoul (member + strlen ("order-"), NULL, 10);

  msgpack_sbuffer_init (&buf);
  switch (type)
    {
    case BB_MSG_ONCE_ASK:
      bb_put_once_ask (&buf, m);
      break;
    case BB_MSG_ONCE_SAY:
      bb_put_once_say (&buf, m);
      break;
    case BB_MSG_ONCE_NOTE:
      bb_put_once_note (&buf, m);
      break;
    case BB_MSG_ONCE_RELEASE:
      bb_put_once_release (&buf, m);
      break;
    case BB_MSG_ONCE_SYNC:
      bb_put_once_sync (&buf, m);
      break;
    default:
      bb_put_once_synced (&buf, m);
      break;
    }
  bytes = g_byte_array_new ();
  g_byte_array_append (bytes, (const guint8 *)&p, sizeof p);
  g_byte_array_append (bytes, (const guint8 *)buf.data, (guint)buf.size);
  bb_sim_send (n->simulation->sim, n->index, to, bytes->data, bytes->len);
  g_byte_array_free (bytes, TRUE);
  msgpack_sbuffer_destroy (&buf);
  return true;
}

static void
reply (struct node *n, uint64_t id, const struct packet *p)
{
  send_packet (n->simulation, n->index, get_call (n->simulation, id)->entry,
               p);
}

static void
agent_answer (void *user, uint64_t call, const struct bb_once_note *note)
{
  struct packet p = { .kind = KIND_REPLY, .id = call, .answered = true };

  memcpy (&p.value, note->body.ptr, sizeof p.value);
  reply (user, call, &p);
}

static void
agent_refuse (void *user, uint64_t call, const struct bb_request_result *v)
{
  struct node *n = user;
  struct packet p
      = { .kind = KIND_REPLY, .id = call, .run = v->run, .reason = v->reason };

  if (v->run == BB_RUN_NOT_RUN)
    get_call (n->simulation, call)->refused_not_run = true;
  if (v->run == BB_RUN_NOT_RUN && get_call (n->simulation, call)->ran)
    n->simulation->result.false_not_run++;
  reply (n, call, &p);
}

/* The upstream has run a call.  The timer's value is the answer; 0 means that
   the upstream failed without one.  */
static void
on_upstream_end (struct bb_sim *sim, void *arg)
{
  struct timer *t = arg;
  struct simulation *s = t->simulation;
  uint32_t value = (uint32_t)t->value;
  struct bb_once_note n = { .state = BB_ONCE_STATE_DONE, .status = 201 };
  struct packet p = { .kind = KIND_REPLY, .id = t->id };

  if (t->incarnation != t->n->incarnation)
    return;
  n.customer = bb_bytes_of ("customer-1");
  n.key = bb_bytes_of (s->keys[get_call (s, t->id)->key].name);
  n.body.ptr = (const char *)&value;
  n.body.size = sizeof value;
  p.answered = value != 0;
  p.value = value;
  p.run = BB_RUN_MAYBE_RUN;
  p.reason = BB_REASON_UPSTREAM_FAILED;
  bb_once_complete (t->n->once, t->id, value ? &n : NULL, BB_RUN_MAYBE_RUN,
                    bb_sim_now (sim));
  reply (t->n, t->id, &p);
}

static void
on_upstream_refused (struct bb_sim *sim, void *arg)
{
  struct timer *t = arg;
  struct packet p = { .kind = KIND_REPLY,
                      .id = t->id,
                      .run = BB_RUN_NOT_RUN,
                      .reason = BB_REASON_UPSTREAM_REFUSED };

  if (t->incarnation == t->n->incarnation)
    {
      bb_once_complete (t->n->once, t->id, NULL, BB_RUN_NOT_RUN,
                        bb_sim_now (sim));
      reply (t->n, t->id, &p);
    }
}

static void
agent_run (void *user, uint64_t call)
{
  struct node *n = user;
  struct simulation *s = n->simulation;
  struct call_state *c = get_call (s, call);
  bool faulty = (s->o->faults & ONCE_FAULT_UPSTREAM) != 0;
  int draw = once_sim_random (s, 0, 100);

  if (faulty && draw < 7)
    {
      bb_sim_schedule_on_node (s->sim, n->index, once_sim_random (s, 1, 20),
                               on_upstream_refused,
                               once_sim_timer (s, n, call, 0));
      return;
    }
  c->ran = true;
  s->keys[c->key].runs++;
  if (c->refused_not_run)
    s->result.false_not_run++;
  bb_sim_schedule_on_node (
      s->sim, n->index, once_sim_random (s, 5, 200), on_upstream_end,
      once_sim_timer (s, n, call, faulty && draw > 92 ? 0 : ++s->values));
}

static const struct bb_once_ops agent_ops = { .send = agent_send,
                                              .run = agent_run,
                                              .answer = agent_answer,
                                              .refuse = agent_refuse };

void
once_sim_set_members (struct node *n)
{
  struct simulation *s = n->simulation;
  const struct revision *r = &s->revisions[n->revision];
  const char *names[AGENTS_MAX];
  const char *witnesses[ENTRIES_MAX];
  uint32_t count = 0;

  for (uint32_t i = 0; i < AGENTS_MAX; i++)
    if (r->member[i])
      names[count++] = s->nodes[i].name;
  for (uint32_t i = 0; i < s->o->entries; i++)
    witnesses[i] = s->nodes[AGENTS_MAX + i].name;
  bb_once_set_members (n->once, names, count, witnesses, s->o->entries,
                       now_of (s));
}

static void
on_tick (struct bb_sim *sim, void *arg)
{
  struct timer *t = arg;

  if (t->incarnation != t->n->incarnation)
    return;
  bb_once_tick (t->n->once, bb_sim_now (sim));
  bb_sim_schedule_on_node (sim, t->n->index, BB_ONCE_TICK_MS, on_tick, t);
}

static void
on_hello_timer (struct bb_sim *sim, void *arg)
{
  struct timer *t = arg;
  struct node *n = t->n;
  struct packet p = { .kind = KIND_HELLO };

  if (t->incarnation != n->incarnation)
    return;
  p.id = ++n->hello_id;
  for (uint32_t i = 0; i < AGENTS_MAX; i++)
    {
      if (i == n->index)
        continue;
      p.incarnation = n->known_incarnations[i];
      send_packet (t->simulation, n->index, i, &p);
    }
  bb_sim_schedule_on_node (sim, n->index, HELLO_INTERVAL_MS, on_hello_timer,
                           t);
}

void
once_sim_start_node (struct node *n)
{
  struct simulation *s = n->simulation;
  struct bb_once_limits limits = { .candidates = s->o->candidates,
                                   .keys_max = 100000,
                                   .bytes_max = 12 * 1024 * 1024,
                                   .retention_ms = RETENTION_MS,
                                   .skew_ms = s->o->skew_ms,
                                   .grant_timeout_ms = 500 };

  n->down = false;
  n->incarnation = g_rand_int (bb_sim_rand (s->sim)) + UINT64_C (1);
  n->revision = s->revisions_count - 1;
  memset (n->known_incarnations, 0, sizeof n->known_incarnations);
  memset (n->hello_reply_id, 0, sizeof n->hello_reply_id);
  n->hello_id = 0;
  bb_sim_schedule_on_node (s->sim, n->index, 0, on_hello_timer,
                           once_sim_timer (s, n, 0, 0));
  if (n->index >= AGENTS_MAX)
    return;
  if (n->once)
    {
      s->result.conflicts += bb_once_stats (n->once).conflicts;
      bb_once_free (n->once);
    }
  n->once = bb_once_new (n->name, n->incarnation, &agent_ops, n, now_of (s));
  bb_once_set_limits (n->once, &limits);
  once_sim_set_members (n);
  bb_sim_schedule_on_node (s->sim, n->index, 0, on_tick,
                           once_sim_timer (s, n, 0, 0));
}

/* Entries and callers.  */

static void caller_try (struct simulation *s, uint32_t key);
static void entry_send (struct simulation *s, struct node *n, uint32_t key,
                        uint32_t attempt, uint32_t sends);

static void
on_caller_retry (struct bb_sim *sim, void *arg)
{
  struct timer *t = arg;

  (void)sim;
  caller_try (t->simulation, (uint32_t)t->id);
}

static void
schedule_caller_retry (struct simulation *s, uint32_t key)
{
  if (s->keys[key].tries < TRIES_MAX)
    bb_sim_schedule (s->sim, once_sim_random (s, 20, 2000), on_caller_retry,
                     once_sim_timer (s, NULL, key, 0));
}

/* The caller receives the reply P to one try.  */
static void
caller_receive (struct simulation *s, uint32_t key, uint32_t attempt,
                const struct packet *p)
{
  struct key_state *k = &s->keys[key];

  if (p->answered)
    {
      if (k->value != 0 && k->value != p->value)
        s->result.outcome_changed++;
      k->value = p->value;
      k->answered = true;
    }
  if (attempt != k->attempt)
    return;
  k->attempt = 0;
  k->last_not_run = !p->answered && p->run == BB_RUN_NOT_RUN
                    && p->reason != BB_REASON_IN_DOUBT
                    && p->reason != BB_REASON_OTHER_SETTINGS;
  if (k->last_not_run && !k->may_have_run && k->runs > 0)
    s->result.false_not_run++;
  if (!p->answered && !k->last_not_run)
    k->may_have_run = true;
  /* One in ten answered keys is repeated.  */
  if (!p->answered || once_sim_random (s, 0, 10) == 0)
    schedule_caller_retry (s, key);
}

static void
on_entry_reply (struct simulation *s, struct node *n, const struct packet *p)
{
  struct call_state c = *get_call (s, p->id);

  if (c.closed || c.entry_incarnation != n->incarnation)
    return;
  get_call (s, p->id)->closed = true;
  if (!p->answered && p->run == BB_RUN_NOT_RUN && c.sends < SENDS_MAX)
    entry_send (s, n, c.key, c.attempt, c.sends);
  else
    caller_receive (s, c.key, c.attempt, p);
}

/* Chooses the agent for a key after SENDS sends: the candidates in order,
   without those that are out of service or have not replied to hellos; a
   random candidate if none is left.  */
static uint32_t
choose_agent (struct simulation *s, struct node *n, uint32_t key,
              uint32_t sends)
{
  const struct revision *r = &s->revisions[n->revision];
  const char *names[AGENTS_MAX];
  uint32_t indexes[AGENTS_MAX];
  uint32_t c[BB_ONCE_CANDIDATES];
  uint32_t count = 0;
  uint32_t skip = sends;

  for (uint32_t i = 0; i < AGENTS_MAX; i++)
    if (r->member[i])
      {
        indexes[count] = i;
        names[count++] = s->nodes[i].name;
      }
  count = bb_once_candidates (names, count, bb_bytes_of ("customer-1"),
                              bb_bytes_of (s->keys[key].name),
                              s->o->candidates, c);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t a = indexes[c[i]];
      if (r->out[a]
          || now_of (s) - n->hello_reply_at[a] > (bb_ms)3 * HELLO_INTERVAL_MS)
        continue;
      if (skip-- == 0)
        return a;
    }
  return indexes[c[once_sim_random (s, 0, (int)count)]];
}

static void
entry_send (struct simulation *s, struct node *n, uint32_t key,
            uint32_t attempt, uint32_t sends)
{
  struct call_state c = { .key = key,
                          .entry = n->index,
                          .entry_incarnation = n->incarnation,
                          .sends = sends + 1,
                          .attempt = attempt };
  struct packet p = { .kind = KIND_CALL, .key = key };

  g_array_append_val (s->calls, c);
  p.id = s->calls->len;
  p.deadline = now_of (s) + CALL_DEADLINE_MS;
  send_packet (s, n->index, choose_agent (s, n, key, sends), &p);
}

static void
on_caller_timeout (struct bb_sim *sim, void *arg)
{
  struct timer *t = arg;
  struct key_state *k = &t->simulation->keys[t->id];

  (void)sim;
  if (k->attempt == t->value)
    {
      k->attempt = 0;
      k->may_have_run = true;
      k->last_not_run = false;
      schedule_caller_retry (t->simulation, (uint32_t)t->id);
    }
}

static void
caller_try (struct simulation *s, uint32_t key)
{
  static uint32_t attempts;
  struct key_state *k = &s->keys[key];
  struct node *n
      = &s->nodes[AGENTS_MAX
                  + (uint32_t)once_sim_random (s, 0, (int)s->o->entries)];

  k->tries++;
  k->attempt = ++attempts;
  bb_sim_schedule (s->sim, CALLER_TIMEOUT_MS, on_caller_timeout,
                   once_sim_timer (s, NULL, key, k->attempt));
  if (!n->down)
    entry_send (s, n, key, k->attempt, 0);
}

void
once_sim_on_first_try (struct bb_sim *sim, void *arg)
{
  struct timer *t = arg;
  struct key_state *k = &t->simulation->keys[t->id];

  k->created_at = bb_sim_now (sim);
  caller_try (t->simulation, (uint32_t)t->id);
}

/* Messages.  */

static void
on_call (struct simulation *s, struct node *n, const struct packet *p)
{
  struct call_state *c = get_call (s, p->id);
  const struct key_state *k = &s->keys[p->key];
  struct bb_once_call call = { .id = p->id,
                               .customer = bb_bytes_of ("customer-1"),
                               .key = bb_bytes_of (k->name),
                               .request_hash = p->key,
                               .deadline = p->deadline };

  /* Calls travel on a connection, which does not duplicate them as the
     simulated network does.  */
  if (c->delivered)
    return;
  c->delivered = true;
  if (s->o->key_timestamps)
    call.age_ms = now_of (s) - k->created_at + 1;
  bb_once_begin (n->once, &call, now_of (s));
}

static void
on_hello (struct simulation *s, struct node *n, uint32_t from,
          const struct packet *p)
{
  struct packet a = { .kind = KIND_HELLO_REPLY,
                      .id = p->id,
                      .incarnation = n->incarnation };

  bb_once_on_hello (n->once, s->nodes[from].name, p->incarnation);
  send_packet (s, n->index, from, &a);
}

static void
on_hello_reply (struct simulation *s, struct node *n, uint32_t from,
                const struct packet *p)
{
  if (p->id <= n->hello_reply_id[from])
    return;
  n->hello_reply_id[from] = p->id;
  n->known_incarnations[from] = p->incarnation;
  n->hello_reply_at[from] = now_of (s);
}

static void
on_frame (struct simulation *s, struct node *n, const char *data, size_t size)
{
  struct bb_message m;
  struct bb_decode_error e;
  bb_ms now = now_of (s);

  g_assert_true (bb_message_decode (data + BB_FRAME_HEADER_BYTES,
                                    size - BB_FRAME_HEADER_BYTES, &m, &e));
  switch (m.type)
    {
    case BB_MSG_ONCE_ASK:
      bb_once_on_ask (n->once, &m.u.once_ask, now);
      break;
    case BB_MSG_ONCE_SAY:
      bb_once_on_say (n->once, &m.u.once_say, now);
      break;
    case BB_MSG_ONCE_NOTE:
      bb_once_on_note (n->once, &m.u.once_note, now);
      break;
    case BB_MSG_ONCE_RELEASE:
      bb_once_on_release (n->once, &m.u.once_release);
      break;
    case BB_MSG_ONCE_SYNC:
      bb_once_on_sync (n->once, &m.u.once_sync, now);
      break;
    case BB_MSG_ONCE_SYNCED:
      bb_once_on_synced (n->once, &m.u.once_synced, now);
      break;
    default:
      break;
    }
  bb_message_free (&m);
}

void
once_sim_on_deliver (struct bb_sim *sim, uint32_t from, uint32_t to,
                     const void *data, size_t size, void *arg)
{
  struct simulation *s = arg;
  struct node *n = &s->nodes[to];
  struct packet p;

  (void)sim;
  if (n->down)
    return;
  memcpy (&p, data, sizeof p);
  switch (p.kind)
    {
    case KIND_CALL:
      on_call (s, n, &p);
      break;
    case KIND_REPLY:
      on_entry_reply (s, n, &p);
      break;
    case KIND_HELLO:
      on_hello (s, n, from, &p);
      break;
    case KIND_HELLO_REPLY:
      on_hello_reply (s, n, from, &p);
      break;
    default:
      on_frame (s, n, (const char *)data + sizeof p, size - sizeof p);
      break;
    }
}
