/* Callers, faults and message delivery of the model.  */

#include "internal.h"

#include <math.h>
#include <string.h>

bb_ms
model_now (const struct bb_model *m)
{
  return bb_sim_now (m->sim);
}

struct request *
model_request (struct bb_model *m, uint32_t number)
{
  return g_ptr_array_index (m->requests, number);
}

uint32_t
model_agent_node (const struct bb_model *m, uint32_t agent)
{
  return m->options.entries + agent;
}

void
model_send (struct bb_model *m, uint32_t from, uint32_t to,
            const struct message *msg)
{
  bb_sim_send (m->sim, from, to, msg, sizeof *msg);
}

static void
on_deliver (struct bb_sim *sim, uint32_t from, uint32_t to, const void *data,
            size_t size, void *arg)
{
  struct bb_model *m = arg;
  struct message msg;

  (void)sim;
  g_assert_cmpuint (size, ==, sizeof msg);
  memcpy (&msg, data, sizeof msg);
  if (to < m->options.entries)
    entry_receive (&m->entries[to], from - m->options.entries, &msg);
  else
    agent_receive (&m->agents[to - m->options.entries], from, &msg);
}

struct bb_model *
bb_model_new (const struct bb_model_options *o)
{
  struct bb_model *m = g_new0 (struct bb_model, 1);

  m->options = *o;
  m->workload_rand = g_rand_new_with_seed ((guint32)o->seed);
  m->sim = bb_sim_new (o->seed, o->entries + o->agents);
  bb_sim_set_net (m->sim, &o->net);
  bb_sim_on_deliver (m->sim, on_deliver, m);
  m->stats.answers
      = g_array_new (FALSE, FALSE, sizeof (struct bb_model_answer));
  m->requests = g_ptr_array_new_with_free_func (g_free);
  m->out_since_ms = g_new (bb_ms, o->domains);
  for (uint32_t i = 0; i < o->domains; i++)
    m->out_since_ms[i] = -1;
  for (uint32_t i = 0; i < BB_MODEL_CUSTOMERS_MAX; i++)
    m->rate_factor[i] = 1;
  m->entries = g_new0 (struct entry, o->entries);
  m->agents = g_new0 (struct agent, o->agents);
  for (uint32_t i = 0; i < o->agents; i++)
    agent_init (&m->agents[i], m, i);
  for (uint32_t i = 0; i < o->entries; i++)
    entry_init (&m->entries[i], m, i);
  return m;
}

void
bb_model_free (struct bb_model *m)
{
  for (uint32_t i = 0; i < m->options.agents; i++)
    agent_free (&m->agents[i]);
  for (uint32_t i = 0; i < m->options.entries; i++)
    entry_free (&m->entries[i]);
  bb_sim_free (m->sim);
  g_rand_free (m->workload_rand);
  g_array_free (m->stats.answers, TRUE);
  g_ptr_array_free (m->requests, TRUE);
  g_free (m->out_since_ms);
  g_free (m->entries);
  g_free (m->agents);
  g_free (m);
}

struct bb_sim *
bb_model_sim (struct bb_model *m)
{
  return m->sim;
}

const struct bb_model_stats *
bb_model_stats (const struct bb_model *m)
{
  return &m->stats;
}

/* Returns an exponentially distributed time, so that requests arrive as a
   Poisson process.  */
static double
exponential (struct bb_model *m, double mean)
{
  return -log (1.0 - g_rand_double (m->workload_rand)) * mean;
}

struct arrival
{
  struct bb_model *model;
  struct request *request;
};

static void
on_arrival (struct bb_sim *sim, void *arg)
{
  struct arrival *a = arg;

  (void)sim;
  entry_accept (&a->model->entries[a->request->entry_number], a->request);
  g_free (a);
}

static void
send_request (struct bb_model *m, uint32_t customer, bool poison)
{
  GRand *rand = m->workload_rand;
  struct request *q = g_new0 (struct request, 1);
  struct arrival *a = g_new0 (struct arrival, 1);

  q->number = m->requests->len;
  q->customer = customer;
  q->poison = poison;
  q->token_count = (uint32_t)g_rand_int_range (
      rand, 1, 2 * (gint32)m->options.mean_tokens);
  q->idempotent = (uint32_t)g_rand_int_range (rand, 0, 1000)
                  >= m->options.non_idempotent_permille;
  q->prefix = m->options.distinct_prefixes > 0
                  ? 1
                        + (uint64_t)g_rand_int_range (
                            rand, 0, (gint32)m->options.distinct_prefixes)
                  : (uint64_t)q->number + 1;
  q->entry_number
      = (uint32_t)g_rand_int_range (rand, 0, (gint32)m->options.entries);
  q->sent_ms = model_now (m);
  g_ptr_array_add (m->requests, q);
  m->stats.sent++;
  m->stats.customer_sent[customer]++;
  a->model = m;
  a->request = q;
  bb_sim_schedule_on_node (m->sim, q->entry_number, 0, on_arrival, a);
}

struct caller
{
  struct bb_model *model;
  uint32_t customer;
};

static void
on_caller_timer (struct bb_sim *sim, void *arg)
{
  struct caller *c = arg;
  struct bb_model *m = c->model;
  double rate = (double)m->options.rate_per_s * m->rate_factor[c->customer]
                / m->options.customers / 1000;

  if (model_now (m) >= m->send_until_ms)
    {
      g_free (c);
      return;
    }
  send_request (m, c->customer, false);
  bb_sim_schedule (sim, (bb_ms)(exponential (m, 1 / rate) + 0.5),
                   on_caller_timer, c);
}

void
bb_model_start_callers (struct bb_model *m, bb_ms until_ms)
{
  m->send_until_ms = until_ms;
  for (uint32_t i = 0; i < m->options.customers; i++)
    {
      struct caller *c = g_new0 (struct caller, 1);
      c->model = m;
      c->customer = i;
      bb_sim_schedule (m->sim, HEARTBEAT_MS + 10 + (bb_ms)i, on_caller_timer,
                       c);
    }
}

void
bb_model_set_rate_factor (struct bb_model *m, uint32_t customer,
                          uint32_t factor)
{
  m->rate_factor[customer] = factor;
}

void
bb_model_send_poison (struct bb_model *m)
{
  send_request (m, 0, true);
}

void
bb_model_kill_engine (struct bb_model *m, uint32_t agent, bb_ms down_ms)
{
  agent_kill_engine (&m->agents[agent], down_ms);
}

struct agent_loss
{
  struct entry *entry;
  uint32_t agent;
};

static void
on_agent_loss (struct bb_sim *sim, void *arg)
{
  struct agent_loss *l = arg;

  (void)sim;
  entry_agent_lost (l->entry, l->agent);
  g_free (l);
}

void
bb_model_kill_agent (struct bb_model *m, uint32_t agent, bb_ms down_ms)
{
  agent_kill (&m->agents[agent], down_ms);
  for (uint32_t i = 0; i < m->options.entries; i++)
    {
      struct agent_loss *l = g_new0 (struct agent_loss, 1);
      l->entry = &m->entries[i];
      l->agent = agent;
      bb_sim_schedule_on_node (m->sim, i, 1, on_agent_loss, l);
    }
}

void
bb_model_kill_domain (struct bb_model *m, uint32_t domain, bb_ms down_ms)
{
  for (uint32_t i = domain; i < m->options.agents; i += m->options.domains)
    {
      agent_kill (&m->agents[i], down_ms);
      agent_kill_engine (&m->agents[i], down_ms);
    }
}

/* A change of the state of a failure domain on its way to a node.  */
struct domain_update
{
  struct bb_model *model;
  uint32_t node;
  uint32_t domain;
};

static void
on_domain_update (struct bb_sim *sim, void *arg)
{
  struct domain_update *update = arg;
  struct bb_model *m = update->model;
  bool out = m->out_since_ms[update->domain] >= 0;

  (void)sim;
  if (update->node < m->options.entries)
    m->entries[update->node].domain_out[update->domain] = out;
  else if (m->agents[update->node - m->options.entries].domain
           == update->domain)
    m->agents[update->node - m->options.entries].draining = out;
  g_free (update);
}

void
bb_model_set_domain_out (struct bb_model *m, uint32_t domain, bool out)
{
  m->out_since_ms[domain] = out ? model_now (m) : -1;
  for (uint32_t i = 0; i < m->options.entries + m->options.agents; i++)
    {
      struct domain_update *update = g_new0 (struct domain_update, 1);
      bb_ms delay
          = g_rand_int_range (bb_sim_rand (m->sim), 0,
                              (gint32)m->options.settings_delay_max_ms + 1);
      update->model = m;
      update->node = i;
      update->domain = domain;
      bb_sim_schedule_on_node (m->sim, i, delay, on_domain_update, update);
    }
}

void
bb_model_pause_entry (struct bb_model *m, uint32_t entry, bb_ms duration_ms)
{
  bb_sim_pause (m->sim, entry, duration_ms);
}

void
bb_model_partition_domain (struct bb_model *m, uint32_t domain,
                           bool partitioned)
{
  for (uint32_t i = domain; i < m->options.agents; i += m->options.domains)
    bb_sim_set_partition (m->sim, model_agent_node (m, i),
                          partitioned ? 1 : 0);
}

void
bb_model_check_ended (const struct bb_model *m)
{
  for (guint i = 0; i < m->requests->len; i++)
    {
      const struct request *q = g_ptr_array_index (m->requests, i);
      g_assert_true (q->ended);
      g_assert_true (q->idempotent || q->runs <= 1);
    }
  g_assert_cmpuint (m->stats.sent, ==, m->stats.completed + m->stats.refused);
}
