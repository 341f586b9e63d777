/* Number and latency of responses, by class of request.  */

#include "entry.h"

enum request_class
{
  CLASS_STREAM,       /* streamed response */
  CLASS_IDEMPOTENT,   /* buffered response; the request may run again */
  CLASS_AT_MOST_ONCE, /* buffered response; the request may not run
                         again */
  CLASS_COUNT
};

static const char *const labels[CLASS_COUNT]
    = { "class=\"stream\"", "class=\"idempotent\"", "class=\"at_most_once\"" };
static struct bb_histogram first_byte_ms[CLASS_COUNT];
static struct bb_histogram response_ms[CLASS_COUNT];
static struct bb_counter *responses_total[CLASS_COUNT];

void
measure_init (void)
{
  for (uint32_t i = 0; i < CLASS_COUNT; i++)
    bb_histogram_register (&first_byte_ms[i], "bilberry_first_byte_ms",
                           labels[i]);
  for (uint32_t i = 0; i < CLASS_COUNT; i++)
    {
      bb_histogram_register (&response_ms[i], "bilberry_answer_ms", labels[i]);
      responses_total[i] = bb_counter ("bilberry_answers_total", labels[i]);
    }
}

static enum request_class
classify (const struct request *q)
{
  if (q->streaming)
    return CLASS_STREAM;
  return q->idempotent ? CLASS_IDEMPOTENT : CLASS_AT_MOST_ONCE;
}

static uint64_t
elapsed_ms (const struct request *q)
{
  return (uint64_t)((bb_ms)uv_now (q->entry->daemon->loop) - q->started_ms);
}

void
measure_first_byte (const struct request *q)
{
  bb_histogram_add (&first_byte_ms[classify (q)], elapsed_ms (q));
}

void
measure_response (const struct request *q)
{
  bb_histogram_add (&response_ms[classify (q)], elapsed_ms (q));
  responses_total[classify (q)]->value++;
}
