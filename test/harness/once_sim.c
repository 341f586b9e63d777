#include "once_sim.h"

#include "bilberry/wire.h"

#include <stdio.h>
#include <string.h>

enum
{
  AGENTS_MAX = 6,
  ENTRIES_MAX = 4,
  NODES_MAX = AGENTS_MAX + ENTRIES_MAX,
  TRIES_MAX = 5, /* tries of a caller for one key */
  SENDS_MAX = 3, /* sends of an entry for one try */
  HELLO_INTERVAL_MS = 200,
  CALL_DEADLINE_MS = 1500,
  CALLER_TIMEOUT_MS = 2000, /* time limit of one try */
  FIRST_KEY_MS = 2000,
  RETENTION_MS = 600000,
  REVISIONS_MAX = 64
};

enum packet_kind
{
  KIND_CALL,
  KIND_REPLY,
  KIND_HELLO,
  KIND_HELLO_REPLY,
  KIND_FRAME
};

struct packet
{
  uint32_t kind;
  uint64_t id; /* id of the call or the hello */
  uint32_t key;
  bb_ms deadline;
  uint64_t incarnation; /* in a hello: of the receiver, as the sender last saw
                           it, or 0; in a hello reply: of the sender */
  bool answered;
  uint8_t run;
  uint8_t reason;
  uint32_t value;
};

/* One revision of the settings.  */
struct revision
{
  bool member[AGENTS_MAX]; /* is a configured replica */
  bool out[AGENTS_MAX];    /* is marked out of service */
};

struct simulation;

struct node
{
  struct simulation *simulation;
  uint32_t index;
  uint64_t incarnation;
  uint32_t revision;
  bool down;
  uint64_t known_incarnations[AGENTS_MAX]; /* incarnation in the newest hello
                                              reply of each agent; 0: none */
  uint64_t hello_id;                       /* id of the last hello sent */
  uint64_t hello_reply_id[AGENTS_MAX];     /* id of the newest hello that each
                                              agent replied to */
  bb_ms hello_reply_at[AGENTS_MAX];
  char name[32];
  struct bb_once *once; /* NULL for an entry */
};

/* One send of a request from an entry to an agent.  */
struct call_state
{
  uint32_t key;
  uint32_t entry;
  uint64_t entry_incarnation;
  uint32_t sends;
  uint64_t first; /* not used */
  uint32_t attempt;
  bool closed;    /* the entry has a reply */
  bool delivered; /* the call has reached an agent */
  bool ran;
  bool refused_not_run;
};

struct key_state
{
  char name[40];
  bb_ms created_at;
  uint32_t tries;
  uint32_t runs;
  uint32_t value;   /* value of the last answer; 0: no answer */
  uint32_t attempt; /* number of the try in progress; 0: none */
  bool answered;
  bool may_have_run; /* a try may have run */
  bool last_not_run;
};

struct simulation
{
  const struct once_sim_options *o;
  struct bb_sim *sim;
  struct node nodes[NODES_MAX];
  struct revision revisions[REVISIONS_MAX];
  uint32_t revisions_count;
  GPtrArray *timers;
  GArray *calls; /* struct call_state; ids start at 1 */
  struct key_state *keys;
  uint32_t values; /* last value that an upstream answered */
  bb_ms end;       /* time from which there are no new keys or faults */
  struct once_sim_result result;
};

/* Argument of a timer callback of a node or a key.  */
struct timer
{
  struct simulation *simulation;
  struct node *n;       /* NULL for a key */
  uint64_t id;          /* call, key or revision that the event is about */
  uint64_t value;       /* value of an answer or number of a try */
  uint64_t incarnation; /* incarnation of the node when the timer was set; the
                           callback does nothing if the node has another one by
                           then */
};

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

/* Returns a random number from FROM up to, but not including, TO.  */
static int
random_between (struct simulation *s, int from, int to)
{
  return g_rand_int_range (bb_sim_rand (s->sim), from, to);
}

static struct timer *
timer_new (struct simulation *s, struct node *n, uint64_t id, uint64_t value)
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
  int draw = random_between (s, 0, 100);

  if (faulty && draw < 7)
    {
      bb_sim_schedule_on_node (s->sim, n->index, random_between (s, 1, 20),
                               on_upstream_refused, timer_new (s, n, call, 0));
      return;
    }
  c->ran = true;
  s->keys[c->key].runs++;
  if (c->refused_not_run)
    s->result.false_not_run++;
  bb_sim_schedule_on_node (
      s->sim, n->index, random_between (s, 5, 200), on_upstream_end,
      timer_new (s, n, call, faulty && draw > 92 ? 0 : ++s->values));
}

static const struct bb_once_ops agent_ops = { .send = agent_send,
                                              .run = agent_run,
                                              .answer = agent_answer,
                                              .refuse = agent_refuse };

static void
agent_set_members (struct node *n)
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

/* Starts the process of a node with a new incarnation.  */
static void
node_start (struct node *n)
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
                           timer_new (s, n, 0, 0));
  if (n->index >= AGENTS_MAX)
    return;
  if (n->once)
    {
      s->result.conflicts += bb_once_stats (n->once).conflicts;
      bb_once_free (n->once);
    }
  n->once = bb_once_new (n->name, n->incarnation, &agent_ops, n, now_of (s));
  bb_once_set_limits (n->once, &limits);
  agent_set_members (n);
  bb_sim_schedule_on_node (s->sim, n->index, 0, on_tick,
                           timer_new (s, n, 0, 0));
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
    bb_sim_schedule (s->sim, random_between (s, 20, 2000), on_caller_retry,
                     timer_new (s, NULL, key, 0));
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
  if (!p->answered || random_between (s, 0, 10) == 0)
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
  return indexes[c[random_between (s, 0, (int)count)]];
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
                  + (uint32_t)random_between (s, 0, (int)s->o->entries)];

  k->tries++;
  k->attempt = ++attempts;
  bb_sim_schedule (s->sim, CALLER_TIMEOUT_MS, on_caller_timeout,
                   timer_new (s, NULL, key, k->attempt));
  if (!n->down)
    entry_send (s, n, key, k->attempt, 0);
}

static void
on_first_try (struct bb_sim *sim, void *arg)
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

static void
on_deliver (struct bb_sim *sim, uint32_t from, uint32_t to, const void *data,
            size_t size, void *arg)
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

/* Faults.  */

static void
on_restart_time (struct bb_sim *sim, void *arg)
{
  struct timer *t = arg;

  (void)sim;
  if (t->n->down && t->incarnation == t->n->incarnation)
    node_start (t->n);
}

static void
kill_node (struct node *n, bb_ms down_ms)
{
  struct simulation *s = n->simulation;

  if (n->down)
    return;
  bb_sim_crash (s->sim, n->index);
  n->down = true;
  n->incarnation++;
  bb_sim_schedule (s->sim, down_ms, on_restart_time, timer_new (s, n, 0, 0));
}

static void
on_heal (struct bb_sim *sim, void *arg)
{
  (void)arg;
  for (uint32_t i = 0; i < NODES_MAX; i++)
    bb_sim_set_partition (sim, i, 0);
}

static void
partition (struct simulation *s)
{
  for (uint32_t i = 0; i < NODES_MAX; i++)
    bb_sim_set_partition (s->sim, i, (uint32_t)random_between (s, 0, 2));
  bb_sim_schedule (s->sim, random_between (s, 500, 8000), on_heal, NULL);
}

static void
on_revision (struct bb_sim *sim, void *arg)
{
  struct timer *t = arg;

  (void)sim;
  if (t->incarnation == t->n->incarnation && t->n->revision < t->id)
    {
      t->n->revision = (uint32_t)t->id;
      if (t->n->once)
        agent_set_members (t->n);
    }
}

/* Makes R the newest revision.  Each node takes it over after a random delay,
   three of four within 0.5 s and the others within 5 s.  */
static void
publish_revision (struct simulation *s, const struct revision *r)
{
  uint32_t number = s->revisions_count;

  if (number == REVISIONS_MAX)
    return;
  s->revisions[s->revisions_count++] = *r;
  for (uint32_t i = 0; i < AGENTS_MAX + s->o->entries; i++)
    bb_sim_schedule_on_node (
        s->sim, i,
        random_between (s, 0, random_between (s, 0, 4) ? 500 : 5000),
        on_revision, timer_new (s, &s->nodes[i], number, 0));
}

static void
change_members (struct simulation *s)
{
  struct revision r = s->revisions[s->revisions_count - 1];
  uint32_t i = (uint32_t)random_between (s, 0, AGENTS_MAX);
  uint32_t count = 0;

  for (uint32_t j = 0; j < AGENTS_MAX; j++)
    count += r.member[j];
  if (r.member[i] && count <= 2)
    return;
  r.member[i] = !r.member[i];
  publish_revision (s, &r);
}

static void
change_out (struct simulation *s)
{
  struct revision r = s->revisions[s->revisions_count - 1];
  uint32_t i = (uint32_t)random_between (s, 0, AGENTS_MAX);

  r.out[i] = !r.out[i];
  publish_revision (s, &r);
}

static struct node *
pick_agent (struct simulation *s)
{
  const struct revision *r = &s->revisions[s->revisions_count - 1];
  uint32_t i;

  do
    i = (uint32_t)random_between (s, 0, AGENTS_MAX);
  while (!r->member[i]);
  return &s->nodes[i];
}

static void
inject_fault (struct simulation *s, uint32_t fault)
{
  switch (fault)
    {
    case ONCE_FAULT_KILL:
      kill_node (pick_agent (s), 50);
      break;
    case ONCE_FAULT_REPLACE:
      kill_node (pick_agent (s), random_between (s, 500, 6000));
      break;
    case ONCE_FAULT_PARTITION:
      partition (s);
      break;
    case ONCE_FAULT_PAUSE:
      bb_sim_pause (
          s->sim,
          (uint32_t)random_between (s, 0, (int)(AGENTS_MAX + s->o->entries)),
          random_between (s, 500, 12000));
      break;
    case ONCE_FAULT_MEMBERS:
      change_members (s);
      break;
    case ONCE_FAULT_OUT:
      change_out (s);
      break;
    case ONCE_FAULT_KILL_ALL:
      for (uint32_t i = 0; i < AGENTS_MAX; i++)
        kill_node (&s->nodes[i], random_between (s, 10, 1000));
      break;
    case ONCE_FAULT_ENTRY:
      /* The first entry never dies, so one process always keeps the
         incarnations of the agents that it knows.  */
      kill_node (
          &s->nodes[AGENTS_MAX
                    + (uint32_t)random_between (s, 1, (int)s->o->entries)],
          200);
      break;
    default:
      break;
    }
}

static void
on_fault_timer (struct bb_sim *sim, void *arg)
{
  struct simulation *s = arg;
  uint32_t fault = 1U << random_between (s, 0, 10);

  if (bb_sim_now (sim) > s->end)
    return;
  if (s->o->faults & fault)
    {
      inject_fault (s, fault);
      bb_sim_schedule (
          sim, random_between (s, 1, (int)(2 * s->o->fault_interval_ms)),
          on_fault_timer, s);
    }
  else
    bb_sim_schedule (sim, 1, on_fault_timer, s);
}

static void
set_up (struct simulation *s)
{
  const struct once_sim_options *o = s->o;
  struct bb_sim_net net = { .delay_min_ms = 1, .delay_max_ms = 5 };

  if (o->faults & ONCE_FAULT_NETWORK)
    {
      net.delay_max_ms = 300;
      net.loss_permille = 50;
      net.duplicate_permille = 100;
    }
  bb_sim_set_net (s->sim, &net);
  bb_sim_on_deliver (s->sim, on_deliver, s);
  s->revisions_count = 1;
  for (uint32_t i = 0; i < o->replicas; i++)
    s->revisions[0].member[i] = true;
  for (uint32_t i = 0; i < AGENTS_MAX + o->entries; i++)
    {
      struct node *n = &s->nodes[i];
      n->simulation = s;
      n->index = i;
      snprintf (n->name, sizeof n->name, "%s-%u",
                i < AGENTS_MAX ? "order" : "entry", i);
    }
  for (uint32_t i = 0; i < AGENTS_MAX + o->entries; i++)
    node_start (&s->nodes[i]);
  for (uint32_t i = 0; i < o->keys; i++)
    {
      bb_ms at
          = FIRST_KEY_MS + random_between (s, 0, (int)(s->end - FIRST_KEY_MS));
      snprintf (s->keys[i].name, sizeof s->keys[i].name, "key-%u", i);
      bb_sim_schedule (s->sim, at, on_first_try, timer_new (s, NULL, i, 0));
    }
  if (o->faults & ~(uint32_t)ONCE_FAULT_NETWORK)
    bb_sim_schedule (s->sim, FIRST_KEY_MS, on_fault_timer, s);
}

static void
collect_result (struct simulation *s)
{
  struct once_sim_result *r = &s->result;

  r->keys = s->o->keys;
  for (uint32_t i = 0; i < s->o->keys; i++)
    {
      const struct key_state *k = &s->keys[i];
      r->ran += k->runs > 0;
      r->ran_twice += k->runs > 1;
      if (k->answered)
        r->answered++;
      else if (k->last_not_run && !k->may_have_run)
        r->refused++;
      else
        r->in_doubt++;
    }
  r->messages = bb_sim_counts (s->sim).sent;
  for (uint32_t i = 0; i < AGENTS_MAX; i++)
    {
      r->conflicts += bb_once_stats (s->nodes[i].once).conflicts;
      bb_once_free (s->nodes[i].once);
    }
}

struct once_sim_result
once_sim_run (const struct once_sim_options *o)
{
  enum
  {
    KEY_INTERVAL_MS = 100,
    SETTLE_MS = 60000
  };
  struct simulation *s = g_new0 (struct simulation, 1);
  struct once_sim_result result;

  s->o = o;
  s->sim = bb_sim_new (o->seed, NODES_MAX);
  s->timers = g_ptr_array_new_with_free_func (g_free);
  s->calls = g_array_new (FALSE, TRUE, sizeof (struct call_state));
  s->keys = g_new0 (struct key_state, o->keys);
  s->end = FIRST_KEY_MS + (bb_ms)o->keys * KEY_INTERVAL_MS;
  set_up (s);
  bb_sim_run (s->sim, s->end + SETTLE_MS);
  collect_result (s);
  result = s->result;
  bb_sim_free (s->sim);
  g_ptr_array_free (s->timers, TRUE);
  g_array_free (s->calls, TRUE);
  g_free (s->keys);
  g_free (s);
  return result;
}
