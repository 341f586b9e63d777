/* Latency and number of answers, by the class of the call.  */

#include "entry.h"

enum class
{
  CLASS_STREAM,       /* an event stream */
  CLASS_IDEMPOTENT,   /* a whole answer; the call may run again */
  CLASS_AT_MOST_ONCE, /* a whole answer; the call may not run again */
  CLASSES
};

static const char *const labels[CLASSES]
    = { "class=\"stream\"", "class=\"idempotent\"", "class=\"at_most_once\"" };
static struct bb_histogram first_byte[CLASSES];
static struct bb_histogram whole[CLASSES];
static struct bb_counter *answers[CLASSES];

void
measure_init (void)
{
  for (uint32_t i = 0; i < CLASSES; i++)
    bb_histogram_register (&first_byte[i], "bilberry_first_byte_ms",
                           labels[i]);
  for (uint32_t i = 0; i < CLASSES; i++)
    {
      bb_histogram_register (&whole[i], "bilberry_answer_ms", labels[i]);
      answers[i] = bb_counter ("bilberry_answers_total", labels[i]);
    }
}

static enum class class_of (const struct request *q) {
  if (q->streaming) return CLASS_STREAM;
  return q->idempotent ? CLASS_IDEMPOTENT : CLASS_AT_MOST_ONCE;
}

static uint64_t
age_ms (const struct request *q)
{
  return (uint64_t)((bb_ms)uv_now (q->entry->daemon->loop) - q->started);
}

void
measure_first_byte (const struct request *q)
{
  bb_histogram_add (&first_byte[class_of (q)], age_ms (q));
}

void
measure_answer (const struct request *q)
{
  bb_histogram_add (&whole[class_of (q)], age_ms (q));
  answers[class_of (q)]->value++;
}
