/* The agent of the model and its engine.  */

#include "internal.h"

enum
{
  STEP_MS = 15,
  STEP_PER_SEQUENCE_US = 500, /* time that each sequence adds to a step */
  WARMUP_MS = 5000            /* time after its start that an engine is cold */
};

static void schedule_step (struct agent *a, bb_ms ms);

static struct bb_load
current_load (const struct agent *a)
{
  struct bb_load l
      = { .in_flight = a->sequences->len,
          .limit = a->model->options.admission->limit (a->admission),
          .draining = a->draining };

  return l;
}

static void
agent_send (struct agent *a, uint32_t entry, struct message *msg)
{
  msg->incarnation = a->incarnation;
  msg->load = current_load (a);
  model_send (a->model, model_agent_node (a->model, a->number), entry, msg);
}

static void
on_heartbeat (struct bb_sim *sim, void *arg)
{
  struct agent *a = arg;
  struct message msg = { .kind = KIND_REPORT };

  if (a->up)
    for (uint32_t i = 0; i < a->model->options.entries; i++)
      agent_send (a, i, &msg);
  bb_sim_schedule (sim, HEARTBEAT_MS, on_heartbeat, a);
}

void
agent_init (struct agent *a, struct bb_model *m, uint32_t number)
{
  a->model = m;
  a->number = number;
  a->domain = number % m->options.domains;
  a->up = true;
  a->engine_up = true;
  a->engine_start_ms = -WARMUP_MS;
  a->incarnation = ++m->last_id;
  a->sequences = g_ptr_array_new_with_free_func (g_free);
  a->prefix_cache = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  a->seen_attempts = g_hash_table_new (NULL, NULL);
  a->admission
      = m->options.admission->create (m->options.limit, m->options.cold_limit);
  bb_sim_schedule (m->sim, (bb_ms)number % HEARTBEAT_MS, on_heartbeat, a);
}

static void
end_sequence (struct agent *a, guint index, bool succeeded)
{
  g_ptr_array_remove_index (a->sequences, index);
  a->model->options.admission->end (a->admission, succeeded);
}

static void
end_all_sequences (struct agent *a)
{
  while (a->sequences->len > 0)
    end_sequence (a, 0, false);
}

void
agent_free (struct agent *a)
{
  end_all_sequences (a);
  g_ptr_array_free (a->sequences, TRUE);
  g_hash_table_destroy (a->seen_attempts);
  g_array_free (a->prefix_cache, TRUE);
  a->model->options.admission->free (a->admission);
}

static void
refuse (struct agent *a, uint32_t entry, uint32_t request, uint64_t id,
        uint32_t message_number, const struct bb_request_result *v)
{
  struct message msg = { .kind = KIND_REFUSAL,
                         .request = request,
                         .attempt_id = id,
                         .message_number = message_number,
                         .result = *v };

  agent_send (a, entry, &msg);
}

static void
on_engine_restart (struct bb_sim *sim, void *arg)
{
  struct agent *a = arg;

  a->engine_up = true;
  a->engine_start_ms = bb_sim_now (sim);
  a->model->options.admission->upstream_restarted (a->admission);
}

void
agent_kill_engine (struct agent *a, bb_ms down_ms)
{
  struct bb_request_result v
      = { .run = BB_RUN_MAYBE_RUN, .reason = BB_REASON_UPSTREAM_FAILED };

  if (!a->engine_up)
    return;
  a->engine_up = false;
  a->model->stats.engine_crashes++;
  for (guint i = 0; a->up && i < a->sequences->len; i++)
    {
      const struct sequence *s = g_ptr_array_index (a->sequences, i);
      refuse (a, s->entry, s->request, s->attempt_id, s->next_message, &v);
    }
  end_all_sequences (a);
  g_array_set_size (a->prefix_cache, 0);
  a->model->options.admission->upstream_restarted (a->admission);
  bb_sim_schedule (a->model->sim, down_ms, on_engine_restart, a);
}

static void
on_agent_restart (struct bb_sim *sim, void *arg)
{
  struct agent *a = arg;

  (void)sim;
  a->up = true;
  a->incarnation = ++a->model->last_id;
}

void
agent_kill (struct agent *a, bb_ms down_ms)
{
  if (!a->up)
    return;
  a->up = false;
  end_all_sequences (a);
  a->model->options.admission->upstream_restarted (a->admission);
  bb_sim_schedule (a->model->sim, down_ms, on_agent_restart, a);
}

static bool
is_cold (const struct agent *a)
{
  return model_now (a->model) - a->engine_start_ms < WARMUP_MS;
}

/* Sends the next token of the sequence at INDEX to its entry.  If it is the
   last one, ends the sequence and returns true.  */
static bool
send_token (struct agent *a, guint index)
{
  struct sequence *s = g_ptr_array_index (a->sequences, index);
  const struct request *q = model_request (a->model, s->request);
  uint32_t entry = s->entry;
  struct message msg = { .kind = KIND_TOKEN,
                         .attempt_id = s->attempt_id,
                         .request = s->request,
                         .message_number = s->next_message++,
                         .token_index = s->next_token++ };

  a->model->stats.engine_tokens++;
  if (msg.token_index < q->token_count)
    agent_send (a, entry, &msg);
  if (s->next_token < q->token_count)
    return false;
  msg.kind = KIND_END;
  msg.message_number = s->next_message++;
  end_sequence (a, index, true);
  agent_send (a, entry, &msg);
  return true;
}

/* Returns the prefill time of S in ms, which depends on whether its prefix is
   cached.  Makes the prefix the most recently used one of the LRU cache.  */
static bb_ms
prefill (struct agent *a, const struct sequence *s)
{
  const struct bb_model_options *o = &a->model->options;
  uint64_t prefix = model_request (a->model, s->request)->prefix;
  bool cached = false;

  for (guint i = 0; i < a->prefix_cache->len && !cached; i++)
    if (g_array_index (a->prefix_cache, uint64_t, i) == prefix)
      {
        g_array_remove_index (a->prefix_cache, i);
        cached = true;
      }
  g_array_append_val (a->prefix_cache, prefix);
  if (a->prefix_cache->len > o->prefix_cache_size)
    g_array_remove_index (a->prefix_cache, 0);
  a->model->stats.prefix_hits += cached ? 1 : 0;
  return cached ? o->cached_prefill_ms : o->prefill_ms;
}

/* Sends a token of each running sequence and starts the others.  Returns the
   sum of their prefill times in ms.  */
static bb_ms
run_batch (struct agent *a)
{
  bb_ms prefill_ms = 0;
  guint i = 0;

  while (i < a->sequences->len)
    {
      struct sequence *s = g_ptr_array_index (a->sequences, i);
      if (s->running && send_token (a, i))
        continue;
      if (!s->running)
        prefill_ms += prefill (a, s);
      s->running = true;
      i++;
    }
  return prefill_ms;
}

static bool
runs_poison (const struct agent *a)
{
  for (guint i = 0; i < a->sequences->len; i++)
    {
      const struct sequence *s = g_ptr_array_index (a->sequences, i);
      if (s->running && model_request (a->model, s->request)->poison)
        return true;
    }
  return false;
}

static void
on_step (struct bb_sim *sim, void *arg)
{
  struct agent *a = arg;
  bb_ms prefill_ms;
  uint32_t running;

  (void)sim;
  a->step_scheduled = false;
  if (!a->engine_up)
    return;
  prefill_ms = run_batch (a);
  running = a->sequences->len;
  if (runs_poison (a)
      || (is_cold (a) && running > a->model->options.cold_max_sequences))
    agent_kill_engine (a, 2000);
  else if (running > 0)
    schedule_step (a, STEP_MS + prefill_ms
                          + (bb_ms)running * STEP_PER_SEQUENCE_US / 1000);
}

static void
schedule_step (struct agent *a, bb_ms ms)
{
  if (a->step_scheduled)
    return;
  a->step_scheduled = true;
  bb_sim_schedule (a->model->sim, ms, on_step, a);
}

/* Returns whether the attempt MSG may start; if not, sets V to the refusal. */
static bool
admit (struct agent *a, const struct message *msg, struct bb_request_result *v)
{
  v->run = BB_RUN_NOT_RUN;
  v->retry_after_ms = 1000;
  if (msg->incarnation != a->incarnation)
    v->reason = BB_REASON_STALE_INCARNATION;
  else if (a->draining)
    v->reason = BB_REASON_DRAINING;
  else if (!a->engine_up)
    v->reason = BB_REASON_UPSTREAM_REFUSED;
  else
    return a->model->options.admission->try_start (a->admission, v);
  return false;
}

/* Records the attempt ID as seen.  Returns false if it was seen before: the
   call is a duplicate, or its cancellation arrived first.  */
static bool
record_attempt (struct agent *a, uint64_t id)
{
  return g_hash_table_add (a->seen_attempts, GSIZE_TO_POINTER (id));
}

static void
start_attempt (struct agent *a, uint32_t entry, const struct message *msg)
{
  struct bb_request_result v = { 0 };
  struct sequence *s;

  if (!record_attempt (a, msg->attempt_id))
    return;
  if (!admit (a, msg, &v))
    {
      refuse (a, entry, msg->request, msg->attempt_id, 0, &v);
      return;
    }
  s = g_new0 (struct sequence, 1);
  s->attempt_id = msg->attempt_id;
  s->entry = entry;
  s->request = msg->request;
  s->next_token = msg->token_index;
  model_request (a->model, s->request)->runs++;
  g_ptr_array_add (a->sequences, s);
  schedule_step (a, 1);
}

/* Ends the attempt ID, and refuses a call of it that arrives later.  A request
   that is not idempotent runs to its end.  */
static void
cancel_attempt (struct agent *a, uint64_t id)
{
  record_attempt (a, id);
  for (guint i = 0; i < a->sequences->len; i++)
    {
      const struct sequence *s = g_ptr_array_index (a->sequences, i);
      if (s->attempt_id != id)
        continue;
      if (model_request (a->model, s->request)->idempotent)
        end_sequence (a, i, false);
      return;
    }
}

void
agent_receive (struct agent *a, uint32_t entry, const struct message *msg)
{
  struct message report = { .kind = KIND_REPORT, .nonce = msg->nonce };

  if (!a->up)
    return;
  if (msg->kind == KIND_CALL)
    start_attempt (a, entry, msg);
  else if (msg->kind == KIND_CANCEL)
    cancel_attempt (a, msg->attempt_id);
  else if (msg->kind == KIND_PROBE)
    agent_send (a, entry, &report);
}
