/* The entry of the model.  It calls libroute as cmd/entry does, with simulated
   messages in place of connections.  */

#include "internal.h"

#include <string.h>

static bb_ms
entry_now (const struct entry *e)
{
  return model_now (e->model);
}

static bool
was_tried (const struct request *q, uint32_t agent)
{
  for (uint32_t i = 0; i < q->tried_count; i++)
    if (q->tried[i] == agent)
      return true;
  return false;
}

static bool
domain_was_tried (const struct entry *e, const struct request *q,
                  uint32_t domain)
{
  for (uint32_t i = 0; i < q->tried_count; i++)
    if (e->model->agents[q->tried[i]].domain == domain)
      return true;
  return false;
}

static void
end_request (struct entry *e, struct request *q)
{
  struct request *last;

  g_assert_false (q->ended);
  q->ended = true;
  e->customer_in_flight[q->customer]--;
  last = g_ptr_array_index (e->open_requests, e->open_requests->len - 1);
  last->open_index = q->open_index;
  g_ptr_array_remove_index_fast (e->open_requests, q->open_index);
}

/* Ends the attempt *ID at AGENT, if it is not 0, and sets *ID to 0.  CANCEL
   tells the agent, which has not ended the attempt itself.  */
static void
end_attempt (struct entry *e, uint64_t *id, uint32_t agent, bool cancel)
{
  struct message msg = { .kind = KIND_CANCEL, .attempt_id = *id };

  if (*id == 0)
    return;
  e->links[agent].in_flight--;
  if (cancel)
    model_send (e->model, e->number, model_agent_node (e->model, agent), &msg);
  *id = 0;
}

static void
refuse (struct entry *e, struct request *q, const struct bb_request_result *v)
{
  struct bb_model_stats *s = &e->model->stats;

  if (v->run == BB_RUN_NOT_RUN)
    {
      g_assert_cmpuint (q->runs, ==, 0);
      s->refused_not_run++;
    }
  s->refused++;
  s->refused_by_reason[v->reason]++;
  end_attempt (e, &q->attempt_id, q->agent, true);
  end_attempt (e, &q->hedge_id, q->hedge_agent, true);
  end_request (e, q);
}

/* Asks all agents for a report.  None counts as usable until it reports:
   messages that waited during the pause may be out of date.  */
static void
probe_agents (struct entry *e)
{
  for (uint32_t i = 0; i < e->model->options.agents; i++)
    {
      struct message msg
          = { .kind = KIND_PROBE, .nonce = ++e->model->last_id };
      e->links[i].reported_since_pause = false;
      e->links[i].probe_nonce = msg.nonce;
      e->links[i].last_report_ms = entry_now (e);
      model_send (e->model, e->number, model_agent_node (e->model, i), &msg);
    }
}

/* After a pause of this process, reads the settings anew and probes all
   agents.  */
static void
check_pause (struct entry *e)
{
  struct bb_model *m = e->model;

  if (!bb_pause_check (&e->pause, entry_now (e)))
    return;
  e->pause_end_ms = entry_now (e);
  for (uint32_t i = 0; i < m->options.domains; i++)
    e->domain_out[i] = m->out_since_ms[i] >= 0;
  probe_agents (e);
}

static bool
is_usable (const struct entry *e, uint32_t agent)
{
  const struct link *l = &e->links[agent];

  if (l->incarnation == 0 || !l->reported_since_pause || l->load.draining
      || e->domain_out[e->model->agents[agent].domain]
      || entry_now (e) - l->last_report_ms >= REPORT_STALE_MS)
    return false;
  return !e->model->options.policy->outlier_ejection
         || bb_health_usable (&l->health, entry_now (e));
}

static uint32_t
choose_agent (struct entry *e, const struct request *q)
{
  struct bb_prefix prefix = { .hashes = { q->prefix }, .count = 1 };
  uint64_t best_score = 0;
  uint32_t holder = BB_ROUTE_NONE;
  const struct bb_model *m = e->model;
  struct bb_candidate c[128];
  uint32_t agents[128];
  uint32_t count = 0;
  uint32_t i;

  for (i = 0; i < m->options.agents && count < G_N_ELEMENTS (c); i++)
    {
      const struct link *l = &e->links[i];
      uint32_t domain = m->agents[i].domain;
      if (!is_usable (e, i))
        continue;
      c[count] = (struct bb_candidate){
        .own_in_flight = l->in_flight,
        .other_requests = l->other_requests,
        .report_age_ms = entry_now (e) - l->last_report_ms,
        .limit = l->load.limit,
        .ramp_percent = bb_health_ramp_percent (&l->health, entry_now (e)),
        .same_domain = domain == e->number % m->options.domains,
        .tried = was_tried (q, i),
        .domain_tried = domain_was_tried (e, q, domain)
      };
      if (m->options.policy->prefix_affinity
          && bb_prefix_score (&prefix, i) > best_score)
        {
          best_score = bb_prefix_score (&prefix, i);
          holder = count;
        }
      agents[count++] = i;
    }
  if (holder != BB_ROUTE_NONE)
    c[holder].holds_prefix = true;
  i = m->options.policy->choose (c, count, &e->policy_state,
                                 bb_sim_rand (m->sim));
  return i == BB_ROUTE_NONE ? BB_ROUTE_NONE : agents[i];
}

static void
assert_may_send (const struct entry *e, const struct request *q,
                 uint32_t agent)
{
  const struct bb_model *m = e->model;
  bb_ms out = m->out_since_ms[m->agents[agent].domain];

  g_assert_true (out < 0 || entry_now (e) - out <= DOMAIN_OUT_DELAY_MAX_MS);
  g_assert_cmpint (entry_now (e), <=, q->deadline_ms);
}

static void
send_call (struct entry *e, const struct request *q, uint64_t id,
           uint32_t agent)
{
  struct message msg = { .kind = KIND_CALL,
                         .attempt_id = id,
                         .request = q->number,
                         .token_index = q->tokens_sent,
                         .incarnation = e->links[agent].incarnation };

  assert_may_send (e, q, agent);
  e->links[agent].in_flight++;
  bb_health_sent (&e->links[agent].health, entry_now (e));
  model_send (e->model, e->number, model_agent_node (e->model, agent), &msg);
}

static void
send_attempt (struct entry *e, struct request *q, uint32_t agent)
{
  q->attempt_id = ++e->model->last_id;
  q->agent = agent;
  q->next_message = 0;
  q->attempts++;
  send_call (e, q, q->attempt_id, agent);
}

/* Whether agents may still report after the last pause of this process.  */
static bool
awaits_reports (const struct entry *e)
{
  return e->pause_end_ms > 0
         && entry_now (e) - e->pause_end_ms < REPORT_WAIT_MS;
}

static void
wait_or_refuse (struct entry *e, struct request *q)
{
  struct bb_request_result v
      = { .run = BB_RUN_NOT_RUN, .reason = BB_REASON_NO_UPSTREAM };

  q->waiting_for_report = awaits_reports (e);
  if (q->waiting_for_report)
    return;
  if (q->tried_count == 0)
    bb_request_result_merge (&q->result, &v);
  refuse (e, q, &q->result);
}

static void
refuse_expired (struct entry *e, struct request *q)
{
  struct bb_request_result v
      = { .run = q->result.run, .reason = BB_REASON_DEADLINE };

  if (q->attempt_id != 0 && v.run == BB_RUN_NOT_RUN)
    v.run = BB_RUN_MAYBE_RUN;
  refuse (e, q, &v);
}

static void
send_or_refuse (struct entry *e, struct request *q)
{
  uint32_t agent = choose_agent (e, q);

  if (entry_now (e) >= q->deadline_ms)
    refuse_expired (e, q);
  else if (agent == BB_ROUTE_NONE)
    wait_or_refuse (e, q);
  else
    send_attempt (e, q, agent);
}

/* Asserts that the cost of all retries is at most what the retry budget of
   libroute could grant so far, in hundredths of a retry: a reserve of 10
   retries, a fifth of a retry per first attempt, and 2 retries per second.  */
static void
assert_retry_budget (const struct entry *e)
{
  g_assert_cmpuint (e->retry_cost, <=,
                    1000 + e->first_attempts * 20
                        + (uint64_t)entry_now (e) / 5);
}

static void
retry_or_refuse (struct entry *e, struct request *q,
                 const struct bb_request_result *v)
{
  struct bb_retry_attempt t = { .result = *v,
                                .idempotent = q->idempotent,
                                .answer_started = q->tokens_sent > 0,
                                .resumable = q->idempotent,
                                .attempts = q->attempts };
  enum bb_retry_action action;
  uint32_t next;

  if (q->tried_count < ATTEMPTS_MAX)
    q->tried[q->tried_count++] = q->agent;
  bb_request_result_merge (&q->result, v);
  q->crashes += v->reason == BB_REASON_UPSTREAM_FAILED ? 1 : 0;
  t.crashes = q->crashes;
  next = choose_agent (e, q);
  t.upstream_available = next != BB_ROUTE_NONE;
  t.reports_pending = awaits_reports (e);
  t.remaining_ms = q->deadline_ms - entry_now (e);
  t.upstream_tried = t.upstream_available && was_tried (q, next);
  action = bb_retry_decide (&e->budget, &t);
  if (action == BB_RETRY_REFUSE)
    {
      refuse (e, q, &q->result);
      return;
    }
  e->retry_cost += bb_retry_cost (v);
  e->model->stats.retries++;
  e->model->stats.resumed += q->tokens_sent > 0 ? 1 : 0;
  assert_retry_budget (e);
  q->waiting_for_report = action == BB_RETRY_WAIT;
  if (!q->waiting_for_report)
    send_attempt (e, q, next);
}

static void
on_deadline (struct bb_sim *sim, void *arg)
{
  struct request *q = arg;

  (void)sim;
  if (!q->ended)
    refuse_expired (q->entry, q);
}

static bool
exceeds_customer_limit (const struct entry *e, const struct request *q)
{
  uint32_t limit = e->model->options.customer_limit;

  return limit > 0 && e->customer_in_flight[q->customer] > limit;
}

/* Sends a second attempt of an idempotent request to another agent, if the
   first attempt has not answered yet.  */
static void
on_hedge (struct bb_sim *sim, void *arg)
{
  struct request *q = arg;
  struct entry *e = q->entry;
  struct bb_retry_attempt t = { .result.run = BB_RUN_MAYBE_RUN,
                                .idempotent = true,
                                .attempts = q->attempts,
                                .remaining_ms = e->model->options.timeout_ms };

  (void)sim;
  if (q->ended || q->tokens_sent > 0 || q->attempt_id == 0 || q->hedge_id != 0
      || q->tried_count == ATTEMPTS_MAX)
    return;
  q->tried[q->tried_count++] = q->agent;
  q->hedge_agent = choose_agent (e, q);
  if (q->hedge_agent == BB_ROUTE_NONE || was_tried (q, q->hedge_agent)
      || !bb_retry_allow (&e->budget, &t))
    return;
  e->retry_cost += bb_retry_cost (&t.result);
  e->model->stats.hedges++;
  q->hedge_id = ++e->model->last_id;
  send_call (e, q, q->hedge_id, q->hedge_agent);
}

void
entry_accept (struct entry *e, struct request *q)
{
  struct bb_model *m = e->model;
  struct bb_request_result v
      = { .run = BB_RUN_NOT_RUN, .reason = BB_REASON_CUSTOMER_LIMIT };

  check_pause (e);
  q->entry = e;
  q->deadline_ms = entry_now (e) + m->options.timeout_ms;
  q->open_index = e->open_requests->len;
  g_ptr_array_add (e->open_requests, q);
  e->customer_in_flight[q->customer]++;
  if (exceeds_customer_limit (e, q))
    {
      refuse (e, q, &v);
      return;
    }
  e->first_attempts++;
  bb_retry_budget_deposit (&e->budget, entry_now (e));
  bb_sim_schedule_on_node (m->sim, e->number, m->options.timeout_ms,
                           on_deadline, q);
  if (m->options.hedge_delay_ms > 0 && q->idempotent)
    bb_sim_schedule_on_node (m->sim, e->number, m->options.hedge_delay_ms,
                             on_hedge, q);
  send_or_refuse (e, q);
}

/* Calls FN with AGENT for each open request of E.  FN may end requests.  */
static void
for_each_open (struct entry *e, uint32_t agent,
               void (*fn) (struct entry *, struct request *, uint32_t))
{
  GPtrArray *copy = g_ptr_array_copy (e->open_requests, NULL, NULL);

  for (guint i = 0; i < copy->len; i++)
    {
      struct request *q = g_ptr_array_index (copy, i);
      if (!q->ended)
        fn (e, q, agent);
    }
  g_ptr_array_free (copy, TRUE);
}

static void
send_if_waiting (struct entry *e, struct request *q, uint32_t agent)
{
  (void)agent;
  if (!q->waiting_for_report)
    return;
  q->waiting_for_report = false;
  send_or_refuse (e, q);
}

/* Makes the hedge the only attempt of Q, after the first one ended with V.  */
static void
promote_hedge (struct request *q, const struct bb_request_result *v)
{
  bb_request_result_merge (&q->result, v);
  q->attempt_id = q->hedge_id;
  q->agent = q->hedge_agent;
  q->next_message = 0;
  q->hedge_id = 0;
}

/* Ends the hedge with V; the first attempt goes on.  CANCEL tells the agent of
   the hedge to end it too.  */
static void
end_hedge (struct entry *e, struct request *q,
           const struct bb_request_result *v, bool cancel)
{
  end_attempt (e, &q->hedge_id, q->hedge_agent, cancel);
  bb_request_result_merge (&q->result, v);
}

static void
fail_attempt (struct entry *e, struct request *q, bool cancel)
{
  struct bb_request_result v
      = { .run = BB_RUN_MAYBE_RUN, .reason = BB_REASON_AGENT_LOST };

  end_attempt (e, &q->attempt_id, q->agent, cancel);
  if (q->hedge_id == 0)
    retry_or_refuse (e, q, &v);
  else
    promote_hedge (q, &v);
}

static void
fail_attempts_at (struct entry *e, struct request *q, uint32_t agent)
{
  struct bb_request_result v
      = { .run = BB_RUN_MAYBE_RUN, .reason = BB_REASON_AGENT_LOST };

  if (q->hedge_id != 0 && q->hedge_agent == agent)
    end_hedge (e, q, &v, false);
  if (q->attempt_id != 0 && q->agent == agent)
    fail_attempt (e, q, false);
}

/* Fails the attempts of Q at AGENT, which sends no reports.  A request that is
   not idempotent could not be retried, so it waits for its answer until the
   deadline.  */
static void
fail_idempotent_at (struct entry *e, struct request *q, uint32_t agent)
{
  if (q->idempotent)
    fail_attempts_at (e, q, agent);
}

void
entry_agent_lost (struct entry *e, uint32_t agent)
{
  e->links[agent].incarnation = 0;
  for_each_open (e, agent, fail_attempts_at);
}

static void
on_tick (struct bb_sim *sim, void *arg)
{
  struct entry *e = arg;

  check_pause (e);
  for (uint32_t i = 0; i < e->model->options.agents; i++)
    if (e->links[i].in_flight > 0
        && entry_now (e) - e->links[i].last_report_ms >= REPORT_TIMEOUT_MS)
      for_each_open (e, i, fail_idempotent_at);
  if (e->pause_end_ms == 0
      || entry_now (e) - e->pause_end_ms >= REPORT_WAIT_MS)
    for_each_open (e, 0, send_if_waiting);
  bb_sim_schedule_on_node (sim, e->number, TICK_MS, on_tick, e);
}

void
entry_init (struct entry *e, struct bb_model *m, uint32_t number)
{
  e->model = m;
  e->number = number;
  e->links = g_new0 (struct link, m->options.agents);
  e->domain_out = g_new0 (bool, m->options.domains);
  e->open_requests = g_ptr_array_new ();
  e->pool.count = m->options.agents;
  bb_retry_budget_init (&e->budget, 0);
  bb_sim_schedule_on_node (m->sim, number, TICK_MS, on_tick, e);
}

void
entry_free (struct entry *e)
{
  g_free (e->links);
  g_free (e->domain_out);
  g_ptr_array_free (e->open_requests, TRUE);
}

static void
handle_report (struct entry *e, uint32_t agent, const struct message *msg)
{
  struct link *l = &e->links[agent];
  uint32_t own_in_flight = l->in_flight;

  if (msg->incarnation < l->incarnation)
    return;
  if (l->incarnation != 0 && msg->incarnation > l->incarnation)
    {
      entry_agent_lost (e, agent);
      bb_health_recovered (&l->health, entry_now (e));
    }
  if (msg->kind == KIND_END || msg->kind == KIND_REFUSAL)
    own_in_flight -= own_in_flight > 0 ? 1 : 0;
  l->incarnation = msg->incarnation;
  l->load = msg->load;
  l->other_requests = msg->load.in_flight > own_in_flight
                          ? msg->load.in_flight - own_in_flight
                          : 0;
  l->last_report_ms = entry_now (e);
  if (e->pause_end_ms == 0
      || (msg->nonce != 0 && msg->nonce == l->probe_nonce))
    l->reported_since_pause = true;
}

/* Cancels the first attempt, which may have run, because the hedge answers
   first.  */
static void
replace_by_hedge (struct entry *e, struct request *q)
{
  struct bb_request_result v
      = { .run = BB_RUN_MAYBE_RUN, .reason = BB_REASON_CANCELLED };

  end_attempt (e, &q->attempt_id, q->agent, true);
  promote_hedge (q, &v);
}

static void
handle_token (struct entry *e, struct request *q, const struct message *msg)
{
  struct bb_request_result v
      = { .run = BB_RUN_MAYBE_RUN, .reason = BB_REASON_CANCELLED };

  g_assert_cmpuint (msg->token_index, ==, q->tokens_sent);
  if (q->tokens_sent++ > 0)
    return;
  bb_histogram_add (&e->model->stats.first_token_ms,
                    (uint64_t)(entry_now (e) - q->sent_ms));
  if (q->hedge_id != 0)
    end_hedge (e, q, &v, true);
}

static void
handle_end (struct entry *e, struct request *q)
{
  struct bb_model_stats *s = &e->model->stats;
  struct bb_model_answer a
      = { q->sent_ms, (uint32_t)(entry_now (e) - q->sent_ms) };

  g_assert_cmpuint (q->tokens_sent, ==, q->token_count);
  bb_health_ok (&e->links[q->agent].health, &e->pool, entry_now (e));
  end_attempt (e, &q->attempt_id, q->agent, false);
  s->completed++;
  s->customer_completed[q->customer]++;
  bb_histogram_add (&s->answer_ms, a.latency_ms);
  g_array_append_val (s->answers, a);
  end_request (e, q);
}

static void
handle_refusal (struct entry *e, struct request *q, const struct message *msg)
{
  bb_health_failed (&e->links[q->agent].health, &e->pool, msg->result.reason,
                    entry_now (e));
  end_attempt (e, &q->attempt_id, q->agent, false);
  if (q->hedge_id == 0)
    retry_or_refuse (e, q, &msg->result);
  else
    promote_hedge (q, &msg->result);
}

static void
handle_answer (struct entry *e, const struct message *msg)
{
  struct request *q = model_request (e->model, msg->request);

  if (q->hedge_id != 0 && msg->attempt_id == q->hedge_id)
    {
      if (msg->kind == KIND_REFUSAL)
        end_hedge (e, q, &msg->result, false);
      else
        replace_by_hedge (e, q);
    }
  if (q->ended || q->attempt_id != msg->attempt_id
      || msg->message_number < q->next_message)
    return; /* late, duplicated, or of an attempt that has ended */
  if (msg->message_number > q->next_message)
    {
      fail_attempt (e, q, true);
      return;
    }
  q->next_message++;
  if (msg->kind == KIND_TOKEN)
    handle_token (e, q, msg);
  else if (msg->kind == KIND_END)
    handle_end (e, q);
  else
    handle_refusal (e, q, msg);
}

void
entry_receive (struct entry *e, uint32_t agent, const struct message *msg)
{
  check_pause (e);
  handle_report (e, agent, msg);
  if (msg->kind == KIND_REPORT)
    for_each_open (e, agent, send_if_waiting);
  else
    handle_answer (e, msg);
}
