/* Checks of each route: its pools, and values that contradict each other.  */

#include "internal.h"

typedef void route_check_fn (struct audit *a, const struct bb_route *r);

static void
check_split (struct audit *a, const struct bb_route *r)
{
  double total = 0;

  if (r->split_count == 0)
    {
      ADD_ROUTE_FINDING (a->out, BB_FINDING_NO_POOL, r, "has no pool");
      return;
    }
  for (uint32_t i = 0; i < r->split_count; i++)
    {
      total += r->split[i].weight;
      if (!bb_config_find_pool (a->config, r->split[i].pool))
        ADD_ROUTE_FINDING (a->out, BB_FINDING_UNDEFINED_POOL, r,
                           "pool %s is not defined", r->split[i].pool);
    }
  if (total == 0)
    ADD_ROUTE_FINDING (a->out, BB_FINDING_ZERO_WEIGHTS, r,
                       "all weights are 0: pool %s gets all requests",
                       r->split[r->split_count - 1].pool);
}

static void
check_times (struct audit *a, const struct bb_route *r)
{
  if (r->slo_ms == 0)
    ADD_ROUTE_FINDING (a->out, BB_FINDING_ZERO_SLO, r,
                       "the SLO is 0: requests that would have to wait are "
                       "refused at once");
  /* Without a timeout that of the edge applies.  */
  if (r->timeout_ms > 0 && r->timeout_ms < r->slo_ms)
    ADD_ROUTE_FINDING (a->out, BB_FINDING_TIMEOUT_BELOW_SLO, r,
                       "the timeout of %" G_GINT64_FORMAT
                       " ms is below the SLO of %" G_GINT64_FORMAT " ms",
                       r->timeout_ms, r->slo_ms);
}

static void
check_attempts (struct audit *a, const struct bb_route *r)
{
  if (r->attempts_max == 0)
    ADD_ROUTE_FINDING (a->out, BB_FINDING_ZERO_ATTEMPTS, r,
                       "max-attempts 0 has the effect of 1");
  if (r->attempts_max <= 1)
    return;
  if (r->kind == BB_CALL_AT_MOST_ONCE)
    ADD_ROUTE_FINDING (a->out, BB_FINDING_ATTEMPTS_OF_AT_MOST_ONCE, r,
                       "max-attempts %u has no effect: a request that may "
                       "have run is not sent again",
                       r->attempts_max);
  else if (a->options->retry_ratio == 0)
    ADD_ROUTE_FINDING (a->out, BB_FINDING_ATTEMPTS_WITHOUT_BUDGET, r,
                       "max-attempts %u has no effect: the retry budget "
                       "allows no second attempt",
                       r->attempts_max);
}

static void
check_target (struct audit *a, const struct bb_route *r)
{
  for (uint32_t i = 0; i < r->split_count && r->itl_target_ms > 0; i++)
    {
      const struct bb_pool *p
          = bb_config_find_pool (a->config, r->split[i].pool);
      double gap_ms
          = p && p->has_engine ? engine_shortest_gap_ms (&p->engine) : 0;
      if (r->split[i].weight > 0 && gap_ms > (double)r->itl_target_ms)
        ADD_ROUTE_FINDING (a->out, BB_FINDING_UNREACHABLE_TARGET, r,
                           "the engine of pool %s takes %.4g ms from event to "
                           "event with one request running; the target is "
                           "%" G_GINT64_FORMAT " ms",
                           r->split[i].pool, gap_ms, r->itl_target_ms);
    }
}

static void
check_priority (struct audit *a, const struct bb_route *r)
{
  if (r->priority > PRIORITY_MAX)
    ADD_ROUTE_FINDING (a->out, BB_FINDING_PRIORITY_RANGE, r,
                       "engines get priority %u as %d, the last one",
                       r->priority, PRIORITY_MAX);
}

static route_check_fn *const route_checks[]
    = { check_split, check_times, check_attempts, check_target,
        check_priority };

void
check_route_values (struct audit *a)
{
  for (guint i = 0; i < a->config->routes->len; i++)
    for (uint32_t k = 0; k < G_N_ELEMENTS (route_checks); k++)
      route_checks[k](a, g_ptr_array_index (a->config->routes, i));
}
