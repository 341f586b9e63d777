#include "member_run.h"

#include <string.h>

enum
{
  SERVICE_DELAY_MIN_MS = 2,
  SERVICE_DELAY_SPAN_MS = 10,
  RETRY_MS = 1000,
  CHANGED_BYTES = 96
};

static struct run_node *
node_of (struct member_run *r, uint32_t i)
{
  return &r->nodes[i];
}

static void
on_send (void *user, uint32_t to, const void *data, size_t size)
{
  struct run_node *n = user;

  if (n->run->options.naive)
    return;
  g_assert_cmpuint (to, !=, BB_MEMBER_NONE);
  bb_sim_send (n->run->sim, n->index, to, data, size);
}

static bb_ms *
first_accepted_at (struct member_run *r, uint64_t revision)
{
  return &g_array_index (r->first_accepted_ms, bb_ms, revision - 1);
}

/* Accepts B unless its revision is marked as invalid.  Asserts that its
   content is as published and that its revision is above the active one.  */
static bool
on_accept (void *user, const struct bb_config_blob *b)
{
  struct run_node *n = user;
  struct member_run *r = n->run;
  bb_ms now = bb_sim_now (r->sim);
  GBytes *expected = g_ptr_array_index (r->published, b->revision - 1);
  bb_ms *first_ms = first_accepted_at (r, b->revision);
  uint32_t elapsed_ms;

  g_assert_cmpmem (b->data, b->size, g_bytes_get_data (expected, NULL),
                   g_bytes_get_size (expected));
  if (r->invalid_revisions_mask >> (b->revision - 1) & 1)
    return false;
  g_assert_cmpuint (b->revision, >, n->active_revision);
  n->active_revision = b->revision;
  if (*first_ms < 0)
    *first_ms = now;
  elapsed_ms = (uint32_t)(now - *first_ms);
  if (b->revision == r->published->len && n->up_since_ms < *first_ms)
    g_array_append_val (r->activation_ms, elapsed_ms);
  return true;
}

static const struct bb_member_ops member_ops
    = { .send = on_send, .accept = on_accept };

static void
on_deliver (struct bb_sim *sim, uint32_t from, uint32_t to, const void *data,
            size_t size, void *arg)
{
  struct run_node *n = node_of (arg, to);

  (void)from;
  if (n->members)
    bb_members_receive (n->members, bb_sim_now (sim), data, size);
}

/* An answer of the configuration service that is in transit to a member.  */
struct service_reply
{
  struct run_node *node;
  uint64_t generation;
  uint64_t revision; /* 0: the call failed */
};

static void
on_reply (struct bb_sim *sim, void *arg)
{
  struct service_reply *p = arg;
  struct run_node *n = p->node;
  struct member_run *r = n->run;
  GBytes *bytes;
  enum bb_member_refusal result = BB_MEMBER_EARLY;

  if (n->members && n->generation == p->generation)
    {
      n->call_pending = false;
      if (p->revision > 0)
        {
          bytes = g_ptr_array_index (r->published, p->revision - 1);
          result = bb_members_offer_config (
              n->members, bb_sim_now (sim), p->revision,
              g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
        }
      if (result != BB_MEMBER_OK)
        n->next_call_ms = bb_sim_now (sim) + RETRY_MS
                          + g_rand_int_range (n->rand, 0, RETRY_MS);
    }
}

static void
count_calls (struct member_run *r, uint32_t calls)
{
  r->service_calls += calls;
  r->service_calls_this_second += calls;
  r->service_calls_peak
      = MAX (r->service_calls_peak, r->service_calls_this_second);
}

static void
send_reply (struct member_run *r, struct run_node *n, uint64_t revision)
{
  struct service_reply *p = g_new0 (struct service_reply, 1);

  g_ptr_array_add (r->event_args, p);
  p->node = n;
  p->generation = n->generation;
  p->revision = revision;
  n->watching = false;
  bb_sim_schedule (r->sim,
                   SERVICE_DELAY_MIN_MS
                       + g_rand_int_range (n->rand, 0, SERVICE_DELAY_SPAN_MS),
                   on_reply, p);
}

/* Answers a watch.  Counts two more calls to the service: the list and the
   read that follow a watch.  */
static void
answer_watch (struct member_run *r, struct run_node *n)
{
  uint64_t revision = r->published->len;

  if (r->service_stale && revision > 1)
    revision
        -= (uint64_t)g_rand_int_range (n->rand, 0, (gint32)MIN (revision, 4));
  count_calls (r, 2);
  send_reply (r, n, revision);
}

static void
call_service (struct member_run *r, struct run_node *n)
{
  if (n->call_pending || bb_sim_now (r->sim) < n->next_call_ms)
    return;
  count_calls (r, 1);
  n->call_pending = true;
  if (r->service_down)
    send_reply (r, n, 0);
  else if (n->active_revision < r->published->len)
    answer_watch (r, n);
  else
    n->watching = true;
}

static void
on_tick (struct bb_sim *sim, void *arg)
{
  struct run_node *n = arg;
  struct member_run *r = n->run;
  bb_ms now = bb_sim_now (sim);

  if (!n->members)
    return;
  if (!r->options.naive)
    bb_members_tick (n->members, now);
  if (r->options.naive || bb_members_should_query_service (n->members, now))
    call_service (r, n);
  bb_sim_schedule_on_node (sim, n->index, BB_MEMBER_TICK_MS, on_tick, n);
}

static void
on_second (struct bb_sim *sim, void *arg)
{
  struct member_run *r = arg;

  r->service_calls_this_second = 0;
  bb_sim_schedule (sim, 1000, on_second, r);
}

void
member_run_start (struct member_run *r, uint32_t i)
{
  struct run_node *n = node_of (r, i);
  struct bb_member_options o = { .self_id = r->directory.peers[i].id,
                                 .directory = &r->directory,
                                 .keys = r->keys,
                                 .rand = n->rand,
                                 .ops = &member_ops,
                                 .user = n };

  g_assert_null (n->members);
  o.incarnation
      = (uint64_t)g_rand_int (n->rand) << 32 | g_rand_int (n->rand) | 1;
  n->members = bb_members_new (&o);
  n->active_revision = 0;
  n->generation++;
  n->up_since_ms = bb_sim_now (r->sim);
  n->paused_until_ms = 0;
  n->call_pending = false;
  n->watching = false;
  n->next_call_ms = 0;
  bb_sim_schedule_on_node (
      r->sim, i, g_rand_int_range (n->rand, 1, BB_MEMBER_TICK_MS), on_tick, n);
}

static void
add_stats (struct bb_member_stats *sum, const struct bb_member_stats *s)
{
  sum->sent += s->sent;
  sum->sent_bytes += s->sent_bytes;
  sum->received += s->received;
  sum->received_bytes += s->received_bytes;
  sum->suspected += s->suspected;
  sum->declared_dead += s->declared_dead;
  sum->pauses += s->pauses;
  sum->fetches += s->fetches;
  for (uint32_t k = 0; k < BB_MEMBER_REFUSALS; k++)
    sum->refused[k] += s->refused[k];
}

void
member_run_stop (struct member_run *r, uint32_t i)
{
  struct run_node *n = node_of (r, i);

  if (!n->members)
    return;
  bb_sim_crash (r->sim, i);
  add_stats (&r->stopped_stats, bb_members_stats (n->members));
  bb_members_free (n->members);
  n->members = NULL;
}

void
member_run_pause (struct member_run *r, uint32_t i, bb_ms ms)
{
  struct run_node *n = node_of (r, i);

  bb_sim_pause (r->sim, i, ms);
  n->paused_until_ms = bb_sim_now (r->sim) + ms;
}

void
member_run_partition (struct member_run *r, uint32_t domains)
{
  for (uint32_t i = 0; i < r->options.members; i++)
    {
      uint32_t side = r->directory.peers[i].failure_domain < domains;
      r->nodes[i].side = side;
      bb_sim_set_partition (r->sim, i, side);
    }
  r->partition_changed_ms = bb_sim_now (r->sim);
}

static void
make_directory (struct member_run *r)
{
  char name[32];

  r->directory.count = r->options.members;
  r->directory.peers = g_new0 (struct bb_peer, r->options.members);
  for (uint32_t i = 0; i < r->options.members; i++)
    {
      g_snprintf (name, sizeof name, "member-%u", i);
      r->directory.peers[i].id = bb_peer_id (BB_ROLE_AGENT, name);
      r->directory.peers[i].failure_domain = i % r->options.domains;
    }
  bb_directory_sort (&r->directory);
}

struct member_run *
member_run_new (const struct member_run_options *o)
{
  struct member_run *r = g_new0 (struct member_run, 1);

  r->options = *o;
  r->sim = bb_sim_new (o->seed, o->members);
  bb_sim_set_net (r->sim, &o->net);
  bb_sim_on_deliver (r->sim, on_deliver, r);
  r->keys.count = 1;
  memset (r->keys.keys[0].secret, 7, BB_PEER_KEY_BYTES);
  r->event_args = g_ptr_array_new_with_free_func (g_free);
  r->published
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  r->first_accepted_ms = g_array_new (FALSE, FALSE, sizeof (bb_ms));
  r->activation_ms = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  make_directory (r);
  r->nodes = g_new0 (struct run_node, o->members);
  for (uint32_t i = 0; i < o->members; i++)
    {
      r->nodes[i].run = r;
      r->nodes[i].index = i;
      r->nodes[i].rand
          = g_rand_new_with_seed (g_rand_int (bb_sim_rand (r->sim)));
    }
  bb_sim_schedule (r->sim, 1000, on_second, r);
  return r;
}

void
member_run_free (struct member_run *r)
{
  for (uint32_t i = 0; i < r->options.members; i++)
    {
      if (r->nodes[i].members)
        bb_members_free (r->nodes[i].members);
      g_rand_free (r->nodes[i].rand);
    }
  bb_sim_free (r->sim);
  g_ptr_array_free (r->event_args, TRUE);
  g_ptr_array_free (r->published, TRUE);
  g_array_free (r->first_accepted_ms, TRUE);
  g_array_free (r->activation_ms, TRUE);
  g_free (r->directory.peers);
  g_free (r->nodes);
  g_free (r);
}

void
member_run_advance (struct member_run *r, bb_ms ms)
{
  bb_sim_run (r->sim, bb_sim_now (r->sim) + ms);
}

/* Returns whether N must have activated a revision that was first activated at
   SINCE: it is on side 0 and was up and not paused for ACTIVATION_MAX_MS
   before SINCE.  */
static bool
must_be_current (const struct run_node *n, bb_ms since)
{
  return n->members && n->up_since_ms + ACTIVATION_MAX_MS <= since
         && n->paused_until_ms + ACTIVATION_MAX_MS <= since && n->side == 0;
}

struct check
{
  struct member_run *run;
  uint64_t revision;
};

static void
check_activation (struct bb_sim *sim, void *arg)
{
  struct check *c = arg;
  struct member_run *r = c->run;
  bb_ms first_ms = *first_accepted_at (r, c->revision);
  bb_ms now = bb_sim_now (sim);

  if (first_ms < 0 || now < first_ms + ACTIVATION_MAX_MS)
    {
      bb_sim_schedule (sim, 100, check_activation, c);
      return;
    }
  for (uint32_t i = 0; i < r->options.members; i++)
    if (must_be_current (&r->nodes[i], first_ms)
        && r->nodes[i].active_revision < c->revision)
      r->late_count++;
  if (r->assert_deadline
      && r->partition_changed_ms + ACTIVATION_MAX_MS <= first_ms)
    g_assert_cmpuint (r->late_count, ==, 0);
}

static GBytes *
next_content (struct member_run *r)
{
  GRand *rand = bb_sim_rand (r->sim);
  uint32_t size = r->options.config_bytes;
  char *text = g_malloc (size);
  uint32_t at;
  GBytes *last;

  if (r->published->len == 0)
    {
      for (uint32_t i = 0; i < size; i++)
        text[i] = (char)g_rand_int_range (rand, ' ', '~');
      return g_bytes_new_take (text, size);
    }
  last = g_ptr_array_index (r->published, r->published->len - 1);
  memcpy (text, g_bytes_get_data (last, NULL), size);
  at = (uint32_t)g_rand_int_range (rand, 0, (gint32)(size - CHANGED_BYTES));
  for (uint32_t i = 0; i < CHANGED_BYTES; i++)
    text[at + i] = (char)g_rand_int_range (rand, ' ', '~');
  return g_bytes_new_take (text, size);
}

uint64_t
member_run_publish (struct member_run *r)
{
  struct check *c = g_new0 (struct check, 1);
  bb_ms never = -1;

  g_ptr_array_add (r->published, next_content (r));
  g_array_append_val (r->first_accepted_ms, never);
  g_array_set_size (r->activation_ms, 0);
  c->run = r;
  c->revision = r->published->len;
  if (r->invalid_revisions_mask >> (c->revision - 1) & 1)
    g_free (c);
  else
    {
      g_ptr_array_add (r->event_args, c);
      bb_sim_schedule (r->sim, ACTIVATION_MAX_MS, check_activation, c);
    }
  if (!r->service_down)
    for (uint32_t i = 0; i < r->options.members; i++)
      if (r->nodes[i].members && r->nodes[i].watching)
        answer_watch (r, &r->nodes[i]);
  return r->published->len;
}

bool
member_run_all_on_revision (const struct member_run *r, uint64_t revision)
{
  for (uint32_t i = 0; i < r->options.members; i++)
    if (r->nodes[i].members && r->nodes[i].active_revision != revision)
      return false;
  return true;
}

/* Returns whether the status that member I believes of member K is correct.
   Without CHECK_DOWN any status of a member that is down is correct.  */
static bool
is_correct (const struct member_run *r, uint32_t i, uint32_t k,
            bool check_down)
{
  enum bb_member_status s = bb_members_status (r->nodes[i].members, k);
  bool live = s == BB_MEMBER_STATUS_ALIVE || s == BB_MEMBER_STATUS_SUSPECT;

  return r->nodes[k].members ? live : !check_down || !live;
}

bool
member_run_all_agree (const struct member_run *r, bool check_down)
{
  for (uint32_t i = 0; i < r->options.members; i++)
    for (uint32_t k = 0; r->nodes[i].members && k < r->options.members; k++)
      if (!is_correct (r, i, k, check_down))
        return false;
  return true;
}

double
member_run_agreement (const struct member_run *r)
{
  uint64_t correct = 0;
  uint64_t pairs = 0;

  for (uint32_t i = 0; i < r->options.members; i++)
    for (uint32_t k = 0; r->nodes[i].members && k < r->options.members; k++)
      {
        correct += is_correct (r, i, k, true);
        pairs++;
      }
  return pairs ? (double)correct / (double)pairs : 1;
}

struct bb_member_stats
member_run_stats (const struct member_run *r)
{
  struct bb_member_stats sum = r->stopped_stats;

  for (uint32_t i = 0; i < r->options.members; i++)
    if (r->nodes[i].members)
      add_stats (&sum, bb_members_stats (r->nodes[i].members));
  return sum;
}
