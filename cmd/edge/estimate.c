/* The cost of requests, as learned from their responses.  */

#include "edge.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Weight of a new sample in the smoothed engine time of a request.  */
static const double smoothing_weight = 0.02;

/* Part of the expected events that a run is taken to have.  Lengths are often
   overestimated by two, and a request is only rejected where even a short
   answer would not end in time.  */
static const double certain_part = 0.5;

static void
fill_cost_request (const struct request *r, struct bb_cost_request *c)
{
  *c = (struct bb_cost_request){
    .route = XXH64 (r->route->name, strlen (r->route->name), 0),
    .customer = r->customer ? XXH64 (r->customer, strlen (r->customer), 0) : 0,
    .prompt_tokens = r->info.prompt_tokens,
    .output_tokens_hint = r->info.output_tokens_hint,
    .output_tokens_max = r->info.output_tokens_max,
  };
}

void
estimate_request (struct request *r)
{
  struct pool_queue *q = r->queue;
  struct bb_cost_request c;

  r->work_ms = 0;
  if (!q->limited)
    return;
  fill_cost_request (r, &c);
  bb_cost_estimate (q->costs, &c, config_engine (r->config, r->pool),
                    edge_now (r->edge), &r->cost);
  r->work_ms = fmax (1, round (r->cost.prefill_ms + r->cost.decode_ms));
  q->mean_work_ms += (r->work_ms - q->mean_work_ms)
                     * (q->mean_work_ms == 0 ? 1 : smoothing_weight);
}

void
estimate_progress (struct request *r)
{
  const struct bb_engine *engine;

  if (!r->work_part.counted)
    return;
  engine = config_engine (r->config, r->pool);
  bb_work_progress (&r->target->work, &r->work_part, &r->cost,
                    engine ? (double)r->events * engine->steps_per_pass : 0);
}

void
estimate_learn (const struct request *r, bool complete)
{
  const struct bb_engine *engine = config_engine (r->config, r->pool);
  struct bb_cost_request c;

  if (!r->queue->limited || !engine || r->events == 0)
    return;
  fill_cost_request (r, &c);
  bb_cost_learn (
      r->queue->costs, &c, engine, r->events * engine->steps_per_pass,
      complete ? BB_COST_COMPLETE : BB_COST_CUT, edge_now (r->edge));
}

bb_ms
estimate_run_ms (const struct request *r)
{
  const struct bb_engine *engine = config_engine (r->config, r->pool);
  double pass_ms = capacity_pass_ms (r->queue);
  double events;

  if (!engine || engine->steps_per_pass == 0)
    return 0;
  events = r->cost.output_tokens / engine->steps_per_pass;
  return (bb_ms)(r->queue->first_event_ms + events * pass_ms * certain_part);
}
