/* Compares pools and limits with those in force.  */

#include "internal.h"

#include <string.h>

/* An engine that is not described has zeros.  */
static void
compare_engine (struct bb_findings *out, const struct bb_pool *before,
                const struct bb_pool *p)
{
  const struct bb_engine *b = &before->engine;
  const struct bb_engine *e = &p->engine;
  struct number_change numbers[] = {
    { "engine.slots", b->slots, e->slots },
    { "engine.stride", b->steps_per_pass, e->steps_per_pass },
    { "engine.step_ms", b->step_ms, e->step_ms },
    { "engine.per_seq_ms", b->sequence_ms, e->sequence_ms },
    { "engine.context_per_k", b->context_ms_per_1k_tokens,
      e->context_ms_per_1k_tokens },
    { "engine.read_per_s", b->prompt_tokens_per_s, e->prompt_tokens_per_s },
    { "engine.report_lag_ms", b->report_lag_ms, e->report_lag_ms },
    { "engine.usual.prompt", b->typical_prompt_tokens,
      e->typical_prompt_tokens },
    { "engine.usual.answer", b->typical_output_tokens,
      e->typical_output_tokens },
    { "engine.sets", b->sets, e->sets },
    { "engine.experts", b->experts, e->experts },
    { "engine.placements", b->places, e->places },
    { "engine.spare", b->spare, e->spare },
    { "engine.expert-mb", b->expert_mb, e->expert_mb },
    { "engine.link-mbps", b->link_mbps, e->link_mbps },
    { "engine.expert-share", b->expert_time_share, e->expert_time_share },
    { "engine.form_ms", b->group_formation_ms, e->group_formation_ms },
  };

  if (before->has_engine != p->has_engine)
    bb_findings_add (out, BB_FINDING_POOL_VALUE, BB_PLACE_POOL, p->name, "%s",
                     p->has_engine ? "its engine is described, was not"
                                   : "its engine is not described any more");
  else
    add_number_changes (out, BB_FINDING_POOL_VALUE, BB_PLACE_POOL, p->name,
                        numbers, G_N_ELEMENTS (numbers));
}

static void
compare_pool (struct bb_findings *out, const struct bb_pool *before,
              const struct bb_pool *p)
{
  struct number_change numbers[] = {
    { "max-conns", before->connections_max, p->connections_max },
    { "cold-start-s", before->cold_start_s, p->cold_start_s },
    { "cold-per-s", before->cold_requests_per_s, p->cold_requests_per_s },
  };

  if (strcmp (before->health_path, p->health_path) != 0)
    bb_findings_add (out, BB_FINDING_POOL_VALUE, BB_PLACE_POOL, p->name,
                     "health-path %s, was %s", p->health_path,
                     before->health_path);
  add_number_changes (out, BB_FINDING_POOL_VALUE, BB_PLACE_POOL, p->name,
                      numbers, G_N_ELEMENTS (numbers));
  compare_engine (out, before, p);
}

void
compare_pools (struct audit *a)
{
  const struct bb_config *before = a->options->in_force;
  GList *old_names = sorted_pool_names (before);
  GList *names = sorted_pool_names (a->config);

  for (GList *n = old_names; n; n = n->next)
    if (!bb_config_find_pool (a->config, n->data))
      bb_findings_add (a->out, BB_FINDING_POOL_REMOVED, BB_PLACE_POOL, n->data,
                       "removed");
  for (GList *n = names; n; n = n->next)
    {
      const struct bb_pool *old = bb_config_find_pool (before, n->data);
      if (old)
        compare_pool (a->out, old, bb_config_find_pool (a->config, n->data));
      else
        bb_findings_add (a->out, BB_FINDING_POOL_ADDED, BB_PLACE_POOL, n->data,
                         "added");
    }
  g_list_free (old_names);
  g_list_free (names);
}

void
compare_limits (struct audit *a)
{
  const struct bb_config *before = a->options->in_force;
  const struct bb_config *c = a->config;
  struct number_change numbers[] = {
    { "max-header-bytes", before->head_max_bytes, c->head_max_bytes },
    { "max-body-bytes", before->body_max_bytes, c->body_max_bytes },
    { "header-timeout-ms", (double)before->head_timeout_ms,
      (double)c->head_timeout_ms },
    { "idle-timeout-ms", (double)before->idle_timeout_ms,
      (double)c->idle_timeout_ms },
  };

  add_number_changes (a->out, BB_FINDING_LIMIT, BB_PLACE_LIMITS, NULL, numbers,
                      G_N_ELEMENTS (numbers));
}
